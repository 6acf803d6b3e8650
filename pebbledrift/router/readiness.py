"""The readiness endpoint: 200 while the platform may send new connections to this router; and its metrics."""

from __future__ import annotations

from typing import Protocol

from pebbledrift.bounds import Limits
from pebbledrift.net.http import Message
from pebbledrift.net.request_connection import RequestConnection
from pebbledrift.net.request_server import RequestServer, ServerLimits

READY_PATH = "/-/ready"
METRICS_PATH = "/-/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"
MAX_BODY_BYTES = 4096  # a check has no body
SERVER_LIMITS = ServerLimits(
    max_connections=64,
    idle_timeout_s=60.0,
    request_timeout_s=5.0,
    min_bytes_per_s=50_000.0,
    max_held_bytes=1024 * 1024,
    max_unsent_bytes=4 * 1024 * 1024,
)


class StatusSource(Protocol):
    """Supplies the state that is served."""

    def ready(self) -> bool:
        """Whether the router accepts new connections."""

    def exposition(self) -> str:
        """Returns all metrics in the text exposition format."""


class ReadinessServer:
    """Serves the readiness check (200: the router takes new connections, 503 otherwise) and the metrics."""

    def __init__(self, status_source: StatusSource) -> None:
        self._status_source = status_source
        self.server = RequestServer(Limits(body_bytes=MAX_BODY_BYTES), SERVER_LIMITS, self._answer)

    def _answer(self, connection: RequestConnection, request: Message) -> None:
        path, body = request.second.partition("?")[0], b""
        if path not in (READY_PATH, METRICS_PATH):
            status = 404
        elif request.first not in ("GET", "HEAD"):
            status = 405
        elif path == READY_PATH:
            status = 200 if self._status_source.ready() else 503
        else:
            status, body = 200, self._status_source.exposition().encode()
        if request.first == "HEAD":
            body = b""
        if not self.server.may_send(len(body)):
            status, body = 503, b""
        connection.send_response(status, {"Content-Type": METRICS_TYPE} if body else {}, body)


async def serve(address: tuple[str, int], status_source: StatusSource) -> RequestServer:
    """Listens on the readiness address; raises OSError if it cannot be bound."""
    server = ReadinessServer(status_source).server
    await server.listen(address)
    return server
