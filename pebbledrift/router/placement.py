"""Chooses workers for the requests of one service with the scheduler `spoolpier.Dispatcher`.

Each request becomes a job of the dispatcher, and the dispatcher's actions are executed on the requests.
Events are collected and passed to the dispatcher once per iteration of the event loop. The dispatcher
identifies workers by number and jobs by name.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Iterable, Set
from dataclasses import dataclass
from typing import Protocol

from pebbledrift.control.registry import Instance, InstanceState
from pebbledrift.router.job_classes import JobClassRegistry, job_class_of
from pebbledrift.router.routes import Route
from spoolpier import interface as api
from spoolpier.dispatcher import Dispatcher

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 4  # of a request, with those that a worker declined, unless its route allows more
RETRY_AFTER_MS = 100.0


class PlacedRequest(Protocol):
    """A request that waits for a worker or runs on one."""

    def send(self, attempt: int, instance: Instance) -> None:
        """Start an attempt on a worker."""

    def cancel(self, attempt: int) -> None:
        """Abandon an attempt."""

    def refuse(self, retry_after_ms: float) -> None:
        """Answer that the request did not run and may be retried after this delay."""

    def fail(self) -> None:
        """Answer that the request failed."""


@dataclass(slots=True)
class _Job:
    """A request, and how many attempts were started for it."""

    request: PlacedRequest
    job_class: api.JobClass
    attempts: int = 0


class Placement:
    """Schedules the requests of one service that have no final answer yet.

    `first_limit` is the initial limit of concurrent requests per worker. Times are in milliseconds.
    """

    def __init__(
        self, dispatchers: int, dispatcher_index: int, is_model: bool, seed: int, first_limit: float = 1.0
    ) -> None:
        self._loop = asyncio.get_running_loop()
        settings = api.Settings(
            classes=(),
            dispatchers=max(dispatchers, dispatcher_index + 1),
            me=dispatcher_index,
            max_attempts=MAX_ATTEMPTS,
            may_cancel=True,
            tells_start=is_model,
            max_retry_after_ms=RETRY_AFTER_MS,
            first_limit=max(1.0, first_limit),
        )
        self._dispatcher = Dispatcher(settings, seed)
        self._classes = JobClassRegistry(self.enqueue)
        self._worker_numbers: dict[str, int] = {}
        self._instances: dict[int, Instance] = {}
        self._jobs: dict[str, _Job] = {}
        self._events: list[api.Event] = []
        self._step_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def enqueue(self, event: api.Event) -> None:
        """Queue an event for the dispatcher; all queued events are processed in the loop's next callback."""
        self._events.append(event)
        if not self._step_scheduled:
            self._step_scheduled = True
            self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._step_scheduled = False
        events, self._events = self._events, []
        for action in self._dispatcher.step(self._now_ms(), events):
            if isinstance(action, api.Wake):
                self._set_timer(action.at_ms / 1000.0)
            else:
                self._act_on_job(action)

    def _act_on_job(self, action: api.Action) -> None:
        job = self._jobs.get(getattr(action, "job", ""))
        if job is None:
            return
        try:
            self._execute(action, job)
        except Exception:
            # A step returns actions for many requests: a failure with one must not lose the others' actions.
            log.exception("request failed")
            job.request.fail()

    def _execute(self, action: api.Action, job: _Job) -> None:
        if isinstance(action, api.Send):
            number, job.attempts = job.attempts, job.attempts + 1
            job.request.send(number, self._instances[action.worker])
        elif isinstance(action, api.Cancel):
            job.request.cancel(action.attempt)
        elif isinstance(action, api.Refuse):
            job.request.refuse(action.retry_after_ms)
        elif isinstance(action, api.Fail):
            job.request.fail()

    def _set_timer(self, at: float) -> None:
        """Run the dispatcher at this time of the loop's clock, unless it runs earlier anyway."""
        if (
            self._timer is not None
            and not self._timer.cancelled()
            and self._loop.time() < self._timer_at <= at
        ):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._loop.call_at(at, self._timer_expired)

    def _timer_expired(self) -> None:
        self._timer = None
        self.enqueue(api.Timer(0))

    # workers

    def update_instances(self, instances: Iterable[Instance]) -> None:
        """Replace the list of workers of the service; only ready instances get requests."""
        entries = [
            api.WorkerEntry(worker=self._worker_number(instance), weight=float(instance.slots))
            for instance in instances
            if instance.state == InstanceState.READY
        ]
        self.enqueue(api.WorkerList(api.ListForm.FULL, tuple(entries)))

    def _worker_number(self, instance: Instance) -> int:
        """Returns the dispatcher's number of an instance, and registers the instance under it.

        All routers use the same number, so they prefer the same worker for a routing key.
        """
        number = self._worker_numbers.get(instance.id)
        if number is None:
            number = stable_number(instance.id)
            while number in self._instances:
                number += 1
            self._worker_numbers[instance.id] = number
        self._instances[number] = instance
        return number

    def failing_instances(self) -> set[str]:
        """Returns the ids of instances that failed recently at this router and get no requests now."""
        numbers = self._dispatcher.suspended_workers(self._now_ms())
        return {self._instances[number].id for number in numbers if number in self._instances}

    def forget_instance(self, instance: Instance) -> None:
        """Remove an instance that has ended and runs no request of this router."""
        number = self._worker_numbers.pop(instance.id, None)
        if number is not None:
            self._instances.pop(number, None)

    # requests

    def submit(
        self, name: str, request: PlacedRequest, route: Route, key: int | None, left_ms: float
    ) -> None:
        """Schedule a request.

        `name` identifies it within this process, `key` is its routing key, and `left_ms` is the time until
        its deadline.
        """
        job_class = job_class_of(route)
        self._jobs[name] = _Job(request, job_class)
        self.enqueue(api.Arrival(name, self._classes.open(job_class), grace_ms=left_ms, key=key))

    def retain_classes(self, in_force: Set[api.JobClass]) -> None:
        """Forget the job classes that no route in force has, once no request of theirs is open."""
        self._classes.retain(in_force)

    def attempt_started(self, name: str, attempt: int, instance: Instance, streamed: bool) -> None:
        """Report that the first event of an answer, or a whole answer, was received."""
        worker = self._worker_numbers.get(instance.id)
        if worker is None:
            return
        self.enqueue(api.Note(name, attempt, worker, api.Progress.STARTED))
        if streamed:
            self.enqueue(api.StreamStarted(name, attempt, worker))

    def attempt_ended(
        self,
        name: str,
        attempt: int,
        instance: Instance,
        kind: api.OutcomeKind,
        elapsed_ms: float,
        done: bool,
    ) -> None:
        """Report how an attempt ended. `done`: the request needs no further attempt."""
        worker = self._worker_numbers.get(instance.id, -1)
        self.enqueue(api.Outcome(name, attempt, worker, kind, elapsed_ms, done))

    def client_gone(self, name: str) -> None:
        """Report that the client no longer waits for the request."""
        self.enqueue(api.ClientGone(name))

    def remove(self, name: str) -> None:
        """Remove a request that has its final answer, after the ends of its attempts were reported."""
        job = self._jobs.pop(name, None)
        if job is not None:
            self._classes.close(job.job_class)


def stable_number(instance: str) -> int:
    """Returns the number of an instance id: 48 bits of its hash, the same in every process."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=6).digest())
