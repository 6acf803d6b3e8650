"""Who does which periodic work, and when. No I/O.

Compared: every node for itself (as many probes as nodes), a leader that assigns (nothing is done until the
next one is elected, and its word must reach all), and hashing over the members that are held for alive,
which needs no message at all and is what stands here. Each unit of work has an order of the members by
rendezvous hashing (Thaler and Ravishankar, 1998); when a member comes or goes, only the units that it has or
had change hands.

The first in the order does the unit every period. The r-th does it when nothing has been heard of it for (1
+ WAIT r) periods: the second watches the first, the third both. That needs no verdict on anybody's death, so
that a unit is taken over before a suspicion is confirmed; where views differ or news is lost, a unit is done
twice now and then, and never left for long.

A member acts under a lease that it gives itself: it has to have heard from the group within `lease` ms of
its own clock, or to be alone by its own view for that long. One that was stopped finds its lease over when
it goes on, and does nothing until it has heard from the group again.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

WAIT = 1.2  # periods that each further one in the order waits
DEEP = 4  # so many in the order take a unit up


@dataclass(slots=True)
class Unit:
    """One piece of periodic work."""

    name: str
    period: float
    done: float  # when it was last done, by anybody, as far as is known
    order: tuple[str, ...] = ()


class Duties:
    """One member's part in the work. Times in ms of a clock that never goes back."""

    def __init__(self, me: str, lease: float = 2000.0, late: float = 1000.0) -> None:
        self.me = me
        self.lease = lease
        self.late = late  # a clock that jumps by more between two looks: this member was stopped
        self.units: dict[str, Unit] = {}
        self._members: tuple[str, ...] = (me,)
        self._alone_since = 0.0
        self._heard = -1e18
        self._last = -1e18

    def set_units(self, units: dict[str, float], now: float) -> None:
        """The work there is, with its periods; what goes on keeps what is known of it."""
        for name in [n for n in self.units if n not in units]:
            del self.units[name]
        for name, period in units.items():
            known = self.units.get(name)
            if known is None:
                self.units[name] = Unit(name, period, now, self._order(name))
            else:
                known.period = period

    def set_members(self, alive: Iterable[str], now: float) -> None:
        """Whom this member holds for alive, itself included."""
        members = tuple(sorted({*alive, self.me}))
        if members == self._members:
            return
        if len(members) == 1:
            self._alone_since = now
        self._members = members
        for unit in self.units.values():
            unit.order = self._order(unit.name)

    def heard(self, now: float) -> None:
        """Another member has spoken, and it was no recording."""
        self._heard = now

    def done(self, name: str, when: float) -> None:
        """A unit was done by somebody, at this time of this member's clock. Old news changes nothing."""
        unit = self.units.get(name)
        if unit is not None:
            unit.done = max(unit.done, when)

    def may_act(self, now: float) -> bool:
        """Whether this member's lease holds."""
        if len(self._members) == 1:
            return now - self._alone_since >= self.lease
        return now - self._heard <= self.lease

    def due(self, now: float) -> list[str]:
        """The units that this member has to do now; they count as done by it."""
        if now - self._last > self.late:
            # guards the group against one that was stopped: what it held may have changed hands since
            self._heard = -1e18
            self._alone_since = now
        self._last = now
        if not self.may_act(now):
            return []
        found = []
        for unit in self.units.values():
            if self.me not in unit.order:
                continue
            rank = unit.order.index(self.me)
            if now - unit.done >= unit.period * (1 + WAIT * rank):
                unit.done = now
                found.append(unit.name)
        return found

    def owner(self, name: str) -> str | None:
        """Who should do a unit, in this member's view."""
        unit = self.units.get(name)
        return unit.order[0] if unit is not None and unit.order else None

    def _order(self, unit: str) -> tuple[str, ...]:
        return tuple(sorted(self._members, key=lambda m: _score(m, unit), reverse=True)[:DEEP])


def _score(member: str, unit: str) -> bytes:
    return hashlib.blake2b(f"{member}\0{unit}".encode(), digest_size=8).digest()
