"""The cost of a list of thousands of workers, and what is remembered of workers that have left it."""

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

SMALL, LARGE = 200, 3200  # numbers of workers, a factor of 16 apart


def entry(worker: int, state: api.WorkerState = api.WorkerState.UP, started: float = 0.0) -> api.WorkerEntry:
    # Numbers are spread like those of real names, so that slices of a large fleet have similar sizes.
    number = mix(worker)
    return api.WorkerEntry(worker=number, weight=5.0, started_ms=started, begun_ms=started, state=state)


DECISIONS = tuple(
    f"spoolpier/{name}.py"
    for name in ("dispatcher", "workers", "ledger", "signatures", "state", "hashing", "constants")
)


def lines_run(files: str | tuple[str, ...], work: Callable[..., object], *arguments: object) -> int:
    """Returns how many lines of these files a call executes: a cost that is equal on all machines."""
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        if not frame.f_code.co_filename.endswith(files):
            return None
        count += event == "line"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        work(*arguments)
    finally:
        sys.settrace(previous)
    return count


class StubEngine:
    """Takes the place of the engine and ignores list changes."""

    def worker_list_changed(self, worker_list: api.WorkerList) -> None:
        """Does nothing."""


def pool_with(worker_count: int, **limits: Any) -> tuple[PoolConfig, Config]:
    dispatcher_settings = settings(dispatchers=200, me=7, may_tell=True, nominal_weights=True)
    peers = tuple(("127.0.0.1", 1000 + n) for n in range(200))
    config = Config("n7", dispatcher_settings, Limits(**limits), ("a",), (), (), ("m",), 1, peers=peers)
    pool = PoolConfig(config, Clock())
    pool.engine = cast(Engine, StubEngine())
    pool.apply_list({"rev": 1, "all": True, "targets": [target(i) for i in range(worker_count)]})
    return pool, config


def target(number: int, state: str = "in_service") -> dict[str, Any]:
    endpoint = f"127.0.{number >> 8 & 255}.{number & 255}:8081"
    return {"uid": f"s-{number}", "endpoint": endpoint, "az": "a", "model": "m", "state": state}


class HandoverTest(unittest.IsolatedAsyncioTestCase):
    """The list that a process hands over to the one that replaces it."""

    async def test_a_drain_in_an_unreadable_entry_is_handed_over(self) -> None:
        for state in ("terminating", "retiring", 7):
            pool, _ = pool_with(2)
            pool.apply_list(
                {"rev": 2, "all": False, "targets": [{"uid": "s-1", "state": state, "endpoint": "?"}]}
            )
            newer, _ = pool_with(0)
            newer.apply_list(pool.snapshot(), cached=True)
            states = {entry.worker: entry.state for entry in newer.entries.values()}
            self.assertEqual(states[worker_number("s-1")], api.WorkerState.DRAINING, state)
            self.assertEqual(states[worker_number("s-0")], api.WorkerState.UP)

    async def test_a_termination_in_an_unreadable_entry_is_handed_over(self) -> None:
        pool, _ = pool_with(2)
        pool.apply_list(
            {"rev": 2, "all": False, "targets": [{"uid": "s-1", "state": "terminated", "endpoint": 1}]}
        )
        self.assertEqual([item["uid"] for item in pool.snapshot()["targets"]], ["s-0"])


