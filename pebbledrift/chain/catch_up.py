"""Catching up with the committed state outside the chain, by batches of entries or parts of snapshots."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from pebbledrift.chain import messages as wire
from pebbledrift.chain.link import ChainLink, batch, prefers_snapshot
from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Entry, Snapshot, Stamp
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.transfer import SnapshotFetch, SnapshotSource
from pebbledrift.cluster.errors import MessageError

log = logging.getLogger(__name__)

# Retry intervals of Fetch.
FETCH_RETRY_S, FETCH_RETRY_GROWTH, MAX_FETCH_RETRY_S = 0.8, 2.0, 8.0


class CatchUp:
    """Requests committed entries and snapshots from other keepers, and answers their requests."""

    def __init__(
        self,
        replicated: ReplicatedLog,
        link: ChainLink,
        outbox: Outbox,
        source: SnapshotSource,
        committed: Callable[[Iterable[Entry]], None],
    ) -> None:
        self._log, self._link, self._outbox, self._source = replicated, link, outbox, source
        self._on_entries_committed = committed
        self._fetch = SnapshotFetch(outbox.send)
        self._fetch_at = outbox.now
        self._fetch_retry_s = FETCH_RETRY_S

    def tick(self, now: float) -> None:
        """Continues a snapshot transfer; the chain's JoinChain waits while one makes progress."""
        self._source.tick(now)
        self._fetch.tick(now)
        if self._fetch.active and not self._fetch.stalled(now):
            self._link.postpone_join(now)

    def connection_opened(self, address: str, now: float) -> None:
        """Resumes a transfer from a keeper that is reachable again."""
        self._fetch.connection_opened(address, now)

    def connection_lost(self, address: str) -> None:
        """Repeats requests early, as messages to and from the address may have been lost."""
        self._fetch.connection_lost(address)
        self._fetch_retry_s = FETCH_RETRY_S
        self._fetch_at = min(self._fetch_at, self._outbox.now + FETCH_RETRY_S)

    # requests

    def on_committed(self, sender: str, message: wire.Committed, now: float) -> None:
        """Fetches announced entries from the sender unless the log already has them."""
        if self._link.on_committed(message) or now < self._fetch_at:
            return
        if not self._fetch.active or self._fetch.stalled(now):
            self._request_entries(sender, now)

    def _request_entries(self, address: str, now: float) -> None:
        """Requests committed entries, and delays the next request by the retry interval."""
        self._fetch_at = now + self._fetch_retry_s
        self._fetch_retry_s = min(MAX_FETCH_RETRY_S, FETCH_RETRY_GROWTH * self._fetch_retry_s)
        self._outbox.send(address, wire.Fetch(self._log.committed))

    def on_fetched(self, sender: str, message: wire.Fetched, now: float) -> None:
        """Adopts committed entries. Equal local entries are kept, as they may already be acknowledged."""
        self._fetch_at, self._fetch_retry_s = 0.0, FETCH_RETRY_S
        if self._follows_chain or not self._log.holds(Stamp(*message.after)):
            return
        for entry in message.entries:
            self._adopt_entry(entry)
        newest = message.entries[-1].sequence if message.entries else message.after[1]
        self._on_entries_committed(self._log.commit(newest))
        if message.entries:
            self._request_entries(sender, now)

    def _adopt_entry(self, entry: Entry) -> None:
        if entry.sequence <= self._log.committed.sequence or self._log.holds(entry.stamp):
            return
        if self._log.last.sequence >= entry.sequence:
            self._log.truncate(entry.sequence - 1)
            self._outbox.persist(wire.Truncate(entry.sequence - 1))
        self._log.append(entry)
        self._outbox.persist(entry)

    @property
    def _follows_chain(self) -> bool:
        """Whether this replica gets its entries from the chain, and so ignores entries sent by others."""
        return self._link.joined and self._link.position is not None

    def on_snapshot_part(self, sender: str, message: wire.SnapshotPart, now: float) -> None:
        """Processes a part of a snapshot; a complete one replaces the local state."""
        if self._follows_chain or message.stamp[1] <= self._log.committed.sequence:
            self._fetch.stop()
            return
        try:
            snapshot = self._fetch.receive(sender, message, now)
        except MessageError as error:
            log.warning("received snapshot is invalid", extra={"peer": sender, "error": str(error)})
            self._fetch.stop()
            return
        if snapshot is not None:
            self._restore(snapshot)
            self._fetch_at, self._fetch_retry_s = 0.0, FETCH_RETRY_S
            self._link.join_now()

    def _restore(self, snapshot: Snapshot) -> None:
        """Adopts a committed state. Local entries after it are kept if the log has the snapshot's entry."""
        stamp = Stamp(*snapshot.stamp)
        if self._log.holds(stamp):
            self._on_entries_committed(self._log.commit(stamp.sequence))
            return
        self._log.restore(snapshot)
        self._outbox.persist(snapshot)
        self._on_entries_committed([])

    # answers

    def on_fetch(self, sender: str, message: wire.Fetch) -> None:
        """Sends the committed entries that follow, or offers a snapshot if they are dropped or too large."""
        after = Stamp(*message.committed)
        if after.sequence > self._log.committed.sequence:
            return
        entries = batch(self._log.after(after.sequence, self._log.committed.sequence))
        if not self._log.holds(after) or prefers_snapshot(entries, self._log):
            self._outbox.send(sender, self._source.offer(after, self._outbox.now))
            return
        self._outbox.send(sender, wire.Fetched(after, entries))

    def on_snapshot_request(self, sender: str, message: wire.SnapshotRequest, now: float) -> None:
        """Sends a part of a snapshot."""
        self._outbox.send(sender, self._source.part(Stamp(*message.stamp), message.offset, now))
