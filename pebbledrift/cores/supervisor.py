"""The process that was started, where a node has several: it starts the cores and speaks for all of them.

It owns the listening socket, the operators' address, the watch on discovery, signals, the gates on the board,
and the lives of the cores. It dispatches nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import json
import logging
import os
import pickle
import signal
import socket
import subprocess
import sys
import time
from collections import deque
from collections.abc import Mapping
from typing import Any

from pebbledrift import inventory
from pebbledrift.bounds import Limits
from pebbledrift.config import Config
from pebbledrift.core.clock import Clock
from pebbledrift.core.figures import ClassCounters, Counters
from pebbledrift.core.states import NodeStates, State
from pebbledrift.cores import mailbox
from pebbledrift.cores.board import Board, BoardFull
from pebbledrift.cores.directory import bury
from pebbledrift.cores.figures import Block, CoreFigures
from pebbledrift.cores.plan import STALE_S, Load, Revival, Roster, deal
from pebbledrift.cores.region import Layout, Region, RegionError
from pebbledrift.cores.start import Start
from pebbledrift.discovery.follower import Follower
from pebbledrift.fronts.admin import AdminFront, NodeFigures, NotObeyed
from pebbledrift.inventory import Host
from pebbledrift.net.front import listening_socket
from pebbledrift.net.lines import LineServer
from pebbledrift.net.link import Fields, Link
from pebbledrift.node import ReadAgain, log_lost_errors
from pebbledrift.pool import worker_number
from pebbledrift.reload import Reloader
from pebbledrift.signals import hold_sighup

log = logging.getLogger("pebbledrift")

MEET_S = 30.0  # until a core that starts has to serve
OBEY_S = 0.8  # until an operator's call has to be obeyed by all
LOOK_S = 0.05
END_S = 3.0  # beyond the longest deadline, until a core that does not end is killed


class Core:
    """The supervisor's side of one core: its process, and what is under way to it."""

    def __init__(self, number: int, limits: Limits) -> None:
        self.number = number
        self.revival = Revival(limits)
        self.process: subprocess.Popen[bytes] | None = None
        self.link: Link | None = None
        self.met = False  # it serves
        self.drained = False
        self.untaken: dict[int, int] = {}  # connections passed and not taken: their number and descriptor
        self.passed: deque[int] = deque()  # connections that its last sign of life does not count yet
        self.calls: dict[int, asyncio.Future[bool]] = {}  # asked of it, and not answered


