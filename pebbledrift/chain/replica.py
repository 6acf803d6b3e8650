"""One keeper's replica of the control state, without I/O.

A driver passes in messages, ticks and completed writes, and performs the sends and writes in the outbox.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from pebbledrift.chain import messages as wire
from pebbledrift.chain.agreement import Agreement
from pebbledrift.chain.catch_up import CatchUp
from pebbledrift.chain.coordination import ViewCoordinator
from pebbledrift.chain.link import ChainLink
from pebbledrift.chain.log import PendingEntries, ReplicatedLog
from pebbledrift.chain.messages import Entry, Heartbeat, Image, Snapshot, Stamp
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.peers import CONTACT_TIMEOUT_S, PeerTable
from pebbledrift.chain.planning import SilenceLimits
from pebbledrift.chain.requests import RequestHandler, ResultCallback
from pebbledrift.chain.transfer import SnapshotSource
from pebbledrift.chain.view import View, address_of
from pebbledrift.control.orders import Check, Order
from spoolpier.records import record

HEARTBEAT_INTERVAL_S = 0.2
SLOW_WRITE_S = 0.5  # a disk with a write pending for longer counts as unhealthy
HEALTHY_AFTER_S = 0.5  # an unhealthy disk has to be fast for this long to count as healthy again
MAX_UNCOMMITTED_S = 1.0  # a replica with an older uncommitted entry does not know which state is in force


@record
class ReplicaSettings:
    """Identity of a replica, and the addresses at which it first contacts others."""

    address: str
    control_address: str  # where it serves workers and the operator
    zone: str
    node: str
    incarnation: int
    eligible: bool  # it has a disk and may become a member
    tolerated_failures: int
    contact_addresses: tuple[str, ...]
    seed: int = 0
    # least time between the return or replacement of a lost machine and the next loss
    catch_up_s: float = 4.0


@dataclass(slots=True)
class StoredState:
    """The state that was read from the disk."""

    view: View | None = None
    vote: wire.Vote | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)


def _ignore(entries: list[Entry]) -> None:
    """Default value of `Replica.on_commit`."""


class Replica:
    """Combines agreement, chain, log, calls and peers of one keeper.

    Times are seconds of the driver's monotonic clock. `on_commit` is called with newly committed entries.
    """

    def __init__(self, settings: ReplicaSettings, check: Check, stored: StoredState, now: float) -> None:
        self.settings = settings
        self.outbox = Outbox(settings.address)
        self.outbox.now = now
        self.log = ReplicatedLog()
        if stored.snapshot is not None:
            self.log.restore(stored.snapshot)
        for entry in stored.entries:
            self.log.append(entry)
        self.agreement = Agreement(
            settings.node,
            settings.incarnation,
            self.outbox,
            lambda: self.log.last,
            self._enter_view,
            settings.seed,
        )
        source = SnapshotSource(self.log)
        self.link = ChainLink(
            self.agreement,
            self.log,
            self.outbox,
            self._on_commit,
            self._broadcast,
            self._answer_barrier,
            source,
        )
        self._catch_up = CatchUp(self.log, self.link, self.outbox, source, self._on_commit)
        self.requests = RequestHandler(self.agreement, self.link, self.log, self.outbox, check)
        voters = [address_of(node) for node in stored.view.voters] if stored.view else []
        self.peers = PeerTable(settings.address, [*settings.contact_addresses, *voters])
        self.agreement.restore(stored.view, stored.vote)
        self._coordinator = ViewCoordinator(
            self.agreement,
            self.link,
            self.log,
            self.peers,
            settings.tolerated_failures,
            SilenceLimits.for_catch_up_time(settings.catch_up_s),
            now,
        )
        self.leaving = False
        self.on_commit: Callable[[list[Entry]], None] = _ignore
        self._heartbeat_at = now
        self._healthy_since = now
        self._pending = PendingEntries()
        self._pending.note(self.log.last.sequence, self.log.committed.sequence, float("-inf"))
        self._handlers: dict[type, Callable[[str, Any, float], None]] = self._make_handlers()

    def _make_handlers(self) -> dict[type, Callable[[str, Any, float], None]]:
        agreement, link, requests, catch_up = self.agreement, self.link, self.requests, self._catch_up
        return {
            wire.Heartbeat: self._on_heartbeat,
            wire.ViewNotice: lambda sender, m, now: agreement.adopt(m.view),
            wire.Prepare: lambda sender, m, now: agreement.on_prepare(sender, m),
            wire.Promise: lambda sender, m, now: agreement.on_promise(m, now),
            wire.Reject: lambda sender, m, now: agreement.on_reject(m, now),
            wire.Accept: lambda sender, m, now: agreement.on_accept(sender, m),
            wire.Accepted: lambda sender, m, now: agreement.on_accepted(m),
            wire.JoinChain: lambda sender, m, now: link.on_join(m),
            wire.ChainState: lambda sender, m, now: link.on_chain_state(m),
            wire.Append: lambda sender, m, now: link.on_append(m),
            wire.Committed: catch_up.on_committed,
            wire.Barrier: lambda sender, m, now: link.on_barrier(m),
            wire.Fetch: lambda sender, m, now: catch_up.on_fetch(sender, m),
            wire.Fetched: catch_up.on_fetched,
            wire.SnapshotRequest: catch_up.on_snapshot_request,
            wire.SnapshotPart: catch_up.on_snapshot_part,
            wire.Submit: lambda sender, m, now: requests.on_submit(sender, m),
            wire.Answer: lambda sender, m, now: requests.on_answer(m),
            wire.NotHead: lambda sender, m, now: requests.on_not_head(m, now),
        }

    # called by the driver

    def receive(self, sender: str, message: Any, now: float) -> bool:
        """Handle a message. Returns False if its type is not one that replicas exchange."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        self.outbox.now = now
        handler(sender, message, now)
        return True

    def synced(self, number: int, now: float) -> None:
        """Note that all writes up to and including this number are on the disk."""
        self.outbox.now = now
        self.outbox.synced(number)

    def call(self, order: Order | None, now: float, timeout_s: float, on_done: ResultCallback) -> None:
        """Make an operator's call, or a read if `order` is None. See RequestHandler.call."""
        self.outbox.now = now
        self.requests.call(order, now, timeout_s, on_done)

    def connection_opened(self, address: str, now: float) -> None:
        """Send a heartbeat to a keeper that has become reachable, and resume the work that waits for it."""
        self.outbox.now = now
        self.outbox.send(address, self._own_heartbeat(address, now))
        self._catch_up.connection_opened(address, now)
        for node in self._chain_nodes_at(address):
            self.link.connection_opened(node)

    def connection_lost(self, address: str) -> None:
        """Handle a broken connection: messages from and to the address may have been lost."""
        self._catch_up.connection_lost(address)
        for node in self._chain_nodes_at(address):
            self.link.connection_lost(node)

    def _chain_nodes_at(self, address: str) -> list[str]:
        view = self.agreement.view
        return [node for node in view.chain_nodes if address_of(node) == address] if view is not None else []

    def tick(self, now: float) -> None:
        """Perform periodic work: heartbeats, resends, timeouts and proposals of views."""
        self.outbox.now = now
        if self._disk_slow(now):
            self._healthy_since = now + HEALTHY_AFTER_S
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self._send_heartbeats(now)
        self._pending.note(self.log.last.sequence, self.log.committed.sequence, now)
        self._catch_up.tick(now)
        self.link.tick(now)
        self.requests.tick(now)
        self.agreement.tick(now)
        self._coordinator.tick(now)

    def image(self) -> Image:
        """Return the complete state to be written to a slot. There has to be a view."""
        view = self.agreement.view
        assert view is not None
        entries = self.log.after(self.log.committed.sequence)
        return Image(self.settings.node, view, self.agreement.vote(), self.log.snapshot(), entries)

    @property
    def established(self) -> bool:
        """Whether the chain of the current view has committed an entry: all of it holds all earlier ones."""
        return self.link.established

    def current(self, now: float) -> bool:
        """Whether the committed state is as new as that of a quorum which knows no later view.

        Only replicas count that have answered a heartbeat sent within CONTACT_TIMEOUT_S: a process that was
        stopped or cut off may otherwise read old messages that were waiting for it. Any quorum includes a
        member of the chain, which holds every acknowledged order. A settled one has reported all of them as
        committed, except those of the last MAX_UNCOMMITTED_S.
        """
        view = self.agreement.view
        if view is None or not self.log.committed.sequence or not self._settled(now):
            return False
        answered = [peer.heartbeat for peer in self.peers.answered_since(now - CONTACT_TIMEOUT_S)]
        settled = [heartbeat for heartbeat in answered if heartbeat.epoch <= view.epoch and heartbeat.settled]
        newest = max((Stamp(*h.committed) for h in settled), default=self.log.committed)
        nodes = {h.node for h in settled} | {self.settings.node}
        return view.is_quorum(nodes) and self.log.committed >= newest

    def is_quorum(self, addresses: Iterable[str]) -> bool:
        """Whether the replicas at these addresses are a quorum of the current view."""
        view = self.agreement.view
        nodes = {node for address in set(addresses) if (node := self.peers.node_at(address)) is not None}
        return view is not None and view.is_quorum(nodes)

    @property
    def may_leave(self) -> bool:
        """Whether this replica may stop: enough others have every acknowledged order on their disks."""
        view, node = self.agreement.view, self.settings.node
        if view is None or node not in view.voters or len(view.voters) == 1:
            return True
        others = [member for member in view.chain_nodes if member != node]
        if node in view.chain_nodes or len(others) <= self.settings.tolerated_failures:
            return False
        return self.log.committed.epoch == view.epoch

    # peers

    def _settled(self, now: float) -> bool:
        """Whether all entries that are older than MAX_UNCOMMITTED_S are committed."""
        return self._pending.age(now) <= MAX_UNCOMMITTED_S

    def _disk_slow(self, now: float) -> bool:
        return self.outbox.oldest_write_age(now) > SLOW_WRITE_S

    def _own_heartbeat(self, receiver: str, now: float, number: int | None = None) -> Heartbeat:
        return Heartbeat(
            self.settings.node,
            self.settings.incarnation,
            self.settings.zone,
            self.settings.control_address,
            self.settings.eligible,
            now >= self._healthy_since,
            self.leaving,
            self.link.epoch,
            self.agreement.sealed,
            self.log.committed,
            self._settled(now),
            tuple(self.peers.live_addresses(now)),
            self.peers.next_heartbeat_number(now) if number is None else number,
            self.peers.echo_for(receiver),
        )

    def _send_heartbeats(self, now: float) -> None:
        number = self.peers.next_heartbeat_number(now)
        own = self._own_heartbeat(self.settings.address, now, number)
        self.peers.record_heartbeat(self.settings.address, own, self.settings.incarnation, now)
        view = self.agreement.view
        members = [address_of(node) for node in view.voters] if view is not None else []
        for address in members:
            self.peers.add_address(address)
        self.peers.drop_silent(now, [*members, *self.settings.contact_addresses])
        for address in self.peers.addresses:
            echo = self.peers.echo_for(address)
            self.outbox.send(address, replace(own, echo=echo))

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat, now: float) -> None:
        if self.peers.record_heartbeat(sender, heartbeat, self.settings.incarnation, now):
            # the echo tells the sender at once that its heartbeat has arrived
            self.outbox.send(sender, self._own_heartbeat(sender, now))
        view = self.agreement.view
        if view is not None and heartbeat.epoch < view.epoch:
            self.outbox.send(sender, wire.ViewNotice(view))
        if Stamp(*heartbeat.committed) > self.log.committed:
            self._catch_up.on_committed(sender, wire.Committed(heartbeat.epoch, heartbeat.committed), now)

    def _broadcast(self, message: wire.Committed) -> None:
        for address in self.peers.addresses:
            self.outbox.send(address, message)

    # views

    def _enter_view(self) -> None:
        self.requests.enter_view()
        self.link.enter()

    def _on_commit(self, entries: Iterable[Entry]) -> None:
        self.requests.on_commit()
        self.on_commit(list(entries))

    def _answer_barrier(self, barrier: wire.Barrier) -> None:
        self.requests.answer_barrier(barrier)
