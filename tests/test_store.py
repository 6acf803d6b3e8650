"""The store: versions, loss and repair, and the file."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from collections.abc import Callable
from dataclasses import replace
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from pebbledrift.bounds import Limits
from pebbledrift.config import Address
from pebbledrift.store.repair import QUEUE_MOST, SUMS, Repair, pack_sums, unpack_sums
from pebbledrift.store.replica import Replica, pack, unpack
from pebbledrift.store.table import Entry, StoreError, Table, Version
from pebbledrift.store.tree import LEVELS, Tree, node_of, place_of
from tests.node import WAIT

LIMITS = Limits()


def table(writer: int = 0, now: float = 1000.0, limits: Limits = LIMITS) -> Table:
    return Table(limits, writer, lambda: now)


entries = st.builds(
    Entry,
    key=st.sampled_from(["a", "b", "op/ç", "host/x"]),
    value=st.one_of(st.none(), st.binary(max_size=8)),
    version=st.builds(Version, ms=st.integers(1, 3), writer=st.integers(0, 2)),
)


class TableTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(entries, max_size=20), st.randoms(use_true_random=False))
    def test_the_order_in_which_entries_come_is_all_one(self, found: list[Entry], rng: Random) -> None:
        one, other = table(0), table(1)
        shuffled = list(found)
        rng.shuffle(shuffled)
        for entry in found:
            one.merge(entry)
        for entry in shuffled + found:
            other.merge(entry)
        self.assertEqual(one.entries, other.entries)
        self.assertEqual(one.digest(), other.digest())

    @settings(derandomize=True, deadline=None)
    @given(entries)
    def test_an_entry_survives_its_datagram(self, entry: Entry) -> None:
        self.assertEqual(unpack(pack(entry)), entry)

    def test_what_fits_the_store_fits_a_datagram(self) -> None:
        t = table()
        entry = t.set("k" * LIMITS.store_key_bytes, "v" * (LIMITS.store_value_bytes - 2))
        self.assertLessEqual(len(pack(entry)), LIMITS.datagram_bytes)
        for key, value in (("k" * 65, 1), ("", 1), ("k", "v" * 149)):
            with self.assertRaises(StoreError):
                t.set(key, value)

    def test_a_full_store_says_so_and_still_takes_known_keys(self) -> None:
        t = table(limits=replace(LIMITS, store_entries=1))
        t.set("a", 1)
        t.set("a", 2)
        with self.assertRaisesRegex(StoreError, "full"):
            t.set("b", 1)

    def test_a_later_write_here_wins_over_a_peers_faster_clock(self) -> None:
        t = table()
        t.merge(Entry("a", b"1", Version(9_000, 5)))
        t.set("a", 2)
        self.assertEqual(t.get("a"), 2)

    def test_a_removed_key_does_not_come_back_until_it_is_forgotten(self) -> None:
        t = table()
        old = t.set("a", 1)
        t.remove("a")
        t.merge(old)
        self.assertIsNone(t.get("a"))
        t.forget(10_000)
        self.assertEqual((t.entries, t.digest()), ({}, table().digest()))


class TreeTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 3)), max_size=60))
    def test_it_holds_what_a_fresh_one_would(self, acts: list[tuple[int, int]]) -> None:
        tree, there = Tree(), dict[str, int]()
        for number, mark in acts:
            key = f"key/{number}"
            if key in there:
                tree.remove(key, there.pop(key))
            if mark:
                tree.add(key, mark)
                there[key] = mark
        fresh = Tree()
        for key, mark in there.items():
            fresh.add(key, mark)
        self.assertEqual(vars(tree), vars(fresh))
        self.assertEqual(sorted(tree.keys(0, 0)), sorted(there))
        for key in there:
            for level in range(LEVELS + 1):
                node = node_of(place_of(key), level)
                self.assertIn(key, list(tree.keys(level, node)))
                self.assertEqual(tree.count(level, node), len(list(tree.keys(level, node))))


class Pair:
    """Two replicas' repairs, joined by datagrams of which some are lost."""

    ENDS: tuple[Address, Address] = (("h", 0), ("h", 1))

    def __init__(self, *tables: Table, loss: float = 0.0) -> None:
        self.tables, self.random, self.loss = tables, Random(1), loss
        self.repairs = [Repair(t, LIMITS, pack) for t in tables]
        self.sent = 0

    def round(self, most: int = 100_000) -> int:
        """A digest of each to the other, and all that follows from it; returns how many datagrams."""
        before = self.sent
        for i in (0, 1):
            self.repairs[i].heard(self.ENDS[1 - i], 0, 0, self.tables[1 - i].digest())
        while any(r.waits for r in self.repairs) and self.sent - before < most:
            for i in (0, 1):
                for peer, data in self.repairs[i].next(LIMITS.repair_datagrams):
                    assert peer == self.ENDS[1 - i] and len(data) <= LIMITS.datagram_bytes
                    self.sent += 1
                    if self.random.random() >= self.loss:
                        self._take(1 - i, data)
        return self.sent - before

    def _take(self, receiver: int, data: bytes) -> None:
        if data[0] == SUMS:
            self.repairs[receiver].heard(self.ENDS[1 - receiver], *unpack_sums(data))
            return
        entry, t = unpack(data), self.tables[receiver]
        if entry.key in t.entries or len(t.entries) < t.limits.store_entries:
            t.merge(entry)

    def alike(self) -> bool:
        return self.tables[0].entries == self.tables[1].entries


