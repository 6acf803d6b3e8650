"""The worker table: which workers are up, their free capacity, health, and budgets while they are cold.

A key's homes are the first workers in its rendezvous order. Cold workers started recently, with empty caches.
"""

from __future__ import annotations

import math

from spoolpier import interface as api
from spoolpier.constants import (
    EXTRA_WORKERS,
    FOREVER,
    LIMIT_STEP,
    NEVER,
    OVERHEAD_QUANTILE,
    START_LATE_MS,
)
from spoolpier.hashing import mix, top_ranked
from spoolpier.job_classes import JobClasses
from spoolpier.state import Attempt, Job, Worker

ORDER_SIZE = 12  # workers kept of a key's rendezvous order: if twelve are all busy, so is the fleet
TRUST_MS = 250.0  # a probed report says nothing about a worker's free slots after this
TRUST_ANSWER_MS = 1000.0  # the same where reports come only with answers: an old report is better than none
REPORT_LAG_MS = 250.0  # a job that was sent this recently may be missing from a report
BACKLOG_SHARE = 0.5  # a worker is skipped for this share of the time that its reported queue takes to run,
MAX_BACKLOG_MS = 5000.0  # but at most for this long, since other dispatchers skip it as well
RUN_MS = 500.0  # assumed time from send to outcome before any was observed
RUN_MEAN_WEIGHT = 0.05  # weight of each new observation in the mean run time
OVERHEAD_STEP_MS = 20.0  # step of the quantile estimate of the overhead, per outcome
PACE_STEP = 0.1  # the same for the pace, in multiples of the hint: a dozen slow outcomes show a slow fleet
REFUSED_MS = 100.0  # a worker that refused counts as full for this long, doubled per consecutive refusal
REFUSED_DOUBLINGS = 2  # up to this many times, because late reports still describe it as free
SUSPEND_ONCE_MS = 300.0  # how long a job class avoids a worker after one failure, which may be chance
SUSPEND_MS = 3000.0  # the same from the second consecutive failure on, doubled for each further one
MAX_SUSPEND_MS = 24_000.0
MAX_EXCLUDED = 0.5  # share of the workers that may be avoided: if more fail, the cause lies elsewhere
COLD_SAFETY = 0.4  # share of a cold budget that is used: two slices fit in one window, hints may be too low
COLD_JOB_MS = 400.0  # minimum part of a cold budget per dispatcher in a time slice: one common job,
COLD_FEW = 8.0  # scaled up in proportion beyond this many dispatchers, so that a long job fits too
MIN_SLOT_SPEED = 0.5  # work per slot and unit of time on the slowest supported machine
SPEED_SAFETY = 0.75  # share of the mean speed of warm workers of a kind that any one of them reaches
SPEED_PRIOR_MS = 10_000.0  # run time at MIN_SLOT_SPEED that is added to the observations
MAX_POOL = 128  # workers scored per key; in a larger fleet a key sees one shard, to bound the cost of scoring
MAX_ORDERS = 2048  # rendezvous orders in the cache; when it is full, the cache is cleared
MANY_DISPATCHERS = 8  # this many uncoordinated dispatchers fill a worker between two sends of one of them
FORGET_MS = 60_000.0  # a departed worker is kept for this long, or for two time slices if that is longer


