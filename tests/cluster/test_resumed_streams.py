"""Streams that end early at one worker and are continued at another, at every byte offset."""

from __future__ import annotations

import logging

import pytest

from tests.cluster.flow_harness import FlowHarness, chunk, head, route_of_kind, run_flows, settle

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
