"""Connections to workers: kept for many requests, one request at a time on each."""

from __future__ import annotations

import asyncio
import logging
import re
from enum import Enum, auto
from typing import Protocol

from pebbledrift.bounds import Limits
from pebbledrift.cluster.boot import Address
from pebbledrift.net.http import HttpError, HttpProtocol, Message
from pebbledrift.net.presence import peer_has_closed

log = logging.getLogger(__name__)

CONNECT_S = 0.5
IDLE_S = 8.0  # kept without a word of the worker on how long it keeps connections
IDLE_MARGIN_S = 0.8  # ours are given up before the worker's time is over
IDLE_MOST, IDLE_LEAST = 32, 2  # kept for one worker
IDLE_SHARE = 0.7  # of the connections that a worker takes from all routers together
SWEEP_S = 1.0
FLUSH_S = 5.0  # a worker that has answered early has so long to read the rest of the request
_TIMEOUT = re.compile(r"timeout=(\d+)")


class Ending(Enum):
    """How an exchange with a worker ended without a whole answer."""

    NO_CONNECTION = auto()  # nothing was sent
    NOT_SENT = auto()  # it was judged again at the write, and held back
    BROKEN = auto()  # it was sent and may have run


class ExchangeListener(Protocol):
    """Whoever sent a request."""

    def may_write(self) -> bool:
        """Asked right before the write: does all still hold?"""

    def request_bytes(self) -> bytes:
        """The request, with the time that is left now."""

    def head(self, message: Message) -> bool:
        """The head of an answer has come; False if it is another request's."""

    def body(self, data: bytes) -> None:
        """A part of the body."""

    def complete(self) -> None:
        """The answer is whole."""

    def ended(self, ending: Ending) -> None:
        """There will be no whole answer."""


