"""The interface of spoolpier: a dispatcher's settings, the events it processes and the actions it returns.

Times are milliseconds on the caller's clock. Workers and keys are integers, job ids are strings.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import IntEnum

from spoolpier.records import record

MIN_PART = 40  # dispatchers in a part of the fleet, at least: 40 used to be a whole fleet
RETRY_LIMIT = -1  # number of the limit on jobs that are sent, or arrive, again
Report = Mapping[str, float]
"""A worker's load report. Names in use: free_slots, free_memory, held, waiting, busy, service_ms."""


class Effect(IntEnum):
    """Whether a job may run more than once."""

    SAFE = 0  # may be repeated and refused freely
    KEYED = 1  # the workers of one group drop repeats within window_ms
    UNSAFE = 2  # must never run twice


class Group(IntEnum):
    """Which workers drop repeats of a keyed job that another one of them may have run."""

    ALL = 0
    ZONE = 1
    CELL = 2


class WorkerState(IntEnum):
    """State of a worker in the worker list."""

    UP = 0
    DRAINING = 1
    REMOVED = 2


class ListForm(IntEnum):
    """What the entries of a worker list event are."""

    DELTA = 0  # changed entries only
    FULL = 1  # all workers
    CACHED = 2  # all workers as last received, possibly stale
    FAILED = 3  # none: a request or the subscription failed, and the previous list remains valid


class OutcomeKind(IntEnum):
    """How an attempt ended. REFUSED, NO_CONNECTION and NOT_SENT prove that the job never ran."""

    SERVED = 0
    ERROR = 1
    REFUSED = 2
    TIMED_OUT = 3
    NO_CONNECTION = 4
    BROKEN = 5
    CANCELLED = 6
    NOT_SENT = 7
    UNKNOWN = 8  # any status that the adapter does not recognise: the job may have run


PROVEN_NOT_RUN = frozenset((OutcomeKind.REFUSED, OutcomeKind.NO_CONNECTION, OutcomeKind.NOT_SENT))


class Progress(IntEnum):
    """Kind of a progress note on a running attempt."""

    STARTED = 0
    SHARE_DONE = 1


@record
class JobClass:
    """Settings of a job class. An answer is in time within aim_ms + aim_stretch * run time."""

    aim_ms: float
    deadline_ms: float
    aim_stretch: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_ms: float = 0.0
    kind: int = -1
    priority: int = 0
    streamed: bool = False
    # maximum attempts of a job that may have run, which also raises max_attempts; 0: limited by that only
    max_runs: int = 0


@record
class Tenant:
    """A tenant's agreed fraction of the service, and its quota in jobs per second over all dispatchers."""

    share: float
    quota_per_s: float


