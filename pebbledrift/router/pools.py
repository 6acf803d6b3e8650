"""Divides the workers of a model service between requests with long and with short prompts.

Processing a long prompt delays the tokens of all other requests on the same worker. A model service
therefore reserves some workers for requests with short prompts. Which and how many is derived from the
traffic of the whole fleet, so that all routers reserve the same workers.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
from collections.abc import Callable, Iterable, Set

from pebbledrift.control.registry import Instance, InstanceState
from pebbledrift.router.placement import Placement
from spoolpier.interface import JobClass

SHORT_PROMPT_TOKENS = 1024  # processed in about the time of one step, so it delays no other request
INITIAL_LIMIT_FACTOR = 1.5  # initial limit per worker for short prompts, relative to slots / routers
HEADROOM = 1.35  # slots reserved for short prompts, relative to the average number in use
AVERAGING_S = 6.0  # time constant of the average number of running requests
MAX_SHORT_SHARE = 0.5  # maximum share of the workers that is reserved for short prompts
KIND_EXPIRY_S = 20.0  # a kind of request (short, long) not received for this time gets no workers
AVOID_FAILING_S = 6.0  # a worker that failed at this router is not reserved for this time
SHRINK_BELOW = 0.7  # hysteresis: n workers become n - 1 once the need is at most n - 2 plus this


class RunningAverage:
    """Exponential moving average of the number of running requests. Times are in seconds."""

    def __init__(self, now: float) -> None:
        self._running = 0
        self._average = 0.0
        self._updated_at = now

    def change(self, step: int, now: float) -> None:
        """Record that a request started (1) or ended (-1)."""
        self.value(now)
        self._running += step

    def value(self, now: float) -> float:
        """Returns the current average."""
        decay = math.exp(-max(0.0, now - self._updated_at) / AVERAGING_S)
        self._average = self._average * decay + self._running * (1.0 - decay)
        self._updated_at = now
        return self._average


class WorkerPools:
    """The placements of one service: one for long prompts, and one for short prompts of a model service.

    Other services have one placement for all requests. `make_placement` takes the initial limit of
    concurrent requests per worker.
    """

    def __init__(
        self, make_placement: Callable[[float], Placement], is_model: bool, slots: int, routers: int
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._is_model = is_model
        self.set_slots(slots)
        self.long = make_placement(1.0)
        # Streams run for a long time: raising the limit from 1 would take as long as many streams.
        self.short = (
            make_placement(INITIAL_LIMIT_FACTOR * self._slots / max(1, routers)) if is_model else self.long
        )
        self._instances: list[Instance] = []
        self._running = RunningAverage(self._loop.time())
        self._last_received_at = {True: -math.inf, False: -math.inf}
        self._short_workers = 0
        self._avoided_until: dict[str, float] = {}  # by instance id, in loop time

    @property
    def is_divisible(self) -> bool:
        """Whether the workers of this service can be divided, as they are for model services."""
        return self._is_model

    def set_slots(self, slots: int) -> None:
        """Sets how many requests a worker runs at once; the next division uses it."""
        self._slots = max(1, slots)

    def retain_classes(self, in_force: Set[JobClass]) -> None:
        """Forgets the job classes of routes that the configuration no longer has."""
        for placement in {self.short, self.long}:
            placement.retain_classes(in_force)

    def choose(self, prompt_tokens: float | None) -> Placement:
        """Returns the placement for a request by its prompt length; an unknown one (None) counts as long."""
        if not self._is_model:
            return self.long
        short = prompt_tokens is not None and prompt_tokens <= SHORT_PROMPT_TOKENS
        self._last_received_at[short] = self._loop.time()
        return self.short if short else self.long

    def load(self) -> float:
        """Returns the average number of requests with short prompts at this router."""
        return self._running.value(self._loop.time())

    def request_arrived(self, placement: Placement) -> None:
        """Count a request. One that still waits for a worker counts too, because it needs a slot."""
        if placement is self.short and self._is_model:
            self._running.change(1, self._loop.time())

    def request_ended(self, placement: Placement) -> None:
        """Count the end of a request."""
        if placement is self.short and self._is_model:
            self._running.change(-1, self._loop.time())

    def update_instances(self, instances: Iterable[Instance]) -> None:
        """Replace the list of the service's workers."""
        self._instances = sorted(instances, key=lambda i: _order_key(i.id))
        self._update_placements()

    def _ready(self) -> list[Instance]:
        return [i for i in self._instances if i.state == InstanceState.READY]

    def divide(self, running: float | None) -> None:
        """Divide the workers by the number of short-prompt requests that run at all routers.

        With None, the number is unknown and the sizes stay as they are.
        """
        if not self._is_model:
            return
        if self._update_avoided():
            self._update_placements()
        if running is None:
            return
        count = self._short_workers_needed(len(self._ready()), HEADROOM * running / self._slots)
        if count != self._short_workers:
            self._short_workers = count
            self._update_placements()

    def _update_avoided(self) -> bool:
        """Update the set of workers to avoid from their failures here. Returns whether it changed."""
        now = self._loop.time()
        before = set(self._avoided_until)
        failing = self.short.failing_instances() | self.long.failing_instances()
        self._avoided_until = {id_: until for id_, until in self._avoided_until.items() if until > now}
        self._avoided_until.update(dict.fromkeys(failing, now + AVOID_FAILING_S))
        return set(self._avoided_until) != before

    def _reserved_for_short(self) -> list[Instance]:
        """Returns the workers reserved for short prompts.

        These are the first workers that do not fail here. If there are too few of them, failing workers are
        reserved too.
        """
        ready = self._ready()
        count = min(self._short_workers, max(0, len(ready) - 1))
        healthy = [instance for instance in ready if instance.id not in self._avoided_until]
        return (healthy if len(healthy) > count else ready)[:count]

    def _short_workers_needed(self, workers: int, need: float) -> int:
        """Returns how many workers to reserve for short prompts, with hysteresis.

        `need` is the number of workers that the running requests need. None are reserved without recent long
        prompts, or without recent short ones once the need is below `SHRINK_BELOW`.
        """
        now = self._loop.time()
        short_recent, long_recent = (
            now - self._last_received_at[kind] <= KIND_EXPIRY_S for kind in (True, False)
        )
        if workers < 2 or not long_recent or (not short_recent and need < SHRINK_BELOW):
            return 0
        count = self._short_workers
        if not (count and count - 1 - (1 - SHRINK_BELOW) < need <= count):
            count = math.ceil(need)
        return max(1, min(count, math.ceil(MAX_SHORT_SHARE * workers), workers - 1))

    def _update_placements(self) -> None:
        if not self._is_model:
            self.long.update_instances(self._instances)
            return
        ready, reserved = self._ready(), self._reserved_for_short()
        if not reserved:
            self.short.update_instances(ready)
            self.long.update_instances(ready)
        else:
            reserved_ids = {instance.id for instance in reserved}
            self.short.update_instances(reserved)
            self.long.update_instances([instance for instance in ready if instance.id not in reserved_ids])


def _order_key(instance: str) -> bytes:
    """Sort key of a worker: a hash of its id, so that all routers order the workers the same way."""
    return hashlib.blake2b(instance.encode(), digest_size=8, person=b"short").digest()
