"""Occupancy reports: the slots that each node occupies at each worker. No I/O.

A datagram is a form byte, the time of sending (eight bits, in units of 64 ms) and entries of 16 bits,
big-endian: twelve bits of the worker's number and four bits for the slots that the sender occupies there.
Entries are absolute values and expire after `expiry_ms`. A datagram that is lost, duplicated, truncated or
forged can therefore affect the choice of workers only for that time. No guarantee depends on these reports.
"""

from __future__ import annotations

from collections import deque

FORM = 0x46  # differs from every datagram kind of the store
HEADER_BYTES = 2
TIMESTAMP_UNIT_MS = 64.0  # the eight-bit time of sending wraps around after 16 s
SHORT_ID_BITS, MAX_ENTRY_SLOTS = 12, 15


def short_id(worker: int) -> int:
    """Returns the bits of a worker's number that are sent; among a hundred workers, two may share them."""
    return worker & (1 << SHORT_ID_BITS) - 1


class OccupancyTable:
    """One node's table of the slots that it and its peers occupy.

    Times are in milliseconds: `now_ms` is read from this node's own clock, `common_ms` from the clock that
    all nodes share, which may be stepped. Workers are kept by their short ids.
    """

    def __init__(self, datagram_bytes: int, resend_ms: float, expiry_ms: float) -> None:
        self.max_entries = (datagram_bytes - HEADER_BYTES) // 2
        self.resend_ms = resend_ms  # occupied slots are reported again after this time
        self.expiry_ms = expiry_ms  # an entry of a peer that is not repeated within this time is dropped
        self._own_slots: dict[int, float] = {}
        # Own entries as last reported to the peers, with the time of the report.
        self._reported: dict[int, tuple[int, float]] = {}
        self._pending: dict[int, None] = {}  # own entries to report, in this order
        # By peer and worker: the occupied slots and the time of receipt.
        self._peer_slots: dict[tuple[int, int], tuple[int, float]] = {}
        self._latest_sent_at: dict[int, float] = {}  # by peer: sending time of its newest datagram
        self._expiry_queue: deque[tuple[float, tuple[int, int]]] = deque()
        self._peer_totals: dict[int, int] = {}
        self._workers: dict[int, set[int]] = {}  # full worker numbers by short id
        self._changed: set[int] = set()

    # -- slots that this node occupies

    def add_slots(self, worker: int, slots: float) -> None:
        """Adds to the slots that this node occupies at a worker; `slots` may be negative."""
        worker_id = short_id(worker)
        occupied = max(0.0, self._own_slots.get(worker_id, 0.0) + slots)
        if occupied:
            self._own_slots[worker_id] = occupied
        else:
            self._own_slots.pop(worker_id, None)
        self._pending[worker_id] = None

    @property
    def has_reported_slots(self) -> bool:
        """Whether any entry was last reported to the peers as occupied."""
        return bool(self._reported)

    def next_datagram(self, now_ms: float, common_ms: float) -> bytes | None:
        """Returns the next datagram to send, or None. Call it again until it returns None."""
        for worker_id, (_, reported_at) in self._reported.items():
            if now_ms - reported_at >= self.resend_ms:
                self._pending[worker_id] = None
        entries = b""
        while self._pending and len(entries) < 2 * self.max_entries:
            worker_id = next(iter(self._pending))
            del self._pending[worker_id]
            slots = min(round(self._own_slots.get(worker_id, 0.0)), MAX_ENTRY_SLOTS)
            if self._reported.get(worker_id, (0, 0.0))[0] == 0 == slots:
                continue  # the slots were occupied and released between two datagrams
            if slots:
                self._reported[worker_id] = slots, now_ms
            else:
                del self._reported[worker_id]
            entries += (worker_id << 4 | slots).to_bytes(2, "big")
        if not entries:
            return None
        return bytes([FORM, int(common_ms / TIMESTAMP_UNIT_MS) & 0xFF]) + entries

    def own_slots(self, worker: int) -> float:
        """Returns the slots that this node occupies at a worker."""
        return self._own_slots.get(short_id(worker), 0.0)

    def total_slots(self, worker: int) -> float:
        """Returns the slots that all nodes occupy at a worker, by the reports received so far."""
        return self.own_slots(worker) + self._peer_totals.get(short_id(worker), 0)

    # -- slots that the peers occupy

    def add_worker(self, worker: int) -> None:
        """Includes a worker in the results of `take_changes`."""
        self._workers.setdefault(short_id(worker), set()).add(worker)
        if self._peer_totals.get(short_id(worker)):
            self._changed.add(short_id(worker))

    def remove_worker(self, worker: int) -> None:
        """Excludes a worker from the results of `take_changes`."""
        same_id = self._workers.get(short_id(worker), set())
        same_id.discard(worker)
        if not same_id:
            self._workers.pop(short_id(worker), None)

    def receive(self, peer: int, data: bytes, now_ms: float, common_ms: float) -> None:
        """Applies a peer's datagram; outdated and reordered ones are ignored.

        Raises ValueError if the datagram is malformed.
        """
        if len(data) < HEADER_BYTES or data[0] != FORM or (len(data) - HEADER_BYTES) % 2:
            raise ValueError("malformed occupancy report")
        age = ((int(common_ms / TIMESTAMP_UNIT_MS) - data[1] + 0x80) & 0xFF) - 0x80
        sent_at_ms = common_ms - age * TIMESTAMP_UNIT_MS
        # Ignores datagrams that are seconds late and those of a peer whose clock is ahead of this node's.
        if abs(age) * TIMESTAMP_UNIT_MS > self.expiry_ms:
            return
        # A datagram that is older than the latest one by more than `expiry_ms` was not reordered: the common
        # clock was stepped back.
        if TIMESTAMP_UNIT_MS < self._latest_sent_at.get(peer, 0.0) - sent_at_ms <= self.expiry_ms:
            return
        self._latest_sent_at[peer] = sent_at_ms
        for offset in range(HEADER_BYTES, len(data), 2):
            entry = int.from_bytes(data[offset : offset + 2], "big")
            self._set((peer, entry >> 4), entry & MAX_ENTRY_SLOTS, now_ms)

    def _set(self, key: tuple[int, int], slots: int, now_ms: float) -> None:
        before = self._peer_slots.pop(key, (0, 0.0))[0]
        if slots:
            self._peer_slots[key] = slots, now_ms
            self._expiry_queue.append((now_ms, key))
        if slots != before:
            total = self._peer_totals[key[1]] = self._peer_totals.get(key[1], 0) + slots - before
            if not total:
                del self._peer_totals[key[1]]
            self._changed.add(key[1])

    def take_changes(self, now_ms: float) -> list[tuple[int, float]]:
        """Returns the slots that peers occupy, by worker, where they changed since the last call."""
        while self._expiry_queue and now_ms - self._expiry_queue[0][0] > self.expiry_ms:
            received_at, key = self._expiry_queue.popleft()
            if self._peer_slots.get(key, (0, 0.0))[1] == received_at:
                self._set(key, 0, now_ms)
        changed, self._changed = self._changed, set()
        return [(w, float(self._peer_totals.get(n, 0))) for n in changed for w in self._workers.get(n, ())]
