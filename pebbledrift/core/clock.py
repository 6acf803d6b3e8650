"""The process clock: wall time read once at the start, then advanced by the monotonic clock."""

from __future__ import annotations

import time


class Clock:
    """A clock in milliseconds since the Unix epoch that never goes backwards.

    Intervals are measured with `now_ms`. Times that must agree with other machines use `common_ms`.
    """

    def __init__(self, offset: float | None = None) -> None:
        """`offset` (seconds) comes from another process, because the processes of a node share one time."""
        self.offset = time.time() - time.monotonic() if offset is None else offset

    def now_ms(self) -> float:
        """Returns the current time. Steps of the wall clock after the start do not affect it."""
        return (time.monotonic() + self.offset) * 1000.0

    def ahead_ms(self) -> float:
        """Returns how far the wall clock is ahead of `now_ms`. It changes when the wall clock is stepped."""
        return self.common_ms() - self.now_ms()

    def common_ms(self) -> float:
        """Returns the wall clock, which all machines share. It may be stepped, so it measures no interval."""
        return time.time() * 1000.0
