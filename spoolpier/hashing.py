"""Hash functions, and rendezvous hashing, whose results are the same in every process."""

from __future__ import annotations

from typing import Protocol, TypeVar

from spoolpier.constants import GOLDEN_GAMMA, MASK_64


def mix(number: int) -> int:
    """Return a 64-bit hash of a number (splitmix64), the same in every process."""
    z = (number + GOLDEN_GAMMA) & MASK_64
    z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & MASK_64
    return z ^ (z >> 31)


class Hashed(Protocol):
    """An object that rendezvous hashing can rank."""

    @property
    def id(self) -> int:
        """Number that breaks ties."""

    @property
    def hash(self) -> int:
        """64-bit hash."""


Ranked = TypeVar("Ranked", bound=Hashed)


def top_ranked(pool: list[Ranked], key_hash: int, count: int) -> list[Ranked]:
    """Return the `count` members of a pool with the highest rendezvous scores for a key, best first."""
    # Scores are uniform over 64 bits: only the likely members of a large pool are kept and sorted.
    min_score = 0 if len(pool) <= 3 * count else MASK_64 - MASK_64 * 2 * count // len(pool)
    scored = [(s, w.id, w) for w in pool if (s := (w.hash ^ key_hash) * GOLDEN_GAMMA & MASK_64) > min_score]
    if len(scored) < min(count, len(pool)):
        scored = [((w.hash ^ key_hash) * GOLDEN_GAMMA & MASK_64, w.id, w) for w in pool]
    scored.sort(reverse=True)
    return [w for _, _, w in scored[:count]]
