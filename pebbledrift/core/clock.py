"""The one clock: wall time read once, then the monotonic clock, so that it never goes backwards."""

from __future__ import annotations

import time


class Clock:
    """Milliseconds since the Unix epoch, as they were at the start.

    All spans of time are measured by `now_ms`. What has to agree with other machines uses `common_ms`.
    """

    def __init__(self, offset: float | None = None) -> None:
        """`offset` is another process's: the processes of one node must agree on the time."""
        self.offset = time.time() - time.monotonic() if offset is None else offset

    def now_ms(self) -> float:
        """The time now; a step of the wall clock after the start does not show in it."""
        return (time.monotonic() + self.offset) * 1000.0

    def ahead_ms(self) -> float:
        """How far the wall clock, which all machines read alike, is ahead of this one: it may be stepped."""
        return self.common_ms() - self.now_ms()

    def common_ms(self) -> float:
        """The wall clock, which all machines read alike. It may be stepped: no span is measured by it."""
        return time.time() * 1000.0
