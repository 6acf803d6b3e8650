"""Escrow accounts for hard limits: all nodes together never spend more than the limit. No I/O.

A limit is divided into units. Each node has a base number of units and lends those that it does not need to
other nodes (after O'Neil, "The Escrow Transactional Method", 1986, with leases as in Gray and Cheriton,
1989). The lender deducts the units when it grants the loan, for more than `loan_ms` of its own clock. The
borrower counts the loan from when it *sent* the granted request, for less than `loan_ms`. The loan therefore
expires at the borrower first, as long as the rates of the two clocks differ by less than twice `DRIFT`. It
follows that:

- the units of a lost grant are unused for the duration of one loan, but never used by two nodes;
- a duplicate grant, or one for a request of an earlier incarnation, adds no units: a node accepts grants only
  for request numbers that it drew itself and that are still unanswered;
- a duplicate request is answered with the same loan;
- a node that starts does not know what its earlier incarnation lent, so it neither uses nor lends its base
  until all such loans have expired; the units that the earlier incarnation borrowed are lost;
- a node that was suspended checks its borrowed units against its own clock before it spends any.

The base is either fixed by configuration, or a part of the limit that the node holds under a lease from a
majority (membership/lease.py). Loans from a leased base never outlive the lease. Times are in ms of a
monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from pebbledrift.membership.lease import DRIFT

MAX_PENDING = 64  # unanswered requests of one account
MAX_LOANS = 256  # loans granted by one account


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """A request to borrow units. `renews` is the number of the request whose loan it renews, or 0."""

    number: int
    units: int
    renews: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a loan request. `units` is 0 if the request is denied."""

    number: int
    units: int


@dataclass(slots=True)
class Loan:
    """Units that are lent or borrowed, and when the loan expires by the local clock."""

    units: int
    until: float


