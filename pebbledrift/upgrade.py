"""An upgrade: a process that is started beside a running one takes its place, and its connections with it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from pebbledrift.config import Config
from pebbledrift.core.engine import Engine
from pebbledrift.core.states import NodeStates
from pebbledrift.fronts.platform import PlatformFront
from pebbledrift.net.front import FrontServer
from pebbledrift.net.link import Fields, Link, MeetingPlace
from pebbledrift.pool import PoolConfig

log = logging.getLogger(__name__)

AGAIN_S = 0.05  # between looks at what can go over by now
LET_GO_S = 0.2  # the newer process still passes call-backs on for so long after the older's last word
VISITS = 1000  # until a process whose elder is busy with another goes on by itself
IDS = 500  # open ids in one message


class Upgrade:
    """Both sides of the meeting: with an older process, the elder, and later with a newer one, the heir."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        pool: PoolConfig,
        states: NodeStates,
        front: PlatformFront,
        fronts: FrontServer,
    ) -> None:
        self.limits = config.limits
        self.engine = engine
        self.pool = pool
        self.states = states
        self.front = front
        self.fronts = fronts
        self.place = MeetingPlace(config.run_dir, config.name)
        self.elder: Link | None = None
        self.heir: Link | None = None
        self.alone = asyncio.Event()  # no older process is left
        self._heard = asyncio.Event()  # the elder has told what operators told it
        self._lost = asyncio.Event()
        self._leaving = False
        self.informed = False  # the elder has told a list that may be relied on
        self._succeeds = False  # there was an older process at the start
        self._giving: asyncio.Task[None] | None = None
        self._waiting: asyncio.Task[None] | None = None
        front.elsewhere = self._pass_on
        pool.follower.listeners.append(self._relay)

    async def meet(self) -> None:
        """Look for an older process, and hear from it what it has been told by operators."""
        for _ in range(VISITS):
            end = self.place.visit()
            if end is None:
                self.alone.set()
                return
            self._share(True)
            self._succeeds = True
            self._lost.clear()
            self.elder = Link(end, self._from_elder, self._elder_lost)
            heard = asyncio.ensure_future(self._heard.wait())
            lost = asyncio.ensure_future(self._lost.wait())
            done, late = await asyncio.wait(
                [heard, lost], timeout=self.limits.meet_ms / 1000, return_when=asyncio.FIRST_COMPLETED
            )
            for task in late:
                task.cancel()
            if not done:
                log.warning("the older process tells nothing")  # guards the start against one that hangs
            if lost not in done or heard in done:
                log.info("an older process is running")
                return
            await asyncio.sleep(AGAIN_S)  # it has ended, or has a newer process to care for already

    async def may_serve(self) -> None:
        """Wait until this process could serve, or is the only one."""
        while self.elder is not None and not self.states.can_serve():
            await asyncio.sleep(AGAIN_S)

    async def once_free(self, listen: Callable[[], Awaitable[None]]) -> None:
        """Listen at an address that the older process may still have: that must not end the start."""
        try:
            await listen()
        except OSError as error:
            if not self._succeeds:
                raise
            log.warning("waits for an address", extra={"error": str(error)})
            self._waiting = asyncio.get_running_loop().create_task(self._until_free(listen))

    async def _until_free(self, listen: Callable[[], Awaitable[None]]) -> None:
        while True:
            await asyncio.sleep(AGAIN_S)
            with contextlib.suppress(OSError):
                await listen()
                return

    def serve(self) -> None:
        """Clients are accepted here now: the older process is told so, and the next one finds this one."""
        try:
            self.place.listen(self._met)
        except OSError as error:
            log.warning("no meeting place", extra={"error": str(error)})
        if self.elder is not None:
            self.engine.skip_time_slices(2)  # the older process may send to cold workers until it has heard
            self.elder.send({"kind": "serving"})

    def tell(self, fields: Fields) -> None:
        """Tell the other process, where there is one, of an operator's call."""
        for link in (self.elder, self.heir):
            if link is not None:
                link.send(fields)

    async def leave(self) -> None:
        """After SIGTERM, in the elder: wait until all that is owed is answered or has gone over."""
        while self.heir is not None and (self.engine.open or self.fronts.sockets):
            await asyncio.sleep(AGAIN_S)

    async def farewell(self) -> None:
        """The process ends. What call-backs the heir has passed on meanwhile have to go back to it first."""
        self._leaving = True
        if self.heir is not None:
            self.heir.send({"kind": "gone"})
        deadline = asyncio.get_running_loop().time() + self.limits.meet_ms / 1000
        while self.heir is not None and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(AGAIN_S)

        self.place.close()
        for task in (self._giving, self._waiting):
            if task is not None:
                task.cancel()
        for link in (self.elder, self.heir):
            if link is not None:
                link.close()

    def _share(self, shared: bool) -> None:
        """Two processes share the descriptors."""
        self.fronts.shared = shared
        self.pool.budget.shared = shared

    def _pass_on(self, fields: Fields, body: bytes) -> None:
        for link in (self.elder, self.heir):
            if link is not None:
                link.send(fields, body)

    # -- as the newer one

    def _from_elder(self, fields: Fields, body: bytes, descriptor: int | None) -> None:
        match fields["kind"]:
            case "state":
                for uid in fields["bans"]:
                    self.pool.set_ban(str(uid), True)
                self.states.pause(bool(fields["paused"]))
                self._heard.set()
            case "list":
                # guards an upgrade while discovery is down: the elder knows what it has been told
                if self.pool.follower.inherit(json.loads(body), float(fields["left_ms"])):
                    self.informed = True
                else:
                    log.info("list of the older process not needed")
            case "learned":
                self.engine.learn(json.loads(body))
            case "gone":
                # what came just before has to be entered here before call-backs are passed on no more
                asyncio.get_running_loop().call_later(LET_GO_S, self._let_go)
            case "ids":
                self.engine.predecessor_ids.update(fields["ids"])
            case "socket" | "job" if descriptor is not None:
                self.fronts.adopt(descriptor, fields, body)
            case _:
                self._from_either(fields, body)

    def _let_go(self) -> None:
        if self.elder is not None:
            self.elder.close()
            self._elder_lost()

    def _elder_lost(self) -> None:
        log.info("the older process has ended")
        self.elder = None
        self.engine.predecessor_ids.clear()
        self._share(self.heir is not None)
        self._lost.set()
        if self._heard.is_set():
            self.alone.set()

    def _from_either(self, fields: Fields, body: bytes) -> None:
        match fields["kind"]:
            case "back":
                self.front.called_back(body, int(fields["passed"]))
            case "ban":
                self.pool.set_ban(str(fields["uid"]), bool(fields["banned"]))
            case "pause":
                self.states.pause(bool(fields["paused"]))
            case kind:
                log.warning("unknown message", extra={"kind": str(kind)})

    # -- as the older one

    def _met(self, end: socket.socket) -> None:
        if self.heir is not None:
            end.close()  # one at a time: a third process would not know whom to succeed
            return
        log.info("a newer process has come")
        self._share(True)
        self.heir = Link(end, self._from_heir, self._heir_lost)
        self.heir.send({"kind": "state", "bans": sorted(self.pool.bans), "paused": self.states.paused})
        self._relay(self.pool.snapshot())

    def _relay(self, news: Mapping[str, Any]) -> None:
        """Tell the heir what discovery says here, for as long as it has not heard discovery itself."""
        follower = self.pool.follower
        if self.heir is not None and follower.discovery is not None and follower.left_ms > 0:
            left_ms = min(follower.left_ms, self.limits.news_told_ms)
            self.heir.send({"kind": "list", "left_ms": left_ms}, json.dumps(news).encode())

    def _from_heir(self, fields: Fields, body: bytes, descriptor: int | None) -> None:
        if fields["kind"] == "serving":
            self._succeeded()
        else:
            self._from_either(fields, body)

    def _succeeded(self) -> None:
        log.warning("succeeded", extra={"open": len(self.engine.open)})
        assert self.heir is not None
        self.place.close()
        self.fronts.rest(True)
        self.engine.skip_time_slices(0)
        self.heir.send({"kind": "learned"}, json.dumps(self.engine.learned()).encode())
        ids = list(self.engine.open)
        for i in range(0, len(ids), IDS):
            self.heir.send({"kind": "ids", "ids": ids[i : i + IDS]})
        self.fronts.heir = self.heir.send_descriptor
        self.states.set_replaced(True)
        self._giving = asyncio.get_running_loop().create_task(self._give())

    async def _give(self) -> None:
        while True:
            self.fronts.offer_all()
            self.front.hand_over()
            await asyncio.sleep(AGAIN_S)

    def _heir_lost(self) -> None:
        """Guards the node against a newer process that dies: this one goes on."""
        self.heir = self.fronts.heir = None
        if self._leaving:
            return
        self._share(self.elder is not None)
        if self._giving is not None:
            self._giving.cancel()
            self._giving = None
        if not self.states.replaced:
            log.warning("the newer process has ended before it served")
            return
        log.error("the newer process has ended: this one serves again")
        self.states.set_replaced(False)
        self.engine.skip_time_slices(2)
        self.fronts.rest(False)
        self.place.listen(self._met)
