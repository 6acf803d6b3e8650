"""When a node calls a service that all nodes share: by turns of the clock, less often after failures."""

from __future__ import annotations

import math


class Turns:
    """The turns of one node among many. Times are milliseconds of a clock that all nodes read alike.

    A service that works through calls one after another, and on those too that their callers have given up,
    does no useful work once more come than it can answer in time. Retries in step keep it there. So the clock
    is cut into rounds, and in a round each node has one turn, by its number: no two nodes call at once,
    without a message between them.

    A turn takes `turn_ms`, about what a call takes at a busy service, but a round no longer than `within_ms`:
    with more nodes their turns are shorter, since a service that is not busy answers faster, and a node that
    waits longer does not know what it must. Each failure but the first doubles the round, so that what fails
    for all at once comes more thinly. A small group's round is over before anybody would notice: a first
    call there is made at once.
    """

    def __init__(
        self, number: int, nodes: int, turn_ms: float, within_ms: float, at_once_ms: float, rounds_most: int
    ) -> None:
        self.turn_ms, self.within_ms = turn_ms, within_ms
        self.at_once_ms, self.rounds_most = at_once_ms, rounds_most
        self.failures = 0  # in a row
        self.follow(number, nodes)

    def follow(self, number: int, nodes: int) -> None:
        """The place among so many nodes from now on. Where two count differently they may call at once."""
        whole_ms = nodes * self.turn_ms
        self.place = number / nodes
        self.round_ms = min(whole_ms, self.within_ms)
        # the longest: the whole turns of all, or so many rounds where these are short
        self.most_ms = max(whole_ms, self.rounds_most * self.round_ms)
        self.at_once = whole_ms <= self.at_once_ms

    def wait_ms(self, now_ms: float) -> float:
        """How long the next call has to wait."""
        if self.at_once and not self.failures:
            return 0.0
        round_ms = min(self.round_ms * (1 << min(max(0, self.failures - 1), 16)), self.most_ms)
        offset_ms = self.place * round_ms
        return offset_ms + (math.floor((now_ms - offset_ms) / round_ms) + 1) * round_ms - now_ms

    def succeeded(self) -> None:
        """A call was answered."""
        self.failures = 0

    def failed(self) -> None:
        """A call was turned away, broke, or was not answered in time."""
        self.failures += 1


class AtOnce:
    """The turns of a node whose discovery answers it alone: there are none to wait for (see Turns)."""

    def follow(self, number: int, nodes: int) -> None:
        """The place among so many nodes from now on."""

    def wait_ms(self, now_ms: float) -> float:
        """How long the next call has to wait."""
        return 0.0

    def succeeded(self) -> None:
        """A call was answered."""

    def failed(self) -> None:
        """A call was not."""
