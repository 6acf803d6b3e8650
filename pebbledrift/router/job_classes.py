"""The job classes of a placement: each is known to its dispatcher for as long as a request can have it.

A class is what the dispatcher knows of a route: aim, time-out, effect, priority and number of attempts. There
are as many as the routes in force and the open requests have, and no other limit: a request always runs under
its own route's class.
"""

from __future__ import annotations

from collections.abc import Callable, Set
from dataclasses import dataclass

from pebbledrift.router.routes import Route
from spoolpier import interface as api


def job_class_of(route: Route) -> api.JobClass:
    """The job class of a route's requests."""
    return api.JobClass(
        aim_ms=route.target_latency_ms,
        deadline_ms=max(1.0, route.timeout_ms),
        effect=api.Effect.SAFE if route.idempotent else api.Effect.UNSAFE,
        priority=route.priority,
        streamed=route.streaming,
        max_runs=route.max_attempts,
    )


@dataclass(slots=True)
class _Entry:
    """A class that the dispatcher knows."""

    number: int
    open_requests: int = 0


class JobClassRegistry:
    """Numbers the job classes, and drops those that no route in force and no open request has.

    `enqueue` passes events to the dispatcher, in order. Numbers are not used again.
    """

    def __init__(self, enqueue: Callable[[api.Event], None]) -> None:
        self._enqueue = enqueue
        self._entries: dict[api.JobClass, _Entry] = {}
        self._in_force: Set[api.JobClass] = frozenset()
        self._last_number = -1

    def __len__(self) -> int:
        return len(self._entries)

    def open(self, job_class: api.JobClass) -> int:
        """Count a request of a class, and return the number of the class."""
        entry = self._entries.get(job_class)
        if entry is None:
            self._last_number += 1
            entry = self._entries[job_class] = _Entry(self._last_number)
            self._enqueue(api.ClassAdded(entry.number, job_class))
        entry.open_requests += 1
        return entry.number

    def close(self, job_class: api.JobClass) -> None:
        """Count the end of a request that was opened."""
        entry = self._entries[job_class]
        entry.open_requests -= 1
        self._drop_if_unused(job_class, entry)

    def retain(self, in_force: Set[api.JobClass]) -> None:
        """Keep the classes of the routes in force; drop the others, once no request of theirs is open."""
        self._in_force = in_force
        for job_class, entry in list(self._entries.items()):
            self._drop_if_unused(job_class, entry)

    def _drop_if_unused(self, job_class: api.JobClass, entry: _Entry) -> None:
        if not entry.open_requests and job_class not in self._in_force:
            del self._entries[job_class]
            self._enqueue(api.ClassRemoved(entry.number))
