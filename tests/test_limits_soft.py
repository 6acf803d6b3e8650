"""Soft limits without I/O: rates that are told, sums of them, and shares that are at most the whole."""

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
from pebbledrift.limits.book import FIRST_TRIES, Book, key_of
from pebbledrift.limits.demand import BadTable, Form, Meter, Table
from pebbledrift.limits.soft import Known, SoftShare, part_of
from pebbledrift.limits.sums import BadWord, Sums, sectors
from pebbledrift.membership.endpoint import DATAGRAM
from pebbledrift.membership.seal import OVERHEAD
from spoolpier import Dispatcher
from spoolpier import interface as api


class MeterTest(unittest.TestCase):
    def told(self, meter: Meter, chance: random.Random, at: float, rate: float, ms: float) -> list[float]:
        found = []
        for tick in range(int(at), int(at + ms), 25):
            for _ in range(sum(chance.random() < rate / 1000 for _ in range(25))):
                meter.count(float(tick))
            found.append(meter.rate(float(tick)))
        return found

    def test_a_jump_is_known_in_half_a_second_and_noise_is_seldom_told(self) -> None:
        chance, meter = random.Random(1), Meter(0.0)
        steady = self.told(meter, chance, 0.0, 40.0, 12_000)[200:]
        self.assertLess(max(steady), 60.0)
        self.assertGreater(min(steady), 32.0)  # what is told is rather too much than too little
        self.assertLess(sum(a != b for a, b in pairwise(steady)), 20)
        rising = self.told(meter, chance, 12_000.0, 300.0, 500)
        self.assertGreater(rising[-1], 150.0)
        falling = self.told(meter, chance, 12_500.0, 0.0, 4000)
        self.assertLess(falling[39], 40.0)  # a second later
        self.assertLess(falling[-1], 2.0)
        self.assertEqual(meter.rate(1e7), 0.0)


class FormTest(unittest.TestCase):
    @given(st.dictionaries(st.integers(0, 0xFFFF), st.floats(0.01, 1e3), max_size=60), st.integers(0, 9))
    def test_any_table_fits_a_datagram_and_no_rate_is_told_too_low(
        self, rates: dict[int, float], turn: int
    ) -> None:
        form, table = Form(b"secret"), Table(1, rates, lows=dict(list(rates.items())[:30]))
        data = form.pack(table, turn)
        self.assertLessEqual(len(data) + 7 + OVERHEAD + 1, DATAGRAM)
        found = form.unpack(data)
        for key, rate in rates.items():
            self.assertGreaterEqual(form.rate(found, key), rate)
        self.assertEqual(len(found.lows), min(8, len(table.lows)))

    @given(st.binary(max_size=220))
    def test_other_bytes_are_no_table(self, data: bytes) -> None:
        try:
            found = Form(b"secret").unpack(data)
        except BadTable:
            return
        self.assertTrue(all(rate >= 0 for rate in found.rates.values()))

    def test_names_share_cells_by_a_secret_alone(self) -> None:
        cells = [[Form(secret).cells(key) for key in range(200)] for secret in (b"one", b"two")]
        self.assertNotEqual(*cells)


class World:
    """Sums of a group on a network that takes 10 ms, and loses what `lost` says."""

    def __init__(self, count: int) -> None:
        self.form = Form(b"w")
        self.names = tuple(f"n{i:03d}" for i in range(count))
        self.nodes = {n: Sums(n, self.form, 400.0, 2500.0) for n in self.names}
        self.rates = {n: float(i + 1) for i, n in enumerate(self.names)}
        self.dead: set[str] = set()
        self.now = 0.0
        self.way: deque[tuple[float, str, str, bytes]] = deque()
        self.sent = 0
        self.lost: Callable[[str, str], bool] = lambda sender, receiver: False
        self.dead_to: Callable[[str], set[str]] = lambda name: self.dead  # whom a node holds for dead

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += 25.0
            while self.way and self.way[0][0] <= self.now:
                _, sender, receiver, body = self.way.popleft()
                if receiver not in self.dead:
                    self.nodes[receiver].received(self.now, sender, body)
            for name in self.names:
                if name in self.dead:
                    continue
                node = self.nodes[name]
                dead = self.dead_to(name)
                node.know(tuple(n for n in self.names if n not in dead), len(self.names))
                for receiver, body in node.tick(self.now, Table(1, {7: self.rates[name]})):
                    self.sent += 1
                    if not self.lost(name, receiver):
                        self.way.append((self.now + 10.0, name, receiver, body))

    def wrong(self) -> list[str]:
        """Nodes that do not know what the others ask for, within what told rates are raised by."""
        total = sum(rate for name, rate in self.rates.items() if name not in self.dead)
        found = []
        for name in self.names:
            known = self.nodes[name].total(self.now) if name not in self.dead else None
            others = total - self.rates[name]
            if name not in self.dead and not (
                known and others <= self.form.rate(known[0], 7) <= 1.03 * others + 0.1
            ):
                found.append(name)
        return found


