"""Tenants' token quotas. The keeper that is head of the chain lends parts of them to the routers.

Two limits apply to each quota: a token bucket, which bounds peaks, and a sliding window, over which the quota
is measured. The unit of a quota, called tokens here, is model tokens or requests as the configuration says.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from pebbledrift.control.unheard import Absence, UnheardRouters
from spoolpier.records import record

MIN_BURST_S = 0.25  # smallest usable burst, in seconds of the rate
INITIAL_FILL_SHARE = 0.3  # initial fill of a new bucket; the previous lender may just have lent the rest
UNKNOWN_SPENDING_SHARE = 0.5  # of a router's equal part, assumed as spent in the time before its restart
MIN_RESTART_S = 0.2  # shortest duration of a restart; a router spends nothing meanwhile
WINDOW_RETRY_S = 0.3  # retry delay returned to the borrower if the window is used up
HISTORY_STEP_S = 0.05  # spending within this time is merged into one history entry
SLOT_S = 0.5  # length of a time slot in spending reports
BUCKET_DEPTH_BURSTS = 1.6  # bucket capacity; above 1 so that short peaks pass, as the window bounds the total
WINDOW_MARGIN_S = 0.5  # added to the window's span, because lent tokens reach the worker with a delay
MIN_FALLBACK_SHARE = 0.25  # minimum rate of a router without a lender, as a share of its equal part
OVERSHOOT_SHARE = 0.5  # part of the allowed overshoot to lend; the rest covers spending unknown to a new head


class LoanPriority(IntEnum):
    """Order in which a tenant's requests are served when its quota runs short."""

    SMALL = 0  # costs a fraction of the tenant's usual request, so many fit into the cost of a large one
    URGENT = 1  # requests on the routes of highest priority
    ORDINARY = 2


# Share of a burst that is reserved for requests of higher priority than the key.
RESERVED_SHARES = {LoanPriority.SMALL: 0.0, LoanPriority.URGENT: 0.05, LoanPriority.ORDINARY: 0.3}


@dataclass(slots=True)
class Bucket:
    """A token bucket that fills by `rate` tokens per second up to `burst`; last refilled at `at`."""

    rate: float
    burst: float
    level: float
    at: float

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        grown = self.level + max(0.0, now - self.at) * self.rate
        self.level, self.at = min(grown, self.burst), max(now, self.at)

    def take(self, need: float, want: float, reserved: float = 0.0) -> float:
        """Remove and return up to `want` tokens, at least `need`; 0 if `need` would cut into `reserved`.

        A need above the capacity is granted from a full bucket, whose level then becomes negative.
        """
        if self.level - reserved < min(need, self.burst - reserved):
            return 0.0
        granted = max(need, min(want, self.level - reserved))
        self.level -= granted
        return granted

    def wait_for(self, need: float) -> float:
        """Seconds until the bucket holds `need` tokens; 60 if the rate is 0."""
        return max(0.0, need - self.level) / self.rate if self.rate > 0 else 60.0


@dataclass(slots=True)
class _SpendingStep:
    """Tokens spent within HISTORY_STEP_S; all of them expire with the last one."""

    started_at: float
    last: float
    tokens: float


class SpendingHistory:
    """Tokens spent of one tenant's quota in the last `span_s` seconds."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._steps: deque[_SpendingStep] = deque()
        self._total = 0.0

    def add(self, tokens: float, at: float) -> None:
        """Record tokens spent at a time, which must not be earlier than that of any previous call."""
        self.total(at)
        self._total += tokens
        newest = self._steps[-1] if self._steps else None
        if newest is not None and at - newest.started_at < HISTORY_STEP_S:
            newest.last, newest.tokens = at, newest.tokens + tokens
        else:
            self._steps.append(_SpendingStep(at, at, tokens))

    def total(self, now: float) -> float:
        """Tokens spent within the span before `now`."""
        while self._steps and now - self._steps[0].last > self._span_s:
            self._total -= self._steps.popleft().tokens
        return self._total if self._steps else 0.0

    def slots(self, now: float) -> tuple[float, ...]:
        """Tokens spent in each time slot of SLOT_S before `now`, the newest first."""
        self.total(now)
        slots = [0.0] * math.ceil(self._span_s / SLOT_S)
        for step in self._steps:
            slots[min(len(slots) - 1, max(0, int((now - step.last) / SLOT_S)))] += step.tokens
        return tuple(slots)

    def replace(self, spending: Iterable[SpendingSlot]) -> None:
        """Replace the history by the given time slots, in any order."""
        self._steps.clear()
        self._total = 0.0
        for slot in sorted(spending, key=lambda slot: slot.at):
            self.add(slot.tokens, slot.at)


@record
class SpendingSlot:
    """Tokens spent within one time slot of SLOT_S; `at` is the middle of the slot."""

    at: float
    tokens: float

    def after(self, time: float) -> float:
        """Tokens of this slot that were spent after `time`, assuming an even rate within the slot."""
        fraction = (self.at + SLOT_S / 2 - time) / SLOT_S
        return self.tokens * min(1.0, max(0.0, fraction))


@record
class SpendingReport:
    """A router's spending since it started: by tenant, the tokens in each time slot, the newest first."""

    age_s: float  # time since the router started
    spent: Mapping[str, Sequence[float]]
    received_at: float = 0.0


