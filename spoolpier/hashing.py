"""Hashes and rendezvous orders that are the same in every process."""

from __future__ import annotations

from spoolpier.constants import MASK, ODD


def mix(number: int) -> int:
    """Spread a number over 64 bits, the same in every process (splitmix64)."""
    z = (number + ODD) & MASK
    z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & MASK
    return z ^ (z >> 31)