class Account:
    """The units that one node has of one limit.

    `start` is when this incarnation of the node began. With `may_have_lent` set, an earlier incarnation may
    have lent units, so the base stays unused for the duration of one loan. `draw_number` returns
    unpredictable 64-bit numbers other than 0.
    """

    def __init__(
        self,
        base: int,
        loan_ms: float,
        start: float,
        may_have_lent: bool,
        draw_number: Callable[[], int],
    ) -> None:
        self.loan_ms = loan_ms
        self.draw_number = draw_number
        self.lent: dict[tuple[str, int], Loan] = {}  # by borrower and request number
        self.borrowed: dict[int, Loan] = {}  # by request number
        # by request number: when it was sent, and the number of the loan that it renews
        self.pending: dict[int, tuple[float, int]] = {}
        self._base, self._base_until = base, math.inf
        self._base_from = start + loan_ms * (1 + 2 * DRIFT) if may_have_lent else start

    def set_base(self, units: int, until: float) -> None:
        """Set the base, and when the lease on it ends."""
        self._base, self._base_until = units, until

    def base(self, now: float) -> int:
        """Return the base that is valid now, including units that are lent."""
        return self._base if self._base_from <= now < self._base_until else 0

    def units(self, now: float) -> int:
        """Return how many units this node may spend now: its base, minus lent, plus borrowed units."""
        self._expire(now)
        lent = sum(loan.units for loan in self.lent.values())
        return max(0, self.base(now) - lent) + sum(loan.units for loan in self.borrowed.values())

    def spare(self, now: float) -> int:
        """Return how many units of the base are not lent. Borrowed units are never lent on."""
        self._expire(now)
        return max(0, self.base(now) - sum(loan.units for loan in self.lent.values()))

    def create_request(self, now: float, units: int, renews: int = 0) -> LoanRequest:
        """Create and register a request that is sent now, for a new loan or to renew one.

        The oldest pending request is dropped if there are too many.
        """
        while len(self.pending) >= MAX_PENDING:
            del self.pending[next(iter(self.pending))]
        number = self.draw_number()
        self.pending[number] = now, renews
        return LoanRequest(number, units, renews)

    def handle_request(
        self, now: float, sender: str, request: LoanRequest, max_new: int, reclaimed: int = 0
    ) -> Grant:
        """Grant a loan to another node and deduct its units at once.

        At most `max_new` units are lent beyond those of the loan that is renewed. Of a renewed loan,
        `reclaimed` units are needed at this node and are not lent again.
        """
        self._expire(now)
        existing = self.lent.get((sender, request.number))
        if existing is not None:  # a duplicate request gets the same loan
            return Grant(request.number, existing.units)
        loan_ms = self.loan_ms * (1 + 2 * DRIFT)
        if now + loan_ms > self._base_until or len(self.lent) >= MAX_LOANS:
            return Grant(request.number, 0)
        previous = self.lent.get((sender, request.renews))
        renewed = max(0, min(previous.units - reclaimed, request.units)) if previous is not None else 0
        units = renewed + max(0, min(request.units - renewed, max_new, self.spare(now)))
        if previous is not None:
            # The borrower uses the old loan until it receives the grant, then the new one, never both. The
            # renewed units therefore move from one loan to the other.
            previous.units -= renewed
        if units:
            self.lent[sender, request.number] = Loan(units, now + loan_ms)
        return Grant(request.number, units)

    def handle_grant(self, now: float, grant: Grant) -> int:
        """Accept a grant; return its units, or 0 if it is a duplicate, unrequested or expired."""
        sent, renews = self.pending.pop(grant.number, (-math.inf, 0))
        until = sent + self.loan_ms * (1 - 2 * DRIFT)
        if now >= until or grant.units <= 0:
            return 0
        previous = self.borrowed.get(renews)
        if previous is not None:
            previous.units = max(0, previous.units - grant.units)
        self.borrowed[grant.number] = Loan(grant.units, until)
        return grant.units

    def _expire(self, now: float) -> None:
        """Remove expired or empty loans, and requests whose loan would have expired."""
        for number in [n for n, (sent, _) in self.pending.items() if now - sent >= self.loan_ms]:
            del self.pending[number]
        for key in [k for k, loan in self.lent.items() if now >= loan.until or not loan.units]:
            del self.lent[key]
        for number in [n for n, loan in self.borrowed.items() if now >= loan.until or not loan.units]:
            del self.borrowed[number]


class Bucket:
    """A token bucket for one node's share of a rate. The share changes over time.

    When the share shrinks, the level is cut at once to the new capacity: `burst_ms` of the share, but at
    least one job, because a small share would otherwise never admit a whole job. So n nodes together spend at
    most rate x (w + burst_ms) + n in any w ms.
    """

    def __init__(self, rate: float, burst_ms: float, start: float) -> None:
        self.rate, self.burst_ms = rate, burst_ms  # rate of the whole limit, in jobs or units of work per ms
        self.level = 0.0  # empty at the start of a node
        self._filled_at, self._share = start, 0.0

    def share(self, now: float, share: float, rate: float | None = None) -> None:
        """Set this node's share, and the whole rate if given, from now on.

        The time since the last fill is credited at the lower of the old and the new values.
        """
        previous_rate, self.rate = self.rate, self.rate if rate is None else rate
        self._fill(now, min(share, self._share), min(previous_rate, self.rate))
        self._share = share
        self.level = min(self.level, self._capacity(share))

    def spend(self, now: float, work: float) -> bool:
        """Spend `work` if the level allows it; return whether it was spent."""
        self._fill(now, self._share, self.rate)
        if self.level < work:
            return False
        self.level -= work
        return True

    def _capacity(self, share: float) -> float:
        return max(1.0, self.rate * self.burst_ms * share) if share > 0 else 0.0

    def _fill(self, now: float, share: float, rate: float) -> None:
        gained = rate * share * max(0.0, now - self._filled_at)
        self.level = min(self.level + gained, max(self.level, self._capacity(share)))
        self._filled_at = now
