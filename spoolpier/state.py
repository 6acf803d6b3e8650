"""What a dispatcher knows of one worker, one attempt and one job."""

from __future__ import annotations

from dataclasses import dataclass, field

from spoolpier import interface as api
from spoolpier.constants import NEVER, RETRY_MS
from spoolpier.hashing import mix


@dataclass(slots=True, eq=False)
class Worker:
    """What this dispatcher knows of one worker."""

    id: int
    hash: int
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started_ms: float = 0.0  # names the process; 0: it has run for long
    since_ms: float = 0.0  # its start by our clock
    up: bool = False
    key: int | None = None  # signature: the key of the last job sent there
    own: int = 0  # attempts of ours that are out
    filled: float = 0.0  # slots they take
    limit: float = 1.0  # attempts of ours it may run while nothing newer is known
    free: float = 0.0  # free slots by the last report
    memory: float | None = None
    seen_at: float = NEVER
    unseen: float = 0.0  # slots we filled that the last report may not show
    last_sent: float = NEVER
    probe_sent: float = NEVER
    waiters: list[Job] = field(default_factory=list)  # held jobs that wait for its probe
    strikes: dict[int, int] = field(default_factory=dict)  # failures in a row, by class
    failed_until: dict[int, float] = field(default_factory=dict)  # left alone by this class until then
    unreached: int = 0  # probes and connections in a row that failed
    refusals: int = 0  # in a row
    suspended_until: float = NEVER  # left alone by all
    heard_at: float = NEVER  # the worker's last sign of life
    full_until: float = NEVER
    cold_turn: int = -1
    cold_spent: float = 0.0
    cold_most: float = 0.0  # that may be spent in the turn; 0 once it is warm
    others: float = 0.0  # slots that other dispatchers fill, as far as that is told
    size: float = 1.0  # slots it has, by the list


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a job."""

    job: Job
    number: int
    worker: Worker
    sent_at: float
    open: bool = True
    started: bool = False
    began_at: float = NEVER
    heard_at: float = NEVER  # its last note
    quiet: bool = False  # its answer is taken to be lost: it fills no slot any more


class Job:
    """A job taken in and not yet answered for good."""

    def __init__(self, event: api.Arrival, kind: api.JobClass, now: float, tick: float, lost: float) -> None:
        self.id = event.job
        self.kind, self.job_class = kind, event.job_class
        self.key = event.key
        self.hash = mix(event.key) if event.key is not None else mix(int.from_bytes(event.job.encode()[-8:]))
        self.hint = event.hint_ms
        self.slots = max(1.0, event.slots)
        self.work = (event.hint_ms or kind.aim_ms) * self.slots  # what it takes of a cold worker's budget
        self.memory = event.memory
        self.arrived = now
        self.expires = now + event.grace_ms - 2 * tick  # a final answer one tick late would break rule 1
        self.slack = max(1.0, kind.aim_ms + (kind.aim_stretch - 1) * (event.hint_ms or 0.0) - lost)
        self.aim_until = now + self.slack  # sent later than this, its answer is late
        # given up and answered at once from here on: late already, it would only make others late
        self.useful_until = min(self.aim_until, self.expires)
        self.attempts, self.worth = 0, 1.0  # the last: against that of a job within all limits
        self.suspects: list[Attempt] = []  # attempts that are out or may have run, oldest first
        self.barred: set[int] = set()  # workers that did not accept it
        self.retry_at = now
        # wait until the next look; looks that ended in waiting for probes; probes it waits for
        self.retry_ms, self.rounds, self.awaited = RETRY_MS, 0, 0

    @property
    def is_open(self) -> bool:
        """Whether an attempt is out."""
        return any(a.open for a in self.suspects)
