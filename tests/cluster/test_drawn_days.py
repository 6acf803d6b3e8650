"""Plays that are drawn, and every order of events to a depth."""

from __future__ import annotations

import pytest

from pebbledrift.control.orders import OrderStatus
from tests.cluster import explorer, worst_days
from tests.cluster.operators import Operators
from tests.cluster.plays import THREE
from tests.cluster.simulation import Cluster, change

PLAYS, BATCHES = 15, 8


@pytest.mark.parametrize("number", range(BATCHES))
def test_drawn_worst_days_hold(number: int) -> None:
    found = worst_days.batch(1_000_000 + number, PLAYS)
    assert found.played >= PLAYS and not found.failures, found.failures[0]


def test_operators_find_what_is_no_register() -> None:
    """The check itself: a read that goes back, and a refusal without a reason, are found."""
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


def described(given: object) -> str:
    if not isinstance(given, explorer.Losses):
        return str(given)
    replaced = f"{given.replaced.address} replaced, " if given.replaced is not None else ""
    return f"{replaced}{given.explored.address} {'wiped' if given.explored.wiped else 'killed'}"


@pytest.mark.parametrize(
    ("losses", "depth"),
    [
        *((losses, 7) for losses in explorer.SINGLE_LOSSES),
        *((losses, 3) for losses in explorer.LOSSES_DURING_REPLACEMENT),
    ],
    ids=described,
)
def test_explored_orders_of_events_hold(losses: explorer.Losses, depth: int) -> None:
    played = 0
    for first in range(explorer.MAX_FIRST_EVENTS):
        count, failure = explorer.explore((depth, first, losses))
        assert not failure, failure
        played += count
    assert played > 20
