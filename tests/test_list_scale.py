"""What a list of thousands of workers costs, and what is kept of those that have left it."""

from __future__ import annotations

import sys
import unittest
from collections.abc import Callable
from types import FrameType
from typing import Any, cast

from pebbledrift import pool as pool_module
from pebbledrift.bounds import Limits
from pebbledrift.config import Config
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.fleet.neighbours import FleetNeighbours
from pebbledrift.pool import PoolConfig, worker_number
from spoolpier import Dispatcher
from spoolpier import interface as api
from spoolpier.hashing import mix
from tests.helpers import job, outcome, sends, settings

SMALL, LARGE = 200, 3200  # workers: sixteen times as many


def entry(worker: int, state: api.WorkerState = api.WorkerState.UP, started: float = 0.0) -> api.WorkerEntry:
    # spread as names are, so that slices of a large fleet are alike
    number = mix(worker)
    return api.WorkerEntry(worker=number, weight=5.0, started_ms=started, begun_ms=started, state=state)


DECISIONS = tuple(
    f"spoolpier/{name}.py"
    for name in ("dispatcher", "workers", "ledger", "signatures", "state", "hashing", "constants")
)


def lines_run(where: str | tuple[str, ...], work: Callable[..., object], *arguments: object) -> int:
    """Lines of these source files that a call runs: its work, the same on any machine."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        if not frame.f_code.co_filename.endswith(where):
            return None
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work(*arguments)
    finally:
        sys.settrace(before)
    return count


class Unheard:
    """In the engine's place."""

    def pool_changed(self, news: api.WorkerList) -> None:
        """Nothing."""


def followed(number: int, **more: Any) -> tuple[PoolConfig, Config]:
    known = settings(dispatchers=200, me=7, may_tell=True, nominal_weights=True)
    peers = tuple(("127.0.0.1", 1000 + n) for n in range(200))
    config = Config("n7", known, Limits(**more), ("a",), (), (), ("m",), 1, peers=peers)
    pool = PoolConfig(config, Clock())
    pool.engine = cast(Engine, Unheard())
    pool.take({"rev": 1, "all": True, "targets": [target(i) for i in range(number)]})
    return pool, config


def target(number: int, state: str = "in_service") -> dict[str, Any]:
    place = f"127.0.{number >> 8 & 255}.{number & 255}:8081"
    return {"uid": f"s-{number}", "endpoint": place, "az": "a", "model": "m", "state": state}


class HandedOnTest(unittest.IsolatedAsyncioTestCase):
    """The list as a newer process begins with it."""

    async def test_a_drain_that_stands_beside_what_cannot_be_read_is_handed_on(self) -> None:
        for told in ("terminating", "retiring", 7):
            pool, _ = followed(2)
            pool.take({"rev": 2, "all": False, "targets": [{"uid": "s-1", "state": told, "endpoint": "?"}]})
            newer, _ = followed(0)
            newer.take(pool.whole(), cached=True)
            states = {entry.worker: entry.state for entry in newer.entries.values()}
            self.assertEqual(states[worker_number("s-1")], api.WorkerState.DRAINING, told)
            self.assertEqual(states[worker_number("s-0")], api.WorkerState.UP)

    async def test_an_end_that_stands_beside_what_cannot_be_read_is_handed_on(self) -> None:
        pool, _ = followed(2)
        pool.take({"rev": 2, "all": False, "targets": [{"uid": "s-1", "state": "terminated", "endpoint": 1}]})
        self.assertEqual([held["uid"] for held in pool.whole()["targets"]], ["s-0"])


