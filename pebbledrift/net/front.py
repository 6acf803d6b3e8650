"""Front sockets: the server's side of a client's connection."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterator
from typing import Protocol

from pebbledrift.config import Address, Limits
from pebbledrift.net.ending import Ending
from pebbledrift.net.http import HttpError, HttpProtocol, Message, response, wire
from pebbledrift.net.link import Fields

log = logging.getLogger(__name__)


class Handler(Protocol):
    """The front behind the sockets."""

    def handle(self, socket: FrontSocket, message: Message) -> None:
        """Answer a request now or later by socket.answer or socket.reject, exactly once."""

    def gone(self, socket: FrontSocket) -> None:
        """The connection has ended while its request was unanswered."""

    def adopt(self, socket: FrontSocket, message: Message, job: Fields) -> None:
        """A request that the process before this one has sent; it is answered here."""


def listening_socket(address: Address, backlog: int) -> socket.socket:
    """A socket that listens at an address. It does not block."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=backlog)
    listener.setblocking(False)
    return listener


class FrontServer:
    """Accepts connections and makes room for them, so that bad clients cost the usual ones nothing.

    Each socket is in one of three tables, oldest first, unless a request is being served on it.
    """

    def __init__(self, limits: Limits, handler: Handler) -> None:
        self.limits = limits
        self.handler = handler
        self.sockets: set[FrontSocket] = set()
        self.silent: dict[FrontSocket, None] = {}  # no request yet
        self.ending: dict[FrontSocket, None] = {}  # the last answer is written, input is passed over
        self.idle: dict[FrontSocket, None] = {}  # between requests
        self.reading = 0  # bytes of requests that are not complete
        self.closing = False
        self.shared = False  # the table, with another process for the time of an upgrade
        # gives a connection, and what has come on it, to the process that comes after; False where it cannot
        self.heir: Callable[[Fields, int, bytes], bool] | None = None
        self._closing_since = 0.0
        self._sweeping: asyncio.TimerHandle | None = None
        self.listener: socket.socket | None = None
        self._loop = asyncio.get_running_loop()
        self._accepted: set[asyncio.Task[object]] = set()
        self._passed: deque[tuple[int, Callable[[], None]]] = deque()  # by another process, not taken yet
        self._pause: asyncio.TimerHandle | None = None

    def listen(self, address: Address, inherited: int | None = None) -> Address:
        """Begin to accept, at an inherited socket if there is one; returns the address that it has."""
        if inherited is not None:
            # never shut down: other processes hold the same socket, and would hear no more of clients
            self.listener = socket.socket(fileno=inherited)
        else:
            self.listener = listening_socket(address, self.limits.backlog)
        self.listener.setblocking(False)
        self._loop.add_reader(self.listener, self._accept)
        found = self.listener.getsockname()
        return found[0], found[1]

    def rest(self, resting: bool) -> None:
        """Leave newcomers to the other process that holds the listening socket, or accept again."""
        if self.listener is not None:
            if self._pause is not None:
                self._pause.cancel()
                self._pause = None
            if resting:
                self._loop.remove_reader(self.listener)
            else:
                self._loop.add_reader(self.listener, self._accept)

    def offer_all(self) -> None:
        """Give the heir every connection on which nothing is owed."""
        for front in list(self.sockets):
            front.offer()

    def take(self, descriptor: int, taken: Callable[[], None]) -> None:
        """Take in a connection that another process has accepted, once there is room for it.

        `taken` is called before anything is read from it: until then it may be given to somebody else.
        """
        self._passed.append((descriptor, taken))
        self._take_passed()

    def _take_passed(self) -> None:
        while self._passed and self._room():
            descriptor, taken = self._passed.popleft()
            taken()
            spare = len(self.sockets) >= self._most()
            self._take_in(socket.socket(fileno=descriptor), FrontSocket(self, spare=spare))
        if self._passed and self._pause is None:
            self._pause = self._loop.call_later(self.limits.accept_pause_ms / 1000, self._go_on)

    def adopt(self, descriptor: int, fields: Fields, data: bytes) -> None:
        """Go on with a connection of the process before this one."""
        accepted = socket.socket(fileno=descriptor)
        if not self._room():
            log.warning("no room for a connection that came over")
            accepted.close()
            return
        self._take_in(accepted, FrontSocket(self, spare=False, came_over=(fields, data)))

    def close(self) -> None:
        """Accept no more."""
        for descriptor, _ in self._passed:
            os.close(descriptor)
        self._passed.clear()
        for timer in (self._pause, self._sweeping):
            if timer is not None:
                timer.cancel()
        if self.listener is not None:
            self._loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def empty(self, closing: bool) -> None:
        """Let connections end with their answers, and soon those on which nothing is owed; or stop it."""
        if self.closing is not closing:
            self.closing = closing
            if self._sweeping is not None:
                self._sweeping.cancel()
                self._sweeping = None
            if closing:
                self._closing_since = self._loop.time()
                self._sweeping = self._loop.call_later(self.limits.linger_ms / 1000, self._sweep)

    def _sweep(self) -> None:
        """Close what is owed nothing, again and again: workers go on calling back on new connections."""
        now = self._loop.time()
        linger, young = self.limits.linger_ms / 1000, self.limits.sweep_ms / 1000
        for front in list(self.sockets):
            if front.current is not None or front.waiting or front.ending is not None:
                continue
            if front.parser.inside:
                if now - max(front.since, self._closing_since) >= 2 * linger:
                    front.input_late()
            elif now - front.since >= young and front.transport is not None:
                front.transport.close()
        self._sweeping = self._loop.call_later(self.limits.sweep_ms / 1000, self._sweep)

    def _accept(self) -> None:
        """Take in a few at a time: what came with them is read before the next ones are accepted."""
        assert self.listener is not None
        for _ in range(self.limits.accept_batch):
            if not self._room():
                self._wait()
                return
            try:
                accepted, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # guards the loop where descriptors have run out: the listening socket would stay readable
                log.warning("cannot accept", extra={"error": str(error)})
                self._wait()
                return
            self._take_in(accepted, FrontSocket(self, spare=len(self.sockets) >= self._most()))

    def _take_in(self, accepted: socket.socket, front: FrontSocket) -> None:
        accepted.setblocking(False)
        self.sockets.add(front)  # counted from here on, not from when the loop comes round to it
        task = self._loop.create_task(self._connect(front, accepted))
        self._accepted.add(task)
        task.add_done_callback(self._accepted.discard)

    def _most(self) -> int:
        """Sockets in the table."""
        return self.limits.front_sockets // 2 if self.shared else self.limits.front_sockets

    async def _connect(self, front: FrontSocket, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: front, accepted)
        except OSError as error:
            self.sockets.discard(front)
            accepted.close()
            log.info("connection lost at once", extra={"error": str(error)})

    def _wait(self) -> None:
        """Leave who comes in the listening queue for a moment: nothing of theirs is lost there."""
        if self._pause is None and self.listener is not None:
            self._loop.remove_reader(self.listener)
            self._pause = self._loop.call_later(self.limits.accept_pause_ms / 1000, self._go_on)

    def _go_on(self) -> None:
        self._pause = None
        if self.listener is not None:
            self._loop.add_reader(self.listener, self._accept)
        self._take_passed()

    def _room(self) -> bool:
        """Guards the table against connections that say nothing: at need they make room, oldest first."""
        if len(self.sockets) < self._most():
            return True
        for victim in self._dispensable():
            victim.abort()
            victim.forget()
            return True
        if any(s.current is None for s in self.sockets):
            return False  # too young to judge: in a moment they have asked, or may go
        # all are being served: the reserve lets workers' call-backs in, others get a busy reply
        return len(self.sockets) < self._most() + self.limits.spare_sockets

    def _dispensable(self) -> Iterator[FrontSocket]:
        now = self._loop.time()
        for oldest in self.silent:
            # a usual client's first request may be under way: it gets the time to arrive
            if now - oldest.since >= self.limits.young_ms / 1000:
                yield oldest
            break
        yield from self.ending
        yield from self.idle


