"""The search itself, on histories of a versioned register that are known to be right or wrong."""

from __future__ import annotations

import pytest

from tests.cluster.linearizability import Operation, is_linearizable
from tests.cluster.operators import accepted_change, read_result, refused_change


def taken(begun: float, ended: float | None, base: int, revision: int) -> Operation[int]:
    return Operation(begun, ended, accepted_change(base, revision))


def read(begun: float, ended: float, revision: int) -> Operation[int]:
    return Operation(begun, ended, read_result(revision))


def refused(begun: float, ended: float, base: int, revision: int) -> Operation[int]:
    return Operation(begun, ended, refused_change(base, revision))


@pytest.mark.parametrize(
    "history",
    [
        [taken(0, 1, 0, 1), read(2, 3, 1), taken(4, 5, 1, 2), read(6, 7, 2)],
        [taken(0, 9, 0, 1), read(1, 2, 0), read(3, 4, 1)],
        [taken(0, None, 0, 1), read(1, 2, 0), read(30, 40, 1)],
        [taken(0, None, 0, 1), taken(0, 2, 0, 1), read(3, 4, 1)],
        [taken(0, 1, 0, 1), refused(2, 3, 0, 2), taken(4, 5, 1, 2)],
        [taken(0, 8, 0, 1), taken(1, 9, 1, 2), read(2, 3, 2), refused(2, 5, 0, 3)],
    ],
    ids=["one by one", "beside", "unclear and taken", "unclear and not", "refused", "several beside"],
)
def test_what_one_register_may_have_answered(history: list[Operation[int]]) -> None:
    assert is_linearizable(history, 0)


@pytest.mark.parametrize(
    "history",
    [
        [taken(0, 1, 0, 1), read(2, 3, 0)],
        [taken(0, 9, 0, 1), read(1, 2, 1), read(3, 4, 0)],
        [taken(0, 1, 0, 1), taken(0, 1, 0, 2)],
        [refused(0, 1, 0, 1), taken(2, 3, 0, 1)],
        [taken(2, None, 0, 1), read(0, 1, 1)],
        [taken(0, None, 0, 1), read(1, 2, 1), read(3, 4, 0)],
    ],
    ids=[
        "old read",
        "goes back",
        "two on one base",
        "refused for nothing",
        "before it began",
        "unclear, back",
    ],
)
def test_what_no_register_answers(history: list[Operation[int]]) -> None:
    assert not is_linearizable(history, 0)
