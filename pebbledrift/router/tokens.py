"""Token quotas of tenants at one router.

A keeper lends parts of each tenant's quota to the routers. Without a reachable keeper, each router limits
the tenant locally at a rate that it estimates.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from pebbledrift.control.quota import (
    MIN_FALLBACK_SHARE,
    Bucket,
    LoanPriority,
    QuotaWindow,
    SpendingHistory,
)
from pebbledrift.overlay.messages import TokenGrant, TokenReport, TokenRequest
from pebbledrift.router.routes import Tenant

LOAN_VALIDITY_S = 1.5  # the unused rest of a loan expires after this time
LENDER_TIMEOUT_S = 0.12  # wait for the keeper's answer; after this the router decides locally
BORROW_AHEAD_S = 0.25  # a router borrows its own expected demand for this time in advance
DEMAND_WEIGHT = 0.1  # four times this share of the demand average is replaced each second
MAX_DENIED_S = 1.0  # cap on a denial's retry delay (a quarter of it is cached) and on local retry delays
MIN_RETRY_AFTER_S = 0.05  # lower limit of the retry delay in a refusal
SMALL_COST_SHARE = 0.2  # a request that costs less than this share of the tenant's average cost is small
AVERAGE_COST_WEIGHT = 0.05  # weight of each new request in that average
FALLBACK_BURST_S = 0.3  # without a keeper, a tenant can save up the tokens of this time


class Lender(Protocol):
    """Sends requests to the keeper that lends tokens."""

    def ask(self, request: TokenRequest) -> bool:
        """Send a request. Returns False if no acting keeper is known."""

    def routers(self) -> int:
        """Returns the number of routers in the fleet."""


class _Denial(NamedTuple):
    """A denied cost: requests of at least this cost are not sent to the keeper before `until`."""

    cost: float
    until: float


_NO_DENIAL = _Denial(0.0, 0.0)


@dataclass(slots=True)
class _TenantBudget:
    """The tokens of one tenant's quota that are lent to this router, and the tenant's demand here."""

    tenant: Tenant
    spending: SpendingHistory
    balance: float = 0.0
    expires_at: float = 0.0  # loop time at which the balance becomes void
    denied: dict[LoanPriority, _Denial] = field(default_factory=dict)
    average_cost: float = 0.0
    demand: float = 0.0  # moving average of the tokens per second that requests need at this router
    demand_at: float = 0.0  # loop time of the last update of `demand`
    fallback: Bucket | None = None  # the local limit while no keeper answers

    def priority(self, cost: float, urgent: bool) -> LoanPriority:
        """Returns the priority of a request for a loan; it matters when the quota runs out."""
        if cost < SMALL_COST_SHARE * self.average_cost:
            return LoanPriority.SMALL
        return LoanPriority.URGENT if urgent else LoanPriority.ORDINARY

    def denied_for(self, cost: float, priority: LoanPriority, now: float) -> float:
        """Returns the seconds for which an earlier denial still covers a request of this cost.

        Zero or less means that the request may be sent to the keeper.
        """
        denial = self.denied.get(priority, _NO_DENIAL)
        return denial.until - now if cost >= denial.cost else 0.0

    def deny(self, cost: float, priority: LoanPriority, now: float, retry_after_s: float) -> None:
        """Remember a denial, for this priority and for all lower ones."""
        denial = _Denial(cost, now + min(retry_after_s, MAX_DENIED_S) / 4)
        for lower in LoanPriority:
            if lower >= priority:
                self.denied[lower] = denial

    def record_demand(self, cost: float, now: float) -> None:
        """Update the averages of the demand and of the cost of a request."""
        if self.demand_at:
            self.demand *= max(0.0, 1.0 - DEMAND_WEIGHT * (now - self.demand_at) * 4.0)
        self.demand += cost * DEMAND_WEIGHT * 4.0
        self.demand_at = now
        previous = self.average_cost or cost
        self.average_cost = previous + AVERAGE_COST_WEIGHT * (cost - previous)


@dataclass(slots=True)
class _PendingRequest:
    """A request that waits for the keeper to answer its loan request."""

    budget: _TenantBudget
    cost: float
    priority: LoanPriority
    on_decision: Callable[[float | None], None]
    timer: asyncio.TimerHandle | None = field(default=None)


class TokenBudgets:
    """Charges requests to the quotas of their tenants, or returns a retry delay.

    `random_fraction` returns random numbers from 0 to 1. Times are in seconds of the event loop's clock.
    """

    def __init__(
        self,
        lender: Lender,
        window: QuotaWindow | None = None,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self._lender, self._random_fraction = lender, random_fraction
        self._window = window or QuotaWindow()
        self._loop = asyncio.get_running_loop()
        self._budgets: dict[str, _TenantBudget] = {}
        self._pending: dict[int, _PendingRequest] = {}  # by number of the loan request
        self._advances: dict[int, _TenantBudget] = {}  # loans requested in advance, by number
        self._last_number = 0
        self._epoch = 0
        self._started = self._loop.time()

    def configure(self, tenants: Iterable[Tenant]) -> None:
        """Apply the tenants of a new configuration. Budgets of tenants that remain keep their state."""
        budgets = {}
        for tenant in tenants:
            if tenant.limited:
                budget = self._budgets.get(tenant.name) or self._new_budget(tenant)
                if budget.tenant.rate != tenant.rate:
                    budget.fallback, budget.balance = None, min(budget.balance, tenant.rate * BORROW_AHEAD_S)
                budget.tenant = tenant
                budgets[tenant.name] = budget
        self._budgets = budgets

    def _new_budget(self, tenant: Tenant) -> _TenantBudget:
        return _TenantBudget(tenant, SpendingHistory(self._window.remembered_s))

    def report(self, epoch: int) -> TokenReport:
        """Returns the recent spending of each tenant: a keeper that begins to lend has no record of it."""
        now = self._loop.time()
        spending = [(name, budget.spending.slots(now)) for name, budget in self._budgets.items()]
        return TokenReport(epoch, now - self._started, tuple(spending))

    def take(
        self, tenant: Tenant, cost: float, urgent: bool, on_decision: Callable[[float | None], None]
    ) -> None:
        """Charge the cost of a request to its tenant's quota.

        `on_decision` is called at once or later: with None if the request may run, or with the seconds
        after which the quota may suffice. When a quota runs out, the keeper reserves parts of it for small
        requests and for the most urgent ones.
        """
        budget = self._budgets.get(tenant.name)
        if budget is None:
            on_decision(None)
            return
        now = self._loop.time()
        budget.record_demand(cost, now)
        priority = budget.priority(cost, urgent)
        if now >= budget.expires_at:
            budget.balance = 0.0
        if budget.balance >= cost:
            budget.balance -= cost
            on_decision(None)
            self._borrow_ahead(budget, cost)
        elif (wait := budget.denied_for(cost, priority, now)) > 0:
            on_decision(max(wait, MIN_RETRY_AFTER_S))
        else:
            self._borrow(budget, cost, priority, on_decision)

    def _borrow(
        self,
        budget: _TenantBudget,
        cost: float,
        priority: LoanPriority,
        on_decision: Callable[[float | None], None],
    ) -> None:
        need = cost - budget.balance
        ahead = budget.demand * BORROW_AHEAD_S if priority == LoanPriority.ORDINARY else 0.0
        number = self._request_loan(budget, need, need + ahead, priority)
        if number is None:
            self._decide_locally(budget, cost, on_decision)
            return
        pending = _PendingRequest(budget, cost, priority, on_decision)
        pending.timer = self._loop.call_later(LENDER_TIMEOUT_S, self._lender_timed_out, number)
        self._pending[number] = pending

    def _borrow_ahead(self, budget: _TenantBudget, cost: float) -> None:
        """Request the expected demand in advance when the balance runs low; one such loan at a time."""
        want = budget.demand * BORROW_AHEAD_S
        if budget.balance < max(cost, want / 2) and not any(b is budget for b in self._advances.values()):
            number = self._request_loan(budget, cost, max(cost, want), LoanPriority.ORDINARY)
            if number is not None:
                self._advances[number] = budget
                self._loop.call_later(LOAN_VALIDITY_S, self._advances.pop, number, None)

    def _request_loan(
        self, budget: _TenantBudget, need: float, want: float, priority: LoanPriority
    ) -> int | None:
        """Send a loan request. Returns its number, or None if no keeper can be reached."""
        self._last_number += 1
        sent = self._lender.ask(TokenRequest(self._last_number, budget.tenant.name, need, want, priority))
        return self._last_number if sent else None

    def granted(self, grant: TokenGrant) -> None:
        """Handle the keeper's answer.

        A grant of an earlier epoch, or of none, is not used: that keeper does not lend any more. The router
        decides locally then.
        """
        pending, advance = self._pending.pop(grant.number, None), self._advances.pop(grant.number, None)
        budget = pending.budget if pending is not None else advance
        if budget is None:
            return
        if pending is not None and pending.timer is not None:
            pending.timer.cancel()
        now = self._loop.time()
        if grant.epoch < self._epoch or grant.epoch == 0:
            if pending is not None:
                self._decide_locally(budget, pending.cost, pending.on_decision)
            return
        self._epoch = grant.epoch
        budget.fallback = None
        if grant.granted > 0:
            budget.balance += grant.granted
            budget.spending.add(grant.granted, now)
            budget.expires_at = now + LOAN_VALIDITY_S
        else:
            need = pending.cost if pending is not None else budget.demand * BORROW_AHEAD_S
            priority = pending.priority if pending is not None else LoanPriority.ORDINARY
            budget.deny(need, priority, now, grant.retry_after_s)
        if pending is not None:
            self._decide(pending, grant.retry_after_s)

    def _decide(self, pending: _PendingRequest, retry_after: float) -> None:
        budget = pending.budget
        if budget.balance >= pending.cost:
            budget.balance -= pending.cost
            pending.on_decision(None)
        else:
            pending.on_decision(max(retry_after, MIN_RETRY_AFTER_S))

    def _lender_timed_out(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            self._decide_locally(pending.budget, pending.cost, pending.on_decision)

    def _decide_locally(
        self, budget: _TenantBudget, cost: float, on_decision: Callable[[float | None], None]
    ) -> None:
        """Decide without a keeper: continue at the rate that the tenant had at this router before."""
        now = self._loop.time()
        if budget.fallback is None:
            # With many routers, each one sees a tenant rarely and hardly ever saves up the cost of a whole
            # request. An initial level drawn uniformly below the cost makes the number of requests that pass
            # at all routers together match the rate.
            level = self._random_fraction() * cost
            budget.fallback = Bucket(self._fallback_rate(budget, now), cost, level, now)
        bucket = budget.fallback
        bucket.burst = max(bucket.burst, cost, FALLBACK_BURST_S * bucket.rate)
        bucket.refill(now)
        if bucket.take(cost, cost):
            budget.spending.add(cost, now)
            on_decision(None)
        else:
            on_decision(max(MIN_RETRY_AFTER_S, min(bucket.wait_for(cost), MAX_DENIED_S)))

    def _fallback_rate(self, budget: _TenantBudget, now: float) -> float:
        """Returns the local rate in tokens per second: what this router used recently.

        All routers together used at most what the quota allows, so their recent rates add up to it. A router
        that started recently uses its equal part, and each router gets at least `MIN_FALLBACK_SHARE` of it
        to serve tenants that are new to it.
        """
        equal_part = budget.tenant.rate / max(1, self._lender.routers())
        age = now - self._started
        if age < self._window.span_s / 2:
            return equal_part
        rate = budget.spending.total(now) / min(age, self._window.remembered_s)
        return max(min(rate, budget.tenant.rate), MIN_FALLBACK_SHARE * equal_part)
