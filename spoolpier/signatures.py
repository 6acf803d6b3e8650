"""Which keys were sent where, and how often a key comes."""

from __future__ import annotations

import math

from spoolpier.state import Worker

SHARE_JOBS = 400.0  # the share of a key is taken over about this many jobs


class SignatureIndex:
    """From a key to the workers whose last job from us had it, and the key's last send-to-outcome time."""

    def __init__(self) -> None:
        self.workers: dict[int | None, dict[int, Worker]] = {}
        self.seconds: dict[int | None, float] = {}
        self.counts: dict[int | None, float] = {}
        self.total = 0.0

    def count(self, key: int | None) -> None:
        """A job with this key has arrived; old ones fade."""
        self.counts[key] = self.counts.get(key, 0.0) + 1
        self.total += 1
        if self.total > 2 * SHARE_JOBS:
            self.total /= 2
            self.counts = {k: c / 2 for k, c in self.counts.items() if c >= 0.5}

    def share(self, key: int | None, prior: float) -> float:
        """The key's share of our recent jobs."""
        count = self.counts.get(key, 0.0)
        # at the low end of what chance allows: a key seen twice is not hot, and each home has to fetch it
        return max(0.0, count - math.sqrt(count)) / max(1.0, self.total + prior)

    def remember(self, w: Worker, key: int | None) -> None:
        """The worker's signature is now this key."""
        self.forget(w)
        w.key = key
        if key is not None:
            self.workers.setdefault(key, {})[w.id] = w

    def forget(self, w: Worker) -> None:
        """The worker's cache is not to be counted on any more."""
        if w.key is not None:
            named = self.workers[w.key]
            del named[w.id]
            if not named:
                del self.workers[w.key]
            w.key = None
