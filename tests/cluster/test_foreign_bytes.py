"""Bytes from a worker that belong to no request, at every length and in every state of its connection.

A worker in trouble may send more after a complete response, or only the first bytes of it, at any moment.
"""

from __future__ import annotations

import asyncio
from enum import Enum, auto

import pytest

from pebbledrift.net.http import HttpError, Parser
from spoolpier.interface import OutcomeKind
from tests.cluster.flow_harness import (
    UPSTREAM_LIMITS,
    Exchanged,
    FlowHarness,
    Worker,
    head,
    route_of_kind,
    run_flows,
    settle,
)

DECLINED = "X-Pebbledrift-Not-Executed: queue full"
REFUSAL_WITHOUT_ID = (
    f"HTTP/1.1 503 Service Unavailable\r\n{DECLINED}\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n\r\n"
).encode()
FOREIGN = {
    "refusal without an id": REFUSAL_WITHOUT_ID,
    "refusal of the request before": head("before", 503, DECLINED, length=0),
    "interim response": b"HTTP/1.1 100 Continue\r\nX-Note: none\r\n\r\n",
    "no response": b"\x00\xff no response, nor ever part of one",
    "empty lines": b"\r\n\r\n\r\n",
}
BODY = b"the worker's body"


class Moment(Enum):
    """When the foreign bytes are sent."""

    WITH_THE_END = auto()  # in one write with the end of the response before
    RESTING = auto()  # the connection is idle, and the router reads them
    UNREAD = auto()  # the connection is idle, and they are still in the kernel when it is used again
    HEAD_AWAITED = auto()  # the next request is written, and its worker has not answered
    WITH_THE_HEAD = auto()  # in one write with the response to the next request


BETWEEN_REQUESTS = (Moment.WITH_THE_END, Moment.RESTING, Moment.UNREAD)


def _response(request_id: str) -> bytes:
    return head(request_id, length=len(BODY)) + BODY


async def _next_request(harness: FlowHarness, moment: Moment, foreign: bytes) -> Exchanged:
    """Serves one request, sends the foreign bytes, and serves the next one wherever it arrives."""
    route = route_of_kind("unsafe")
    before = await harness.request("before", route)
    worker = harness.worker
    worker.send(_response("before") + (foreign if moment is Moment.WITH_THE_END else b""))
    await settle()
    assert before.client.body == BODY
    if moment in (Moment.RESTING, Moment.UNREAD):
        worker.send(foreign)
    if moment is Moment.RESTING:
        await settle()
    following = await harness.request("next", route)
    for candidate in harness.pool.workers:
        if any(request.headers["x-pebbledrift-request-id"] == "next" for request in candidate.receive()):
            await _answer(candidate, moment, foreign)
    return following


async def _answer(worker: Worker, moment: Moment, foreign: bytes) -> None:
    if moment is Moment.HEAD_AWAITED:
        worker.send(foreign)
        await settle()
    worker.send((foreign if moment is Moment.WITH_THE_HEAD else b"") + _response("next"))
    await settle()


def _check(following: Exchanged, runs: int, moment: Moment, foreign: bytes) -> None:
    what = f"{moment.name} {foreign!r}"
    assert runs == 1, what
    client = following.client
    # the request has run: nothing may say that it has not, and no other attempt may follow
    assert all(kind is not OutcomeKind.REFUSED for _, kind in following.decisions.outcomes), what
    assert client.status in (200, 502), what
    assert client.body == (BODY if client.status == 200 else b""), what
    begins_a_head = foreign.startswith(b"H") or not foreign.strip()
    if moment in BETWEEN_REQUESTS or begins_a_head:
        assert client.status == 200, what


@pytest.mark.parametrize("moment", Moment)
@pytest.mark.parametrize("name", FOREIGN)
def test_foreign_bytes_of_any_length_do_not_become_part_of_the_next_response(
    name: str, moment: Moment
) -> None:
    # guards against a request that ran being taken for declined, and then run again or answered 503
    async def scenario(_: FlowHarness) -> None:
        for length in range(1, len(FOREIGN[name]) + 1):
            harness = FlowHarness()
            foreign = FOREIGN[name][:length]
            following = await _next_request(harness, moment, foreign)
            requests = [request for worker in harness.pool.workers for request in worker.requests]
            runs = sum(request.headers["x-pebbledrift-request-id"] == "next" for request in requests)
            _check(following, runs, moment, foreign)
            if moment in BETWEEN_REQUESTS:
                assert harness.pool.opened_count == 2, f"used again: {moment.name} {foreign!r}"
            harness.pool.close()
            await asyncio.sleep(0)

    run_flows(scenario)


def test_a_second_attempt_at_the_same_worker_does_not_take_a_late_copy_of_the_first_response() -> None:
    # guards against the doubled refusal of the first attempt being taken for an answer to the second one
    async def scenario(harness: FlowHarness) -> None:
        exchanged = await harness.request("r-1", route_of_kind("unsafe"))
        first = harness.worker
        first.send(head("r-1", 503, DECLINED, length=0))
        await settle()
        assert exchanged.decisions.outcomes == [(0, OutcomeKind.REFUSED)]
        await exchanged.attempt()
        first.send(head("r-1", 503, DECLINED, length=0))
        await settle()
        harness.worker.send(_response("r-1"))
        await settle()
        assert exchanged.decisions.outcomes[1:] == [(1, OutcomeKind.SERVED)]
        assert exchanged.client.body == BODY

    run_flows(scenario)


def test_a_status_line_within_the_first_head_of_a_connection_is_malformed() -> None:
    # guards against two heads read as one where no earlier request explains the first of them
    spliced = REFUSAL_WITHOUT_ID[:60] + _response("next")
    with pytest.raises(HttpError):
        list(Parser(UPSTREAM_LIMITS, request=False, stream=True).feed(spliced))