class ChangeCostTest(unittest.IsolatedAsyncioTestCase):
    """The cost of a change to one worker must not grow with the number of workers."""

    def warmed_up(self, workers: int) -> Dispatcher:
        d = Dispatcher(settings(dispatchers=200, me=7, nominal_weights=True, tells_start=True), seed=1)
        whole = api.WorkerList(api.ListForm.FULL, tuple(entry(i) for i in range(workers)))
        d.step(0.0, [whole, api.Shares((), fleet=True)])
        for i in range(50):  # computes and caches the orders of the workers
            d.step(10.0 + i, [job(f"j{i}", key=i)])
        return d

    def test_applying_a_change_does_not_examine_all_workers(self) -> None:
        line_counts = {}
        for workers in (SMALL, LARGE):
            d = self.warmed_up(workers)
            drain = api.WorkerList(api.ListForm.DELTA, (entry(3, api.WorkerState.DRAINING),))
            restart = api.WorkerList(api.ListForm.DELTA, (entry(3, started=500.0),))
            line_counts[workers] = lines_run(DECISIONS, d.step, 1000.0, [drain])
            line_counts[workers] += lines_run(DECISIONS, d.step, 2000.0, [restart])
        self.assertLess(line_counts[LARGE], 1.5 * line_counts[SMALL], line_counts)

    def test_a_job_after_a_change_examines_only_its_keys_slice(self) -> None:
        line_counts = {}
        for workers in (2 * SMALL, LARGE):
            d = self.warmed_up(workers)
            d.step(1000.0, [api.WorkerList(api.ListForm.DELTA, (entry(3, api.WorkerState.DRAINING),))])
            line_counts[workers] = max(
                lines_run(DECISIONS, d.step, 1100.0 + i, [job(f"k{i}", key=i)]) for i in range(10)
            )
        self.assertLess(line_counts[LARGE], 1.5 * line_counts[2 * SMALL], line_counts)

    async def test_updating_one_part_does_not_examine_workers_of_other_parts(self) -> None:
        line_counts = {}
        for workers in (SMALL, LARGE):
            pool, config = pool_with(0)
            neighbours = FleetNeighbours(config, pool.clock)
            pool.entry_listeners.append(neighbours.on_entry_changed)
            pool.apply_list({"rev": 2, "all": True, "targets": [target(i) for i in range(workers)]})
            neighbours.shares()
            number = next(i for i in range(workers) if pool_module.worker_number(f"s-{i}") % 5 == 2)
            change = {"rev": 3, "all": False, "targets": [target(number, "terminating")]}
            pool.apply_list(change)  # in this node's own part; the other parts are unchanged
            line_counts[workers] = lines_run("neighbours.py", neighbours.shares)
        self.assertLess(line_counts[LARGE], 1.5 * line_counts[SMALL] + 5, line_counts)


class FormerWorkersTest(unittest.IsolatedAsyncioTestCase):
    """Memory for workers that have left is bounded: replacement machines have new names all the time."""

    def test_the_decision_module_forgets_workers_that_left(self) -> None:
        d = Dispatcher(settings(), seed=1)
        d.step(0.0, [api.WorkerList(api.ListForm.FULL, tuple(entry(i) for i in range(20)))])
        for i in range(20, 3020):
            removed = entry(i - 20, api.WorkerState.REMOVED)
            d.step(1000.0 * i, [api.WorkerList(api.ListForm.DELTA, (removed, entry(i)))])
        self.assertLess(len(d.table.workers), 200)
        self.assertEqual(sum(w.up for w in d.table.workers.values()), 20)

    def test_a_worker_that_still_runs_a_job_is_remembered(self) -> None:
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

    async def test_the_node_closes_connections_and_limits_names_of_workers_that_left(self) -> None:
        pool, _ = pool_with(20)
        original, pool_module.MAX_LEFT_WORKERS = pool_module.MAX_LEFT_WORKERS, 100
        self.addCleanup(setattr, pool_module, "MAX_LEFT_WORKERS", original)
        for i in range(20, 1020):
            removed = target(i - 20, "terminated")
            pool.apply_list({"rev": i, "all": False, "targets": [removed, target(i)]})
        self.assertEqual((len(pool.destinations), len(pool.entries), len(pool.left_workers)), (20, 20, 100))
        self.assertTrue(pool.is_known("s-999"))  # operators may still name a worker that has just left
        self.assertFalse(pool.is_known("s-1"))


if __name__ == "__main__":
    unittest.main()
