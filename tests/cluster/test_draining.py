"""A router that ends answers every request that it has read, wherever it waits.

Guards against a loss that a review showed: requests that waited for a worker when their router got SIGTERM
were neither sent nor refused, and their connections were closed without a response just before the end of
the grace period. The same held for requests behind one that a worker ran, and for responses that their
clients had not read yet.
"""

from __future__ import annotations

import asyncio
import http.client
import signal
import socket
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple, cast

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.net.http import Message
from pebbledrift.net.request_connection import RequestConnection, RequestOwner
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.draining import Drain, DrainSchedule
from pebbledrift.router.metrics import Outcome, RouterMetrics
from pebbledrift.router.pending_admission import PendingAdmission
from pebbledrift.router.progress import Progress
from rig.fleet import API_KEY, LONGEST_S, Fleet, example_config, wait_for
from tests.cluster.flow_harness import Client, Exchanged, FlowHarness, route_of_kind, run_flows, settle

WAITING = 4
GRACE_S = 3.0  # `grace-s` of the fleet
ANSWERED_BY_S = 2.0  # after SIGTERM, for a request that no worker has received
TIMEOUT_MS = 12_000  # longer than the grace period
LARGE_BODY = b"x" * 4_000_000  # more than the socket buffers hold
WAIT_S = 5.0


class Answer(NamedTuple):
    """A response, and when it was complete."""

    status: int
    retry_after: str | None
    at: float


def head_of(number: int) -> str:
    return (
        f"POST /plain/x HTTP/1.1\r\nHost: estate.example\r\nAuthorization: Token {API_KEY}\r\n"
        f"X-Pebbledrift-Request-Id: r-{number}\r\nX-Pebbledrift-Deadline-Ms: {TIMEOUT_MS}\r\n"
        "Content-Length: 2\r\n\r\n{}"
    )


def ask(fleet: Fleet, numbers: list[int]) -> list[Answer]:
    """Sends requests on one connection, all at once, and returns their responses."""
    with socket.create_connection((fleet.routers[0], fleet.front), timeout=LONGEST_S) as connection:
        connection.sendall("".join(map(head_of, numbers)).encode())
        answers = []
        stream = connection.makefile("rb")
        for _ in numbers:
            status = int(stream.readline().split()[1])
            headers = http.client.parse_headers(stream)
            stream.read(int(headers.get("Content-Length", "0")))
            answers.append(Answer(status, headers.get("Retry-After"), time.monotonic()))
        return answers


@pytest.mark.xdist_group("processes")
def test_requests_that_wait_in_a_router_that_ends_get_their_responses(tmp_path: Path) -> None:
    # review/5: SIGTERM left requests that waited for a worker without any response
    fleet = Fleet(1, 1, tmp_path, first=245)
    fleet.bounds["grace-s"] = GRACE_S
    config = example_config(1)
    for route in config["routes"]:
        route["timeout-ms"] = route["target-latency-ms"] = TIMEOUT_MS
    try:
        fleet.start_all()
        worker = fleet.add_worker("worker-0")
        worker.work_s = LONGEST_S
        assert fleet.replace(config, 0) == 200
        wait_for(lambda: fleet.ready(0), "the router ready")
        with ThreadPoolExecutor(WAITING + 1) as threads:
            # the second one is read while the worker runs the first
            running: Future[list[Answer]] = threads.submit(ask, fleet, [0, 1])
            wait_for(lambda: len(worker.requests) == 1, "a request at the worker")
            waiting = [threads.submit(ask, fleet, [2 + number]) for number in range(WAITING)]
            wait_for(lambda: f"pebbledrift_client_connections {WAITING + 1}" in fleet.metrics(0), "all read")
            process = fleet.processes[fleet.routers[0]]
            signalled_at = time.monotonic()
            process.send_signal(signal.SIGTERM)
            for future in waiting:
                (answer,) = future.result(LONGEST_S)
                assert answer.status == 503 and answer.retry_after is not None
                assert answer.at - signalled_at < ANSWERED_BY_S, "refused too late to be tried elsewhere"
            at_worker, behind = running.result(LONGEST_S)
            assert at_worker.status == 502, "a status that promises nothing: the worker runs the request"
            assert behind.status == 503
            assert process.wait(LONGEST_S) == 0
            assert time.monotonic() - signalled_at < GRACE_S + 1
        assert len(worker.requests) == 1
    finally:
        fleet.close()


def test_a_request_whose_connection_is_being_opened_is_refused_and_not_sent() -> None:
    async def scenario(harness: FlowHarness) -> None:
        exchanged = Exchanged(harness, "r-1", route_of_kind("unsafe"))
        exchanged.flow.send(0, harness.instance)
        assert exchanged.flow.progress is Progress.CONNECTING
        exchanged.flow.end_for_shutdown()
        await settle()
        assert exchanged.client.status == 503
        assert not harness.worker.receive()

    run_flows(scenario)


