"""Tests of outlier detection without I/O: evidence, verdicts, trials and operators' commands."""

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
    MAX_RUN,
    REACHABILITY,
    BadStatement,
    Entry,
    Evidence,
    Observation,
    Statement,
    incarnation_of,
    pack,
    unpack,
    wire_id,
)
from pebbledrift.verdicts.panel import GossipSettings, Panel
from pebbledrift.verdicts.verdict import NodeEvidence, Rules, Verdict, Word, judge, limit_exclusions
from pebbledrift.verdicts.words import InvalidCommand, OperatorCommands, Subject
from pebbledrift.verdicts.words import unpack as unpack_command
from spoolpier import Dispatcher
from spoolpier import interface as api
from tests.panels import STATEMENT_BYTES, World

WORKER = 0x1234567890ABCDEF
RULES = Rules()
FAILURE, SUCCESS = Observation.REPORTED_FAILURE, Observation.SUCCESS

ages = st.one_of(st.just(math.inf), st.floats(0, 35_000))
entries = st.builds(
    Entry,
    worker=st.integers(0, 2**32 - 1),
    job_class=st.integers(0, 255),
    incarnation=st.integers(0, 2**40 - 1),
    successes=st.floats(0, 63),
    failures=st.floats(0, 63),
    slow_successes=st.floats(0, 63),
    success_run=st.integers(0, MAX_RUN),
    failure_run=st.integers(0, MAX_RUN),
    success_age=ages,
    failure_age=ages,
    run_age=ages,
    reported=st.booleans(),
    under_trial=st.booleans(),
)


def failing(run: int = 2, age: float = 100.0) -> Entry:
    """A run of failures that the worker reported."""
    return Entry(wire_id(WORKER), 0, 0, 0.0, float(run), 0.0, 0, run, math.inf, age, age + 50.0, True)


def serving(age: float = 50.0, run: int = 3) -> Entry:
    """A run of successes."""
    return Entry(wire_id(WORKER), 0, 0, float(run), 0.0, 0.0, run, 0, age, math.inf, math.inf)


def observed_by(*entries: Entry, credible: bool = True) -> list[NodeEvidence]:
    return [NodeEvidence(f"m{i}", entry, credible) for i, entry in enumerate(entries)]


class StatementTest(unittest.TestCase):
    @given(st.text("abcdef-", min_size=1, max_size=16), st.lists(entries, max_size=12), st.integers(0, 65535))
    def test_a_statement_survives_encoding_and_decoding(self, name: str, sent: list[Entry], age: int) -> None:
        data = pack(Statement(name, 7, 9, float(age), 3, 2, tuple(sent)), STATEMENT_BYTES)
        self.assertLessEqual(len(data), STATEMENT_BYTES)
        decoded = unpack(data)
        self.assertEqual(
            (decoded.name, decoded.incarnation, decoded.number, decoded.age_ms), (name, 7, 9, age)
        )
        self.assertGreaterEqual(len(decoded.entries), min(len(sent), GossipSettings().max_entries))
        for before, after in zip(sent, decoded.entries, strict=False):
            self.assertEqual(
                (before.worker, before.job_class, before.incarnation),
                (after.worker, after.job_class, after.incarnation),
            )
            self.assertEqual(
                (before.failure_run, before.reported, before.under_trial),
                (after.failure_run, after.reported, after.under_trial),
            )
            self.assertAlmostEqual(before.failures, after.failures, delta=0.13)
            if before.failure_age < math.inf and after.failure_age < math.inf:
                self.assertAlmostEqual(
                    before.failure_age, after.failure_age, delta=20 + 0.02 * before.failure_age
                )

    @given(st.binary(max_size=300))
    def test_random_bytes_decode_or_raise_bad_statement(self, data: bytes) -> None:
        panel = Panel("me", 1, STATEMENT_BYTES, RULES, GossipSettings(), 1)
        try:
            panel.received(0.0, data)
        except BadStatement:
            self.assertEqual(panel.dropped, 1)

    def test_observations_of_unknown_workers_and_other_incarnations_are_dropped_and_counted(self) -> None:
        evidence = Evidence(8000.0)
        evidence.update_workers({WORKER: 5})
        self.assertIsNone(evidence.observe(WORKER + 1, 5, 0, FAILURE, 0.0))
        self.assertIsNone(evidence.observe(WORKER, 4, 0, FAILURE, 0.0))  # the previous incarnation
        self.assertIsNone(evidence.observe(WORKER, 5, 999, FAILURE, 0.0))
        self.assertEqual((evidence.dropped, evidence.records), (3, {}))
        self.assertIsNotNone(evidence.observe(WORKER, 5, 0, FAILURE, 0.0))
        evidence.update_workers({WORKER: 6})  # a new incarnation starts without records
        self.assertEqual(evidence.records, {})


