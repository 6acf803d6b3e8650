"""The operators' front: a call on a line, an answer that begins with SUCCESS or FAILURE."""

from __future__ import annotations

import logging
from collections.abc import Callable

from pebbledrift.config import Config
from pebbledrift.core.engine import Engine
from pebbledrift.core.states import NodeStates, State
from pebbledrift.pool import PoolConfig

log = logging.getLogger(__name__)


class AdminFront:
    """Carries out the operators' calls."""

    def __init__(self, config: Config, engine: Engine, pool: PoolConfig, states: NodeStates) -> None:
        self.config = config
        self.engine = engine
        self.pool = pool
        self.states = states
        self.calls: dict[str, Callable[[], str]] = {
            "STATUS": self._status,
            "METRICS": self._metrics,
            "PAUSE": lambda: self._pause(True),
            "RESUME": lambda: self._pause(False),
        }

    def answer(self, line: str) -> str:
        """The answer to one call."""
        words = line.split()
        call = self.calls.get(words[0]) if len(words) == 1 else None
        if call is None:
            log.info("unknown call", extra={"call": line})
            return "FAILURE unknown call"
        return call()

    def _status(self) -> str:
        state = self.states.state
        return f"{'SUCCESS' if state is State.READY else 'FAILURE'} {state.value}"

    def _pause(self, paused: bool) -> str:
        log.warning("paused" if paused else "resumed")
        self.states.pause(paused)
        return f"SUCCESS {self.states.state.value}"

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
        lines.append(f"svc.cluster_unhealthy:{len(listed & self.engine.avoided())}|g")
        lines.append(f"svc.conf_loaded:{figures.conf_loaded}|c")
        lines.append(f"svc.conf_invalid:{figures.conf_invalid}|c")
        return "\n".join([*lines, "EOT"])
