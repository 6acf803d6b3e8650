"""One node's part in the shared verdicts: its evidence, other nodes' statements, trials, gossip. No I/O.

Every call takes the time in ms of a monotonic clock. `tick` is due every few tens of ms and returns the
datagrams to send: the names of members and one body for them. In a small group a statement goes directly to
all members, in a large one to a random few that forward it. Members also relay others' statements from time
to time. This makes up for losses, and a member that can reach only some of the others still learns of all.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, replace

from pebbledrift.verdicts.evidence import (
    BadStatement,
    Entry,
    Evidence,
    Observation,
    Record,
    Statement,
    incarnation_of,
    pack,
    unpack,
    wire_id,
)
from pebbledrift.verdicts.verdict import (
    NodeEvidence,
    Rules,
    Verdict,
    Word,
    delay_before_trial_ms,
    judge,
    limit_exclusions,
)

START_ENTRY = 0xFE  # pseudo job class of an entry that reports only the start of a worker
Key = tuple[int, int]  # worker, as returned by wire_id(), and job class
Sends = list[tuple[tuple[str, ...], bytes]]


@dataclass(frozen=True, slots=True)
class GossipSettings:
    """Settings of how statements are disseminated."""

    gather_ms: float = 20.0  # from an observation to its statement, to batch observations
    min_interval_ms: float = 60.0  # between two new statements of one node
    resend_after_ms: tuple[float, ...] = (70.0, 210.0)  # a statement is repeated, since datagrams get lost
    refresh_ms: float = 1500.0  # a statement with entries is renewed at this interval
    trial_refresh_ms: float = 400.0  # the same while the node runs a trial
    relay_ms: float = 1000.0  # between two relays of others' statements
    relay_fresh_ms: float = 200.0  # the same while there is a fresh verdict
    fresh_factor: int = 10  # a verdict is fresh for this many times `relay_fresh_ms`
    expire_ms: float = 6000.0  # a statement that is not renewed is dropped after this
    max_direct_members: int = 32  # up to this many other members, statements go directly to all
    fanout: int = 6  # in a larger group, the members that each sender or forwarder sends to
    max_entries: int = 9  # of one statement, so that it fits in a datagram
    max_start_entries: int = 3  # of these, for workers that started recently
    trial_ms: float = 1500.0  # duration for which one node may send trial requests to a worker
    takeover_factor: float = 1.2  # the delay of each further node in the trial order, in units of `trial_ms`


@dataclass(slots=True)
class PeerStatement:
    """The latest statement of another node, and when it was made by the local clock."""

    statement: Statement
    made_at: float
    forwarded: int = 0  # how often this node has forwarded it


@dataclass(slots=True)
class StandingVerdict:
    """A verdict in force at this node, and the time since which its level has been the same."""

    verdict: Verdict
    since: float


class Panel:
    """One member's evidence and verdicts. The lower 16 bits of `incarnation` tell its restarts apart."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        max_statement_bytes: int,
        rules: Rules,
        gossip: GossipSettings,
        seed: int,
    ) -> None:
        self.name, self.incarnation, self.max_statement_bytes = (
            name,
            incarnation & 0xFFFF,
            max_statement_bytes,
        )
        self.rules, self.gossip = rules, gossip
        self.random = random.Random(seed)
        self.evidence = Evidence(rules.half_life_ms)
        self.peer_statements: dict[str, PeerStatement] = {}
        self.members: tuple[str, ...] = ()  # the other members that respond
        self.workers: dict[int, int] = {}  # by wire_id(), the full number
        self.incarnations: dict[int, int] = {}  # by wire_id()
        self.cold: dict[int, int] = {}  # by wire_id(), the incarnation of workers that started recently
        self.standing_verdicts: dict[Key, StandingVerdict] = {}
        self.excluded: set[int] = set()  # workers excluded by verdict, by wire_id()
        self.trials: dict[Key, float] = {}  # end of each trial that this node runs
        self.dropped = 0  # malformed statements
        self.statements_made = 0
        self.trials_allowed = True
        self._number = 0
        self._next_statement_at = math.inf  # when this node makes its next statement
        self._last_statement_at = -math.inf
        self._resend_times: list[float] = []
        self._last_relay_at = -math.inf
        self._last_statement: Statement | None = None
        self._needs_evaluation = False
        self._evaluated_at = -math.inf

    # -- events

    def update_workers(self, started_ms: Mapping[int, float], cold: set[int]) -> None:
        """Set the listed workers by their start time, and which of them are cold (started recently)."""
        incarnations = {worker: incarnation_of(at) for worker, at in started_ms.items()}
        self.evidence.update_workers(incarnations)
        self.workers = {wire_id(worker): worker for worker in incarnations}
        self.incarnations = {wire_id(worker): incarnation for worker, incarnation in incarnations.items()}
        self.cold = {wire_id(w): incarnations[w] for w in cold if incarnations[w]}
        for key in [k for k in self.trials if k[0] not in self.incarnations]:
            del self.trials[key]
        self._needs_evaluation = True

    def observe(
        self, now: float, worker: int, started_ms: float, job_class: int, observation: Observation
    ) -> None:
        """Add an observation that this node made itself."""
        record = self.evidence.records.get((worker, job_class))
        was_failing = record is not None and record.failure_run > 0
        if self.evidence.observe(worker, incarnation_of(started_ms), job_class, observation, now) is None:
            return
        key = wire_id(worker), job_class
        failed = observation in (Observation.REPORTED_FAILURE, Observation.PATH_FAILURE)
        if failed:
            self._stop_trial(key)
        self._needs_evaluation = True
        if failed or observation is Observation.SLOW or was_failing or self._is_contested(key):
            self._next_statement_at = min(
                self._next_statement_at,
                max(now + self.gossip.gather_ms, self._last_statement_at + self.gossip.min_interval_ms),
            )

    def recovered_from_stall(self, now: float) -> None:
        """Drop failures and trials after this process was stopped.

        The failures were its own fault, and other nodes may have taken over its trials.
        """
        self.evidence.forget_failures()
        self._stop_all_trials()
        self._needs_evaluation = True
        self._next_statement_at = now + self.gossip.gather_ms

    def received(self, now: float, body: bytes) -> None:
        """Take in a statement, from its author or a forwarder. Raises BadStatement if it is malformed."""
        try:
            statement = unpack(body)
        except BadStatement:
            self.dropped += 1
            raise
        if statement.name == self.name:
            return
        made_at = now - statement.age_ms
        previous = self.peer_statements.get(statement.name)
        if previous is not None:
            same_incarnation = previous.statement.incarnation == statement.incarnation
            # Ignore duplicates and statements that arrive out of order.
            if (same_incarnation and statement.number <= previous.statement.number) or (
                not same_incarnation and made_at <= previous.made_at
            ):
                return
        elif len(self.peer_statements) >= 4096 or statement.age_ms > self.gossip.expire_ms:
            return
        self.peer_statements[statement.name] = PeerStatement(statement, made_at)
        self._needs_evaluation = True

    # -- time

    def tick(self, now: float, members: tuple[str, ...]) -> Sends:
        """Do what is due at `now`. `members` are the other members that respond."""
        self.members = members
        for name in [
            n for n, peer in self.peer_statements.items() if now - peer.made_at > self.gossip.expire_ms
        ]:
            del self.peer_statements[name]
            self._needs_evaluation = True
        for key in [k for k, until in self.trials.items() if now >= until]:
            self._stop_trial(key)
        if self._needs_evaluation or now - self._evaluated_at >= 100.0:
            self._evaluate(now)
        self._begin_trials(now)
        return [*self._own_sends(now), *self._relay_sends(now)]

    def _evaluate(self, now: float) -> None:
        """Judge all workers and classes for which there is evidence."""
        self._needs_evaluation, self._evaluated_at = False, now
        evidence_by_key: dict[Key, list[NodeEvidence]] = defaultdict(list)
        own_credible = self._is_credible(*self._health(now))
        for name, peer in self._member_statements():
            credible = self._is_credible(peer.statement.seen, peer.statement.failing)
            for entry in peer.statement.entries:
                if (
                    entry.job_class != START_ENTRY
                    and self.incarnations.get(entry.worker) == entry.incarnation
                ):
                    evidence_by_key[entry.worker, entry.job_class].append(
                        NodeEvidence(name, _aged(entry, now - peer.made_at), credible)
                    )
        for (number, job_class), record in self.evidence.records.items():
            # Without a failure at any node there is nothing to judge.
            if (
                record.failure_run
                or record.failures + record.slow_successes > 0.5
                or (wire_id(number), job_class) in evidence_by_key
            ):
                entry = self.evidence.entry((number, job_class), now)
                evidence_by_key[entry.worker, job_class].append(NodeEvidence(self.name, entry, own_credible))
        nodes = 1 + len(self.members)
        verdicts = {key: judge(evidence, nodes, self.rules) for key, evidence in evidence_by_key.items()}
        # A worker that is bad for one class is excluded from another after a single failure there.
        failing_workers = {worker for (worker, _), verdict in verdicts.items() if verdict.level is Word.BAD}
        lowered = replace(self.rules, min_failures=1, quorum=1)
        for key in [k for k, v in verdicts.items() if k[0] in failing_workers and v.level < Word.BAD]:
            verdicts[key] = max(
                verdicts[key], judge(evidence_by_key[key], nodes, lowered), key=lambda v: v.level
            )
        standing_verdicts = {}
        for key, verdict in verdicts.items():
            if verdict.level is not Word.GOOD:
                previous = self.standing_verdicts.get(key)
                since = (
                    previous.since
                    if previous is not None and previous.verdict.level is verdict.level
                    else now
                )
                standing_verdicts[key] = StandingVerdict(verdict, since)
        self.standing_verdicts = standing_verdicts
        self.excluded = limit_exclusions(verdicts, len(self.incarnations), self.rules)
        for key in [k for k in self.trials if not self.is_excluded(k)]:
            self._stop_trial(key)

    def _member_statements(self) -> list[tuple[str, PeerStatement]]:
        """Return the statements of current members; names outside the group do not count."""
        return [(name, self.peer_statements[name]) for name in self.members if name in self.peer_statements]

    def _health(self, now: float) -> tuple[int, int]:
        return self.evidence.health(now, self.rules.max_verdict_age_ms)

    def _is_credible(self, seen: int, failing: int) -> bool:
        """Return whether a node's failures count: one that sees most workers fail may be at fault itself."""
        return seen < 3 or failing <= self.rules.max_failing_share * seen

    def is_excluded(self, key: Key) -> bool:
        """Return whether a verdict excludes the worker from the class."""
        standing_verdict = self.standing_verdicts.get(key)
        return (
            standing_verdict is not None
            and standing_verdict.verdict.level >= Word.BAD
            and key[0] in self.excluded
        )

    def _is_contested(self, key: Key) -> bool:
        return key in self.standing_verdicts or any(
            entry.failure_run and (entry.worker, entry.job_class) == key
            for peer in self.peer_statements.values()
            for entry in peer.statement.entries
        )

    # -- trials

    def _trial_order(self, key: Key, now: float) -> list[str]:
        """Return the members in the order in which they may run the next trial.

        The node that saw the longest time ago, or never, that the worker failed is first, so that successive
        trials give evidence from different nodes.
        """
        failure_ages = {name: math.inf for name in (self.name, *self.members)}
        for name, peer in self.peer_statements.items():
            for entry in peer.statement.entries if name in failure_ages else ():
                if (
                    (entry.worker, entry.job_class) == key
                    and entry.failure_run
                    and entry.failure_age < math.inf
                ):
                    failure_ages[name] = round((entry.failure_age + now - peer.made_at) / 1000)
        own_record = self.evidence.records.get((self.workers.get(key[0], -1), key[1]))
        if own_record is not None and own_record.failure_run:
            failure_ages[self.name] = round((now - own_record.last_failure_at) / 1000)
        return sorted(failure_ages, key=lambda name: (-failure_ages[name], _hash(name, key)))

    def _begin_trials(self, now: float) -> None:
        if not self.trials_allowed:
            self._stop_all_trials()
            return
        lease = self.gossip.takeover_factor * self.gossip.trial_ms
        excluded_keys: dict[int, list[Key]] = defaultdict(list)
        for key in self.standing_verdicts:
            if self.is_excluded(key):
                excluded_keys[key[0]].append(key)
        for worker, keys in excluded_keys.items():
            tried_at, tried_by = self._latest_peer_trial(worker)
            own_trials = [key for key in keys if key in self.trials]
            if own_trials:
                if now - tried_at < self.gossip.trial_ms and tried_by < self.name:
                    # Two nodes began before they learned of each other: the lower name continues.
                    self._stop_trial(own_trials[0])
                continue
            verdicts = {key: self.standing_verdicts[key].verdict for key in keys}
            # One class is tried at a time: a failure in it is also evidence on the others.
            since_failure = min(v.failure_age for v in verdicts.values()) + now - self._evaluated_at
            delay = max(delay_before_trial_ms(v, self.rules) for v in verdicts.values())
            # A node announces its trial; others wait until its lease is over by its own clock.
            if since_failure < delay or now - tried_at < lease:
                continue
            key = max(keys, key=lambda k: (verdicts[k].failure_age, k))
            if since_failure >= delay + self._trial_order(key, now).index(self.name) * lease:
                self.trials[key] = now + self.gossip.trial_ms
                self._set_under_trial(key, now, True)

    def extend_trial(self, key: Key, now: float) -> None:
        """Extend this node's trial while one of its requests is running, so that no other node takes over."""
        if key in self.trials:
            self.trials[key] = now + self.gossip.trial_ms

    def _latest_peer_trial(self, worker: int) -> tuple[float, str]:
        """Return when another node last announced a trial of the worker, and that node's name."""
        latest = (-math.inf, "")
        for name, peer in self.peer_statements.items():
            for entry in peer.statement.entries:
                if entry.under_trial and entry.worker == worker:
                    latest = max(latest, (peer.made_at, name))
        return latest

    def _set_under_trial(self, key: Key, now: float, under_trial: bool) -> None:
        worker = self.workers.get(key[0])
        if worker is None:
            return
        record = self.evidence.records.get((worker, key[1]))
        if record is None and under_trial:
            record = self.evidence.records[worker, key[1]] = Record(self.incarnations[key[0]], now)
        if record is not None:
            record.under_trial = under_trial
            self._next_statement_at = min(self._next_statement_at, now)

    def _stop_trial(self, key: Key) -> None:
        if self.trials.pop(key, None) is not None:
            self._set_under_trial(key, self._evaluated_at, False)

    def _stop_all_trials(self) -> None:
        for key in list(self.trials):
            self._stop_trial(key)

    def is_trying(self, key: Key, now: float) -> bool:
        """Return whether this node may send trial requests now. A trial ends by the local clock alone."""
        return now < self.trials.get(key, -math.inf)

    # -- gossip

    def _reported_keys(self, now: float) -> list[Key]:
        """Return the keys of the records to report, most important first.

        These are trials, runs of failures, and evidence on workers that other nodes report as failing.
        """
        entries = [entry for peer in self.peer_statements.values() for entry in peer.statement.entries]
        contested = {
            (entry.worker, entry.job_class) for entry in entries if entry.failure_run or entry.under_trial
        }
        candidates = []
        for (worker, job_class), record in self.evidence.records.items():
            key = wire_id(worker), job_class
            failing = record.failure_run > 0 and now - record.last_failure_at <= self.rules.max_run_age_ms
            recent = (
                record.failures + record.slow_successes >= 0.5
                and now - record.updated_at <= self.rules.half_life_ms
            )
            if record.under_trial or failing or recent or key in contested or key in self.standing_verdicts:
                candidates.append(
                    (record.under_trial, failing, key in contested, record.updated_at, (worker, job_class))
                )
        return [key for *_, key in sorted(candidates, reverse=True)]

    def statement(self, now: float) -> Statement:
        """Make the next statement of this node."""
        gossip = self.gossip
        entry_limit = gossip.max_entries - min(len(self.cold), gossip.max_start_entries)
        entries = self.evidence.entries(self._reported_keys(now)[:entry_limit], now)
        latest_starts = sorted(self.cold.items(), key=lambda item: item[1], reverse=True)[
            : gossip.max_start_entries
        ]
        blank = Entry(0, START_ENTRY, 0, 0.0, 0.0, 0.0, 0, 0, math.inf, math.inf, math.inf)
        start_entries = tuple(
            replace(blank, worker=worker, incarnation=incarnation) for worker, incarnation in latest_starts
        )
        self._number = (self._number + 1) & 0xFFFFFFFF
        return Statement(
            self.name, self.incarnation, self._number, 0.0, *self._health(now), entries + start_entries
        )

    def _own_sends(self, now: float) -> Sends:
        """Return this node's statement if a repetition, a renewal or a new one is due."""
        gossip, sends = self.gossip, Sends()
        if self._resend_times and now >= self._resend_times[0] and self._last_statement is not None:
            del self._resend_times[0]
            sends += self._disseminate(replace(self._last_statement, age_ms=now - self._last_statement_at))
        refresh_ms = gossip.trial_refresh_ms if self.trials else gossip.refresh_ms
        if now - self._last_statement_at >= refresh_ms and (
            self.cold or (self._last_statement is not None and self._last_statement.entries)
        ):
            self._next_statement_at = min(self._next_statement_at, now)
        if now < self._next_statement_at or not self.members:
            return sends
        self._next_statement_at = math.inf
        statement = self.statement(now)
        if not statement.entries and (self._last_statement is None or not self._last_statement.entries):
            return sends
        self._last_statement, self._last_statement_at, self._resend_times = (
            statement,
            now,
            [now + after for after in gossip.resend_after_ms],
        )
        self.statements_made += 1
        return sends + self._disseminate(statement)

    def _disseminate(self, statement: Statement) -> Sends:
        names = self.members
        if len(names) > self.gossip.max_direct_members:
            names = tuple(self.random.sample(names, min(len(names), self.gossip.fanout)))
        return [(names, pack(statement, self.max_statement_bytes))]

    def _relay_sends(self, now: float) -> Sends:
        """Return others' statements to relay.

        In a large group each one is forwarded once on arrival. In any group random ones are also relayed
        periodically.
        """
        sends = Sends()
        if len(self.members) > self.gossip.max_direct_members:
            for peer in self.peer_statements.values():
                if peer.forwarded == 0:
                    peer.forwarded = 1
                    sends += self._disseminate(replace(peer.statement, age_ms=now - peer.made_at))
        gossip = self.gossip
        fresh = any(
            now - s.since < gossip.relay_fresh_ms * gossip.fresh_factor
            for s in self.standing_verdicts.values()
        )
        if (
            self.peer_statements
            and self.members
            and now - self._last_relay_at >= (gossip.relay_fresh_ms if fresh else gossip.relay_ms)
        ):
            self._last_relay_at = now
            for peer in self.random.sample(
                list(self.peer_statements.values()), min(3, len(self.peer_statements))
            ):
                recipients = (self.random.choice(self.members),)
                sends.append(
                    (
                        recipients,
                        pack(replace(peer.statement, age_ms=now - peer.made_at), self.max_statement_bytes),
                    )
                )
        return sends

    # -- worker starts known to others

    def later_starts(self, now: float) -> dict[int, float]:
        """Return the start times, by worker, that are later than in the local list and known to a quorum."""
        later_incarnations: dict[int, list[int]] = defaultdict(list)
        for _, peer in self._member_statements():
            incarnations: dict[int, int] = {}
            for entry in peer.statement.entries:
                incarnations[entry.worker] = max(incarnations.get(entry.worker, 0), entry.incarnation)
            for worker, incarnation in incarnations.items():
                if worker in self.workers and incarnation > self.incarnations[worker]:
                    later_incarnations[worker].append(incarnation)
        quorum = min(self.rules.quorum, max(1, len(self.members)))
        return {
            self.workers[worker]: sorted(incarnations, reverse=True)[quorum - 1] * 10.0
            for worker, incarnations in later_incarnations.items()
            if len(incarnations) >= quorum
        }


def _aged(entry: Entry, by_ms: float) -> Entry:
    """Return the entry with all its ages increased by `by_ms`."""
    return replace(
        entry,
        success_age=entry.success_age + by_ms,
        failure_age=entry.failure_age + by_ms,
        run_age=entry.run_age + by_ms,
    )


def _hash(name: str, key: Key) -> bytes:
    return hashlib.blake2b(f"{name}\0{key[0]}\0{key[1]}".encode(), digest_size=8).digest()
