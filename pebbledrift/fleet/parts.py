"""Free-slot reports between the parts (partitions) of a large fleet. No I/O.

Occupancy of a worker is reported only to the nodes of its part (docs/large-fleet.md). A node whose own part
is full looks for workers in the other parts. Without these reports it would know only what it sent there
itself, and 160 nodes would choose the same workers at once. So the nodes of a part take time slices, by their
number and the common clock, in which they report to all nodes outside the part how many slots are free at the
workers of the part that have the most free slots.

A datagram is a form byte, the time of sending (eight bits, in units of 64 ms) and entries of 16 bits,
big-endian: twelve bits of the worker's number and four bits for its free slots. A worker without an entry has
no free slots. As with occupancy reports, a datagram that is lost, late or forged affects the choice of
workers only for a while, and no guarantee depends on it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from pebbledrift.fleet.fills import HEADER_BYTES, MAX_ENTRY_SLOTS, TIMESTAMP_UNIT_MS, short_id
from spoolpier.hashing import mix

FORM = 0x52  # differs from every other kind of peer datagram
MAX_ENTRIES = 16  # enough free workers to choose from; more would only add traffic
NO_FREE_SLOTS = 1e6  # reported as occupied by others where a worker has no slot for this node


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker by its entry in the worker list."""

    worker: int
    slots: float
    warm: bool  # False: the budget for cold workers limits it, and no other limit is needed


@dataclass(slots=True)
class _PartReport:
    """The latest report of one part."""

    sent_at_ms: float
    timestamp: int
    free: dict[int, int]


class RemoteParts:
    """One node's view of the parts that it does not belong to.

    Times are in milliseconds of the clock that all nodes share. If it is stepped, reports from before the
    step count as outdated.
    """

    def __init__(
        self, me: int, nodes: int, parts: int, interval_ms: float, expiry_ms: float, offers: int
    ) -> None:
        self.me, self.nodes, self.parts = me, nodes, parts
        self.interval_ms = interval_ms  # between two reports of one part
        self.expiry_ms = expiry_ms
        self.offers = offers  # number of nodes to which a free slot is offered, as not every node needs one
        self.part = me % parts
        self._reports: dict[int, _PartReport] = {}
        self._changed = set(range(parts)) - {self.part}

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time in ms until this node's next time slice for reporting on its part."""
        members = len(range(self.part, self.nodes, self.parts))
        round_ms = members * self.interval_ms
        slice_start_ms = self.me // self.parts * self.interval_ms
        return (slice_start_ms - now_ms) % round_ms or round_ms

    def encode_report(self, now_ms: float, free: Iterable[tuple[int, float]]) -> bytes:
        """Returns the report of this node's part; `free` has pairs of a worker and its free slots."""
        ranked = [(slots, worker) for worker, slots in free if slots >= 1]
        ranked.sort(reverse=True)
        entries = [short_id(w) << 4 | min(int(slots), MAX_ENTRY_SLOTS) for slots, w in ranked[:MAX_ENTRIES]]
        return bytes([FORM, int(now_ms / TIMESTAMP_UNIT_MS) & 0xFF]) + b"".join(
            e.to_bytes(2, "big") for e in entries
        )

    def receive(self, peer: int, data: bytes, now_ms: float) -> None:
        """Applies a peer's report on its part; outdated and reordered ones are ignored.

        Raises ValueError if the datagram is malformed.
        """
        if len(data) < HEADER_BYTES or data[0] != FORM or (len(data) - HEADER_BYTES) % 2:
            raise ValueError("malformed free-slot report")
        part = peer % self.parts
        if part == self.part:
            return
        age = ((int(now_ms / TIMESTAMP_UNIT_MS) - data[1] + 0x80) & 0xFF) - 0x80
        sent_at_ms = now_ms - age * TIMESTAMP_UNIT_MS
        before = self._reports.get(part)
        # Ignores reports that are seconds late and those of a peer whose clock is ahead of this node's.
        reordered = (
            before is not None and TIMESTAMP_UNIT_MS < before.sent_at_ms - sent_at_ms <= self.expiry_ms
        )
        if reordered or abs(now_ms - sent_at_ms) > self.expiry_ms:
            return
        entries = [int.from_bytes(data[i : i + 2], "big") for i in range(HEADER_BYTES, len(data), 2)]
        free = {entry >> 4: entry & MAX_ENTRY_SLOTS for entry in entries}
        self._reports[part] = _PartReport(sent_at_ms, data[1], free)
        self._changed.add(part)

    def mark_changed(self, part: int) -> None:
        """Includes a part in the next `take_changes`, as its entries in the worker list have changed."""
        if part != self.part:
            self._changed.add(part)

    def take_changes(
        self,
        now_ms: float,
        listed_workers: Callable[[int], Iterable[ListedWorker]],
        own_slots: Callable[[int], float],
    ) -> Mapping[int, float]:
        """Returns the slots that others occupy, by worker, for parts that have changed since the last call.

        `listed_workers` returns the workers of a part. `own_slots` returns the slots that this node occupies
        at a worker; the reports include them, and they must not count twice. A worker of a part without a
        recent report is assumed to have one free slot.
        """
        for part, report in list(self._reports.items()):
            if abs(now_ms - report.sent_at_ms) > self.expiry_ms:
                del self._reports[part]
                self._changed.add(part)
        if not self._changed:
            return {}
        changed, self._changed = self._changed, set()
        occupied: dict[int, float] = {}
        for listed, latest in [
            (w, self._reports.get(part)) for part in sorted(changed) for w in listed_workers(part)
        ]:
            if not listed.warm:
                occupied[listed.worker] = 0.0
            elif latest is None:
                occupied[listed.worker] = max(0.0, listed.slots - 1)
            else:
                free = latest.free.get(short_id(listed.worker), 0)
                if free and self._is_offered(listed.worker, latest.timestamp, free):
                    occupied[listed.worker] = max(0.0, listed.slots - free - own_slots(listed.worker))
                else:
                    occupied[listed.worker] = NO_FREE_SLOTS
        return occupied

    def _is_offered(self, worker: int, timestamp: int, free: int) -> bool:
        """Returns whether a worker's free slots are offered to this node.

        All nodes receive the same report at the same time and must not all choose the same slots.
        """
        outside = self.nodes - math.ceil(self.nodes / self.parts)
        return mix(worker ^ mix(self.me + 1) ^ mix(timestamp)) % max(1, outside) < free * self.offers
