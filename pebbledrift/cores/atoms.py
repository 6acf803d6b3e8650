"""Atomic operations on the shared words, by the `atomics` library. Views are kept: making one takes 33 µs."""

from __future__ import annotations

from typing import Any

import atomics

from pebbledrift.cores.region import Region


class Atoms:
    """The operations that one process needs on a region."""

    def __init__(self, region: Region) -> None:
        self._region = region
        self._contexts: dict[int, Any] = {}
        self._views: dict[int, Any] = {}
        # a word of this process alone, on which fences are made
        self._own = atomics.atomic(width=8, atype=atomics.UINT)

    def fence(self) -> None:
        """A full barrier: a sequentially consistent exchange, which is a locked instruction on x86-64."""
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
