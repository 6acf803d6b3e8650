"""The request flow over real connections.

Each attempt is reported exactly once, and an error in one request does not affect other requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, cast

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.control.registry import Instance, parse_heartbeat
from pebbledrift.net.http import Message
from pebbledrift.net.request_connection import RequestConnection
from pebbledrift.router import events
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.cuts import CutCause
from pebbledrift.router.flow import RequestFlow
from pebbledrift.router.metrics import RouterMetrics
from pebbledrift.router.placement import Placement
from pebbledrift.router.retries import RetryBudget
from pebbledrift.router.routes import Route, RoutingTable
from pebbledrift.router.upstream import WorkerConnectionPool
from rig.fleet import example_config
from spoolpier.interface import OutcomeKind
from tests.cluster.flow_harness import RouterState

WAIT_S = 5.0
REQUEST_NAME = "r-1"
RESPONSE_HEAD = (
    f"HTTP/1.1 200 OK\r\nX-Pebbledrift-Request-Id: {REQUEST_NAME}\r\nX-Pebbledrift-Response-Seal: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Recorder:
    """Replaces the placement and the worker pools: records outcomes and makes no decisions."""

    def __init__(self) -> None:
        self.outcomes: list[tuple[int, OutcomeKind]] = []
        self.reported = asyncio.Event()

    def choose(self, prompt_tokens: float | None) -> Recorder:
        return self

    def request_arrived(self, placement: object) -> None:
        """Ignored."""

    def request_ended(self, placement: object) -> None:
        """Ignored."""

    def submit(self, *request: object) -> None:
        """Ignored; the test starts the attempt itself."""

    def attempt_started(self, *attempt: object, streamed: bool) -> None:
        """Ignored."""

    def attempt_ended(
        self, name: str, attempt: int, instance: Instance, kind: OutcomeKind, elapsed_ms: float, done: bool
    ) -> None:
        self.outcomes.append((attempt, kind))
        self.reported.set()

    def client_gone(self, name: str) -> None:
        """Ignored."""

    def remove(self, name: str) -> None:
        self.reported.set()


REVISION = 7


class State(RouterState):
    """A router state in which every worker is in service; none may answer 421."""

    def instance_mismatch(self, instance: Instance) -> None:
        raise AssertionError("unexpected instance mismatch")


class Scenario:
    """A client, a request flow and a worker that follows a script."""

    def __init__(self) -> None:
        self.decisions, self.metrics = Recorder(), RouterMetrics()
        self.worker_disconnected = asyncio.Event()
        self.flow: RequestFlow | None = None
        self.received = b""

    async def run(self, script: Script, then: Callable[[Scenario], Coroutine[Any, Any, None]]) -> None:
        """Sends one client request to the worker, runs `then`, and reads the client's response to its end."""
        loop = asyncio.get_running_loop()
        self.pool = WorkerConnectionPool(Limits(head_bytes=64 * 1024))

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await script(reader, writer)
            await reader.read()
            self.worker_disconnected.set()

        worker = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = worker.sockets[0].getsockname()
        self.instance = parse_heartbeat(
            "i-1", {"backend": "lm", "address": f"{host}:{port}", "state": "ready"}
        )
        front = await loop.create_server(
            lambda: RequestConnection(Limits(), self._begin, lambda: False, set()), "127.0.0.1", 0
        )
        reader, writer = await asyncio.open_connection(*front.sockets[0].getsockname())
        writer.write(
            f"POST /stream/x HTTP/1.1\r\nHost: a\r\nX-Pebbledrift-Request-Id: {REQUEST_NAME}\r\n\r\n".encode()
        )
        async with asyncio.timeout(WAIT_S):
            await then(self)
            try:
                self.received = await reader.read()
            except ConnectionError:
                self.received += b"(reset)"
        writer.close()
        front.close()
        worker.close()
        self.pool.close()

    def _begin(self, client: RequestConnection, message: Message) -> RequestFlow:
        deadline = asyncio.get_running_loop().time() + WAIT_S
        request = Admitted(
            REQUEST_NAME, message, streaming_route(), None, False, deadline, None, None, None, 0.0
        )
        decisions = cast(Any, self.decisions)
        budget = RetryBudget(0.2, 10.0, 60.0)
        self.flow = RequestFlow(request, client, decisions, self.pool, budget, State(REVISION), self.metrics)
        asyncio.get_running_loop().call_soon(self.flow.send, 0, self.instance)
        return self.flow


