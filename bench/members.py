"""Membership of real processes under loss, cuts and kills: python -m bench.members. Prints Markdown, draws a
chart.

Each case is one rig (docs/rig.md) without clients: all nodes start at once; one is killed, and starts again;
the group is cut in halves, and healed. Times are what operators would see, asked every 50 ms.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing as mp
import os
import signal
import tempfile
from pathlib import Path
from typing import Any

from rig import judge
from rig.plan import Plan, Step
from rig.world import Rig

MOST_S = 30.0
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def until_state(rig: Rig, member: str, states: set[str], everybody: bool) -> float:
    """Seconds until somebody, or everybody, holds a member for that."""
    began = rig.now()
    while rig.now() - began < MOST_S:
        seen = [v["members"].get(member) in states for n, v in (await rig.views()).items() if n != member]
        if all(seen) if everybody else any(seen):
            break
        await asyncio.sleep(0.05)
    return rig.now() - began


async def sent_bytes(rig: Rig) -> dict[str, float]:
    """Bytes that each node has sent to the group so far."""
    found = {}
    for name, node in rig.nodes.items():
        lines = [x for x in await node.call("METRICS") if "members.sent_bytes" in x]
        found[name] = float(lines[0].partition(":")[2].partition("|")[0]) if lines else 0.0
    return found


async def case(nodes: int, loss: float, seed: int) -> dict[str, Any]:
    """One group."""
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Plan(seed=seed, nodes=nodes, workers=1), Path(folder))
        found: dict[str, Any] = {"nodes": nodes, "loss": loss}
        try:
            await rig.open()
            found["agree"] = await rig.agree(MOST_S)
            if loss:
                await rig.do(Step(0.0, "loss", {"share": loss}))
            await asyncio.sleep(1.0)
            mark, began, before = len(rig.events), rig.now(), await sent_bytes(rig)
            pids = {n: node.process.pid for n, node in rig.nodes.items() if node.process is not None}
            used = {n: cpu_s(pid) for n, pid in pids.items()}
            await asyncio.sleep(6.0)
            took, after = rig.now() - began, await sent_bytes(rig)
            found["bytes"] = sum(after[n] - before[n] for n in after) / nodes / took
            found["cpu_ms"] = sum(cpu_s(pid) - used[n] for n, pid in pids.items()) / nodes / took * 1000
            found["false"] = len(judge.false_deaths(rig.events[mark:]))
            victim = f"n{nodes - 1}"
            await rig.nodes[victim].end(signal.SIGKILL)
            found["doubt"] = await until_state(rig, victim, {"doubted", "dead"}, False)
            found["death"] = found["doubt"] + await until_state(rig, victim, {"dead"}, True)
            await rig.start(victim)
            found["back"] = await rig.agree(MOST_S)
            names = list(rig.nodes)
            half = nodes // 2
            await rig.do(Step(0.0, "cut", {"groups": [names[:half], names[half:]]}))
            await asyncio.sleep(6.0)
            for a in names:
                for b in names:
                    rig.links.set(a, b, cut=False)
            found["heal"] = await rig.agree(MOST_S)
        finally:
            await rig.close()
    return found


def play(given: tuple[int, float, int]) -> dict[str, Any]:
    """One case in a process of its own."""
    return asyncio.run(case(*given))


def chart(rows: list[dict[str, Any]], path: Path) -> None:
    """The times by size and loss."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, places = pyplot.subplots(1, 3, figsize=(10, 3.2), sharey=True)
    titles = {"doubt": "to a doubt", "death": "death known to all", "heal": "to agree after a cut"}
    for place, (key, title) in zip(places, titles.items(), strict=True):
        for loss in sorted({row["loss"] for row in rows}):
            mine = sorted((row["nodes"], row[key]) for row in rows if row["loss"] == loss)
            place.plot(*zip(*mine, strict=True), marker="o", label=f"{loss:.0%} lost")
        place.set_title(title)
        place.set_xlabel("processes")
    places[0].set_ylabel("seconds")
    places[0].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Measure, print, and keep figures and chart."""
    parser = argparse.ArgumentParser(prog="python -m bench.members")
    parser.add_argument("--out", type=Path, default=Path("docs/results"), help="where figures and chart go")
    parser.add_argument("--at-once", type=int, default=3, help="groups played side by side")
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    cases = [(nodes, loss, 11 + i) for i, nodes in enumerate((24, 9, 3)) for loss in (0.0, 0.1, 0.3)]
    with mp.get_context("spawn").Pool(options.at_once, maxtasksperchild=1) as pool:
        rows = pool.map(play, cases, chunksize=1)
    rows.sort(key=lambda row: (row["nodes"], row["loss"]))
    heads = "agree at the start", "doubt", "death known to all", "back", "agree after a cut"
    print(f"| processes, loss | {' | '.join(heads)} | false deaths | bytes/s | CPU ms/s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for r in rows:
        times = " | ".join(f"{r[key]:.1f} s" for key in ("agree", "doubt", "death", "back", "heal"))
        cost = f"{r['false']} | {r['bytes']:.0f} | {r['cpu_ms']:.1f}"
        print(f"| {r['nodes']}, {r['loss']:.0%} | {times} | {cost} |")
    (options.out / "members.json").write_text(json.dumps(rows, indent=1) + "\n")
    chart(rows, options.out / "members.png")


if __name__ == "__main__":
    main()
