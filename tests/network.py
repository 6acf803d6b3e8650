"""A network that lies, in virtual time: delay, loss in bursts, copies, cuts, stalls, kills, drifting clocks.

The same seed gives the same run. Nodes are driven through two calls, `tick` and `datagram`; time is in ms.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

Address = tuple[str, int]


class Driven(Protocol):
    """A node: each call returns what it sends."""

    def tick(self, now: float) -> list[tuple[Address, bytes]]:
        """Its clock has gone on."""

    def datagram(self, now: float, data: bytes, sender: Address) -> list[tuple[Address, bytes]]:
        """Something has come."""


@dataclass
class Host:
    """A node's place: its clock differs from the world's, and runs faster or slower."""

    node: Driven
    offset: float
    drift: float
    stalled_until: float = 0.0
    waiting: list[tuple[bytes, Address]] = field(default_factory=list)  # came during a stall

    def clock(self, now: float) -> float:
        """The host's own time."""
        return self.offset + now * self.drift


class Network:
    """The world. `loss` is the share of datagrams that are lost, in bursts of `burst` in the mean."""

    TICK = 25.0

    def __init__(self, seed: int, loss: float = 0.0, burst: float = 3.0, copies: float = 0.02) -> None:
        self.random = random.Random(seed)
        self.loss, self.burst, self.copies = loss, burst, copies
        self.now = 0.0
        self.hosts: dict[Address, Host] = {}
        self.cut: Callable[[Address, Address], bool] = lambda sender, receiver: False
        self.sent_bytes = 0
        self.sent = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._bad: dict[Address, bool] = {}  # a sender in a burst of losses

    def add(self, address: Address, node: Driven) -> None:
        """A node starts, in the place of the one that had the address."""
        drift = 1.0 + self.random.uniform(-1e-3, 1e-3)
        host = self.hosts[address] = Host(node, self.random.uniform(0.0, 1e9), drift)
        self.at(self.now + self.random.uniform(0.0, self.TICK), lambda: self._tick(address, host))

    def kill(self, address: Address) -> None:
        """A node is gone without a word."""
        del self.hosts[address]

    def stall(self, address: Address, ms: float) -> None:
        """A node stops, and goes on later with what has come meanwhile."""
        self.hosts[address].stalled_until = self.now + ms

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Have something happen."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, what))

    def run(self, ms: float) -> None:
        """Let so much time go by."""
        end = self.now + ms
        while self._events and self._events[0][0] <= end:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = end

    def until(self, condition: Callable[[], bool], most: float) -> float:
        """Let time go by until a condition holds; returns how long it took, or more than `most`."""
        began = self.now
        while not condition():
            if self.now - began > most:
                break
            self.run(self.TICK)
        return self.now - began

    def _tick(self, address: Address, host: Host) -> None:
        if self.hosts.get(address) is not host:
            return
        if self.now >= host.stalled_until:
            waiting, host.waiting = host.waiting, []
            for data, sender in waiting:
                self._send(address, host.node.datagram(host.clock(self.now), data, sender))
            self._send(address, host.node.tick(host.clock(self.now)))
        self.at(self.now + self.TICK, lambda: self._tick(address, host))

    def _send(self, sender: Address, sends: list[tuple[Address, bytes]]) -> None:
        for receiver, data in sends:
            assert len(data) <= 256, len(data)
            self.sent += 1
            self.sent_bytes += len(data)
            if self.cut(sender, receiver) or self._lost(sender):
                continue
            for _ in range(2 if self.random.random() < self.copies else 1):
                delay = self.random.expovariate(1 / 2.0) + 0.2  # overtakes others at times
                self.at(self.now + delay, lambda r=receiver, d=data: self._arrive(sender, r, d))  # type: ignore[misc]

    def _lost(self, sender: Address) -> bool:
        """Two states, good and bad (Gilbert, 1960): in the bad one all is lost."""
        if self.loss <= 0:
            return False
        leave = 1 / self.burst
        enter = leave * self.loss / (1 - self.loss)
        bad = self._bad.get(sender, False)
        self._bad[sender] = self.random.random() >= leave if bad else self.random.random() < enter
        return self._bad[sender]

    def _arrive(self, sender: Address, receiver: Address, data: bytes) -> None:
        host = self.hosts.get(receiver)
        if host is None:
            return
        if self.now < host.stalled_until:
            host.waiting.append((data, sender))
        else:
            self._send(receiver, host.node.datagram(host.clock(self.now), data, sender))
