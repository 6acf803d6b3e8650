"""The life of one request: admitted, placed, sent, its answer passed on; exactly one final answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import Protocol

from pebbledrift.control.registry import Instance
from pebbledrift.net.http import Message, request
from pebbledrift.router import request as heads
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.attempt import Attempt
from pebbledrift.router.client import HOP_BY_HOP, SHUTDOWN, ClientConnection
from pebbledrift.router.cuts import CutCause
from pebbledrift.router.events import EventCutter, EventTooLong
from pebbledrift.router.metrics import NO_TENANT, Histogram, Outcome, RouterMetrics
from pebbledrift.router.pools import WorkerPools
from pebbledrift.router.retries import RetryBudget
from pebbledrift.router.routes import MAX_PRIORITY
from pebbledrift.router.upstream import WorkerPool
from spoolpier.interface import OutcomeKind

log = logging.getLogger(__name__)

ANSWER_MARGIN_S = 0.02  # the final answer is on its way so long before the client gives up
LEAST_LEFT_S = 0.01  # with less time left nothing is sent to a worker any more
RETRY_AFTER_MS = 100.0  # told with a request that was not run
DROPPED = frozenset((*HOP_BY_HOP, heads.EXPECT_INSTANCE, heads.TENANT, heads.DEADLINE, "priority"))


class RouterState(Protocol):
    """What a request asks of its router at each write."""

    def may_use(self, instance: Instance) -> bool:
        """Whether the instance is still in service."""

    def mismatch(self, instance: Instance) -> None:
        """Another worker has the instance's address."""

    def routers(self) -> int:
        """How many routers there are."""

    def revision(self) -> int:
        """The version of the configuration in force."""


