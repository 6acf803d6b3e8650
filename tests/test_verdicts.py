"""Verdicts without I/O: evidence, the judgement of it, trials and operators' words, in virtual time."""

from __future__ import annotations

import itertools
import math
import random
import unittest
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from pebbledrift.bounds import Limits
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.verdicts.evidence import (
    REACH,
    RUN_MOST,
    BadStatement,
    Entry,
    Evidence,
    Sign,
    Statement,
    life_of,
    pack,
    short,
    unpack,
)
from pebbledrift.verdicts.panel import Panel, Ways
from pebbledrift.verdicts.verdict import Evident, Rules, Verdict, Word, capped, judge
from pebbledrift.verdicts.words import BadWord, Subject, Words
from pebbledrift.verdicts.words import unpack as unpack_word
from spoolpier import Dispatcher
from spoolpier import interface as api
from tests.panels import BODY, World

W = 0x1234567890ABCDEF
RULES = Rules()
FAILS, GOOD = Sign.WORD, Sign.GOOD

ages = st.one_of(st.just(math.inf), st.floats(0, 35_000))
entries = st.builds(
    Entry,
    worker=st.integers(0, 2**32 - 1),
    job_class=st.integers(0, 255),
    life=st.integers(0, 2**40 - 1),
    goods=st.floats(0, 63),
    fails=st.floats(0, 63),
    slows=st.floats(0, 63),
    good_run=st.integers(0, RUN_MOST),
    fail_run=st.integers(0, RUN_MOST),
    good_age=ages,
    fail_age=ages,
    onset_age=ages,
    by_word=st.booleans(),
    trying=st.booleans(),
)


def failing(run: int = 2, age: float = 100.0) -> Entry:
    """A row of failures by the worker's own word."""
    return Entry(short(W), 0, 0, 0.0, float(run), 0.0, 0, run, math.inf, age, age + 50.0, True)


def serving(age: float = 50.0, run: int = 3) -> Entry:
    """A row of successes."""
    return Entry(short(W), 0, 0, float(run), 0.0, 0.0, run, 0, age, math.inf, math.inf)


def named(*entries: Entry, believed: bool = True) -> list[Evident]:
    return [Evident(f"m{i}", entry, believed) for i, entry in enumerate(entries)]


class StatementTest(unittest.TestCase):
    @given(st.text("abcdef-", min_size=1, max_size=16), st.lists(entries, max_size=12), st.integers(0, 65535))
    def test_a_statement_comes_back_as_it_was_told(self, name: str, told: list[Entry], age: int) -> None:
        data = pack(Statement(name, 7, 9, float(age), 3, 2, tuple(told)), BODY)
        self.assertLessEqual(len(data), BODY)
        found = unpack(data)
        self.assertEqual((found.name, found.life, found.number, found.age_ms), (name, 7, 9, age))
        self.assertGreaterEqual(len(found.entries), min(len(told), Ways().entries))
        for was, now in zip(told, found.entries, strict=False):
            self.assertEqual((was.worker, was.job_class, was.life), (now.worker, now.job_class, now.life))
            self.assertEqual((was.fail_run, was.by_word, was.trying), (now.fail_run, now.by_word, now.trying))
            self.assertAlmostEqual(was.fails, now.fails, delta=0.13)
            if was.fail_age < math.inf and now.fail_age < math.inf:
                self.assertAlmostEqual(was.fail_age, now.fail_age, delta=20 + 0.02 * was.fail_age)

    @given(st.binary(max_size=300))
    def test_bytes_at_random_are_a_statement_or_a_clear_error(self, data: bytes) -> None:
        panel = Panel("me", 1, BODY, RULES, Ways(), 1)
        try:
            panel.received(0.0, data)
        except BadStatement:
            self.assertEqual(panel.dropped, 1)

    def test_evidence_of_unknown_workers_and_of_other_lives_is_counted_and_dropped(self) -> None:
        evidence = Evidence(8000.0)
        evidence.listed({W: 5})
        self.assertIsNone(evidence.see(W + 1, 5, 0, FAILS, 0.0))
        self.assertIsNone(evidence.see(W, 4, 0, FAILS, 0.0))  # of the life before
        self.assertIsNone(evidence.see(W, 5, 999, FAILS, 0.0))
        self.assertEqual((evidence.dropped, evidence.records), (3, {}))
        self.assertIsNotNone(evidence.see(W, 5, 0, FAILS, 0.0))
        evidence.listed({W: 6})  # a new life: nothing is held against it
        self.assertEqual(evidence.records, {})


