"""Operations, attempts, answers, and the protocols by which the core knows fronts and destinations."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from spoolpier import interface as api

# a send to a cold worker may begin so long after its turn: its connection had to come up first. What comes
# later was decided by a process that was stopped meanwhile, and others have had their turns since
TURN_LATE_MS = 250.0


class Verdict(Enum):
    """The three final answers."""

    SERVED = "served"
    REFUSED = "refused"  # a busy reply: a further try is harmless
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer of an operation."""

    verdict: Verdict
    result: bytes = b""
    retry_after_ms: float = 0.0
    reason: str = ""
    in_use: bool = False  # failed because the id belongs to another request


@dataclass(frozen=True, slots=True)
class Work:
    """What a destination is handed, passed on unchanged."""

    target: str
    body: bytes
    repeat_key: str | None = None


class Recipient(Protocol):
    """Whoever is owed an operation's final answer."""

    def answered(self, operation: Operation, answer: Answer) -> None:
        """Take the single final answer."""

    def present(self) -> bool:
        """Whether the answer is still waited for. Asked right before an attempt is written."""


class Destination(Protocol):
    """A worker as the core sees it. It reports back through Engine.ended, noted and probed."""

    def send(self, attempt: Attempt) -> None:
        """Begin an attempt."""

    def cancel(self, attempt: Attempt, heard: Callable[[], None] | None = None) -> None:
        """Give an attempt up; `heard` is called once its worker is known to have been told, if ever."""

    def probe(self) -> None:
        """Ask for the load report."""

    def taken(self, attempt: Attempt) -> bool:
        """Whether the worker has the attempt, and only its call-back is awaited."""

    def recall(self) -> None:
        """Take back attempts of which nothing has been written yet."""


class Destinations(Protocol):
    """The destinations by the module's worker numbers."""

    def find(self, worker: int) -> Destination | None:
        """The destination, or None where none is known by this number."""

    def incarnation(self, worker: int) -> float | None:
        """The start of the process that is in service there, None while none is. Asked at each write."""

    def watch(self) -> None:
        """Follow discovery's changes from now on."""


class Claim(Enum):
    """What came of a claim to an id."""

    OWN = "own"
    TAKEN = "taken"  # it is open elsewhere in this node, was answered lately, or was lost with its process
    NO_ROOM = "no room"  # nothing is known of the id, and nothing of it may run


class Neighbours(Protocol):
    """The other processes of the same node (docs/cores.md), or the other nodes of the fleet, to the core."""

    fleet: bool  # shares() tells of all nodes

    def claim(self, job: str) -> Claim:
        """Make an id this process's own, if it is nobody's. Atomic over all processes."""

    def forget(self, job: str) -> None:
        """An id of this process is free again."""

    def closed(self, worker: int) -> bool:
        """Whether nothing new may be sent to a worker, by the newest word at the node. Read at each send."""

    def take_cold(self, worker: int, turn: int, work: float, most: float) -> bool:
        """Spend from a cold worker's budget for a turn; False where it would go over `most`."""

    def turn_over(self, turn: int) -> bool:
        """Whether what was to be sent to a cold worker in a turn comes too late. Asked before the
        first byte.
        """

    def places(self) -> tuple[tuple[int, ...], float] | None:
        """The numbers whose turns are this process's, and the guard in ms, where they have changed."""

    def filled(self, worker: int, slots: float) -> None:
        """This process fills so many slots more, or fewer, at a worker."""

    def shares(self) -> tuple[api.Share, ...]:
        """What has changed of what the others fill and spend."""


@dataclass(slots=True, eq=False)
class Operation:
    """A request taken in, until its final answer and the end of its last attempt."""

    id: str
    job_class: int
    work: Work
    expires_ms: float  # the final answer is due before this
    recipients: list[Recipient]
    tenant: int | None = None
    key: int | None = None
    hint_ms: float | None = None
    slots: float = 1.0
    memory: float | None = None
    repeat: bool = False
    origin: str = ""  # where it came in, in its front's words
    attempts: list[Attempt] = field(default_factory=list)
    answer: Answer | None = None
    timer: asyncio.TimerHandle | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt is out or not proven to have never run."""
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
    began_ms: float = 0.0  # when it was told to have begun; 0: never
    turn: int = -1  # at a cold worker, in which it has to go out
    not_after_ms: float = math.inf  # nothing of it is written later than this
    incarnation: float | None = 0.0  # the worker's process that it was meant for

    @property
    def open(self) -> bool:
        """Whether the attempt is still out."""
        return self.outcome is None


Observer = Callable[[Operation, str], None]
"""Told of an operation's changes of state: taken, sent, served, refused, failed."""
