"""What a newer process begins with of what the older one has learned."""

from __future__ import annotations

import json
from typing import Any

from pebbledrift.core.view import avoided_workers as avoided_by
from spoolpier import Dispatcher
from spoolpier import interface as api
from spoolpier.handover import learn, learned
from tests.helpers import entries, job, outcome, sends, started


def told(dispatcher: Dispatcher) -> Any:
    """What goes over, as it comes out of a message."""
    return json.loads(json.dumps(learned(dispatcher)))


def busy(workers: int) -> Dispatcher:
    """One that has had each of many keys served, until all workers have taken several jobs at a time."""
    d = started(workers, tells_start=True)
    now = 10.0
    for turn in range(12):
        out = sends(d.step(now, [job(f"{turn}.{i}", key=i) for i in range(40)]))
        while out:
            d.step(now + 5, [api.Note(s.job, 0, s.worker, api.Progress.STARTED) for s in out])
            out = sends(d.step(now + 50, [outcome(s, api.OutcomeKind.SERVED) for s in out]))
            now += 50
        now += 3000
    return d


def test_room_at_the_workers_and_their_signatures_are_known_from_the_start() -> None:
    # with one slot a worker at first, a busy fleet's jobs were refused until the limits had grown again
    old = busy(4)
    new = started(4, tells_start=True)
    learn(new, told(old))
    fresh = started(4, tells_start=True)
    events = [job(f"a{k}", key=k) for k in range(40)]
    first, second, third = ([s.worker for s in sends(d.step(60_000.0, events))] for d in (old, new, fresh))
    assert first == second
    assert len(first) > len(third) == 4


def test_a_worker_that_failed_is_left_alone_and_one_that_restarted_is_not_judged() -> None:
    old = started(3)
    for i in range(2):  # the second failure in a row counts
        for s in sends(old.step(10.0 + 1000 * i, [job(f"a{i}")])):
            bad = s.worker
            old.step(15.0 + 1000 * i, [outcome(s, api.OutcomeKind.ERROR, done=True)])
    avoided = avoided_by(old.table, 1100.0)
    assert avoided
    same, restarted = started(3), started(3)
    learn(same, told(old))
    assert avoided_by(same.table, 1100.0) == avoided
    again = tuple(e for e in entries(3, started_ms=1050.0) if e.worker in avoided)
    restarted.step(1060.0, [api.WorkerList(api.ListForm.DELTA, again)])
    learn(restarted, told(old))
    assert bad and not avoided_by(restarted.table, 1100.0)
