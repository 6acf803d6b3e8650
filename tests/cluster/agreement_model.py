"""Model checker for the agreement on views: visits every state that real `Agreement` objects can reach.

    python -m tests.cluster.agreement_model

A global state consists of the memory and the disk of every replica and of all messages that were ever sent.
A message may be delivered at any time, more than once, in any order, or never. A process may crash at the
worst moments of a step: before anything is synced, or after everything is. The numbers of proposals and of
crashes are bounded, which makes the set of states finite. Within these bounds no state is left out.

The effect of a message depends on the state of its receiver alone, so it is computed once for each pair of
the two. Steps that change nothing for any replica are skipped: answers that a proposer has received without
having a quorum of them, and the crash of a process whose memory held no more than its disk.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations
from typing import Any, NamedTuple

from pebbledrift.chain.agreement import Agreement, Proposal
from pebbledrift.chain.messages import (
    NO_BALLOT,
    NO_STAMP,
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Reject,
    ViewNotice,
    Vote,
)
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.planning import Plan
from pebbledrift.chain.view import ChainMember, View, address_of

MAX_WALK_STEPS = 60  # steps of one random walk
AFTER_PROMISE_WAIT_S = 0.5  # a time at which a proposer no longer waits for promises beyond a majority


class ProposalState(NamedTuple):
    """The state of a proposal."""

    ballot: Ballot
    plan: int  # its index in the setup
    promises: frozenset[Promise]
    view: View | None
    accepted: frozenset[str]


class ReplicaState(NamedTuple):
    """The state of one replica: the memory of its process, and its disk (`synced_...`)."""

    node: str
    incarnation: int
    view: View
    vote: Vote
    synced_view: View
    synced_vote: Vote
    round: int
    proposals_started: int
    proposal: ProposalState | None


class SentMessage(NamedTuple):
    """A message and its destination address."""

    address: str
    message: Any


@dataclass(frozen=True)
class Setup:
    """The replicas of a model, and the bounds on what may happen."""

    name: str
    initial_view: View
    nodes: tuple[str, ...]
    plans: dict[str, tuple[Plan, ...]]  # by proposer: the plan of each of its attempts, in order
    crashes: int  # number of crashes, each followed by a restart
    epochs: int = 2  # no view of a later epoch is proposed


class Violation(AssertionError):
    """Two views were decided for one epoch."""


class Outcome(NamedTuple):
    """A replica after a step, and the messages that it sent."""

    replica: int
    sent: int  # bit set of message numbers


Outcomes = tuple[Outcome, ...]
# numbers of the replica states, bit set of the sent messages, crashes left
GlobalState = tuple[tuple[int, ...], int, int]


def _set_bits(bits: int) -> Iterator[int]:
    while bits:
        lowest = bits & -bits
        bits ^= lowest
        yield lowest.bit_length() - 1


def _proposer(ballot: tuple[int, int, str]) -> str:
    """Return the address of the proposer of a ballot."""
    return ballot[2].partition("/")[0]


class ModelChecker:
    """Visits the global states of a setup. Replica states and messages are stored once and numbered."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self._replicas: list[ReplicaState] = []
        self._replica_numbers: dict[ReplicaState, int] = {}
        self._messages: list[SentMessage] = []
        self._message_numbers: dict[SentMessage, int] = {}
        self._notices_by_epoch: dict[int, int] = {}  # bit sets of the messages that announce its view
        self._messages_by_address: dict[str, int] = {}  # bit sets
        self._deliveries: dict[tuple[int, int], Outcomes] = {}
        self._answer_deliveries: dict[tuple[int, frozenset[Any]], Outcomes] = {}
        self._proposals: dict[int, Outcomes] = {}
        self._restarts: dict[int, int | None] = {}
        self.states_visited = 0
        self.steps = 0
        self.decided: set[View] = set()

    # numbers of replica states and messages

    def _replica_number(self, state: ReplicaState) -> int:
        number = self._replica_numbers.setdefault(state, len(self._replicas))
        if number == len(self._replicas):
            self._replicas.append(state)
        return number

    def _message_bit(self, sent: SentMessage) -> int:
        number = self._message_numbers.setdefault(sent, len(self._messages))
        bit = 1 << number
        if number == len(self._messages):
            self._messages.append(sent)
            self._messages_by_address[sent.address] = self._messages_by_address.get(sent.address, 0) | bit
            if isinstance(sent.message, ViewNotice):
                epoch = sent.message.view.epoch
                self._notices_by_epoch[epoch] = self._notices_by_epoch.get(epoch, 0) | bit
                self.decided.add(sent.message.view)
        return bit

    # steps of one replica

    def _restore(self, state: ReplicaState) -> Agreement:
        outbox = Outbox(address_of(state.node))
        agreement = Agreement(state.node, state.incarnation, outbox, lambda: NO_STAMP, lambda: None, 0)
        agreement.restore(state.view, state.vote)
        agreement._round = state.round
        if state.proposal is not None:
            plan = self.setup.plans[state.node][state.proposal.plan]
            promises = {promise.node: promise for promise in state.proposal.promises}
            agreement.proposal = Proposal(
                state.proposal.ballot,
                plan,
                started_at=0.0,
                resend_at=float("inf"),
                promises=promises,
                view=state.proposal.view,
                accepted=set(state.proposal.accepted),
            )
        return agreement

    def _outcomes(
        self, before: ReplicaState, agreement: Agreement, proposals_started: int
    ) -> Iterator[Outcome]:
        """Yield the outcomes of a step.

        If it sends messages before its records are synced, the process may crash in between: this outcome
        comes first. The other one is the completed step.
        """
        sent_before_sync = self._record_sent(agreement.outbox)
        view, vote = before.synced_view, before.synced_vote
        for write in agreement.outbox.take_writes():
            for record in write.records:
                if isinstance(record, View):
                    view = record
                elif isinstance(record, Vote):
                    vote = record
            agreement.outbox.synced(write.number)
        if sent_before_sync:
            yield Outcome(
                self._replica_number(self._restarted_state(before, proposals_started)), sent_before_sync
            )
        assert agreement.view is not None
        current = agreement.proposal
        proposal = None
        if current is not None:
            promises = frozenset(current.promises.values())
            plan = self.setup.plans[before.node].index(current.plan)
            proposal = ProposalState(
                current.ballot, plan, promises, current.view, frozenset(current.accepted)
            )
        after = ReplicaState(
            before.node,
            before.incarnation,
            agreement.view,
            agreement.vote(),
            view,
            vote,
            agreement._round,
            proposals_started,
            proposal,
        )
        yield Outcome(self._replica_number(after), sent_before_sync | self._record_sent(agreement.outbox))

    def _record_sent(self, outbox: Outbox) -> int:
        """Return the sent messages. Rejections are left out: they are hints, and any message may be lost."""
        sent = 0
        for envelope in outbox.take_envelopes():
            if not isinstance(envelope.message, Reject):
                sent |= self._message_bit(SentMessage(envelope.address, envelope.message))
        return sent

    def _restarted_state(self, state: ReplicaState, proposals_started: int) -> ReplicaState:
        fresh = Agreement(state.node, 0, Outbox(""), lambda: NO_STAMP, lambda: None, 0)
        fresh.restore(state.synced_view, state.synced_vote)
        assert fresh.view is not None
        return ReplicaState(
            state.node,
            state.incarnation + 1,
            fresh.view,
            fresh.vote(),
            state.synced_view,
            state.synced_vote,
            0,
            proposals_started,
            None,
        )

    def _deliver(self, replica: int, message: int) -> Outcomes:
        """Return the outcomes when an acceptor receives a message."""
        cached = self._deliveries.get((replica, message))
        if cached is not None:
            return cached
        state, sent = self._replicas[replica], self._messages[message].message
        agreement = self._restore(state)
        if isinstance(sent, Prepare):
            agreement.on_prepare(_proposer(sent.ballot), sent)
        elif isinstance(sent, Accept):
            agreement.on_accept(_proposer(sent.ballot), sent)
        elif isinstance(sent, ViewNotice) and sent.view.epoch < self.setup.epochs:
            agreement.adopt(sent.view)
        result = self._deliveries[replica, message] = tuple(
            self._outcomes(state, agreement, state.proposals_started)
        )
        return result

    def _answers(self, state: ReplicaState, waiting: int) -> list[Promise | Accepted]:
        """Return the answers that may have arrived for the current phase of the proposal."""
        assert state.proposal is not None
        answer_type = Promise if state.proposal.view is None else Accepted
        messages = [self._messages[number].message for number in _set_bits(waiting)]
        return [m for m in messages if isinstance(m, answer_type) and m.ballot == state.proposal.ballot]

    def _deliver_answers(self, replica: int, waiting: int) -> Outcomes:
        """Return the outcomes when a proposer receives any subset of the answers that has an effect."""
        state = self._replicas[replica]
        answers = self._answers(state, waiting)
        key = (replica, frozenset(answers))
        cached = self._answer_deliveries.get(key)
        if cached is not None:
            return cached
        outcomes: list[Outcome] = []
        for size in range(1, len(answers) + 1):
            for chosen in combinations(answers, size):
                outcomes += self._apply_answers(state, chosen)
        result = self._answer_deliveries[key] = tuple(dict.fromkeys(outcomes))
        return result

    def _apply_answers(
        self, state: ReplicaState, answers: tuple[Promise | Accepted, ...]
    ) -> Iterator[Outcome]:
        agreement = self._restore(state)
        for answer in answers:
            if isinstance(answer, Promise):
                agreement.on_promise(answer, 0.0)
            else:
                agreement.on_accepted(answer)
        agreement.tick(AFTER_PROMISE_WAIT_S)
        proposal = agreement.proposal
        if proposal is None or proposal.view != state.proposal.view:  # type: ignore[union-attr]
            yield from self._outcomes(state, agreement, state.proposals_started)

    def _propose(self, replica: int) -> Outcomes:
        """Return the outcomes of starting the next proposal. One that is under way is abandoned."""
        cached = self._proposals.get(replica)
        if cached is not None:
            return cached
        state = self._replicas[replica]
        plans = self.setup.plans.get(state.node, ())
        outcomes: Outcomes = ()
        if state.proposals_started < len(plans) and state.view.epoch < self.setup.epochs:
            agreement = self._restore(state)
            agreement.proposal = None
            agreement.propose(plans[state.proposals_started], 0.0)
            outcomes = tuple(self._outcomes(state, agreement, state.proposals_started + 1))
        self._proposals[replica] = outcomes
        return outcomes

    def _restart(self, replica: int) -> int | None:
        """Return the state after a crash and a restart, or None if it differs by the incarnation only."""
        if replica not in self._restarts:
            state = self._replicas[replica]
            after = self._restarted_state(state, state.proposals_started)
            same = after._replace(incarnation=state.incarnation) == state
            self._restarts[replica] = None if same else self._replica_number(after)
        return self._restarts[replica]

    # global states

    def initial_state(self) -> GlobalState:
        """Return the state in which all replicas hold the initial view and no message was sent."""
        vote = Vote(NO_BALLOT, NO_BALLOT, None)
        view = self.setup.initial_view
        states = [ReplicaState(node, 1, view, vote, view, vote, 0, 0, None) for node in self.setup.nodes]
        return tuple(map(self._replica_number, states)), 0, self.setup.crashes

    def _successors(self, global_state: GlobalState) -> Iterator[GlobalState]:
        replicas, messages, crashes = global_state
        for index, replica in enumerate(replicas):
            waiting = messages & self._messages_by_address.get(address_of(self.setup.nodes[index]), 0)
            outcomes = list(self._propose(replica))
            for number in _set_bits(waiting):
                outcomes += self._deliver(replica, number)
            if self._replicas[replica].proposal is not None:
                outcomes += self._deliver_answers(replica, waiting)
            incarnation = self._replicas[replica].incarnation
            for outcome in outcomes:
                crashed = self._replicas[outcome.replica].incarnation - incarnation
                if crashed <= crashes:
                    yield (
                        self._with_replica(replicas, index, outcome.replica),
                        messages | outcome.sent,
                        crashes - crashed,
                    )
            restarted = self._restart(replica) if crashes else None
            if restarted is not None:
                yield self._with_replica(replicas, index, restarted), messages, crashes - 1

    @staticmethod
    def _with_replica(replicas: tuple[int, ...], index: int, replica: int) -> tuple[int, ...]:
        return (*replicas[:index], replica, *replicas[index + 1 :])

    def _check(self, global_state: GlobalState) -> None:
        for notices in self._notices_by_epoch.values():
            views = {self._messages[number].message.view for number in _set_bits(global_state[1] & notices)}
            if len(views) > 1:
                raise Violation(f"{self.setup.name}: several views decided for one epoch: {views}")

    def run(self, max_states: int | None = None) -> bool:
        """Visit all global states, up to `max_states`. Returns whether all were visited. Raises Violation."""
        initial = self.initial_state()
        seen = {initial}
        unvisited = [initial]
        while unvisited:
            global_state = unvisited.pop()
            self.states_visited += 1
            for successor in self._successors(global_state):
                self.steps += 1
                if successor not in seen:
                    seen.add(successor)
                    if successor[1] != global_state[1]:
                        self._check(successor)
                    unvisited.append(successor)
            if max_states is not None and self.states_visited >= max_states:
                return not unvisited
        return True

    def walk(self, walks: int, seed: int) -> None:
        """Take this many random walks from the initial state. Raises Violation.

        A walk ends after MAX_WALK_STEPS, or at a state without another successor.
        """
        rng = random.Random(seed)
        for _ in range(walks):
            global_state = self.initial_state()
            for _ in range(MAX_WALK_STEPS):
                successors = sorted(
                    successor
                    for successor in set(self._successors(global_state))
                    if successor != global_state
                )
                if not successors:
                    break
                global_state = rng.choice(successors)
                self.steps += 1
                self._check(global_state)


