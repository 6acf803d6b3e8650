"""What a process takes over of what the process before it has learned (spoolpier.handover)."""

from __future__ import annotations

import json
from typing import Any

from pebbledrift.core.view import avoided_workers as avoided_by
from spoolpier import Dispatcher
from spoolpier import interface as api
from spoolpier.handover import export_learned, import_learned
from tests.helpers import entries, job, outcome, sends, started


def exported(dispatcher: Dispatcher) -> Any:
    """The exported data after a round trip through JSON, as in a message between processes."""
    return json.loads(json.dumps(export_learned(dispatcher)))


def busy(workers: int) -> Dispatcher:
    """A dispatcher after 12 rounds of 40 keys, so that each worker has run several jobs at a time."""
    d = started(workers, tells_start=True)
    now = 10.0
    for round_number in range(12):
        out = sends(d.step(now, [job(f"{round_number}.{i}", key=i) for i in range(40)]))
        while out:
            d.step(now + 5, [api.Note(s.job, 0, s.worker, api.Progress.STARTED) for s in out])
            out = sends(d.step(now + 50, [outcome(s, api.OutcomeKind.SERVED) for s in out]))
            now += 50
        now += 3000
    return d


def test_limits_and_signatures_are_known_from_the_start() -> None:
    # Guards against a restart that resets each worker's limit to one slot: a busy fleet's jobs were then
    # refused until the limits had grown again.
    old = busy(4)
    new = started(4, tells_start=True)
    import_learned(new, exported(old))
    fresh = started(4, tells_start=True)
    events = [job(f"a{k}", key=k) for k in range(40)]
    first, second, third = ([s.worker for s in sends(d.step(60_000.0, events))] for d in (old, new, fresh))
    assert first == second
    assert len(first) > len(third) == 4


def test_a_failed_worker_stays_avoided_and_a_restarted_one_does_not() -> None:
    old = started(3)
    for i in range(2):  # one failure avoids a worker briefly, the second one for longer
        for s in sends(old.step(10.0 + 1000 * i, [job(f"a{i}")])):
            failed = s.worker
            old.step(15.0 + 1000 * i, [outcome(s, api.OutcomeKind.ERROR, done=True)])
    avoided = avoided_by(old.table, 1100.0)
    assert avoided
    same, restarted = started(3), started(3)
    import_learned(same, exported(old))
    assert avoided_by(same.table, 1100.0) == avoided
    new_entries = tuple(e for e in entries(3, started_ms=1050.0) if e.worker in avoided)
    restarted.step(1060.0, [api.WorkerList(api.ListForm.DELTA, new_entries)])
    import_learned(restarted, exported(old))
    assert failed and not avoided_by(restarted.table, 1100.0)
