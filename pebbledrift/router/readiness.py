"""The readiness address: 200 while the platform may hand new connections to this router."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pebbledrift.bounds import Limits
from pebbledrift.net.http import HttpError, HttpProtocol, Message, response

PATH = "/-/ready"


class ReadinessConnection(HttpProtocol):
    """Answers the platform's question. It takes a request a second: a library server's threads cost more."""

    def __init__(self, limits: Limits, ready: Callable[[], bool]) -> None:
        super().__init__(limits, request=True)
        self._ready = ready

    def message_received(self, message: Message) -> None:
        if message.second.partition("?")[0] != PATH:
            status = 404
        elif message.first not in ("GET", "HEAD"):
            status = 405
        else:
            status = 200 if self._ready() else 503
        self._write(status, message.keep_alive)

    def malformed(self, error: HttpError) -> None:
        self._write(error.status, False)

    def _write(self, status: int, keep_alive: bool) -> None:
        if self.transport is not None:
            self.transport.write(response(status, {}, b"", keep_alive))
            if not keep_alive:
                self.transport.close()


async def serve(address: tuple[str, int], limits: Limits, ready: Callable[[], bool]) -> asyncio.Server:
    """Listen at the readiness address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: ReadinessConnection(limits, ready), *address)
