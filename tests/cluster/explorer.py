"""Every order of events to a stated depth: three members, two orders on one base, one loss or two.

    python -m tests.cluster.explorer --depth 6 [--processes P]

An event is the arrival of the next message on a link, the end of the next write of a disk, or a loss: of a
process, or of a machine's disk too. In some plays a disk was lost before, and the loss comes while an empty
member takes the place of that one. A play follows the given choices and goes on in a fixed order behind them;
the choices are tried one after the other until there are no others.
"""

from __future__ import annotations

import argparse
import multiprocessing
import sys
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from pebbledrift.chain.messages import Entry, Identity, Record
from pebbledrift.chain.outbox import Write
from pebbledrift.chain.recovery import recover
from pebbledrift.chain.replica import Replica, ReplicaSettings
from pebbledrift.chain.view import FOUNDER, founding_view, node_name
from pebbledrift.cluster import codec
from pebbledrift.control.orders import Order, OrderResult, OrderStatus
from tests.cluster.simulation import TAKEN, change, check

ADDRESSES = ("a:1", "b:1", "c:1")
STEP_S = 0.0002  # between events
TICK_S = 0.02
BACK_S = 0.3  # the lost member comes back
END_S = 8.0
ORDERS = (change(1, 0, "one"), change(1, 0, "another"))
Event = Callable[[], None]


class Loss(NamedTuple):
    """A process ends; with its disk, if that is wiped."""

    address: str
    wiped: bool


class Losses(NamedTuple):
    """What is lost in a play: before the choices begin, and at any point of them."""

    replaced: Loss | None  # an empty member has come for it, and the view that takes it in is proposed
    chosen: Loss


class Exploration:
    """One play."""

    def __init__(self, choices: tuple[int, ...], losses: Losses) -> None:
        self.choices, self.losses = choices, losses
        self.alternatives: list[int] = []  # how many events there were to choose from, at each choice
        self.now, self._incarnation, self._tick_at = 0.0, 0, 0.0
        self.records: dict[str, list[Record]] = {address: [] for address in ADDRESSES}
        self.replicas: dict[str, Replica] = {}
        self.links: dict[tuple[str, str], deque[bytes]] = {}
        self.writes: dict[str, deque[Write]] = {}
        self.committed: dict[int, Entry] = {}
        self.answers: dict[int, list[OrderResult | None]] = {0: [], 1: []}
        self._to_lose: Loss | None = None  # what may still come
        self._back_at: dict[str, float] = {}
        for address in ADDRESSES:
            self._start(address, founds=True)

    def _start(self, address: str, founds: bool) -> None:
        self._incarnation += 1
        recovered = recover(None, self.records[address])
        if recovered.node is None:
            recovered.node = node_name(address, FOUNDER if founds else f"g{self._incarnation}")
            self.records[address].append(Identity(recovered.node))
            if founds:
                recovered.stored.view = founding_view(ADDRESSES)
                self.records[address].append(recovered.stored.view)
        settings = ReplicaSettings(
            address, address, "", recovered.node, self._incarnation, True, 1, ADDRESSES, self._incarnation
        )
        replica = self.replicas[address] = Replica(settings, check, recovered.stored, self.now)
        replica.on_commit = self._note
        self.writes[address] = deque()
        for link in [link for link in self.links if address in link]:
            self.links[link].clear()

    def _note(self, entries: list[Entry]) -> None:
        for entry in entries:
            known = self.committed.setdefault(entry.sequence, entry)
            assert known == entry, f"two entries committed at {entry.sequence}"

    # events

    def _flush(self, address: str) -> None:
        outbox = self.replicas[address].outbox
        self.writes[address].extend(outbox.take_writes())
        for envelope in outbox.take_envelopes():
            if envelope.address in ADDRESSES:
                link = (address, envelope.address)
                self.links.setdefault(link, deque()).append(codec.encode(envelope.message))

    def _events(self) -> list[Event]:
        found: list[Event] = []
        for (sender, receiver), queue in sorted(self.links.items()):
            if queue and receiver in self.replicas:
                found.append(lambda s=sender, r=receiver: self._deliver(s, r))  # type: ignore[misc]
        for address in self.replicas:
            if self.writes[address]:
                found.append(lambda a=address: self._sync(a))  # type: ignore[misc]
        return found

    def _deliver(self, sender: str, receiver: str) -> None:
        message = codec.decode(self.links[sender, receiver].popleft())
        self.replicas[receiver].receive(sender, message, self.now)
        self._flush(receiver)

    def _sync(self, address: str) -> None:
        write = self.writes[address].popleft()
        self.records[address] += write.records
        self.replicas[address].synced(write.number, self.now)
        self._flush(address)

    def _lose_chosen(self) -> None:
        self._to_lose = None
        self._lose(self.losses.chosen)

    def _lose(self, loss: Loss) -> None:
        lost, wiped = loss
        self._back_at[lost] = self.now + BACK_S
        del self.replicas[lost]
        if wiped:
            self.records[lost] = []
        for link in [link for link in self.links if lost in link]:
            self.links[link].clear()

    def _pass_time(self) -> None:
        self.now += STEP_S
        for address in [address for address, back in self._back_at.items() if self.now >= back]:
            del self._back_at[address]
            self._start(address, founds=False)
        if self.now >= self._tick_at:
            self._tick_at = self.now + TICK_S
            for address in list(self.replicas):
                self.replicas[address].tick(self.now)
                self._flush(address)

    def _go_on(self, until: Callable[[], bool], longest: float) -> None:
        """Let events come in a fixed order."""
        end = self.now + longest
        while not until() and self.now < end:
            events = self._events()
            if events:
                events[0]()
            else:
                self.now = max(self.now, self._tick_at - STEP_S)
            self._pass_time()

    # the play

    def run(self) -> None:
        """Play; raises AssertionError where something does not hold."""
        self._go_on(lambda: all(r.established and r.link.joined for r in self.replicas.values()), 5.0)
        self._go_on(lambda: False, 0.5)
        if self.losses.replaced is not None:
            self._lose(self.losses.replaced)
            self._go_on(self._replaces, 3.0)
            assert self._replaces(), "no view with another member is proposed"
        callers = sorted(self.replicas, key=lambda address: address != self.losses.chosen.address)[:2]
        for number, address in enumerate(callers):
            self._call(number, address, ORDERS[number])
        self._to_lose = self.losses.chosen
        for choice in self.choices:
            self._choose(choice)
        if self._to_lose is not None:
            self._lose_chosen()
        self._go_on(lambda: False, END_S)
        self._check()

    def _replaces(self) -> bool:
        """Whether a view with another member is proposed."""
        agreements = [replica.agreement for replica in self.replicas.values()]
        return any(
            a.proposal is not None and a.view is not None and a.proposal.plan.members != a.view.members
            for a in agreements
        )

    def _call(self, number: int, address: str, order: Order) -> None:
        self.replicas[address].call(order, self.now, 3.0, self.answers[number].append)
        self._flush(address)

    def _choose(self, choice: int) -> None:
        events = self._events()
        if self._to_lose is not None:
            events.append(self._lose_chosen)
        self.alternatives.append(len(events))
        if events:
            events[min(choice, len(events) - 1)]()
        self._pass_time()

    def _check(self) -> None:
        orders = [entry.order for entry in self.committed.values() if entry.order is not None]
        assert len(orders) <= 1, "two changes on one base"
        for number, order in enumerate(ORDERS):
            for judgement in self.answers[number]:
                if judgement is None:
                    continue
                assert (judgement.status in TAKEN) == (order in orders), f"{judgement}: {orders}"
        again = [list[OrderResult | None](), list[OrderResult | None]()]
        for number, order in enumerate(ORDERS):
            self.replicas["c:1"].call(order, self.now, 3.0, again[number].append)
        self._flush("c:1")
        self._go_on(lambda: bool(again[0] and again[1]), 4.0)
        verdicts = [found[0].status if found and found[0] else None for found in again]
        assert sorted(verdict in TAKEN for verdict in verdicts) == [False, True], f"sent again: {verdicts}"
        assert OrderStatus.CONFLICT in verdicts, f"sent again: {verdicts}"
        for address, replica in self.replicas.items():
            assert replica.log.state.revision == 1, f"{address} lacks the change"


