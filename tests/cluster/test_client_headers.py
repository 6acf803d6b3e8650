"""What a client may send does not change what the router holds of its workers.

Guards against a failure that a review showed: three requests with `Expect-Version`, which six workers
answered 421 because they hold another version, took all six out of service at that router.
"""

from __future__ import annotations

import pytest

from spoolpier.interface import PROVEN_NOT_RUN, OutcomeKind
from tests.cluster.flow_harness import FlowHarness, head, route_of_kind, run_flows, settle

DECLINED = head("r-1", 421, "X-Pebbledrift-Not-Executed: version", length=0)


@pytest.mark.parametrize(
    ("headers", "outcome", "mismatched"),
    [
        ({"expect_version": "0"}, OutcomeKind.NOT_SENT, []),
        ({}, OutcomeKind.REFUSED, ["i-1"]),
        ({"x_pebbledrift_expect_instance": "i-9"}, OutcomeKind.REFUSED, ["i-1"]),
    ],
)
def test_a_421_to_what_the_client_expects_says_nothing_of_the_worker(
    headers: dict[str, str], outcome: OutcomeKind, mismatched: list[str]
) -> None:
    async def scenario(harness: FlowHarness) -> None:
        exchanged = await harness.request("r-1", route_of_kind("unsafe"), **headers)
        (request,) = harness.worker.receive()
        assert request.headers["x-pebbledrift-expect-instance"] == "i-1", "the router's own, not the client's"
        harness.worker.send(DECLINED)
        await settle()
        assert exchanged.decisions.outcomes == [(0, outcome)] and outcome in PROVEN_NOT_RUN
        assert harness.state.mismatched == mismatched
        exchanged.flow.fail()
        assert exchanged.client.status == 503, "it has not run"

    run_flows(scenario)
