"""Tests the server of the control interface: its limits, and what it answers to incomplete requests."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import pytest

from pebbledrift.control.orders import MAX_CONFIG_BYTES, Order, OrderResult, OrderStatus
from pebbledrift.control.registry import Instance
from pebbledrift.keeper import control_server
from pebbledrift.keeper.api import MAX_WORKER_BODY_BYTES, ControlApi
from pebbledrift.keeper.control_metrics import ControlMetrics
from pebbledrift.keeper.control_server import SERVER_LIMITS, ControlServer
from pebbledrift.net import request_server
from pebbledrift.net.request_server import ServerLimits

WAIT_S = 5.0
READ = "GET /-/config/read HTTP/1.1\r\nHost: keeper\r\n\r\n"
LARGE_CONFIG = {"revision": 7, "filling": "x" * 8_000_000}  # more than the send buffer of a socket


class Backend:
    """Answers each read with a configuration; orders wait until `decided` is set."""

    def __init__(self) -> None:
        self.config: dict[str, Any] = {"revision": 7}
        self.orders: list[Order] = []
        self.instances: list[str] = []
        self.decided = asyncio.Event()

    async def submit_order(self, order: Order) -> OrderResult | None:
        self.orders.append(order)
        await self.decided.wait()
        return OrderResult(OrderStatus.ACCEPTED)

    async def read_config(self) -> dict[str, Any] | None:
        return self.config

    async def heartbeat(self, instance: Instance) -> bool:
        self.instances.append(instance.id)
        return True

    async def deregister(self, instance: str) -> bool:
        self.instances.append(instance)
        return True

    async def status(self) -> dict[str, Any]:
        return {}


class Interface:
    """A control interface on a free port, and the connections of its callers."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.backend = Backend()
        self.metrics = ControlMetrics()
        self.server = ControlServer(ControlApi(self.backend), self.metrics)
        self.address = ("127.0.0.1", 0)

    async def open(self) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        await self.server.open(self.address)

    async def connect(
        self, data: str = "", receive_buffer: int = 0
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        connection = socket.socket()
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, self.address)
        reader, writer = await asyncio.open_connection(sock=connection)
        self._stack.callback(writer.close)
        writer.write(data.encode())
        return reader, writer

    async def call(self, data: str) -> str:
        """Sends a request on a new connection; returns the head of its response."""
        reader, _ = await self.connect(data)
        return await head(reader)


async def head(reader: asyncio.StreamReader) -> str:
    async with asyncio.timeout(WAIT_S):
        return (await reader.readuntil(b"\r\n\r\n")).decode()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


@asynccontextmanager
async def opened_interface() -> Any:
    async with AsyncExitStack() as stack:
        interface = Interface(stack)
        await interface.open()
        yield interface
        interface.backend.decided.set()
        await interface.server.close()


def run(scenario: Callable[[Interface], Coroutine[Any, Any, None]]) -> None:
    async def play() -> None:
        async with opened_interface() as interface:
            await scenario(interface)

    asyncio.run(play())


def limit(monkeypatch: pytest.MonkeyPatch, **changed: float) -> None:
    values = {name: getattr(SERVER_LIMITS, name) for name in ServerLimits.__slots__}  # type: ignore[attr-defined]
    monkeypatch.setattr(control_server, "SERVER_LIMITS", ServerLimits(**{**values, **changed}))


def order(body: str, length: int | None = None) -> str:
    size = len(body) if length is None else length
    return (
        "POST /-/config/update HTTP/1.1\r\nHost: keeper\r\nX-Pebbledrift-Base-Version: 1\r\n"
        f"Content-Length: {size}\r\n\r\n{body}"
    )


def test_the_connection_that_is_idle_for_longest_makes_room_for_a_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections that are left open and take all places."""
    limit(monkeypatch, max_connections=3)

    async def scenario(interface: Interface) -> None:
        oldest, _ = await interface.connect()
        await wait_until(lambda: interface.metrics.status()["connections"] == 1)
        for _ in range(2):
            await interface.connect(READ[:20])
        await wait_until(lambda: interface.metrics.status()["connections"] == 3)
        assert (await interface.call(READ)).startswith("HTTP/1.1 200")
        assert await oldest.read() == b""

    run(scenario)


def test_a_response_that_is_not_read_yet_outlasts_idle_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a response that is dropped because its connection has been idle for longest."""
    limit(monkeypatch, max_connections=3)

    async def scenario(interface: Interface) -> None:
        interface.backend.config = LARGE_CONFIG
        reader, _ = await interface.connect(READ, receive_buffer=4096)
        await wait_until(lambda: "200" in interface.metrics.status()["answers"].get("read", {}))
        for _ in range(2):
            await interface.connect()
        await wait_until(lambda: interface.metrics.status()["connections"] == 3)
        interface.backend.config = {"revision": 8}
        assert (await interface.call(READ)).startswith("HTTP/1.1 200")
        text = await head(reader)
        length = int(text.lower().partition("content-length: ")[2].partition("\r\n")[0])
        assert len(await reader.readexactly(length)) > len(LARGE_CONFIG["filling"])  # type: ignore[arg-type]

    run(scenario)


