"""One client's connection: a request at a time, and an answer to each one that was read."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Protocol

from pebbledrift.bounds import Limits
from pebbledrift.net.arrivals import ArrivalTimes
from pebbledrift.net.ending import Ending, LastAnswer
from pebbledrift.net.http import SCRATCH, HttpError, HttpProtocol, Message, response
from pebbledrift.net.link import Fields
from pebbledrift.net.presence import peer_has_closed

log = logging.getLogger(__name__)

READ_AHEAD = SCRATCH[:4096]  # what is read at once behind a request that is being served


class Handler(Protocol):
    """The front behind the connections."""

    def handle(self, connection: ClientConnection, message: Message) -> None:
        """Answer a request now or later by connection.answer or connection.reject, exactly once."""

    def gone(self, connection: ClientConnection) -> None:
        """The client has left, or has its answer already: its request is wanted no more."""

    def adopt(self, connection: ClientConnection, message: Message, job: Fields) -> None:
        """A request that the process before this one has sent; it is answered here."""


class Table(Protocol):
    """What a connection needs of the server that accepted it."""

    limits: Limits
    handler: Handler
    sockets: set[ClientConnection]
    silent: dict[ClientConnection, None]
    ending: dict[ClientConnection, None]
    idle: dict[ClientConnection, None]
    reading: int
    closing: bool
    heir: Callable[[Fields, int, bytes], bool] | None


class ClientConnection(HttpProtocol):
    """Bytes behind the request that is being served wait unparsed; beyond a bound they wait in the kernel."""

    def __init__(self, server: Table, spare: bool, came_over: tuple[Fields, bytes] | None = None) -> None:
        super().__init__(server.limits, request=True)
        self.server = server
        self.spare = spare  # beyond the table: for a call-back, or a busy reply
        self.came_over = came_over  # of another process: what it tells of the connection, and what came on it
        self.accepted: socket.socket | None = None
        self.current: Message | None = None
        self.received_at = 0.0  # when the last byte of the current request came, by the loop's clock
        self.timer: asyncio.TimerHandle | None = None
        self.loop = asyncio.get_running_loop()
        self.since = self.loop.time()
        self.last = False  # no further request is read
        self.used = False  # a request has come
        self.paused = False
        self.reading = 0  # bytes of requests that are not begun
        self.ending: Ending | LastAnswer | None = None
        self._arrivals = ArrivalTimes()
        self._advancing = False  # the next request is looked for in the loop's next turn
        self._unread: asyncio.TimerHandle | None = None  # runs while the client does not read what it is sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)  # each byte that waits is told
        if self.came_over is not None:
            self._go_on(*self.came_over)
            return
        self.server.silent[self] = None
        # guards sockets against clients that connect and say nothing, or not all, or one byte at a time
        self._arm(self.limits.first_ms, self._first_late)

    def connection_lost(self, exc: Exception | None) -> None:
        self.forget()
        self._client_left()

    def eof_received(self) -> bool:
        # a client that closes has gone, though what it is owed from before may still be on its way out
        self._client_left()
        return False

    def forget(self) -> None:
        """The connection counts no more."""
        server = self.server
        server.sockets.discard(self)
        for table in (server.silent, server.ending, server.idle):
            table.pop(self, None)
        self._count_reading(0)
        for timer in (self.timer, self._unread):
            if timer is not None:
                timer.cancel()
        self.timer = self._unread = None
        if self.ending is not None:
            self.ending.cancel()

    @property
    def flushed(self) -> bool:
        """Whether all that was written has left the process."""
        return self.transport is None or not self.transport.get_write_buffer_size()

    @property
    def finishing(self) -> bool:
        """Whether its last answer has been written and it is about to close."""
        return isinstance(self.ending, LastAnswer)

    def present(self) -> bool:
        """Whether the client is still there; one that has left is let go of."""
        if self.transport is None or self.transport.is_closing():
            return False
        if self.accepted is not None and peer_has_closed(self.accepted):
            self.abort()
            return False
        return True

    def waited(self) -> float:
        """Seconds since the last byte of the current request came."""
        return max(0.0, self.loop.time() - self.received_at)

    # -- what comes in

    def get_buffer(self, sizehint: int) -> memoryview:
        return SCRATCH if self.current is None else READ_AHEAD

    def buffer_updated(self, nbytes: int) -> None:
        if self.ending is not None:
            self.ending.passed_over(nbytes)
        elif not self.last:
            self.feed(bytes(SCRATCH[:nbytes]))

    def feed(self, data: bytes) -> None:
        self._arrivals.came(len(data), self.loop.time())
        self.parser.put(data)
        if self.current is None and not self._advancing:
            self._advance()
        else:
            self._read_ahead()

    def _read_ahead(self) -> None:
        """Guards memory: what is sent far in advance stays with the kernel until its turn."""
        self._count_reading(self.parser.held)
        crowded = self.server.reading > self.limits.reading_bytes // 2
        if self.parser.held >= self.limits.ahead_bytes or crowded:
            self._pause()

    def _advance(self) -> None:
        """Begin the next request, if one is complete and none is being served."""
        self._advancing = False
        if self.current is not None or self.last or self not in self.server.sockets:
            return
        if self.server.heir is not None and self.offer():
            return
        if not self.flushed:
            self._read_ahead()  # resume_writing comes back to it
            return
        try:
            message = self.parser.next()
        except HttpError as error:
            self.malformed(error)
            return
        self._resume()
        if message is not None:
            self._begin(message)
        self._after_input()

    def _after_input(self) -> None:
        """Bytes may be left of a request that is not complete."""
        if self.last:
            return
        self._count_reading(self.parser.held)
        if self.current is not None or self._advancing:
            return
        if not self.parser.inside and self.used:
            self._rest()
        elif self.server.reading > self.limits.reading_bytes:
            # guards memory against many bodies begun at once
            advice = self.limits.busy_retry_ms
            headers = {"Retry-After": f"{advice / 1000:.3f}"} if advice > 0 else {}
            self._end_with(response(503, headers, b"", False))
        elif self.parser.inside and self in self.server.idle:
            del self.server.idle[self]
            self._arm(self.limits.input_ms, self.input_late)

    def malformed(self, error: HttpError) -> None:
        log.info("malformed request", extra={"status": error.status, "reason": str(error)})
        self._end_with(response(error.status, {}, b"", False))

    # -- what goes out

    def answer(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Answer the current request."""
        message, self.current = self.current, None
        if message is None or self.transport is None or self.transport.is_closing():
            return
        # guards what has been read behind this request: it is owed an answer too before the connection ends
        ends = (self.spare or self.server.closing) and not self.parser.inside
        if not message.keep_alive:
            self._leave_tables()
            self.transport.write(response(status, headers, body, False))
            self.transport.close()
            return
        if ends:
            self._close_after(response(status, headers, body, False))
            return
        self.transport.write(response(status, headers, body, True))
        if self.parser.inside:
            self._arm(self.limits.input_ms, self.input_late)
            self._soon()
        else:
            self._rest()
            self._resume()
            self.offer()

    def _rest(self) -> None:
        """Nothing is owed on the connection, and nothing has come."""
        if self not in self.server.idle:
            self.server.idle[self] = None
            self._arm(self.limits.front_idle_ms, self._idle_late)

    def reject(self, status: int, body: bytes = b"") -> None:
        """Answer the current request with an error that is the sender's own, and read no further.

        Guards the table and the CPU against senders that ask again as soon as they are turned away.
        """
        self.current = None
        self._end_with(response(status, {}, body, False))

    def pause_writing(self) -> None:
        """Guards memory against a client that does not read: no further answers, and a time to go on in."""
        if self._unread is None:
            self._unread = self.loop.call_later(self.limits.unread_ms / 1000, self.abort)

    def resume_writing(self) -> None:
        if self._unread is not None:
            self._unread.cancel()
            self._unread = None
        if self.ending is not None:
            self.ending.flushed()
        elif self.current is None and self.parser.inside:
            self._soon()

    def _soon(self) -> None:
        """Not at once: hundreds of requests with an answer each at hand would nest as deep."""
        if not self._advancing:
            self._advancing = True
            self.loop.call_soon(self._advance)

    # -- an upgrade

    def offer(self) -> bool:
        """Give the connection, and what has come on it, to the process that comes after; or False."""
        if self.server.heir is None or self.server.closing or self.current is not None:
            return False
        age = self.loop.time() - self.since
        return self.give({"kind": "socket", "used": self.used, "age": age}, bytes(self.parser.buffer))

    def give(self, fields: Fields, data: bytes) -> bool:
        """Hand the descriptor over, unless this process holds anything that is under way on it."""
        transport, heir = self.transport, self.server.heir
        if heir is None or transport is None or transport.is_closing() or self.last:
            return False
        if self.parser.halfway or not self.flushed:
            return False
        if not heir(fields, transport.get_extra_info("socket").fileno(), data):
            return False
        self.last = True
        self.current = None
        self.parser.drop()
        transport.abort()  # closes this process's descriptor alone: nothing is said to the client
        return True

    def _go_on(self, fields: Fields, data: bytes) -> None:
        """Take up what the process before this one has told of the connection."""
        age = float(fields["age"])
        self.since -= age
        self.used = bool(fields["used"])
        if "job" in fields:
            (self.current,) = self.parser.feed(data)
            self.received_at = self.loop.time()
            self.server.handler.adopt(self, self.current, fields["job"])
            return
        if self.used:
            self.server.idle[self] = None
            self._arm(self.limits.front_idle_ms, self._idle_late)
        else:
            self.server.silent[self] = None
            self._arm(max(0.0, self.limits.first_ms - 1000 * age), self._first_late)
        if data:
            self.feed(data)

    # -- one request

    def _begin(self, message: Message) -> None:
        self._disarm()
        self.current = message
        self.received_at = self._arrivals.taken(len(self.parser.buffer), self.loop.time())
        self.used = True
        self.server.silent.pop(self, None)
        self.server.idle.pop(self, None)
        try:
            self.server.handler.handle(self, message)
        except Exception:
            # guards the connection: a fault of ours is answered too, and nothing more is begun for it
            log.exception("request failed")
            if self.current is message:
                self.reject(500)
            self.server.handler.gone(self)

    def _client_left(self) -> None:
        if self.current is not None:
            self.current = None
            self.server.handler.gone(self)

    def _pause(self) -> None:
        if not self.paused and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()

    def _resume(self) -> None:
        if self.paused and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()

    def _count_reading(self, size: int) -> None:
        self.server.reading += size - self.reading
        self.reading = size

    def _arm(self, delay_ms: float, then: Callable[[], None]) -> None:
        self._disarm()
        self.timer = self.loop.call_later(delay_ms / 1000, then)

    def _disarm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # -- times and ends

    def _first_late(self) -> None:
        self.timer = None
        if self.parser.inside:
            self._end_with(response(408, {}, b"", False))
        elif self.transport is not None:
            self.transport.close()

    def input_late(self) -> None:
        """A request that has begun has not come in time."""
        self.timer = None
        if self.current is None and not self.last:
            self._end_with(response(408, {}, b"", False))

    def _idle_late(self) -> None:
        self.timer = None
        if self.current is None and self.transport is not None:
            self.transport.close()

    def _close_after(self, data: bytes) -> None:
        """Write an answer and end the connection.

        Nothing is read any more: a request that crosses the end stays unread, and its client sends it again.
        """
        transport = self._leave_tables()
        if transport is not None:
            self.ending = LastAnswer(transport, self.limits, data)

    def _end_with(self, data: bytes) -> None:
        """Write the answer to a sender's own error, and pass over what still comes."""
        transport = self._leave_tables()
        if transport is not None:
            self.server.ending[self] = None
            self.ending = Ending(transport, self.limits, data)
            self._resume()

    def _leave_tables(self) -> asyncio.Transport | None:
        """No further request is read; returns the transport that last words may be written to."""
        self.last = True
        self._count_reading(0)
        self.parser.drop()
        self._disarm()
        if self.transport is None or self.transport.is_closing():
            return None
        self.server.silent.pop(self, None)
        self.server.idle.pop(self, None)
        return self.transport