def choices_to(depth: int, first: int, losses: Losses) -> Iterator[Exploration]:
    """Every play to a depth whose first choice is the given one."""
    prefix = [first] + [0] * (depth - 1)
    while True:
        play = Exploration(tuple(prefix), losses)
        yield play
        if first >= play.alternatives[0]:
            return
        at = depth - 1
        while at > 0 and prefix[at] + 1 >= play.alternatives[at]:
            at -= 1
        if at == 0:
            return
        prefix = prefix[: at + 1] + [0] * (depth - at - 1)
        prefix[at] += 1


def explore(job: tuple[int, int, Losses]) -> tuple[int, str]:
    """Play all of a job: depth, first choice, and what is lost."""
    count = 0
    for play in choices_to(*job):
        try:
            play.run()
        except AssertionError as error:
            return count + 1, f"{play.choices}, {play.losses}: {error}"
        count += 1
    return count, ""


SINGLE = tuple(Losses(None, Loss(lost, wiped)) for lost in ADDRESSES for wiped in (False, True))
REPLACED = tuple(
    Losses(Loss(first, True), Loss(second, False)) for first in ADDRESSES for second in ADDRESSES
)
FIRST_MOST = 12  # events that there may be to choose from at the beginning


def main() -> int:
    """Explore to a depth."""
    parser = argparse.ArgumentParser(description="Plays every order of events to a depth.")
    parser.add_argument("--depth", type=int, default=4)
    parser.add_argument("--processes", type=int, default=4)
    chosen = parser.parse_args()
    jobs = [(chosen.depth, first, losses) for first in range(FIRST_MOST) for losses in (*SINGLE, *REPLACED)]
    total, failed = 0, 0
    with multiprocessing.Pool(chosen.processes) as pool:
        for count, failure in pool.imap_unordered(explore, jobs):
            total += count
            if failure:
                failed += 1
                print(failure, flush=True)
    print(f"{total} plays to depth {chosen.depth}, {failed} jobs failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
