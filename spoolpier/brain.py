"""Every decision of a dispatcher: which job goes to which worker, when, and what is refused.

The types that go in and out are in spoolpier/interface.py. The mechanism is CASweighted of Roehm, Boehm and
Schek ("Cache-Aware Query Routing in a Cluster of Databases"); docs/design.md says what was kept and changed.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from spoolpier import interface as api

MATCH_BENEFIT = 1.0  # benefit of a remembered key; the paper's overlap, all or nothing here
BASE_BENEFIT = 0.2  # benefit of any free worker, so that a job without a match still has a rank
AGE_MS = 400.0  # waiting this long doubles a held job's rank: about one aim, so that none starves
WALK = 12  # workers looked at in a key's rendezvous order: a dozen all busy means a busy fleet
NEAR = 2  # workers beyond its homes that a job looks at from the start: the depot has little room
SPILL_SHARE = 0.2  # share of its slack that a job waits for a worker more, or fourfold with fills told
SHARE_PRIOR = 50.0  # jobs counted beyond those seen, so that the first few do not look like all traffic
SHARE_JOBS = 400.0  # the share of a key is taken over about this many jobs
TRUST_MS = 250.0  # a probed report says nothing of a worker's free slots after this
TRUST_ANSWER_MS = 1000.0  # the same where reports come only with answers: old news beats none
REPORT_LAG_MS = 250.0  # a job sent this recently may be missing from a report
START_LATE_MS = 60.0  # a job that starts this long after its send has waited; networks take less
LIMIT_STEP = 0.5  # slots off the limit for each late start: two dispatchers that collide give way by half
BACKLOG_SHARE = 0.5  # share of the time a reported queue takes to run for which its worker is passed over
BACKLOG_MOST_MS = 5000.0  # but no longer than this: others stay away as well
RUN_MS = 500.0  # time from send to outcome before any was seen, and
RUN_PART = 0.05  # the part that each new one has in its mean
OVERHEAD_STEP_MS = 20.0  # step by which the overhead follows each outcome, towards
OVERHEAD_AT = 0.6  # the value that this share of the jobs stays under, or, where late answers earn nothing,
CROWDED_AT = 0.85  # this one while more are held than out: a doubtful job then takes the slot of a sure one
PACE_STEP = 0.1  # the same for the pace, in hints: a dozen slow outcomes show that the fleet is slow
PACE_MOST = 0.8  # share of a job's slack that the pace may take: a long job must still find a worker
OVERHEAD_MOST = 0.6  # share of a class's aim that the overhead may take: some must still be tried
REFUSED_MS = 100.0  # a worker that refused is taken for full this long, doubled with each refusal in a row,
REFUSED_DOUBLINGS = 2  # so often at most: late reports go on calling it free
PROBES_AT_ONCE = 2  # workers asked in one look for a free one
PROBE_LOST_MS = 60.0  # a probe without answer for this long no longer holds a job back
PROBE_ROUNDS = 3  # looks that wait for probes before the first free worker known is taken
RETRY_MS, RETRY_MOST_MS = 40.0, 160.0  # a held job that found nothing free looks again after this, doubled
TRIES_A_STEP = 6  # held jobs that may look in vain in one step: bounds the work in an overload
SUSPEND_ONCE_MS = 300.0  # a worker that failed a job is left alone for so long, by this class of jobs:
SUSPEND_MS = 3000.0  # one failure may be chance; each further one in a row counts, doubled each time
SUSPEND_MOST_MS = 24_000.0
EXCLUDED_MOST = 0.5  # share of the workers that may be left alone: where more fail, it is no fault of theirs
QUIET_PERIODS = 1.65  # periods without a note of progress after which an attempt's answer may be lost
QUIET_LOOK_MS = 250.0  # between looks for such attempts
COLD_SAFETY = 0.4  # share of the cold budget used: half for two turns in one window, the rest for hints
COLD_JOB_MS = 400.0  # least part of the cold budget for each dispatcher that has the turn: a common job,
COLD_FEW = 8.0  # and more by as much as there are more dispatchers than this: a long job has to fit too
CLOCK_STEP_MS = 20.0  # a common clock that differs by more than this from before was stepped
SLOT_SPEED = 0.5  # work a slot does in a unit of time on the slowest machine worth listing
SPEED_SAFETY = 0.75  # share of the speed seen at warm workers of a kind that one of them surely has
SPEED_PRIOR_MS = 10_000.0  # time at that least speed which counts as seen
POOL_MOST = 128  # workers scored for a key; of a larger fleet a key sees its slice, or scoring costs too much
ORDERS_KEPT = 2048  # rendezvous orders remembered; beyond it all are worked out afresh
REPEAT_MARGIN_MS = 220.0  # before a repeat window's end: 150 ms that a process may be held, and the way there
CROWD = 8  # so many dispatchers that hear nothing of each other fill a worker between two sends of one
FORGET_MS = 60_000.0  # a worker that has left is remembered for so long, or two turns if these are longer
ASK_AGAIN_SHARE = 0.2  # share of must_ask_in_ms after which a failed subscription is asked for again
FOREVER, NEVER = 1e18, -1e18
MASK, ODD = (1 << 64) - 1, 0x9E3779B97F4A7C15


def mix(number: int) -> int:
    """Spread a number over 64 bits, the same in every process (splitmix64)."""
    z = (number + ODD) & MASK
    z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & MASK
    return z ^ (z >> 31)


@dataclass(slots=True, eq=False)
class Worker:
    """What this dispatcher knows of one worker."""

    id: int
    hash: int
    zone: int = 0
    cell: int = 0
    kind: int = 0
    started_ms: float = 0.0  # names the process; 0: it has run for long
    since_ms: float = 0.0  # its start by our clock
    up: bool = False
    key: int | None = None  # signature: the key of the last job sent there
    own: int = 0  # attempts of ours that are out
    filled: float = 0.0  # slots they take
    limit: float = 1.0  # attempts of ours it may run while nothing newer is known
    free: float = 0.0  # free slots by the last report
    memory: float | None = None
    seen_at: float = NEVER
    unseen: float = 0.0  # slots we filled that the last report may not show
    last_sent: float = NEVER
    probe_sent: float = NEVER
    waiters: list[Job] = field(default_factory=list)  # held jobs that wait for its probe
    strikes: dict[int, int] = field(default_factory=dict)  # failures in a row, by class
    failed_until: dict[int, float] = field(default_factory=dict)  # left alone by this class until then
    unreached: int = 0  # probes and connections in a row that failed
    refusals: int = 0  # in a row
    suspended_until: float = NEVER  # left alone by all
    heard_at: float = NEVER  # the worker's last sign of life
    full_until: float = NEVER
    cold_turn: int = -1
    cold_spent: float = 0.0
    cold_most: float = 0.0  # that may be spent in the turn; 0 once it is warm
    others: float = 0.0  # slots that other dispatchers fill, as far as that is told
    size: float = 1.0  # slots it has, by the list


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a job."""

    job: Job
    number: int
    worker: Worker
    sent_at: float
    open: bool = True
    started: bool = False
    began_at: float = NEVER
    heard_at: float = NEVER  # its last note
    quiet: bool = False  # its answer is taken to be lost: it fills no slot any more


