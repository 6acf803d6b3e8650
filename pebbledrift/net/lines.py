"""Sockets that take one line and give one answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from pebbledrift.bounds import Limits
from pebbledrift.config import Address
from pebbledrift.net.ending import Ending

log = logging.getLogger(__name__)

_SCRATCH = memoryview(bytearray(4096))  # shared: what was read is taken over before the next read


class LineServer:
    """Accepts callers within bounds of its own, so that a node full of clients still hears them."""

    def __init__(self, limits: Limits, answer: Callable[[str], Awaitable[str]]) -> None:
        self.limits = limits
        self.answer = answer
        self.callers: dict[LineSocket, None] = {}  # oldest first
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Begin to accept."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: LineSocket(self), *address, backlog=128)
        found = self._server.sockets[0].getsockname()
        log.info("operators", extra={"address": f"{found[0]}:{found[1]}"})

    def close(self) -> None:
        """Accept no more, and end what is open."""
        if self._server is not None:
            self._server.close()
        for caller in list(self.callers):
            caller.abort()

    def entered(self, caller: LineSocket) -> None:
        """Guards the descriptors against callers by the hundred: the answered make room, then the oldest."""
        self.callers[caller] = None
        if len(self.callers) > self.limits.admin_sockets:
            victim = next((c for c in self.callers if c.ending is not None), next(iter(self.callers)))
            del self.callers[victim]
            victim.abort()


class LineSocket(asyncio.BufferedProtocol):
    """One caller: one line, one answer, and the end."""

    def __init__(self, server: LineServer) -> None:
        self.server = server
        self.limits = server.limits
        self.line = bytearray()
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.ending: Ending | None = None
        self.call: asyncio.Task[None] | None = None  # being carried out

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        loop = asyncio.get_running_loop()
        # guards the table against callers that stay and say nothing, or not all
        self.timer = loop.call_later(self.limits.admin_ms / 1000, self._end, "FAILURE no call came")
        self.server.entered(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.callers.pop(self, None)
        for timer in (self.timer, self.ending):
            if timer is not None:
                timer.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        return _SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        if self.ending is not None:
            self.ending.passed_over(nbytes)
            return
        if self.call is not None:
            return  # one line a connection
        self.line += _SCRATCH[:nbytes]
        end = self.line.find(b"\n")
        if 0 <= end <= self.limits.admin_line_bytes:
            line = self.line[:end].decode("ascii", "replace").strip()
            self.call = asyncio.get_running_loop().create_task(self._carry_out(line))
        elif len(self.line) > self.limits.admin_line_bytes:
            self._end("FAILURE line too long")  # guards memory

    def eof_received(self) -> bool:
        if self.ending is not None:
            return False
        if self.call is not None:
            return True  # its answer is still to come
        # guards against carrying out half a call: the line may have been cut short
        self._end("FAILURE the line has no end")
        return True

    def pause_writing(self) -> None:
        """An answer waits for its reader: the ending's time bounds it."""

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    async def _carry_out(self, line: str) -> None:
        try:
            answer = await self.server.answer(line)
        except Exception:
            log.exception("call failed", extra={"call": line})
            answer = "FAILURE internal error"
        self._end(answer)

    def _end(self, answer: str) -> None:
        assert self.transport is not None
        if self.ending is not None or self.transport.is_closing():
            return  # the call took too long, or the caller has left
        if self.timer is not None:
            self.timer.cancel()
        self.ending = Ending(self.transport, self.limits, answer.encode("ascii", "replace") + b"\n")