class JudgeTest(unittest.TestCase):
    @runs(max_examples=200)
    @given(st.lists(entries, max_size=6), st.randoms())
    def test_the_same_evidence_gives_the_same_verdict_in_any_order(
        self, told: list[Entry], shuffle: random.Random
    ) -> None:
        evidence = named(*told)
        first = judge(evidence, 6, RULES)
        shuffle.shuffle(evidence)
        self.assertEqual(judge(evidence, 6, RULES).word, first.word)

    def test_nobody_condemns_alone_whatever_it_says(self) -> None:
        absurd = replace(failing(RUN_MOST), fails=1e9)
        self.assertEqual(judge(named(absurd), 5, RULES).word, Word.GOOD)
        # beside others that are served it stays alone, however loud it is
        self.assertEqual(judge(named(absurd, serving(), serving()), 5, RULES).word, Word.GOOD)
        self.assertEqual(judge(named(absurd), 1, RULES).word, Word.BAD)  # there is nobody else
        self.assertEqual(judge(named(absurd, failing(1)), 5, RULES).word, Word.BAD)
        # one who sees most workers fail may be at fault itself, and two of these condemn nobody either
        self.assertEqual(judge(named(failing(), failing(), believed=False), 5, RULES).word, Word.GOOD)

    def test_failures_on_the_way_count_where_most_that_had_to_do_with_the_worker_saw_them(self) -> None:
        cut = replace(failing(4), by_word=False)
        self.assertEqual(judge(named(cut, cut), 5, RULES).word, Word.DOWN)
        self.assertLess(judge(named(cut, cut, serving(), serving()), 5, RULES).word, Word.BAD)
        self.assertEqual(judge(named(cut, cut, cut, serving(9000.0)), 5, RULES).word, Word.DOWN)

    def test_fresh_successes_bring_it_back_and_without_fresh_signs_a_verdict_dies(self) -> None:
        rows = (failing(2, 900.0), failing(2, 800.0))
        self.assertEqual(judge(named(*rows), 5, RULES).word, Word.BAD)
        self.assertEqual(judge(named(*rows, serving(100.0, 1)), 5, RULES).word, Word.BAD)  # one is chance
        self.assertLess(judge(named(*rows, serving(100.0, 2)), 5, RULES).word, Word.BAD)
        # what was served before the failures began speaks neither way
        self.assertEqual(judge(named(*rows, serving(5000.0, 9)), 5, RULES).word, Word.BAD)
        stale = [replace(e, fail_age=RULES.hold_ms + 1, onset_age=RULES.hold_ms + 60) for e in rows]
        self.assertLess(judge(named(*stale), 5, RULES).word, Word.BAD)

    def test_one_job_in_five_makes_it_doubtful_and_no_more(self) -> None:
        told = [replace(serving(), goods=8.0, fails=2.0) for _ in range(3)]
        self.assertEqual(judge(named(*told), 5, RULES).word, Word.DOUBTFUL)
        self.assertEqual(judge(named(*[replace(e, fails=0.3) for e in told]), 5, RULES).word, Word.GOOD)
        slow = [replace(serving(), goods=4.0, slows=3.0) for _ in range(3)]
        self.assertEqual(judge(named(*slow), 5, RULES).word, Word.DOUBTFUL)

    @given(
        st.dictionaries(st.integers(0, 40), st.floats(0, 60), max_size=40),
        st.integers(0, 60),
        st.floats(0.01, 1),
    )
    def test_no_more_are_out_than_the_cap_allows_and_the_worst_stay(
        self, weights: dict[int, float], workers: int, share: float
    ) -> None:
        verdicts = {(w, 0): Verdict(Word.BAD, weight) for w, weight in weights.items()}
        out = capped(verdicts, workers, replace(RULES, out_most=share))
        self.assertLessEqual(len(out), share * workers)
        back = set(weights) - out
        self.assertTrue(all(weights[a] >= weights[b] for a in out for b in back) or not out)


