"""Simulated links between replicas: delay, bandwidth, loss, cuts and late messages."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from pebbledrift.chain.messages import URGENT
from pebbledrift.cluster import codec
from pebbledrift.cluster.transport import MAX_SILENCE_S

Schedule = Callable[[float, Callable[[], None]], None]
Pair = tuple[str, str]


class Packet(NamedTuple):
    """A message in transit, and the process that it was sent to."""

    data: bytes
    process: int
    urgent: bool


@dataclass
class Link:
    """One direction between two machines."""

    bulk_free_at: float = 0.0
    urgent_free_at: float = 0.0
    cut_since: float | None = None
    broken: bool = False  # the connection is closed
    generation: int = 0  # of the connection: messages sent on an earlier one do not arrive
    waiting: deque[Packet] = field(default_factory=deque)  # sent while the link is cut or held
    held: bool = False


class Network:
    """All links. `deliver` receives messages; `opened` and `lost` report connection changes."""

    def __init__(
        self,
        schedule: Schedule,
        now: Callable[[], float],
        process_of: Callable[[str], int],
        deliver: Callable[[str, str, bytes, int], None],
        opened: Callable[[str, str], None],
        lost: Callable[[str, str], None],
        seed: int,
    ) -> None:
        self._schedule, self._now, self._process_of = schedule, now, process_of
        self._deliver, self._opened, self._lost = deliver, opened, lost
        self._random = random.Random(seed)
        self._links: dict[Pair, Link] = {}
        self.bytes_per_s: float | None = None
        self.loss = 0.0

    def link(self, sender: str, receiver: str) -> Link:
        """The link from sender to receiver."""
        return self._links.setdefault((sender, receiver), Link())

    def send(self, sender: str, receiver: str, message: Any) -> None:
        """Sends a message, which may be lost, delayed or queued."""
        data = codec.encode(message)
        if sender == receiver:
            process = self._process_of(receiver)
            self._schedule(self._now(), lambda: self._deliver(sender, receiver, data, process))
            return
        if self._random.random() < self.loss:
            return
        packet = Packet(data, self._process_of(receiver), isinstance(message, URGENT))
        link = self.link(sender, receiver)
        if link.broken:
            return
        if link.cut_since is not None or link.held:
            link.waiting.append(packet)
            return
        self._transmit(sender, receiver, link, packet)

    def _transmit(self, sender: str, receiver: str, link: Link, packet: Packet) -> None:
        """Keeps messages in order, but urgent ones overtake others except for the fragment being sent."""
        arrival = self._now() + self._random.uniform(0.0005, 0.002)
        if self.bytes_per_s is not None:
            arrival += self._transmission_s(link, packet, self.bytes_per_s)
        if not packet.urgent:
            arrival = max(arrival, link.bulk_free_at)
            link.bulk_free_at = arrival
        generation = link.generation
        self._schedule(arrival, lambda: self._arrive(sender, receiver, link, packet, generation))

    def _transmission_s(self, link: Link, packet: Packet, rate: float) -> float:
        now, size = self._now(), len(codec.frame(codec.decode(packet.data)))
        if packet.urgent:
            fragment = min(max(0.0, link.bulk_free_at - now), codec.FRAGMENT_BYTES / rate)
            begin = max(now + fragment, link.urgent_free_at)
            link.urgent_free_at = begin + size / rate
            return begin + size / rate - now
        begin = max(now, link.bulk_free_at)
        return begin + size / rate - now

    def _arrive(self, sender: str, receiver: str, link: Link, packet: Packet, generation: int) -> None:
        if generation != link.generation:
            return
        if link.cut_since is not None:
            if not link.broken:
                link.waiting.append(packet)
            return
        self._deliver(sender, receiver, packet.data, packet.process)

    # faults

    def cut(self, pairs: Iterable[Pair]) -> None:
        """Queues messages on cut links. After MAX_SILENCE_S the connection closes and the queue is lost."""
        for sender, receiver in pairs:
            link = self.link(sender, receiver)
            if sender != receiver and link.cut_since is None:
                since = link.cut_since = self._now()
                self._schedule(
                    since + MAX_SILENCE_S,
                    lambda s=sender, r=receiver, t=since: self._close(s, r, t),  # type: ignore[misc]
                )

    def _close(self, sender: str, receiver: str, since: float) -> None:
        link = self.link(sender, receiver)
        if link.cut_since == since:
            link.broken = True
            link.waiting.clear()
            self._lost(sender, receiver)
            self._lost(receiver, sender)

    def heal(self) -> None:
        """Restores all cut links: opens new connections, or sends what waits on those still open."""
        for (sender, receiver), link in list(self._links.items()):
            if link.cut_since is None:
                continue
            link.cut_since = None
            if link.broken:
                link.broken = False
                self._opened(sender, receiver)
            elif not link.held:
                self._send_waiting(sender, receiver, link)

    def hold(self, sender: str, receiver: str, seconds: float) -> None:
        """Delays messages, so that they arrive after later messages of a newer connection."""
        link = self.link(sender, receiver)
        link.held = True

        def renew() -> None:
            old, link.waiting, link.held = link.waiting, deque(), False
            self._schedule(self._now() + seconds, lambda: self._deliver_late(sender, receiver, old))

        self._schedule(self._now() + seconds / 2, renew)

    def reset(self, sender: str, receiver: str, seconds: float) -> None:
        """Closes a connection, loses the messages on it, and opens a new one after a delay."""
        link = self.link(sender, receiver)
        if link.cut_since is not None:
            return
        link.generation += 1
        link.broken = True
        link.waiting.clear()
        link.bulk_free_at = link.urgent_free_at = self._now()
        self._lost(sender, receiver)

        def renew() -> None:
            if link.cut_since is None and link.broken:
                link.broken = False
                self._opened(sender, receiver)

        self._schedule(self._now() + seconds, renew)

    def _deliver_late(self, sender: str, receiver: str, packets: deque[Packet]) -> None:
        for packet in packets:
            self._deliver(sender, receiver, packet.data, packet.process)

    def _send_waiting(self, sender: str, receiver: str, link: Link) -> None:
        waiting, link.waiting = link.waiting, deque()
        for packet in waiting:
            self._transmit(sender, receiver, link, packet)

    def restarted(self, address: str) -> None:
        """Replaces all connections of a restarted machine."""
        for (sender, receiver), link in self._links.items():
            if address in (sender, receiver):
                link.waiting.clear()
                link.bulk_free_at = link.urgent_free_at = 0.0
