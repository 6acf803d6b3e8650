"""Answers that end before they are whole: why, and in which state of the request; logged and counted."""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from typing import Any

log = logging.getLogger(__name__)


class CutCause(Enum):
    """Why an answer that had begun ended before it was whole."""

    TIME_LIMIT = "time_limit"  # the request's time was over
    RETRY_BUDGET = "retry_budget"  # the worker's answer broke, and the budget allowed no other attempt
    NO_ATTEMPT = "no_attempt"  # the worker's answer broke, and the decisions allowed no other attempt
    NOT_REPEATABLE = "not_repeatable"  # the worker's answer broke, and the request may run once only
    CLIENT = "client"  # the client's connection ended, or could not be read on
    SHUTDOWN = "shutdown"  # the process ends


class CutCounts:
    """How often answers were cut, by cause, and how often a callback failed."""

    def __init__(self) -> None:
        self.by_cause: dict[CutCause, int] = dict.fromkeys(CutCause, 0)
        self.callback_errors = 0

    def note(self, cause: CutCause, **state: object) -> None:
        """Count one answer that was cut, and log the state of its request."""
        self.by_cause[cause] += 1
        log.warning("answer cut", extra={"cause": cause.value, **state})

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        """Count exceptions in callbacks of the loop; each is logged with its traceback."""
        loop.set_exception_handler(self._failed)

    def _failed(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.callback_errors += 1
        loop.default_exception_handler(context)
