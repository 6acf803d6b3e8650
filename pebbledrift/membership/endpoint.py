"""A member's datagrams: the group's messages under seal, and the proof of a life. No I/O.

Body of a datagram: a form (1 byte), then a message of the group, or a nonce. A message of a life that is not
known is not taken; the nonce goes back, and its sender answers with it and sends its next message as ever.
A life that another one of its name has followed is told so: where it is no recording, two processes have one
name.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from pebbledrift.membership.group import Address, BadMessage, Group, Sends, pack, unpack
from pebbledrift.membership.seal import NONCE, OVERHEAD, Forged, Opened, Retired, Sealer

GROUP, CHALLENGE, PROOF, OVER = b"g", b"c", b"p", b"x"
DATAGRAM = 256  # bytes at most
CHALLENGES = 500  # a second, to lives that are not known
UNDER_WAY_MS = 500.0  # a network holds no datagram back for longer

Datagrams = list[tuple[Address, bytes]]


class Endpoint:
    """One member with its seal. Every call returns the datagrams to be sent."""

    def __init__(self, group: Group, sealer: Sealer) -> None:
        self.group = group
        self.sealer = sealer
        self.dropped = 0  # datagrams that were forged, recorded or malformed
        self.why: Callable[[Address, str], None] = lambda address, reason: None
        # what else members tell one another, by its form; told of the sender's name and the body
        self.others: dict[bytes, Callable[[float, str, bytes], None]] = {}
        self.heard: Callable[[float], None] = lambda now: None  # a member has spoken
        self.twin: int | None = None  # the life of another running process of this name
        self.retired = False  # somebody takes it for the later one, and ours for over
        self._proved: dict[str, float] = {}  # by name: when its present life has shown itself
        self._second, self._challenged = -math.inf, 0

    def tick(self, now: float) -> Datagrams:
        """Time has gone on."""
        return self._sealed(self.group.tick(now))

    def leave(self) -> Datagrams:
        """The member goes by its own will."""
        return self._sealed(self.group.leave())

    def tell(self, form: bytes, body: bytes, names: list[str]) -> Datagrams:
        """Something else, for some members."""
        places = [self.group.address_of(name) for name in names]
        return [(place, self.sealer.seal(form + body)) for place in places if place is not None]

    def datagram(self, now: float, data: bytes, sender: Address) -> Datagrams:
        """A datagram has come; what is not genuine changes nothing."""
        try:
            if len(data) > DATAGRAM:
                raise Forged("too long")
            opened = self.sealer.open(data)
            form, body = opened.body[:1], opened.body[1:]
            if form == CHALLENGE and len(body) == NONCE:
                return [(sender, self.sealer.seal(PROOF + body)), *self._sealed(self.group.again(sender))]
            if opened.name == self.sealer.name:
                return self._of_my_name(now, opened, form, body, sender)
            if form == PROOF:
                if opened.fresh or not self.sealer.proves(opened, body):
                    return []
                self._proved[opened.name] = now
                if self.sealer.peers[opened.name].retired:
                    self.group.over(opened.name, opened.life, now)
                return self._sealed(self.group.again(sender))
            if form not in (GROUP, OVER) and form not in self.others:
                raise BadMessage("not of a known form")
            if not opened.fresh:
                return self._challenge(now, opened, sender)
            self.heard(now)
            if form == OVER:
                lives = int.from_bytes(body[:8], "big"), int.from_bytes(body[8:], "big")
                if len(body) == 16 and self.sealer.life in lives:
                    self.retired = self.sealer.life == lives[0]
                    self.twin = lives[1] if self.retired else lives[0]
                return []
            if form != GROUP:
                self.others[form](now, opened.name, body)
                return []
            return self._sealed(self.group.received(now, opened.name, opened.life, sender, unpack(body)))
        except (Forged, BadMessage) as error:
            self.dropped += 1
            self.why(sender, str(error))
            return self._over(now, error, sender) if isinstance(error, Retired) else []

    def _over(self, now: float, error: Retired, sender: Address) -> Datagrams:
        """Somebody speaks under a life that is over: have both processes of that name know of each other."""
        if not self._may_answer(now):
            return []
        told = OVER + error.life.to_bytes(8, "big") + error.present.to_bytes(8, "big")
        sends = [(sender, self.sealer.seal(told))]
        holder = self.group.address_of(error.name)
        # what comes right after a restart was under way before it
        if holder not in (None, sender) and now - self._proved.get(error.name, now) > UNDER_WAY_MS:
            sends += self.tell(OVER, told[1:], [error.name])
        return sends

    def _may_answer(self, now: float) -> bool:
        """Guards against a flood of recordings that would each be answered."""
        if now - self._second >= 1000.0:
            self._second, self._challenged = now, 0
        self._challenged += 1
        return self._challenged <= CHALLENGES

    def _challenge(self, now: float, opened: Opened, sender: Address) -> Datagrams:
        """Have a life show that it is no recording."""
        if not self._may_answer(now):
            return []
        return [(sender, self.sealer.seal(CHALLENGE + self.sealer.challenge(opened)))]

    def _of_my_name(self, now: float, opened: Opened, form: bytes, body: bytes, sender: Address) -> Datagrams:
        """Another life of this name: a recording of an earlier one, or a second process that runs."""
        if form == PROOF:
            if not opened.fresh and self.sealer.proves(opened, body):
                self.twin = opened.life
            return []
        return [] if opened.fresh else self._challenge(now, opened, sender)

    def _sealed(self, sends: Sends) -> Datagrams:
        found: Datagrams = []
        for address, message in sends:
            body, told = pack(message, DATAGRAM - OVERHEAD - len(GROUP))
            self.group.told(message, told)
            found.append((address, self.sealer.seal(GROUP + body)))
        return found
