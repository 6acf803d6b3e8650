"""Parts of a limit of the whole fleet, held under leases. No I/O; docs/membership.md, "Leases".

A limit that all nodes share (a cold worker's budget) is cut into as many parts as nodes are configured. A
node uses a part only while it holds a lease on it: grants by a majority of a fixed committee (Gray and
Cheriton, "Leases", 1989; the majority is Gifford's, 1979). Two majorities have a member in common, and a
member grants a part to one life of one node at a time; so no two nodes hold a part at once, whatever they
believe of each other, whatever is lost, late or doubled on the way, and however the group is cut.

Clocks. Each side measures durations on its own monotonic clock: the holder from when it *sent* its request,
less twice the drift; the granting member from when it got it, in full. So the holder's word is over first,
wherever the rates of two clocks differ by less than twice `DRIFT`. A member that has just started, or went on
after a stop, has forgotten or missed what it granted, and grants nothing for longer than any grant lasts.

Turns are told by the wall clock, and a part means nothing where clocks disagree. So a grant carries the
granting member's wall clock, and counts only where that and the holder's cannot differ by more than
`clock_ms`: two holders differ by no more than twice that, as they have a granting member in common.

What a member dead or gone has given up goes to others: its lease runs out, and by rendezvous hashing over
those that answer one asks for it. When its owner is back, the owner's request has its renewal refused: it is
free within a lease. A part that is new here counts only from when `since_ms` old: what its holder before has
spent must have left every window in which the limit is counted.
"""

from __future__ import annotations

import hashlib
import math
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

DRIFT = 0.002  # by which the rate of a node's clock may differ from true time
PARTS_MOST = 56  # in one request: it has to fit a datagram under seal
PENDING_MOST = 64  # requests whose answers may still come
ASK, GRANT = b"l", b"G"
_ASK = struct.Struct("!QHB")  # number, this node's own part, parts that follow
_GRANT = struct.Struct("!QdB")  # number, wall clock in ms, parts that follow


class BadLease(ValueError):
    """Bytes that are no request and no grant."""


@dataclass(frozen=True, slots=True)
class Ask:
    """A request for parts, or to have them longer."""

    number: int
    own: int  # the part that is the asker's by configuration
    parts: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Grant:
    """Parts that one member grants, with its wall clock at that moment."""

    number: int
    wall_ms: float
    parts: tuple[int, ...]


def pack_ask(ask: Ask) -> bytes:
    """A request's body."""
    return _ASK.pack(ask.number, ask.own, len(ask.parts)) + _parts(ask.parts)


def pack_grant(grant: Grant) -> bytes:
    """A grant's body."""
    return _GRANT.pack(grant.number, grant.wall_ms, len(grant.parts)) + _parts(grant.parts)


def unpack_ask(body: bytes) -> Ask:
    """The request in a body; BadLease if there is none."""
    number, own, count = _head(_ASK, body)
    return Ask(number, own, _parts_in(body, _ASK.size, count))


def unpack_grant(body: bytes) -> Grant:
    """The grant in a body; BadLease if there is none."""
    number, wall_ms, count = _head(_GRANT, body)
    if not math.isfinite(wall_ms):
        raise BadLease("no time")
    return Grant(number, wall_ms, _parts_in(body, _GRANT.size, count))


def _head(form: struct.Struct, body: bytes) -> tuple[Any, ...]:
    try:
        return form.unpack_from(body)
    except struct.error as error:
        raise BadLease("cut short") from error


def _parts(parts: Iterable[int]) -> bytes:
    return b"".join(part.to_bytes(2, "big") for part in parts)


def _parts_in(body: bytes, at: int, count: int) -> tuple[int, ...]:
    if len(body) != at + 2 * count or count > PARTS_MOST:
        raise BadLease("not so many parts")
    return tuple(int.from_bytes(body[i : i + 2], "big") for i in range(at, len(body), 2))


@dataclass(slots=True)
class _Granted:
    """Whom one member has granted a part, and until when by its own clock."""

    holder: tuple[str, int]  # name and life
    until: float
    wanted_until: float = -math.inf  # its owner has asked for it meanwhile


