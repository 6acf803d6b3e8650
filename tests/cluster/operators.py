"""Simulated operators and readers, and a check that their operations are linearizable.

The configuration is checked as a register that holds a revision and is changed by compare-and-set.
"""

from __future__ import annotations

import json
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field

from pebbledrift.control.orders import Order, OrderKind, OrderStatus
from tests.cluster import linearizability
from tests.cluster.linearizability import is_linearizable
from tests.cluster.simulation import ACCEPTED, Call, Cluster

# Maps the revision in force to the one after an operation, or to None if the operation is impossible there.
Transition = Callable[[int], int | None]
ANSWER_TIMEOUT_S = 1.0  # without an answer in this time an operator tries another keeper
RETRY_PAUSE_S = 0.1
MAX_ATTEMPTS = 12


def accepted_change(base: int, revision: int) -> Transition:
    """A change that was or may have been accepted: possible only if its base is in force."""
    return lambda state: revision if state == base else None


def read_result(revision: int) -> Transition:
    """A read that returned a revision: possible only if that revision is in force."""
    return lambda state: state if state == revision else None


def refused_change(base: int, revision: int) -> Transition:
    """A refused change: its base is not in force, or its revision is not above the one in force."""
    return lambda state: state if state != base or revision <= state else None


@dataclass
class Operation:
    """An operation of one operator: an order that is sent until there is a clear answer, or a read."""

    order: Order | None
    revision: int  # revision of the order, or the revision that the read returned
    started_at: float
    ended_at: float | None = None
    status: int | None = None  # None: no clear answer, so an order may or may not be in force


