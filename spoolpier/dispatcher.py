"""The decisions of a dispatcher: which job goes to which worker and when, and which jobs are refused.

The types of its input and output are in spoolpier/interface.py. The mechanism is CASweighted of Roehm, Boehm
and Schek ("Cache-Aware Query Routing in a Cluster of Databases"); docs/design.md lists what was changed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from spoolpier import interface as api
from spoolpier.constants import (
    EXTRA_WORKERS,
    FOREVER,
    LIMIT_STEP,
    MAX_RETRY_MS,
    NEVER,
    OVERHEAD_QUANTILE,
    RETRY_MS,
    START_LATE_MS,
)
from spoolpier.hashing import top_ranked
from spoolpier.ledger import JobLedger
from spoolpier.signatures import SignatureIndex
from spoolpier.state import Job, Worker
from spoolpier.workers import WorkerTable

MATCH_BENEFIT = 1.0  # benefit of a remembered key; the paper's overlap, all or nothing here
BASE_BENEFIT = 0.2  # benefit of any free worker, so that a job without a match still has a rank
AGING_MS = 400.0  # waiting this long, about one aim, doubles a held job's rank and so prevents starvation
SPILL_SHARE = 0.2  # share of its slack after which a job tries one more worker (with fills known: 4x as many)
SHARE_PRIOR = 50.0  # jobs added to those counted, so that a key's first few do not look like all traffic
OVERLOAD_QUANTILE = 0.85  # for more held jobs than in flight: slots go to jobs surer to be in time
MAX_PACE_SHARE = 0.8  # share of a job's slack that the pace may take: a long job must still find a worker
MAX_OVERHEAD_SHARE = 0.6  # share of a class's aim that the overhead may take: some must still be tried
MAX_PROBES = 2  # workers probed in one search for a free one
PROBE_LOST_MS = 60.0  # a probe without a result after this no longer delays a job
PROBE_ROUNDS = 3  # searches that wait for probes before the first worker known to be free is taken
MAX_FAILED_SEARCHES = 6  # held jobs that may search in vain in one step: bounds the work in an overload
LOST_ANSWER_PERIODS = 1.65  # progress periods without a note after which an attempt's answer may be lost
LOST_ANSWER_CHECK_MS = 250.0  # interval of the search for such attempts
CLOCK_STEP_MS = 20.0  # a larger change of the common clock's offset is a step, not drift
RESUBSCRIBE_SHARE = 0.2  # share of must_ask_in_ms after which a failed subscription is repeated


class Dispatcher:
    """Makes one dispatcher's decisions. step() takes events and returns actions; it does no I/O."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.table = WorkerTable(settings)
        self.signatures = SignatureIndex()
        self.ledger = JobLedger(settings, self.table, self.signatures)
        self.held: dict[str, Job] = {}  # jobs that wait for a free worker, by id
        self.now = NEVER
        self.expiries: list[tuple[float, int, Job]] = []  # heap by the time when a held job is given up
        self.holds = 0  # breaks ties in the heap
        self.wake_at = FOREVER
        self.next_lost_check = NEVER
        self.allowances: dict[int, api.Allowance] = {}  # by limit of all dispatchers
        self.subscribed, self.subscribe_at = False, NEVER if settings.ask_for_list else FOREVER
        self.handlers: dict[type, Callable[[Any], None]] = {
            **dict.fromkeys((api.Timer, api.PeerMessage), lambda event: None),
            **{api.Arrival: self.on_arrival, api.Outcome: self.on_outcome, api.ProbeResult: self.on_probe},
            **{api.Note: self.on_note, api.WorkerList: self.on_list, api.Shares: self.on_shares},
            **{api.ClientGone: self.on_client_gone, api.StreamStarted: self.on_stream},
            **{api.Verdict: self.on_verdict, api.Allowance: self.on_allowance},
            **{api.CommonClock: self.on_clock},
            **{api.ClassAdded: self.on_class_added, api.ClassRemoved: self.on_class_removed},
        }

    def step(self, now_ms: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Process the events of one moment, send held jobs, and return the actions.

        Raises ValueError if the time goes backwards, and TypeError for an unknown event.
        """
        if now_ms < self.now:
            raise ValueError(f"time goes backwards: {now_ms} after {self.now}")
        self.now = now_ms
        self.ledger.actions = []
        for event in events:
            if type(event) not in self.handlers:
                raise TypeError(f"unknown event type: {type(event).__name__}")
            self.handlers[type(event)](event)
        self.wake_at = self.wake_at if self.wake_at > now_ms else FOREVER
        if not self.subscribed and now_ms >= self.subscribe_at:
            self.subscribed = True  # list events count as received unasked (rule 3); repeated after a failure
            self.ledger.actions.append(api.WatchList())
        self.lower_limits_for_late_starts()
        if self.now >= self.next_lost_check and self.settings.tells_start and self.settings.progress_ms > 0:
            self.next_lost_check = self.now + LOST_ANSWER_CHECK_MS
            self.release_lost_attempts()
        self.expire_held_jobs()
        self.send_held_jobs()
        self.schedule_wake()
        return self.ledger.actions

    def suspended_workers(self, now_ms: float) -> set[int]:
        """Return the workers that failed recently and get no job of any class now."""
        return {w.id for w in self.table.workers.values() if w.up and w.suspended_until > now_ms}

    def on_list(self, event: api.WorkerList) -> None:
        """Apply a list event. A failed subscription is repeated later, at a random time."""
        if event.form is api.ListForm.FAILED:
            self.subscribed = False
            wait = self.settings.must_ask_in_ms * RESUBSCRIBE_SHARE
            self.subscribe_at = self.now + wait * self.random.uniform(0.5, 1)
        for w in self.table.take_list(event, self.now):
            self.signatures.forget(w)

    def on_arrival(self, event: api.Arrival) -> None:
        """Accept a job, or give it up at once if a limit is used up."""
        if event.job in self.ledger.jobs:
            raise ValueError(f"job id given twice: {event.job}")
        spec = self.table.classes.specs[event.job_class]
        lost_ms = self.table.classes.lost_grace_ms(event.job_class, event.grace_ms)
        lost_ms += min(self.table.overhead, MAX_OVERHEAD_SHARE * spec.aim_ms)
        hint_ms = event.hint_ms or 0.0
        lost_ms += min(
            (self.table.pace - 1) * hint_ms, MAX_PACE_SHARE * (spec.aim_ms + (spec.aim_stretch - 1) * hint_ms)
        )
        job = Job(event, spec, self.now, self.settings.tick_ms, lost_ms)
        self.ledger.jobs[job.id] = job
        job.worth = self.use_allowances((*event.limits, *(api.RETRY_LIMIT,) * event.repeat))
        if not job.worth:
            self.ledger.give_up(job)
            return
        self.signatures.count(job.key)
        self.hold(job)

    def hold(self, job: Job) -> None:
        """Let a job wait for a worker until waiting is of no more use."""
        job.retry_at, job.retry_ms, job.probe_rounds, job.pending_probes = self.now, RETRY_MS, 0, 0
        self.held[job.id] = job
        self.holds += 1
        heapq.heappush(self.expiries, (job.useful_until, self.holds, job))

    def on_client_gone(self, event: api.ClientGone) -> None:
        """Drop the job of a client that left; the job may have ended in the same batch."""
        self.held.pop(event.job, None)
        if job := self.ledger.jobs.get(event.job):
            self.ledger.finish(job)

    def on_outcome(self, event: api.Outcome) -> None:
        """Handle the end of an attempt: the job is done, is held for another worker, or is given up."""
        if event.kind is api.OutcomeKind.SERVED:
            self.retry_held_jobs()
        job = self.ledger.record_outcome(event, self.now)
        if job is None or job.has_open_attempt:
            return
        retry = not job.possible_runs or job.spec.effect is not api.Effect.UNSAFE
        retry &= self.now < job.useful_until and job.attempts < self.ledger.max_attempts(job)
        retry &= not 0 < job.spec.max_runs <= len(job.possible_runs)
        if retry and self.use_allowances((api.RETRY_LIMIT,)):
            self.hold(job)
        else:
            self.ledger.give_up(job)

    def retry_held_jobs(self) -> None:
        """Let all held jobs compete by rank for a slot that became free, whenever their next retry is."""
        for job in self.held.values():
            if not job.pending_probes:
                job.retry_at = self.now

    def on_note(self, event: api.Note) -> None:
        """Handle a note that an attempt started or makes progress."""
        if a := self.ledger.in_flight.get((event.job, event.attempt)):
            a.last_received_at = a.worker.last_received_at = self.now
            self.table.set_presumed_lost(a, False)
        if a is not None and not a.started:
            a.started, a.started_at = True, self.now
            self.table.record_late_start(a, self.now)
            at_limit = a.worker.own_slots + a.worker.other_slots > a.worker.limit - 1
            # only a worker that is filled to its limit shows whether it could take more
            if at_limit and self.now - a.sent_at <= START_LATE_MS:
                a.worker.limit += 1 / a.worker.limit

    def lower_limits_for_late_starts(self) -> None:
        """Lower the limits of workers with jobs that are late to start, before the start is reported."""
        unstarted = self.ledger.unstarted
        while unstarted and (unstarted[0].started or self.now - unstarted[0].sent_at > START_LATE_MS):
            a = unstarted.popleft()
            if not a.started and a.open and self.settings.tells_start:
                a.worker.limit = max(1.0, a.worker.limit - LIMIT_STEP)

    def release_lost_attempts(self) -> None:
        """Release the slots of attempts that started, stopped reporting progress, and whose worker is alive.

        Each would count against its worker until the client's time is up. A worker that has reported nothing
        since is probed; a keyed job is sent again within its group, which drops it if it has already run.
        """
        due = self.now - LOST_ANSWER_PERIODS * self.settings.progress_ms
        for a in list(self.ledger.in_flight.values()):
            if a.presumed_lost or not a.started or a.last_received_at > due:
                continue
            w = a.worker
            if w.last_received_at > a.last_received_at + self.settings.progress_ms:
                self.table.set_presumed_lost(a, True)
                if a.job.spec.effect is not api.Effect.UNSAFE and self.settings.may_cancel:
                    a.job.useful_until = a.job.expires_at  # a late answer is better than none
                    self.ledger.actions.append(api.Cancel(a.job.id, a.number))
            elif self.settings.may_probe and self.now - w.probe_sent_at > PROBE_LOST_MS and w.up:
                w.probe_sent_at = self.now
                self.ledger.actions.append(api.Probe(w.id))

    def on_stream(self, event: api.StreamStarted) -> None:
        """Handle the start of a streamed answer: no deadline applies to the job any more."""
        if a := self.ledger.in_flight.get((event.job, event.attempt)):
            a.started = True
            a.job.expires_at = a.job.useful_until = FOREVER

    def on_probe(self, event: api.ProbeResult) -> None:
        """Handle a worker's load report, or the failure to get one."""
        if (w := self.table.workers.get(event.worker)) is None:
            return
        probed, w.probe_sent_at = w.probe_sent_at > NEVER, NEVER
        if event.ok:
            w.last_received_at, w.unreached = self.now, 0
            self.table.take_report(w, event.report, self.now)
            if not probed and w.free_slots >= 1:
                self.retry_held_jobs()  # the worker reported a free slot without being probed
        else:
            self.table.suspend(w, self.now)
        for job in w.waiting_jobs:
            job.pending_probes -= 1
            if job.pending_probes <= 0:
                job.retry_at = min(job.retry_at, self.now)
        w.waiting_jobs.clear()

    def on_shares(self, event: api.Shares) -> None:
        """Update the slots that other dispatchers occupy and the spent part of cold workers' budgets."""
        if event.fleet and not self.table.fills_known:
            self.table.fills_known, self.table.parts = True, self.settings.parts
            self.table.clear_orders()
            for worker in self.table.workers.values():
                worker.limit = max(worker.limit, worker.listed_slots)
        if event.indexes is not None:
            self.table.indexes, self.table.guard_ms, self.table.time_slice = event.indexes, event.guard_ms, -1
        for share in event.shares:
            w = self.table.workers.get(share.worker)
            if w is not None:
                w.other_slots = share.slots
                if share.time_slice >= w.cold_time_slice:
                    spent = w.cold_work_spent if share.time_slice == w.cold_time_slice else 0.0
                    w.cold_time_slice, w.cold_work_spent = share.time_slice, max(spent, share.spent)

    def on_clock(self, event: api.CommonClock) -> None:
        """Update the offset of the common clock, which drifts or was stepped."""
        table = self.table
        if abs(event.ahead_ms - table.ahead_ms) > CLOCK_STEP_MS:
            # after a step, the budget spent in an old time slice could be spent again in a new one
            table.no_time_slice_before, table.time_slice = self.now + 2 * self.settings.fall_ms, -1
        table.ahead_ms = event.ahead_ms

    def on_class_added(self, event: api.ClassAdded) -> None:
        """Add a job class. Raises ValueError if its number is taken."""
        self.table.classes.add(event.number, event.job_class)

    def on_class_removed(self, event: api.ClassRemoved) -> None:
        """Forget a job class, and what was learned of it."""
        self.table.forget_class(event.number)

    def on_verdict(self, event: api.Verdict) -> None:
        """Apply the common verdict on a worker. A worker that is readmitted counts as new."""
        key, w = (event.worker, event.job_class), self.table.workers.get(event.worker)
        if w is not None and key in self.table.excluded and not event.excluded:
            w.limit, w.suspended_until = 1.0, NEVER
            w.failed_until.pop(event.job_class, None)
            self.retry_held_jobs()
        (self.table.excluded.add if event.excluded else self.table.excluded.discard)(key)
        self.table.ranks = {k: rank for k, rank in {**self.table.ranks, key: event.rank}.items() if rank}

    def on_allowance(self, event: api.Allowance) -> None:
        """Replace the allowance of a limit of all dispatchers."""
        self.allowances[event.limit] = event

    def use_allowances(self, limits: tuple[int, ...]) -> float:
        """Count a job against limits and return its worth; 0: it isn't counted and has to be refused."""
        allowances = [a for limit in limits if (a := self.allowances.get(limit))]
        used_up = [a.worth for a in allowances if a.jobs < 1]
        if 0.0 not in used_up:
            self.allowances.update({a.limit: replace(a, jobs=a.jobs - 1) for a in allowances})
        return min(used_up, default=1.0)

    def expire_held_jobs(self) -> None:
        """Give up held jobs that can no longer be answered in time and would only delay others."""
        while self.expiries and self.expiries[0][0] <= self.now:
            job = heapq.heappop(self.expiries)[2]
            if job.id in self.held and self.now >= job.useful_until:
                self.held.pop(job.id, None)
                self.ledger.give_up(job)

    def send_held_jobs(self) -> None:
        """Send held jobs to free workers, the highest rank first."""
        overload = len(self.held) > len(self.ledger.in_flight) and not self.table.classes.late_worth
        failed, self.table.quantile = 0, OVERLOAD_QUANTILE if overload else OVERHEAD_QUANTILE
        for job in self.due_jobs():
            if failed >= MAX_FAILED_SEARCHES:
                job.retry_at = self.now + RETRY_MS / 2
            elif w := self.choose_worker(job):
                self.held.pop(job.id, None)
                self.ledger.send(job, w, self.now)
            else:
                failed += 1
                job.retry_at = self.now + (PROBE_LOST_MS if job.pending_probes else job.retry_ms)
                if not job.pending_probes:
                    job.retry_ms, job.probe_rounds = min(2 * job.retry_ms, MAX_RETRY_MS), 0

    def due_jobs(self) -> list[Job]:
        """Return the held jobs that may search for a worker now, by falling rank."""
        jobs = (j for j in self.held.values() if j.retry_at <= self.now)
        return sorted(jobs, key=self.rank, reverse=True)

    def rank(self, job: Job) -> float:
        """Benefit over the run time (hint, else the key's last time, else 1 s), raised with the job's age."""
        seconds = job.hint_ms / 1000 if job.hint_ms is not None else self.signatures.seconds.get(job.key, 1.0)
        benefit = job.worth * (BASE_BENEFIT + MATCH_BENEFIT * (job.key in self.signatures.workers))
        return benefit / max(seconds, 0.001) * (1 + (self.now - job.arrived_at) / AGING_MS)

    def choose_worker(self, job: Job) -> Worker | None:
        """Return the best free worker, ties in rendezvous order; probes workers with old reports."""
        table, now, may_probe = self.table, self.now, self.settings.may_probe
        # one of many dispatchers sees few jobs, and a hot key overloads its homes before it is recognised
        prior = 0.0 if table.fills_unreported else SHARE_PRIOR
        homes = table.home_count(self.signatures.share(job.key, prior), job)
        matches = list(self.signatures.workers.get(job.key, {}).values())
        if len(matches) > 1:
            matches = top_ranked(matches, job.hash if homes == 1 else job.hash ^ table.salt, len(matches))
        bound_to_group = job.possible_runs and job.spec.effect is api.Effect.KEYED
        order = table.group_order(job) if bound_to_group else table.order(job, homes)
        kind, slots, excluded_workers = job.spec.kind, job.slots, job.excluded_workers
        oldest = now - table.trust_ms
        job.pending_probes = 0
        # other workers have to fetch the key's data: more of them are tried only as the slack runs out
        ignore_failures = table.majority_failing(job, now)
        spill = int((now - job.arrived_at) / (SPILL_SHARE * job.slack_ms))
        if table.fills_unreported:
            order = [w for w in order if now >= w.full_until]
        order = order[
            : homes + EXTRA_WORKERS << 2 * min(spill, 3)
            if table.fills_known
            else homes + EXTRA_WORKERS + spill
        ]
        if table.fills_known and not job.possible_runs:
            order = order + table.eligible_cold_workers(now)
        candidates = [*matches, *order]
        if table.ranks:
            first = {w for (w, c), rank in table.ranks.items() if rank < 0 and c == job.job_class}
            candidates += [w for w in table.workers.values() if w.up and w.id in first]
            candidates.sort(key=lambda w: table.ranks.get((w.id, job.job_class), 0))
        for w in candidates:
            avoided = not ignore_failures and now < w.failed_until.get(job.job_class, NEVER)
            avoided |= (w.id, job.job_class) in table.excluded or now < max(w.suspended_until, w.full_until)
            if avoided or w.id in excluded_workers or kind not in (-1, w.kind):
                continue
            if self.settings.tells_start:
                # under load a report is seconds old, while late starts reveal a full worker at once
                free = FOREVER if w.own_slots + w.other_slots + slots <= max(w.limit, slots) else 0.0
            elif w.reported_at >= oldest:
                free = w.free_slots - w.unreported_slots
            elif may_probe:
                if job.probe_rounds >= PROBE_ROUNDS:
                    continue  # the job has waited for enough probes
                if now - w.probe_sent_at > PROBE_LOST_MS:
                    w.probe_sent_at = now
                    self.ledger.actions.append(api.Probe(w.id))
                w.waiting_jobs.append(job)
                job.pending_probes += 1
                if job.pending_probes >= MAX_PROBES:
                    break
                continue
            else:
                free = FOREVER if w.own_attempts + w.other_slots < int(w.limit) else 0.0
            no_memory = w.free_memory is not None and job.memory is not None and w.free_memory < job.memory
            if free < slots or no_memory or (job.possible_runs and not self.ledger.may_send(job, w, now)):
                continue
            if w.started_ms and table.cold_budget(w, now) < job.work:
                continue
            if job.pending_probes:
                break  # a worker that suits the key better was probed and will report shortly
            return w
        if job.pending_probes:
            job.probe_rounds += 1
        return None

    def schedule_wake(self) -> None:
        """Request the next wake-up, unless an earlier or similar one is pending."""
        at = min((j.retry_at for j in self.held.values()), default=FOREVER)
        at = min(at, *(e[0] for e in self.expiries[:1]), FOREVER if self.subscribed else self.subscribe_at)
        if self.ledger.in_flight and self.settings.tells_start and self.settings.progress_ms > 0:
            at = min(at, self.next_lost_check)
        at = max(at, self.now + self.settings.tick_ms)
        if at < self.wake_at - self.settings.tick_ms / 2:
            self.wake_at = at
            self.ledger.actions.append(api.Wake(at))
