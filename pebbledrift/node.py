"""The composition root: the parts of one process that serves, and the phases of its life."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from pebbledrift import inventory
from pebbledrift.config import Config, ConfigError, MembershipConfig, StoreConfig, read_secret
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.core.model import Answer, Destination, Neighbours
from pebbledrift.core.states import NodeStates, State
from pebbledrift.fleet.neighbours import FleetNeighbours
from pebbledrift.fronts.admin import AdminFront, NodeFigures, NotObeyed
from pebbledrift.fronts.beanstalk import BeanstalkFront
from pebbledrift.fronts.platform import PlatformFront
from pebbledrift.inventory import Host
from pebbledrift.net.beanstalk import BeanstalkSocket
from pebbledrift.net.datagrams import PeerSocket
from pebbledrift.net.front import FrontServer
from pebbledrift.net.lines import LineServer
from pebbledrift.pool import PoolConfig
from pebbledrift.reload import Reloader
from pebbledrift.signals import hold_sighup
from pebbledrift.store.service import NodeStore
from pebbledrift.upgrade import Upgrade

if TYPE_CHECKING:
    from pebbledrift.limits.service import FleetLimits
    from pebbledrift.membership.service import Membership
    from pebbledrift.store.members import StoreMembers
    from pebbledrift.verdicts.service import Verdicts

log = logging.getLogger("pebbledrift")

ReadAgain = Callable[[], Config]

# SIGKILL comes so long after SIGTERM at the earliest: the longest deadline or this, and a little more
KILL_LEAST_MS = 3000.0
KILL_AFTER_MS = 700.0
KILL_MARGIN_MS = 300.0  # a process may be held up for half of it, and an answer has to get out


class Node:
    """One engine with its fronts and destinations.

    The phases, in this order: build (the constructor, no I/O), meet (peers, store, an older process), serve
    (until it is told to end), drain (until nothing is owed), close. `run` goes through all of them.
    """

    def __init__(
        self,
        config: Config,
        read_again: ReadAgain,
        neighbours: Neighbours | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.clock = clock or Clock()
        self.pool = PoolConfig(config, self.clock)
        self.fleet: FleetNeighbours | None = None
        # in an upgrade two processes have one number, and each would overwrite what the other tells
        if neighbours is None and config.peers and config.settings.may_tell and config.front_fd is None:
            neighbours = self.fleet = FleetNeighbours(config, self.clock)
            self.pool.entry_listeners.append(self.fleet.on_entry_changed)
        self.engine = Engine(config.settings, config.limits, self.clock, config.seed, self.pool, neighbours)
        self.pool.engine = self.engine
        self.stopping = asyncio.Event()
        began = self.clock.now_ms()

        def could_serve() -> bool:
            limits, follower = config.limits, self.pool.follower
            alone = self.upgrade.elder is None  # else somebody serves meanwhile
            patience = limits.ready_without_watch_ms if alone else limits.ready_above_elder_ms
            waited = self.clock.now_ms() - began >= patience
            informed = follower.heard or (self.upgrade.informed and follower.current)
            return self.pool.any_worker_up() and (informed or waited)

        self.states = NodeStates(could_serve)
        self.front = PlatformFront(config, self.engine, self.clock, self.states)
        self.fronts = FrontServer(config.limits, self.front)
        self.upgrade = Upgrade(config, self.engine, self.pool, self.states, self.front, self.fronts)
        # what goes over to a newer process is not closed here
        self.states.listeners.append(
            lambda: self.fronts.empty(
                self.states.paused or (self.states.stopping and not self.states.replaced)
            )
        )
        self.admin = LineServer(config.limits, AdminFront(config.classes, self).answer)
        self.reloader = Reloader(config, read_again, self.apply, self.engine.counters)
        self.peers: PeerSocket | None = None
        self.membership: Membership | None = None
        self.judging: Verdicts | None = None
        self.limiting: FleetLimits | None = None
        self.log: StoreMembers | None = None
        self.store: NodeStore | None = None
        self.tubes: BeanstalkFront | None = None
        self._paused = self._all_paused = False  # by a word for this node, and for all
        self._servers: list[asyncio.Server] = []
        self._tubes_served: asyncio.Task[None] | None = None
        self._may_serve: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve until told to end and nothing is owed any more."""
        log_lost_errors(self.loop)
        self.heed_signals()
        await self.meet()
        hold_sighup(False)
        settle_memory()
        await self.serve()
        await self.drain()
        await self.close()

    def heed_signals(self) -> None:
        """SIGTERM and SIGINT end the node, SIGHUP has it read its configuration again."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reloader.asked)

    async def meet(self) -> None:
        """Meet who is there already: the list as last known, peers, an older process, the operators."""
        config = self.config
        self.pool.load_cached(config.known)
        peers = None
        if config.peer_listen is not None and (config.peers or config.membership is not None):
            self.peers = peers = PeerSocket(config.limits, config.peers)
            # in an upgrade both processes have it
            found = peers.listen(config.peer_listen, config.front_fd is not None)
            log.info("peers", extra={"address": "{}:{}".format(*found)})
            if self.fleet is not None:
                self.fleet.attach_socket(peers)
        self.store = NodeStore(config, self.clock, peers)
        self._recall(self.store)
        if config.membership is not None:
            await self._join(config.membership)
        if config.front_fd is not None:
            await self.upgrade.meet()
        if config.admin is not None:
            address = config.admin
            await self.upgrade.once_free(lambda: self.admin.listen(address))
        if config.beanstalk is not None:
            self._tubes_served = self.loop.create_task(self._serve_tubes())
            if self.upgrade.elder is None:
                await self._tubes_served
            else:
                self._tubes_served.add_done_callback(_told)

    def _recall(self, store: NodeStore) -> None:
        """What was taken away in an earlier life holds at once: bans, and a pause."""
        for uid in store.recall("bans") or ():
            self.pool.set_ban(str(uid), True)
        if store.recall("paused"):
            self._paused = True
            self.states.pause(True)
        if self._paused or self.pool.bans:
            told = {"bans": len(self.pool.bans), "paused": self._paused}
            log.warning("remembered from before this start", extra=told)

    def _keep(self, name: str, value: object) -> None:
        """Have an operator's word outlive this process; it is obeyed in any case."""
        if self.store is not None:
            try:
                self.store.remember(name, value)
            except OSError as error:
                raise NotObeyed(f"obeyed, but would not outlive a restart: {error}") from error

    async def _join(self, table: MembershipConfig) -> None:
        """Be a member of the group, and let the parts of the node follow what is known of it (conduct.py)."""
        # not on the platform's path
        from pebbledrift.membership.service import Leased, Membership
        from pebbledrift.membership.work import Probes

        assert self.peers is not None and self.store is not None
        secret = read_secret(table.key_file) if table.key_file else b""
        self.membership = group = Membership(self.config, table, self.clock, self.peers, secret)
        follower = self.pool.follower
        group.changed.append(lambda: follower.turns.follow(*group.rank()))
        if self.fleet is not None:
            self.fleet.is_reachable = group.answers
            self.fleet.slice_leases = Leased(group) if table.parts == "leased" else None
            self.engine.uses_slice_leases = self.fleet.slice_leases is not None
        if self.store.replica is not None:
            self.store.replica.answers = group.answers
            self.store.replica.repairs = lambda: group.conduct.repair
        if table.duties:
            Probes(group, self.engine, self.pool, table.probe_ms)
        if self.config.verdicts is not None:
            from pebbledrift.verdicts.service import Verdicts

            self.judging = Verdicts(self.config.verdicts, group, self.engine, self.pool)
            self.judging.on_fleet_pause = self._paused_by_all
            self.judging.restore_commands(self.store.recall, self.store.remember)
        if self.config.fleet_limits is not None:
            from pebbledrift.limits.service import FleetLimits

            self.limiting = FleetLimits(
                self.config.fleet_limits, group, self.engine, secret, self.pool.has_cold_workers
            )
            if self.limiting.lent_time_slices is not None and self.fleet is not None:
                self.fleet.slice_leases = self.limiting.lent_time_slices
                self.engine.uses_slice_leases = True
        if self.config.store is not None:
            await self._join_log(self.config.store, table, secret)
        group.start()

    async def _join_log(self, table: StoreConfig, group: MembershipConfig, secret: bytes) -> None:
        """Be a member of the replicated log; giving back for all nodes then takes a majority of it."""
        from pebbledrift.store.disk import DiskError
        from pebbledrift.store.members import StoreMembers

        assert self.store is not None and self.store.disk is not None
        key = secret or group.group.encode()
        name, seed = self.config.name, self.config.seed
        try:
            self.log = members = StoreMembers(table, name, key, self.clock, self.store.disk, seed)
        except DiskError as error:
            raise ConfigError(f"store_file: {error}") from error
        judging = self.judging
        if judging is not None:

            async def agree(uid: str, ids: list[int]) -> str:
                return str((await members.call({"lift": [uid, ids], "by": name}))["result"])

            judging.agree_lift = agree
            members.agreed.lifted = judging.lift_agreed
            for uid, ids in members.agreed.lifts.items():
                judging.lift_agreed(uid, ids)
        await members.start()

    async def serve(self) -> None:
        """Accept clients, once this process could serve or is the only one, until it is told to end."""
        stop = self.loop.create_task(self.stopping.wait())
        if self.judging is not None:
            # guards a ban for all: a node that starts knows of none until another has told it
            await self.judging.ready(self.membership.view.settle_ms if self.membership is not None else 0.0)
        self._may_serve = self.loop.create_task(self.upgrade.may_serve())
        await asyncio.wait([stop, self._may_serve], return_when=asyncio.FIRST_COMPLETED)
        if self._may_serve.done():
            self.accept()
            self.states.serving = True
            if self.config.front_fd is not None:
                self.upgrade.serve()
            log.info("started", extra={"node": self.config.name})
        await stop

    def accept(self) -> None:
        """Begin to accept clients."""
        if self.config.listen is not None:
            found = self.fronts.listen(self.config.listen, self.config.front_fd)
            log.info("listening", extra={"address": "{}:{}".format(*found)})

    async def drain(self) -> None:
        """Answer what is owed; what still comes gets a busy reply after a while."""
        limits = self.config.limits
        log.info("stopping", extra={"open": len(self.engine.open)})
        # answers from here on close their connections, unless these go over to a newer process
        self.states.stop()
        self.engine.shutdown_deadline_ms = self.clock.now_ms() + self._last_answer_ms()
        if not self.states.replaced:
            await asyncio.sleep(limits.take_ms / 1000)
            self.front.taking = False
            await asyncio.sleep(max(0.0, limits.linger_ms - limits.take_ms) / 1000)
        # the listening socket stays: the workers' call-backs for what is still open come in there
        if self.tubes is not None:
            self.tubes.stop()
        if self.states.replaced:  # the newer process may have said so after the signal
            await self.upgrade.leave()
        await self.engine.drained()
        await self.fronts.flushed()
        if self.tubes is not None and self.tubes.plain:
            await asyncio.sleep(limits.linger_ms / 1000)  # for producers to fetch the last answers

    def _last_answer_ms(self) -> float:
        """How long after SIGTERM the last answer may go out: SIGKILL may come then (PROTOCOL, "Figures")."""
        longest = max(kind.deadline_ms for kind in self.config.settings.classes)
        return max(longest, KILL_LEAST_MS) + KILL_AFTER_MS - KILL_MARGIN_MS

    async def close(self) -> None:
        """Let go of sockets and files."""
        self.fronts.close()
        self.admin.close()
        for task in (self._may_serve, self._tubes_served):
            if task is not None:
                task.cancel()
        for server in self._servers:
            server.close()
        await self.pool.follower.stop()
        if self.log is not None:
            self.log.close()
        if self.membership is not None:
            self.membership.leave()
        if self.peers is not None:
            self.peers.close()
        if self.store is not None:
            self.store.close()
        await self.upgrade.farewell()  # the newer process may now have what this one had
        log.info("stopped")

    def apply(self, new: Config, hosts: list[Host]) -> None:
        """Take over from a new configuration what can change in a running node, or nothing (ConfigError)."""
        if self.limiting is not None and new.fleet_limits is not None:
            self.limiting.change(new.fleet_limits)
        if self.tubes is not None and self.store is not None:
            self.store.load(new, hosts)
        self.pool.follower.move(new.discovery)
        logging.getLogger().setLevel(new.log_level.upper())

    # -- as operators see it

    @property
    def state(self) -> State:
        """What the node is doing."""
        return self.states.state

    async def pause(self, paused: bool) -> None:
        """Empty the node, or take clients again."""
        self._paused = paused
        self.states.pause(paused or self._all_paused)
        self.upgrade.tell({"kind": "pause", "paused": paused})
        self._keep("paused", paused)
        if self._all_paused and not paused:
            raise NotObeyed("paused for all nodes: RESUME --all")

    async def ban(self, uid: str, banned: bool) -> bool:
        """Take a worker out, or put it back; False if nobody has heard of it."""
        known = self.pool.ban(uid, banned)
        if known:
            self.upgrade.tell({"kind": "ban", "uid": uid, "banned": banned})
            self._keep("bans", sorted(self.pool.bans))
        if uid in self.pool.fleet_bans and not banned:
            raise NotObeyed(f"out for all nodes: RESTORE {uid} --all")
        return known

    def _paused_by_all(self, paused: bool) -> None:
        self._all_paused = paused
        self.states.pause(paused or self._paused)

    async def for_all(self, uid: str | None, out: bool) -> str:
        """An operator's word for all nodes, and who has obeyed."""
        if self.judging is None:
            raise NotObeyed("this node speaks for itself alone ([verdicts])")
        if uid is not None and uid not in self.pool.fleet_bans and not self.pool.is_known(uid):
            raise NotObeyed("unknown worker")
        try:
            return await self.judging.apply_command(uid or "", out)
        except ValueError as error:
            raise NotObeyed(str(error)) from error

    def verdicts(self) -> list[str]:
        """What is held of the workers together."""
        return self.judging.lines() if self.judging is not None else []

    async def store_call(self, words: list[str]) -> list[str]:
        """A call of the store's log."""
        if self.log is None:
            raise NotObeyed("this node's store has no log ([store])")
        return await self.log.operate(words)

    def limits(self) -> list[str]:
        """What is held of limits of the whole fleet."""
        return self.limiting.status_lines() if self.limiting is not None else []

    async def figures(self) -> NodeFigures:
        """The figures of this process, which is the node."""
        figures, listed = self.engine.counters, self.pool.listed_workers()
        return NodeFigures(
            classes=figures.classes,
            current=figures.current,
            cluster_size=len(listed),
            cluster_unhealthy=len(listed & (self.engine.avoided_workers() | self.pool.banned)),
            conf_loaded=figures.conf_loaded,
            conf_invalid=figures.conf_invalid,
            more={
                **(self.membership.figures() if self.membership is not None else {}),
                **(self.judging.metrics() if self.judging is not None else {}),
                **(self.limiting.metrics() if self.limiting is not None else {}),
            },
        )

    def members(self) -> list[str]:
        """What is held of the group."""
        return self.membership.lines() if self.membership is not None else []

    async def _serve_tubes(self) -> None:
        assert self.config.beanstalk is not None and self.store is not None
        if self.upgrade.elder is not None:
            # guards the store's file and the tubes' ids: they have one owner
            log.warning("tubes wait for the older process to end")
            await self.upgrade.alone.wait()
            await self.store.read_again()
        self.tubes = front = start_beanstalk(self.config, self.engine, self.clock, self.pool, self.store)
        where = self.config.beanstalk.listen

        async def listen() -> None:
            server = await self.loop.create_server(
                lambda: BeanstalkSocket(self.config.limits, front), *where, backlog=128
            )
            self._servers.append(server)
            for socket in server.sockets:
                log.info("listening", extra={"address": "{}:{}".format(*socket.getsockname()[:2])})

        await self.upgrade.once_free(listen)