class Committee:
    """One granting member's book. `now` is its monotonic clock in ms."""

    def __init__(self, parts: int, lease_ms: float, now: float) -> None:
        self.parts = parts
        self.lease_ms = lease_ms
        self.granted: dict[int, _Granted] = {}
        self.quiet_until = -math.inf
        self.forget(now)

    def forget(self, now: float) -> None:
        """The book may be wrong: grant nothing until all that it may have said is over."""
        self.granted.clear()
        self.quiet_until = now + self.lease_ms * (1 + 4 * DRIFT)

    def asked(self, now: float, name: str, life: int, ask: Ask) -> tuple[int, ...]:
        """The parts that are granted to a life of a node."""
        if now < self.quiet_until:
            return ()
        holder, found = (name, life), []
        for part in ask.parts:
            if part >= self.parts:
                continue
            known = self.granted.get(part)
            if known is None or known.until <= now or known.holder == holder:
                wanted = known.wanted_until if known is not None else -math.inf
                if part != ask.own and wanted > now:
                    continue  # its owner is back: whoever has it meanwhile gets it no longer
                self.granted[part] = _Granted(holder, now + self.lease_ms, wanted)
                found.append(part)
            elif part == ask.own:
                known.wanted_until = now + 2 * self.lease_ms
        return tuple(found)


@dataclass(slots=True)
class _Held:
    """One part as its holder knows it."""

    grants: dict[str, float] = field(default_factory=dict)  # by granting member: until when, by our clock
    since: float = math.inf  # held without a break


class Holder:
    """One node's leases. `now` is its monotonic clock in ms, `wall` the clock that turns are told by."""

    def __init__(
        self,
        own: int,
        committee: Iterable[str],
        lease_ms: float,
        clock_ms: float,
        since_ms: float,
        draw: Callable[[], int],
    ) -> None:
        self.own = own
        self.committee = frozenset(committee)
        self.majority = len(self.committee) // 2 + 1
        self.lease_ms = lease_ms
        self.clock_ms = clock_ms
        self.since_ms = since_ms
        self.draw = draw  # numbers that nobody can foresee
        self.wanted: tuple[int, ...] = (own,)
        self.clock_off = 0  # grants that did not count since clocks disagree
        self._held: dict[int, _Held] = {}
        self._asked: dict[int, tuple[float, float, tuple[int, ...]]] = {}  # by number: when, wall, parts

    def want(self, parts: Iterable[int]) -> None:
        """Ask for these beside one's own from now on; what is asked for no longer is given up at once."""
        self.wanted = tuple(dict.fromkeys((self.own, *parts)))[:PARTS_MOST]
        for part in [p for p in self._held if p not in self.wanted]:
            del self._held[part]

    def ask(self, now: float, wall: float) -> Ask:
        """A request to send to the whole committee."""
        number = self.draw()
        self._asked[number] = now, wall, self.wanted
        while len(self._asked) > PENDING_MOST:
            del self._asked[next(iter(self._asked))]
        return Ask(number, self.own, self.wanted)

    def granted(self, now: float, wall: float, member: str, grant: Grant) -> None:
        """A member of the committee has answered. What is late, doubled or made up changes nothing."""
        asked = self._asked.get(grant.number)
        if asked is None or member not in self.committee:
            return
        sent, sent_wall, parts = asked
        # the member's clock was read between our two readings: what it can be off by is bounded by both
        if grant.wall_ms - wall < -self.clock_ms or grant.wall_ms - sent_wall > self.clock_ms:
            self.clock_off += 1
            return
        until = sent + self.lease_ms * (1 - 2 * DRIFT)
        for part in grant.parts:
            if part in parts and part in self.wanted:
                held = self._held.setdefault(part, _Held())
                if self._until(held) <= now:
                    held.since = math.inf  # it was over in between
                held.grants[member] = max(held.grants.get(member, -math.inf), until)
                if held.since == math.inf and self._until(held) > now:
                    held.since = now

    def held(self, now: float) -> tuple[int, ...]:
        """The parts that may be used now."""
        return tuple(
            sorted(
                part
                for part, held in self._held.items()
                if self._until(held) > now and now - held.since >= self.since_ms
            )
        )

    def until(self, now: float) -> float:
        """When the first of the parts that may be used now is over, unless it is had longer; inf without."""
        return min((self._until(self._held[p]) for p in self.held(now)), default=math.inf)

    def drop(self) -> None:
        """Give everything up."""
        self._held.clear()
        self._asked.clear()

    def _until(self, held: _Held) -> float:
        times = sorted(held.grants.values(), reverse=True)
        return times[self.majority - 1] if len(times) >= self.majority else -math.inf


def heirs(parts: Iterable[int], me: str, alive: Iterable[str]) -> list[int]:
    """Of the parts that nobody uses, those that one member should ask for: highest hash (rendezvous)."""
    names = sorted({*alive, me})
    return [part for part in parts if max(names, key=lambda name: _score(name, part)) == me]


def _score(name: str, part: int) -> bytes:
    return hashlib.blake2b(f"{name}\0{part}".encode(), digest_size=8).digest()
