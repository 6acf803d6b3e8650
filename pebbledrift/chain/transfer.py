"""Transfer of snapshots in parts. No I/O.

The receiver requests one part at a time, and resumes after a lost connection where it stopped.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import NO_STAMP, Snapshot, SnapshotPart, SnapshotRequest, Stamp
from pebbledrift.cluster import codec
from pebbledrift.cluster.errors import MessageError

PART_BYTES = 32 * 1024
MAX_ENCODED_BYTES = codec.MAX_FRAME_BYTES
MAX_DECODED_BYTES = 2 * codec.MAX_FRAME_BYTES
MAX_CACHED_SNAPSHOTS = 3
CACHE_TTL_S = 10.0  # an encoded snapshot is kept for this time after the last request for it
COMPRESSION_LEVEL = 1
# Retry intervals of a request for a part; slow links need 0.7 s for one.
RETRY_S, RETRY_GROWTH, MAX_RETRY_S = (
    1.2,
    2.0,
    9.0,
)
STALL_TIMEOUT_S = 0.8  # a source that has sent no part for this time may be down
# A stalled source is replaced this long after the first offer of another one: it may only be cut off briefly.
FAILOVER_DELAY_S = 0.6

Send = Callable[[str, Any], None]


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encodes and compresses a snapshot for the wire."""
    return zlib.compress(codec.encode(snapshot), COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decodes a snapshot; raises MessageError if the data is not a complete snapshot of acceptable size."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_DECODED_BYTES)
    except zlib.error as error:
        raise MessageError(f"snapshot cannot be decompressed: {error}") from error
    if not decompressor.eof:
        raise MessageError("snapshot is truncated or too large")
    snapshot = codec.decode(body)
    if not isinstance(snapshot, Snapshot):
        raise MessageError(f"snapshot expected, received {type(snapshot).__name__}")
    return snapshot


@dataclass(slots=True)
class CachedSnapshot:
    """An encoded snapshot, and when a part of it was last requested, in seconds of the local clock."""

    stamp: Stamp
    data: bytes
    requested_at: float

    def part(self, offset: int) -> SnapshotPart:
        """The part at an offset, or the first one if there is none at that offset."""
        start = offset if 0 <= offset < len(self.data) else 0
        return SnapshotPart(self.stamp, len(self.data), start, self.data[start : start + PART_BYTES])


class SnapshotSource:
    """Serves encoded snapshots of the committed state, each to all its requesters while it remains usable.

    Several are kept, so that a replica on a slow link can finish one while others are sent a newer one.
    """

    def __init__(self, log: ReplicatedLog) -> None:
        self._log = log
        self.cached: list[CachedSnapshot] = []  # oldest state first

    def offer(self, after: Stamp, now: float) -> SnapshotPart:
        """An empty part that offers a snapshot newer than `after`, which its receiver has already.

        Nothing newer than the committed state is offered.
        """
        snapshot = self._newest_usable()
        if snapshot is None or snapshot.stamp.sequence <= after.sequence:
            snapshot = self._encode_committed(now)
        snapshot.requested_at = now
        return SnapshotPart(snapshot.stamp, len(snapshot.data), 0, b"")

    def part(self, stamp: Stamp, offset: int, now: float) -> SnapshotPart:
        """A part of the snapshot with this stamp, or the first part of another one if it is not cached."""
        requested = next((snapshot for snapshot in self.cached if snapshot.stamp == stamp), None)
        snapshot = requested or self._newest_usable() or self._encode_committed(now)
        snapshot.requested_at = now
        return snapshot.part(offset if snapshot is requested else 0)

    def _newest_usable(self) -> CachedSnapshot | None:
        """The newest cached snapshot, if the log still has the entries after it."""
        newest = self.cached[-1] if self.cached else None
        return newest if newest is not None and self._log.holds(newest.stamp) else None

    def _encode_committed(self, now: float) -> CachedSnapshot:
        """Adds a snapshot of the committed state; it takes the place of the least recently requested one."""
        if self.cached and self.cached[-1].stamp == self._log.committed:
            return self.cached[-1]
        snapshot = CachedSnapshot(self._log.committed, encode_snapshot(self._log.snapshot()), now)
        self.cached.append(snapshot)
        if len(self.cached) > MAX_CACHED_SNAPSHOTS:
            self.cached.remove(min(self.cached[:-1], key=lambda cached: cached.requested_at))
        return snapshot

    def tick(self, now: float) -> None:
        """Drops cached snapshots that were not requested for CACHE_TTL_S."""
        self.cached = [cached for cached in self.cached if now - cached.requested_at <= CACHE_TTL_S]


class SnapshotFetch:
    """Collects the parts of one snapshot from one source at a time, with one outstanding request."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self._source = ""
        self._stamp: Stamp = NO_STAMP
        self._size = 0
        self._buffer = bytearray()
        self._retry_s = RETRY_S
        self._retry_at = 0.0
        self._last_part_at = 0.0
        self._other_offer_since: float | None = None  # first offer of another source since the last part

    @property
    def active(self) -> bool:
        """Whether a snapshot is being transferred."""
        return bool(self._source)

    def stalled(self, now: float) -> bool:
        """Whether no part has arrived for STALL_TIMEOUT_S: the source may be down."""
        return self.active and now - self._last_part_at > STALL_TIMEOUT_S

    def stop(self) -> None:
        """Ends the transfer and drops the parts received so far."""
        self._source, self._stamp, self._size = "", NO_STAMP, 0
        self._buffer = bytearray()

    def receive(self, sender: str, part: SnapshotPart, now: float) -> Snapshot | None:
        """Processes a part; returns the snapshot once complete. Raises MessageError if it is invalid."""
        stamp = Stamp(*part.stamp)
        if not part.data:
            self._on_offer(sender, stamp, part.size, now)
            return None
        if sender != self._source:
            return None
        if stamp != self._stamp and part.offset == 0:
            self._start(sender, stamp, part.size)
        if stamp != self._stamp or part.offset != len(self._buffer):
            return None
        return self._append(part.data, now)

    def _append(self, data: bytes, now: float) -> Snapshot | None:
        self._buffer += data
        self._last_part_at, self._retry_s, self._other_offer_since = now, RETRY_S, None
        if len(self._buffer) < self._size:
            self._request_part(now)
            return None
        encoded = bytes(self._buffer)
        self.stop()
        return decode_snapshot(encoded)

    def _on_offer(self, sender: str, stamp: Stamp, size: int, now: float) -> None:
        """Starts a transfer, or switches to another source that offers while the current one is stalled."""
        if self.active and not self._may_switch_to(sender, stamp, now):
            return
        if stamp == self._stamp:
            self._source = sender  # the same snapshot: the parts received so far remain valid
        else:
            self._start(sender, stamp, size)
        self._last_part_at, self._other_offer_since = now, None
        self._request_part(now)

    def _may_switch_to(self, sender: str, stamp: Stamp, now: float) -> bool:
        if sender == self._source:
            return stamp != self._stamp
        if self._other_offer_since is None:
            self._other_offer_since = now
        return self.stalled(now) and now - self._other_offer_since >= FAILOVER_DELAY_S

    def _start(self, sender: str, stamp: Stamp, size: int) -> None:
        if not 0 < size <= MAX_ENCODED_BYTES:
            raise MessageError(f"snapshot size of {size} bytes is not allowed")
        self.stop()
        self._source, self._stamp, self._size = sender, stamp, size

    def connection_opened(self, address: str, now: float) -> None:
        """Repeats the request if the source is reachable again."""
        if address == self._source:
            self._retry_s = RETRY_S
            self._request_part(now)

    def tick(self, now: float) -> None:
        """Repeats an unanswered request at growing intervals, and gives up once MAX_RETRY_S is reached."""
        if not self.active or now < self._retry_at:
            return
        if self._retry_s >= MAX_RETRY_S:
            self.stop()  # the source is down: the next replica that announces a newer state is asked
            return
        self._retry_s = min(MAX_RETRY_S, RETRY_GROWTH * self._retry_s)
        self._request_part(now)

    def connection_lost(self, address: str) -> None:
        """Makes the next tick repeat the request, which may have been lost with the connection."""
        if address == self._source:
            self._retry_at, self._retry_s = 0.0, RETRY_S

    def _request_part(self, now: float) -> None:
        self._retry_at = now + self._retry_s
        self._send(self._source, SnapshotRequest(self._stamp, len(self._buffer)))