class JudgeTest(unittest.TestCase):
    @runs(max_examples=200)
    @given(st.lists(entries, max_size=6), st.randoms())
    def test_the_order_of_evidence_does_not_change_the_verdict(
        self, drawn: list[Entry], shuffle: random.Random
    ) -> None:
        evidence = observed_by(*drawn)
        first = judge(evidence, 6, RULES)
        shuffle.shuffle(evidence)
        self.assertEqual(judge(evidence, 6, RULES).level, first.level)

    def test_a_single_node_cannot_exclude_a_worker(self) -> None:
        extreme = replace(failing(MAX_RUN), failures=1e9)
        self.assertEqual(judge(observed_by(extreme), 5, RULES).level, Word.GOOD)
        # The other nodes are served, so a single report is not enough, however many failures it has.
        self.assertEqual(judge(observed_by(extreme, serving(), serving()), 5, RULES).level, Word.GOOD)
        self.assertEqual(judge(observed_by(extreme), 1, RULES).level, Word.BAD)  # the only node of the group
        self.assertEqual(judge(observed_by(extreme, failing(1)), 5, RULES).level, Word.BAD)
        # Nodes that see most workers fail may be at fault themselves, so even two of them do not count.
        self.assertEqual(judge(observed_by(failing(), failing(), credible=False), 5, RULES).level, Word.GOOD)

    def test_path_failures_count_only_if_most_recent_observers_saw_them(self) -> None:
        unreachable = replace(failing(4), reported=False)
        self.assertEqual(judge(observed_by(unreachable, unreachable), 5, RULES).level, Word.DOWN)
        self.assertLess(
            judge(observed_by(unreachable, unreachable, serving(), serving()), 5, RULES).level, Word.BAD
        )
        self.assertEqual(
            judge(observed_by(unreachable, unreachable, unreachable, serving(9000.0)), 5, RULES).level,
            Word.DOWN,
        )

    def test_a_verdict_ends_after_new_successes_or_without_new_failures(self) -> None:
        failure_runs = (failing(2, 900.0), failing(2, 800.0))
        self.assertEqual(judge(observed_by(*failure_runs), 5, RULES).level, Word.BAD)
        # A single success may be chance.
        self.assertEqual(judge(observed_by(*failure_runs, serving(100.0, 1)), 5, RULES).level, Word.BAD)
        self.assertLess(judge(observed_by(*failure_runs, serving(100.0, 2)), 5, RULES).level, Word.BAD)
        # Successes from before the failures began do not count.
        self.assertEqual(judge(observed_by(*failure_runs, serving(5000.0, 9)), 5, RULES).level, Word.BAD)
        stale = [
            replace(e, failure_age=RULES.max_verdict_age_ms + 1, run_age=RULES.max_verdict_age_ms + 60)
            for e in failure_runs
        ]
        self.assertLess(judge(observed_by(*stale), 5, RULES).level, Word.BAD)

    def test_failing_one_job_in_five_or_slowness_makes_a_worker_doubtful(self) -> None:
        partly_failing = [replace(serving(), successes=8.0, failures=2.0) for _ in range(3)]
        self.assertEqual(judge(observed_by(*partly_failing), 5, RULES).level, Word.DOUBTFUL)
        self.assertEqual(
            judge(observed_by(*[replace(e, failures=0.3) for e in partly_failing]), 5, RULES).level,
            Word.GOOD,
        )
        slow = [replace(serving(), successes=4.0, slow_successes=3.0) for _ in range(3)]
        self.assertEqual(judge(observed_by(*slow), 5, RULES).level, Word.DOUBTFUL)

    @given(
        st.dictionaries(st.integers(0, 40), st.floats(0, 60), max_size=40),
        st.integers(0, 60),
        st.floats(0.01, 1),
    )
    def test_exclusions_stay_within_the_limit_and_keep_the_worst(
        self, weights: dict[int, float], workers: int, share: float
    ) -> None:
        verdicts = {(w, 0): Verdict(Word.BAD, weight) for w, weight in weights.items()}
        excluded = limit_exclusions(verdicts, workers, replace(RULES, max_excluded_share=share))
        self.assertLessEqual(len(excluded), share * workers)
        kept = set(weights) - excluded
        self.assertTrue(all(weights[a] >= weights[b] for a in excluded for b in kept) or not excluded)


