"""The retry budget: how many sends beyond the first of a request this router may add to a service's load."""

from __future__ import annotations

from collections import deque

SAFETY = 0.75  # share of the fleet's budget that is ever used


class RetryBudget:
    """Counts the requests of one service and the repeated sends, over the budget's window."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio, self._window, self._slack = ratio * SAFETY, window_s, slack * SAFETY
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """A request for the service has come."""
        self._requests.append(now)
        self._forget(now)

    def take(self, now: float, routers: int) -> bool:
        """Whether one more send is within the budget; if so, it is counted."""
        self._forget(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, routers)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
