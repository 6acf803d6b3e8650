"""Soft limits without I/O: measured rates, their exchange between nodes, and shares of at most 1 in total."""

from __future__ import annotations

import math
import random
import unittest
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.limit_plays import Fleet, config_of, cuts, faulty, shares, step
from pebbledrift.config import FleetLimitsConfig, LimitConfig
from pebbledrift.limits import bounds
from pebbledrift.limits.book import FIRST_TRIES_KEY, NodeLimits, limit_key
from pebbledrift.limits.demand import InvalidTable, RateMeter, RateTable, TableCodec
from pebbledrift.limits.soft import RemoteDemand, SoftShare, partition_fraction
from pebbledrift.limits.sums import DemandExchange, InvalidMessage, sectors
from pebbledrift.membership.endpoint import DATAGRAM
from pebbledrift.membership.seal import OVERHEAD
from spoolpier import Dispatcher
from spoolpier import interface as api


class RateMeterTest(unittest.TestCase):
    def reported_rates(
        self, meter: RateMeter, rng: random.Random, at: float, rate: float, ms: float
    ) -> list[float]:
        reported = []
        for tick in range(int(at), int(at + ms), 25):
            for _ in range(sum(rng.random() < rate / 1000 for _ in range(25))):
                meter.count(float(tick))
            reported.append(meter.rate(float(tick)))
        return reported

    def test_a_jump_shows_within_half_a_second_and_noise_is_rarely_reported(self) -> None:
        rng, meter = random.Random(1), RateMeter(0.0)
        steady = self.reported_rates(meter, rng, 0.0, 40.0, 12_000)[200:]
        self.assertLess(max(steady), 60.0)
        self.assertGreater(min(steady), 32.0)  # the reported rate errs on the high side
        self.assertLess(sum(a != b for a, b in pairwise(steady)), 20)
        rising = self.reported_rates(meter, rng, 12_000.0, 300.0, 500)
        self.assertGreater(rising[-1], 150.0)
        falling = self.reported_rates(meter, rng, 12_500.0, 0.0, 4000)
        self.assertLess(falling[39], 40.0)  # one second after the drop
        self.assertLess(falling[-1], 2.0)
        self.assertEqual(meter.rate(1e7), 0.0)


class TableCodecTest(unittest.TestCase):
    @given(st.dictionaries(st.integers(0, 0xFFFF), st.floats(0.01, 1e3), max_size=60), st.integers(0, 9))
    def test_any_table_fits_a_datagram_and_no_decoded_rate_is_too_low(
        self, rates: dict[int, float], rotation: int
    ) -> None:
        codec, table = (
            TableCodec(b"secret"),
            RateTable(1, rates, lowest_configured=dict(list(rates.items())[:30])),
        )
        data = codec.pack(table, rotation)
        self.assertLessEqual(len(data) + 7 + OVERHEAD + 1, DATAGRAM)
        decoded = codec.unpack(data)
        for key, rate in rates.items():
            self.assertGreaterEqual(codec.rate(decoded, key), rate)
        self.assertEqual(len(decoded.lowest_configured), min(8, len(table.lowest_configured)))

    @given(st.binary(max_size=220))
    def test_arbitrary_bytes_are_rejected_or_decode_to_valid_rates(self, data: bytes) -> None:
        try:
            decoded = TableCodec(b"secret").unpack(data)
        except InvalidTable:
            return
        self.assertTrue(all(rate >= 0 for rate in decoded.rates.values()))

    def test_sketch_cells_depend_on_the_secret(self) -> None:
        cells = [[TableCodec(secret).cells(key) for key in range(200)] for secret in (b"one", b"two")]
        self.assertNotEqual(*cells)


