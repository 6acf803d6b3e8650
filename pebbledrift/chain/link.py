"""One replica's link in the chain: receives entries from the predecessor, syncs and forwards them."""

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

# Retry intervals of JoinChain until the predecessor has answered.
JOIN_RETRY_S, JOIN_RETRY_GROWTH, MAX_JOIN_RETRY_S = 0.05, 1.5, 2.0
LOSS_POLL_S = 0.3  # interval at which a joined member asks for entries lost in transit
MAX_BATCH_BYTES = 32 * 1024  # of entry bodies in one message; a single larger entry is sent alone
LARGE_BATCH_BYTES = 64 * 1024  # a larger committed entry is sent as parts of a snapshot
MAX_BATCH_ENTRIES = 256
SLOWEST_LINK_BYTES_PER_S = 50_000.0  # a message counts as in transit for as long as this rate needs


def entry_bytes(entry: Entry) -> int:
    """Approximate size of an entry on the wire, in bytes."""
    return len(entry.order.body) if entry.order is not None else 0


def batch(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Returns the leading entries that fit into one message, at least one if there is any."""
    total = 0
    for count, entry in enumerate(entries[:MAX_BATCH_ENTRIES]):
        total += entry_bytes(entry)
        if count and total > MAX_BATCH_BYTES:
            return entries[:count]
    return entries[:MAX_BATCH_ENTRIES]


def prefers_snapshot(entries: tuple[Entry, ...], log: ReplicatedLog) -> bool:
    """Whether a batch is one large committed entry, which is sent as parts of a snapshot instead."""
    return (
        sum(map(entry_bytes, entries)) > LARGE_BATCH_BYTES and entries[-1].sequence <= log.committed.sequence
    )


class ChainLink:
    """Receives, syncs and forwards the entries of one epoch; the tail commits them."""

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
        self._on_entries_committed, self._announce, self._answer_barrier = committed, announce, answer_barrier
        self._snapshot_source = source
        self.position: int | None = None
        self.joined = False  # has every entry that the predecessor had synced
        self._synced = 0
        self._forwarded: int | None = None  # newest sequence sent; None until it has joined
        self._waiting_barriers: list[Barrier] = []  # at the tail: waiting for earlier entries to commit
        self._join_at = 0.0
        self._join_retry_s = JOIN_RETRY_S
        self._entries_sent_at = float("-inf")  # time of the last entries sent over the present connection
        self._matched_stamp: Stamp = NO_STAMP  # the log equals the predecessor's up to here
        self._initial_log_synced = False  # the entries that the epoch started with are synced
        self._deferred_join: JoinChain | None = None  # received before this replica could answer
        self._answered_join: JoinChain | None = None  # the last one that was answered with entries

    @property
    def epoch(self) -> int:
        """The epoch of the current view; 0 if there is none."""
        return 0 if self.agreement.view is None else self.agreement.view.epoch

    @property
    def synced(self) -> int:
        """The sequence up to which the log is known in this epoch to be on disk."""
        return self._synced

    @property
    def established(self) -> bool:
        """Whether the current chain has committed an entry: all its members then have all earlier entries."""
        return self.epoch > 0 and self.log.committed.epoch == self.epoch

    @property
    def active(self) -> bool:
        """Whether this replica takes part in the chain of the current view."""
        return self.joined and not self.agreement.sealed

    @property
    def is_head(self) -> bool:
        """Whether this replica accepts orders."""
        return self.active and self.position == 0

    @property
    def is_read_head(self) -> bool:
        """Whether this replica starts barriers of reads, also while it votes on a later view."""
        return self.joined and self.position == 0

    @property
    def is_tail(self) -> bool:
        """Whether this replica commits entries and answers calls."""
        view = self.agreement.view
        return self.active and view is not None and self.position == len(view.chain) - 1

    def _neighbour(self, step: int) -> str | None:
        """The predecessor (step -1) or successor (step 1) in the chain, if there is one."""
        view = self.agreement.view
        if view is None or self.position is None or not 0 <= self.position + step < len(view.chain):
            return None
        return view.chain[self.position + step].node

    def enter(self) -> None:
        """Takes this replica's position in the chain of a newly decided view."""
        view = self.agreement.view
        assert view is not None
        self.position = view.position(self.agreement.node, self.agreement.incarnation)
        self.joined = False
        self._synced = self.log.committed.sequence
        self._forwarded = None
        self._waiting_barriers = []
        self._initial_log_synced = False
        self._matched_stamp = NO_STAMP
        self._answered_join = None
        self._entries_sent_at = float("-inf")
        if self._deferred_join is not None and self._deferred_join.epoch != self.epoch:
            self._deferred_join = None
        if self.position == 0:
            self.joined = True
            self.append(None)
        self._schedule_join()
        self.tick(self.outbox.now)

    def append(self, order: Order | None) -> Entry:
        """Appends an entry; called at the head only."""
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
        self._initial_log_synced = True
        if self._deferred_join is not None:
            deferred_join, self._deferred_join = self._deferred_join, None
            self.on_join(deferred_join)
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
        self._entries_sent_at = self.outbox.now
        self.outbox.send(address_of(successor), message)

    def _commit_at_tail(self) -> None:
        new_entries = self.log.commit(self._synced)
        if new_entries:
            self._announce(Committed(self.epoch, self.log.committed))
            self._on_entries_committed(new_entries)
        waiting, self._waiting_barriers = self._waiting_barriers, []
        for barrier in waiting:
            self._complete_barrier(barrier)

    # joining

    def tick(self, now: float) -> None:
        """Asks the predecessor for missing entries until it answers, then periodically for lost ones."""
        predecessor = self._neighbour(-1)
        if predecessor is None or self.agreement.sealed or now < self._join_at:
            return
        self._join_at = now + (LOSS_POLL_S if self.joined else self._join_retry_s)
        self._join_retry_s = min(MAX_JOIN_RETRY_S, JOIN_RETRY_GROWTH * self._join_retry_s)
        known_common = max(self.log.committed, self._matched_stamp)
        join = JoinChain(self.epoch, self.agreement.node, self.joined, self.log.last, known_common)
        self.outbox.send(address_of(predecessor), join)

    def on_join(self, message: JoinChain) -> None:
        """Answers the successor's JoinChain; entries not yet synced here follow later."""
        if not self._initial_log_synced or message.epoch > self.epoch:
            self._deferred_join = message
            return
        if message.epoch != self.epoch or not self.active or message.node != self._neighbour(1):
            return
        last, committed = Stamp(*message.last), Stamp(*message.committed)
        if message.joined and self.log.holds(last):
            self._resend_lacking(message.node, last)
            return
        common = next(
            (s for s in (last, committed) if s.sequence <= self._synced and self.log.holds(s)), None
        )
        entries = batch(self.log.after(common.sequence, self._synced)) if common is not None else ()
        if common is None or prefers_snapshot(entries, self.log):
            self.outbox.send(
                address_of(message.node), self._snapshot_source.offer(committed, self.outbox.now)
            )
            return
        if message == self._answered_join and self._may_be_in_transit(entries, JOIN_RETRY_S):
            return
        self._answered_join = message
        until = entries[-1].sequence if entries else common.sequence
        complete = until >= self._synced
        self._forwarded = until if complete else None
        self._send_entries(message.node, ChainState(self.epoch, common, entries, complete))

    def _resend_lacking(self, successor: str, last: Stamp) -> None:
        """Sends the entries that the successor lacks, unless they may still be in transit."""
        lacking = self.log.after(last.sequence, self._synced)
        if lacking and not self._may_be_in_transit(lacking, LOSS_POLL_S / 2):
            self._send_entries(successor, Append(self.epoch, batch(lacking)))

    def _may_be_in_transit(self, entries: tuple[Entry, ...], min_s: float) -> bool:
        """Whether these entries may still be in transit to the successor on a slow link."""
        needed_s = min_s + sum(map(entry_bytes, entries)) / SLOWEST_LINK_BYTES_PER_S
        return self.outbox.now - self._entries_sent_at < needed_s

    def on_chain_state(self, message: ChainState) -> None:
        """Replaces the local entries after the common prefix by the predecessor's."""
        if message.epoch != self.epoch or self.joined or self.position is None or self.agreement.sealed:
            return
        after = Stamp(*message.after)
        if self.log.holds(after):
            self._adopt_entries(after, message.entries, message.complete)

    def _adopt_entries(self, after: Stamp, entries: tuple[Entry, ...], complete: bool) -> None:
        """Replaces the local entries behind `after` by these.

        Local entries of this epoch also came from the predecessor. They are kept: a delayed answer may lack
        them, and they may already count as synced here.
        """
        missing = tuple(entry for entry in entries if not self.log.holds(entry.stamp))
        keep = missing[0].sequence - 1 if missing else (entries[-1].sequence if entries else after.sequence)
        replaces = missing or complete
        if replaces and self.log.last.sequence > keep and self.log.last.epoch < self.epoch:
            self.log.truncate(keep)
            self.outbox.persist(Truncate(keep))
        if missing and missing[0].sequence != self.log.last.sequence + 1:
            return
        for entry in missing:
            self.log.append(entry)
        self._matched_stamp = entries[-1].stamp if entries else after
        self.joined = complete
        self._sync(missing)
        if not complete:
            self.join_now()

    def _schedule_join(self) -> None:
        """Makes the next tick send JoinChain, and resets its retry interval."""
        self._join_at, self._join_retry_s = 0.0, JOIN_RETRY_S

    def join_now(self) -> None:
        """Sends JoinChain to the predecessor at once, as the previous answer has been processed."""
        self._schedule_join()
        self.tick(self.outbox.now)

    def postpone_join(self, now: float) -> None:
        """Delays the next JoinChain while a snapshot is being received."""
        self._join_at, self._join_retry_s = now + JOIN_RETRY_S, JOIN_RETRY_S

    def on_append(self, message: Append) -> None:
        """Appends entries from the predecessor; after a gap it joins again to get the missing ones."""
        if message.epoch != self.epoch or not self.active or not message.entries:
            return
        new_entries = tuple(e for e in message.entries if e.sequence > self.log.last.sequence)
        if not new_entries:
            return
        if new_entries[0].sequence != self.log.last.sequence + 1:
            self.joined = False
            self._schedule_join()
            return
        for entry in new_entries:
            self.log.append(entry)
        self._sync(new_entries)

    def on_committed(self, message: Committed) -> bool:
        """Commits up to the stamp that a tail announced; returns whether the log has these entries.

        Messages of any epoch count: committed entries stay committed in every later epoch, and replicas that
        have the same entry have the same entries before it.
        """
        stamp = Stamp(*message.stamp)
        if stamp.sequence <= self.log.committed.sequence:
            return True
        if not self.log.holds(stamp):
            return False
        self._on_entries_committed(self.log.commit(stamp.sequence))
        return True

    def connection_lost(self, node: str) -> None:
        """Joins again if the connection to the predecessor broke, as messages may have been lost."""
        if node == self._neighbour(-1):
            self.joined = False
            self._schedule_join()

    def connection_opened(self, node: str) -> None:
        """Allows entries to be resent to the successor: those sent before this connection are lost."""
        if node == self._neighbour(1):
            self._entries_sent_at = float("-inf")

    # barriers

    def start_barrier(self, call: CallId, result: OrderResult | None) -> None:
        """Sends a result or a read down the chain behind all entries so far; called at the head only."""
        self.on_barrier(Barrier(self.epoch, 0, self.log.last.sequence, call, result))

    def on_barrier(self, barrier: Barrier) -> None:
        """Forwards a barrier, or handles it at the tail; a replica that has left the epoch drops it.

        A replica that votes on a later view lets it pass: what is acknowledged in that view has been entered
        by a member of this chain, which then drops the barriers of this epoch.
        """
        if barrier.epoch != self.epoch or barrier.position != self.position or not self.joined:
            return
        successor = self._neighbour(1)
        if successor is None:
            self._complete_barrier(barrier)
        else:
            forwarded_barrier = replace(barrier, position=barrier.position + 1)
            self.outbox.send(address_of(successor), forwarded_barrier)

    def _complete_barrier(self, barrier: Barrier) -> None:
        if self.log.committed.sequence >= barrier.after:
            self._answer_barrier(barrier)
        else:
            self._waiting_barriers.append(barrier)
            del self._waiting_barriers[:-256]
