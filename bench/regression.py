"""The operators' benches of both deployments, one after the other: python -m bench.regression.

Runs what docs/regression.md names, in its order, from the root of a checkout with the kit beside it, and
prints one table: each panel's figure, its change against the last committed run of the same panel, and what
broke. Exit code 0: all held. 1: a rule broke, a node crashed, a gate failed, or a figure fell by more than
FALL. 2: the kit is not there, or a bench could not be run.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

FALL = 0.03  # a panel that is down by more is played again, and then repaired first
MOST_S = 2400.0  # a bench that takes longer is ended
SAFRA, ROSARIO = "sites/safra-serra.toml", "users/rosario-centro.toml"


@dataclass(frozen=True)
class Bench:
    """One program of the kit on one site. Paths are the kit's."""

    name: str
    program: str
    site: str
    more: tuple[str, ...] = ()


# the order of docs/regression.md: what is quick to fail comes first, the simulator last
BENCHES = (
    Bench("forty nodes", "more/bin/lbreal", SAFRA),
    Bench("second deployment", "real/bin/lbreal", ROSARIO),
    Bench("two hundred nodes", "more/mass/bin/lbreal", SAFRA),
    Bench("simulator", "bin/lbsim", SAFRA),
    Bench("simulator, second deployment", "bin/lbsim", ROSARIO),
)
LATER = Bench("earlier days", "more/bin/lbreal", SAFRA, ("--panel", "later"))


@dataclass
class Result:
    """What one run said, from its entry in the journal."""

    panel: str
    score: float | None
    faults: list[str] = field(default_factory=list)
    days: dict[str, float] = field(default_factory=dict)
    ended: str = ""

    @classmethod
    def of(cls, entry: dict[str, Any]) -> Result:
        """Read a journal's entry; KeyError where it is of another kind."""
        figures = entry.get("figures") or {}
        score = entry.get("score")
        if score is None:
            score = figures.get("real_score")
        faults = [str(entry["error"])] if entry.get("error") else []
        if figures.get("gate") == 0:
            faults.append("gate failed")
        days: dict[str, float] = {}
        for day in entry["days"]:
            name = str(day.get("name") or day.get("kind"))
            if isinstance(day.get("score"), int | float):
                days[name] = day["score"]
            broken = {k: n for k, n in (day.get("rules") or {}).items() if n}
            if broken:
                faults.append(f"{name}: {', '.join(f'{k} {n}' for k, n in broken.items())}")
            if day.get("fault"):
                faults.append(f"{name}: {day['fault']}")
        return cls(entry["panel"], score, list(dict.fromkeys(faults)), days, entry["at"][1])


def entries(names: list[str], root: Path) -> list[Result]:
    """The results among some files of the journal, oldest first."""
    found = []
    for name in names:
        try:
            entry = json.loads((root / name).read_text())
            if entry.get("cmd") in ("score", "real-score") and entry.get("panel"):
                found.append(Result.of(entry))
        except (OSError, ValueError, KeyError, TypeError):
            continue  # of an earlier form of the journal
    return sorted(found, key=lambda r: r.ended)


def committed(root: Path) -> dict[str, Result]:
    """The last committed run of each panel."""
    listed = subprocess.run(
        ["git", "ls-tree", "--name-only", "HEAD", "journal/"], cwd=root, capture_output=True, text=True
    )
    names = [n for n in listed.stdout.splitlines() if n.endswith(".json")]
    return {r.panel: r for r in entries(names, root)}


def row(name: str, now: Result, before: Result | None) -> tuple[str, bool]:
    """One line of the table, and whether all held."""
    change, held = "first run", not now.faults
    if before is not None and before.score is not None and now.score is not None:
        difference = now.score - before.score
        change = f"{difference:+.3f}"
        if difference < -FALL:
            held = False
            change += " FALL"
    score = "none" if now.score is None else f"{now.score:.3f}"
    days = ", ".join(f"{day} {value:.2f}" for day, value in now.days.items())
    return f"| {name} | {score} | {change} | {'; '.join(now.faults) or 'none'} | {days} |", held


def run(bench: Bench, kit: Path, root: Path, arguments: list[str]) -> Result | None:
    """Play one bench; None where it could not be run."""
    before = {p.name for p in (root / "journal").glob("*.json")}
    command = [str(kit / bench.program), "score", str(kit / bench.site), *bench.more, *arguments]
    try:
        done = subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=MOST_S)
    except (OSError, subprocess.TimeoutExpired) as error:
        print(f"{bench.name}: {error}", file=sys.stderr)
        return None
    fresh = [f"journal/{p.name}" for p in (root / "journal").glob("*.json") if p.name not in before]
    found = entries(fresh, root)
    if not found:
        said = done.stdout[-2000:] + done.stderr[-2000:]
        print(f"{bench.name}: no entry in the journal\n{said}", file=sys.stderr)
        return None
    return found[-1]


def main() -> int:
    """Run the benches and print the table."""
    about = (__doc__ or "").split("\n")[0]
    parser = argparse.ArgumentParser(prog="python -m bench.regression", description=about)
    parser.add_argument("--why", required=True, help="one plain sentence under 120 characters")
    parser.add_argument("--full", action="store_true", help="all days of each panel, not the quick ones")
    parser.add_argument("--later", action="store_true", help="the earlier days as well")
    parser.add_argument("--only", action="append", default=[], help="benches whose name begins so")
    parser.add_argument("--kit", type=Path, default=Path("../given/kit"), help="the folder of the kit")
    options = parser.parse_args()
    if not 0 < len(options.why) < 120:
        parser.error("--why: one plain sentence under 120 characters")
    root = Path.cwd()
    if not (options.kit / BENCHES[0].program).is_file():
        print(f"no kit at {options.kit}: the benches are the operators' own", file=sys.stderr)
        return 2
    benches = [*BENCHES, *([LATER] if options.later else [])]
    if options.only:
        benches = [b for b in benches if any(b.name.startswith(name) for name in options.only)]
        if not benches:
            parser.error("--only: no such bench")
    known = committed(root)
    arguments = [*([] if options.full else ["--quick"]), "--why", options.why]
    print("| bench | figure | change | broken | days |\n| --- | --- | --- | --- | --- |", flush=True)
    code = 0
    for bench in benches:
        result = run(bench, options.kit, root, arguments)
        if result is None:
            return 2
        line, held = row(bench.name, result, known.get(result.panel))
        print(line, flush=True)
        code = max(code, 0 if held else 1)
    return code


if __name__ == "__main__":
    sys.exit(main())
