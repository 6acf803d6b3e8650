"""What two members compare to find where their lists differ, without telling the lists. No I/O.

Names fall into buckets by a hash; a bucket's sum is the exclusive or of a hash of each (name, incarnation)
that is up, alive or doubted alike. Two lists that are the same have the same sums, in whatever order the news
came (a Merkle tree of one level: Merkle, "A Digital Signature Based on a Conventional Encryption Function",
1987). The dead are left out: members forget them at different times.
"""

from __future__ import annotations

import functools
import hashlib

BUCKETS = 64
WIDTH = 3  # bytes of a bucket's sum: two that differ look alike once in 2^24
TOTAL = 4  # bytes of the sum of all


@functools.lru_cache(maxsize=4096)
def bucket_of(name: str) -> int:
    """Where a name belongs."""
    return hashlib.blake2b(name.encode(), digest_size=1, person=b"bucket").digest()[0] % BUCKETS


def _weight(name: str, incarnation: int) -> int:
    data = b"%d %s" % (incarnation, name.encode())
    return int.from_bytes(hashlib.blake2b(data, digest_size=WIDTH + TOTAL).digest(), "big")


class Sums:
    """The sums of a list that changes."""

    def __init__(self, like: Sums | None = None) -> None:
        self._buckets: list[int] = list(like._buckets) if like is not None else [0] * BUCKETS

    def turn(self, name: str, incarnation: int) -> None:
        """A member comes in at an incarnation, or goes out: it is the same step."""
        self._buckets[bucket_of(name)] ^= _weight(name, incarnation)

    def total(self) -> bytes:
        """The sum of all."""
        return (functools.reduce(int.__xor__, self._buckets) & (1 << 8 * TOTAL) - 1).to_bytes(TOTAL, "big")

    def buckets(self) -> bytes:
        """The sum of each bucket."""
        return b"".join((each >> 8 * TOTAL).to_bytes(WIDTH, "big") for each in self._buckets)

    def differ(self, others: bytes) -> set[int]:
        """The buckets in which another's list differs; all, where its sums are of another form."""
        mine = self.buckets()
        if len(others) != len(mine):
            return set(range(BUCKETS))
        at = range(0, len(mine), WIDTH)
        return {i // WIDTH for i in at if mine[i : i + WIDTH] != others[i : i + WIDTH]}
