"""Simulation of the relay tree with simulated time and injected network faults.

Routers run the real `RelayNode` and the real `Gossip`. Keepers are models around the real `RelayRoot` and
`Gossip`. Instead of a chain, they share one list of committed entries; a keeper copies it into its log while
it receives from a majority of the keepers.
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
STATE_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.6
CONNECT_RETRY_S = 0.25
DELAY_S = 0.001
GOSSIP_LOSS_RATE = 0.02


@dataclass
class Process:
    """The process of a node, which is running, frozen or dead, and its network link."""

    address: str
    zone: str
    alive: bool = True
    frozen_until: float = 0.0
    link_free_at: float = 0.0  # when the link has sent all queued messages; it sends them one at a time
    bytes_sent: int = 0


@dataclass(eq=False)
class Connection:
    """A connection opened by a router. It delivers messages in order, and none once it has ended."""

    dialer: str
    target: str
    open: bool = False
    ended: bool = False
    last_received_at: dict[str, float] = field(default_factory=dict)  # by address of the receiving end
    queues: dict[str, deque[bytes]] = field(default_factory=dict)  # undelivered messages, by receiving end


class IncomingLink:
    """The link on which the accepting node sends to the router that opened the connection."""

    def __init__(self, fabric: Fabric, connection: Connection) -> None:
        self._fabric, self.connection = fabric, connection

    def send(self, value: Any) -> None:
        """Encode a message and send it."""
        self._fabric.transmit(self.connection, self.connection.target, codec.encode(value))

    def send_frame(self, data: bytes) -> None:
        """Send a message that is already encoded as a frame."""
        (value,) = codec.FrameReader().feed(data)
        self.send(value)


class Keeper:
    """A model of a keeper: the real relay root and gossip, and a log that copies the committed entries."""

    def __init__(self, fabric: Fabric, process: Process, children: int) -> None:
        self.fabric, self.process = fabric, process
        self.log = self._make_log()
        self.registry = Registry()
        self.links: dict[Connection, IncomingLink] = {}
        self.root = RelayRoot(
            process.address, fabric.next_incarnation(), self.log, children, self._snapshot, self._current
        )
        own = PeerDescriptor(process.address, process.zone, True, 0)
        contacts = [PeerDescriptor(a, "", True, 0) for a in fabric.seeds if a != process.address]
        seed = fabric.random.randrange(2**32)
        self.gossip = Gossip(own, contacts, seed, fabric.datagrams(process), self._merge)
        self.root.spread = self.gossip.spread
        self.root.relays = lambda: [(p.address, p.zone) for p in self.gossip.view.peers if not p.is_keeper]
        self._reported_state: KeeperState | None = None
        self._next_report_at = 0.0

    def _make_log(self) -> ReplicatedLog:
        return ReplicatedLog()

    def _current(self) -> bool:
        return self.state().current

    def _snapshot(self) -> InstanceSnapshot:
        return InstanceSnapshot(tuple(self.registry.snapshot()), True)

    def state(self) -> KeeperState:
        """Return the status that this keeper reports to the routers."""
        living = self.fabric.keepers_reaching(self.process.address)
        majority = len(living) * 2 > len(self.fabric.seeds)
        routers = len({connection.dialer for connection in self.links})
        keeper_zones = tuple((a, self.fabric.processes[a].zone) for a in living)
        lenders = tuple(living[:2])
        return KeeperState(1, lenders, majority, self.log.committed, True, keeper_zones, routers, ())

    def tick(self) -> None:
        """Run the periodic work: gossip, catching up with the committed entries, and reporting the state."""
        self.gossip.tick(self.fabric.now)
        if self.state().current:
            self.catch_up()
        self._report_state()

    def _report_state(self) -> None:
        state = self.state()
        if state == self._reported_state and self.fabric.now < self._next_report_at:
            return
        self._reported_state, self._next_report_at = state, self.fabric.now + STATE_INTERVAL_S
        for link in list(self.links.values()):
            link.send(self.root.notice(state))

    def catch_up(self) -> None:
        """Append the committed entries that the log lacks, and commit them."""
        for entry in self.fabric.committed_entries[self.log.last.sequence :]:
            self.log.append(entry)
        self.log.commit(self.log.last.sequence)

    def _merge(self, instances: tuple[Instance, ...]) -> None:
        merged = [self.registry.merge(instance, self.fabric.now) for instance in instances]
        changed = tuple(instance for instance in merged if instance is not None)
        if changed:
            self.root.publish_instances(changed)

    def receive_worker_report(self, instance: Instance) -> None:
        """Merge a worker's report and forward it to the keepers whose messages reach this one."""
        self._merge((instance,))
        for address in self.fabric.keepers_reaching(self.process.address):
            other = self.fabric.keepers.get(address)
            if other is not None and other is not self:
                self.fabric.schedule(self.fabric.now + DELAY_S, lambda other=other: other._merge((instance,)))  # type: ignore[misc]

    def opened(self, connection: Connection) -> None:
        """Accept a connection from a router and send it this keeper's state."""
        link = self.links[connection] = IncomingLink(self.fabric, connection)
        link.send(self.root.notice(self.state()))

    def received(self, connection: Connection, message: Any) -> None:
        """Handle a message from a router; the model ignores token reports and router reports."""
        if connection in self.links and not isinstance(message, TokenReport | RouterReport):
            assert self.root.received(self.links[connection], connection.dialer, message)

    def closed(self, connection: Connection) -> None:
        """Drop the child whose connection has ended."""
        link = self.links.pop(connection, None)
        if link is not None:
            self.root.publisher.drop(link)


