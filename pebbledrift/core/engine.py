"""The event loop around the decision module. It owns operations, attempts, timers and final answers."""

from __future__ import annotations

import asyncio
import heapq
import logging
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from pebbledrift import logs
from pebbledrift.bounds import Limits
from pebbledrift.core.clock import Clock
from pebbledrift.core.figures import Counters
from pebbledrift.core.model import (
    MAX_SLICE_OVERRUN_MS,
    Answer,
    Attempt,
    Claim,
    Destinations,
    Neighbours,
    Observer,
    Operation,
    Recipient,
    Verdict,
)
from pebbledrift.core.view import avoided_workers, hold_reasons, worker_summary
from spoolpier import Dispatcher
from spoolpier import interface as api
from spoolpier.handover import export_job, export_learned, import_job, import_learned

log = logging.getLogger(__name__)

CLOCK_REPORT_THRESHOLD_MS = 2.0  # a wall clock change of at least this is reported to the decision module


class UnreachableDestination:
    """The destination of attempts at a worker that is no longer in the list."""

    def send(self, attempt: Attempt) -> None:
        """Does nothing: the engine sends no attempt to such a worker."""

    def cancel(self, attempt: Attempt, on_acknowledged: Callable[[], None] | None = None) -> None:
        """Does nothing: the worker cannot be reached, so the cancellation is never acknowledged."""

    def probe(self) -> None:
        """Does nothing: the worker cannot be reached."""

    def accepted(self, attempt: Attempt) -> bool:
        """Returns True: the worker accepted the attempt before it left the list."""
        return True

    def withdraw_unsent(self) -> None:
        """Does nothing: no attempt is waiting to be written."""