class PanelTest(unittest.TestCase):
    def panel(self, name: str = "me") -> Panel:
        panel = Panel(name, 1, BODY, RULES, Ways(), 1)
        panel.listed({W: 0.0, W + 1: 0.0, W + 2: 0.0, W + 3: 0.0}, set())
        return panel

    def say(self, name: str, *entries: Entry, number: int = 1, life: int = 1, age: float = 0.0) -> bytes:
        return pack(Statement(name, life, number, age, 4, 1, entries), BODY)

    @given(st.lists(st.integers(0, 5), min_size=1, max_size=30))
    def test_statements_lost_doubled_and_overtaken_are_counted_once(self, order: list[int]) -> None:
        """Whatever arrives of a node's statements, what is held is the latest of those that did."""
        said = [self.say("a", failing(1 + n), number=n) for n in range(6)]
        panel = self.panel()
        for n in order:
            panel.received(1000.0, said[n])
        self.assertEqual(panel.heard["a"].told.entries[0].fail_run, 1 + max(order))
        self.assertEqual(len(panel.heard), 1)

    def test_a_restarted_node_is_heard_and_the_recording_of_its_earlier_life_is_not(self) -> None:
        panel = self.panel()
        panel.received(1000.0, self.say("a", failing(4), number=900, life=1))
        panel.received(2000.0, self.say("a", number=1, life=2))
        panel.received(2100.0, self.say("a", failing(4), number=901, life=1, age=1500.0))
        self.assertEqual(panel.heard["a"].told.entries, ())

    def test_a_restart_clears_the_verdict_whichever_is_heard_first(self) -> None:
        for first in ("list", "statement"):
            panel = self.panel()
            old, new = failing(4), replace(failing(4), life=life_of(5000.0))
            panel.received(0.0, self.say("a", old))
            panel.received(0.0, self.say("b", old))
            panel.tick(0.0, ("a", "b"))
            self.assertEqual(panel.out, {short(W)})
            if first == "list":
                panel.listed({W: 5000.0, W + 1: 0.0, W + 2: 0.0, W + 3: 0.0}, {W})
                panel.tick(200.0, ("a", "b"))
                self.assertEqual(panel.out, set())
            # of a life that the list here does not know yet: neither for nor against the one it knows
            for name in "ab":
                panel.received(300.0, self.say(name, new, number=2))
            panel.tick(400.0, ("a", "b"))
            self.assertEqual(panel.out, {short(W)} if first == "list" else set())
            if first == "statement":  # two say so: it is shown as cold until the list says so
                self.assertEqual(panel.started(400.0), {W: 5000.0})
                panel.heard.pop("b")
                self.assertEqual(panel.started(400.0), {})  # one alone may be wrong

    def test_one_that_was_stopped_says_nothing_of_what_failed_meanwhile_and_tries_nothing(self) -> None:
        panel = self.panel()
        for _ in range(4):
            panel.see(0.0, W, 0.0, 0, Sign.PATH)
        panel.stopped(10.0)
        self.assertFalse([e for e in panel.statement(20.0).entries if e.fail_run])

    def test_what_is_kept_is_bounded(self) -> None:
        panel = Panel("me", 1, BODY, RULES, Ways(), 1)
        panel.listed({n: 0.0 for n in range(6000)}, set())
        for n in range(6000):
            panel.see(float(n), n, 0.0, 0, Sign.PATH)
            panel.received(float(n), self.say(f"m{n}", failing(1)))
        self.assertLessEqual(len(panel.evidence.records), 4096)
        self.assertLessEqual(len(panel.heard), 4096)
        body = pack(panel.statement(6000.0), BODY)
        self.assertLessEqual(len(body), BODY)