class RequestFlow:
    """One admitted request on its way. Nothing more happens once `_over` is set."""

    def __init__(
        self,
        admitted: Admitted,
        client: ClientConnection,
        pools: WorkerPools,
        pool: WorkerPool,
        budget: RetryBudget,
        state: RouterState,
        metrics: RouterMetrics,
    ) -> None:
        self.admitted, self.client = admitted, client
        self._metrics, self._figures = metrics, metrics.of_route(admitted.route.name)
        self._pools, self._pool, self._budget, self._state = pools, pool, budget, state
        self._placement = pools.choose(admitted.prompt_tokens)
        self._loop = asyncio.get_running_loop()
        self._attempt: Attempt | None = None
        self._over = False
        self._may_have_run = False
        self._head_sent = False
        self._cut_cause = CutCause.NO_ATTEMPT
        self._last_attempt: Attempt | None = None
        self._cutter = EventCutter()
        self._failure: tuple[int, Mapping[str, str], bytes] | None = None  # a worker's own, kept for the end
        self._since = self._loop.time()  # the request came, or was sent, or the last part was passed on
        self._timer = self._loop.call_at(admitted.deadline - ANSWER_MARGIN_S, self._out_of_time)

    def submit(self) -> None:
        """Let the module place the request."""
        self._pools.request_arrived(self._placement)
        self._budget.record_request(self._loop.time())
        left_ms = max(1.0, (self.admitted.deadline - self._loop.time()) * 1000.0)
        self._placement.submit(self.admitted.name, self, self.admitted.route, self.admitted.key, left_ms)

    # what the module decides

    def send(self, attempt: int, instance: Instance) -> None:
        """Begin an attempt at a worker."""
        if self._over:
            return
        if attempt > 0 and not self._budget.take(self._loop.time(), self._state.routers()):
            self._cut_cause = CutCause.RETRY_BUDGET
            self._report(attempt, instance, OutcomeKind.CANCELLED, 0.0, done=True)
            self._give_up()
            return
        if attempt == 0:
            self._note_time(self._figures.waits)
        self._attempt = self._last_attempt = Attempt(self, attempt, instance)
        self._attempt.begin(self._pool)

    def _note_time(self, histogram: Histogram) -> None:
        """Count the time since the last note."""
        now = self._loop.time()
        histogram.observe(now - self._since)
        self._since = now

    def cancel(self, attempt: int) -> None:
        """Give an attempt up."""
        if self._attempt is not None and self._attempt.number == attempt:
            self._attempt.cancel()

    def refuse(self, retry_after_ms: float) -> None:
        """Answer that the request was not run and may come again."""
        if self._may_have_run and not self.admitted.route.idempotent:
            self.fail()
            return
        self._finish_with(Outcome.REFUSED, 503, {"Retry-After": f"{retry_after_ms / 1000:.3f}"})

    def fail(self) -> None:
        """Answer that the request failed."""
        if self._failure is not None:
            self._finish_with(Outcome.FAILED, *self._failure)
        elif self._may_have_run:
            self._finish_with(Outcome.FAILED, 502, {})
        else:
            self.refuse(RETRY_AFTER_MS)

    def _give_up(self) -> None:
        if self._may_have_run:
            self.fail()
        else:
            self.refuse(RETRY_AFTER_MS)

    def _out_of_time(self) -> None:
        if self._over:
            return
        attempt = self._attempt
        if attempt is not None:
            self._may_have_run = self._may_have_run or attempt.written
            attempt.cancel()
        if self._head_sent:
            self._cut_cause = CutCause.TIME_LIMIT
            self._abort()
        elif self._may_have_run:
            self._finish_with(Outcome.FAILED, 504, {})
        else:
            self.refuse(RETRY_AFTER_MS)
        self._placement.client_gone(self.admitted.name)

    # the client

    def client_gone(self) -> None:
        """The client has left: its worker is told at once."""
        if self._over:
            return
        if self._head_sent:
            ours = self.client.end_reason == SHUTDOWN
            self._note_cut(CutCause.SHUTDOWN if ours else CutCause.CLIENT)
        self._end(Outcome.CLIENT_GONE)
        self._placement.client_gone(self.admitted.name)

    def client_slow(self, paused: bool) -> None:
        """The client reads slowly, or goes on: the worker's answer waits with it."""
        if self._attempt is not None:
            self._attempt.exchange.hold(paused)

    def _end(self, outcome: Outcome) -> None:
        self._over = True
        tenant = self.admitted.tenant
        self._metrics.record_outcome(self.admitted.route.name, tenant.name if tenant else NO_TENANT, outcome)
        self._timer.cancel()
        if self._attempt is not None:
            self._attempt.cancel()  # one that is still out is of no use: its worker is told at once
        self._pools.request_ended(self._placement)
        self._placement.remove(self.admitted.name)

    def _finish_with(
        self, outcome: Outcome, status: int, headers: Mapping[str, str], body: bytes = b""
    ) -> None:
        if self._over:
            return
        if self._head_sent:
            self._abort()
            return
        self._end(outcome)
        self.client.answer(status, headers, body)

    def _abort(self) -> None:
        """End visibly incomplete."""
        if not self._over:
            self._note_cut(self._cut_cause)
            self._end(Outcome.FAILED)
            self.client.owner = None
            self.client.abort()

    def _note_cut(self, cause: CutCause) -> None:
        """Leave in the log what tells why an answer that had begun is not whole."""
        admitted, attempt = self.admitted, self._last_attempt
        self._metrics.cuts.note(
            cause,
            request=admitted.message.headers.get(heads.REQUEST_ID, ""),
            route=admitted.route.name,
            timeout_ms=admitted.route.timeout_ms,
            left_s=admitted.deadline - self._loop.time(),
            silent_s=self._loop.time() - self._since,
            revision=self._state.revision(),
            attempt=-1 if attempt is None else attempt.number,
            instance="" if attempt is None else attempt.instance.id,
            attempt_end="" if attempt is None else attempt.end_reason,
            client_end=self.client.end_reason,
        )

    # the attempt's answer

    def _report(
        self, attempt: int, instance: Instance, kind: OutcomeKind, elapsed_ms: float, done: bool
    ) -> None:
        self._placement.attempt_ended(self.admitted.name, attempt, instance, kind, elapsed_ms, done)

    def may_write(self, instance: Instance) -> bool:
        """Judged right before the write: client, time and instance."""
        left = self.admitted.deadline - self._loop.time()
        return not self._over and self.client.alive and left > LEAST_LEFT_S and self._state.may_use(instance)

    def request_bytes(self, instance: Instance) -> bytes:
        """The request as the worker gets it."""
        admitted = self.admitted
        message = admitted.message
        headers = {name: value for name, value in message.headers.items() if name not in DROPPED}
        if admitted.strip_key:
            headers.pop("authorization", None)
        left_ms = max(1, int((admitted.deadline - self._loop.time()) * 1000))
        headers[heads.DEADLINE] = str(left_ms)
        headers[heads.EXPECT_INSTANCE] = instance.id
        if admitted.tenant is not None:
            headers[heads.TENANT] = admitted.tenant.name
        headers["priority"] = str(self._priority())
        if self._head_sent and self._cutter.last_id is not None:
            headers[heads.LAST_EVENT_ID] = self._cutter.last_id.decode("latin-1")
        return request(message.first, message.second, headers, bytes(message.body))

    def _priority(self) -> int:
        admitted = self.admitted
        own = admitted.tenant.priority if admitted.tenant is not None else None
        return max(0, min(MAX_PRIORITY, admitted.route.priority if own is None else own))

    def attempt_started(self, attempt: Attempt) -> None:
        """The first event or the whole answer has come."""
        self._note_time(self._figures.first)
        self._placement.attempt_started(
            self.admitted.name, attempt.number, attempt.instance, streamed=self.admitted.route.streaming
        )

    def pass_events(self, attempt: Attempt, data: bytes) -> None:
        """Pass whole events on."""
        try:
            events = self._cutter.feed(data)
        except EventTooLong:
            attempt.break_off("event too long")
            return
        if events:
            if not attempt.started:
                attempt.started = True
                self.attempt_started(attempt)
            else:
                self._note_time(self._figures.pauses)
            self._pass_head(attempt)
            self.client.chunk(events)

    def _pass_head(self, attempt: Attempt) -> None:
        if not self._head_sent:
            self._head_sent = True
            assert attempt.answer is not None
            self.client.head(attempt.answer.status, passed_headers(attempt.answer))

    def _note_run_time(self) -> None:
        admitted = self.admitted
        self._figures.run_times.record(admitted.output_tokens, self._loop.time() - admitted.arrived)

    def stream_complete(self, attempt: Attempt) -> None:
        """The stream is whole, if it does not end within an event."""
        if self._cutter.partial:
            attempt.end_reason = "ended within an event"
            self.attempt_ended(attempt, OutcomeKind.BROKEN)
            return
        self._pass_head(attempt)
        self._note_run_time()
        self._report(attempt.number, attempt.instance, OutcomeKind.SERVED, attempt.elapsed_ms, done=True)
        self._end(Outcome.SERVED)
        self.client.end()

    def answer_complete(self, attempt: Attempt, body: bytes) -> None:
        """A whole answer that is no stream."""
        head = attempt.answer
        assert head is not None
        succeeded = 200 <= head.status < 300 and heads.SEAL in head.headers
        if succeeded:
            self._note_run_time()
            self._report(attempt.number, attempt.instance, OutcomeKind.SERVED, attempt.elapsed_ms, done=True)
            self._finish_with(Outcome.SERVED, head.status, passed_headers(head), body)
            return
        self._failure = head.status, passed_headers(head), body
        if 200 <= head.status < 300:
            self._failure = None  # a success without its seal is no answer of the worker's
        self.attempt_ended(attempt, OutcomeKind.ERROR)

    def attempt_ended(self, attempt: Attempt, kind: OutcomeKind) -> None:
        """There is no whole answer from this attempt; the module decides whether there is another."""
        if self._attempt is attempt:
            self._attempt = None
        ran = kind in (OutcomeKind.BROKEN, OutcomeKind.ERROR, OutcomeKind.TIMED_OUT)
        self._may_have_run = self._may_have_run or ran
        if self._over:
            self._report(attempt.number, attempt.instance, OutcomeKind.CANCELLED, attempt.elapsed_ms, True)
            return
        if self._head_sent:
            self._cutter.resume()
        lost = ran and not self.admitted.route.idempotent
        self._report(attempt.number, attempt.instance, kind, attempt.elapsed_ms, done=lost)
        if lost:
            self._cut_cause = CutCause.NOT_REPEATABLE
            self.fail()

    def attempt_cancelled(self, attempt: Attempt) -> None:
        """An attempt was given up by us."""
        if self._attempt is attempt:
            self._attempt = None
        self._report(attempt.number, attempt.instance, OutcomeKind.CANCELLED, attempt.elapsed_ms, self._over)

    def mismatch(self, instance: Instance) -> None:
        """Another worker has the instance's address."""
        self._state.mismatch(instance)


def passed_headers(message: Message) -> dict[str, str]:
    """The headers of a worker's answer that go to the client."""
    return {name: value for name, value in message.headers.items() if name not in HOP_BY_HOP}