@record
class TenantQuota:
    """A tenant's configured quota, in tokens or requests per second."""

    name: str
    rate: float
    burst: float
    counts_tokens: bool
    uncached_tokens: float


def quotas_of(config: dict[str, Any] | None) -> list[TenantQuota]:
    """Return the quotas in a configuration, without tenants whose rate is 0: they have no limit."""
    quotas = []
    for tenant in (config or {}).get("tenants") or []:
        rate = float(tenant.get("rate-per-s") or 0.0)
        if rate > 0:
            counts_tokens = tenant.get("unit") == "tokens"
            uncached_tokens = float(tenant.get("uncached-tokens") or 0.0)
            quotas.append(
                TenantQuota(
                    tenant["name"], rate, float(tenant.get("burst") or 0.0), counts_tokens, uncached_tokens
                )
            )
    return quotas


def usable_burst(rate: float, burst: float) -> float:
    """The effective burst: at least MIN_BURST_S of the rate, or no large request would ever pass."""
    return max(burst, MIN_BURST_S * rate)


@record
class QuotaWindow:
    """The sliding window over which a quota is measured, and the allowed overshoot."""

    span_s: float = 8.0
    overshoot: float = 0.1  # fraction of the quota

    @property
    def remembered_s(self) -> float:
        """How long spent tokens count, in seconds."""
        return self.span_s + WINDOW_MARGIN_S

    def max_lent(self, rate: float, burst: float) -> float:
        """Maximum number of tokens that may be lent in one window."""
        return (rate * self.span_s + burst) * (1.0 + OVERSHOOT_SHARE * self.overshoot)


@dataclass(slots=True)
class _Account:
    """One tenant's quota, its bucket, and recent loans by this lender and spending before it took over."""

    quota: TenantQuota
    bucket: Bucket
    lent: SpendingHistory
    spent_before: SpendingHistory
    reported_rate: float = 0.0  # mean rate of the routers that reported when this lender began

    @property
    def burst(self) -> float:
        """The quota's effective burst; the bucket's capacity is BUCKET_DEPTH_BURSTS times as large."""
        return usable_burst(self.quota.rate, self.quota.burst)

    def available(self, window: QuotaWindow, now: float) -> float:
        """Tokens that may still be lent in the window."""
        max_lent = window.max_lent(self.quota.rate, self.burst)
        return max_lent - self.lent.total(now) - self.spent_before.total(now)