class SumsTest(unittest.TestCase):
    def test_all_know_what_all_ask_for_soon_after_any_change_whatever_the_size(self) -> None:
        told = []
        for count in (2, 3, 9, 10, 40, 200):
            world = World(count)
            world.run(2000.0)
            self.assertEqual(world.wrong(), [], count)
            world.rates[world.names[0]] *= 50
            world.run(bounds.reach_ms(count, 10.0) + 25.0)
            self.assertEqual(world.wrong(), [], count)
            world.run(1000.0)
            before = world.sent
            world.run(4000.0)
            told.append((world.sent - before) / count / 4.0)
        self.assertLess(max(told[3:]) / min(told[3:]), 1.6, told)  # traffic does not follow the size
        self.assertEqual((sectors(9), sectors(1000)), (1, 32))

    def test_gatherers_that_die_and_words_that_are_lost_are_made_up_for(self) -> None:
        world = World(40)
        world.run(1500.0)
        world.dead = {world.nodes["n000"].gatherers(sector)[0] for sector in range(sectors(40))}
        world.run(3500.0)
        self.assertEqual(world.wrong(), [])
        chance = random.Random(3)
        world.lost = lambda sender, receiver: chance.random() < 0.3
        wrong = 0
        for _ in range(20):
            world.rates["n007"] *= 1.5
            world.run(600.0)
            wrong += len(world.wrong())
        self.assertLess(wrong, 0.1 * 20 * 40)

    def test_in_a_cut_each_side_comes_to_know_itself_alone(self) -> None:
        world = World(30)
        world.run(1500.0)
        left = set(world.names[:10])
        world.lost = lambda sender, receiver: (sender in left) != (receiver in left)
        world.run(1500.0)
        world.dead_to = lambda name: set(world.names) - left if name in left else left
        world.run(2500.0 + bounds.reach_ms(30, 10.0))
        for name in ("n000", "n029"):
            known = world.nodes[name].total(world.now)
            assert known is not None
            self.assertEqual(known[0].nodes, (10 if name in left else 20) - 1)
        world.lost = lambda sender, receiver: False
        world.dead_to = lambda name: set()
        world.run(1500.0)
        self.assertEqual(world.wrong(), [])

    def test_what_is_old_doubled_or_malformed_changes_nothing(self) -> None:
        form = Form(b"w")
        one, other = Sums("a", form, 400.0, 2500.0), Sums("b", form, 400.0, 2500.0)
        for sums in (one, other):
            sums.know(("a", "b"), 2)
        first = one.tick(0.0, Table(1, {7: 5.0}))[0][1]
        second = one.tick(100.0, Table(1, {7: 50.0}))[0][1]
        for body in (second, first, second):
            other.received(150.0, "a", body)
        total = other.total(150.0)
        assert total is not None
        self.assertAlmostEqual(form.rate(total[0], 7), 50.5, delta=0.2)
        self.assertEqual(other.dropped, 2)
        for body in (b"", first[:5]):
            with self.assertRaises((BadWord, BadTable)):
                other.received(160.0, "a", body)
        self.assertIsNone(other.total(150.0 + 2500.1))  # nobody is heard any more


