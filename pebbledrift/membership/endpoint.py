"""A member's datagrams: the group's messages under seal, and the proof of a life. No I/O.

Body of a datagram: a form (1 byte), then a message of the group, or a nonce. A message of a life that is not
known is not taken; the nonce goes back, and its sender answers with it and sends its next message as ever.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from pebbledrift.membership.group import Address, BadMessage, Group, Sends, pack, unpack
from pebbledrift.membership.seal import NONCE, OVERHEAD, Forged, Sealer

GROUP, CHALLENGE, PROOF = b"g", b"c", b"p"
DATAGRAM = 256  # bytes at most
CHALLENGES = 500  # a second, to lives that are not known

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
            if form == PROOF:
                if opened.fresh or not self.sealer.proves(opened, body):
                    return []
                if self.sealer.peers[opened.name].retired:
                    self.group.over(opened.name, opened.life, now)
                return self._sealed(self.group.again(sender))
            if form != GROUP and form not in self.others:
                raise BadMessage("not of a known form")
            if not opened.fresh:
                # guards against a flood of recordings that would each be asked for a proof
                if now - self._second >= 1000.0:
                    self._second, self._challenged = now, 0
                self._challenged += 1
                if self._challenged > CHALLENGES:
                    return []
                return [(sender, self.sealer.seal(CHALLENGE + self.sealer.challenge(opened)))]
            self.heard(now)
            if form != GROUP:
                self.others[form](now, opened.name, body)
                return []
            return self._sealed(self.group.received(now, opened.name, opened.life, sender, unpack(body)))
        except (Forged, BadMessage) as error:
            self.dropped += 1
            self.why(sender, str(error))
            return []

    def _sealed(self, sends: Sends) -> Datagrams:
        found: Datagrams = []
        for address, message in sends:
            body, told = pack(message, DATAGRAM - OVERHEAD - len(GROUP))
            self.group.told(message, told)
            found.append((address, self.sealer.seal(GROUP + body)))
        return found