class Router:
    """A router: the real relay node, and the configuration revisions that it received, in order."""

    def __init__(self, fabric: Fabric, process: Process, children: int) -> None:
        self.fabric, self.process = fabric, process
        contacts = tuple(fabric.seeds)
        settings = RelaySettings(process.address, process.address, process.zone, contacts, children)
        self.revisions: list[int] = []
        self.connections: dict[str, Connection] = {}
        self.node = RelayNode(settings, self, self._send, fabric.now)
        own = PeerDescriptor(process.address, process.zone, False, 0)
        keepers = [PeerDescriptor(address, "", True, 0) for address in contacts]
        seed = fabric.random.randrange(2**32)
        self.gossip = Gossip(own, keepers, seed, fabric.datagrams(process), self._gossip_received)
        self.node.spread = self.gossip.spread
        self.node.peers = lambda: {p.address: p.zone for p in self.gossip.view.peers if not p.is_keeper}

    # Callbacks of the relay node (RelayOwner)

    def configured(self, config: dict[str, Any]) -> None:
        """Record the revision of a new configuration; revisions must increase."""
        revision = int(config["revision"])
        assert (
            not self.revisions or revision > self.revisions[-1]
        ), f"{self.process.address} received an older or repeated revision"
        self.revisions.append(revision)

    def instances_changed(self) -> None:
        """Do nothing: the model assigns no requests to workers."""

    def granted(self, grant: TokenGrant) -> None:
        """Do nothing: the model borrows no tokens."""

    def report(self, epoch: int) -> TokenReport:
        """Return a token report without quotas."""
        return TokenReport(epoch, 1.0, ())

    def _gossip_received(self, instances: tuple[Instance, ...]) -> None:
        self.node.follower.merge(instances, self.fabric.now)

    def _send(self, address: str, message: Any) -> None:
        connection = self.connections.get(address)
        if connection is not None and connection.open:
            self.fabric.transmit(connection, self.process.address, codec.encode(message))

    # Connections

    def tick(self) -> None:
        """Run the periodic work: open and close connections as the relay node wants them, and gossip."""
        wanted = self.node.tick(self.fabric.now)
        assert self.process.address not in wanted
        for address in [a for a in self.connections if a not in wanted]:
            self.fabric.end(self.connections.pop(address), self.process.address)
        for address in sorted(wanted - self.connections.keys()):
            self.connections[address] = self.fabric.dial(self.process.address, address)
        self.gossip.tick(self.fabric.now)

    def opened(self, connection: Connection) -> None:
        """Do nothing: an accepting router does not send first."""

    def received(self, connection: Connection, message: Any) -> None:
        """Pass a message to the relay node."""
        now = self.fabric.now
        if connection.dialer == self.process.address:
            if self.connections.get(connection.target) is connection:
                self.node.outgoing_received(connection.target, message, now)
        else:
            link = self.fabric.incoming(connection)
            self.node.incoming_received(link, connection.dialer, message, now)

    def closed(self, connection: Connection) -> None:
        """Inform the relay node that a connection has ended."""
        if connection.dialer != self.process.address:
            self.node.incoming_closed(self.fabric.incoming(connection))
        elif self.connections.get(connection.target) is connection:
            self.node.outgoing_closed(connection.target, self.fabric.now)
            del self.connections[connection.target]

    @property
    def revision(self) -> int:
        """The configuration revision in force at this router."""
        return self.node.follower.log.state.revision

    @property
    def ready_workers(self) -> set[str]:
        """Ids of the workers that this router regards as ready."""
        instances = self.node.follower.registry.instances.values()
        return {i.id for i in instances if i.state == InstanceState.READY}