class WorldTest(unittest.TestCase):
    """Many members, in virtual time."""

    def world(self, seed: int, loss: float, together: bool = True, members: int = 9) -> tuple[World, int]:
        world = World(members, 16, seed, loss, rate=5.0, together=together)
        return world, world.workers[seed % 16]

    def lost(self, world: World, count: int) -> bool:
        return len(world.lost) >= count

    def sometimes(self, seed: int, share: float) -> Callable[[float, str, int], Sign]:
        chance = random.Random(seed)
        return lambda now, name, worker: FAILS if chance.random() < share else GOOD

    def test_what_a_bad_worker_costs_and_how_soon_all_act_stay_within_their_bounds(self) -> None:
        for seed, loss in itertools.product(range(4), (0.0, 0.1, 0.3)):
            lost = {}
            for together in (True, False):
                world, bad = self.world(seed, loss, together)
                world.network.run(3000)
                world.spoil(bad)
                world.network.until(partial(self.lost, world, 3), 10_000)
                if together:
                    took = world.until_out(bad, 9, 5000)
                    self.assertLessEqual(took, 500 if loss < 0.2 else 1500, (seed, loss))
                world.network.run(15_000)
                lost[together] = len(world.lost)
            self.assertLess(lost[True], 0.55 * lost[False], (seed, loss, lost))

    def test_a_worker_that_recovers_comes_back_and_one_node_at_a_time_tries_it(self) -> None:
        for seed in range(6):
            world, bad = self.world(seed, 0.1)
            world.spoil(bad)
            world.until_out(bad, 9, 10_000)
            began = world.network.now + 200
            trying = 0
            for _ in range(400):
                world.network.run(25)
                now = [n for n, m in world.members.items() if m.panel.trying]
                trying = max(trying, len(now))
            self.assertLessEqual(trying, 2, seed)  # two that had not heard of each other yet, at most
            tried = [t for t, _, w in world.sent if w == bad and t > began]
            self.assertTrue(tried)
            self.assertLess(len(tried), 14, seed)  # in ten seconds, of nine nodes together
            world.mend()
            took = world.until_out(bad, 0, 20_000)
            self.assertLess(took, RULES.try_most_ms + 4000, seed)

    def test_a_cut_lets_each_side_go_by_what_it_sees_and_after_it_all_hold_the_same(self) -> None:
        world, bad = self.world(3, 0.0, members=8)
        left = {f"m{i}" for i in range(4)}
        side = {world.addresses[n]: n in left for n in world.members}
        world.network.cut = lambda a, b: side[a] != side[b]
        for name, member in world.members.items():
            member.up = tuple(n for n in world.members if (n in left) == (name in left))
        world.spoil(bad, *left)
        world.network.until(lambda: world.out(bad) == left, 10_000)
        world.network.run(5000)
        self.assertEqual(world.out(bad), left)
        world.network.cut = lambda a, b: False
        for member in world.members.values():
            member.up = tuple(world.members)
        world.mend()
        took = world.until_out(bad, 0, 20_000)
        self.assertLess(took, 10_000)

    def test_all_workers_fail_at_once_and_nobody_is_condemned_beyond_the_cap(self) -> None:
        world, _ = self.world(5, 0.1)
        world.network.run(3000)
        world.fails = lambda now, name, worker: FAILS
        for _ in range(40):
            world.network.run(250)
            for member in world.members.values():
                self.assertLessEqual(len(member.panel.out), RULES.out_most * 16)

    def test_good_workers_stay_in_while_one_job_in_a_hundred_fails(self) -> None:
        out = 0
        for seed in range(3):
            world, _ = self.world(seed, 0.1)
            world.fails = self.sometimes(seed, 0.01)
            for _ in range(120):
                world.network.run(500)
                out += sum(len(m.panel.out) for m in world.members.values())
        self.assertLessEqual(out, 0.001 * 3 * 120 * 9 * 16)


class WordsTest(unittest.TestCase):
    def words(self, seed: int) -> Words:
        chance = random.Random(seed)
        return Words(lambda: chance.getrandbits(32))

    def tell(self, one: Words, other: Words) -> None:
        for uid in list(one.subjects):
            other.merge(*unpack_word(one.pack(uid)))

    @runs(max_examples=150, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("slt"), st.integers(0, 2), st.integers(0, 2)), max_size=25))
    def test_words_in_any_order_end_alike_and_no_ban_is_lifted_by_who_did_not_know_it(
        self, acts: list[tuple[str, int, int]]
    ) -> None:
        nodes = [self.words(seed) for seed in range(3)]
        known: list[set[int]] = [set(), set(), set()]  # bans that each has heard of
        lifted: set[int] = set()
        for act, at, other in acts:
            if act == "s" and sum(act == "s" for act, _, _ in acts) <= 8:
                before = set(nodes[at].subjects.get("w", Subject()).bans)
                nodes[at].ban("w")
                known[at] |= set(nodes[at].subjects["w"].bans) - before
            elif act == "l":
                nodes[at].lift("w")
                lifted |= known[at]
            elif act == "t":
                self.tell(nodes[at], nodes[other])
                known[other] |= known[at]
        for a, b in itertools.product(nodes, nodes):
            self.tell(a, b)
        for a, b in itertools.product(nodes, nodes):
            self.tell(a, b)
        standing = set().union(*known) - lifted
        for node in nodes:
            self.assertEqual(node.banned("w"), bool(standing))
            self.assertEqual(node.digest(), nodes[0].digest())

    @given(st.lists(st.integers(0, 2), min_size=9, max_size=24))
    def test_of_more_bans_than_are_kept_all_nodes_keep_the_same(self, acts: list[int]) -> None:
        nodes = [self.words(seed) for seed in range(3)]
        for at in acts:
            nodes[at].ban("w")
        for _ in range(2):
            for a, b in itertools.product(nodes, nodes):
                self.tell(a, b)
        self.assertEqual({node.digest() for node in nodes}, {nodes[0].digest()})
        self.assertTrue(all(node.banned("w") for node in nodes))

    @given(st.binary(max_size=230))
    def test_bytes_at_random_are_a_word_or_a_clear_error(self, body: bytes) -> None:
        words = self.words(1)
        try:
            words.merge(*unpack_word(body))
        except BadWord:
            self.assertEqual(words.subjects, {})

    def test_what_is_kept_of_a_worker_fits_a_datagram(self) -> None:
        words = self.words(1)
        uid = "w" * 64
        for _ in range(40):
            words.ban(uid)
            if random.Random(1).random() < 0.5:
                words.lift(uid)
        for _ in range(30):
            words.ban(uid)
        self.assertLessEqual(len(words.pack(uid)) + 4, BODY)
        with self.assertRaisesRegex(BadWord, "64 bytes"):
            words.ban("w" * 65)


