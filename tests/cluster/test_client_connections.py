"""Connections of clients: each request that was read gets a whole answer, in order, whatever else comes.

The incident: beside a change of the configuration a client's connection ended within a proper answer, and
nothing told why. It did not come again. These are the ways found in which a connection drops a request that
it has read, or cuts an answer, while client and worker are sound; each was red before its mend.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.net.http import Message
from pebbledrift.router.client import WAITING_MOST, ClientConnection

WAIT_S = 5.0
QUIET_S = 0.1  # a connection that has nothing more to say is believed after so long
BODY = b"x" * 4_000_000  # more than the sockets between take at once


def get(path: str, more: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: estate.example\r\n{more}\r\n".encode()


class Front:
    """A listener whose requests are answered when a test says so."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.connections: list[ClientConnection] = []
        self.gone = 0
        self.closing = False
        self.table: set[ClientConnection] = set()
        self.news = asyncio.Event()

    async def __aenter__(self) -> Front:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._make, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.server.close()
        for connection in list(self.table):
            connection.abort()

    def _make(self) -> ClientConnection:
        return ClientConnection(Limits(), self._begin, lambda: self.closing, self.table)

    def _begin(self, connection: ClientConnection, message: Message) -> Front:
        self.begun.append(message.second)
        self.connections.append(connection)
        self.news.set()
        return self

    def client_gone(self) -> None:
        self.gone += 1
        self.news.set()

    def client_slow(self, paused: bool) -> None:
        """Nothing is held back here."""

    def connect(self) -> socket.socket:
        """A client's connection."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        client.connect(self.server.sockets[0].getsockname())
        client.setblocking(False)
        return client

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until something holds."""
        async with asyncio.timeout(WAIT_S):
            while not condition():
                await asyncio.sleep(0.002)

    def answer(self) -> None:
        """Answer the request that was begun last, with its own path."""
        self.connections[-1].answer(200, {"Path": self.begun[-1]}, b"")


async def read_all(client: socket.socket) -> tuple[bytes, str]:
    """What the client gets until the connection ends or is quiet, and how it ended."""
    loop = asyncio.get_running_loop()
    got = b""
    while True:
        try:
            async with asyncio.timeout(QUIET_S):
                data = await loop.sock_recv(client, 65536)
        except TimeoutError:
            return got, "open"
        except ConnectionError:
            return got, "reset"
        if not data:
            return got, "closed"
        got += data


