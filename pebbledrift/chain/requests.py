"""Operator calls: each keeper submits its calls to the head, and sends them again until they are answered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from pebbledrift.chain.agreement import Agreement
from pebbledrift.chain.link import SLOWEST_LINK_BYTES_PER_S, ChainLink
from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Answer, Barrier, CallId, NotHead, Submit
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.view import address_of
from pebbledrift.control.orders import (
    Check,
    ConfigurationState,
    Order,
    OrderResult,
    OrderStatus,
    refusal_of,
)
from spoolpier.records import record

RESEND_AFTER_S = 0.4  # a call without an answer is submitted to the head again
MAX_PENDING_CALLS = 256
MAX_PENDING_BYTES = 32 * 1024 * 1024  # of the bodies of pending orders
ResultCallback = Callable[[OrderResult | None], None]


class UnconfirmedCause(Enum):
    """Why a call ended without a clear answer."""

    NO_VIEW = "no_view"  # no view is known here, or it has no chain
    NO_ANSWER = "no_answer"  # the call was sent to the head, and the tail has not answered it
    BEHIND = "behind"  # the tail has answered a read, but its entries have not arrived here
    TOO_MANY_CALLS = "too_many_calls"


@record
class UnconfirmedCall:
    """A call that ended without a clear answer, with what was known of it. Times are in seconds."""

    is_read: bool
    cause: UnconfirmedCause
    waited_s: float
    epoch: int  # to whose head it was last sent; 0 if it was not sent
    head: str  # address of the head of the current view, empty if there is none
    committed: int  # sequence committed here
    needed: int | None  # sequence that a read waits for, if the tail has answered


def _ignore(call: UnconfirmedCall) -> None:
    """Default value of `RequestHandler.on_unconfirmed`."""


@dataclass(slots=True)
class PendingCall:
    """A call that has not been answered yet. Times are seconds of the local clock."""

    id: CallId
    order: Order | None  # None: a read
    on_done: ResultCallback
    started_at: float
    deadline: float
    send_at: float
    epoch: int = 0  # the epoch to whose head it was last submitted
    read_sequence: int | None = None  # a read is done once this sequence is committed locally


def _transfer_s(call: PendingCall) -> float:
    """Return how many seconds a call may take to reach the head over the slowest link."""
    return len(call.order.body) / SLOWEST_LINK_BYTES_PER_S if call.order is not None else 0.0


class RequestHandler:
    """Tracks the calls made at this keeper, and evaluates those of all keepers while this one is the head."""

    def __init__(
        self, agreement: Agreement, link: ChainLink, log: ReplicatedLog, outbox: Outbox, check: Check
    ) -> None:
        self.agreement, self.link, self.log, self.outbox = agreement, link, log, outbox
        self._check = check
        self._pending: dict[CallId, PendingCall] = {}
        self._number = 0
        self._state: ConfigurationState | None = None  # includes uncommitted entries; at the head only
        self.on_unconfirmed: Callable[[UnconfirmedCall], None] = _ignore

    # at the keeper where the call was made

    def call(self, order: Order | None, now: float, timeout_s: float, on_done: ResultCallback) -> None:
        """Make a call: an order, or a read if there is none.

        `on_done` receives the result, or None if there is no clear answer in time or there are too many
        pending calls.
        """
        self._number += 1
        call_id = CallId(self.outbox.address, self.agreement.incarnation, self._number)
        call = PendingCall(call_id, order, on_done, now, now + timeout_s, now)
        if len(self._pending) >= MAX_PENDING_CALLS or self._pending_bytes(call) > MAX_PENDING_BYTES:
            self._report_unconfirmed(call, UnconfirmedCause.TOO_MANY_CALLS, now)
            on_done(None)
            return
        self._pending[call_id] = call
        self._send(call, now)

    def _pending_bytes(self, added: PendingCall) -> int:
        """The size of the bodies of all pending orders and of one more call."""
        calls = (added, *self._pending.values())
        return sum(len(call.order.body) for call in calls if call.order is not None)

    def _send(self, call: PendingCall, now: float) -> None:
        view = self.agreement.view
        if view is None or not view.chain:
            return
        call.send_at = now + RESEND_AFTER_S + _transfer_s(call)
        call.epoch = view.epoch
        head = address_of(view.chain[0].node)
        self.outbox.send(head, Submit(call.id, view.epoch, call.order))

    def _finish(self, call: PendingCall, result: OrderResult | None) -> None:
        if self._pending.pop(call.id, None) is not None:
            call.on_done(result)

    def tick(self, now: float) -> None:
        """Send calls without an answer again, and finish those whose deadline has passed."""
        for call in list(self._pending.values()):
            if now >= call.deadline:
                self._report_unconfirmed(call, self._unconfirmed_cause(call), now)
                self._finish(call, None)
            elif now >= call.send_at:
                self._send(call, now)

    def _unconfirmed_cause(self, call: PendingCall) -> UnconfirmedCause:
        if call.read_sequence is not None:
            return UnconfirmedCause.BEHIND
        return UnconfirmedCause.NO_ANSWER if call.epoch else UnconfirmedCause.NO_VIEW

    def _report_unconfirmed(self, call: PendingCall, cause: UnconfirmedCause, now: float) -> None:
        view = self.agreement.view
        self.on_unconfirmed(
            UnconfirmedCall(
                is_read=call.order is None,
                cause=cause,
                waited_s=now - call.started_at,
                epoch=call.epoch,
                head=address_of(view.chain[0].node) if view is not None and view.chain else "",
                committed=self.log.committed.sequence,
                needed=call.read_sequence,
            )
        )

    def on_answer(self, message: Answer) -> None:
        """Handle the answer of the tail to a call made here.

        An answer from an earlier epoch than the one that the call was last submitted in does not finish it:
        the later head may have accepted the order in the meantime.
        """
        call = self._pending.get(message.call)
        if call is None:
            return
        if call.order is None:
            call.read_sequence = message.committed[1]
            self.on_commit()
        elif message.result is not None and message.epoch == call.epoch:
            self._finish(call, message.result)

    def on_not_head(self, message: NotHead, now: float) -> None:
        """Adopt the newer view, and submit the call to its head soon."""
        self.agreement.adopt(message.view)
        call = self._pending.get(message.call)
        if call is not None:
            call.send_at = min(call.send_at, now + RESEND_AFTER_S / 8 + _transfer_s(call))

    def on_commit(self) -> None:
        """Finish the calls that the newly committed entries answer."""
        for call in list(self._pending.values()):
            if (call.order is not None and call.order.digest in self.log.state.accepted) or (
                call.read_sequence is not None and self.log.committed.sequence >= call.read_sequence
            ):
                self._finish(call, OrderResult(OrderStatus.ACCEPTED))

    # at the head

    def enter_view(self) -> None:
        """Discard the state of the previous view, except what is in the log, and resend the calls."""
        self._state = None
        for call in self._pending.values():
            call.send_at = min(call.send_at, self.outbox.now)

    def on_submit(self, sender: str, message: Submit) -> None:
        """Evaluate a call against the newest state, if this replica is the head of the call's epoch."""
        is_head = self.link.is_head if message.order is not None else self.link.is_read_head
        if not is_head or message.epoch != self.link.epoch:
            if self.agreement.view is not None:
                self.outbox.send(sender, NotHead(message.call, self.agreement.view))
            return
        if message.order is None:
            self.link.start_barrier(message.call, None)
            return
        result = self._evaluate(message.order)
        if result.status == OrderStatus.ACCEPTED:
            self.link.append(message.order)
            return
        self._record_refusal(message.order)
        self.link.start_barrier(message.call, result)

    def _evaluate(self, order: Order) -> OrderResult:
        if self._state is None:
            self._state = self.log.speculative(self._check)
        return self._state.apply(order)

    def _record_refusal(self, order: Order) -> None:
        """Log the refusal of an order that could be accepted later, before the refusal is answered.

        Other copies of the order may wait at any keeper, in a queue or in a socket. The record makes all of
        them refused, in later epochs and after restarts too.
        """
        if self._state is not None and self._state.must_record_refusal(order):
            refusal = refusal_of(order)
            self._state.apply(refusal)
            self.link.append(refusal)

    # at the tail

    def answer_barrier(self, barrier: Barrier) -> None:
        """Answer the call of a barrier that has reached the tail.

        All entries before it are committed, and its epoch is still the current one.
        """
        answer = Answer(barrier.call, barrier.epoch, barrier.result, self.log.committed)
        self.outbox.send(barrier.call.origin, answer)
