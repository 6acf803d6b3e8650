"""Workers that respond incorrectly in every combination.

Checks which request each response is attributed to, and that no request is sent twice.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, cast

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.control.registry import Instance, parse_heartbeat
from pebbledrift.net.http import Message, request
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.attempt import Attempt
from pebbledrift.router.routes import RoutingTable
from pebbledrift.router.upstream import WorkerConnection, WorkerConnectionPool
from rig.fleet import example_config
from spoolpier.interface import OutcomeKind

WAIT_S = 10.0
ATTEMPT_TIMEOUT_S = 0.3  # an attempt that has not ended by then is cancelled, as by a request's deadline
LARGE_BODY_BYTES = 12 * 1024 * 1024  # more than the socket buffers hold: a part remains in the router
REQUEST_ID = "X-Pebbledrift-Request-Id"


@dataclass
class RequestResult:
    """The result of one request."""

    name: str
    outcome: OutcomeKind | None = None
    body: bytes | None = None
    status: int = 0
    writes: int = 0


class Owner:
    """The request that an attempt is made for."""

    def __init__(self, result: RequestResult, admitted: Admitted, body: bytes) -> None:
        self.result, self.admitted, self._body = result, admitted, body
        self.ended = asyncio.Event()
        self.used_connections: list[WorkerConnection] = []

    def may_write(self, instance: Instance) -> bool:
        return True

    def request_bytes(self, instance: Instance) -> bytes:
        self.result.writes += 1
        return request("POST", "/x", {"Host": "a.example", REQUEST_ID: self.result.name}, self._body)

    def attempt_started(self, attempt: Attempt) -> None:
        """Ignored."""

    def forward_events(self, attempt: Attempt, data: bytes) -> None:
        raise AssertionError("unexpected stream")

    def stream_complete(self, attempt: Attempt) -> None:
        raise AssertionError("unexpected stream")

    def response_complete(self, attempt: Attempt, body: bytes) -> None:
        assert attempt.response is not None
        self.result.body, self.result.status = body, attempt.response.status
        self.ended.set()

    def attempt_failed(self, attempt: Attempt, kind: OutcomeKind) -> None:
        self.result.outcome = kind
        self.ended.set()

    def attempt_cancelled(self, attempt: Attempt) -> None:
        self.result.outcome = OutcomeKind.CANCELLED
        self.ended.set()

    def instance_mismatch(self, instance: Instance) -> None:
        """Ignored."""


def encode_response(
    name: str | None, text: str, status: str = "200 OK", extra_headers: str = "", length: bool = True
) -> bytes:
    """Encodes a response with the body `served {text}`, with or without a request id."""
    body = f"served {text}".encode()
    head = f"HTTP/1.1 {status}\r\nX-Pebbledrift-Response-Seal: s\r\n{extra_headers}"
    if name is not None:
        head += f"{REQUEST_ID}: {name}\r\n"
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


DECLINED = "503 Service Unavailable"
NOT_EXECUTED = "X-Pebbledrift-Not-Executed: full\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


Behaviour = Callable[["Worker", str, asyncio.StreamWriter], Awaitable[None]]


async def complete(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(name, name))


async def responds_twice(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(name, name))
    worker.surplus.append(encode_response(name, f"{name} again"))


async def late_without_id(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(name, name))
    worker.surplus.append(encode_response(None, f"{name} again"))


async def late_refusal_without_id(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(name, name))
    worker.surplus.append(encode_response(None, "nobody", DECLINED, NOT_EXECUTED))


async def late_refusal_of_another(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(name, name))
    worker.surplus.append(encode_response(f"{name}-other", "nobody", DECLINED, NOT_EXECUTED))


async def without_id(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(None, name))


async def of_another(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(f"{name}-other", "another"))


async def declined(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    worker.declined.add(name)
    writer.write(encode_response(name, name, DECLINED, NOT_EXECUTED))


async def in_parts(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    data = encode_response(name, name)
    for start in range(0, len(data), 7):
        writer.write(data[start : start + 7])
        await writer.drain()
        await asyncio.sleep(0)


async def without_length(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(name, name, length=False))
    writer.close()


async def without_length_reset(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(name, name, length=False)[:-3])
    await writer.drain()
    reset(writer)


async def reset_before(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    reset(writer)


async def reset_within(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(name, name)[:-4])
    await writer.drain()
    reset(writer)


async def reset_after(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(encode_response(name, name))
    await writer.drain()
    reset(writer)


BEHAVIOURS = (
    *(
        complete,
        responds_twice,
        late_without_id,
        late_refusal_without_id,
        late_refusal_of_another,
        without_id,
    ),
    *(of_another, declined, in_parts, without_length, without_length_reset),
    *(reset_before, reset_within, reset_after),
)


@dataclass
class Worker:
    """Follows a plan: one behaviour per request, in order of arrival."""

    plan: list[Behaviour]
    responds_early: bool = False  # whether it responds before it reads the body
    reads_body_later: bool = True  # whether it reads the body after that
    received: list[str] = field(default_factory=list)
    declined: set[str] = field(default_factory=set)
    surplus: list[bytes] = field(default_factory=list)  # sent before the next response
    errors: list[str] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._take(head.decode(), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.LimitOverrunError:
            self.errors.append("expected a request head")
            writer.close()

    async def _take(self, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines = head.split("\r\n")
        if lines[0] != "POST /x HTTP/1.1":
            self.errors.append(f"not a request line: {lines[0][:40]!r}")
            raise ConnectionError
        headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        size = int(headers.get("Content-Length", 0))
        name = headers[REQUEST_ID]
        self.received.append(name)
        if not self.responds_early:
            await self._read(reader, size)
        for data in self.surplus:
            writer.write(data)
        self.surplus.clear()
        behaviour = self.plan.pop(0) if self.plan else complete
        await behaviour(self, name, writer)
        if self.responds_early:
            await writer.drain()
            if not self.reads_body_later:
                self.reads_body_later = True
                await asyncio.Event().wait()
            await self._read(reader, size)

    async def _read(self, reader: asyncio.StreamReader, size: int) -> None:
        while size:
            data = await reader.readexactly(min(size, 65536))
            size -= len(data)
            if data.strip(b"x"):
                self.errors.append("unexpected bytes in the body")


def admitted(name: str) -> Admitted:
    table = RoutingTable(example_config(1))
    route = next(route for routes in table.routes.values() for route in routes if not route.streaming)
    message = Message("POST", "/x", {REQUEST_ID.lower(): name}, True)
    return Admitted(name, message, route, None, False, 0.0, None, None, None, 0.0)


async def ask(
    pool: WorkerConnectionPool, address: tuple[str, int], name: str, size: int, timeout_s: float
) -> RequestResult:
    """Makes one attempt, and cancels it after `timeout_s`, as a request does at its deadline."""
    body = {"backend": "s", "address": f"{address[0]}:{address[1]}", "state": "ready"}
    result = RequestResult(name)
    owner = Owner(result, admitted(name), b"x" * size)
    attempt = Attempt(cast(Any, owner), 0, parse_heartbeat("i-1", body), None)
    attempt.begin(pool)
    try:
        async with asyncio.timeout(timeout_s):
            await owner.ended.wait()
    except TimeoutError:
        attempt.cancel()
    return result


async def run_requests(
    worker: Worker, count: int, size: int = 10, timeout_s: float = ATTEMPT_TIMEOUT_S
) -> list[RequestResult]:
    """Sends `count` requests, one after the other."""
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    pool = WorkerConnectionPool(Limits(head_bytes=64 * 1024))
    results = [await ask(pool, address, f"r{number}", size, timeout_s) for number in range(count)]
    pool.close()
    server.close()
    return results


def check(worker: Worker, results: list[RequestResult]) -> None:
    """Each response matches its request, nothing is sent twice, and refusals come from the worker."""
    assert not worker.errors, worker.errors
    assert len(worker.received) == len(set(worker.received)), "a request reached the worker twice"
    for result in results:
        assert result.writes <= 1
        if result.body is not None:
            assert result.body == f"served {result.name}".encode(), f"{result.name} got {result.body!r}"
        if result.outcome == OutcomeKind.REFUSED:
            assert (
                result.name in worker.declined
            ), f"{result.name} was reported as refused, but was not declined"


@pytest.mark.parametrize("first", BEHAVIOURS, ids=lambda behaviour: behaviour.__name__)
def test_each_request_gets_its_own_response_or_none(first: Behaviour) -> None:
    async def scenario() -> None:
        for second, third in itertools.product(BEHAVIOURS, (complete, declined, reset_within)):
            worker = Worker([first, second, third])
            check(worker, await run_requests(worker, 4))

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "behaviour", [complete, declined, in_parts, responds_twice], ids=lambda b: b.__name__
)
def test_a_response_before_the_body_was_read_leaves_the_body_intact(behaviour: Behaviour) -> None:
    """The next request neither waits behind the rest of the body, nor are its bytes read as part of it."""

    async def scenario() -> None:
        worker = Worker([behaviour, complete], responds_early=True)
        results = await run_requests(worker, 2, LARGE_BODY_BYTES, WAIT_S)
        check(worker, results)
        assert results[0].body is not None or results[0].outcome == OutcomeKind.REFUSED
        assert results[1].body == b"served r1"

    asyncio.run(scenario())


def test_a_worker_that_stops_reading_after_its_response_does_not_block_other_requests() -> None:
    async def scenario() -> None:
        worker = Worker([complete, complete], responds_early=True, reads_body_later=False)
        results = await run_requests(worker, 2, LARGE_BODY_BYTES, WAIT_S)
        check(worker, results)
        assert [result.body for result in results] == [b"served r0", b"served r1"]

    asyncio.run(scenario())


def test_a_surplus_refusal_without_an_id_does_not_end_a_running_request() -> None:
    async def scenario() -> None:
        worker = Worker([late_refusal_without_id, complete])
        results = await run_requests(worker, 2, timeout_s=WAIT_S)
        check(worker, results)
        assert [result.body for result in results] == [b"served r0", b"served r1"]

    asyncio.run(scenario())