class ReachTest(unittest.TestCase):
    def test_whoever_answers_can_be_reached_whatever_it_answers(self) -> None:
        evidence = Evidence(8000.0)
        evidence.listed({W: 0})
        evidence.see(W, 0, REACH, Sign.PATH, 0.0)
        evidence.see(W, 0, 1, Sign.WORD, 10.0)
        self.assertEqual(evidence.records[W, REACH].fail_run, 0)
        self.assertEqual(evidence.records[W, 1].fail_run, 1)


class Told:
    """Neighbours whose news, when they are heard, is a change of the list: as a ban for all is."""

    fleet = True

    def __init__(self) -> None:
        self.engine: Engine | None = None
        self.left = 3

    def shares(self) -> tuple[api.Share, ...]:
        if self.left and self.engine is not None:
            self.left -= 1
            entry = api.WorkerEntry(worker=7, state=api.WorkerState.DRAINING)
            self.engine.worker_list_changed(api.WorkerList(api.ListForm.DELTA, (entry,)))
            self.engine.step_now()
        return ()

    def owned_slices(self) -> None:
        return None


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_is_heard_as_a_step_begins_is_part_of_it_and_no_step_of_its_own(self) -> None:
        settings = api.Settings(classes=(api.JobClass(aim_ms=400, deadline_ms=5000),))
        told: Any = Told()
        nowhere: Any = None
        engine = told.engine = Engine(settings, Limits(), Clock(), 1, nowhere, told)
        with self.assertNoLogs("pebbledrift.core.engine", "ERROR"):
            engine.worker_list_changed(api.WorkerList(api.ListForm.FULL, (api.WorkerEntry(worker=7),)))
            engine.step_now()
        self.assertEqual(told.left, 2)
        self.assertFalse(engine._dispatcher.table.workers[7].up)  # the list came first, then the ban

    async def test_the_module_leaves_a_worker_alone_and_takes_it_back_as_new(self) -> None:
        settings = api.Settings(classes=(api.JobClass(aim_ms=400, deadline_ms=5000),), tells_start=True)
        module = Dispatcher(settings, 1)
        entries = tuple(api.WorkerEntry(worker=n) for n in (7, 8))
        module.step(0.0, [api.WorkerList(api.ListForm.FULL, entries), api.Verdict(7, 0, excluded=True)])

        def sent(now: float, job: str) -> list[int]:
            actions = module.step(now, [api.Arrival(job, 0, grace_ms=5000.0, key=1)])
            return [a.worker for a in actions if isinstance(a, api.Send)]

        self.assertEqual([*sent(1.0, "a"), *sent(2.0, "b")], [8])  # the other one has a single slot
        module.table.workers[7].limit = 9.0
        module.step(3.0, [api.Verdict(7, 0, rank=-1)])
        self.assertEqual(module.table.workers[7].limit, 1.0)
        module.step(4.0, [api.Verdict(7, 0, excluded=True)])
        self.assertEqual(module.table.excluded, {(7, 0)})
        module.step(5.0, [api.Verdict(7, 0)])
        self.assertEqual((module.table.excluded, module.table.ranks), (set(), {}))
