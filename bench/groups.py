"""Figures of docs/membership.md, in virtual time: python -m bench.groups. Some minutes; prints Markdown.

The network and the groups are those of the tests; each run has a seed and can be played again.
"""

from __future__ import annotations

import argparse
import multiprocessing as mp
import random
from typing import Any

from pebbledrift.membership.group import State, Times
from tests.test_duties import UNITS, DutyWorld
from tests.test_membership import World


def traffic(size: int) -> tuple[int, float, float, float]:
    """Size; seconds until all agree; bytes and datagrams a second for each member, in a quiet group."""
    world = World(size, 1)
    took = world.network.until(world.agree, 120_000) / 1000
    world.network.run(20_000)
    sent, size_sent = world.network.sent, world.network.sent_bytes
    world.network.run(20_000)
    each = size * 20
    return size, took, (world.network.sent_bytes - size_sent) / each, (world.network.sent - sent) / each


def kill(given: tuple[int, int, float]) -> tuple[float, float, float]:
    """After one kill: ms until somebody suspects, until all know, and the longest gap of a unit of work."""
    size, seed, loss = given
    world = DutyWorld(size, seed, loss)
    world.network.until(world.agree, 30_000)
    world.network.run(4000)
    victim = random.Random(seed).choice(sorted(world.endpoints))
    began = world.network.now
    world.kill(victim)

    def knowing(*states: State) -> int:
        return sum(len(world.seen(victim, state)) for state in states)

    doubted = world.network.until(lambda: knowing(State.SUSPECT, State.DEAD) > 0, 30_000)
    known = doubted + world.network.until(lambda: knowing(State.DEAD) == size - 1, 30_000)
    world.network.run(max(0.0, 6000 - known))
    return doubted, known, world.longest_gap(began, world.network.now)


def work(given: tuple[int, float]) -> tuple[float, float]:
    """Without a kill: work done, to that of one node alone; and the longest gap in ms."""
    size, loss = given
    world = DutyWorld(size, 5, loss)
    world.network.until(world.agree, 30_000)
    world.network.run(5000)
    began = world.network.now
    world.network.run(60_000)
    return len(world.entries_since(began)) / (len(UNITS) * 60_000 / 700), world.longest_gap(
        began, world.network.now
    )


def false_deaths(given: tuple[int, float]) -> int:
    """Deaths held of members that run, by anybody, in so many simulated hours of 50 members at 5% loss."""
    seed, hours = given
    world = World(50, seed, 0.05)
    world.network.until(world.agree, 120_000)
    for endpoint in world.endpoints.values():
        endpoint.group.changes.clear()
    found: set[tuple[str, int]] = set()
    for _ in range(max(1, round(hours * 360))):  # ten seconds at a time: a member keeps so many changes only
        world.network.run(10_000)
        for endpoint in world.endpoints.values():
            changes, endpoint.group.changes = endpoint.group.changes, []
            found |= {(c.name, c.incarnation) for c, _ in changes if c.state is State.DEAD}
    return len(found)


def share(values: list[float], part: float) -> float:
    """The value that this part of them stays under."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def main() -> None:
    """Measure and print."""
    arguments = argparse.ArgumentParser(prog="bench.groups")
    arguments.add_argument("--kills", type=int, default=1000)
    arguments.add_argument("--hours", type=float, default=0.25, help="for each of eight groups")
    arguments.add_argument("--period", type=float, default=200.0, help="ms between pings")
    arguments.add_argument("--large", type=int, help="only a group of so many that start at once")
    given: Any = arguments.parse_args()
    World.times = Times(period=given.period, ping=0.3 * given.period)
    if given.large:
        size, took, volume, count = traffic(given.large)
        print(f"{size} members agree after {took:.1f} s; {volume:.0f} bytes/s, {count:.1f} datagrams/s each")
        return
    with mp.get_context("fork").Pool(7) as pool:
        print("| members | all agree after | bytes/s each | datagrams/s each |\n| --- | --- | --- | --- |")
        for size, took, volume, count in pool.map(traffic, (3, 10, 50, 200), chunksize=1):
            print(f"| {size} | {took:.1f} s | {volume:.0f} | {count:.1f} |", flush=True)
        print("\n| members, loss | work to one node's | longest gap |\n| --- | --- | --- |")
        cases = [(size, loss) for size in (3, 5) for loss in (0.0, 0.1, 0.3)]
        for (size, loss), (done, gap) in zip(cases, pool.map(work, cases, chunksize=1), strict=True):
            print(f"| {size}, {loss:.0%} | {done:.3f} | {gap:.0f} ms |", flush=True)
        for loss in (0.0, 0.1, 0.3):
            runs = pool.map(kill, [(5, seed, loss) for seed in range(given.kills)], chunksize=8)
            gaps = [gap for _, _, gap in runs]
            print(f"\n{given.kills} kills in groups of five, loss {loss:.0%}:")
            print(f"- doubted after {share([r[0] for r in runs], 0.5):.0f} ms (median)")
            known = [r[1] for r in runs]
            print(f"- known to all after {share(known, 0.5):.0f} ms (median), {share(known, 0.99):.0f} (p99)")
            under = sum(gap <= 3000 for gap in gaps) / len(gaps)
            worst = max(range(len(gaps)), key=gaps.__getitem__)
            print(f"- unwatched for {share(gaps, 0.5):.0f} ms (median), {share(gaps, 0.999):.0f} (p99.9);")
            print(f"  {under:.1%} within 3 s; the worst {gaps[worst]:.0f} ms, seed {worst}", flush=True)
        deaths = sum(pool.map(false_deaths, [(seed, given.hours) for seed in range(8)], chunksize=1))
        print(f"\nFalse deaths in {8 * given.hours:g} hours of 50 members at 5% loss: {deaths}")


if __name__ == "__main__":
    main()
