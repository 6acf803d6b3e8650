"""What people are shown of the decision module's state."""

from __future__ import annotations

from spoolpier.brain import EXCLUDED_MOST, NEVER, WorkerTable


def avoided(table: WorkerTable, now: float) -> set[int]:
    """Workers left alone now, by all jobs or by those of a class, as choose() sees it."""
    up = [w for w in table.workers.values() if w.up]
    found = {w.id for w in up if w.unreached and now < w.suspended_until}
    for job_class in range(len(table.settings.classes)):
        failing = {w.id for w in up if now < w.failed_until.get(job_class, NEVER)}
        found |= failing if len(failing) <= EXCLUDED_MOST * len(up) else set()
    return found
