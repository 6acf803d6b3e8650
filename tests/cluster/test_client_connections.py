"""Client connections: each request that was read gets a complete response, in order.

Background: during a configuration change a client's connection once ended in the middle of a valid response,
and nothing was logged; it was not reproduced. These tests cover the ways found in which a connection dropped
a request that it had read, or cut a response, although client and worker worked correctly. Each test failed
before its fix.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.net.http import Message
from pebbledrift.net.request_connection import MAX_PIPELINED_REQUESTS, RequestConnection

WAIT_S = 5.0
QUIET_S = 0.1  # a connection without data for this long is considered quiet
BODY = b"x" * 4_000_000  # more than the socket buffers hold


def get(path: str, extra_headers: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: estate.example\r\n{extra_headers}\r\n".encode()


class Front:
    """A listener whose requests are answered when a test calls `answer`."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.connections: list[RequestConnection] = []
        self.gone_count = 0
        self.draining = False
        self.open_connections: set[RequestConnection] = set()
        self.changed = asyncio.Event()

    async def __aenter__(self) -> Front:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._make, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.server.close()
        for connection in list(self.open_connections):
            connection.abort()

    def _make(self) -> RequestConnection:
        return RequestConnection(Limits(), self._begin, lambda: self.draining, self.open_connections)

    def _begin(self, connection: RequestConnection, message: Message) -> Front:
        self.started.append(message.second)
        self.connections.append(connection)
        self.changed.set()
        return self

    def client_gone(self) -> None:
        self.gone_count += 1
        self.changed.set()

    def client_write_paused(self, paused: bool) -> None:
        """Ignored: responses are written at once."""

    def connect(self) -> socket.socket:
        """Opens a client connection with a small receive buffer."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        client.connect(self.server.sockets[0].getsockname())
        client.setblocking(False)
        return client

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits until the condition is true."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.002)

    def answer(self) -> None:
        """Answers the request that was started last, with its path in a header."""
        self.connections[-1].send_response(200, {"Path": self.started[-1]}, b"")


async def read_all(client: socket.socket) -> tuple[bytes, str]:
    """Reads until the connection ends or is quiet for QUIET_S; returns the data and how it ended."""
    loop = asyncio.get_running_loop()
    received = b""
    while True:
        try:
            async with asyncio.timeout(QUIET_S):
                data = await loop.sock_recv(client, 65536)
        except TimeoutError:
            return received, "open"
        except ConnectionError:
            return received, "reset"
        if not data:
            return received, "closed"
        received += data


def run_scenario(scenario: Callable[[Front], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with Front() as front:
            await scenario(front)

    asyncio.run(run())


def in_one_iteration(front: Front, client: socket.socket, data: bytes, action: Callable[[], None]) -> None:
    """Lets the action and the client's data become ready in the same iteration of the event loop."""
    loop = asyncio.get_running_loop()
    local, remote = socket.socketpair()

    def on_readable() -> None:
        loop.remove_reader(local)
        local.close()
        remote.close()
        action()

    local.setblocking(False)
    loop.add_reader(local, on_readable)
    remote.send(b"x")
    client.send(data)


def test_a_pipelined_request_starts_before_one_that_arrives_later() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2"))
        await front.until(lambda: front.started == ["/1"])
        in_one_iteration(front, client, get("/3"), front.answer)
        for count in (2, 3):
            await front.until(lambda count=count: len(front.started) >= count)  # type: ignore[misc]
            front.answer()
        received, _ = await read_all(client)
        assert front.started == ["/1", "/2", "/3"]
        assert [line for line in received.split(b"\r\n") if line.startswith(b"Path")] == [
            b"Path: /1",
            b"Path: /2",
            b"Path: /3",
        ]

    run_scenario(scenario)


def test_malformed_input_behind_a_request_does_not_affect_its_response() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + b"no request\r\n\r\n")
        await front.until(lambda: front.started == ["/1"])
        await asyncio.sleep(QUIET_S)
        assert not front.gone_count, "the request was abandoned"
        front.answer()
        received, ending = await read_all(client)
        assert received.startswith(b"HTTP/1.1 200 ") and b"Path: /1" in received
        assert b"HTTP/1.1 400 " in received and ending == "closed"

    run_scenario(scenario)


def test_a_connection_is_not_idle_while_a_request_waits_to_start() -> None:
    """Idle connections are closed by the sweep and while draining.

    Guards against that closing a connection whose pipelined request was read but not started yet.
    """

    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2"))
        await front.until(lambda: front.started == ["/1"])
        front.answer()
        connection = front.connections[-1]
        assert connection.busy and not connection.idle
        await front.until(lambda: front.started == ["/1", "/2"])
        front.answer()
        assert connection.idle

    run_scenario(scenario)


def test_pipelined_requests_are_answered_while_draining() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2") + get("/3"))
        await front.until(lambda: front.started == ["/1"])
        await asyncio.sleep(0)
        front.draining = True
        for count in (1, 2, 3):
            await front.until(lambda count=count: len(front.started) == count)  # type: ignore[misc]
            front.answer()
        received, ending = await read_all(client)
        assert received.count(b"HTTP/1.1 200 ") == 3 and b"Path: /3" in received
        assert (
            received.count(b"Connection: close") == 1
            and b"Connection: close" in received[received.index(b"Path: /3") :]
        )
        assert ending == "closed"

    run_scenario(scenario)


