"""Agreement on the next view by a majority of the view before it (single-decree Paxos for each epoch).

A promise seals the present view at whoever gave it: a chain with one member sealed commits nothing more.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from pebbledrift.chain.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Reject,
    Stamp,
    ViewNotice,
    Vote,
)
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.planning import Plan, first_by_stamp
from pebbledrift.chain.view import ChainMember, View, address_of

GATHER_S = 0.06  # promises beyond a majority are waited for so long
GATHER_ADDED_S = 0.3  # or so long, where the chain is well and only gets longer
GIVE_UP_S = 0.7  # a proposal that has not succeeded by then is dropped
RESEND_S = 0.08  # who has not answered by then is asked again: the way to it may just have come up
PAUSE_S = 0.25  # at most, before the next: two proposers would go on for ever in step


@dataclass(slots=True)
class Proposal:
    """An attempt of ours to bring a view about."""

    ballot: Ballot
    plan: Plan
    begun: float
    resend_at: float
    gather_s: float = GATHER_S
    promises: dict[str, Promise] = field(default_factory=dict)
    view: View | None = None  # proposed, once a majority has promised
    accepted: set[str] = field(default_factory=set)


class Agreement:
    """One replica's part in agreeing on views, as acceptor and as proposer."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        outbox: Outbox,
        newest: Callable[[], Stamp],
        adopted: Callable[[], None],
        seed: int,
    ) -> None:
        self.node, self.incarnation = node, incarnation
        self.outbox = outbox
        self.view: View | None = None
        self.promised: Ballot = NO_BALLOT
        self.accepted_ballot: Ballot = NO_BALLOT
        self.accepted_view: View | None = None
        self.proposal: Proposal | None = None
        self._round = 0
        self._not_before = 0.0
        self._newest = newest
        self._adopted = adopted
        self._random = random.Random(seed)

    @property
    def sealed(self) -> bool:
        """Whether we have promised to take part in a later view only."""
        return self.view is not None and self.promised.epoch > self.view.epoch

    @property
    def votes(self) -> bool:
        """Whether our promises count."""
        return self.view is not None and self.node in self.view.voters

    def restore(self, view: View | None, vote: Vote | None) -> None:
        """Take over what the disk holds."""
        self.view = view
        if vote is not None:
            self.promised = Ballot(*vote.promised)
            self.accepted_ballot = Ballot(*vote.accepted_ballot)
            self.accepted_view = vote.accepted_view

    def vote(self) -> Vote:
        """What has to be remembered of promises."""
        return Vote(self.promised, self.accepted_ballot, self.accepted_view)

    def learn(self, view: View) -> None:
        """A view was decided."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return
        self.view = view
        self.proposal = None
        self.outbox.persist(view)
        self._adopted()

    # acceptor

    def on_prepare(self, sender: str, message: Prepare) -> None:
        """Promise, if no later ballot was promised and the view is the next one. The same may ask again."""
        self.learn(message.base)
        ballot = Ballot(*message.ballot)
        if not self._may_answer(ballot) or ballot < self.promised:
            self._reject(sender, ballot)
            return
        self.promised = ballot
        accepted = self.accepted_ballot if self.accepted_ballot.epoch == ballot.epoch else NO_BALLOT
        promise = Promise(
            ballot,
            self.node,
            self.incarnation,
            self._newest(),
            accepted,
            self.accepted_view if accepted != NO_BALLOT else None,
        )
        self.outbox.persist(self.vote(), then=lambda: self.outbox.send(sender, promise))

    def on_accept(self, sender: str, message: Accept) -> None:
        """Accept a view, unless a later ballot was promised."""
        ballot = Ballot(*message.ballot)
        if not self._may_answer(ballot) or ballot < self.promised:
            self._reject(sender, ballot)
            return
        self.promised = self.accepted_ballot = ballot
        self.accepted_view = message.view
        answer = Accepted(ballot, self.node)
        self.outbox.persist(self.vote(), then=lambda: self.outbox.send(sender, answer))

    def _may_answer(self, ballot: Ballot) -> bool:
        return self.votes and self.view is not None and ballot.epoch == self.view.epoch + 1

    def _reject(self, sender: str, ballot: Ballot) -> None:
        if self.view is not None:
            self.outbox.send(sender, Reject(ballot, self.promised, self.view))

    # proposer

    def propose(self, plan: Plan, now: float, gather_s: float = GATHER_S) -> None:
        """Begin to bring a view about, unless an attempt is under way."""
        if self.view is None or self.proposal is not None or now < self._not_before:
            return
        epoch = self.view.epoch + 1
        seen = self.promised.round if self.promised.epoch == epoch else 0
        self._round = max(self._round, seen) + 1
        ballot = Ballot(epoch, self._round, f"{self.node}#{self.incarnation:x}")
        self.proposal = Proposal(ballot, plan, now, now, gather_s)
        self._ask(self.proposal, now)

    def _ask(self, proposal: Proposal, now: float) -> None:
        """Send the proposal's present step to all that have not answered it."""
        assert self.view is not None
        proposal.resend_at = now + RESEND_S
        for node in self.view.voters:
            if proposal.view is None and node not in proposal.promises:
                self.outbox.send(address_of(node), Prepare(proposal.ballot, self.view))
            elif proposal.view is not None and node not in proposal.accepted:
                self.outbox.send(address_of(node), Accept(proposal.ballot, proposal.view))

    def on_promise(self, message: Promise, now: float) -> None:
        """Count a promise; the view is proposed once enough have come."""
        proposal = self.proposal
        if proposal is None or proposal.ballot != Ballot(*message.ballot) or proposal.view is not None:
            return
        proposal.promises[message.node] = message
        self._propose_view(proposal, now)

    def _propose_view(self, proposal: Proposal, now: float) -> None:
        assert self.view is not None
        if not self.view.is_quorum(proposal.promises):
            return
        wanted = {member.node for member in proposal.plan.chain if member.node in self.view.voters}
        if not wanted <= set(proposal.promises) and now - proposal.begun < proposal.gather_s:
            return
        view = self._choose(proposal)
        if view is None:
            self._give_up(now)
            return
        proposal.view = view
        self._ask(proposal, now)

    def _choose(self, proposal: Proposal) -> View | None:
        """A view that may have been agreed on already, or the one that we want."""
        accepted = [p for p in proposal.promises.values() if p.accepted_view is not None]
        if accepted:
            return max(accepted, key=lambda p: Ballot(*p.accepted_ballot)).accepted_view
        assert self.view is not None
        stamps = {p.node: (Stamp(*p.stamp), p.incarnation) for p in proposal.promises.values()}
        voters = set(self.view.voters)
        chain = tuple(
            ChainMember(member.node, stamps[member.node][1] if member.node in stamps else member.incarnation)
            for member in proposal.plan.chain
            if member.node in stamps or member.node not in voters
        )
        view = View(
            proposal.ballot.epoch,
            proposal.plan.members,
            proposal.plan.previous,
            first_by_stamp(chain, stamps),
        )
        return view if view.is_quorum(view.chain_nodes) else None

    def on_accepted(self, message: Accepted) -> None:
        """Count an acceptance; by a majority the view is decided."""
        proposal = self.proposal
        if proposal is None or proposal.view is None or proposal.ballot != Ballot(*message.ballot):
            return
        proposal.accepted.add(message.node)
        assert self.view is not None
        if self.view.is_quorum(proposal.accepted):
            view, voters = proposal.view, self.view.voters
            self.learn(view)
            for node in dict.fromkeys([*view.voters, *voters]):
                self.outbox.send(address_of(node), ViewNotice(view))

    def on_reject(self, message: Reject, now: float) -> None:
        """Somebody is further on: learn from it."""
        promised = Ballot(*message.promised)
        self.learn(message.view)
        proposal = self.proposal
        if proposal is not None and proposal.ballot == Ballot(*message.ballot) and promised > proposal.ballot:
            self._round = max(self._round, promised.round)
            self._give_up(now)

    def _give_up(self, now: float) -> None:
        self.proposal = None
        self._not_before = now + self._random.uniform(0.05, PAUSE_S)

    def tick(self, now: float) -> None:
        """Go on with what the promises at hand allow, and drop a proposal that leads nowhere."""
        if self.proposal is None:
            return
        if self.proposal.view is None:
            self._propose_view(self.proposal, now)
        proposal = self.proposal
        if proposal is None:
            return
        if now - proposal.begun > GIVE_UP_S:
            self._give_up(now)
        elif now >= proposal.resend_at:
            self._ask(proposal, now)
