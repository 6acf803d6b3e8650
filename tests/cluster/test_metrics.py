"""Tests the metrics of routers and keepers in the text exposition format."""

from __future__ import annotations

import asyncio

import pytest

from pebbledrift.cluster.exposition import Family, Sample, render
from pebbledrift.keeper.exposition import exposition as keeper_exposition
from pebbledrift.router.cuts import CutCause
from pebbledrift.router.exposition import RouterGauges, exposition
from pebbledrift.router.metrics import MAX_NAMES, OTHER, Outcome, RouterMetrics

GAUGES = RouterGauges(ready=True, revision=7, epoch=3, uplinks=3, children=0, clients=12)


def exposition_lines(metrics: RouterMetrics) -> list[str]:
    return exposition(metrics, GAUGES).splitlines()


def test_requests_are_counted_by_route_and_by_tenant() -> None:
    metrics = RouterMetrics()
    metrics.record_outcome("chat", "estate", Outcome.SERVED)
    metrics.record_outcome("chat", "estate", Outcome.SERVED)
    metrics.record_outcome("chat", "", Outcome.REFUSED)
    output = exposition_lines(metrics)
    assert 'pebbledrift_requests_total{route="chat",outcome="served"} 2' in output
    assert 'pebbledrift_requests_total{route="chat",outcome="refused"} 1' in output
    assert 'pebbledrift_tenant_requests_total{tenant="estate",outcome="served"} 2' in output
    assert "pebbledrift_config_revision 7" in output and "pebbledrift_ready 1" in output


def test_answers_that_are_cut_are_counted_by_cause_and_logged_with_their_state(
    caplog: pytest.LogCaptureFixture,
) -> None:
    metrics = RouterMetrics()
    metrics.cuts.record(CutCause.TIME_LIMIT, request="r-1", left_s=0.02)
    metrics.incomplete_events += 1
    output = exposition_lines(metrics)
    assert 'pebbledrift_cut_answers_total{cause="time_limit"} 1' in output
    assert 'pebbledrift_cut_answers_total{cause="shutdown"} 0' in output
    assert "pebbledrift_incomplete_events_total 1" in output
    record = vars(caplog.records[-1])
    assert record["msg"] == "answer cut" and record["cause"] == "time_limit" and record["request"] == "r-1"


def test_exceptions_in_callbacks_are_counted_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    metrics = RouterMetrics()

    def fail() -> None:
        raise ValueError("unforeseen")

    async def scenario() -> None:
        metrics.cuts.count_loop_errors(asyncio.get_running_loop())
        asyncio.get_running_loop().call_soon(fail)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(scenario())
    assert "pebbledrift_callback_errors_total 1" in exposition_lines(metrics)
    assert "unforeseen" in caplog.text


def test_histogram_buckets_include_their_upper_limit() -> None:
    metrics = RouterMetrics()
    for seconds in (0.001, 0.005, 0.3, 99.0):
        metrics.of_route("chat").first.observe(seconds)
    output = exposition_lines(metrics)
    name = "pebbledrift_first_event_seconds"
    assert f'{name}_bucket{{route="chat",le="0.005"}} 2' in output
    assert f'{name}_bucket{{route="chat",le="0.3"}} 3' in output
    assert f'{name}_bucket{{route="chat",le="+Inf"}} 4' in output
    assert f'{name}_count{{route="chat"}} 4' in output


def test_names_are_bounded_and_dropped_when_the_configuration_omits_them() -> None:
    metrics = RouterMetrics()
    for number in range(MAX_NAMES + 50):
        metrics.record_outcome(f"route-{number}", f"tenant-{number}", Outcome.SERVED)
    assert len(metrics.routes) <= MAX_NAMES + 1 and len(metrics.tenants) <= MAX_NAMES + 1
    assert metrics.routes[OTHER].outcomes[Outcome.SERVED] == 50
    metrics.retain({"route-3"}, ["tenant-4"])
    assert set(metrics.routes) == {"route-3", OTHER} and set(metrics.tenants) == {"tenant-4", OTHER}


def test_labels_are_escaped() -> None:
    text = render([Family("x", "gauge", "help", (Sample(1.5, {"name": 'a"b\\c\nd'}),))])
    assert text.splitlines()[-1] == 'x{name="a\\"b\\\\c\\nd"} 1.5'


def test_a_keeper_exposes_its_view_workers_and_quotas() -> None:
    status = {
        "current": True,
        "revision": 4,
        "epoch": 2,
        "members": ["a", "b"],
        "chain": ["a"],
        "routers": {"r": 4},
        "children": 1,
        "instances": {n: {"backend": "lm", "state": s} for n, s in (("a", "ready"), ("b", "draining"))},
        "control": {"connections": 5, "calls": 2, "answers": {"read": {"200": 7}}},
        "unconfirmed": {"read": {"no_answer": 3}},
        "quotas": {"t": {"rate": 5.0, "burst": 1.0, "lent": 2.5, "most": 40.0}},
    }
    output = keeper_exposition(status).splitlines()
    assert "pebbledrift_chain_length 1" in output and "pebbledrift_view_members 2" in output
    assert 'pebbledrift_workers{backend="lm",state="draining"} 1' in output
    assert 'pebbledrift_control_answers_total{call="read",status="200"} 7' in output
    assert "pebbledrift_control_connections 5" in output and "pebbledrift_control_calls 2" in output
    assert 'pebbledrift_unconfirmed_calls_total{call="read",cause="no_answer"} 3' in output
    assert 'pebbledrift_quota_lent{tenant="t"} 2.5' in output
