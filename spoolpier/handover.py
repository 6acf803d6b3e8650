"""What a dispatcher knows, as plain data for the process that takes its place. It decides nothing."""

from __future__ import annotations

from typing import Any

from spoolpier import interface as api
from spoolpier.dispatcher import Dispatcher
from spoolpier.state import Attempt, Job, Worker

FLEET = ("run_ms", "overhead", "pace")
WORKER = ("limit", "strikes", "failed_until", "unreached", "suspended_until")
KEYS_MOST = 400  # the commonest


def learned(dispatcher: Dispatcher) -> dict[str, Any]:
    """What is known of the fleet, of each worker that is up, and of the keys."""
    table, signatures = dispatcher.table, dispatcher.signatures
    keys = sorted(signatures.counts, key=lambda k: -signatures.counts[k])[:KEYS_MOST]
    return {
        "fleet": {name: getattr(table, name) for name in FLEET},
        "slots_of_kind": list(table.slots_of_kind.items()),
        "ran": [(kind, *ran) for kind, ran in table.ran.items()],
        "workers": [_worker(w) for w in table.workers.values() if w.up],
        "keys": [(k, signatures.counts[k], signatures.seconds.get(k)) for k in keys],
        "total": signatures.total,
    }


def learn(dispatcher: Dispatcher, told: dict[str, Any]) -> None:
    """Take over what another process has learned of workers that are the same processes still."""
    table, signatures = dispatcher.table, dispatcher.signatures
    for name in FLEET:
        setattr(table, name, float(told["fleet"][name]))
    # without it a cold worker counts as one of a single slot, and gets a fraction of what it could do
    table.slots_of_kind = {int(kind): float(slots) for kind, slots in told["slots_of_kind"]}
    table.ran = {int(kind): (float(hinted), float(took)) for kind, hinted, took in told.get("ran", ())}
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


def job_state(dispatcher: Dispatcher, name: str) -> dict[str, Any] | None:
    """A job with an attempt out: those that may have run, oldest first, and where. None without one."""
    job = dispatcher.ledger.jobs.get(name)
    if job is None or not job.is_open:
        return None
    suspects = [
        {
            "number": a.number,
            "worker": a.worker.id,
            "zone": a.worker.zone,
            "cell": a.worker.cell,
            "sent_at": a.sent_at,
            "heard_at": a.heard_at,
            "started": a.started,
            "open": a.open,
        }
        for a in job.suspects
    ]
    return {"attempts": job.attempts, "barred": sorted(job.barred), "suspects": suspects}


def adopt(dispatcher: Dispatcher, event: api.Arrival, told: dict[str, Any]) -> None:
    """Take in a job that another process has sent, as if this dispatcher had: all rules go on from there."""
    table, ledger = dispatcher.table, dispatcher.ledger
    kind = dispatcher.settings.classes[event.job_class]
    lost = max(0.0, kind.deadline_ms - event.grace_ms)  # the aim has run on meanwhile
    job = Job(event, kind, dispatcher.now, dispatcher.settings.tick_ms, lost)
    job.attempts, job.barred = int(told["attempts"]), set(told["barred"])
    ledger.jobs[job.id] = job
    for known in told["suspects"]:
        w = table.workers.get(known["worker"])
        if w is None:
            # has left the list: what may have run there binds the job to its zone and cell all the same
            w = table.add(known["worker"], dispatcher.now)
            w.zone, w.cell = known["zone"], known["cell"]
        a = Attempt(job, known["number"], w, known["sent_at"], known["open"], known["started"])
        a.heard_at = known["heard_at"]
        job.suspects.append(a)
        if a.open:
            ledger.out[job.id, a.number] = a
            table.count_sent(w, job, dispatcher.now)


def _worker(worker: Worker) -> dict[str, Any]:
    known = {name: getattr(worker, name) for name in WORKER}
    return {"id": worker.id, "started_ms": worker.started_ms, "key": worker.key, **known}
