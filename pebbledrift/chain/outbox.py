"""Pending output of a replica: messages to send, and records to sync before it continues."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from pebbledrift.chain.messages import Record

Continuation = Callable[[], None]


class Envelope(NamedTuple):
    """A message and its destination address."""

    address: str
    message: Any


class Write(NamedTuple):
    """Records to sync in order, after all earlier writes."""

    number: int
    records: tuple[Record, ...]


class Outbox:
    """Collects messages and writes. The driver takes them, and reports each write once it is synced."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.envelopes: list[Envelope] = []
        self.writes: list[Write] = []
        self._unsynced: deque[tuple[int, float, Continuation | None]] = deque()
        self._last_number = 0
        self.now = 0.0

    def send(self, address: str, message: Any) -> None:
        """Queues a message; the address may be the replica's own."""
        self.envelopes.append(Envelope(address, message))

    def persist(self, *records: Record, then: Continuation | None = None) -> None:
        """Queues records to sync. `then` runs once these and all earlier writes are synced."""
        self._last_number += 1
        self.writes.append(Write(self._last_number, records))
        self._unsynced.append((self._last_number, self.now, then))

    def synced(self, number: int) -> None:
        """Runs the continuations of all writes up to this number, which are on disk."""
        while self._unsynced and self._unsynced[0][0] <= number:
            then = self._unsynced.popleft()[2]
            if then is not None:
                then()

    def oldest_write_age(self, now: float) -> float:
        """Seconds since the oldest unsynced write was queued; 0 if there is none."""
        return now - self._unsynced[0][1] if self._unsynced else 0.0

    def take_envelopes(self) -> list[Envelope]:
        """Removes and returns the queued messages."""
        taken, self.envelopes = self.envelopes, []
        return taken

    def take_writes(self) -> list[Write]:
        """Removes and returns the queued writes."""
        taken, self.writes = self.writes, []
        return taken
