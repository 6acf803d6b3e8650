"""Tests the upper estimate of a request's run time."""

from __future__ import annotations

import math

from pebbledrift.router.metrics import MAX_NAMES, RouterMetrics
from pebbledrift.router.run_times import MARGIN, MAX_SAMPLES, MIN_SAMPLES, RunTimes


def recorded(tokens: float | None, seconds: float, count: int = MIN_SAMPLES) -> RunTimes:
    times = RunTimes()
    for _ in range(count):
        times.record(tokens, seconds)
    return times


def test_the_estimate_is_infinite_with_too_few_samples() -> None:
    assert RunTimes().estimate(10.0) == math.inf
    assert recorded(10.0, 1.0, MIN_SAMPLES - 1).estimate(10.0) == math.inf
    assert recorded(10.0, 1.0).estimate(10.0) < math.inf


def test_the_estimate_scales_with_the_tokens_and_exceeds_the_slowest_sample() -> None:
    times = recorded(100.0, 1.0)
    times.record(100.0, 3.0)
    assert times.estimate(100.0) == MARGIN * 3.0
    assert times.estimate(200.0) == 2 * times.estimate(100.0)


def test_old_samples_are_dropped() -> None:
    times = recorded(1.0, 1000.0, 1)
    for _ in range(MAX_SAMPLES):
        times.record(1.0, 1.0)
    assert times.estimate(1.0) == MARGIN


def test_requests_without_declared_tokens_count_as_equally_long() -> None:
    times = recorded(None, 2.0)
    assert times.estimate(None) == times.estimate(0.0) == 2.0 * MARGIN


def test_each_route_has_its_own_estimate_however_many_there_are() -> None:
    """Guards against a request of a leaving router that is judged by the run times of other routes."""
    metrics = RouterMetrics()
    names = [f"r-{number}" for number in range(2 * MAX_NAMES)]
    for number, name in enumerate(names):
        metrics.of_route(name)
        for _ in range(MIN_SAMPLES):
            metrics.run_times.of(name).record(None, 1.0 + number)
    for number, name in enumerate(names):
        assert metrics.run_times.of(name).estimate(None) == MARGIN * (1.0 + number)
    metrics.retain({names[-1]}, ())
    assert metrics.run_times.of(names[-1]).estimate(None) == MARGIN * len(names)
    assert metrics.run_times.of(names[0]).estimate(None) == math.inf
