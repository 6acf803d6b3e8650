"""The one clock: wall time read once, then the monotonic clock, so that it never goes backwards."""

from __future__ import annotations

import time


class Clock:
    """Milliseconds since the Unix epoch."""

    def __init__(self, offset: float | None = None) -> None:
        """`offset` is another process's: the processes of one node must agree on the time."""
        self.offset = time.time() - time.monotonic() if offset is None else offset

    def now_ms(self) -> float:
        """The time now; a step of the wall clock after the start does not show in it."""
        return (time.monotonic() + self.offset) * 1000.0
