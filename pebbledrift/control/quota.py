"""Tokens of the tenants, lent to the routers by the one keeper that acts for all."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from spoolpier.records import record

LEAST_BURST_S = 0.25
FIRST_SHARE = 0.3  # of a burst, to begin with: others may have lent the rest just before
UNKNOWN_SHARE = 0.5  # of a router's part that counts as taken for the time before its restart
RESTART_S = 0.2  # a restart takes so long at least, and nothing is taken meanwhile
HISTORY_S = 10.0  # spending is remembered for so long
HISTORY_STEP_S = 0.05


class LoanPriority(IntEnum):
    """Which requests of a tenant go first where its quota runs out."""

    SMALL = 0  # a fraction of the tenant's usual cost: many of them are served for one large one
    URGENT = 1  # of the most urgent routes
    ORDINARY = 2


# Share of a burst that is kept for requests that go before these.
RESERVES = {LoanPriority.SMALL: 0.0, LoanPriority.URGENT: 0.05, LoanPriority.ORDINARY: 0.3}


@dataclass(slots=True)
class Bucket:
    """What may still be spent: grows by `rate` a second up to `burst`."""

    rate: float
    burst: float
    level: float
    at: float

    def refill(self, now: float) -> None:
        """Count the time since the last call."""
        grown = self.level + max(0.0, now - self.at) * self.rate
        self.level, self.at = min(grown, self.burst), max(now, self.at)

    def take(self, need: float, want: float, keep: float = 0.0) -> float:
        """Take what is wanted, or at least what is needed; 0 where there is not even that beside `keep`."""
        if self.level - keep < min(need, self.burst - keep):
            return 0.0
        taken = max(need, min(want, self.level - keep))
        self.level -= taken
        return taken

    def wait_for(self, need: float) -> float:
        """Seconds until as much has grown."""
        return max(0.0, need - self.level) / self.rate if self.rate > 0 else 60.0


class SpendingHistory:
    """What was taken of one tenant's quota lately."""

    def __init__(self) -> None:
        self._taken: deque[tuple[float, float]] = deque()

    def add(self, tokens: float, now: float) -> None:
        """Count tokens that were taken now."""
        if self._taken and now - self._taken[-1][0] < HISTORY_STEP_S:
            at, before = self._taken.pop()
            self._taken.append((at, before + tokens))
        else:
            self._taken.append((now, tokens))
        while now - self._taken[0][0] > HISTORY_S:
            self._taken.popleft()

    def within(self, span_s: float, now: float) -> float:
        """What was taken in the last `span_s` seconds."""
        return sum(tokens for at, tokens in self._taken if now - at <= span_s + HISTORY_STEP_S)


@record
class SpendingReport:
    """What a router has taken of each quota in the time in which its burst grows back, if it ran as long."""

    age_s: float
    taken: Mapping[str, float]


@record
class TenantQuota:
    """A tenant's agreed rate, in tokens or requests a second."""

    name: str
    rate: float
    burst: float
    in_tokens: bool
    uncached_tokens: float


def quotas_of(config: dict[str, Any] | None) -> list[TenantQuota]:
    """The quotas that a configuration sets; a rate of 0 is no limit."""
    found = []
    for tenant in (config or {}).get("tenants") or []:
        rate = float(tenant.get("rate-per-s") or 0.0)
        if rate > 0:
            in_tokens = tenant.get("unit") == "tokens"
            plain = float(tenant.get("uncached-tokens") or 0.0)
            found.append(
                TenantQuota(tenant["name"], rate, float(tenant.get("burst") or 0.0), in_tokens, plain)
            )
    return found


def usable_burst(rate: float, burst: float) -> float:
    """What may be saved up: without a burst, a part of a second's rate, or nothing large would ever pass."""
    return max(burst, LEAST_BURST_S * rate)


def burst_span(rate: float, burst: float) -> float:
    """The seconds in which a whole burst grows back: what was taken before that no longer matters."""
    return usable_burst(rate, burst) / rate


class TokenBank:
    """The buckets of all tenants."""

    def __init__(self) -> None:
        self._buckets: dict[str, Bucket] = {}
        self._lent: dict[str, float] = {}

    def clear(self) -> None:
        """Begin anew, with little to lend until the routers have told what they took."""
        self._buckets.clear()
        self._lent.clear()

    def settle(self, reports: Sequence[SpendingReport], routers: int, now: float) -> None:
        """Raise what may be lent to what is left, by what the routers have taken.

        Whoever has not told counts with its equal part. So does, by half, one that does not know what it took
        before its restart: at worst the rest is lent twice, well within what a quota may be overshot by.
        """
        for name, bucket in self._buckets.items():
            span = burst_span(bucket.rate, bucket.burst)
            part = bucket.burst / max(1, routers, len(reports))
            taken = self._lent.get(name, 0.0) + max(0, routers - len(reports)) * part
            for report in reports:
                unknown = max(0.0, 1.0 - (report.age_s + RESTART_S) / span)
                taken += report.taken.get(name, 0.0) + UNKNOWN_SHARE * unknown * part
            bucket.refill(now)
            bucket.level = max(bucket.level, bucket.burst - taken)

    def configure(self, quotas: Iterable[TenantQuota], now: float) -> None:
        """Follow a configuration."""
        buckets = {}
        for quota in quotas:
            known = self._buckets.get(quota.name)
            if known is None:
                burst = usable_burst(quota.rate, quota.burst)
                known = Bucket(quota.rate, burst, FIRST_SHARE * burst, now)
            else:
                known.refill(now)
                known.rate, known.burst = quota.rate, usable_burst(quota.rate, quota.burst)
                known.level = min(known.level, known.burst)
            buckets[quota.name] = known
        self._buckets = buckets

    def lend(
        self, tenant: str, need: float, want: float, now: float, priority: LoanPriority
    ) -> tuple[float, float]:
        """What is lent, and after how long there may be enough."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return 0.0, 1.0
        bucket.refill(now)
        keep = RESERVES[priority] * bucket.burst
        granted = bucket.take(need, want, keep)
        self._lent[tenant] = self._lent.get(tenant, 0.0) + granted
        return granted, 0.0 if granted else bucket.wait_for(need + keep)
