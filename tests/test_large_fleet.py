"""What forty nodes do at once: the turns in which they call a service that all share."""

from __future__ import annotations

import random
import unittest
from itertools import pairwise

from pebbledrift.turns import Turns


def turns_of(number: int, nodes: int) -> Turns:
    return Turns(number, nodes, turn_ms=170.0, at_once_ms=1500.0, rounds_most=4)


def served(nodes: int, by_turns: bool, seed: int) -> float:
    """Seconds until a service that needs 150 ms a call has answered all nodes, which start together.

    It works in order, also on calls that their callers gave up on after 2 s: as a busy discovery does.
    """
    draw = random.Random(seed)
    turns = [turns_of(n, nodes) for n in range(nodes)]
    calls = [((t.wait_ms(0.0) if by_turns else draw.uniform(0, 50)), n) for n, t in enumerate(turns)]
    free = 0.0
    while calls:
        calls.sort()
        now, n = calls.pop(0)
        if now > 60_000:
            return 60.0
        free = max(free, now) + 150.0
        if free - now > 2000.0:
            turns[n].failed()
            again = now + 2000.0
            pause = turns[n].wait_ms(again) if by_turns else draw.uniform(500, 1000)
            calls.append((again + pause, n))
    return free / 1000


class TurnsTest(unittest.TestCase):
    def test_no_two_nodes_of_a_large_fleet_have_a_turn_together(self) -> None:
        turns = [turns_of(n, 40) for n in range(40)]
        for now in (0.0, 12_345.6, 1.8e12):
            calls = sorted(t.wait_ms(now) for t in turns)
            gaps = [b - a for a, b in pairwise(calls)]
            self.assertGreater(min(gaps), 160.0)
            self.assertLessEqual(calls[-1], 40 * 170.0)

    def test_a_fleet_that_starts_at_once_is_served_in_one_round(self) -> None:
        self.assertLess(served(40, True, 1), 7.5)
        self.assertEqual(served(40, False, 1), 60.0)  # what turns are for: such a crowd never gets through

    def test_a_small_group_calls_at_once_and_waits_for_its_turn_after_a_failure(self) -> None:
        turns = turns_of(1, 3)
        self.assertEqual(turns.wait_ms(100.0), 0.0)
        turns.failed()
        self.assertAlmostEqual(turns.wait_ms(100.0), 70.0)
        turns.succeeded()
        self.assertEqual(turns.wait_ms(100.0), 0.0)

    def test_failures_thin_the_calls_out_up_to_a_bound(self) -> None:
        turns = turns_of(0, 40)
        waits = []
        for _ in range(6):
            turns.failed()
            waits.append(round(turns.wait_ms(0.0) / turns.round_ms))
        self.assertEqual(waits, [1, 2, 4, 4, 4, 4])
