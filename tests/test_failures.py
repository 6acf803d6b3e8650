"""One test for each failure mode that was found or foreseen; spoolpier's constants name the same ones."""

from __future__ import annotations

from dataclasses import replace

from spoolpier import Dispatcher
from spoolpier import interface as api
from tests.helpers import KEYED, SAFE, UNSAFE, entries, finals, job, outcome, sends, settings, started

SERVED = api.OutcomeKind.SERVED
ERROR = api.OutcomeKind.ERROR
REFUSED = api.OutcomeKind.REFUSED


def test_a_worker_that_fails_fast_is_avoided_and_used_again_later() -> None:
    d = started(4)
    [first] = sends(d.step(10, [job("a")]))
    again = sends(d.step(15, [outcome(first, ERROR)]))
    assert [s.worker for s in again] != [first.worker]
    d.step(20, [outcome(again[0], SERVED, attempt=1)])
    # One failure may be chance: the worker is used again soon, and avoided for longer when it fails again.
    assert first.worker not in {s.worker for s in sends(d.step(100, [job("b")]))}
    d.step(1000, [outcome(api.Send("b", 0), SERVED)])
    for i in range(20):
        for s in sends(d.step(1000 + 10 * i, [job(f"d{i}", key=i)])):
            d.step(1005 + 10 * i, [outcome(s, ERROR if s.worker == first.worker else SERVED, done=True)])
    used = set()
    now = 1250.0
    for i in range(10):
        for s in sends(d.step(now, [job(f"b{i}")])):
            used.add(s.worker)
            d.step(now + 5, [outcome(s, SERVED)])
        now += 50
    assert first.worker not in used
    d.step(4000, [])
    for i in range(40):
        for s in sends(d.step(4000 + 50 * i, [job(f"c{i}", key=i)])):
            used.add(s.worker)
            d.step(4010 + 50 * i, [outcome(s, SERVED)])
    assert first.worker in used


def test_if_every_worker_refuses_sends_are_bounded_and_the_job_is_refused_in_time() -> None:
    d = started(5, max_attempts=6)
    count, now = 0, 10.0
    answers: list[api.Refuse | api.Fail] = []
    actions = d.step(now, [job("a")])
    while not answers and now < 5000:
        sent = sends(actions)
        count += len(sent)
        now += 5
        actions = d.step(now, [outcome(s, REFUSED, attempt=count - 1) for s in sent])
        answers = finals(actions)
    assert isinstance(answers[0], api.Refuse)
    assert count <= 6 and now <= 600


def test_removed_workers_are_sent_no_jobs() -> None:
    d = started(12)
    removed = tuple(api.WorkerEntry(i, state=api.WorkerState.REMOVED) for i in range(1, 5))
    d.step(10, [api.WorkerList(api.ListForm.DELTA, removed)])
    used = {s.worker for i in range(40) for s in sends(d.step(20 + i, [job(f"j{i}", key=i)]))}
    assert used and not used & {1, 2, 3, 4}


def test_a_refusal_outweighs_a_report_of_free_slots() -> None:
    d = started(2)
    [first] = sends(d.step(10, [job("a")]))
    refusal = api.Outcome("a", 0, first.worker, REFUSED, 1.0, False, {"free_slots": 8.0})
    assert [s.worker for s in sends(d.step(15, [refusal]))] == [3 - first.worker]
    assert all(s.worker != first.worker for s in sends(d.step(20, [job("b")])))


def test_a_worker_with_a_reported_queue_is_skipped_after_the_report_is_stale() -> None:
    d = started(2)
    [first] = sends(d.step(10, [job("a")]))
    report = {"free_slots": 0.0, "held": 30.0, "waiting": 20.0}
    d.step(100, [api.Outcome("a", 0, first.worker, SERVED, 90.0, True, report)])
    [second] = sends(d.step(2000, [job("b")]))
    assert second.worker != first.worker


def test_a_clients_retry_is_refused_when_its_aim_has_passed() -> None:
    d = started(0)
    d.step(10, [job("first")])
    d.step(20, [job("again", grace_ms=4000.0)])
    assert [f.job for f in finals(d.step(25, [api.Timer(0)]))] == ["again"]


def test_a_restarted_worker_loses_the_limit_of_its_old_process() -> None:
    d = started(1, cold_ms=5000.0, cold_share=0.3, dispatchers=50, me=7)
    d.step(10_000, [api.WorkerList(api.ListForm.DELTA, (api.WorkerEntry(1, started_ms=10_000.0),))])
    sent = [s for i in range(50) for s in sends(d.step(10_010 + i, [job(f"j{i}", hint_ms=900.0)]))]
    assert len(sent) <= 1