class SimulatedGroup:
    """A group that exchanges demand on a network with 10 ms delay; `lost` selects lost messages."""

    def __init__(self, count: int) -> None:
        self.codec = TableCodec(b"w")
        self.names = tuple(f"n{i:03d}" for i in range(count))
        self.nodes = {n: DemandExchange(n, self.codec, 400.0, 2500.0) for n in self.names}
        self.rates = {n: float(i + 1) for i, n in enumerate(self.names)}
        self.dead: set[str] = set()
        self.now = 0.0
        self.in_flight: deque[tuple[float, str, str, bytes]] = deque()
        self.sent = 0
        self.lost: Callable[[str, str], bool] = lambda sender, receiver: False
        # the nodes that a node regards as dead
        self.regarded_dead: Callable[[str], set[str]] = lambda name: self.dead

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += 25.0
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, sender, receiver, body = self.in_flight.popleft()
                if receiver not in self.dead:
                    self.nodes[receiver].received(self.now, sender, body)
            for name in self.names:
                if name in self.dead:
                    continue
                node = self.nodes[name]
                dead = self.regarded_dead(name)
                node.update_members(tuple(n for n in self.names if n not in dead), len(self.names))
                for receiver, body in node.tick(self.now, RateTable(1, {7: self.rates[name]})):
                    self.sent += 1
                    if not self.lost(name, receiver):
                        self.in_flight.append((self.now + 10.0, name, receiver, body))

    def misinformed(self) -> list[str]:
        """Nodes whose total for the others is off by more than the margins added to reported rates."""
        total = sum(rate for name, rate in self.rates.items() if name not in self.dead)
        misinformed = []
        for name in self.names:
            others_total = self.nodes[name].total(self.now) if name not in self.dead else None
            others = total - self.rates[name]
            if name not in self.dead and not (
                others_total and others <= self.codec.rate(others_total[0], 7) <= 1.03 * others + 0.1
            ):
                misinformed.append(name)
        return misinformed


class DemandExchangeTest(unittest.TestCase):
    def test_all_nodes_know_the_total_soon_after_a_change_at_any_group_size(self) -> None:
        datagram_rates = []  # per node and second
        for count in (2, 3, 9, 10, 40, 200):
            group = SimulatedGroup(count)
            group.run(2000.0)
            self.assertEqual(group.misinformed(), [], count)
            group.rates[group.names[0]] *= 50
            group.run(bounds.reach_ms(count, 10.0) + 25.0)
            self.assertEqual(group.misinformed(), [], count)
            group.run(1000.0)
            before = group.sent
            group.run(4000.0)
            datagram_rates.append((group.sent - before) / count / 4.0)
        # The traffic of a node is nearly independent of the group's size.
        self.assertLess(max(datagram_rates[3:]) / min(datagram_rates[3:]), 1.6, datagram_rates)
        self.assertEqual((sectors(9), sectors(1000)), (1, 32))

    def test_dead_aggregators_are_replaced_and_lost_messages_repeated(self) -> None:
        group = SimulatedGroup(40)
        group.run(1500.0)
        group.dead = {group.nodes["n000"].aggregators(sector)[0] for sector in range(sectors(40))}
        group.run(3500.0)
        self.assertEqual(group.misinformed(), [])
        rng = random.Random(3)
        group.lost = lambda sender, receiver: rng.random() < 0.3
        misinformed = 0
        for _ in range(20):
            group.rates["n007"] *= 1.5
            group.run(600.0)
            misinformed += len(group.misinformed())
        self.assertLess(misinformed, 0.1 * 20 * 40)

    def test_each_side_of_a_partition_counts_only_its_own_nodes(self) -> None:
        group = SimulatedGroup(30)
        group.run(1500.0)
        left = set(group.names[:10])
        group.lost = lambda sender, receiver: (sender in left) != (receiver in left)
        group.run(1500.0)
        group.regarded_dead = lambda name: set(group.names) - left if name in left else left
        group.run(2500.0 + bounds.reach_ms(30, 10.0))
        for name in ("n000", "n029"):
            others_total = group.nodes[name].total(group.now)
            assert others_total is not None
            self.assertEqual(others_total[0].nodes, (10 if name in left else 20) - 1)
        group.lost = lambda sender, receiver: False
        group.regarded_dead = lambda name: set()
        group.run(1500.0)
        self.assertEqual(group.misinformed(), [])

    def test_old_duplicate_and_malformed_messages_change_nothing(self) -> None:
        codec = TableCodec(b"w")
        one, other = DemandExchange("a", codec, 400.0, 2500.0), DemandExchange("b", codec, 400.0, 2500.0)
        for exchange in (one, other):
            exchange.update_members(("a", "b"), 2)
        first = one.tick(0.0, RateTable(1, {7: 5.0}))[0][1]
        second = one.tick(100.0, RateTable(1, {7: 50.0}))[0][1]
        for body in (second, first, second):
            other.received(150.0, "a", body)
        total = other.total(150.0)
        assert total is not None
        self.assertAlmostEqual(codec.rate(total[0], 7), 50.5, delta=0.2)
        self.assertEqual(other.dropped, 2)
        for body in (b"", first[:5]):
            with self.assertRaises((InvalidMessage, InvalidTable)):
                other.received(160.0, "a", body)
        self.assertIsNone(other.total(150.0 + 2500.1))  # all reports have expired


