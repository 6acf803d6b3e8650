"""Calls of the operator at one keeper: handed to the head, sent again until there is an answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pebbledrift.chain.agreement import Agreement
from pebbledrift.chain.link import SLOWEST_LINK_BYTES_PER_S, ChainLink
from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Answer, Barrier, CallId, NotHead, Submit
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.view import address_of
from pebbledrift.control.orders import Check, ConfigurationState, Judgement, Order, Verdict

AGAIN_S = 0.4  # a call without an answer is handed to the head again
PENDING_MOST = 256
REFUSED_MOST = 4096  # refused calls of an epoch that are remembered at its head
Done = Callable[[Judgement | None], None]


@dataclass(slots=True)
class PendingCall:
    """A call that waits for its answer."""

    id: CallId
    order: Order | None  # None: a read
    done: Done
    deadline: float
    send_at: float
    epoch: int = 0  # the newest one whose head it was handed to
    read_at: int | None = None  # the sequence that our own state has to reach


def _under_way_s(call: PendingCall) -> float:
    """For how long a call may be on its way to the head."""
    return len(call.order.body) / SLOWEST_LINK_BYTES_PER_S if call.order is not None else 0.0


class RequestDesk:
    """The calls made at this keeper, and the judging of all calls where this keeper is the head."""

    def __init__(
        self, agreement: Agreement, link: ChainLink, log: ReplicatedLog, outbox: Outbox, check: Check
    ) -> None:
        self.agreement, self.link, self.log, self.outbox = agreement, link, log, outbox
        self._check = check
        self._pending: dict[CallId, PendingCall] = {}
        self._number = 0
        self._state: ConfigurationState | None = None  # with all entries; at the head only
        self._refused: dict[CallId, Judgement] = {}  # in this epoch, at the head

    # where the call was made

    def call(self, order: Order | None, now: float, longest: float, done: Done) -> None:
        """Make a call. `done` gets the judgement, or None where there is no clear answer in time."""
        if len(self._pending) >= PENDING_MOST:
            done(None)
            return
        self._number += 1
        name = CallId(self.outbox.address, self.agreement.incarnation, self._number)
        call = PendingCall(name, order, done, now + longest, now)
        self._pending[name] = call
        self._send(call, now)

    def _send(self, call: PendingCall, now: float) -> None:
        view = self.agreement.view
        if view is None or not view.chain:
            return
        call.send_at = now + AGAIN_S + _under_way_s(call)
        call.epoch = view.epoch
        head = address_of(view.chain[0].node)
        self.outbox.send(head, Submit(call.id, view.epoch, call.order))

    def _finish(self, call: PendingCall, judgement: Judgement | None) -> None:
        if self._pending.pop(call.id, None) is not None:
            call.done(judgement)

    def tick(self, now: float) -> None:
        """Send again what has no answer, and give up what has had its time."""
        for call in list(self._pending.values()):
            if now >= call.deadline:
                self._finish(call, None)
            elif now >= call.send_at:
                self._send(call, now)

    def on_answer(self, message: Answer) -> None:
        """The tail has answered for a call of ours.

        An answer of an epoch before the one that the call was last handed to does not end it: the later head
        may have taken the order meanwhile.
        """
        call = self._pending.get(message.call)
        if call is None:
            return
        if call.order is None:
            call.read_at = message.committed[1]
            self.on_commit()
        elif message.judgement is not None and message.epoch == call.epoch:
            self._finish(call, message.judgement)

    def on_not_head(self, message: NotHead, now: float) -> None:
        """Somebody else is the head."""
        self.agreement.learn(message.view)
        call = self._pending.get(message.call)
        if call is not None:
            call.send_at = min(call.send_at, now + AGAIN_S / 8 + _under_way_s(call))

    def on_commit(self) -> None:
        """Our own state has moved on: calls that it answers are at their end."""
        for call in list(self._pending.values()):
            if (call.order is not None and call.order.digest in self.log.state.taken) or (
                call.read_at is not None and self.log.committed.sequence >= call.read_at
            ):
                self._finish(call, Judgement(Verdict.TAKEN))

    # at the head

    def enter(self) -> None:
        """A new view is in force: what was judged in the one before counts only where it is in the log."""
        self._state = None
        self._refused.clear()
        for call in self._pending.values():
            call.send_at = min(call.send_at, self.outbox.now)

    def on_submit(self, sender: str, message: Submit) -> None:
        """Judge a call at the newest state, as the head of the epoch that it was handed to."""
        if not self.link.is_head or message.epoch != self.link.epoch:
            if self.agreement.view is not None:
                self.outbox.send(sender, NotHead(message.call, self.agreement.view))
            return
        if message.order is None:
            self.link.start_barrier(message.call, None)
            return
        judgement = self._refused.get(message.call) or self._judge(message.order)
        if judgement.verdict == Verdict.TAKEN:
            self.link.append(message.order)
            return
        self._remember_refusal(message.call, judgement)
        self.link.start_barrier(message.call, judgement)

    def _judge(self, order: Order) -> Judgement:
        if self._state is None:
            self._state = self.log.speculative(self._check)
        return self._state.apply(order)

    def _remember_refusal(self, call: CallId, judgement: Judgement) -> None:
        """A copy of a refused call that comes late is refused again, whatever is in force by then."""
        if judgement.verdict == Verdict.TAKEN_BEFORE:
            return
        self._refused[call] = judgement
        while len(self._refused) > REFUSED_MOST:
            del self._refused[next(iter(self._refused))]

    # at the tail

    def answer_barrier(self, barrier: Barrier) -> None:
        """All before the barrier is committed, and the epoch it was judged in goes on."""
        answer = Answer(barrier.call, barrier.epoch, barrier.judgement, self.log.committed)
        self.outbox.send(barrier.call.origin, answer)
