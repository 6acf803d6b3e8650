"""Accepted HTTP connections: requests on one connection are processed one at a time and answered in order.

Every request that was read completely gets its response. Pipelined requests are queued, also while the
process is draining, and malformed input is answered after all requests that precede it. A half-close by the
client counts as a disconnect (docs/guarantees.md).
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

from pebbledrift.bounds import Limits
from pebbledrift.net.ending import Ending, LastAnswer
from pebbledrift.net.http import HttpError, HttpProtocol, Message, response
from pebbledrift.net.presence import peer_has_closed

log = logging.getLogger(__name__)

MAX_FLUSH_S = 8.0  # time a client has to read its last response; the rest is dropped then
MAX_PIPELINED_REQUESTS = 4  # per connection; reading pauses while that many are queued


class RequestOwner(Protocol):
    """The object that processes the open request of a connection."""

    def client_gone(self) -> None:
        """Called when the client has disconnected before its response was complete."""

    def client_write_paused(self, paused: bool) -> None:
        """Called when the client's write buffer is full (`paused`) and once it has drained."""


class RequestConnection(HttpProtocol):
    """One client connection.

    The owner of the open request writes the response, either by `send_response` or by `send_head`,
    `send_chunk` and `finish_chunked`.
    """

    def __init__(
        self,
        limits: Limits,
        begin_request: Callable[[RequestConnection, Message], RequestOwner | None],
        is_draining: Callable[[], bool],
        connections: set[RequestConnection],
    ) -> None:
        super().__init__(limits, request=True)
        self._begin_request, self._is_draining, self._connections = begin_request, is_draining, connections
        self.owner: RequestOwner | None = None
        self.state_since = 0.0  # when the connection became idle, or the request began to arrive
        self._request_open = False  # whether a request is being processed
        self._pipelined: deque[tuple[float, Message]] = deque()  # with the times they were received
        self.request_received_at = 0.0  # when the last byte of the open request was received
        self._parse_error: HttpError | None = None  # malformed input behind the queued requests
        self._discarded_bytes = 0  # bytes received behind the malformed input
        self._lingering_close: Ending | LastAnswer | None = None  # set after the last response
        self._keep_alive = True
        self.end_reason = ""  # why the connection ended, if known
        self._loop = asyncio.get_running_loop()

    @property
    def idle(self) -> bool:
        """Whether no response is pending and no part of a request has been received."""
        return not self.busy and not self.parser.inside

    @property
    def busy(self) -> bool:
        """Whether any input that was read has no complete response yet."""
        return self._request_open or bool(self._pipelined) or self._parse_error is not None

    @property
    def held_bytes(self) -> int:
        """The size of the input that was read and belongs to no request in progress."""
        return self.parser.held + sum(len(message.body) for _, message in self._pipelined)

    @property
    def ending(self) -> bool:
        """Whether the last response was sent, and the connection is about to be closed."""
        return self._lingering_close is not None

    @property
    def unsent_bytes(self) -> int:
        """The size of the responses that the peer has not taken yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection."""
        super().connection_made(transport)
        self.state_since = self._loop.time()
        self._connections.add(self)

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes, or discards them once no more requests are accepted."""
        if self._lingering_close is not None:
            self._lingering_close.passed_over(nbytes)
            return
        if self._parse_error is not None:
            self._discard_input(nbytes)
            return
        if self.idle:
            self.state_since = self._loop.time()
        super().buffer_updated(nbytes)

    def apply_limits(self, limits: Limits) -> None:
        """Applies other limits to the next request; one whose head was read keeps its own."""
        if not self.parser.halfway:
            self.limits = self.parser.limits = limits

    def message_received(self, message: Message) -> None:
        """Starts a request, or queues it while earlier input is not answered yet."""
        # also while an earlier request waits for the event loop to start it: requests keep their order
        if self.busy:
            self._pipelined.append((self._loop.time(), message))
            if len(self._pipelined) >= MAX_PIPELINED_REQUESTS and self.transport is not None:
                self.transport.pause_reading()
            return
        self._start_request(self._loop.time(), message)

    def _start_request(self, received_at: float, message: Message) -> None:
        self._request_open, self.request_received_at = True, received_at
        self._keep_alive = message.keep_alive
        try:
            self.owner = self._begin_request(self, message)
        except Exception:
            # without a response the client could not tell an internal error from a request that was not read
            log.exception("request failed")
            owner, self.owner = self.owner, None
            if owner is not None:
                owner.client_gone()
            self._reject_and_close(500, "internal error")

    def _start_next_request(self) -> None:
        """Starts the request that has been queued longest."""
        if self.alive and not self._request_open and self._pipelined:
            received_at, message = self._pipelined.popleft()
            if self.transport is not None and self._parse_error is None:
                self.transport.resume_reading()
            self._start_request(received_at, message)

    def malformed(self, error: HttpError) -> None:
        """Handles input that is not a valid request.

        It is answered after all requests that precede it, and nothing behind it is parsed.
        """
        self._parse_error = error
        self.parser.drop()
        if not self._request_open and not self._pipelined:
            self._reject_and_close(error.status, str(error))

    def _discard_input(self, nbytes: int) -> None:
        """Discards input behind a parse error.

        The connection is still read, so that a disconnect is noticed; reading stops after `linger_bytes`.
        """
        self._discarded_bytes += nbytes
        if self._discarded_bytes > self.limits.linger_bytes and self.transport is not None:
            self.transport.pause_reading()

    def _reject_and_close(self, status: int, reason: str) -> None:
        """Sends an error response and closes the connection."""
        self._request_open, self._keep_alive = True, False
        self.send_response(status, *self.error_response(status, reason))

    def error_response(self, status: int, reason: str) -> tuple[Mapping[str, str], bytes]:
        """Returns headers and body of the response to input that cannot be processed; both are empty here."""
        return {}, b""

    def eof_received(self) -> bool:
        """Closes the connection when the client closes its sending side."""
        self.end_reason = self.end_reason or "closed by the client"
        return False

    def check_peer_closed(self) -> None:
        """Detects a disconnect while reading is paused.

        Reading is paused when the client has pipelined many requests, so that no end of file is read.
        """
        transport = self.transport
        if (
            transport is None
            or transport.is_closing()
            or self._lingering_close is not None
            or transport.is_reading()
        ):
            return
        if peer_has_closed(transport.get_extra_info("socket")):
            self.end_reason = "closed by the client"
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregisters the connection and informs the owner of the open request."""
        self._connections.discard(self)
        self._pipelined.clear()
        if self._lingering_close is not None:
            self._lingering_close.cancel()
        if exc is not None:
            self.end_reason = self.end_reason or f"{type(exc).__name__}: {exc}"
        owner, self.owner = self.owner, None
        if owner is not None:
            owner.client_gone()

    def pause_writing(self) -> None:
        """Informs the owner of the open request that the write buffer is full."""
        if self.owner is not None:
            self.owner.client_write_paused(True)

    def resume_writing(self) -> None:
        """Informs the owner of the open request that the write buffer has drained."""
        if self._lingering_close is not None:
            self._lingering_close.flushed()
        if self.owner is not None:
            self.owner.client_write_paused(False)

    @property
    def alive(self) -> bool:
        """Whether the client is connected, as far as this process can tell."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def peer_has_left(self) -> bool:
        """Whether the client has disconnected, also where that is not read yet."""
        transport = self.transport
        return (
            transport is None or transport.is_closing() or peer_has_closed(transport.get_extra_info("socket"))
        )

    @property
    def receiving(self) -> bool:
        """Whether a request has been received in part, and no response is pending."""
        return self.parser.inside and self._lingering_close is None and not self.busy

    def request_timed_out(self, now: float, timeout_s: float) -> bool:
        """Whether the request being received has been incomplete for more than `timeout_s` seconds."""
        return self.receiving and now - self.state_since > timeout_s

    def reject_timed_out_request(self) -> None:
        """Answers an incomplete request that has timed out with status 408 and closes the connection."""
        self.reject_incomplete_request(408, "the request did not arrive in time")

    def reject_incomplete_request(self, status: int, reason: str) -> None:
        """Answers a request that has been received in part, and closes the connection."""
        self.parser.drop()
        self._reject_and_close(status, reason)

    def close(self) -> None:
        """Closes a connection that has no pending response."""
        if self.transport is not None:
            self.transport.close()
            self._limit_flush_time(self.transport)

    def _limit_flush_time(self, transport: asyncio.Transport) -> None:
        """Aborts the connection if its write buffer is not flushed in time.

        This bounds the file descriptors and the memory held by clients that never read their last response.
        """
        if transport.get_write_buffer_size():
            self._loop.call_later(MAX_FLUSH_S, transport.abort)

    def _should_keep_alive(self) -> bool:
        # while draining, pipelined requests are answered before the connection is closed
        has_more_input = bool(self._pipelined) or self._parse_error is not None
        return self._keep_alive and (has_more_input or not self._is_draining())

    def send_response(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Sends a complete response."""
        if self.transport is None:
            return
        keep_alive = self._should_keep_alive()
        self._keep_alive = keep_alive
        self.transport.write(response(status, dict(headers), body, keep_alive))
        self._response_sent()

    def send_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Sends the head of a response with chunked transfer coding."""
        if self.transport is None:
            return
        self._keep_alive = self._should_keep_alive()
        lines = [f"HTTP/1.1 {status} OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        if not self._keep_alive:
            lines.append("Connection: close")
        self.transport.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")

    def send_chunk(self, data: bytes) -> None:
        """Sends one chunk of the body."""
        if self.transport is not None:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish_chunked(self) -> None:
        """Sends the last chunk, which completes the response."""
        if self.transport is not None:
            self.transport.write(b"0\r\n\r\n")
            self._response_sent()

    def _response_sent(self) -> None:
        self.owner = None
        self._request_open = False
        self.state_since = self._loop.time()
        if self.transport is None:
            return
        if not self._keep_alive:
            self._close_after_response(self.transport)
        elif self._pipelined:
            self._loop.call_soon(self._start_next_request)
        elif self._parse_error is not None:
            self._reject_and_close(self._parse_error.status, str(self._parse_error))

    def _close_after_response(self, transport: asyncio.Transport) -> None:
        """Closes the connection after the last response.

        Closing a socket with unread input resets the connection, which could destroy the response in transit.
        """
        input_malformed = self._parse_error is not None or self.parser.mode == "dropped"
        self._pipelined.clear()
        self._parse_error = None
        self.parser.drop()
        if transport.is_closing():
            return
        if input_malformed:
            self._lingering_close = Ending(transport, self.limits, b"")
            transport.resume_reading()
        else:
            self._lingering_close = LastAnswer(transport, self.limits, b"")
        self._limit_flush_time(transport)
