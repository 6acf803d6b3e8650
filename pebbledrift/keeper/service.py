"""The keeper process: connects the replica, disk, network, worker tracking and the control interface."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import signal
from typing import TYPE_CHECKING, Any

from pebbledrift.chain.link import SLOWEST_LINK_BYTES_PER_S
from pebbledrift.chain.messages import URGENT, Entry
from pebbledrift.chain.view import address_of
from pebbledrift.cluster.boot import BootSettings
from pebbledrift.cluster.transport import Channel, Hello, serve
from pebbledrift.control.orders import Order, OrderResult
from pebbledrift.control.quota import QuotaWindow
from pebbledrift.control.registry import Instance
from pebbledrift.keeper.control_metrics import ControlMetrics
from pebbledrift.keeper.disk import DiskWriter
from pebbledrift.keeper.instance_store import InstanceStore
from pebbledrift.keeper.lending import LendingService
from pebbledrift.keeper.peers import KeeperNetwork
from pebbledrift.keeper.startup import founder_addresses, internal_address, make_replica, open_storage
from pebbledrift.keeper.workers import WorkerTracker
from pebbledrift.overlay.messages import (
    ROLE_KEEPER,
    InstanceHeartbeats,
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
    from pebbledrift.keeper.control_server import ControlServer
    from pebbledrift.overlay.endpoint import GossipService

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.02
STATE_INTERVAL_S = 0.5  # between state notices to the routers if nothing changes
# Callers of the control interface move on after 1 s without an answer, later if they sent a large body.
ANSWER_TIMEOUT_S = 0.85
ORDER_TIMEOUT_S = 3.8  # an order may still be accepted for this long, also if its caller was answered 503
MAX_CONTROL_WAIT_S = 0.5  # the control interface opens when this keeper is current, or at the latest then
ADVERTISED_LENDERS = 2  # reported to routers: the keeper that lends, and its successor in the chain
MIN_LEAVE_S, MAX_LEAVE_S = 0.4, 3.0  # after SIGTERM: time for the other keepers to go on without this one


class Keeper:
    """Runs one keeper in the running event loop; it implements `api.ControlBackend`."""

    def __init__(self, boot: BootSettings) -> None:
        self.boot = boot
        self.loop = asyncio.get_running_loop()
        self.listen_address = (boot.ip, boot.port_range[0])
        self.address = internal_address(boot)
        self.incarnation = secrets.randbits(53)
        opened = open_storage(boot.data_dir)
        self.storage = opened.storage
        self.replica = make_replica(boot, self.incarnation, opened, self.loop.time())
        self.network = KeeperNetwork(
            self.address,
            self._hello,
            self._on_keeper_message,
            self._on_keeper_connected,
            self._on_keeper_disconnected,
        )
        self.network.on_router_message = self._on_router_message
        self.network.on_router_connected = self._on_router_connected
        self.network.on_router_disconnected = self._on_router_disconnected
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
        self.workers = WorkerTracker(
            self.network,
            boot.heartbeat_ms / 1000,
            store,
            self.relays.publish_instances,
            self.replica.is_quorum,
            self.replica.current,
            self.incarnation,
        )
        self.lending = LendingService(QuotaWindow(boot.bounds.quota_window_s, boot.bounds.quota_overshoot))
        self._router_reports: dict[Channel, RouterReport] = {}  # the last report of each connection
        self._next_state_at = 0.0
        self._last_summary: tuple[Any, ...] = ()
        self.control_metrics = ControlMetrics()
        self.replica.requests.on_unconfirmed = self.control_metrics.record_unconfirmed
        self.replica.on_commit = self._on_commit
        self._stopping = asyncio.Event()
        self._failure: BaseException | None = None  # set if the keeper stops because it cannot go on
        self.disk: DiskWriter | None = None
        if self.storage is not None:
            self.disk = DiskWriter(self.storage, self._on_synced, self._fail)
        self._tick_timer: asyncio.TimerHandle | None = None
        self._became_current = asyncio.Event()
        self._control: ControlServer | None = None
        self._gossip_task: asyncio.Task[None] | None = None

    # Start and stop

    def _hello(self) -> Hello:
        return Hello(ROLE_KEEPER, self.boot.name, self.address, self.boot.zone, self.incarnation)

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then leaves the cluster in an orderly way.

        Raises the exception that ended the disk thread or the opening of the control interface, if any.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, lambda: None)
        hold_sighup(False)
        server = await serve(self.listen_address, self.network)
        self._tick()
        control_task = self.loop.create_task(self._open_control())
        control_task.add_done_callback(self._check_control_task)
        log.info("serving", extra={"replica": self.replica.settings.node})
        await self._stopping.wait()
        if self._failure is None:
            log.info("leaving")
            await self._wait_until_replaceable()
        hold_sighup(True)
        control_task.cancel()
        if self._control is not None:
            await self._control.close()
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        server.close()
        self.network.close()
        if self._failure is not None:
            raise self._failure

    def _fail(self, error: BaseException) -> None:
        """Stops this keeper: without the part that ended by this exception it is of no use to the others."""
        log.critical("keeper failed", exc_info=error)
        self._failure = self._failure or error
        self._stopping.set()

    def _check_control_task(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self._fail(error)

    async def _wait_until_replaceable(self) -> None:
        """Waits until the other keepers can go on without this one, at most MAX_LEAVE_S.

        Before this keeper may stop, enough of their disks must hold all acknowledged state.
        """
        self.replica.leaving = True
        started_at = self.loop.time()
        await asyncio.sleep(MIN_LEAVE_S)
        while not self.replica.may_leave and self.loop.time() - started_at < MAX_LEAVE_S:
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _open_control(self) -> None:
        """Opens the control interface, after what routers need of a keeper that starts."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_CONTROL_WAIT_S):
                await self._became_current.wait()
        from pebbledrift.keeper.api import ControlApi
        from pebbledrift.keeper.control_server import ControlServer

        self._control = ControlServer(ControlApi(self), self.control_metrics)
        await self._control.open(self.boot.address_of("control"))

    # Event loop

    def _tick(self) -> None:
        """Performs the periodic work. A part that fails is logged, and does not end the others."""
        now = self.loop.time()
        for part in (
            self.replica.tick,
            self.workers.tick,
            self._update_connections,
            self._send_state,
            self._write_image_if_due,
        ):
            try:
                part(now)
            except Exception:
                log.exception("periodic work failed", extra={"part": part.__qualname__})
        self._tick_timer = self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _update_connections(self, now: float) -> None:
        """Connects to the known keepers, and exchanges gossip."""
        self.network.connect_to(self.replica.peers.addresses)
        if self._gossip is not None:
            self._gossip.gossip.tick(now)

    def _write_image_if_due(self, now: float) -> None:
        """Queues an image of the state for the disk, behind the writes that it contains."""
        self._drain_outbox()
        if (
            self.disk is not None
            and self.replica.agreement.view is not None
            and self.disk.should_write_image()
        ):
            self.disk.enqueue_image(self.replica.image())

    def _drain_outbox(self) -> None:
        """Carries out the writes and sends in the replica's outbox until it is empty."""
        outbox = self.replica.outbox
        while outbox.writes or outbox.envelopes:
            for write in outbox.take_writes():
                if self.disk is not None:
                    self.disk.enqueue_write(write)
                else:
                    self.loop.call_soon(self._on_synced, write.number)
            for envelope in outbox.take_envelopes():
                if envelope.address == self.address:
                    self.replica.receive(self.address, envelope.message, self.loop.time())
                else:
                    urgent = isinstance(envelope.message, URGENT)
                    self.network.send(envelope.address, envelope.message, urgent)

    def _on_synced(self, number: int) -> None:
        self.replica.synced(number, self.loop.time())
        self._drain_outbox()

    def _on_keeper_message(self, sender: str, message: Any) -> None:
        now = self.loop.time()
        if self.replica.receive(sender, message, now):
            self._drain_outbox()
            return
        if isinstance(message, InstanceHeartbeats):
            self.lending.note_router_count(message.router_count, now)
        self.workers.on_keeper_message(sender, message)

    def _on_keeper_connected(self, address: str) -> None:
        self.replica.connection_opened(address, self.loop.time())
        self._drain_outbox()
        self.network.send(address, self.workers.snapshot())

    def _on_keeper_disconnected(self, address: str) -> None:
        self.replica.connection_lost(address)

    # Routers

    def _on_router_connected(self, channel: Channel) -> None:
        channel.send(self.relays.notice(self._keeper_state(self.loop.time())))

    def _snapshot(self) -> InstanceSnapshot:
        return self.workers.snapshot()

    def _on_router_disconnected(self, channel: Channel) -> None:
        self.relays.publisher.drop(channel)
        self._router_reports.pop(channel, None)

    def _on_router_message(self, channel: Channel, message: Any) -> None:
        if self.relays.received(channel, channel.address, message):
            return
        now, name = self.loop.time(), self.network.routers.get(channel, "")
        if isinstance(message, TokenRequest | TokenReport | RouterReport):
            self.lending.heard(name, now)
        if isinstance(message, TokenRequest):
            channel.send(self.lending.lend(message, self.is_active_head(now), now, name))
        elif isinstance(message, TokenReport):
            self.lending.add_report(name, message, self.network.router_count, now)
        elif isinstance(message, RouterReport):
            self._router_reports[channel] = message

    def router_revisions(self) -> dict[str, int]:
        """Returns the configuration revision in force at each reporting router, by its name; 0 for none."""
        revisions: dict[str, int] = {}
        for channel, report in self._router_reports.items():
            name = self.network.routers.get(channel)
            if name is not None:
                revisions[name] = max(revisions.get(name, 0), report.revision)
        return dict(sorted(revisions.items()))

    def _running_requests(self) -> tuple[tuple[str, float], ...]:
        """Returns by service the requests with short prompts that run at all connected routers."""
        total: dict[str, float] = {}
        for report in self._router_reports.values():
            for name, running in report.running:
                total[name] = total.get(name, 0.0) + running
        return tuple(total.items())

    def _keeper_state(self, now: float) -> KeeperState:
        view = self.replica.agreement.view
        chain = view.chain_nodes if view is not None else []
        keepers = {address_of(p.heartbeat.node): p.heartbeat.zone for p in self.replica.peers.live_peers(now)}
        keepers[self.address] = self.boot.zone
        return KeeperState(
            self.replica.link.epoch,
            tuple(map(address_of, chain[:ADVERTISED_LENDERS])),
            self.replica.current(now),
            self.replica.log.committed,
            self.workers.complete,
            tuple(sorted(keepers.items())),
            self.network.router_count,
            self._running_requests(),
        )

    def _send_state(self, now: float) -> None:
        """Sends this keeper's state to the routers when it changes, else once per STATE_INTERVAL_S."""
        state = self._keeper_state(now)
        summary = (state.epoch, state.lenders, state.current, state.committed, state.complete, state.keepers)
        if summary == self._last_summary and now < self._next_state_at:
            return
        if state.current and not self._became_current.is_set():
            self._became_current.set()
            self._gossip_task = self.loop.create_task(self._open_gossip())
        if self._last_summary[:3] != summary[:3]:
            log.info("standing", extra={"epoch": state.epoch, "head": state.head, "current": state.current})
        self._last_summary, self._next_state_at = summary, now + STATE_INTERVAL_S
        self.network.send_routers(self.relays.notice(state))

    def _on_commit(self, entries: list[Entry]) -> None:
        now, link = self.loop.time(), self.replica.link
        self.lending.on_commit(link.epoch, link.is_head, self.replica.log.state.config, now)
        self._next_state_at = 0.0
        self._send_state(now)

    def is_active_head(self, now: float) -> bool:
        """Whether this keeper is the head of a chain that a majority of the keepers confirms."""
        return self.replica.link.is_head and self.replica.established and self.replica.current(now)

    async def _open_gossip(self) -> None:
        """Joins the gossip; runs in the background, so that the start of the keeper does not wait for it."""
        from pebbledrift.overlay.endpoint import open_gossip
        from pebbledrift.overlay.sampling import PeerDescriptor

        own = PeerDescriptor(self.address, self.boot.zone, True, 0)
        others = [address for address in founder_addresses(self.boot) if address != self.address]
        contacts = [PeerDescriptor(address, "", True, 0) for address in others]
        service = self._gossip = await open_gossip(self.listen_address, own, contacts, self.workers.merge)
        if service is not None:
            self.relays.spread = service.gossip.spread
            self.relays.relays = lambda: list(service.relays().items())

    # Control interface (see api.ControlBackend)

    async def submit_order(self, order: Order) -> OrderResult | None:
        """Carries out an operator's order; returns None if its outcome is unknown."""
        answer_timeout_s = ANSWER_TIMEOUT_S + len(order.body) / SLOWEST_LINK_BYTES_PER_S
        return await self._call(order, ORDER_TIMEOUT_S, min(answer_timeout_s, ORDER_TIMEOUT_S))

    async def read_config(self) -> dict[str, Any] | None:
        """Returns the newest configuration; None if this keeper cannot confirm that it has it."""
        result = await self._call(None, ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_S)
        return self.replica.log.state.config if result is not None else None

    async def _call(self, order: Order | None, timeout_s: float, answer_s: float) -> OrderResult | None:
        """Passes an order, or a read if it is None, to the replica.

        Returns None if there is no clear answer within `answer_s`; the replica goes on until `timeout_s`.
        """
        done: asyncio.Future[OrderResult | None] = self.loop.create_future()

        def finish(result: OrderResult | None) -> None:
            if not done.done():
                done.set_result(result)

        self.replica.call(order, self.loop.time(), timeout_s, finish)
        self._drain_outbox()
        await asyncio.wait((done,), timeout=answer_s + TICK_INTERVAL_S)
        return done.result() if done.done() else None

    async def heartbeat(self, instance: Instance) -> bool:
        """Processes a worker's heartbeat; returns whether it may be acknowledged."""
        return await self.workers.heartbeat(instance)

    async def deregister(self, instance: str) -> bool:
        """Marks a worker's instance as gone; returns whether that may be acknowledged."""
        return await self.workers.deregister(instance)

    async def status(self) -> dict[str, Any]:
        """Returns this keeper's status for operators."""
        from pebbledrift.keeper.status import status_of

        return status_of(self, self.loop.time())
