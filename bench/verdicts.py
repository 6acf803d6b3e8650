"""What a bad worker costs nodes that judge together, against each for itself: python -m bench.verdicts.

Real processes on the rig (docs/rig.md) at 3, 9 and 24 nodes, larger groups and long times in virtual time
(tests/panels.py). Prints Markdown; figures and a chart go to docs/results/. Each run has a seed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing as mp
import random
import re
import tempfile
import time
from pathlib import Path
from typing import Any

from pebbledrift.verdicts.evidence import Observation
from rig.plan import Plan, Step
from rig.world import Rig
from tests.panels import World

BAD_S = 10.0  # for which the worker is bad
STAMP = re.compile(r"time=([\d.]+) .*event=\"word for all\"")


async def real(nodes: int, loss: float, cut: bool, together: bool, seed: int) -> dict[str, Any]:
    """One of eight workers fails whatever it is sent, for ten seconds."""
    rate = min(160.0, 14.0 * nodes)
    plan = Plan(seed=seed, nodes=nodes, workers=8, seconds=BAD_S + 2.0, rate=rate)
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(plan, Path(folder), {"verdicts": {}} if together else {})
        try:
            await rig.open()
            await rig.agree(20.0)
            names = list(rig.nodes)
            if loss:
                await rig.do(Step(0.0, "loss", {"share": loss}))
            if cut:
                await rig.do(Step(0.0, "cut", {"groups": [names[: nodes // 2], names[nodes // 2 :]]}))
                await asyncio.sleep(4.0)
            load = asyncio.create_task(rig.play())
            await asyncio.sleep(1.0)
            rig.workers[3].fails = lambda node, kind: True
            act = await _until_all_out(rig) if together else 0.0
            await load
            failed = [e["t"] for e in rig.events if e["ev"] == "failed"]
        finally:
            await rig.close()
    third = failed[2] if len(failed) > 2 else float("nan")
    found = {"nodes": nodes, "loss": loss, "cut": cut, "together": together}
    return {**found, "lost": len(failed), "act": act - third}


async def _until_all_out(rig: Rig) -> float:
    """The rig's time at which all nodes hold the worker for out."""

    async def out(name: str) -> bool:
        lines = await rig.nodes[name].call("VERDICTS")
        return any(x.startswith("worker w3 ") and (" out " in x or " trial " in x) for x in lines)

    names = set(rig.nodes)
    end = rig.now() + BAD_S
    while names and rig.now() < end:  # each once: a trial may be on at one while another is asked
        names -= {name for name in names if await out(name)}
        await asyncio.sleep(0.02)
    return rig.now()


async def words(nodes: int, loss: float, seed: int) -> dict[str, Any]:
    """How soon a word for all is obeyed by each node, and answered."""
    obeyed: list[float] = []
    answered: list[float] = []
    undone = 0
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(Plan(seed=seed, nodes=nodes, workers=2), Path(folder), {"verdicts": {}})
        try:
            await rig.open()
            await rig.agree(20.0)
            if loss:
                await rig.do(Step(0.0, "loss", {"share": loss}))
            for i in range(40):
                for word in ("SUSPEND", "RESTORE"):
                    began, at = time.time(), f"n{i % nodes}"
                    answer = await rig.nodes[at].call(f"{word} w0 --all")
                    undone += answer != ["SUCCESS done"]
                    answered.append(time.time() - began)
                    await asyncio.sleep(0.05)
                    for name, node in rig.nodes.items():
                        stamps = [float(m[1]) for x in node.log[-30:] if (m := STAMP.search(x))]
                        since = [s - began for s in stamps if s > began]
                        if name != at and since:
                            obeyed.append(since[0])
        finally:
            await rig.close()
    times = {"obeyed": sorted(obeyed), "answered": sorted(answered)}
    return {"nodes": nodes, "loss": loss, **times, "undone": undone}


def real_case(given: tuple[int, float, bool, bool, int]) -> dict[str, Any]:
    """One play in a process of its own."""
    return asyncio.run(real(*given))


