"""One attempt to have a worker process a request, and the handling of the worker's response."""

from __future__ import annotations

import asyncio
from typing import Protocol

from pebbledrift.cluster.boot import parse_address
from pebbledrift.control.registry import Instance
from pebbledrift.net.http import Message
from pebbledrift.router import request as header_names
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.events import EventSplitter
from pebbledrift.router.upstream import Exchange, ExchangeFailure, WorkerConnection, WorkerConnectionPool
from spoolpier.interface import OutcomeKind

MAX_UNARY_RESPONSE_BYTES = 8 * 1024 * 1024  # limit for the body of a response that is not streamed


class AttemptOwner(Protocol):
    """The request that an attempt sends."""

    admitted: Admitted
    used_connections: list[WorkerConnection]  # on which attempts of the request were written

    def may_write(self, instance: Instance) -> bool:
        """Called right before the write; whether the request may still be sent."""

    def request_bytes(self, instance: Instance) -> bytes:
        """The request as encoded for the worker."""

    def attempt_started(self, attempt: Attempt) -> None:
        """Handles the arrival of the first event, or of a complete unary response."""

    def forward_events(self, attempt: Attempt, data: bytes) -> None:
        """Handles a part of a streamed response."""

    def stream_complete(self, attempt: Attempt) -> None:
        """Handles the end of a streamed response."""

    def response_complete(self, attempt: Attempt, body: bytes) -> None:
        """Handles a complete unary response."""

    def attempt_failed(self, attempt: Attempt, kind: OutcomeKind) -> None:
        """Handles the end of an attempt without a complete response."""

    def attempt_cancelled(self, attempt: Attempt) -> None:
        """Handles the cancellation of an attempt."""

    def instance_mismatch(self, instance: Instance) -> None:
        """Handles a worker's report that it is not the expected instance."""


class Attempt:
    """One send of a request to one worker.

    Everything that arrives of the worker's response is kept here and ends with the attempt. `resume_after` is
    the id of the last event that the client has received from an earlier attempt.
    """

    def __init__(
        self, owner: AttemptOwner, number: int, instance: Instance, resume_after: bytes | None
    ) -> None:
        self.owner, self.number, self.instance = owner, number, instance
        self.events = EventSplitter(resume_after)
        self.response: Message | None = None
        self.started = False
        self.written = False
        self.end_reason = ""  # why there is no complete response, if known
        self._unary_body = bytearray()
        self._ended = False
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self.exchange: Exchange

    @property
    def elapsed_ms(self) -> float:
        """Time since the attempt was created, in milliseconds."""
        return (self._loop.time() - self._started_at) * 1000.0

    def begin(self, pool: WorkerConnectionPool, reading_paused: bool = False) -> None:
        """Sends the request; its response is not read while the client does not read."""
        self.exchange = Exchange(
            pool, parse_address(self.instance.address, "address"), self, self.owner.used_connections
        )
        self.exchange.set_reading_paused(reading_paused)
        self.exchange.begin()

    def cancel(self) -> None:
        """Cancels the attempt, if it has not ended."""
        if not self._ended:
            self._ended = True
            self.exchange.cancel()
            self.owner.attempt_cancelled(self)

    def abort_as_broken(self, reason: str) -> None:
        """Ends the attempt as broken because the worker's response cannot be used."""
        if not self._ended:
            self._ended = True
            self.end_reason = reason
            self.exchange.cancel()
            self.owner.attempt_failed(self, OutcomeKind.BROKEN)

    # callbacks of the exchange

    def may_write(self) -> bool:
        """Whether the request may still be sent."""
        return not self._ended and self.owner.may_write(self.instance)

    def request_bytes(self) -> bytes:
        """The encoded request; called when it is written."""
        self.written = True
        return self.owner.request_bytes(self.instance)

    def head_received(self, message: Message) -> bool:
        """Accepts the head of a response, unless it belongs to another request.

        A response without a request id is rejected too: it may be left over from an earlier request on the
        connection.
        """
        response_id = message.headers.get(header_names.REQUEST_ID)
        if response_id != self.owner.admitted.message.headers.get(header_names.REQUEST_ID):
            return False
        self.response = message
        return True

    @property
    def _is_stream(self) -> bool:
        head = self.response
        expects_stream = self.owner.admitted.route.streaming
        return (
            expects_stream
            and head is not None
            and 200 <= head.status < 300
            and header_names.SEAL in head.headers
        )

    def body_received(self, data: bytes) -> None:
        """Forwards a part of a stream, or collects the body of a unary response."""
        if self._ended:
            return
        if self._is_stream:
            self.owner.forward_events(self, data)
            return
        self._unary_body += data
        if len(self._unary_body) > MAX_UNARY_RESPONSE_BYTES:
            self.abort_as_broken("response too long")

    def response_received(self) -> None:
        """Handles the end of a complete response."""
        if self._ended or self.response is None:
            return
        self._ended = True
        if self._report_if_not_executed():
            return
        if self._is_stream:
            self.owner.stream_complete(self)
        else:
            self.owner.attempt_started(self)
            self.owner.response_complete(self, bytes(self._unary_body))

    def _report_if_not_executed(self) -> bool:
        """Reports the attempt as not run if the worker states that it has not run the request.

        Status 421 also means that another instance has the address now, unless the client itself named a
        version that the worker may not have: that says nothing of the worker.
        """
        assert self.response is not None
        kind = OutcomeKind.REFUSED
        if self.response.status == 421:
            if header_names.EXPECT_VERSION in self.owner.admitted.message.headers:
                kind = OutcomeKind.NOT_SENT
            else:
                self.owner.instance_mismatch(self.instance)
        elif header_names.NOT_EXECUTED not in self.response.headers:
            return False
        self.owner.attempt_failed(self, kind)
        return True

    def exchange_failed(self, failure: ExchangeFailure) -> None:
        """Handles the end of the exchange without a complete response."""
        if self._ended:
            return
        self._ended = True
        self.end_reason = self.end_reason or self.exchange.end_reason
        outcome_kinds = {
            ExchangeFailure.NO_CONNECTION: OutcomeKind.NO_CONNECTION,
            ExchangeFailure.NOT_SENT: OutcomeKind.NOT_SENT,
            ExchangeFailure.BROKEN: OutcomeKind.BROKEN,
        }
        self.owner.attempt_failed(self, outcome_kinds[failure])
