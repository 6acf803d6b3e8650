"""An HTTP server on the event loop whose connections are bounded in number, time and memory.

A connection costs a descriptor and its buffers, but no thread: peers that send nothing, or only a part of a
request, do not delay the requests of others.
"""

from __future__ import annotations

import asyncio
import heapq
import logging
from collections.abc import Callable, Iterable, Mapping

from pebbledrift.bounds import Limits
from pebbledrift.net.http import HttpError, Message
from pebbledrift.net.request_connection import RequestConnection, RequestOwner
from spoolpier.records import record

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.5  # between checks for connections whose time is over
CLOSE_POLL_S = 0.02  # between checks for open requests while the server is being closed
SMALL_BYTES = 64 * 1024  # smaller requests and responses are not counted: connections bound their sum
SPARE_CONNECTIONS = 64  # beyond the limit, while their callers are told that there is no room
LISTEN_BACKLOG = 256

BeginRequest = Callable[[RequestConnection, Message], RequestOwner | None]
ErrorResponse = Callable[[int, str], tuple[Mapping[str, str], bytes]]


@record
class ServerLimits:
    """Limits of one server over all its connections."""

    max_connections: int
    idle_timeout_s: float  # for which a connection may be open without a request
    request_timeout_s: float  # for a request to arrive, in addition to its size at min_bytes_per_s
    min_bytes_per_s: float
    max_held_bytes: int  # of requests that have not arrived in full, or wait for an earlier one
    max_unsent_bytes: int  # of responses that their callers have not read


def empty_error_response(status: int, reason: str) -> tuple[Mapping[str, str], bytes]:
    """The default response to input that cannot be processed: its status alone."""
    return {}, b""


def longest_without_request(connections: Iterable[RequestConnection], count: int) -> list[RequestConnection]:
    """Returns up to `count` connections to close if there are too many, none with a request in progress.

    First come those whose peers have read all responses; among them, those that are about to be closed
    anyway, then those without a request for longest.
    """
    replaceable = (connection for connection in connections if connection.alive and not connection.busy)
    return heapq.nsmallest(
        count, replaceable, key=lambda other: (other.unsent_bytes > 0, not other.ending, other.state_since)
    )


class RequestServer:
    """Accepts connections, and closes those that exceed a limit.

    `begin_request` is called with each request that was read in full; see RequestConnection. When all
    connections are in use, a new one takes the place of the one that has been without a request in progress
    for longest.
    """

    def __init__(
        self,
        parser_limits: Limits,
        limits: ServerLimits,
        begin_request: BeginRequest,
        error_response: ErrorResponse = empty_error_response,
    ) -> None:
        self.parser_limits, self.limits = parser_limits, limits
        self.begin_request, self.error_response = begin_request, error_response
        self.connections: set[RequestConnection] = set()
        self.draining = False  # each further response closes its connection
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Starts to accept connections; raises OSError if the address cannot be bound."""
        self._server = await self._loop.create_server(
            lambda: _ServerConnection(self), *address, backlog=LISTEN_BACKLOG
        )
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def address(self) -> tuple[str, int]:
        """The address at which the server listens. It has to be listening."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    async def close(self, grace_s: float) -> None:
        """Stops accepting, and closes all connections.

        Requests in progress, and responses that their peers have not read, have up to `grace_s` seconds.
        """
        self.draining = True
        if self._server is not None:
            self._server.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        close_at = self._loop.time() + grace_s
        while self._loop.time() < close_at and any(
            connection.busy or connection.unsent_bytes for connection in self.connections
        ):
            await asyncio.sleep(CLOSE_POLL_S)
        for connection in list(self.connections):
            connection.close()

    def may_send(self, size: int) -> bool:
        """Whether a response of this size may be written without exceeding the limit of unsent bytes."""
        if size <= SMALL_BYTES:
            return True
        unsent = sum(connection.unsent_bytes for connection in self.connections)
        return unsent + size <= self.limits.max_unsent_bytes

    def check_held_bytes(self, connection: RequestConnection) -> None:
        """Raises HttpError if the requests that are being received exceed their limit."""
        if connection.held_bytes <= SMALL_BYTES:
            return
        if sum(other.held_bytes for other in self.connections) > self.limits.max_held_bytes:
            raise HttpError(503, "too many large requests at once")

    def make_room_for(self, connection: RequestConnection) -> bool:
        """Closes other connections if there are too many; returns whether the new one may stay."""
        if len(self.connections) <= self.limits.max_connections:
            return True
        count = sum(other.alive for other in self.connections)
        excess = count - self.limits.max_connections
        if excess <= 0:
            return True
        victims = longest_without_request(self.connections - {connection}, excess)
        log.warning("too many connections", extra={"open": count, "replaced": len(victims)})
        for victim in victims:
            victim.abort()
        if not victims and excess > SPARE_CONNECTIONS:
            connection.abort()
        return bool(victims)

    def _sweep(self) -> None:
        """Closes connections that have been idle, or in the middle of a request, for too long."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self._loop.time()
        for connection in list(self.connections):
            connection.check_peer_closed()
            request_timeout_s = (
                self.limits.request_timeout_s + connection.held_bytes / self.limits.min_bytes_per_s
            )
            if connection.idle and now - connection.state_since > self.limits.idle_timeout_s:
                connection.close()
            elif connection.request_timed_out(now, request_timeout_s):
                connection.reject_timed_out_request()


class _ServerConnection(RequestConnection):
    """A connection of a RequestServer."""

    def __init__(self, server: RequestServer) -> None:
        super().__init__(
            server.parser_limits, server.begin_request, lambda: server.draining, server.connections
        )
        self._server = server
        self._continued: Message | None = None  # the request whose body was last asked for

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if not self._server.make_room_for(self) and self.alive:
            self.malformed(HttpError(503, "too many connections"))

    def fed(self) -> None:
        """Checks the memory in use, and answers `Expect: 100-continue`."""
        self._server.check_held_bytes(self)
        message = self.parser.message
        if message is None or message is self._continued or self.busy or self.transport is None:
            return
        self._continued = message
        if message.headers.get("expect", "").lower() == "100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def error_response(self, status: int, reason: str) -> tuple[Mapping[str, str], bytes]:
        return self._server.error_response(status, reason)
