"""Persistent connections to workers, with one request at a time on each.

What bytes from a worker mean, by the state of its connection:

- Idle, in the pool: they belong to no request, and the connection is aborted. It is not used again while
  bytes wait unread.
- Request written, head awaited: the head that carries the request's id is its response. Interim responses
  are skipped. Once the connection has served a request, a complete response with another id, or none, is
  discarded, and so are bytes before the status line of a head. On a new connection they break the exchange.
- Body of the response: they belong to it, as its framing says.
- Body of a discarded response: discarded; the head is awaited behind it.
- Response complete: bytes that were read together with its end close the connection; the response stands.
- Cancelled or malformed: the connection is aborted, and nothing more is read.

Only a response with the request's id states that the request was not executed. Everything else that ends an
exchange after the request was written leaves open whether it ran.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Collection
from enum import Enum, auto
from typing import Protocol

from pebbledrift.bounds import Limits
from pebbledrift.cluster.boot import Address
from pebbledrift.net.http import HttpError, HttpProtocol, Message
from pebbledrift.net.presence import has_unread_input

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.5
DEFAULT_IDLE_TIMEOUT_S = 8.0  # unless the worker announces its own keep-alive timeout
IDLE_MARGIN_S = 0.8  # connections are closed this long before the worker's keep-alive timeout
MAX_IDLE_CONNECTIONS, MIN_IDLE_CONNECTIONS = 32, 2  # per worker
IDLE_CONNECTION_SHARE = 0.7  # share of a worker's connection limit that all routers together keep idle
SWEEP_INTERVAL_S = 1.0
MAX_FLUSH_S = 5.0  # time a worker that responded early has to read the rest of the request
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


class ExchangeFailure(Enum):
    """Why an exchange with a worker ended without a complete response."""

    NO_CONNECTION = auto()  # no connection could be opened; nothing was sent
    NOT_SENT = auto()  # the check right before the write failed; nothing was sent
    BROKEN = auto()  # the request was sent and may have run


class ExchangeListener(Protocol):
    """The sender of a request, which is informed about the response."""

    def may_write(self) -> bool:
        """Called right before the write; whether the request may still be sent."""

    def request_bytes(self) -> bytes:
        """The encoded request, with the time that remains now."""

    def head_received(self, message: Message) -> bool:
        """Handles the head of a response; False if it belongs to another request."""

    def body_received(self, data: bytes) -> None:
        """Handles a part of the body."""

    def response_received(self) -> None:
        """Handles the end of a complete response."""

    def exchange_failed(self, failure: ExchangeFailure) -> None:
        """Handles the end of an exchange without a complete response."""


class WorkerConnection(HttpProtocol):
    """One connection to a worker."""

    def __init__(self, pool: WorkerConnectionPool, address: Address, limits: Limits) -> None:
        super().__init__(limits, request=False, stream=True)
        self.pool, self.address = pool, address
        self.exchange: Exchange | None = None
        self.closed = False
        self.idle_until = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._response: Message | None = None
        self._has_served = False  # whether a previous exchange completed on this connection
        self.end_reason = ""  # why the connection ended, if known
        self._unrelated_response = False  # whether the present response belongs to another request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle period of the new connection."""
        super().connection_made(transport)
        self._restart_idle_period()

    def _restart_idle_period(self) -> None:
        """Starts the idle period, in step with the worker's keep-alive timer.

        The worker does not notice when the connection is acquired and released without a request, so the
        period continues through that.
        """
        self.idle_until = asyncio.get_running_loop().time() + self.idle_timeout_s

    def feed(self, data: bytes) -> None:
        """Parses received bytes, or aborts the connection if no request is open that they could belong to."""
        if self.exchange is not None:
            super().feed(data)
            return
        log.info("unsolicited bytes", extra={"worker": self.address[0], "bytes": len(data)})
        self.end_reason = self.end_reason or "unsolicited bytes"
        self.abort()

    def pause_writing(self) -> None:
        """Does not abort a worker that reads slowly: at most one request is buffered."""

    def message_received(self, message: Message) -> None:
        """Handles the head of a response; interim responses (1xx) are skipped."""
        if message.second.startswith("1"):
            return
        if self._response is not None:
            self._deliver(ended=True)  # the body before this head is complete
        exchange = self.exchange
        if exchange is None:
            self.abort()  # the response before this head, just delivered, ended the exchange
            return
        self._response = message
        timeout = _KEEP_ALIVE_TIMEOUT.search(message.headers.get("keep-alive", ""))
        if timeout:
            self.idle_timeout_s = max(0.0, int(timeout[1]) - IDLE_MARGIN_S)
        self._unrelated_response = not exchange.listener.head_received(message)
        if self._unrelated_response and not self._has_served:
            log.info("response does not match any request", extra={"worker": self.address[0]})
            self.abort()  # no earlier request on this connection could have caused this response

    def fed(self) -> None:
        """Delivers the parsed part of the body."""
        if self._response is None:
            return
        ended = self.parser.ended
        self._deliver(ended)
        if ended and self.parser.buffer and not self.closed:
            self.feed(b"")  # the next response arrived together with the end of this one

    def _deliver(self, ended: bool) -> None:
        message, exchange = self._response, self.exchange
        assert message is not None
        data = bytes(message.body)
        message.body.clear()
        if ended:
            self._response = None
        if exchange is None or self._unrelated_response:
            return  # an unrelated response is discarded; the expected one is still to come
        if data:
            exchange.listener.body_received(data)
        if ended and self.exchange is exchange:
            self._finish_exchange(message, exchange)

    def _finish_exchange(self, message: Message, exchange: Exchange) -> None:
        self.exchange = None
        self._has_served = self.parser.skip_to_status_line = True
        if message.keep_alive and not self.parser.inside and self._all_written:
            self._restart_idle_period()
            self.pool.release(self)
        else:
            self.close()
        exchange.listener.response_received()

    @property
    def _all_written(self) -> bool:
        """Whether the request is written completely; a worker may respond before it has read all of it."""
        return self.transport is not None and self.transport.get_write_buffer_size() == 0

    def eof_received(self) -> bool:
        """Completes a response that is delimited by the end of the connection."""
        message, exchange = self._response, self.exchange
        self.end_reason = self.end_reason or "closed by the worker"
        delimited_by_close = self.parser.mode == "close"
        if (
            delimited_by_close
            and message is not None
            and exchange is not None
            and not self._unrelated_response
        ):
            self.exchange = None
            exchange.listener.response_received()
        return False

    def malformed(self, error: HttpError) -> None:
        """Aborts the connection when the response cannot be parsed."""
        log.info("malformed answer", extra={"worker": self.address[0], "reason": str(error)})
        self.end_reason = f"malformed response: {error}"
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the pool and fails the open exchange."""
        self.closed = True
        if exc is not None:
            self.end_reason = self.end_reason or f"{type(exc).__name__}: {exc}"
        self.pool.remove_lost(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.end_reason = self.end_reason or "closed"
            exchange.listener.exchange_failed(ExchangeFailure.BROKEN)

    @property
    def usable(self) -> bool:
        """Whether the connection is open, and the kernel has seen neither bytes nor a close by the worker."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return False
        return not has_unread_input(self.transport.get_extra_info("socket"))

    def close(self) -> None:
        """Closes the connection once the write buffer is flushed; no more responses are expected."""
        self.closed = True
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.close()
        if not self._all_written:
            asyncio.get_running_loop().call_later(MAX_FLUSH_S, self.abort)

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading the response."""
        if self.transport is None or self.transport.is_closing():
            return
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()


class Exchange:
    """One request to a worker and its response.

    `used_connections` are those on which earlier attempts of the request were written; a late copy of the
    response to one of them could not be told from the response to this one. This exchange adds its own.
    """

    def __init__(
        self,
        pool: WorkerConnectionPool,
        address: Address,
        listener: ExchangeListener,
        used_connections: list[WorkerConnection] | None = None,
    ) -> None:
        self.listener = listener
        self.end_reason = ""  # why there was no complete response, if known
        self._pool, self._address = pool, address
        self._used_connections = [] if used_connections is None else used_connections
        self._connection: WorkerConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self._cancelled = False
        self._reading_paused = False

    def begin(self) -> None:
        """Writes the request on an idle connection, or opens a new one."""
        connection = self._pool.acquire(self._address, self._used_connections)
        if connection is not None:
            self._write(connection)
            return
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            connection = await self._pool.connect(self._address)
        except (OSError, TimeoutError):
            if not self._cancelled:
                self.listener.exchange_failed(ExchangeFailure.NO_CONNECTION)
            return
        if self._cancelled:
            self._pool.release(connection)
            return
        self._write(connection)

    def _write(self, connection: WorkerConnection) -> None:
        if not self.listener.may_write():
            self._pool.release(connection)
            self.listener.exchange_failed(ExchangeFailure.NOT_SENT)
            return
        connection.exchange = self
        self._connection = connection
        self._used_connections.append(connection)
        assert connection.transport is not None
        connection.transport.write(self.listener.request_bytes())
        connection.set_reading_paused(self._reading_paused)

    def cancel(self) -> None:
        """Abandons the exchange; closing the connection signals this to the worker."""
        self._cancelled = True
        connection = self._connection
        if connection is not None and connection.exchange is self:
            connection.exchange = None
            connection.abort()

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading the response, following the client's reading; also before the write."""
        self._reading_paused = paused
        if self._connection is not None and self._connection.exchange is self:
            self._connection.set_reading_paused(paused)


