"""Estimates an upper bound on the run time of a route's next request from recent requests."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Set

MAX_SAMPLES = 64
MIN_SAMPLES = 16  # with fewer samples the slowest one is not a reliable bound
MARGIN = 1.5  # factor over the slowest sample, so that a worker that has slowed down since still meets it


class RunTimes:
    """The latest run times of a route, in seconds per output token that the request declared."""

    __slots__ = ("_paces",)

    def __init__(self) -> None:
        self._paces: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record(self, tokens: float | None, seconds: float) -> None:
        """Record the run time of a served request that declared this number of output tokens."""
        self._paces.append(seconds / _effective_tokens(tokens))

    def estimate(self, tokens: float | None) -> float:
        """Returns the seconds that the next request is unlikely to exceed; infinite with too few samples."""
        if len(self._paces) < MIN_SAMPLES:
            return math.inf
        return MARGIN * max(self._paces) * _effective_tokens(tokens)


class RunTimesByRoute:
    """The run times of each route of the configuration, by its name."""

    def __init__(self) -> None:
        self._routes: dict[str, RunTimes] = {}

    def of(self, route: str) -> RunTimes:
        """The run times of a route."""
        return self._routes.setdefault(route, RunTimes())

    def retain(self, routes: Set[str]) -> None:
        """Drop the run times of all routes that a new configuration does not name."""
        self._routes = {name: times for name, times in self._routes.items() if name in routes}


def _effective_tokens(tokens: float | None) -> float:
    """Returns the declared tokens, or 1: requests that declare none are assumed to be equally long."""
    return max(1.0, tokens or 0.0)
