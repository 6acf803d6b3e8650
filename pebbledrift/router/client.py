"""Connections of clients: one request at a time on each, answered in order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from pebbledrift.bounds import Limits
from pebbledrift.net.http import HttpError, HttpProtocol, Message, response

SHUTDOWN = "shutdown"  # the reason of an end that the process made
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
        self._waiting: list[Message] = []
        self._keep_alive = True
        self.end_reason = ""  # why the connection ended, as far as is known
        self._loop = asyncio.get_running_loop()

    @property
    def resting(self) -> bool:
        """Whether nothing is owed and nothing has begun to come."""
        return not self._open and not self.parser.inside

    @property
    def busy(self) -> bool:
        """Whether a request has no whole answer yet."""
        return self._open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.since = self._loop.time()
        self._table.add(self)

    def buffer_updated(self, nbytes: int) -> None:
        if self.resting:
            self.since = self._loop.time()
        super().buffer_updated(nbytes)

    def message_received(self, message: Message) -> None:
        if self._open:
            self._waiting.append(message)
            if len(self._waiting) >= WAITING_MOST and self.transport is not None:
                self.transport.pause_reading()
            return
        self._start(message)

    def _start(self, message: Message) -> None:
        self._open = True
        self._keep_alive = message.keep_alive
        self.owner = self._begin(self, message)

    def malformed(self, error: HttpError) -> None:
        if self._open:
            self.end_reason = f"malformed: {error}"
            self.abort()
            return
        self._open, self._keep_alive = True, False
        self.answer(error.status, {}, b"")

    def eof_received(self) -> bool:
        self.end_reason = self.end_reason or "ended by the client"
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._table.discard(self)
        self._waiting.clear()
        if exc is not None:
            self.end_reason = self.end_reason or f"{type(exc).__name__}: {exc}"
        owner, self.owner = self.owner, None
        if owner is not None:
            owner.client_gone()

    def pause_writing(self) -> None:
        if self.owner is not None:
            self.owner.client_slow(True)

    def resume_writing(self) -> None:
        if self.owner is not None:
            self.owner.client_slow(False)

    @property
    def alive(self) -> bool:
        """Whether the client is there, as far as is known."""
        return self.transport is not None and not self.transport.is_closing()

    def late(self, now: float, longest: float) -> bool:
        """Whether a request began to come long ago and is still not whole."""
        return not self._open and self.parser.inside and now - self.since > longest

    def answer_late(self) -> None:
        """Give up a request that does not come to its end."""
        self._open, self._keep_alive = True, False
        self.answer(408, {}, b"")

    def close(self) -> None:
        """End a connection on which nothing is owed."""
        if self.transport is not None:
            self.transport.close()

    def _keeps(self) -> bool:
        return self._keep_alive and not self._closing()

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
            self.transport.close()
        elif self._waiting:
            following = self._waiting.pop(0)
            self.transport.resume_reading()
            self._loop.call_soon(self._start_waiting, following)

    def _start_waiting(self, message: Message) -> None:
        if self.alive and not self._open:
            self._start(message)
