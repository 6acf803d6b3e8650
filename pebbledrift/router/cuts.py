"""Counting and logging of cut answers.

An answer is cut if its head was sent to the client and the response ended before it was complete.
"""

from __future__ import annotations

import asyncio
import logging
from enum import Enum
from typing import Any

log = logging.getLogger(__name__)


class CutCause(Enum):
    """Why a response that had begun ended before it was complete."""

    TIME_LIMIT = "time_limit"  # the request's deadline was reached
    RETRY_BUDGET = "retry_budget"  # the attempt broke, and the retry budget allowed no other
    NO_ATTEMPT = "no_attempt"  # the attempt broke, and the placement allowed no other
    NOT_REPEATABLE = "not_repeatable"  # the attempt broke, and the request must not run twice
    CLIENT = "client"  # the client's connection ended, or reading from it failed
    SHUTDOWN = "shutdown"  # the router process exits


class CutCounts:
    """Counts cut answers by cause, and exceptions in callbacks of the event loop."""

    def __init__(self) -> None:
        self.by_cause: dict[CutCause, int] = dict.fromkeys(CutCause, 0)
        self.callback_errors = 0

    def record(self, cause: CutCause, **state: object) -> None:
        """Counts a cut answer, and logs the state of its request."""
        self.by_cause[cause] += 1
        log.warning("answer cut", extra={"cause": cause.value, **state})

    def count_loop_errors(self, loop: asyncio.AbstractEventLoop) -> None:
        """Counts exceptions in callbacks of the event loop; each is still logged with its traceback."""
        loop.set_exception_handler(self._handle_loop_error)

    def _handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.callback_errors += 1
        loop.default_exception_handler(context)