def test_a_caller_beyond_the_connections_in_use_is_answered_503(monkeypatch: pytest.MonkeyPatch) -> None:
    limit(monkeypatch, max_connections=2)

    async def scenario(interface: Interface) -> None:
        waiting = [await interface.connect(order("{}")) for _ in range(2)]
        await wait_until(lambda: len(interface.backend.orders) == 2)
        refused = await interface.call(READ)
        assert refused.startswith("HTTP/1.1 503") and "Retry-After" in refused
        interface.backend.decided.set()
        for reader, _ in waiting:
            assert (await head(reader)).startswith("HTTP/1.1 200")

    run(scenario)


def test_calls_beyond_the_limit_in_progress_are_answered_503(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_server, "MAX_CALLS", 2)

    async def scenario(interface: Interface) -> None:
        for _ in range(2):
            await interface.connect(order("{}"))
        await wait_until(lambda: interface.metrics.status()["calls"] == 2)
        assert (await interface.call(READ)).startswith("HTTP/1.1 503")
        assert interface.metrics.status()["answers"] == {"read": {"503": 1}}

    run(scenario)


def test_idle_and_unfinished_connections_end_after_their_time(monkeypatch: pytest.MonkeyPatch) -> None:
    limit(monkeypatch, idle_timeout_s=0.05, request_timeout_s=0.05)
    monkeypatch.setattr(request_server, "SWEEP_INTERVAL_S", 0.02)

    async def scenario(interface: Interface) -> None:
        idle, _ = await interface.connect()
        unfinished, _ = await interface.connect(READ[:20])
        async with asyncio.timeout(WAIT_S):
            assert await idle.read() == b""
            answer = await unfinished.read()
        assert answer.startswith(b"HTTP/1.1 408") and b"did not arrive in time" in answer

    run(scenario)


def test_unfinished_bodies_beyond_the_limit_of_memory_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    limit(monkeypatch, max_held_bytes=300_000)

    async def scenario(interface: Interface) -> None:
        first, writer = await interface.connect(order("x" * 200_000, 250_000))
        await wait_until(lambda: interface.metrics.status()["connections"] == 1)
        await writer.drain()
        assert (await interface.call(order("x" * 200_000, 250_000))).startswith("HTTP/1.1 503")
        writer.write(b"x" * 50_000)
        interface.backend.decided.set()
        assert (await head(first)).startswith("HTTP/1.1 200")

    run(scenario)


def test_responses_that_nobody_reads_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    limit(monkeypatch, max_unsent_bytes=12_000_000)

    async def scenario(interface: Interface) -> None:
        interface.backend.config = LARGE_CONFIG
        for _ in range(6):
            await interface.connect(READ, receive_buffer=4096)
        await wait_until(lambda: "503" in interface.metrics.status()["answers"].get("read", {}))
        interface.backend.config = {"revision": 8}
        assert (await interface.call(READ)).startswith("HTTP/1.1 200")

    run(scenario)


@pytest.mark.parametrize(
    ("request_text", "status"),
    [
        (order("", MAX_CONFIG_BYTES + 1), 413),
        ("POST /-/instances/i-1/heartbeat HTTP/1.1\r\nContent-Length: {}\r\n\r\n", 413),
        ("GET /-/nothing HTTP/1.1\r\n\r\n", 404),
        ("DELETE /-/instances/i-1/deregister HTTP/1.1\r\n\r\n", 404),
        ("nonsense\r\n\r\n", 400),
    ],
)
def test_an_unsuitable_request_is_answered_with_a_reason(request_text: str, status: int) -> None:
    if "heartbeat" in request_text:
        size = MAX_WORKER_BODY_BYTES + 1
        request_text = request_text.replace("{}", str(size)) + "x" * size

    async def scenario(interface: Interface) -> None:
        reader, writer = await interface.connect(request_text)
        response_head = await head(reader)
        assert response_head.startswith(f"HTTP/1.1 {status} ")
        size = int(response_head.lower().partition("content-length: ")[2].partition("\r\n")[0])
        assert json.loads(await reader.readexactly(size))["error"]

    run(scenario)


