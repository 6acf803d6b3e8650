"""Directory and board against plain sequential models; participants die between any two steps."""

from __future__ import annotations

import errno
import itertools
import os
import unittest
from collections.abc import Iterator
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pebbledrift.bounds import Limits
from pebbledrift.core.model import Claim
from pebbledrift.cores.atoms import Atoms
from pebbledrift.cores.board import SLOT, Board, BoardFull, Seat
from pebbledrift.cores.directory import Directory, bury
from pebbledrift.cores.plan import Load, Revival, Roster, deal
from pebbledrift.cores.region import BUCKET, ROWS, Layout, Region, RegionError
from spoolpier import interface as api

CORES = 3
NAMES = ["id-0", "id-1"]  # few, so that claims meet
IDS = st.sampled_from(NAMES)
CORE = st.integers(0, CORES - 1)


class Claims(RuleBasedStateMachine):
    """Claims go on step by step on any core; one may die within, and the next process follows it."""

    def __init__(self) -> None:
        super().__init__()
        self.region = Region.make(Layout(CORES, 1))
        self.directories = [self.begin(core) for core in range(CORES)]
        self.running: dict[int, tuple[str, Iterator[None]]] = {}
        self.contested: dict[int, bool] = {}  # a claim has met another's, or an owner, at any time
        self.owner: dict[str, int] = {}  # the model
        self.lost: set[str] = set()

    def begin(self, core: int) -> Directory:
        directory = Directory(self.region, core, lambda: None)
        directory.pause = lambda: None
        return directory

    def teardown(self) -> None:
        os.close(self.region.descriptor)

    def note_contests(self) -> None:
        for core, (job, _) in self.running.items():
            others = any(j == job for c, (j, _) in self.running.items() if c != core)
            self.contested[core] |= others or job in self.owner or job in self.lost

    @rule(core=CORE, job=IDS)
    def claim(self, core: int, job: str) -> None:
        if core not in self.running:
            self.running[core] = job, self.directories[core].steps(job)
            self.contested[core] = False
            self.note_contests()

    @precondition(lambda self: self.running)
    @rule(data=st.data(), times=st.sampled_from([1, 1, 1, 2, 2, 3, 50]))
    def go_on(self, data: st.DataObject, times: int) -> None:
        core = data.draw(st.sampled_from(sorted(self.running)))
        job, steps = self.running[core]
        for _ in range(times):
            try:
                next(steps)
            except StopIteration:
                self.decided(core, job)
                break

    def decided(self, core: int, job: str) -> None:
        contested = self.contested[core]
        del self.running[core], self.contested[core]
        if self.directories[core].decided is Claim.OWN:
            assert job not in self.owner and job not in self.lost, "two owners"
            self.owner[job] = core
            self.note_contests()
        else:
            assert contested, "turned away, and nobody stood in the way"

    @rule(core=CORE, job=IDS)
    def forget(self, core: int, job: str) -> None:
        if self.owner.get(job) == core:
            self.directories[core].forget(job)
            del self.owner[job]

    @rule(core=CORE)
    def die(self, core: int) -> None:
        """Between any two steps: a claim that had decided has been noted in the model already."""
        self.running.pop(core, None)
        self.contested.pop(core, None)
        mine = {job for job, owner in self.owner.items() if owner == core}
        assert bury(self.region, core) == len(mine)
        self.lost |= mine
        for job in mine:
            del self.owner[job]
        self.directories[core] = self.begin(core)

    @invariant()
    def owners_agree(self) -> None:
        for reader in self.directories:
            for job in NAMES:
                assert reader.owner(job) == self.owner.get(job)


