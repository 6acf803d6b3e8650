"""One keeper's replica of the control state: composed of its parts, without I/O.

A driver hands in messages, ticks and finished writes, and carries out what the outbox holds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from pebbledrift.chain import messages as wire
from pebbledrift.chain.agreement import Agreement
from pebbledrift.chain.link import ChainLink
from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Entry, Heartbeat, Image, Snapshot, Stamp
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.peers import PeerTable
from pebbledrift.chain.planning import Situation, coordinator, plan
from pebbledrift.chain.requests import Done, RequestDesk
from pebbledrift.chain.view import View, address_of
from pebbledrift.control.orders import Check, Order
from spoolpier.records import record

HEARTBEAT_S = 0.2
SLOW_DISK_S = 0.5  # a write under way for longer makes a disk count as unhealthy
HEALTHY_AFTER_S = 0.5  # so long it has to answer again
STUCK_S = 1.5  # a chain that commits nothing for so long although it should is built anew
FETCH_AGAIN_S = 0.2
ENTRIES_A_MESSAGE = 256


@record
class ReplicaSettings:
    """What a replica is, and where it begins to look for others."""

    address: str
    control: str
    zone: str
    node: str
    incarnation: int
    eligible: bool
    tolerated: int
    contacts: tuple[str, ...]
    seed: int = 0


@dataclass(slots=True)
class Stored:
    """What was found on the disk."""

    view: View | None = None
    vote: wire.Vote | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)


def _ignore(entries: list[Entry]) -> None:
    """The default listener of commits."""


class Replica:
    """Agreement, chain, log, calls and peers of one keeper."""

    def __init__(self, settings: ReplicaSettings, check: Check, stored: Stored, now: float) -> None:
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
        self.link = ChainLink(
            self.agreement, self.log, self.outbox, self._on_commit, self._announce, self._answer_barrier
        )
        self.desk = RequestDesk(self.agreement, self.link, self.log, self.outbox, check)
        known = [address_of(node) for node in stored.view.voters] if stored.view else []
        self.peers = PeerTable(settings.address, [*settings.contacts, *known])
        self.agreement.restore(stored.view, stored.vote)
        self.leaving = False
        self.on_commit: Callable[[list[Entry]], None] = _ignore
        self._started = now
        self._heartbeat_at = now
        self._healthy_since = now
        self._unsettled_since: float | None = None
        self._fetch_at = now
        self._handlers: dict[type, Callable[[str, Any, float], None]] = self._make_handlers()

    def _make_handlers(self) -> dict[type, Callable[[str, Any, float], None]]:
        agreement, link, desk = self.agreement, self.link, self.desk
        return {
            wire.Heartbeat: self._on_heartbeat,
            wire.ViewNotice: lambda sender, m, now: agreement.learn(m.view),
            wire.Prepare: lambda sender, m, now: agreement.on_prepare(sender, m),
            wire.Promise: lambda sender, m, now: agreement.on_promise(m, now),
            wire.Reject: lambda sender, m, now: agreement.on_reject(m, now),
            wire.Accept: lambda sender, m, now: agreement.on_accept(sender, m),
            wire.Accepted: lambda sender, m, now: agreement.on_accepted(m),
            wire.JoinChain: lambda sender, m, now: link.on_join(m),
            wire.ChainState: lambda sender, m, now: link.on_chain_state(m),
            wire.Append: lambda sender, m, now: link.on_append(m),
            wire.Committed: self._on_committed,
            wire.Barrier: lambda sender, m, now: link.on_barrier(m),
            wire.Fetch: lambda sender, m, now: self._on_fetch(sender, m),
            wire.Fetched: lambda sender, m, now: self._on_fetched(m),
            wire.Submit: lambda sender, m, now: desk.on_submit(sender, m),
            wire.Answer: lambda sender, m, now: desk.on_answer(m),
            wire.NotHead: lambda sender, m, now: desk.on_not_head(m, now),
        }

    # what the driver calls

    def receive(self, sender: str, message: Any, now: float) -> bool:
        """Take a message in; returns False for one of another kind."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        self.outbox.now = now
        handler(sender, message, now)
        return True

    def synced(self, number: int, now: float) -> None:
        """All writes up to this one are on the disk."""
        self.outbox.now = now
        self.outbox.synced(number)

    def call(self, order: Order | None, now: float, longest: float, done: Done) -> None:
        """Make the operator's call, or without an order a read."""
        self.outbox.now = now
        self.desk.call(order, now, longest, done)

    def connection_opened(self, address: str, now: float) -> None:
        """Another keeper can be reached: it need not wait to hear of us."""
        self.outbox.send(address, self._own_heartbeat(now))

    def connection_lost(self, address: str) -> None:
        """Messages from an address may have been lost."""
        view = self.agreement.view
        for member in view.chain if view is not None else ():
            if address_of(member.node) == address:
                self.link.rejoin(member.node)

    def tick(self, now: float) -> None:
        """Do all that time brings about."""
        self.outbox.now = now
        if self._disk_slow(now):
            self._healthy_since = now + HEALTHY_AFTER_S
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_S
            self._send_heartbeats(now)
        self.link.tick(now)
        self.desk.tick(now)
        self.agreement.tick(now)
        self._coordinate(now)

    def image(self) -> Image:
        """All that a slot has to hold."""
        view = self.agreement.view
        assert view is not None
        entries = self.log.after(self.log.committed.sequence)
        return Image(self.settings.node, view, self.agreement.vote(), self.log.snapshot(), entries)

    @property
    def established(self) -> bool:
        """Whether the chain of the present view has committed something: all of it has all before."""
        return self.link.epoch > 0 and self.log.committed.epoch == self.link.epoch

    def current(self, now: float) -> bool:
        """Whether we hear a majority that knows no later view: what we hold is as new as any in force."""
        view = self.agreement.view
        if view is None or not self.log.committed.sequence:
            return False
        heard = [peer.heartbeat for peer in self.peers.living(now) if peer.heartbeat.epoch <= view.epoch]
        newest = max((Stamp(*h.committed) for h in heard), default=self.log.committed)
        nodes = {h.node for h in heard} | {self.settings.node}
        return view.is_quorum(nodes) and self.log.committed >= newest

    # peers

    def _disk_slow(self, now: float) -> bool:
        return self.outbox.oldest_write_age(now) > SLOW_DISK_S

    def _own_heartbeat(self, now: float) -> Heartbeat:
        return Heartbeat(
            self.settings.node,
            self.settings.incarnation,
            self.settings.zone,
            self.settings.control,
            self.settings.eligible,
            now >= self._healthy_since,
            self.leaving,
            self.link.epoch,
            self.agreement.sealed,
            self.log.committed,
            tuple(self.peers.living_addresses(now)),
        )

    def _send_heartbeats(self, now: float) -> None:
        heartbeat = self._own_heartbeat(now)
        self.peers.heard(self.settings.address, heartbeat, now)
        view = self.agreement.view
        members = [address_of(node) for node in view.voters] if view is not None else []
        for address in members:
            self.peers.learn(address)
        self.peers.forget(now, [*members, *self.settings.contacts])
        for address in self.peers.addresses:
            self.outbox.send(address, heartbeat)

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat, now: float) -> None:
        self.peers.heard(sender, heartbeat, now)
        view = self.agreement.view
        if view is not None and heartbeat.epoch < view.epoch:
            self.outbox.send(sender, wire.ViewNotice(view))
        if Stamp(*heartbeat.committed) > self.log.committed:
            self._catch_up(sender, wire.Committed(heartbeat.epoch, heartbeat.committed), now)

    def _announce(self, message: wire.Committed) -> None:
        for address in self.peers.addresses:
            self.outbox.send(address, message)

    # catching up without a place in the chain

    def _on_committed(self, sender: str, message: wire.Committed, now: float) -> None:
        self._catch_up(sender, message, now)

    def _catch_up(self, sender: str, message: wire.Committed, now: float) -> None:
        if self.link.on_committed(message) or now < self._fetch_at:
            return
        self._fetch_at = now + FETCH_AGAIN_S
        self.outbox.send(sender, wire.Fetch(self.log.committed))

    def _on_fetch(self, sender: str, message: wire.Fetch) -> None:
        after = Stamp(*message.committed)
        if after.sequence > self.log.committed.sequence:
            return
        snapshot = None
        if not self.log.holds(after):
            snapshot = self.log.snapshot()
            after = self.log.committed
        entries = self.log.after(after.sequence, self.log.committed.sequence)[:ENTRIES_A_MESSAGE]
        self.outbox.send(sender, wire.Fetched(after, snapshot, entries))

    def _on_fetched(self, message: wire.Fetched) -> None:
        """Committed entries of others. Ours stay where they are the same: they may be acknowledged ones."""
        if self.link.joined and self.link.position is not None:
            return
        self._fetch_at = 0.0
        after = Stamp(*message.after)
        if message.snapshot is not None and not self._covers(after):
            if after.sequence <= self.log.committed.sequence:
                return
            self.log.restore(message.snapshot)
            self.outbox.persist(message.snapshot)
            self._on_commit([])
        if not self.log.holds(after):
            return
        for entry in message.entries:
            self._take_committed(entry)
        newest = message.entries[-1].sequence if message.entries else after.sequence
        self._on_commit(self.log.commit(newest))

    def _covers(self, stamp: Stamp) -> bool:
        return self.log.holds(stamp) or stamp.sequence <= self.log.committed.sequence

    def _take_committed(self, entry: Entry) -> None:
        if entry.sequence <= self.log.committed.sequence or self.log.holds(entry.stamp):
            return
        if self.log.last.sequence >= entry.sequence:
            self.log.truncate(entry.sequence - 1)
            self.outbox.persist(wire.Truncate(entry.sequence - 1))
        self.log.append(entry)
        self.outbox.persist(entry)

    # views

    def _enter_view(self) -> None:
        self.desk.enter()
        self.link.enter()

    def _on_commit(self, entries: Iterable[Entry]) -> None:
        self.desk.on_commit()
        self.on_commit(list(entries))

    def _answer_barrier(self, barrier: wire.Barrier) -> None:
        self.desk.answer_barrier(barrier)

    def _coordinate(self, now: float) -> None:
        """As the first live member: bring the view about that the situation asks for."""
        view = self.agreement.view
        if view is None or not self.agreement.votes:
            return
        situation = Situation(view, self.established, self.peers, now, self._started, self.settings.tolerated)
        if coordinator(situation) != self.settings.node:
            self._unsettled_since = None
            return
        wanted = plan(situation)
        if wanted is None and self._stuck(now):
            without_chain = View(view.epoch, view.members, view.previous, ())
            wanted = plan(replace(situation, view=without_chain))
        if wanted is not None:
            self.agreement.propose(wanted, now)

    def _stuck(self, now: float) -> bool:
        """Whether the chain has made no progress for long although its view asks for no change."""
        sealed = any(peer.heartbeat.sealed for peer in self.peers.living(now))
        pending = self.link.active and self.log.last != self.log.committed
        if self.established and not sealed and not pending:
            self._unsettled_since = None
            return False
        if self._unsettled_since is None:
            self._unsettled_since = now
        if now - self._unsettled_since < STUCK_S:
            return False
        self._unsettled_since = now
        return True
