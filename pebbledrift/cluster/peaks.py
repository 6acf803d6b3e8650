"""Maximum of recently reported counts."""

from __future__ import annotations


class RecentPeak:
    """Estimates a count from reports that may be too low, by keeping the largest one of a time span.

    Reports are too low when the process that sends them does not know all members yet.
    """

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._peak_at = 0.0
        self.value = 0

    def note(self, count: int, now: float) -> None:
        """Add a reported count; `now` is in seconds.

        A smaller count replaces the peak only after the peak has not been reported for the time span.
        """
        if count >= self.value or now - self._peak_at > self._span_s:
            self.value, self._peak_at = count, now