class Fabric:
    """The simulated network, clock, keepers and routers. Times are in seconds."""

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
        self.now, self._event_number, self._last_incarnation = 0.0, 0, 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._mbps = mbps  # link rate of a keeper, of a router
        self._children = children  # maximum children of a keeper, of a router
        self.cut_links: set[tuple[str, str]] = set()  # pairs of sender and receiver
        self.committed_entries: list[Entry] = []
        self.processes: dict[str, Process] = {}
        self.keepers: dict[str, Keeper] = {}
        self.routers: dict[str, Router] = {}
        self._links: dict[Connection, IncomingLink] = {}
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

    def next_incarnation(self) -> int:
        """Return a new incarnation number, larger than all earlier ones."""
        self._last_incarnation += 1
        return self._last_incarnation

    # Time

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a simulated time; actions of the same time run in the order of these calls."""
        self._event_number += 1
        heapq.heappush(self._events, (time, self._event_number, action))

    def run(self, seconds: float) -> None:
        """Advance the clock, running all actions that are due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _tick_repeatedly(self, process: Process, node: Keeper | Router, period: float) -> None:
        """Tick a node until it is killed or restarted. A frozen node is next ticked when it resumes."""
        if self._node(process.address) is not node:
            return
        if self.now < process.frozen_until:
            self.schedule(process.frozen_until, lambda: self._tick_repeatedly(process, node, period))
            return
        node.tick()
        self.schedule(
            self.now + period * self.random.uniform(0.9, 1.1),
            lambda: self._tick_repeatedly(process, node, period),
        )

    # Nodes

    def _node(self, address: str) -> Keeper | Router | None:
        return self.keepers.get(address) or self.routers.get(address)

    def start_keeper(self, address: str) -> None:
        """Start a keeper as a new incarnation with an empty state."""
        process = self.processes[address]
        process.alive = True
        self.keepers[address] = self._keeper_type(self, process, self._children[0])
        self._tick_repeatedly(process, self.keepers[address], 0.05)

    def start_router(self, address: str) -> None:
        """Start a router with an empty state."""
        process = self.processes[address]
        process.alive = True
        self.routers[address] = Router(self, process, self._children[1])
        self._tick_repeatedly(process, self.routers[address], ROUTER_TICK_S)

    def kill(self, address: str) -> None:
        """Kill a process. The kernel closes its connections, so its peers see them end."""
        self.processes[address].alive = False
        self.keepers.pop(address, None)
        self.routers.pop(address, None)
        for connection in self._connections(address):
            self.end(connection, address)

    def freeze(self, address: str, seconds: float) -> None:
        """Stop a process from running for a number of seconds; its connections stay open."""
        self.processes[address].frozen_until = self.now + seconds

    def cut_off(self, one: Iterable[str], others: Iterable[str]) -> None:
        """Cut the network between two groups of nodes, in both directions."""
        for a in one:
            for b in others:
                if a != b:
                    self.cut_links |= {(a, b), (b, a)}

    def heal(self) -> None:
        """Repair all cuts."""
        self.cut_links.clear()

    def keepers_reaching(self, address: str) -> list[str]:
        """Return the running keepers whose messages reach a keeper, including itself."""
        return [
            other
            for other in self.seeds
            if other in self.keepers
            and (other, address) not in self.cut_links
            and self.now >= self.processes[other].frozen_until
        ]

    def commit(self, revision: int, size: int = 0) -> None:
        """Commit a configuration with `size` bytes of padding; keepers in a majority get it at once."""
        body = json.dumps({"revision": revision, "fill": "x" * size}).encode()
        base = self.committed_entries[-1].sequence if self.committed_entries else 0
        order = Order(OrderKind.REPLACE, _revision(self.committed_entries), body)
        self.committed_entries.append(Entry(1, base + 1, order))
        for keeper in self.keepers.values():
            if keeper.state().current:
                keeper.catch_up()

    def report_worker(self, name: str, keeper: str, state: InstanceState) -> None:
        """Let a worker report its state to a keeper."""
        instance = (
            gone_instance(name)
            if state == InstanceState.GONE
            else _instance(name, state, int(self.now * 1000))
        )
        self.keepers[keeper].receive_worker_report(instance)

    # Connections

    def _connections(self, address: str) -> list[Connection]:
        connections = [c for router in self.routers.values() for c in router.connections.values()]
        connections += list(self._links)
        return [c for c in dict.fromkeys(connections) if address in (c.dialer, c.target) and not c.ended]

    def incoming(self, connection: Connection) -> IncomingLink:
        """Return the link on which the accepting end of a connection sends."""
        return self._links.setdefault(connection, IncomingLink(self, connection))

    def dial(self, dialer: str, target: str) -> Connection:
        """Open a connection; it is retried until the target accepts or the dialer closes it."""
        connection = Connection(dialer, target)
        self.schedule(self.now + 2 * DELAY_S, lambda: self._connect(connection))
        return connection

    def _connect(self, connection: Connection) -> None:
        if connection.ended:
            return
        accepting = self._node(connection.target)
        reachable = (connection.dialer, connection.target) not in self.cut_links
        if accepting is None or not reachable or self.now < self.processes[connection.target].frozen_until:
            self.schedule(self.now + CONNECT_RETRY_S, lambda: self._connect(connection))
            return
        connection.open = True
        connection.last_received_at = {connection.dialer: self.now, connection.target: self.now}
        connection.queues = {connection.dialer: deque(), connection.target: deque()}
        self.incoming(connection)
        accepting.opened(connection)
        router = self.routers.get(connection.dialer)
        if router is not None and router.connections.get(connection.target) is connection:
            router.node.outgoing_opened(connection.target, self.now)
        self._check_silence(connection)

    def _check_silence(self, connection: Connection) -> None:
        """Model heartbeats of both ends; an end that receives none for SILENCE_TIMEOUT_S disconnects."""
        if connection.ended:
            return
        for end, other in ((connection.dialer, connection.target), (connection.target, connection.dialer)):
            sending = self.now >= self.processes[other].frozen_until and self.processes[other].alive
            if sending and (other, end) not in self.cut_links:
                connection.last_received_at[end] = self.now
            if (
                self.now - connection.last_received_at[end] > SILENCE_TIMEOUT_S
                and self.now >= self.processes[end].frozen_until
            ):
                self.end(connection, end)
                return
        self.schedule(self.now + STATE_INTERVAL_S, lambda: self._check_silence(connection))

    def end(self, connection: Connection, by: str) -> None:
        """Close a connection at one end.

        The other end notices after the network delay, or after SILENCE_TIMEOUT_S if the network is cut.
        """
        if connection.ended:
            return
        connection.ended, was_open = True, connection.open
        connection.open = False
        other = connection.target if by == connection.dialer else connection.dialer
        if was_open:
            node = self._node(by)
            if node is not None:
                node.closed(connection)
            unreachable = (by, other) in self.cut_links
            self.schedule(
                self.now + (SILENCE_TIMEOUT_S if unreachable else DELAY_S),
                lambda: self._peer_closed(connection, other),
            )
        else:
            self._links.pop(connection, None)

    def _peer_closed(self, connection: Connection, address: str) -> None:
        node = self._node(address)
        if node is not None:
            node.closed(connection)
        self._links.pop(connection, None)

    def transmit(self, connection: Connection, sender: str, data: bytes) -> None:
        """Send a message over a connection, after all messages that are queued on the sender's link."""
        if connection.ended or not connection.open:
            return
        process = self.processes[sender]
        receiver = connection.target if sender == connection.dialer else connection.dialer
        process.bytes_sent += len(data)
        process.link_free_at = max(self.now, process.link_free_at) + len(data) * 8 / (
            self._link_mbps(sender) * 1e6
        )
        connection.queues[receiver].append(data)
        self.schedule(process.link_free_at + DELAY_S, lambda: self._arrive(connection, sender, receiver))

    def _link_mbps(self, address: str) -> float:
        return self._mbps[0] if address in self.seeds else self._mbps[1]

    def _arrive(self, connection: Connection, sender: str, receiver: str) -> None:
        queue = connection.queues[receiver]
        if connection.ended or not queue:
            return
        resumes_at = self.processes[receiver].frozen_until
        if (sender, receiver) in self.cut_links or self.now < resumes_at:
            retry_at = max(self.now + 0.05, resumes_at)
            self.schedule(retry_at, lambda: self._arrive(connection, sender, receiver))
            return
        node = self._node(receiver)
        message = codec.decode(queue.popleft())
        if node is not None:
            node.received(connection, message)

    def datagrams(self, process: Process) -> Callable[[str, Any], None]:
        """Return the function with which a node sends datagrams."""

        def send(address: str, value: Any) -> None:
            data = codec.encode(value)
            assert len(data) < 1400, f"a datagram of {len(data)} bytes, but it must be shorter than 1400"
            process.bytes_sent += len(data)
            if self.random.random() >= GOSSIP_LOSS_RATE:
                self.schedule(self.now + DELAY_S, lambda: self._datagram(process.address, address, data))

        return send

    def _datagram(self, sender: str, receiver: str, data: bytes) -> None:
        node, process = self._node(receiver), self.processes.get(receiver)
        if (
            node is None
            or process is None
            or (sender, receiver) in self.cut_links
            or self.now < process.frozen_until
        ):
            return
        node.gossip.received(codec.decode(data))


def _revision(committed_entries: list[Entry]) -> int:
    if not committed_entries or committed_entries[-1].order is None:
        return 0
    return int(json.loads(committed_entries[-1].order.body)["revision"])


def _instance(name: str, state: InstanceState, sequence: int) -> Instance:
    return Instance(name, "lm", "10.9.0.1:80", "a", "v1", 4, state, sequence, "both", 0.0)
