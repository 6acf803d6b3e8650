"""One node's part in the verdicts of all: its evidence, others' statements, trials, what is told. No I/O.

Every call takes the time in ms of a clock that never goes back. `tick` is due every few dozen ms and returns
what has to be sent: names of members, and a body for each. Statements go straight to all members of a small
group, and by way of a few drawn at random in a large one; what was lost is made up for by statements that
members pass on now and then, so that one who hears only some of the others hears of all.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, replace

from pebbledrift.verdicts.evidence import (
    BadStatement,
    Entry,
    Evidence,
    Record,
    Sign,
    Statement,
    life_of,
    pack,
    short,
    unpack,
)
from pebbledrift.verdicts.verdict import (
    Evident,
    Rules,
    Verdict,
    Word,
    capped,
    judge,
    try_after_ms,
)

NEWBORN = 0xFE  # in the place of a class: an entry that tells of a worker's start and of nothing else
Key = tuple[int, int]  # worker and class; the worker by its number on the wire
Sends = list[tuple[tuple[str, ...], bytes]]


@dataclass(frozen=True, slots=True)
class Ways:
    """How statements travel. Times in ms."""

    gather: float = 20.0  # between a sign and its telling: what comes together is told together
    least: float = 60.0  # between two statements of one node
    again: tuple[float, ...] = (70.0, 210.0)  # after which a statement is sent once more: some are lost
    refresh: float = 1500.0  # a statement that others rest on is told anew
    trying: float = 400.0  # the same while its node tries a worker
    relay: float = 1000.0  # between statements of others that are passed on,
    relay_news: float = 200.0  # and while a verdict is younger than this many of them
    news: int = 10
    expire: float = 6000.0  # a statement that was not made anew says nothing any more
    direct: int = 32  # a group up to this size is told directly
    fan: int = 6  # members of a larger one that are told, who tell as many
    entries: int = 9  # of one statement: what finds room in a datagram
    newborn: int = 3  # of these, for workers that started lately
    lift: float = 1500.0  # for which one node may try a worker
    takeover: float = 1.2  # of these, that each further one in the order waits


@dataclass(slots=True)
class Heard:
    """Another node's last statement. `made`: when, by the clock here."""

    told: Statement
    made: float
    passed: int = 0  # how often it was sent on


@dataclass(slots=True)
class Ruling:
    """A verdict that stands here, and since when."""

    verdict: Verdict
    since: float