class PanelTest(unittest.TestCase):
    def panel(self, name: str = "me") -> Panel:
        panel = Panel(name, 1, STATEMENT_BYTES, RULES, GossipSettings(), 1)
        panel.update_workers({WORKER: 0.0, WORKER + 1: 0.0, WORKER + 2: 0.0, WORKER + 3: 0.0}, set())
        return panel

    def statement(
        self, name: str, *entries: Entry, number: int = 1, incarnation: int = 1, age: float = 0.0
    ) -> bytes:
        return pack(Statement(name, incarnation, number, age, 4, 1, entries), STATEMENT_BYTES)

    @given(st.lists(st.integers(0, 5), min_size=1, max_size=30))
    def test_lost_duplicated_and_reordered_statements_count_once(self, order: list[int]) -> None:
        """The panel keeps the latest of the statements that arrived, in whatever order they did."""
        statements = [self.statement("a", failing(1 + n), number=n) for n in range(6)]
        panel = self.panel()
        for n in order:
            panel.received(1000.0, statements[n])
        self.assertEqual(panel.peer_statements["a"].statement.entries[0].failure_run, 1 + max(order))
        self.assertEqual(len(panel.peer_statements), 1)

    def test_a_statement_of_a_previous_incarnation_is_ignored_after_a_restart(self) -> None:
        panel = self.panel()
        panel.received(1000.0, self.statement("a", failing(4), number=900, incarnation=1))
        panel.received(2000.0, self.statement("a", number=1, incarnation=2))
        panel.received(2100.0, self.statement("a", failing(4), number=901, incarnation=1, age=1500.0))
        self.assertEqual(panel.peer_statements["a"].statement.entries, ())

    def test_a_worker_restart_clears_its_verdict_whichever_source_reports_it_first(self) -> None:
        for first in ("list", "statement"):
            panel = self.panel()
            old, new = failing(4), replace(failing(4), incarnation=incarnation_of(5000.0))
            panel.received(0.0, self.statement("a", old))
            panel.received(0.0, self.statement("b", old))
            panel.tick(0.0, ("a", "b"))
            self.assertEqual(panel.excluded, {wire_id(WORKER)})
            if first == "list":
                panel.update_workers(
                    {WORKER: 5000.0, WORKER + 1: 0.0, WORKER + 2: 0.0, WORKER + 3: 0.0}, {WORKER}
                )
                panel.tick(200.0, ("a", "b"))
                self.assertEqual(panel.excluded, set())
            # Evidence on an incarnation that is not listed yet does not affect the listed one.
            for name in "ab":
                panel.received(300.0, self.statement(name, new, number=2))
            panel.tick(400.0, ("a", "b"))
            self.assertEqual(panel.excluded, {wire_id(WORKER)} if first == "list" else set())
            if first == "statement":  # a quorum of two reports the later start
                self.assertEqual(panel.later_starts(400.0), {WORKER: 5000.0})
                panel.peer_statements.pop("b")
                self.assertEqual(panel.later_starts(400.0), {})  # a single node may be wrong

    def test_a_node_that_stalled_does_not_report_failures_from_that_time(self) -> None:
        panel = self.panel()
        for _ in range(4):
            panel.observe(0.0, WORKER, 0.0, 0, Observation.PATH_FAILURE)
        panel.recovered_from_stall(10.0)
        self.assertFalse([e for e in panel.statement(20.0).entries if e.failure_run])

    def test_memory_and_statement_size_are_bounded(self) -> None:
        panel = Panel("me", 1, STATEMENT_BYTES, RULES, GossipSettings(), 1)
        panel.update_workers({n: 0.0 for n in range(6000)}, set())
        for n in range(6000):
            panel.observe(float(n), n, 0.0, 0, Observation.PATH_FAILURE)
            panel.received(float(n), self.statement(f"m{n}", failing(1)))
        self.assertLessEqual(len(panel.evidence.records), 4096)
        self.assertLessEqual(len(panel.peer_statements), 4096)
        body = pack(panel.statement(6000.0), STATEMENT_BYTES)
        self.assertLessEqual(len(body), STATEMENT_BYTES)


