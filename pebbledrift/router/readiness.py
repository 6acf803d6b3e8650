"""The readiness endpoint: 200 while the platform may send new connections to this router; and its metrics."""

from __future__ import annotations

import asyncio
from typing import Protocol

from pebbledrift.bounds import Limits
from pebbledrift.net.http import HttpError, HttpProtocol, Message, response

READY_PATH = "/-/ready"
METRICS_PATH = "/-/metrics"


class StatusSource(Protocol):
    """Supplies the state that is served."""

    def ready(self) -> bool:
        """Whether the router accepts new connections."""

    def exposition(self) -> str:
        """Returns all metrics in the text exposition format."""


class ReadinessConnection(HttpProtocol):
    """Serves the readiness check (200: the router takes new connections, 503: it does not) and the metrics.

    About one request per second arrives, so this needs no HTTP server library, whose threads cost more.
    """

    def __init__(self, limits: Limits, status_source: StatusSource) -> None:
        super().__init__(limits, request=True)
        self._status_source = status_source

    def message_received(self, message: Message) -> None:
        path, body = message.second.partition("?")[0], b""
        if path not in (READY_PATH, METRICS_PATH):
            status = 404
        elif message.first not in ("GET", "HEAD"):
            status = 405
        elif path == READY_PATH:
            status = 200 if self._status_source.ready() else 503
        else:
            status, body = 200, self._status_source.exposition().encode()
        self._write(status, message.keep_alive, body if message.first == "GET" else b"")

    def malformed(self, error: HttpError) -> None:
        self._write(error.status, False)

    def _write(self, status: int, keep_alive: bool, body: bytes = b"") -> None:
        if self.transport is not None:
            headers = {"Content-Type": "text/plain; version=0.0.4"} if body else {}
            self.transport.write(response(status, headers, body, keep_alive))
            if not keep_alive:
                self.transport.close()


async def serve(address: tuple[str, int], limits: Limits, status_source: StatusSource) -> asyncio.Server:
    """Listen on the readiness address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: ReadinessConnection(limits, status_source), *address)
