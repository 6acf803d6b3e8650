"""The HTTP server of the control interface. It runs on the keeper's event loop, and holds no thread."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping

from pebbledrift.bounds import Limits
from pebbledrift.chain.link import SLOWEST_LINK_BYTES_PER_S
from pebbledrift.cluster.boot import Address
from pebbledrift.control.orders import MAX_CONFIG_BYTES
from pebbledrift.keeper.api import ORDER_KINDS, CallKind, ControlApi, call_of, error_reply
from pebbledrift.keeper.control_metrics import ControlMetrics
from pebbledrift.net.http import Message
from pebbledrift.net.request_connection import RequestConnection, RequestOwner
from pebbledrift.net.request_server import RequestServer, ServerLimits

log = logging.getLogger(__name__)

MAX_CALLS = 256  # in progress at once
CLOSE_GRACE_S = 1.0  # for the calls in progress when the keeper ends
MIN_BIND_RETRY_S, MAX_BIND_RETRY_S = 0.1, 1.0  # between attempts to open the control interface
SERVER_LIMITS = ServerLimits(
    max_connections=512,
    idle_timeout_s=20.0,
    request_timeout_s=20.0,
    min_bytes_per_s=SLOWEST_LINK_BYTES_PER_S,
    max_held_bytes=32 * 1024 * 1024,
    max_unsent_bytes=32 * 1024 * 1024,
)


class ControlServer:
    """Accepts the calls of workers and operators, and sends the replies of the API."""

    def __init__(self, api: ControlApi, metrics: ControlMetrics) -> None:
        self._api, self._metrics = api, metrics
        self._loop = asyncio.get_running_loop()
        self._calls: set[asyncio.Task[None]] = set()
        parser_limits = Limits(body_bytes=MAX_CONFIG_BYTES)
        self._server = RequestServer(parser_limits, SERVER_LIMITS, self._begin_call, _error_response)
        metrics.watch(lambda: len(self._server.connections), lambda: len(self._calls))

    async def open(self, address: Address) -> None:
        """Starts to listen; tries again for as long as the address cannot be bound."""
        retry_s = MIN_BIND_RETRY_S
        while True:
            try:
                await self._server.listen(address)
                return
            except OSError as error:
                log.error("control interface cannot be opened, will retry", extra={"error": str(error)})
            await asyncio.sleep(retry_s)
            retry_s = min(MAX_BIND_RETRY_S, 2 * retry_s)

    async def close(self) -> None:
        """Finishes the calls in progress, for CLOSE_GRACE_S at most, and closes all connections."""
        await self._server.close(CLOSE_GRACE_S)

    def _begin_call(self, connection: RequestConnection, request: Message) -> RequestOwner | None:
        call = call_of(request.first, request.second)
        if call.kind in ORDER_KINDS and connection.peer_has_left:
            # the order may have waited in the socket of a suspended process, and been answered elsewhere
            log.info("order dropped, its caller has left", extra={"path": call.path})
            connection.abort()
            return None
        if len(self._calls) >= MAX_CALLS:
            self._send(connection, call.kind, 503, *_error_response(503, "too many calls at once"))
            return None
        owner = _CallOwner(connection)

        async def answer() -> None:
            reply = await self._api.handle(call, request)
            if owner.connection is not None:
                self._send(owner.connection, call.kind, reply.status, reply.headers(), reply.encoded())

        task = self._loop.create_task(answer())
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return owner

    def _send(
        self,
        connection: RequestConnection,
        kind: CallKind,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        if not self._server.may_send(len(body)):
            status, (headers, body) = 503, _error_response(503, "too many responses are not read")
        self._metrics.record_answer(kind.value, status)
        connection.send_response(status, headers, body)


class _CallOwner:
    """A call in progress.

    Once it has begun it is carried out to its end, even if its caller leaves: the outcome may count.
    """

    def __init__(self, connection: RequestConnection) -> None:
        self.connection: RequestConnection | None = connection

    def client_gone(self) -> None:
        """Drops the reply: its caller has disconnected."""
        self.connection = None

    def client_write_paused(self, paused: bool) -> None:
        """Does nothing: a reply is written at once, within the limit of unsent bytes."""


def _error_response(status: int, reason: str) -> tuple[Mapping[str, str], bytes]:
    if status == 413:
        reason = f"{reason}: a configuration has at most {MAX_CONFIG_BYTES} bytes"
    reply = error_reply(status, reason)
    return reply.headers(), reply.encoded()
