"""Builders of settings, dispatchers and events, shared by the tests of the decision module."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from spoolpier import Dispatcher
from spoolpier import interface as api

SAFE = api.JobClass(aim_ms=400, deadline_ms=5000, aim_stretch=2.0)
KEYED = api.JobClass(
    aim_ms=400,
    deadline_ms=5000,
    aim_stretch=2.0,
    effect=api.Effect.KEYED,
    group=api.Group.CELL,
    window_ms=3000,
)
UNSAFE = api.JobClass(aim_ms=400, deadline_ms=5000, aim_stretch=2.0, effect=api.Effect.UNSAFE)


def settings(**changes: Any) -> api.Settings:
    """Settings with one job class per effect; load reports come with answers."""
    base: dict[str, Any] = {"classes": (SAFE, KEYED, UNSAFE), "tick_ms": 5.0, "reports_in_answers": True}
    return api.Settings(**{**base, **changes})


def entries(count: int, **changes: Any) -> tuple[api.WorkerEntry, ...]:
    """List entries for workers 1 to count, two per cell."""
    return tuple(api.WorkerEntry(worker=i, cell=i // 2, **changes) for i in range(1, count + 1))


def started(count: int, **changes: Any) -> Dispatcher:
    """A dispatcher at time 0 whose worker list has workers 1 to count."""
    dispatcher = Dispatcher(settings(**changes), seed=1)
    dispatcher.step(0.0, [api.WorkerList(api.ListForm.CACHED, entries(count))])
    return dispatcher


def job(name: str, job_class: int = 0, **changes: Any) -> api.Arrival:
    """The arrival of a job with a hint of 100 ms."""
    base: dict[str, Any] = {"grace_ms": 5000.0, "key": 1, "hint_ms": 100.0}
    return api.Arrival(name, job_class, **{**base, **changes})


def sends(actions: Iterable[api.Action]) -> list[api.Send]:
    """The Send actions in a list of actions."""
    return [a for a in actions if isinstance(a, api.Send)]


def finals(actions: Iterable[api.Action]) -> list[api.Refuse | api.Fail]:
    """The Refuse and Fail actions in a list of actions."""
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


def outcome(send: api.Send, kind: api.OutcomeKind, attempt: int = 0, done: bool | None = None) -> api.Outcome:
    """The outcome of an attempt; only SERVED ends the job unless `done` says otherwise."""
    finished = kind is api.OutcomeKind.SERVED if done is None else done
    return api.Outcome(send.job, attempt, send.worker, kind, 100.0, finished)
