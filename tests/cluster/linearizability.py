"""Checks whether a history of operations on one object is linearizable.

The search is that of Wing and Gong (1993) with the memoization of Lowe. An operation may be linearized next
if no other remaining operation ended before it started. Two orders of the same operations that lead to the
same state are searched once. Operations without an answer (pending ones) may take effect at any time after
their start, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

State = TypeVar("State")
MAX_STEPS = 2_000_000


class SearchLimitExceeded(AssertionError):
    """The search took more than MAX_STEPS steps."""


@dataclass(frozen=True)
class Operation(Generic[State]):
    """One operation: when it started and was answered, and its effect on a state.

    `apply` returns the next state, or None if the answer could not have been given in that state.
    """

    started_at: float
    ended_at: float | None  # None: pending, without an answer
    apply: Callable[[State], State | None]


@dataclass
class _SearchNode(Generic[State]):
    """A node of the search: the operations linearized so far, and the successors not tried yet."""

    complete_done: int  # bit set of the linearized operations among those with an answer
    pending_done: int  # bit set of those among the pending operations
    state: State
    candidates: Iterator[tuple[int, int, State]]


class _Search(Generic[State]):
    def __init__(self, operations: Sequence[Operation[State]]) -> None:
        in_order = sorted(operations, key=lambda operation: operation.started_at)
        self._complete = [operation for operation in in_order if operation.ended_at is not None]
        self._pending = [operation for operation in in_order if operation.ended_at is None]
        self._ends = [operation.ended_at or 0.0 for operation in self._complete]
        self._all_complete = (1 << len(self._complete)) - 1

    def run(self, initial: State) -> bool:
        seen: set[tuple[int, int, State]] = {(0, 0, initial)}
        stack = [_SearchNode(0, 0, initial, self._candidates(0, 0, initial))]
        for _ in range(MAX_STEPS):
            node = stack[-1]
            if node.complete_done == self._all_complete:
                return True
            successor = next(node.candidates, None)
            if successor is None:
                stack.pop()
                if not stack:
                    return False
            elif successor not in seen:
                seen.add(successor)
                stack.append(_SearchNode(*successor, self._candidates(*successor)))
        raise SearchLimitExceeded(f"no verdict after {MAX_STEPS} steps")

    def _candidates(
        self, complete_done: int, pending_done: int, state: State
    ) -> Iterator[tuple[int, int, State]]:
        """Yield the successors: by each operation that may be linearized next, those with an answer first.

        An answered operation that leaves the state unchanged is linearized at once: this rules out no order
        of the others.
        """
        possible, first_end = self._linearizable_next(complete_done)
        reached = {index: self._complete[index].apply(state) for index in possible}
        for index, next_state in reached.items():
            if next_state == state:
                yield complete_done | 1 << index, pending_done, next_state
                return
        for index, next_state in reached.items():
            if next_state is not None:
                yield complete_done | 1 << index, pending_done, next_state
        for index, operation in enumerate(self._pending):
            if operation.started_at > first_end:
                break
            next_state = None if pending_done >> index & 1 else operation.apply(state)
            if next_state is not None and next_state != state:
                yield complete_done, pending_done | 1 << index, next_state

    def _linearizable_next(self, complete_done: int) -> tuple[list[int], float]:
        """Return the answered operations that may come next, and the first end of all remaining ones."""
        candidates: list[int] = []
        first_end = float("inf")
        index = (~complete_done & (complete_done + 1)).bit_length() - 1  # the first remaining operation
        while index < len(self._complete) and self._complete[index].started_at <= first_end:
            if not complete_done >> index & 1:
                candidates.append(index)
                first_end = min(first_end, self._ends[index])
            index += 1
        return [i for i in candidates if self._complete[i].started_at <= first_end], first_end


def is_linearizable(operations: Sequence[Operation[State]], initial: State) -> bool:
    """Whether some order of the operations explains all answers. Raises SearchLimitExceeded."""
    return _Search(operations).run(initial)
