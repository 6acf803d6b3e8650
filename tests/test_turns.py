"""Lent time slices at cold workers: no two nodes use a dispatcher index in the same time slice.

Both would spend the budget of that time slice and overload the cold worker. It can come about by lost or
duplicate messages, drifting clocks, suspensions and restarts.
"""

from __future__ import annotations

import random
import unittest
from typing import Any

from pebbledrift.limits.escrow import LoanRequest
from pebbledrift.limits.turns import TimeSliceLoans, pack_grant, pack_request, unpack_grant, unpack_request

SLICE_MS = 1000.0


class Simulation:
    """Nodes with drifting clocks, unreliable messages, suspensions, restarts and shifting traffic."""

    def __init__(self, seed: int, nodes: int = 5, faults: bool = True) -> None:
        self.rng = rng = random.Random(seed)
        self.count, self.faults = nodes, faults
        self.rates = [1 + rng.uniform(-1e-3, 1e-3) for _ in range(nodes)]
        self.offsets = [rng.uniform(0, 1e9) for _ in range(nodes)]
        self.incarnations = [0] * nodes
        self.suspended_until = [0.0] * nodes
        self.now = 0.0
        self.nodes = [self.node(i, False) for i in range(nodes)]
        self.in_transit: list[tuple[float, int, int, int, bool, bytes]] = []
        # by dispatcher index: the node that used it last, its incarnation, and when
        self.last_use: dict[int, tuple[int, int, float]] = {}
        self.violations: list[str] = []
        self.busy = 0.0

    def clock(self, i: int) -> float:
        return self.offsets[i] + self.now * self.rates[i]

    def node(self, i: int, may_have_lent: bool = True) -> TimeSliceLoans:
        rng = self.rng
        seed = rng.getrandbits(30)
        return TimeSliceLoans(
            i, SLICE_MS, self.clock(i), lambda: rng.getrandbits(64) or 1, seed, may_have_lent
        )

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += 25.0
            if self.faults:
                self.inject_fault()
            due = [message for message in self.in_transit if message[0] <= self.now]
            self.in_transit = [message for message in self.in_transit if message[0] > self.now]
            self.rng.shuffle(due)
            for message in due:
                self.deliver(*message)
            for i, node in enumerate(self.nodes):
                if self.suspended_until[i] <= self.now:
                    self.check_use(i, node)
                    others = [str(j) for j in range(self.count) if j != i]
                    for peer, request in node.due_requests(self.clock(i), others):
                        self.send(i, int(peer), True, pack_request(request))

    def check_use(self, i: int, node: TimeSliceLoans) -> None:
        for index in node.usable_indexes(self.clock(i)):
            last = self.last_use.get(index)
            # another node must have used the index last in an earlier time slice
            if (
                last is not None
                and last[:2] != (i, self.incarnations[i])
                and self.now - last[2] < 0.97 * SLICE_MS
            ):
                self.violations.append(f"index {index} at {i} {self.now - last[2]:.0f} ms after {last}")
            self.last_use[index] = i, self.incarnations[i], self.now

    def inject_fault(self) -> None:
        rng = self.rng
        if rng.random() < 0.02:
            weights = [rng.choice([0.1, 1.0, 10.0]) for _ in range(self.count)]
            for node, weight in zip(self.nodes, weights, strict=True):
                node.entitled = weight / sum(weights) * self.count
        i = rng.randrange(self.count)
        if rng.random() < 0.01:
            self.suspended_until[i] = self.now + rng.uniform(50, 9000)
        elif rng.random() < 0.01:
            self.incarnations[i] += 1
            self.nodes[i], self.suspended_until[i] = self.node(i), 0.0

    def send(self, i: int, to: int, is_request: bool, body: bytes) -> None:
        copies = self.rng.choice([0, 1, 1, 1, 2]) if self.faults else 1
        for _ in range(copies):
            self.in_transit.append(
                (self.now + self.rng.expovariate(1 / 40.0), i, self.incarnations[i], to, is_request, body)
            )

    def deliver(
        self, at: float, sender: int, incarnation: int, to: int, is_request: bool, body: bytes
    ) -> None:
        if self.suspended_until[to] > self.now:
            self.in_transit.append((at + 50.0, sender, incarnation, to, is_request, body))
        elif is_request:
            grant = self.nodes[to].handle_request(
                self.clock(to), f"{sender}.{incarnation}", unpack_request(body)
            )
            self.send(to, sender, False, pack_grant(grant))
        else:
            self.nodes[to].handle_grant(self.clock(to), str(sender), sender, unpack_grant(body))


class TimeSliceLoansTest(unittest.TestCase):
    def test_no_index_has_two_users_under_random_faults(self) -> None:
        for seed in range(60):
            simulation = Simulation(seed)
            simulation.run(40_000.0)
            self.assertEqual(simulation.violations, [], seed)

    def test_each_mutant_lets_an_index_have_two_users(self) -> None:
        def uses_index_after_restart(simulation: Simulation) -> None:
            simulation.node = lambda i, may_have_lent=True: type(simulation).node(simulation, i, False)  # type: ignore[method-assign]

        def uses_index_without_guard_time(simulation: Simulation) -> None:
            for node in simulation.nodes:
                node.guard_ms = 0.0

        for mutant in (uses_index_after_restart, uses_index_without_guard_time):
            violations: list[Any] = []
            for seed in range(40):
                simulation = Simulation(seed)
                mutant(simulation)
                simulation.run(40_000.0)
                violations += simulation.violations
            self.assertTrue(violations, mutant.__name__)

    def test_indexes_follow_traffic_and_return_to_their_owners(self) -> None:
        simulation = Simulation(1, faults=False)
        for node, entitled in zip(simulation.nodes, (3.9, 0.3, 0.3, 0.3, 0.2), strict=True):
            node.entitled = entitled
        simulation.run(6000.0)
        self.assertEqual(len(simulation.nodes[0].usable_indexes(simulation.clock(0))), 4)
        for _ in range(10):  # constant over the duration of several loans
            simulation.run(1000.0)
            self.assertEqual(len(simulation.nodes[0].usable_indexes(simulation.clock(0))), 4)
        for node in simulation.nodes:
            node.entitled = 1.0
        simulation.run(9000.0)
        own = [node.usable_indexes(simulation.clock(i)) for i, node in enumerate(simulation.nodes)]
        self.assertEqual(own, [(i,) for i in range(5)])
        self.assertEqual(simulation.violations, [])

    def test_a_restarted_node_uses_its_index_after_all_possible_loans_expired(self) -> None:
        node = TimeSliceLoans(3, SLICE_MS, 100.0, lambda: 1, 1)
        self.assertEqual(node.usable_indexes(100.0 + 2.9 * SLICE_MS), ())
        self.assertEqual(node.handle_request(200.0, "x", LoanRequest(1, 1)).units, 0)
        self.assertEqual(node.usable_indexes(100.0 + 3.1 * SLICE_MS), (3,))

    def test_invalid_bytes_raise_an_error(self) -> None:
        for unpack in (unpack_request, unpack_grant):
            for body in (b"", b"x" * 8, b"\xff" * 9, b"x" * 30):
                with self.assertRaises(ValueError):
                    unpack(body)
