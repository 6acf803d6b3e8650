"""The operators' calls: one line each, and an answer that begins with SUCCESS or FAILURE."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from pebbledrift.core.figures import ClassCounters
from pebbledrift.core.states import State

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class NodeFigures:
    """What METRICS tells, of the whole node: counts by class, then levels of now, then counts of reloads."""

    classes: list[ClassCounters]
    current: int
    cluster_size: int
    cluster_unhealthy: int
    conf_loaded: int
    conf_invalid: int
    more: Mapping[str, str] = field(default_factory=dict)  # of nodes with several cores, as they are written


class NotObeyed(Exception):
    """A part of the node has not carried out a call and may still act against it."""


class Operated(Protocol):
    """The node as operators see it: one process, or several that answer as one."""

    @property
    def state(self) -> State:
        """What the node is doing."""

    async def pause(self, paused: bool) -> None:
        """Empty the node, or take clients again. Raises NotObeyed."""

    async def ban(self, uid: str, banned: bool) -> bool:
        """Take a worker out, or put it back; False if nobody has heard of it. Raises NotObeyed."""

    async def figures(self) -> NodeFigures:
        """The figures of the whole node."""

    def members(self) -> list[str]:
        """What the node holds of its group, a line each; empty where it is in none."""

    def verdicts(self) -> list[str]:
        """What is held of the workers together, a line each; empty where each node judges for itself."""

    async def store_call(self, words: list[str]) -> list[str]:
        """A call of the replicated log: what came of it, then lines. Raises NotObeyed where there is none."""

    def limits(self) -> list[str]:
        """Limits of the whole fleet, a line each; empty where each node limits itself alone."""

    async def for_all(self, uid: str | None, out: bool) -> str:
        """A ban on a worker, or a pause where none is named, for all nodes, or its end; who has obeyed.

        Raises NotObeyed where it cannot be told.
        """


class AdminFront:
    """Carries out the operators' calls."""

    def __init__(self, classes: tuple[str, ...], node: Operated) -> None:
        self.classes = classes
        self.node = node
        self.calls: dict[str, Callable[[], Awaitable[str]]] = {
            "STATUS": self._status,
            "METRICS": self._metrics,
            "PAUSE": lambda: self._pause(True),
            "RESUME": lambda: self._pause(False),
            "MEMBERS": lambda: self._lines(self.node.members(), "in no group"),
            "VERDICTS": lambda: self._lines(self.node.verdicts(), "each node judges for itself"),
            "LIMITS": lambda: self._lines(self.node.limits(), "each node limits itself alone"),
        }
        self.takes_away = {"SUSPEND": True, "RESTORE": False, "PAUSE": True, "RESUME": False}
        self.worker_calls: dict[str, Callable[[str], Awaitable[str]]] = {
            "SUSPEND": lambda uid: self._ban(uid, True),
            "RESTORE": lambda uid: self._ban(uid, False),
        }

    async def answer(self, line: str) -> str:
        """The answer to one call."""
        try:
            match line.split():
                case [word] if word in self.calls:
                    return await self.calls[word]()
                case [word, "--all"] if word in ("PAUSE", "RESUME"):
                    return await self._for_all(word, None)
                case [word, uid, "--all"] if word in self.worker_calls:
                    return await self._for_all(word, uid)
                case ["STORE", *words] if words:
                    return await self._store(words)
                case [word, uid] if word in self.worker_calls and uid != "--all":
                    return await self.worker_calls[word](uid)
        except NotObeyed as error:
            log.error("not obeyed", extra={"call": line, "error": str(error)})
            return f"FAILURE {error}"
        log.info("unknown call", extra={"call": line})
        return "FAILURE unknown call"

    async def _status(self) -> str:
        state = self.node.state
        return f"{'SUCCESS' if state is State.READY else 'FAILURE'} {state.value}"

    async def _pause(self, paused: bool) -> str:
        log.warning("paused" if paused else "resumed")
        await self.node.pause(paused)
        return f"SUCCESS {self.node.state.value}"

    async def _ban(self, uid: str, banned: bool) -> str:
        if not await self.node.ban(uid, banned):
            return "FAILURE unknown worker"
        log.warning("suspended" if banned else "restored", extra={"worker": uid})
        return f"SUCCESS {'out' if banned else 'in'}"

    async def _for_all(self, word: str, uid: str | None) -> str:
        """SUCCESS only where all nodes have obeyed."""
        result = await self.node.for_all(uid, self.takes_away[word])
        log.warning("word for all", extra={"call": word, "worker": uid or "-", "result": result})
        return f"{'SUCCESS' if result == 'done' else 'FAILURE'} {result}"

    async def _store(self, words: list[str]) -> str:
        result, *lines = await self.node.store_call(words)
        if words[0] in ("SET", "REMOVE", "LOAD", "ADD", "DROP", "BACKUP"):
            log.warning("store", extra={"call": " ".join(words)[:200], "result": result})
        return "\n".join([f"{'SUCCESS' if result == 'done' else 'FAILURE'} {result}", *lines, "EOT"])

    async def _lines(self, lines: list[str], without: str) -> str:
        return "\n".join([f"SUCCESS {lines[0]}", *lines[1:], "EOT"]) if lines else f"FAILURE {without}"

    async def _metrics(self) -> str:
        figures = await self.node.figures()
        lines = []
        for name, counted in zip(self.classes, figures.classes, strict=True):
            under = f"svc.transactions.{name}"
            lines.append(f"{under}.answered:{counted.served}|c")
            lines.append(f"{under}.deferred:{counted.refused}|c")
            lines.append(f"{under}.errored:{counted.failed}|c")
            lines.append(f"{under}.sends:{counted.sends}|c")
        lines.append(f"svc.current:{figures.current}|g")
        lines.append(f"svc.cluster_size:{figures.cluster_size}|g")
        lines.append(f"svc.cluster_unhealthy:{figures.cluster_unhealthy}|g")
        lines.append(f"svc.conf_loaded:{figures.conf_loaded}|c")
        lines.append(f"svc.conf_invalid:{figures.conf_invalid}|c")
        lines += [f"svc.{name}:{value}" for name, value in figures.more.items()]
        return "\n".join([*lines, "EOT"])
