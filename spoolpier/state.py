"""A dispatcher's records of workers, attempts and jobs. Times are in ms on the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from spoolpier import interface as api
from spoolpier.constants import NEVER, RETRY_MS
from spoolpier.hashing import mix


@dataclass(slots=True, eq=False)
class Worker:
    """The state that this dispatcher keeps for one worker."""

    id: int
    hash: int
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started_ms: float = 0.0  # identifies the worker's process; 0: it has been running for a long time
    since_ms: float = 0.0  # start of the process by the caller's clock
    up: bool = False
    key: int | None = None  # signature: the key of the last job sent to this worker
    own_attempts: int = 0  # open attempts of this dispatcher
    own_slots: float = 0.0  # slots that these attempts occupy
    limit: float = 1.0  # attempts that may run at once, until newer information arrives
    free_slots: float = 0.0  # by the last load report
    free_memory: float | None = None
    reported_at: float = NEVER  # time of the last load report
    unreported_slots: float = 0.0  # slots filled by this dispatcher that the last report may not include
    last_sent_at: float = NEVER
    probe_sent_at: float = NEVER
    waiting_jobs: list[Job] = field(default_factory=list)  # held jobs that wait for the probe's result
    strikes: dict[int, int] = field(default_factory=dict)  # consecutive failures, by job class
    failed_until: dict[int, float] = field(default_factory=dict)  # avoided until then, by job class
    unreached: int = 0  # consecutive failures of probes and connections
    refusals: int = 0  # consecutive refusals
    suspended_until: float = NEVER  # avoided by all job classes until then
    last_received_at: float = NEVER  # time of the last message that shows the worker is alive
    full_until: float = NEVER
    cold_time_slice: int = -1
    cold_work_spent: float = 0.0
    max_cold_work: float = 0.0  # budget of the time slice; 0 once the worker is warm
    other_slots: float = 0.0  # slots that other dispatchers occupy, as far as they report it
    listed_slots: float = 1.0  # capacity by the worker list


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a job to a worker."""

    job: Job
    number: int
    worker: Worker
    sent_at: float
    open: bool = True
    started: bool = False
    started_at: float = NEVER
    last_received_at: float = NEVER  # time of the last progress note
    presumed_lost: bool = False  # the answer is presumed lost; the attempt no longer occupies a slot


class Job:
    """A job that was accepted and has no final answer yet."""

    def __init__(
        self, event: api.Arrival, spec: api.JobClass, now: float, tick: float, lost_ms: float
    ) -> None:
        self.id = event.job
        self.spec, self.job_class = spec, event.job_class
        self.key = event.key
        self.hash = mix(event.key) if event.key is not None else mix(int.from_bytes(event.job.encode()[-8:]))
        self.hint_ms = event.hint_ms
        self.slots = max(1.0, event.slots)
        # the part of a cold worker's budget that the job uses
        self.work = (event.hint_ms or spec.aim_ms) * self.slots
        self.memory = event.memory
        self.arrived_at = now
        # one tick (ms) late would break rule 1
        self.expires_at = now + event.grace_ms - 2 * tick
        self.slack_ms = max(1.0, spec.aim_ms + (spec.aim_stretch - 1) * (event.hint_ms or 0.0) - lost_ms)
        self.latest_send_at = now + self.slack_ms  # a job sent after this is answered late
        # after this the job is given up and answered at once: it is late already and would only delay others
        self.useful_until = min(self.latest_send_at, self.expires_at)
        self.attempts, self.worth = 0, 1.0  # worth: relative to a job within all limits
        self.possible_runs: list[Attempt] = []  # attempts that are open or may have run, oldest first
        self.excluded_workers: set[int] = set()  # workers that did not accept the job
        self.retry_at = now
        # delay until the next search; searches that ended in waiting for probes; probes without a result yet
        self.retry_ms, self.probe_rounds, self.pending_probes = RETRY_MS, 0, 0

    @property
    def has_open_attempt(self) -> bool:
        """Whether any attempt is still open."""
        return any(a.open for a in self.possible_runs)
