"""Atomic operations on the shared words, by the library atomicshm (compared in docs/cores.md)."""

from __future__ import annotations

import atomicshm

from pebbledrift.cores.region import Region


class Atoms:
    """The operations that one process needs on a region."""

    def __init__(self, region: Region) -> None:
        self._view = atomicshm.AtomicView(region.bytes)

    def swap(self, at: int, expected: int, new: int) -> bool:
        """Compare-and-swap of the word at this place; False where it was another."""
        return self._view.cas_u64(8 * at, expected, new) == expected

    def fence(self) -> None:
        """A full barrier: reads after it do not pass the writes before it."""
        atomicshm.fence(atomicshm.SEQ_CST)

    def close(self) -> None:
        """Let go of the memory."""
        self._view.close()
