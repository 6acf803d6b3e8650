"""Decides which member performs which periodic work, and when. No I/O.

Three designs were compared. With every node working for itself, the number of probes grows with the number
of nodes. With a leader that assigns work, nothing is done until a successor is elected, and the assignment
must reach all members. Hashing over the members believed alive needs no messages, and is used here. For
each unit of work the members are ordered by rendezvous hashing (Thaler and Ravishankar, 1998). When a
member joins or leaves, only the units that it has or had change owner.

The first member in the order performs the unit every period. The member at rank r (from 0) performs it when
no completion has been reported for (1 + TAKEOVER_DELAY_PERIODS * r) periods: the second member watches the
first, and the third watches both. This requires no agreement that a member is dead, so a unit is taken over
before a suspicion is confirmed. If views differ or reports are lost, a unit is occasionally performed twice,
but it is never left undone for long.

A member acts under a lease that it grants itself: it must have received a message from the group within
`lease` ms by its own clock, or have been the only member in its view for that long. A member that was
suspended finds its lease expired when it resumes, and does nothing until it hears from the group again.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

TAKEOVER_DELAY_PERIODS = 1.2  # additional periods that each later member in the order waits
MAX_CANDIDATES = 4  # members in the order that may perform a unit


@dataclass(slots=True)
class WorkUnit:
    """One piece of periodic work. Times in ms."""

    name: str
    period: float
    last_done_at: float  # latest known completion by any member
    order: tuple[str, ...] = ()


class Duties:
    """One member's share of the work. Times are in ms of a clock that never goes backwards."""

    def __init__(self, me: str, lease: float = 2000.0, max_pause: float = 1000.0) -> None:
        self.me = me
        self.lease = lease
        self.max_pause = (
            max_pause  # a longer time between two calls of claim_due means this member was suspended
        )
        self.units: dict[str, WorkUnit] = {}
        self._members: tuple[str, ...] = (me,)
        self._alone_since = 0.0
        self._last_contact_at = -1e18
        self._last_checked_at = -1e18

    def set_units(self, units: dict[str, float], now: float) -> None:
        """Sets the units of work and their periods. Units that remain keep their last completion."""
        for name in [n for n in self.units if n not in units]:
            del self.units[name]
        for name, period in units.items():
            existing = self.units.get(name)
            if existing is None:
                self.units[name] = WorkUnit(name, period, now, self._order(name))
            else:
                existing.period = period

    def set_members(self, alive: Iterable[str], now: float) -> None:
        """Sets the members believed alive. This member is always included."""
        members = tuple(sorted({*alive, self.me}))
        if members == self._members:
            return
        if len(members) == 1:
            self._alone_since = now
        self._members = members
        for unit in self.units.values():
            unit.order = self._order(unit.name)

    def record_contact(self, now: float) -> None:
        """Records a message from another member that is not a replay of an earlier one."""
        self._last_contact_at = now

    def record_done(self, name: str, when: float) -> None:
        """Records that a member performed a unit at `when` by the local clock. Older times are ignored."""
        unit = self.units.get(name)
        if unit is not None:
            unit.last_done_at = max(unit.last_done_at, when)

    def lease_valid(self, now: float) -> bool:
        """Returns whether this member's lease is valid."""
        if len(self._members) == 1:
            return now - self._alone_since >= self.lease
        return now - self._last_contact_at <= self.lease

    def claim_due(self, now: float) -> list[str]:
        """Returns the units that this member must perform now, and records them as done."""
        if now - self._last_checked_at > self.max_pause:
            # This member was suspended, and its units may have changed owner in the meantime.
            self._last_contact_at = -1e18
            self._alone_since = now
        self._last_checked_at = now
        if not self.lease_valid(now):
            return []
        due = []
        for unit in self.units.values():
            if self.me not in unit.order:
                continue
            rank = unit.order.index(self.me)
            if now - unit.last_done_at >= unit.period * (1 + TAKEOVER_DELAY_PERIODS * rank):
                unit.last_done_at = now
                due.append(unit.name)
        return due

    def owner(self, name: str) -> str | None:
        """Returns the first member in the order of a unit, by this member's view."""
        unit = self.units.get(name)
        return unit.order[0] if unit is not None and unit.order else None

    def _order(self, unit: str) -> tuple[str, ...]:
        return tuple(sorted(self._members, key=lambda m: _score(m, unit), reverse=True)[:MAX_CANDIDATES])


def _score(member: str, unit: str) -> bytes:
    return hashlib.blake2b(f"{member}\0{unit}".encode(), digest_size=8).digest()
