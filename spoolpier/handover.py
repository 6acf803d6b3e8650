"""What a dispatcher has learned, as plain data for the process that takes its place. It decides nothing."""

from __future__ import annotations

from typing import Any

from spoolpier.brain import Dispatcher, Worker

FLEET = ("run_ms", "overhead", "pace", "pressure")
WORKER = ("limit", "strikes", "failed_until", "unreached", "suspended_until")
KEYS_MOST = 400  # the commonest


def learned(dispatcher: Dispatcher) -> dict[str, Any]:
    """What is known of the fleet, of each worker that is up, and of the keys."""
    table, signatures = dispatcher.table, dispatcher.signatures
    keys = sorted(signatures.counts, key=lambda k: -signatures.counts[k])[:KEYS_MOST]
    return {
        "fleet": {name: getattr(table, name) for name in FLEET},
        "failing_until": table.failing_until,
        "workers": [_worker(w) for w in table.workers.values() if w.up],
        "keys": [(k, signatures.counts[k], signatures.seconds.get(k)) for k in keys],
        "total": signatures.total,
    }


def learn(dispatcher: Dispatcher, told: dict[str, Any]) -> None:
    """Take over what another process has learned of workers that are the same processes still."""
    table, signatures = dispatcher.table, dispatcher.signatures
    for name in FLEET:
        setattr(table, name, float(told["fleet"][name]))
    table.failing_until = float(told["failing_until"])
    for known in told["workers"]:
        worker = table.workers.get(int(known["id"]))
        # one that has started since is another process: what was known of it would be wrong
        if worker is None or not worker.up or worker.started_ms != known["started_ms"]:
            continue
        for name in WORKER:
            value = known[name]
            if isinstance(value, dict):  # by class; the keys of plain data are text
                value = {int(job_class): found for job_class, found in value.items()}
            setattr(worker, name, value)
        signatures.remember(worker, known["key"])
    for key, count, seconds in told["keys"]:
        signatures.counts[key] = float(count)
        if seconds is not None:
            signatures.seconds[key] = float(seconds)
    signatures.total = float(told["total"])


def _worker(worker: Worker) -> dict[str, Any]:
    known = {name: getattr(worker, name) for name in WORKER}
    return {"id": worker.id, "started_ms": worker.started_ms, "key": worker.key, **known}
