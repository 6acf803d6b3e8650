"""Connections from a router to its workers, against workers that say what a test makes them say."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from pebbledrift.bounds import Limits
from pebbledrift.cluster.boot import Address
from pebbledrift.net.http import Message, request
from pebbledrift.router.upstream import Ending, Exchange, WorkerPool

WAIT_S = 10.0
LARGE = 8 * 1024 * 1024
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


def answer(body: bytes, name: str = "", length: int | None = None) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body) if length is None else length}\r\n"
    if name:
        head += f"X-Pebbledrift-Request-Id: {name}\r\n"
    return head.encode() + b"\r\n" + body


class Asked:
    """One request and what became of it."""

    def __init__(self, name: str = "", allowed: bool = True) -> None:
        self.name, self.allowed = name, allowed
        self.received = bytearray()
        self.ending: Ending | None = None
        self.whole = False
        self.over = asyncio.Event()
        self.news = asyncio.Event()

    def may_write(self) -> bool:
        return self.allowed

    def request_bytes(self) -> bytes:
        return request("POST", "/x", {"host": "a.example", "x-pebbledrift-request-id": self.name}, b"")

    def head(self, message: Message) -> bool:
        return message.headers.get("x-pebbledrift-request-id", self.name) == self.name

    def body(self, data: bytes) -> None:
        self.received += data
        self.news.set()

    def complete(self) -> None:
        self.whole = True
        self.over.set()

    def ended(self, ending: Ending) -> None:
        self.ending = ending
        self.over.set()


class Worker:
    """A server whose connections follow a script; the script gets the number of the connection."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0
        self.address: Address = ("127.0.0.1", 0)
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Worker:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        self.pool = WorkerPool(Limits(head_bytes=64 * 1024))
        return self

    async def __aexit__(self, *error: object) -> None:
        self.pool.close()
        for writer in self.writers:
            writer.close()
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            await self.script(reader, writer, self.connections)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def ask(self, name: str = "", allowed: bool = True) -> Asked:
        asked = Asked(name, allowed)
        Exchange(self.pool, self.address, asked).begin()
        async with asyncio.timeout(WAIT_S):
            await asked.over.wait()
        return asked


def play(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(scenario())


async def read_request(reader: asyncio.StreamReader) -> None:
    await reader.readuntil(b"\r\n\r\n")


async def serve_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    while True:
        await read_request(reader)
        writer.write(answer(b"from %d" % number))


def test_a_connection_is_used_again() -> None:
    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            for _ in range(3):
                asked = await worker.ask()
                assert asked.whole and asked.received == b"from 1"
            assert worker.connections == 1

    play(scenario)


def test_a_connection_that_the_worker_has_forgotten_is_not_used() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(answer(b"from %d" % number))
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        async with Worker(script) as worker:
            for number in (1, 2, 3):
                asked = await worker.ask()
                assert asked.whole and asked.received == b"from %d" % number
                await asyncio.wait_for(worker.writers[-1].wait_closed(), WAIT_S)

    play(scenario)


def test_a_late_second_answer_belongs_to_no_request() -> None:
    late = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(answer(b"first", "one"))
        await read_request(reader)
        writer.write(answer(b"first again", "one"))
        await writer.drain()
        late.set()
        writer.write(answer(b"second", "two"))

    async def scenario() -> None:
        async with Worker(script) as worker:
            assert (await worker.ask("one")).received == b"first"
            asked = await worker.ask("two")
            assert asked.whole and asked.received == b"second"
            assert late.is_set() and worker.connections == 1

    play(scenario)


def test_bytes_on_a_connection_at_rest_end_it() -> None:
    sent = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(answer(b"from %d" % number))
        if number == 1:
            writer.write(answer(b"nobody asked for this"))
            await writer.drain()
            sent.set()
            assert await reader.read() == b""
            writer.close()

    async def scenario() -> None:
        async with Worker(script) as worker:
            assert (await worker.ask()).received == b"from 1"
            await asyncio.wait_for(sent.wait(), WAIT_S)
            await asyncio.wait_for(worker.writers[0].wait_closed(), WAIT_S)
            assert (await worker.ask()).received == b"from 2"

    play(scenario)


def test_an_answer_that_ends_early_is_never_whole() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(answer(b"half", length=8))
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        async with Worker(script) as worker:
            asked = await worker.ask()
            assert not asked.whole and asked.ending is Ending.BROKEN and asked.received == b"half"

    play(scenario)


def test_bytes_that_are_no_answer_break_the_exchange() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(b"\x00\xff no answer at all\r\n\r\n")
        await reader.read()
        writer.close()

    async def scenario() -> None:
        async with Worker(script) as worker:
            asked = await worker.ask()
            assert not asked.whole and asked.ending is Ending.BROKEN

    play(scenario)


def test_what_is_held_back_at_the_write_leaves_the_connection_for_others() -> None:
    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            held = await worker.ask(allowed=False)
            assert held.ending is Ending.NOT_SENT
            assert (await worker.ask()).received == b"from 1"
            assert worker.connections == 1

    play(scenario)


def test_a_refused_connection_proves_that_nothing_was_sent() -> None:
    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            worker.server.close()
            await worker.server.wait_closed()
            asked = await worker.ask()
            assert asked.ending is Ending.NO_CONNECTION

    play(scenario)


def test_a_worker_waits_while_the_client_reads_slowly() -> None:
    drained = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(answer(b"x" * LARGE))
        await writer.drain()
        drained.set()

    async def scenario() -> None:
        async with Worker(script) as worker:
            asked = Asked()
            exchange = Exchange(worker.pool, worker.address, asked)
            exchange.begin()
            await asyncio.wait_for(asked.news.wait(), WAIT_S)
            exchange.hold(True)
            before = len(asked.received)
            for _ in range(50):
                await asyncio.sleep(0)
            assert len(asked.received) == before < LARGE and not drained.is_set()
            exchange.hold(False)
            await asyncio.wait_for(asked.over.wait(), WAIT_S)
            assert asked.whole and len(asked.received) == LARGE

    play(scenario)


def test_a_connection_kept_after_a_slow_client_hears_the_next_answer() -> None:
    """The client reads slowly as the answer's last bytes are taken in; the next request waited for ever."""

    class Slow(Asked):
        exchange: Exchange

        def body(self, data: bytes) -> None:
            super().body(data)
            self.exchange.hold(True)

    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            first = Slow()
            first.exchange = Exchange(worker.pool, worker.address, first)
            first.exchange.begin()
            await asyncio.wait_for(first.over.wait(), WAIT_S)
            first.exchange.hold(False)  # the client reads on
            following = await worker.ask()
            assert following.whole and following.received == b"from 1"

    play(scenario)


def test_a_connection_that_is_taken_in_vain_rests_on_for_the_worker() -> None:
    """Its worker closes it by its own time; a request written then may be lost that may not run twice."""

    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            assert (await worker.ask()).whole
            connection = worker.pool._idle[worker.address][0]
            before = connection.idle_until
            await asyncio.sleep(0.01)
            assert (await worker.ask(allowed=False)).ending is Ending.NOT_SENT
            assert worker.pool._idle[worker.address] == [connection] and connection.idle_until == before

    play(scenario)
