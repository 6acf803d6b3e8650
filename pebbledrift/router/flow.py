"""The processing of one request: placement, attempts, and the response that is forwarded to the client.

Every request gets exactly one final response.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import Protocol

from pebbledrift.control.registry import Instance
from pebbledrift.net.http import Message, request
from pebbledrift.net.request_connection import RequestConnection
from pebbledrift.router import request as header_names
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.attempt import Attempt
from pebbledrift.router.cuts import CutCause
from pebbledrift.router.events import EventTooLong
from pebbledrift.router.metrics import NO_TENANT, Histogram, Outcome, RouterMetrics
from pebbledrift.router.pools import WorkerPools
from pebbledrift.router.progress import OpenRequest, Progress
from pebbledrift.router.retries import RetryBudget
from pebbledrift.router.routes import MAX_PRIORITY
from pebbledrift.router.upstream import WorkerConnection, WorkerConnectionPool
from spoolpier.interface import OutcomeKind

log = logging.getLogger(__name__)

RESPONSE_MARGIN_S = 0.02  # the final response is sent this long before the client's deadline
MIN_REMAINING_S = 0.01  # with less time remaining nothing is sent to a worker
RETRY_AFTER_MS = 100.0  # sent with the response to a request that was not run
DRAIN_RETRY_AFTER_S = 0.05  # while the router shuts down: a retry reaches another one
STRIPPED_HEADERS = frozenset(
    (
        *header_names.HOP_BY_HOP_HEADERS,
        header_names.EXPECT_INSTANCE,
        header_names.TENANT,
        header_names.DEADLINE,
        "priority",
    )
)


class RouterState(Protocol):
    """The router's state that a request depends on at each write."""

    def may_use(self, instance: Instance) -> bool:
        """Whether the instance is still in service."""

    def instance_mismatch(self, instance: Instance) -> None:
        """Records that another worker now has the instance's address."""

    def routers(self) -> int:
        """The number of routers in the fleet."""

    def revision(self) -> int:
        """The revision of the configuration in force."""

    def may_start(self, admitted: Admitted) -> bool:
        """Whether a request that has not run may be sent; not if this process exits too soon."""


