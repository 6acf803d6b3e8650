"""The listening side of the platform's front: which client connections there are, and who makes room."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Callable, Iterator

from pebbledrift.bounds import Limits
from pebbledrift.config import Address
from pebbledrift.net.client_connection import ClientConnection, Handler
from pebbledrift.net.link import Fields

log = logging.getLogger(__name__)

FLUSH_LOOK_S = 0.02  # between looks whether last answers are out
RESTS = 3  # times that a last answer has to be read, for which an ending process waits at most


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
        self.sockets: set[ClientConnection] = set()
        self.silent: dict[ClientConnection, None] = {}  # no request yet
        self.ending: dict[ClientConnection, None] = {}  # the last answer is written, input is passed over
        self.idle: dict[ClientConnection, None] = {}  # between requests
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
            self._take_in(socket.socket(fileno=descriptor), ClientConnection(self, spare=spare))
        if self._passed and self._pause is None:
            self._pause = self._loop.call_later(self.limits.accept_pause_ms / 1000, self._go_on)

    def adopt(self, descriptor: int, fields: Fields, data: bytes) -> None:
        """Go on with a connection of the process before this one."""
        accepted = socket.socket(fileno=descriptor)
        if not self._room():
            log.warning("no room for a connection that came over")
            accepted.close()
            return
        self._take_in(accepted, ClientConnection(self, spare=False, came_over=(fields, data)))

    async def flushed(self) -> None:
        """Wait until all answers are out, and the last ones have had a moment to be read.

        Bounded: by `unread_ms` for clients that read slowly, by a few such moments where more keep coming.
        """
        began = self._loop.time()
        moment, most = RESTS * self.limits.linger_answer_ms / 1000, self.limits.unread_ms / 1000
        while (waited := self._loop.time() - began) < most:
            written = all(connection.flushed for connection in self.sockets)
            if written and (waited >= moment or not any(c.finishing for c in self.sockets)):
                return
            await asyncio.sleep(FLUSH_LOOK_S)

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
            if front.current is not None or front.ending is not None or not front.flushed:
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
            self._take_in(accepted, ClientConnection(self, spare=len(self.sockets) >= self._most()))

    def _take_in(self, accepted: socket.socket, front: ClientConnection) -> None:
        accepted.setblocking(False)
        self.sockets.add(front)  # counted from here on, not from when the loop comes round to it
        task = self._loop.create_task(self._connect(front, accepted))
        self._accepted.add(task)
        task.add_done_callback(self._accepted.discard)

    def _most(self) -> int:
        """Sockets in the table."""
        return self.limits.front_sockets // 2 if self.shared else self.limits.front_sockets

    async def _connect(self, front: ClientConnection, accepted: socket.socket) -> None:
        front.accepted = accepted
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

    def _dispensable(self) -> Iterator[ClientConnection]:
        now = self._loop.time()
        for oldest in self.silent:
            # a usual client's first request may be under way: it gets the time to arrive
            if now - oldest.since >= self.limits.young_ms / 1000:
                yield oldest
            break
        yield from self.ending
        # what is not flushed is owed to somebody
        yield from (idle for idle in self.idle if idle.flushed)
