"""A core's figures in shared memory: written by the core, read by the supervisor, whatever the core does."""

from __future__ import annotations

from dataclasses import dataclass, field

from pebbledrift.core.figures import ClassCounters
from pebbledrift.cores.region import COUNTS, FIGURES, Region


@dataclass(slots=True)
class CoreFigures:
    """One core's figures. All zero before it has begun."""

    shown_ms: float = 0.0  # monotonic time of the last sign of life
    sockets: int = 0
    current: int = 0
    listed: int = 0
    extra_unhealthy: int = 0  # workers beside discovery's that it leaves alone
    ready: bool = False
    posted: int = 0  # call-backs passed on to other cores
    taken: int = 0  # number of the last connection that was taken
    classes: list[ClassCounters] = field(default_factory=list)


class Block:
    """The words of one core's figures."""

    def __init__(self, region: Region, core: int) -> None:
        layout = region.layout
        first = layout.figures + core * layout.figures_words
        self.words = region.words[first : first + layout.figures_words]
        self.classes = layout.classes

    def publish(self, told: CoreFigures) -> None:
        """Write them. Each word is whole; two words may stem from different moments."""
        words = self.words
        words[1], words[2], words[3] = told.sockets, max(0, told.current), told.listed
        words[4], words[5], words[6] = told.extra_unhealthy, int(told.ready), told.posted
        words[7] = told.taken
        at = FIGURES
        for counted in told.classes:
            words[at], words[at + 1] = counted.served, counted.refused
            words[at + 2], words[at + 3] = counted.failed, counted.sends
            at += COUNTS
        words[0] = round(told.shown_ms)

    def read(self) -> CoreFigures:
        """What was written last."""
        words = self.words.tolist()
        classes = [
            ClassCounters(*words[at : at + COUNTS])
            for at in range(FIGURES, FIGURES + COUNTS * self.classes, COUNTS)
        ]
        shown, sockets, current, listed, extra, ready, posted, taken = words[:8]
        return CoreFigures(float(shown), sockets, current, listed, extra, bool(ready), posted, taken, classes)

    def clear(self) -> None:
        """The core has gone."""
        for at in range(len(self.words)):
            self.words[at] = 0
