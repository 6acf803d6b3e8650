"""The hard kind of limit: what all nodes may spend together is never more than the whole. No I/O.

A limit has a number of units; each node has a base of them, and lends what it does not need to nodes that
do (after O'Neil, "The Escrow Transactional Method", 1986, with leases as in Gray and Cheriton, 1989). A loan
takes away before it gives: the lender counts the units as gone from the moment it grants them, for more than
`loan_ms` of its own clock; the borrower counts them from when it *sent* the request that was granted, for
less.
So the borrower's time is over first, wherever two clocks differ in rate by less than twice `DRIFT`, and:

- a grant that is lost leaves its units unused for one loan, and used by nobody;
- one that comes twice, or for a request of an earlier life, is taken once, or not at all: a node takes
  grants only under numbers that it drew itself and has not had an answer to;
- a request that comes twice is answered with the same loan;
- a node that starts does not know what its life before had lent, and uses and lends nothing of its base for
  as long as any of that may still be out; what it had borrowed is gone;
- a node that was stopped finds what it borrowed over by its own clock before it spends.

Its base is either a node's own by configuration, or a part that it holds under a lease of a majority
(membership/lease.py). Loans of a leased base end with the lease at the latest. Times are ms of a clock that
never goes back.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from pebbledrift.membership.lease import DRIFT

PENDING_MOST = 64  # requests that may still be answered
LOANS_MOST = 256  # of one lender


@dataclass(frozen=True, slots=True)
class Ask:
    """A request for units; `renews`: the number of the one whose loan it would have go on."""

    number: int
    units: int
    renews: int = 0


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a request: so many units, which may be none."""

    number: int
    units: int


@dataclass(slots=True)
class Loan:
    """Units that are lent or borrowed, until a time of the clock here."""

    units: int
    until: float


class Account:
    """One node's units of one limit. `draw` gives unpredictable numbers of 64 bits, never 0.

    `start` is when this life began; `quiet`: an earlier life of this node may have lent, so that its base is
    not touched for one loan.
    """

    def __init__(self, base: int, loan_ms: float, start: float, quiet: bool, draw: Callable[[], int]) -> None:
        self.loan_ms = loan_ms
        self.draw = draw
        self.lent: dict[tuple[str, int], Loan] = {}  # by borrower and number
        self.borrowed: dict[int, Loan] = {}  # by number
        self.pending: dict[int, tuple[float, int]] = {}  # by number: when sent, and which loan it renews
        self._base, self._until = base, math.inf
        self._from = start + loan_ms * (1 + 2 * DRIFT) if quiet else start

    def set_base(self, units: int, until: float) -> None:
        """The units that are this node's own, and until when: a lease may end or be another one."""
        self._base, self._until = units, until

    def base(self, now: float) -> int:
        """The node's own units that may be used or lent now, what is lent included."""
        return self._base if self._from <= now < self._until else 0

    def units(self, now: float) -> int:
        """What this node may spend by now."""
        self._expire(now)
        lent = sum(loan.units for loan in self.lent.values())
        return max(0, self.base(now) - lent) + sum(loan.units for loan in self.borrowed.values())

    def spare(self, now: float) -> int:
        """What of its base the node may lend: what was borrowed is never lent on."""
        self._expire(now)
        return max(0, self.base(now) - sum(loan.units for loan in self.lent.values()))

    def ask(self, now: float, units: int, renews: int = 0) -> Ask:
        """A request that is sent now, for units more or to have a loan go on."""
        while len(self.pending) >= PENDING_MOST:
            del self.pending[next(iter(self.pending))]
        number = self.draw()
        self.pending[number] = now, renews
        return Ask(number, units, renews)

    def asked(self, now: float, sender: str, ask: Ask, most: int, back: int = 0) -> Grant:
        """Lend to another node at most so much beside what it would keep; it is gone from here at once.

        Of a loan that is to go on, `back` is wanted here and not lent again.
        """
        self._expire(now)
        known = self.lent.get((sender, ask.number))
        if known is not None:  # it comes a second time: the same loan, and no other
            return Grant(ask.number, known.units)
        loan_ms = self.loan_ms * (1 + 2 * DRIFT)
        if now + loan_ms > self._until or len(self.lent) >= LOANS_MOST:
            return Grant(ask.number, 0)
        before = self.lent.get((sender, ask.renews))
        kept = max(0, min(before.units - back, ask.units)) if before is not None else 0
        units = kept + max(0, min(ask.units - kept, most, self.spare(now)))
        if before is not None:
            # the borrower may use either loan until it has heard, and never both: the units go over
            before.units -= kept
        if units:
            self.lent[sender, ask.number] = Loan(units, now + loan_ms)
        return Grant(ask.number, units)

    def granted(self, now: float, grant: Grant) -> int:
        """An answer has come; returns the units that it brings: none where it was not asked for, or twice."""
        sent, renews = self.pending.pop(grant.number, (-math.inf, 0))
        until = sent + self.loan_ms * (1 - 2 * DRIFT)
        if now >= until or grant.units <= 0:
            return 0
        before = self.borrowed.get(renews)
        if before is not None:
            before.units = max(0, before.units - grant.units)
        self.borrowed[grant.number] = Loan(grant.units, until)
        return grant.units

    def _expire(self, now: float) -> None:
        for number in [n for n, (sent, _) in self.pending.items() if now - sent >= self.loan_ms]:
            del self.pending[number]  # what is granted for it now would be over
        for key in [k for k, loan in self.lent.items() if now >= loan.until or not loan.units]:
            del self.lent[key]
        for number in [n for n, loan in self.borrowed.items() if now >= loan.until or not loan.units]:
            del self.borrowed[number]


class Bucket:
    """What may be spent of a rate at one node, whose share of it changes.

    A level is cut at once to what its share may hold: `burst_ms` of it, and one job at least, or a small
    share would never have a whole one. So n nodes together spend no more than rate x (w + burst_ms) + n in
    any w ms.
    """

    def __init__(self, rate: float, burst_ms: float, start: float) -> None:
        self.rate, self.burst_ms = rate, burst_ms  # in jobs, or units of work, a ms, of the whole
        self.level = 0.0  # a node that starts has saved nothing
        self._at, self._share = start, 0.0

    def share(self, now: float, share: float, rate: float | None = None) -> None:
        """This node's share of the whole, and the whole's rate, from now on; what it had is counted first."""
        before, self.rate = self.rate, self.rate if rate is None else rate
        self._fill(now, min(share, self._share), min(before, self.rate))
        self._share = share
        self.level = min(self.level, self._most(share))

    def spend(self, now: float, work: float) -> bool:
        """Spend, if it is there."""
        self._fill(now, self._share, self.rate)
        if self.level < work:
            return False
        self.level -= work
        return True

    def _most(self, share: float) -> float:
        return max(1.0, self.rate * self.burst_ms * share) if share > 0 else 0.0

    def _fill(self, now: float, share: float, rate: float) -> None:
        gained = rate * share * max(0.0, now - self._at)
        self.level = min(self.level + gained, max(self.level, self._most(share)))
        self._at = now
