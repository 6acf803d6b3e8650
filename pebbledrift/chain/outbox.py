"""What a replica wants done: messages to send, and records to sync before it goes on."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from pebbledrift.chain.messages import Record

Continuation = Callable[[], None]


class Envelope(NamedTuple):
    """A message and the address that it goes to."""

    address: str
    message: Any


class Write(NamedTuple):
    """Records that have to be synced, in order, after all writes before them."""

    number: int
    records: tuple[Record, ...]


class Outbox:
    """Collects sends and writes; the driver takes them, and reports each write once it is synced."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.envelopes: list[Envelope] = []
        self.writes: list[Write] = []
        self._waiting: deque[tuple[int, float, Continuation | None]] = deque()
        self._number = 0
        self.now = 0.0

    def send(self, address: str, message: Any) -> None:
        """Send a message; one to ourselves goes the same way."""
        self.envelopes.append(Envelope(address, message))

    def persist(self, *records: Record, then: Continuation | None = None) -> None:
        """Sync records, and then go on. Without records: go on once all before is synced."""
        self._number += 1
        self.writes.append(Write(self._number, records))
        self._waiting.append((self._number, self.now, then))

    def synced(self, number: int) -> None:
        """All writes up to this one are on the disk."""
        while self._waiting and self._waiting[0][0] <= number:
            then = self._waiting.popleft()[2]
            if then is not None:
                then()

    def oldest_write_age(self, now: float) -> float:
        """For how long the oldest write has been under way."""
        return now - self._waiting[0][1] if self._waiting else 0.0

    def take_envelopes(self) -> list[Envelope]:
        """The messages to be sent now."""
        taken, self.envelopes = self.envelopes, []
        return taken

    def take_writes(self) -> list[Write]:
        """The writes to be begun now."""
        taken, self.writes = self.writes, []
        return taken
