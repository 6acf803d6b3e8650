"""What a node's own work costs as the fleet grows: python -m bench.capacity. Prints Markdown.

Decisions (one dispatcher, jobs that come and end), the list of workers (whole, and one change), and memory,
at several numbers of workers. Processor time of one process, best of three; nothing is sent anywhere.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import random
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any, cast

from pebbledrift.bounds import Limits
from pebbledrift.config import Config
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.pool import PoolConfig
from spoolpier import Dispatcher
from spoolpier import interface as api

SIZES = (200, 800, 1600, 3400)
JOBS = 4000
REPEATS = 3


def settings(nodes: int, tenants: int) -> api.Settings:
    """A fleet's settings; its parts tell each other what they fill."""
    return api.Settings(
        classes=(
            api.JobClass(aim_ms=400.0, deadline_ms=5000.0, effect=api.Effect.UNSAFE),
            api.JobClass(aim_ms=1000.0, deadline_ms=20_000.0),
        ),
        dispatchers=nodes,
        tenants=tuple(api.Tenant(1 / tenants, 10.0) for _ in range(tenants)),
        tells_start=True,
        may_tell=True,
        nominal_weights=True,
        cold_ms=24_000.0,
        cold_share=0.2,
        fall_multiple=4.0,
    )


def targets(count: int) -> list[dict[str, Any]]:
    """A list in discovery's words."""
    return [
        {
            "uid": f"s-{i:08x}",
            "endpoint": f"127.{i >> 14 & 255}.{i >> 7 & 127}.{i & 127}:8081",
            "az": "a",
            "model": "m2",
            "pod_group": i % 40,
            "state": "in_service",
            "capacity_hint": 4.0,
            "boot_ms": 0,
        }
        for i in range(count)
    ]


def best(measure: Callable[[], float]) -> float:
    """The least of several runs: the machine's other work only adds."""
    return min(measure() for _ in range(REPEATS))


def decide(workers: int, nodes: int, tenants: int, keys: int) -> float:
    """Microseconds of a job: its arrival, its send and its end, a few at a time."""
    chance = random.Random(7)
    d = Dispatcher(settings(nodes, tenants), seed=1)
    entries = tuple(api.WorkerEntry(chance.getrandbits(64), weight=4.0) for _ in range(workers))
    d.step(0.0, [api.WorkerList(api.ListForm.FULL, entries), api.Shares((), fleet=True)])
    drawn = [chance.randrange(keys) for _ in range(JOBS)]
    jobs = [api.Arrival(f"j{i}", i % 2, 5000.0, key=key, hint_ms=200.0) for i, key in enumerate(drawn)]
    began, now = time.process_time(), 0.0
    events: list[api.Event] = []
    for at in range(0, JOBS, 4):
        now += 4.0
        sends = [a for a in d.step(now, [*events, *jobs[at : at + 4]]) if isinstance(a, api.Send)]
        events = [api.Outcome(s.job, 0, s.worker, api.OutcomeKind.SERVED, 4.0, True) for s in sends]
    return (time.process_time() - began) / JOBS * 1e6


class Unheard:
    """In the engine's place: the cost of a step is measured elsewhere."""

    def worker_list_changed(self, news: api.WorkerList) -> None:
        """Nothing."""

    def step_now(self) -> None:
        """Nothing."""


async def follow(workers: int) -> dict[str, float]:
    """Milliseconds to take a whole list in, microseconds for one change, and the list's bytes."""
    config = Config("n0", settings(330, 10), Limits(), ("a", "b"), (), ("a",), ("m2",), seed=1)
    text = json.dumps({"rev": 1, "all": True, "targets": targets(workers)})
    change = json.dumps({"rev": 2, "all": False, "targets": targets(workers)[-1:]})
    pool = PoolConfig(config, Clock())
    pool.engine = cast(Engine, Unheard())

    def whole() -> float:
        began = time.process_time()
        pool.apply_list(json.loads(text))
        return (time.process_time() - began) * 1000

    def one() -> float:
        began = time.process_time()
        for _ in range(100):
            pool.apply_list(json.loads(change))
        return (time.process_time() - began) * 1e4

    d = Dispatcher(config.settings, seed=1)
    entries = tuple(pool.entries.values())
    found = {"whole_ms": best(whole), "change_us": best(one), "bytes": float(len(text))}
    entries = tuple(pool.entries.values())
    d.step(0.0, [api.WorkerList(api.ListForm.FULL, entries)])

    moments = itertools.count(1.0)

    def step() -> float:
        began = time.process_time()
        for _ in range(20):
            d.step(next(moments), [api.WorkerList(api.ListForm.DELTA, entries[-1:])])
        return (time.process_time() - began) / 20 * 1e6

    found["step_us"] = best(step)
    return found


MEMORY = """
import asyncio, sys
from bench.capacity import remember
asyncio.run(remember(int(sys.argv[1])))
"""


async def remember(workers: int) -> None:
    """Print this process's resident memory in kB, with a list of so many workers held by pool and module."""
    config = Config("n0", settings(330, 10), Limits(), ("a", "b"), (), ("a",), ("m2",), seed=1)
    pool = PoolConfig(config, Clock())
    pool.engine = cast(Engine, Unheard())
    pool.apply_list({"rev": 1, "all": True, "targets": targets(workers)})
    d = Dispatcher(config.settings, seed=1)
    d.step(0.0, [api.WorkerList(api.ListForm.FULL, tuple(pool.entries.values()))])
    with open("/proc/self/statm") as file:
        print(int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024)


def resident_kb(workers: int) -> int:
    """The same of a process of its own."""
    done = subprocess.run(
        [sys.executable, "-c", MEMORY, str(workers)], capture_output=True, text=True, check=True
    )
    return int(done.stdout)


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    arguments = parser.parse_args()
    print("| workers | a job, us | whole list, ms | bytes | one change, us | its step, us | resident, kB |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for workers in arguments.sizes:
        job = best(lambda workers=workers: decide(workers, 330, 10, 2000))  # type: ignore[misc]
        found = asyncio.run(follow(workers))
        print(
            f"| {workers} | {job:.0f} | {found['whole_ms']:.1f} | {found['bytes']:.0f} |"
            f" {found['change_us']:.0f} | {found['step_us']:.0f} | {resident_kb(workers)} |"
        )
    print("\n| nodes, tenants, keys | a job, us, 800 workers |\n| --- | --- |")
    for nodes, tenants, keys in ((40, 10, 2000), (330, 10, 2000), (330, 1500, 2000), (330, 1500, 50_000)):
        job = best(lambda n=nodes, t=tenants, k=keys: decide(800, n, t, k))  # type: ignore[misc]
        print(f"| {nodes}, {tenants}, {keys} | {job:.0f} |")


if __name__ == "__main__":
    main()