class Job:
    """A job taken in and not yet answered for good."""

    def __init__(self, event: api.Arrival, kind: api.JobClass, now: float, tick: float, lost: float) -> None:
        self.id = event.job
        self.kind, self.job_class = kind, event.job_class
        self.key = event.key
        self.hash = mix(event.key) if event.key is not None else mix(int.from_bytes(event.job.encode()[-8:]))
        self.hint = event.hint_ms
        self.slots = max(1.0, event.slots)
        self.work = (event.hint_ms or kind.aim_ms) * self.slots  # what it takes of a cold worker's budget
        self.memory = event.memory
        self.arrived = now
        self.expires = now + event.grace_ms - 2 * tick  # a final answer one tick late would break rule 1
        self.slack = max(1.0, kind.aim_ms + (kind.aim_stretch - 1) * (event.hint_ms or 0.0) - lost)
        self.aim_until = now + self.slack  # sent later than this, its answer is late
        # given up and answered at once from here on: late already, it would only make others late
        self.useful_until = min(self.aim_until, self.expires)
        self.attempts, self.worth = 0, 1.0  # the last: against that of a job within all limits
        self.suspects: list[Attempt] = []  # attempts that are out or may have run, oldest first
        self.barred: set[int] = set()  # workers that did not accept it
        self.retry_at = now
        # wait until the next look; looks that ended in waiting for probes; probes it waits for
        self.retry_ms, self.rounds, self.awaited = RETRY_MS, 0, 0

    @property
    def is_open(self) -> bool:
        """Whether an attempt is out."""
        return any(a.open for a in self.suspects)


