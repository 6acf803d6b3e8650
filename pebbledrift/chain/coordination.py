"""The coordinator: the first live member proposes the next view when members or the chain have to change."""

from __future__ import annotations

from dataclasses import replace

from pebbledrift.chain.agreement import EXTEND_PROMISE_WAIT_S, Agreement
from pebbledrift.chain.link import SLOWEST_LINK_BYTES_PER_S, ChainLink, entry_bytes
from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Stamp
from pebbledrift.chain.peers import Peer, PeerTable
from pebbledrift.chain.planning import ClusterStatus, Plan, SilenceLimits, coordinating_node, plan
from pebbledrift.chain.view import View

# backoff between attempts to extend the chain
EXTEND_RETRY_S, EXTEND_RETRY_GROWTH, MAX_EXTEND_RETRY_S = 0.3, 2.0, 5.0
MAX_LAG_ENTRIES, MAX_LAG_BYTES = 32, 64 * 1024  # what a replica may lack when it is added to the chain
STALL_TIMEOUT_S = 1.5  # a chain that has made no progress for this long is rebuilt


class ViewCoordinator:
    """Proposes views while this replica is the first live member.

    Safety does not depend on there being only one coordinator: ballots order their proposals.
    """

    def __init__(
        self,
        agreement: Agreement,
        link: ChainLink,
        replicated: ReplicatedLog,
        peers: PeerTable,
        tolerated_failures: int,
        silence_limits: SilenceLimits,
        now: float,
    ) -> None:
        self._agreement, self._link, self._log, self._peers = agreement, link, replicated, peers
        self._tolerated_failures, self._silence_limits = tolerated_failures, silence_limits
        self._started_at = now
        self._no_progress_since: float | None = None
        self._next_extension_at = now
        self._extend_retry_s = EXTEND_RETRY_S

    def tick(self, now: float) -> None:
        """Propose the next view if one is needed and this replica is the coordinator."""
        view = self._agreement.view
        if view is None or not self._agreement.is_voter:
            return
        status = self._status(view, now)
        if coordinating_node(status) != self._agreement.node:
            self._no_progress_since = None
            return
        next_plan = plan(status)
        extends = next_plan is not None and _only_extends_chain(next_plan, view)
        if next_plan is None or (extends and not self._link.established):
            self._rebuild_if_stalled(status)
        elif extends:
            self._extend_chain(next_plan, now)
        else:
            self._agreement.propose(next_plan, now)
        if next_plan is None and self._link.established:
            self._extend_retry_s = EXTEND_RETRY_S

    def _rebuild_if_stalled(self, status: ClusterStatus) -> None:
        """Propose a new chain of all replicas that can take part if the current one makes no progress."""
        if not self._is_stalled(status.now):
            return
        view = status.view
        without_chain = View(view.epoch, view.members, view.previous_members, ())
        next_plan = plan(replace(status, view=without_chain))
        if next_plan is not None:
            self._agreement.propose(next_plan, status.now)

    def _status(self, view: View, now: float) -> ClusterStatus:
        return ClusterStatus(
            view,
            self._link.established,
            self._peers,
            now,
            self._started_at,
            self._tolerated_failures,
            self._silence_limits,
            self._caught_up,
        )

    def _caught_up(self, peer: Peer) -> bool:
        """Whether a replica lacks few entries. One that lacks many would delay the chain meanwhile."""
        stamp = Stamp(*peer.heartbeat.committed)
        if stamp >= self._log.committed:
            return True
        if not self._log.holds(stamp):
            return False
        missing = self._log.after(stamp.sequence, self._log.committed.sequence)
        return len(missing) <= MAX_LAG_ENTRIES and sum(map(entry_bytes, missing)) <= MAX_LAG_BYTES

    def _extend_chain(self, next_plan: Plan, now: float) -> None:
        """Propose a longer chain. Each attempt interrupts the chain, so the wait before the next grows."""
        if now < self._next_extension_at or self._agreement.proposal is not None:
            return
        self._next_extension_at = now + self._extend_retry_s
        self._extend_retry_s = min(MAX_EXTEND_RETRY_S, EXTEND_RETRY_GROWTH * self._extend_retry_s)
        self._agreement.propose(next_plan, now, EXTEND_PROMISE_WAIT_S)

    def _is_stalled(self, now: float) -> bool:
        """Whether the chain has made no progress for too long although its view needs no change."""
        sealed = any(peer.heartbeat.sealed for peer in self._peers.live_peers(now))
        pending = self._link.active and self._log.last != self._log.committed
        if self._link.established and not sealed and not pending:
            self._no_progress_since = None
            return False
        if self._no_progress_since is None:
            self._no_progress_since = now
        if now - self._no_progress_since < STALL_TIMEOUT_S + self._transfer_s():
            return False
        self._no_progress_since = now
        return True

    def _transfer_s(self) -> float:
        """Return how many seconds the uncommitted entries may take to travel down the chain."""
        return sum(map(entry_bytes, self._log.after(self._log.committed.sequence))) / SLOWEST_LINK_BYTES_PER_S


def _only_extends_chain(next_plan: Plan, view: View) -> bool:
    """Whether the plan keeps a chain that has a quorum, and only adds replicas to it.

    Such a plan is not urgent: every new view interrupts the chain, and a member that is slow to promise would
    be left out of it again. The chain keeps running between the attempts.
    """
    same = (next_plan.members, next_plan.previous_members) == (view.members, view.previous_members)
    return same and view.is_quorum(view.chain_nodes) and set(view.chain) < set(next_plan.chain)