def test_all_dispatchers_together_stay_within_a_cold_workers_budget() -> None:
    work: list[float] = []
    for me in range(20):
        d = Dispatcher(settings(dispatchers=20, me=me, cold_ms=4000.0, cold_share=0.3, fall_multiple=3.0), 1)
        d.step(1.0, [api.WorkerList(api.ListForm.CACHED, entries(1, started_ms=1.0))])
        for i in range(100):
            now = 10.0 + 20 * i
            for s in sends(d.step(now, [job(f"j{i}", hint_ms=50.0)])):
                work.append(now)
                d.step(now + 5, [outcome(s, SERVED)])
    assert work
    for start in work:
        # the smallest possible worker has one slot of speed 1 at the cold share
        assert sum(50.0 for t in work if start <= t < start + 1000) <= 3.0 * 0.3 * 1000


def test_a_failed_subscription_is_repeated_in_time() -> None:
    d = Dispatcher(settings(ask_for_list=True, must_ask_in_ms=1000.0), seed=1)
    actions = d.step(0.0, [api.WorkerList(api.ListForm.CACHED, entries(1))])
    assert any(isinstance(a, api.WatchList) for a in actions)
    actions = d.step(50.0, [api.WorkerList(api.ListForm.FAILED)])
    [wake] = [a for a in actions if isinstance(a, api.Wake)]
    assert wake.at_ms <= 1050
    assert any(isinstance(a, api.WatchList) for a in d.step(wake.at_ms, [api.Timer(0)]))


def test_a_worker_with_an_old_report_is_probed_and_the_job_is_held_meanwhile() -> None:
    d = started(3, may_probe=True)
    actions = d.step(1000, [job("a")])
    probes = [a for a in actions if isinstance(a, api.Probe)]
    assert probes and not sends(actions)
    results: list[api.Event] = [api.ProbeResult(p.worker, True, 1.0, {"free_slots": 4.0}) for p in probes]
    assert len(sends(d.step(1005, results))) == 1


def test_a_started_stream_has_no_deadline() -> None:
    d = started(1)
    [send] = sends(d.step(10, [job("a")]))
    d.step(20, [api.StreamStarted("a", 0, send.worker)])
    assert not finals(d.step(9000, [api.Timer(0)]))


def test_a_hot_key_is_spread_over_several_workers() -> None:
    d = started(30)
    used = set()
    for i in range(300):
        for s in sends(d.step(100 + 10 * i, [job(f"j{i}", key=5 if i % 2 else 100 + i)])):
            used.add(s.worker)
            d.step(105 + 10 * i, [outcome(s, SERVED)])
    assert len(used) >= 10


def test_a_job_given_up_is_refused_at_its_aim_with_a_retry_time() -> None:
    # Guards against holding the job until the client's deadline because of late_worth: the client then
    # did not retry.
    job_class = api.JobClass(aim_ms=400, deadline_ms=5000, late_worth=0.3)
    d = started(0, classes=(job_class,), max_retry_after_ms=2000.0)
    d.step(10, [job("a", hint_ms=None)])
    assert not finals(d.step(400, [api.Timer(0)]))
    assert finals(d.step(411, [api.Timer(0)])) == [api.Refuse("a", 2000.0)]


def test_a_free_slot_reported_without_a_probe_is_filled_at_once() -> None:
    # Guards against a worker that reports a free slot waiting for a held job's next search, up to 160 ms.
    d = started(0, may_probe=True)
    d.step(10, [job("a")])
    d.step(300, [api.WorkerList(api.ListForm.DELTA, entries(1))])
    assert not sends(d.step(301, []))
    report = api.ProbeResult(1, True, 0.0, {"free_slots": 1.0})
    assert [s.job for s in sends(d.step(302, [report]))] == ["a"]


def test_late_starts_lower_a_workers_limit_in_spite_of_its_old_reports() -> None:
    # Guards against reports that are seconds old: they show free slots at a full worker, where jobs then
    # queue past their aim.
    d = started(1, tells_start=True)
    now, out = 10.0, 0
    for i in range(12):
        for s in sends(d.step(now, [job(f"p{i}", key=i, hint_ms=2000.0)])):
            out += 1
            d.step(now + 5, [api.Note(s.job, 0, s.worker, api.Progress.STARTED)])
        now += 10
    limit = d.table.workers[1].limit
    assert 1 < out <= limit + 1 < 12
    d.step(now, [outcome(api.Send("p0", 1), SERVED)])
    d.step(now + 300, [api.ProbeResult(1, True, 1.0, {"free_slots": 9.0})])
    assert d.table.workers[1].limit < limit