def _node(letter: str, disk: str = "0") -> str:
    return f"{letter}:1/{disk}"


def _plan(members: str, previous: str, chain: str) -> Plan:
    def nodes(letters: str) -> tuple[str, ...]:
        return tuple(_node(letter.lower(), "0" if letter.islower() else "1") for letter in letters)

    return Plan(nodes(members), nodes(previous), tuple(ChainMember(node, 1) for node in nodes(chain)))


def _view(members: str) -> View:
    plan = _plan(members, "", "")
    return View(1, plan.members, (), ())


A, B, C = _node("a"), _node("b"), _node("c")
SETUPS = (
    Setup(
        "two proposers, one attempt each",
        _view("abc"),
        (A, B, C),
        {A: (_plan("abc", "", "ab"),), B: (_plan("abc", "", "bc"),)},
        crashes=0,
    ),
    Setup(
        "two proposers, one attempt each, one crash",
        _view("abc"),
        (A, B, C),
        {A: (_plan("abc", "", "ab"),), B: (_plan("abc", "", "bc"),)},
        crashes=1,
    ),
    Setup(
        "one proposer with two attempts, one crash",
        _view("abc"),
        (A, B, C),
        {A: (_plan("abc", "", "ab"), _plan("abc", "", "ac"))},
        crashes=1,
    ),
    Setup(
        "two proposers, two attempts and one attempt",
        _view("abc"),
        (A, B, C),
        {A: (_plan("abc", "", "ab"), _plan("abc", "", "ac")), B: (_plan("abc", "", "bc"),)},
        crashes=0,
    ),
    Setup(
        "removal of members, one attempt each",
        _view("abc"),
        (A, B, C),
        {A: (_plan("a", "", "a"),), B: (_plan("bc", "", "bc"),)},
        crashes=0,
    ),
    Setup(
        "removal of members, two attempts and one attempt",
        _view("abc"),
        (A, B, C),
        {A: (_plan("a", "", "a"), _plan("a", "", "a")), B: (_plan("bc", "", "bc"),)},
        crashes=0,
    ),
    Setup(
        "removal of members, two epochs",
        _view("abc"),
        (A, B, C),
        {A: (_plan("a", "", "a"), _plan("ab", "", "ab")), B: (_plan("bc", "", "bc"),)},
        crashes=0,
        epochs=3,
    ),
)


def main() -> int:
    """Visit all global states of all setups."""
    parser = argparse.ArgumentParser(description="Every state that the agreement on views can reach.")
    parser.add_argument("--worlds", type=int, default=None, help="stop after so many of each setup")
    options = parser.parse_args()
    for setup in SETUPS:
        checker = ModelChecker(setup)
        started_at = time.monotonic()
        try:
            complete = checker.run(options.worlds)
        except Violation as violation:
            print(violation)
            return 1
        extent = "all" if complete else "NOT ALL"
        print(
            f"{setup.name}: {extent} {checker.states_visited} global states, {checker.steps} steps, "
            f"{len(checker.decided)} views decided, {time.monotonic() - started_at:.0f} s",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