class Engine:
    """Turns reports of fronts and destinations into events, and the decision module's actions into calls."""

    def __init__(
        self,
        settings: api.Settings,
        limits: Limits,
        clock: Clock,
        seed: int,
        destinations: Destinations,
        neighbours: Neighbours | None = None,
    ) -> None:
        self.settings = settings
        self.limits = limits
        self.clock = clock
        self.destinations = destinations
        self.neighbours = neighbours  # None if this process is the whole node
        self.observers: list[Observer] = []
        # called at the end of each probe by this process: worker, success, elapsed ms, load report
        self.on_probe_result: Callable[[int, bool, float, api.Report | None], None] = lambda *_: None
        # called at the end of each attempt of this process
        self.outcome_listeners: list[Callable[[Attempt, api.OutcomeKind], None]] = []
        # each returns events that precede all others in a step of the decision module
        self.event_sources: list[Callable[[], list[api.Event]]] = []
        # called after each step of the decision module
        self.on_step: Callable[[], None] = lambda: None
        # returns the fleet-wide limits that an operation counts against (api.Allowance)
        self.limits_of: Callable[[Operation], tuple[int, ...]] = lambda operation: ()
        # Time slices at cold workers are held under leases. A lease does not outlive its process.
        self.uses_slice_leases = False
        self.counters = Counters(len(settings.classes))
        self.open: dict[str, Operation] = {}
        self.predecessor_ids: set[str] = set()  # ids that are open in the process that this one replaces
        self.held_bytes = 0
        self._reported_ahead_ms = 0.0
        self.shutdown_deadline_ms = math.inf  # every accepted operation is answered before this
        self._dispatcher = Dispatcher(settings, seed)
        self._recent: OrderedDict[str, None] = OrderedDict()
        self._events: list[api.Event] = []
        self._last_step_ms = -1e18
        self._reading_neighbours = False  # a step is starting and reads the neighbours' changes first
        self._step_timer: asyncio.TimerHandle | None = None
        self._wakeups: list[float] = []  # heap of pending wake-up times requested by the decision module
        self._loop = asyncio.get_running_loop()
        self._idle: asyncio.Future[None] | None = None
        self._slice_timer: asyncio.TimerHandle | None = None
        # Protects cold workers: another process of this node may have ended just before this one started,
        # after spending its budget for the current time slice.
        self.skip_time_slices(1)

    # -- called by the fronts

    def is_known(self, job: str) -> bool:
        """Returns whether an id is open or was answered recently."""
        return job in self.open or job in self._recent or job in self.predecessor_ids

    def submit(self, operation: Operation) -> None:
        """Accepts an operation, at most once for each id; otherwise answers it immediately."""
        if self.is_known(operation.id):
            # Protects the answer of the operation that has the id: no request of this caller has run.
            self._deliver(operation, Answer(Verdict.FAILED, reason="id in use", id_in_use=True))
            return
        size = len(operation.work.body)
        if not self.room_for(size):
            # Nothing has run, so a busy reply is correct for every class.
            self.refuse(operation, "too many open")
            return
        if operation.expires_ms - self.clock.now_ms() <= self.limits.answer_margin_ms:
            self._deliver(operation, Answer(Verdict.REFUSED, b"", 0.0, "no time left"))
            return
        if self.neighbours is not None:
            claim = self.neighbours.claim(operation.id)
            if claim is Claim.TAKEN:
                self._deliver(operation, Answer(Verdict.FAILED, reason="id in use", id_in_use=True))
                return
            if claim is Claim.NO_ROOM:
                self.refuse(operation, "no room for its id")
                return
        operation.expires_ms = min(operation.expires_ms, self.shutdown_deadline_ms)
        grace = self._enter(operation)
        if logs.traced():
            hint = operation.hint_ms or 0.0
            logs.trace("taken", id=operation.id, kind=operation.job_class, hint=hint, grace=grace)
        self._observe(operation, "taken")
        self._event(self._arrival(operation, grace))

    def refuse(self, operation: Operation, reason: str) -> None:
        """Answers an operation that cannot be accepted with a busy reply. Nothing of it may have run."""
        self._deliver(operation, Answer(Verdict.REFUSED, b"", self.limits.busy_retry_ms, reason))

    def recipient_gone(self, operation: Operation, recipient: Recipient) -> None:
        """Removes a recipient that disconnected. An unanswered operation ends with its last recipient."""
        if recipient in operation.recipients:
            operation.recipients.remove(recipient)
        if operation.answer is None and not operation.recipients:
            self._finish(operation, Answer(Verdict.FAILED, reason="client gone"))
            self._event(api.ClientGone(operation.id))

    def export_state(self, operation: Operation) -> dict[str, Any] | None:
        """Returns the decision module's state of an operation that another process can continue, else None.

        It can be continued if exactly one attempt is open and its worker has accepted it, so that only the
        callback is outstanding.
        """
        open_attempts = [a for a in operation.attempts if a.open]
        if (
            operation.answer is not None
            or len(open_attempts) != 1
            or not open_attempts[0].destination.accepted(open_attempts[0])
        ):
            return None
        return export_job(self._dispatcher, operation.id)

    def release(self, operation: Operation) -> None:
        """Drops an operation that another process has taken over."""
        if operation.timer is not None:
            operation.timer.cancel()
        del self.open[operation.id]
        self.counters.current -= 1
        self.held_bytes -= len(operation.work.body)
        for attempt in operation.attempts:
            if attempt.open:
                if attempt.timer is not None:
                    attempt.timer.cancel()
                attempt.outcome = api.OutcomeKind.CANCELLED
                elapsed = self.clock.now_ms() - attempt.sent_ms
                worker, number = attempt.worker, attempt.number
                self._event(api.Outcome(operation.id, number, worker, attempt.outcome, elapsed, True))
        self._wake_idle()

    def adopt(self, operation: Operation, state: dict[str, Any]) -> None:
        """Continues an operation of the process that this one replaces, from the state that it exported."""
        self.step_now()  # the decision module needs the worker list and the time first
        grace = self._enter(operation)
        import_job(self._dispatcher, self._arrival(operation, grace), state)
        now = self.clock.now_ms()
        for number in range(int(state["attempts"])):
            possible_run = next((s for s in state["suspects"] if s["number"] == number), None)
            worker = possible_run["worker"] if possible_run is not None else 0
            sent_ms = possible_run["sent_at"] if possible_run is not None else now
            destination = self.destinations.find(worker) or UnreachableDestination()
            attempt = Attempt(operation, number, worker, destination, sent_ms, now + grace)
            operation.attempts.append(attempt)
            if possible_run is None:
                attempt.outcome = api.OutcomeKind.NOT_SENT  # proven never to have run
            elif not possible_run["open"]:
                attempt.outcome = api.OutcomeKind.UNKNOWN
            else:
                attempt.started = possible_run["started"]
                attempt.timer = self._loop.call_later(grace / 1000, self._attempt_timed_out, attempt)
        self._wake(now)

    def _enter(self, operation: Operation) -> float:
        """Registers an operation and starts its deadline timer; returns the ms left for its answer."""
        grace = max(0.0, operation.expires_ms - self.clock.now_ms() - self.limits.answer_margin_ms)
        self.predecessor_ids.discard(operation.id)
        self.open[operation.id] = operation
        self.counters.current += 1
        self.held_bytes += len(operation.work.body)
        operation.timer = self._loop.call_later(grace / 1000, self._deadline_reached, operation)
        return grace

    def _arrival(self, operation: Operation, grace: float) -> api.Arrival:
        return api.Arrival(
            job=operation.id,
            job_class=operation.job_class,
            grace_ms=grace,
            key=operation.key,
            hint_ms=operation.hint_ms,
            slots=operation.slots,
            memory=operation.memory,
            tenant=operation.tenant,
            repeat=operation.repeat,
            limits=self.limits_of(operation),
        )

    def room_for(self, size: int) -> bool:
        """Returns whether another operation with a body of `size` bytes would be accepted."""
        return len(self.open) < self.limits.operations and self.held_bytes + size <= self.limits.held_bytes

    def withdraw(self, operation: Operation, reason: str) -> None:
        """Ends an operation that its submitter no longer wants. Its recipients still receive an answer."""
        if operation.answer is None:
            verdict = Verdict.FAILED if operation.may_have_run else Verdict.REFUSED
            self._finish(operation, Answer(verdict, reason=reason))
            self._event(api.ClientGone(operation.id))

    # -- called by the destinations

    def attempt_ended(
        self,
        attempt: Attempt,
        kind: api.OutcomeKind,
        result: bytes | None = None,
        report: api.Report | None = None,
    ) -> None:
        """Records the end of an attempt.

        A repeated or late report does not change the outcome, but its result may still answer the operation.
        """
        operation = attempt.operation
        if not attempt.open:
            # The result must not be lost if the connection broke or the attempt timed out before the worker's
            # callback.
            if kind is api.OutcomeKind.SERVED and result is not None and operation.answer is None:
                self._serve(operation, result)
                for other in operation.attempts:
                    if other.open:
                        other.destination.cancel(other)
                        self._close_attempt(other, api.OutcomeKind.CANCELLED, None)
                        return
                self._event(api.ClientGone(operation.id))
            return
        if kind is api.OutcomeKind.SERVED and operation.answer is None:
            self._serve(operation, result or b"")
        self._close_attempt(attempt, kind, report)

    def request_invalid(self, attempt: Attempt, report: api.Report | None = None) -> None:
        """Fails the operation because the worker rejected the request itself; the worker is not blamed."""
        if attempt.open:
            self._finish(attempt.operation, Answer(Verdict.FAILED, reason="not usable"))
            self._close_attempt(attempt, api.OutcomeKind.CANCELLED, report)

    def progress_reported(self, attempt: Attempt, progress: api.Progress, share: float) -> None:
        """Records that an attempt has started or made progress."""
        if attempt.open:
            if not attempt.started and logs.traced():
                logs.trace("started", id=attempt.operation.id, worker=attempt.worker, number=attempt.number)
            if not attempt.started:
                attempt.started, attempt.started_ms = True, self.clock.now_ms()
            worker, number = attempt.worker, attempt.number
            self._event(api.Note(attempt.operation.id, number, worker, progress, share))

    def request_written(self, attempt: Attempt) -> None:
        """Counts an attempt whose last byte has been written."""
        self.counters.sent(attempt.operation.job_class)

    def probe_ended(self, worker: int, ok: bool, elapsed_ms: float, report: api.Report | None) -> None:
        """Records the result of a probe by this process; `ok` is False if no load report came."""
        self.on_probe_result(worker, ok, elapsed_ms, report)
        self._event(api.ProbeResult(worker, ok, elapsed_ms, report))

    def peer_load_received(self, worker: int, elapsed_ms: float, report: api.Report) -> None:
        """Records a load report that another node obtained by probing a worker and forwarded."""
        self._event(api.ProbeResult(worker, True, elapsed_ms, report))

    def worker_list_changed(self, worker_list: api.WorkerList) -> None:
        """Passes a new worker list, or changes to it, to the decision module."""
        self._event(worker_list)

    def avoided_workers(self) -> set[int]:
        """Returns the workers that the decision module avoids now."""
        return avoided_workers(self._dispatcher.table, self.clock.now_ms())

    def may_write(self, attempt: Attempt) -> bool:
        """Returns whether an attempt may still be written.

        Called immediately before the write, because the conditions may have changed since the decision: the
        connection had to be established first, or the process was suspended.
        """
        operation = attempt.operation
        if not attempt.open or operation.answer is not None:
            return False
        if self.clock.now_ms() >= attempt.not_after_ms:
            return False
        incarnation = self.destinations.incarnation(attempt.worker)
        if incarnation is None or incarnation != attempt.incarnation:
            return False
        neighbours = self.neighbours
        if neighbours is not None:
            if neighbours.closed(attempt.worker):
                return False
            if attempt.time_slice >= 0 and neighbours.slice_expired(attempt.time_slice):
                return False
        return any(recipient.present() for recipient in operation.recipients)

    def skip_time_slices(self, count: int) -> None:
        """Uses no time slices at cold workers until `count` slices, including the current one, have ended.

        0 means permanently. Another process of this node may have spent its budget for them, or may still
        do so.
        """
        if self._slice_timer is not None:
            self._slice_timer.cancel()
            self._slice_timer = None
        if self.uses_slice_leases:
            return
        self._event(api.Shares((), indexes=()))
        if count:
            slice_ms = self.settings.fall_ms
            wait = count * slice_ms - self.clock.common_ms() % slice_ms
            self._slice_timer = self._loop.call_later(wait / 1000, self._use_time_slices)

    def _use_time_slices(self) -> None:
        self._slice_timer = None
        if not self.uses_slice_leases:
            self._event(api.Shares((), indexes=(self.settings.me,)))

    def allowed(self) -> dict[int, float]:
        """Returns how many jobs the decision module may still accept, by fleet-wide limit."""
        return {limit: allowance.jobs for limit, allowance in self._dispatcher.allowances.items()}

    def learned(self) -> dict[str, Any]:
        """Returns what the decision module has learned, as plain data for `learn`."""
        return export_learned(self._dispatcher)

    def learn(self, state: dict[str, Any]) -> None:
        """Initialises the decision module with what its predecessor has learned."""
        self.step_now()  # the worker list must be known first
        import_learned(self._dispatcher, state)

    def latest_attempt(self, job: str, worker: int) -> Attempt | None:
        """Returns the latest attempt of an open operation at a worker, or None."""
        operation = self.open.get(job)
        if operation is not None:
            for attempt in reversed(operation.attempts):
                if attempt.worker == worker:
                    return attempt
        return None

    async def drained(self) -> None:
        """Waits until every operation is answered and no attempt is open."""
        while self.open:
            self._idle = self._loop.create_future()
            await self._idle

    # -- the event loop

    def _event(self, event: api.Event) -> None:
        self._events.append(event)
        self._wake(self.clock.now_ms())

    def step_now(self) -> None:
        """Runs a step of the decision module at once, without waiting for the step period."""
        if self._step_timer is not None:
            self._step_timer.cancel()
        self._step()

    def schedule_step(self) -> None:
        """Schedules a step, so that events from `event_sources` reach the decision module."""
        self._wake(self.clock.now_ms())

    def _wake(self, at_ms: float) -> None:
        """Schedules a step at `at_ms`, or one period after the last step if that is later.

        A call for an earlier time replaces the timer; the decision module's requests remain in _wakeups.
        """
        now = self.clock.now_ms()
        delay = max(at_ms - now, self._last_step_ms + self.settings.tick_ms - now, 0.0) / 1000
        if self._step_timer is not None:
            if self._step_timer.when() <= self._loop.time() + delay:
                return
            self._step_timer.cancel()
        self._step_timer = self._loop.call_later(delay, self._step)

    def _step(self) -> None:
        self._step_timer = None
        if self._reading_neighbours:
            # Reading the neighbours' changes may request a step within this one, for example for a ban on all
            # nodes. The decision module must not run again at that point.
            return
        self._reading_neighbours = True
        try:
            neighbour_events = self._neighbour_events()
        finally:
            self._reading_neighbours = False
        now = self._last_step_ms = self.clock.now_ms()
        leading_events = [event for source in self.event_sources for event in source()]
        events, self._events = [*leading_events, *neighbour_events, *self._clock_event(), *self._events], []
        # The decision module does not request the same wake-up twice, so none may be lost to an earlier step.
        while self._wakeups and self._wakeups[0] <= now:
            heapq.heappop(self._wakeups)
            events.append(api.Timer(0))
        tracing = logs.traced()
        if tracing:
            reasons = {job: hold_reasons(self._dispatcher, job, now) for job in list(self._dispatcher.held)}
        try:
            actions = self._dispatcher.step(now, events)
        except Exception:
            # A fault in the decision module must not end the node. The operations that arrived with this step
            # are answered here, the others continue.
            log.exception("step of the decision module failed")
            actions = []
            for event in events:
                operation = self.open.get(event.job) if isinstance(event, api.Arrival) else None
                if operation is not None:
                    self._finish(operation, self._answer_on_give_up(operation))
        self.on_step()
        if tracing:
            self._trace_step(actions, reasons, now)
        for action in actions:
            try:
                self._act(action, now)
            except Exception:
                log.exception("action of the decision module failed", extra={"action": type(action).__name__})
        if self._wakeups:
            self._wake(self._wakeups[0])

    def _trace_step(
        self, actions: list[api.Action], reasons: dict[str, dict[str, int] | None], now: float
    ) -> None:
        """Traces the decisions of a step and the state on which they are based."""
        for action in actions:
            if isinstance(action, api.Send):
                work = action.work if action.max_work else 0.0
                summary = worker_summary(self._dispatcher, action.worker, now)
                logs.trace("send", id=action.job, worker=action.worker, cold=work, **summary)
            elif isinstance(action, api.Refuse | api.Fail):
                kind = type(action).__name__.lower()
                logs.trace("given up", id=action.job, how=kind, why=reasons.get(action.job) or "-")
            elif isinstance(action, api.Probe):
                logs.trace("probe", worker=action.worker)
        for job in self._dispatcher.held:
            if job not in reasons:
                logs.trace("held", id=job, why=hold_reasons(self._dispatcher, job, now))

    def _clock_event(self) -> list[api.Event]:
        """Returns an event with the wall clock offset if it drifted or was stepped since the last report."""
        ahead = self.clock.ahead_ms()
        if abs(ahead - self._reported_ahead_ms) < CLOCK_REPORT_THRESHOLD_MS:
            return []
        self._reported_ahead_ms = ahead
        return [api.CommonClock(ahead)]

    def _neighbour_events(self) -> list[api.Event]:
        """Returns the changes reported by the other processes of the node, or by all nodes of the fleet."""
        if self.neighbours is None:
            return []
        shares, owned_slices = self.neighbours.shares(), self.neighbours.owned_slices()
        if owned_slices is not None:
            return [api.Shares(shares, self.neighbours.fleet, *owned_slices)]
        return [api.Shares(shares, self.neighbours.fleet)] if shares else []

    def _act(self, action: api.Action, now: float) -> None:
        match action:
            case api.Send(job):
                self._send(self.open.get(job), action, now)
            case api.Cancel(job, number):
                operation = self.open.get(job)
                if operation is not None and number < len(operation.attempts):
                    attempt = operation.attempts[number]
                    if attempt.open and operation.answer is None:
                        # The attempt stays open until the worker acknowledges. Once its end is reported, the
                        # job may be sent again, and two copies must not run at once.
                        attempt.destination.cancel(attempt, lambda: self._cancel_acknowledged(attempt))
                    elif attempt.open:
                        attempt.destination.cancel(attempt)
                        self._close_attempt(attempt, api.OutcomeKind.CANCELLED, None)
            case api.Refuse(job, after):
                operation = self.open.get(job)
                if operation is not None and operation.answer is None:
                    self._finish(operation, Answer(Verdict.REFUSED, b"", after, "busy"))
            case api.Fail(job):
                operation = self.open.get(job)
                if operation is not None and operation.answer is None:
                    self._finish(operation, Answer(Verdict.FAILED, reason="given up"))
            case api.Probe(worker):
                destination = self.destinations.find(worker)
                if destination is None:
                    self.probe_ended(worker, False, 0.0, None)
                else:
                    destination.probe()
            case api.Wake(at, _):
                heapq.heappush(self._wakeups, at)
            case api.WatchList():
                self.destinations.watch()
            case api.Log(message):
                log.info("module", extra={"text": message})
            case api.Tell():
                log.warning("decision module sent a peer message, but has no peer channel; message dropped")

    def _send(self, operation: Operation | None, send: api.Send, now: float) -> None:
        if operation is None or operation.answer is not None:
            return
        worker = send.worker
        destination = self.destinations.find(worker)
        number = len(operation.attempts)
        if destination is None:
            self._event(api.Outcome(operation.id, number, worker, api.OutcomeKind.NOT_SENT, 0.0, False))
            return
        expires = operation.expires_ms - self.limits.answer_margin_ms
        if send.timeout_ms > 0:
            expires = min(expires, now + send.timeout_ms)
        attempt = Attempt(operation, number, worker, destination, now, expires)
        attempt.time_slice = send.time_slice if send.max_work > 0 else -1
        attempt.not_after_ms = min(expires, send.not_after_ms)
        if send.max_work > 0:
            slice_end_ms = (send.time_slice + 1) * self.settings.fall_ms - self._reported_ahead_ms
            attempt.not_after_ms = min(attempt.not_after_ms, slice_end_ms + MAX_SLICE_OVERRUN_MS)
        attempt.incarnation = self.destinations.incarnation(worker)
        operation.attempts.append(attempt)
        delay = max(0.0, expires - now) / 1000
        attempt.timer = self._loop.call_later(delay, self._attempt_timed_out, attempt)
        if self.neighbours is not None:
            self.neighbours.add_filled_slots(worker, operation.slots)
            # Protects a cold worker: budget that other processes spent since the last report counts too.
            if send.max_work > 0 and not self.neighbours.spend_cold_budget(
                worker, send.time_slice, send.work, send.max_work
            ):
                self._close_attempt(attempt, api.OutcomeKind.NOT_SENT, None)
                return
        try:
            for observer in self.observers:
                observer(operation, "sent")
        except OSError:
            # The intent must be on disk before the send, so an attempt that cannot be recorded is not sent.
            log.exception("intent not written", extra={"id": operation.id})
            self._close_attempt(attempt, api.OutcomeKind.NOT_SENT, None)
            return
        destination.send(attempt)

    def _cancel_acknowledged(self, attempt: Attempt) -> None:
        """Closes a cancelled attempt of an unanswered operation after the worker has acknowledged."""
        if attempt.open:
            self._close_attempt(attempt, api.OutcomeKind.CANCELLED, None)

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        if attempt.open:
            attempt.destination.cancel(attempt)
            self._close_attempt(attempt, api.OutcomeKind.TIMED_OUT, None)

    def _deadline_reached(self, operation: Operation) -> None:
        """Leaves the decision module half of the answer margin to answer the operation itself."""
        if operation.answer is None:
            delay = self.limits.answer_margin_ms / 2000
            operation.timer = self._loop.call_later(delay, self._overdue, operation)

    def _overdue(self, operation: Operation) -> None:
        if operation.answer is None:
            log.error(
                "operation answered at its deadline: no answer from the decision module",
                extra={"id": operation.id},
            )
            self._finish(operation, self._answer_on_give_up(operation))
            self._event(api.ClientGone(operation.id))

    def _answer_on_give_up(self, operation: Operation) -> Answer:
        if operation.may_have_run:
            return Answer(Verdict.FAILED, reason="gave up")
        return Answer(Verdict.REFUSED, b"", self.limits.busy_retry_ms, "gave up")

    def _close_attempt(self, attempt: Attempt, kind: api.OutcomeKind, report: api.Report | None) -> None:
        attempt.outcome = kind
        if attempt.timer is not None:
            attempt.timer.cancel()
        operation = attempt.operation
        if logs.traced():
            fields = {"id": operation.id, "worker": attempt.worker, "by": kind.name.lower()}
            logs.trace("ended", number=attempt.number, started=attempt.started, **fields)
        if self.neighbours is not None:
            self.neighbours.add_filled_slots(attempt.worker, -operation.slots)
        for listener in self.outcome_listeners:
            listener(attempt, kind)
        elapsed = self.clock.now_ms() - attempt.sent_ms
        done = operation.answer is not None
        worker, number = attempt.worker, attempt.number
        self._event(api.Outcome(operation.id, number, worker, kind, elapsed, done, report))
        self._forget_if_over(operation)

    def _observe(self, operation: Operation, state: str) -> None:
        for observer in self.observers:
            try:
                observer(operation, state)
            except OSError:
                log.exception("state not written", extra={"id": operation.id, "state": state})

    def _serve(self, operation: Operation, result: bytes) -> None:
        self._finish(operation, Answer(Verdict.SERVED, result))

    def _finish(self, operation: Operation, answer: Answer) -> None:
        """Sets the final answer. Every accepted operation is answered here, and only once."""
        if operation.answer is not None:
            return
        operation.answer = answer
        self.counters.current -= 1
        if operation.timer is not None:
            operation.timer.cancel()
        self._observe(operation, answer.verdict.value)
        self._deliver(operation, answer)
        self._forget_if_over(operation)

    def _deliver(self, operation: Operation, answer: Answer) -> None:
        """Counts an answer and delivers it to the recipients. Rejected operations are answered here too."""
        self.counters.answered(operation.job_class, answer.verdict)
        if logs.traced():
            logs.trace("answer", id=operation.id, verdict=answer.verdict.value, reason=answer.reason or "-")
        recipients, operation.recipients = operation.recipients, []
        for recipient in recipients:
            recipient.answered(operation, answer)

    def _forget_if_over(self, operation: Operation) -> None:
        if operation.answer is None or any(a.open for a in operation.attempts):
            return
        if self.open.pop(operation.id, None) is None:
            return
        self.held_bytes -= len(operation.work.body)
        self._remember(operation.id)
        self._wake_idle()

    def _wake_idle(self) -> None:
        if not self.open and self._idle is not None and not self._idle.done():
            self._idle.set_result(None)

    def _remember(self, job: str) -> None:
        """Keeps an answered id, so that a repeated request neither runs again nor shares the answer."""
        self._recent[job] = None
        while len(self._recent) > self.limits.recent:
            oldest, _ = self._recent.popitem(last=False)
            if self.neighbours is not None:
                self.neighbours.forget(oldest)