def test_a_caller_that_asks_first_is_told_to_send_its_body() -> None:
    async def scenario(interface: Interface) -> None:
        interface.backend.decided.set()
        headers, _, body = order('{"revision":2}').partition("\r\n\r\n")
        reader, writer = await interface.connect(headers + "\r\nExpect: 100-continue\r\n\r\n")
        assert await head(reader) == "HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(body.encode())
        assert (await head(reader)).startswith("HTTP/1.1 200")
        assert interface.backend.orders[0].body == body.encode()

    run(scenario)


@pytest.mark.parametrize(
    "target", ["/-/instances/i%2D1/deregister?x=1", "http://keeper/-/instances/i-1/deregister"]
)
def test_a_target_may_be_encoded_or_absolute(target: str) -> None:
    async def scenario(interface: Interface) -> None:
        assert (await interface.call(f"POST {target} HTTP/1.1\r\nHost: x\r\n\r\n")).startswith("HTTP/1.1 200")
        assert interface.backend.instances == ["i-1"]

    run(scenario)


def test_a_call_whose_caller_left_is_still_carried_out() -> None:
    async def scenario(interface: Interface) -> None:
        _, writer = await interface.connect(order("{}"))
        await wait_until(lambda: len(interface.backend.orders) == 1)
        writer.close()
        await wait_until(lambda: interface.metrics.status()["connections"] == 0)
        assert interface.metrics.status()["calls"] == 1
        interface.backend.decided.set()
        await wait_until(lambda: interface.metrics.status()["calls"] == 0)

    run(scenario)


def test_an_order_whose_caller_left_before_it_was_read_is_dropped() -> None:
    # guards against a keeper that stood still carrying out an old copy of an order answered elsewhere
    async def scenario(interface: Interface) -> None:
        with socket.create_connection(interface.address) as caller:  # the event loop does not run meanwhile
            caller.sendall(order("{}").encode())
        assert await interface.call(READ)  # on a connection that was accepted later
        assert not interface.backend.orders
        with socket.create_connection(interface.address) as caller:
            caller.sendall(order("{}").encode())
            await wait_until(lambda: len(interface.backend.orders) == 1)

    run(scenario)


def test_calls_in_progress_are_answered_when_the_interface_closes() -> None:
    async def scenario(interface: Interface) -> None:
        reader, _ = await interface.connect(order("{}"))
        await wait_until(lambda: len(interface.backend.orders) == 1)
        closing = asyncio.get_running_loop().create_task(interface.server.close())
        await asyncio.sleep(0)
        interface.backend.decided.set()
        answer = await head(reader)
        assert answer.startswith("HTTP/1.1 200") and "Connection: close" in answer
        await closing

    run(scenario)


def test_a_response_that_is_being_read_is_flushed_when_the_interface_closes() -> None:
    """Guards against a process that ends while the rest of a response is in its write buffer."""

    async def scenario(interface: Interface) -> None:
        interface.backend.config = LARGE_CONFIG
        reader, _ = await interface.connect(READ, receive_buffer=4096)
        await wait_until(lambda: "200" in interface.metrics.status()["answers"].get("read", {}))
        closing = asyncio.get_running_loop().create_task(interface.server.close())
        for _ in range(5):
            await asyncio.sleep(0)
        assert not closing.done()
        await head(reader)
        assert len(await reader.read()) > len(LARGE_CONFIG["filling"])  # type: ignore[arg-type]
        await closing

    run(scenario)


def test_a_control_port_that_is_in_use_is_bound_once_it_is_free() -> None:
    """Guards against a keeper that runs without a control interface, as its port was taken at the start."""

    async def scenario() -> None:
        async with AsyncExitStack() as stack:
            interface = Interface(stack)
            with socket.socket() as holder:
                holder.bind(("127.0.0.1", 0))
                holder.listen()
                interface.address = holder.getsockname()
                opening = asyncio.get_running_loop().create_task(interface.server.open(interface.address))
                await asyncio.sleep(0.15)
                assert not opening.done()
            async with asyncio.timeout(WAIT_S):
                await opening
            assert (await interface.call(READ)).startswith("HTTP/1.1 200")
            await interface.server.close()

    asyncio.run(scenario())
