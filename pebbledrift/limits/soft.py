"""The soft kind of limit: each node takes its share of the demand that it knows of. No I/O.

A node's share of a limit is m / D, m being the least that was asked of it within the last `settle_ms`, and D
all that is asked of all nodes by the latest words; what nobody asks for is divided evenly. Where every word
arrives within settle_ms, each D is at least the sum of all m, so all shares together are at most the whole:
a share grows late, once all have heard of the demand behind it, and shrinks at once.

What breaks that is a word that does not come. Then a node goes by the last one, and after `believed_ms` by
those that it hears: a rule says what a part of the group may use (`in_a_cut`). How far over all parts
together can be is bounds.py's to say. Times are ms of a clock that never goes back; rates are jobs a second.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

CUTS = ("part", "majority", "whole")
SAMPLES_MOST = 512


@dataclass(frozen=True, slots=True)
class Known:
    """What a node knows of the others: what they ask for, how many they are, and how old that may be."""

    rate: float
    nodes: int
    age_ms: float


def part_of(in_a_cut: str, heard: int, whole: int, answering: int) -> float:
    """What so many nodes that hear each other may use of a limit together.

    `part`: as large a part as they are; `majority`: all of it where they are more than half, else nothing;
    `whole`: all of it, or as large a part as they are of those that answer by the group's view.
    """
    if in_a_cut == "whole":
        # guards the limit in a large group: whoever gathered the rates of some may be cut off from them, and
        # until the view has dropped it each of these would take itself for the whole of its side
        return min(1.0, heard / max(1, answering))
    if in_a_cut == "majority":
        return 1.0 if 2 * heard > whole else 0.0
    return min(1.0, heard / max(1, whole))


class SoftShare:
    """One node's share of one limit."""

    def __init__(self, in_a_cut: str, settle_ms: float, believed_ms: float, start: float) -> None:
        if in_a_cut not in CUTS:
            raise ValueError(f"in_a_cut: not one of {', '.join(CUTS)}: {in_a_cut!r}")
        self.in_a_cut = in_a_cut
        self.settle_ms, self.believed_ms = settle_ms, believed_ms
        self.start = start
        self.heard = False
        # rising: the least of each tail of the window; before its start nothing was asked of the node
        self._samples = deque([(start, 0.0)])

    def sample(self, now: float, rate: float) -> None:
        """What is asked of this node now; taken each time that it is told to others, and between."""
        since = now
        while self._samples and self._samples[-1][1] >= rate:
            since = self._samples.pop()[0]  # since then nothing was less
        self._samples.append((since, rate))
        self._trim(now)
        while len(self._samples) > SAMPLES_MOST:
            # guards memory where callers sample too often: the lesser of two stands for both
            first = self._samples.popleft()
            self._samples[0] = (first[0], first[1])

    def least(self, now: float) -> float:
        """The least that was asked of this node within settle_ms; nothing was before its start."""
        self._trim(now)
        return self._samples[0][1]

    def _trim(self, now: float) -> None:
        # what was sampled before the window stands in it until the next sample
        while len(self._samples) > 1 and now - self._samples[1][0] >= self.settle_ms:
            self._samples.popleft()

    def share(self, now: float, limit: float, known: Known | None, whole: int, answering: int = 1) -> float:
        """This node's share of a limit of so many jobs a second, between 0 and 1.

        `known` is None where nobody was heard for believed_ms; `whole`: nodes that there should be;
        `answering`: those that answer by the group's view, this one included.
        """
        if known is not None:
            self.heard = True
        elif not self.heard and now - self.start < self.believed_ms and whole > 1:
            return 0.0  # it has just started, and the others may be using all of it
        asked = self._samples[-1][1]
        least = self.least(now)
        nodes = 1 + (known.nodes if known is not None else 0)
        total = asked + (known.rate if known is not None else 0.0)
        most = part_of(self.in_a_cut, nodes, whole, answering)
        if limit <= 0 or not math.isfinite(limit):
            return 0.0
        allowed = limit * most
        if total >= allowed:
            return most * least / total if total > 0 else 0.0
        # with a majority's part each node counts on all the others, heard or not, to have theirs of the rest
        even = max(nodes, whole) if self.in_a_cut == "majority" else nodes
        return min(most, (least + (allowed - total) / even) / limit)
