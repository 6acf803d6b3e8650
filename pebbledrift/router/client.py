"""Connections of clients: one request at a time on each, answered in order.

Each request that was read whole gets its answer: one sent in advance waits for its turn, also while the
process is leaving, and bytes that are no request are answered behind all requests before them. The end of
the client's sending side counts as its leaving (docs/guarantees.md).
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

SHUTDOWN = "shutdown"  # the reason of an end that the process made
FLUSH_MOST_S = 8.0  # a client that has not read its last answer by then does not get the rest
WAITING_MOST = 4  # requests sent in advance on one connection; beyond them nothing is read
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
)


class RequestOwner(Protocol):
    """Whoever is at work on a request of a connection."""

    def client_gone(self) -> None:
        """The client has left."""

    def client_slow(self, paused: bool) -> None:
        """The client reads slowly, or goes on."""


class ClientConnection(HttpProtocol):
    """One client. The owner of the open request writes the answer by `answer`, or by head, chunks and end."""

    def __init__(
        self,
        limits: Limits,
        begin: Callable[[ClientConnection, Message], RequestOwner | None],
        closing: Callable[[], bool],
        table: set[ClientConnection],
    ) -> None:
        super().__init__(limits, request=True)
        self._begin, self._closing, self._table = begin, closing, table
        self.owner: RequestOwner | None = None
        self.since = 0.0  # when the connection came to rest, or the request began to come
        self._open = False  # a request has no whole answer yet
        self._waiting: deque[tuple[float, Message]] = deque()  # requests read in advance, and when
        self.arrived = 0.0  # when the last byte of the open request came
        self._fault: HttpError | None = None  # what stands behind them is no request
        self._passed_over = 0  # bytes behind the fault
        self._ending: Ending | LastAnswer | None = None  # the last answer was written
        self._keep_alive = True
        self.end_reason = ""  # why the connection ended, as far as is known
        self._loop = asyncio.get_running_loop()

    @property
    def resting(self) -> bool:
        """Whether nothing is owed and nothing has begun to come."""
        return not self.busy and not self.parser.inside

    @property
    def busy(self) -> bool:
        """Whether something that was read has no whole answer yet."""
        return self._open or bool(self._waiting) or self._fault is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.since = self._loop.time()
        self._table.add(self)

    def buffer_updated(self, nbytes: int) -> None:
        if self._ending is not None:
            self._ending.passed_over(nbytes)
            return
        if self._fault is not None:
            self._pass_over(nbytes)
            return
        if self.resting:
            self.since = self._loop.time()
        super().buffer_updated(nbytes)

    def message_received(self, message: Message) -> None:
        # also while an earlier one waits for the loop to begin it: a newer one may not go before it
        if self.busy:
            self._waiting.append((self._loop.time(), message))
            if len(self._waiting) >= WAITING_MOST and self.transport is not None:
                self.transport.pause_reading()
            return
        self._start(self._loop.time(), message)

    def _start(self, arrived: float, message: Message) -> None:
        self._open, self.arrived = True, arrived
        self._keep_alive = message.keep_alive
        try:
            self.owner = self._begin(self, message)
        except Exception:
            # without an answer the client could not tell a fault of ours from a request that was never read
            log.exception("request failed")
            owner, self.owner = self.owner, None
            if owner is not None:
                owner.client_gone()
            self._refuse_rest(500)

    def _start_next(self) -> None:
        """Begin the request that has waited longest."""
        if self.alive and not self._open and self._waiting:
            arrived, message = self._waiting.popleft()
            if self.transport is not None and self._fault is None:
                self.transport.resume_reading()
            self._start(arrived, message)

    def malformed(self, error: HttpError) -> None:
        """What came is no request: answered once all before it are, and nothing is read behind it."""
        self._fault = error
        self.parser.drop()
        if not self._open and not self._waiting:
            self._refuse_rest(error.status)

    def _pass_over(self, nbytes: int) -> None:
        """Read on without use, so that the client's end is noticed; without end, no more of it is taken."""
        self._passed_over += nbytes
        if self._passed_over > self.limits.linger_bytes and self.transport is not None:
            self.transport.pause_reading()

    def _refuse_rest(self, status: int) -> None:
        """Answer with an error of the sender's, or of our own, and end the connection."""
        self._open, self._keep_alive = True, False
        self.answer(status, {}, b"")

    def eof_received(self) -> bool:
        self.end_reason = self.end_reason or "ended by the client"
        return False

    def look_for_end(self) -> None:
        """Notice a client that left while nothing is read of it: it has sent much in advance."""
        transport = self.transport
        if transport is None or transport.is_closing() or self._ending is not None or transport.is_reading():
            return
        if peer_has_closed(transport.get_extra_info("socket")):
            self.end_reason = "ended by the client"
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._table.discard(self)
        self._waiting.clear()
        if self._ending is not None:
            self._ending.cancel()
        if exc is not None:
            self.end_reason = self.end_reason or f"{type(exc).__name__}: {exc}"
        owner, self.owner = self.owner, None
        if owner is not None:
            owner.client_gone()

    def pause_writing(self) -> None:
        if self.owner is not None:
            self.owner.client_slow(True)

    def resume_writing(self) -> None:
        if self._ending is not None:
            self._ending.flushed()
        if self.owner is not None:
            self.owner.client_slow(False)

    @property
    def alive(self) -> bool:
        """Whether the client is there, as far as is known."""
        return self.transport is not None and not self.transport.is_closing()

    def late(self, now: float, longest: float) -> bool:
        """Whether a request began to come long ago and is still not whole."""
        inside = self.parser.inside and self._ending is None
        return inside and not self.busy and now - self.since > longest

    def answer_late(self) -> None:
        """Give up a request that does not come to its end."""
        self.parser.drop()
        self._refuse_rest(408)

    def close(self) -> None:
        """End a connection on which nothing is owed."""
        if self.transport is not None:
            self.transport.close()
            self._limit_flush(self.transport)

    def _limit_flush(self, transport: asyncio.Transport) -> None:
        """Guards descriptors and memory against clients that never read their last answer."""
        if transport.get_write_buffer_size():
            self._loop.call_later(FLUSH_MOST_S, transport.abort)

    def _keeps(self) -> bool:
        # while the process leaves, what was read in advance is answered before the connection ends
        owes_more = bool(self._waiting) or self._fault is not None
        return self._keep_alive and (owes_more or not self._closing())

    def answer(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """A whole answer."""
        if self.transport is None:
            return
        keep = self._keeps()
        self._keep_alive = keep
        self.transport.write(response(status, dict(headers), body, keep))
        self._ended()

    def head(self, status: int, headers: Mapping[str, str]) -> None:
        """The head of an answer that comes in chunks."""
        if self.transport is None:
            return
        self._keep_alive = self._keeps()
        lines = [f"HTTP/1.1 {status} OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        if not self._keep_alive:
            lines.append("Connection: close")
        self.transport.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")

    def chunk(self, data: bytes) -> None:
        """A part of the body."""
        if self.transport is not None:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def end(self) -> None:
        """The answer in chunks is whole."""
        if self.transport is not None:
            self.transport.write(b"0\r\n\r\n")
            self._ended()

    def _ended(self) -> None:
        self.owner = None
        self._open = False
        self.since = self._loop.time()
        if self.transport is None:
            return
        if not self._keep_alive:
            self._end_connection(self.transport)
        elif self._waiting:
            self._loop.call_soon(self._start_next)
        elif self._fault is not None:
            self._refuse_rest(self._fault.status)

    def _end_connection(self, transport: asyncio.Transport) -> None:
        """Close behind the last answer. A close over unread input would reset it on its way."""
        faulty = self._fault is not None or self.parser.mode == "dropped"
        self._waiting.clear()
        self._fault = None
        self.parser.drop()
        if transport.is_closing():
            return
        if faulty:
            self._ending = Ending(transport, self.limits, b"")
            transport.resume_reading()
        else:
            self._ending = LastAnswer(transport, self.limits, b"")
        self._limit_flush(transport)
