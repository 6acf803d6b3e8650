"""The decision module at work for one service: requests become its jobs, its actions are carried out.

All that happens is told to `spoolpier.Dispatcher` once a turn of the event loop; workers and jobs go by the
module's own numbers and names.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from pebbledrift.control.registry import Instance, InstanceState
from pebbledrift.router.routes import Route
from spoolpier import interface as api
from spoolpier.dispatcher import Dispatcher

log = logging.getLogger(__name__)

CLASSES_MOST = 4096
NO_CLASS = api.JobClass(aim_ms=1000.0, deadline_ms=1000.0)
RETRY_AFTER_MS = 100.0


class Placed(Protocol):
    """A request that waits for a worker or is with one."""

    def send(self, attempt: int, instance: Instance) -> None:
        """Begin an attempt at a worker."""

    def cancel(self, attempt: int) -> None:
        """Give an attempt up."""

    def refuse(self, retry_after_ms: float) -> None:
        """Answer that the request was not run and may come again."""

    def fail(self) -> None:
        """Answer that the request failed."""


@dataclass(slots=True)
class _Job:
    request: Placed
    attempts: int = 0


class Placement:
    """The requests of one service that have no final answer yet."""

    def __init__(
        self, dispatchers: int, me: int, is_model: bool, seed: int, first_limit: float = 1.0
    ) -> None:
        self._loop = asyncio.get_running_loop()
        settings = api.Settings(
            classes=(NO_CLASS,),
            dispatchers=max(dispatchers, me + 1),
            me=me,
            max_attempts=4,
            may_cancel=True,
            tells_start=is_model,
            max_retry_after_ms=RETRY_AFTER_MS,
            first_limit=max(1.0, first_limit),
        )
        self._dispatcher = Dispatcher(settings, seed)
        self._classes: dict[api.JobClass, int] = {NO_CLASS: 0}
        self._numbers: dict[str, int] = {}
        self._instances: dict[int, Instance] = {}
        self._jobs: dict[str, _Job] = {}
        self._events: list[api.Event] = []
        self._due = False
        self._wake: asyncio.TimerHandle | None = None
        self._wake_at = 0.0

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def tell(self, event: api.Event) -> None:
        """Have the module hear of something in this turn of the loop."""
        self._events.append(event)
        if not self._due:
            self._due = True
            self._loop.call_soon(self._step)

    def _step(self) -> None:
        self._due = False
        events, self._events = self._events, []
        for action in self._dispatcher.step(self._now_ms(), events):
            if isinstance(action, api.Wake):
                self._set_wake(action.at_ms / 1000.0)
            else:
                self._act_on_job(action)

    def _act_on_job(self, action: api.Action) -> None:
        job = self._jobs.get(getattr(action, "job", ""))
        if job is None:
            return
        try:
            self._carry_out(action, job)
        except Exception:
            # the step's other actions are for other requests: one that fails may not take theirs with it
            log.exception("request failed")
            job.request.fail()

    def _carry_out(self, action: api.Action, job: _Job) -> None:
        if isinstance(action, api.Send):
            number, job.attempts = job.attempts, job.attempts + 1
            job.request.send(number, self._instances[action.worker])
        elif isinstance(action, api.Cancel):
            job.request.cancel(action.attempt)
        elif isinstance(action, api.Refuse):
            job.request.refuse(action.retry_after_ms)
        elif isinstance(action, api.Fail):
            job.request.fail()

    def _set_wake(self, at: float) -> None:
        if self._wake is not None and not self._wake.cancelled() and self._loop.time() < self._wake_at <= at:
            return
        if self._wake is not None:
            self._wake.cancel()
        self._wake_at = at
        self._wake = self._loop.call_at(at, self._woken)

    def _woken(self) -> None:
        self._wake = None
        self.tell(api.Timer(0))

    # workers

    def follow(self, instances: Iterable[Instance]) -> None:
        """The workers of the service as they are known now."""
        entries = [
            api.WorkerEntry(worker=self._number(instance), weight=float(instance.slots))
            for instance in instances
            if instance.state == InstanceState.READY
        ]
        self.tell(api.WorkerList(api.ListForm.FULL, tuple(entries)))

    def _number(self, instance: Instance) -> int:
        """The module's number of an instance: alike at all routers, so they prefer the same for a key."""
        number = self._numbers.get(instance.id)
        if number is None:
            number = stable_number(instance.id)
            while number in self._instances:
                number += 1
            self._numbers[instance.id] = number
        self._instances[number] = instance
        return number

    def failing(self) -> set[str]:
        """Ids of the instances that failed here of late and get nothing now."""
        numbers = self._dispatcher.suspended_workers(self._now_ms())
        return {self._instances[number].id for number in numbers if number in self._instances}

    def forget(self, instance: Instance) -> None:
        """An instance has ended and nothing of ours is with it any more."""
        number = self._numbers.pop(instance.id, None)
        if number is not None:
            self._instances.pop(number, None)

    # requests

    def submit(self, name: str, request: Placed, route: Route, key: int | None, left_ms: float) -> None:
        """Take a request in."""
        self._jobs[name] = _Job(request)
        self.tell(api.Arrival(name, self._class_of(route), grace_ms=left_ms, key=key))

    def _class_of(self, route: Route) -> int:
        wanted = api.JobClass(
            aim_ms=route.aim_ms,
            deadline_ms=max(1.0, route.timeout_ms),
            effect=api.Effect.SAFE if route.idempotent else api.Effect.UNSAFE,
            priority=route.priority,
            streamed=route.streaming,
            max_runs=route.max_attempts,
        )
        number = self._classes.get(wanted)
        if number is None:
            if len(self._classes) >= CLASSES_MOST:
                return 0
            number = self._classes[wanted] = len(self._classes)
            self.tell(api.ClassesAdded((wanted,)))
        return number

    def started(self, name: str, attempt: int, instance: Instance, streamed: bool) -> None:
        """The first event of an answer has come."""
        worker = self._numbers.get(instance.id)
        if worker is None:
            return
        self.tell(api.Note(name, attempt, worker, api.Progress.STARTED))
        if streamed:
            self.tell(api.StreamStarted(name, attempt, worker))

    def outcome(
        self,
        name: str,
        attempt: int,
        instance: Instance,
        kind: api.OutcomeKind,
        elapsed_ms: float,
        done: bool,
    ) -> None:
        """An attempt has ended."""
        worker = self._numbers.get(instance.id, -1)
        self.tell(api.Outcome(name, attempt, worker, kind, elapsed_ms, done))

    def gone(self, name: str) -> None:
        """The client has left."""
        self.tell(api.ClientGone(name))

    def end(self, name: str) -> None:
        """The request has its final answer."""
        self._jobs.pop(name, None)


def stable_number(instance: str) -> int:
    """The number of an instance, the same in every process."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=6).digest())
