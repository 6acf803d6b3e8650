"""Explores every order of events up to a depth: three members, two orders on one base, one loss or two.

    python -m tests.cluster.explorer --depth 6 [--processes P]

An event is the arrival of the next message on a link, the completion of the next disk write, or a loss: of a
process, or of a process and its disk. In some simulations another disk was lost before, and the loss happens
while an empty member replaces that one. A simulation follows the given choices of events and then continues
in a fixed order. All sequences of choices are tried in turn.
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
from pebbledrift.chain.view import FOUNDING_GENERATION, founding_view, node_name
from pebbledrift.cluster import codec
from pebbledrift.control.orders import Order, OrderResult, OrderStatus
from tests.cluster.simulation import ACCEPTED, change, check

ADDRESSES = ("a:1", "b:1", "c:1")
STEP_S = 0.0002  # between events
TICK_S = 0.02
RESTART_DELAY_S = 0.3  # until a lost member starts again
FINAL_RUN_S = 8.0  # simulated time after the last choice
ORDERS = (change(1, 0, "one"), change(1, 0, "another"))
Event = Callable[[], None]


class Loss(NamedTuple):
    """The loss of a process, and of its disk if `wiped`."""

    address: str
    wiped: bool


class Losses(NamedTuple):
    """The losses of a simulation: one before the choices, if any, and one at any point among them."""

    replaced: Loss | None  # an empty member has started instead, and the view that includes it is proposed
    explored: Loss


class Simulation:
    """One simulation with the given choices of events."""

    def __init__(self, choices: tuple[int, ...], losses: Losses) -> None:
        self.choices, self.losses = choices, losses
        self.event_counts: list[int] = []  # the number of possible events at each choice
        self.now, self._incarnation, self._tick_at = 0.0, 0, 0.0
        self.records: dict[str, list[Record]] = {address: [] for address in ADDRESSES}
        self.replicas: dict[str, Replica] = {}
        self.links: dict[tuple[str, str], deque[bytes]] = {}
        self.writes: dict[str, deque[Write]] = {}
        self.committed: dict[int, Entry] = {}
        self.answers: dict[int, list[OrderResult | None]] = {0: [], 1: []}
        self._pending_loss: Loss | None = None  # the loss that has not happened yet
        self._restart_at: dict[str, float] = {}
        for address in ADDRESSES:
            self._start(address, founds=True)

    def _start(self, address: str, founds: bool) -> None:
        self._incarnation += 1
        recovered = recover(None, self.records[address])
        if recovered.node is None:
            recovered.node = node_name(address, FOUNDING_GENERATION if founds else f"g{self._incarnation}")
            self.records[address].append(Identity(recovered.node))
            if founds:
                recovered.stored.view = founding_view(ADDRESSES)
                self.records[address].append(recovered.stored.view)
        settings = ReplicaSettings(
            address, address, "", recovered.node, self._incarnation, True, 1, ADDRESSES, self._incarnation
        )
        replica = self.replicas[address] = Replica(settings, check, recovered.stored, self.now)
        replica.on_commit = self._record_commits
        self.writes[address] = deque()
        for link in [link for link in self.links if address in link]:
            self.links[link].clear()

    def _record_commits(self, entries: list[Entry]) -> None:
        for entry in entries:
            existing = self.committed.setdefault(entry.sequence, entry)
            assert existing == entry, f"two different entries committed at sequence {entry.sequence}"

    # events

    def _flush(self, address: str) -> None:
        outbox = self.replicas[address].outbox
        self.writes[address].extend(outbox.take_writes())
        for envelope in outbox.take_envelopes():
            if envelope.address in ADDRESSES:
                link = (address, envelope.address)
                self.links.setdefault(link, deque()).append(codec.encode(envelope.message))

    def _events(self) -> list[Event]:
        events: list[Event] = []
        for (sender, receiver), queue in sorted(self.links.items()):
            if queue and receiver in self.replicas:
                events.append(lambda s=sender, r=receiver: self._deliver(s, r))  # type: ignore[misc]
        for address in self.replicas:
            if self.writes[address]:
                events.append(lambda a=address: self._sync(a))  # type: ignore[misc]
        return events

    def _deliver(self, sender: str, receiver: str) -> None:
        message = codec.decode(self.links[sender, receiver].popleft())
        self.replicas[receiver].receive(sender, message, self.now)
        self._flush(receiver)

    def _sync(self, address: str) -> None:
        write = self.writes[address].popleft()
        self.records[address] += write.records
        self.replicas[address].synced(write.number, self.now)
        self._flush(address)

    def _lose_explored(self) -> None:
        self._pending_loss = None
        self._lose(self.losses.explored)

    def _lose(self, loss: Loss) -> None:
        address, wiped = loss
        self._restart_at[address] = self.now + RESTART_DELAY_S
        del self.replicas[address]
        if wiped:
            self.records[address] = []
        for link in [link for link in self.links if address in link]:
            self.links[link].clear()

    def _advance_time(self) -> None:
        self.now += STEP_S
        for address in [address for address, restart in self._restart_at.items() if self.now >= restart]:
            del self._restart_at[address]
            self._start(address, founds=False)
        if self.now >= self._tick_at:
            self._tick_at = self.now + TICK_S
            for address in list(self.replicas):
                self.replicas[address].tick(self.now)
                self._flush(address)

    def _run_until(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Execute events in a fixed order until the condition holds, for at most `timeout_s`."""
        end = self.now + timeout_s
        while not condition() and self.now < end:
            events = self._events()
            if events:
                events[0]()
            else:
                self.now = max(self.now, self._tick_at - STEP_S)
            self._advance_time()

    # the simulation

    def run(self) -> None:
        """Run the simulation. Raises AssertionError if an invariant does not hold."""
        self._run_until(lambda: all(r.established and r.link.joined for r in self.replicas.values()), 5.0)
        self._run_until(lambda: False, 0.5)
        if self.losses.replaced is not None:
            self._lose(self.losses.replaced)
            self._run_until(self._proposes_new_members, 3.0)
            assert self._proposes_new_members(), "no view with other members is proposed"
        callers = sorted(self.replicas, key=lambda address: address != self.losses.explored.address)[:2]
        for number, address in enumerate(callers):
            self._call(number, address, ORDERS[number])
        self._pending_loss = self.losses.explored
        for choice in self.choices:
            self._choose(choice)
        if self._pending_loss is not None:
            self._lose_explored()
        self._run_until(lambda: False, FINAL_RUN_S)
        self._check()

    def _proposes_new_members(self) -> bool:
        """Whether a replica proposes a view with other members."""
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
        if self._pending_loss is not None:
            events.append(self._lose_explored)
        self.event_counts.append(len(events))
        if events:
            events[min(choice, len(events) - 1)]()
        self._advance_time()

    def _check(self) -> None:
        orders = [entry.order for entry in self.committed.values() if entry.order is not None]
        assert len(orders) <= 1, "two changes committed on one base"
        for number, order in enumerate(ORDERS):
            for result in self.answers[number]:
                if result is None:
                    continue
                assert (result.status in ACCEPTED) == (order in orders), f"{result}, committed: {orders}"
        repeated = [list[OrderResult | None](), list[OrderResult | None]()]
        for number, order in enumerate(ORDERS):
            self.replicas["c:1"].call(order, self.now, 3.0, repeated[number].append)
        self._flush("c:1")
        self._run_until(lambda: bool(repeated[0] and repeated[1]), 4.0)
        statuses = [answers[0].status if answers and answers[0] else None for answers in repeated]
        assert sorted(status in ACCEPTED for status in statuses) == [False, True], f"repeated: {statuses}"
        assert OrderStatus.CONFLICT in statuses, f"repeated: {statuses}"
        for address, replica in self.replicas.items():
            assert replica.log.state.revision == 1, f"{address} has not applied the change"


