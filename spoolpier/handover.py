"""Exports what a dispatcher has learned as plain data, and imports it in the process that replaces it.

It makes no decisions. The keys of the data and the attributes in FLEET and WORKER are a format that processes
of different versions share.
"""

from __future__ import annotations

from typing import Any

from spoolpier import interface as api
from spoolpier.dispatcher import Dispatcher
from spoolpier.state import Attempt, Job, Worker

FLEET = ("run_ms", "overhead", "pace")  # attributes of the worker table
WORKER = ("limit", "strikes", "failed_until", "unreached", "suspended_until")  # attributes of a worker
MAX_KEYS = 400  # the most frequent keys are exported


def export_learned(dispatcher: Dispatcher) -> dict[str, Any]:
    """Return what the dispatcher has learned of the fleet, of each worker that is up, and of the keys."""
    table, signatures = dispatcher.table, dispatcher.signatures
    keys = sorted(signatures.counts, key=lambda k: -signatures.counts[k])[:MAX_KEYS]
    return {
        "fleet": {name: getattr(table, name) for name in FLEET},
        "slots_of_kind": list(table.slots_of_kind.items()),
        "ran": [(kind, *totals) for kind, totals in table.run_totals.items()],
        "workers": [_export_worker(w) for w in table.workers.values() if w.up],
        "keys": [(k, signatures.counts[k], signatures.seconds.get(k)) for k in keys],
        "total": signatures.total,
    }


def import_learned(dispatcher: Dispatcher, data: dict[str, Any]) -> None:
    """Import what another process has learned; workers that restarted since are skipped."""
    table, signatures = dispatcher.table, dispatcher.signatures
    for name in FLEET:
        setattr(table, name, float(data["fleet"][name]))
    # Without the slots, a cold worker counts as one of a single slot and gets a fraction of its capacity.
    table.slots_of_kind = {int(kind): float(slots) for kind, slots in data["slots_of_kind"]}
    table.run_totals = {int(kind): (float(hinted), float(took)) for kind, hinted, took in data.get("ran", ())}
    for fields in data["workers"]:
        worker = table.workers.get(int(fields["id"]))
        # A worker with another start is another process, to which the data does not apply.
        if worker is None or not worker.up or worker.started_ms != fields["started_ms"]:
            continue
        for name in WORKER:
            value = fields[name]
            if isinstance(value, dict):  # by job class; the keys are strings in plain data
                value = {int(job_class): entry for job_class, entry in value.items()}
            setattr(worker, name, value)
        signatures.remember(worker, fields["key"])
    for key, count, seconds in data["keys"]:
        signatures.counts[key] = float(count)
        if seconds is not None:
            signatures.seconds[key] = float(seconds)
    signatures.total = float(data["total"])


def export_job(dispatcher: Dispatcher, job_id: str) -> dict[str, Any] | None:
    """Return a job's attempts that are open or may have run, oldest first; None without an open one."""
    job = dispatcher.ledger.jobs.get(job_id)
    if job is None or not job.has_open_attempt:
        return None
    possible_runs = [
        {
            "number": a.number,
            "worker": a.worker.id,
            "zone": a.worker.zone,
            "cell": a.worker.cell,
            "sent_at": a.sent_at,
            "heard_at": a.last_received_at,
            "started": a.started,
            "open": a.open,
        }
        for a in job.possible_runs
    ]
    return {
        "attempts": job.attempts,
        "barred": sorted(job.excluded_workers),
        "suspects": possible_runs,
    }


def import_job(dispatcher: Dispatcher, event: api.Arrival, data: dict[str, Any]) -> None:
    """Accept a job that another process has sent as if this dispatcher had sent it: all rules still apply."""
    table, ledger = dispatcher.table, dispatcher.ledger
    spec = table.classes.specs[event.job_class]
    lost_ms = max(0.0, spec.deadline_ms - event.grace_ms)  # the aim has been running meanwhile
    job = Job(event, spec, dispatcher.now, dispatcher.settings.tick_ms, lost_ms)
    job.attempts, job.excluded_workers = int(data["attempts"]), set(data["barred"])
    ledger.jobs[job.id] = job
    for fields in data["suspects"]:
        w = table.workers.get(fields["worker"])
        if w is None:
            # The worker has left the list: a run there still binds the job to its zone and cell.
            w = table.add(fields["worker"], dispatcher.now)
            w.zone, w.cell = fields["zone"], fields["cell"]
        a = Attempt(job, fields["number"], w, fields["sent_at"], fields["open"], fields["started"])
        a.last_received_at = fields["heard_at"]
        job.possible_runs.append(a)
        if a.open:
            ledger.in_flight[job.id, a.number] = a
            table.count_sent(w, job, dispatcher.now)


def _export_worker(worker: Worker) -> dict[str, Any]:
    learned = {name: getattr(worker, name) for name in WORKER}
    return {"id": worker.id, "started_ms": worker.started_ms, "key": worker.key, **learned}
