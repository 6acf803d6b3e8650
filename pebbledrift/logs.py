"""Logging: the standard module with lines of key=value."""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping

TRACE = 5  # below debug: what single requests go through, for bench.trace
TRACE_MOST = 5000  # such lines a second; beyond it they are counted
logging.addLevelName(TRACE, "TRACE")
tracing = logging.getLogger("pebbledrift.trace")

LEVELS = ("trace", "debug", "info", "warning", "error", "critical")

_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


def _value(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    text = text.encode("ascii", "backslashreplace").decode()
    if not text or any(c in text for c in ' "=\n\r\t'):
        text = text.replace("\\", "\\\\").replace('"', '\\"')
        return '"' + text.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'
    return text


class KeyValueFormatter(logging.Formatter):
    """One line a record: time, level, logger, event, then what `extra` gave."""

    def __init__(self, always: Mapping[str, object] | None = None) -> None:
        super().__init__()
        self.always = dict(always or {})  # stands in each line

    def format(self, record: logging.LogRecord) -> str:
        pairs: dict[str, object] = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "logger": record.name,
            **self.always,
            "event": record.getMessage(),
        }
        pairs.update((k, v) for k, v in vars(record).items() if k not in _STANDARD)
        if record.exc_info:
            pairs["error"] = self.formatException(record.exc_info)
        return " ".join(f"{k}={_value(v)}" for k, v in pairs.items())


class FloodFilter(logging.Filter):
    """Guards the CPU and the log against records that come by the hundred, as bad clients cause them.

    Of one event only so many a second are passed; the next one that is tells how many were not.
    """

    MOST = 10

    def __init__(self) -> None:
        super().__init__()
        self.second = 0
        self.seen: dict[tuple[str, str], int] = {}
        self.suppressed: dict[tuple[str, str], int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            self.second = int(record.created)
            self.seen.clear()
        traced = record.levelno == TRACE
        event = record.name, "" if traced else str(record.msg)
        self.seen[event] = self.seen.get(event, 0) + 1
        if self.seen[event] > (TRACE_MOST if traced else self.MOST):
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
            return False
        if event in self.suppressed:
            record.suppressed = self.suppressed.pop(event)
        return True


def traced() -> bool:
    """Whether lines of the trace are written: asked before anything is worked out for one."""
    return tracing.isEnabledFor(TRACE)


def trace(event: str, **fields: object) -> None:
    """One line of the trace."""
    tracing.log(TRACE, event, extra=fields)


def setup(level: str, **always: object) -> None:
    """Send all records to standard error, each with what `always` stands for."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter(always))
    handler.addFilter(FloodFilter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