class Panel:
    """One member. `life`: a tag of 16 bits that tells its lives apart."""

    def __init__(self, name: str, life: int, most: int, rules: Rules, ways: Ways, seed: int) -> None:
        self.name, self.life, self.most = name, life & 0xFFFF, most
        self.rules, self.ways = rules, ways
        self.random = random.Random(seed)
        self.evidence = Evidence(rules.half_ms)
        self.heard: dict[str, Heard] = {}
        self.members: tuple[str, ...] = ()  # the others that answer
        self.workers: dict[int, int] = {}  # by number on the wire, the number
        self.lives: dict[int, int] = {}  # by number on the wire
        self.cold: dict[int, int] = {}  # of workers that started lately, the life
        self.rulings: dict[Key, Ruling] = {}
        self.out: set[int] = set()  # workers that are left alone by verdict, by number on the wire
        self.trying: dict[Key, float] = {}  # until when this node tries
        self.dropped = 0  # statements that could not be read, or were absurd
        self.told = 0  # statements made
        self.may_try = True
        self._number = 0
        self._due = math.inf  # when the next statement of its own is made
        self._made = -math.inf
        self._again: list[float] = []
        self._relayed = -math.inf
        self._last: Statement | None = None
        self._dirty = False
        self._looked = -math.inf

    # -- what happens

    def listed(self, started_ms: Mapping[int, float], cold: set[int]) -> None:
        """The workers there are, by when they started; of these, the ones that did lately."""
        lives = {worker: life_of(at) for worker, at in started_ms.items()}
        self.evidence.listed(lives)
        self.workers = {short(worker): worker for worker in lives}
        self.lives = {short(worker): life for worker, life in lives.items()}
        self.cold = {short(w): lives[w] for w in cold if lives[w]}
        for key in [k for k in self.trying if k[0] not in self.lives]:
            del self.trying[key]
        self._dirty = True

    def see(self, now: float, worker: int, started_ms: float, job_class: int, sign: Sign) -> None:
        """A sign of a worker that this node saw itself."""
        before = self.evidence.records.get((worker, job_class))
        was_failing = before is not None and before.fail_run > 0
        if self.evidence.see(worker, life_of(started_ms), job_class, sign, now) is None:
            return
        key = short(worker), job_class
        failed = sign in (Sign.WORD, Sign.PATH)
        if failed:
            self._stop_trying(key)
        self._dirty = True
        if failed or sign is Sign.SLOW or was_failing or self._disputed(key):
            self._due = min(self._due, max(now + self.ways.gather, self._made + self.ways.least))

    def stopped(self, now: float) -> None:
        """This node was stopped: what failed meanwhile was its own fault; what it may try is another's."""
        self.evidence.forget_failures()
        self._put_down()
        self._dirty = True
        self._due = now + self.ways.gather

    def received(self, now: float, body: bytes) -> None:
        """A statement, from whoever made it or passed it on. BadStatement where it cannot be read."""
        try:
            told = unpack(body)
        except BadStatement:
            self.dropped += 1
            raise
        if told.name == self.name:
            return
        made = now - told.age_ms
        known = self.heard.get(told.name)
        if known is not None:
            same = known.told.life == told.life
            # counted once, however often and in whatever order it comes
            if (same and told.number <= known.told.number) or (not same and made <= known.made):
                return
        elif len(self.heard) >= 4096 or told.age_ms > self.ways.expire:
            return
        self.heard[told.name] = Heard(told, made)
        self._dirty = True

    # -- time

    def tick(self, now: float, members: tuple[str, ...]) -> Sends:
        """Time has gone on. `members`: the others that answer."""
        self.members = members
        for name in [n for n, h in self.heard.items() if now - h.made > self.ways.expire]:
            del self.heard[name]
            self._dirty = True
        for key in [k for k, until in self.trying.items() if now >= until]:
            self._stop_trying(key)
        if self._dirty or now - self._looked >= 100.0:
            self._look(now)
        self._begin_trials(now)
        return [*self._tell(now), *self._pass_on(now)]

    def _look(self, now: float) -> None:
        """Judge all that there is evidence of."""
        self._dirty, self._looked = False, now
        found: dict[Key, list[Evident]] = defaultdict(list)
        well = self._believed(*self._health(now))
        for name, heard in self._voices():
            believed = self._believed(heard.told.seen, heard.told.ill)
            for entry in heard.told.entries:
                if entry.job_class != NEWBORN and self.lives.get(entry.worker) == entry.life:
                    found[entry.worker, entry.job_class].append(
                        Evident(name, _older(entry, now - heard.made), believed)
                    )
        for (number, job_class), record in self.evidence.records.items():
            # what nobody has seen fail needs no judging
            if record.fail_run or record.fails + record.slows > 0.5 or (short(number), job_class) in found:
                entry = self.evidence.entry((number, job_class), now)
                found[entry.worker, job_class].append(Evident(self.name, entry, well))
        nodes = 1 + len(self.members)
        verdicts = {key: judge(evidence, nodes, self.rules) for key, evidence in found.items()}
        # one that is known to fail a class is condemned for another by its first failure there
        ill = {worker for (worker, _), verdict in verdicts.items() if verdict.word is Word.BAD}
        warned = replace(self.rules, signs=1, quorum=1)
        for key in [k for k, v in verdicts.items() if k[0] in ill and v.word < Word.BAD]:
            verdicts[key] = max(verdicts[key], judge(found[key], nodes, warned), key=lambda v: v.word)
        rulings = {}
        for key, verdict in verdicts.items():
            if verdict.word is not Word.GOOD:
                known = self.rulings.get(key)
                since = known.since if known is not None and known.verdict.word is verdict.word else now
                rulings[key] = Ruling(verdict, since)
        self.rulings = rulings
        self.out = capped(verdicts, len(self.lives), self.rules)
        for key in [k for k in self.trying if not self.condemned(k)]:
            self._stop_trying(key)

    def _voices(self) -> list[tuple[str, Heard]]:
        """The statements that count: guards against names that nobody in the group has."""
        return [(name, self.heard[name]) for name in self.members if name in self.heard]

    def _health(self, now: float) -> tuple[int, int]:
        return self.evidence.health(now, self.rules.hold_ms)

    def _believed(self, seen: int, ill: int) -> bool:
        """Whether a node's word on failures counts: one that sees most workers fail may be ill itself."""
        return seen < 3 or ill <= self.rules.ill * seen

    def condemned(self, key: Key) -> bool:
        """Whether a worker and class are out by verdict."""
        ruling = self.rulings.get(key)
        return ruling is not None and ruling.verdict.word >= Word.BAD and key[0] in self.out

    def _disputed(self, key: Key) -> bool:
        return key in self.rulings or any(
            e.fail_run and (e.worker, e.job_class) == key for h in self.heard.values() for e in h.told.entries
        )

    # -- trials

    def _order(self, key: Key, now: float) -> list[str]:
        """Who tries: whoever saw it fail longest ago or never, so that each trial is another node's word."""
        ages = {name: math.inf for name in (self.name, *self.members)}
        for name, heard in self.heard.items():
            for entry in heard.told.entries if name in ages else ():
                if (entry.worker, entry.job_class) == key and entry.fail_run and entry.fail_age < math.inf:
                    ages[name] = round((entry.fail_age + now - heard.made) / 1000)
        own = self.evidence.records.get((self.workers.get(key[0], -1), key[1]))
        if own is not None and own.fail_run:
            ages[self.name] = round((now - own.fail_at) / 1000)
        return sorted(ages, key=lambda name: (-ages[name], _hash(name, key)))

    def _begin_trials(self, now: float) -> None:
        if not self.may_try:
            self._put_down()
            return
        lease = self.ways.takeover * self.ways.lift
        condemned: dict[int, list[Key]] = defaultdict(list)
        for key in self.rulings:
            if self.condemned(key):
                condemned[key[0]].append(key)
        for worker, keys in condemned.items():
            tried, by = self._tried(worker)
            trying = [key for key in keys if key in self.trying]
            if trying:
                if now - tried < self.ways.lift and by < self.name:
                    self._stop_trying(trying[0])  # two began before they heard of each other: one goes on
                continue
            verdicts = {key: self.rulings[key].verdict for key in keys}
            # one class at a time, and what fails in it says something of the others too
            quiet = min(v.fail_age for v in verdicts.values()) + now - self._looked
            wait = max(try_after_ms(v, self.rules) for v in verdicts.values())
            # whoever tries says so, and is to be left alone until its lease is over by its own clock
            if quiet < wait or now - tried < lease:
                continue
            key = max(keys, key=lambda k: (verdicts[k].fail_age, k))
            if quiet >= wait + self._order(key, now).index(self.name) * lease:
                self.trying[key] = now + self.ways.lift
                self._mark(key, now, True)

    def busy(self, key: Key, now: float) -> None:
        """An attempt of this node's trial is out: nobody else has to begin another one yet."""
        if key in self.trying:
            self.trying[key] = now + self.ways.lift

    def _tried(self, worker: int) -> tuple[float, str]:
        """When another node last said that it tries a worker, and which."""
        found = (-math.inf, "")
        for name, heard in self.heard.items():
            for entry in heard.told.entries:
                if entry.trying and entry.worker == worker:
                    found = max(found, (heard.made, name))
        return found

    def _mark(self, key: Key, now: float, trying: bool) -> None:
        worker = self.workers.get(key[0])
        if worker is None:
            return
        record = self.evidence.records.get((worker, key[1]))
        if record is None and trying:
            record = self.evidence.records[worker, key[1]] = Record(self.lives[key[0]], now)
        if record is not None:
            record.trying = trying
            self._due = min(self._due, now)

    def _stop_trying(self, key: Key) -> None:
        if self.trying.pop(key, None) is not None:
            self._mark(key, self._looked, False)

    def _put_down(self) -> None:
        for key in list(self.trying):
            self._stop_trying(key)

    def tries(self, key: Key, now: float) -> bool:
        """Whether this node may send to a condemned worker now. Over by its own clock, whatever it missed."""
        return now < self.trying.get(key, -math.inf)

    # -- what is told

    def _subjects(self, now: float) -> list[Key]:
        """The records worth telling, the weightiest first: rows of failures, and what speaks against them."""
        told = [e for heard in self.heard.values() for e in heard.told.entries]
        contested = {(e.worker, e.job_class) for e in told if e.fail_run or e.trying}
        found = []
        for (worker, job_class), r in self.evidence.records.items():
            key = short(worker), job_class
            row = r.fail_run > 0 and now - r.fail_at <= self.rules.row_ms
            of_late = r.fails + r.slows >= 0.5 and now - r.at <= self.rules.half_ms
            if r.trying or row or of_late or key in contested or key in self.rulings:
                found.append((r.trying, row, key in contested, r.at, (worker, job_class)))
        return [key for *_, key in sorted(found, reverse=True)]

    def statement(self, now: float) -> Statement:
        """All that this node has to say now."""
        ways = self.ways
        room = ways.entries - min(len(self.cold), ways.newborn)
        entries = self.evidence.entries(self._subjects(now)[:room], now)
        newborn = sorted(self.cold.items(), key=lambda item: item[1], reverse=True)[: ways.newborn]
        blank = Entry(0, NEWBORN, 0, 0.0, 0.0, 0.0, 0, 0, math.inf, math.inf, math.inf)
        born = tuple(replace(blank, worker=worker, life=life) for worker, life in newborn)
        self._number = (self._number + 1) & 0xFFFFFFFF
        return Statement(self.name, self.life, self._number, 0.0, *self._health(now), entries + born)

    def _tell(self, now: float) -> Sends:
        ways, sends = self.ways, Sends()
        if self._again and now >= self._again[0] and self._last is not None:
            del self._again[0]
            sends += self._spread(replace(self._last, age_ms=now - self._made))
        every = ways.trying if self.trying else ways.refresh
        if now - self._made >= every and (self.cold or (self._last is not None and self._last.entries)):
            self._due = min(self._due, now)
        if now < self._due or not self.members:
            return sends
        self._due = math.inf
        told = self.statement(now)
        if not told.entries and (self._last is None or not self._last.entries):
            return sends
        self._last, self._made, self._again = told, now, [now + after for after in ways.again]
        self.told += 1
        return sends + self._spread(told)

    def _spread(self, told: Statement) -> Sends:
        names = self.members
        if len(names) > self.ways.direct:
            names = tuple(self.random.sample(names, min(len(names), self.ways.fan)))
        return [(names, pack(told, self.most))]

    def _pass_on(self, now: float) -> Sends:
        """Others' statements: in a large group each once, as it comes; else one at random now and then."""
        sends = Sends()
        if len(self.members) > self.ways.direct:
            for heard in self.heard.values():
                if heard.passed == 0:
                    heard.passed = 1
                    sends += self._spread(replace(heard.told, age_ms=now - heard.made))
        ways = self.ways
        fresh = any(now - r.since < ways.relay_news * ways.news for r in self.rulings.values())
        if self.heard and self.members and now - self._relayed >= (ways.relay_news if fresh else ways.relay):
            self._relayed = now
            for heard in self.random.sample(list(self.heard.values()), min(3, len(self.heard))):
                to = (self.random.choice(self.members),)
                sends.append((to, pack(replace(heard.told, age_ms=now - heard.made), self.most)))
        return sends

    # -- what others know of starts

    def started(self, now: float) -> dict[int, float]:
        """By worker: when it started, where enough others know of a later start than the list here does."""
        named: dict[int, list[int]] = defaultdict(list)
        for _, heard in self._voices():
            lives: dict[int, int] = {}
            for e in heard.told.entries:
                lives[e.worker] = max(lives.get(e.worker, 0), e.life)
            for worker, life in lives.items():
                if worker in self.workers and life > self.lives[worker]:
                    named[worker].append(life)
        quorum = min(self.rules.quorum, max(1, len(self.members)))
        return {
            self.workers[worker]: sorted(lives, reverse=True)[quorum - 1] * 10.0
            for worker, lives in named.items()
            if len(lives) >= quorum
        }


def _older(entry: Entry, by_ms: float) -> Entry:
    return replace(
        entry,
        good_age=entry.good_age + by_ms,
        fail_age=entry.fail_age + by_ms,
        onset_age=entry.onset_age + by_ms,
    )


def _hash(name: str, key: Key) -> bytes:
    return hashlib.blake2b(f"{name}\0{key[0]}\0{key[1]}".encode(), digest_size=8).digest()
