"""Atomic operations on the shared words.

Compare-and-swap is the `atomics` library's; views are kept, as making one takes 33 µs. Its exchange would
also be a fence, at 7 µs. On x86-64 a lock that nobody else has is taken and given back instead, at 0.2 µs:
that is a LOCK-prefixed instruction (sem_trywait), and those are full barriers there (Intel SDM volume 3A and
AMD APM volume 2, on memory ordering).
"""

from __future__ import annotations

import platform
import threading
from typing import Any

import atomics

from pebbledrift.cores.region import Region


class Atoms:
    """The operations that one process needs on a region."""

    def __init__(self, region: Region) -> None:
        self._region = region
        self._contexts: dict[int, Any] = {}
        self._views: dict[int, Any] = {}
        self._lock = threading.Lock()
        self._own = atomics.atomic(width=8, atype=atomics.UINT)
        # reads after it see what others wrote before theirs: the directory rests on that
        self.fence = self._lock_fence if platform.machine() == "x86_64" else self._exchange_fence

    def _lock_fence(self) -> None:
        if self._lock.acquire(False):
            self._lock.release()

    def _exchange_fence(self) -> None:
        self._own.exchange(0)

    def swap(self, at: int, expected: int, new: int) -> bool:
        """Compare-and-swap of the word at this place."""
        view = self._views.get(at)
        if view is None:
            cell = self._region.bytes[8 * at : 8 * at + 8]
            self._contexts[at] = context = atomics.atomicview(buffer=cell, atype=atomics.UINT)
            self._views[at] = view = context.__enter__()
        return bool(view.cmpxchg_strong(expected, new).success)

    def close(self) -> None:
        """Let go of the views."""
        for context in self._contexts.values():
            context.__exit__(None, None, None)
        self._contexts.clear()
        self._views.clear()
