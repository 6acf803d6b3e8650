"""Drawn plays of orders that build on orders which are not acknowledged yet, at keepers that stand still.

Up to eight orders are in progress at once, each on top of another one and sent in any sequence. Their callers
leave after a second and go elsewhere, so that copies wait at keepers that are frozen or cut off.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from pebbledrift.control.orders import Order, OrderStatus
from tests.cluster.operators import Operation, Operators
from tests.cluster.plays import THREE
from tests.cluster.simulation import ACCEPTED, Cluster, change

PLAYS = 12
ROUNDS = 5
MAX_ORDERS = 8
MAX_FREEZE_S = 4.5
SETTLE_S = 14.0  # longer than an order is kept by a keeper, and than a freeze
REFUSED = (OrderStatus.CONFLICT, OrderStatus.INVALID)


@dataclass
class EarlyOrders:
    """One play."""

    seed: int
    revision: int = 1  # newest acknowledged
    operations: list[Operation] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.cluster = Cluster(THREE, self.seed)
        self.operators = Operators(self.cluster, lambda: list(THREE), self.seed, ack_lost=0.2)

    def run(self) -> list[Operation]:
        """Plays all rounds, and restarts every keeper; returns the orders that were refused."""
        self.cluster.run(2.0)
        self._send(1, 0)
        self.cluster.run(1.0)
        for _ in range(ROUNDS):
            self._disturb()
            self._send_ladder()
            self.cluster.run(self.random.uniform(0.5, 6.0))
            self._note_acknowledged()
        self.operators.ack_lost = 0.0
        self.cluster.run(SETTLE_S)
        for address in THREE:
            self.cluster.kill(address, power=True)
        for address in THREE:
            self.cluster.start(address)
        self.cluster.run(4.0)
        return [operation for operation in self.operations if operation.status in REFUSED]

    def _disturb(self) -> None:
        address = self.random.choice(THREE)
        seconds = self.random.uniform(0.5, MAX_FREEZE_S)
        if self.random.random() < 0.7:
            self.cluster.freeze(address, seconds)
            return
        self.cluster.cut_off(address)
        self.cluster.at(self.cluster.now + seconds, self.cluster.heal)

    def _send_ladder(self) -> None:
        """Sends orders that build on each other, in any sequence within half a second."""
        count = self.random.randint(2, MAX_ORDERS)
        for step in range(count):
            base = self.revision + step
            delay = self.random.uniform(0.0, 0.5)
            self.cluster.at(self.cluster.now + delay, lambda base=base: self._send(base + 1, base))  # type: ignore[misc]

    def _send(self, revision: int, base: int) -> None:
        order = change(revision, base, f"{self.seed} {len(self.operations)}")
        self.operations.append(self.operators.send(order, revision))

    def _note_acknowledged(self) -> None:
        acknowledged = [o.revision for o in self.operations if o.status in ACCEPTED]
        self.revision = max(acknowledged, default=self.revision)

    def send_copies(self, orders: list[Order]) -> list[int | None]:
        """Sends each order to every keeper again; returns the statuses of the clear answers."""
        calls = [self.cluster.order(address, order) for order in orders for address in THREE]
        self.cluster.run(4.0)
        return [None if call.result is None else call.result.status for call in calls]


@pytest.mark.parametrize("seed", range(PLAYS))
def test_an_order_that_was_refused_is_never_in_force(seed: int) -> None:
    # guards against a copy being accepted at another keeper, in another epoch or after a restart
    play = EarlyOrders(seed)
    refused = play.run()
    assert any(operation.status in ACCEPTED for operation in play.operations)
    play.operators.check()
    statuses = play.send_copies([operation.order for operation in refused if operation.order is not None])
    assert all(status in (None, *REFUSED) for status in statuses), statuses
    play.operators.check()


def test_the_plays_refuse_orders_whose_base_comes_into_force_later() -> None:
    # what the plays above are for has to happen in them
    found = 0
    for seed in range(PLAYS):
        play = EarlyOrders(seed)
        refused = play.run()
        in_force = {o.revision for o in play.operations if o.status in ACCEPTED}
        found += sum(o.order is not None and o.order.base in in_force for o in refused)
    assert found > PLAYS
