"""Until when the list of workers may be relied on, from what was heard of discovery. No I/O.

A drain counts as told some time after it was, whether its news arrived or not (PROTOCOL, "Figures"; WIRE,
`must_ask_in_ms`). A node that cannot know by then that its list is current must send nothing: any worker
may be the one that drains. Times are milliseconds of one clock.
"""

from __future__ import annotations

import math


class Reliance:
    """What one node knows of how old its list may be."""

    def __init__(self, told_ms: float, ask_ms: float) -> None:
        self.told_ms = told_ms  # of an open watch: news count as told this long after the change
        self.ask_ms = ask_ms  # of a node that neither watches nor asks, and
        self.failed_ms = 4 * ask_ms  # of one whose call failed
        self.until_ms = math.inf
        self._silent = False

    def begun(self, now_ms: float) -> None:
        """The node begins with a list known before; it has not asked yet."""
        self.until_ms = now_ms + self.ask_ms

    def heard(self, now_ms: float) -> None:
        """A watch is alive: all that was to be told before has been taken in."""
        self._silent = False
        self.until_ms = now_ms + self.told_ms

    def ended(self, now_ms: float) -> None:
        """Discovery has ended the watch, and has told all that it had to tell on it."""
        if not self._silent:
            self.until_ms = max(self.until_ms, now_ms + self.ask_ms)

    def fell_silent(self) -> None:
        """The watch says nothing: discovery may take it to be open still, and to be told on it."""
        self._silent = True

    def refused(self, now_ms: float) -> None:
        """A call has failed, and discovery or its machine said so."""
        # guards a list that has lapsed: only news make it current again
        if not self._silent and now_ms < self.until_ms:
            self.until_ms = max(self.until_ms, now_ms + self.failed_ms)
