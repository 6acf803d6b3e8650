"""Agreement on the next view by a majority of the current one: single-decree Paxos, one instance per epoch.

A replica that promises a ballot of the next epoch seals its current view. A chain with a sealed member
commits nothing more.
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
from pebbledrift.chain.planning import Plan, put_newest_log_first
from pebbledrift.chain.view import ChainMember, View, address_of

PROMISE_WAIT_S = 0.06  # how long a proposer waits for promises beyond a majority
EXTEND_PROMISE_WAIT_S = 0.3  # the same, for a proposal that only extends a working chain
PROPOSAL_TIMEOUT_S = 0.7  # a proposal that has not succeeded by then is abandoned
RESEND_AFTER_S = 0.08  # requests without an answer are sent again: the connection may only just be up
MAX_BACKOFF_S = (
    0.25  # the pause before the next proposal is random, else two proposers could collide for ever
)


@dataclass(slots=True)
class Proposal:
    """An attempt of this replica to have a view decided. Times are seconds of the local clock."""

    ballot: Ballot
    plan: Plan
    started_at: float
    resend_at: float
    promise_wait_s: float = PROMISE_WAIT_S
    promises: dict[str, Promise] = field(default_factory=dict)
    view: View | None = None  # the proposed view, set once a majority has promised
    accepted: set[str] = field(default_factory=set)


class Agreement:
    """One replica as acceptor and as proposer of views.

    `last_stamp` returns the stamp of the newest log entry. `on_adopted` is called after each
    adopted view.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        outbox: Outbox,
        last_stamp: Callable[[], Stamp],
        on_adopted: Callable[[], None],
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
        self._next_proposal_at = 0.0
        self._last_stamp = last_stamp
        self._on_adopted = on_adopted
        self._random = random.Random(seed)

    @property
    def sealed(self) -> bool:
        """Whether this replica has promised a ballot of a later epoch than that of its view."""
        return self.view is not None and self.promised.epoch > self.view.epoch

    @property
    def is_voter(self) -> bool:
        """Whether this replica votes on the next view."""
        return self.view is not None and self.node in self.view.voters

    def restore(self, view: View | None, vote: Vote | None) -> None:
        """Restore the view and the vote that were read from the disk."""
        self.view = view
        if vote is not None:
            self.promised = Ballot(*vote.promised)
            self.accepted_ballot = Ballot(*vote.accepted_ballot)
            self.accepted_view = vote.accepted_view

    def vote(self) -> Vote:
        """Return the record of what was promised and accepted, to be synced before any answer is sent."""
        return Vote(self.promised, self.accepted_ballot, self.accepted_view)

    def adopt(self, view: View) -> None:
        """Switch to a decided view, unless it is no newer than the current one."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return
        self.view = view
        self.proposal = None
        self.outbox.persist(view)
        self._on_adopted()

    # acceptor

    def on_prepare(self, sender: str, message: Prepare) -> None:
        """Promise a ballot of the next epoch, unless a higher one was promised.

        The promise is sent once it is synced. A repeated request is answered again.
        """
        self.adopt(message.base)
        ballot = Ballot(*message.ballot)
        if not self._may_vote_on(ballot) or ballot < self.promised:
            self._reject(sender, ballot)
            return
        self.promised = ballot
        accepted = self.accepted_ballot if self.accepted_ballot.epoch == ballot.epoch else NO_BALLOT
        promise = Promise(
            ballot,
            self.node,
            self.incarnation,
            self._last_stamp(),
            accepted,
            self.accepted_view if accepted != NO_BALLOT else None,
        )
        self.outbox.persist(self.vote(), then=lambda: self.outbox.send(sender, promise))

    def on_accept(self, sender: str, message: Accept) -> None:
        """Accept a view, unless a higher ballot was promised. The answer is sent once the vote is synced."""
        ballot = Ballot(*message.ballot)
        if not self._may_vote_on(ballot) or ballot < self.promised:
            self._reject(sender, ballot)
            return
        self.promised = self.accepted_ballot = ballot
        self.accepted_view = message.view
        answer = Accepted(ballot, self.node)
        self.outbox.persist(self.vote(), then=lambda: self.outbox.send(sender, answer))

    def _may_vote_on(self, ballot: Ballot) -> bool:
        return self.is_voter and self.view is not None and ballot.epoch == self.view.epoch + 1

    def _reject(self, sender: str, ballot: Ballot) -> None:
        if self.view is not None:
            self.outbox.send(sender, Reject(ballot, self.promised, self.view))

    # proposer

    def propose(self, plan: Plan, now: float, promise_wait_s: float = PROMISE_WAIT_S) -> None:
        """Start a proposal, unless one is under way or the pause after the last one is not over."""
        if self.view is None or self.proposal is not None or now < self._next_proposal_at:
            return
        epoch = self.view.epoch + 1
        promised_round = self.promised.round if self.promised.epoch == epoch else 0
        self._round = max(self._round, promised_round) + 1
        ballot = Ballot(epoch, self._round, f"{self.node}#{self.incarnation:x}")
        self.proposal = Proposal(ballot, plan, now, now, promise_wait_s)
        self._send_requests(self.proposal, now)

    def _send_requests(self, proposal: Proposal, now: float) -> None:
        """Send the request of the current phase to all voters that have not answered it."""
        assert self.view is not None
        proposal.resend_at = now + RESEND_AFTER_S
        for node in self.view.voters:
            if proposal.view is None and node not in proposal.promises:
                self.outbox.send(address_of(node), Prepare(proposal.ballot, self.view))
            elif proposal.view is not None and node not in proposal.accepted:
                self.outbox.send(address_of(node), Accept(proposal.ballot, proposal.view))

    def on_promise(self, message: Promise, now: float) -> None:
        """Count a promise. The view is proposed once a quorum has promised."""
        proposal = self.proposal
        if proposal is None or proposal.ballot != Ballot(*message.ballot) or proposal.view is not None:
            return
        proposal.promises[message.node] = message
        self._propose_view(proposal, now)

    def _propose_view(self, proposal: Proposal, now: float) -> None:
        assert self.view is not None
        if not self.view.is_quorum(proposal.promises):
            return
        awaited = {member.node for member in proposal.plan.chain if member.node in self.view.voters}
        if not awaited <= set(proposal.promises) and now - proposal.started_at < proposal.promise_wait_s:
            return
        view = self._choose_view(proposal)
        if view is None:
            self._abandon_proposal(now)
            return
        proposal.view = view
        self._send_requests(proposal, now)

    def _choose_view(self, proposal: Proposal) -> View | None:
        """Return the view to propose: the one accepted under the highest ballot, otherwise the planned one.

        A view that was accepted anywhere may already be decided. Returns None if the planned chain has no
        quorum.
        """
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
            proposal.plan.previous_members,
            put_newest_log_first(chain, stamps),
        )
        return view if view.is_quorum(view.chain_nodes) else None

    def on_accepted(self, message: Accepted) -> None:
        """Count an acceptance. The view is decided once a quorum has accepted it."""
        proposal = self.proposal
        if proposal is None or proposal.view is None or proposal.ballot != Ballot(*message.ballot):
            return
        proposal.accepted.add(message.node)
        assert self.view is not None
        if self.view.is_quorum(proposal.accepted):
            view, voters = proposal.view, self.view.voters
            self.adopt(view)
            for node in dict.fromkeys([*view.voters, *voters]):
                self.outbox.send(address_of(node), ViewNotice(view))

    def on_reject(self, message: Reject, now: float) -> None:
        """Adopt a newer view of the sender; abandon the proposal if the sender promised a higher ballot."""
        promised = Ballot(*message.promised)
        self.adopt(message.view)
        proposal = self.proposal
        if proposal is not None and proposal.ballot == Ballot(*message.ballot) and promised > proposal.ballot:
            self._round = max(self._round, promised.round)
            self._abandon_proposal(now)

    def _abandon_proposal(self, now: float) -> None:
        self.proposal = None
        self._next_proposal_at = now + self._random.uniform(0.05, MAX_BACKOFF_S)

    def tick(self, now: float) -> None:
        """Advance the proposal: propose its view if possible, resend requests, abandon it on a timeout."""
        if self.proposal is None:
            return
        if self.proposal.view is None:
            self._propose_view(self.proposal, now)
        proposal = self.proposal
        if proposal is None:
            return
        if now - proposal.started_at > PROPOSAL_TIMEOUT_S:
            self._abandon_proposal(now)
        elif now >= proposal.resend_at:
            self._send_requests(proposal, now)
