"""Streams that end early at one worker and are continued at another, at every byte offset."""

from __future__ import annotations

import logging
from enum import Enum, auto

import pytest

from pebbledrift.router.cuts import CutCause
from pebbledrift.router.events import EventSplitter
from tests.cluster.flow_harness import (
    Exchanged,
    FlowHarness,
    Worker,
    chunk,
    head,
    route_of_kind,
    run_flows,
    settle,
)

EVENTS = tuple(b"id: %d\ndata: piece %d\n\n" % (number, number) for number in (1, 2, 3))
STREAM = b"".join(EVENTS)


def test_an_attempt_that_ends_within_an_event_is_counted_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    # guards against joined events whose log cannot tell whether the client had been sent the head
    caplog.set_level(logging.INFO)

    async def scenario(harness: FlowHarness) -> None:
        await harness.request("r-1", route_of_kind("streaming"))
        harness.worker.send(head("r-1") + chunk(STREAM[:8]))
        await settle()
        harness.worker.close()
        await settle()
        assert harness.metrics.incomplete_events == 1

    run_flows(scenario)
    record = vars(next(r for r in caplog.records if r.msg == "attempt ended within an event"))
    assert (record["request"], record["buffered_bytes"], record["head_sent"]) == ("r-1", 8, False)


class End(Enum):
    """How the first attempt ends."""

    CLOSED = auto()  # the worker closes the connection
    MALFORMED = auto()  # the worker sends bytes that are no chunk
    TERMINATED = auto()  # the worker ends the body in the middle of an event
    CANCELLED = auto()  # the placement cancels the attempt


async def _end_attempt(exchanged: Exchanged, worker: Worker, end: End) -> None:
    if end is End.CLOSED:
        worker.close()
    elif end is End.MALFORMED:
        worker.send(b"no chunk\r\n")
    elif end is End.TERMINATED:
        worker.send(chunk(b""))
    else:
        await exchanged.cancel()
    await settle()


async def _play_stream(harness: FlowHarness, offset: int, end: End, restarts: bool) -> None:
    """Sends a stream up to `offset`, ends the attempt, and has the next one continue or repeat the stream."""
    exchanged = await harness.request("r-1", route_of_kind("streaming"))
    first = harness.worker
    first.send(head("r-1") + (chunk(STREAM[:offset]) if offset else b""))
    await settle()
    await _end_attempt(exchanged, first, end)
    await exchanged.attempt()
    second = harness.worker
    request = second.receive()[-1]
    forwarded = STREAM[:offset].count(b"\n\n")
    assert request.headers.get("last-event-id") == (str(forwarded) if forwarded else None)
    behind = 0 if restarts else forwarded
    second.send(head("r-1") + chunk(b"".join(EVENTS[behind:])) + chunk(b""))
    await settle()
    assert exchanged.client.complete
    assert exchanged.client.body == STREAM, f"broken off at byte {offset}"


@pytest.mark.parametrize("restarts", [False, True], ids=["continued", "repeated"])
@pytest.mark.parametrize("end", End)
def test_a_stream_that_is_broken_off_at_any_byte_is_not_joined_with_the_next_attempt(
    end: End, restarts: bool
) -> None:
    # guards against half an event of one worker being put before the first event of the next worker
    for offset in range(len(STREAM)):
        at_event_boundary = STREAM[:offset].endswith(b"\n\n") or not offset
        if end is End.TERMINATED and at_event_boundary:
            continue  # that is a complete, shorter stream

        async def scenario(harness: FlowHarness, offset: int = offset) -> None:
            await _play_stream(harness, offset, end, restarts)

        run_flows(scenario)


@pytest.mark.parametrize("end", [End.CLOSED, End.CANCELLED])
def test_a_stream_whose_last_event_has_no_id_is_not_continued(end: End) -> None:
    # guards against the next attempt repeating an event that no worker can be told to skip
    async def scenario(harness: FlowHarness) -> None:
        exchanged = await harness.request("r-1", route_of_kind("streaming"))
        worker = harness.worker
        worker.send(head("r-1") + chunk(EVENTS[0] + b"data: without an id\n\n"))
        await settle()
        await _end_attempt(exchanged, worker, end)
        assert not exchanged.client.alive and not exchanged.client.complete
        assert exchanged.decisions.done
        assert harness.metrics.cuts.by_cause[CutCause.NOT_REPEATABLE] == 1

    run_flows(scenario)


def test_a_comment_without_an_id_does_not_prevent_that_a_stream_is_continued() -> None:
    async def scenario(harness: FlowHarness) -> None:
        exchanged = await harness.request("r-1", route_of_kind("streaming"))
        harness.worker.send(head("r-1") + chunk(EVENTS[0] + b": nothing yet\n\n"))
        await settle()
        harness.worker.close()
        await settle()
        assert exchanged.client.alive and not exchanged.decisions.done

    run_flows(scenario)


def test_an_id_of_thousands_of_digits_does_not_end_in_an_exception() -> None:
    # guards against int() refusing more than 4,300 digits in the middle of the next attempt
    splitter = EventSplitter(resume_after=b"9" * 5000)
    event = b"id: " + b"8" * 5000 + b"\ndata: x\n\n"
    assert splitter.feed(event) == event


def test_a_next_attempt_is_not_read_while_the_client_does_not_read() -> None:
    # guards against a stream that is continued for a slow client being buffered without bound
    async def scenario(harness: FlowHarness) -> None:
        exchanged = await harness.request("r-1", route_of_kind("streaming"))
        harness.worker.send(head("r-1") + chunk(EVENTS[0]))
        await settle()
        exchanged.flow.client_write_paused(True)
        harness.worker.close()
        await exchanged.cancel()
        await exchanged.attempt()
        harness.worker.send(head("r-1") + chunk(EVENTS[1] + EVENTS[2]) + chunk(b""))
        await settle()
        assert exchanged.client.body == EVENTS[0] and not exchanged.client.complete
        exchanged.flow.client_write_paused(False)
        await settle()
        assert exchanged.client.body == STREAM and exchanged.client.complete

    run_flows(scenario)
