"""One replica's place in the chain: entries come from the predecessor, are synced and go on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from pebbledrift.chain.agreement import Agreement
from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import (
    NO_STAMP,
    Append,
    Barrier,
    CallId,
    ChainState,
    Committed,
    Entry,
    JoinChain,
    Stamp,
    Truncate,
)
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.transfer import SnapshotSource
from pebbledrift.chain.view import address_of
from pebbledrift.control.orders import Order, OrderResult

JOIN_AGAIN_S, JOIN_AGAIN_GROWTH, JOIN_AGAIN_MOST_S = 0.05, 1.5, 2.0  # until the predecessor has answered
POLL_S = 0.3  # a member that has joined asks so often whether anything got lost on the way to it
BATCH_BYTES = 32 * 1024  # of entries in one message, unless a single one is larger
LARGE_BYTES = 64 * 1024  # an entry of more, if it is committed, is told by the parts of a snapshot
BATCH_ENTRIES = 256
SLOWEST_LINK = 50_000.0  # bytes a second: what was sent may be under way for as long as that takes


def bytes_of(entry: Entry) -> int:
    """What an entry takes on the wire, about."""
    return len(entry.order.body) if entry.order is not None else 0


def batch(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """As many of these entries as go into one message: one at least."""
    total = 0
    for count, entry in enumerate(entries[:BATCH_ENTRIES]):
        total += bytes_of(entry)
        if count and total > BATCH_BYTES:
            return entries[:count]
    return entries[:BATCH_ENTRIES]


def is_large(entries: tuple[Entry, ...], log: ReplicatedLog) -> bool:
    """Whether a batch is one large entry that a snapshot has as well, which goes in parts."""
    return sum(map(bytes_of, entries)) > LARGE_BYTES and entries[-1].sequence <= log.committed.sequence


class ChainLink:
    """Receives, syncs and passes on the entries of one epoch; the tail commits them."""

    def __init__(
        self,
        agreement: Agreement,
        log: ReplicatedLog,
        outbox: Outbox,
        committed: Callable[[list[Entry]], None],
        announce: Callable[[Committed], None],
        answer_barrier: Callable[[Barrier], None],
        source: SnapshotSource,
    ) -> None:
        self.agreement, self.log, self.outbox = agreement, log, outbox
        self._committed, self._announce, self._answer_barrier = committed, announce, answer_barrier
        self._source = source
        self.position: int | None = None
        self.joined = False  # we have all that the predecessor had synced
        self._synced = 0
        self._forwarded: int | None = None  # None: the successor has not joined yet
        self._barriers: list[Barrier] = []  # at the tail: wait for entries before them
        self._ask_at = 0.0
        self._ask_wait_s = JOIN_AGAIN_S
        self._sent_at = float("-inf")  # when the successor was sent entries last, over the present connection
        self._matched: Stamp = NO_STAMP  # up to here our log is known to be the predecessor's
        self._settled = False  # all that we began the epoch with is synced
        self._asked: JoinChain | None = None  # by a successor, before we could answer
        self._answered: JoinChain | None = None  # the last question that entries were sent for

    @property
    def epoch(self) -> int:
        """The epoch of the view in force; 0 without one."""
        return 0 if self.agreement.view is None else self.agreement.view.epoch

    @property
    def synced(self) -> int:
        """The sequence up to which the log is known to be on the disk, in this epoch."""
        return self._synced

    @property
    def established(self) -> bool:
        """Whether the chain of the present view has committed something: all of it has all before."""
        return self.epoch > 0 and self.log.committed.epoch == self.epoch

    @property
    def active(self) -> bool:
        """Whether we take part in the chain of the present view."""
        return self.joined and not self.agreement.sealed

    @property
    def is_head(self) -> bool:
        """Whether orders are taken here."""
        return self.active and self.position == 0

    @property
    def is_tail(self) -> bool:
        """Whether replies are given here."""
        view = self.agreement.view
        return self.active and view is not None and self.position == len(view.chain) - 1

    def _neighbour(self, step: int) -> str | None:
        """The node before (-1) or behind (1) us in the chain."""
        view = self.agreement.view
        if view is None or self.position is None or not 0 <= self.position + step < len(view.chain):
            return None
        return view.chain[self.position + step].node

    def enter(self) -> None:
        """A new view is in force: take our place in its chain."""
        view = self.agreement.view
        assert view is not None
        self.position = view.position(self.agreement.node, self.agreement.incarnation)
        self.joined = False
        self._synced = self.log.committed.sequence
        self._forwarded = None
        self._barriers = []
        self._settled = False
        self._matched = NO_STAMP
        self._answered = None
        self._sent_at = float("-inf")
        if self._asked is not None and self._asked.epoch != self.epoch:
            self._asked = None
        if self.position == 0:
            self.joined = True
            self.append(None)
        self._ask_soon()
        self.tick(self.outbox.now)

    def append(self, order: Order | None) -> Entry:
        """At the head: add an entry."""
        entry = Entry(self.epoch, self.log.last.sequence + 1, order)
        self.log.append(entry)
        self._sync((entry,))
        return entry

    def _sync(self, entries: tuple[Entry, ...]) -> None:
        epoch, sequence = self.epoch, self.log.last.sequence
        self.outbox.persist(*entries, then=lambda: self._on_synced(epoch, sequence))

    def _on_synced(self, epoch: int, sequence: int) -> None:
        if epoch != self.epoch or not self.active:
            return
        self._synced = max(self._synced, sequence)
        self._settled = True
        if self._asked is not None:
            asked, self._asked = self._asked, None
            self.on_join(asked)
        if self.is_tail:
            self._commit_at_tail()
        else:
            self._forward()

    def _forward(self) -> None:
        successor = self._neighbour(1)
        if successor is None or self._forwarded is None or self._forwarded >= self._synced:
            return
        entries = self.log.after(self._forwarded, self._synced)
        self._forwarded = self._synced
        self._send_entries(successor, Append(self.epoch, entries))

    def _send_entries(self, successor: str, message: Append | ChainState) -> None:
        self._sent_at = self.outbox.now
        self.outbox.send(address_of(successor), message)

    def _commit_at_tail(self) -> None:
        fresh = self.log.commit(self._synced)
        if fresh:
            self._announce(Committed(self.epoch, self.log.committed))
            self._committed(fresh)
        waiting, self._barriers = self._barriers, []
        for barrier in waiting:
            self._end_barrier(barrier)

    # joining

    def tick(self, now: float) -> None:
        """Ask the predecessor until it has told what we lack, and now and then whether something was lost."""
        predecessor = self._neighbour(-1)
        if predecessor is None or self.agreement.sealed or now < self._ask_at:
            return
        self._ask_at = now + (POLL_S if self.joined else self._ask_wait_s)
        self._ask_wait_s = min(JOIN_AGAIN_MOST_S, JOIN_AGAIN_GROWTH * self._ask_wait_s)
        known = max(self.log.committed, self._matched)
        ask = JoinChain(self.epoch, self.agreement.node, self.joined, self.log.last, known)
        self.outbox.send(address_of(predecessor), ask)

    def on_join(self, message: JoinChain) -> None:
        """The successor asks for what it lacks; entries that we have not synced ourselves follow later."""
        if not self._settled or message.epoch > self.epoch:
            self._asked = message
            return
        if message.epoch != self.epoch or not self.active or message.node != self._neighbour(1):
            return
        last, committed = Stamp(*message.last), Stamp(*message.committed)
        if message.joined and self.log.holds(last):
            self._send_again(message.node, last)
            return
        common = next(
            (s for s in (last, committed) if s.sequence <= self._synced and self.log.holds(s)), None
        )
        entries = batch(self.log.after(common.sequence, self._synced)) if common is not None else ()
        if common is None or is_large(entries, self.log):
            self.outbox.send(address_of(message.node), self._source.offer(self.outbox.now))
            return
        if message == self._answered and self._may_be_under_way(entries, JOIN_AGAIN_S):
            return
        self._answered = message
        until = entries[-1].sequence if entries else common.sequence
        complete = until >= self._synced
        self._forwarded = until if complete else None
        self._send_entries(message.node, ChainState(self.epoch, common, entries, complete))

    def _send_again(self, successor: str, last: Stamp) -> None:
        """Send what the successor lacks, unless it may still be on its way."""
        lacking = self.log.after(last.sequence, self._synced)
        if lacking and not self._may_be_under_way(lacking, POLL_S / 2):
            self._send_entries(successor, Append(self.epoch, batch(lacking)))

    def _may_be_under_way(self, entries: tuple[Entry, ...], least_s: float) -> bool:
        """Whether these may still be on their way to the successor, on a slow link."""
        needed_s = least_s + sum(map(bytes_of, entries)) / SLOWEST_LINK
        return self.outbox.now - self._sent_at < needed_s

    def on_chain_state(self, message: ChainState) -> None:
        """The predecessor's log takes the place of whatever we had beyond what is common."""
        if message.epoch != self.epoch or self.joined or self.position is None or self.agreement.sealed:
            return
        after = Stamp(*message.after)
        if self.log.holds(after):
            self._take_over(after, message.entries, message.complete)

    def _take_over(self, after: Stamp, entries: tuple[Entry, ...], complete: bool) -> None:
        """Go on behind `after` with these entries in the place of ours.

        Entries of this epoch came from the predecessor as well: an answer that was long under way may lack
        them, and they are counted on.
        """
        missing = tuple(entry for entry in entries if not self.log.holds(entry.stamp))
        keep = missing[0].sequence - 1 if missing else (entries[-1].sequence if entries else after.sequence)
        overtaken = missing or complete
        if overtaken and self.log.last.sequence > keep and self.log.last.epoch < self.epoch:
            self.log.truncate(keep)
            self.outbox.persist(Truncate(keep))
        if missing and missing[0].sequence != self.log.last.sequence + 1:
            return
        for entry in missing:
            self.log.append(entry)
        self._matched = entries[-1].stamp if entries else after
        self.joined = complete
        self._sync(missing)
        if not complete:
            self.ask_now()

    def _ask_soon(self) -> None:
        """Ask at the next tick, and often until there is an answer."""
        self._ask_at, self._ask_wait_s = 0.0, JOIN_AGAIN_S

    def ask_now(self) -> None:
        """Ask the predecessor at once: what came from it is taken in."""
        self._ask_soon()
        self.tick(self.outbox.now)

    def put_off_asking(self, now: float) -> None:
        """A snapshot is under way to us: the next question waits for it."""
        self._ask_at, self._ask_wait_s = now + JOIN_AGAIN_S, JOIN_AGAIN_S

    def on_append(self, message: Append) -> None:
        """Entries from the predecessor; after a gap we ask again for what is missing."""
        if message.epoch != self.epoch or not self.active or not message.entries:
            return
        fresh = tuple(e for e in message.entries if e.sequence > self.log.last.sequence)
        if not fresh:
            return
        if fresh[0].sequence != self.log.last.sequence + 1:
            self.joined = False
            self._ask_soon()
            return
        for entry in fresh:
            self.log.append(entry)
        self._sync(fresh)

    def on_committed(self, message: Committed) -> bool:
        """A tail has committed; returns whether we have the entries that this is about.

        What is committed stays so in every epoch, and whoever holds an entry holds the same ones before it.
        """
        stamp = Stamp(*message.stamp)
        if stamp.sequence <= self.log.committed.sequence:
            return True
        if not self.log.holds(stamp):
            return False
        self._committed(self.log.commit(stamp.sequence))
        return True

    def connection_lost(self, node: str) -> None:
        """The way to another replica broke: messages may be lost that were on it."""
        if node == self._neighbour(-1):
            self.joined = False
            self._ask_soon()

    def connection_opened(self, node: str) -> None:
        """What was sent to the successor before is lost, also what was sent while there was no connection."""
        if node == self._neighbour(1):
            self._sent_at = float("-inf")

    # barriers

    def start_barrier(self, call: CallId, judgement: OrderResult | None) -> None:
        """At the head: let a verdict or a read run down the chain, behind all entries so far."""
        self.on_barrier(Barrier(self.epoch, 0, self.log.last.sequence, call, judgement))

    def on_barrier(self, barrier: Barrier) -> None:
        """Pass a barrier on, or answer it at the tail; who has left the epoch does neither."""
        if barrier.epoch != self.epoch or barrier.position != self.position or not self.active:
            return
        if self.is_tail:
            self._end_barrier(barrier)
            return
        successor = self._neighbour(1)
        if successor is not None:
            following = replace(barrier, position=barrier.position + 1)
            self.outbox.send(address_of(successor), following)

    def _end_barrier(self, barrier: Barrier) -> None:
        if self.log.committed.sequence >= barrier.after:
            self._answer_barrier(barrier)
        else:
            self._barriers.append(barrier)
            del self._barriers[:-256]
