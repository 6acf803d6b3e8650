"""Tests of the linearizability check, on histories of a versioned register with a known verdict."""

from __future__ import annotations

import pytest

from tests.cluster.linearizability import Operation, is_linearizable
from tests.cluster.operators import accepted_change, read_result, refused_change


def accepted(started_at: float, ended_at: float | None, base: int, revision: int) -> Operation[int]:
    return Operation(started_at, ended_at, accepted_change(base, revision))


def read(started_at: float, ended_at: float, revision: int) -> Operation[int]:
    return Operation(started_at, ended_at, read_result(revision))


def refused(started_at: float, ended_at: float, base: int, revision: int) -> Operation[int]:
    return Operation(started_at, ended_at, refused_change(base, revision))


@pytest.mark.parametrize(
    "history",
    [
        [accepted(0, 1, 0, 1), read(2, 3, 1), accepted(4, 5, 1, 2), read(6, 7, 2)],
        [accepted(0, 9, 0, 1), read(1, 2, 0), read(3, 4, 1)],
        [accepted(0, None, 0, 1), read(1, 2, 0), read(30, 40, 1)],
        [accepted(0, None, 0, 1), accepted(0, 2, 0, 1), read(3, 4, 1)],
        [accepted(0, 1, 0, 1), refused(2, 3, 0, 2), accepted(4, 5, 1, 2)],
        [accepted(0, 8, 0, 1), accepted(1, 9, 1, 2), read(2, 3, 2), refused(2, 5, 0, 3)],
    ],
    ids=[
        "sequential",
        "concurrent",
        "pending, took effect",
        "pending, no effect",
        "refused",
        "several concurrent",
    ],
)
def test_a_linearizable_history_is_accepted(history: list[Operation[int]]) -> None:
    assert is_linearizable(history, 0)


@pytest.mark.parametrize(
    "history",
    [
        [accepted(0, 1, 0, 1), read(2, 3, 0)],
        [accepted(0, 9, 0, 1), read(1, 2, 1), read(3, 4, 0)],
        [accepted(0, 1, 0, 1), accepted(0, 1, 0, 2)],
        [refused(0, 1, 0, 1), accepted(2, 3, 0, 1)],
        [accepted(2, None, 0, 1), read(0, 1, 1)],
        [accepted(0, None, 0, 1), read(1, 2, 1), read(3, 4, 0)],
    ],
    ids=[
        "stale read",
        "read goes back",
        "two changes on one base",
        "refused without a conflict",
        "read before the start of the change",
        "pending change, read goes back",
    ],
)
def test_a_history_that_is_not_linearizable_is_rejected(history: list[Operation[int]]) -> None:
    assert not is_linearizable(history, 0)
