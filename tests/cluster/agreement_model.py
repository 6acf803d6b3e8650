"""Every state that the agreement on views can reach: the real `Agreement` of each replica, and nothing else.

    python -m tests.cluster.agreement_model

A state is what every replica holds, in memory and on its disk, and all messages that were ever sent. A
message may be delivered at any time, more than once, in any order, or never. What a replica does in a step
is lost with its process at the worst moments: before anything is synced, or after it. The steps that
proposers may begin and the losses of processes are counted, so that there is an end; up to there no state
is left out.

What one replica does with messages depends on nothing else, and is played once for each pair of the two.
Left out is what changes nothing for anybody: answers that a proposer has taken in without having enough of
them, and a loss of a process that held nothing but what is on its disk.
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

WALK_MOST = 60  # steps of one walk
GATHERED_S = 0.5  # promises beyond a majority are not waited for any longer


class ProposalState(NamedTuple):
    """What a proposer remembers of its attempt."""

    ballot: Ballot
    plan: int  # its number in the setup
    promises: frozenset[Promise]
    view: View | None
    accepted: frozenset[str]


class ReplicaState(NamedTuple):
    """One replica: what its process holds, and what its disk does."""

    node: str
    incarnation: int
    view: View
    vote: Vote
    synced_view: View
    synced_vote: Vote
    round: int
    proposals: int  # that it has begun
    proposal: ProposalState | None


class Sent(NamedTuple):
    """A message, and the address that it goes to."""

    address: str
    message: Any


@dataclass(frozen=True)
class Setup:
    """Who takes part, and how much may happen."""

    name: str
    first: View
    nodes: tuple[str, ...]
    plans: dict[str, tuple[Plan, ...]]  # by proposer: what it wants, one attempt after the other
    losses: int  # processes that end and start again
    epochs: int = 2  # views of later ones are not asked for


class Violation(AssertionError):
    """Two views were decided for one epoch."""


class Outcome(NamedTuple):
    """A replica after a step, and what it sent."""

    replica: int
    sent: int  # set of message numbers, as bits


Steps = tuple[Outcome, ...]
World = tuple[tuple[int, ...], int, int]  # replicas, messages as bits, losses left


def _numbers(bits: int) -> Iterator[int]:
    while bits:
        lowest = bits & -bits
        bits ^= lowest
        yield lowest.bit_length() - 1


def _proposer(ballot: tuple[int, int, str]) -> str:
    """The address of whoever made a ballot."""
    return ballot[2].partition("/")[0]


class Explorer:
    """Numbers states and messages, and walks from world to world."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self._replicas: list[ReplicaState] = []
        self._replica_numbers: dict[ReplicaState, int] = {}
        self._messages: list[Sent] = []
        self._message_numbers: dict[Sent, int] = {}
        self._notices: dict[int, int] = {}  # by epoch: the messages that tell of its view
        self._addressed: dict[str, int] = {}  # by address: the messages that go there
        self._deliveries: dict[tuple[int, int], Steps] = {}
        self._collections: dict[tuple[int, frozenset[Any]], Steps] = {}
        self._proposals: dict[int, Steps] = {}
        self._restarts: dict[int, int | None] = {}
        self.worlds = 0
        self.steps = 0
        self.decided: set[View] = set()

    # numbers

    def _number(self, state: ReplicaState) -> int:
        number = self._replica_numbers.setdefault(state, len(self._replicas))
        if number == len(self._replicas):
            self._replicas.append(state)
        return number

    def _bit(self, sent: Sent) -> int:
        number = self._message_numbers.setdefault(sent, len(self._messages))
        bit = 1 << number
        if number == len(self._messages):
            self._messages.append(sent)
            self._addressed[sent.address] = self._addressed.get(sent.address, 0) | bit
            if isinstance(sent.message, ViewNotice):
                epoch = sent.message.view.epoch
                self._notices[epoch] = self._notices.get(epoch, 0) | bit
                self.decided.add(sent.message.view)
        return bit

    # one replica

    def _begin(self, state: ReplicaState) -> Agreement:
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

    def _end(self, before: ReplicaState, agreement: Agreement, proposals: int) -> Iterator[Outcome]:
        """The replica after a step: lost before anything is synced, or gone on."""
        early = self._take(agreement.outbox)
        view, vote = before.synced_view, before.synced_vote
        for write in agreement.outbox.take_writes():
            for record in write.records:
                if isinstance(record, View):
                    view = record
                elif isinstance(record, Vote):
                    vote = record
            agreement.outbox.synced(write.number)
        if early:
            yield Outcome(self._number(self._started_again(before, proposals)), early)
        assert agreement.view is not None
        found = agreement.proposal
        proposal = None
        if found is not None:
            promises = frozenset(found.promises.values())
            plan = self.setup.plans[before.node].index(found.plan)
            proposal = ProposalState(found.ballot, plan, promises, found.view, frozenset(found.accepted))
        after = ReplicaState(
            before.node,
            before.incarnation,
            agreement.view,
            agreement.vote(),
            view,
            vote,
            agreement._round,
            proposals,
            proposal,
        )
        yield Outcome(self._number(after), early | self._take(agreement.outbox))

    def _take(self, outbox: Outbox) -> int:
        """What was sent. A refusal is only a hint, and may be lost like any message: it is left out."""
        sent = 0
        for envelope in outbox.take_envelopes():
            if not isinstance(envelope.message, Reject):
                sent |= self._bit(Sent(envelope.address, envelope.message))
        return sent

    def _started_again(self, state: ReplicaState, proposals: int) -> ReplicaState:
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
            proposals,
            None,
        )

    def _deliver(self, replica: int, message: int) -> Steps:
        """What an acceptor does with a message."""
        known = self._deliveries.get((replica, message))
        if known is not None:
            return known
        state, sent = self._replicas[replica], self._messages[message].message
        agreement = self._begin(state)
        if isinstance(sent, Prepare):
            agreement.on_prepare(_proposer(sent.ballot), sent)
        elif isinstance(sent, Accept):
            agreement.on_accept(_proposer(sent.ballot), sent)
        elif isinstance(sent, ViewNotice) and sent.view.epoch < self.setup.epochs:
            agreement.adopt(sent.view)
        result = self._deliveries[replica, message] = tuple(self._end(state, agreement, state.proposals))
        return result

    def _answers(self, state: ReplicaState, waiting: int) -> list[Promise | Accepted]:
        """What has come for the present step of a proposal."""
        assert state.proposal is not None
        wanted = Promise if state.proposal.view is None else Accepted
        found = [self._messages[number].message for number in _numbers(waiting)]
        return [m for m in found if isinstance(m, wanted) and m.ballot == state.proposal.ballot]

    def _collect(self, replica: int, waiting: int) -> Steps:
        """What a proposer does with some of the answers, where they are enough for anything."""
        state = self._replicas[replica]
        answers = self._answers(state, waiting)
        key = (replica, frozenset(answers))
        known = self._collections.get(key)
        if known is not None:
            return known
        found: list[Outcome] = []
        for size in range(1, len(answers) + 1):
            for chosen in combinations(answers, size):
                found += self._take_in(state, chosen)
        result = self._collections[key] = tuple(dict.fromkeys(found))
        return result

    def _take_in(self, state: ReplicaState, answers: tuple[Promise | Accepted, ...]) -> Iterator[Outcome]:
        agreement = self._begin(state)
        for answer in answers:
            if isinstance(answer, Promise):
                agreement.on_promise(answer, 0.0)
            else:
                agreement.on_accepted(answer)
        agreement.tick(GATHERED_S)
        proposal = agreement.proposal
        if proposal is None or proposal.view != state.proposal.view:  # type: ignore[union-attr]
            yield from self._end(state, agreement, state.proposals)

    def _propose(self, replica: int) -> Steps:
        """Begin the next attempt; one that is under way is given up."""
        known = self._proposals.get(replica)
        if known is not None:
            return known
        state = self._replicas[replica]
        plans = self.setup.plans.get(state.node, ())
        found: Steps = ()
        if state.proposals < len(plans) and state.view.epoch < self.setup.epochs:
            agreement = self._begin(state)
            agreement.proposal = None
            agreement.propose(plans[state.proposals], 0.0)
            found = tuple(self._end(state, agreement, state.proposals + 1))
        self._proposals[replica] = found
        return found

    def _restart(self, replica: int) -> int | None:
        """The replica's next process, where it differs from this one."""
        if replica not in self._restarts:
            state = self._replicas[replica]
            after = self._started_again(state, state.proposals)
            same = after._replace(incarnation=state.incarnation) == state
            self._restarts[replica] = None if same else self._number(after)
        return self._restarts[replica]

    # worlds

    def first(self) -> World:
        """All hold the first view, and nothing has been sent."""
        vote = Vote(NO_BALLOT, NO_BALLOT, None)
        view = self.setup.first
        states = [ReplicaState(node, 1, view, vote, view, vote, 0, 0, None) for node in self.setup.nodes]
        return tuple(map(self._number, states)), 0, self.setup.losses

    def _following(self, world: World) -> Iterator[World]:
        replicas, messages, losses = world
        for place, replica in enumerate(replicas):
            waiting = messages & self._addressed.get(address_of(self.setup.nodes[place]), 0)
            outcomes = list(self._propose(replica))
            for number in _numbers(waiting):
                outcomes += self._deliver(replica, number)
            if self._replicas[replica].proposal is not None:
                outcomes += self._collect(replica, waiting)
            incarnation = self._replicas[replica].incarnation
            for outcome in outcomes:
                lost = self._replicas[outcome.replica].incarnation - incarnation
                if lost <= losses:
                    yield self._put(replicas, place, outcome.replica), messages | outcome.sent, losses - lost
            restarted = self._restart(replica) if losses else None
            if restarted is not None:
                yield self._put(replicas, place, restarted), messages, losses - 1

    @staticmethod
    def _put(replicas: tuple[int, ...], place: int, replica: int) -> tuple[int, ...]:
        return (*replicas[:place], replica, *replicas[place + 1 :])

    def _check(self, world: World) -> None:
        for notices in self._notices.values():
            views = {self._messages[number].message.view for number in _numbers(world[1] & notices)}
            if len(views) > 1:
                raise Violation(f"{self.setup.name}: decided for one epoch: {views}")

    def run(self, worlds_most: int | None = None) -> bool:
        """Visit all worlds; returns whether none was left out. Raises Violation."""
        first = self.first()
        seen = {first}
        waiting = [first]
        while waiting:
            world = waiting.pop()
            self.worlds += 1
            for following in self._following(world):
                self.steps += 1
                if following not in seen:
                    seen.add(following)
                    if following[1] != world[1]:
                        self._check(following)
                    waiting.append(following)
            if worlds_most is not None and self.worlds >= worlds_most:
                return not waiting
        return True

    def walk(self, walks: int, seed: int) -> None:
        """Go on from the first world at random, so often, until nothing changes. Raises Violation."""
        drawn = random.Random(seed)
        for _ in range(walks):
            world = self.first()
            for _ in range(WALK_MOST):
                following = sorted(found for found in set(self._following(world)) if found != world)
                if not following:
                    break
                world = drawn.choice(following)
                self.steps += 1
                self._check(world)


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
        "two proposers, an attempt each",
        _view("abc"),
        (A, B, C),
        {A: (_plan("abc", "", "ab"),), B: (_plan("abc", "", "bc"),)},
        losses=0,
    ),
    Setup(
        "two proposers, an attempt each, a loss",
        _view("abc"),
        (A, B, C),
        {A: (_plan("abc", "", "ab"),), B: (_plan("abc", "", "bc"),)},
        losses=1,
    ),
    Setup(
        "a proposer with two attempts, a loss",
        _view("abc"),
        (A, B, C),
        {A: (_plan("abc", "", "ab"), _plan("abc", "", "ac"))},
        losses=1,
    ),
    Setup(
        "two proposers, two attempts and one",
        _view("abc"),
        (A, B, C),
        {A: (_plan("abc", "", "ab"), _plan("abc", "", "ac")), B: (_plan("abc", "", "bc"),)},
        losses=0,
    ),
    Setup(
        "members that go, an attempt each",
        _view("abc"),
        (A, B, C),
        {A: (_plan("a", "", "a"),), B: (_plan("bc", "", "bc"),)},
        losses=0,
    ),
    Setup(
        "members that go, two attempts and one",
        _view("abc"),
        (A, B, C),
        {A: (_plan("a", "", "a"), _plan("a", "", "a")), B: (_plan("bc", "", "bc"),)},
        losses=0,
    ),
    Setup(
        "members that go, two epochs",
        _view("abc"),
        (A, B, C),
        {A: (_plan("a", "", "a"), _plan("ab", "", "ab")), B: (_plan("bc", "", "bc"),)},
        losses=0,
        epochs=3,
    ),
)


def main() -> int:
    """Visit all worlds of all setups."""
    parser = argparse.ArgumentParser(description="Every state that the agreement on views can reach.")
    parser.add_argument("--worlds", type=int, default=None, help="stop after so many of each setup")
    chosen = parser.parse_args()
    for setup in SETUPS:
        explorer = Explorer(setup)
        begun = time.monotonic()
        try:
            whole = explorer.run(chosen.worlds)
        except Violation as violation:
            print(violation)
            return 1
        told = "all" if whole else "NOT ALL"
        print(
            f"{setup.name}: {told} {explorer.worlds} worlds, {explorer.steps} steps, "
            f"{len(explorer.decided)} views decided, {time.monotonic() - begun:.0f} s",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
