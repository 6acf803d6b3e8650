"""A worker that answers in every bad way, in every order: whose answer is it, how often is a request sent?"""

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
from pebbledrift.router.upstream import WorkerPool
from rig.fleet import example_config
from spoolpier.interface import OutcomeKind

WAIT_S = 10.0
PATIENCE_S = 0.3  # an attempt that has not ended by then is given up, as a request does at its deadline
LARGE = 12 * 1024 * 1024  # more than the sockets between take: a part waits in the router
ID = "X-Pebbledrift-Request-Id"


@dataclass
class Asked:
    """What came of a request."""

    name: str
    outcome: OutcomeKind | None = None
    body: bytes | None = None
    status: int = 0
    writes: int = 0


class Owner:
    """The request that an attempt is made for."""

    def __init__(self, asked: Asked, admitted: Admitted, body: bytes) -> None:
        self.asked, self.admitted, self._body = asked, admitted, body
        self.over = asyncio.Event()

    def may_write(self, instance: Instance) -> bool:
        return True

    def request_bytes(self, instance: Instance) -> bytes:
        self.asked.writes += 1
        return request("POST", "/x", {"Host": "a.example", ID: self.asked.name}, self._body)

    def attempt_started(self, attempt: Attempt) -> None:
        """The whole answer has come."""

    def pass_events(self, attempt: Attempt, data: bytes) -> None:
        raise AssertionError("no stream")

    def stream_complete(self, attempt: Attempt) -> None:
        raise AssertionError("no stream")

    def answer_complete(self, attempt: Attempt, body: bytes) -> None:
        assert attempt.answer is not None
        self.asked.body, self.asked.status = body, attempt.answer.status
        self.over.set()

    def attempt_ended(self, attempt: Attempt, kind: OutcomeKind) -> None:
        self.asked.outcome = kind
        self.over.set()

    def attempt_cancelled(self, attempt: Attempt) -> None:
        self.asked.outcome = OutcomeKind.CANCELLED
        self.over.set()

    def mismatch(self, instance: Instance) -> None:
        """Another worker has the address."""


def answer(name: str | None, told: str, status: str = "200 OK", more: str = "", length: bool = True) -> bytes:
    """An answer that says `told`, with an id or without."""
    body = f"served {told}".encode()
    head = f"HTTP/1.1 {status}\r\nX-Pebbledrift-Response-Seal: s\r\n{more}"
    if name is not None:
        head += f"{ID}: {name}\r\n"
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


DECLINED = "503 Service Unavailable"
NOT_EXECUTED = "X-Pebbledrift-Not-Executed: full\r\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


Behaviour = Callable[["Worker", str, asyncio.StreamWriter], Awaitable[None]]


async def whole(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(name, name))


async def twice(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(name, name))
    worker.surplus.append(answer(name, f"{name} again"))


async def late_without_id(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(name, name))
    worker.surplus.append(answer(None, f"{name} again"))


async def late_refusal_without_id(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(name, name))
    worker.surplus.append(answer(None, "nobody", DECLINED, NOT_EXECUTED))


async def late_refusal_of_another(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(name, name))
    worker.surplus.append(answer(f"{name}-other", "nobody", DECLINED, NOT_EXECUTED))


async def without_id(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(None, name))


async def of_another(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(f"{name}-other", "another"))


