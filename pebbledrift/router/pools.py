"""Workers of one service divided between long prompts and streams that run long.

Reading a long prompt holds up the tokens of all that run beside it. A model service therefore keeps some
workers for requests with short prompts; which and how many follows from the traffic, alike at all routers.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
from collections.abc import Callable, Iterable

from pebbledrift.control.registry import Instance, InstanceState
from pebbledrift.router.placement import Placement

SHORT_PROMPT_TOKENS = 1024  # read in about the time of one step: it holds nobody up
SHORT_SHARE = 1.5  # of its equal part of a worker's places a router uses at first, for short prompts
SPARE = 1.35  # places kept for short prompts over those that are in use on average
AVERAGE_S = 6.0  # the time over which running streams are averaged
SHORT_MOST = 0.5  # share of the workers that is ever kept for short prompts
SEEN_S = 20.0  # a kind of request that did not come for so long needs no workers of its own
AVOID_S = 6.0  # a worker that failed here is not among those kept for short prompts for so long
SHRINK_BELOW = 0.7  # of a worker less is needed before one is given back


class RunningAverage:
    """The average number of requests that run here."""

    def __init__(self, now: float) -> None:
        self._running = 0
        self._average = 0.0
        self._at = now

    def change(self, step: int, now: float) -> None:
        """A request began (1) or ended (-1)."""
        self.value(now)
        self._running += step

    def value(self, now: float) -> float:
        """The average now."""
        fade = math.exp(-max(0.0, now - self._at) / AVERAGE_S)
        self._average = self._average * fade + self._running * (1.0 - fade)
        self._at = now
        return self._average


class WorkerPools:
    """The placements of one service."""

    def __init__(self, make: Callable[[float], Placement], is_model: bool, slots: int, routers: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._is_model, self._slots = is_model, max(1, slots)
        self.long = make(1.0)
        # streams run long: learning a limit from one at a time would take as long as many of them
        self.short = make(SHORT_SHARE * self._slots / max(1, routers)) if is_model else self.long
        self._instances: list[Instance] = []
        self._running = RunningAverage(self._loop.time())
        self._seen = {True: -math.inf, False: -math.inf}
        self._short_workers = 0
        self._avoided: dict[str, float] = {}  # by instance: until when

    @property
    def divides(self) -> bool:
        """Whether workers of the service are ever divided."""
        return self._is_model

    def choose(self, prompt_tokens: float | None) -> Placement:
        """The placement for a request, by its prompt."""
        if not self._is_model:
            return self.long
        short = prompt_tokens is not None and prompt_tokens <= SHORT_PROMPT_TOKENS
        self._seen[short] = self._loop.time()
        return self.short if short else self.long

    def load(self) -> float:
        """How many requests with short prompts run here, averaged."""
        return self._running.value(self._loop.time())

    def began(self, placement: Placement) -> None:
        """A request came: one that is held counts too, it needs a place."""
        if placement is self.short and self._is_model:
            self._running.change(1, self._loop.time())

    def ended(self, placement: Placement) -> None:
        """A request has ended."""
        if placement is self.short and self._is_model:
            self._running.change(-1, self._loop.time())

    def follow(self, instances: Iterable[Instance]) -> None:
        """The workers as they are known now."""
        self._instances = sorted(instances, key=lambda i: _rank(i.id))
        self._tell()

    def _ready(self) -> list[Instance]:
        return [i for i in self._instances if i.state == InstanceState.READY]

    def divide(self, running: float | None) -> None:
        """Divide the workers by what runs at all routers; None: that is not known, all stays as it is."""
        if not self._is_model:
            return
        if self._note_failing():
            self._tell()
        if running is None:
            return
        wanted = self._wanted(len(self._ready()), SPARE * running / self._slots)
        if wanted != self._short_workers:
            self._short_workers = wanted
            self._tell()

    def _note_failing(self) -> bool:
        """Follow which workers fail here; returns whether that has changed."""
        now = self._loop.time()
        before = set(self._avoided)
        failing = self.short.failing() | self.long.failing()
        self._avoided = {name: until for name, until in self._avoided.items() if until > now}
        self._avoided.update(dict.fromkeys(failing, now + AVOID_S))
        return set(self._avoided) != before

    def _kept_for_short(self) -> list[Instance]:
        """The workers kept for short prompts: the first that do not fail here, or without any, of all."""
        ready = self._ready()
        count = min(self._short_workers, max(0, len(ready) - 1))
        sound = [instance for instance in ready if instance.id not in self._avoided]
        return (sound if len(sound) > count else ready)[:count]

    def _wanted(self, workers: int, need: float) -> int:
        """Workers for short prompts: none where only one kind of request comes, and with some inertia."""
        now = self._loop.time()
        short_seen, long_seen = (now - self._seen[kind] <= SEEN_S for kind in (True, False))
        if workers < 2 or not long_seen or (not short_seen and need < SHRINK_BELOW):
            return 0
        present = self._short_workers
        if not (present and present - 1 - (1 - SHRINK_BELOW) < need <= present):
            present = math.ceil(need)
        return max(1, min(present, math.ceil(SHORT_MOST * workers), workers - 1))

    def _tell(self) -> None:
        if not self._is_model:
            self.long.follow(self._instances)
            return
        ready, kept = self._ready(), self._kept_for_short()
        if not kept:
            self.short.follow(ready)
            self.long.follow(ready)
        else:
            names = {instance.id for instance in kept}
            self.short.follow(kept)
            self.long.follow([instance for instance in ready if instance.id not in names])


def _rank(instance: str) -> bytes:
    """An order of the workers that all routers have alike."""
    return hashlib.blake2b(instance.encode(), digest_size=8, person=b"short").digest()