@record
class Settings:
    """Settings of a dispatcher, passed once at its start."""

    classes: tuple[JobClass, ...]  # further ones come as ClassAdded
    dispatchers: int = 1
    me: int = 0
    zone: int = 0
    zones: int = 1
    tick_ms: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0
    max_attempts: int = 3
    may_duplicate: bool = False
    may_probe: bool = False
    may_cancel: bool = True
    may_tell: bool = False
    ask_for_list: bool = False
    must_ask_in_ms: float = 10_000.0
    drain_grace_ms: float = 500.0
    reports_in_answers: bool = False
    tells_start: bool = False
    progress_ms: float = 0.0
    nominal_weights: bool = False
    max_retry_after_ms: float = 0.0
    cold_share: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 1000.0
    fee_cross_zone: float = 0.0
    first_limit: float = 1.0  # attempts that a worker may run at once before anything is known about it

    @property
    def parts(self) -> int:
        """Number of parts of the fleet: they bound traffic, which grows with a report's receivers.

        The slots filled at a worker are reported only to the dispatchers of its part: those whose index
        equals the worker's number modulo the number of parts.
        """
        return max(1, self.dispatchers // MIN_PART)

    def __post_init__(self) -> None:
        """Raise ValueError for unusable settings; the message names the invalid one."""
        for job_class in self.classes:
            if not job_class.deadline_ms > 0:
                raise ValueError(f"classes: deadline_ms must be above 0, not {job_class.deadline_ms}")
            if job_class.aim_ms < 0:
                raise ValueError(f"classes: aim_ms must not be negative, not {job_class.aim_ms}")
        for name in ("dispatchers", "max_attempts", "tick_ms", "fall_multiple", "fall_ms", "zones"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: must be above 0, not {getattr(self, name)}")
        if not 0 < self.cold_share <= 1:
            raise ValueError(f"cold_share: must be above 0 and at most 1, not {self.cold_share}")
        if not 0 <= self.me < self.dispatchers:
            raise ValueError(f"me: must be below dispatchers ({self.dispatchers}), not {self.me}")


@record
class WorkerEntry:
    """An entry of the worker list. started_ms is 0 for a worker that has been running for a long time.

    It identifies the worker's process, by a clock that may differ from the caller's. If it differs, begun_ms
    is the same moment, or a later one, by the caller's clock.
    """

    worker: int
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    started_ms: float = 0.0
    state: WorkerState = WorkerState.UP
    begun_ms: float | None = None

    @property
    def since_ms(self) -> float:
        """The start of the process by the caller's clock."""
        return self.started_ms if self.begun_ms is None else self.begun_ms


@record
class WorkerList:
    """A change or a copy of the worker list."""

    form: ListForm
    entries: tuple[WorkerEntry, ...] = ()


@record
class Arrival:
    """A job has arrived. It must get exactly one final answer within grace_ms."""

    job: str
    job_class: int
    grace_ms: float
    key: int | None = None
    hint_ms: float | None = None
    slots: float = 1.0
    memory: float | None = None
    tenant: int | None = None
    repeat: bool = False
    limits: tuple[int, ...] = ()  # numbers of the limits that it counts against (see Allowance)


@record
class Outcome:
    """An attempt has ended. done: the job got its final answer by this outcome or before."""

    job: str
    attempt: int
    worker: int
    kind: OutcomeKind
    elapsed_ms: float
    done: bool
    report: Report | None = None


@record
class Note:
    """A progress note on an open attempt."""

    job: str
    attempt: int
    worker: int
    progress: Progress
    share: float = 0.0


@record
class StreamStarted:
    """The answer of a streamed job has begun: from now on only the client ends the attempt."""

    job: str
    attempt: int
    worker: int


@record
class ProbeResult:
    """The result of a probe; a worker may also report without one."""

    worker: int
    ok: bool
    elapsed_ms: float
    report: Report | None = None


@record
class Share:
    """The load that the other dispatchers of the same node put on a worker. It replaces the previous one.

    slots: the slots that they fill. spent: of a cold worker's budget for one time slice (see Send), the work
    in ms that all of them have used, this dispatcher included.
    """

    worker: int
    slots: float = 0.0
    time_slice: int = -1
    spent: float = 0.0


@record
class Shares:
    """The load put on workers by the other dispatchers of the same node, or (`fleet`) by all others.

    Workers that are not listed keep their last share. `indexes`: the dispatcher indexes whose time slices at
    cold workers this dispatcher uses, if not only its own; none is used in a time slice's first guard_ms.
    """

    shares: tuple[Share, ...]
    fleet: bool = False
    indexes: tuple[int, ...] | None = None
    guard_ms: float = 0.0


@record
class CommonClock:
    """How far the clock that all dispatchers share is ahead of the times passed to step().

    After a step of that clock, no time slice at cold workers that overlaps the step is used.
    """

    ahead_ms: float


@record
class Verdict:
    """The common verdict of all dispatchers on a worker, for one job class. It replaces the previous one.

    `excluded`: no job is sent there; when it ends, this dispatcher's own failure records are reset.
    `rank`: 1: other workers are preferred; -1: this worker is tried first, with one attempt.
    """

    worker: int
    job_class: int
    excluded: bool = False
    rank: int = 0


@record
class Allowance:
    """How many jobs this dispatcher may accept now under a common limit. It replaces the previous one.

    Each accepted job that counts against the limit takes one from `jobs`. A job beyond it has `worth` times
    the worth of one within it; with 0 it is refused, otherwise it ranks behind the others.
    """

    limit: int
    jobs: float
    worth: float = 0.0


@record
class ClassAdded:
    """A further job class, under a number that no class has had before."""

    number: int
    job_class: JobClass


@record
class ClassRemoved:
    """A job class that gets no further jobs. Its open jobs go on; what was learned of it is forgotten."""

    number: int


@record
class ClientGone:
    """The client has left: the job needs no answer any more."""

    job: str


@record
class Timer:
    """A wake-up that was requested with Wake is due."""

    mark: int


@record
class PeerMessage:
    """A message from another dispatcher."""

    sender: int
    data: bytes


Event = (
    WorkerList
    | Arrival
    | Outcome
    | Note
    | StreamStarted
    | ProbeResult
    | Shares
    | CommonClock
    | Verdict
    | Allowance
    | ClassAdded
    | ClassRemoved
    | ClientGone
    | Timer
    | PeerMessage
)


@record
class Send:
    """Begin an attempt. A job's attempts are numbered 0, 1, 2 ... in order. timeout_ms 0: the client's.

    For a cold worker: the work that the job uses, in ms on one slot; the time slice (a span of fall_ms of the
    common clock) and the budget in it of all dispatchers of one node. max_work 0: the worker is warm.

    Nothing may be written after not_after_ms: workers may have forgotten the first attempt by then.
    """

    job: str
    worker: int
    timeout_ms: float = 0.0
    work: float = 0.0
    time_slice: int = -1
    max_work: float = 0.0
    not_after_ms: float = math.inf


@record
class Cancel:
    """Cancel an open attempt."""

    job: str
    attempt: int


@record
class Refuse:
    """Final answer: the job was not done, and the client may safely repeat it."""

    job: str
    retry_after_ms: float = 0.0


@record
class Fail:
    """Final answer: the job failed and may have run."""

    job: str


@record
class Probe:
    """Request a load report from a worker."""

    worker: int


@record
class Wake:
    """Request a Timer event at a time; it carries the same mark."""

    at_ms: float
    mark: int = 0


@record
class WatchList:
    """Subscribe to changes of the worker list."""


@record
class Tell:
    """Send a message to one other dispatcher."""

    peer: int
    data: bytes


@record
class Log:
    """Write a log line."""

    message: str


Action = Send | Cancel | Refuse | Fail | Probe | Wake | WatchList | Tell | Log
