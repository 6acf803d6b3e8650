"""Play a fault plan by hand: python -m rig --plan FILE, or --seed N."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from rig import judge
from rig.plan import PlanError, drawn, read
from rig.world import played


def main() -> int:
    """Play, judge, and print what broke with the plan that shows it."""
    parser = argparse.ArgumentParser(prog="python -m rig")
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--plan", type=Path, help="a fault plan in TOML (docs/rig.md)")
    source.add_argument("--seed", type=int, help="draw the plan from this seed")
    parser.add_argument("--nodes", type=int, default=3, help="of a drawn plan")
    parser.add_argument("--seconds", type=float, default=20.0, help="of a drawn plan")
    parser.add_argument("--faults", type=int, default=6, help="of a drawn plan")
    parser.add_argument("--log", type=Path, help="where the events go, as JSON lines")
    options = parser.parse_args()
    try:
        if options.plan is not None:
            plan = read(options.plan)
        else:
            plan = drawn(options.seed, options.nodes, options.seconds, options.faults)
    except PlanError as error:
        print(f"rig: {error}", file=sys.stderr)
        return 2
    rig = asyncio.run(played(plan, options.log))
    faults = judge.all_of(rig.events, rig.settings["rules"])
    answered = [e for e in rig.events if e["ev"] == "answered"]
    served = sum(e["status"] == 200 for e in answered)
    multiple, _ = judge.cold_worst(rig.events, rig.settings["rules"])
    print(f"{len(answered)} jobs, {served} served, worst cold window {multiple:.2f}")
    for fault in faults[:20]:
        print(f"BROKEN: {fault}")
    if faults:
        print(f"{len(faults)} in all; seed {plan.seed}, plan: {plan.text()}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
