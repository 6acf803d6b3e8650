"""One request's life over real connections: each attempt ends once, and no fault of one reaches another."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, cast

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.control.registry import Instance, parse_heartbeat
from pebbledrift.net.http import Message
from pebbledrift.router import events
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.client import ClientConnection
from pebbledrift.router.cuts import CutCause
from pebbledrift.router.flow import RequestFlow
from pebbledrift.router.metrics import RouterMetrics
from pebbledrift.router.placement import Placement
from pebbledrift.router.retries import RetryBudget
from pebbledrift.router.routes import Route, RoutingTable
from pebbledrift.router.upstream import WorkerPool
from rig.fleet import example_config
from spoolpier.interface import OutcomeKind

WAIT_S = 5.0
NAME = "r-1"
HEAD = (
    f"HTTP/1.1 200 OK\r\nX-Pebbledrift-Request-Id: {NAME}\r\nX-Pebbledrift-Response-Seal: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Recorder:
    """In the place of the decisions: notes what it is told, and decides nothing."""

    def __init__(self) -> None:
        self.outcomes: list[tuple[int, OutcomeKind]] = []
        self.told = asyncio.Event()

    def choose(self, prompt_tokens: float | None) -> Recorder:
        return self

    def request_arrived(self, placement: object) -> None:
        """Not counted."""

    def request_ended(self, placement: object) -> None:
        """Not counted."""

    def submit(self, *request: object) -> None:
        """Placed by the test."""

    def attempt_started(self, *attempt: object, streamed: bool) -> None:
        """Not noted."""

    def attempt_ended(
        self, name: str, attempt: int, instance: Instance, kind: OutcomeKind, elapsed_ms: float, done: bool
    ) -> None:
        self.outcomes.append((attempt, kind))
        self.told.set()

    def client_gone(self, name: str) -> None:
        """Not noted."""

    def remove(self, name: str) -> None:
        self.told.set()


class State:
    """The router's state as a request asks for it: all workers are in service."""

    def may_use(self, instance: Instance) -> bool:
        return True

    def mismatch(self, instance: Instance) -> None:
        raise AssertionError("no mismatch here")

    def routers(self) -> int:
        return 1

    def revision(self) -> int:
        return 7


class Play:
    """A client, a flow and a worker that follows a script."""

    def __init__(self) -> None:
        self.decisions, self.metrics = Recorder(), RouterMetrics()
        self.worker_left = asyncio.Event()
        self.flow: RequestFlow | None = None
        self.got = b""

    async def run(self, script: Script, then: Callable[[Play], Coroutine[Any, Any, None]]) -> None:
        """Send one request of a client's to the worker, and go on with what the test does."""
        loop = asyncio.get_running_loop()
        self.pool = WorkerPool(Limits(head_bytes=64 * 1024))

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await script(reader, writer)
            await reader.read()
            self.worker_left.set()

        worker = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = worker.sockets[0].getsockname()
        self.instance = parse_heartbeat(
            "i-1", {"backend": "lm", "address": f"{host}:{port}", "state": "ready"}
        )
        front = await loop.create_server(
            lambda: ClientConnection(Limits(), self._begin, lambda: False, set()), "127.0.0.1", 0
        )
        reader, writer = await asyncio.open_connection(*front.sockets[0].getsockname())
        writer.write(
            f"POST /stream/x HTTP/1.1\r\nHost: a\r\nX-Pebbledrift-Request-Id: {NAME}\r\n\r\n".encode()
        )
        async with asyncio.timeout(WAIT_S):
            await then(self)
            try:
                self.got = await reader.read()
            except ConnectionError:
                self.got += b"(reset)"
        writer.close()
        front.close()
        worker.close()
        self.pool.close()

    def _begin(self, client: ClientConnection, message: Message) -> RequestFlow:
        deadline = asyncio.get_running_loop().time() + WAIT_S
        request = Admitted(NAME, message, streaming_route(), None, False, deadline, None, None, None, 0.0)
        decisions = cast(Any, self.decisions)
        budget = RetryBudget(0.2, 10.0, 60.0)
        self.flow = RequestFlow(request, client, decisions, self.pool, budget, State(), self.metrics)
        asyncio.get_running_loop().call_soon(self.flow.send, 0, self.instance)
        return self.flow


def streaming_route() -> Route:
    table = RoutingTable(example_config(1))
    return next(route for routes in table.routes.values() for route in routes if route.streaming)


def test_an_event_without_an_end_breaks_the_attempt_once_and_tells_its_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was reported as given up by us first; that the worker's answer broke was not heard any more."""
    monkeypatch.setattr(events, "EVENT_MOST", 1000)

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"9\r\ndata: 1\n\n\r\n")
        for _ in range(3):
            await asyncio.sleep(0.02)  # each is read on its own
            writer.write(b"fa0\r\n" + b"x" * 4000 + b"\r\n")

    async def then(play: Play) -> None:
        await play.decisions.told.wait()
        await play.worker_left.wait()
        assert play.decisions.outcomes == [(0, OutcomeKind.BROKEN)]
        assert play.flow is not None
        play.flow.fail()

    play = Play()
    asyncio.run(play.run(script, then))
    assert play.metrics.cuts.by_cause[CutCause.NO_ATTEMPT] == 1


def test_a_request_that_is_given_up_ends_at_its_worker_at_once() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"9\r\ndata: 1\n\n\r\n")

    async def then(play: Play) -> None:
        while play.flow is None or not play.flow._head_sent:
            await asyncio.sleep(0.005)
        play.flow.fail()
        await play.worker_left.wait()

    play = Play()
    asyncio.run(play.run(script, then))
    assert play.decisions.outcomes == [(0, OutcomeKind.CANCELLED)]


def test_a_fault_with_one_request_leaves_the_others_their_decisions(caplog: pytest.LogCaptureFixture) -> None:
    """What the decisions tell in one step is for many requests; all behind the faulty one was lost."""

    class Asking:
        def __init__(self, faulty: bool) -> None:
            self.faulty, self.sent, self.failed = faulty, 0, 0

        def send(self, attempt: int, instance: Instance) -> None:
            self.sent += 1
            if self.faulty:
                raise ValueError("unforeseen")

        def cancel(self, attempt: int) -> None:
            raise AssertionError("nothing is out")

        def refuse(self, retry_after_ms: float) -> None:
            raise AssertionError("there is a worker")

        def fail(self) -> None:
            self.failed += 1

    async def scenario() -> None:
        placement = Placement(1, 0, False, 7, first_limit=8.0)
        body = {"backend": "lm", "address": "127.0.0.1:1", "state": "ready", "slots": 8}
        placement.update_instances([parse_heartbeat("i-1", body)])
        requests = [Asking(faulty=True), Asking(faulty=False)]
        for number, request in enumerate(requests):
            placement.submit(f"r-{number}", cast(Any, request), streaming_route(), None, 1000.0)
        for _ in range(5):
            await asyncio.sleep(0)
        assert [request.sent for request in requests] == [1, 1]
        assert [request.failed for request in requests] == [1, 0]
        assert "request failed" in caplog.text

    asyncio.run(scenario())