class SoftShareTest(unittest.TestCase):
    """All shares together while every word arrives within settle_ms."""

    SETTLE = 300.0

    def worst(
        self, changes: list[tuple[int, float]], delays: list[float], settle: float, rule: str = "part"
    ) -> float:
        count, limit = 3, 100.0
        nodes = [SoftShare(rule, settle, 2000.0, -1000.0) for _ in range(count)]
        asked = [0.0] * count
        history: list[list[tuple[float, float]]] = [[(-1e9, 0.0)] for _ in range(count)]
        now, most = 0.0, 0.0
        pending = deque(changes)
        for tick in range(40 * 4):
            now = 25.0 * tick
            if tick % 4 == 0 and pending:
                which, rate = pending.popleft()
                asked[which] = rate
            for i, node in enumerate(nodes):
                node.sample(now, asked[i])
                history[i].append((now, asked[i]))
            total = 0.0
            for i, node in enumerate(nodes):
                heard = 0.0
                for j in range(count):
                    if j != i:
                        old = now - delays[(3 * i + j + tick) % len(delays)]
                        heard += next(rate for at, rate in reversed(history[j]) if at <= old)
                total += node.share(now, limit, Known(heard, count - 1, 0.0), count, count)
            most = max(most, total)
        return most

    @settings(max_examples=150, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 2), st.sampled_from([0.0, 5.0, 30.0, 90.0, 500.0])), max_size=30),
        st.lists(st.floats(0.0, SETTLE), min_size=1, max_size=11),
        st.sampled_from(["part", "majority", "whole"]),
    )
    def test_they_are_at_most_the_whole(
        self, changes: list[tuple[int, float]], delays: list[float], rule: str
    ) -> None:
        self.assertLessEqual(self.worst(changes, delays, self.SETTLE, rule), 1.0 + 1e-9)

    def test_and_would_be_more_if_they_grew_at_once(self) -> None:
        changes = [(0, 90.0)] * 8 + [(1, 500.0), (2, 500.0)]
        self.assertGreater(self.worst(changes, [self.SETTLE], 0.0), 1.5)

    def test_a_part_of_a_cut_group_has_what_the_rule_says(self) -> None:
        for rule, wanted in (("part", [0.4, 0.6]), ("majority", [0.0, 1.0]), ("whole", [1.0, 1.0])):
            self.assertEqual([part_of(rule, heard, 5, heard) for heard in (2, 3)], wanted)
        # those that the view still has and that are not heard may be taking theirs
        self.assertEqual([part_of("whole", heard, 5, 5) for heard in (1, 5)], [0.2, 1.0])
        with self.assertRaises(ValueError):
            SoftShare("all", 1.0, 1.0, 0.0)

    def test_one_that_starts_has_nothing_until_it_has_heard_or_waited(self) -> None:
        share = SoftShare("part", 300.0, 2000.0, 0.0)
        for tick in range(80):
            share.sample(25.0 * tick, 50.0)
            self.assertEqual(share.share(25.0 * tick, 100.0, None, 4), 0.0)
        share.sample(2000.0, 50.0)
        self.assertEqual(share.share(2000.0, 100.0, None, 4), 0.25)
        self.assertEqual(share.share(2000.0, 0.0, None, 4), 0.0)


class BookTest(unittest.TestCase):
    def book(self, name: str, *limits: LimitConfig) -> Book:
        config = FleetLimitsConfig(limits)
        book = Book(config, name, 2, b"b", 0.0, lambda: 1, 1)
        return book

    def test_a_job_counts_against_the_limits_that_name_it(self) -> None:
        whole = LimitConfig("all", "soft", 50.0)
        part = LimitConfig("part", "soft", 5.0, tenant=1, job_class=0)
        book = self.book("a", whole, part, LimitConfig("again", "soft", retries=0.1))
        self.assertEqual(book.counts(1, 0), (0, 1))
        self.assertEqual(book.counts(1, 1), (0,))
        self.assertEqual(book.counts(None, 0), (0,))
        same = next(name for i in range(10**6) if key_of(name := f"x{i}") == key_of("all"))
        with self.assertRaises(ValueError):
            self.book("a", whole, LimitConfig(same, "soft", 1.0))

    def test_soft_limits_come_go_and_count_other_jobs_in_a_running_book(self) -> None:
        whole, part = LimitConfig("all", "soft", 50.0), LimitConfig("part", "soft", 5.0, tenant=1)
        again = LimitConfig("again", "soft", retries=0.1)
        book = self.book("a", whole, part, again)
        self.assertEqual([a.limit for a in book.advise(0.0)], [0, 1, api.RETRY_LIMIT])
        other = LimitConfig("part", "soft", 5.0, tenant=0)  # of the same name, and another one
        new = LimitConfig("new", "soft", 9.0, job_class=1)
        told = book.change(10.0, FleetLimitsConfig((other, new)))
        self.assertEqual(len(told), 5, told)
        found = book.advise(10.0)
        self.assertEqual({a.limit for a in found if a.jobs < math.inf}, {0, 1})
        # what is over limits nobody any more, and its number may be another's
        self.assertEqual([(a.limit, a.worth) for a in found if a.jobs == math.inf], [(api.RETRY_LIMIT, 1.0)])
        self.assertEqual((book.counts(0, 1), book.counts(1, 0)), ((0, 1), ()))
        lower = FleetLimitsConfig((other, replace(new, rate=3.0)))
        self.assertEqual(book.change(20.0, lower), ["new 9 to 3"])
        same = next(name for i in range(10**6) if key_of(name := f"x{i}") == key_of("new"))
        for bad in (
            (other, new, LimitConfig(same, "soft", 1.0)),
            (other, LimitConfig("new", "hard", 9.0)),
        ):
            with self.assertRaises(ValueError):
                book.change(30.0, FleetLimitsConfig(bad))
        with self.assertRaises(ValueError):
            book.change(30.0, FleetLimitsConfig((other, new), burst_ms=1.0))
        self.assertEqual([x.config.rate for x in book.limits], [5.0, 3.0])
        dispatcher = Dispatcher(api.Settings(classes=(api.JobClass(aim_ms=400, deadline_ms=5000),)), seed=1)
        entry = api.WorkerEntry(worker=7)
        dispatcher.step(0.0, [api.WorkerList(api.ListForm.CACHED, (entry,)), api.Allowance(0, 0.0)])
        arrival = api.Arrival("j1", 0, grace_ms=5000.0, limits=(0,))
        self.assertFalse([a for a in dispatcher.step(1.0, [arrival]) if isinstance(a, api.Send)])
        over = api.Allowance(0, math.inf, 1.0)
        actions = dispatcher.step(2.0, [over, replace(arrival, job="j2")])
        self.assertIn(api.Send("j2", 7), actions)

    def test_retries_follow_first_tries_of_the_part_that_is_heard(self) -> None:
        book = self.book("a", LimitConfig("again", "soft", retries=0.2))
        for tick in range(400):
            now = 25.0 * tick
            if tick % 2 == 0:
                book.came(now, None, 0, False)  # twenty a second
                book.came(now, None, 0, True)
            book.tick(now, ("a",), 1, 0, 0.0)
        rate = book._rate(now, book.limits[0])
        self.assertAlmostEqual(rate, 1 + 0.2 * 20, delta=1.2)
        self.assertEqual(book.advise(now)[0].limit, api.RETRY_LIMIT)
        self.assertNotEqual(book.limits[0].key, FIRST_TRIES)


