"""The pool config: discovery's list, followed by a watch that survives discovery's outages."""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import random
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from pebbledrift.config import Address, Config, ConfigError, Limits, address
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.core.model import Destination
from pebbledrift.net.destinations import HttpDestination, SocketBudget
from pebbledrift.net.http import HttpProtocol, Message, request
from spoolpier import interface as api

log = logging.getLogger(__name__)

STATES = {
    "in_service": api.WorkerState.UP,
    "terminating": api.WorkerState.DRAINING,
    "terminated": api.WorkerState.REMOVED,
}


def worker_number(uid: str) -> int:
    """The module's number of a worker: the same on every node, whatever order they hear of it in."""
    return int.from_bytes(hashlib.blake2b(uid.encode(), digest_size=8).digest(), "big")


def index(names: tuple[str, ...], value: object) -> int:
    """The place of a name, or a number as it is; unknown names fall behind the known ones."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    return names.index(value) if value in names else len(names)


class PoolConfig:
    """The destinations by number, and the watch that keeps them."""

    def __init__(self, config: Config, clock: Clock) -> None:
        self.config = config
        self.clock = clock
        self.engine: Engine | None = None
        self.destinations: dict[int, HttpDestination] = {}
        self.extra: dict[int, Destination] = {}  # of another front, from the inventory
        self.extra_entries: tuple[api.WorkerEntry, ...] = ()
        self.entries: dict[int, api.WorkerEntry] = {}  # the list, as told
        self.known: set[int] = set()  # all that have ever been in it
        self.bans: set[str] = set()  # uids that operators have taken out, whatever the list says
        self.banned: set[int] = set()  # the same by number
        self.budget = SocketBudget(config.limits)
        self.rev: int | None = 0  # None: the whole list has to be asked for
        self.discovery = config.discovery
        self.unknown: set[str] = set()
        self.heard = config.discovery is None
        self.random = random.Random(config.seed)
        self._watching: asyncio.Task[None] | None = None

    def find(self, worker: int) -> Destination | None:
        """The destination of this number."""
        return self.destinations.get(worker) or self.extra.get(worker)

    def watch(self) -> None:
        """Begin to follow discovery; the watch then renews itself for good."""
        if self._watching is None and self.discovery is not None:
            loop = asyncio.get_running_loop()
            self._watching = loop.create_task(self._follow(self.discovery))

    def move(self, discovery: Address | None) -> None:
        """Follow another discovery. Workers, their connections and what is known of them stay."""
        if discovery == self.discovery:
            return
        log.info("discovery moved", extra={"address": str(discovery)})
        self.discovery = discovery
        # the other may count its versions differently: changes since one of ours could hide a drain
        self.rev = None
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None
            self.watch()

    async def stop(self) -> None:
        """End the watch."""
        if self._watching is not None:
            self._watching.cancel()
            await asyncio.gather(self._watching, return_exceptions=True)

    def serves(self) -> bool:
        """Whether any worker is in service."""
        entries = (*self.entries.values(), *self.extra_entries)
        return any(self._shown(e).state is api.WorkerState.UP for e in entries)

    def listed(self) -> set[int]:
        """The workers in the list, whatever their state."""
        return {*self.entries, *(e.worker for e in self.extra_entries)}

    def ban(self, uid: str, banned: bool) -> bool:
        """Take a worker out, or put it back; False if nobody has heard of it. Twice is once."""
        worker = worker_number(uid)
        if worker not in self.known and worker not in self.listed() and uid not in self.bans:
            return False
        self.lay_ban(uid, banned)
        return True

    def lay_ban(self, uid: str, banned: bool) -> None:
        """The same for a worker of which only the uid may be known."""
        assert self.engine is not None
        if banned is (uid in self.bans):
            return
        worker = worker_number(uid)
        self.bans ^= {uid}
        self.banned ^= {worker}
        entries = [e for e in (*self.entries.values(), *self.extra_entries) if e.worker == worker]
        self.engine.pool_changed(api.WorkerList(api.ListForm.DELTA, tuple(map(self._shown, entries))))
        self.engine.step_now()
        destination = self.find(worker)
        if banned and destination is not None:
            destination.recall()

    def _shown(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        """An entry as the module is shown it: one that is banned drains, whatever the list says."""
        if entry.worker in self.banned and entry.state is api.WorkerState.UP:
            return replace(entry, state=api.WorkerState.DRAINING)
        return entry

    def take_inventory(self, entries: tuple[api.WorkerEntry, ...], found: dict[int, Destination]) -> None:
        """Follow the inventory beside discovery's list."""
        assert self.engine is not None
        named = {e.worker for e in entries}
        gone = [e for e in self.extra_entries if e.worker not in named]
        removed = [replace(e, state=api.WorkerState.REMOVED) for e in gone]
        self.extra, self.extra_entries = found, entries
        shown = (*removed, *map(self._shown, entries))
        self.engine.pool_changed(api.WorkerList(api.ListForm.DELTA, shown))

    def take(self, news: Mapping[str, Any], cached: bool = False) -> None:
        """Take in a list or its changes; an entry that cannot be read is passed over, and said so."""
        assert self.engine is not None
        entries = []
        targets = news.get("targets")
        for target in targets if isinstance(targets, list) else []:
            try:
                entries.append(self._entry(target))
            except (KeyError, TypeError, ValueError, ConfigError) as error:
                log.warning("entry passed over", extra={"entry": str(target)[:200], "error": str(error)})
        full = bool(news.get("all"))
        if full or cached:
            named = {e.worker for e in entries}
            for worker in [w for w in self.destinations if w not in named]:
                self._drop(worker)
            entries += self.extra_entries  # or the module would take the inventory's workers for gone
        form = api.ListForm.CACHED if cached else api.ListForm.FULL if full else api.ListForm.DELTA
        rev = news.get("rev")
        if isinstance(rev, int) and not isinstance(rev, bool):
            self.rev = rev
        self.engine.pool_changed(api.WorkerList(form, tuple(map(self._shown, entries))))

    def _entry(self, target: Mapping[str, Any]) -> api.WorkerEntry:
        worker = worker_number(str(target["uid"]))
        state = STATES[target["state"]]
        if state is api.WorkerState.REMOVED:
            self._drop(worker)
        else:
            self._place(worker, address(target["endpoint"], "endpoint"))
        for key, names in (("az", self.config.zones), ("model", self.config.kinds)):
            value = target.get(key)
            if isinstance(value, str) and value not in names and value not in self.unknown:
                self.unknown.add(value)
                log.warning("not in the settings", extra={"key": key, "value": value})
        # in full for one that has left too: jobs it may have run stay bound to its zone and cell
        entry = api.WorkerEntry(
            worker=worker,
            zone=index(self.config.zones, target.get("az", 0)),
            cell=index((), target.get("pod_group", 0)),
            kind=index(self.config.kinds, target.get("model", 0)),
            weight=float(target.get("capacity_hint", 1.0)),
            started_ms=float(target.get("boot_ms", 0)),
            state=state,
        )
        if state is not api.WorkerState.REMOVED:
            self.entries[worker] = entry
            self.known.add(worker)
        return entry

    def _place(self, worker: int, where: Address) -> None:
        known = self.destinations.get(worker)
        if known is not None and known.address == where and not known.pool.closed:
            return
        if known is not None:
            known.close()
        assert self.engine is not None
        self.destinations[worker] = HttpDestination(
            worker, where, self.config.limits, self.budget, self.clock, self.engine
        )

    def _drop(self, worker: int) -> None:
        """The worker has left; attempts still out there end by call-back, by a break or in time."""
        self.entries.pop(worker, None)
        known = self.destinations.get(worker)
        if known is not None:
            known.close()

    async def _follow(self, discovery: Address) -> None:
        limits = self.config.limits
        host = f"{discovery[0]}:{discovery[1]}"
        wait = limits.watch_retry_ms
        while True:
            heard = False
            try:
                if self.rev is None:
                    await self._fetch(discovery, host)
                heard = await self._watch(discovery, host)
            except OSError as error:
                log.info("discovery out of reach", extra={"error": str(error)})
            wait = limits.watch_retry_ms if heard else min(2 * wait, limits.watch_retry_most_ms)
            await asyncio.sleep(wait * self.random.uniform(0.5, 1.0) / 1000)

    async def _fetch(self, discovery: Address, host: str) -> None:
        """Take the whole list in, whatever has been told before."""
        limits = self.config.limits
        call = Listing(limits)
        try:
            async with asyncio.timeout(limits.list_ms / 1000):
                await asyncio.get_running_loop().create_connection(lambda: call, *discovery)
                call.begin("/api/targets", host)
                news = await call.ended
        finally:
            call.abort()
        if news is None:
            raise ConnectionError("no whole list")
        self.heard = True
        self.rev = 0
        self.take({**news, "all": True})

    async def _watch(self, discovery: Address, host: str) -> bool:
        """One watch to its end; returns whether it told anything."""
        watch = Watch(self)
        try:
            async with asyncio.timeout(self.config.limits.watch_connect_ms / 1000):
                await asyncio.get_running_loop().create_connection(lambda: watch, *discovery)
            watch.begin(f"/api/targets?follow=1&since={self.rev}", host)
            await watch.ended
        finally:
            watch.abort()
        return watch.heard


