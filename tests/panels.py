"""Simulates the panels of many members on an unreliable network in virtual time, with failing workers."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable

from pebbledrift.verdicts.evidence import REACHABILITY, BadStatement, Observation, wire_id
from pebbledrift.verdicts.panel import GossipSettings, Panel
from pebbledrift.verdicts.verdict import Rules
from tests.network import Address, Network

STATEMENT_BYTES = 212  # maximum size of a statement
# Result of a job by time in ms, name of the sending member, and worker.
ResultOf = Callable[[float, str, int], Observation]


class Member:
    """A panel that sends jobs to random workers, except excluded ones, as the decision module would."""

    def __init__(self, world: World, name: str, seed: int) -> None:
        self.world, self.name = world, name
        self.panel = Panel(name, seed, STATEMENT_BYTES, world.rules, world.gossip, seed)
        self.panel.update_workers(dict.fromkeys(world.workers, 0.0), set())
        self.random = random.Random(seed)
        self.up: tuple[str, ...] = tuple(sorted(world.members_by_address.values()))
        self.avoided_until: dict[int, float] = {}  # suspensions by this member's own rule, without verdicts
        self.strikes: dict[int, int] = {}
        self.trial_in_flight = False

    def tick(self, now: float) -> list[tuple[Address, bytes]]:
        """Run the panel's periodic work and return the datagrams to send."""
        others = tuple(name for name in self.up if name != self.name)
        sends = []
        for names, body in self.panel.tick(now, others):
            sends += [(self.world.addresses[name], body) for name in names]
        return sends

    def datagram(self, now: float, data: bytes, sender: Address) -> list[tuple[Address, bytes]]:
        """Receive a statement."""
        with contextlib.suppress(BadStatement):
            self.panel.received(now, data)
        return []

    def send(self, now: float) -> None:
        """Send one job to a random worker that may be used."""
        candidates = [
            w for w in self.world.workers if now >= self.avoided_until.get(w, 0.0) and self.may_use(w, now)
        ]
        if not candidates:
            return
        on_trial = [w for w in candidates if any(key[0] == wire_id(w) for key in self.panel.trials)]
        if on_trial and self.trial_in_flight:  # one trial request at a time
            candidates, on_trial = [w for w in candidates if w not in on_trial], []
        worker = self.random.choice(on_trial or candidates)
        self.trial_in_flight = self.trial_in_flight or bool(on_trial)
        self.world.sent.append((self.world.network.now, self.name, worker))
        delay = self.world.run_ms
        self.world.network.at(self.world.network.now + delay, lambda: self.job_ended(worker))

    def may_use(self, worker: int, now: float) -> bool:
        """Return whether no verdict excludes the worker, or this member has a trial of it."""
        if not self.world.shared_verdicts:
            return True
        keys = [(wire_id(worker), 0), (wire_id(worker), REACHABILITY)]
        return all(not self.panel.is_excluded(key) or self.panel.is_trying(key, now) for key in keys)

    def job_ended(self, worker: int) -> None:
        """Record the result of a job."""
        world = self.world
        host = world.network.hosts.get(world.addresses[self.name])
        if host is None or host.node is not self:
            return
        now = host.clock(world.network.now)
        self.trial_in_flight = False
        observation = world.result_of(world.network.now, self.name, worker)
        self.panel.observe(now, worker, 0.0, 0, observation)
        if observation in (Observation.REPORTED_FAILURE, Observation.PATH_FAILURE):
            world.failed.append((world.network.now, self.name, worker))
            strikes = self.strikes.get(worker, 0)
            # The decision module's own suspension: 300 ms, then 3 s, doubled with each further failure.
            wait = min(3000.0 * 2.0 ** (strikes - 1), 24_000.0) if strikes else 300.0
            if now >= self.avoided_until.get(worker, 0.0):
                self.avoided_until[worker], self.strikes[worker] = now + wait, strikes + 1
        else:
            self.strikes.pop(worker, None)
            self.avoided_until.pop(worker, None)


class World:
    """Members and workers; each member sends `rate` jobs per second."""

    def __init__(
        self,
        members: int,
        workers: int,
        seed: int,
        loss: float = 0.0,
        rate: float = 5.0,
        result_of: ResultOf = lambda now, name, worker: Observation.SUCCESS,
        shared_verdicts: bool = True,
        rules: Rules | None = None,
    ) -> None:
        self.rules, self.gossip, self.shared_verdicts = rules or Rules(), GossipSettings(), shared_verdicts
        self.random = random.Random(seed)
        self.workers = [self.random.getrandbits(64) for _ in range(workers)]
        self.network = Network(seed, loss)
        self.members_by_address = {("10.0.0.1", 1 + i): f"m{i}" for i in range(members)}
        self.addresses = {name: address for address, name in self.members_by_address.items()}
        self.rate, self.run_ms = rate, 60.0
        self.result_of = result_of
        self.sent: list[tuple[float, str, int]] = []
        self.failed: list[tuple[float, str, int]] = []
        self.members: dict[str, Member] = {}
        for address, name in self.members_by_address.items():
            member = self.members[name] = Member(self, name, seed * 1009 + address[1])
            self.network.add(address, member)
            self._schedule_job(name)

    def _schedule_job(self, name: str) -> None:
        def job() -> None:
            host = self.network.hosts.get(self.addresses[name])
            if host is not None and self.network.now >= host.stalled_until:
                self.members[name].send(host.clock(self.network.now))
            self._schedule_job(name)

        self.network.at(self.network.now + self.random.expovariate(self.rate / 1000), job)

    def fail_worker(self, worker: int, *names: str) -> None:
        """Let a worker fail all jobs from now on, or only those of the given members."""

        def result_of(now: float, name: str, target: int) -> Observation:
            return (
                Observation.REPORTED_FAILURE
                if target == worker and (not names or name in names)
                else Observation.SUCCESS
            )

        self.result_of = result_of

    def recover_all(self) -> None:
        """Let all workers serve their jobs from now on."""
        self.result_of = lambda now, name, worker: Observation.SUCCESS

    def time_until_excluded(self, worker: int, count: int, max_ms: float) -> float:
        """Run until exactly `count` members exclude a worker, or for `max_ms`; return the elapsed ms."""
        return self.network.until(lambda: len(self.excluded_at(worker)) == count, max_ms)

    def excluded_at(self, worker: int) -> set[str]:
        """Return the names of the members that exclude a worker."""
        number = worker & 0xFFFFFFFF
        return {name for name, m in self.members.items() if number in m.panel.excluded}