class WorkerConnectionPool:
    """Idle connections to workers, by address."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._idle: dict[Address, list[WorkerConnection]] = {}
        self._max_idle = MAX_IDLE_CONNECTIONS
        self._loop = asyncio.get_running_loop()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.opened_count = 0

    def acquire(
        self, address: Address, avoided: Collection[WorkerConnection] = ()
    ) -> WorkerConnection | None:
        """Removes and returns the usable idle connection that was used most recently, if there is one.

        Connections in `avoided` stay in the pool.
        """
        idle = self._idle.get(address, [])
        now = self._loop.time()
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if connection in avoided:
                continue
            del idle[index]
            if now < connection.idle_until and connection.usable:
                return connection
            connection.close()
        return None

    async def connect(self, address: Address) -> WorkerConnection:
        """Opens a new connection; raises OSError or TimeoutError if that fails."""
        self.opened_count += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await self._loop.create_connection(
                lambda: WorkerConnection(self, address, self._limits), *address
            )
        return connection

    def release(self, connection: WorkerConnection) -> None:
        """Returns a connection without an open exchange to the pool, or closes it."""
        idle = self._idle.setdefault(connection.address, [])
        if connection.closed or len(idle) >= self._max_idle or connection.idle_timeout_s <= 0:
            connection.close()
            return
        # a slow client may have paused reading; the next response would never be read
        connection.set_reading_paused(False)
        idle.append(connection)

    def limit_idle(self, max_connections: int, routers: int) -> None:
        """Limits the idle connections per worker to this router's share.

        `max_connections` is what one worker accepts from all `routers` together.
        """
        limit = int(IDLE_CONNECTION_SHARE * max_connections / max(1, routers))
        self._max_idle = max(MIN_IDLE_CONNECTIONS, min(MAX_IDLE_CONNECTIONS, limit))

    def remove_lost(self, connection: WorkerConnection) -> None:
        """Removes a connection that has ended."""
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def close_address(self, address: Address) -> None:
        """Closes the idle connections to an address that is no longer used."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def _sweep(self) -> None:
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            for connection in [c for c in idle if c.closed or now >= c.idle_until]:
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle[address]
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> None:
        """Closes all idle connections."""
        self._sweep_timer.cancel()
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