def start_beanstalk(
    config: Config, engine: Engine, clock: Clock, pool: PoolConfig, store: NodeStore
) -> BeanstalkFront:
    """The beanstalkd front, its workers in the pool, and what an earlier life left open."""
    assert config.beanstalk is not None
    tubes = BeanstalkFront(config, config.beanstalk, engine, clock)

    def inventory_changed(hosts: list[Host]) -> None:
        entries = tubes.take_inventory(hosts)
        found: dict[int, Destination] = {w.number: w for w in tubes.workers.values()}
        pool.apply_inventory(entries, found)

    def recovered(job: str, origin: str, answer: Answer) -> None:
        number = job.rpartition(".")[2]
        if origin and number.isdigit():  # what came by HTTP has lost its client with the old process
            tubes.post_answer(int(number), tubes.tubes.get(origin), answer)

    engine.observers.append(store.observe)
    engine.observers.append(tubes.observe)
    store.inventory_changed = inventory_changed
    store.tubes_changed = tubes.take_tubes
    tubes.reply_deleted = store.answer_fetched
    tubes.promised = store.promise
    tubes.never_begun = store.note_refused
    store.load(config, inventory.read(config.inventory) if config.inventory else [])
    store.recover(recovered)
    return tubes


def _told(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.error("tubes are not served", exc_info=task.exception())


def log_lost_errors(loop: asyncio.AbstractEventLoop) -> None:
    """Have errors that no task's owner takes in one line of the log."""
    loop.set_exception_handler(
        lambda _, context: log.error(str(context.get("message")), exc_info=context.get("exception"))
    )


def settle_memory() -> None:
    """Spare the collector what the start has left, which stays."""
    gc.collect()
    gc.freeze()
