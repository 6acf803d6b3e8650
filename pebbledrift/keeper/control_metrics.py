"""Counts the calls of the control interface, and logs each one that ended without a clear answer."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from pebbledrift.chain.requests import UnconfirmedCall, UnconfirmedCause

log = logging.getLogger(__name__)

READ, ORDER = "read", "order"


class ControlMetrics:
    """Counters of one keeper's control interface since its process started."""

    def __init__(self) -> None:
        self.unconfirmed: Counter[tuple[str, UnconfirmedCause]] = Counter()  # by kind of call
        self.answers: Counter[tuple[str, int]] = Counter()  # by kind of call and HTTP status
        self._connection_count: Callable[[], int] = int
        self._open_call_count: Callable[[], int] = int

    def watch(self, connection_count: Callable[[], int], open_call_count: Callable[[], int]) -> None:
        """Sets the functions that return the numbers of open connections and of calls in progress."""
        self._connection_count, self._open_call_count = connection_count, open_call_count

    def record_answer(self, call: str, status: int) -> None:
        """Counts an answer by kind of call and HTTP status."""
        self.answers[call, status] += 1

    def record_unconfirmed(self, call: UnconfirmedCall) -> None:
        """Counts and logs a read or an order that ended without a clear answer."""
        kind = READ if call.is_read else ORDER
        self.unconfirmed[kind, call.cause] += 1
        log.warning(
            "call not confirmed",
            extra={
                "call": kind,
                "cause": call.cause.value,
                "waited_s": call.waited_s,
                "epoch": call.epoch,
                "head": call.head,
                "committed": call.committed,
                "needed": call.needed,
            },
        )

    def unconfirmed_counts(self) -> dict[str, dict[str, int]]:
        """Returns the counts by kind of call and cause, including those that are zero."""
        return {
            kind: {cause.value: self.unconfirmed[kind, cause] for cause in UnconfirmedCause}
            for kind in (READ, ORDER)
        }

    def status(self) -> dict[str, Any]:
        """Returns open connections, calls in progress, and the answers by kind of call and HTTP status."""
        answers: dict[str, dict[str, int]] = {}
        for (call, status), count in sorted(self.answers.items()):
            answers.setdefault(call, {})[str(status)] = count
        return {
            "connections": self._connection_count(),
            "calls": self._open_call_count(),
            "answers": answers,
        }
