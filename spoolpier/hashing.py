"""Hash functions whose results are the same in every process."""

from __future__ import annotations

from spoolpier.constants import GOLDEN_GAMMA, MASK_64


def mix(number: int) -> int:
    """Return a 64-bit hash of a number (splitmix64), the same in every process."""
    z = (number + GOLDEN_GAMMA) & MASK_64
    z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & MASK_64
    return z ^ (z >> 31)
