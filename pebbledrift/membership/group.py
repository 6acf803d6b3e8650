"""Who is alive: SWIM's failure detector and its dissemination, without I/O.

After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (2002), with the local health of Dadgar, Phillips and Currey, "Lifeguard" (2018): a member that was
itself slow gives others more time before it accuses them.

In each period a member pings one other, in a shuffled round. Without an answer it asks a few others to ping
it; without theirs by the period's end it suspects it and says so. A suspicion that is not refuted in time
becomes a death. News rides on pings and acks, each piece a bounded number of times, the least told first, so
that traffic for each member does not grow with the group.

A claim about a member is (incarnation, state); of two the greater holds, and at the same incarnation the
worse state. Only a member itself raises its incarnation: to refute what is said of it, or when it starts
again and hears of its earlier life. Incarnations never go back. Time is a number of milliseconds of a clock
of the caller's that never goes back; no other clock is used.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum

from pebbledrift.membership.sums import Sums, bucket_of

Address = tuple[str, int]


class State(IntEnum):
    """What is claimed of a member; the greater is the worse."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # by its own word


class Kind(IntEnum):
    """What a message is."""

    PING = 1
    ACK = 2
    PING_FOR = 3  # ping somebody for me
    PULL = 4  # these are the sums of my list: tell me where yours differs, from this number on
    PART = 5  # some of it; where the next part begins, or END; or SUMS: it differs, so send all sums


@dataclass(frozen=True, slots=True)
class Claim:
    """What is said of one member."""

    name: str
    address: Address
    incarnation: int
    state: State
    life: int = 0  # a tag of 16 bits, to tell a name's lives apart

    def beats(self, other: Claim) -> bool:
        """Whether this claim takes the other's place."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)


@dataclass(frozen=True, slots=True)
class Message:
    """One message. `number` ties an ack to its ping; `target` is whom to ping for the sender."""

    kind: Kind
    number: int
    target: str = ""
    claims: tuple[Claim, ...] = ()
    sums: bytes = b""  # of a PULL


@dataclass(frozen=True, slots=True)
class Times:
    """The protocol's times in ms, and its counts."""

    period: float = 500.0
    ping: float = 150.0  # until others are asked to ping
    helpers: int = 3
    last_call: int = 12  # helpers that are asked before a doubted member counts as dead
    suspicion: float = 9.0  # periods, times the group's logarithm, until a suspicion is a death
    retell: float = 6.0  # times that a piece of news is sent, times the group's logarithm
    health_most: int = 4  # a member that is slow itself multiplies its times by up to one more
    forget: float = 60_000.0  # the dead are remembered for so long, so that old news does not wake them
    pull: float = 2000.0  # between comparisons of lists, where the last ones found nothing
    members_most: int = 2000
    late: float = 1000.0  # a clock that jumps by more between two ticks: this member itself was stopped


END = 0xFFFF  # of a pull: there is no further part
SUMS = 0xFFFE  # of a pull: the lists differ
RIVAL_KNOCKS = 10  # at the address of another process of the same name
IN_A_PART = 6  # claims that find room whatever the names


class BadMessage(ValueError):
    """Bytes that are no message."""


_HEAD = struct.Struct("!BHB")  # kind, number, length of the target's name
_CLAIM = struct.Struct("!BIHB4sH")  # state, incarnation, life, length of the name, address


def pack(message: Message, most: int) -> tuple[bytes, int]:
    """The message in at most so many bytes, and how many of its claims found room."""
    target = message.sums if message.kind is Kind.PULL else message.target.encode()
    data = _HEAD.pack(message.kind, message.number, len(target)) + target
    told = 0
    for claim in message.claims:
        name = claim.name.encode()
        ip = bytes(map(int, claim.address[0].split(".")))
        piece = _CLAIM.pack(claim.state, claim.incarnation, claim.life, len(name), ip, claim.address[1])
        piece += name
        if len(data) + len(piece) > most:
            break
        data += piece
        told += 1
    return data, told


def unpack(data: bytes) -> Message:
    """The message in some bytes; BadMessage where there is none."""
    try:
        kind, number, length = _HEAD.unpack_from(data)
        at = _HEAD.size + length
        target, sums = data[_HEAD.size : at], b""
        if kind == Kind.PULL:
            target, sums = b"", target
        claims = []
        while at < len(data):
            state, incarnation, life, length, ip, port = _CLAIM.unpack_from(data, at)
            name = data[at + _CLAIM.size : at + _CLAIM.size + length]
            at += _CLAIM.size + length
            if at > len(data) or not name:
                raise BadMessage("cut short")
            address = ".".join(map(str, ip)), port
            claims.append(Claim(name.decode(), address, incarnation, State(state), life))
        return Message(Kind(kind), number, target.decode(), tuple(claims), sums)
    except (struct.error, UnicodeDecodeError, ValueError) as error:
        raise BadMessage(str(error)) from error