class FrontSocket(HttpProtocol):
    """One connection: one request at a time, further ones wait in order."""

    def __init__(
        self, server: FrontServer, spare: bool, came_over: tuple[Fields, bytes] | None = None
    ) -> None:
        super().__init__(server.limits, request=True)
        self.server = server
        self.spare = spare  # beyond the table: for a call-back, or a busy reply
        self.came_over = came_over  # of another process: what it tells of the connection, and what came on it
        self.waiting: deque[Message] = deque()
        self.current: Message | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.since = server._loop.time()
        self.last = False  # no further request is read
        self.failed = 0  # status of the error that stands behind the requests that wait
        self.used = False  # a request has come
        self.paused = False
        self.reading = 0  # bytes of a request that is not complete
        self.ending: Ending | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.came_over is not None:
            self._go_on(*self.came_over)
            return
        self.server.silent[self] = None
        # guards sockets against clients that connect and say nothing, or not all, or one byte at a time
        self._arm(self.limits.first_ms, self._first_late)

    def connection_lost(self, exc: Exception | None) -> None:
        self.forget()
        if self.current is not None:
            self.current = None
            self.server.handler.gone(self)

    def forget(self) -> None:
        """The socket counts no more."""
        server = self.server
        server.sockets.discard(self)
        for table in (server.silent, server.ending, server.idle):
            table.pop(self, None)
        self._count_reading(0)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.ending is not None:
            self.ending.cancel()

    def eof_received(self) -> bool:
        return False

    def buffer_updated(self, nbytes: int) -> None:
        if not self.last:
            super().buffer_updated(nbytes)
        elif self.ending is not None:
            self.ending.passed_over(nbytes)

    def message_received(self, message: Message) -> None:
        if self.last:
            return
        if self.current is not None or self.waiting or self.server.heir is not None:
            self.waiting.append(message)
        else:
            self._begin(message)

    def fed(self) -> None:
        if self.last:
            return
        if self.waiting and self.current is None and not self.offer():
            self._begin(self.waiting.popleft())
        if self.waiting:
            # guards memory: what is sent in advance stays with the kernel until its turn
            self._pause()
        inside = self.parser.inside
        self._count_reading(self.parser.held if inside else 0)
        if self.current is not None:
            return
        if self.server.reading > self.limits.reading_bytes:
            # guards memory against many bodies begun at once
            advice = self.limits.busy_retry_ms
            headers = {"Retry-After": f"{advice / 1000:.3f}"} if advice > 0 else {}
            self._end_with(response(503, headers, b"", False))
        elif inside and self in self.server.idle:
            del self.server.idle[self]
            self._arm(self.limits.input_ms, self.input_late)

    def malformed(self, error: HttpError) -> None:
        log.info("malformed request", extra={"status": error.status, "reason": str(error)})
        if self.current is None and not self.waiting:
            self._end_with(response(error.status, {}, b"", False))
        else:
            self.failed = error.status  # what came before still gets its answers, then this one
            self.parser.drop()
            self._pause()
            self._next()

    def answer(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Answer the current request."""
        message, self.current = self.current, None
        if message is None or self.transport is None or self.transport.is_closing():
            return
        keep = message.keep_alive and not (self.spare or self.server.closing)
        self.transport.write(response(status, headers, body, keep))
        if not keep:
            self.last = True
            self.transport.close()
        elif self.waiting:
            # not at once: hundreds of waiting requests with an answer each at hand would nest as deep
            self.server._loop.call_soon(self._next)
        elif self.failed:
            self._end_with(response(self.failed, {}, b"", False))
        else:
            if self.parser.inside:
                self._arm(self.limits.input_ms, self.input_late)
            else:
                self.server.idle[self] = None
                self._arm(self.limits.front_idle_ms, self._idle_late)
            self._resume()
            self.offer()

    def reject(self, status: int, body: bytes = b"") -> None:
        """Answer the current request with an error that is the sender's own, and read no further.

        Guards the table and the CPU against senders that ask again as soon as they are turned away.
        """
        self.current = None
        self._end_with(response(status, {}, body, False))

    def offer(self) -> bool:
        """Give the connection, and whole requests that wait, to the process that comes after; or False."""
        if self.server.heir is None or self.server.closing or self.current is not None:
            return False
        data = b"".join(map(wire, self.waiting))
        age = self.server._loop.time() - self.since
        return self.give({"kind": "socket", "used": self.used, "age": age}, data)

    def give(self, fields: Fields, data: bytes) -> bool:
        """Hand the descriptor over, unless this process holds anything that is under way on it."""
        transport, heir = self.transport, self.server.heir
        if heir is None or transport is None or transport.is_closing() or self.last or self.failed:
            return False
        if self.parser.inside or transport.get_write_buffer_size() or len(data) > self.limits.line_bytes // 2:
            return False
        if not heir(fields, transport.get_extra_info("socket").fileno(), data):
            return False
        self.last = True
        self.current = None
        self.waiting.clear()
        transport.abort()  # closes this process's descriptor alone: nothing is said to the client
        return True

    def _go_on(self, fields: Fields, data: bytes) -> None:
        """Take up what the process before this one has told of the connection."""
        age = float(fields["age"])
        self.since -= age
        self.used = bool(fields["used"])
        if "job" in fields:
            (self.current,) = self.parser.feed(data)
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

    def _begin(self, message: Message) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.current = message
        self.used = True
        self.server.silent.pop(self, None)
        self.server.idle.pop(self, None)
        try:
            self.server.handler.handle(self, message)
        except Exception:
            # guards the connection: a fault of ours is answered too
            log.exception("request failed")
            if self.current is message:
                self.reject(500)

    def _next(self) -> None:
        if self.waiting and self.current is None and not self.last and self in self.server.sockets:
            self._begin(self.waiting.popleft())

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
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server._loop.call_later(delay_ms / 1000, then)

    def _first_late(self) -> None:
        self.timer = None
        if self.parser.inside:
            self._end_with(response(408, {}, b"", False))
        elif self.transport is not None:
            self.transport.close()

    def input_late(self) -> None:
        """A request that has begun has not come in time."""
        self.timer = None
        if self.current is None:
            self._end_with(response(408, {}, b"", False))

    def _idle_late(self) -> None:
        self.timer = None
        if self.current is None and self.transport is not None:
            self.transport.close()

    def _end_with(self, data: bytes) -> None:
        """Write the last answer and read no further."""
        self.last = True
        self.waiting.clear()
        self._count_reading(0)
        self.parser.drop()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.transport is None or self.transport.is_closing():
            return
        self.server.silent.pop(self, None)
        self.server.idle.pop(self, None)
        self.server.ending[self] = None
        self.ending = Ending(self.transport, self.limits, data)
        self._resume()
