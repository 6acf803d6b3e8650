"""Snapshots in parts: the receiver asks for one at a time, and goes on where it was after a break. No I/O."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import NO_STAMP, Snapshot, SnapshotPart, SnapshotRequest, Stamp
from pebbledrift.cluster import codec
from pebbledrift.cluster.errors import MessageError

PART_BYTES = 32 * 1024
ENCODED_MOST = codec.MAX_FRAME_BYTES
DECODED_MOST = 2 * codec.MAX_FRAME_BYTES
KEPT_S = 10.0  # an image is kept for so long after the last part was asked for
COMPRESSION_LEVEL = 1
AGAIN_S, AGAIN_GROWTH, AGAIN_MOST_S = (
    1.2,
    2.0,
    9.0,
)  # until a part is asked for again; slow links take 0.7 s
STALLED_S = 0.8  # a source that has told no part for so long may be gone
RIVAL_S = 0.6  # and so long another one offers before ours is given up: it may only have been cut off

Send = Callable[[str, Any], None]


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """The bytes that go over the wire."""
    return zlib.compress(codec.encode(snapshot), COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> Snapshot:
    """A snapshot from its bytes; raises MessageError on anything else."""
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(data, DECODED_MOST)
    except zlib.error as error:
        raise MessageError(f"snapshot: {error}") from error
    if not inflater.eof:
        raise MessageError("snapshot: cut short or too large")
    snapshot = codec.decode(body)
    if not isinstance(snapshot, Snapshot):
        raise MessageError(f"snapshot: found {type(snapshot).__name__}")
    return snapshot


class SnapshotSource:
    """Hands out one encoded image of the committed state, the same to all that ask while it is of use."""

    def __init__(self, log: ReplicatedLog) -> None:
        self._log = log
        self._stamp: Stamp = NO_STAMP
        self._data = b""
        self._asked_at = 0.0

    def offer(self, now: float) -> SnapshotPart:
        """Tell somebody that lacks entries which are not kept any more that there is a snapshot."""
        first = self.part(NO_STAMP, 0, now)
        return SnapshotPart(first.stamp, first.size, 0, b"")

    def part(self, stamp: Stamp, offset: int, now: float) -> SnapshotPart:
        """A part of the image with this stamp; the first one of another image where it is not kept."""
        if not self._data or (stamp != self._stamp and not self._log.holds(self._stamp)):
            self._data = encode_snapshot(self._log.snapshot())
            self._stamp = self._log.committed
        self._asked_at = now
        if stamp != self._stamp or not 0 <= offset < len(self._data):
            offset = 0
        return SnapshotPart(self._stamp, len(self._data), offset, self._data[offset : offset + PART_BYTES])

    def tick(self, now: float) -> None:
        """Let go of an image that nobody asks for any more."""
        if self._data and now - self._asked_at > KEPT_S:
            self._data, self._stamp = b"", NO_STAMP


class SnapshotFetch:
    """Collects the parts of one snapshot from one source at a time, with one request under way."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self._source = ""
        self._stamp: Stamp = NO_STAMP
        self._size = 0
        self._buffer = bytearray()
        self._wait_s = AGAIN_S
        self._again_at = 0.0
        self._taken_at = 0.0
        self._rival_since: float | None = None  # another source has offered since, and ours has told nothing

    @property
    def active(self) -> bool:
        """Whether a snapshot is under way."""
        return bool(self._source)

    def stalled(self, now: float) -> bool:
        """Whether no part has come for long: its source may be gone."""
        return self.active and now - self._taken_at > STALLED_S

    def stop(self) -> None:
        """Forget what has come."""
        self._source, self._stamp, self._size = "", NO_STAMP, 0
        self._buffer = bytearray()

    def take(self, sender: str, part: SnapshotPart, now: float) -> Snapshot | None:
        """Take a part in; returns the snapshot once it is whole. Raises MessageError on what is none."""
        stamp = Stamp(*part.stamp)
        if not part.data:
            self._on_offer(sender, stamp, part.size, now)
            return None
        if sender != self._source:
            return None
        if stamp != self._stamp and part.offset == 0:
            self._begin(sender, stamp, part.size)
        if stamp != self._stamp or part.offset != len(self._buffer):
            return None
        return self._append(part.data, now)

    def _append(self, data: bytes, now: float) -> Snapshot | None:
        self._buffer += data
        self._taken_at, self._wait_s, self._rival_since = now, AGAIN_S, None
        if len(self._buffer) < self._size:
            self._ask(now)
            return None
        whole = bytes(self._buffer)
        self.stop()
        return decode_snapshot(whole)

    def _on_offer(self, sender: str, stamp: Stamp, size: int, now: float) -> None:
        """Begin with a source, or go over to another one where ours is silent while the other offers."""
        if self.active and not self._may_take_over(sender, stamp, now):
            return
        if stamp == self._stamp:
            self._source = sender  # it has the same image: what has come of it is kept
        else:
            self._begin(sender, stamp, size)
        self._taken_at, self._rival_since = now, None
        self._ask(now)

    def _may_take_over(self, sender: str, stamp: Stamp, now: float) -> bool:
        if sender == self._source:
            return stamp != self._stamp
        if self._rival_since is None:
            self._rival_since = now
        return self.stalled(now) and now - self._rival_since >= RIVAL_S

    def _begin(self, sender: str, stamp: Stamp, size: int) -> None:
        if not 0 < size <= ENCODED_MOST:
            raise MessageError(f"snapshot: {size} bytes")
        self.stop()
        self._source, self._stamp, self._size = sender, stamp, size

    def connection_opened(self, address: str, now: float) -> None:
        """The source can be reached again: go on with it."""
        if address == self._source:
            self._wait_s = AGAIN_S
            self._ask(now)

    def tick(self, now: float) -> None:
        """Ask again for a part that has not come, with growing patience."""
        if not self.active or now < self._again_at:
            return
        if self._wait_s >= AGAIN_MOST_S:
            self.stop()  # the source is gone: whoever tells of a newer state is asked next
            return
        self._wait_s = min(AGAIN_MOST_S, AGAIN_GROWTH * self._wait_s)
        self._ask(now)

    def connection_lost(self, address: str) -> None:
        """What was under way may be lost: ask again at the next tick."""
        if address == self._source:
            self._again_at, self._wait_s = 0.0, AGAIN_S

    def _ask(self, now: float) -> None:
        self._again_at = now + self._wait_s
        self._send(self._source, SnapshotRequest(self._stamp, len(self._buffer)))
