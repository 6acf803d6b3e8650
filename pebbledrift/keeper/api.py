"""The control interface over HTTP: workers register, the operator changes and reads the configuration."""

from __future__ import annotations

import asyncio
import json
import logging
import re
from collections.abc import Callable, Coroutine, Iterable
from typing import Any, NamedTuple, Protocol, TypeVar

from cheroot import wsgi

from pebbledrift.cluster.boot import Address
from pebbledrift.control.orders import Order, OrderKind, OrderResult, OrderStatus
from pebbledrift.control.registry import Instance, MalformedHeartbeat, parse_heartbeat

log = logging.getLogger(__name__)

THREADS, THREADS_MOST = 12, 24
BODY_MOST = 8 * 1024 * 1024
CALL_S = 4.5  # a call that takes longer has no clear answer
IDLE_S = 20
INSTANCE_PATH = re.compile(r"/-/instances/([^/]{1,128})/(heartbeat|deregister)\Z")
STATUS = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    412: "412 Precondition Failed",
    413: "413 Content Too Large",
    503: "503 Service Unavailable",
}
OF_VERDICT = {
    OrderStatus.ACCEPTED: 200,
    OrderStatus.ALREADY_ACCEPTED: 200,
    OrderStatus.CONFLICT: 412,
    OrderStatus.INVALID: 400,
}


Answered = TypeVar("Answered")


class Reply(NamedTuple):
    """What is answered: as JSON, or a text as it is."""

    status: int
    body: Any
    content_type: str = "application/json"

    def encoded(self) -> bytes:
        """The body as bytes."""
        if self.content_type != "application/json":
            return str(self.body).encode()
        return json.dumps(self.body, separators=(",", ":")).encode()


class ControlState(Protocol):
    """What the interface asks of the keeper, on the keeper's own loop."""

    async def order(self, order: Order) -> OrderResult | None:
        """Carry an order out; None where there is no clear answer."""

    async def read(self) -> dict[str, Any] | None:
        """The newest configuration; None where that cannot be told."""

    async def heartbeat(self, instance: Instance) -> bool:
        """Take a worker's heartbeat in; returns whether it may be acknowledged."""

    async def deregister(self, instance: str) -> bool:
        """A worker's instance has ended; returns whether that may be acknowledged."""

    async def status(self) -> dict[str, Any]:
        """What an operator wants to see of this keeper."""


class ControlApi:
    """The WSGI application. Its threads hand every call to the loop that owns the state."""

    def __init__(self, state: ControlState, loop: asyncio.AbstractEventLoop) -> None:
        self._state, self._loop = state, loop

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        try:
            reply = self._route(environ)
        except TimeoutError:
            reply = Reply(503, {"error": "no answer in time"})
        except Exception:
            log.exception("control call failed")
            reply = Reply(503, {"error": "internal"})
        body = reply.encoded()
        headers = [("Content-Type", reply.content_type), ("Content-Length", str(len(body)))]
        if reply.status == 503:
            headers.append(("Retry-After", "0.3"))
        start_response(STATUS[reply.status], headers)
        return [body]

    def _on_loop(self, call: Coroutine[Any, Any, Answered]) -> Answered:
        future = asyncio.run_coroutine_threadsafe(call, self._loop)
        try:
            return future.result(CALL_S)
        except TimeoutError:
            future.cancel()
            raise

    def _route(self, environ: dict[str, Any]) -> Reply:
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        instance = INSTANCE_PATH.match(path)
        if instance and method == "POST":
            return self._worker(instance[1], instance[2], _body(environ))
        if path == "/-/config/read" and method == "GET":
            return self._read()
        if path == "/-/config/replace" and method == "POST":
            return self._order(OrderKind.REPLACE, environ)
        if path == "/-/config/update" and method == "POST":
            return self._order(OrderKind.UPDATE, environ)
        if path == "/-/status" and method == "GET":
            return Reply(200, self._on_loop(self._state.status()))
        if path == "/-/metrics" and method == "GET":
            return self._metrics()
        return Reply(404, {"error": f"no such call: {method} {path}"})

    def _metrics(self) -> Reply:
        from pebbledrift.cluster.exposition import CONTENT_TYPE
        from pebbledrift.keeper.exposition import exposition

        return Reply(200, exposition(self._on_loop(self._state.status())), CONTENT_TYPE)

    def _worker(self, instance: str, call: str, body: bytes) -> Reply:
        if call == "deregister":
            known = self._on_loop(self._state.deregister(instance))
            return Reply(200, {}) if known else Reply(503, {"error": "not told to a majority of the keepers"})
        try:
            told = parse_heartbeat(instance, json.loads(body))
        except (MalformedHeartbeat, ValueError, RecursionError) as error:
            return Reply(400, {"error": str(error)})
        taken = self._on_loop(self._state.heartbeat(told))
        return Reply(200, {}) if taken else Reply(503, {"error": "not taken, or not told to a majority"})

    def _read(self) -> Reply:
        config = self._on_loop(self._state.read())
        if config is None:
            return Reply(503, {"error": "the newest configuration is not known here"})
        return Reply(200, config)

    def _order(self, kind: OrderKind, environ: dict[str, Any]) -> Reply:
        base = environ.get("HTTP_X_PEBBLEDRIFT_BASE_VERSION", "")
        if not base.isdigit():
            return Reply(400, {"error": f"X-Pebbledrift-Base-Version: a version is needed, not {base!r}"})
        body = _body(environ)
        if len(body) > BODY_MOST:
            return Reply(413, {"error": f"a configuration has at most {BODY_MOST} bytes"})
        judgement = self._on_loop(self._state.order(Order(kind, int(base), body)))
        if judgement is None:
            return Reply(503, {"error": "no clear answer: send the same again"})
        status = OF_VERDICT[OrderStatus(judgement.status)]
        return Reply(status, {} if status == 200 else {"error": judgement.reason})


def _body(environ: dict[str, Any]) -> bytes:
    return bytes(environ["wsgi.input"].read())


def make_server(address: Address, api: ControlApi) -> wsgi.Server:
    """The HTTP server, ready to be served from a thread."""
    server = wsgi.Server(
        address,
        api,
        numthreads=THREADS,
        max=THREADS_MOST,
        request_queue_size=128,
        timeout=IDLE_S,
        shutdown_timeout=1,
    )
    server.max_request_body_size = BODY_MOST + 1024
    return server