class WorldTest(unittest.TestCase):
    """Many members in virtual time."""

    def world(
        self, seed: int, loss: float, shared_verdicts: bool = True, members: int = 9
    ) -> tuple[World, int]:
        world = World(members, 16, seed, loss, rate=5.0, shared_verdicts=shared_verdicts)
        return world, world.workers[seed % 16]

    def enough_failed(self, world: World, count: int) -> bool:
        return len(world.failed) >= count

    def random_failures(self, seed: int, share: float) -> Callable[[float, str, int], Observation]:
        chance = random.Random(seed)
        return lambda now, name, worker: FAILURE if chance.random() < share else SUCCESS

    def test_shared_verdicts_reduce_failed_jobs_and_exclude_a_bad_worker_in_time(self) -> None:
        for seed, loss in itertools.product(range(4), (0.0, 0.1, 0.3)):
            failed = {}
            for shared_verdicts in (True, False):
                world, bad = self.world(seed, loss, shared_verdicts)
                world.network.run(3000)
                world.fail_worker(bad)
                world.network.until(partial(self.enough_failed, world, 3), 10_000)
                if shared_verdicts:
                    elapsed_ms = world.time_until_excluded(bad, 9, 5000)
                    self.assertLessEqual(elapsed_ms, 500 if loss < 0.2 else 1500, (seed, loss))
                world.network.run(15_000)
                failed[shared_verdicts] = len(world.failed)
            self.assertLess(failed[True], 0.55 * failed[False], (seed, loss, failed))

    def test_a_recovered_worker_returns_and_trials_run_at_one_node_at_a_time(self) -> None:
        for seed in range(6):
            world, bad = self.world(seed, 0.1)
            world.fail_worker(bad)
            world.time_until_excluded(bad, 9, 10_000)
            began = world.network.now + 200
            max_trying = 0
            for _ in range(400):
                world.network.run(25)
                trying = [n for n, m in world.members.items() if m.panel.trials]
                max_trying = max(max_trying, len(trying))
            self.assertLessEqual(max_trying, 2, seed)  # two that have not learned of each other yet
            trial_times = [t for t, _, w in world.sent if w == bad and t > began]
            self.assertTrue(trial_times)
            self.assertLess(len(trial_times), 14, seed)  # in ten seconds, at nine nodes together
            world.recover_all()
            elapsed_ms = world.time_until_excluded(bad, 0, 20_000)
            self.assertLess(elapsed_ms, RULES.max_trial_delay_ms + 4000, seed)

    def test_partition_sides_judge_separately_and_converge_after_it_heals(self) -> None:
        world, bad = self.world(3, 0.0, members=8)
        left = {f"m{i}" for i in range(4)}
        side = {world.addresses[n]: n in left for n in world.members}
        world.network.cut = lambda a, b: side[a] != side[b]
        for name, member in world.members.items():
            member.up = tuple(n for n in world.members if (n in left) == (name in left))
        world.fail_worker(bad, *left)
        world.network.until(lambda: world.excluded_at(bad) == left, 10_000)
        world.network.run(5000)
        self.assertEqual(world.excluded_at(bad), left)
        world.network.cut = lambda a, b: False
        for member in world.members.values():
            member.up = tuple(world.members)
        world.recover_all()
        elapsed_ms = world.time_until_excluded(bad, 0, 20_000)
        self.assertLess(elapsed_ms, 10_000)

    def test_exclusions_stay_within_the_limit_when_all_workers_fail(self) -> None:
        world, _ = self.world(5, 0.1)
        world.network.run(3000)
        world.result_of = lambda now, name, worker: FAILURE
        for _ in range(40):
            world.network.run(250)
            for member in world.members.values():
                self.assertLessEqual(len(member.panel.excluded), RULES.max_excluded_share * 16)

    def test_workers_with_one_percent_failures_are_rarely_excluded(self) -> None:
        exclusions = 0
        for seed in range(3):
            world, _ = self.world(seed, 0.1)
            world.result_of = self.random_failures(seed, 0.01)
            for _ in range(120):
                world.network.run(500)
                exclusions += sum(len(m.panel.excluded) for m in world.members.values())
        self.assertLessEqual(exclusions, 0.001 * 3 * 120 * 9 * 16)