class WorkerConnection(HttpProtocol):
    """One connection to a worker."""

    def __init__(self, pool: WorkerPool, address: Address, limits: Limits) -> None:
        super().__init__(limits, request=False, stream=True)
        self.pool, self.address = pool, address
        self.exchange: Exchange | None = None
        self.closed = False
        self.idle_until = 0.0
        self.idle_s = IDLE_S
        self._message: Message | None = None
        self._used = False  # it has carried another exchange before the present one
        self.end_reason = ""  # why the connection ended, as far as is known
        self._foreign = False  # what comes is the answer to another request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._rest()

    def _rest(self) -> None:
        """The worker counts the time at rest from here on, also while we take the connection in vain."""
        self.idle_until = asyncio.get_running_loop().time() + self.idle_s

    def pause_writing(self) -> None:
        """A worker that reads slowly is waited for: one request is all that is ever unsent."""

    def message_received(self, message: Message) -> None:
        if message.second.startswith("1"):
            return
        if self._message is not None:
            self._deliver(ended=True)  # what came before this head is whole
        exchange = self.exchange
        if exchange is None:
            self.abort()  # bytes that belong to no request
            return
        self._message = message
        found = _TIMEOUT.search(message.headers.get("keep-alive", ""))
        if found:
            self.idle_s = max(0.0, int(found[1]) - IDLE_MARGIN_S)
        self._foreign = not exchange.listener.head(message)
        if self._foreign and not self._used:
            log.info("answer to no request", extra={"worker": self.address[0]})
            self.abort()  # there was no earlier request that it could be the answer to

    def fed(self) -> None:
        if self._message is None:
            return
        ended = self.parser.ended
        self._deliver(ended)
        if ended and self.parser.buffer and not self.closed:
            self.feed(b"")  # the next answer came together with the end of this one

    def _deliver(self, ended: bool) -> None:
        message, exchange = self._message, self.exchange
        assert message is not None
        data = bytes(message.body)
        message.body.clear()
        if ended:
            self._message = None
        if exchange is None or self._foreign:
            return  # of a foreign answer nothing is used; ours is still to come
        if data:
            exchange.listener.body(data)
        if ended and self.exchange is exchange:
            self._whole(message, exchange)

    def _whole(self, message: Message, exchange: Exchange) -> None:
        self.exchange = None
        self._used = True
        if message.keep_alive and not self.parser.inside and self._all_written:
            self._rest()
            self.pool.give_back(self)
        else:
            self.close()
        exchange.listener.complete()

    @property
    def _all_written(self) -> bool:
        """Whether nothing of the request waits for the worker, which may answer before it has read it."""
        return self.transport is not None and self.transport.get_write_buffer_size() == 0

    def eof_received(self) -> bool:
        message, exchange = self._message, self.exchange
        self.end_reason = self.end_reason or "ended by the worker"
        until_close = self.parser.mode == "close"
        if until_close and message is not None and exchange is not None and not self._foreign:
            self.exchange = None
            exchange.listener.complete()
        return False

    def malformed(self, error: HttpError) -> None:
        log.info("malformed answer", extra={"worker": self.address[0], "reason": str(error)})
        self.end_reason = f"malformed: {error}"
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if exc is not None:
            self.end_reason = self.end_reason or f"{type(exc).__name__}: {exc}"
        self.pool.lost(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.end_reason = self.end_reason or "closed"
            exchange.listener.ended(Ending.BROKEN)

    @property
    def usable(self) -> bool:
        """Whether the worker has not ended the connection, as far as the kernel knows."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return False
        return not peer_has_closed(self.transport.get_extra_info("socket"))

    def close(self) -> None:
        """End the connection once all is written; nothing is expected on it any more."""
        self.closed = True
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.close()
        if not self._all_written:
            asyncio.get_running_loop().call_later(FLUSH_S, self.abort)

    def hold(self, paused: bool) -> None:
        """Stop reading the answer, or go on."""
        if self.transport is None or self.transport.is_closing():
            return
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()


class Exchange:
    """One request to a worker."""

    def __init__(self, pool: WorkerPool, address: Address, listener: ExchangeListener) -> None:
        self.listener = listener
        self.end_reason = ""  # why there was no whole answer, as far as is known
        self._pool, self._address = pool, address
        self._connection: WorkerConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self._cancelled = False

    def begin(self) -> None:
        """Write on a kept connection, or open one."""
        kept = self._pool.take(self._address)
        if kept is not None:
            self._write(kept)
            return
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            connection = await self._pool.open(self._address)
        except (OSError, TimeoutError):
            if not self._cancelled:
                self.listener.ended(Ending.NO_CONNECTION)
            return
        if self._cancelled:
            self._pool.give_back(connection)
            return
        self._write(connection)

    def _write(self, connection: WorkerConnection) -> None:
        if not self.listener.may_write():
            self._pool.give_back(connection)
            self.listener.ended(Ending.NOT_SENT)
            return
        connection.exchange = self
        self._connection = connection
        assert connection.transport is not None
        connection.transport.write(self.listener.request_bytes())

    def cancel(self) -> None:
        """Nothing more is wanted: the worker is told by the end of the connection."""
        self._cancelled = True
        connection = self._connection
        if connection is not None and connection.exchange is self:
            connection.exchange = None
            connection.abort()

    def hold(self, paused: bool) -> None:
        """The client reads slowly, or goes on."""
        if self._connection is not None and self._connection.exchange is self:
            self._connection.hold(paused)


class WorkerPool:
    """Kept connections by address."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._idle: dict[Address, list[WorkerConnection]] = {}
        self._idle_most = IDLE_MOST
        self._loop = asyncio.get_running_loop()
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        self.opened = 0

    def take(self, address: Address) -> WorkerConnection | None:
        """The connection that was used last, if it is still good."""
        idle = self._idle.get(address)
        now = self._loop.time()
        while idle:
            connection = idle.pop()
            if now < connection.idle_until and connection.usable:
                return connection
            connection.close()
        return None

    async def open(self, address: Address) -> WorkerConnection:
        """A new connection."""
        self.opened += 1
        async with asyncio.timeout(CONNECT_S):
            _, connection = await self._loop.create_connection(
                lambda: WorkerConnection(self, address, self._limits), *address
            )
        return connection

    def give_back(self, connection: WorkerConnection) -> None:
        """Keep a connection on which nothing is open."""
        idle = self._idle.setdefault(connection.address, [])
        if connection.closed or len(idle) >= self._idle_most or connection.idle_s <= 0:
            connection.close()
            return
        connection.hold(False)  # a slow client may have paused it: its next answer would not be heard
        idle.append(connection)

    def share(self, max_connections: int, routers: int) -> None:
        """Keep no more than our part of the connections that every worker takes."""
        part = int(IDLE_SHARE * max_connections / max(1, routers))
        self._idle_most = max(IDLE_LEAST, min(IDLE_MOST, part))

    def lost(self, connection: WorkerConnection) -> None:
        """A connection has ended."""
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def drop(self, address: Address) -> None:
        """Close what is kept to an address that is not used any more."""
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
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """End all kept connections."""
        self._sweeper.cancel()
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