class SoftShareTest(unittest.TestCase):
    """The sum of all shares while every report arrives within settle_ms."""

    SETTLE = 300.0

    def max_total_share(
        self, changes: list[tuple[int, float]], delays: list[float], settle: float, rule: str = "part"
    ) -> float:
        count, limit = 3, 100.0
        nodes = [SoftShare(rule, settle, 2000.0, -1000.0) for _ in range(count)]
        demand = [0.0] * count
        history: list[list[tuple[float, float]]] = [[(-1e9, 0.0)] for _ in range(count)]
        now, max_total = 0.0, 0.0
        pending = deque(changes)
        for tick in range(40 * 4):
            now = 25.0 * tick
            if tick % 4 == 0 and pending:
                which, rate = pending.popleft()
                demand[which] = rate
            for i, node in enumerate(nodes):
                node.sample(now, demand[i])
                history[i].append((now, demand[i]))
            total = 0.0
            for i, node in enumerate(nodes):
                remote_rate = 0.0
                for j in range(count):
                    if j != i:
                        sent_at = now - delays[(3 * i + j + tick) % len(delays)]
                        remote_rate += next(rate for at, rate in reversed(history[j]) if at <= sent_at)
                total += node.share(now, limit, RemoteDemand(remote_rate, count - 1, 0.0), count, count)
            max_total = max(max_total, total)
        return max_total

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 2), st.sampled_from([0.0, 5.0, 30.0, 90.0, 500.0])), max_size=30),
        st.lists(st.floats(0.0, SETTLE), min_size=1, max_size=11),
        st.sampled_from(["part", "majority", "whole"]),
    )
    def test_total_share_is_at_most_one(
        self, changes: list[tuple[int, float]], delays: list[float], rule: str
    ) -> None:
        self.assertLessEqual(self.max_total_share(changes, delays, self.SETTLE, rule), 1.0 + 1e-9)

    def test_total_share_would_exceed_one_if_shares_grew_at_once(self) -> None:
        changes = [(0, 90.0)] * 8 + [(1, 500.0), (2, 500.0)]
        self.assertGreater(self.max_total_share(changes, [self.SETTLE], 0.0), 1.5)

    def test_a_side_of_a_partition_uses_the_fraction_of_its_rule(self) -> None:
        for rule, expected in (("part", [0.4, 0.6]), ("majority", [0.0, 1.0]), ("whole", [1.0, 1.0])):
            self.assertEqual(
                [partition_fraction(rule, reachable, 5, reachable) for reachable in (2, 3)], expected
            )
        # Unreachable nodes that are still in the view may be using their share.
        self.assertEqual([partition_fraction("whole", reachable, 5, 5) for reachable in (1, 5)], [0.2, 1.0])
        with self.assertRaises(ValueError):
            SoftShare("all", 1.0, 1.0, 0.0)

    def test_a_starting_node_has_no_share_until_a_report_or_the_timeout(self) -> None:
        share = SoftShare("part", 300.0, 2000.0, 0.0)
        for tick in range(80):
            share.sample(25.0 * tick, 50.0)
            self.assertEqual(share.share(25.0 * tick, 100.0, None, 4), 0.0)
        share.sample(2000.0, 50.0)
        self.assertEqual(share.share(2000.0, 100.0, None, 4), 0.25)
        self.assertEqual(share.share(2000.0, 0.0, None, 4), 0.0)


