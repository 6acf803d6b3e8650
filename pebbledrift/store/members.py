"""The store's members as a service of the node: the log gets a clock, a disk and ways to the others.

The logic is in raft.py and agreed.py. Calls of operators at a member that does not lead go to the one that
does.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import logging
import secrets
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from pebbledrift.config import Address, ConfigError, StoreConfig, address
from pebbledrift.core.clock import Clock
from pebbledrift.net.frames import FrameLink, FrameServer
from pebbledrift.store import backup
from pebbledrift.store.agreed import Agreed, checked
from pebbledrift.store.disk import Disk
from pebbledrift.store.ledger import AGAIN, Ledger
from pebbledrift.store.lives import TAG_MOST, Life, Lives
from pebbledrift.store.raft import (
    Append,
    Appended,
    AskVote,
    Busy,
    Entry,
    Install,
    Kind,
    Message,
    NotLeader,
    Raft,
    Role,
    Sends,
    Snapshot,
    Vote,
)

log = logging.getLogger(__name__)

TICK_MS = 20.0
ANSWER_MS = 850.0  # an operator's answer comes within a second
LOADED_AT_ONCE = 32  # keys of a backup that are written together
LEADER_MS = 600.0  # of these, until there is a leader to ask
AGAIN_MS = 50.0
GATHER_MS = 1.0
Waiting = asyncio.Future[dict[str, Any]]  # for what became of an entry
COPY = "its file is an earlier copy, or another process has this name"
KINDS: dict[str, type] = {k.__name__: k for k in (Append, Appended, AskVote, Install, Vote)}


def pack(message: Message) -> dict[str, Any]:
    """A message of the log as plain data."""
    fields = {name: getattr(message, name) for name in message.__slots__}
    if isinstance(message, Append):
        found = message.entries
        fields["entries"] = [[e.term, int(e.kind), base64.b64encode(e.data).decode()] for e in found]
    if isinstance(message, Install):
        s = message.snapshot
        fields["snapshot"] = [s.index, s.term, list(s.members), base64.b64encode(s.data).decode()]
    return {"kind": type(message).__name__, **fields}


def unpack(told: dict[str, Any]) -> Message:
    """The message in plain data; ValueError, KeyError or TypeError where there is none."""
    fields = {key: value for key, value in told.items() if key != "kind"}
    kind = KINDS[told["kind"]]
    if kind is Append:
        entries = ((int(t), Kind(k), base64.b64decode(d)) for t, k, d in fields["entries"])
        fields["entries"] = tuple(Entry(*entry) for entry in entries)
    if kind is Install:
        index, term, members, data = fields["snapshot"]
        names = tuple(str(name) for name in members)
        fields["snapshot"] = Snapshot(int(index), int(term), names, base64.b64decode(data))
    for key, value in fields.items():
        if key not in ("entries", "snapshot") and not isinstance(value, int):
            raise ValueError(f"{key}: not a number")
    message: Message = kind(**fields)
    return message


def _life(told: Any) -> Life:
    """A life in plain data; ValueError or TypeError where there is none."""
    number, tag = told
    if not isinstance(number, int) or not isinstance(tag, int) or number < 1 or not 0 <= tag < TAG_MOST:
        raise ValueError(f"not a life: {told!r}")
    return Life(number, tag)


class StoreMembers:
    """One member of the replicated log."""

    def __init__(
        self, config: StoreConfig, name: str, key: bytes, clock: Clock, disk: Disk, seed: int
    ) -> None:
        self.config, self.name, self.clock, self.disk = config, name, clock, disk
        self.agreed = Agreed()
        self.loop = asyncio.get_running_loop()
        self.raft = Raft(
            name,
            () if config.join else config.members,
            Ledger(disk),
            self.agreed.apply,
            self.agreed.take,
            self.agreed.give,
            clock.now_ms(),
            seed,
            config.election_ms,
        )
        self.raft.decided = self._decided
        number = int(disk.load_state("log.life") or 0) + 1
        disk.save_state("log.life", number)
        self.life = Life(number, secrets.randbelow(TAG_MOST - 1) + 1)
        # others know of a later life of this name, or of a second one
        self.over = disk.load_state("log.over") is not None
        if self.over:
            log.error("store member out of the log", extra={"reason": COPY, "way_out": AGAIN})
        kept = disk.load_state("log.lives") or {}
        self.lives = Lives(
            {peer: Life(*life) for peer, life in kept.items()},
            lambda known: disk.save_state("log.lives", {n: [v.number, v.tag] for n, v in known.items()}),
        )
        self._acked: dict[str, Life] = {}  # in which life a member last said that its log is the same
        self.key = key
        self.links: dict[str, FrameLink] = {}
        self._link_up()
        self.agreed.placed = self._link_up
        self.server = FrameServer(key, name, lambda: set(self._places()), self._frame)
        self._waiting: dict[int, tuple[int, Waiting]] = {}  # by index: term, and who waits
        self._next: list[tuple[bytes, Waiting]] = []  # commands for the next write
        self._asked: dict[int, asyncio.Future[dict[str, Any]]] = {}  # calls at the leader
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._told = ("", -1)

    def _places(self) -> dict[str, Address]:
        """Where members are found: by the configuration, and those that were added since by the log."""
        added = {name: address(where, "place") for name, where in self.agreed.places.items()}
        return {**added, **self.config.members}

    def _link_up(self) -> None:
        wanted = {peer: where for peer, where in self._places().items() if peer != self.name}
        for peer, link in list(self.links.items()):
            if wanted.get(peer) != link.address:
                link.close()
                del self.links[peer]
        for peer, where in wanted.items():
            if peer not in self.links:
                self.links[peer] = FrameLink(self.key, self.name, peer, where)

    async def start(self) -> None:
        """Begin to listen and to speak."""
        found = await self.server.listen(self.config.listen)
        told = {"address": "{}:{}".format(*found), "members": len(self.config.members)}
        log.info("storing", extra=told)
        self._tick()

    def close(self) -> None:
        """End."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        for link in self.links.values():
            link.close()
        self.server.close()

    def _tick(self) -> None:
        self._timer = self.loop.call_later(TICK_MS / 1000, self._tick)
        if not self.over:
            self._do(lambda: self.raft.tick(self.clock.now_ms()))
        told = (self.raft.leader, self.raft.storage.term)
        if told != self._told:
            self._told = told
            log.info("store leader", extra={"leader": told[0] or "-", "term": told[1]})

    def _do(self, what: Callable[[], Sends]) -> None:
        """A step of the log; what cannot be kept is not promised."""
        try:
            self._send(what())
        except OSError as error:
            log.error("store log not written", extra={"error": str(error)})

    def _send(self, sends: Sends) -> None:
        for peer, message in sends:
            known = {name: [life.number, life.tag] for name, life in self.lives.known.items() if name != peer}
            told = {"log": pack(message), "life": [self.life.number, self.life.tag], "lives": known}
            self._tell(peer, told)

    def _tell(self, peer: str, told: dict[str, Any]) -> None:
        link = self.links.get(peer)
        if link is not None:
            link.send(json.dumps(told, separators=(",", ":")).encode())

    def _frame(self, sender: str, body: bytes) -> None:
        try:
            told = json.loads(body)
            if "log" in told:
                message, life = unpack(told["log"]), _life(told["life"])
                lives = [(str(name), _life(each)) for name, each in dict(told["lives"]).items()]
                self._do(lambda: self._received(sender, life, lives, message))
            elif "over" in told:
                self._is_over(sender, _life(told["over"]))
            elif "ask" in told:
                self._spawn(self._answer(sender, int(told["ask"]), dict(told["call"])))
            elif "answer" in told:
                waiting = self._asked.pop(int(told["answer"]), None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(dict(told["result"]))
        except (ValueError, KeyError, TypeError) as error:
            log.warning("frame passed over", extra={"sender": sender, "error": str(error)})

    def _received(self, sender: str, life: Life, lives: list[tuple[str, Life]], message: Message) -> Sends:
        """A message of the log, where its sender's life counts."""
        if self.over:
            return []
        self.lives.heard((name, each) for name, each in lives if name != self.name and name in self._places())
        if (
            isinstance(message, Appended)
            and not message.ok
            and self._acked.get(sender, life) != life
            and message.term == self.raft.storage.term
            and message.index < self.raft.promised(sender)
        ):
            # guards against a copy of the same start: what its life before said to have is gone
            self.lives.heard([(sender, life)])
            self.lives.end(sender, life)
        if self.lives.counts(sender, life):
            if isinstance(message, Appended) and message.ok:
                self._acked[sender] = life
            return self.raft.received(self.clock.now_ms(), sender, message)
        known = self.lives.known[sender]
        told = {"member": sender, "life": life.number, "known": known.number}
        log.error("store member not heard", extra=told)
        self._tell(sender, {"over": [life.number, life.tag]})
        return []

    def _is_over(self, sender: str, life: Life) -> None:
        """Another member has told that this one's life does not count."""
        if life != self.life or self.over:
            return
        self.over = True
        log.error("store member out of the log", extra={"by": sender, "reason": COPY, "way_out": AGAIN})
        try:
            self.disk.save_state("log.over", life.number)
        except OSError as error:
            log.error("store log not written", extra={"error": str(error)})

    def _spawn(self, what: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _decided(self, index: int, term: int) -> None:
        written, waiting = self._waiting.pop(index, (0, None))
        if waiting is not None and not waiting.done():
            # another entry in its place: this one will never be committed anywhere
            result = self.agreed.results.get(index, "done") if written == term else "not done: outvoted"
            waiting.set_result({"result": result, "version": index})

    # -- calls

    async def call(self, call: dict[str, Any]) -> dict[str, Any]:
        """One call, carried out here or at the leader. `result`: done; not done: why; or unknown: why."""
        end = self.clock.now_ms() + ANSWER_MS
        while True:
            if self.over:
                return {"result": f"not done: this member is out of the log: {COPY}"}
            leader = self.raft.leader
            if leader == self.name:
                return await self._lead(call, end)
            if leader in self.links and self.links[leader].up:
                return await self._ask(leader, call, end)
            if self.clock.now_ms() > end - ANSWER_MS + LEADER_MS:
                return {"result": "not done: no majority of the store's members answers"}
            await asyncio.sleep(AGAIN_MS / 1000)

    async def _ask(self, leader: str, call: dict[str, Any], end: float) -> dict[str, Any]:
        number = next(self._numbers)
        waiting = self._asked[number] = self.loop.create_future()
        self._tell(leader, {"ask": number, "call": call, "ms": end - self.clock.now_ms()})
        try:
            return await asyncio.wait_for(waiting, max(0.0, end - self.clock.now_ms()) / 1000)
        except TimeoutError:
            return {"result": f"unknown: {leader}, who leads, did not answer"}
        finally:
            self._asked.pop(number, None)

    async def _answer(self, sender: str, number: int, call: dict[str, Any]) -> None:
        result = await self._lead(call, self.clock.now_ms() + ANSWER_MS - 100.0)
        self._tell(sender, {"answer": number, "result": result})

    async def _lead(self, call: dict[str, Any], end: float) -> dict[str, Any]:
        waiting: asyncio.Future[dict[str, Any]] = self.loop.create_future()
        try:
            if call.get("read"):
                return await self._read(call, end)
            if "members" in call:
                names = set(self.raft.members) ^ {str(call["members"])}
                self._put([waiting], lambda: self.raft.change(self.clock.now_ms(), names))
            else:
                data = checked({**call, "at": self.clock.now_ms()})
                if not self._next:  # with all that come at about this time: a sync has its price
                    self.loop.call_later(GATHER_MS / 1000, self._write)
                self._next.append((data, waiting))
        except (NotLeader, Busy, ValueError) as error:
            return {"result": f"not done: {error}"}
        try:
            return await asyncio.wait_for(waiting, max(0.0, end - self.clock.now_ms()) / 1000)
        except TimeoutError:
            # it is in this member's log, and may be committed yet
            return {"result": "unknown: no majority of the store's members has answered"}

    def _write(self) -> None:
        given, self._next = self._next, []
        self._put(
            [waiting for _, waiting in given],
            lambda: self.raft.propose(self.clock.now_ms(), *(data for data, _ in given)),
        )

    def _put(self, given: list[Waiting], what: Callable[[], tuple[int, int, Sends]]) -> None:
        """Have entries written; whoever waits is told what became of them, at once where nothing was done."""
        first, term = self.raft.last + 1, self.raft.storage.term
        for index in [i for i, (_, waiting) in self._waiting.items() if waiting.done()]:
            del self._waiting[index]  # gave up waiting
        places = dict(enumerate(given, first))
        # before they are written: a member alone commits them in the same step
        self._waiting.update({index: (term, waiting) for index, waiting in places.items()})
        try:
            self._send(what()[2])
        except (NotLeader, Busy, ValueError, OSError) as error:
            for index, waiting in places.items():
                self._waiting.pop(index, None)
                if not waiting.done():
                    waiting.set_result({"result": f"not done: {error}"})

    async def _read(self, call: dict[str, Any], end: float) -> dict[str, Any]:
        waiting: asyncio.Future[bool] = self.loop.create_future()

        def done(sure: bool) -> None:
            if not waiting.done():
                waiting.set_result(sure)

        self._send(self.raft.read(self.clock.now_ms(), done))
        try:
            sure = await asyncio.wait_for(waiting, max(0.0, end - self.clock.now_ms()) / 1000)
        except TimeoutError:
            sure = False
        if not sure:
            return {"result": "not done: no majority of the store's members answers"}
        if call["read"] == "keys":
            return {"result": "done", "keys": {k: v.version for k, v in sorted(self.agreed.values.items())}}
        if call["read"] == "index":
            return {"result": "done", "index": self.raft.applied}
        value = self.agreed.values.get(str(call.get("key")))
        if value is None:
            return {"result": f"not done: no such key: {call.get('key')}"}
        return {"result": "done", "value": value.value, "version": value.version, "by": value.by}

    # -- for operators

    async def operate(self, words: list[str]) -> list[str]:
        """STORE and what follows; the lines of the answer, the first with what came of it."""
        match words:
            case ["GET", key]:
                found, lines = await self.call({"read": "value", "key": key}), []
                if found["result"] == "done":
                    lines = [json.dumps(found["value"]), f"version {found['version']} by {found['by']}"]
            case ["KEYS"]:
                found = await self.call({"read": "keys"})
                lines = [f"{key} version {version}" for key, version in found.get("keys", {}).items()]
            case ["SET", key, *rest] if rest:
                wanted = None
                if len(rest) > 1 and rest[-1].startswith("if="):
                    version = rest.pop()[3:]
                    if not version.isascii() or not version.isdigit():
                        return [f"not done: if= takes a version, not {version!r}"]
                    wanted = int(version)
                try:
                    value = json.loads(" ".join(rest))
                except ValueError:
                    value = " ".join(rest)
                found = await self.call({"key": key, "value": value, "if": wanted, "by": self.name})
                lines = [f"version {found['version']}"] if found["result"] == "done" else []
            case ["REMOVE", key]:
                found = await self.call({"key": key, "remove": True, "by": self.name})
                lines = []
            case ["ADD", name, where]:
                found, lines = await self._add(name, where), []
            case ["DROP", name]:
                found, lines = await self._drop(name), []
            case ["BACKUP" | "DIFF" | "LOAD" as word, name]:
                what = {"BACKUP": self._backup, "DIFF": self._diff, "LOAD": self._load}[word]
                try:
                    path = backup.place(self.disk.path, name)
                    result = await self._caught_up()
                    return await what(path) if result == "done" else [result]
                except backup.BackupError as error:
                    return [f"not done: {error}"]
            case ["MEMBERS"]:
                found, lines = {"result": "done"}, self.lines()
            case ["HISTORY"]:
                found = {"result": "done"}
                lines = [f"{i} {what} {key} by {by or '-'}" for i, what, key, by, _ in self.agreed.history]
            case _:
                found, lines = {"result": "not done: unknown call"}, []
        return [str(found["result"]), *lines]

    async def _caught_up(self) -> str:
        """Wait until this member has carried out all that was done before the call."""
        found = await self.call({"read": "index"})
        end = self.clock.now_ms() + ANSWER_MS
        while found["result"] == "done" and self.raft.applied < int(found["index"]):
            if self.clock.now_ms() > end:
                return "not done: this member is behind the others"
            await asyncio.sleep(TICK_MS / 1000)
        return str(found["result"])

    async def _backup(self, path: Path) -> list[str]:
        """What is agreed on now, in a file beside this member's store."""
        index, count, state = self.raft.applied, len(self.agreed.values), self.agreed.take()
        size = await asyncio.to_thread(backup.write, path, index, state)
        return ["done", f"{path.name} index {index} keys {count} bytes {size}"]

    async def _diff(self, path: Path) -> list[str]:
        """What differs now from a backup."""
        index, then = await asyncio.to_thread(backup.read, path)
        found = backup.differences(then, self.agreed)
        return ["done", f"since index {index}: {len(found)} keys", *(d.line() for d in found)]

    async def _load(self, path: Path) -> list[str]:
        """Write what a backup has and is another now; keys that came since then stay."""
        _, then = await asyncio.to_thread(backup.read, path)
        found = backup.differences(then, self.agreed)
        wanted = [d for d in found if d.then is not None]
        told: dict[str, str] = {}
        for at in range(0, len(wanted), LOADED_AT_ONCE):
            some = wanted[at : at + LOADED_AT_ONCE]
            # guards a write that came meanwhile: only over the version that was compared
            results = await asyncio.gather(
                *(
                    self.call(
                        {
                            "key": d.key,
                            "value": d.then.value if d.then is not None else None,
                            "if": d.now.version if d.now is not None else 0,
                            "by": self.name,
                        }
                    )
                    for d in some
                )
            )
            told |= {d.key: str(r["result"]) for d, r in zip(some, results, strict=True)}
            if any(r["result"] != "done" for r in results):
                break
        done = sum(result == "done" for result in told.values())
        lines = [f"written {done} of {len(wanted)}, {len(found) - len(wanted)} came since and stay"]
        lines += [f"{key}: {result}" for key, result in told.items() if result != "done"]
        return ["done" if done == len(wanted) else "not done: not all of it was written", *lines]

    async def _add(self, name: str, where: str) -> dict[str, Any]:
        """First where it is found, by all, then that it counts for a majority."""
        try:
            address(where, "place")
        except ConfigError as error:
            return {"result": f"not done: {error}"}
        if name in self.raft.members:
            return {"result": f"not done: {name} is a member"}
        found = await self.call({"place": [name, where], "by": self.name})
        return await self.call({"members": name}) if found["result"] == "done" else found

    async def _drop(self, name: str) -> dict[str, Any]:
        if name not in self.raft.members:
            return {"result": f"not done: {name} is no member"}
        found = await self.call({"members": name})
        if found["result"] == "done" and name in self.agreed.places:
            found = await self.call({"place": [name, ""], "by": self.name})
        return found

    def lines(self) -> list[str]:
        """Who the members are, as this one knows it."""
        raft = self.raft
        role = "out" if self.over else Role(raft.role).name.lower()
        found = [
            f"self {self.name} {role} term={raft.storage.term} leader={raft.leader or '-'}"
            f" committed={raft.commit} last={raft.last} snapshot={raft.storage.snapshot.index}"
        ]
        for name in raft.members:
            if name != self.name:
                link = self.links.get(name)
                found.append(f"member {name} {'up' if link is not None and link.up else 'down'}")
        return found
