"""Since when each worker's process has run, by this node's own clock. No I/O.

The list tells a process's start by the wall clock, which may have been stepped since, or between two
machines. So only differences between the starts that the list names are used, never one to our own time: a
process that is heard of for the first time is as old as the newest start that is known, less its own, at
least. Which makes it younger than it is, never older, and a cold worker is sent less and not more.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

START_MOST_MS = 1e14  # no process can have started later, some three thousand years on
KEPT_MOST = 4  # of one worker: the list and other nodes may name different ones for a while


class Incarnations:
    """The processes that the list names, by worker."""

    def __init__(self) -> None:
        self._newest_ms = 0.0  # the latest start that any list has named, by the list's clock
        # by worker, the starts by the list's clock, and the same by ours
        self._known: dict[int, dict[float, float]] = {}

    def heard(self, targets: object) -> None:
        """A list, or its changes: none of these can have started later than now."""
        for target in targets if isinstance(targets, Iterable) else ():
            start = target.get("boot_ms", 0) if isinstance(target, Mapping) else 0
            if _can_be(start):
                self._newest_ms = max(self._newest_ms, float(start))

    def since_ms(self, worker: int, told_ms: float, now_ms: float) -> float:
        """When the process that started then started by our clock; 0: long ago."""
        if told_ms <= 0:
            return 0.0
        known = self._known.setdefault(worker, {})
        if told_ms not in known:
            while len(known) >= KEPT_MOST:
                del known[next(iter(known))]
            known[told_ms] = now_ms - max(0.0, self._newest_ms - told_ms)
        return known[told_ms]

    def forget(self, worker: int) -> None:
        """The worker has left the list."""
        self._known.pop(worker, None)


def _can_be(start: Any) -> bool:
    """Whether a process can have started then: one that cannot would make all others old."""
    return isinstance(start, int | float) and not isinstance(start, bool) and 0 <= start <= START_MOST_MS
