"""Discovery: the whole list, and a watch on its changes that survives discovery's outages."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from pebbledrift import logs
from pebbledrift.bounds import Limits
from pebbledrift.config import Address, Config
from pebbledrift.core.clock import Clock
from pebbledrift.discovery.lines import BadObject, ObjectLines, parse_object
from pebbledrift.discovery.reliance import PushedReliance, Reliance
from pebbledrift.discovery.turns import AtOnce, Turns
from pebbledrift.net.http import HttpProtocol, Message, request

log = logging.getLogger(__name__)


PROGRESS_BYTES = 1024  # of an object that is not whole yet: fewer within a silence's time are none


class Follower:
    """Follows one discovery. `take` gets its objects in order: a list (`all`) or changes since the last.

    `rely` is told when the list can no longer be known to be current, and when it can again, after the news.
    """

    def __init__(
        self,
        config: Config,
        clock: Clock,
        take: Callable[[Mapping[str, Any]], None],
        rely: Callable[[bool], None] = lambda current: None,
    ) -> None:
        self.limits = limits = config.limits
        self.clock = clock
        settings = config.settings
        self.turns: Turns | AtOnce
        if settings.ask_for_list:
            self.turns = Turns(
                settings.me,
                settings.dispatchers,
                limits.watch_turn_ms,
                # guards what must be known in time: a turn, a call and another turn fit into this
                settings.must_ask_in_ms / 2,
                limits.watch_at_once_ms,
                limits.watch_rounds,
            )
            self.reliance = Reliance(limits.news_told_ms, settings.must_ask_in_ms)
        else:
            self.turns, self.reliance = AtOnce(), PushedReliance(settings.drain_grace_ms)
        self.discovery = discovery = config.discovery
        self.take = take
        self.rely = rely
        # a list that a start came with is relied on once discovery, or the agent, could have spoken
        self.current = config.discovery is None
        self._doubt: asyncio.TimerHandle | None = None
        self.rev: int | None = 0  # None: the whole list has to be asked for
        self.heard = discovery is None
        self.listeners: list[Callable[[Mapping[str, Any]], None]] = []  # told of all news taken in
        self._watching: asyncio.Task[None] | None = None
        self._leaving: asyncio.Task[None] | None = None  # the watch on the discovery before this one

    def at(self, news: Mapping[str, Any]) -> None:
        """Go on from the version of these news, which are known already."""
        rev = news.get("rev")
        if isinstance(rev, int) and not isinstance(rev, bool):
            self.rev = rev

    def told(self, news: Mapping[str, Any], by: Address) -> None:
        """Hand news on, and go on from their version."""
        self.heard = True
        if by == self.discovery:
            self.at(news)
            self._leave()
        self.take(news)
        for listener in self.listeners:
            listener(news)

    def inherit(self, news: Mapping[str, Any], left_ms: float) -> bool:
        """Take in what the process before this one was told, until discovery itself has spoken here.

        `left_ms`: for how long it may be relied on. Returns whether it was taken.
        """
        if self.heard:
            # guards against the order: what this process has heard itself may be newer
            return False
        self.at(news)
        self.take(news)
        self.reliance.inherited(self.clock.now_ms(), left_ms)
        self._look()
        return True

    @property
    def left_ms(self) -> float:
        """For how long the list may be relied on if nothing more is heard; below 0 where it may not."""
        return self.reliance.until_ms - self.clock.now_ms()

    def watch(self) -> None:
        """Begin to follow discovery; the watch then renews itself for good."""
        if self._watching is None and self.discovery is not None:
            loop = asyncio.get_running_loop()
            if self._doubt is None:
                self.reliance.begun(self.clock.now_ms())
                self._look()
            self._watching = loop.create_task(self._follow(self.discovery))

    def move(self, discovery: Address | None) -> None:
        """Follow another discovery. Workers, their connections and what is known of them stay.

        The watch on the one before goes on until the new one has spoken: all nodes are told to move at once,
        and the new one cannot answer all of them before one has drained whom it does not name yet.
        """
        if discovery == self.discovery:
            return
        log.info("discovery moved", extra={"address": str(discovery)})
        self.discovery = discovery
        # the other may count its versions differently: changes since one of ours could hide a drain
        self.rev = None
        self.reliance.moved(self.clock.now_ms())
        self._look()
        if self._watching is not None:
            self._leave()
            self._leaving, self._watching = self._watching, None
            self.watch()

    async def stop(self) -> None:
        """End the watch."""
        self._leave()
        if self._watching is not None:
            self._watching.cancel()
            await asyncio.gather(self._watching, return_exceptions=True)
        if self._doubt is not None:
            self._doubt.cancel()

    def _leave(self) -> None:
        if self._leaving is not None:
            self._leaving.cancel()
            self._leaving = None

    def alive(self, by: Address) -> None:
        """A watch has been heard, and what it said is taken in."""
        if by != self.discovery:
            return  # moved on: what the one before does not say shows nothing
        self.reliance.heard(self.clock.now_ms())
        if not self.current:
            self._look()

    def opened(self, by: Address) -> None:
        """A call has come up."""
        if by != self.discovery:
            return
        self.reliance.opened(self.clock.now_ms())
        if not self.current:
            # guards a lapsed list: what an agent holds it says at once, and a drain may be among it
            self._look_in(self.limits.ready_without_watch_ms)

    def closed(self, by: Address, silent: bool, heard: bool) -> None:
        """A call that had come up is over (Reliance.closed)."""
        if by != self.discovery:
            return
        self.reliance.closed(self.clock.now_ms(), silent, heard)
        if not heard:
            self.failed(by, not silent)
        elif self.current:  # only news make a lapsed list current again
            self._look()

    def failed(self, by: Address, refused: bool) -> None:
        """A call has failed; `refused`: the other side said so, or broke it off (Reliance.failed)."""
        if by != self.discovery:
            return
        self.reliance.failed(self.clock.now_ms(), refused)
        if self.current or not self.heard:
            self._look()

    def _look(self) -> None:
        """Say whether the list may be relied on, where that has changed, and look again when it may not."""
        left = self.left_ms
        if self.current is not (left > 0):
            self.current = left > 0
            log.warning("list of workers", extra={"current": self.current})
            self.rely(self.current)
        if self.current:  # else the next news has it looked at again
            self._look_in(left)

    def _look_in(self, ms: float) -> None:
        if self._doubt is not None:
            self._doubt.cancel()
        if ms < math.inf:
            self._doubt = asyncio.get_running_loop().call_later(ms / 1000, self._look)

    async def _follow(self, discovery: Address) -> None:
        host = f"{discovery[0]}:{discovery[1]}"
        while True:
            await asyncio.sleep(self.turns.wait_ms(self.clock.now_ms()) / 1000)
            if discovery != self.discovery:
                return  # moved on: a watch on the one before is not renewed
            if logs.traced():
                logs.trace("discovery", rev=self.rev)
            try:
                if self.rev is None:
                    await self._fetch(discovery, host)
                heard = await self._watch(discovery, host)
            except OSError as error:
                log.info("discovery out of reach", extra={"error": str(error)})
                heard = False
                self.failed(discovery, isinstance(error, ConnectionError))
            if heard:
                self.turns.succeeded()
            else:
                self.turns.failed()
            await asyncio.sleep(self.limits.watch_retry_ms / 1000)  # a watch that ends may end again at once

    async def _fetch(self, discovery: Address, host: str) -> None:
        """Take the whole list in, whatever has been told before."""
        limits = self.limits
        call = Listing(limits)
        try:
            async with asyncio.timeout(limits.list_ms / 1000):
                await asyncio.get_running_loop().create_connection(lambda: call, *discovery)
                call.begin("/api/targets", host)
                news = await call.ended
        finally:
            call.abort()
        if news is None:
            raise (ConnectionError if call.turned_away else OSError)("no whole list")
        self.rev = 0
        self.told({**news, "all": True}, discovery)

    async def _watch(self, discovery: Address, host: str) -> bool:
        """One watch to its end; returns whether it told anything."""
        watch = Watch(self, discovery)
        try:
            async with asyncio.timeout(self.limits.watch_connect_ms / 1000):
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
        self.turned_away = False  # by a status, or by a break: else what came could not be read

    def begin(self, target: str, host: str) -> None:
        """Ask."""
        assert self.transport is not None
        self.transport.write(request("GET", target, {"Host": host}))

    def message_received(self, message: Message) -> None:
        news = None
        if message.status == 200:
            try:
                news = parse_object(bytes(message.body))
            except BadObject as error:
                log.warning("malformed list from discovery", extra={"error": str(error)})
        else:
            self.turned_away = True
        if not self.ended.done():
            # a list without its targets would count as a fleet that has left
            whole = news is not None and isinstance(news.get("targets"), list)
            self.ended.set_result(news if whole else None)

    def eof_received(self) -> bool:
        last = self.parser.close()
        if last is not None:
            self.message_received(last)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.turned_away = True
            self.ended.set_result(None)


class Watch(HttpProtocol):
    """One watch: a response that stays open and holds one object per line."""

    def __init__(self, follower: Follower, discovery: Address) -> None:
        super().__init__(follower.limits, request=False, stream=True)
        self.follower = follower
        self.discovery = discovery
        self.begun = self.heard = self.silent = False
        self.head: Message | None = None
        self.objects = ObjectLines(follower.limits.line_bytes)
        self.loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = self.loop.create_future()
        self.timer: asyncio.TimerHandle | None = None
        self._taken = 0  # bytes of the lines that were taken
        self._at_sign = 0  # bytes that had come at the last sign of life

    def begin(self, target: str, host: str) -> None:
        """Ask for the changes."""
        assert self.transport is not None
        self.transport.write(request("GET", target, {"Host": host}))
        self._alive()
        self.begun = True
        self.follower.opened(self.discovery)

    def message_received(self, message: Message) -> None:
        self.head = message
        self._alive()
        if message.status != 200:
            log.info("watch refused", extra={"status": message.status})
            self.abort()

    def fed(self) -> None:
        head = self.head
        if head is None or head.status != 200:
            return
        lines = 0
        while (end := head.body.find(b"\n")) >= 0:
            line = bytes(head.body[:end])
            del head.body[: end + 1]
            lines += 1
            self._taken += end + 1
            self._line(line)
        # guards against a watch that trickles: what ends no object is a sign of life only if it is much
        come = self._taken + len(head.body)
        if (lines and not self.objects.inside) or come - self._at_sign >= PROGRESS_BYTES:
            self._at_sign = come
            self._alive()
        # in the middle of an object not all that was to be told has been taken in
        if lines and self.heard and not self.objects.inside:
            self.follower.alive(self.discovery)
        if self.parser.ended:
            self.abort()

    def _line(self, line: bytes) -> None:
        try:
            news = self._object(line)
        except BadObject as error:
            # a gap in the changes could hide a drain: the whole list is asked for again
            log.warning("malformed line from discovery", extra={"error": str(error)})
            if self.discovery == self.follower.discovery:
                self.follower.rev = None
            self.abort()
            return
        if news is not None:
            self.heard = True
            self.follower.told(news, self.discovery)

    def _object(self, line: bytes) -> dict[str, Any] | None:
        """The object that ends with a line, if one does; BadObject for what is neither list nor change."""
        news = self.objects.take(line)
        if news is None or isinstance(news.get("targets"), list):
            return news
        if "targets" in news or news.get("all"):
            # a list without its targets would count as a fleet that has left
            raise BadObject("targets: not a list")
        return news

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.begun:
            self.follower.closed(self.discovery, self.silent, self.heard)
        if not self.ended.done():
            self.ended.set_result(None)

    def _fell_silent(self) -> None:
        self.silent = True
        self.abort()

    def _alive(self) -> None:
        """Guards against a watch that is cut off without a word: it counts as ended when silent."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(self.limits.watch_silent_ms / 1000, self._fell_silent)
