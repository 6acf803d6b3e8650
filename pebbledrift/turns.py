"""When a node calls a service that all nodes share: by turns of the clock, less often after failures."""

from __future__ import annotations

import math


class Turns:
    """The turns of one node among many. Times are milliseconds of a clock that all nodes read alike.

    A service that works through calls one after another, and on those too that their callers have given up,
    does no useful work once more come than it can answer in time. Retries in step keep it there. So the clock
    is cut into turns of `turn_ms`, about what one call takes; in a round each node has one, by its number.
    No two nodes call at once, without a message between them. A small group's round is over before anybody
    would notice: a first call there is made at once.
    """

    def __init__(self, number: int, nodes: int, turn_ms: float, at_once_ms: float, rounds_most: int) -> None:
        self.offset_ms = number * turn_ms
        self.round_ms = nodes * turn_ms
        self.at_once = self.round_ms <= at_once_ms
        self.rounds_most = rounds_most
        self.failures = 0  # in a row

    def wait_ms(self, now_ms: float) -> float:
        """How long the next call has to wait."""
        if self.at_once and not self.failures:
            return 0.0
        # each failure but the first doubles the rounds: what fails for all at once then comes more thinly
        rounds: int = min(1 << min(max(0, self.failures - 1), 16), self.rounds_most)
        begun = math.floor((now_ms - self.offset_ms) / self.round_ms)
        return self.offset_ms + (begun + rounds) * self.round_ms - now_ms

    def succeeded(self) -> None:
        """A call was answered."""
        self.failures = 0

    def failed(self) -> None:
        """A call was turned away, broke, or was not answered in time."""
        self.failures += 1
