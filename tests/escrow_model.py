"""Model checker for loans: all orders of requests, grants, losses, duplicates, one restart and expiries.

The model has three nodes, two requests and time steps of about half a loan, and runs the real accounts. A
lost message is one that is never delivered. The search is exhaustive within these bounds, and stops at the
first state in which all nodes together may spend more than the whole.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from pebbledrift.limits.escrow import Account, Grant, Loan, LoanRequest

STEP, LOAN, STEPS = 100.0, 190.0, 3
BASES = (6, 3, 3)
WHOLE = sum(BASES)
Factory = Callable[[int, float, float, bool, Callable[[], int]], Account]


class Numbers:
    """Draws consecutive request numbers. Each incarnation of each node starts at another one."""

    def __init__(self, first: int) -> None:
        self.next = first

    def __call__(self) -> int:
        self.next += 1
        return self.next


@dataclass
class State:
    """The state of all nodes, the messages in transit, and how many events of each kind remain."""

    accounts: list[Account]
    step: int = 0
    in_transit: tuple[tuple[int, int, Any], ...] = ()  # sender, receiver, message
    requests: int = 2
    restarts: int = 1
    duplicates: int = 1
    incarnations: list[int] = field(default_factory=lambda: [1, 1, 1])

    def key(self) -> tuple[Any, ...]:
        """Return a value that is equal for equivalent states."""
        accounts = []
        for a in self.accounts:
            lent = tuple(sorted((k, loan.units, loan.until) for k, loan in a.lent.items()))
            borrowed = tuple(sorted((n, loan.units, loan.until) for n, loan in a.borrowed.items()))
            accounts.append((lent, borrowed, tuple(sorted(a.pending.items())), a._base_from))
        in_transit = tuple(sorted(self.in_transit, key=repr))
        return tuple(accounts), self.step, in_transit, self.requests, self.restarts, self.duplicates

    def spendable(self) -> int:
        """Return how many units all nodes together may spend now."""
        return sum(a.units(self.step * STEP) for a in self.accounts)


def explore(factory: Factory = Account, max_states: int = 400_000) -> tuple[int, str]:
    """Visit all reachable states.

    Returns their number, and the events that led to overspending ("" if none did). Raises AssertionError for
    more than `max_states`.
    """
    first = State([factory(b, LOAN, 0.0, False, Numbers(1000 * i)) for i, b in enumerate(BASES)])
    seen = {first.key()}
    stack = [(first, "")]
    while stack:
        state, path = stack.pop()
        for name, after in _next(state, factory):
            if after.spendable() > WHOLE:
                return len(seen), f"{path} {name}"
            key = after.key()
            if key not in seen:
                seen.add(key)
                if len(seen) > max_states:
                    raise AssertionError("the number of states exceeds max_states")
                stack.append((after, f"{path} {name};"))
    return len(seen), ""


def _copied(account: Account) -> Account:
    other = copy.copy(account)
    other.draw_number = copy.copy(account.draw_number)
    other.lent = {k: Loan(loan.units, loan.until) for k, loan in account.lent.items()}
    other.borrowed = {n: Loan(loan.units, loan.until) for n, loan in account.borrowed.items()}
    other.pending = dict(account.pending)
    return other


def _next(state: State, factory: Factory) -> list[tuple[str, State]]:
    successors: list[tuple[str, State]] = []
    now = state.step * STEP

    def branch() -> State:
        return replace(
            state, accounts=[_copied(a) for a in state.accounts], incarnations=list(state.incarnations)
        )

    if state.step < STEPS:
        after = branch()
        after.step += 1
        successors.append(("time", after))
    if state.requests:
        # nodes 1 and 2 request units from node 0, or a renewal and extension of their loans
        for borrower in (1, 2):
            for renews in (0, *sorted(state.accounts[borrower].borrowed)):
                after = branch()
                after.requests -= 1
                request = after.accounts[borrower].create_request(now, 4 if renews else 3, renews)
                after.in_transit = (*after.in_transit, (borrower, 0, request))
                successors.append((f"{borrower} requests", after))
    for i, (sender, receiver, message) in enumerate(state.in_transit):
        rest = state.in_transit[:i] + state.in_transit[i + 1 :]
        after = branch()
        _deliver(after, now, sender, receiver, message, rest)
        successors.append((f"{type(message).__name__} {sender}-{receiver}", after))
        if state.duplicates:
            after = branch()
            after.duplicates -= 1
            _deliver(after, now, sender, receiver, message, state.in_transit)
            successors.append((f"{type(message).__name__} {sender}-{receiver}, duplicated", after))
    if state.restarts:
        for node in (0, 1):
            after = branch()
            after.restarts -= 1
            after.incarnations[node] += 1
            numbers = Numbers(1000 * node + 100 * after.incarnations[node])
            after.accounts[node] = factory(BASES[node], LOAN, now, True, numbers)
            successors.append((f"{node} restarts", after))
    return successors


def _deliver(after: State, now: float, sender: int, receiver: int, message: Any, rest: Any) -> None:
    after.in_transit = rest
    account = after.accounts[receiver]
    if isinstance(message, LoanRequest):
        grant = account.handle_request(now, f"n{sender}.{after.incarnations[sender]}", message, 4)
        after.in_transit = (*after.in_transit, (receiver, sender, grant))
    elif isinstance(message, Grant):
        account.handle_grant(now, message)
