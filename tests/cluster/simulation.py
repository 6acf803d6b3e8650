"""Replicas on simulated time: a network with delays, losses and cuts, and disks with syncs and losses."""

from __future__ import annotations

import heapq
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from pebbledrift.chain.messages import Entry, Identity, Image, Record
from pebbledrift.chain.recovery import recover
from pebbledrift.chain.replica import Replica, ReplicaSettings
from pebbledrift.chain.view import FOUNDER, founding_view, node_name
from pebbledrift.cluster import codec
from pebbledrift.control.orders import Judgement, Order, OrderKind, Verdict

TICK_S = 0.02
SYNC_S = 0.002


@dataclass
class Disk:
    """Records that are synced, and those written since."""

    records: list[Record] = field(default_factory=list)
    unsynced: list[Record] = field(default_factory=list)
    stalled_until: float = 0.0

    def lose_power(self) -> None:
        self.unsynced.clear()


@dataclass
class Call:
    """One order or read and what became of it."""

    order: Order | None
    made: float
    at: str
    ended: float | None = None
    judgement: Judgement | None = None
    revision: int = 0


class Cluster:
    """Replicas by address, with everything that may befall them."""

    def __init__(self, addresses: Iterable[str], seed: int = 1, tolerated: int = 1) -> None:
        self.random = random.Random(seed)
        self.tolerated = tolerated
        self.now = 0.0
        self.seeds = tuple(addresses)
        self.disks: dict[str, Disk] = {}
        self.replicas: dict[str, Replica] = {}
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.loses: Callable[[Any], bool] = lambda message: False  # messages that do not arrive
        self.calls: list[Call] = []
        self.committed: dict[int, Entry] = {}  # by sequence: what any replica has committed
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._incarnation = 0
        for address in self.seeds:
            self.start(address, founder=True)

    def at(self, time: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time, self._number, action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    # processes

    def start(self, address: str, founder: bool = False) -> None:
        disk = self.disks.setdefault(address, Disk())
        recovered = recover(None, disk.records)
        self._incarnation += 1
        if recovered.node is None:
            generation = FOUNDER if founder else f"g{self._incarnation}"
            recovered.node = node_name(address, generation)
            first: list[Record] = [Identity(recovered.node)]
            if founder:
                recovered.stored.view = founding_view(self.seeds)
                first.append(recovered.stored.view)
            disk.records += first
        settings = ReplicaSettings(
            address=address,
            control=address,
            zone="",
            node=recovered.node,
            incarnation=self._incarnation,
            eligible=True,
            tolerated=self.tolerated,
            contacts=self.seeds if founder else tuple(self.replicas) or self.seeds,  # as the operator's list
            seed=self._incarnation,
        )
        replica = Replica(settings, check, recovered.stored, self.now)
        replica.on_commit = self._note_commits
        self.replicas[address] = replica
        self._tick(address, replica)

    def kill(self, address: str, power: bool = False) -> None:
        self.replicas.pop(address, None)
        disk = self.disks[address]
        if power:
            disk.lose_power()
        else:
            disk.records += disk.unsynced
            disk.unsynced = []

    def wipe(self, address: str) -> None:
        self.kill(address, power=True)
        self.disks[address] = Disk()

    def cut_off(self, address: str, others: Iterable[str] | None = None) -> None:
        for other in others if others is not None else list(self.disks):
            self.cut |= {(address, other), (other, address)}

    def heal(self) -> None:
        self.cut.clear()

    def _note_commits(self, entries: list[Entry]) -> None:
        for entry in entries:
            known = self.committed.setdefault(entry.sequence, entry)
            assert known == entry, f"two entries committed at {entry.sequence}"

    def _tick(self, address: str, replica: Replica) -> None:
        if self.replicas.get(address) is not replica:
            return
        replica.tick(self.now)
        self._flush(address, replica)
        self.at(self.now + TICK_S * self.random.uniform(0.8, 1.2), lambda: self._tick(address, replica))

    def _flush(self, address: str, replica: Replica) -> None:
        if self.replicas.get(address) is not replica:
            return
        for write in replica.outbox.take_writes():
            self._write(address, replica, write.number, write.records)
        for envelope in replica.outbox.take_envelopes():
            if address != envelope.address and self.loses(envelope.message):
                continue
            self._send(address, envelope.address, codec.encode(envelope.message))

    def _write(self, address: str, replica: Replica, number: int, records: tuple[Record, ...]) -> None:
        disk = self.disks[address]
        disk.unsynced += records

        def finish() -> None:
            if self.replicas.get(address) is not replica:
                return
            if self.now < disk.stalled_until:
                self.at(disk.stalled_until, finish)
                return
            for record in records:
                disk.unsynced.remove(record)
                disk.records.append(record)
            replica.synced(number, self.now)
            self._flush(address, replica)

        self.at(max(self.now, disk.stalled_until) + SYNC_S, finish)

    def _send(self, sender: str, receiver: str, data: bytes) -> None:
        if (sender, receiver) in self.cut or (sender != receiver and self.random.random() < self.loss):
            return
        delay = 0.0 if sender == receiver else self.random.uniform(0.0005, 0.002)
        self.at(self.now + delay, lambda: self._deliver(sender, receiver, data))

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        replica = self.replicas.get(receiver)
        if replica is None or (sender, receiver) in self.cut:
            return
        replica.receive(sender, codec.decode(data), self.now)
        self._flush(receiver, replica)

    # the operator

    def order(self, at: str, order: Order | None, longest: float = 3.0) -> Call:
        call = Call(order, self.now, at)
        self.calls.append(call)
        replica = self.replicas.get(at)
        if replica is None:
            call.ended = self.now
            return call

        def done(judgement: Judgement | None) -> None:
            call.ended, call.judgement = self.now, judgement
            call.revision = replica.log.state.revision

        replica.call(order, self.now, longest, done)
        self._flush(at, replica)
        return call

    def acknowledged(self) -> list[Order]:
        taken = (Verdict.TAKEN, Verdict.TAKEN_BEFORE)
        return [c.order for c in self.calls if c.order and c.judgement and c.judgement.verdict in taken]

    def check_kept(self, state_at: str) -> None:
        state = self.replicas[state_at].log.state
        for order in self.acknowledged():
            assert order.digest in state.taken, f"lost: {order}"


def check(config: object) -> None:
    """Takes every configuration that has a revision."""
    assert isinstance(config, dict)


def change(revision: int, base: int, note: Any = "") -> Order:
    return Order(OrderKind.REPLACE, base, json.dumps({"revision": revision, "note": note}).encode())


__all__ = ["Cluster", "Image", "change"]
