"""The estimate of how long a request will take."""

from __future__ import annotations

import math

from pebbledrift.router.run_times import MARGIN, SAMPLES, SAMPLES_LEAST, RunTimes


def noted(tokens: float | None, seconds: float, count: int = SAMPLES_LEAST) -> RunTimes:
    times = RunTimes()
    for _ in range(count):
        times.note(tokens, seconds)
    return times


def test_too_little_known_is_no_promise() -> None:
    assert RunTimes().estimate(10.0) == math.inf
    assert noted(10.0, 1.0, SAMPLES_LEAST - 1).estimate(10.0) == math.inf
    assert noted(10.0, 1.0).estimate(10.0) < math.inf


def test_the_estimate_grows_with_the_tokens_and_lies_above_the_slowest() -> None:
    times = noted(100.0, 1.0)
    times.note(100.0, 3.0)
    assert times.estimate(100.0) == MARGIN * 3.0
    assert times.estimate(200.0) == 2 * times.estimate(100.0)


def test_old_times_are_forgotten() -> None:
    times = noted(1.0, 1000.0, 1)
    for _ in range(SAMPLES):
        times.note(1.0, 1.0)
    assert times.estimate(1.0) == MARGIN


def test_requests_that_declare_nothing_are_of_one_length() -> None:
    times = noted(None, 2.0)
    assert times.estimate(None) == times.estimate(0.0) == 2.0 * MARGIN
