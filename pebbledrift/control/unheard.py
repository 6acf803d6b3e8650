"""What routers that are out of touch with the lender may spend of the quotas by themselves.

A router that reaches no lender goes on at the rate that it had (router/tokens.py). The lender cannot see that
spending. It sets the same amount aside for each router that it does not hear, from the last time that it
heard it. Times are in seconds of the lender's clock, rates in tokens per second.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

SILENCE_S = 1.0  # routers report twice a second: one that is silent for longer may be spending by itself
FORGET_ROUTER_S = 60.0  # a router that is silent for longer is taken for gone
RATE_SLOT_S = 0.5
MAX_ABSENCES = 4096  # kept between two looks; a keeper that does not lend never looks


class RecentRate:
    """The mean rate of the tokens of the last `span_s` seconds, in slots of RATE_SLOT_S."""

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._slots: deque[tuple[int, float]] = deque()  # number of the slot, and its tokens

    def add(self, tokens: float, now: float) -> None:
        """Records tokens."""
        number = int(now / RATE_SLOT_S)
        if self._slots and self._slots[-1][0] == number:
            self._slots[-1] = number, self._slots[-1][1] + tokens
            return
        self._slots.append((number, tokens))
        while number - self._slots[0][0] > math.ceil(self._span_s / RATE_SLOT_S):
            self._slots.popleft()

    def value(self, now: float) -> float:
        """The mean rate of the span that ends now."""
        oldest = (now - self._span_s) / RATE_SLOT_S - 1
        return sum(tokens for number, tokens in self._slots if number > oldest) / self._span_s


@dataclass(slots=True)
class _Contact:
    """A router that the lender has heard, and what it was lent or may have spent."""

    first_heard_at: float
    heard_at: float
    accounted_until: float  # spending without contact is set aside up to here
    rates: dict[str, RecentRate] = field(default_factory=dict)  # by tenant


@dataclass(slots=True)
class Absence:
    """A time for which a router was not heard. An unnamed one was never heard by this lender."""

    router: str
    duration_s: float
    is_new: bool  # its own rate is not known here; routers that started recently use an equal part


class UnheardRouters:
    """Tracks when routers were last heard, and for which times nothing was set aside yet."""

    def __init__(self, remembered_s: float) -> None:
        self._remembered_s = remembered_s
        self._contacts: dict[str, _Contact] = {}
        self._lending_since = 0.0
        self._expected = 0  # routers in the fleet when this lender began
        self._unnamed_until = 0.0  # spending of routers never heard is set aside up to here
        self._absences: deque[Absence] = deque(maxlen=MAX_ABSENCES)  # of routers that were heard again

    def begin(self, expected: int, now: float) -> None:
        """Starts to lend: spending up to now is accounted for by the routers' reports."""
        self._expected, self._lending_since, self._unnamed_until = expected, now, now
        self._absences.clear()
        for contact in self._contacts.values():
            contact.accounted_until = now

    def heard(self, router: str, now: float) -> None:
        """Records that a message of a router was received."""
        contact = self._contacts.get(router)
        if contact is None:
            self._forget_gone(now)
            self._contacts[router] = _Contact(now, now, now)
            return
        if now - contact.heard_at > SILENCE_S:
            self._absences += self._absence(router, contact, now)
        contact.heard_at = now

    def lent(self, router: str, tenant: str, tokens: float, now: float) -> None:
        """Records tokens lent to a router, or set aside for it."""
        contact = self._contacts.get(router)
        if contact is not None:
            rate = contact.rates.get(tenant)
            if rate is None:
                rate = contact.rates[tenant] = RecentRate(self._remembered_s)
            rate.add(tokens, now)

    def rate(self, router: str, tenant: str) -> float:
        """The rate that a router had when it was last heard."""
        contact = self._contacts.get(router)
        rate = None if contact is None else contact.rates.get(tenant)
        return 0.0 if rate is None or contact is None else rate.value(contact.heard_at)

    def count(self) -> int:
        """The number of routers that are known, heard or not."""
        return len(self._contacts)

    def retain(self, tenants: Mapping[str, object]) -> None:
        """Drops the rates of all other tenants."""
        for contact in self._contacts.values():
            for name in [name for name in contact.rates if name not in tenants]:
                del contact.rates[name]

    def take_absences(self, now: float) -> list[Absence]:
        """Returns the times without contact since the last call, up to now."""
        absences = list(self._absences)
        self._absences.clear()
        self._forget_gone(now)
        for router, contact in self._contacts.items():
            if now - contact.heard_at > SILENCE_S:
                absences += self._absence(router, contact, now)
        return absences + self._unnamed_absences(now)

    def _forget_gone(self, now: float) -> None:
        """Drops the routers that have been silent for too long."""
        for router, contact in list(self._contacts.items()):
            if now - contact.heard_at > FORGET_ROUTER_S:
                del self._contacts[router]

    def _absence(self, router: str, contact: _Contact, now: float) -> list[Absence]:
        """The time without contact that is not accounted for, which is then taken for accounted."""
        start = max(contact.heard_at, contact.accounted_until, self._lending_since)
        contact.accounted_until = now
        known_since = max(contact.first_heard_at, self._lending_since)
        is_new = contact.heard_at - known_since < self._remembered_s / 2
        return [Absence(router, now - start, is_new)] if now > start else []

    def _unnamed_absences(self, now: float) -> list[Absence]:
        """Absences of routers that were there when this lender began, and that it has never heard."""
        missing = self._expected - len(self._contacts)
        since = now - self._lending_since
        if missing <= 0 or not SILENCE_S < since <= FORGET_ROUTER_S:
            return []
        duration_s, self._unnamed_until = now - self._unnamed_until, now
        return [Absence("", duration_s, True)] * missing
