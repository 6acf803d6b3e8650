"""The estimate of how long a request will take."""

from __future__ import annotations

import math

from pebbledrift.router.run_times import MARGIN, SAMPLES, RunTimes


def test_nothing_known_is_no_promise() -> None:
    assert RunTimes().estimate(10.0) == math.inf


def test_the_estimate_grows_with_the_tokens_and_lies_above_nearly_all() -> None:
    times = RunTimes()
    for number in range(1, SAMPLES + 1):
        times.note(100.0, number / 10)
    assert times.estimate(100.0) == MARGIN * 6.1  # 61 of 64 took no longer
    assert times.estimate(200.0) == 2 * times.estimate(100.0)


def test_old_times_are_forgotten() -> None:
    times = RunTimes()
    times.note(1.0, 1000.0)
    for _ in range(SAMPLES):
        times.note(1.0, 1.0)
    assert times.estimate(1.0) == MARGIN


def test_requests_that_declare_nothing_are_of_one_length() -> None:
    times = RunTimes()
    times.note(None, 2.0)
    assert times.estimate(None) == times.estimate(0.0) == 2.0 * MARGIN
