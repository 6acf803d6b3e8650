"""Calls of the control interface: workers' heartbeats, operators' reads and changes of the configuration."""

from __future__ import annotations

import json
import logging
import re
from enum import Enum
from typing import Any, NamedTuple, Protocol
from urllib.parse import unquote

from pebbledrift.control.orders import Order, OrderKind, OrderResult, OrderStatus
from pebbledrift.control.registry import Instance, MalformedHeartbeat, parse_heartbeat
from pebbledrift.net.http import Message

log = logging.getLogger(__name__)

MAX_WORKER_BODY_BYTES = 64 * 1024  # of a heartbeat
RETRY_AFTER_S = "0.3"  # sent with each 503
JSON_TYPE = "application/json"
INSTANCE_PATH = re.compile(r"/-/instances/([^/]{1,128})/(heartbeat|deregister)\Z")
HTTP_STATUS_OF_RESULT = {
    OrderStatus.ACCEPTED: 200,
    OrderStatus.ALREADY_ACCEPTED: 200,
    OrderStatus.CONFLICT: 412,
    OrderStatus.INVALID: 400,
}


class CallKind(Enum):
    """What a request asks for."""

    READ = "read"
    REPLACE = "replace"
    UPDATE = "update"
    HEARTBEAT = "heartbeat"
    DEREGISTER = "deregister"
    STATUS = "status"
    METRICS = "metrics"
    UNKNOWN = "unknown"


ORDER_KINDS = {CallKind.REPLACE: OrderKind.REPLACE, CallKind.UPDATE: OrderKind.UPDATE}
KINDS = {
    ("GET", "/-/config/read"): CallKind.READ,
    ("POST", "/-/config/replace"): CallKind.REPLACE,
    ("POST", "/-/config/update"): CallKind.UPDATE,
    ("GET", "/-/status"): CallKind.STATUS,
    ("GET", "/-/metrics"): CallKind.METRICS,
}


class Call(NamedTuple):
    """A request's kind and path, and the worker instance that the path names, if any."""

    kind: CallKind
    path: str
    instance: str = ""


def call_of(method: str, target: str) -> Call:
    """Returns the call that a request line stands for."""
    path = _path_of(target)
    kind = KINDS.get((method, path))
    if kind is not None:
        return Call(kind, path)
    match = INSTANCE_PATH.match(path)
    if match is None or method != "POST":
        return Call(CallKind.UNKNOWN, path)
    return Call(CallKind.HEARTBEAT if match[2] == "heartbeat" else CallKind.DEREGISTER, path, match[1])


def _path_of(target: str) -> str:
    """Returns the decoded path of a request target in origin form or in absolute form."""
    path = target.partition("?")[0]
    if path.startswith("http://"):
        path = "/" + path.removeprefix("http://").partition("/")[2]
    return unquote(path) if "%" in path else path


class Reply(NamedTuple):
    """An HTTP reply. The body is sent as JSON unless it is encoded already."""

    status: int
    body: Any
    content_type: str = JSON_TYPE

    def encoded(self) -> bytes:
        """Returns the body as bytes."""
        return self.body if isinstance(self.body, bytes) else _json(self.body)

    def headers(self) -> dict[str, str]:
        """Returns the headers, except for the length."""
        headers = {"Content-Type": self.content_type}
        if self.status == 503:
            headers["Retry-After"] = RETRY_AFTER_S
        return headers


def error_reply(status: int, reason: str) -> Reply:
    """Returns a reply that says what was wrong."""
    return Reply(status, {"error": reason})


class ControlBackend(Protocol):
    """The keeper's side of the control interface. Each call returns before its caller moves on."""

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
    """Carries out the calls. Runs on the keeper's event loop."""

    def __init__(self, backend: ControlBackend) -> None:
        self._backend = backend
        # The configuration that was last read, and its encoding: configurations are replaced, never changed.
        self._encoded_config: tuple[dict[str, Any], bytes] | None = None

    async def handle(self, call: Call, request: Message) -> Reply:
        """Returns the reply to a request."""
        try:
            return await self._handle(call, request)
        except Exception:
            log.exception("control API request failed")
            return error_reply(503, "internal")

    async def _handle(self, call: Call, request: Message) -> Reply:
        order_kind = ORDER_KINDS.get(call.kind)
        if order_kind is not None:
            return await self._handle_order(order_kind, request)
        if call.kind == CallKind.READ:
            return await self._read_config()
        if call.kind == CallKind.HEARTBEAT:
            return await self._heartbeat(call.instance, request)
        if call.kind == CallKind.DEREGISTER:
            return await self._deregister(call.instance)
        if call.kind == CallKind.STATUS:
            return Reply(200, await self._backend.status())
        if call.kind == CallKind.METRICS:
            return await self._render_metrics()
        return error_reply(404, f"no such call: {request.first} {call.path}")

    async def _render_metrics(self) -> Reply:
        from pebbledrift.cluster.exposition import CONTENT_TYPE
        from pebbledrift.keeper.exposition import exposition

        return Reply(200, exposition(await self._backend.status()).encode(), CONTENT_TYPE)

    async def _deregister(self, instance: str) -> Reply:
        if await self._backend.deregister(instance):
            return Reply(200, {})
        return error_reply(503, "not told to a majority of the keepers")

    async def _heartbeat(self, instance: str, request: Message) -> Reply:
        if len(request.body) > MAX_WORKER_BODY_BYTES:
            return error_reply(413, f"a heartbeat has at most {MAX_WORKER_BODY_BYTES} bytes")
        try:
            reported = parse_heartbeat(instance, json.loads(request.body))
        except (MalformedHeartbeat, ValueError, RecursionError) as error:
            return error_reply(400, str(error))
        if await self._backend.heartbeat(reported):
            return Reply(200, {})
        return error_reply(503, "not taken, or not told to a majority")

    async def _read_config(self) -> Reply:
        config = await self._backend.read_config()
        if config is None:
            return error_reply(503, "the newest configuration is not known here")
        if self._encoded_config is None or self._encoded_config[0] is not config:
            self._encoded_config = config, _json(config)
        return Reply(200, self._encoded_config[1])

    async def _handle_order(self, kind: OrderKind, request: Message) -> Reply:
        base = request.headers.get("x-pebbledrift-base-version", "")
        if not base.isdigit():
            return error_reply(400, f"X-Pebbledrift-Base-Version: a version is needed, not {base!r}")
        order = Order(kind, int(base), bytes(request.body))
        request.body.clear()  # the order has its own copy
        result = await self._backend.submit_order(order)
        if result is None:
            return error_reply(503, "no clear answer: send the same again")
        status = HTTP_STATUS_OF_RESULT[OrderStatus(result.status)]
        return Reply(200, {}) if status == 200 else error_reply(status, result.reason)


def _json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
