"""What people are shown of the decision module's state."""

from __future__ import annotations

from collections import Counter

from spoolpier.constants import NEVER
from spoolpier.dispatcher import Dispatcher
from spoolpier.state import Job, Worker
from spoolpier.workers import MAX_EXCLUDED, WorkerTable


def avoided(table: WorkerTable, now: float) -> set[int]:
    """Workers left alone now, by all jobs or by those of a class, as choose_worker() sees it."""
    up = [w for w in table.workers.values() if w.up]
    found = {w.id for w in up if w.unreached and now < w.suspended_until}
    for job_class in range(len(table.settings.classes)):
        failing = {w.id for w in up if now < w.failed_until.get(job_class, NEVER)}
        found |= failing if len(failing) <= MAX_EXCLUDED * len(up) else set()
    judged = {worker for worker, _ in table.excluded}
    return found | {w.id for w in up if w.id in judged}


def belief(dispatcher: Dispatcher, worker: int, now: float) -> dict[str, object]:
    """What the module holds of a worker, in a few words and figures."""
    w = dispatcher.table.workers.get(worker)
    if w is None:
        return {"state": "unknown"}
    s = dispatcher.settings
    state = "up" if w.up else "out"
    if w.up and w.started_ms > 0 and now - w.since_ms < s.cold_ms:
        state = "cold"
    if w.up and now < w.suspended_until:
        state = "doubted"
    return {
        "state": state,
        "age_ms": round(now - w.since_ms) if w.started_ms else "-",
        "filled": w.own_slots,
        "others": w.other_slots,
        "limit": round(w.limit, 1),
    }


def hindrance(dispatcher: Dispatcher, job: Job, w: Worker, now: float) -> str:
    """Why a job is not sent to a worker now, in the order of Dispatcher.choose_worker; "" if it could.

    Probes that are out are not looked at.
    """
    table, s = dispatcher.table, dispatcher.settings
    if now < w.suspended_until:
        return "doubted"
    if now < w.full_until:
        return "queue"
    if w.id in job.excluded_workers:
        return "tried"
    if job.spec.kind not in (-1, w.kind):
        return "kind"
    if (w.id, job.job_class) in table.excluded:
        return "verdict"
    if not table.majority_failing(job, now) and now < w.failed_until.get(job.job_class, NEVER):
        return "failing"
    if s.tells_start:
        full = w.own_slots + w.other_slots + job.slots > max(w.limit, job.slots)
    elif w.reported_at >= now - table.trust_ms:
        full = w.free_slots - w.unreported_slots < job.slots
    else:
        full = not s.may_probe and w.own_attempts + w.other_slots >= int(w.limit)
    if full:
        return "full"
    if job.possible_runs and not dispatcher.ledger.may_send(job, w, now):
        return "rule"
    if w.free_memory is not None and job.memory is not None and w.free_memory < job.memory:
        return "memory"
    if w.started_ms and (budget := table.cold_budget(w, now)) < job.work:
        return "cold" if budget else "cold, not our turn"
    return ""


def why_held(dispatcher: Dispatcher, job_id: str, now: float) -> dict[str, int] | None:
    """Of all workers up, how many would not take a held job, by reason; None for a job that is not held.

    "unseen" are those that would: the job has not looked so far yet.
    """
    job = dispatcher.held.get(job_id)
    if job is None:
        return None
    up = [w for w in dispatcher.table.workers.values() if w.up]
    found = Counter(hindrance(dispatcher, job, w, now) or "unseen" for w in up)
    return dict(found.most_common())
