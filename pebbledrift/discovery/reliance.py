"""Until when the list of workers may be relied on, from what was heard of discovery. No I/O.

Two kinds: a service that nodes ask, and an agent on the node's own machine that is pushed the list.

A drain counts as told some time after it was, whether its news arrived or not (PROTOCOL, "Figures"; WIRE,
`must_ask_in_ms`). A node that cannot know by then that its list is current must send nothing: any worker
may be the one that drains. Times are milliseconds of one clock.
"""

from __future__ import annotations

import math


class Reliance:
    """What one node knows of how old its list may be, where discovery is asked."""

    def __init__(self, told_ms: float, ask_ms: float) -> None:
        self.told_ms = told_ms  # on a watch, or after a failed call, news count as told after this
        self.ask_ms = ask_ms  # of a node that neither watches nor asks
        self.until_ms = math.inf
        self._known_ms = -math.inf  # up to then nothing can have been told that was not taken in
        self._silent = False
        self._began = False  # with a list of unknown age, and nothing was heard since

    def begun(self, now_ms: float) -> None:
        """The node begins with a list known before; it has not asked yet.

        That list may be of any age: the machine may have been gone for long, and what was listed meanwhile
        counts as told. It is not relied on until discovery has spoken, or is shown to be down.
        """
        self.until_ms, self._began = now_ms, True

    def inherited(self, now_ms: float, left_ms: float) -> None:
        """The process before this one has told its list, which may be relied on for so long still."""
        self._began = False
        self._known_ms = now_ms + left_ms - self.told_ms
        self.until_ms = max(self.until_ms, now_ms + left_ms)

    def moved(self, now_ms: float) -> None:
        """Discovery is another one from now on: what the one before says or does not say shows nothing."""
        self._silent = False
        self._known_ms = now_ms
        self.until_ms = min(self.until_ms, now_ms + self.told_ms)

    def opened(self, now_ms: float) -> None:
        """A call has come up and been asked; nothing was said yet."""

    def heard(self, now_ms: float) -> None:
        """A watch is alive: all that was to be told before has been taken in."""
        self._silent = self._began = False
        self._known_ms = now_ms
        self.until_ms = now_ms + self.told_ms

    def closed(self, now_ms: float, silent: bool, heard: bool) -> None:
        """A call is over; `heard`: something was told on it.

        `silent`: it was given up here since it said nothing any more. Discovery may take it to be open,
        and that what it has to tell is told on it. Else discovery has ended it, and has told all it had to.
        """
        if heard and silent:
            self._silent = True
        elif heard and not self._silent:
            self._known_ms = now_ms
            self.until_ms = max(self.until_ms, now_ms + self.ask_ms)

    def failed(self, now_ms: float, refused: bool) -> None:
        """A call has failed; `refused`: it was turned away, and not given up here.

        What discovery has to tell counts as told some time after it can be reached. One that is down and one
        that is crowded turn calls away alike, and after the same wait: the former is taken here, which is
        among the bets of docs/guarantees.md. A call that was given up here shows nothing.
        """
        if self._began:
            # all that there is while discovery is down
            self.until_ms = now_ms + self.told_ms if refused else self.until_ms
        elif refused and not self._silent and now_ms < self.until_ms:
            # guards a list that has lapsed: only news make it current again
            self._known_ms = now_ms
            self.until_ms = max(self.until_ms, now_ms + self.told_ms)
        elif not refused:
            self.until_ms = min(self.until_ms, self._known_ms + self.told_ms)


class PushedReliance(Reliance):
    """The same for an agent on the node's own machine, which is pushed the list.

    What the agent holds counts as told to the node, and nothing else does (PROTOCOL, "Discovery"). It says at
    once what it holds and is silent while it is pushed nothing, so that the list is current for as long as a
    call to it is up, however long it says nothing. Without a call it may hold a drain that was not read: the
    list is relied on for the grace that drains have, less a margin for what is on its way out. That holds
    from the first moment of a process: the list that a start came with is used once a call is up.
    """

    MARGIN = 0.2  # share of the grace that is left for sends under way
    MOVED_MS = 3000.0  # what the next agent holds counts as told 4 s after a new configuration

    def __init__(self, grace_ms: float) -> None:
        super().__init__(grace_ms, grace_ms)
        self.left_ms = grace_ms * (1 - self.MARGIN)
        self._up = 0  # calls to this agent that are up
        self._before_ms = math.inf  # until when, before the first of these came up

    def begun(self, now_ms: float) -> None:
        self.until_ms = self._before_ms = now_ms

    def moved(self, now_ms: float) -> None:
        self._up = 0
        self.until_ms = self._before_ms = min(self.until_ms, now_ms + self.MOVED_MS)

    def opened(self, now_ms: float) -> None:
        if self._up == 0:
            self._before_ms = self.until_ms
        self._up += 1
        self.until_ms = math.inf

    def heard(self, now_ms: float) -> None:
        self.until_ms = math.inf

    def closed(self, now_ms: float, silent: bool, heard: bool) -> None:
        self._up -= 1
        if self._up == 0:
            self.until_ms = now_ms + self.left_ms
            if not silent and not heard:
                # guards against calls that come up and break, one after the other: they show nothing
                self.until_ms = min(self.until_ms, self._before_ms)

    def failed(self, now_ms: float, refused: bool) -> None:
        if refused and self._up == 0:
            self.until_ms = min(self.until_ms, now_ms + self.left_ms)
