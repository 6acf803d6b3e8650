"""The keeper's process: replica, disk, connections, workers and the control interface put together."""

from __future__ import annotations

import asyncio
import logging
import secrets
import signal
import threading
from typing import TYPE_CHECKING, Any

from pebbledrift.chain.messages import URGENT, Entry
from pebbledrift.chain.view import address_of
from pebbledrift.cluster.boot import BootSettings
from pebbledrift.cluster.transport import Channel, Hello, serve
from pebbledrift.control.orders import Judgement, Order
from pebbledrift.control.quota import QuotaWindow
from pebbledrift.control.registry import Instance
from pebbledrift.keeper.disk import DiskWriter
from pebbledrift.keeper.instance_store import InstanceStore
from pebbledrift.keeper.lending import LendingDesk
from pebbledrift.keeper.peers import KeeperNetwork
from pebbledrift.keeper.startup import founders, internal_address, make_replica, open_storage
from pebbledrift.keeper.workers import WorkerDesk
from pebbledrift.overlay.messages import (
    ROLE_KEEPER,
    InstanceBeats,
    InstanceSnapshot,
    KeeperState,
    RouterReport,
    TokenReport,
    TokenRequest,
)
from pebbledrift.overlay.publisher import children_for
from pebbledrift.overlay.root import RelayRoot
from pebbledrift.signals import hold_sighup

if TYPE_CHECKING:
    from pebbledrift.overlay.endpoint import GossipService

log = logging.getLogger(__name__)

TICK_S = 0.02
STATE_S = 0.5  # between words to the routers on where we stand
CALL_S = 3.8  # the operator's calls: an answer that comes later is not waited for
CONTROL_WAIT_S = 0.5  # the control interface opens once a view is agreed on, or at the latest then
LENDERS = 2  # told to routers: the keeper that lends, and the one that would follow it
LEAVE_LEAST_S, LEAVE_MOST_S = 0.4, 3.0  # after SIGTERM the others have so long to go on without us