@dataclass
class Operators:
    """Concurrent operators and readers; each change builds on a revision acknowledged to any of them."""

    cluster: Cluster
    addresses: Callable[[], list[str]]
    seed: int
    ack_lost: float = 0.0  # probability that an answer is lost
    body_bytes: int = 0  # size of the random filling in each change
    # Size of the filling in the first configuration; if set, later changes are updates that keep it.
    state_bytes: int = 0
    history: list[Operation] = field(default_factory=list)
    running: bool = True
    _revision: int = 0
    # Time of each acknowledgement, and the newest revision acknowledged by then.
    _acknowledged: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    def start(self, operators: int, readers: int, gap_s: float) -> None:
        """Start operators and readers, which pause for `gap_s` on average between operations."""
        for _ in range(operators):
            self._later(gap_s, lambda: self._change(gap_s))
        for _ in range(readers):
            self._later(gap_s, lambda: self._read(gap_s))

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        delay = self.random.uniform(0.2, 1.8) * seconds
        self.cluster.at(self.cluster.now + delay, action)

    def _change(self, gap_s: float) -> None:
        if not self.running:
            return
        base = self._acknowledged[-1][1] if self._acknowledged else 0
        if self.random.random() < 0.1 and len(self._acknowledged) > 1:
            base = self._acknowledged[-2][1]  # this operator has not yet learned of the newest revision
        self._revision = max(self._revision, base) + self.random.choice((0, 1, 1, 3))
        revision = max(self._revision, base + 1)
        order = self.make_order(revision, base)
        self.send(order, revision, lambda: self._later(gap_s, lambda: self._change(gap_s)))

    def make_order(self, revision: int, base: int) -> Order:
        """Make an order; the random note distinguishes changes by two operators with the same revision."""
        note = f"{len(self.history)} {self.random.random()}" + self._filling(self.body_bytes)
        if not self.state_bytes:
            return Order(OrderKind.REPLACE, base, json.dumps({"revision": revision, "note": note}).encode())
        if base == 0:
            first = {"revision": revision, "state": self._filling(self.state_bytes), "notes": []}
            return Order(OrderKind.REPLACE, base, json.dumps(first).encode())
        change = {"revision": revision, "upsert": {"notes": [{"name": "note", "note": note}]}}
        return Order(OrderKind.UPDATE, base, json.dumps(change).encode())

    def _filling(self, size: int) -> str:
        return self.random.randbytes(size // 2).hex()

    def send(self, order: Order, revision: int, then: Callable[[], None] = lambda: None) -> Operation:
        """Send an order until there is a clear answer or the attempts run out, then call `then`."""
        operation = Operation(order, revision, self.cluster.now)
        self.history.append(operation)
        self._try(operation, MAX_ATTEMPTS, then)
        return operation

    def _read(self, gap_s: float) -> None:
        if self.running:
            self.read(lambda: self._later(gap_s, lambda: self._read(gap_s)))

    def read(self, then: Callable[[], None] = lambda: None) -> Operation:
        """Read until there is an answer or the attempts run out, then call `then`."""
        operation = Operation(None, 0, self.cluster.now)
        self.history.append(operation)
        self._try(operation, MAX_ATTEMPTS, then)
        return operation

    def _try(self, operation: Operation, attempts: int, then: Callable[[], None]) -> None:
        if attempts == 0:
            then()
            return
        answered = False
        if operation.order is None:
            operation.started_at = self.cluster.now  # each attempt of a read counts as a separate read

        def next_attempt() -> None:
            nonlocal answered
            if not answered:
                answered = True
                pause = self.random.uniform(0.5, 1.5) * RETRY_PAUSE_S
                self.cluster.at(self.cluster.now + pause, lambda: self._try(operation, attempts - 1, then))

        def done(call: Call) -> None:
            nonlocal answered
            if answered:
                return
            if call.result is None or self.random.random() < self.ack_lost:
                self.cluster.at(self.cluster.now + RETRY_PAUSE_S, next_attempt)
                return
            answered = True
            operation.ended_at, operation.status = self.cluster.now, call.result.status
            if operation.order is None:
                operation.revision = call.revision
            self._record_acknowledgement(operation)
            then()

        at = self.random.choice(self.addresses())
        self.cluster.order(at, operation.order, 3.8, done)
        self.cluster.at(self.cluster.now + ANSWER_TIMEOUT_S, next_attempt)

    # Checks

    def newest_acknowledged(self, before: float) -> int:
        """The newest revision that was acknowledged to any operator before a time; 0 if there is none."""
        index = bisect_left(self._acknowledged, before, key=lambda acknowledgement: acknowledgement[0])
        return self._acknowledged[index - 1][1] if index else 0

    def _record_acknowledgement(self, operation: Operation) -> None:
        if operation.status in ACCEPTED:
            newest = self._acknowledged[-1][1] if self._acknowledged else 0
            self._acknowledged.append((self.cluster.now, max(newest, operation.revision)))

    def check(self) -> None:
        """Assert that the history is linearizable and that each change was accepted at most once."""
        committed = self._committed_revisions()
        for operation in self.history:
            if operation.status is None:
                continue
            if operation.order is None:
                self._check_read(operation, committed)
            elif operation.status in ACCEPTED:
                assert operation.order.digest in committed, f"acknowledged but never in force: {operation}"
            else:
                self._check_refusal(operation, committed)
        assert is_linearizable(self._as_register(), 0), "the history is not linearizable"

    def _as_register(self) -> list[linearizability.Operation[int]]:
        """The history as operations on a register that holds a revision."""
        operations = []
        for operation in self.history:
            if operation.order is None:
                apply = read_result(operation.revision)
            elif operation.status in ACCEPTED or operation.status is None:
                apply = accepted_change(operation.order.base, operation.revision)
            else:
                apply = refused_change(operation.order.base, operation.revision)
            if operation.order is not None or operation.status is not None:
                ended_at = operation.ended_at if operation.status is not None else None
                operations.append(linearizability.Operation(operation.started_at, ended_at, apply))
        return operations

    def _committed_revisions(self) -> dict[bytes, int]:
        """Digest to revision of all committed changes, in commit order."""
        revisions: dict[bytes, int] = {}
        revision = 0
        for sequence in sorted(self.cluster.committed):
            order = self.cluster.committed[sequence].order
            if order is None or order.kind == OrderKind.REFUSAL:
                continue
            assert order.base == revision, f"{order} was accepted on revision {revision}"
            assert order.digest not in revisions, f"accepted twice: {order}"
            revision = revisions[order.digest] = json.loads(order.body)["revision"]
        return revisions

    def _check_read(self, read: Operation, committed: dict[bytes, int]) -> None:
        newest = self.newest_acknowledged(read.started_at)
        assert read.revision >= newest, f"read {read.revision}, but {newest} was acknowledged before: {read}"
        assert read.revision in {0, *committed.values()}, f"read a revision that was never in force: {read}"

    def _check_refusal(self, refused: Operation, committed: dict[bytes, int]) -> None:
        order = refused.order
        assert order is not None and refused.ended_at is not None
        assert order.digest not in committed, f"refused and in force: {refused}"
        if refused.status == OrderStatus.INVALID:
            return
        newest = self.newest_acknowledged(refused.started_at)
        others = [
            o
            for o in self.history
            if o.order is not None
            and o.order.digest in committed
            and o is not refused
            and o.revision > newest
        ]
        overtaken = any(o.started_at < refused.ended_at for o in others)
        assert newest != order.base or overtaken, f"refused although its base was in force: {refused}"
