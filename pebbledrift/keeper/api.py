"""The HTTP control interface: workers send heartbeats, operators read and change the configuration."""

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

MIN_THREADS, MAX_THREADS = 12, 24
MAX_BODY_BYTES = 8 * 1024 * 1024
CALL_TIMEOUT_S = 4.5  # after which the outcome of a call is unknown
IDLE_TIMEOUT_S = 20  # of an HTTP connection
INSTANCE_PATH = re.compile(r"/-/instances/([^/]{1,128})/(heartbeat|deregister)\Z")
STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    412: "412 Precondition Failed",
    413: "413 Content Too Large",
    503: "503 Service Unavailable",
}
HTTP_STATUS_OF_RESULT = {
    OrderStatus.ACCEPTED: 200,
    OrderStatus.ALREADY_ACCEPTED: 200,
    OrderStatus.CONFLICT: 412,
    OrderStatus.INVALID: 400,
}


Answered = TypeVar("Answered")


class Reply(NamedTuple):
    """An HTTP reply; the body is sent as JSON, or as text if the content type is another one."""

    status: int
    body: Any
    content_type: str = "application/json"

    def encoded(self) -> bytes:
        """Returns the body as bytes."""
        if self.content_type != "application/json":
            return str(self.body).encode()
        return json.dumps(self.body, separators=(",", ":")).encode()


class ControlBackend(Protocol):
    """The keeper's side of the control interface; its coroutines run on the keeper's event loop."""

    async def submit_order(self, order: Order) -> OrderResult | None:
        """Carries out an operator's order; returns None if its outcome is unknown."""

    async def read_config(self) -> dict[str, Any] | None:
        """Returns the newest configuration; None if this keeper cannot confirm that it has it."""

    async def heartbeat(self, instance: Instance) -> bool:
        """Processes a worker's heartbeat; returns whether it may be acknowledged."""

    async def deregister(self, instance: str) -> bool:
        """Marks a worker's instance as gone; returns whether that may be acknowledged."""

    async def status(self) -> dict[str, Any]:
        """Returns this keeper's status for operators."""


class ControlApi:
    """The WSGI application. Its threads pass each call to the event loop that owns the keeper's state."""

    def __init__(self, backend: ControlBackend, loop: asyncio.AbstractEventLoop) -> None:
        self._backend, self._loop = backend, loop

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        try:
            reply = self._route(environ)
        except TimeoutError:
            reply = Reply(503, {"error": "no answer in time"})
        except Exception:
            log.exception("control API request failed")
            reply = Reply(503, {"error": "internal"})
        body = reply.encoded()
        headers = [("Content-Type", reply.content_type), ("Content-Length", str(len(body)))]
        if reply.status == 503:
            headers.append(("Retry-After", "0.3"))
        start_response(STATUS_LINES[reply.status], headers)
        return [body]

    def _on_loop(self, call: Coroutine[Any, Any, Answered]) -> Answered:
        future = asyncio.run_coroutine_threadsafe(call, self._loop)
        try:
            return future.result(CALL_TIMEOUT_S)
        except TimeoutError:
            future.cancel()
            raise

    def _route(self, environ: dict[str, Any]) -> Reply:
        method, path = environ["REQUEST_METHOD"], environ.get("PATH_INFO", "")
        instance = INSTANCE_PATH.match(path)
        if instance and method == "POST":
            return self._handle_worker_call(instance[1], instance[2], _body(environ))
        if path == "/-/config/read" and method == "GET":
            return self._read_config()
        if path == "/-/config/replace" and method == "POST":
            return self._handle_order(OrderKind.REPLACE, environ)
        if path == "/-/config/update" and method == "POST":
            return self._handle_order(OrderKind.UPDATE, environ)
        if path == "/-/status" and method == "GET":
            return Reply(200, self._on_loop(self._backend.status()))
        if path == "/-/metrics" and method == "GET":
            return self._render_metrics()
        return Reply(404, {"error": f"no such call: {method} {path}"})

    def _render_metrics(self) -> Reply:
        from pebbledrift.cluster.exposition import CONTENT_TYPE
        from pebbledrift.keeper.exposition import exposition

        return Reply(200, exposition(self._on_loop(self._backend.status())), CONTENT_TYPE)

    def _handle_worker_call(self, instance: str, call: str, body: bytes) -> Reply:
        if call == "deregister":
            confirmed = self._on_loop(self._backend.deregister(instance))
            return (
                Reply(200, {})
                if confirmed
                else Reply(503, {"error": "not told to a majority of the keepers"})
            )
        try:
            reported = parse_heartbeat(instance, json.loads(body))
        except (MalformedHeartbeat, ValueError, RecursionError) as error:
            return Reply(400, {"error": str(error)})
        accepted = self._on_loop(self._backend.heartbeat(reported))
        return Reply(200, {}) if accepted else Reply(503, {"error": "not taken, or not told to a majority"})

    def _read_config(self) -> Reply:
        config = self._on_loop(self._backend.read_config())
        if config is None:
            return Reply(503, {"error": "the newest configuration is not known here"})
        return Reply(200, config)

    def _handle_order(self, kind: OrderKind, environ: dict[str, Any]) -> Reply:
        base = environ.get("HTTP_X_PEBBLEDRIFT_BASE_VERSION", "")
        if not base.isdigit():
            return Reply(400, {"error": f"X-Pebbledrift-Base-Version: a version is needed, not {base!r}"})
        body = _body(environ)
        if len(body) > MAX_BODY_BYTES:
            return Reply(413, {"error": f"a configuration has at most {MAX_BODY_BYTES} bytes"})
        result = self._on_loop(self._backend.submit_order(Order(kind, int(base), body)))
        if result is None:
            return Reply(503, {"error": "no clear answer: send the same again"})
        status = HTTP_STATUS_OF_RESULT[OrderStatus(result.status)]
        return Reply(status, {} if status == 200 else {"error": result.reason})


def _body(environ: dict[str, Any]) -> bytes:
    return bytes(environ["wsgi.input"].read())


def make_server(address: Address, api: ControlApi) -> wsgi.Server:
    """Creates the HTTP server; the caller starts it in a thread."""
    server = wsgi.Server(
        address,
        api,
        numthreads=MIN_THREADS,
        max=MAX_THREADS,
        request_queue_size=128,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=1,
    )
    server.max_request_body_size = MAX_BODY_BYTES + 1024
    return server