class RequestFlow(OpenRequest):
    """The processing of one admitted request. Nothing more happens once `_finished` is set."""

    def __init__(
        self,
        admitted: Admitted,
        client: RequestConnection,
        worker_pools: WorkerPools,
        connection_pool: WorkerConnectionPool,
        retry_budget: RetryBudget,
        router: RouterState,
        metrics: RouterMetrics,
    ) -> None:
        self.admitted, self.client = admitted, client
        self._metrics, self._route_metrics = metrics, metrics.of_route(admitted.route.name)
        self._worker_pools, self._connection_pool, self._retry_budget, self._router = (
            worker_pools,
            connection_pool,
            retry_budget,
            router,
        )
        self._placement = worker_pools.choose(admitted.prompt_tokens)
        self._loop = asyncio.get_running_loop()
        self.used_connections: list[WorkerConnection] = []
        self._attempt: Attempt | None = None
        self._finished = False
        self._may_have_run = False
        self._head_sent = False
        self._cut_cause = CutCause.NO_ATTEMPT
        self._last_attempt: Attempt | None = None
        self._last_event_id: bytes | None = None  # of the last event that was forwarded
        self._client_paused = False  # the client does not read what it was sent
        self._resumable = True  # whether another attempt can continue behind what was forwarded
        # a worker's error response, sent to the client if no other attempt succeeds
        self._error_response: tuple[int, Mapping[str, str], bytes] | None = None
        # when the request arrived, was first sent, or a part of the response was last forwarded
        self._last_progress_at = self._loop.time()
        self._deadline_timer = self._loop.call_at(
            admitted.deadline - RESPONSE_MARGIN_S, self._deadline_reached
        )

    def submit(self) -> None:
        """Submits the request to the placement."""
        self._worker_pools.request_arrived(self._placement)
        self._retry_budget.record_request(self._loop.time())
        remaining_ms = max(1.0, (self.admitted.deadline - self._loop.time()) * 1000.0)
        self._placement.submit(self.admitted.name, self, self.admitted.route, self.admitted.key, remaining_ms)

    @property
    def progress(self) -> Progress:
        """How far the request has come."""
        attempt = self._attempt
        if self._head_sent:
            return Progress.ANSWERING
        if attempt is not None and attempt.written:
            return Progress.AT_WORKER
        if self._may_have_run:
            return Progress.AWAITING_RETRY
        return Progress.AWAITING_WORKER if attempt is None else Progress.CONNECTING

    # decisions of the placement

    def send(self, attempt: int, instance: Instance) -> None:
        """Starts an attempt at a worker, if the retry budget allows it."""
        if self._finished:
            return
        if self.progress.has_not_run and not self._router.may_start(self.admitted):
            self._report_outcome(attempt, instance, OutcomeKind.CANCELLED, 0.0, done=True)
            self.end_for_shutdown()
            return
        if attempt > 0 and not self._retry_budget.take(self._loop.time(), self._router.routers()):
            self._cut_cause = CutCause.RETRY_BUDGET
            self._report_outcome(attempt, instance, OutcomeKind.CANCELLED, 0.0, done=True)
            self._fail_or_refuse()
            return
        if attempt == 0:
            self._record_interval(self._route_metrics.waits)
        self._attempt = self._last_attempt = Attempt(self, attempt, instance, self._last_event_id)
        self._attempt.begin(self._connection_pool, self._client_paused)

    def _record_interval(self, histogram: Histogram) -> None:
        """Records the time since the last progress in the histogram."""
        now = self._loop.time()
        histogram.observe(now - self._last_progress_at)
        self._last_progress_at = now

    def cancel(self, attempt: int) -> None:
        """Cancels an attempt, and fails the request if no other attempt may follow."""
        cancelled = self._attempt
        if cancelled is None or cancelled.number != attempt:
            return
        cancelled.cancel()
        self._may_have_run = self._may_have_run or cancelled.written
        if cancelled.written and not self._repeatable:
            self._fail_unrepeatable()

    @property
    def _repeatable(self) -> bool:
        """Whether another attempt may follow one that may have run."""
        return self.admitted.route.idempotent and self._resumable

    def _fail_unrepeatable(self) -> None:
        self._cut_cause = CutCause.NOT_REPEATABLE
        self.fail()

    def refuse(self, retry_after_ms: float) -> None:
        """Responds that the request was not run and may be sent again after `retry_after_ms`."""
        if self._may_have_run and not self.admitted.route.idempotent:
            self.fail()
            return
        self._finish_with_response(Outcome.REFUSED, 503, {"Retry-After": f"{retry_after_ms / 1000:.3f}"})

    def fail(self) -> None:
        """Responds that the request failed."""
        if self._error_response is not None:
            self._finish_with_response(Outcome.FAILED, *self._error_response)
        elif self._may_have_run:
            self._finish_with_response(Outcome.FAILED, 502, {})
        else:
            self.refuse(RETRY_AFTER_MS)

    def _fail_or_refuse(self) -> None:
        if self._may_have_run:
            self.fail()
        else:
            self.refuse(RETRY_AFTER_MS)

    def end_for_shutdown(self) -> None:
        """Gives the request its final response because this process exits."""
        if self._finished:
            return
        self._cancel_attempt()
        self._cut_cause = CutCause.SHUTDOWN
        if self._may_have_run:
            self.fail()
        else:
            self.refuse(DRAIN_RETRY_AFTER_S * 1000.0)
        self._placement.client_gone(self.admitted.name)

    def _cancel_attempt(self) -> None:
        """Cancels the present attempt, if there is one."""
        attempt = self._attempt
        if attempt is not None:
            self._may_have_run = self._may_have_run or attempt.written
            attempt.cancel()

    def _deadline_reached(self) -> None:
        if self._finished:
            return
        self._cancel_attempt()
        if self._head_sent:
            self._cut_cause = CutCause.TIME_LIMIT
            self._abort_response()
        elif self._may_have_run:
            self._finish_with_response(Outcome.FAILED, 504, {})
        else:
            self.refuse(RETRY_AFTER_MS)
        self._placement.client_gone(self.admitted.name)

    # events of the client connection

    def client_gone(self) -> None:
        """Ends the request after the client has disconnected; its attempt is cancelled at once."""
        if self._finished:
            return
        if self._head_sent:
            self._record_cut(CutCause.CLIENT)
        self._finish(Outcome.CLIENT_GONE)
        self._placement.client_gone(self.admitted.name)

    def client_write_paused(self, paused: bool) -> None:
        """Pauses or resumes reading the worker's response, following the client's reading."""
        self._client_paused = paused
        if self._attempt is not None:
            self._attempt.exchange.set_reading_paused(paused)

    def _finish(self, outcome: Outcome) -> None:
        self._finished = True
        tenant = self.admitted.tenant
        self._metrics.record_outcome(self.admitted.route.name, tenant.name if tenant else NO_TENANT, outcome)
        self._deadline_timer.cancel()
        if self._attempt is not None:
            self._attempt.cancel()  # its result is no longer needed; the worker notices at once
        self._worker_pools.request_ended(self._placement)
        self._placement.remove(self.admitted.name)

    def _finish_with_response(
        self, outcome: Outcome, status: int, headers: Mapping[str, str], body: bytes = b""
    ) -> None:
        if self._finished:
            return
        if self._head_sent:
            self._abort_response()
            return
        self._finish(outcome)
        self.client.send_response(status, headers, body)

    def _abort_response(self) -> None:
        """Closes the client's connection, which shows that the response is incomplete."""
        if not self._finished:
            self._record_cut(self._cut_cause)
            self._finish(Outcome.FAILED)
            self.client.owner = None
            self.client.abort()

    def _record_cut(self, cause: CutCause) -> None:
        """Counts and logs why a response that had begun is incomplete."""
        admitted, attempt = self.admitted, self._last_attempt
        self._metrics.cuts.record(
            cause,
            request=admitted.message.headers.get(header_names.REQUEST_ID, ""),
            route=admitted.route.name,
            timeout_ms=admitted.route.timeout_ms,
            left_s=admitted.deadline - self._loop.time(),
            silent_s=self._loop.time() - self._last_progress_at,
            revision=self._router.revision(),
            attempt=-1 if attempt is None else attempt.number,
            instance="" if attempt is None else attempt.instance.id,
            attempt_end="" if attempt is None else attempt.end_reason,
            client_end=self.client.end_reason,
        )

    # events of the attempt

    def _report_outcome(
        self, attempt: int, instance: Instance, kind: OutcomeKind, elapsed_ms: float, done: bool
    ) -> None:
        self._placement.attempt_ended(self.admitted.name, attempt, instance, kind, elapsed_ms, done)

    def may_write(self, instance: Instance) -> bool:
        """Whether the request may be sent; checked right before the write."""
        remaining_s = self.admitted.deadline - self._loop.time()
        return (
            not self._finished
            and self.client.alive
            and remaining_s > MIN_REMAINING_S
            and self._router.may_use(instance)
        )

    def request_bytes(self, instance: Instance) -> bytes:
        """The request as encoded for the worker."""
        admitted = self.admitted
        message = admitted.message
        headers = {name: value for name, value in message.headers.items() if name not in STRIPPED_HEADERS}
        if admitted.strip_key:
            headers.pop("authorization", None)
        remaining_ms = max(1, int((admitted.deadline - self._loop.time()) * 1000))
        headers[header_names.DEADLINE] = str(remaining_ms)
        headers[header_names.EXPECT_INSTANCE] = instance.id
        if admitted.tenant is not None:
            headers[header_names.TENANT] = admitted.tenant.name
        headers["priority"] = str(self._priority())
        if self._last_event_id is not None:
            headers[header_names.LAST_EVENT_ID] = self._last_event_id.decode("latin-1")
        return request(message.first, message.second, headers, bytes(message.body))

    def _priority(self) -> int:
        admitted = self.admitted
        tenant_priority = admitted.tenant.priority if admitted.tenant is not None else None
        return max(
            0, min(MAX_PRIORITY, admitted.route.priority if tenant_priority is None else tenant_priority)
        )

    def attempt_started(self, attempt: Attempt) -> None:
        """Handles the arrival of the first event, or of a complete unary response."""
        self._record_interval(self._route_metrics.first)
        self._placement.attempt_started(
            self.admitted.name, attempt.number, attempt.instance, streamed=self.admitted.route.streaming
        )

    def forward_events(self, attempt: Attempt, data: bytes) -> None:
        """Forwards complete events to the client."""
        try:
            events = attempt.events.feed(data)
        except EventTooLong:
            attempt.abort_as_broken("event exceeds the size limit")
            return
        if events:
            self._last_event_id, self._resumable = attempt.events.last_id, attempt.events.resumable
            if not attempt.started:
                attempt.started = True
                self.attempt_started(attempt)
            else:
                self._record_interval(self._route_metrics.pauses)
            self._forward_head(attempt)
            self.client.send_chunk(events)

    def _forward_head(self, attempt: Attempt) -> None:
        if not self._head_sent:
            self._head_sent = True
            assert attempt.response is not None
            self.client.send_head(attempt.response.status, forwarded_headers(attempt.response))

    def _record_run_time(self) -> None:
        admitted = self.admitted
        run_times = self._metrics.run_times.of(admitted.route.name)
        run_times.record(admitted.output_tokens, self._loop.time() - admitted.arrived)

    def stream_complete(self, attempt: Attempt) -> None:
        """Handles the end of a stream; one that ends in the middle of an event is broken."""
        if attempt.events.partial:
            attempt.end_reason = "stream ended in the middle of an event"
            self.attempt_failed(attempt, OutcomeKind.BROKEN)
            return
        self._forward_head(attempt)
        self._record_run_time()
        self._report_outcome(
            attempt.number, attempt.instance, OutcomeKind.SERVED, attempt.elapsed_ms, done=True
        )
        self._finish(Outcome.SERVED)
        self.client.finish_chunked()

    def response_complete(self, attempt: Attempt, body: bytes) -> None:
        """Handles a complete unary response."""
        head = attempt.response
        assert head is not None
        succeeded = 200 <= head.status < 300 and header_names.SEAL in head.headers
        if succeeded:
            self._record_run_time()
            self._report_outcome(
                attempt.number, attempt.instance, OutcomeKind.SERVED, attempt.elapsed_ms, done=True
            )
            self._finish_with_response(Outcome.SERVED, head.status, forwarded_headers(head), body)
            return
        self._error_response = head.status, forwarded_headers(head), body
        if 200 <= head.status < 300:
            # a success status without the response seal is not taken for the worker's response
            self._error_response = None
        self.attempt_failed(attempt, OutcomeKind.ERROR)

    def attempt_failed(self, attempt: Attempt, kind: OutcomeKind) -> None:
        """Handles the end of an attempt without a complete response.

        The placement decides whether there is another attempt.
        """
        if self._attempt is attempt:
            self._attempt = None
        ran = kind in (OutcomeKind.BROKEN, OutcomeKind.ERROR, OutcomeKind.TIMED_OUT)
        self._may_have_run = self._may_have_run or ran
        if self._finished:
            self._report_outcome(
                attempt.number, attempt.instance, OutcomeKind.CANCELLED, attempt.elapsed_ms, True
            )
            return
        if attempt.events.partial:
            self._record_incomplete_event(attempt)
        must_not_repeat = ran and not self._repeatable
        self._report_outcome(attempt.number, attempt.instance, kind, attempt.elapsed_ms, done=must_not_repeat)
        if must_not_repeat:
            self._fail_unrepeatable()

    def _record_incomplete_event(self, attempt: Attempt) -> None:
        """Counts and logs an attempt that ended within an event, and how much of it is buffered."""
        self._metrics.incomplete_events += 1
        log.info(
            "attempt ended within an event",
            extra={
                "request": self.admitted.message.headers.get(header_names.REQUEST_ID, ""),
                "attempt": attempt.number,
                "instance": attempt.instance.id,
                "buffered_bytes": attempt.events.buffered_bytes,
                "head_sent": self._head_sent,
                "attempt_end": attempt.end_reason,
            },
        )

    def attempt_cancelled(self, attempt: Attempt) -> None:
        """Handles the end of an attempt that this router cancelled."""
        if self._attempt is attempt:
            self._attempt = None
        if attempt.events.partial and not self._finished:
            self._record_incomplete_event(attempt)
        done = self._finished or (attempt.written and not self._repeatable)
        self._report_outcome(
            attempt.number, attempt.instance, OutcomeKind.CANCELLED, attempt.elapsed_ms, done
        )

    def instance_mismatch(self, instance: Instance) -> None:
        """Records that another worker now has the instance's address."""
        self._router.instance_mismatch(instance)


def forwarded_headers(message: Message) -> dict[str, str]:
    """The headers of a worker's response that are forwarded to the client."""
    return {
        name: value for name, value in message.headers.items() if name not in header_names.HOP_BY_HOP_HEADERS
    }