class QuotaLender:
    """Lends tokens of the tenants' quotas, each limited by its bucket and window. Times are in seconds."""

    def __init__(self, window: QuotaWindow) -> None:
        self._window = window
        self._accounts: dict[str, _Account] = {}

    def clear(self) -> None:
        """Drop all accounts; new ones lend little until `reconcile` has the routers' spending reports."""
        self._accounts.clear()

    def reconcile(self, reports: Sequence[SpendingReport], routers: int, now: float) -> None:
        """Raise the bucket levels to what is left of the quotas according to the routers' spending reports.

        A router without a report is assumed to have spent as much as the others on average, and at least its
        equal part of the quota. For the time before a router's restart, which its report does not cover, half
        of the equal part is assumed. At worst the other half is lent twice, which is well within the allowed
        overshoot.
        """
        for name, account in self._accounts.items():
            spending = self._spending_before(name, account.quota.rate, reports, routers, now)
            account.spent_before.replace(spending)
            reported = sum(sum(report.spent.get(name, ())) for report in reports)
            account.reported_rate = reported / max(1, len(reports)) / self._window.remembered_s
            bucket = account.bucket
            bucket.refill(now)
            since = now - bucket.burst / bucket.rate
            recent = sum(slot.after(since) for slot in spending) + account.lent.total(now)
            bucket.level = max(bucket.level, bucket.burst - recent)

    def _spending_before(
        self, name: str, rate: float, reports: Sequence[SpendingReport], routers: int, now: float
    ) -> list[SpendingSlot]:
        """Reported and assumed spending of all routers before this lender took over."""
        equal_part = rate * SLOT_S / max(1, routers, len(reports))  # of one router in one time slot
        missing = max(0, routers - len(reports))
        count = math.ceil(self._window.remembered_s / SLOT_S)
        spending = []
        for index in range(count):
            unreported = missing * max(equal_part, _mean_in_slot(name, reports, index))
            spending.append(SpendingSlot(_slot_middle(now, index), unreported))
        for report in reports:
            spent = report.spent.get(name, ())
            covered_slots = (report.age_s + MIN_RESTART_S) / SLOT_S
            for index in range(count):
                unknown_fraction = min(1.0, max(0.0, index + 1 - covered_slots))
                reported = spent[index] if index < len(spent) else 0.0
                tokens = reported + UNKNOWN_SPENDING_SHARE * unknown_fraction * equal_part
                spending.append(SpendingSlot(_slot_middle(report.received_at, index), tokens))
        return spending

    def configure(self, quotas: Iterable[TenantQuota], now: float) -> None:
        """Adopt the quotas of a configuration; existing accounts keep their history."""
        accounts = {}
        for quota in quotas:
            depth = BUCKET_DEPTH_BURSTS * usable_burst(quota.rate, quota.burst)
            account = self._accounts.get(quota.name) or self._open(quota, depth, now)
            bucket = account.bucket
            bucket.refill(now)
            bucket.rate, bucket.burst, account.quota = quota.rate, depth, quota
            bucket.level = min(bucket.level, depth)
            accounts[quota.name] = account
        self._accounts = accounts

    def _open(self, quota: TenantQuota, depth: float, now: float) -> _Account:
        """Return a new account, assuming that the full rate was spent throughout the window before `now`."""
        span_s = self._window.remembered_s
        spent_before = SpendingHistory(span_s)
        count = int(span_s / SLOT_S)
        spent_before.replace([SpendingSlot(_slot_middle(now, i), quota.rate * SLOT_S) for i in range(count)])
        bucket = Bucket(quota.rate, depth, INITIAL_FILL_SHARE * depth, now)
        return _Account(quota, bucket, SpendingHistory(span_s), spent_before)

    def status(self, now: float) -> dict[str, dict[str, float]]:
        """By tenant: rate, burst, tokens lent in the current window (`lent`) and their maximum (`most`)."""
        status = {}
        for name, account in self._accounts.items():
            max_lent = self._window.max_lent(account.quota.rate, account.burst)
            lent = max_lent - account.available(self._window, now)
            quota = account.quota
            status[name] = {"rate": quota.rate, "burst": quota.burst, "lent": lent, "most": max_lent}
        return status

    def set_aside(
        self, absences: Iterable[Absence], unheard: UnheardRouters, routers: int, now: float
    ) -> None:
        """Count what routers may have spent by themselves while they were not heard as lent to them."""
        for absence in absences:
            for name, account in self._accounts.items():
                equal_part = account.quota.rate / max(1, routers)
                known_least = MIN_FALLBACK_SHARE * equal_part
                least = max(equal_part, account.reported_rate) if absence.is_new else known_least
                rate = min(max(unheard.rate(absence.router, name), least), account.quota.rate)
                tokens = rate * absence.duration_s
                account.lent.add(tokens, now)
                unheard.lent(absence.router, name, tokens, now)

    def lend(
        self, tenant: str, need: float, want: float, now: float, priority: LoanPriority
    ) -> tuple[float, float]:
        """Lend up to `want` tokens, at least `need`.

        Returns the tokens lent, and the seconds after which to retry if that is 0.
        """
        account = self._accounts.get(tenant)
        if account is None:
            return 0.0, 1.0
        bucket = account.bucket
        bucket.refill(now)
        reserved = RESERVED_SHARES[priority] * account.burst
        available = account.available(self._window, now) - reserved
        if available < need and bucket.burst > need:
            return 0.0, WINDOW_RETRY_S
        granted = bucket.take(need, min(want, max(need, available)), reserved)
        if granted:
            account.lent.add(granted, now)
        return granted, 0.0 if granted else bucket.wait_for(need + reserved)


def _slot_middle(reported_at: float, index: int) -> float:
    """The middle of a time slot; slot 0 ends at the time of the report."""
    return reported_at - (index + 0.5) * SLOT_S


def _mean_in_slot(name: str, reports: Sequence[SpendingReport], index: int) -> float:
    """Tokens of a tenant that a router spent in one time slot, on average over the reports."""
    spent = [report.spent.get(name, ()) for report in reports]
    return sum(slots[index] for slots in spent if index < len(slots)) / max(1, len(reports))