class Keeper:
    """One keeper."""

    def __init__(self, boot: BootSettings) -> None:
        self.boot = boot
        self.loop = asyncio.get_running_loop()
        self.internal = (boot.ip, boot.port_range[0])
        self.address = internal_address(boot)
        self.incarnation = secrets.randbits(53)
        opened = open_storage(boot.data_dir)
        self.storage = opened.storage
        self.replica = make_replica(boot, self.incarnation, opened, self.loop.time())
        self.network = KeeperNetwork(
            self.address, self._hello, self._from_keeper, self._keeper_up, self._keeper_lost
        )
        self.network.from_router = self._from_router
        self.network.router_joined = self._router_joined
        self.network.router_left = self._router_left
        children = children_for(boot.link_mbps)
        self.relays = RelayRoot(
            self.address,
            self.incarnation,
            self.replica.log,
            children,
            self._snapshot,
            lambda: self.replica.current(self.loop.time()),
        )
        self._gossip: GossipService | None = None
        store = InstanceStore(self.storage.directory) if self.storage is not None else None
        self.workers = WorkerDesk(
            self.network,
            boot.heartbeat_ms / 1000,
            store,
            self.relays.publish_news,
            self.replica.is_quorum,
            self.incarnation,
        )
        self.lending = LendingDesk(QuotaWindow(boot.bounds.quota_window_s, boot.bounds.quota_overshoot))
        self._reports: dict[Channel, RouterReport] = {}  # the last of each connection
        self._state_at = 0.0
        self._told: tuple[Any, ...] = ()
        self.replica.on_commit = self._on_commit
        self.disk = DiskWriter(self.storage, self._synced) if self.storage is not None else None
        self._stopping = asyncio.Event()
        self._settled = threading.Event()
        self._opening: asyncio.Task[None] | None = None

    # start

    def _hello(self) -> Hello:
        return Hello(ROLE_KEEPER, self.boot.name, self.address, self.boot.zone, self.incarnation)

    async def run(self) -> None:
        """Serve until SIGTERM."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: None)
        hold_sighup(False)
        server = await serve(self.internal, self.network)
        ticking = self.loop.create_task(self._tick())
        threading.Thread(target=self._serve_control, name="control", daemon=True).start()
        log.info("serving", extra={"replica": self.replica.settings.node})
        await self._stopping.wait()
        log.info("leaving")
        await self._hand_over()
        hold_sighup(True)
        ticking.cancel()
        server.close()
        self.network.close()

    async def _hand_over(self) -> None:
        """Let the others go on without us: enough of their disks must hold all before we may be gone."""
        self.replica.leaving = True
        begun = self.loop.time()
        await asyncio.sleep(LEAVE_LEAST_S)
        while not self.replica.may_leave and self.loop.time() - begun < LEAVE_MOST_S:
            await asyncio.sleep(TICK_S)

    def _serve_control(self) -> None:
        """The control interface, in threads of its own. It waits for what routers need first."""
        self._settled.wait(CONTROL_WAIT_S)
        from pebbledrift.keeper.api import ControlApi, make_server

        make_server(self.boot.address_of("control"), ControlApi(self, self.loop)).safe_start()

    # the loop

    async def _tick(self) -> None:
        while True:
            now = self.loop.time()
            self.replica.tick(now)
            self.workers.tick(now)
            self.network.follow(self.replica.peers.addresses)
            if self._gossip is not None:
                self._gossip.gossip.tick(now)
            self._tell_state(now)
            self._flush()
            if self.disk is not None and self.replica.agreement.view is not None and self.disk.wants_image():
                self.disk.put_image(self.replica.image())
            await asyncio.sleep(TICK_S)

    def _flush(self) -> None:
        """Carry out what the replica wants done."""
        outbox = self.replica.outbox
        while outbox.writes or outbox.envelopes:
            for write in outbox.take_writes():
                if self.disk is not None:
                    self.disk.put(write)
                else:
                    self.loop.call_soon(self._synced, write.number)
            for envelope in outbox.take_envelopes():
                if envelope.address == self.address:
                    self.replica.receive(self.address, envelope.message, self.loop.time())
                else:
                    urgent = isinstance(envelope.message, URGENT)
                    self.network.send(envelope.address, envelope.message, urgent)

    def _synced(self, number: int) -> None:
        self.replica.synced(number, self.loop.time())
        self._flush()

    def _from_keeper(self, sender: str, message: Any) -> None:
        now = self.loop.time()
        if self.replica.receive(sender, message, now):
            self._flush()
            return
        if isinstance(message, InstanceBeats):
            self.lending.note_routers(message.routers, now)
        self.workers.from_keeper(sender, message)

    def _keeper_up(self, address: str) -> None:
        self.replica.connection_opened(address, self.loop.time())
        self._flush()
        self.network.send(address, self.workers.snapshot())

    def _keeper_lost(self, address: str) -> None:
        self.replica.connection_lost(address)

    # routers

    def _router_joined(self, channel: Channel) -> None:
        channel.send(self.relays.notice(self._state(self.loop.time())))

    def _snapshot(self) -> InstanceSnapshot:
        return self.workers.snapshot()

    def _router_left(self, channel: Channel) -> None:
        self.relays.publisher.drop(channel)
        self._reports.pop(channel, None)

    def _from_router(self, channel: Channel, message: Any) -> None:
        if self.relays.received(channel, channel.address, message):
            return
        if isinstance(message, TokenRequest):
            now = self.loop.time()
            channel.send(self.lending.lend(message, self.acting(now), now))
        elif isinstance(message, TokenReport):
            name = self.network.routers[channel]
            self.lending.take_report(name, message, self.network.router_count, self.loop.time())
        elif isinstance(message, RouterReport):
            self._reports[channel] = message

    def router_revisions(self) -> dict[str, int]:
        """By name of each router that reports here: the configuration in force there, 0 for none."""
        found: dict[str, int] = {}
        for channel, report in self._reports.items():
            name = self.network.routers.get(channel)
            if name is not None:
                found[name] = max(found.get(name, 0), report.revision)
        return dict(sorted(found.items()))

    def _running(self) -> tuple[tuple[str, float], ...]:
        """By service, what runs at all routers that are connected."""
        total: dict[str, float] = {}
        for report in self._reports.values():
            for name, running in report.running:
                total[name] = total.get(name, 0.0) + running
        return tuple(total.items())

    def _state(self, now: float) -> KeeperState:
        view = self.replica.agreement.view
        chain = view.chain_nodes if view is not None else []
        keepers = {address_of(p.heartbeat.node): p.heartbeat.zone for p in self.replica.peers.living(now)}
        keepers[self.address] = self.boot.zone
        return KeeperState(
            self.replica.link.epoch,
            tuple(map(address_of, chain[:LENDERS])),
            self.replica.current(now),
            self.replica.log.committed,
            self.workers.complete,
            tuple(sorted(keepers.items())),
            self.network.router_count,
            self._running(),
        )

    def _tell_state(self, now: float) -> None:
        state = self._state(now)
        news = (state.epoch, state.lenders, state.current, state.committed, state.complete, state.keepers)
        if news == self._told and now < self._state_at:
            return
        if state.current and not self._settled.is_set():
            self._settled.set()
            self._opening = self.loop.create_task(self._open_gossip())
        if self._told[:3] != news[:3]:
            log.info("standing", extra={"epoch": state.epoch, "head": state.head, "current": state.current})
        self._told, self._state_at = news, now + STATE_S
        self.network.send_routers(self.relays.notice(state))

    def _on_commit(self, entries: list[Entry]) -> None:
        now, link = self.loop.time(), self.replica.link
        self.lending.follow(link.epoch, link.is_head, self.replica.log.state.config, now)
        self._state_at = 0.0
        self._tell_state(now)

    def acting(self, now: float) -> bool:
        """Whether this is the head of a chain that a majority goes on with."""
        return self.replica.link.is_head and self.replica.established and self.replica.current(now)

    async def _open_gossip(self) -> None:
        """Take part in gossip: nobody waits for it at a start."""
        from pebbledrift.overlay.endpoint import open_gossip
        from pebbledrift.overlay.sampling import PeerDescriptor

        own = PeerDescriptor(self.address, self.boot.zone, True, 0)
        others = [address for address in founders(self.boot) if address != self.address]
        contacts = [PeerDescriptor(address, "", True, 0) for address in others]
        service = self._gossip = await open_gossip(self.internal, own, contacts, self.workers.merge)
        if service is not None:
            self.relays.spread = service.gossip.spread
            self.relays.relays = lambda: list(service.relays().items())

    # the control interface

    async def order(self, order: Order) -> Judgement | None:
        """Carry an order out; None where there is no clear answer."""
        return await self._call(order)

    async def read(self) -> dict[str, Any] | None:
        """The newest configuration; None where that cannot be told."""
        answered = await self._call(None)
        return self.replica.log.state.config if answered is not None else None

    async def _call(self, order: Order | None) -> Judgement | None:
        done: asyncio.Future[Judgement | None] = self.loop.create_future()

        def finish(judgement: Judgement | None) -> None:
            if not done.done():
                done.set_result(judgement)

        self.replica.call(order, self.loop.time(), CALL_S, finish)
        self._flush()
        return await done

    async def heartbeat(self, instance: Instance) -> bool:
        """Take a worker's heartbeat in."""
        return await self.workers.heartbeat(instance)

    async def deregister(self, instance: str) -> bool:
        """A worker's instance has ended; returns whether that may be acknowledged."""
        return await self.workers.deregister(instance)

    async def status(self) -> dict[str, Any]:
        """What an operator wants to see of this keeper."""
        from pebbledrift.keeper.status import status_of

        return status_of(self, self.loop.time())
