"""Whether a history of operations at one object is linearizable.

The search is Wing and Gong's (1993), with Lowe's memory of what was tried: an operation may come next if none
that has not come yet ended before it began; two ways that the same operations have come, and that led to one
state, are one. Operations without an answer may come at any time after their begin, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

State = TypeVar("State")
STEPS_MOST = 2_000_000


class Undecided(AssertionError):
    """The search was longer than it may be."""


@dataclass(frozen=True)
class Operation(Generic[State]):
    """One operation: when it began and had its answer, and what it does to a state.

    `apply` returns the state after it, or None where the answer could not have been given at that state.
    """

    begun: float
    ended: float | None  # None: without an answer
    apply: Callable[[State], State | None]


@dataclass
class _Place(Generic[State]):
    """A place in the search: which operations have come, and what is left to try."""

    answered: int  # operations that have come, as bits
    unanswered: int
    state: State
    candidates: Iterator[tuple[int, int, State]]


class _Search(Generic[State]):
    def __init__(self, operations: Sequence[Operation[State]]) -> None:
        in_order = sorted(operations, key=lambda operation: operation.begun)
        self._answered = [operation for operation in in_order if operation.ended is not None]
        self._unanswered = [operation for operation in in_order if operation.ended is None]
        self._ends = [operation.ended or 0.0 for operation in self._answered]
        self._all = (1 << len(self._answered)) - 1

    def run(self, initial: State) -> bool:
        seen: set[tuple[int, int, State]] = {(0, 0, initial)}
        places = [_Place(0, 0, initial, self._candidates(0, 0, initial))]
        for _ in range(STEPS_MOST):
            place = places[-1]
            if place.answered == self._all:
                return True
            following = next(place.candidates, None)
            if following is None:
                places.pop()
                if not places:
                    return False
            elif following not in seen:
                seen.add(following)
                places.append(_Place(*following, self._candidates(*following)))
        raise Undecided(f"no verdict after {STEPS_MOST} steps")

    def _candidates(self, answered: int, unanswered: int, state: State) -> Iterator[tuple[int, int, State]]:
        """Operations that may come next, those with an answer first.

        One that leaves the state as it is may as well come now: nothing is lost by it for the others.
        """
        possible, latest = self._possible(answered)
        reached = {number: self._answered[number].apply(state) for number in possible}
        for number, after in reached.items():
            if after == state:
                yield answered | 1 << number, unanswered, after
                return
        for number, after in reached.items():
            if after is not None:
                yield answered | 1 << number, unanswered, after
        for number, operation in enumerate(self._unanswered):
            if operation.begun > latest:
                break
            after = None if unanswered >> number & 1 else operation.apply(state)
            if after is not None and after != state:
                yield answered, unanswered | 1 << number, after

    def _possible(self, answered: int) -> tuple[list[int], float]:
        """Operations with an answer that none ended before, and the first end of all that have not come."""
        found: list[int] = []
        latest = float("inf")
        number = (~answered & (answered + 1)).bit_length() - 1  # the first that has not come
        while number < len(self._answered) and self._answered[number].begun <= latest:
            if not answered >> number & 1:
                found.append(number)
                latest = min(latest, self._ends[number])
            number += 1
        return [n for n in found if self._answered[n].begun <= latest], latest


def is_linearizable(operations: Sequence[Operation[State]], initial: State) -> bool:
    """Whether the operations can be put in one order that explains all answers."""
    return _Search(operations).run(initial)