def filled(count: int, writer: int = 0, limits: Limits = LIMITS) -> Table:
    t = table(writer, limits=limits)
    for i in range(count):
        t.merge(Entry(f"key/{i}", b"%d" % i, Version(1 + i, 0)))
    return t


class RepairTest(unittest.TestCase):
    def test_what_differs_is_found_by_a_few_datagrams_among_thousands(self) -> None:
        for missing in (1, 30):
            one, other = filled(5000), filled(5000, 1)
            for i in range(missing):
                one.set(f"key/{7 * i}", "newer")
                other.remove(f"key/{11 * i + 3}")
                other.set(f"new/{i}", i)
            pair = Pair(one, other)
            took = pair.round()
            self.assertTrue(pair.alike())
            # three differences for each, some forty datagrams in the way down to each of them, both ways
            self.assertLess(took, 3 * missing * 40)
            self.assertEqual(pair.round(), 0)

    def test_one_that_has_nothing_is_sent_everything_once(self) -> None:
        pair = Pair(filled(3000), table(1))
        took = pair.round()
        self.assertTrue(pair.alike())
        self.assertLess(took, 3000 * 1.1)

    def test_losses_are_made_up_for_by_the_next_digests(self) -> None:
        one, other = filled(2000), filled(1000, 1)
        for i in range(50):
            other.set(f"new/{i}", i)
        pair = Pair(one, other, loss=0.3)
        rounds = 0
        while not pair.alike():
            pair.round()
            rounds += 1
            self.assertLess(rounds, 12)

    def test_what_the_other_side_refuses_is_not_sent_without_end(self) -> None:
        full = replace(LIMITS, store_entries=1000)
        pair = Pair(filled(1200), filled(1000, 1, full))
        self.assertLess(pair.round(20_000), 5000)
        self.assertFalse(pair.alike())

    def test_what_waits_is_bounded_and_each_node_waits_once(self) -> None:
        t = filled(4000)
        repair = Repair(t, LIMITS, pack)
        for port in range(100):
            for _ in range(3):
                repair.heard(("h", port), 0, 0, tuple(range(1, 17)))
        self.assertLessEqual(len(repair._queue), QUEUE_MOST)
        self.assertGreater(repair.dropped, 0)
        while repair.next(64):
            pass
        self.assertEqual(repair._queued, set())

    @given(st.binary(max_size=120))
    def test_bytes_at_random_are_sums_or_a_clear_error(self, data: bytes) -> None:
        for text in (data, bytes([SUMS]) + data):
            with contextlib.suppress(ValueError):
                level, place, sums = unpack_sums(text)
                self.assertEqual(pack_sums(level, place, sums), text)


class Wire:
    """Datagrams between replicas in one process; the first ones are lost."""

    def __init__(self, lose: int) -> None:
        self.lose, self.sent = lose, 0
        self.at: dict[Address, Callable[[bytes, Address], None]] = {}

    def end(self, me: Address) -> Wire.End:
        return Wire.End(self, me)

    class End:
        def __init__(self, wire: Wire, me: Address) -> None:
            self.wire, self.me = wire, me

        def send(self, data: bytes, peer: Address) -> None:
            assert len(data) <= LIMITS.datagram_bytes
            self.wire.sent += 1
            if self.wire.sent > self.wire.lose:
                loop = asyncio.get_running_loop()
                loop.call_soon(lambda: self.wire.at[peer](data, self.me))


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    async def test_digests_repair_what_was_lost_and_an_empty_store_is_silent(self) -> None:
        wire, limits = Wire(lose=60), replace(LIMITS, digest_ms=1.0)
        addresses: list[Address] = [("127.0.0.1", 1), ("127.0.0.1", 2)]
        tables = [table(i, limits=limits) for i in range(2)]
        for i, t in enumerate(tables):
            replica = Replica(t, limits, (addresses[1 - i],), wire.end(addresses[i]), seed=i)
            wire.at[addresses[i]] = replica.received
        await asyncio.sleep(0.02)
        self.assertEqual(wire.sent, 0)
        for i in range(50):
            tables[i % 2].set(f"key/{i}", i)
        async with asyncio.timeout(WAIT):
            while tables[0].entries != tables[1].entries:
                await asyncio.sleep(0.001)
        self.assertEqual(len(tables[0].entries), 50)

    async def test_what_cannot_be_read_or_comes_from_the_future_is_dropped(self) -> None:
        t = table()
        replica = Replica(t, LIMITS, (), Wire(0).end(("h", 1)), seed=1)
        future = pack(Entry("a", b"1", Version(10**15, 1)))
        for data in (b"", b"D", b"E", b"X" * 50, future, pack(Entry("a", b"1", Version(1, 1)))[:-1]):
            with self.assertRaises(ValueError):
                replica.received(data, ("h", 2))
        self.assertEqual(t.entries, {})
