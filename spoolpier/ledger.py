"""Jobs and their attempts: what may be sent again, what was refused, what has ended."""

from __future__ import annotations

import math
from collections import deque

from spoolpier import interface as api
from spoolpier.signatures import SignatureIndex
from spoolpier.state import Attempt, Job, Worker
from spoolpier.workers import WorkerTable, in_group

REPEAT_MARGIN_MS = 220.0  # before a repeat window's end: 150 ms that a process may be held, and the way there


class JobLedger:
    """Jobs not yet answered for good and attempts still out. The only place that sends, refuses or fails."""

    def __init__(self, settings: api.Settings, table: WorkerTable, signatures: SignatureIndex) -> None:
        self.settings = settings
        self.table = table
        self.signatures = signatures
        self.jobs: dict[str, Job] = {}
        self.out: dict[tuple[str, int], Attempt] = {}
        self.unstarted: deque[Attempt] = deque()  # attempts by time of send, until begun or late
        self.actions: list[api.Action] = []

    def may_send(self, job: Job, w: Worker, now: float) -> bool:
        """Rules 1 and 2: whether another attempt on this worker is allowed."""
        if job.id not in self.jobs or job.attempts >= self.settings.max_attempts or now >= job.expires:
            return False
        if not job.suspects:
            return True
        if 0 < job.kind.max_runs <= len(job.suspects):
            return False
        if job.kind.effect is api.Effect.UNSAFE or (job.is_open and not self.settings.may_duplicate):
            return False
        if job.kind.effect is api.Effect.SAFE:
            return True
        return in_group(job, job.suspects[0].worker, w) and now < self.repeat_until(job)

    def repeat_until(self, job: Job) -> float:
        """Until when a repeat may be written: the workers forget a key after its window.

        The window is counted from the first send that may have run.
        """
        if job.kind.effect is not api.Effect.KEYED or not job.suspects:
            return math.inf
        return job.suspects[0].sent_at + job.kind.window_ms - REPEAT_MARGIN_MS

    def send(self, job: Job, w: Worker, now: float) -> None:
        """Begin an attempt."""
        if not self.may_send(job, w, now):
            raise RuntimeError(f"job {job.id} must not be sent to worker {w.id}")
        not_after = self.repeat_until(job)
        a = Attempt(job, job.attempts, w, now)
        job.attempts += 1
        job.suspects.append(a)
        self.out[job.id, a.number] = a
        self.unstarted.append(a)
        self.table.count_sent(w, job, now)
        self.signatures.remember(w, job.key)
        cold = (job.work, w.cold_turn, w.cold_most) if w.cold_most else (0.0, -1, 0.0)
        self.actions.append(api.Send(job.id, w.id, 0.0, *cold, not_after))

    def outcome(self, event: api.Outcome, now: float) -> Job | None:
        """Take in the end of an attempt; returns the job if it is still owed an answer."""
        a = self.out.pop((event.job, event.attempt), None)
        if a is None:
            return None
        a.open = False
        self.table.count_ended(a, event.kind, now)
        self.table.take_report(a.worker, event.report, now)
        job = a.job
        if event.kind is api.OutcomeKind.SERVED:
            self.signatures.seconds[job.key] = event.elapsed_ms / 1000
        if event.done:
            self.end(job)
        if job.id not in self.jobs:
            return None
        if event.kind in api.PROVEN_NOT_RUN:
            job.suspects.remove(a)
        job.barred.add(a.worker.id)
        return job

    def may_refuse(self, job: Job) -> bool:
        """Rule 2: a refusal tells the client that a repeat is harmless."""
        anywhere = job.kind.effect is api.Effect.KEYED and job.kind.group is api.Group.ALL
        return not job.suspects or job.kind.effect is api.Effect.SAFE or anywhere

    def close(self, job: Job) -> None:
        """Give the final answer that is owed: refused where that is true, failed otherwise."""
        refusal = api.Refuse(job.id, self.settings.max_retry_after_ms)
        self.actions.append(refusal if self.may_refuse(job) else api.Fail(job.id))
        self.end(job)

    def end(self, job: Job) -> None:
        """The job has its final answer; copies still out are of no use."""
        if self.jobs.pop(job.id, None) is None:
            return
        if self.settings.may_cancel:
            self.actions += [api.Cancel(job.id, a.number) for a in job.suspects if a.open]
