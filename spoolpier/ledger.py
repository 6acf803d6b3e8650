"""Jobs and their attempts: which jobs may be sent again, which are refused, and which have ended."""

from __future__ import annotations

import math
from collections import deque

from spoolpier import interface as api
from spoolpier.signatures import SignatureIndex
from spoolpier.state import Attempt, Job, Worker
from spoolpier.workers import WorkerTable, in_group

# Margin before the end of a repeat window: a process may be suspended for 150 ms, plus the network delay.
REPEAT_MARGIN_MS = 220.0


class JobLedger:
    """Jobs without a final answer and open attempts. Only this class sends, refuses or fails jobs."""

    def __init__(self, settings: api.Settings, table: WorkerTable, signatures: SignatureIndex) -> None:
        self.settings = settings
        self.table = table
        self.signatures = signatures
        self.jobs: dict[str, Job] = {}
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by job id and attempt number
        self.unstarted: deque[Attempt] = deque()  # by time of send; removed once started or late
        self.actions: list[api.Action] = []

    def may_send(self, job: Job, w: Worker, now: float) -> bool:
        """Return whether rules 1 and 2 allow another attempt of the job on this worker."""
        if job.id not in self.jobs or job.attempts >= self.max_attempts(job) or now >= job.expires_at:
            return False
        if not job.possible_runs:
            return True
        if 0 < job.spec.max_runs <= len(job.possible_runs):
            return False
        if job.spec.effect is api.Effect.UNSAFE or (job.has_open_attempt and not self.settings.may_duplicate):
            return False
        if job.spec.effect is api.Effect.SAFE:
            return True
        return in_group(job, job.possible_runs[0].worker, w) and now < self.repeat_deadline(job)

    def max_attempts(self, job: Job) -> int:
        """Return how often a job may be sent, with the attempts that a worker declined."""
        return max(self.settings.max_attempts, job.spec.max_runs)

    def repeat_deadline(self, job: Job) -> float:
        """Return until when a repeat may be sent: workers forget a key after the class's window.

        The window is counted from the first send that may have run.
        """
        if job.spec.effect is not api.Effect.KEYED or not job.possible_runs:
            return math.inf
        return job.possible_runs[0].sent_at + job.spec.window_ms - REPEAT_MARGIN_MS

    def send(self, job: Job, w: Worker, now: float) -> None:
        """Begin an attempt of the job on this worker. Raises RuntimeError if the rules forbid it."""
        if not self.may_send(job, w, now):
            raise RuntimeError(f"job {job.id} must not be sent to worker {w.id}")
        not_after = self.repeat_deadline(job)
        a = Attempt(job, job.attempts, w, now)
        job.attempts += 1
        job.possible_runs.append(a)
        self.in_flight[job.id, a.number] = a
        self.unstarted.append(a)
        self.table.count_sent(w, job, now)
        self.signatures.remember(w, job.key)
        cold = (job.work, w.cold_time_slice, w.max_cold_work) if w.max_cold_work else (0.0, -1, 0.0)
        self.actions.append(api.Send(job.id, w.id, 0.0, *cold, not_after))

    def record_outcome(self, event: api.Outcome, now: float) -> Job | None:
        """Record the end of an attempt and return the job if it still needs a final answer."""
        a = self.in_flight.pop((event.job, event.attempt), None)
        if a is None:
            return None
        a.open = False
        self.table.count_ended(a, event.kind, now)
        self.table.take_report(a.worker, event.report, now)
        job = a.job
        if event.kind is api.OutcomeKind.SERVED:
            self.signatures.seconds[job.key] = event.elapsed_ms / 1000
        if event.done:
            self.finish(job)
        if job.id not in self.jobs:
            return None
        if event.kind in api.PROVEN_NOT_RUN:
            job.possible_runs.remove(a)
        job.excluded_workers.add(a.worker.id)
        return job

    def may_refuse(self, job: Job) -> bool:
        """Return whether rule 2 allows a refusal, which tells the client that a repeat is harmless."""
        repeats_dropped = job.spec.effect is api.Effect.KEYED and job.spec.group is api.Group.ALL
        return not job.possible_runs or job.spec.effect is api.Effect.SAFE or repeats_dropped

    def give_up(self, job: Job) -> None:
        """Give the job its final answer: a refusal where rule 2 allows it, else a failure."""
        refusal = api.Refuse(job.id, self.settings.max_retry_after_ms)
        self.actions.append(refusal if self.may_refuse(job) else api.Fail(job.id))
        self.finish(job)

    def finish(self, job: Job) -> None:
        """Remove a job that has its final answer, and cancel its open attempts."""
        if self.jobs.pop(job.id, None) is None:
            return
        if self.settings.may_cancel:
            self.actions += [api.Cancel(job.id, a.number) for a in job.possible_runs if a.open]