def test_a_request_that_a_worker_runs_gets_no_promise_and_one_response() -> None:
    async def scenario(harness: FlowHarness) -> None:
        exchanged = await harness.request("r-1", route_of_kind("unsafe"))
        assert exchanged.flow.progress is Progress.AT_WORKER
        exchanged.flow.end_for_shutdown()
        exchanged.flow.end_for_shutdown()
        assert exchanged.client.status == 502

    run_flows(scenario)


def test_a_request_that_may_not_start_any_more_is_refused_at_its_send() -> None:
    # between two looks of the drain a worker can become free
    async def scenario(harness: FlowHarness) -> None:
        harness.state.starts = False
        exchanged = await harness.request("r-1", route_of_kind("unsafe"))
        assert exchanged.client.status == 503 and exchanged.decisions.done
        assert not harness.pool.workers

    run_flows(scenario)


def test_a_request_that_waits_for_quota_is_refused_and_not_started() -> None:
    class Starter:
        metrics = RouterMetrics()

        def start_flow(self, client: RequestConnection, admitted: Admitted) -> None:
            raise AssertionError("started after its response")

    async def scenario() -> None:
        client, route = Client(), route_of_kind("unsafe")
        message = Message("POST", "/x/1", {}, True, bytearray())
        admitted = Admitted("r-1", message, route, None, False, 1.0, None, None, None, 0.0)
        starter = Starter()
        pending = PendingAdmission(cast(Any, client), admitted, starter)
        assert pending.progress.has_not_run
        pending.end_for_shutdown()
        pending.decide(None)
        assert client.status == 503
        assert starter.metrics.of_route(route.name).outcomes[Outcome.REFUSED] == 1

    asyncio.run(scenario())


class Front:
    """A listener whose requests are answered with a large body, and that is then drained."""

    def __init__(self) -> None:
        self.clients: set[RequestConnection] = set()
        self._draining = False

    def _begin(self, client: RequestConnection, message: Message) -> RequestOwner | None:
        client.send_response(200, {}, LARGE_BODY)
        return None

    async def run(self, scenario: Callable[[Front, socket.socket], Coroutine[Any, Any, None]]) -> None:
        """Opens a connection to the listener for the scenario."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: RequestConnection(Limits(), self._begin, lambda: self._draining, self.clients),
            "127.0.0.1",
            0,
        )
        with socket.create_connection(server.sockets[0].getsockname()) as client:
            client.setblocking(False)
            async with asyncio.timeout(WAIT_S):
                await scenario(self, client)
        server.close()

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits until the condition is true."""
        while not condition():
            await asyncio.sleep(0)

    async def drain(self, answer_s: float, close_s: float) -> asyncio.Task[None]:
        """Waits until requests would be ended, and returns the rest of the shutdown."""
        self._draining = True
        now = asyncio.get_running_loop().time()
        drain = Drain(self.clients, DrainSchedule(now, now + answer_s, now + close_s), lambda _: False)
        await drain.answer_requests()
        return asyncio.create_task(drain.end_requests())


async def read_all(client: socket.socket) -> bytes:
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(client, 65536):
        received += data
    return received


def test_a_response_that_its_client_reads_late_is_flushed_before_the_exit() -> None:
    async def scenario(front: Front, client: socket.socket) -> None:
        client.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await front.until(lambda: any(c.unsent_bytes for c in front.clients))
        rest = await front.drain(0.05, WAIT_S)
        assert (await read_all(client)).endswith(LARGE_BODY)
        await rest

    asyncio.run(Front().run(scenario))


def test_a_response_that_is_never_read_does_not_delay_the_exit() -> None:
    async def scenario(front: Front, client: socket.socket) -> None:
        client.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await front.until(lambda: any(c.unsent_bytes for c in front.clients))
        started_at = time.monotonic()
        await (await front.drain(0.05, 0.2))
        assert time.monotonic() - started_at < WAIT_S / 2

    asyncio.run(Front().run(scenario))


def test_a_request_that_never_arrived_in_full_is_answered_before_the_exit() -> None:
    async def scenario(front: Front, client: socket.socket) -> None:
        client.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
        await front.until(lambda: any(c.receiving for c in front.clients))
        rest = await front.drain(0.05, 1.0)
        assert (await read_all(client)).startswith(b"HTTP/1.1 503 ")
        await rest

    asyncio.run(Front().run(scenario))


def test_the_moments_of_a_shutdown_lie_within_the_grace_period() -> None:
    for grace_s in (0.6, 1.0, 3.0, 8.0, 30.0):
        schedule = DrainSchedule.starting(100.0, grace_s)
        assert 100.0 < schedule.refuse_after <= schedule.answer_at <= schedule.close_at < 100.0 + grace_s
    schedule = DrainSchedule.starting(100.0, 8.0)
    assert schedule.may_start(100.0, 1.0, 130.0)
    assert schedule.may_start(100.0, 50.0, 106.0), "its client stops to wait before"
    assert not schedule.may_start(100.0, 50.0, 130.0)
    assert not schedule.may_start(schedule.refuse_after + 0.01, 0.01, 130.0)
