"""One send of a request to one worker, and how its answer is read."""

from __future__ import annotations

import asyncio
from typing import Protocol

from pebbledrift.cluster.boot import parse_address
from pebbledrift.control.registry import Instance
from pebbledrift.net.http import Message
from pebbledrift.router import request as heads
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.upstream import Ending, Exchange, WorkerPool
from spoolpier.interface import OutcomeKind

UNARY_MOST = 8 * 1024 * 1024  # of an answer that is no stream


class AttemptOwner(Protocol):
    """The request that is sent."""

    admitted: Admitted

    def may_write(self, instance: Instance) -> bool:
        """Judged right before the write."""

    def request_bytes(self, instance: Instance) -> bytes:
        """The request as the worker gets it."""

    def attempt_started(self, attempt: Attempt) -> None:
        """The first event or the whole answer has come."""

    def pass_events(self, attempt: Attempt, data: bytes) -> None:
        """A part of a stream has come."""

    def stream_complete(self, attempt: Attempt) -> None:
        """The stream has ended."""

    def answer_complete(self, attempt: Attempt, body: bytes) -> None:
        """A whole answer that is no stream."""

    def attempt_ended(self, attempt: Attempt, kind: OutcomeKind) -> None:
        """There is no whole answer."""

    def attempt_cancelled(self, attempt: Attempt) -> None:
        """It was given up."""

    def mismatch(self, instance: Instance) -> None:
        """Another worker has the instance's address."""


class Attempt:
    """One send of a request to one worker."""

    def __init__(self, flow: AttemptOwner, number: int, instance: Instance) -> None:
        self.flow, self.number, self.instance = flow, number, instance
        self.answer: Message | None = None
        self.started = False
        self.written = False
        self.end_reason = ""  # why there is no whole answer, as far as is known
        self._body = bytearray()
        self._ended = False
        self._loop = asyncio.get_running_loop()
        self._begun = self._loop.time()
        self.exchange: Exchange

    @property
    def elapsed_ms(self) -> float:
        """Time since the attempt began."""
        return (self._loop.time() - self._begun) * 1000.0

    def begin(self, pool: WorkerPool) -> None:
        """Send."""
        self.exchange = Exchange(pool, parse_address(self.instance.address, "address"), self)
        self.exchange.begin()

    def cancel(self) -> None:
        """Give it up."""
        if not self._ended:
            self._ended = True
            self.exchange.cancel()
            self.flow.attempt_cancelled(self)

    def break_off(self, reason: str) -> None:
        """End it as broken: what the worker sends cannot be used."""
        if not self._ended:
            self._ended = True
            self.end_reason = reason
            self.exchange.cancel()
            self.flow.attempt_ended(self, OutcomeKind.BROKEN)

    # the exchange tells

    def may_write(self) -> bool:
        """Whether all still holds."""
        return not self._ended and self.flow.may_write(self.instance)

    def request_bytes(self) -> bytes:
        """The request."""
        self.written = True
        return self.flow.request_bytes(self.instance)

    def head(self, message: Message) -> bool:
        """Take the head of an answer, unless it is another request's.

        One without an id proves nothing of our request: it may be what an earlier one left behind.
        """
        told = message.headers.get(heads.REQUEST_ID)
        if told != self.flow.admitted.message.headers.get(heads.REQUEST_ID):
            return False
        self.answer = message
        return True

    @property
    def _streams(self) -> bool:
        head = self.answer
        ours = self.flow.admitted.route.streaming
        return ours and head is not None and 200 <= head.status < 300 and heads.SEAL in head.headers

    def body(self, data: bytes) -> None:
        """A part of the body."""
        if self._ended:
            return
        if self._streams:
            self.flow.pass_events(self, data)
            return
        self._body += data
        if len(self._body) > UNARY_MOST:
            self.break_off("answer too long")

    def complete(self) -> None:
        """The answer is whole."""
        if self._ended or self.answer is None:
            return
        self._ended = True
        if self._declined():
            return
        if self._streams:
            self.flow.stream_complete(self)
        else:
            self.flow.attempt_started(self)
            self.flow.answer_complete(self, bytes(self._body))

    def _declined(self) -> bool:
        """Whether the worker says that it has not run the request."""
        assert self.answer is not None
        if self.answer.status == 421:
            self.flow.mismatch(self.instance)
        elif heads.NOT_EXECUTED not in self.answer.headers:
            return False
        self.flow.attempt_ended(self, OutcomeKind.REFUSED)
        return True

    def ended(self, ending: Ending) -> None:
        """There is no whole answer."""
        if self._ended:
            return
        self._ended = True
        self.end_reason = self.end_reason or self.exchange.end_reason
        kinds = {
            Ending.NO_CONNECTION: OutcomeKind.NO_CONNECTION,
            Ending.NOT_SENT: OutcomeKind.NOT_SENT,
            Ending.BROKEN: OutcomeKind.BROKEN,
        }
        self.flow.attempt_ended(self, kinds[ending])
