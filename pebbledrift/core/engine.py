"""The loop round the decisions: it owns operations, attempts, timers and the single final answer."""

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
from pebbledrift.core.figures import Figures
from pebbledrift.core.model import (
    TURN_LATE_MS,
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
from pebbledrift.core.view import avoided, belief, why_held
from spoolpier import Dispatcher
from spoolpier import interface as api
from spoolpier.handover import export_job, export_learned, import_job, import_learned

log = logging.getLogger(__name__)

CLOCK_DRIFT_MS = 2.0  # the module is told of a wall clock that has moved by this


class Nowhere:
    """The destination of what a worker has that has left the list."""

    def send(self, attempt: Attempt) -> None:
        """Nothing is ever sent here."""

    def cancel(self, attempt: Attempt, heard: Callable[[], None] | None = None) -> None:
        """It cannot be reached any more, and so never hears of it."""

    def probe(self) -> None:
        """It cannot be reached any more."""

    def taken(self, attempt: Attempt) -> bool:
        """It has been taken before."""
        return True

    def recall(self) -> None:
        """Nothing is under way."""


class Engine:
    """Turns what fronts and destinations report into events, and the module's actions into calls."""

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
        self.neighbours = neighbours  # None: this process is the whole node
        self.observers: list[Observer] = []
        # told of the end of each probe of this process
        self.probe_heard: Callable[[int, bool, float, api.Report | None], None] = lambda *_: None
        # told of the end of each attempt of this process
        self.outcome_heard: list[Callable[[Attempt, api.OutcomeKind], None]] = []
        # what the module is told before everything else whenever it decides
        self.advisers: list[Callable[[], list[api.Event]]] = []
        # told when the module has decided
        self.decided: Callable[[], None] = lambda: None
        # the limits of all nodes that an operation counts against (api.Allowance)
        self.limits_of: Callable[[Operation], tuple[int, ...]] = lambda operation: ()
        self.leased = False  # turns at cold workers are held under leases, which outlast no process
        self.figures = Figures(len(settings.classes))
        self.open: dict[str, Operation] = {}
        self.elsewhere: set[str] = set()  # ids that are open at the process before this one
        self.held_bytes = 0
        self._ahead_told = 0.0
        self.ends_ms = math.inf  # a node that is told to end answers all it takes in before this
        self._dispatcher = Dispatcher(settings, seed)
        self._recent: OrderedDict[str, None] = OrderedDict()
        self._events: list[api.Event] = []
        self._last_step = -1e18
        self._hearing = False  # a step is about to begin, and neighbours are heard first
        self._step_timer: asyncio.TimerHandle | None = None
        self._wakes: list[float] = []  # all that the module has asked for and not had yet
        self._loop = asyncio.get_running_loop()
        self._idle: asyncio.Future[None] | None = None
        self._turns_back: asyncio.TimerHandle | None = None
        # guards cold workers: a process of this node that ended just now may have spent its part of this turn
        self.pass_turns(1)

    # -- from the fronts

    def knows(self, job: str) -> bool:
        """Whether an id is open or was answered lately."""
        return job in self.open or job in self._recent or job in self.elsewhere

    def submit(self, operation: Operation) -> None:
        """Take an operation in, once for each id."""
        if self.knows(operation.id):
            # guards the owner's answer: whoever comes under its id has not had a request run
            self._tell(operation, Answer(Verdict.FAILED, reason="id in use", in_use=True))
            return
        size = len(operation.work.body)
        if not self.room_for(size):
            # nothing of it has run: a busy reply is true whatever its class
            self.refuse(operation, "too many open")
            return
        if operation.expires_ms - self.clock.now_ms() <= self.limits.answer_margin_ms:
            self._tell(operation, Answer(Verdict.REFUSED, b"", 0.0, "no time left"))
            return
        if self.neighbours is not None:
            claim = self.neighbours.claim(operation.id)
            if claim is Claim.TAKEN:
                self._tell(operation, Answer(Verdict.FAILED, reason="id in use", in_use=True))
                return
            if claim is Claim.NO_ROOM:
                self.refuse(operation, "no room for its id")
                return
        operation.expires_ms = min(operation.expires_ms, self.ends_ms)
        grace = self._enter(operation)
        if logs.traced():
            hint = operation.hint_ms or 0.0
            logs.trace("taken", id=operation.id, kind=operation.job_class, hint=hint, grace=grace)
        self._observe(operation, "taken")
        self._event(self._arrival(operation, grace))

    def refuse(self, operation: Operation, reason: str) -> None:
        """A front has no place for an operation: nothing of it has run, and a busy reply is true."""
        self._tell(operation, Answer(Verdict.REFUSED, b"", self.limits.busy_retry_ms, reason))

    def recipient_gone(self, operation: Operation, recipient: Recipient) -> None:
        """A client has left; the operation ends with its last recipient."""
        if recipient in operation.recipients:
            operation.recipients.remove(recipient)
        if operation.answer is None and not operation.recipients:
            self._finish(operation, Answer(Verdict.FAILED, reason="client gone"))
            self._event(api.ClientGone(operation.id))

    def portable(self, operation: Operation) -> dict[str, Any] | None:
        """What the module knows of an operation that can go on elsewhere; None where it cannot.

        It can where one attempt is out that the worker has taken: only its call-back is awaited.
        """
        out = [a for a in operation.attempts if a.open]
        if operation.answer is not None or len(out) != 1 or not out[0].destination.taken(out[0]):
            return None
        return export_job(self._dispatcher, operation.id)

    def release(self, operation: Operation) -> None:
        """The operation has gone over to another process."""
        if operation.timer is not None:
            operation.timer.cancel()
        del self.open[operation.id]
        self.figures.current -= 1
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

    def adopt(self, operation: Operation, told: dict[str, Any]) -> None:
        """Go on with an operation of the process before this one, as if it had been sent here."""
        self.step_now()  # the module has to know the list, and the time
        grace = self._enter(operation)
        import_job(self._dispatcher, self._arrival(operation, grace), told)
        now = self.clock.now_ms()
        for number in range(int(told["attempts"])):
            known = next((k for k in told["suspects"] if k["number"] == number), None)
            worker = known["worker"] if known is not None else 0
            sent_ms = known["sent_at"] if known is not None else now
            destination = self.destinations.find(worker) or Nowhere()
            attempt = Attempt(operation, number, worker, destination, sent_ms, now + grace)
            operation.attempts.append(attempt)
            if known is None:
                attempt.outcome = api.OutcomeKind.NOT_SENT  # proven to have never run
            elif not known["open"]:
                attempt.outcome = api.OutcomeKind.UNKNOWN
            else:
                attempt.started = known["started"]
                attempt.timer = self._loop.call_later(grace / 1000, self._attempt_timed_out, attempt)
        self._wake(now)

    def _enter(self, operation: Operation) -> float:
        """Begin to owe an answer; returns the time for it."""
        grace = max(0.0, operation.expires_ms - self.clock.now_ms() - self.limits.answer_margin_ms)
        self.elsewhere.discard(operation.id)
        self.open[operation.id] = operation
        self.figures.current += 1
        self.held_bytes += len(operation.work.body)
        operation.timer = self._loop.call_later(grace / 1000, self._time_is_up, operation)
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
        """Whether another operation with a body of this size would be taken in."""
        return len(self.open) < self.limits.operations and self.held_bytes + size <= self.limits.held_bytes

    def withdraw(self, operation: Operation, reason: str) -> None:
        """Whoever put an operation wants it no more; its answer is owed all the same."""
        if operation.answer is None:
            verdict = Verdict.FAILED if operation.may_have_run else Verdict.REFUSED
            self._finish(operation, Answer(verdict, reason=reason))
            self._event(api.ClientGone(operation.id))

    # -- from the destinations

    def ended(
        self,
        attempt: Attempt,
        kind: api.OutcomeKind,
        result: bytes | None = None,
        report: api.Report | None = None,
    ) -> None:
        """An attempt is over. Told twice or late, it changes nothing but may still bring the result."""
        operation = attempt.operation
        if not attempt.open:
            # guards against a lost result: the connection broke or time ran out, and yet the worker calls
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

    def unusable(self, attempt: Attempt, report: api.Report | None = None) -> None:
        """The worker finds the request itself at fault: it fails for good, and nothing is held against it."""
        if attempt.open:
            self._finish(attempt.operation, Answer(Verdict.FAILED, reason="not usable"))
            self._close_attempt(attempt, api.OutcomeKind.CANCELLED, report)

    def noted(self, attempt: Attempt, progress: api.Progress, share: float) -> None:
        """An attempt has begun or goes on."""
        if attempt.open:
            if not attempt.started and logs.traced():
                logs.trace("started", id=attempt.operation.id, worker=attempt.worker, number=attempt.number)
            if not attempt.started:
                attempt.started, attempt.began_ms = True, self.clock.now_ms()
            worker, number = attempt.worker, attempt.number
            self._event(api.Note(attempt.operation.id, number, worker, progress, share))

    def sent_whole(self, attempt: Attempt) -> None:
        """The last byte of an attempt is written."""
        self.figures.sent(attempt.operation.job_class)

    def probed(self, worker: int, ok: bool, elapsed_ms: float, report: api.Report | None) -> None:
        """A worker has told its load, or has not."""
        self.probe_heard(worker, ok, elapsed_ms, report)
        self._event(api.ProbeResult(worker, ok, elapsed_ms, report))

    def told_load(self, worker: int, elapsed_ms: float, report: api.Report) -> None:
        """Another node has probed a worker, and tells what it heard just now."""
        self._event(api.ProbeResult(worker, True, elapsed_ms, report))

    def pool_changed(self, news: api.WorkerList) -> None:
        """The pool config has changed."""
        self._event(news)

    def avoided(self) -> set[int]:
        """Workers that the module leaves alone now."""
        return avoided(self._dispatcher.table, self.clock.now_ms())

    def may_write(self, attempt: Attempt) -> bool:
        """Whether an attempt may still go out. Asked at the write itself: much may have changed meanwhile.

        Its connection had to come up first, or the process was held up after the decision.
        """
        operation = attempt.operation
        if not attempt.open or operation.answer is not None:
            return False
        if self.clock.now_ms() >= attempt.not_after_ms:
            return False
        incarnation = self.destinations.incarnation(attempt.worker)
        if incarnation is None or incarnation != attempt.incarnation:
            return False
        around = self.neighbours
        if around is not None:
            if around.closed(attempt.worker):
                return False
            if attempt.turn >= 0 and around.turn_over(attempt.turn):
                return False
        return any(recipient.present() for recipient in operation.recipients)

    def pass_turns(self, count: int) -> None:
        """Use no turns at cold workers for the rest of this one and `count` - 1 more; 0: for good.

        Another process of this node may have spent its part of them, or may yet.
        """
        if self._turns_back is not None:
            self._turns_back.cancel()
            self._turns_back = None
        if self.leased:
            return
        self._event(api.Shares((), indexes=()))
        if count:
            turn = self.settings.fall_ms
            wait = count * turn - self.clock.common_ms() % turn
            self._turns_back = self._loop.call_later(wait / 1000, self._use_turns)

    def _use_turns(self) -> None:
        self._turns_back = None
        if not self.leased:
            self._event(api.Shares((), indexes=(self.settings.me,)))

    def allowed(self) -> dict[int, float]:
        """What the module may still take in, by limit of all nodes."""
        return {limit: allowance.jobs for limit, allowance in self._dispatcher.allowances.items()}

    def learned(self) -> dict[str, Any]:
        """What the module has learned, as plain data."""
        return export_learned(self._dispatcher)

    def learn(self, told: dict[str, Any]) -> None:
        """Let the module begin with what the one before it has learned."""
        self.step_now()  # the list comes first
        import_learned(self._dispatcher, told)

    def attempt_of(self, job: str, worker: int) -> Attempt | None:
        """The latest attempt of an operation at a worker, if the operation is still known."""
        operation = self.open.get(job)
        if operation is not None:
            for attempt in reversed(operation.attempts):
                if attempt.worker == worker:
                    return attempt
        return None

    async def drained(self) -> None:
        """Wait until every operation has its answer and no attempt is out."""
        while self.open:
            self._idle = self._loop.create_future()
            await self._idle

    # -- the loop

    def _event(self, event: api.Event) -> None:
        self._events.append(event)
        self._wake(self.clock.now_ms())

    def step_now(self) -> None:
        """Have the module take in what has happened, without waiting for its period."""
        if self._step_timer is not None:
            self._step_timer.cancel()
        self._step()

    def step_soon(self) -> None:
        """Have the module told what it has to hear before it decides (`advisers`)."""
        self._wake(self.clock.now_ms())

    def _wake(self, at_ms: float) -> None:
        """Have a step at this time, or a period after the last one if that is later.

        An earlier one may take the timer's place: what the module asked for is kept in _wakes.
        """
        now = self.clock.now_ms()
        delay = max(at_ms - now, self._last_step + self.settings.tick_ms - now, 0.0) / 1000
        if self._step_timer is not None:
            if self._step_timer.when() <= self._loop.time() + delay:
                return
            self._step_timer.cancel()
        self._step_timer = self._loop.call_later(delay, self._step)

    def _step(self) -> None:
        self._step_timer = None
        if self._hearing:
            # guards the module's time: what neighbours tell (a ban for all) asks for a step within this one
            return
        self._hearing = True
        try:
            heard = self._hear_neighbours()
        finally:
            self._hearing = False
        now = self._last_step = self.clock.now_ms()
        advice = [event for adviser in self.advisers for event in adviser()]
        events, self._events = [*advice, *heard, *self._common_clock(), *self._events], []
        # guards against a wake-up lost to an earlier step: the module does not ask for the same one again
        while self._wakes and self._wakes[0] <= now:
            heapq.heappop(self._wakes)
            events.append(api.Timer(0))
        tracing = logs.traced()
        if tracing:
            held = {job: why_held(self._dispatcher, job, now) for job in list(self._dispatcher.held)}
        try:
            actions = self._dispatcher.step(now, events)
        except Exception:
            # guards the other operations: one bad event must not end the node; its own are answered here
            log.exception("step failed")
            actions = []
            for event in events:
                operation = self.open.get(event.job) if isinstance(event, api.Arrival) else None
                if operation is not None:
                    self._finish(operation, self._given_up(operation))
        self.decided()
        if tracing:
            self._trace_step(actions, held, now)
        for action in actions:
            try:
                self._act(action, now)
            except Exception:
                log.exception("action failed", extra={"action": type(action).__name__})
        if self._wakes:
            self._wake(self._wakes[0])

    def _trace_step(
        self, actions: list[api.Action], held: dict[str, dict[str, int] | None], now: float
    ) -> None:
        """Say what a step has decided, and what it rested on."""
        for action in actions:
            if isinstance(action, api.Send):
                work = action.work if action.max_work else 0.0
                told = belief(self._dispatcher, action.worker, now)
                logs.trace("send", id=action.job, worker=action.worker, cold=work, **told)
            elif isinstance(action, api.Refuse | api.Fail):
                kind = type(action).__name__.lower()
                logs.trace("given up", id=action.job, how=kind, why=held.get(action.job) or "-")
            elif isinstance(action, api.Probe):
                logs.trace("probe", worker=action.worker)
        for job in self._dispatcher.held:
            if job not in held:
                logs.trace("held", id=job, why=why_held(self._dispatcher, job, now))

    def _common_clock(self) -> list[api.Event]:
        """Where the wall clock stands, if it has drifted or was stepped since the module was told."""
        ahead = self.clock.ahead_ms()
        if abs(ahead - self._ahead_told) < CLOCK_DRIFT_MS:
            return []
        self._ahead_told = ahead
        return [api.CommonClock(ahead)]

    def _hear_neighbours(self) -> list[api.Event]:
        """What the other processes of the node do, or all nodes: put before what else has happened."""
        if self.neighbours is None:
            return []
        shares, places = self.neighbours.shares(), self.neighbours.places()
        if places is not None:
            return [api.Shares(shares, self.neighbours.fleet, *places)]
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
                        # guards against two copies at once: once its end is told, the job may go again
                        attempt.destination.cancel(attempt, lambda: self._recalled(attempt))
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
                    self.probed(worker, False, 0.0, None)
                else:
                    destination.probe()
            case api.Wake(at, _):
                heapq.heappush(self._wakes, at)
            case api.WatchList():
                self.destinations.watch()
            case api.Log(message):
                log.info("module", extra={"text": message})
            case api.Tell():
                log.warning("the module has no peer channel of its own")

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
        attempt.turn = send.time_slice if send.max_work > 0 else -1
        attempt.not_after_ms = min(expires, send.not_after_ms)
        if send.max_work > 0:
            turn_ends = (send.time_slice + 1) * self.settings.fall_ms - self._ahead_told
            attempt.not_after_ms = min(attempt.not_after_ms, turn_ends + TURN_LATE_MS)
        attempt.incarnation = self.destinations.incarnation(worker)
        operation.attempts.append(attempt)
        delay = max(0.0, expires - now) / 1000
        attempt.timer = self._loop.call_later(delay, self._attempt_timed_out, attempt)
        if self.neighbours is not None:
            self.neighbours.filled(worker, operation.slots)
            # guards a cold worker: what other processes spent since the module last heard of it counts too
            if send.max_work > 0 and not self.neighbours.take_cold(
                worker, send.time_slice, send.work, send.max_work
            ):
                self._close_attempt(attempt, api.OutcomeKind.NOT_SENT, None)
                return
        try:
            for observer in self.observers:
                observer(operation, "sent")
        except OSError:
            # guards the promise that intent is on the disk first: what cannot be noted is not sent
            log.exception("intent not written", extra={"id": operation.id})
            self._close_attempt(attempt, api.OutcomeKind.NOT_SENT, None)
            return
        destination.send(attempt)

    def _recalled(self, attempt: Attempt) -> None:
        """The worker has heard that an attempt is given up, whose job is still owed an answer."""
        if attempt.open:
            self._close_attempt(attempt, api.OutcomeKind.CANCELLED, None)

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        if attempt.open:
            attempt.destination.cancel(attempt)
            self._close_attempt(attempt, api.OutcomeKind.TIMED_OUT, None)

    def _time_is_up(self, operation: Operation) -> None:
        """The module answers what it holds and what timed out; this guards against its not doing so."""
        if operation.answer is None:
            delay = self.limits.answer_margin_ms / 2000
            operation.timer = self._loop.call_later(delay, self._overdue, operation)

    def _overdue(self, operation: Operation) -> None:
        if operation.answer is None:
            log.error("answered by the deadline's guard", extra={"id": operation.id})
            self._finish(operation, self._given_up(operation))
            self._event(api.ClientGone(operation.id))

    def _given_up(self, operation: Operation) -> Answer:
        if operation.may_have_run:
            return Answer(Verdict.FAILED, reason="gave up")
        return Answer(Verdict.REFUSED, b"", self.limits.busy_retry_ms, "gave up")

    def _close_attempt(self, attempt: Attempt, kind: api.OutcomeKind, report: api.Report | None) -> None:
        attempt.outcome = kind
        if attempt.timer is not None:
            attempt.timer.cancel()
        operation = attempt.operation
        if logs.traced():
            ended = {"id": operation.id, "worker": attempt.worker, "by": kind.name.lower()}
            logs.trace("ended", number=attempt.number, started=attempt.started, **ended)
        if self.neighbours is not None:
            self.neighbours.filled(attempt.worker, -operation.slots)
        for listener in self.outcome_heard:
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
        """The one place where a final answer is given."""
        if operation.answer is not None:
            return
        operation.answer = answer
        self.figures.current -= 1
        if operation.timer is not None:
            operation.timer.cancel()
        self._observe(operation, answer.verdict.value)
        self._tell(operation, answer)
        self._forget_if_over(operation)

    def _tell(self, operation: Operation, answer: Answer) -> None:
        """Every answer of an operation passes here, and is counted here."""
        self.figures.answered(operation.job_class, answer.verdict)
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
        """Guards against a second run, and a shared answer, where an id comes again."""
        self._recent[job] = None
        while len(self._recent) > self.limits.recent:
            old, _ = self._recent.popitem(last=False)
            if self.neighbours is not None:
                self.neighbours.forget(old)
