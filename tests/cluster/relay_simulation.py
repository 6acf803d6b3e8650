"""Routers and keepers as models on simulated time: relays, partial views, gossip, and a network that fails.

Routers are the real `RelayNode` with real `Gossip`. Keepers are models around the real `RelayRoot`: one log,
committed to those that hear a majority of the keepers.
"""

from __future__ import annotations

import heapq
import json
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Entry
from pebbledrift.cluster import codec
from pebbledrift.control.orders import Order, OrderKind
from pebbledrift.control.registry import Instance, InstanceState, Registry, gone_instance
from pebbledrift.overlay.gossip import Gossip
from pebbledrift.overlay.messages import (
    InstanceSnapshot,
    KeeperState,
    RouterReport,
    TokenGrant,
    TokenReport,
)
from pebbledrift.overlay.node import RelayNode, RelaySettings
from pebbledrift.overlay.root import RelayRoot
from pebbledrift.overlay.sampling import PeerDescriptor

ROUTER_TICK_S = 0.2
STATE_S = 0.5
SILENCE_S = 1.6
RETRY_S = 0.25
DELAY_S = 0.001
GOSSIP_LOSS = 0.02


@dataclass
class Process:
    """A node's process: dead, frozen, or at work."""

    address: str
    zone: str
    alive: bool = True
    frozen_until: float = 0.0
    link_free_at: float = 0.0  # its link sends one message after the other
    bytes_sent: int = 0


@dataclass(eq=False)
class Connection:
    """A connection that a router made. Messages on it arrive in order, or not at all once it has ended."""

    dialer: str
    target: str
    open: bool = False
    ended: bool = False
    heard: dict[str, float] = field(default_factory=dict)  # by end: when something last arrived there
    queues: dict[str, deque[bytes]] = field(default_factory=dict)


class Incoming:
    """The link that the accepting node sends on."""

    def __init__(self, fabric: Fabric, connection: Connection) -> None:
        self._fabric, self.connection = fabric, connection

    def send(self, value: Any) -> None:
        self._fabric.transmit(self.connection, self.connection.target, codec.encode(value))

    def send_frame(self, data: bytes) -> None:
        (value,) = codec.FrameReader().feed(data)
        self.send(value)


class Keeper:
    """A model of a keeper."""

    def __init__(self, fabric: Fabric, process: Process, children: int) -> None:
        self.fabric, self.process = fabric, process
        self.log = self._make_log()
        self.registry = Registry()
        self.links: dict[Connection, Incoming] = {}
        self.root = RelayRoot(
            process.address, fabric.next_life(), self.log, children, self._snapshot, self._current
        )
        own = PeerDescriptor(process.address, process.zone, True, 0)
        contacts = [PeerDescriptor(a, "", True, 0) for a in fabric.seeds if a != process.address]
        seed = fabric.random.randrange(2**32)
        self.gossip = Gossip(own, contacts, seed, fabric.datagrams(process), self._merge)
        self.root.spread = self.gossip.spread
        self.root.relays = lambda: [(p.address, p.zone) for p in self.gossip.view.peers if not p.is_keeper]
        self._told: KeeperState | None = None
        self._tell_at = 0.0

    def _make_log(self) -> ReplicatedLog:
        return ReplicatedLog()

    def _current(self) -> bool:
        return self.state().current

    def _snapshot(self) -> InstanceSnapshot:
        return InstanceSnapshot(tuple(self.registry.snapshot()), True)

    def state(self) -> KeeperState:
        living = self.fabric.keepers_heard_by(self.process.address)
        majority = len(living) * 2 > len(self.fabric.seeds)
        routers = len({connection.dialer for connection in self.links})
        places = tuple((a, self.fabric.processes[a].zone) for a in living)
        lenders = tuple(living[:2])
        return KeeperState(1, lenders, majority, self.log.committed, True, places, routers, ())

    def tick(self) -> None:
        self.gossip.tick(self.fabric.now)
        if self.state().current:
            self.catch_up()
        self._tell_state()

    def _tell_state(self) -> None:
        state = self.state()
        if state == self._told and self.fabric.now < self._tell_at:
            return
        self._told, self._tell_at = state, self.fabric.now + STATE_S
        for link in list(self.links.values()):
            link.send(self.root.notice(state))

    def catch_up(self) -> None:
        for entry in self.fabric.truth[self.log.last.sequence :]:
            self.log.append(entry)
        self.log.commit(self.log.last.sequence)

    def _merge(self, instances: tuple[Instance, ...]) -> None:
        merged = [self.registry.merge(instance, self.fabric.now) for instance in instances]
        news = tuple(instance for instance in merged if instance is not None)
        if news:
            self.root.publish_instances(news)

    def hear(self, instance: Instance) -> None:
        """A worker's own word: the other keepers that can be reached hear of it too."""
        self._merge((instance,))
        for address in self.fabric.keepers_heard_by(self.process.address):
            other = self.fabric.keepers.get(address)
            if other is not None and other is not self:
                self.fabric.at(self.fabric.now + DELAY_S, lambda other=other: other._merge((instance,)))  # type: ignore[misc]

    def opened(self, connection: Connection) -> None:
        link = self.links[connection] = Incoming(self.fabric, connection)
        link.send(self.root.notice(self.state()))

    def received(self, connection: Connection, message: Any) -> None:
        if connection in self.links and not isinstance(message, TokenReport | RouterReport):
            assert self.root.received(self.links[connection], connection.dialer, message)

    def closed(self, connection: Connection) -> None:
        link = self.links.pop(connection, None)
        if link is not None:
            self.root.publisher.drop(link)