class Accounts(RuleBasedStateMachine):
    """Slots and cold turns: what each core reads is what the model adds up, and no turn is overspent."""

    MOST = 100.0

    def __init__(self) -> None:
        super().__init__()
        self.region = Region.make(Layout(CORES, 1))
        self.board = Board(self.region)
        self.atoms = Atoms(self.region)
        self.board.set_gates({7, 8})
        self.others: list[tuple[int, int, float]] = []  # what cores take between another's read and its swap
        self.told: dict[tuple[int, int], api.Share] = {}
        self.seats = [self.begin(core) for core in range(CORES)]
        self.filled: dict[tuple[int, int], int] = {}
        self.ghosts: list[tuple[int, dict[int, int]]] = []
        self.spent: dict[tuple[int, int], float] = {}  # by worker and turn
        self.turn = 5

    def teardown(self) -> None:
        self.atoms.close()
        os.close(self.region.descriptor)

    def begin(self, core: int) -> Seat:
        self.told = {key: share for key, share in self.told.items() if key[0] != core}
        return Seat(Board(self.region), core, True, True, self.swap)

    def swap(self, at: int, expected: int, new: int) -> bool:
        while self.others:
            core, worker, work = self.others.pop()
            self.take(core, worker, work)
        return self.atoms.swap(at, expected, new)

    def take(self, core: int, worker: int, work: float) -> None:
        if self.seats[core].take_cold(worker, self.turn, work, self.MOST):
            key = worker, self.turn
            self.spent[key] = self.spent.get(key, 0.0) + work
            assert self.spent[key] <= self.MOST + 1e-6, "overspent"

    @rule(core=CORE, worker=st.sampled_from([7, 8]), work=st.floats(0.5, 60.0), data=st.data())
    def spend(self, core: int, worker: int, work: float, data: st.DataObject) -> None:
        meanwhile = st.tuples(CORE, st.sampled_from([7, 8]), st.floats(0.5, 60.0))
        self.others = data.draw(st.lists(meanwhile, max_size=2))
        self.take(core, worker, work)
        self.others = []

    @rule()
    def next_turn(self) -> None:
        self.turn += 1

    @rule(core=CORE, worker=st.sampled_from([7, 8]), slots=st.integers(1, 3))
    def fill(self, core: int, worker: int, slots: int) -> None:
        self.seats[core].filled(worker, slots)
        self.filled[core, worker] = self.filled.get((core, worker), 0) + slots

    @rule(core=CORE, worker=st.sampled_from([7, 8]))
    def empty(self, core: int, worker: int) -> None:
        self.seats[core].filled(worker, -self.filled.pop((core, worker), 0))

    @rule(core=CORE)
    def die(self, core: int) -> None:
        ghosts = self.board.bury(core)
        assert ghosts == {w: n * SLOT for (c, w), n in self.filled.items() if c == core}
        self.filled = {key: n for key, n in self.filled.items() if key[0] != core}
        self.ghosts.append((core, ghosts))
        self.seats[core] = self.begin(core)

    @precondition(lambda self: self.ghosts)
    @rule()
    def time_is_up(self) -> None:
        core, ghosts = self.ghosts.pop(0)
        self.board.release(core, ghosts)

    @rule(core=CORE)
    def read(self, core: int) -> None:
        for news in self.seats[core].shares(self.turn):
            self.told[core, news.worker] = news
        for worker in (7, 8):
            share = self.told.get((core, worker))
            dead = sum(ghosts.get(worker, 0) for _, ghosts in self.ghosts) // SLOT
            others = sum(n for (c, w), n in self.filled.items() if w == worker and c != core) + dead
            assert (share.slots if share else 0) == others
            told = share.spent if share is not None and share.time_slice == self.turn else 0.0
            assert abs(told - self.spent.get((worker, self.turn), 0.0)) < 0.01


TestClaims = Claims.TestCase
TestClaims.settings = settings(max_examples=120, stateful_step_count=60, deadline=None, derandomize=True)
TestAccounts = Accounts.TestCase
TestAccounts.settings = settings(max_examples=80, stateful_step_count=40, deadline=None, derandomize=True)


class ScheduleTest(unittest.TestCase):
    def test_of_two_cores_that_claim_at_once_one_wins_in_every_order_of_steps(self) -> None:
        region = Region.make(Layout(2, 1))
        self.addCleanup(os.close, region.descriptor)
        pair = [Directory(region, core, lambda: None) for core in range(2)]
        for directory in pair:
            directory.pause = lambda: None
        for schedule in itertools.product((0, 1), repeat=8):
            job = str(schedule)
            running = {core: directory.steps(job) for core, directory in enumerate(pair)}
            for core in itertools.chain(schedule, itertools.cycle((0, 1))):
                if core in running and next(running[core], "done") == "done":
                    del running[core]
                if not running:
                    break
            decided = [directory.decided for directory in pair]
            self.assertEqual(decided.count(Claim.OWN), 1, schedule)
            self.assertEqual(pair[0].owner(job), decided.index(Claim.OWN))
            pair[decided.index(Claim.OWN)].forget(job)


class RegionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.layout = Layout(2, 1)
        self.region = Region.make(self.layout)
        self.addCleanup(os.close, self.region.descriptor)

    def test_what_is_not_the_nodes_own_memory_is_named_and_not_used(self) -> None:
        life, there = self.region.life, self.region.descriptor
        self.assertEqual(Region.join(there, self.layout, life).secret, self.region.secret)
        for layout, lives, said in (
            (self.layout, life + 2, "an earlier life"),
            (Layout(3, 1), life, "for 2 cores"),
            (Layout(2, 2), life, "for 2 cores and 1 classes"),
        ):
            with self.assertRaisesRegex(RegionError, said):
                Region.join(there, layout, lives)
        self.region.words[1] = 9
        with self.assertRaisesRegex(RegionError, "version 9"):
            Region.join(there, self.layout, life)
        self.region.words[0] = 1
        with self.assertRaisesRegex(RegionError, "another program"):
            Region.join(there, self.layout, life)
        empty = os.memfd_create("empty")
        self.addCleanup(os.close, empty)
        with self.assertRaisesRegex(RegionError, "without a header"):
            Region.join(empty, self.layout, life)

    def test_a_machine_without_memory_left_is_said_so(self) -> None:
        full = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch("os.posix_fallocate", side_effect=full):
            self.assertRaisesRegex(RegionError, "no room", Region.make, self.layout)

    def test_a_full_board_and_a_full_bucket_turn_away_and_rows_come_free(self) -> None:
        board = Board(self.region)
        workers = set(range(1, ROWS + 1))
        board.set_gates(workers)
        with self.assertRaises(BoardFull):
            board.set_gates({*workers, ROWS + 1})
        self.assertTrue(board.closed(ROWS + 1))
        row = board.row(5)
        assert row is not None
        self.region.words[board.account + row] = 1 << 40  # a cold turn long past
        workers.remove(5)
        with self.assertRaises(BoardFull):
            board.set_gates({*workers, ROWS + 1})
        board.clear_accounts(turn=7)
        board.set_gates({*workers, ROWS + 1})
        self.assertFalse(board.closed(ROWS + 1))
        self.assertTrue(board.closed(5))
        directory = Directory(self.region, 0, lambda: None)
        with mock.patch.object(directory, "print_of", side_effect=lambda job: 77 + (int(job) << 20)):
            found = [directory.claim(str(i)) for i in range(BUCKET + 1)]
            self.assertEqual(found, [Claim.OWN] * BUCKET + [Claim.NO_ROOM])
            self.assertEqual(bury(self.region, 0), BUCKET)
            successor = Directory(self.region, 0, lambda: None)
            with mock.patch.object(successor, "print_of", side_effect=directory.print_of):
                self.assertEqual(successor.claim("3"), Claim.TAKEN)  # it may have run
                self.assertEqual(successor.claim("99"), Claim.OWN)  # the oldest lost one makes room


class PlanTest(unittest.TestCase):
    def test_a_core_starts_again_later_each_time_and_not_for_ever(self) -> None:
        revival = Revival(Limits())
        waits = [revival.died(10_000.0 * i) for i in range(4)]
        self.assertEqual(waits, [100.0, 200.0, 400.0, 800.0])
        self.assertIsNone(revival.died(41_000.0))
        apart = Revival(Limits())
        self.assertTrue(all(apart.died(20_000.0 * i) is not None for i in range(50)))

    def test_connections_go_to_who_has_fewest_and_shows_itself(self) -> None:
        self.assertEqual(deal([Load(0, 5), Load(1, 3, dealt=1), Load(2, 4, open=1)]), 1)
        self.assertEqual(deal([Load(0, 5), Load(1, 0, silent_s=9.0)]), 0)
        self.assertEqual(deal([Load(0, 5, untaken=99), Load(1, 0, silent_s=9.0)]), 1)
        self.assertIsNone(deal([Load(0, 5, untaken=99)]))
        self.assertIsNone(deal([]))

    def test_the_roster_follows_changes_and_passes_over_what_it_cannot_read(self) -> None:
        roster = Roster()
        up, down = {"uid": "a", "state": "in_service"}, {"uid": "a", "state": "terminating"}
        roster.take({"rev": 1, "all": True, "targets": [up, {"uid": "b"}, 7, {**up, "uid": "c"}]})
        self.assertEqual(roster.in_service(), {"a", "c"})
        roster.take({"rev": 2, "targets": [down, {"uid": "c", "state": "terminated"}]})
        self.assertEqual((roster.in_service(), roster.known), (set(), {"a", "c"}))
        self.assertEqual(roster.whole(), {"rev": 2, "all": True, "targets": [down]})
        roster.take({"targets": "none"})
        self.assertEqual(list(roster.targets), ["a"])

    def test_the_roster_takes_a_state_that_nobody_knows_for_a_drain(self) -> None:
        roster = Roster()
        up = {"uid": "a", "state": "in_service", "endpoint": "127.0.0.1:1"}
        roster.take({"rev": 1, "all": True, "targets": [up]})
        roster.take({"rev": 2, "targets": [{**up, "state": "retiring"}, {"uid": "b", "state": "retiring"}]})
        self.assertEqual(roster.in_service(), set())
        self.assertEqual(roster.whole()["targets"], [{**up, "state": "terminating"}])