class WorkerTable:
    """The list, and what is known of each worker: room, health, cold budget."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.workers: dict[int, Worker] = {}
        self.left: dict[int, float] = {}  # those not up, and since when, the oldest first
        self.forget_ms = max(FORGET_MS, 2 * settings.fall_ms)
        self.cold: dict[int, Worker] = {}  # those up that have started lately
        self.slice_bits = 0
        # by slice of the hashes: the workers up; these by kind; and rendezvous orders by key, kind and homes
        self.slices: dict[int, dict[int, Worker]] = {}
        self.pools: dict[int, dict[int, list[Worker]]] = {}
        self.orders: dict[int, dict[tuple[int, int, int], list[Worker]]] = {}
        self.salt, self.turn, self.ours = mix(settings.me + 1), -1, list[Worker]()  # the turn at cold workers
        self.stride = stride(settings.dispatchers)
        self.places: tuple[int, ...] = (settings.me,)  # whose turns are ours, but for the first part of each
        self.guard_ms = 0.0
        self.ahead_ms = 0.0  # the clock that all dispatchers read, before ours: turns are counted by it
        self.no_turn_before = NEVER  # that clock was stepped just now
        self.fleet = False  # what all dispatchers fill is told: a limit is of all together
        # many that cannot tell what they fill: a late start is all that shows a worker's backlog
        crowd = settings.dispatchers >= CROWD
        self.unheard = crowd and settings.tells_start and not settings.may_tell
        self.parts = 1  # of the fleet: what is filled at a worker is told to the dispatchers of its part
        self.slots_of_kind: dict[int, float] = {}
        # by verdict, of worker and class: left alone; looked at before others (-1) or behind them (1)
        self.out, self.ranks = set[tuple[int, int]](), dict[tuple[int, int], int]()
        self.ran: dict[int, tuple[float, float]] = {}  # by kind of warm worker: work by hint, and time taken
        self.run_ms = RUN_MS
        self.overhead, self.at = 0.0, OVERHEAD_AT  # what a job takes beyond its hint, of late
        self.pace = 1.0  # send-to-outcome time over the hint, of late: machines that others use run slower
        self.trust_ms = TRUST_MS if settings.may_probe else TRUST_ANSWER_MS

    def take_list(self, event: api.WorkerList, now: float) -> list[Worker]:
        """Follow the list; returns the workers that are gone. Work grows with what has changed alone."""
        if event.form is api.ListForm.FAILED:
            return []
        gone: list[Worker] = []
        if event.form is not api.ListForm.DELTA:
            named = {e.worker for e in event.entries}
            gone = [w for w in self.workers.values() if w.up and w.id not in named]
            for worker in gone:
                self.set_up(worker, False, now)
        for e in event.entries:
            w = self.workers.get(e.worker) or self.add(e.worker, now)
            up = e.state is api.WorkerState.UP
            if w.up and not up:
                gone.append(w)
            if up and (not w.up or e.started_ms != w.started_ms):
                # a new process, or one that was away: what was known would flood or starve a cold worker
                w.seen_at = w.full_until = NEVER
                w.size = max(1.0, e.weight) if self.settings.nominal_weights else 1.0
                w.limit = w.size if self.fleet else self.settings.first_limit
                w.unreached, w.suspended_until, w.unseen, w.cold_most = 0, NEVER, 0.0, 0.0
                w.strikes, w.failed_until = {}, {}
                gone.append(w)
            self.set_up(w, False, now)  # out of the indexes, with what it was before
            w.zone, w.cell, w.kind = e.zone, e.cell, e.kind
            w.started_ms, w.since_ms = e.started_ms, e.since_ms
            self.set_up(w, up, now)
        self.slice_again()
        self.forget_left(now)
        self.turn = -1
        return gone

    def add(self, worker: int, now: float) -> Worker:
        """A worker that is heard of for the first time; it is not up yet."""
        w = self.workers[worker] = Worker(worker, mix(worker))
        self.left[worker] = now
        return w

    def set_up(self, w: Worker, up: bool, now: float) -> None:
        """A worker is in service, or is not, by the list: it has its place in the indexes accordingly."""
        if w.up is up:
            return
        w.up = up
        part = w.hash >> 64 - self.slice_bits
        self.clear_slice(part)
        if up:
            self.left.pop(w.id, None)
            self.slices.setdefault(part, {})[w.id] = w
            if w.started_ms > 0:
                self.cold[w.id] = w
        else:
            self.left[w.id] = now
            del self.slices[part][w.id]
            self.cold.pop(w.id, None)

    def clear_slice(self, part: int) -> None:
        """What was worked out from the workers of a slice holds no more."""
        self.pools.pop(part, None)
        self.orders.pop(part, None)

    def slice_again(self) -> None:
        """Divide the workers anew where their number has passed a power of two."""
        bits = (sum(map(len, self.slices.values())) // (POOL_MOST + 1)).bit_length()
        if bits == self.slice_bits:
            return
        self.slice_bits = bits
        up = [w for part in self.slices.values() for w in part.values()]
        self.slices.clear()
        for w in up:
            self.slices.setdefault(w.hash >> 64 - bits, {})[w.id] = w
        self.clear_orders()

    def clear_orders(self) -> None:
        """Nothing that was worked out holds any more."""
        self.pools.clear()
        self.orders.clear()

    def forget_left(self, now: float) -> None:
        """Guards memory: of a worker that left long ago, and for which nothing is out, nothing is kept."""
        while self.left:
            oldest, since = next(iter(self.left.items()))
            if now - since <= self.forget_ms:
                return
            del self.left[oldest]
            if self.workers[oldest].own:
                self.left[oldest] = now
            else:
                del self.workers[oldest]

    def pool(self, kind: int, key_hash: int) -> list[Worker]:
        """Workers up that a class may use: of a large fleet, those that share the key's leading bits."""
        part = key_hash >> 64 - self.slice_bits
        pools = self.pools.setdefault(part, {})
        if (found := pools.get(kind)) is None:
            ready = self.slices.get(part, {}).values()
            found = pools[kind] = [w for w in ready if kind in (-1, w.kind)]
        return found

    def order(self, job: Job, homes: int) -> list[Worker]:
        """The start of the key's rendezvous order. Worked out once a key until the list changes.

        Each dispatcher has its own among the homes of a hot key, or all would run into the first at once.
        """
        key, part = (job.hash, job.kind.kind, homes), job.hash >> 64 - self.slice_bits
        if (found := self.orders.get(part, {}).get(key)) is None:
            if sum(map(len, self.orders.values())) >= ORDERS_KEPT:
                self.orders.clear()
            wide = self.fleet or self.unheard
            walk = POOL_MOST if wide else max(WALK, homes + WALK // 2)
            found = sorted(top(self.pool(job.kind.kind, job.hash), job.hash, walk), key=self.foreign)
            found[:homes] = top(found[:homes], job.hash ^ self.salt, homes)
            if wide:
                rest = top(found[homes + NEAR :], job.hash ^ self.salt, walk)
                found[homes + NEAR :] = sorted(rest, key=self.foreign)
            self.orders.setdefault(part, {})[key] = found
        return found

    def foreign(self, w: Worker) -> bool:
        """Whether a worker is of another part: what is filled there is not told to us."""
        return (w.id - self.settings.me) % self.parts != 0

    def homes(self, share: float, job: Job) -> int:
        """How many workers a key with this share of the jobs needs, to the next power of two."""
        wanted = share * (len(self.pool(job.kind.kind, job.hash)) << self.slice_bits) / self.parts
        return 1 << max(0, math.ceil(wanted) - 1).bit_length()

    def group_order(self, job: Job) -> list[Worker]:
        """The rendezvous order within the group that drops the job's repeats."""
        ready = [w for w in self.workers.values() if w.up and job.kind.kind in (-1, w.kind)]
        return top([w for w in ready if in_group(job, job.suspects[0].worker, w)], job.hash, WALK)

    def take_report(self, w: Worker, report: api.Report | None, now: float) -> None:
        """Note what a report says of the free slots."""
        if not report or "free_slots" not in report:
            return
        free, held = report["free_slots"], report.get("held", 0.0)
        slots = self.slots_of_kind.get(w.kind, 1.0)
        waiting = report.get("waiting", max(0.0, held - slots) if free < 1 else 0.0)
        if free >= 1 and free + held - waiting > slots:
            self.slots_of_kind[w.kind] = slots = free + held - waiting
        w.free = free - waiting
        if waiting >= 1:
            # a queue stays for as long as it takes to run it: longer than any report is trusted
            run = report.get("service_ms", self.run_ms)
            w.full_until = now + min(BACKLOG_SHARE * waiting * run / slots, BACKLOG_MOST_MS)
        else:
            w.full_until = NEVER
        w.memory = report.get("free_memory")
        w.seen_at = now
        if now - w.last_sent > REPORT_LAG_MS:
            w.unseen = 0.0

    def cold_budget(self, w: Worker, now: float) -> float:
        """Work that a cold worker may still be sent by us in this turn; endless once it is warm.

        All dispatchers together must not push it over and none hears of the others: in each span of fall_ms
        a few have the turn, by their places, and share what the worker can take, a mean job each or more.
        """
        s, w.cold_most = self.settings, 0.0
        if w.started_ms <= 0 or now - w.since_ms >= s.cold_ms:
            return FOREVER
        turn, into = divmod(now + self.ahead_ms, s.fall_ms)
        turn, age = int(turn), now - into - w.since_ms  # as the turn began
        share = s.cold_share + (1 - s.cold_share) * max(0.0, age) / s.cold_ms
        hinted, took = self.ran.get(w.kind, (0.0, 0.0))
        speed = (hinted * SPEED_SAFETY + SPEED_PRIOR_MS * SLOT_SPEED) / (took + SPEED_PRIOR_MS)
        power = max(self.slots_of_kind.get(w.kind, 1.0), w.size) * max(speed, SLOT_SPEED)
        budget = COLD_SAFETY * s.fall_multiple * share * power * s.fall_ms
        holders = max(1, min(s.dispatchers, int(budget / (COLD_JOB_MS * max(1.0, s.dispatchers / COLD_FEW)))))
        ours = sum((place - w.hash - turn * self.stride) % s.dispatchers < holders for place in self.places)
        if not ours or into < self.guard_ms or now < self.no_turn_before:
            return 0.0
        if w.cold_turn != turn:
            w.cold_turn, w.cold_spent = turn, 0.0
        w.cold_most = budget * ours / holders
        return w.cold_most - w.cold_spent

    def cold_ones(self, now: float) -> list[Worker]:
        """Cold workers at which the turn is ours: no key's order leads there often enough while it is."""
        if (turn := int((now + self.ahead_ms) // self.settings.fall_ms)) != self.turn:
            self.turn = turn
            for w in [w for w in self.cold.values() if now - w.since_ms >= self.settings.cold_ms]:
                del self.cold[w.id]
            self.ours = [w for w in self.cold.values() if self.cold_budget(w, now) > 0]
        return self.ours

    def count_sent(self, w: Worker, job: Job, now: float) -> None:
        """A job is on its way."""
        w.own += 1
        w.filled += job.slots
        w.unseen += job.slots
        w.last_sent, w.cold_spent = now, w.cold_spent + job.work

    def count_ended(self, a: Attempt, kind: api.OutcomeKind, now: float) -> None:
        """An attempt is over: free its slots and judge the worker by it."""
        w = a.worker
        w.own -= 1
        w.filled -= 0.0 if a.quiet else a.job.slots
        w.unseen = max(0.0, w.unseen - a.job.slots)
        if kind is api.OutcomeKind.SERVED:
            w.refusals = w.unreached = 0
            w.heard_at = now
            w.strikes.pop(a.job.job_class, None)
            w.failed_until.pop(a.job.job_class, None)
            if a.job.hint:
                if a.started and w.started_ms <= 0:
                    hinted, took = self.ran.get(w.kind, (0.0, 0.0))
                    self.ran[w.kind] = hinted + a.job.hint, took + now - a.began_at
                slow = now - a.sent_at > self.pace * a.job.hint
                self.pace = max(1.0, self.pace + PACE_STEP * (self.at if slow else self.at - 1))
            over = now - a.sent_at - (a.job.hint or self.run_ms) > self.overhead
            self.overhead += OVERHEAD_STEP_MS * (self.at if over else self.at - 1)
            self.run_ms += RUN_PART * (now - a.sent_at - self.run_ms)
            if not self.settings.tells_start:
                w.limit += 1 / w.limit
        elif kind is api.OutcomeKind.REFUSED:
            # a refusal is fast and frees its count: taken as acceptance it would draw more work at once
            w.limit = max(1.0, w.limit / 2)
            w.suspended_until = max(w.suspended_until, now + REFUSED_MS * 2.0**w.refusals)
            w.refusals = min(w.refusals + 1, REFUSED_DOUBLINGS)
        elif kind is api.OutcomeKind.NO_CONNECTION:
            self.suspend(w, now)
        elif kind not in (api.OutcomeKind.CANCELLED, api.OutcomeKind.NOT_SENT):
            self.blame(a, now)

    def note_backlog(self, a: Attempt, now: float) -> None:
        """A job began late: others wait there too, sent by dispatchers that are not heard."""
        late = now - a.sent_at
        if self.unheard and late > START_LATE_MS:
            a.worker.full_until = max(a.worker.full_until, now + min(late, BACKLOG_MOST_MS))

    def suspend(self, w: Worker, now: float) -> None:
        """Leave a worker alone that cannot be reached."""
        if now >= w.suspended_until:
            w.suspended_until = now + failing_ms(w.unreached)
            w.limit = 1.0 if w.unreached else w.limit
            w.unreached += 1

    def blame(self, a: Attempt, now: float) -> None:
        """Leave a worker alone that failed: one that errs quickly is always free and would win every job.

        It is left by jobs of this class alone, as the others may run there as ever. What began and was never
        answered, by a worker that has answered others since, is a lost answer and not a worker that fails.
        """
        w, job_class = a.worker, a.job.job_class
        lost = a.started and w.heard_at > a.heard_at
        if not lost and now >= w.failed_until.get(job_class, NEVER):
            strikes = w.strikes.get(job_class, 0)
            w.limit = 1.0 if strikes else max(1.0, w.limit - LIMIT_STEP)
            w.failed_until[job_class] = now + failing_ms(strikes)
            w.strikes[job_class] = strikes + 1

    def most_fail(self, job: Job, now: float) -> bool:
        """Whether most workers have failed this class of late: then that tells nothing of any one of them."""
        pool = self.pool(job.kind.kind, job.hash)
        return sum(now < w.failed_until.get(job.job_class, NEVER) for w in pool) > EXCLUDED_MOST * len(pool)

    def set_quiet(self, a: Attempt, quiet: bool) -> None:
        """The attempt is taken to be over at its worker, or goes on."""
        if a.quiet is not quiet:
            a.quiet = quiet
            a.worker.filled -= a.job.slots if quiet else -a.job.slots


def stride(count: int) -> int:
    """How far the places move on from turn to turn: about the golden ratio of all, and each comes round."""
    found = max(1, round(count * 0.618))
    while math.gcd(found, count) > 1:
        found += 1
    return found


def failing_ms(times: int) -> float:
    """How long a worker is left alone that has failed so many times in a row before."""
    return min(SUSPEND_MS * 2.0 ** (times - 1), SUSPEND_MOST_MS) if times else SUSPEND_ONCE_MS


def top(pool: list[Worker], key_hash: int, count: int) -> list[Worker]:
    """The workers of a pool with the key's highest rendezvous hashes, best first."""
    # scores are even over 64 bits: of a large pool only the likely ones are kept and sorted
    least = 0 if len(pool) <= 3 * count else MASK - MASK * 2 * count // len(pool)
    scored = [(s, w.id, w) for w in pool if (s := (w.hash ^ key_hash) * ODD & MASK) > least]
    if len(scored) < min(count, len(pool)):
        scored = [((w.hash ^ key_hash) * ODD & MASK, w.id, w) for w in pool]
    scored.sort(reverse=True)
    return [w for _, _, w in scored[:count]]


def in_group(job: Job, anchor: Worker, w: Worker) -> bool:
    """Whether a worker drops repeats of what the anchor may have run."""
    group = job.kind.group
    near = w.zone == anchor.zone if group is api.Group.ZONE else w.cell == anchor.cell
    return near or group is api.Group.ALL


class SignatureIndex:
    """From a key to the workers whose last job from us had it, and the key's last send-to-outcome time."""

    def __init__(self) -> None:
        self.workers: dict[int | None, dict[int, Worker]] = {}
        self.seconds: dict[int | None, float] = {}
        self.counts: dict[int | None, float] = {}
        self.total = 0.0

    def count(self, key: int | None) -> None:
        """A job with this key has arrived; old ones fade."""
        self.counts[key] = self.counts.get(key, 0.0) + 1
        self.total += 1
        if self.total > 2 * SHARE_JOBS:
            self.total /= 2
            self.counts = {k: c / 2 for k, c in self.counts.items() if c >= 0.5}

    def share(self, key: int | None, prior: float) -> float:
        """The key's share of our recent jobs."""
        count = self.counts.get(key, 0.0)
        # at the low end of what chance allows: a key seen twice is not hot, and each home has to fetch it
        return max(0.0, count - math.sqrt(count)) / max(1.0, self.total + prior)

    def remember(self, w: Worker, key: int | None) -> None:
        """The worker's signature is now this key."""
        self.forget(w)
        w.key = key
        if key is not None:
            self.workers.setdefault(key, {})[w.id] = w

    def forget(self, w: Worker) -> None:
        """The worker's cache is not to be counted on any more."""
        if w.key is not None:
            named = self.workers[w.key]
            del named[w.id]
            if not named:
                del self.workers[w.key]
            w.key = None


class JobLedger:
    """Jobs not yet answered for good and attempts still out. The only place that sends, refuses or fails."""

    def __init__(self, settings: api.Settings, table: WorkerTable, signatures: SignatureIndex) -> None:
        self.settings = settings
        self.table = table
        self.signatures = signatures
        self.jobs: dict[str, Job] = {}
        self.out: dict[tuple[str, int], Attempt] = {}
        self.unstarted: deque[Attempt] = deque()  # attempts by time of send, until begun or late
        self.actions: list[api.Action] = []

    def may_send(self, job: Job, w: Worker, now: float) -> bool:
        """Rules 1 and 2: whether another attempt on this worker is allowed."""
        if job.id not in self.jobs or job.attempts >= self.settings.max_attempts or now >= job.expires:
            return False
        if not job.suspects:
            return True
        if 0 < job.kind.max_runs <= len(job.suspects):
            return False
        if job.kind.effect is api.Effect.UNSAFE or (job.is_open and not self.settings.may_duplicate):
            return False
        if job.kind.effect is api.Effect.SAFE:
            return True
        return in_group(job, job.suspects[0].worker, w) and now < self.repeat_until(job)

    def repeat_until(self, job: Job) -> float:
        """Until when a repeat may be written: the workers forget a key after its window.

        The window is counted from the first send that may have run.
        """
        if job.kind.effect is not api.Effect.KEYED or not job.suspects:
            return math.inf
        return job.suspects[0].sent_at + job.kind.window_ms - REPEAT_MARGIN_MS

    def send(self, job: Job, w: Worker, now: float) -> None:
        """Begin an attempt."""
        if not self.may_send(job, w, now):
            raise RuntimeError(f"job {job.id} must not be sent to worker {w.id}")
        not_after = self.repeat_until(job)
        a = Attempt(job, job.attempts, w, now)
        job.attempts += 1
        job.suspects.append(a)
        self.out[job.id, a.number] = a
        self.unstarted.append(a)
        self.table.count_sent(w, job, now)
        self.signatures.remember(w, job.key)
        cold = (job.work, w.cold_turn, w.cold_most) if w.cold_most else (0.0, -1, 0.0)
        self.actions.append(api.Send(job.id, w.id, 0.0, *cold, not_after))

    def outcome(self, event: api.Outcome, now: float) -> Job | None:
        """Take in the end of an attempt; returns the job if it is still owed an answer."""
        a = self.out.pop((event.job, event.attempt), None)
        if a is None:
            return None
        a.open = False
        self.table.count_ended(a, event.kind, now)
        self.table.take_report(a.worker, event.report, now)
        job = a.job
        if event.kind is api.OutcomeKind.SERVED:
            self.signatures.seconds[job.key] = event.elapsed_ms / 1000
        if event.done:
            self.end(job)
        if job.id not in self.jobs:
            return None
        if event.kind in api.PROVEN_NOT_RUN:
            job.suspects.remove(a)
        job.barred.add(a.worker.id)
        return job

    def may_refuse(self, job: Job) -> bool:
        """Rule 2: a refusal tells the client that a repeat is harmless."""
        anywhere = job.kind.effect is api.Effect.KEYED and job.kind.group is api.Group.ALL
        return not job.suspects or job.kind.effect is api.Effect.SAFE or anywhere

    def close(self, job: Job) -> None:
        """Give the final answer that is owed: refused where that is true, failed otherwise."""
        refusal = api.Refuse(job.id, self.settings.max_retry_after_ms)
        self.actions.append(refusal if self.may_refuse(job) else api.Fail(job.id))
        self.end(job)

    def end(self, job: Job) -> None:
        """The job has its final answer; copies still out are of no use."""
        if self.jobs.pop(job.id, None) is None:
            return
        if self.settings.may_cancel:
            self.actions += [api.Cancel(job.id, a.number) for a in job.suspects if a.open]


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