class ChangeTest(unittest.IsolatedAsyncioTestCase):
    """One worker's change must not be paid for by all others."""

    def decided(self, workers: int) -> Dispatcher:
        d = Dispatcher(settings(dispatchers=200, me=7, nominal_weights=True, tells_start=True), seed=1)
        whole = api.WorkerList(api.ListForm.FULL, tuple(entry(i) for i in range(workers)))
        d.step(0.0, [whole, api.Shares((), fleet=True)])
        for i in range(50):  # orders are worked out
            d.step(10.0 + i, [job(f"j{i}", key=i)])
        return d

    def test_the_module_takes_a_change_in_without_looking_at_all_workers(self) -> None:
        ran = {}
        for workers in (SMALL, LARGE):
            d = self.decided(workers)
            drain = api.WorkerList(api.ListForm.DELTA, (entry(3, api.WorkerState.DRAINING),))
            begin = api.WorkerList(api.ListForm.DELTA, (entry(3, started=500.0),))
            ran[workers] = lines_run(DECISIONS, d.step, 1000.0, [drain])
            ran[workers] += lines_run(DECISIONS, d.step, 2000.0, [begin])
        self.assertLess(ran[LARGE], 1.5 * ran[SMALL], ran)

    def test_a_job_after_a_change_looks_at_its_keys_slice_alone(self) -> None:
        ran = {}
        for workers in (2 * SMALL, LARGE):
            d = self.decided(workers)
            d.step(1000.0, [api.WorkerList(api.ListForm.DELTA, (entry(3, api.WorkerState.DRAINING),))])
            ran[workers] = max(
                lines_run(DECISIONS, d.step, 1100.0 + i, [job(f"k{i}", key=i)]) for i in range(10)
            )
        self.assertLess(ran[LARGE], 1.5 * ran[2 * SMALL], ran)

    async def test_a_part_is_heard_without_looking_at_the_workers_of_the_others(self) -> None:
        ran = {}
        for workers in (SMALL, LARGE):
            pool, config = followed(0)
            neighbours = FleetNeighbours(config, pool.clock)
            pool.entry_listeners.append(neighbours.listed)
            pool.take({"rev": 2, "all": True, "targets": [target(i) for i in range(workers)]})
            neighbours.shares()
            one = next(i for i in range(workers) if pool_module.worker_number(f"s-{i}") % 5 == 2)
            own = {"rev": 3, "all": False, "targets": [target(one, "terminating")]}
            pool.take(own)  # of this node's own part: the other parts are as they were
            ran[workers] = lines_run("neighbours.py", neighbours.shares)
        self.assertLess(ran[LARGE], 1.5 * ran[SMALL] + 5, ran)


class GoneTest(unittest.IsolatedAsyncioTestCase):
    """Machines that replace others have new names, for as long as a node runs."""

    def test_the_module_forgets_workers_that_left(self) -> None:
        d = Dispatcher(settings(), seed=1)
        d.step(0.0, [api.WorkerList(api.ListForm.FULL, tuple(entry(i) for i in range(20)))])
        for i in range(20, 3020):
            old = entry(i - 20, api.WorkerState.REMOVED)
            d.step(1000.0 * i, [api.WorkerList(api.ListForm.DELTA, (old, entry(i)))])
        self.assertLess(len(d.table.workers), 200)
        self.assertEqual(sum(w.up for w in d.table.workers.values()), 20)

    def test_one_that_still_runs_a_job_is_remembered_with_it(self) -> None:
        d = Dispatcher(settings(tells_start=True), seed=1)
        d.step(0.0, [api.WorkerList(api.ListForm.FULL, (entry(1),))])
        [sent] = sends(d.step(10.0, [job("a", grace_ms=500_000.0)]))
        for second in range(1, 200):
            others = [entry(100 + second, api.WorkerState.REMOVED), entry(1, api.WorkerState.DRAINING)]
            d.step(
                1000.0 * second, [api.WorkerList(api.ListForm.DELTA, (others[0], *others[1:][: second < 2]))]
            )
        self.assertEqual(d.table.workers[sent.worker].own_attempts, 1)
        d.step(201_000.0, [outcome(sent, api.OutcomeKind.SERVED)])
        d.step(262_000.0, [api.WorkerList(api.ListForm.DELTA, (entry(2),))])
        d.step(323_000.0, [api.WorkerList(api.ListForm.DELTA, (entry(3),))])
        self.assertNotIn(sent.worker, d.table.workers)

    async def test_the_node_keeps_no_connections_and_few_names_of_workers_that_left(self) -> None:
        pool, _ = followed(20)
        before, pool_module.LEFT_MOST = pool_module.LEFT_MOST, 100
        self.addCleanup(setattr, pool_module, "LEFT_MOST", before)
        for i in range(20, 1020):
            gone = target(i - 20, "terminated")
            pool.take({"rev": i, "all": False, "targets": [gone, target(i)]})
        self.assertEqual((len(pool.destinations), len(pool.entries), len(pool.left)), (20, 20, 100))
        self.assertTrue(pool.names("s-999"))  # operators may still name one that left just now
        self.assertFalse(pool.names("s-1"))


if __name__ == "__main__":
    unittest.main()
