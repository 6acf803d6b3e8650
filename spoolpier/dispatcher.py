"""Every decision of a dispatcher: which job goes to which worker, when, and what is refused.

The types that go in and out are in spoolpier/interface.py. The mechanism is CASweighted of Roehm, Boehm and
Schek ("Cache-Aware Query Routing in a Cluster of Databases"); docs/design.md says what was kept and changed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from spoolpier import interface as api
from spoolpier.constants import (
    FOREVER,
    LIMIT_STEP,
    NEAR,
    NEVER,
    OVERHEAD_AT,
    RETRY_MOST_MS,
    RETRY_MS,
    START_LATE_MS,
)
from spoolpier.ledger import JobLedger
from spoolpier.signatures import SignatureIndex
from spoolpier.state import Job, Worker
from spoolpier.workers import WorkerTable, top

MATCH_BENEFIT = 1.0  # benefit of a remembered key; the paper's overlap, all or nothing here
BASE_BENEFIT = 0.2  # benefit of any free worker, so that a job without a match still has a rank
AGE_MS = 400.0  # waiting this long doubles a held job's rank: about one aim, so that none starves
SPILL_SHARE = 0.2  # share of its slack that a job waits for a worker more, or fourfold with fills told
SHARE_PRIOR = 50.0  # jobs counted beyond those seen, so that the first few do not look like all traffic
CROWDED_AT = 0.85  # this one while more are held than out: a doubtful job then takes the slot of a sure one
PACE_MOST = 0.8  # share of a job's slack that the pace may take: a long job must still find a worker
OVERHEAD_MOST = 0.6  # share of a class's aim that the overhead may take: some must still be tried
PROBES_AT_ONCE = 2  # workers asked in one look for a free one
PROBE_LOST_MS = 60.0  # a probe without answer for this long no longer holds a job back
PROBE_ROUNDS = 3  # looks that wait for probes before the first free worker known is taken
TRIES_A_STEP = 6  # held jobs that may look in vain in one step: bounds the work in an overload
QUIET_PERIODS = 1.65  # periods without a note of progress after which an attempt's answer may be lost
QUIET_LOOK_MS = 250.0  # between looks for such attempts
CLOCK_STEP_MS = 20.0  # a common clock that differs by more than this from before was stepped
ASK_AGAIN_SHARE = 0.2  # share of must_ask_in_ms after which a failed subscription is asked for again


class Dispatcher:
    """One dispatcher's decisions. step() takes what happened and returns what to do; it does no I/O."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.table = WorkerTable(settings)
        self.signatures = SignatureIndex()
        self.ledger = JobLedger(settings, self.table, self.signatures)
        self.held: dict[str, Job] = {}  # waiting for a free worker
        self.now = NEVER
        self.limits: list[tuple[float, int, Job]] = []  # when held jobs must be answered
        self.arrivals = 0
        self.grace = [0.0] * len(settings.classes)  # the longest seen of each class
        self.wake_at, self.late_worth = FOREVER, any(k.late_worth for k in settings.classes)
        self.quiet_at = NEVER
        self.allowed: dict[int, api.Allowance] = {}  # by limit of all dispatchers
        self.watching, self.watch_at = False, NEVER if settings.ask_for_list else FOREVER
        self.handlers: dict[type, Callable[[Any], None]] = {
            **dict.fromkeys((api.Timer, api.PeerMessage), lambda event: None),
            **{api.Arrival: self.on_arrival, api.Outcome: self.on_outcome, api.ProbeResult: self.on_probe},
            **{api.Note: self.on_note, api.WorkerList: self.on_list, api.Shares: self.on_shares},
            **{api.ClientGone: self.on_client_gone, api.StreamStarted: self.on_stream},
            **{api.Verdict: self.on_verdict, api.Allowance: self.on_allowance},
            **{api.CommonClock: self.on_clock, api.ClassesAdded: self.on_classes},
        }

    def step(self, now_ms: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Take in all events of one moment, then place held jobs once."""
        if now_ms < self.now:
            raise ValueError(f"time goes backwards: {now_ms} after {self.now}")
        self.now = now_ms
        self.ledger.actions = []
        for event in events:
            if type(event) not in self.handlers:
                raise TypeError(f"unknown event type: {type(event).__name__}")
            self.handlers[type(event)](event)
        self.wake_at = self.wake_at if self.wake_at > now_ms else FOREVER
        if not self.watching and now_ms >= self.watch_at:
            self.watching = True  # unasked news counts as told (rule 3): asked for again after a failure
            self.ledger.actions.append(api.WatchList())
        self.note_late_starts()
        if self.now >= self.quiet_at and self.settings.tells_start and self.settings.progress_ms > 0:
            self.quiet_at = self.now + QUIET_LOOK_MS
            self.note_quiet()
        self.expire()
        self.place()
        self.set_wake()
        return self.ledger.actions

    def left_alone(self, now_ms: float) -> set[int]:
        """Workers that failed of late and get no job of any class now."""
        return {w.id for w in self.table.workers.values() if w.up and w.suspended_until > now_ms}

    def on_list(self, event: api.WorkerList) -> None:
        """News of the list; in ask mode it also answers the subscription."""
        if event.form is api.ListForm.FAILED:
            self.watching = False
            wait = self.settings.must_ask_in_ms * ASK_AGAIN_SHARE
            self.watch_at = self.now + wait * self.random.uniform(0.5, 1)
        for w in self.table.take_list(event, self.now):
            self.signatures.forget(w)

    def on_arrival(self, event: api.Arrival) -> None:
        """A job is taken in."""
        if event.job in self.ledger.jobs:
            raise ValueError(f"job id given twice: {event.job}")
        kind = self.settings.classes[event.job_class]
        self.grace[event.job_class] = max(self.grace[event.job_class], event.grace_ms)
        # a client's later try has less time left than a first one: its aim has run on meanwhile
        lost = self.grace[event.job_class] - event.grace_ms
        lost += min(self.table.overhead, OVERHEAD_MOST * kind.aim_ms)
        hint = event.hint_ms or 0.0
        lost += min((self.table.pace - 1) * hint, PACE_MOST * (kind.aim_ms + (kind.aim_stretch - 1) * hint))
        job = Job(event, kind, self.now, self.settings.tick_ms, lost)
        self.ledger.jobs[job.id] = job
        job.worth = self.take((*event.limits, *(api.RETRIES,) * event.repeat))
        if not job.worth:
            self.ledger.close(job)
            return
        self.signatures.count(job.key)
        self.hold(job)

    def hold(self, job: Job) -> None:
        """Let a job wait for a worker, with a reminder for when waiting is of no more use."""
        job.retry_at, job.retry_ms, job.rounds, job.awaited = self.now, RETRY_MS, 0, 0
        self.held[job.id] = job
        self.arrivals += 1
        heapq.heappush(self.limits, (job.useful_until, self.arrivals, job))

    def on_client_gone(self, event: api.ClientGone) -> None:
        """Nothing more is owed; it may follow the job's end in the same batch."""
        self.held.pop(event.job, None)
        if job := self.ledger.jobs.get(event.job):
            self.ledger.end(job)

    def on_outcome(self, event: api.Outcome) -> None:
        """An attempt ended: the job is done, or looks for another worker, or gets its final answer."""
        if event.kind is api.OutcomeKind.SERVED:
            self.compete()
        job = self.ledger.outcome(event, self.now)
        if job is None or job.is_open:
            return
        again = not job.suspects or job.kind.effect is not api.Effect.UNSAFE
        again &= self.now < job.useful_until and job.attempts < self.settings.max_attempts
        again &= not 0 < job.kind.max_runs <= len(job.suspects)
        if again and self.take((api.RETRIES,)):
            self.hold(job)
        else:
            self.ledger.close(job)

    def compete(self) -> None:
        """A slot is free: all held jobs compete for it by rank, not the first whose retry comes round."""
        for held in self.held.values():
            if not held.awaited:
                held.retry_at = self.now

    def on_note(self, event: api.Note) -> None:
        """A job has begun or goes on."""
        if a := self.ledger.out.get((event.job, event.attempt)):
            a.heard_at = a.worker.heard_at = self.now
            self.table.set_quiet(a, False)
        if a is not None and not a.started:
            a.started, a.began_at = True, self.now
            self.table.note_backlog(a, self.now)
            tried = a.worker.filled + a.worker.others > a.worker.limit - 1  # only then is anything learned
            if tried and self.now - a.sent_at <= START_LATE_MS:
                a.worker.limit += 1 / a.worker.limit

    def note_late_starts(self) -> None:
        """Learn from jobs that have not begun in time; waiting for their start would be to learn too late."""
        unstarted = self.ledger.unstarted
        while unstarted and (unstarted[0].started or self.now - unstarted[0].sent_at > START_LATE_MS):
            a = unstarted.popleft()
            if not a.started and a.open and self.settings.tells_start:
                a.worker.limit = max(1.0, a.worker.limit - LIMIT_STEP)

    def note_quiet(self) -> None:
        """Free the slots of attempts that began, tell of no progress any more, and whose worker lives.

        Each would count against its worker until the client's time is up. A worker that has told nothing
        since is asked; a keyed job goes again within its group, which drops what has run already.
        """
        due = self.now - QUIET_PERIODS * self.settings.progress_ms
        for a in list(self.ledger.out.values()):
            if a.quiet or not a.started or a.heard_at > due:
                continue
            w = a.worker
            if w.heard_at > a.heard_at + self.settings.progress_ms:
                self.table.set_quiet(a, True)
                if a.job.kind.effect is not api.Effect.UNSAFE and self.settings.may_cancel:
                    a.job.useful_until = a.job.expires  # late is better than never: it has waited in vain
                    self.ledger.actions.append(api.Cancel(a.job.id, a.number))
            elif self.settings.may_probe and self.now - w.probe_sent > PROBE_LOST_MS and w.up:
                w.probe_sent = self.now
                self.ledger.actions.append(api.Probe(w.id))

    def on_stream(self, event: api.StreamStarted) -> None:
        """The answer has begun: the attempt is the client's, and no deadline runs any more."""
        if a := self.ledger.out.get((event.job, event.attempt)):
            a.started = True
            a.job.expires = a.job.useful_until = FOREVER

    def on_probe(self, event: api.ProbeResult) -> None:
        """A worker told its load, or did not."""
        if (w := self.table.workers.get(event.worker)) is None:
            return
        asked, w.probe_sent = w.probe_sent > NEVER, NEVER
        if event.ok:
            w.heard_at, w.unreached = self.now, 0
            self.table.take_report(w, event.report, self.now)
            if not asked and w.free >= 1:
                self.compete()  # a slot told unasked
        else:
            self.table.suspend(w, self.now)
        for job in w.waiters:
            job.awaited -= 1
            if job.awaited <= 0:
                job.retry_at = min(job.retry_at, self.now)
        w.waiters.clear()

    def on_shares(self, event: api.Shares) -> None:
        """What others fill, and what of a cold worker's budget is spent."""
        if event.fleet and not self.table.fleet:
            self.table.fleet, self.table.parts = True, self.settings.parts
            self.table.clear_orders()
            for known in self.table.workers.values():
                known.limit = max(known.limit, known.size)
        if event.places is not None:
            self.table.places, self.table.guard_ms, self.table.turn = event.places, event.guard_ms, -1
        for share in event.shares:
            w = self.table.workers.get(share.worker)
            if w is not None:
                w.others = share.slots
                if share.turn >= w.cold_turn:
                    spent = w.cold_spent if share.turn == w.cold_turn else 0.0
                    w.cold_turn, w.cold_spent = share.turn, max(spent, share.spent)

    def on_clock(self, event: api.CommonClock) -> None:
        """The common clock drifts from ours, or was stepped."""
        table = self.table
        if abs(event.ahead_ms - table.ahead_ms) > CLOCK_STEP_MS:
            # what was spent in a turn by the old count would be spent again in one by the new
            table.no_turn_before, table.turn = self.now + 2 * self.settings.fall_ms, -1
        table.ahead_ms = event.ahead_ms

    def on_classes(self, event: api.ClassesAdded) -> None:
        """Jobs of further classes will come."""
        classes = (*self.settings.classes, *event.classes)
        self.settings = self.table.settings = self.ledger.settings = replace(self.settings, classes=classes)
        self.grace += [0.0] * len(event.classes)
        self.late_worth = any(k.late_worth for k in classes)

    def on_verdict(self, event: api.Verdict) -> None:
        """What all dispatchers together hold of a worker. One that is given back counts as new."""
        key, w = (event.worker, event.job_class), self.table.workers.get(event.worker)
        if w is not None and key in self.table.out and not event.out:
            w.limit, w.suspended_until = 1.0, NEVER
            w.failed_until.pop(event.job_class, None)
            self.compete()
        (self.table.out.add if event.out else self.table.out.discard)(key)
        self.table.ranks = {k: rank for k, rank in {**self.table.ranks, key: event.rank}.items() if rank}

    def on_allowance(self, event: api.Allowance) -> None:
        """What may still be taken in against a limit of all dispatchers."""
        self.allowed[event.limit] = event

    def take(self, limits: tuple[int, ...]) -> float:
        """Count a job against limits; its worth then. 0, and it does not count: it has to be refused."""
        known = [a for limit in limits if (a := self.allowed.get(limit))]
        used_up = [a.worth for a in known if a.jobs < 1]
        if 0.0 not in used_up:
            self.allowed.update({a.limit: replace(a, jobs=a.jobs - 1) for a in known})
        return min(used_up, default=1.0)

    def expire(self) -> None:
        """Answer held jobs whose time is up: an answer that can't be in time only delays others."""
        while self.limits and self.limits[0][0] <= self.now:
            job = heapq.heappop(self.limits)[2]
            if job.id in self.held and self.now >= job.useful_until:
                self.held.pop(job.id, None)
                self.ledger.close(job)

    def place(self) -> None:
        """Send held jobs, the head first, as far as free workers are known."""
        crowd = len(self.held) > len(self.ledger.out) and not self.late_worth
        in_vain, self.table.at = 0, CROWDED_AT if crowd else OVERHEAD_AT
        for job in self.due():
            if in_vain >= TRIES_A_STEP:
                job.retry_at = self.now + RETRY_MS / 2
            elif w := self.choose(job):
                self.held.pop(job.id, None)
                self.ledger.send(job, w, self.now)
            else:
                in_vain += 1
                job.retry_at = self.now + (PROBE_LOST_MS if job.awaited else job.retry_ms)
                if not job.awaited:
                    job.retry_ms, job.rounds = min(2 * job.retry_ms, RETRY_MOST_MS), 0

    def due(self) -> list[Job]:
        """Jobs that may look for a worker, the head first: by benefit over run time, weighed with age."""
        jobs = (j for j in self.held.values() if j.retry_at <= self.now)
        return sorted(jobs, key=self.rank, reverse=True)

    def rank(self, job: Job) -> float:
        """Best benefit over the run time, by hint or else the key's last time (1 s if none), aged."""
        seconds = job.hint / 1000 if job.hint is not None else self.signatures.seconds.get(job.key, 1.0)
        benefit = job.worth * (BASE_BENEFIT + MATCH_BENEFIT * (job.key in self.signatures.workers))
        return benefit / max(seconds, 0.001) * (1 + (self.now - job.arrived) / AGE_MS)

    def choose(self, job: Job) -> Worker | None:
        """The free worker with the best benefit, ties in rendezvous order; probes where news is old."""
        table, now, may_probe = self.table, self.now, self.settings.may_probe
        # one of many sees few jobs, and what is hot for all floods its homes before it has seen them
        prior = 0.0 if table.unheard else SHARE_PRIOR
        homes = table.homes(self.signatures.share(job.key, prior), job)
        matches = list(self.signatures.workers.get(job.key, {}).values())
        if len(matches) > 1:
            matches = top(matches, job.hash if homes == 1 else job.hash ^ table.salt, len(matches))
        bound = job.suspects and job.kind.effect is api.Effect.KEYED
        order = table.group_order(job) if bound else table.order(job, homes)
        kind, slots, barred = job.kind.kind, job.slots, job.barred
        oldest = now - table.trust_ms
        job.awaited = 0
        # a worker off the key's homes has to fetch its data: a job goes further only as its slack runs down
        wide = table.most_fail(job, now)
        spilt = int((now - job.arrived) / (SPILL_SHARE * job.slack))
        if table.unheard:
            order = [w for w in order if now >= w.full_until]
        order = order[: homes + NEAR << 2 * min(spilt, 3) if table.fleet else homes + NEAR + spilt]
        if table.fleet and not job.suspects:
            order = order + table.cold_ones(now)
        found = [*matches, *order]
        if table.ranks:
            first = {w for (w, c), rank in table.ranks.items() if rank < 0 and c == job.job_class}
            found += [w for w in table.workers.values() if w.up and w.id in first]
            found.sort(key=lambda w: table.ranks.get((w.id, job.job_class), 0))
        for w in found:
            failing = not wide and now < w.failed_until.get(job.job_class, NEVER)
            failing |= (w.id, job.job_class) in table.out or now < max(w.suspended_until, w.full_until)
            if failing or w.id in barred or kind not in (-1, w.kind):
                continue
            if self.settings.tells_start:
                # a report is seconds old where it matters most; late starts tell of a full worker at once
                room = FOREVER if w.filled + w.others + slots <= max(w.limit, slots) else 0.0
            elif w.seen_at >= oldest:
                room = w.free - w.unseen
            elif may_probe:
                if job.rounds >= PROBE_ROUNDS:
                    continue  # enough asked for this look
                if now - w.probe_sent > PROBE_LOST_MS:
                    w.probe_sent = now
                    self.ledger.actions.append(api.Probe(w.id))
                w.waiters.append(job)
                job.awaited += 1
                if job.awaited >= PROBES_AT_ONCE:
                    break
                continue
            else:
                room = FOREVER if w.own + w.others < int(w.limit) else 0.0
            small = w.memory is not None and job.memory is not None and w.memory < job.memory
            if room < slots or small or (job.suspects and not self.ledger.may_send(job, w, now)):
                continue
            if w.started_ms and table.cold_budget(w, now) < job.work:
                continue
            if job.awaited:
                break  # a worker better for the key has been asked and will answer in a moment
            return w
        if job.awaited:
            job.rounds += 1
        return None

    def set_wake(self) -> None:
        """Ask for the next wake-up, unless one that is soon enough is out."""
        at = min((j.retry_at for j in self.held.values()), default=FOREVER)
        at = min(at, *(limit[0] for limit in self.limits[:1]), FOREVER if self.watching else self.watch_at)
        if self.ledger.out and self.settings.tells_start and self.settings.progress_ms > 0:
            at = min(at, self.quiet_at)
        at = max(at, self.now + self.settings.tick_ms)
        if at < self.wake_at - self.settings.tick_ms / 2:
            self.wake_at = at
            self.ledger.actions.append(api.Wake(at))
