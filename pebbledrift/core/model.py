"""Operations, attempts, answers, and the protocols through which the core uses fronts and destinations."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from spoolpier import interface as api

# A send to a cold worker may begin up to this long after its time slice, because its connection has to be
# established first. A later send was decided by a process that was suspended in between, and other processes
# have used their time slices since then.
MAX_SLICE_OVERRUN_MS = 250.0


class Verdict(Enum):
    """The three kinds of final answer."""

    SERVED = "served"
    REFUSED = "refused"  # a busy reply: nothing has run, and the client may safely retry
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer of an operation."""

    verdict: Verdict
    result: bytes = b""
    retry_after_ms: float = 0.0
    reason: str = ""
    id_in_use: bool = False  # failed because the id belongs to another request


@dataclass(frozen=True, slots=True)
class Work:
    """The payload that is passed to a destination unchanged."""

    target: str
    body: bytes
    repeat_key: str | None = None


class Recipient(Protocol):
    """A client connection or another party that receives the final answer of an operation."""

    def answered(self, operation: Operation, answer: Answer) -> None:
        """Receives the single final answer."""

    def present(self) -> bool:
        """Returns whether the recipient still waits. Called right before an attempt is written."""


class Destination(Protocol):
    """A worker as the core uses it.

    It reports through `Engine.attempt_ended`, `Engine.progress_reported` and `Engine.probe_ended`.
    """

    def send(self, attempt: Attempt) -> None:
        """Starts an attempt."""

    def cancel(self, attempt: Attempt, on_acknowledged: Callable[[], None] | None = None) -> None:
        """Cancels an attempt.

        `on_acknowledged` is called once the worker is known to have received the cancellation, which may
        never happen.
        """

    def probe(self) -> None:
        """Requests the load report."""

    def accepted(self, attempt: Attempt) -> bool:
        """Returns whether the worker has accepted the attempt, so that only its callback is outstanding."""

    def withdraw_unsent(self) -> None:
        """Withdraws attempts of which no byte has been written."""


class Destinations(Protocol):
    """The destinations by the worker numbers of the decision module."""

    def find(self, worker: int) -> Destination | None:
        """Returns the destination with this number, or None if there is none."""

    def incarnation(self, worker: int) -> float | None:
        """Returns the start time (ms) of the worker process in service, None if there is none.

        Called at each write.
        """

    def watch(self) -> None:
        """Starts following changes from discovery."""


class Claim(Enum):
    """The result of claiming an id."""

    OWN = "own"
    TAKEN = "taken"  # open in another process, answered recently, or lost with the process that had it
    NO_ROOM = "no room"  # the id is not registered, so the operation must not run


class Neighbours(Protocol):
    """The other processes of this node (docs/cores.md) or the other nodes of the fleet."""

    fleet: bool  # shares() covers all nodes

    def claim(self, job: str) -> Claim:
        """Claims an id for this process if no process has it. Atomic across all processes."""

    def forget(self, job: str) -> None:
        """Releases an id of this process."""

    def closed(self, worker: int) -> bool:
        """Returns whether a worker must not receive new attempts, by the node's latest state.

        Read at each send.
        """

    def spend_cold_budget(self, worker: int, time_slice: int, work: float, budget: float) -> bool:
        """Spends from a cold worker's budget for a time slice; False if that would exceed `budget`."""

    def slice_expired(self, time_slice: int) -> bool:
        """Returns whether it is too late for a send to a cold worker that belongs to this time slice.

        Called before the first byte is written.
        """

    def owned_slices(self) -> tuple[tuple[int, ...], float] | None:
        """Returns the dispatcher numbers whose time slices belong to this process, and the guard time in ms.

        Returns None if they have not changed.
        """

    def add_filled_slots(self, worker: int, slots: float) -> None:
        """Adds to the slots that this process occupies at a worker; `slots` may be negative."""

    def shares(self) -> tuple[api.Share, ...]:
        """Returns changes in the slots that other processes occupy and the cold budget they spend."""


@dataclass(slots=True, eq=False)
class Operation:
    """An accepted request, until its final answer and the end of its last attempt."""

    id: str
    job_class: int
    work: Work
    expires_ms: float  # deadline of the final answer
    recipients: list[Recipient]
    tenant: int | None = None
    key: int | None = None
    hint_ms: float | None = None
    slots: float = 1.0
    memory: float | None = None
    repeat: bool = False
    origin: str = ""  # where the operation arrived, in a form that its front defines
    attempts: list[Attempt] = field(default_factory=list)
    answer: Answer | None = None
    timer: asyncio.TimerHandle | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt is open or is not proven never to have run."""
        return any(a.outcome not in api.PROVEN_NOT_RUN for a in self.attempts)


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of an operation to one destination."""

    operation: Operation
    number: int
    worker: int
    destination: Destination
    sent_ms: float
    expires_ms: float
    outcome: api.OutcomeKind | None = None
    timer: asyncio.TimerHandle | None = None
    started: bool = False
    started_ms: float = 0.0  # when the worker reported the start; 0 if it has not
    time_slice: int = -1  # the time slice that a send to a cold worker must use; -1 for other sends
    not_after_ms: float = math.inf  # no byte may be written after this time
    incarnation: float | None = 0.0  # start time of the worker process that the attempt is meant for

    @property
    def open(self) -> bool:
        """Whether the attempt has not ended."""
        return self.outcome is None


Observer = Callable[[Operation, str], None]
"""Called at each state change of an operation: taken, sent, served, refused, failed."""