def test_on_a_slow_fleet_a_job_is_given_up_before_it_would_end_late() -> None:
    # Guards against late answers on shared machines: other loads take half of the speed, and jobs that are
    # sent just within their aim end after it.
    def given_up_after(elapsed: float) -> float:
        d = started(1)
        now = 0.0
        for i in range(40):
            for s in sends(d.step(now, [job(f"j{i}", hint_ms=300.0)])):
                d.step(now + elapsed, [outcome(s, SERVED)])
            now += elapsed + 50
        d.step(now, [api.WorkerList(api.ListForm.FULL)])
        d.step(now, [job("last", hint_ms=300.0)])
        waited = 0.0
        while not finals(d.step(now + waited, [])):
            waited += 5
        return waited

    assert given_up_after(700.0) < given_up_after(300.0) - 100


def test_on_a_slow_fleet_a_long_job_is_still_tried() -> None:
    # Guards against a pace that uses up all of a long job's slack: jobs with most of the total worth were
    # refused one step after their arrival.
    d = started(1)
    d.table.pace = 4.0
    d.step(10, [api.WorkerList(api.ListForm.FULL)])
    d.step(20, [job("long", hint_ms=2000.0)])
    assert not finals(d.step(300, []))


def test_a_failure_of_one_class_leaves_the_worker_to_other_classes() -> None:
    d = started(3)
    [first] = sends(d.step(10, [job("a")]))
    d.step(15, [outcome(first, ERROR, done=True)])
    # for a moment the key's next job goes to another worker; other classes still use this one
    assert [s.worker for s in sends(d.step(20, [job("b")]))] != [first.worker]
    assert [s.worker for s in sends(d.step(25, [job("c", job_class=2)]))] == [first.worker]


def test_if_most_workers_fail_none_is_avoided() -> None:
    # Guards against a fault that affects all workers: it excluded the whole fleet, and every job was refused.
    d = started(6)
    now, sent = 0.0, 0
    for i in range(60):
        now += 50
        for s in sends(d.step(now, [job(f"a{i}", job_class=2, key=i)])):
            sent += 1
            d.step(now + 5, [outcome(s, ERROR, done=True)])
    assert sent > 40


def test_a_lost_answer_releases_the_slot_and_a_keyed_job_is_sent_again() -> None:
    for job_class in (1, 2):
        anywhere = replace(KEYED, group=api.Group.ALL, window_ms=30_000)
        d = started(2, classes=(SAFE, anywhere, UNSAFE), tells_start=True, progress_ms=1000.0)
        arrival = job("a", job_class=job_class, hint_ms=3000.0)
        [first] = sends(d.step(10, [arrival]))
        d.step(20, [api.Note("a", 0, first.worker, api.Progress.STARTED, 0.0)])
        d.step(1500, [])
        w = d.table.workers[first.worker]
        assert w.own_slots == 1
        # the worker keeps reporting other jobs
        d.step(1700, [api.ProbeResult(first.worker, True, 1.0, None)])
        actions = d.step(2300, [])
        assert w.own_slots == 0
        assert [type(a) for a in actions if isinstance(a, api.Cancel)] == [api.Cancel] * (job_class == 1)
        if job_class == 1:
            again = sends(d.step(2310, [outcome(first, api.OutcomeKind.CANCELLED, done=False)]))
            assert [s.job for s in again] == ["a"]
        else:  # a late note arrives: the attempt counts again, and its end is counted once
            d.step(2310, [api.Note("a", 0, first.worker, api.Progress.SHARE_DONE, 0.5)])
            assert w.own_slots == 1
            d.step(2400, [outcome(first, SERVED)])
            assert w.own_slots == 0


def test_a_worker_that_answers_other_jobs_is_not_avoided_for_a_lost_answer() -> None:
    d = started(1, tells_start=True, progress_ms=1000.0)
    [first] = sends(d.step(10, [job("a", job_class=2)]))
    d.step(20, [api.Note("a", 0, first.worker, api.Progress.STARTED, 0.0)])
    d.step(3000, [api.ProbeResult(first.worker, True, 1.0, None)])
    d.step(4900, [outcome(first, api.OutcomeKind.TIMED_OUT, done=True)])
    assert [s.job for s in sends(d.step(4910, [job("b", job_class=2)]))] == ["b"]
