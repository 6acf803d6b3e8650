"""Sums of a table by parts of it, so that two replicas find what differs in a few steps. No I/O.

A hash tree (Merkle, "A Digital Signature Based on a Conventional Encryption Function", 1987) with sixteen
children a node and four levels, whose sums are the exclusive or of its entries' marks: a change costs one
step a level, whatever is in the table. A place is where a key stands: sixteen bits, of which the first four
times `level` name a node of that level.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

FANOUT = 16
LEVELS = 4  # of the tree: 65,536 leaves
BITS = 4
PLACE_BITS = BITS * LEVELS


def bucket(key: str) -> int:
    """The child of the root that a key belongs to."""
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % FANOUT


def place_of(key: str) -> int:
    """Where a key stands."""
    rest = hashlib.blake2b(key.encode(), digest_size=2).digest()
    return bucket(key) << (PLACE_BITS - BITS) | int.from_bytes(rest, "big") >> BITS


def node_of(place: int, level: int) -> int:
    """The first place of the node of this level that a place belongs to."""
    low = PLACE_BITS - BITS * level
    return place >> low << low


class Tree:
    """What stands where, and its sums."""

    def __init__(self) -> None:
        # by level and first place; a node without entries is in neither
        self._sums: dict[tuple[int, int], int] = {}
        self._counts: dict[tuple[int, int], int] = {}
        self._keys: dict[int, set[str]] = {}  # by place

    def add(self, key: str, mark: int) -> None:
        """An entry with this mark is there."""
        place = place_of(key)
        self._keys.setdefault(place, set()).add(key)
        self._turn(place, mark, 1)

    def remove(self, key: str, mark: int) -> None:
        """An entry that was there with this mark is not any more."""
        place = place_of(key)
        keys = self._keys[place]
        keys.discard(key)
        if not keys:
            del self._keys[place]
        self._turn(place, mark, -1)

    def _turn(self, place: int, mark: int, count: int) -> None:
        for level in range(LEVELS + 1):
            node = level, node_of(place, level)
            left = self._counts.get(node, 0) + count
            if left:
                self._counts[node], self._sums[node] = left, self._sums.get(node, 0) ^ mark
            else:
                del self._counts[node], self._sums[node]

    def count(self, level: int, place: int) -> int:
        """How many entries a node has below it."""
        return self._counts.get((level, place), 0)

    def sums(self, level: int, place: int) -> tuple[int, ...]:
        """The sums of a node's children, 0 for one without entries; of a leaf its own alone."""
        if level == LEVELS:
            return (self._sums.get((level, place), 0),)
        return tuple(self._sums.get((level + 1, child), 0) for child in children(level, place))

    def keys(self, level: int, place: int) -> Iterator[str]:
        """The keys below a node. The tree must not change meanwhile."""
        if not self.count(level, place):
            return
        if level == LEVELS:
            yield from sorted(self._keys[place])
            return
        for child in children(level, place):
            yield from self.keys(level + 1, child)


def children(level: int, place: int) -> list[int]:
    """The first places of a node's children."""
    step = 1 << (PLACE_BITS - BITS * (level + 1))
    return [place + i * step for i in range(FANOUT)]