class NodeLimitsTest(unittest.TestCase):
    def node_limits(self, name: str, *limits: LimitConfig) -> NodeLimits:
        config = FleetLimitsConfig(limits)
        node = NodeLimits(config, name, 2, b"b", 0.0, lambda: 1, 1)
        return node

    def test_a_job_counts_against_the_limits_of_its_tenant_and_class(self) -> None:
        whole = LimitConfig("all", "soft", 50.0)
        part = LimitConfig("part", "soft", 5.0, tenant=1, job_class=0)
        node = self.node_limits("a", whole, part, LimitConfig("again", "soft", retries=0.1))
        self.assertEqual(node.applicable(1, 0), (0, 1))
        self.assertEqual(node.applicable(1, 1), (0,))
        self.assertEqual(node.applicable(None, 0), (0,))
        same = next(name for i in range(10**6) if limit_key(name := f"x{i}") == limit_key("all"))
        with self.assertRaises(ValueError):
            self.node_limits("a", whole, LimitConfig(same, "soft", 1.0))

    def test_soft_limits_are_added_removed_and_redefined_at_run_time(self) -> None:
        whole, part = LimitConfig("all", "soft", 50.0), LimitConfig("part", "soft", 5.0, tenant=1)
        again = LimitConfig("again", "soft", retries=0.1)
        node = self.node_limits("a", whole, part, again)
        self.assertEqual([a.limit for a in node.changed_allowances(0.0)], [0, 1, api.RETRY_LIMIT])
        other = LimitConfig("part", "soft", 5.0, tenant=0)  # same name, different jobs
        new = LimitConfig("new", "soft", 9.0, job_class=1)
        changes = node.change(10.0, FleetLimitsConfig((other, new)))
        self.assertEqual(len(changes), 5, changes)
        allowances = node.changed_allowances(10.0)
        self.assertEqual({a.limit for a in allowances if a.jobs < math.inf}, {0, 1})
        # A removed limit no longer applies, and its number may be used again.
        self.assertEqual(
            [(a.limit, a.worth) for a in allowances if a.jobs == math.inf], [(api.RETRY_LIMIT, 1.0)]
        )
        self.assertEqual((node.applicable(0, 1), node.applicable(1, 0)), ((0, 1), ()))
        lower = FleetLimitsConfig((other, replace(new, rate=3.0)))
        self.assertEqual(node.change(20.0, lower), ["new 9 to 3"])
        same = next(name for i in range(10**6) if limit_key(name := f"x{i}") == limit_key("new"))
        for bad in (
            (other, new, LimitConfig(same, "soft", 1.0)),
            (other, LimitConfig("new", "hard", 9.0)),
        ):
            with self.assertRaises(ValueError):
                node.change(30.0, FleetLimitsConfig(bad))
        with self.assertRaises(ValueError):
            node.change(30.0, FleetLimitsConfig((other, new), burst_ms=1.0))
        self.assertEqual([x.config.rate for x in node.limits], [5.0, 3.0])
        dispatcher = Dispatcher(api.Settings(classes=(api.JobClass(aim_ms=400, deadline_ms=5000),)), seed=1)
        entry = api.WorkerEntry(worker=7)
        dispatcher.step(0.0, [api.WorkerList(api.ListForm.CACHED, (entry,)), api.Allowance(0, 0.0)])
        arrival = api.Arrival("j1", 0, grace_ms=5000.0, limits=(0,))
        self.assertFalse([a for a in dispatcher.step(1.0, [arrival]) if isinstance(a, api.Send)])
        unlimited = api.Allowance(0, math.inf, 1.0)
        actions = dispatcher.step(2.0, [unlimited, replace(arrival, job="j2")])
        self.assertIn(api.Send("j2", 7), actions)

    def test_retry_rate_follows_the_known_first_tries(self) -> None:
        node = self.node_limits("a", LimitConfig("again", "soft", retries=0.2))
        for tick in range(400):
            now = 25.0 * tick
            if tick % 2 == 0:
                node.job_arrived(now, None, 0, False)  # 20 jobs a second
                node.job_arrived(now, None, 0, True)
            node.tick(now, ("a",), 1, 0, 0.0)
        rate = node._fleet_rate(now, node.limits[0])
        self.assertAlmostEqual(rate, 1 + 0.2 * 20, delta=1.2)
        self.assertEqual(node.changed_allowances(now)[0].limit, api.RETRY_LIMIT)
        self.assertNotEqual(node.limits[0].key, FIRST_TRIES_KEY)