class Router:
    """A router: the real node, and what it was told, in order."""

    def __init__(self, fabric: Fabric, process: Process, children: int) -> None:
        self.fabric, self.process = fabric, process
        contacts = tuple(fabric.seeds)
        settings = RelaySettings(process.address, process.address, process.zone, contacts, children)
        self.revisions: list[int] = []
        self.connections: dict[str, Connection] = {}
        self.node = RelayNode(settings, self, self._send, fabric.now)
        own = PeerDescriptor(process.address, process.zone, False, 0)
        known = [PeerDescriptor(address, "", True, 0) for address in contacts]
        seed = fabric.random.randrange(2**32)
        self.gossip = Gossip(own, known, seed, fabric.datagrams(process), self._rumored)
        self.node.spread = self.gossip.spread
        self.node.peers = lambda: {p.address: p.zone for p in self.gossip.view.peers if not p.is_keeper}

    # what the node asks of its owner

    def configured(self, config: dict[str, Any]) -> None:
        revision = int(config["revision"])
        assert not self.revisions or revision > self.revisions[-1], f"{self.process.address} went back"
        self.revisions.append(revision)

    def instances_changed(self) -> None:
        """Nothing is placed here."""

    def granted(self, grant: TokenGrant) -> None:
        """Nothing is borrowed here."""

    def report(self, epoch: int) -> TokenReport:
        return TokenReport(epoch, 1.0, ())

    def _rumored(self, instances: tuple[Instance, ...]) -> None:
        self.node.follower.merge(instances, self.fabric.now)

    def _send(self, address: str, message: Any) -> None:
        connection = self.connections.get(address)
        if connection is not None and connection.open:
            self.fabric.transmit(connection, self.process.address, codec.encode(message))

    # connections

    def tick(self) -> None:
        wanted = self.node.tick(self.fabric.now)
        assert self.process.address not in wanted
        for address in [a for a in self.connections if a not in wanted]:
            self.fabric.end(self.connections.pop(address), self.process.address)
        for address in sorted(wanted - self.connections.keys()):
            self.connections[address] = self.fabric.dial(self.process.address, address)
        self.gossip.tick(self.fabric.now)

    def opened(self, connection: Connection) -> None:
        """Whoever accepts says nothing first."""

    def received(self, connection: Connection, message: Any) -> None:
        now = self.fabric.now
        if connection.dialer == self.process.address:
            if self.connections.get(connection.target) is connection:
                self.node.outgoing_received(connection.target, message, now)
        else:
            link = self.fabric.incoming(connection)
            self.node.incoming_received(link, connection.dialer, message, now)

    def closed(self, connection: Connection) -> None:
        if connection.dialer != self.process.address:
            self.node.incoming_closed(self.fabric.incoming(connection))
        elif self.connections.get(connection.target) is connection:
            self.node.outgoing_closed(connection.target, self.fabric.now)
            del self.connections[connection.target]

    @property
    def revision(self) -> int:
        return self.node.follower.log.state.revision

    @property
    def usable(self) -> set[str]:
        instances = self.node.follower.registry.instances.values()
        return {i.id for i in instances if i.state == InstanceState.READY}