def play(scenario: Callable[[Front], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        async with Front() as front:
            await scenario(front)

    asyncio.run(run())


def in_one_turn(front: Front, client: socket.socket, data: bytes, what: Callable[[], None]) -> None:
    """Have an event of another connection and bytes of the client come in one turn of the loop."""
    loop = asyncio.get_running_loop()
    ours, theirs = socket.socketpair()

    def come() -> None:
        loop.remove_reader(ours)
        ours.close()
        theirs.close()
        what()

    ours.setblocking(False)
    loop.add_reader(ours, come)
    theirs.send(b"x")
    client.send(data)


def test_a_request_read_in_advance_goes_before_one_that_comes_as_it_is_its_turn() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2"))
        await front.until(lambda: front.begun == ["/1"])
        in_one_turn(front, client, get("/3"), front.answer)
        for count in (2, 3):
            await front.until(lambda count=count: len(front.begun) >= count)  # type: ignore[misc]
            front.answer()
        got, _ = await read_all(client)
        assert front.begun == ["/1", "/2", "/3"]
        assert [line for line in got.split(b"\r\n") if line.startswith(b"Path")] == [
            b"Path: /1",
            b"Path: /2",
            b"Path: /3",
        ]

    play(scenario)


def test_bytes_at_fault_behind_a_request_leave_its_answer_whole() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + b"no request\r\n\r\n")
        await front.until(lambda: front.begun == ["/1"])
        await asyncio.sleep(QUIET_S)
        assert not front.gone, "the request was given up"
        front.answer()
        got, end = await read_all(client)
        assert got.startswith(b"HTTP/1.1 200 ") and b"Path: /1" in got
        assert b"HTTP/1.1 400 " in got and end == "closed"

    play(scenario)


def test_a_connection_is_not_at_rest_while_a_request_waits_to_be_begun() -> None:
    """Connections at rest are closed in a sweep or as the process leaves; the request had been read."""

    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2"))
        await front.until(lambda: front.begun == ["/1"])
        front.answer()
        connection = front.connections[-1]
        assert connection.busy and not connection.resting
        await front.until(lambda: front.begun == ["/1", "/2"])
        front.answer()
        assert connection.resting

    play(scenario)


def test_what_was_read_in_advance_is_answered_while_the_process_leaves() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2") + get("/3"))
        await front.until(lambda: front.begun == ["/1"])
        await asyncio.sleep(0)
        front.closing = True
        for count in (1, 2, 3):
            await front.until(lambda count=count: len(front.begun) == count)  # type: ignore[misc]
            front.answer()
        got, end = await read_all(client)
        assert got.count(b"HTTP/1.1 200 ") == 3 and b"Path: /3" in got
        assert got.count(b"Connection: close") == 1 and b"Connection: close" in got[got.index(b"Path: /3") :]
        assert end == "closed"

    play(scenario)


def test_a_last_answer_is_whole_though_bytes_of_the_client_were_not_read() -> None:
    """A close over unread input resets the connection, and what the kernel has not delivered yet is lost."""

    async def scenario(front: Front) -> None:
        loop = asyncio.get_running_loop()
        client = front.connect()
        await loop.sock_sendall(client, get("/1", "Connection: close\r\n"))
        await front.until(lambda: front.begun == ["/1"])
        in_one_turn(front, client, get("/2"), lambda: front.connections[-1].answer(200, {}, BODY))
        got, end = await read_all(client)
        assert got.endswith(BODY) and len(got) - len(BODY) < 200, f"{len(got)} bytes, {end}"
        assert end == "closed", "a reset may overtake the answer"

    play(scenario)


def test_a_fault_of_ours_is_answered_and_nothing_more_is_begun() -> None:
    async def scenario(front: Front) -> None:
        def failing(connection: ClientConnection, message: Message) -> Front:
            connection.owner = front
            raise KeyError("unforeseen")

        front._begin = failing  # type: ignore[method-assign]
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2"))
        got, end = await read_all(client)
        assert got.startswith(b"HTTP/1.1 500 ") and got.count(b"HTTP/1.1") == 1 and end == "closed"
        assert front.gone == 1

    play(scenario)


def test_a_client_that_has_sent_much_in_advance_and_leaves_is_noticed() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        for number in range(WAITING_MOST + 2):
            await asyncio.get_running_loop().sock_sendall(client, get(f"/{number}"))
        await front.until(lambda: front.begun == ["/0"])
        connection = front.connections[-1]
        await front.until(lambda: len(connection._waiting) >= WAITING_MOST)
        connection.look_for_end()
        await asyncio.sleep(0)
        assert not front.gone
        client.close()
        await asyncio.sleep(0.01)
        connection.look_for_end()
        await front.until(lambda: front.gone == 1)

    play(scenario)


def test_a_request_s_time_counts_from_its_last_byte() -> None:
    async def scenario(front: Front) -> None:
        client = front.connect()
        await asyncio.get_running_loop().sock_sendall(client, get("/1") + get("/2"))
        await front.until(lambda: front.begun == ["/1"])
        connection = front.connections[-1]
        first = connection.arrived
        await asyncio.sleep(0.05)
        front.answer()
        await front.until(lambda: front.begun == ["/1", "/2"])
        assert connection.arrived - first < 0.04, "it counts from when it was begun"

    play(scenario)


def test_a_client_that_never_reads_its_last_answer_does_not_stay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("pebbledrift.router.client.FLUSH_MOST_S", 0.1)

    async def scenario(front: Front) -> None:
        for last in (True, False):
            client = front.connect()
            more = "Connection: close\r\n" if last else ""
            await asyncio.get_running_loop().sock_sendall(client, get("/1", more))
            await front.until(lambda: len(front.table) == 1 and len(front.connections) > 0)
            connection = front.connections.pop()
            connection.answer(200, {}, BODY)
            if not last:
                connection.close()  # as a sweep does with one at rest
            await front.until(lambda: not front.table)
            client.close()

    play(scenario)


def test_what_comes_behind_a_fault_is_not_read_without_end() -> None:
    async def scenario(front: Front) -> None:
        loop = asyncio.get_running_loop()
        client = front.connect()
        await loop.sock_sendall(client, get("/1") + b"no request\r\n\r\n")
        await front.until(lambda: front.begun == ["/1"])
        connection = front.connections[-1]
        sending = asyncio.create_task(loop.sock_sendall(client, b"x" * 64_000_000))
        await front.until(lambda: connection.transport is not None and not connection.transport.is_reading())
        assert connection.parser.held == 0 and not front.gone
        front.answer()
        got, _ = await read_all(client)
        assert got.startswith(b"HTTP/1.1 200 ")
        sending.cancel()

    play(scenario)
