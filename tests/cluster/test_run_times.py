"""Tests the upper estimate of a request's run time."""

from __future__ import annotations

import math

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