class Fabric:
    """The network, the clock and all nodes."""

    def __init__(
        self,
        zones: list[str],
        keepers: int,
        routers: int,
        *,
        mbps: tuple[float, float],
        children: tuple[int, int],
        seed: int,
        keeper_type: type[Keeper] = Keeper,
    ) -> None:
        self.random = random.Random(seed)
        self._keeper_type = keeper_type
        self.now, self._number, self._lives = 0.0, 0, 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._mbps = mbps  # of the link of a keeper, of a router
        self._children = children  # of a keeper, of a router
        self.cut: set[tuple[str, str]] = set()
        self.truth: list[Entry] = []
        self.processes: dict[str, Process] = {}
        self.keepers: dict[str, Keeper] = {}
        self.routers: dict[str, Router] = {}
        self._links: dict[Connection, Incoming] = {}
        self.seeds = [f"10.0.0.{number}:1" for number in range(keepers)]
        for number, address in enumerate(self.seeds):
            self.processes[address] = Process(address, zones[number % len(zones)])
        self.commit(1)
        for address in self.seeds:
            self.start_keeper(address)
        for number in range(routers):
            address = f"10.1.0.{number}:2"
            self.processes[address] = Process(address, zones[number % len(zones)])
            self.start_router(address)

    def next_life(self) -> int:
        self._lives += 1
        return self._lives

    # time

    def at(self, time: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time, self._number, action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _repeat(self, process: Process, node: Keeper | Router, period: float) -> None:
        """Tick a node as long as this life of it lasts; a frozen one catches up when it wakes."""
        if self._node(process.address) is not node:
            return
        if self.now < process.frozen_until:
            self.at(process.frozen_until, lambda: self._repeat(process, node, period))
            return
        node.tick()
        self.at(
            self.now + period * self.random.uniform(0.9, 1.1), lambda: self._repeat(process, node, period)
        )

    # nodes

    def _node(self, address: str) -> Keeper | Router | None:
        return self.keepers.get(address) or self.routers.get(address)

    def start_keeper(self, address: str) -> None:
        process = self.processes[address]
        process.alive = True
        self.keepers[address] = self._keeper_type(self, process, self._children[0])
        self._repeat(process, self.keepers[address], 0.05)

    def start_router(self, address: str) -> None:
        process = self.processes[address]
        process.alive = True
        self.routers[address] = Router(self, process, self._children[1])
        self._repeat(process, self.routers[address], ROUTER_TICK_S)

    def kill(self, address: str) -> None:
        """End a process: its peers are told by their kernels."""
        self.processes[address].alive = False
        self.keepers.pop(address, None)
        self.routers.pop(address, None)
        for connection in self._connections(address):
            self.end(connection, address)

    def freeze(self, address: str, seconds: float) -> None:
        self.processes[address].frozen_until = self.now + seconds

    def cut_off(self, one: Iterable[str], others: Iterable[str]) -> None:
        for a in one:
            for b in others:
                if a != b:
                    self.cut |= {(a, b), (b, a)}

    def heal(self) -> None:
        self.cut.clear()

    def keepers_heard_by(self, address: str) -> list[str]:
        """The keepers that a keeper hears, itself among them."""
        return [
            other
            for other in self.seeds
            if other in self.keepers
            and (other, address) not in self.cut
            and self.now >= self.processes[other].frozen_until
        ]

    def commit(self, revision: int, size: int = 0) -> None:
        """A change is acknowledged: every keeper of a majority has it."""
        body = json.dumps({"revision": revision, "fill": "x" * size}).encode()
        base = self.truth[-1].sequence if self.truth else 0
        order = Order(OrderKind.REPLACE, _revision(self.truth), body)
        self.truth.append(Entry(1, base + 1, order))
        for keeper in self.keepers.values():
            if keeper.state().current:
                keeper.catch_up()

    def worker(self, name: str, keeper: str, state: InstanceState) -> None:
        """A worker tells a keeper where it stands."""
        told = (
            gone_instance(name)
            if state == InstanceState.GONE
            else _instance(name, state, int(self.now * 1000))
        )
        self.keepers[keeper].hear(told)

    # connections

    def _connections(self, address: str) -> list[Connection]:
        made = [c for router in self.routers.values() for c in router.connections.values()]
        made += list(self._links)
        return [c for c in dict.fromkeys(made) if address in (c.dialer, c.target) and not c.ended]

    def incoming(self, connection: Connection) -> Incoming:
        return self._links.setdefault(connection, Incoming(self, connection))

    def dial(self, dialer: str, target: str) -> Connection:
        connection = Connection(dialer, target)
        self.at(self.now + 2 * DELAY_S, lambda: self._connect(connection))
        return connection

    def _connect(self, connection: Connection) -> None:
        if connection.ended:
            return
        accepting = self._node(connection.target)
        reachable = (connection.dialer, connection.target) not in self.cut
        if accepting is None or not reachable or self.now < self.processes[connection.target].frozen_until:
            self.at(self.now + RETRY_S, lambda: self._connect(connection))
            return
        connection.open = True
        connection.heard = {connection.dialer: self.now, connection.target: self.now}
        connection.queues = {connection.dialer: deque(), connection.target: deque()}
        self.incoming(connection)
        accepting.opened(connection)
        router = self.routers.get(connection.dialer)
        if router is not None and router.connections.get(connection.target) is connection:
            router.node.outgoing_opened(connection.target, self.now)
        self._watch(connection)

    def _watch(self, connection: Connection) -> None:
        """Both ends send now and then, and give up one that nothing came on for long."""
        if connection.ended:
            return
        for end, other in ((connection.dialer, connection.target), (connection.target, connection.dialer)):
            awake = self.now >= self.processes[other].frozen_until and self.processes[other].alive
            if awake and (other, end) not in self.cut:
                connection.heard[end] = self.now
            if self.now - connection.heard[end] > SILENCE_S and self.now >= self.processes[end].frozen_until:
                self.end(connection, end)
                return
        self.at(self.now + STATE_S, lambda: self._watch(connection))

    def end(self, connection: Connection, by: str) -> None:
        """One end closes; the other notices, at the latest when nothing came for long."""
        if connection.ended:
            return
        connection.ended, was_open = True, connection.open
        connection.open = False
        other = connection.target if by == connection.dialer else connection.dialer
        if was_open:
            node = self._node(by)
            if node is not None:
                node.closed(connection)
            quiet = (by, other) in self.cut
            self.at(self.now + (SILENCE_S if quiet else DELAY_S), lambda: self._noticed(connection, other))
        else:
            self._links.pop(connection, None)

    def _noticed(self, connection: Connection, address: str) -> None:
        node = self._node(address)
        if node is not None:
            node.closed(connection)
        self._links.pop(connection, None)

    def transmit(self, connection: Connection, sender: str, data: bytes) -> None:
        """Send a message over a connection, behind all that the sender's link still has to send."""
        if connection.ended or not connection.open:
            return
        process = self.processes[sender]
        receiver = connection.target if sender == connection.dialer else connection.dialer
        process.bytes_sent += len(data)
        process.link_free_at = max(self.now, process.link_free_at) + len(data) * 8 / (
            self._link_mbps(sender) * 1e6
        )
        connection.queues[receiver].append(data)
        self.at(process.link_free_at + DELAY_S, lambda: self._arrive(connection, sender, receiver))

    def _link_mbps(self, address: str) -> float:
        return self._mbps[0] if address in self.seeds else self._mbps[1]

    def _arrive(self, connection: Connection, sender: str, receiver: str) -> None:
        queue = connection.queues[receiver]
        if connection.ended or not queue:
            return
        awake_at = self.processes[receiver].frozen_until
        if (sender, receiver) in self.cut or self.now < awake_at:
            again = max(self.now + 0.05, awake_at)
            self.at(again, lambda: self._arrive(connection, sender, receiver))
            return
        node = self._node(receiver)
        message = codec.decode(queue.popleft())
        if node is not None:
            node.received(connection, message)

    def datagrams(self, process: Process) -> Callable[[str, Any], None]:
        """What a node sends datagrams by."""

        def send(address: str, value: Any) -> None:
            data = codec.encode(value)
            assert len(data) < 1400, f"a datagram of {len(data)} bytes"
            process.bytes_sent += len(data)
            if self.random.random() >= GOSSIP_LOSS:
                self.at(self.now + DELAY_S, lambda: self._datagram(process.address, address, data))

        return send

    def _datagram(self, sender: str, receiver: str, data: bytes) -> None:
        node, process = self._node(receiver), self.processes.get(receiver)
        if (
            node is None
            or process is None
            or (sender, receiver) in self.cut
            or self.now < process.frozen_until
        ):
            return
        node.gossip.received(codec.decode(data))


def _revision(truth: list[Entry]) -> int:
    if not truth or truth[-1].order is None:
        return 0
    return int(json.loads(truth[-1].order.body)["revision"])


def _instance(name: str, state: InstanceState, sequence: int) -> Instance:
    return Instance(name, "lm", "10.9.0.1:80", "a", "v1", 4, state, sequence, "both", 0.0)