class SimulationTest(unittest.TestCase):
    """Complete nodes' limits in virtual time (bench/limit_plays.py)."""

    def test_shares_follow_uneven_traffic_and_never_exceed_one_in_total(self) -> None:
        for kind in ("hard", "soft"):
            result = shares((kind, 9, 10.0, 0.1, 1, 10.0))
            static = shares(("static", 9, 10.0, 0.1, 1, 10.0))
            self.assertLessEqual(result["shares"], 1.0 + 1e-9)
            self.assertLessEqual(result["over"], 0)
            self.assertLess(result["missed"], 0.3 * static["missed"], kind)
            self.assertLess(step((kind, 9, 0.0, 1))["follow_ms"], 2500.0, kind)

    def test_a_soft_limit_stays_within_its_bound_during_and_after_a_partition(self) -> None:
        # In the larger group aggregators are cut off from their members while the view still has them.
        for nodes, rule in ((9, "part"), (9, "majority"), (9, "whole"), (24, "whole")):
            result = cuts((nodes, 2, rule, 0.1, 1), follows=nodes == 9)
            self.assertLessEqual(result["over"], result["bound"], rule)
            self.assertLessEqual(result["later"], 2.1 if rule == "whole" else 1.1, rule)
            self.assertLessEqual(result["healed"], 1.02, rule)

    def test_a_hard_limit_is_never_exceeded_under_random_faults(self) -> None:
        results = [faulty(seed) for seed in range(20)]
        self.assertLessEqual(max(result[1] for result in results), 0)
        self.assertLessEqual(max(result[2] for result in results), 1.0 + 1e-9)
        self.assertGreater(sum(result[3] for result in results), 20 * 500)

    def test_a_lower_rate_at_another_node_applies_until_that_node_is_gone(self) -> None:
        fleet = Fleet(3, "soft", 30.0, 1)
        lower = NodeLimits(config_of("soft", 10.0), "n0001", 3, b"bench", 0.0, lambda: 1, 1)
        fleet.books["n0001"] = lower
        mismatches: list[tuple[str, float, float, str]] = []
        fleet.books["n0000"].on_rate_mismatch = lambda *mismatch: mismatches.append(mismatch)
        fleet.run(1000.0)
        self.assertEqual([node.limits[0].rate for node in fleet.books.values()], [10.0] * 3)
        self.assertEqual(
            [(n, a, round(b, 3), w) for n, a, b, w in mismatches], [("all", 30.0, 10.0, "n0001")]
        )
        fleet.group["n0001"] = 1
        fleet.run(4000.0)
        self.assertEqual(fleet.books["n0000"].limits[0].rate, 30.0)
