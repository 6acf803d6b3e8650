"""The replicated log of one replica: a committed state, and the entries around and after it."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from pebbledrift.chain.messages import NO_STAMP, Entry, Snapshot, Stamp
from pebbledrift.control.orders import Check, ConfigurationState

MAX_RETAINED_BYTES = 2 * 1024 * 1024  # bodies of entries retained so that lagging replicas can catch up
MAX_RETAINED_ENTRIES = 256
MAX_TRACKED_SEQUENCES = 512


class PendingEntries:
    """Tracks how long the oldest uncommitted entry has been in a log."""

    def __init__(self) -> None:
        self._uncommitted: deque[tuple[int, float]] = deque()  # sequence, and time by which it was in the log

    def note(self, last: int, committed: int, now: float) -> None:
        """Records the last and the committed sequence of the log.

        For entries that were in the log before the process started `now` is negative infinity.
        """
        is_new = last > committed and (not self._uncommitted or last > self._uncommitted[-1][0])
        if is_new and len(self._uncommitted) < MAX_TRACKED_SEQUENCES:
            self._uncommitted.append((last, now))
        while self._uncommitted and self._uncommitted[0][0] <= committed:
            self._uncommitted.popleft()
        if last <= committed:
            self._uncommitted.clear()

    def age(self, now: float) -> float:
        """Age of the oldest uncommitted entry in seconds; 0 if all are committed."""
        return now - self._uncommitted[0][1] if self._uncommitted else 0.0


class InvariantViolation(AssertionError):
    """A bug was detected: continuing could lose acknowledged orders."""


def accept_any_config(config: object) -> None:
    """Accepts any configuration: the head checked the orders before it logged them."""


class ReplicatedLog:
    """Entries by sequence. Those up to `committed` are applied to `state` and never change."""

    def __init__(self) -> None:
        self.state = ConfigurationState(accept_any_config)
        self.committed: Stamp = NO_STAMP
        self.base: Stamp = NO_STAMP  # the entry before the first retained one
        self.entries: list[Entry] = []

    @property
    def last(self) -> Stamp:
        """The stamp of the newest entry."""
        return self.entries[-1].stamp if self.entries else self.base

    def _index(self, sequence: int) -> int:
        return sequence - self.base.sequence - 1

    def get(self, sequence: int) -> Entry | None:
        """The entry at a sequence, if it is retained."""
        index = self._index(sequence)
        return self.entries[index] if 0 <= index < len(self.entries) else None

    def holds(self, stamp: Stamp) -> bool:
        """Whether the entry with this stamp is retained, or directly precedes the first retained one."""
        if stamp == self.base:
            return True
        entry = self.get(stamp.sequence)
        return entry is not None and entry.stamp == stamp

    def after(self, sequence: int, until: int | None = None) -> tuple[Entry, ...]:
        """The retained entries after `sequence`, up to and including `until` if given."""
        start = max(0, self._index(sequence + 1))
        end = len(self.entries) if until is None else max(0, self._index(until + 1))
        return tuple(self.entries[start:end])

    def append(self, entry: Entry) -> None:
        """Appends the next entry; raises InvariantViolation if it does not follow the last one."""
        if entry.sequence != self.last.sequence + 1 or entry.epoch < self.last.epoch:
            raise InvariantViolation(f"entry {entry.stamp} does not follow the last entry {self.last}")
        self.entries.append(entry)

    def truncate(self, sequence: int) -> None:
        """Drops the entries after a sequence; raises InvariantViolation if one of them is committed."""
        if sequence < self.committed.sequence:
            raise InvariantViolation(
                f"truncation after sequence {sequence} would drop entries up to committed {self.committed}"
            )
        del self.entries[max(0, self._index(sequence + 1)) :]

    def commit(self, sequence: int) -> list[Entry]:
        """Applies the entries up to a sequence; returns the newly committed ones."""
        newly_committed = []
        while self.committed.sequence < min(sequence, self.last.sequence):
            entry = self.get(self.committed.sequence + 1)
            if entry is None:
                raise InvariantViolation(f"no entry follows the committed entry {self.committed}")
            if entry.order is not None:
                self.state.apply(entry.order)
            self.committed = entry.stamp
            newly_committed.append(entry)
        self._trim()
        return newly_committed

    def _trim(self) -> None:
        """Drops the oldest committed entries that exceed the retention limits."""
        retained_bytes = sum(len(entry.order.body) for entry in self.entries if entry.order is not None)
        while self.entries and self.entries[0].sequence <= self.committed.sequence:
            if retained_bytes <= MAX_RETAINED_BYTES and len(self.entries) <= MAX_RETAINED_ENTRIES:
                return
            first = self.entries.pop(0)
            self.base = first.stamp
            retained_bytes -= 0 if first.order is None else len(first.order.body)

    def snapshot(self) -> Snapshot:
        """A snapshot of the committed state."""
        config, accepted = self.state.dump()
        return Snapshot(self.committed, config, accepted)

    def restore(self, snapshot: Snapshot, entries: Iterable[Entry] = ()) -> None:
        """Replaces the log by a committed state and the entries after it."""
        self.state.restore(snapshot.config, snapshot.accepted)
        self.committed = self.base = Stamp(*snapshot.stamp)
        self.entries = []
        for entry in entries:
            self.append(entry)

    def speculative(self, check: Check) -> ConfigurationState:
        """A copy of the state with the uncommitted entries applied; `check` validates later orders."""
        state = self.state.copy(check)
        for entry in self.after(self.committed.sequence):
            if entry.order is not None:
                state.apply(entry.order)
        return state