@dataclass(slots=True)
class Member:
    """What is held to be true of one member."""

    claim: Claim
    since: float  # of its state
    told: int = 0  # how often its claim was sent
    by: str = ""  # by whose word it is held
    word: float = -math.inf  # when that word came
    heard: float = -math.inf  # when it last spoke to this member itself
    called: bool = False  # the last call before its death has gone out


@dataclass(slots=True)
class _Probe:
    """A ping that is out, or one on behalf of another member."""

    target: str
    sent: float
    asker: tuple[str, int] | None = None  # who asked, and under which number
    asked: bool = False  # others have been asked
    again: int = 0  # pings that have followed the first one
    last: bool = False  # a last call before a death: it says nothing of this member's own health


Sends = list[tuple[Address, Message]]


class Group:
    """One member's view. Every call returns what has to be sent; `tick` is due every few dozen ms."""

    def __init__(
        self, name: str, address: Address, seeds: Iterable[Address], times: Times, seed: int, life: int
    ) -> None:
        self.times = times
        self.me = Claim(name, address, 0, State.ALIVE, life & 0xFFFF)
        self.members: dict[str, Member] = {}
        self.seeds = [s for s in seeds if s != address]
        # what has changed since the caller looked, and by whose word; it empties the list
        self.changes: list[tuple[Claim, str]] = []
        self.stopped_at = -math.inf  # when this member last went on after a stop
        self.synced = False  # all of another's members have been told to this one
        self.refuted = 0  # how often another life of this name was claimed
        self.rival: Address | None = None  # where another process of this name may be
        self._rival_left = 0  # knocks there that are still to come
        self.health = 0  # Lifeguard's multiplier, 0: well
        self.random = random.Random(seed)
        self.spoken = -math.inf  # when anybody last spoke to this member itself
        self.counts = dict.fromkeys(State, 0)  # of other members
        # what each look needs, so that it does not go through all members of a large group
        self._news: dict[str, None] = {}  # whose claims were not told often enough yet
        self._most = 0.0  # how often that was, when it was last looked at for all members
        self._down: dict[str, None] = {}  # who is not alive
        self._up: tuple[str, ...] | None = None
        self._my_told = 0
        self._number = 0
        self._round: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._next = -math.inf
        self._last = -math.inf
        self._sums = Sums()  # of the others that are up
        self._version = 0  # counts what has changed
        self._pulled = -math.inf
        self._every = times.period  # until the next comparison of lists
        self._asked_for = ("", b"")  # of whom, and for what sums, parts are on their way
        self._gained = False  # something was new in them

    # -- what callers ask

    def alive(self) -> list[str]:
        """The members that are alive by now, this one included, in order of name."""
        others = [n for n, m in self.members.items() if m.claim.state is State.ALIVE]
        return sorted([self.me.name, *others])

    def up(self) -> tuple[str, ...]:
        """The other members that are alive or in doubt, in order of name."""
        if self._up is None:
            self._up = tuple(sorted(n for n, m in self.members.items() if m.claim.state < State.DEAD))
        return self._up

    def address_of(self, name: str) -> Address | None:
        """Where a member is."""
        member = self.members.get(name)
        return member.claim.address if member is not None else None

    # -- time

    def tick(self, now: float) -> Sends:
        """Time has gone on."""
        times, sends = self.times, Sends()
        if now - self._last > times.late and self._last > -math.inf:
            # guards the others: after a stop nobody's silence means anything, and suspicions are old
            self.stopped_at = now
            self._probes.clear()
            self.health = times.health_most
            for member in self.members.values():
                if member.claim.state is State.SUSPECT:
                    member.since = now
            self._next = now
        self._last = now
        stretch = 1 + self.health
        few = self.counts[State.ALIVE] <= times.helpers
        for number, probe in list(self._probes.items()):
            age = now - probe.sent
            if probe.asker is not None:
                if age > times.period:
                    del self._probes[number]
            elif age >= times.period * stretch and probe.asked:
                del self._probes[number]
                # guards those that are well: the silence of one in doubt is what was expected, and says
                # nothing of this member's own health
                if not probe.last and self._suspect(probe.target, now):
                    self.health = min(times.health_most, self.health + 1)
            elif age > times.ping * stretch * (1 + probe.again) and (few or not probe.asked):
                if not probe.asked:
                    probe.asked = True
                    sends += self._ask_others(number, probe, times.helpers)
                probe.again += 1
                place = self.address_of(probe.target)
                if place is not None:  # losses come in bursts: once more oneself, or more where few can help
                    sends.append((place, self._message(Kind.PING, number)))
        sends += self._age(now)
        if now >= self._next:
            self._next = now + times.period * stretch
            sends += self._begin(now)
        # news that all of a member's tellers had told already before it came, or that was lost, comes so
        if now - self._pulled >= self._every:
            sends += self._pull(now)
        return sends

    def _pull(self, now: float) -> Sends:
        able = [m.claim for m in self.members.values() if m.claim.state is State.ALIVE]
        if not able:
            return []
        chosen = self.random.choice(able)
        self._pulled, self._asked_for, self._gained = now, (chosen.name, b""), False
        # later and later where nothing is gained: the lists are alike, or the other's is shorter
        self._every = min(self.times.pull, 2 * self._every)
        return [(chosen.address, Message(Kind.PULL, 0, sums=self._own_sums().total()))]

    def _own_sums(self) -> Sums:
        """The sums of the list with this member in it, as the others have it."""
        whole = Sums(self._sums)
        if self.me.state < State.DEAD:
            whole.turn(self.me.name, self.me.incarnation)
        return whole

    def _part(self, message: Message) -> Message:
        """What another asks for: where its list differs from this one."""
        sums = self._own_sums()
        if message.sums == sums.total():
            return Message(Kind.PART, END)
        if len(message.sums) == len(sums.total()):
            return Message(Kind.PART, SUMS)
        differ = sums.differ(message.sums)
        names = sorted(n for n in (*self.members, self.me.name) if bucket_of(n) in differ)
        at = message.number + IN_A_PART
        part = [self.members[n].claim if n != self.me.name else self.me for n in names[at - IN_A_PART : at]]
        return Message(Kind.PART, at if at < len(names) else END, "", tuple(part))

    def _took(self, now: float, sender: str, address: Address, number: int) -> Sends:
        """A part has come: ask for the next one, of the same list."""
        asked, sums = self._asked_for
        if sender != asked:
            return []
        self._pulled = now
        if number == END:
            self._asked_for = "", b""
            self.synced = True
            if self._gained:
                self._every = self.times.period
            return []
        if number == SUMS:
            number, sums = 0, self._own_sums().buckets()
            self._asked_for = sender, sums
        return [(address, Message(Kind.PULL, number, sums=sums))]

    def again(self, address: Address) -> Sends:
        """What was asked at an address, once more: what was sent before the two had met was not taken."""
        sends: Sends = [
            (address, self._message(Kind.PING, number))
            for number, probe in self._probes.items()
            if self.address_of(probe.target) == address
        ]
        if address in self.seeds and not self.members:
            sends.append((address, self._message(Kind.PING, 0)))
        asked, sums = self._asked_for
        if asked and self.address_of(asked) == address:
            sends.append((address, Message(Kind.PULL, 0, sums=sums or self._own_sums().total())))
        return sends

    def _begin(self, now: float) -> Sends:
        """Ping the next one of the round; without any, knock at a seed."""
        target = self._pick()
        if target is None:
            return [(self.random.choice(self.seeds), self._message(Kind.PING, 0))] if self.seeds else []
        self._number = self._number % 0xFFFF + 1
        self._probes[self._number] = _Probe(target, now)
        sends = [(self.members[target].claim.address, self._message(Kind.PING, self._number))]
        # guards against false deaths: whoever is in doubt hears of it from all who doubt, until it refutes
        doubted = [n for n in self._down if n != target and self.members[n].claim.state is State.SUSPECT]
        if doubted:
            name = self.random.choice(doubted)
            sends.append((self.members[name].claim.address, self._message(Kind.PING, 0, about=name)))
        there = {self.members[name].claim.address for name in self.up()}
        lost = [seed for seed in self.seeds if seed not in there]
        # guards against halves that hold each other for dead after a cut: they go on knocking
        if lost:
            sends.append((self.random.choice(lost), self._message(Kind.PING, 0)))
        if self.rival is not None and self._rival_left:
            self._rival_left -= 1
            sends.append((self.rival, self._message(Kind.PING, 0)))
        return sends

    def renew(self, life: int) -> None:
        """Begin another life without an end: what others hold of the one before is over."""
        self.me = replace(self.me, incarnation=self.me.incarnation + 1, life=life & 0xFFFF)

    def _pick(self) -> str | None:
        up = (State.ALIVE, State.SUSPECT)
        while True:
            while self._round:
                name = self._round.pop()
                member = self.members.get(name)
                if member is not None and member.claim.state in up:
                    return name
            self._round = [n for n, m in self.members.items() if m.claim.state in up]
            self.random.shuffle(self._round)
            if not self._round:
                return None

    def _ask_others(self, number: int, probe: _Probe, most: int) -> Sends:
        able = [
            m.claim.address
            for n, m in self.members.items()
            if n != probe.target and m.claim.state is State.ALIVE
        ]
        chosen = self.random.sample(able, min(most, len(able)))
        # the doubt goes with it, and a refutation comes back with the answer
        message = self._message(Kind.PING_FOR, number, probe.target, about=probe.target)
        return [(address, message) for address in chosen]

    def _age(self, now: float) -> Sends:
        """Suspicions that were not refuted become deaths; the dead are forgotten in the end."""
        times, sends = self.times, Sends()
        patience = times.suspicion * times.period * self._log() * (1 + self.health)
        for name in list(self._down):
            member = self.members[name]
            state = member.claim.state
            if state is State.SUSPECT and now - member.since >= patience:
                self._hold(replace(member.claim, state=State.DEAD), now, self.me.name)
            elif state is State.SUSPECT and not member.called and now - member.since >= patience / 2:
                # guards one whom only some can reach: a few helpers drawn at random may not be among them
                member.called = True
                self._number = self._number % 0xFFFF + 1
                probe = self._probes[self._number] = _Probe(name, now, asked=True, last=True)
                sends += self._ask_others(self._number, probe, times.last_call)
            elif state >= State.DEAD and now - member.since >= times.forget:
                del self.members[name]  # the dead are in no sum
                self._down.pop(name, None)
                self._news.pop(name, None)
                self.counts[state] -= 1
        return sends

    def _log(self) -> float:
        return max(1.0, math.log10(len(self.members) + 1))

    # -- messages

    def received(self, now: float, sender: str, life: int, address: Address, message: Message) -> Sends:
        """A message of an authenticated member, in its present life, has come."""
        if sender == self.me.name:
            return []
        if sender not in self.members and len(self.members) < self.times.members_most:
            # whoever speaks is there; whether it is alive is for it to claim
            self._hold(Claim(sender, address, 0, State.ALIVE, life & 0xFFFF), now, sender)
        before, known = self.me, self._version
        for claim in message.claims:
            self._hear(claim, now, sender)
        if message.kind is Kind.PART and self._version != known:
            self._gained = True
        if sender in self.members:
            self.members[sender].heard = self.spoken = now
        # what was refuted is told at once to whoever said it
        refuted = [(address, self._message(Kind.PING, 0))] if self.me != before else []
        return refuted + self._reply(now, sender, address, message)

    def _reply(self, now: float, sender: str, address: Address, message: Message) -> Sends:
        match message.kind:
            case Kind.PING:
                return [(address, self._message(Kind.ACK, message.number, about=sender))]
            case Kind.ACK:
                return self._answered(message.number)
            case Kind.PULL:
                return [(address, self._part(message))]
            case Kind.PART:
                return self._took(now, sender, address, message.number)
            case Kind.PING_FOR:
                member = self.members.get(message.target)
                if member is None or message.target == self.me.name:
                    return []
                self._number = self._number % 0xFFFF + 1
                self._probes[self._number] = _Probe(message.target, now, (sender, message.number))
                ping = self._message(Kind.PING, self._number, about=message.target)
                return [(member.claim.address, ping)]

    def _answered(self, number: int) -> Sends:
        probe = self._probes.pop(number, None)
        if probe is None:
            return []
        if probe.asker is None:
            self.health = max(0, self.health - 1)
            return []
        asker = self.members.get(probe.asker[0])
        if asker is None:
            return []
        return [(asker.claim.address, self._message(Kind.ACK, probe.asker[1]))]

    def leave(self) -> Sends:
        """This member goes by its own will: some are told, who tell the others."""
        self.me = replace(self.me, incarnation=self.me.incarnation + 1, state=State.LEFT)
        self._my_told = 0
        up = [m.claim.address for m in self.members.values() if m.claim.state is State.ALIVE]
        chosen = self.random.sample(up, min(2 * self.times.helpers, len(up)))
        return [(address, self._message(Kind.PING, 0)) for address in chosen]

    def _message(
        self, kind: Kind, number: int, target: str = "", about: str = "", vouched: str = ""
    ) -> Message:
        """A message with the news that were told least; what is doubted, or vouched for, comes first."""
        most = self.times.retell * self._log()
        if most > self._most + 1:
            # the group has grown: what was told often enough for a smaller one was not
            self._most = most
            self._news = {name: None for name, m in self.members.items() if m.told < most}
        for name in [n for n in self._news if self.members[n].told >= most]:
            del self._news[name]
        news = [self.members[name] for name in self._news if name not in (about, vouched)]
        news.sort(key=lambda m: m.told)
        first = self.members.get(about or vouched)
        claims = [m.claim for m in news]
        if first is not None and (vouched or first.claim.state is not State.ALIVE):
            claims.insert(0, first.claim)  # it is there: let it refute, or be heard of
        return Message(kind, number, target, (self.me, *claims))

    def told(self, message: Message, claims: int) -> None:
        """So many of a message's claims found room in its datagram, and count as told."""
        for claim in message.claims[:claims]:
            member = self.members.get(claim.name)
            if member is not None and member.claim == claim:
                member.told += 1

    def over(self, name: str, life: int, now: float) -> None:
        """A member's lives before this one are known to be over, as this one has shown itself."""
        member = self.members.get(name)
        if member is not None and member.claim.state < State.DEAD and member.claim.life != life & 0xFFFF:
            self._hold(replace(member.claim, state=State.DEAD), now, name)

    # -- claims

    def _suspect(self, name: str, now: float) -> bool:
        """Doubt a member that is held for alive."""
        member = self.members.get(name)
        if member is None or member.claim.state is not State.ALIVE:
            return False
        self._hold(replace(member.claim, state=State.SUSPECT), now, self.me.name)
        return True

    def _hear(self, claim: Claim, now: float, by: str) -> None:
        if claim.name == self.me.name:
            self._refute(claim)
            return
        member = self.members.get(claim.name)
        if member is None:
            if len(self.members) < self.times.members_most:
                self._hold(claim, now, by)
        elif claim.beats(member.claim):
            self._hold(claim, now, by)
        elif claim == member.claim:
            member.word = now

    def _refute(self, claim: Claim) -> None:
        """What others say of this member, or an earlier life of it has said, is not the last word."""
        if self.me.state is State.LEFT:
            return
        same = claim.address == self.me.address and claim.life == self.me.life
        if not same and claim.state is State.ALIVE:
            self.refuted += 1
            if claim.address != self.me.address:
                self.rival, self._rival_left = claim.address, RIVAL_KNOCKS
        if claim.beats(self.me) or (claim.incarnation == self.me.incarnation and not same):
            if claim.state is State.SUSPECT and same:
                self.health = min(self.times.health_most, self.health + 1)  # it was too slow for somebody
            self.me = replace(self.me, incarnation=claim.incarnation + 1)

    def _hold(self, claim: Claim, now: float, by: str) -> None:
        known = self.members.get(claim.name)
        heard = known.heard if known is not None and known.claim.life == claim.life else -math.inf
        same = known is not None and known.claim.state is State.ALIVE is claim.state
        # a suspicion begins anew with each incarnation: the one before was refuted
        since = known.since if known is not None and same and known.claim.life == claim.life else now
        self.members[claim.name] = Member(claim, since, 0, by, now, heard)
        if known is not None:
            self.counts[known.claim.state] -= 1
            if known.claim.state < State.DEAD:
                self._sums.turn(claim.name, known.claim.incarnation)
        if claim.state < State.DEAD:
            self._sums.turn(claim.name, claim.incarnation)
        self._version += 1
        self.counts[claim.state] += 1
        self._up = None
        self._news[claim.name] = None
        self._down.pop(claim.name, None)
        if claim.state is not State.ALIVE:
            self._down[claim.name] = None
        if known is None or _shows(known.claim) != _shows(claim):
            self.changes.append((claim, by))
            # guards memory where nobody looks
            del self.changes[: -self.times.members_most]


def _shows(claim: Claim) -> tuple[State, Address, int]:
    """What of a claim callers see a change of."""
    return claim.state, claim.address, claim.life