class Listing(HttpProtocol):
    """One call for the whole list."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(replace(limits, body_bytes=limits.line_bytes), request=False)
        self.ended: asyncio.Future[dict[str, Any] | None] = asyncio.get_running_loop().create_future()

    def begin(self, target: str, host: str) -> None:
        """Ask."""
        assert self.transport is not None
        self.transport.write(request("GET", target, {"Host": host}))

    def message_received(self, message: Message) -> None:
        news = None
        if message.status == 200:
            try:
                news = json.loads(bytes(message.body))
            except (ValueError, RecursionError) as error:
                log.warning("malformed list from discovery", extra={"error": str(error)})
        if not self.ended.done():
            # a list without its targets would count as a fleet that has left
            whole = isinstance(news, dict) and isinstance(news.get("targets"), list)
            self.ended.set_result(news if whole else None)

    def eof_received(self) -> bool:
        last = self.parser.close()
        if last is not None:
            self.message_received(last)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)


class Watch(HttpProtocol):
    """One watch: a response that stays open and holds one object per line."""

    def __init__(self, pool: PoolConfig) -> None:
        super().__init__(pool.config.limits, request=False, stream=True)
        self.pool = pool
        self.heard = False
        self.head: Message | None = None
        self.loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = self.loop.create_future()
        self.timer: asyncio.TimerHandle | None = None

    def begin(self, target: str, host: str) -> None:
        """Ask for the changes."""
        assert self.transport is not None
        self.transport.write(request("GET", target, {"Host": host}))
        self._alive()

    def message_received(self, message: Message) -> None:
        self.head = message
        if message.status != 200:
            log.info("watch refused", extra={"status": message.status})
            self.abort()

    def fed(self) -> None:
        head = self.head
        if head is None or head.status != 200:
            return
        self._alive()
        while (end := head.body.find(b"\n")) >= 0:
            line = bytes(head.body[:end]).strip()
            del head.body[: end + 1]
            if line:
                self._line(line)
        if self.parser.ended:
            self.abort()

    def _line(self, line: bytes) -> None:
        try:
            news = json.loads(line)
            if not isinstance(news, dict):
                raise ValueError("not an object")
        except (ValueError, RecursionError) as error:
            # a gap in the changes could hide a drain: the whole list is asked for again
            log.warning("malformed line from discovery", extra={"error": str(error)})
            self.pool.rev = None
            self.abort()
            return
        self.heard = self.pool.heard = True
        self.pool.take(news)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if not self.ended.done():
            self.ended.set_result(None)

    def _alive(self) -> None:
        """Guards against a watch that is cut off without a word: it counts as ended when silent."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(self.limits.watch_silent_ms / 1000, self.abort)
