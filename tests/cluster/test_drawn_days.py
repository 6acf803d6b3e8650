"""Generated fault plans, and every order of events up to a depth."""

from __future__ import annotations

import pytest

from pebbledrift.control.orders import OrderStatus
from tests.cluster import explorer, worst_days
from tests.cluster.operators import Operators
from tests.cluster.plays import THREE
from tests.cluster.simulation import Cluster, change

PLANS_PER_BATCH, BATCHES = 15, 8


@pytest.mark.parametrize("number", range(BATCHES))
def test_drawn_fault_plans_hold(number: int) -> None:
    result = worst_days.run_batch(1_000_000 + number, PLANS_PER_BATCH)
    assert result.played >= PLANS_PER_BATCH and not result.failures, result.failures[0]


def test_operators_detect_violations_of_a_register() -> None:
    """Tests the checker: it detects a read of an old revision and a conflict without a cause."""
    cluster = Cluster(THREE)
    cluster.run(2.0)
    operators = Operators(cluster, lambda: list(THREE), 1)
    first = operators.send(change(1, 0), 1)
    cluster.run(1.0)
    second = operators.send(change(2, 1), 2)
    cluster.run(1.0)
    read = operators.read()
    cluster.run(1.0)
    assert (first.status, second.status, read.revision) == (OrderStatus.ACCEPTED, OrderStatus.ACCEPTED, 2)
    operators.check()
    read.revision = 1
    with pytest.raises(AssertionError, match="read 1"):
        operators.check()
    read.revision = 2
    second.status = OrderStatus.CONFLICT
    with pytest.raises(AssertionError, match="refused and in force"):
        operators.check()


def losses_id(parameter: object) -> str:
    if not isinstance(parameter, explorer.Losses):
        return str(parameter)
    replaced = f"{parameter.replaced.address} replaced, " if parameter.replaced is not None else ""
    return f"{replaced}{parameter.explored.address} {'wiped' if parameter.explored.wiped else 'killed'}"


@pytest.mark.parametrize(
    ("losses", "depth"),
    [
        *((losses, 7) for losses in explorer.SINGLE_LOSSES),
        *((losses, 3) for losses in explorer.LOSSES_DURING_REPLACEMENT),
    ],
    ids=losses_id,
)
def test_explored_orders_of_events_hold(losses: explorer.Losses, depth: int) -> None:
    explored = 0
    for first in range(explorer.MAX_FIRST_EVENTS):
        count, failure = explorer.explore((depth, first, losses))
        assert not failure, failure
        explored += count
    assert explored > 20
