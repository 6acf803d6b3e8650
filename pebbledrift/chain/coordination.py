"""What the first live member does for all: it brings the views about that the situation asks for."""

from __future__ import annotations

from dataclasses import replace

from pebbledrift.chain.agreement import GATHER_ADDED_S, Agreement
from pebbledrift.chain.link import SLOWEST_LINK_BYTES_PER_S, ChainLink, entry_bytes
from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Stamp
from pebbledrift.chain.peers import Peer, PeerTable
from pebbledrift.chain.planning import Patience, Plan, Situation, coordinator, plan
from pebbledrift.chain.view import View

ADD_AGAIN_S, ADD_AGAIN_GROWTH, ADD_AGAIN_MOST_S = 0.3, 2.0, 5.0  # before the chain is made longer again
LAG_MOST, LAG_BYTES = 32, 64 * 1024  # entries that a replica may lack when it is let into the chain
STUCK_S = 1.5  # a chain that commits nothing for so long although it should is built anew


class Coordination:
    """Proposes views while this member is the first that lives. Nothing rests on there being one alone."""

    def __init__(
        self,
        agreement: Agreement,
        link: ChainLink,
        replicated: ReplicatedLog,
        peers: PeerTable,
        tolerated: int,
        patience: Patience,
        now: float,
    ) -> None:
        self._agreement, self._link, self._log, self._peers = agreement, link, replicated, peers
        self._tolerated, self._patience = tolerated, patience
        self._started = now
        self._unsettled_since: float | None = None
        self._add_at = now
        self._add_wait_s = ADD_AGAIN_S

    def tick(self, now: float) -> None:
        """Propose the view that is wanted, if it is ours to do so."""
        view = self._agreement.view
        if view is None or not self._agreement.votes:
            return
        situation = self._situation(view, now)
        if coordinator(situation) != self._agreement.node:
            self._unsettled_since = None
            return
        wanted = plan(situation)
        adds = wanted is not None and _only_adds(wanted, view)
        if wanted is None or (adds and not self._link.established):
            self._rebuild_if_stuck(situation)
        elif adds:
            self._add(wanted, now)
        else:
            self._agreement.propose(wanted, now)
        if wanted is None and self._link.established:
            self._add_wait_s = ADD_AGAIN_S

    def _rebuild_if_stuck(self, situation: Situation) -> None:
        """Let the chain go on, unless it makes no progress: a new one is made of those that can take part."""
        if not self._stuck(situation.now):
            return
        view = situation.view
        without_chain = View(view.epoch, view.members, view.previous, ())
        wanted = plan(replace(situation, view=without_chain))
        if wanted is not None:
            self._agreement.propose(wanted, situation.now)

    def _situation(self, view: View, now: float) -> Situation:
        return Situation(
            view,
            self._link.established,
            self._peers,
            now,
            self._started,
            self._tolerated,
            self._patience,
            self._caught_up,
        )

    def _caught_up(self, peer: Peer) -> bool:
        """Whether a replica lacks little: one that lacks much would hold the chain up until it has it."""
        stamp = Stamp(*peer.heartbeat.committed)
        if stamp >= self._log.committed:
            return True
        if not self._log.holds(stamp):
            return False
        lacking = self._log.after(stamp.sequence, self._log.committed.sequence)
        return len(lacking) <= LAG_MOST and sum(map(entry_bytes, lacking)) <= LAG_BYTES

    def _add(self, wanted: Plan, now: float) -> None:
        """Make the chain longer: each try interrupts the others, so that the next one waits longer."""
        if now < self._add_at or self._agreement.proposal is not None:
            return
        self._add_at = now + self._add_wait_s
        self._add_wait_s = min(ADD_AGAIN_MOST_S, ADD_AGAIN_GROWTH * self._add_wait_s)
        self._agreement.propose(wanted, now, GATHER_ADDED_S)

    def _stuck(self, now: float) -> bool:
        """Whether the chain has made no progress for long although its view asks for no change."""
        sealed = any(peer.heartbeat.sealed for peer in self._peers.living(now))
        pending = self._link.active and self._log.last != self._log.committed
        if self._link.established and not sealed and not pending:
            self._unsettled_since = None
            return False
        if self._unsettled_since is None:
            self._unsettled_since = now
        if now - self._unsettled_since < STUCK_S + self._transfer_s():
            return False
        self._unsettled_since = now
        return True

    def _transfer_s(self) -> float:
        """For how long entries that are not committed may be on their way down the chain."""
        return sum(map(entry_bytes, self._log.after(self._log.committed.sequence))) / SLOWEST_LINK_BYTES_PER_S


def _only_adds(wanted: Plan, view: View) -> bool:
    """Whether the chain is whole and only gets longer.

    A member that is slow to promise would be left out of each view again, and every new view interrupts the
    chain: it is let go on meanwhile.
    """
    same = (wanted.members, wanted.previous) == (view.members, view.previous)
    return same and view.is_quorum(view.chain_nodes) and set(view.chain) < set(wanted.chain)