def streaming_route() -> Route:
    table = RoutingTable(example_config(1))
    return next(route for routes in table.routes.values() for route in routes if route.streaming)


def test_an_oversized_event_breaks_the_attempt_once_and_disconnects_the_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an oversized event being reported as cancelled instead of broken.

    The attempt cancelled its exchange first, which reported the outcome CANCELLED; BROKEN was then ignored.
    """
    monkeypatch.setattr(events, "MAX_EVENT_BYTES", 1000)

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(RESPONSE_HEAD + b"f\r\nid: 1\ndata: 1\n\n\r\n")
        for _ in range(3):
            await asyncio.sleep(0.02)  # so that each part is read separately
            writer.write(b"fa0\r\n" + b"x" * 4000 + b"\r\n")

    async def then(scenario_run: Scenario) -> None:
        await scenario_run.decisions.reported.wait()
        await scenario_run.worker_disconnected.wait()
        assert scenario_run.decisions.outcomes == [(0, OutcomeKind.BROKEN)]
        assert scenario_run.flow is not None
        scenario_run.flow.fail()

    scenario_run = Scenario()
    asyncio.run(scenario_run.run(script, then))
    assert scenario_run.metrics.cuts.by_cause[CutCause.NO_ATTEMPT] == 1


def test_a_failed_request_disconnects_its_worker_at_once() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(RESPONSE_HEAD + b"9\r\ndata: 1\n\n\r\n")

    async def then(scenario_run: Scenario) -> None:
        while scenario_run.flow is None or not scenario_run.flow._head_sent:
            await asyncio.sleep(0.005)
        scenario_run.flow.fail()
        await scenario_run.worker_disconnected.wait()

    scenario_run = Scenario()
    asyncio.run(scenario_run.run(script, then))
    assert scenario_run.decisions.outcomes == [(0, OutcomeKind.CANCELLED)]


def test_an_exception_in_one_request_does_not_affect_the_others(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against one failing request discarding the actions for others.

    One step of the dispatcher returns actions for many requests; an exception in one lost all that followed.
    """

    class StubRequest:
        def __init__(self, failing: bool) -> None:
            self.failing, self.sent, self.failed = failing, 0, 0

        def send(self, attempt: int, instance: Instance) -> None:
            self.sent += 1
            if self.failing:
                raise ValueError("injected")

        def cancel(self, attempt: int) -> None:
            raise AssertionError("unexpected cancel: no attempt is open")

        def refuse(self, retry_after_ms: float) -> None:
            raise AssertionError("unexpected refusal: a worker is available")

        def fail(self) -> None:
            self.failed += 1

    async def scenario() -> None:
        placement = Placement(1, 0, False, 7, first_limit=8.0)
        body = {"backend": "lm", "address": "127.0.0.1:1", "state": "ready", "slots": 8}
        placement.update_instances([parse_heartbeat("i-1", body)])
        requests = [StubRequest(failing=True), StubRequest(failing=False)]
        for number, request in enumerate(requests):
            placement.submit(f"r-{number}", cast(Any, request), streaming_route(), None, 1000.0)
        for _ in range(5):
            await asyncio.sleep(0)
        assert [request.sent for request in requests] == [1, 1]
        assert [request.failed for request in requests] == [1, 0]
        assert "request failed" in caplog.text

    asyncio.run(scenario())
