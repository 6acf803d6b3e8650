"""Front sockets: the server's side of a client's connection."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Protocol

from pebbledrift.config import Limits
from pebbledrift.net.http import HttpError, HttpProtocol, Message, response

log = logging.getLogger(__name__)


class Handler(Protocol):
    """The front behind the sockets."""

    def handle(self, socket: FrontSocket, message: Message) -> None:
        """Answer a request now or later by socket.answer, exactly once."""

    def gone(self, socket: FrontSocket) -> None:
        """The connection has ended while its request was unanswered."""


class FrontServer:
    """Counts the sockets and makes their protocols."""

    def __init__(self, limits: Limits, handler: Handler) -> None:
        self.limits = limits
        self.handler = handler
        self.sockets: set[FrontSocket] = set()
        self.closing = False

    def protocol(self) -> FrontSocket:
        """One for a new connection."""
        return FrontSocket(self)

    def close_idle(self) -> None:
        """Close the sockets on which nothing is owed; the others close with their answer."""
        for socket in list(self.sockets):
            socket.close_if_idle()


class FrontSocket(HttpProtocol):
    """One connection: one request at a time, further ones wait in order."""

    def __init__(self, server: FrontServer) -> None:
        super().__init__(server.limits, request=True)
        self.server = server
        self.waiting: deque[Message] = deque()
        self.current: Message | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.last = False  # no further request is read
        self.used = False  # a request has come

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if len(self.server.sockets) >= self.limits.front_sockets:
            # guards the descriptors that destinations and discovery need
            self._close_with(503, {"Retry-After": f"{self.limits.busy_retry_ms / 1000:.3f}"})
            return
        self.server.sockets.add(self)
        self._watch_input()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.sockets.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        if self.current is not None:
            self.current = None
            self.server.handler.gone(self)

    def eof_received(self) -> bool:
        return False

    def message_received(self, message: Message) -> None:
        if self.last:
            return
        if self.current is not None:
            if len(self.waiting) >= 16:
                raise HttpError(400, "too many requests in advance")
            self.waiting.append(message)
            return
        self._begin(message)

    def fed(self) -> None:
        if self.current is None:
            self._watch_input()

    def malformed(self, error: HttpError) -> None:
        log.info("malformed request", extra={"reason": str(error), "status": error.status})
        if self.current is None:
            self._close_with(error.status)
        else:
            self.last = True  # the request being served still gets its answer, then the socket closes

    def answer(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Answer the current request."""
        message, self.current = self.current, None
        if message is None or self.transport is None or self.transport.is_closing():
            return
        keep = message.keep_alive and not self.last and not self.server.closing
        self.transport.write(response(status, headers, body, keep))
        if not keep:
            self.last = True
            self.transport.close()
        elif self.waiting:
            self._begin(self.waiting.popleft())
        else:
            self._watch_input()

    def close_if_idle(self) -> None:
        """Close, unless a request is being served or read, or the first one is still on its way."""
        if self.used and self.current is None and not self.parser.inside and self.transport is not None:
            self.transport.close()

    def _begin(self, message: Message) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.current = message
        self.used = True
        self.server.handler.handle(self, message)

    def _watch_input(self) -> None:
        """Guards sockets against clients that connect or begin a request and go on no further."""
        inside = self.parser.inside
        if self.timer is not None:
            if inside and self.timer.when() <= self._loop_time() + self.limits.input_ms / 1000:
                return  # a request that trickles in gets no new time with each byte
            self.timer.cancel()
        delay = self.limits.input_ms if inside else self.limits.front_idle_ms
        self.timer = asyncio.get_running_loop().call_later(delay / 1000, self._input_late)

    @staticmethod
    def _loop_time() -> float:
        return asyncio.get_running_loop().time()

    def _input_late(self) -> None:
        self.timer = None
        if self.current is None:
            if self.parser.inside:
                self._close_with(408)
            elif self.transport is not None:
                self.transport.close()

    def _close_with(self, status: int, headers: dict[str, str] | None = None) -> None:
        self.last = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(response(status, headers or {}, b"", False))
            self.transport.close()
