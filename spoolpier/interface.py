"""The interface of spoolpier: what a dispatcher is told (settings, events) and what it answers (actions).

Times are milliseconds on the caller's clock. Workers and keys are whole numbers, jobs are text ids.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import IntEnum

from spoolpier.records import record

PART = 40  # dispatchers that tell each other what they fill, at least: so many once were the whole fleet
RETRIES = -1  # the limit that jobs count against which go, or come, a second time
Report = Mapping[str, float]
"""A load report. Known names: free_slots, free_memory, held, waiting, busy, service_ms."""


class Effect(IntEnum):
    """What a repeat of a job does."""

    SAFE = 0  # may be repeated and refused at will
    KEYED = 1  # the workers of one group drop a repeat for a while
    UNSAFE = 2  # must never run twice


class Group(IntEnum):
    """The workers that drop each other's repeats of a keyed job."""

    ALL = 0
    ZONE = 1
    CELL = 2


class WorkerState(IntEnum):
    """What the list says of a worker."""

    UP = 0
    DRAINING = 1
    REMOVED = 2


class ListForm(IntEnum):
    """How a worker list event is to be read."""

    DELTA = 0  # changed entries only
    FULL = 1  # all workers there are
    CACHED = 2  # all workers as last known, perhaps stale
    FAILED = 3  # a call or the subscription failed; the list held so far remains


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
    UNKNOWN = 8  # anything the adapter cannot name: the job may have run


PROVEN_NOT_RUN = frozenset((OutcomeKind.REFUSED, OutcomeKind.NO_CONNECTION, OutcomeKind.NOT_SENT))


class Progress(IntEnum):
    """What a note on a running attempt says."""

    STARTED = 0
    SHARE_DONE = 1


@record
class JobClass:
    """One class of jobs. An answer is in time within aim_ms + aim_stretch * run time."""

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
    max_runs: int = 0  # attempts of a job that may have run, at most; 0: as many as attempts


@record
class Tenant:
    """A tenant's agreed share: a fraction of the service, and jobs a second over all dispatchers."""

    share: float
    quota_per_s: float


@record
class Settings:
    """What a dispatcher is handed once, at its start."""

    classes: tuple[JobClass, ...]
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
    first_limit: float = 1.0  # attempts that a worker may run at first, before anything is learned of it

    @property
    def parts(self) -> int:
        """Parts of the fleet: each byte is paid for at each dispatcher that hears it.

        What is filled at a worker is told to those of its part alone: the worker's number and theirs are
        alike modulo this.
        """
        return max(1, self.dispatchers // PART)

    def __post_init__(self) -> None:
        """Refuse settings that no decision could be based on, naming the one at fault."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
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
    """One line of the worker list. started_ms is 0 for a worker that has run for long.

    It tells one process of the worker from another, by a clock that may differ from the caller's. Where it
    does, begun_ms is the same moment, or a later one, by the caller's.
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
        """The start by the caller's clock."""
        return self.started_ms if self.begun_ms is None else self.begun_ms


@record
class WorkerList:
    """News of the worker list."""

    form: ListForm
    entries: tuple[WorkerEntry, ...] = ()


@record
class Arrival:
    """A job taken in. It is owed exactly one final answer within grace_ms."""

    job: str
    job_class: int
    grace_ms: float
    key: int | None = None
    hint_ms: float | None = None
    slots: float = 1.0
    memory: float | None = None
    tenant: int | None = None
    repeat: bool = False
    limits: tuple[int, ...] = ()  # that it counts against (Allowance)


@record
class Outcome:
    """The end of an attempt. done: the job has its final answer by this or already had it."""

    job: str
    attempt: int
    worker: int
    kind: OutcomeKind
    elapsed_ms: float
    done: bool
    report: Report | None = None


@record
class Note:
    """News of an attempt that is still out."""

    job: str
    attempt: int
    worker: int
    progress: Progress
    share: float = 0.0


@record
class StreamStarted:
    """The answer of a streamed job has begun: the attempt is the client's from here on."""

    job: str
    attempt: int
    worker: int


@record
class ProbeResult:
    """The result of one probe."""

    worker: int
    ok: bool
    elapsed_ms: float
    report: Report | None = None


@record
class Share:
    """What dispatchers that are one node with this one do at a worker. A later one takes its place.

    Slots they fill; and of the budget of a cold worker, for one turn (see Send), the work that all have
    spent, this dispatcher included.
    """

    worker: int
    slots: float = 0.0
    turn: int = -1
    spent: float = 0.0


@record
class Shares:
    """News of the dispatchers that are one node with this one, or of all that there are (`fleet`).

    What is not named is as before. `places`: the numbers whose turns at cold workers are this dispatcher's,
    where that is not its own number alone; none of them is used in a turn's first guard_ms.
    """

    shares: tuple[Share, ...]
    fleet: bool = False
    places: tuple[int, ...] | None = None
    guard_ms: float = 0.0


@record
class CommonClock:
    """The clock that all dispatchers read alike is so far ahead of the times that step() is given.

    Where it was stepped, none of the turns at cold workers that touch the step is used.
    """

    ahead_ms: float


@record
class Verdict:
    """What all dispatchers together hold of a worker, for one class of jobs. A later one takes its place.

    `out`: nothing is sent there; with its end ends what this dispatcher alone held against the worker.
    `rank`: 1, other workers first; -1, this one first, with one attempt: it is tried.
    """

    worker: int
    job_class: int
    out: bool = False
    rank: int = 0


@record
class Allowance:
    """Of a limit of all dispatchers: how many jobs this one may take in now. A later one takes its place.

    Each job taken in that counts against the limit takes one from `jobs`. Beyond it a job is worth `worth` of
    one within: 0, it is refused; else it comes behind the others.
    """

    limit: int
    jobs: float
    worth: float = 0.0


@record
class ClassesAdded:
    """Further classes of jobs, numbered behind those that are known."""

    classes: tuple[JobClass, ...]


@record
class ClientGone:
    """The client has left: nothing more is owed for the job."""

    job: str


@record
class Timer:
    """A wake-up asked for has come due."""

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
    | ClassesAdded
    | ClientGone
    | Timer
    | PeerMessage
)


@record
class Send:
    """Begin an attempt. Attempts of a job count 0, 1, 2 ... in this order. timeout_ms 0: the client's.

    To a cold worker: the work that it spends, in ms on one slot, the turn (spans of fall_ms of the
    common clock) and the most that all dispatchers of one node may spend in it. `most` 0: the worker is warm.

    Past not_after_ms nothing of it may be written any more: workers may have forgotten the first attempt.
    """

    job: str
    worker: int
    timeout_ms: float = 0.0
    work: float = 0.0
    turn: int = -1
    most: float = 0.0
    not_after_ms: float = math.inf


@record
class Cancel:
    """Stop waiting for an attempt."""

    job: str
    attempt: int


@record
class Refuse:
    """Final answer: not done, and a further try is harmless."""

    job: str
    retry_after_ms: float = 0.0


@record
class Fail:
    """Final answer: failed; it may have run."""

    job: str


@record
class Probe:
    """Ask a worker for its load report."""

    worker: int


@record
class Wake:
    """Ask for a Timer event at a time."""

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
    """A line for the operators."""

    message: str


Action = Send | Cancel | Refuse | Fail | Probe | Wake | WatchList | Tell | Log
