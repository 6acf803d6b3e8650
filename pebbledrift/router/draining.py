"""The shutdown of a router after SIGTERM: every request that was read gets its final response.

Requests can wait in a router for quota, for a worker, for a connection to it, for a retry, or behind an
earlier request of their connection; responses can wait for a client that reads slowly. By the moments of
`DrainSchedule`:

- from SIGTERM on, a request that no worker has received is refused (503) once it would probably not finish
  before `answer_at`, and in any case after `refuse_after`: its client can still send it to another router;
- at `answer_at` the others get their final responses: the failure of an attempt or 502, or 503 for those that
  are read behind them. A response that has begun ends incomplete;
- until `close_at` responses are still flushed to clients.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from pebbledrift.net.request_connection import RequestConnection
from pebbledrift.router import request
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.progress import OpenRequest
from spoolpier.records import record

log = logging.getLogger(__name__)

POLL_S = 0.05
IDLE_S = 0.25  # a connection without a request is closed after this time
MAX_ACCEPT_S = 2.5  # by then the platform has seen twice that the router is not ready
MIN_DRAIN_S = 0.5  # with a shorter grace period the process may be killed before it has answered
ANSWER_BEFORE_GRACE_END_S = 0.7
CLOSE_BEFORE_GRACE_END_S = 0.3  # the rest is for the end of the process


@record
class DrainSchedule:
    """The moments of a shutdown, in seconds of the event loop's clock."""

    refuse_after: float
    answer_at: float
    close_at: float

    @staticmethod
    def starting(now: float, grace_s: float) -> DrainSchedule:
        """The schedule of a shutdown that starts now; the process may be killed after `grace_s` seconds."""
        answer_s = max(MIN_DRAIN_S, grace_s - ANSWER_BEFORE_GRACE_END_S)
        return DrainSchedule(
            refuse_after=now + min(MAX_ACCEPT_S, grace_s / 3),
            answer_at=now + answer_s,
            close_at=now + max(answer_s, grace_s - CLOSE_BEFORE_GRACE_END_S),
        )

    def may_start(self, now: float, expected_s: float, deadline: float) -> bool:
        """Whether a request that has not run may be sent to a worker.

        `expected_s` is the time that it will probably take, and `deadline` the loop time at which its client
        stops to wait. One that is open at `answer_at` fails, and its client cannot tell how much of it ran.
        """
        return now <= self.refuse_after and min(now + expected_s, deadline) <= self.answer_at


class Drain:
    """Ends the requests and connections of clients by a schedule.

    `may_start` says whether a request that has not run may still be sent to a worker.
    """

    def __init__(
        self,
        clients: set[RequestConnection],
        schedule: DrainSchedule,
        may_start: Callable[[Admitted], bool],
    ) -> None:
        self._clients, self._schedule, self._may_start = clients, schedule, may_start
        self._loop = asyncio.get_running_loop()

    async def answer_requests(self) -> None:
        """Wait until all requests are answered, and refuse those that must not start; until `answer_at`."""
        while (now := self._loop.time()) < self._schedule.answer_at:
            self._close_idle(now)
            self._refuse_waiting()
            if now > self._schedule.refuse_after and not self._clients:
                return
            await asyncio.sleep(POLL_S)

    async def end_requests(self) -> None:
        """Give all requests their final responses, flush them until `close_at`, and close all connections."""
        while self._clients and (now := self._loop.time()) < self._schedule.close_at:
            self._end_open()  # again each time: pipelined requests start behind the one that was answered
            self._close_idle(now)
            await asyncio.sleep(POLL_S)
        for client in list(self._clients):
            if client.unsent_bytes:
                log.warning("response not read before exit", extra={"bytes": client.unsent_bytes})
            client.abort()

    def _close_idle(self, now: float) -> None:
        for client in list(self._clients):
            flushing = client.ending and client.unsent_bytes > 0
            if client.alive and client.idle and not flushing and now - client.state_since > IDLE_S:
                client.close()

    def _refuse_waiting(self) -> None:
        for client in list(self._clients):
            owner = client.owner
            if (
                isinstance(owner, OpenRequest)
                and owner.progress.has_not_run
                and not self._may_start(owner.admitted)
            ):
                owner.end_for_shutdown()

    def _end_open(self) -> None:
        for client in list(self._clients):
            owner = client.owner
            if isinstance(owner, OpenRequest):
                _log_open_request(owner)
                owner.end_for_shutdown()
            elif client.receiving:
                client.reject_incomplete_request(503, "the router is shutting down")


def _log_open_request(owner: OpenRequest) -> None:
    log.warning(
        "request open at exit",
        extra={
            "request": owner.admitted.message.headers.get(request.REQUEST_ID, ""),
            "progress": owner.progress.value,
        },
    )