class WorkerTable:
    """The listed workers and the state of each: free capacity, health, and the budget while it is cold."""

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.classes = JobClasses(settings.classes)
        self.workers: dict[int, Worker] = {}
        self.departed: dict[int, float] = {}  # workers that are not up, and since when, oldest first
        self.forget_ms = max(FORGET_MS, 2 * settings.fall_ms)
        self.cold_workers: dict[int, Worker] = {}  # workers that are up and started recently
        self.shard_bits = 0
        # by shard of the hashes: the workers up; these by kind; and rendezvous orders by key, kind and homes
        self.shards: dict[int, dict[int, Worker]] = {}
        self.pools: dict[int, dict[int, list[Worker]]] = {}
        self.orders: dict[int, dict[tuple[int, int, int], list[Worker]]] = {}
        # the last time slice looked at, and the cold workers that this dispatcher may use in it
        self.salt, self.time_slice, self.own_cold_workers = mix(settings.me + 1), -1, list[Worker]()
        self.stride = index_stride(settings.dispatchers)
        self.indexes: tuple[int, ...] = (settings.me,)  # whose time slices this dispatcher may use,
        self.guard_ms = 0.0  # except for this long at the start of each
        self.ahead_ms = 0.0  # the common clock minus the caller's; time slices are spans of the common clock
        self.no_time_slice_before = NEVER  # set after a step of the common clock
        self.fills_known = False  # all dispatchers report the slots they fill: limits cover them all
        # many dispatchers that cannot report the slots they fill: only a late start reveals a backlog
        crowd = settings.dispatchers >= MANY_DISPATCHERS
        self.fills_unreported = crowd and settings.tells_start and not settings.may_tell
        self.parts = 1  # parts of the fleet: the slots filled at a worker are reported within its part only
        self.slots_of_kind: dict[int, float] = {}
        # by verdict, pairs of worker and job class: excluded ones; ranked first (-1) or last (1)
        self.excluded, self.ranks = set[tuple[int, int]](), dict[tuple[int, int], int]()
        self.run_totals: dict[int, tuple[float, float]] = {}  # by kind of warm worker: hints and run times
        self.run_ms = RUN_MS
        self.overhead, self.quantile = 0.0, OVERHEAD_QUANTILE  # a quantile of the time beyond the hint
        self.pace = 1.0  # recent ratio of send-to-outcome time to hint; above 1 on machines that are shared
        self.trust_ms = TRUST_MS if settings.may_probe else TRUST_ANSWER_MS

    def take_list(self, event: api.WorkerList, now: float) -> list[Worker]:
        """Apply a list event; returns workers that left or restarted. A delta costs only what changed."""
        if event.form is api.ListForm.FAILED:
            return []
        gone: list[Worker] = []
        if event.form is not api.ListForm.DELTA:
            listed = {e.worker for e in event.entries}
            gone = [w for w in self.workers.values() if w.up and w.id not in listed]
            for worker in gone:
                self.set_in_service(worker, False, now)
        for e in event.entries:
            w = self.workers.get(e.worker) or self.add(e.worker, now)
            up = e.state is api.WorkerState.UP
            if w.up and not up:
                gone.append(w)
            if up and (not w.up or e.started_ms != w.started_ms):
                # a new or returning process: the old state would overload or starve a cold worker
                w.reported_at = w.full_until = NEVER
                w.listed_slots = max(1.0, e.weight) if self.settings.nominal_weights else 1.0
                w.limit = w.listed_slots if self.fills_known else self.settings.first_limit
                w.unreached, w.suspended_until, w.unreported_slots, w.max_cold_work = 0, NEVER, 0.0, 0.0
                w.strikes, w.failed_until = {}, {}
                gone.append(w)
            self.set_in_service(w, False, now)  # removes it from the indexes under its previous attributes
            w.zone, w.cell, w.kind = e.zone, e.cell, e.kind
            w.started_ms, w.since_ms = e.started_ms, e.since_ms
            self.set_in_service(w, up, now)
        self.reshard()
        self.forget_departed(now)
        self.time_slice = -1
        return gone

    def forget_class(self, number: int) -> None:
        """Forget a job class, and which workers failed it."""
        self.classes.remove(number)
        for w in self.workers.values():
            w.strikes.pop(number, None)
            w.failed_until.pop(number, None)
        self.excluded = {(worker, job_class) for worker, job_class in self.excluded if job_class != number}
        self.ranks = {key: rank for key, rank in self.ranks.items() if key[1] != number}

    def add(self, worker: int, now: float) -> Worker:
        """Add a worker that is seen for the first time; it is not up yet."""
        w = self.workers[worker] = Worker(worker, mix(worker))
        self.departed[worker] = now
        return w

    def set_in_service(self, w: Worker, up: bool, now: float) -> None:
        """Set whether a worker is up by the list, and update the indexes."""
        if w.up is up:
            return
        w.up = up
        shard = w.hash >> 64 - self.shard_bits
        self.clear_shard(shard)
        if up:
            self.departed.pop(w.id, None)
            self.shards.setdefault(shard, {})[w.id] = w
            if w.started_ms > 0:
                self.cold_workers[w.id] = w
        else:
            self.departed[w.id] = now
            del self.shards[shard][w.id]
            self.cold_workers.pop(w.id, None)

    def clear_shard(self, shard: int) -> None:
        """Drop the cached pools and orders of a shard."""
        self.pools.pop(shard, None)
        self.orders.pop(shard, None)

    def reshard(self) -> None:
        """Redistribute the workers over the shards when their number has passed a power of two."""
        bits = (sum(map(len, self.shards.values())) // (MAX_POOL + 1)).bit_length()
        if bits == self.shard_bits:
            return
        self.shard_bits = bits
        up = [w for shard in self.shards.values() for w in shard.values()]
        self.shards.clear()
        for w in up:
            self.shards.setdefault(w.hash >> 64 - bits, {})[w.id] = w
        self.clear_orders()

    def clear_orders(self) -> None:
        """Drop all cached pools and orders."""
        self.pools.clear()
        self.orders.clear()

    def forget_departed(self, now: float) -> None:
        """Bound memory: delete workers that left long ago and have no open attempt."""
        while self.departed:
            oldest, since = next(iter(self.departed.items()))
            if now - since <= self.forget_ms:
                return
            del self.departed[oldest]
            if self.workers[oldest].own_attempts:
                self.departed[oldest] = now
            else:
                del self.workers[oldest]

    def pool(self, kind: int, key_hash: int) -> list[Worker]:
        """Return the workers up of a kind (-1: any) in the key's shard of the fleet."""
        shard = key_hash >> 64 - self.shard_bits
        pools = self.pools.setdefault(shard, {})
        if (workers := pools.get(kind)) is None:
            ready = self.shards.get(shard, {}).values()
            workers = pools[kind] = [w for w in ready if kind in (-1, w.kind)]
        return workers

    def order(self, job: Job, homes: int) -> list[Worker]:
        """Return the start of the key's rendezvous order, cached until the list changes.

        Each dispatcher permutes the homes of a hot key by its salt, or all would send to the first at once.
        """
        key, shard = (job.hash, job.spec.kind, homes), job.hash >> 64 - self.shard_bits
        if (order := self.orders.get(shard, {}).get(key)) is None:
            if sum(map(len, self.orders.values())) >= MAX_ORDERS:
                self.orders.clear()
            wide = self.fills_known or self.fills_unreported
            length = MAX_POOL if wide else max(ORDER_SIZE, homes + ORDER_SIZE // 2)
            order = sorted(
                top_ranked(self.pool(job.spec.kind, job.hash), job.hash, length), key=self.in_other_part
            )
            order[:homes] = top_ranked(order[:homes], job.hash ^ self.salt, homes)
            if wide:
                rest = top_ranked(order[homes + EXTRA_WORKERS :], job.hash ^ self.salt, length)
                order[homes + EXTRA_WORKERS :] = sorted(rest, key=self.in_other_part)
            self.orders.setdefault(shard, {})[key] = order
        return order

    def in_other_part(self, w: Worker) -> bool:
        """Return whether the worker's part reports its filled slots to other dispatchers than this one."""
        return (w.id - self.settings.me) % self.parts != 0

    def home_count(self, share: float, job: Job) -> int:
        """Return how many workers a key with this share of the jobs needs, rounded up to a power of two."""
        wanted = share * (len(self.pool(job.spec.kind, job.hash)) << self.shard_bits) / self.parts
        return 1 << max(0, math.ceil(wanted) - 1).bit_length()

    def group_order(self, job: Job) -> list[Worker]:
        """Return the key's rendezvous order within the group of workers that drops the job's repeats."""
        ready = [w for w in self.workers.values() if w.up and job.spec.kind in (-1, w.kind)]
        return top_ranked(
            [w for w in ready if in_group(job, job.possible_runs[0].worker, w)], job.hash, ORDER_SIZE
        )

    def take_report(self, w: Worker, report: api.Report | None, now: float) -> None:
        """Update the worker's free capacity from a load report; one without free_slots is ignored."""
        if not report or "free_slots" not in report:
            return
        free, held = report["free_slots"], report.get("held", 0.0)
        slots = self.slots_of_kind.get(w.kind, 1.0)
        waiting = report.get("waiting", max(0.0, held - slots) if free < 1 else 0.0)
        if free >= 1 and free + held - waiting > slots:
            self.slots_of_kind[w.kind] = slots = free + held - waiting
        w.free_slots = free - waiting
        if waiting >= 1:
            # a queue lasts for as long as it takes to run, which is longer than a report is trusted
            run_ms = report.get("service_ms", self.run_ms)
            w.full_until = now + min(BACKLOG_SHARE * waiting * run_ms / slots, MAX_BACKLOG_MS)
        else:
            w.full_until = NEVER
        w.free_memory = report.get("free_memory")
        w.reported_at = now
        if now - w.last_sent_at > REPORT_LAG_MS:
            w.unreported_slots = 0.0

    def cold_budget(self, w: Worker, now: float) -> float:
        """Return the work in ms that this dispatcher may still send to a worker in the current time slice.

        It is unlimited once the worker is warm. All dispatchers together must not overload a cold worker, and
        do not communicate: in each time slice of fall_ms, a few, chosen by index, share what the worker can
        take, a mean job or more each.
        """
        s, w.max_cold_work = self.settings, 0.0
        if w.started_ms <= 0 or now - w.since_ms >= s.cold_ms:
            return FOREVER
        time_slice, elapsed = divmod(now + self.ahead_ms, s.fall_ms)
        time_slice, age = int(time_slice), now - elapsed - w.since_ms  # age at the start of the time slice
        share = s.cold_share + (1 - s.cold_share) * max(0.0, age) / s.cold_ms
        hinted_ms, taken_ms = self.run_totals.get(w.kind, (0.0, 0.0))
        speed = (hinted_ms * SPEED_SAFETY + SPEED_PRIOR_MS * MIN_SLOT_SPEED) / (taken_ms + SPEED_PRIOR_MS)
        power = max(self.slots_of_kind.get(w.kind, 1.0), w.listed_slots) * max(speed, MIN_SLOT_SPEED)
        budget = COLD_SAFETY * s.fall_multiple * share * power * s.fall_ms
        holders = max(1, min(s.dispatchers, int(budget / (COLD_JOB_MS * max(1.0, s.dispatchers / COLD_FEW)))))
        own = sum((i - w.hash - time_slice * self.stride) % s.dispatchers < holders for i in self.indexes)
        if not own or elapsed < self.guard_ms or now < self.no_time_slice_before:
            return 0.0
        if w.cold_time_slice != time_slice:
            w.cold_time_slice, w.cold_work_spent = time_slice, 0.0
        w.max_cold_work = budget * own / holders
        return w.max_cold_work - w.cold_work_spent

    def eligible_cold_workers(self, now: float) -> list[Worker]:
        """Return cold workers whose time slice is ours now: key orders alone seldom lead there meanwhile."""
        if (time_slice := int((now + self.ahead_ms) // self.settings.fall_ms)) != self.time_slice:
            self.time_slice = time_slice
            for w in [w for w in self.cold_workers.values() if now - w.since_ms >= self.settings.cold_ms]:
                del self.cold_workers[w.id]
            self.own_cold_workers = [w for w in self.cold_workers.values() if self.cold_budget(w, now) > 0]
        return self.own_cold_workers

    def count_sent(self, w: Worker, job: Job, now: float) -> None:
        """Count the slots and the work of a job that is sent to the worker."""
        w.own_attempts += 1
        w.own_slots += job.slots
        w.unreported_slots += job.slots
        w.last_sent_at, w.cold_work_spent = now, w.cold_work_spent + job.work

    def count_ended(self, a: Attempt, kind: api.OutcomeKind, now: float) -> None:
        """Release the slots of an attempt that ended, and update the worker's health and limit."""
        w = a.worker
        w.own_attempts -= 1
        w.own_slots -= 0.0 if a.presumed_lost else a.job.slots
        w.unreported_slots = max(0.0, w.unreported_slots - a.job.slots)
        if kind is api.OutcomeKind.SERVED:
            w.refusals = w.unreached = 0
            w.last_received_at = now
            w.strikes.pop(a.job.job_class, None)
            w.failed_until.pop(a.job.job_class, None)
            if a.job.hint_ms:
                if a.started and w.started_ms <= 0:
                    hinted_ms, taken_ms = self.run_totals.get(w.kind, (0.0, 0.0))
                    self.run_totals[w.kind] = hinted_ms + a.job.hint_ms, taken_ms + now - a.started_at
                slow = now - a.sent_at > self.pace * a.job.hint_ms
                self.pace = max(1.0, self.pace + PACE_STEP * (self.quantile if slow else self.quantile - 1))
            over = now - a.sent_at - (a.job.hint_ms or self.run_ms) > self.overhead
            self.overhead += OVERHEAD_STEP_MS * (self.quantile if over else self.quantile - 1)
            self.run_ms += RUN_MEAN_WEIGHT * (now - a.sent_at - self.run_ms)
            if not self.settings.tells_start:
                w.limit += 1 / w.limit
        elif kind is api.OutcomeKind.REFUSED:
            # A refusal is fast and frees its slot: counted as an acceptance it would attract more jobs.
            w.limit = max(1.0, w.limit / 2)
            w.suspended_until = max(w.suspended_until, now + REFUSED_MS * 2.0**w.refusals)
            w.refusals = min(w.refusals + 1, REFUSED_DOUBLINGS)
        elif kind is api.OutcomeKind.NO_CONNECTION:
            self.suspend(w, now)
        elif kind not in (api.OutcomeKind.CANCELLED, api.OutcomeKind.NOT_SENT):
            self.record_failure(a, now)

    def record_late_start(self, a: Attempt, now: float) -> None:
        """Treat a worker that started a job late as full: jobs of other dispatchers queue there."""
        late_ms = now - a.sent_at
        if self.fills_unreported and late_ms > START_LATE_MS:
            a.worker.full_until = max(a.worker.full_until, now + min(late_ms, MAX_BACKLOG_MS))

    def suspend(self, w: Worker, now: float) -> None:
        """Avoid a worker that cannot be reached, for all job classes."""
        if now >= w.suspended_until:
            w.suspended_until = now + avoidance_ms(w.unreached)
            w.limit = 1.0 if w.unreached else w.limit
            w.unreached += 1

    def record_failure(self, a: Attempt, now: float) -> None:
        """Avoid a worker that failed: one that fails fast is always free and would attract every job.

        Only this job class avoids it, as other classes may still run there. If the attempt started but was
        never answered, and the worker has answered others since, the answer was lost and the worker is fine.
        """
        w, job_class = a.worker, a.job.job_class
        answer_lost = a.started and w.last_received_at > a.last_received_at
        known = job_class in self.classes  # a class may be removed while its last attempt is open
        if known and not answer_lost and now >= w.failed_until.get(job_class, NEVER):
            strikes = w.strikes.get(job_class, 0)
            w.limit = 1.0 if strikes else max(1.0, w.limit - LIMIT_STEP)
            w.failed_until[job_class] = now + avoidance_ms(strikes)
            w.strikes[job_class] = strikes + 1

    def majority_failing(self, job: Job, now: float) -> bool:
        """Return whether most workers failed this class recently; then no single one is to blame."""
        pool = self.pool(job.spec.kind, job.hash)
        return sum(now < w.failed_until.get(job.job_class, NEVER) for w in pool) > MAX_EXCLUDED * len(pool)

    def set_presumed_lost(self, a: Attempt, lost: bool) -> None:
        """Set whether an attempt's answer is presumed lost; such an attempt occupies no slot."""
        if a.presumed_lost is not lost:
            a.presumed_lost = lost
            a.worker.own_slots -= a.job.slots if lost else -a.job.slots


def index_stride(count: int) -> int:
    """Return the shift of indexes per time slice: about 0.618 of the count; coprime, so it reaches all."""
    stride = max(1, round(count * 0.618))
    while math.gcd(stride, count) > 1:
        stride += 1
    return stride


def avoidance_ms(failures: int) -> float:
    """Return for how long a worker is avoided that failed this many times in a row before."""
    return min(SUSPEND_MS * 2.0 ** (failures - 1), MAX_SUSPEND_MS) if failures else SUSPEND_ONCE_MS


def in_group(job: Job, anchor: Worker, w: Worker) -> bool:
    """Return whether a worker drops repeats of a job that the anchor may have run."""
    group = job.spec.group
    near = w.zone == anchor.zone if group is api.Group.ZONE else w.cell == anchor.cell
    return near or group is api.Group.ALL
