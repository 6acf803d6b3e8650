"""Tokens of the tenants, lent to the routers by the one keeper that acts for all."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

LEAST_BURST_S = 0.25
FIRST_SHARE = 0.3  # of a burst, to begin with: others may have lent the rest just before


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


@dataclass(frozen=True, slots=True)
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


def _burst(quota: TenantQuota) -> float:
    """What may be saved up: without a burst, a part of a second's rate, or nothing large would ever pass."""
    return max(quota.burst, LEAST_BURST_S * quota.rate)


class TokenBank:
    """The buckets of all tenants."""

    def __init__(self) -> None:
        self._buckets: dict[str, Bucket] = {}

    def clear(self) -> None:
        """Begin anew, with nothing to lend."""
        self._buckets.clear()

    def configure(self, quotas: Iterable[TenantQuota], now: float) -> None:
        """Follow a configuration."""
        buckets = {}
        for quota in quotas:
            known = self._buckets.get(quota.name)
            if known is None:
                known = Bucket(quota.rate, _burst(quota), FIRST_SHARE * _burst(quota), now)
            else:
                known.refill(now)
                known.rate, known.burst = quota.rate, _burst(quota)
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
        return granted, 0.0 if granted else bucket.wait_for(need + keep)
