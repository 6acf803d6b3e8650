"""Request flows over in-memory connections: a stub client, and workers that a test drives byte by byte.

A worker connection is a socket pair on the real event loop. What a test writes is readable at once, so a
few iterations of the loop (`settle`) deliver it; nothing waits on time.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, cast

from pebbledrift.bounds import Limits
from pebbledrift.cluster.boot import Address
from pebbledrift.control.registry import Instance, parse_heartbeat
from pebbledrift.net.http import Message, Parser
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.flow import RequestFlow
from pebbledrift.router.metrics import RouterMetrics
from pebbledrift.router.retries import RetryBudget
from pebbledrift.router.routes import Route, RoutingTable
from pebbledrift.router.upstream import WorkerConnection, WorkerConnectionPool
from rig.fleet import example_config
from spoolpier.interface import OutcomeKind

TIME_LIMIT_S = 60.0
SETTLE_ITERATIONS = 6
RECEIVE_BYTES = 256 * 1024
UPSTREAM_LIMITS = Limits(head_bytes=64 * 1024)


async def settle() -> None:
    """Lets the event loop deliver everything that was written."""
    for _ in range(SETTLE_ITERATIONS):
        await asyncio.sleep(0)


def route_of_kind(kind: str) -> Route:
    """A route of the example configuration: safe, unsafe or streaming."""
    table = RoutingTable(example_config(1))
    return next(route for routes in table.routes.values() for route in routes if route.kind == kind)


class Worker:
    """The worker's end of one connection."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self.requests: list[Message] = []
        self._parser = Parser(UPSTREAM_LIMITS, request=True)

    def send(self, data: bytes) -> None:
        """Writes bytes to the router; does nothing once the router has closed the connection."""
        with contextlib.suppress(ConnectionError):
            self.socket.sendall(data)

    def receive(self) -> list[Message]:
        """The requests that have arrived since the last call."""
        with contextlib.suppress(BlockingIOError, ConnectionError):
            arrived = list(self._parser.feed(self.socket.recv(RECEIVE_BYTES)))
            self.requests += arrived
            return arrived
        return []

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()


class WorkerPool(WorkerConnectionPool):
    """A connection pool whose connections lead to `workers`, the newest one last."""

    def __init__(self) -> None:
        super().__init__(UPSTREAM_LIMITS)
        self.workers: list[Worker] = []

    async def connect(self, address: Address) -> WorkerConnection:
        """Opens a connection to a new worker."""
        self.opened_count += 1
        router_end, worker_end = socket.socketpair()
        for end in (router_end, worker_end):
            end.setblocking(False)
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: WorkerConnection(self, address, UPSTREAM_LIMITS), sock=router_end
        )
        self.workers.append(Worker(worker_end))
        return connection

    def close(self) -> None:
        """Closes all connections."""
        super().close()
        for worker in self.workers:
            worker.close()


class Client:
    """A stub client: records the response that it is sent."""

    def __init__(self) -> None:
        self.owner: object = None
        self.alive = True
        self.end_reason = ""
        self.status = 0  # 0 before the response's head
        self.headers: Mapping[str, str] = {}
        self.body = b""
        self.complete = False

    def send_response(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        self.send_head(status, headers)
        self.body, self.complete = body, True

    def send_head(self, status: int, headers: Mapping[str, str]) -> None:
        assert not self.status, "a second response"
        self.status, self.headers = status, headers

    def send_chunk(self, data: bytes) -> None:
        assert self.status and not self.complete
        self.body += data

    def finish_chunked(self) -> None:
        self.complete = True

    def abort(self) -> None:
        self.alive = False


class Decisions:
    """Replaces the placement and the worker pools: records outcomes; the test makes the decisions."""

    def __init__(self) -> None:
        self.outcomes: list[tuple[int, OutcomeKind]] = []
        self.done = False  # whether an outcome said that there must be no further attempt

    def choose(self, prompt_tokens: float | None) -> Decisions:
        return self

    def attempt_ended(
        self, name: str, attempt: int, instance: Instance, kind: OutcomeKind, elapsed_ms: float, done: bool
    ) -> None:
        self.outcomes.append((attempt, kind))
        self.done = self.done or done

    def __getattr__(self, name: str) -> Callable[..., None]:
        """All other calls are ignored."""
        return lambda *values, **named_values: None


class RouterState:
    """A router state in which every worker is in service, unless it answered 421."""

    def __init__(self, revision: int = 1) -> None:
        self.mismatched: list[str] = []
        self.starts = True  # whether requests may start
        self._revision = revision

    def may_use(self, instance: Instance) -> bool:
        return True

    def instance_mismatch(self, instance: Instance) -> None:
        self.mismatched.append(instance.id)

    def routers(self) -> int:
        return 1

    def revision(self) -> int:
        return self._revision

    def may_start(self, admitted: Admitted) -> bool:
        return self.starts


class FlowHarness:
    """Request flows of one router that share its connections to one worker address."""

    def __init__(self) -> None:
        self.pool, self.metrics, self.state = WorkerPool(), RouterMetrics(), RouterState()
        body = {"backend": "lm", "address": "127.0.0.1:9", "state": "ready", "slots": 8}
        self.instance = parse_heartbeat("i-1", body)

    @property
    def worker(self) -> Worker:
        """The worker's end of the newest connection."""
        return self.pool.workers[-1]

    async def request(self, request_id: str, route: Route, **headers: str) -> Exchanged:
        """Starts a request, with further headers, and its first attempt."""
        exchanged = Exchanged(self, request_id, route, **headers)
        await exchanged.attempt()
        return exchanged


class Exchanged:
    """One client request: its flow, its client, and the outcomes of its attempts."""

    def __init__(self, harness: FlowHarness, request_id: str, route: Route, **more_headers: str) -> None:
        self.harness, self.client, self.decisions = harness, Client(), Decisions()
        self._attempts = 0
        headers = {"host": "a.example", "x-pebbledrift-request-id": request_id}
        headers |= {name.replace("_", "-"): value for name, value in more_headers.items()}
        message = Message("POST", "/x/1", headers, True, bytearray(b"{}"))
        deadline = asyncio.get_running_loop().time() + TIME_LIMIT_S
        admitted = Admitted(request_id, message, route, None, False, deadline, None, None, None, 0.0)
        placement = cast(Any, self.decisions)
        budget = RetryBudget(0.2, 10.0, 60.0)
        self.flow = RequestFlow(
            admitted,
            cast(Any, self.client),
            placement,
            harness.pool,
            budget,
            harness.state,
            harness.metrics,
        )

    async def attempt(self) -> None:
        """Starts the next attempt."""
        self.flow.send(self._attempts, self.harness.instance)
        self._attempts += 1
        await settle()

    async def cancel(self) -> None:
        """Cancels the present attempt."""
        self.flow.cancel(self._attempts - 1)
        await settle()


def run_flows(scenario: Callable[[FlowHarness], Awaitable[None]]) -> None:
    """Runs a scenario with a new harness."""

    async def run() -> None:
        harness = FlowHarness()
        try:
            await scenario(harness)
        finally:
            harness.pool.close()

    asyncio.run(run())


def head(request_id: str, status: int = 200, *lines: str, length: int | None = None) -> bytes:
    """The head of a worker's response: with a length, or chunked without one."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    fixed = (f"X-Pebbledrift-Request-Id: {request_id}", f"X-Pebbledrift-Response-Seal: {request_id}.seal")
    return "\r\n".join([f"HTTP/1.1 {status} OK", *fixed, *lines, framing, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body; the last one if it is empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)
