"""The operators' front: a call on a line, an answer that begins with SUCCESS or FAILURE."""

from __future__ import annotations

import logging
from collections.abc import Callable

from pebbledrift.config import Config
from pebbledrift.core.engine import Engine
from pebbledrift.core.states import NodeStates, State
from pebbledrift.net.link import Fields
from pebbledrift.pool import PoolConfig

log = logging.getLogger(__name__)


class AdminFront:
    """Carries out the operators' calls."""

    def __init__(
        self,
        config: Config,
        engine: Engine,
        pool: PoolConfig,
        states: NodeStates,
        tell: Callable[[Fields], None],
    ) -> None:
        self.config = config
        self.engine = engine
        self.pool = pool
        self.states = states
        self.tell = tell  # the other process, while there are two
        self.calls: dict[str, Callable[[], str]] = {
            "STATUS": self._status,
            "METRICS": self._metrics,
            "PAUSE": lambda: self._pause(True),
            "RESUME": lambda: self._pause(False),
        }
        self.worker_calls: dict[str, Callable[[str], str]] = {
            "SUSPEND": lambda uid: self._ban(uid, True),
            "RESTORE": lambda uid: self._ban(uid, False),
        }

    def answer(self, line: str) -> str:
        """The answer to one call."""
        match line.split():
            case [word] if word in self.calls:
                return self.calls[word]()
            case [word, uid] if word in self.worker_calls:
                return self.worker_calls[word](uid)
        log.info("unknown call", extra={"call": line})
        return "FAILURE unknown call"

    def _status(self) -> str:
        state = self.states.state
        return f"{'SUCCESS' if state is State.READY else 'FAILURE'} {state.value}"

    def _pause(self, paused: bool) -> str:
        log.warning("paused" if paused else "resumed")
        self.states.pause(paused)
        self.tell({"kind": "pause", "paused": paused})
        return f"SUCCESS {self.states.state.value}"

    def _ban(self, uid: str, banned: bool) -> str:
        if not self.pool.ban(uid, banned):
            return "FAILURE unknown worker"
        self.tell({"kind": "ban", "uid": uid, "banned": banned})
        log.warning("suspended" if banned else "restored", extra={"worker": uid})
        return f"SUCCESS {'out' if banned else 'in'}"

    def _metrics(self) -> str:
        figures = self.engine.figures
        lines = []
        for name, counted in zip(self.config.classes, figures.classes, strict=True):
            under = f"svc.transactions.{name}"
            lines.append(f"{under}.answered:{counted.served}|c")
            lines.append(f"{under}.deferred:{counted.refused}|c")
            lines.append(f"{under}.errored:{counted.failed}|c")
            lines.append(f"{under}.sends:{counted.sends}|c")
        listed = self.pool.listed()
        lines.append(f"svc.current:{figures.current}|g")
        lines.append(f"svc.cluster_size:{len(listed)}|g")
        lines.append(f"svc.cluster_unhealthy:{len(listed & (self.engine.avoided() | self.pool.banned))}|g")
        lines.append(f"svc.conf_loaded:{figures.conf_loaded}|c")
        lines.append(f"svc.conf_invalid:{figures.conf_invalid}|c")
        return "\n".join([*lines, "EOT"])