def simulations_to(depth: int, first: int, losses: Losses) -> Iterator[Simulation]:
    """Yield every simulation up to a depth with the given first choice.

    The caller has to run each one before it takes the next.
    """
    choices = [first] + [0] * (depth - 1)
    while True:
        simulation = Simulation(tuple(choices), losses)
        yield simulation
        if first >= simulation.event_counts[0]:
            return
        index = depth - 1
        while index > 0 and choices[index] + 1 >= simulation.event_counts[index]:
            index -= 1
        if index == 0:
            return
        choices = choices[: index + 1] + [0] * (depth - index - 1)
        choices[index] += 1


def explore(job: tuple[int, int, Losses]) -> tuple[int, str]:
    """Run all simulations of a job: its depth, first choice and losses.

    Returns how many were run, and the first failure or an empty text.
    """
    count = 0
    for simulation in simulations_to(*job):
        try:
            simulation.run()
        except AssertionError as error:
            return count + 1, f"{simulation.choices}, {simulation.losses}: {error}"
        count += 1
    return count, ""


SINGLE_LOSSES = tuple(Losses(None, Loss(lost, wiped)) for lost in ADDRESSES for wiped in (False, True))
LOSSES_DURING_REPLACEMENT = tuple(
    Losses(Loss(first, True), Loss(second, False)) for first in ADDRESSES for second in ADDRESSES
)
MAX_FIRST_EVENTS = 12  # upper bound of the number of possible events at the first choice


def main() -> int:
    """Explore all orders of events up to the depth of the command line."""
    parser = argparse.ArgumentParser(description="Plays every order of events to a depth.")
    parser.add_argument("--depth", type=int, default=4)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    jobs = [
        (options.depth, first, losses)
        for first in range(MAX_FIRST_EVENTS)
        for losses in (*SINGLE_LOSSES, *LOSSES_DURING_REPLACEMENT)
    ]
    total, failed = 0, 0
    with multiprocessing.Pool(options.processes) as pool:
        for count, failure in pool.imap_unordered(explore, jobs):
            total += count
            if failure:
                failed += 1
                print(failure, flush=True)
    print(f"{total} simulations to depth {options.depth}, {failed} jobs failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