class OperatorCommandsTest(unittest.TestCase):
    def commands(self, seed: int) -> OperatorCommands:
        chance = random.Random(seed)
        return OperatorCommands(lambda: chance.getrandbits(32))

    def sync(self, one: OperatorCommands, other: OperatorCommands) -> None:
        for uid in list(one.subjects):
            other.merge(*unpack_command(one.pack(uid)))

    @runs(max_examples=150, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("slt"), st.integers(0, 2), st.integers(0, 2)), max_size=25))
    def test_commands_converge_in_any_order_and_unknown_bans_are_not_lifted(
        self, actions: list[tuple[str, int, int]]
    ) -> None:
        nodes = [self.commands(seed) for seed in range(3)]
        known_bans: list[set[int]] = [set(), set(), set()]  # ids of the bans that each node has received
        lifted: set[int] = set()
        for action, at, other in actions:
            if action == "s" and sum(action == "s" for action, _, _ in actions) <= 8:
                before = set(nodes[at].subjects.get("w", Subject()).bans)
                nodes[at].ban("w")
                known_bans[at] |= set(nodes[at].subjects["w"].bans) - before
            elif action == "l":
                nodes[at].lift("w")
                lifted |= known_bans[at]
            elif action == "t":
                self.sync(nodes[at], nodes[other])
                known_bans[other] |= known_bans[at]
        for a, b in itertools.product(nodes, nodes):
            self.sync(a, b)
        for a, b in itertools.product(nodes, nodes):
            self.sync(a, b)
        standing = set().union(*known_bans) - lifted
        for node in nodes:
            self.assertEqual(node.banned("w"), bool(standing))
            self.assertEqual(node.digest(), nodes[0].digest())

    @given(st.lists(st.integers(0, 2), min_size=9, max_size=24))
    def test_all_nodes_keep_the_same_bans_beyond_the_limit(self, actions: list[int]) -> None:
        nodes = [self.commands(seed) for seed in range(3)]
        for at in actions:
            nodes[at].ban("w")
        for _ in range(2):
            for a, b in itertools.product(nodes, nodes):
                self.sync(a, b)
        self.assertEqual({node.digest() for node in nodes}, {nodes[0].digest()})
        self.assertTrue(all(node.banned("w") for node in nodes))

    @given(st.binary(max_size=230))
    def test_random_bytes_decode_or_raise_invalid_command(self, body: bytes) -> None:
        commands = self.commands(1)
        try:
            commands.merge(*unpack_command(body))
        except InvalidCommand:
            self.assertEqual(commands.subjects, {})

    def test_the_state_of_a_subject_fits_in_a_datagram(self) -> None:
        commands = self.commands(1)
        uid = "w" * 64
        for _ in range(40):
            commands.ban(uid)
            if random.Random(1).random() < 0.5:
                commands.lift(uid)
        for _ in range(30):
            commands.ban(uid)
        self.assertLessEqual(len(commands.pack(uid)) + 4, STATEMENT_BYTES)
        with self.assertRaisesRegex(InvalidCommand, "64 bytes"):
            commands.ban("w" * 65)


