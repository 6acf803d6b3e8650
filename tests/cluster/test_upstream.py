"""Connections from a router to its workers, against scripted workers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from pebbledrift.bounds import Limits
from pebbledrift.cluster.boot import Address
from pebbledrift.net.http import Message, request
from pebbledrift.router.upstream import Exchange, ExchangeFailure, WorkerConnectionPool

WAIT_S = 10.0
LARGE_BODY_BYTES = 8 * 1024 * 1024
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


def encode_response(body: bytes, name: str = "", length: int | None = None) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body) if length is None else length}\r\n"
    if name:
        head += f"X-Pebbledrift-Request-Id: {name}\r\n"
    return head.encode() + b"\r\n" + body


class StubListener:
    """One request and its result."""

    def __init__(self, name: str = "", allowed: bool = True) -> None:
        self.name, self.allowed = name, allowed
        self.received = bytearray()
        self.failure: ExchangeFailure | None = None
        self.complete = False
        self.ended = asyncio.Event()
        self.body_arrived = asyncio.Event()

    def may_write(self) -> bool:
        return self.allowed

    def request_bytes(self) -> bytes:
        return request("POST", "/x", {"host": "a.example", "x-pebbledrift-request-id": self.name}, b"")

    def head_received(self, message: Message) -> bool:
        return message.headers.get("x-pebbledrift-request-id", self.name) == self.name

    def body_received(self, data: bytes) -> None:
        self.received += data
        self.body_arrived.set()

    def response_received(self) -> None:
        self.complete = True
        self.ended.set()

    def exchange_failed(self, failure: ExchangeFailure) -> None:
        self.failure = failure
        self.ended.set()


class Worker:
    """A server whose connections follow a script, which gets the number of the connection."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0
        self.address: Address = ("127.0.0.1", 0)
        self.writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Worker:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        self.pool = WorkerConnectionPool(Limits(head_bytes=64 * 1024))
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

    async def ask(self, name: str = "", allowed: bool = True) -> StubListener:
        listener = StubListener(name, allowed)
        Exchange(self.pool, self.address, listener).begin()
        async with asyncio.timeout(WAIT_S):
            await listener.ended.wait()
        return listener


def run_scenario(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(scenario())


async def read_request(reader: asyncio.StreamReader) -> None:
    await reader.readuntil(b"\r\n\r\n")


async def serve_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
    while True:
        await read_request(reader)
        writer.write(encode_response(b"from %d" % number))


def test_a_connection_is_reused() -> None:
    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            for _ in range(3):
                listener = await worker.ask()
                assert listener.complete and listener.received == b"from 1"
            assert worker.connections == 1

    run_scenario(scenario)


def test_a_connection_that_the_worker_has_closed_is_not_reused() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(encode_response(b"from %d" % number))
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        async with Worker(script) as worker:
            for number in (1, 2, 3):
                listener = await worker.ask()
                assert listener.complete and listener.received == b"from %d" % number
                await asyncio.wait_for(worker.writers[-1].wait_closed(), WAIT_S)

    run_scenario(scenario)


def test_a_late_second_response_is_discarded() -> None:
    late_response_sent = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(encode_response(b"first", "one"))
        await read_request(reader)
        writer.write(encode_response(b"first again", "one"))
        await writer.drain()
        late_response_sent.set()
        writer.write(encode_response(b"second", "two"))

    async def scenario() -> None:
        async with Worker(script) as worker:
            assert (await worker.ask("one")).received == b"first"
            listener = await worker.ask("two")
            assert listener.complete and listener.received == b"second"
            assert late_response_sent.is_set() and worker.connections == 1

    run_scenario(scenario)


def test_unsolicited_bytes_close_an_idle_connection() -> None:
    sent = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(encode_response(b"from %d" % number))
        if number == 1:
            writer.write(encode_response(b"nobody asked for this"))
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

    run_scenario(scenario)


def test_a_truncated_response_is_not_complete() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(encode_response(b"half", length=8))
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        async with Worker(script) as worker:
            listener = await worker.ask()
            assert (
                not listener.complete
                and listener.failure is ExchangeFailure.BROKEN
                and listener.received == b"half"
            )

    run_scenario(scenario)


def test_a_malformed_response_breaks_the_exchange() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(b"\x00\xff no answer at all\r\n\r\n")
        await reader.read()
        writer.close()

    async def scenario() -> None:
        async with Worker(script) as worker:
            listener = await worker.ask()
            assert not listener.complete and listener.failure is ExchangeFailure.BROKEN

    run_scenario(scenario)


def test_a_request_blocked_at_the_write_leaves_the_connection_usable() -> None:
    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            blocked = await worker.ask(allowed=False)
            assert blocked.failure is ExchangeFailure.NOT_SENT
            assert (await worker.ask()).received == b"from 1"
            assert worker.connections == 1

    run_scenario(scenario)


def test_a_refused_connection_is_reported_as_no_connection() -> None:
    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            worker.server.close()
            await worker.server.wait_closed()
            listener = await worker.ask()
            assert listener.failure is ExchangeFailure.NO_CONNECTION

    run_scenario(scenario)


def test_a_slow_client_pauses_the_worker() -> None:
    drained = asyncio.Event()

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_request(reader)
        writer.write(encode_response(b"x" * LARGE_BODY_BYTES))
        await writer.drain()
        drained.set()

    async def scenario() -> None:
        async with Worker(script) as worker:
            listener = StubListener()
            exchange = Exchange(worker.pool, worker.address, listener)
            exchange.begin()
            await asyncio.wait_for(listener.body_arrived.wait(), WAIT_S)
            exchange.set_reading_paused(True)
            initial = len(listener.received)
            for _ in range(50):
                await asyncio.sleep(0)
            assert len(listener.received) == initial < LARGE_BODY_BYTES and not drained.is_set()
            exchange.set_reading_paused(False)
            await asyncio.wait_for(listener.ended.wait(), WAIT_S)
            assert listener.complete and len(listener.received) == LARGE_BODY_BYTES

    run_scenario(scenario)


def test_a_connection_reused_after_a_slow_client_reads_the_next_response() -> None:
    """Guards against a connection returned to the pool with reading paused.

    This happens when the client reads slowly as the last bytes of a response arrive; the next request on the
    connection then waited forever.
    """

    class Slow(StubListener):
        exchange: Exchange

        def body_received(self, data: bytes) -> None:
            super().body_received(data)
            self.exchange.set_reading_paused(True)

    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            first = Slow()
            first.exchange = Exchange(worker.pool, worker.address, first)
            first.exchange.begin()
            await asyncio.wait_for(first.ended.wait(), WAIT_S)
            first.exchange.set_reading_paused(False)  # the client reads again
            following = await worker.ask()
            assert following.complete and following.received == b"from 1"

    run_scenario(scenario)


def test_acquiring_a_connection_without_a_write_keeps_its_idle_deadline() -> None:
    """Guards against extending the idle period when a connection is acquired but not used.

    The worker closes the connection by its own timer; a request written at that moment may be lost, and one
    that is not idempotent could not be sent again.
    """

    async def scenario() -> None:
        async with Worker(serve_all) as worker:
            assert (await worker.ask()).complete
            connection = worker.pool._idle[worker.address][0]
            initial = connection.idle_until
            await asyncio.sleep(0.01)
            assert (await worker.ask(allowed=False)).failure is ExchangeFailure.NOT_SENT
            assert worker.pool._idle[worker.address] == [connection] and connection.idle_until == initial

    run_scenario(scenario)