class PlayTest(unittest.TestCase):
    """Whole books in virtual time (bench/limit_plays.py)."""

    def test_shares_follow_uneven_traffic_and_are_never_more_than_the_whole(self) -> None:
        for how in ("hard", "soft"):
            found = shares((how, 9, 10.0, 0.1, 1, 10.0))
            static = shares(("static", 9, 10.0, 0.1, 1, 10.0))
            self.assertLessEqual(found["shares"], 1.0 + 1e-9)
            self.assertLessEqual(found["over"], 0)
            self.assertLess(found["missed"], 0.3 * static["missed"], how)
            self.assertLess(step((how, 9, 0.0, 1))["follow_ms"], 2500.0, how)

    def test_in_a_cut_a_soft_limit_stays_under_its_bound_and_comes_back(self) -> None:
        # in the larger group those that gather the rates of some are cut off from them, and stay in the view
        for nodes, rule in ((9, "part"), (9, "majority"), (9, "whole"), (24, "whole")):
            found = cuts((nodes, 2, rule, 0.1, 1), follows=nodes == 9)
            self.assertLessEqual(found["over"], found["bound"], rule)
            self.assertLessEqual(found["later"], 2.1 if rule == "whole" else 1.1, rule)
            self.assertLessEqual(found["healed"], 1.02, rule)

    def test_a_hard_limit_is_never_passed_under_drawn_faults(self) -> None:
        plays = [faulty(seed) for seed in range(20)]
        self.assertLessEqual(max(play[1] for play in plays), 0)
        self.assertLessEqual(max(play[2] for play in plays), 1.0 + 1e-9)
        self.assertGreater(sum(play[3] for play in plays), 20 * 500)

    def test_a_lower_rate_elsewhere_holds_until_its_node_is_gone(self) -> None:
        fleet = Fleet(3, "soft", 30.0, 1)
        lower = Book(config_of("soft", 10.0), "n0001", 3, b"bench", 0.0, lambda: 1, 1)
        fleet.books["n0001"] = lower
        heard: list[tuple[str, float, float, str]] = []
        fleet.books["n0000"].told_lower = lambda *told: heard.append(told)
        fleet.run(1000.0)
        self.assertEqual([book.limits[0].rate for book in fleet.books.values()], [10.0] * 3)
        self.assertEqual([(n, a, round(b, 3), w) for n, a, b, w in heard], [("all", 30.0, 10.0, "n0001")])
        fleet.group["n0001"] = 1
        fleet.run(4000.0)
        self.assertEqual(fleet.books["n0000"].limits[0].rate, 30.0)
