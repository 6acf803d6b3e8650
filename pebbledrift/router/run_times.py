"""How long requests of a route take, by the tokens that they declare: an upper estimate for the next one."""

from __future__ import annotations

import math
from collections import deque

SAMPLES = 64
SAMPLES_LEAST = 16  # fewer say too little of the slowest
MARGIN = 1.5  # over the slowest of them: a worker that has become slower since must still be in time


class RunTimes:
    """The latest run times of a route, in seconds for each token that a request may be answered with."""

    __slots__ = ("_paces",)

    def __init__(self) -> None:
        self._paces: deque[float] = deque(maxlen=SAMPLES)

    def note(self, tokens: float | None, seconds: float) -> None:
        """A request that declared so many tokens was served in so long."""
        self._paces.append(seconds / _units(tokens))

    def estimate(self, tokens: float | None) -> float:
        """A time that the next request will hardly exceed, in seconds; infinite where too little is known."""
        if len(self._paces) < SAMPLES_LEAST:
            return math.inf
        return MARGIN * max(self._paces) * _units(tokens)


def _units(tokens: float | None) -> float:
    """Requests that declare nothing are taken to be of one length."""
    return max(1.0, tokens or 0.0)
