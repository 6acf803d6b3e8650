"""The retry budget: limits how many repeated sends this router adds to the load of a service."""

from __future__ import annotations

from collections import deque

USED_SHARE = 0.75  # share of the configured budget that the routers use, as a safety margin


class RetryBudget:
    """Counts the requests and repeated sends of one service over a sliding window.

    Within `window_s` seconds, a router may repeat `ratio` times the number of its requests, plus its equal
    part of `slack`, which is a number of sends for the whole fleet.
    """

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio, self._window_s, self._slack = ratio * USED_SHARE, window_s, slack * USED_SHARE
        self._requests: deque[float] = deque()
        self._repeated_sends: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a new request to the service."""
        self._requests.append(now)
        self._drop_expired(now)

    def take(self, now: float, routers: int) -> bool:
        """Returns whether one more repeated send is within the budget, and counts it if so."""
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, routers)
        if len(self._repeated_sends) + 1 > allowed:
            return False
        self._repeated_sends.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._repeated_sends):
            while times and now - times[0] > self._window_s:
                times.popleft()
