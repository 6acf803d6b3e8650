"""Operators and readers in the model, and the check that they saw one history of a versioned register."""

from __future__ import annotations

import json
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field

from pebbledrift.control.orders import Order, OrderKind, OrderStatus
from tests.cluster import linearizability
from tests.cluster.linearizability import is_linearizable
from tests.cluster.simulation import TAKEN, Call, Cluster

Register = Callable[[int], int | None]  # from the revision in force to the one after an operation
PATIENCE_S = 1.0  # without a response an operator goes to another keeper
PAUSE_S = 0.1
TRIES_MOST = 12


def taken_of(base: int, revision: int) -> Register:
    """A change that was taken, or may have been: at its base."""
    return lambda state: revision if state == base else None


def read_of(revision: int) -> Register:
    """A read."""
    return lambda state: state if state == revision else None


def refusal_of(base: int, revision: int) -> Register:
    """A change that was refused: for its base, or as its revision is not above the one in force."""
    return lambda state: state if state != base or revision <= state else None


@dataclass
class Operation:
    """What one operator did: an order, sent until there was a clear answer, or a read."""

    order: Order | None
    revision: int  # of the order; of a read: what came
    begun: float
    ended: float | None = None
    status: int | None = None  # None: unclear


@dataclass
class Operators:
    """Several at once; each knows what it was told last, and builds on that."""

    cluster: Cluster
    addresses: Callable[[], list[str]]
    seed: int
    ack_lost: float = 0.0  # share of the answers that do not arrive
    body_bytes: int = 0
    state_bytes: int = 0  # of the first configuration; later changes are updates then, which leave it
    history: list[Operation] = field(default_factory=list)
    running: bool = True
    _revision: int = 0
    _told: list[tuple[float, int]] = field(default_factory=list)  # when, and the newest revision told by then

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    def start(self, operators: int, readers: int, gap_s: float) -> None:
        """Have so many at work."""
        for _ in range(operators):
            self._later(gap_s, lambda: self._change(gap_s))
        for _ in range(readers):
            self._later(gap_s, lambda: self._read(gap_s))

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        drawn = self.random.uniform(0.2, 1.8) * seconds
        self.cluster.at(self.cluster.now + drawn, action)

    def _change(self, gap_s: float) -> None:
        if not self.running:
            return
        base = self._told[-1][1] if self._told else 0
        if self.random.random() < 0.1 and len(self._told) > 1:
            base = self._told[-2][1]  # it has not heard of the newest
        self._revision = max(self._revision, base) + self.random.choice((0, 1, 1, 3))
        revision = max(self._revision, base + 1)
        order = self.make_order(revision, base)
        self.send(order, revision, lambda: self._later(gap_s, lambda: self._change(gap_s)))

    def make_order(self, revision: int, base: int) -> Order:
        """Two operators may give two changes one number: the note tells them apart."""
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
        """Send an order until it has a clear answer."""
        operation = Operation(order, revision, self.cluster.now)
        self.history.append(operation)
        self._try(operation, TRIES_MOST, then)
        return operation

    def _read(self, gap_s: float) -> None:
        if self.running:
            self.read(lambda: self._later(gap_s, lambda: self._read(gap_s)))

    def read(self, then: Callable[[], None] = lambda: None) -> Operation:
        """Read until there is an answer."""
        operation = Operation(None, 0, self.cluster.now)
        self.history.append(operation)
        self._try(operation, TRIES_MOST, then)
        return operation

    def _try(self, operation: Operation, tries: int, then: Callable[[], None]) -> None:
        if tries == 0:
            then()
            return
        answered = False
        if operation.order is None:
            operation.begun = self.cluster.now  # each try of a read is a read of its own

        def next_try() -> None:
            nonlocal answered
            if not answered:
                answered = True
                pause = self.random.uniform(0.5, 1.5) * PAUSE_S
                self.cluster.at(self.cluster.now + pause, lambda: self._try(operation, tries - 1, then))

        def done(call: Call) -> None:
            nonlocal answered
            if answered:
                return
            if call.judgement is None or self.random.random() < self.ack_lost:
                self.cluster.at(self.cluster.now + PAUSE_S, next_try)
                return
            answered = True
            operation.ended, operation.status = self.cluster.now, call.judgement.status
            if operation.order is None:
                operation.revision = call.revision
            self._note(operation)
            then()

        at = self.random.choice(self.addresses())
        self.cluster.order(at, operation.order, 3.8, done)
        self.cluster.at(self.cluster.now + PATIENCE_S, next_try)

    # the check

    def newest_acknowledged(self, before: float) -> int:
        """The newest revision that somebody was told of before a moment."""
        index = bisect_left(self._told, before, key=lambda told: told[0])
        return self._told[index - 1][1] if index else 0

    def _note(self, operation: Operation) -> None:
        if operation.status in TAKEN:
            newest = self._told[-1][1] if self._told else 0
            self._told.append((self.cluster.now, max(newest, operation.revision)))

    def check(self) -> None:
        """The history is one of a register that goes from version to version, each change at most once."""
        taken = self._taken()
        for operation in self.history:
            if operation.status is None:
                continue
            if operation.order is None:
                self._check_read(operation, taken)
            elif operation.status in TAKEN:
                assert operation.order.digest in taken, f"acknowledged and not in force: {operation}"
            else:
                self._check_refusal(operation, taken)
        assert is_linearizable(self._as_register(), 0), "no register answers like this"

    def _as_register(self) -> list[linearizability.Operation[int]]:
        """The history as operations of a register that holds a revision."""
        found = []
        for operation in self.history:
            if operation.order is None:
                apply = read_of(operation.revision)
            elif operation.status in TAKEN or operation.status is None:
                apply = taken_of(operation.order.base, operation.revision)
            else:
                apply = refusal_of(operation.order.base, operation.revision)
            if operation.order is not None or operation.status is not None:
                ended = operation.ended if operation.status is not None else None
                found.append(linearizability.Operation(operation.begun, ended, apply))
        return found

    def _taken(self) -> dict[bytes, int]:
        """By digest: the revisions of all changes in the order in which they came into force."""
        found: dict[bytes, int] = {}
        revision = 0
        for sequence in sorted(self.cluster.committed):
            order = self.cluster.committed[sequence].order
            if order is None:
                continue
            assert order.base == revision, f"{order} was taken on {revision}"
            assert order.digest not in found, f"taken twice: {order}"
            revision = found[order.digest] = json.loads(order.body)["revision"]
        return found

    def _check_read(self, read: Operation, taken: dict[bytes, int]) -> None:
        newest = self.newest_acknowledged(read.begun)
        assert read.revision >= newest, f"read {read.revision}, {newest} was told before: {read}"
        assert read.revision in {0, *taken.values()}, f"never in force: {read}"

    def _check_refusal(self, refused: Operation, taken: dict[bytes, int]) -> None:
        order = refused.order
        assert order is not None and refused.ended is not None
        assert order.digest not in taken, f"refused and in force: {refused}"
        if refused.status == OrderStatus.INVALID:
            return
        in_place = self.newest_acknowledged(refused.begun)
        others = [
            o
            for o in self.history
            if o.order is not None and o.order.digest in taken and o is not refused and o.revision > in_place
        ]
        overtaken = any(o.begun < refused.ended for o in others)
        assert in_place != order.base or overtaken, f"refused though its base was in place: {refused}"
