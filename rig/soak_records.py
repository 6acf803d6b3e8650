"""What clients and workers saw of each request in a soak, and which of it breaks a promise."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

CROSSING_S = 0.3  # a request unread so soon after it was sent has crossed the connection's end
LATE_S = 0.5  # an answer may come so long after the client's time
SOUND = frozenset((200, 503))  # with workers that are well no other answer is owed
NOT_RUN = frozenset((408, 421, 429, 503))  # statuses that promise that a request has not run


class End(Enum):
    """How a request ended for its client."""

    WHOLE = auto()  # a complete answer
    CUT = auto()  # the connection ended within the answer
    NO_ANSWER = auto()  # the connection ended before any of it
    GAVE_UP = auto()  # the client's time was over


@dataclass(slots=True)
class RequestRecord:
    """One request, as its client saw it; times are of the steady clock, in seconds."""

    name: str
    route: str
    router: str
    sent_at: float
    wait_s: float
    end: End = End.GAVE_UP
    ended_at: float = 0.0
    status: int = 0
    events: int = 0  # of a whole answer that is a stream
    problem: str = ""  # what is wrong with a complete answer


@dataclass(slots=True)
class WorkerRecords:
    """What all workers saw, by the request's name."""

    arrived: Counter[str] = field(default_factory=Counter)
    run: Counter[str] = field(default_factory=Counter)


def broken_promises(requests: list[RequestRecord], workers: WorkerRecords, once: frozenset[str]) -> list[str]:
    """A line for each promise that was broken; `once` names the routes whose requests run once at most."""
    return [
        f"{fault}: {request.name} ({request.route}) at {request.router}, sent {request.sent_at:.3f}, "
        f"ended {request.ended_at - request.sent_at:.3f} s later, {request.end.name}, status {request.status}"
        for request in requests
        for fault in _faults(request, workers, once)
    ]


def _faults(request: RequestRecord, workers: WorkerRecords, once: frozenset[str]) -> list[str]:
    found = []
    if _lost(request, workers):
        found.append("LOST")
    if request.problem:
        found.append(request.problem)
    if request.end is End.WHOLE and request.status not in SOUND:
        found.append("FAILED")
    if request.route in once and workers.run[request.name] > 1:
        found.append("RUN TWICE")
    refused = request.end is End.WHOLE and request.status in NOT_RUN
    if refused and request.route in once and workers.run[request.name]:
        found.append("REFUSED THOUGH IT RAN")
    if request.end is End.GAVE_UP or request.ended_at - request.sent_at > request.wait_s + LATE_S:
        found.append("LATE")
    return found


def _lost(request: RequestRecord, workers: WorkerRecords) -> bool:
    """Whether a request ended without a complete answer though a router had taken it."""
    if request.end is End.CUT:
        return True
    if request.end is not End.NO_ANSWER:
        return False
    crossed = request.ended_at - request.sent_at <= CROSSING_S
    return bool(workers.arrived[request.name]) or not crossed