def words_case(given: tuple[int, float, int]) -> dict[str, Any]:
    """The same for operators' words."""
    return asyncio.run(words(*given))


def virtual(given: tuple[int, float, bool, int]) -> dict[str, Any]:
    """The same as `real` in virtual time, with traffic."""
    members, loss, together, seed = given
    world = World(members, 16, seed, loss, rate=5.0, shared_verdicts=together)
    bad = world.workers[3]
    world.network.run(3000)
    quiet = world.network.sent_bytes / members / 3
    began, before = world.network.now, world.network.sent_bytes
    world.fail_worker(bad)
    world.network.until(lambda: len(world.failed) >= 3, 5000)
    act = world.time_until_excluded(bad, members, 20_000) if together else 0.0
    world.network.run(began + 1000 * BAD_S - world.network.now)
    volume = (world.network.sent_bytes - before) / members / BAD_S
    found = {"nodes": members, "loss": loss, "together": together}
    found |= {"lost": len(world.failed), "act": act / 1000}
    return {**found, "quiet": quiet, "bytes": volume}


def false_verdicts(given: tuple[int, float]) -> tuple[float, int, float]:
    """Worker-hours without a bad worker, one job in five hundred failing, 10% loss: verdicts, hours out."""
    seed, hours = given
    world = World(9, 16, seed, 0.1, rate=5.0)
    chance = random.Random(seed)
    world.result_of = lambda now, name, worker: (
        Observation.REPORTED_FAILURE if chance.random() < 0.002 else Observation.SUCCESS
    )
    out: set[int] = set()
    begun, held = 0, 0.0
    for _ in range(round(hours * 3600 * 4)):
        world.network.run(250)
        now = {w for w in world.workers if world.excluded_at(w)}
        begun += len(now - out)
        held += len(now) / 4 / 3600
        out = now
        world.sent.clear()
        world.failed.clear()
    return hours * len(world.workers), begun, held


def decision_us() -> float:
    """CPU of judging once, at a member of 24 of which all speak of three workers; the least of five."""
    world = World(24, 16, 1, rate=8.0)
    bad = set(world.workers[:3])
    world.result_of = lambda now, name, worker: (
        Observation.REPORTED_FAILURE if worker in bad else Observation.SUCCESS
    )
    world.network.run(4000)
    panel = world.members["m0"].panel
    best = float("inf")
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(50):
            panel._evaluate(panel._evaluated_at)
        best = min(best, (time.perf_counter() - began) / 50)
    return best * 1e6


def at(values: list[float], part: float) -> float:
    """The value that this part of them stays under; nan for none."""
    return values[min(len(values) - 1, int(part * len(values)))] if values else float("nan")