class Supervisor:
    """One node on several cores (fronts.admin.Operated)."""

    def __init__(self, config: Config, read_again: ReadAgain, path: str | None) -> None:
        self.config = config
        self.path = path
        self.loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.layout = Layout(config.cores.processes, len(config.classes))
        self.cores = [Core(number, config.limits) for number in range(config.cores.processes)]
        self.roster = Roster()
        self.bans: set[str] = set()
        self.follower = Follower(config, self.clock, self._news, self._rely)
        self.states = NodeStates(self._could_serve)
        self.counted = Counters(len(config.classes))  # of cores that have died; conf_ of the node
        self.admin = LineServer(config.limits, AdminFront(config.classes, self).answer)
        self.reloader = Reloader(config, read_again, self._apply, self.counted)
        self.listener: socket.socket | None = None
        self.region: Region
        self.board: Board
        self.blocks: list[Block]
        self.mail: list[tuple[socket.socket, socket.socket]] = []
        self.stopping = asyncio.Event()
        self.failed: asyncio.Future[int] = self.loop.create_future()  # the node ends: its exit code
        self.deaths = 0
        self.passed_on = 0  # call-backs, by cores that have died
        self._begun = False
        self._numbers = 0
        self._pause: asyncio.TimerHandle | None = None

    async def run(self) -> int:
        """Serve until told to end, or until the node cannot go on; returns the exit code."""
        log_lost_errors(self.loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stopping.set)
        try:
            self.region = Region.make(self.layout)
        except RegionError as error:
            log.error("cannot start", extra={"error": str(error)})
            return 2
        self.board = Board(self.region)
        self.blocks = [Block(self.region, core.number) for core in self.cores]
        self.mail = mailbox.pairs(len(self.cores))
        self.follower.at(self.config.known)
        self._take(self.config.known, cached=True)
        try:
            return await self._life()
        finally:
            await self._end()

    async def _life(self) -> int:
        limits = self.config.limits
        if self.config.listen is not None:
            self.listener = listening_socket(self.config.listen, limits.backlog)
        for core in self.cores:
            self._start(core)
        self.loop.add_signal_handler(signal.SIGHUP, self.reloader.asked)
        hold_sighup(False)
        self.follower.watch()
        if not await self._until(lambda: all(core.met for core in self.cores), MEET_S):
            if not self.failed.done():
                log.error("cannot start", extra={"error": "a core does not come up"})
            return self.failed.result() if self.failed.done() else 1
        if self.config.admin is not None:
            await self.admin.listen(self.config.admin)
        if self.listener is not None:
            if self.config.cores.accept == "passed":
                self.loop.add_reader(self.listener, self._accept)
            host, port = self.listener.getsockname()[:2]
            log.info("listening", extra={"address": f"{host}:{port}"})
        self._begun = self.states.serving = True
        self._look()
        log.info("started", extra={"node": self.config.name, "cores": len(self.cores)})
        await self._until(self.stopping.is_set, None)
        if self.failed.done():
            return self.failed.result()
        log.info("stopping", extra={"open": sum(b.read().current for b in self.blocks)})
        self.states.stop()
        self._tell_all({"kind": "stop"})
        longest = max(k.deadline_ms for k in self.config.settings.classes) / 1000
        drained = await self._until(lambda: all(c.drained for c in self.cores), longest + END_S)
        if not drained:
            log.error("a core does not end")
        self._tell_all({"kind": "end"})
        await self._until(lambda: all(c.process is None for c in self.cores), END_S)
        log.info("stopped")
        return self.failed.result() if self.failed.done() else 0

    async def _until(self, condition: Any, seconds: float | None) -> bool:
        """Wait until a condition holds; False where time is up or the node has failed before."""
        end = None if seconds is None else self.loop.time() + seconds
        while not condition():
            if self.failed.done() or (end is not None and self.loop.time() >= end):
                return False
            await asyncio.sleep(LOOK_S)
        return True

    async def _end(self) -> None:
        """Nothing is left behind: no process, no socket."""
        self.admin.close()
        await self.follower.stop()
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
        for core in self.cores:
            if core.link is not None:
                core.link.close()
            if core.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    core.process.kill()
                core.process.wait()

    # -- lives

    def _start(self, core: Core) -> None:
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        accepts = self.listener is not None and self.config.cores.accept == "inherited"
        start = Start(
            core=core.number,
            config=self.reloader.config,  # as it was read last
            path=self.path,
            life=self.region.life,
            offset=self.clock.offset,
            memory=self.region.descriptor,
            link=theirs.fileno(),
            reading=self.mail[core.number][0].fileno(),
            writing=tuple(writing.fileno() for _, writing in self.mail),
            listener=self.listener.fileno() if accepts and self.listener is not None else None,
            parent=os.getpid(),
        )
        told = os.memfd_create("pebbledrift-start")
        os.write(told, pickle.dumps(start))
        handed = [told, start.memory, start.link, start.reading, *start.writing]
        if start.listener is not None:
            handed.append(start.listener)
        command = [sys.executable, *(["-B"] if sys.dont_write_bytecode else [])]
        core.process = subprocess.Popen(
            [*command, "-m", "pebbledrift.cores.core", str(told)],
            pass_fds=handed,
            stdin=subprocess.DEVNULL,
        )
        os.close(told)
        theirs.close()
        core.link = Link(ours, lambda fields, body, _: self._from_core(core, fields), lambda: None)
        ended = os.pidfd_open(core.process.pid)
        self.loop.add_reader(ended, self._died, core, core.process, ended)
        # what it has to know before anything else
        self._send_news(core, self.roster.whole(), self.roster.cached)
        core.link.send({"kind": "rely", "current": self.follower.current})
        for uid in self.bans:
            core.link.send({"kind": "ban", "uid": uid, "banned": True, "must": True})
        core.link.send({"kind": "pause", "paused": self.states.paused})
        if self.states.stopping:
            core.link.send({"kind": "stop"})

    def _died(self, core: Core, process: subprocess.Popen[bytes], ended: int) -> None:
        self.loop.remove_reader(ended)
        os.close(ended)
        code = process.wait()
        core.process = None
        if core.link is not None:
            core.link.close()
            core.link = None
        lost = self._bury(core)
        if self.states.stopping:
            if code != 0:
                log.error("a core has died", extra={"died": core.number, "code": code, "lost": lost})
            core.drained = True
            return
        log.error("a core has died", extra={"died": core.number, "code": code, "lost": lost})
        wait = core.revival.died(self.loop.time() * 1000)
        if wait is None or (code == 2 and not self._begun):
            if wait is None:
                log.error("a core dies again and again: the node ends", extra={"died": core.number})
            self._fail(2 if code == 2 else 1)
        else:
            self.loop.call_later(wait / 1000, self._revive, core)

    def _bury(self, core: Core) -> int:
        """Keep of a dead core what must outlive it; returns how many of its ids were open or kept."""
        core.met = False
        lost = bury(self.region, core.number)
        ghosts = self.board.bury(core.number)
        longest = max(k.deadline_ms for k in self.config.settings.classes) / 1000
        self.loop.call_later(longest, self.board.release, core.number, ghosts)
        block = self.blocks[core.number]
        last = block.read()
        _add(self.counted.classes, last)
        self.passed_on += last.posted
        self.deaths += not self.states.stopping
        block.clear()
        core.passed.clear()
        for call in core.calls.values():
            if not call.done():
                call.set_result(False)
        core.calls.clear()
        untaken, core.untaken = core.untaken, {}
        for descriptor in untaken.values():
            self._pass(descriptor)  # nothing was read from it: another core goes on with it
        return lost

    def _revive(self, core: Core) -> None:
        if not self.states.stopping and not self.failed.done():
            try:
                self._start(core)
            except OSError as error:
                log.error("a core cannot be started", extra={"error": str(error)})
                self._fail(1)

    def _fail(self, code: int) -> None:
        if not self.failed.done():
            self.failed.set_result(code)

    def _from_core(self, core: Core, fields: Fields) -> None:
        match fields["kind"]:
            case "took":
                descriptor = core.untaken.pop(int(fields["n"]), None)
                if descriptor is not None:
                    os.close(descriptor)
                if self._pause is not None:
                    self._go_on()
            case "obeyed":
                call = core.calls.pop(int(fields["call"]), None)
                if call is not None and not call.done():
                    call.set_result(bool(fields["known"]))
            case "met":
                core.met = True
            case "drained":
                core.drained = True

    def _tell_all(self, fields: Fields) -> None:
        for core in self.cores:
            if core.link is not None:
                core.link.send(fields)

    # -- connections

    def _accept(self) -> None:
        assert self.listener is not None
        for _ in range(self.config.limits.accept_batch):
            if self._deal() is None:
                self._wait()
                return
            try:
                accepted, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("cannot accept", extra={"error": str(error)})
                self._wait()
                return
            accepted.setblocking(False)
            self._pass(accepted.detach())

    def _deal(self) -> Core | None:
        now = time.monotonic() * 1000
        loads = []
        for core in self.cores:
            if core.link is not None and core.met:
                told = self.blocks[core.number].read()
                while core.passed and core.passed[0] <= told.taken:
                    core.passed.popleft()
                loads.append(
                    Load(
                        core=core.number,
                        sockets=told.sockets,
                        dealt=len(core.passed),
                        untaken=len(core.untaken),
                        open=told.current,
                        silent_s=(now - told.shown_ms) / 1000,
                    )
                )
        found = deal(loads)
        return None if found is None else self.cores[found]

    def _pass(self, descriptor: int) -> None:
        """Hand a connection to a core; this process's copy is kept until the core has taken it."""
        core = self._deal()
        self._numbers += 1
        number = self._numbers
        link = core.link if core is not None else None
        fields = {"kind": "conn", "n": number}
        if core is not None and link is not None and link.send_descriptor(fields, descriptor):
            core.untaken[number] = descriptor
            core.passed.append(number)
        else:  # no core is left, or it does not read now; there are at most UNTAKEN of these for each core
            self.loop.call_later(self.config.limits.accept_pause_ms / 1000, self._pass, descriptor)

    def _wait(self) -> None:
        """Leave who comes in the listening queue for a moment."""
        if self._pause is None and self.listener is not None:
            self.loop.remove_reader(self.listener)
            self._pause = self.loop.call_later(self.config.limits.accept_pause_ms / 1000, self._go_on)

    def _go_on(self) -> None:
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
        if self.listener is not None and not self.listener._closed:  # type: ignore[attr-defined]
            self.loop.add_reader(self.listener, self._accept)

    # -- the list of workers

    def _rely(self, current: bool) -> None:
        for core in self.cores:
            if core.link is not None:
                core.link.send({"kind": "rely", "current": current})

    def _news(self, news: Mapping[str, Any]) -> None:
        self._take(news, cached=False)

    def _take(self, news: Mapping[str, Any], cached: bool) -> None:
        self.roster.take(news, cached)
        self._set_gates()  # before any core is told: one that hears late finds the gate closed
        for core in self.cores:
            if core.link is not None:
                self._send_news(core, news, cached)

    def _turn(self) -> int:
        """The slow-start turn, as the decision module of each core counts it."""
        return int(self.clock.common_ms() // self.config.settings.fall_ms)

    def _set_gates(self) -> None:
        open_ = {worker_number(uid) for uid in self.roster.in_service() - self.bans}
        self.board.clear_accounts(self._turn())
        try:
            self.board.set_gates(open_)
        except BoardFull as error:
            log.error("some workers get nothing", extra={"error": str(error)})

    def _send_news(self, core: Core, news: Mapping[str, Any], cached: bool) -> None:
        assert core.link is not None
        core.link.send({"kind": "news", "cached": cached}, json.dumps(news).encode())

    def _apply(self, new: Config, hosts: list[Host]) -> None:
        self.follower.move(new.discovery)
        logging.getLogger().setLevel(new.log_level.upper())
        self._tell_all({"kind": "reload"})

    # -- as operators see it

    @property
    def state(self) -> State:
        """What the node is doing."""
        return self.states.state

    async def pause(self, paused: bool) -> None:
        """Empty the node, or take clients again."""
        self.states.pause(paused)
        await self._ask_all({"kind": "pause", "paused": paused})

    async def ban(self, uid: str, banned: bool) -> bool:
        """Take a worker out, or put it back, at every core; False if nobody has heard of it."""
        listed = uid in self.roster.known or uid in self.bans
        if listed:
            self._note_ban(uid, banned)
        known = await self._ask_all({"kind": "ban", "uid": uid, "banned": banned, "must": listed})
        if known and not listed:
            self._note_ban(uid, banned)  # of the inventory, which core 0 alone serves
        return listed or known

    def _note_ban(self, uid: str, banned: bool) -> None:
        (self.bans.add if banned else self.bans.discard)(uid)
        self._set_gates()

    def verdicts(self) -> list[str]:
        """Each node of several cores judges for itself."""
        return []

    async def store_call(self, words: list[str]) -> list[str]:
        """Nor has its store a log."""
        raise NotObeyed("this node's store has no log ([store])")

    def limits(self) -> list[str]:
        """Such a node limits itself alone."""
        return []

    async def for_all(self, uid: str | None, out: bool) -> str:
        """Such a node is in no group."""
        raise NotObeyed("this node speaks for itself alone ([verdicts])")

    def members(self) -> list[str]:
        """A node of several processes is in no group."""
        return []

    async def figures(self) -> NodeFigures:
        """The sum of all cores, the dead ones' counts included; one that is stopped counts as it last was."""
        await self._ask_all({"kind": "show"}, must=False)
        told = [block.read() for block in self.blocks]
        listed = {worker_number(uid) for uid in self.roster.targets}
        extra = max(0, told[0].listed - len(listed))
        out = self.board.avoided() | {worker_number(uid) for uid in self.bans}
        classes = [ClassCounters(p.served, p.refused, p.failed, p.sends) for p in self.counted.classes]
        for core in told:
            _add(classes, core)
        return NodeFigures(
            classes=classes,
            current=sum(core.current for core in told),
            cluster_size=len(listed) + extra,
            cluster_unhealthy=len(listed & out) + told[0].extra_unhealthy,
            conf_loaded=self.counted.conf_loaded,
            conf_invalid=self.counted.conf_invalid,
            more={
                "cores": f"{sum(core.met for core in self.cores)}|g",
                "cores_died": f"{self.deaths}|c",
                "passed_on": f"{self.passed_on + sum(core.posted for core in told)}|c",
            },
        )

    async def _ask_all(self, fields: Fields, must: bool = True) -> bool:
        """Have every core do something; returns whether any knew what it was about.

        A core that is stopped obeys before it does anything else: its sends look at the board, where the
        supervisor has written already. One that runs and does not obey raises NotObeyed.
        """
        asked: dict[Core, asyncio.Future[bool]] = {}
        for core in self.cores:
            if core.link is not None:
                self._numbers += 1
                core.calls[self._numbers] = asked[core] = self.loop.create_future()
                core.link.send({**fields, "call": self._numbers})
        known = False
        end = self.loop.time() + OBEY_S
        waiting = set(asked.values())
        while waiting and self.loop.time() < end:
            done, waiting = await asyncio.wait(waiting, timeout=LOOK_S, return_when=asyncio.ALL_COMPLETED)
            known = known or any(call.result() for call in done)
            if all(call in done or call.done() or self._silent(core) for core, call in asked.items()):
                break
        awake = [core.number for core, call in asked.items() if not call.done() and not self._silent(core)]
        if awake and must:
            raise NotObeyed(f"not obeyed by core {awake[0]}")
        return known

    def _silent(self, core: Core) -> bool:
        shown = self.blocks[core.number].read().shown_ms
        return time.monotonic() * 1000 - shown > STALE_S * 1000

    def _could_serve(self) -> bool:
        return any(block.read().ready for block in self.blocks)

    def _look(self) -> None:
        """The time comes for accounts of workers that have left, so that their rows come free."""
        self.board.clear_accounts(self._turn())
        self.loop.call_later(1.0, self._look)


def _add(classes: list[ClassCounters], core: CoreFigures) -> None:
    for total, counted in zip(classes, core.classes, strict=True):
        total.served += counted.served
        total.refused += counted.refused
        total.failed += counted.failed
        total.sends += counted.sends


def check(config: Config) -> None:
    """What a core would stumble over: InventoryError or OSError before any process is started."""
    if importlib.util.find_spec("atomicshm") is None:
        raise OSError("cores.processes: more than 1 needs atomicshm (pip install 'pebbledrift[cores]')")
    if config.inventory:
        inventory.read(config.inventory)
