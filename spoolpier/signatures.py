"""Which keys were sent to which workers, and how frequent each key is."""

from __future__ import annotations

import math

from spoolpier.state import Worker

SHARE_JOBS = 400.0  # a key's share is taken over about the last 400 jobs


class SignatureIndex:
    """Maps a key to the workers that this dispatcher last sent it to, and to its last run time.

    The run time is the time in seconds from send to outcome.
    """

    def __init__(self) -> None:
        self.workers: dict[int | None, dict[int, Worker]] = {}
        self.seconds: dict[int | None, float] = {}
        self.counts: dict[int | None, float] = {}
        self.total = 0.0

    def count(self, key: int | None) -> None:
        """Count the arrival of a job with this key; the weight of old jobs decays."""
        self.counts[key] = self.counts.get(key, 0.0) + 1
        self.total += 1
        if self.total > 2 * SHARE_JOBS:
            self.total /= 2
            self.counts = {k: c / 2 for k, c in self.counts.items() if c >= 0.5}

    def share(self, key: int | None, prior: float) -> float:
        """Return the key's share of the recent jobs; `prior` jobs without the key are added to the total."""
        count = self.counts.get(key, 0.0)
        # The lower end of the statistical error is used: a key seen twice is not hot, and each further home
        # has to fetch its data.
        return max(0.0, count - math.sqrt(count)) / max(1.0, self.total + prior)

    def remember(self, w: Worker, key: int | None) -> None:
        """Make this key the worker's signature."""
        self.forget(w)
        w.key = key
        if key is not None:
            self.workers.setdefault(key, {})[w.id] = w

    def forget(self, w: Worker) -> None:
        """Drop the worker's signature: its cache can no longer be relied on."""
        if w.key is not None:
            workers = self.workers[w.key]
            del workers[w.id]
            if not workers:
                del self.workers[w.key]
            w.key = None
