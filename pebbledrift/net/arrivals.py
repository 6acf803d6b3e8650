"""When the bytes that wait in a connection's buffer came. No I/O."""

from __future__ import annotations

from collections import deque

ENTRIES_MOST = 32  # beyond it neighbouring reads count as one, at the time of the earlier


class ArrivalTimes:
    """The times of reads, by the number of bytes that had come until then.

    A client's time runs from its sending, and not from when the request's turn has come.
    """

    def __init__(self) -> None:
        self._came = 0  # bytes in all
        self._reads: deque[tuple[int, float]] = deque()  # bytes in all after a read, and its time

    def came(self, count: int, now: float) -> None:
        """So many bytes have been read."""
        self._came += count
        if len(self._reads) >= ENTRIES_MOST:
            # the later bytes count as old as those before them: time is never given away
            now = self._reads.pop()[1]
        self._reads.append((self._came, now))

    def taken(self, left: int, now: float) -> float:
        """A request has been taken out and `left` bytes still wait; returns when its last byte came."""
        taken = self._came - left
        while self._reads and self._reads[0][0] < taken:
            self._reads.popleft()
        if not self._reads:
            return now
        total, at = self._reads[0]
        if total == taken:
            self._reads.popleft()
        return at
