"""A request always runs under the job class of its own route, however many routes there have been.

Guards against a failure that a review showed: after 4,096 different time-outs a request was scheduled under a
common class that allowed four attempts, an effect, an aim and a deadline that were not its route's. A router
that had served for long ran requests on more workers than `max-attempts` allows, until it was started again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, fields
from typing import Any

import pytest

from pebbledrift.control.registry import Instance, parse_heartbeat
from pebbledrift.router.job_classes import JobClassRegistry, job_class_of
from pebbledrift.router.placement import Placement
from pebbledrift.router.routes import Route
from spoolpier import interface as api
from spoolpier.dispatcher import Dispatcher
from spoolpier.settings import read_settings
from tests.cluster.flow_harness import route_of_kind

MANY_CLASSES = 5000  # of a few hundred routes after a few changes of all their time-outs
WORKERS = 6
LEFT_MS = 5000.0


def safe_route(timeout_ms: float, max_attempts: int = 1) -> Route:
    streaming = route_of_kind("streaming")
    values = {f.name: getattr(streaming, f.name) for f in fields(streaming)}
    changed = {"kind": "safe", "timeout_ms": timeout_ms, "target_latency_ms": LEFT_MS}
    return Route(**{**values, **changed, "max_attempts": max_attempts})


@dataclass
class FailingRequest:
    """A request whose attempts all fail after they may have run."""

    placement: Placement
    name: str
    attempts: list[Instance] = field(default_factory=list)
    ended: bool = False

    def send(self, attempt: int, instance: Instance) -> None:
        self.attempts.append(instance)
        self.placement.attempt_ended(self.name, attempt, instance, api.OutcomeKind.ERROR, 1.0, done=False)

    def cancel(self, attempt: int) -> None:
        raise AssertionError("unexpected cancel: no attempt is open")

    def refuse(self, retry_after_ms: float) -> None:
        self.fail()

    def fail(self) -> None:
        self.ended = True
        self.placement.remove(self.name)


def run_with_placement(scenario: Callable[[Placement], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        placement = Placement(1, 0, False, 7, first_limit=64.0)
        body = {"backend": "lm", "state": "ready", "slots": 64}
        placement.update_instances(
            parse_heartbeat(f"i-{number}", {**body, "address": f"127.0.0.1:{number + 1}"})
            for number in range(WORKERS)
        )
        await scenario(placement)

    asyncio.run(run())


async def run_request(placement: Placement, name: str, route: Route) -> FailingRequest:
    """Schedules a request and waits for its end."""
    request = FailingRequest(placement, name)
    placement.submit(name, request, route, None, LEFT_MS)
    async with asyncio.timeout(LEFT_MS / 1000):
        while not request.ended:
            await asyncio.sleep(0)
    return request


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
@pytest.mark.parametrize("changes_known", [False, True])
def test_max_attempts_holds_after_any_number_of_changed_timeouts(
    max_attempts: int, changes_known: bool
) -> None:
    # review/7: beyond 4,096 classes a request ran on up to four workers
    async def scenario(placement: Placement) -> None:
        classes = {job_class_of(safe_route(1000.0 + number)) for number in range(MANY_CLASSES)}
        if changes_known:
            placement.retain_classes(classes)
        for number in range(MANY_CLASSES):
            await run_request(placement, f"r-{number}", safe_route(1000.0 + number))
        judged = await run_request(placement, "judged", safe_route(500.0, max_attempts))
        assert len(judged.attempts) == max_attempts

    run_with_placement(scenario)


def test_a_route_may_allow_more_attempts_than_is_usual() -> None:
    async def scenario(placement: Placement) -> None:
        request = await run_request(placement, "r", safe_route(LEFT_MS, WORKERS))
        assert len({instance.id for instance in request.attempts}) == len(request.attempts) == WORKERS

    run_with_placement(scenario)


class Recorder:
    """The events that a registry passes on, and the classes that a dispatcher then knows."""

    def __init__(self) -> None:
        self.known: dict[int, api.JobClass] = {}
        self.registry = JobClassRegistry(self._apply)

    def _apply(self, event: api.Event) -> None:
        if isinstance(event, api.ClassAdded):
            assert event.number not in self.known
            self.known[event.number] = event.job_class
        else:
            assert isinstance(event, api.ClassRemoved)
            del self.known[event.number]


def test_as_many_classes_are_known_as_are_in_force_or_open() -> None:
    recorder = Recorder()
    registry = recorder.registry
    versions = [
        [job_class_of(safe_route(1000.0 * version + route)) for route in range(350)]
        for version in range(1, 400)
    ]
    kept = versions[0][0]
    registry.open(kept)
    for version in versions:
        registry.retain(frozenset(version))
        for job_class in version:
            assert recorder.known[registry.open(job_class)] == job_class
            registry.close(job_class)
        assert len(registry) == len(recorder.known) <= len(version) + 1
    assert kept in recorder.known.values(), "a request of it is open"
    registry.close(kept)
    assert kept not in recorder.known.values()
    registry.retain(frozenset())
    assert not recorder.known


def test_settings_that_are_read_have_a_class() -> None:
    with pytest.raises(ValueError, match="classes: at least one is needed"):
        read_settings({"classes": [], "limits": {}, "rules": {}})


def test_what_was_learned_of_a_class_ends_with_it() -> None:
    dispatcher = Dispatcher(api.Settings(classes=(), max_attempts=1), 1)
    job_class = api.JobClass(aim_ms=1000.0, deadline_ms=1000.0, max_runs=1)
    entries = tuple(api.WorkerEntry(worker=number) for number in (1, 2, 3))
    dispatcher.step(0.0, [api.WorkerList(api.ListForm.FULL, entries), api.ClassAdded(7, job_class)])
    with pytest.raises(ValueError, match="given twice"):
        dispatcher.step(0.0, [api.ClassAdded(7, job_class)])
    (send,) = [
        action
        for action in dispatcher.step(1.0, [api.Arrival("a", 7, grace_ms=900.0)])
        if isinstance(action, api.Send)
    ]
    failure = api.Outcome("a", 0, send.worker, api.OutcomeKind.ERROR, 1.0, True)
    dispatcher.step(2.0, [failure])
    worker, classes = dispatcher.table.workers[send.worker], dispatcher.table.classes
    assert set(worker.failed_until) == set(worker.strikes) == set(classes.max_grace_ms) == {7}
    dispatcher.step(3.0, [api.Arrival("b", 7, grace_ms=900.0)])
    dispatcher.step(4.0, [api.ClassRemoved(7)])
    assert not worker.failed_until and not worker.strikes and not classes.max_grace_ms
    attempt = dispatcher.ledger.in_flight["b", 0]
    late = api.Outcome("b", 0, attempt.worker.id, api.OutcomeKind.ERROR, 1.0, True)
    dispatcher.step(5.0, [late])
    assert not attempt.worker.failed_until, "nothing is learned of a class that is gone"