def chart(rows: list[dict[str, Any]], path: Path) -> None:
    """Jobs lost by size, together and alone."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, place = pyplot.subplots(figsize=(6, 3.4))
    for together, label in ((False, "each for itself"), (True, "together")):
        mine = [r for r in rows if r["together"] is together and not r.get("cut")]
        sizes = sorted({r["nodes"] for r in mine})
        for loss, style in ((0.0, "-"), (0.1, "--"), (0.3, ":")):
            of = [[r["lost"] for r in mine if r["nodes"] == n and r["loss"] == loss] for n in sizes]
            color = "tab:blue" if together else "tab:red"
            means = [sum(found) / len(found) if found else float("nan") for found in of]
            place.plot(sizes, means, style, marker="o", color=color, label=f"{label}, {loss:.0%} lost")
    place.set_xscale("log")
    place.set_yscale("log")
    place.set_xlabel("nodes (3 to 24 real processes, 50 and 200 in virtual time)")
    place.set_ylabel("jobs lost in ten seconds")
    place.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def tell_real(rows: list[dict[str, Any]]) -> None:
    """Real processes, together against each for itself."""
    print("| processes | lost, cut | jobs lost together | each for itself | all act after the third |")
    print("| --- | --- | --- | --- | --- |")
    for one in sorted((r for r in rows if r["together"]), key=lambda r: (r["nodes"], r["cut"], r["loss"])):
        alike = ("nodes", "loss", "cut")
        alone = next(r for r in rows if not r["together"] and all(r[k] == one[k] for k in alike))
        what = "in halves" if one["cut"] else f"{one['loss']:.0%}"
        print(f"| {one['nodes']} | {what} | {one['lost']} | {alone['lost']} | {one['act']:.2f} s |")


def tell_words(told: list[dict[str, Any]]) -> None:
    """Operators' words."""
    print("\n| words, nodes | lost | obeyed p50 | p99 | all | answered p50 | not done |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for t in sorted(told, key=lambda t: (t["nodes"], t["loss"])):
        times = (at(t["obeyed"], 0.5), at(t["obeyed"], 0.99), at(t["obeyed"], 1.0), at(t["answered"], 0.5))
        shown = " | ".join(f"{1000 * x:.0f} ms" for x in times)
        print(f"| {t['nodes']} | {t['loss']:.0%} | {shown} | {t['undone']} of {len(t['answered'])} |")


def tell_virtual(far: list[dict[str, Any]], hours: list[tuple[float, int, float]]) -> None:
    """Large groups, and long times without a bad worker."""
    print("\n| virtual | lost | together | each for itself | all act after | bytes/s quiet | bytes/s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for n, loss in sorted({(r["nodes"], r["loss"]) for r in far}):
        mine = [r for r in far if r["nodes"] == n and r["loss"] == loss]
        lost = ["/".join(str(r["lost"]) for r in mine if r["together"] is t) for t in (True, False)]
        acts = "/".join(f"{r['act']:.2f}" for r in mine if r["together"])
        last = next(r for r in mine if r["together"])
        volume = f"{last['quiet']:.0f} | {last['bytes']:.0f}"
        print(f"| {n} | {loss:.0%} | {lost[0]} | {lost[1]} | {acts} s | {volume} |")
    total, begun, held = (sum(x[i] for x in hours) for i in range(3))
    print(f"\nWithout a bad worker, {total:.0f} worker-hours: {begun} verdicts, {held:.4f} hours out")
    print(f"({held / total:.4%}). Judging once at one of 24: {decision_us():.0f} µs.")


def main() -> None:
    """Measure, print, and keep figures and chart."""
    parser = argparse.ArgumentParser(prog="python -m bench.verdicts")
    parser.add_argument("--out", type=Path, default=Path("docs/results"))
    parser.add_argument("--part", choices=("all", "real", "virtual"), default="all")
    parser.add_argument("--at-once", type=int, default=2, help="rigs played side by side")
    parser.add_argument("--hours", type=float, default=0.5, help="simulated, for each of seven groups")
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    path = options.out / "verdicts.json"
    kept: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    losses, both = (0.0, 0.1, 0.3), (True, False)
    if options.part != "virtual":
        ways = [(loss, False) for loss in losses] + [(0.0, True)]
        plays = [(n, loss, cut, t, 31 + n) for n in (24, 9, 3) for loss, cut in ways for t in both]
        with mp.get_context("spawn").Pool(options.at_once, maxtasksperchild=1) as pool:
            kept["real"] = pool.map(real_case, plays, chunksize=1)
            words_plays = [(n, loss, 7) for n in (24, 9) for loss in losses]
            kept["words"] = pool.map(words_case, words_plays, chunksize=1)
        tell_real(kept["real"])
        tell_words(kept["words"])
    if options.part != "real":
        with mp.get_context("fork").Pool(7) as pool:
            sizes = [(n, loss, t, s) for n in (200, 50) for loss in losses for t in both for s in (1, 2)]
            kept["virtual"] = pool.map(virtual, sizes, chunksize=1)
            given = [(seed, options.hours) for seed in range(7)]
            kept["hours"] = pool.map(false_verdicts, given, chunksize=1)
        tell_virtual(kept["virtual"], kept["hours"])
    path.write_text(json.dumps(kept) + "\n")
    chart([*kept.get("real", []), *kept.get("virtual", [])], options.out / "verdicts.png")


if __name__ == "__main__":
    main()
