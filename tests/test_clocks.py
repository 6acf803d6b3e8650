"""The wall clock may be stepped, and differ between machines: spans of time are real ones."""

from __future__ import annotations

import time
import unittest
from dataclasses import replace

from pebbledrift.discovery.incarnations import Incarnations
from spoolpier import Dispatcher
from spoolpier import interface as api
from tests.acts import serve
from tests.node import NodeTest, Worker, eventually

HOUR = 3_600_000.0
COLD = api.Settings(
    classes=(api.JobClass(aim_ms=400.0, deadline_ms=5000.0),),
    cold_share=0.5,
    cold_ms=20_000.0,
    fall_multiple=4.0,
    fall_ms=1000.0,
    tells_start=True,
)


class IncarnationTest(unittest.TestCase):
    def test_a_process_is_as_old_as_the_newest_start_shows_and_no_older(self) -> None:
        known = Incarnations()
        targets = [{"boot_ms": 1000}, {"boot_ms": 5000}, {"boot_ms": 0}, "no entry", {"boot_ms": "x"}]
        known.heard(targets)
        self.assertEqual(known.since_ms(1, 1000.0, 70_000.0), 66_000.0)
        self.assertEqual(known.since_ms(2, 5000.0, 70_000.0), 70_000.0)
        self.assertEqual(known.since_ms(3, 0.0, 70_000.0), 0.0)

    def test_what_is_heard_later_makes_no_process_older_and_none_younger(self) -> None:
        known = Incarnations()
        known.heard([{"boot_ms": 1000}])
        self.assertEqual(known.since_ms(1, 1000.0, 500.0), 500.0)
        known.heard([{"boot_ms": 1000 + HOUR}])  # the wall clock was stepped, and another worker started
        self.assertEqual(known.since_ms(1, 1000.0, 900.0), 500.0)

    def test_starts_of_one_worker_are_bounded(self) -> None:
        known = Incarnations()
        for start in range(1, 100):
            known.since_ms(1, float(start), 0.0)
        self.assertLessEqual(len(known._known[1]), 4)


class CommonClockTest(unittest.TestCase):
    """One dispatcher, a cold worker, and jobs enough to spend each turn's part at once."""

    def sends(self, d: Dispatcher, now: float, *events: api.Event) -> int:
        """How many of forty jobs go out in this moment, each done at once."""
        jobs = [api.Arrival(f"{now}-{i}", 0, 5000.0, hint_ms=50.0) for i in range(40)]
        told: list[api.Event] = [*events, *jobs]
        count = 0
        while sent := [a for a in d.step(now + count * 0.001, told) if isinstance(a, api.Send)]:
            count += len(sent)
            told = [api.Outcome(a.job, 0, a.worker, api.OutcomeKind.SERVED, 1.0, True) for a in sent]
        return count

    def test_a_step_of_the_common_clock_gives_no_turn_twice(self) -> None:
        for ahead in (-HOUR, -5000.0, 5000.0, HOUR):
            d = Dispatcher(COLD, seed=1)
            entry = api.WorkerEntry(1, weight=40.0, started_ms=10_000.0, begun_ms=10_000.0)
            d.step(10_000.0, [api.WorkerList(api.ListForm.FULL, (entry,))])
            self.assertGreater(self.sends(d, 10_500.0), 0)
            # the turn of before is by the new count another one: its part is not to be had once more
            self.assertEqual(self.sends(d, 10_510.0, api.CommonClock(ahead)), 0)
            self.assertEqual(self.sends(d, 12_400.0), 0)
            self.assertGreater(self.sends(d, 12_600.0), 0)

    def test_drift_takes_no_turn(self) -> None:
        d = Dispatcher(COLD, seed=1)
        entry = api.WorkerEntry(1, weight=40.0, started_ms=10_000.0, begun_ms=10_000.0)
        d.step(10_000.0, [api.WorkerList(api.ListForm.FULL, (entry,))])
        self.assertGreater(self.sends(d, 11_500.0, api.CommonClock(3.0)), 0)

    def test_turns_follow_the_common_clock_and_not_each_dispatchers_own(self) -> None:
        """Each of five dispatchers has its turn at times of the common clock that no other one has."""
        turns: list[set[int]] = []
        for me in range(5):
            d = Dispatcher(replace(COLD, dispatchers=5, me=me, fall_multiple=0.4), seed=1)
            entry = api.WorkerEntry(1, weight=8.0, started_ms=1000.0, begun_ms=1000.0)
            ahead = me * 777.0  # their own clocks differ
            d.step(1000.0, [api.CommonClock(ahead), api.WorkerList(api.ListForm.FULL, (entry,))])
            found = set()
            for turn in range(6, 18):
                now = turn * 1000.0 + 500.0 - ahead
                if self.sends(d, now):
                    found.add(turn)
            turns.append(found)
        self.assertTrue(any(turns))
        for turn in range(6, 18):
            self.assertLessEqual(sum(turn in found for found in turns), 2)


class ColdByHearsayTest(NodeTest):
    def test_a_worker_that_starts_anew_is_cold_whatever_the_wall_clock_says_of_its_start(self) -> None:
        for step in (-HOUR, -5000.0, HOUR):
            worker = Worker("s-1", serve)
            node, discovery = self.platform(worker)
            self.assertEqual(node.job("a")[0], 200)
            # the wall clock was stepped after this node's start, and the worker's start is told by it
            discovery.change({**worker.target(), "boot_ms": time.time() * 1000 + step})
            eventually(lambda node=node: node.job(f"b{time.monotonic()}", budget=0.3)[0] == 503)  # type: ignore[misc]
            taken = len(worker.taken)
            statuses = [node.job(f"c{i}", budget=0.3)[0] for i in range(3)]
            # a job of 400 ms is more than a process of a few ms of age is sent in a second
            self.assertEqual((statuses, len(worker.taken)), ([503] * 3, taken))
