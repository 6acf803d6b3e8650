"""Summaries of the decision module's state for operators and for the trace."""

from __future__ import annotations

from collections import Counter

from spoolpier.constants import NEVER
from spoolpier.dispatcher import Dispatcher
from spoolpier.state import Job, Worker
from spoolpier.workers import MAX_EXCLUDED, WorkerTable


def avoided_workers(table: WorkerTable, now: float) -> set[int]:
    """Returns the workers that choose_worker() avoids now, for all jobs or for a class."""
    up = [w for w in table.workers.values() if w.up]
    avoided = {w.id for w in up if w.unreached and now < w.suspended_until}
    for job_class in range(len(table.settings.classes)):
        failing = {w.id for w in up if now < w.failed_until.get(job_class, NEVER)}
        avoided |= failing if len(failing) <= MAX_EXCLUDED * len(up) else set()
    excluded = {worker for worker, _ in table.excluded}
    return avoided | {w.id for w in up if w.id in excluded}


def worker_summary(dispatcher: Dispatcher, worker: int, now: float) -> dict[str, object]:
    """Returns the decision module's view of a worker as trace fields."""
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


def rejection_reason(dispatcher: Dispatcher, job: Job, w: Worker, now: float) -> str:
    """Returns why a job is not sent to a worker now, or "" if it could be sent.

    The checks follow the order of Dispatcher.choose_worker. Outstanding probes are not considered.
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


def hold_reasons(dispatcher: Dispatcher, job_id: str, now: float) -> dict[str, int] | None:
    """Returns how many of the workers that are up reject a held job, by reason; None if it is not held.

    "unseen" counts workers that would accept the job, but that its search has not reached yet.
    """
    job = dispatcher.held.get(job_id)
    if job is None:
        return None
    up = [w for w in dispatcher.table.workers.values() if w.up]
    counts = Counter(rejection_reason(dispatcher, job, w, now) or "unseen" for w in up)
    return dict(counts.most_common())
