"""Whole books of limits in virtual time: jobs at a rate, a network that loses, cuts, kills and stops.

Used by bench.limits and by the tests. A seed replays.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import time
from typing import Any

import numpy as np

from pebbledrift.config import FleetLimitsConfig, LimitConfig
from pebbledrift.limits import bounds
from pebbledrift.limits.book import NodeLimits
from pebbledrift.membership.seal import OVERHEAD


def config_of(kind: str, rate: float, **more: Any) -> FleetLimitsConfig:
    """One limit of all jobs."""
    return FleetLimitsConfig((LimitConfig("all", kind, rate),), **more)


DEATH_MS = 3000.0  # until a view has dropped those that are cut off (docs/membership.md)


class Fleet:
    """Books with jobs that come to each at a rate, on a network that loses.

    `how` is static (each has its even part, and no more), hard or soft. Of the hard kind each node has the
    lease on its own part throughout.
    """

    STEP = 25.0

    def __init__(
        self,
        nodes: int,
        how: str,
        rate: float,
        seed: int,
        loss: float = 0.0,
        delay_ms: float = 10.0,
        **more: Any,
    ) -> None:
        self.random = np.random.default_rng(seed)
        self.how, self.rate, self.loss, self.delay_ms = how, rate, loss, delay_ms
        self.config = config_of("hard" if how != "soft" else "soft", rate, **more)
        self.names = [f"n{i:04d}" for i in range(nodes)]
        self.now = 0.0
        chance = random.Random(seed)
        self.books = {
            name: NodeLimits(
                self.config, name, nodes, b"bench", 0.0, lambda: chance.getrandbits(64) or 1, seed + i
            )
            for i, name in enumerate(self.names)
        }
        self.view = dict.fromkeys(self.names, tuple(self.names))  # who answers, by each node's
        self.wanted = dict.fromkeys(self.names, 0.0)  # jobs a second
        self.left = dict.fromkeys(self.names, 0.0)
        self.group = dict.fromkeys(self.names, 0)  # nodes of one number hear each other
        self.bad = dict.fromkeys(self.names, False)
        self.taken: list[float] = []  # when jobs were taken in, by all
        self.asked = self.sent = self.sent_bytes = 0
        self.busy = 0.0  # seconds of this machine in the books
        self._way: list[tuple[float, int, str, bytes, str, bytes]] = []
        self._count = itertools.count()

    def spread(self, total: float, skew: float = 1.0) -> None:
        """So many jobs a second over all nodes; one in ten gets `skew` times the others'."""
        heavy = set(self.random.choice(self.names, max(1, len(self.names) // 10), replace=False))
        weights = {n: skew if n in heavy else 1.0 for n in self.names}
        for name in self.names:
            self.wanted[name] = total * weights[name] / sum(weights.values())

    def see(self) -> None:
        """All views have become what is so."""
        for name in self.names:
            self.view[name] = tuple(n for n in self.names if self.group[n] == self.group[name])

    def run(self, ms: float) -> None:
        """Let so much time go by."""
        end = self.now + ms
        while self.now < end - 1e-9:
            self.now += self.STEP
            self._deliver()
            came = self.random.poisson([self.wanted[n] * self.STEP / 1000 for n in self.names])
            began = time.perf_counter()
            sends = []
            for name, jobs in zip(self.names, came, strict=True):
                sends.append((name, self._node(name, int(jobs))))
            self.busy += time.perf_counter() - began
            for name, told in sends:
                for form, body, receivers in told:
                    for receiver in receivers:
                        self._send(name, receiver, form, body)

    def _node(self, name: str, jobs: int) -> list[Any]:
        book = self.books[name]
        held = 1 if self.how != "soft" else 0
        sends = book.tick(self.now, self.view[name], len(self.names), held, self.now + 2400.0)
        for _ in range(jobs):
            self.job(name, self.now)
        return [] if self.how == "static" else sends

    def job(self, name: str, now: float) -> None:
        """One job has come to a node, whose clock says `now`."""
        book = self.books[name]
        self.asked += 1
        book.job_arrived(now, None, 0, False)
        for allowance in book.changed_allowances(now):
            self.left[name] = allowance.jobs
        if self.left[name] >= 1:
            self.left[name] -= 1
            self.taken.append(self.now)
            book.record_decision(now, {0: self.left[name]})

    def _send(self, sender: str, receiver: str, form: bytes, body: bytes) -> None:
        self.sent += 1
        self.sent_bytes += len(body) + OVERHEAD + 1
        if self.loss:  # in bursts of three in the mean (Gilbert, 1960)
            enter = self.loss / (1 - self.loss) / 3
            bad = self.bad[sender]
            self.bad[sender] = bool(self.random.random() >= 1 / 3 if bad else self.random.random() < enter)
        if self.bad[sender] or self.group[sender] != self.group[receiver]:
            return
        at = self.now + float(self.random.uniform(0.2, 2.0) * self.delay_ms)
        heapq.heappush(self._way, (at, next(self._count), sender, form, receiver, body))

    def _deliver(self) -> None:
        while self._way and self._way[0][0] <= self.now:
            _, _, sender, form, receiver, body = heapq.heappop(self._way)
            began = time.perf_counter()
            answers = self.books[receiver].received(self.now, form, sender, 1, body)
            self.busy += time.perf_counter() - began
            for other, answer, names in answers:
                for name in names:
                    self._send(receiver, name, other, answer)

    def share(self) -> float:
        """All shares together."""
        return sum(book.share(self.now, book.limits[0]) for book in self.books.values())


def over(times: list[float], rate: float, burst_ms: float, nodes: int, window_ms: float) -> float:
    """By how many jobs the bound of any window was passed, at the worst; below 0: never."""
    worst, first = -math.inf, 0
    for i, at in enumerate(times):
        while times[first] < at - window_ms:
            first += 1
        worst = max(worst, i - first + 1 - bounds.window_jobs(rate, burst_ms, nodes, window_ms))
    return worst


def shares(given: tuple[str, int, float, float, int, float]) -> dict[str, Any]:
    """What is unused, over and sent where traffic is uneven and moves each 10 s, at 0.9 of the limit."""
    how, nodes, skew, loss, seed, seconds = given
    rate = 10.0 * nodes
    fleet = Fleet(nodes, how, rate, seed, loss)
    fleet.spread(0.9 * rate, skew)
    fleet.run(4000.0)  # from the start to even shares
    taken, asked, sent, sent_bytes = len(fleet.taken), fleet.asked, fleet.sent, fleet.sent_bytes
    fleet.busy = 0.0
    most = 0.0
    for _ in range(max(1, int(seconds // 10))):
        for _ in range(20):
            fleet.run(min(seconds, 10.0) * 50)
            most = max(most, fleet.share())
        fleet.spread(0.9 * rate, skew)
    asked = fleet.asked - asked
    return {
        "how": how,
        "nodes": nodes,
        "skew": skew,
        "loss": loss,
        "seed": seed,
        "missed": 1 - (len(fleet.taken) - taken) / max(1, asked),
        "shares": most,
        "over": over(fleet.taken, rate, fleet.config.burst_ms, nodes, 1000.0),
        "messages": (fleet.sent - sent) / nodes / seconds,
        "bytes": (fleet.sent_bytes - sent_bytes) / nodes / seconds,
        "cpu_ms": fleet.busy * 1000 / nodes / seconds,
        "cpu_us_a_job": fleet.busy * 1e6 / max(1, asked),
    }


def step(given: tuple[str, int, float, int]) -> dict[str, Any]:
    """How soon a limit follows where all traffic comes to one node, and then to another one."""
    how, nodes, loss, seed = given
    rate = 10.0 * nodes
    fleet = Fleet(nodes, how, rate, seed, loss)
    names = fleet.names
    fleet.wanted[names[0]] = 2 * rate
    fleet.run(6000.0)
    fleet.wanted[names[0]], fleet.wanted[names[1]] = 0.0, 2 * rate
    moved, took = fleet.now, math.inf
    share = fleet.books[names[1]]
    swings, last = 0, 0.0
    while fleet.now < moved + 8000.0:
        fleet.run(50.0)
        now = share.share(fleet.now, share.limits[0])
        if now >= 0.8 and took == math.inf:
            took = fleet.now - moved
        if took < math.inf and abs(now - last) > 0.1:
            swings += 1
        last = now
    return {"how": how, "nodes": nodes, "loss": loss, "seed": seed, "follow_ms": took, "swings": swings}


def cuts(given: tuple[int, int, str, float, int], follows: bool = True) -> dict[str, Any]:
    """A soft limit through a cut in groups, with demand that moves at the worst moment; the views of the
    group follow it, or go on naming those that are not heard.
    """
    nodes, groups, in_a_cut, loss, seed = given
    rate = 10.0 * nodes
    fleet = Fleet(nodes, "soft", rate, seed, loss, in_a_cut=in_a_cut)
    config = fleet.config
    # all demand is in one group, and more than the limit; once cut, the others ask for as much
    for i, name in enumerate(fleet.names):
        fleet.group[name] = 0
        fleet.wanted[name] = 3 * rate / nodes * groups if i % groups == 0 else 0.0
    fleet.run(5000.0)
    began, before = fleet.now, len(fleet.taken)
    for i, name in enumerate(fleet.names):
        fleet.group[name] = i % groups
        fleet.wanted[name] = 3 * rate / nodes * groups
    lasts = 8000.0
    fleet.run(DEATH_MS)
    if follows:
        fleet.see()
    fleet.run(lasts - DEATH_MS)
    taken = len(fleet.taken) - before
    reach = bounds.reach_ms(nodes, 2 * fleet.delay_ms)
    allowed = bounds.window_jobs(rate, config.burst_ms, nodes, lasts)
    most = bounds.cut_jobs(rate, groups, config.believed_ms, reach, in_a_cut, lasts)
    late = [at for at in fleet.taken if at > began + lasts / 2]
    for name in fleet.names:
        fleet.group[name] = 0
    fleet.run(1000.0)
    fleet.see()
    fleet.run(2000.0)
    return {
        "nodes": nodes,
        "groups": groups,
        "in_a_cut": in_a_cut,
        "loss": loss,
        "seed": seed,
        "over": max(0.0, taken - rate * lasts / 1000),
        "bound": most + allowed - rate * lasts / 1000,
        "later": len(late) / (rate * lasts / 2000),
        "healed": fleet.share(),
    }


class Faulty:
    """A hard limit over nine books: leases that run out, kills, starts, stops, cuts, loss, copies, and clocks
    that drift and differ by days.
    """

    LEASE_MS = 2600.0

    def __init__(self, seed: int, nodes: int = 9) -> None:
        self.random = chance = random.Random(seed)
        self.fleet = fleet = Fleet(nodes, "hard", 40.0 * nodes, seed, chance.choice([0.0, 0.1, 0.3]))
        self.drift = {n: 1 + chance.uniform(-1e-3, 1e-3) for n in fleet.names}
        self.offset = {n: chance.uniform(0, 1e9) for n in fleet.names}
        self.stopped = dict.fromkeys(fleet.names, 0.0)
        self.leased = dict.fromkeys(fleet.names, 0.0)  # until when a node holds its part
        self.free = dict.fromkeys(fleet.names, 0.0)  # from when on it may: its life before has let go of it
        self.lives = dict.fromkeys(fleet.names, 1)
        self.way: list[tuple[float, str, int, str, bytes, bytes]] = []
        self.shares = 0.0  # the most that all that run could spend together, of the whole
        fleet.books = {n: self._book(n) for n in fleet.names}

    def _clock(self, name: str) -> float:
        return self.offset[name] + self.fleet.now * self.drift[name]

    def _book(self, name: str) -> NodeLimits:
        chance = self.random

        def draw() -> int:
            return chance.getrandbits(64) or 1

        names = len(self.fleet.names)
        return NodeLimits(
            self.fleet.config, name, names, b"b", self._clock(name), draw, chance.getrandbits(30)
        )

    def play(self, seconds: float = 8.0) -> float:
        """Jobs over the bound of a second's window, at the worst."""
        fleet = self.fleet
        fleet.spread(fleet.rate, 10.0)
        while fleet.now < seconds * 1000:
            fleet.now += fleet.STEP
            self._fault()
            self._deliver()
            for name in fleet.names:
                if self.stopped[name] <= fleet.now:
                    self._turn(name)
            running = [n for n in fleet.names if self.stopped[n] <= fleet.now]
            spendable = (fleet.books[n].share(self._clock(n), fleet.books[n].limits[0]) for n in running)
            self.shares = max(self.shares, sum(spendable))
        return over(fleet.taken, fleet.rate, fleet.config.burst_ms, len(fleet.names), 1000.0)

    def _fault(self) -> None:
        fleet, chance = self.fleet, self.random
        if chance.random() < 0.03:
            fleet.spread(fleet.rate * chance.uniform(0.5, 3.0), chance.choice([1.0, 10.0, 100.0]))
        if chance.random() < 0.03:
            groups = chance.choice([1, 1, 2, 3])
            fleet.group = {n: chance.randrange(groups) for n in fleet.names}
        if chance.random() < 0.04:
            name = chance.choice(fleet.names)
            if chance.random() < 0.5:
                self.stopped[name] = fleet.now + chance.uniform(50, 3000)
            else:
                self.lives[name] += 1
                self.free[name], self.leased[name] = max(self.free[name], self.leased[name]), 0.0
                self.stopped[name] = 0.0
                fleet.books[name] = self._book(name)

    def _turn(self, name: str) -> None:
        fleet, chance, now = self.fleet, self.random, self._clock(name)
        # its own part, for longer each time that a majority answers
        if fleet.now >= self.free[name] and chance.random() < 0.1:
            self.leased[name] = fleet.now + self.LEASE_MS
        left = self.leased[name] - fleet.now
        book = fleet.books[name]
        until = now + left * (1 - 0.004)
        self._post(name, book.tick(now, fleet.view[name], len(fleet.names), int(left > 0), until))
        for _ in range(int(fleet.random.poisson(fleet.wanted[name] * fleet.STEP / 1000))):
            fleet.job(name, now)

    def _deliver(self) -> None:
        now = self.fleet.now
        due, self.way = [m for m in self.way if m[0] <= now], [m for m in self.way if m[0] > now]
        self.random.shuffle(due)
        for at, sender, life, receiver, form, body in due:
            if self.stopped[receiver] > now:
                self.way.append((at + 50.0, sender, life, receiver, form, body))
                continue
            answers = self.fleet.books[receiver].received(self._clock(receiver), form, sender, life, body)
            self._post(receiver, answers)

    def _post(self, sender: str, sends: list[Any]) -> None:
        chance, fleet = self.random, self.fleet
        for form, body, names in sends:
            for receiver in names:
                if fleet.group[sender] != fleet.group[receiver] or chance.random() < fleet.loss:
                    continue
                for _ in range(2 if chance.random() < 0.1 else 1):
                    at = fleet.now + chance.expovariate(1 / 30.0)
                    self.way.append((at, sender, self.lives[sender], receiver, form, body))


def faulty(seed: int) -> tuple[int, float, float, int]:
    """One drawn play: its seed, jobs over the bound, the most that could be spent, jobs taken in."""
    play = Faulty(seed)
    return seed, play.play(), play.shares, len(play.fleet.taken)