class ReachabilityTest(unittest.TestCase):
    def test_a_worker_that_reports_a_failure_is_reachable(self) -> None:
        evidence = Evidence(8000.0)
        evidence.update_workers({WORKER: 0})
        evidence.observe(WORKER, 0, REACHABILITY, Observation.PATH_FAILURE, 0.0)
        evidence.observe(WORKER, 0, 1, Observation.REPORTED_FAILURE, 10.0)
        self.assertEqual(evidence.records[WORKER, REACHABILITY].failure_run, 0)
        self.assertEqual(evidence.records[WORKER, 1].failure_run, 1)


class NeighboursThatChangeTheList:
    """Neighbours that change the worker list when the engine asks for shares, as a ban for all nodes does."""

    fleet = True

    def __init__(self) -> None:
        self.engine: Engine | None = None
        self.remaining_changes = 3

    def shares(self) -> tuple[api.Share, ...]:
        if self.remaining_changes and self.engine is not None:
            self.remaining_changes -= 1
            entry = api.WorkerEntry(worker=7, state=api.WorkerState.DRAINING)
            self.engine.worker_list_changed(api.WorkerList(api.ListForm.DELTA, (entry,)))
            self.engine.step_now()
        return ()

    def owned_slices(self) -> None:
        return None


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_list_change_made_as_a_step_begins_joins_that_step(self) -> None:
        settings = api.Settings(classes=(api.JobClass(aim_ms=400, deadline_ms=5000),))
        neighbours: Any = NeighboursThatChangeTheList()
        nowhere: Any = None
        engine = neighbours.engine = Engine(settings, Limits(), Clock(), 1, nowhere, neighbours)
        with self.assertNoLogs("pebbledrift.core.engine", "ERROR"):
            engine.worker_list_changed(api.WorkerList(api.ListForm.FULL, (api.WorkerEntry(worker=7),)))
            engine.step_now()
        self.assertEqual(neighbours.remaining_changes, 2)
        self.assertFalse(engine._dispatcher.table.workers[7].up)  # the list was applied before the ban

    async def test_the_module_excludes_a_worker_and_readmits_it_with_a_fresh_limit(self) -> None:
        settings = api.Settings(classes=(api.JobClass(aim_ms=400, deadline_ms=5000),), tells_start=True)
        module = Dispatcher(settings, 1)
        entries = tuple(api.WorkerEntry(worker=n) for n in (7, 8))
        module.step(0.0, [api.WorkerList(api.ListForm.FULL, entries), api.Verdict(7, 0, excluded=True)])

        def sent(now: float, job: str) -> list[int]:
            actions = module.step(now, [api.Arrival(job, 0, grace_ms=5000.0, key=1)])
            return [a.worker for a in actions if isinstance(a, api.Send)]

        self.assertEqual([*sent(1.0, "a"), *sent(2.0, "b")], [8])  # the other worker has a single slot
        module.table.workers[7].limit = 9.0
        module.step(3.0, [api.Verdict(7, 0, rank=-1)])
        self.assertEqual(module.table.workers[7].limit, 1.0)
        module.step(4.0, [api.Verdict(7, 0, excluded=True)])
        self.assertEqual(module.table.excluded, {(7, 0)})
        module.step(5.0, [api.Verdict(7, 0)])
        self.assertEqual((module.table.excluded, module.table.ranks), (set(), {}))
