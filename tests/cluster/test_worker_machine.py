"""Drawn sequences of requests, responses and foreign bytes on connections that several requests share.

The worker follows the protocol, and at any moment adds bytes that belong to no request, stops within a
response, or closes. What each client was told is compared with what the worker ran.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from spoolpier.interface import OutcomeKind
from tests.cluster.flow_harness import Exchanged, FlowHarness, Worker, chunk, head, route_of_kind, settle

DECLINED = "X-Pebbledrift-Not-Executed: queue full"
MAX_ATTEMPTS, EVENTS = 3, 3
LATE_REFUSAL = head("r-0", 503, DECLINED, length=0)
FOREIGN = (
    f"HTTP/1.1 503 Service Unavailable\r\n{DECLINED}\r\nContent-Length: 0\r\n\r\n".encode(),
    b"HTTP/1.1 200 OK\r\nX-Pebbledrift-Response-Seal: none\r\nContent-Length: 5\r\n\r\nother",
    LATE_REFUSAL,
)


@dataclass
class WorkerSide:
    """One connection as the worker sees it; it answers one request at a time."""

    worker: Worker
    open_request: str = ""
    resume_after: int = 0
    sent: bytes = b""  # of the response to the open request
    closed: bool = False


@dataclass
class Request:
    """One request of a client, and what became of it at the worker."""

    exchanged: Exchanged
    streaming: bool
    attempts: int = 1
    runs: int = 0
    outcomes_seen: int = 0
    response: bytes = field(default=b"")


def event(request_id: str, number: int) -> bytes:
    """One event of a stream."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


class WorkerConnections(RuleBasedStateMachine):
    """A router's requests at one worker address."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.loop.run_until_complete(self._open())
        self.requests: dict[str, Request] = {}
        self.sides: list[WorkerSide] = []

    async def _open(self) -> None:
        self.harness = FlowHarness()

    def teardown(self) -> None:
        """Closes all connections."""

        async def close() -> None:
            for request in self.requests.values():
                request.exchanged.flow.client_gone()
            self.harness.pool.close()
            await settle()

        self.loop.run_until_complete(close())
        self.loop.close()

    def _settle(self) -> None:
        self.loop.run_until_complete(settle())
        for worker in self.harness.pool.workers[len(self.sides) :]:
            self.sides.append(WorkerSide(worker))
        for side in self.sides:
            for message in [] if side.closed else side.worker.receive():
                name = message.headers["x-pebbledrift-request-id"]
                assert not side.open_request, "a request on a connection that has one"
                side.open_request, side.sent = name, b""
                side.resume_after = int(message.headers.get("last-event-id", "0"))

    def _busy(self) -> list[WorkerSide]:
        return [side for side in self.sides if side.open_request and not side.closed]

    @rule(streaming=st.booleans())
    def client_sends(self, streaming: bool) -> None:
        """A client sends a request, which is sent to the worker at once."""
        name = f"r-{len(self.requests)}"
        route = route_of_kind("streaming" if streaming else "unsafe")
        exchanged = self.loop.run_until_complete(self.harness.request(name, route))
        self.requests[name] = Request(exchanged, streaming)
        self._settle()

    def _begin(self, side: WorkerSide) -> Request:
        """The worker runs the open request."""
        request = self.requests[side.open_request]
        if not side.sent:
            request.runs += 1
        return request

    @precondition(lambda self: self._busy())
    @rule(data=st.data(), share=st.floats(0.0, 1.0))
    def worker_answers(self, data: st.DataObject, share: float) -> None:
        """The worker sends its response up to any byte, or all of it."""
        side = data.draw(st.sampled_from(self._busy()))
        request = self._begin(side)
        name = side.open_request
        if request.streaming:
            numbers = range(side.resume_after + 1, EVENTS + 1)
            whole = head(name) + b"".join(chunk(event(name, n)) for n in numbers) + chunk(b"")
        else:
            body = f"served {name}".encode()
            whole = head(name, length=len(body)) + body
        until = len(whole) if share > 0.6 else max(len(side.sent), int(share * len(whole)))
        side.worker.send(whole[len(side.sent) : until])
        side.sent = whole[:until] or b" "
        if until == len(whole):
            side.open_request = ""
        self._settle()

    @precondition(lambda self: any(not side.sent for side in self._busy()))
    @rule(data=st.data())
    def worker_declines(self, data: st.DataObject) -> None:
        """The worker declines a request that it has not begun to run."""
        side = data.draw(st.sampled_from([side for side in self._busy() if not side.sent]))
        side.worker.send(head(side.open_request, 503, DECLINED, length=0))
        side.open_request = ""
        self._settle()

    @precondition(lambda self: any(not side.closed and not side.sent for side in self.sides))
    @rule(data=st.data(), foreign=st.sampled_from(FOREIGN), share=st.floats(0.0, 1.0), read=st.booleans())
    def worker_adds_bytes(self, data: st.DataObject, foreign: bytes, share: float, read: bool) -> None:
        """The worker sends bytes that belong to no request, outside of a response."""
        sides = [side for side in self.sides if not side.closed and (not side.open_request or not side.sent)]
        if not sides:
            return
        side = data.draw(st.sampled_from(sides))
        if foreign == LATE_REFUSAL and side.open_request == "r-0":
            return  # that would be its response
        side.worker.send(foreign[: max(1, int(share * len(foreign)))])
        if read:
            self._settle()

    @precondition(lambda self: any(not side.closed for side in self.sides))
    @rule(data=st.data())
    def worker_closes(self, data: st.DataObject) -> None:
        """The worker closes a connection, whatever is open on it."""
        side = data.draw(st.sampled_from([side for side in self.sides if not side.closed]))
        if side.open_request:
            self._begin(side)  # it may have run
        side.worker.close()
        side.closed, side.open_request = True, ""
        self._settle()

    @precondition(lambda self: self._repeatable())
    @rule(data=st.data())
    def placement_repeats(self, data: st.DataObject) -> None:
        """The placement starts another attempt where the last one ended and none is ruled out."""
        request = data.draw(st.sampled_from(self._repeatable()))
        request.outcomes_seen = len(request.exchanged.decisions.outcomes)
        request.attempts += 1
        self.loop.run_until_complete(request.exchanged.attempt())
        self._settle()

    def _repeatable(self) -> list[Request]:
        return [
            request
            for request in self.requests.values()
            if request.attempts < MAX_ATTEMPTS
            and not request.exchanged.decisions.done
            and len(request.exchanged.decisions.outcomes) > request.outcomes_seen
            and request.exchanged.client.alive
            and not request.exchanged.client.complete
        ]

    @invariant()
    def what_clients_were_told_is_true(self) -> None:
        """No request that must not repeat ran twice; no client got another's response, or a joined one."""
        for name, request in self.requests.items():
            client, kinds = request.exchanged.client, Counter(request.exchanged.decisions.outcomes)
            assert all(count == 1 for count in kinds.values()), "an attempt ended twice"
            if not request.streaming:
                assert request.runs <= 1, f"{name} ran twice"
                assert client.status in (0, 200, 502), client.status
                if client.status == 200:
                    assert client.body == f"served {name}".encode()
            elif client.body:
                expected = b"".join(event(name, number) for number in range(1, EVENTS + 1))
                assert expected.startswith(client.body), client.body
                assert not client.complete or client.body == expected
            if any(kind is OutcomeKind.REFUSED for _, kind in kinds) and not request.streaming:
                assert request.attempts > 1 or request.runs == 0, f"{name} ran and counts as declined"


WorkerConnections.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
test_shared_worker_connections = WorkerConnections.TestCase