def test_the_last_response_is_complete_despite_unread_input() -> None:
    """Guards against a truncated last response when the client has sent more data.

    Closing a socket with unread input resets the connection, and the kernel drops undelivered data.
    """

    async def scenario(front: Front) -> None:
        loop = asyncio.get_running_loop()
        client = front.connect()
        await loop.sock_sendall(client, get("/1", "Connection: close\r\n"))
        await front.until(lambda: front.started == ["/1"])
        in_one_iteration(front, client, get("/2"), lambda: front.connections[-1].send_response(200, {}, BODY))
        received, ending = await read_all(client)
        assert received.endswith(BODY) and len(received) - len(BODY) < 200, f"{len(received)} bytes, {ending}"
        assert ending == "closed", "a reset may overtake the response"

    run_scenario(scenario)


def test_an_internal_error_is_answered_and_no_further_request_starts() -> None:
    async def scenario(front: Front) -> None:
        def failing(connection: RequestConnection, message: Message) -> Front:
            connection.owner = front
            raise KeyError("injected")

        front._begin = failing  # type: ignore[method-assign]
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2"))
        received, ending = await read_all(client)
        assert (
            received.startswith(b"HTTP/1.1 500 ") and received.count(b"HTTP/1.1") == 1 and ending == "closed"
        )
        assert front.gone_count == 1

    run_scenario(scenario)


def test_the_disconnect_of_a_client_with_many_pipelined_requests_is_noticed() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        for number in range(MAX_PIPELINED_REQUESTS + 2):
            await asyncio.get_running_loop().sock_sendall(client, get(f"/{number}"))
        await front.until(lambda: front.started == ["/0"])
        connection = front.connections[-1]
        await front.until(lambda: len(connection._pipelined) >= MAX_PIPELINED_REQUESTS)
        connection.check_peer_closed()
        await asyncio.sleep(0)
        assert not front.gone_count
        client.close()
        await asyncio.sleep(0.01)
        connection.check_peer_closed()
        await front.until(lambda: front.gone_count == 1)

    run_scenario(scenario)


def test_a_client_with_unread_input_and_paused_reading_does_not_end_the_sweep() -> None:
    # guards against reading from an asyncio socket object, which has no `recv`: the exception ended the sweep
    async def scenario(front: Front) -> None:
        client = front.connect()
        for number in range(MAX_PIPELINED_REQUESTS + 1):
            await asyncio.get_running_loop().sock_sendall(client, get(f"/{number}"))
        await front.until(lambda: front.started == ["/0"])
        connection = front.connections[-1]
        await front.until(lambda: len(connection._pipelined) >= MAX_PIPELINED_REQUESTS)
        await asyncio.get_running_loop().sock_sendall(client, get("/unread"))
        connection.check_peer_closed()
        await asyncio.sleep(0)
        assert connection.alive and not front.gone_count
        client.close()

        def is_noticed() -> bool:
            connection.check_peer_closed()
            return front.gone_count == 1

        await front.until(is_noticed)

    run_scenario(scenario)


def test_the_time_of_a_request_counts_from_its_last_byte() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2"))
        await front.until(lambda: front.started == ["/1"])
        connection = front.connections[-1]
        first_received_at = connection.request_received_at
        await asyncio.sleep(0.05)
        front.answer()
        await front.until(lambda: front.started == ["/1", "/2"])
        assert (
            connection.request_received_at - first_received_at < 0.04
        ), "the time counts from the start of processing"

    run_scenario(scenario)


def test_a_client_that_never_reads_its_last_response_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pebbledrift.net.request_connection.MAX_FLUSH_S", 0.1)

    async def scenario(front: Front) -> None:
        for close_requested in (True, False):
            client = front.connect()
            extra_headers = "Connection: close\r\n" if close_requested else ""
            await asyncio.get_running_loop().sock_sendall(client, get("/1", extra_headers))
            await front.until(lambda: len(front.open_connections) == 1 and len(front.connections) > 0)
            connection = front.connections.pop()
            connection.send_response(200, {}, BODY)
            if not close_requested:
                connection.close()  # as the sweep does with an idle connection
            await front.until(lambda: not front.open_connections)
            client.close()

    run_scenario(scenario)


def test_input_behind_malformed_input_is_read_up_to_a_limit() -> None:
    async def scenario(front: Front) -> None:
        loop = asyncio.get_running_loop()
        client = front.connect()
        await loop.sock_sendall(client, get("/1") + b"no request\r\n\r\n")
        await front.until(lambda: front.started == ["/1"])
        connection = front.connections[-1]
        send_task = asyncio.create_task(loop.sock_sendall(client, b"x" * 64_000_000))
        await front.until(lambda: connection.transport is not None and not connection.transport.is_reading())
        assert connection.parser.held == 0 and not front.gone_count
        front.answer()
        received, _ = await read_all(client)
        assert received.startswith(b"HTTP/1.1 200 ")
        send_task.cancel()

    run_scenario(scenario)