async def declined(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    worker.declined.add(name)
    writer.write(answer(name, name, DECLINED, NOT_EXECUTED))


async def in_parts(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    data = answer(name, name)
    for start in range(0, len(data), 7):
        writer.write(data[start : start + 7])
        await writer.drain()
        await asyncio.sleep(0)


async def without_length(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(name, name, length=False))
    writer.close()


async def without_length_reset(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(name, name, length=False)[:-3])
    await writer.drain()
    reset(writer)


async def reset_before(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    reset(writer)


async def reset_within(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(name, name)[:-4])
    await writer.drain()
    reset(writer)


async def reset_after(worker: Worker, name: str, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(name, name))
    await writer.drain()
    reset(writer)


BEHAVIOURS = (
    *(whole, twice, late_without_id, late_refusal_without_id, late_refusal_of_another, without_id),
    *(of_another, declined, in_parts, without_length, without_length_reset),
    *(reset_before, reset_within, reset_after),
)


@dataclass
class Worker:
    """Follows a plan: one behaviour for each request, in the order in which they come."""

    plan: list[Behaviour]
    early: bool = False  # it answers before it reads the body
    reads_on: bool = True  # and reads it then
    received: list[str] = field(default_factory=list)
    declined: set[str] = field(default_factory=set)
    surplus: list[bytes] = field(default_factory=list)  # comes where the next answer is due
    faults: list[str] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await self._take(head.decode(), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        except asyncio.LimitOverrunError:
            self.faults.append("no head where one is due")
            writer.close()

    async def _take(self, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lines = head.split("\r\n")
        if lines[0] != "POST /x HTTP/1.1":
            self.faults.append(f"no request: {lines[0][:40]!r}")
            raise ConnectionError
        headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        size = int(headers.get("Content-Length", 0))
        name = headers[ID]
        self.received.append(name)
        if not self.early:
            await self._read(reader, size)
        for left in self.surplus:
            writer.write(left)
        self.surplus.clear()
        behaviour = self.plan.pop(0) if self.plan else whole
        await behaviour(self, name, writer)
        if self.early:
            await writer.drain()
            if not self.reads_on:
                self.reads_on = True
                await asyncio.Event().wait()
            await self._read(reader, size)

    async def _read(self, reader: asyncio.StreamReader, size: int) -> None:
        while size:
            data = await reader.readexactly(min(size, 65536))
            size -= len(data)
            if data.strip(b"x"):
                self.faults.append("other bytes in the place of a body")


def admitted(name: str) -> Admitted:
    table = RoutingTable(example_config(1))
    route = next(route for routes in table.routes.values() for route in routes if not route.streaming)
    message = Message("POST", "/x", {ID.lower(): name}, True)
    return Admitted(name, message, route, None, False, 0.0, None, None, None, 0.0)


async def ask(pool: WorkerPool, address: tuple[str, int], name: str, size: int, patience_s: float) -> Asked:
    """Make one attempt, and give it up as a request does whose time is over."""
    body = {"backend": "s", "address": f"{address[0]}:{address[1]}", "state": "ready"}
    asked = Asked(name)
    owner = Owner(asked, admitted(name), b"x" * size)
    attempt = Attempt(cast(Any, owner), 0, parse_heartbeat("i-1", body))
    attempt.begin(pool)
    try:
        async with asyncio.timeout(patience_s):
            await owner.over.wait()
    except TimeoutError:
        attempt.cancel()
    return asked


async def play(worker: Worker, count: int, size: int = 10, patience_s: float = PATIENCE_S) -> list[Asked]:
    """Send so many requests, one after the other."""
    server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    pool = WorkerPool(Limits(head_bytes=64 * 1024))
    found = [await ask(pool, address, f"r{number}", size, patience_s) for number in range(count)]
    pool.close()
    server.close()
    return found


def check(worker: Worker, found: list[Asked]) -> None:
    """No answer goes to another request, nothing is sent twice, and a promise is the worker's own."""
    assert not worker.faults, worker.faults
    assert len(worker.received) == len(set(worker.received)), "a request reached the worker twice"
    for asked in found:
        assert asked.writes <= 1
        if asked.body is not None:
            assert asked.body == f"served {asked.name}".encode(), f"{asked.name} got {asked.body!r}"
        if asked.outcome == OutcomeKind.REFUSED:
            assert asked.name in worker.declined, f"{asked.name} was taken as declined"


@pytest.mark.parametrize("first", BEHAVIOURS, ids=lambda behaviour: behaviour.__name__)
def test_whatever_the_answers_each_request_gets_its_own_or_none(first: Behaviour) -> None:
    async def scenario() -> None:
        for second, third in itertools.product(BEHAVIOURS, (whole, declined, reset_within)):
            worker = Worker([first, second, third])
            check(worker, await play(worker, 4))

    asyncio.run(scenario())


@pytest.mark.parametrize("behaviour", [whole, declined, in_parts, twice], ids=lambda b: b.__name__)
def test_an_answer_before_the_body_was_read_leaves_the_body_whole(behaviour: Behaviour) -> None:
    """The next request does not queue behind the rest of it, nor do its bytes get into its place."""

    async def scenario() -> None:
        worker = Worker([behaviour, whole], early=True)
        found = await play(worker, 2, LARGE, WAIT_S)
        check(worker, found)
        assert found[0].body is not None or found[0].outcome == OutcomeKind.REFUSED
        assert found[1].body == b"served r1"

    asyncio.run(scenario())


def test_a_worker_that_answers_and_does_not_read_on_holds_up_no_other_request() -> None:
    async def scenario() -> None:
        worker = Worker([whole, whole], early=True, reads_on=False)
        found = await play(worker, 2, LARGE, WAIT_S)
        check(worker, found)
        assert [asked.body for asked in found] == [b"served r0", b"served r1"]

    asyncio.run(scenario())


def test_a_surplus_refusal_without_an_id_does_not_free_what_runs() -> None:
    async def scenario() -> None:
        worker = Worker([late_refusal_without_id, whole])
        found = await play(worker, 2, patience_s=WAIT_S)
        check(worker, found)
        assert [asked.body for asked in found] == [b"served r0", b"served r1"]

    asyncio.run(scenario())
