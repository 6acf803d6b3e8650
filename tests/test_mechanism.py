"""How workers are chosen and jobs are held, tested through step() alone."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from spoolpier import interface as api
from tests.helpers import finals, job, outcome, sends, started

SERVED = api.OutcomeKind.SERVED


def test_readme_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})


def test_same_key_goes_to_the_worker_that_ran_it() -> None:
    d = started(20)
    [first] = sends(d.step(10, [job("a")]))
    [second] = sends(d.step(500, [outcome(first, SERVED), job("b")]))
    assert second.worker == first.worker


def test_a_busy_worker_is_skipped_in_the_keys_order() -> None:
    d = started(20)
    [first] = sends(d.step(10, [job("a")]))
    [second] = sends(d.step(15, [job("b")]))
    assert second.worker != first.worker


def test_a_key_keeps_its_worker_when_another_leaves() -> None:
    workers = {}
    for left in (None, 1, 2, 3):
        d = started(20)
        if left:
            d.step(5, [api.WorkerList(api.ListForm.DELTA, (removed(left),))])
        [send] = sends(d.step(10, [job("a", key=77)]))
        workers[left] = send.worker
    base = workers.pop(None)
    assert all(w == base for left, w in workers.items() if left != base)


def removed(worker: int) -> api.WorkerEntry:
    return api.WorkerEntry(worker=worker, state=api.WorkerState.REMOVED)


def test_jobs_are_held_while_no_worker_is_free_and_sent_when_one_is() -> None:
    d = started(1)
    [first] = sends(d.step(10, [job("a")]))
    assert not sends(d.step(15, [job("b")]))
    [second] = sends(d.step(200, [outcome(first, SERVED)]))
    assert second.job == "b"


@pytest.mark.parametrize("hinted", [False, True])
def test_the_held_job_with_the_shorter_run_goes_first(hinted: bool) -> None:
    """The run time is the hint, or without one the key's last time from send to outcome."""
    d = started(1)
    runs = {"long": (1, 900.0), "short": (2, 50.0)}
    for i, (name, (key, elapsed)) in enumerate(runs.items()):
        if not hinted:
            [send] = sends(d.step(10 + 200 * i, [job(f"first {name}", key=key, hint_ms=None)]))
            d.step(110 + 200 * i, [api.Outcome(send.job, 0, 1, SERVED, elapsed, True)])
    filling_jobs = [job(f"busy {i}", key=3) for i in range(4)]
    busy = sends(d.step(2000, filling_jobs))
    held = [job(n, key=k, hint_ms=t if hinted else None) for n, (k, t) in runs.items()]
    assert not sends(d.step(2005, held))
    order = []
    for now in (2010, 2050, 2090, 2130, 2170, 2210, 2250):
        busy = sends(d.step(now, [outcome(s, SERVED) for s in busy]))
        order += [s.job for s in busy]
    assert order.index("short") < order.index("long")


def test_without_workers_a_job_is_refused_in_time() -> None:
    d = started(0)
    actions = d.step(10, [job("a")])
    now = 10.0
    while not finals(actions):
        wake = [a for a in actions if isinstance(a, api.Wake)]
        now = wake[-1].at_ms if wake else now + 5
        actions = d.step(now, [api.Timer(0)])
    assert now <= 10 + 400 + 2 * 100
    assert isinstance(finals(actions)[0], api.Refuse)


def test_errors_name_the_callers_mistake() -> None:
    d = started(2)
    d.step(10, [job("a")])
    with pytest.raises(ValueError, match="twice: a"):
        d.step(11, [job("a")])
    with pytest.raises(ValueError, match="backwards"):
        d.step(5, [])
    with pytest.raises(TypeError, match="str"):
        d.step(12, ["a"])  # type: ignore[list-item]


def test_with_more_jobs_held_than_in_flight_the_overhead_estimate_rises_faster() -> None:
    """In an overload the estimate follows a higher quantile of the overhead.

    A job that may be late is then given up early and does not take a slot from one that is surely in time.
    """

    def overhead_after_late_answer(job_count: int) -> float:
        d = started(1)
        [sent] = sends(d.step(10.0, [job(f"j{i}") for i in range(job_count)]))
        d.step(11.0, [])  # the overload is detected in this step
        d.step(700.0, [outcome(sent, SERVED)])  # late, for a job with a hint of 100 ms
        return d.table.overhead

    assert overhead_after_late_answer(1) < overhead_after_late_answer(8) <= 20.0
