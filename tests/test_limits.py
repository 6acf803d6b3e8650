"""Hard limits of all nodes together, without I/O: loans must never let them spend more than the whole."""

from __future__ import annotations

import itertools
import random
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from bench.limits import case
from pebbledrift.limits.borrower import Borrower, LendingPolicy
from pebbledrift.limits.escrow import Account, Bucket, Grant, Loan, LoanRequest
from tests.escrow_model import BASES, LOAN, explore


class AcceptsDuplicates(Account):
    """Mutant: accepts a duplicate grant."""

    def handle_grant(self, now: float, grant: Grant) -> int:
        pending = dict(self.pending)
        units = super().handle_grant(now, grant)
        self.pending = pending
        if units:
            self.borrowed[self.draw_number()] = Loan(units, self.borrowed[grant.number].until)
            del self.borrowed[grant.number]
        return units


class LendsWithoutDeducting(Account):
    """Mutant: the lender does not deduct the units that it lends."""

    def handle_request(
        self, now: float, sender: str, request: LoanRequest, max_new: int, reclaimed: int = 0
    ) -> Grant:
        grant = super().handle_request(now, sender, request, max_new, reclaimed)
        self.lent.pop((sender, request.number), None)
        return grant


class UsesBaseAfterRestart(Account):
    """Mutant: a restarted node uses its base at once."""

    def __init__(
        self, base: int, loan_ms: float, start: float, may_have_lent: bool, draw_number: Any
    ) -> None:
        super().__init__(base, loan_ms, start, False, draw_number)


class NeverExpiresLoans(Account):
    """Mutant: borrowed units do not expire."""

    def handle_grant(self, now: float, grant: Grant) -> int:
        units = super().handle_grant(now, grant)
        for loan in self.borrowed.values():
            loan.until = 1e18
        return units


class StartsLoanAtGrant(Account):
    """Mutant: a loan starts when its grant is received, not when its request was sent."""

    def handle_grant(self, now: float, grant: Grant) -> int:
        if grant.number in self.pending:
            self.pending[grant.number] = now, self.pending[grant.number][1]
        return super().handle_grant(now, grant)


class ModelTest(unittest.TestCase):
    def test_no_order_of_events_overspends(self) -> None:
        states, violation = explore()
        self.assertEqual(violation, "")
        self.assertGreater(states, 10_000)

    def test_each_mutant_overspends(self) -> None:
        mutants = (
            AcceptsDuplicates,
            LendsWithoutDeducting,
            UsesBaseAfterRestart,
            NeverExpiresLoans,
            StartsLoanAtGrant,
        )
        for mutant in mutants:
            self.assertNotEqual(explore(mutant)[1], "", mutant.__doc__)


class SimulationTest(unittest.TestCase):
    """Random runs of accounts with a network that loses, duplicates and reorders, and clocks that drift."""

    def simulate(self, seed: int, nodes: int = 5, steps: int = 120) -> int:
        rng = random.Random(seed)
        rates = [1.0 + rng.uniform(-0.001, 0.001) for _ in range(nodes)]
        offsets = [rng.uniform(0, 1e9) for _ in range(nodes)]
        incarnations = [0] * nodes
        now, max_total = 0.0, 0

        def clock(node: int) -> float:
            return offsets[node] + now * rates[node]

        def account(node: int, may_have_lent: bool) -> Account:
            return Account(10, LOAN, clock(node), may_have_lent, lambda: rng.getrandbits(64) or 1)

        accounts = [account(node, False) for node in range(nodes)]
        in_transit: list[tuple[float, int, int, int, Any]] = []
        suspended_until = [0.0] * nodes
        for _ in range(steps):
            now += rng.expovariate(1 / 25.0)
            due, in_transit = [m for m in in_transit if m[0] <= now], [m for m in in_transit if m[0] > now]
            rng.shuffle(due)
            for at, sender, incarnation, receiver, message in due:
                if suspended_until[receiver] > now:
                    in_transit.append((at + 40.0, sender, incarnation, receiver, message))
                    continue
                if isinstance(message, LoanRequest):
                    reclaimed = rng.choice([0, 0, 1])
                    grant = accounts[receiver].handle_request(
                        clock(receiver), f"{sender}.{incarnation}", message, 6, reclaimed
                    )
                    self.send(rng, now, in_transit, receiver, incarnations[receiver], sender, grant)
                else:
                    accounts[receiver].handle_grant(clock(receiver), message)
            node = rng.randrange(nodes)
            if suspended_until[node] > now:
                pass
            elif rng.random() < 0.05:
                incarnations[node] += 1
                accounts[node] = account(node, True)
            elif rng.random() < 0.05:
                suspended_until[node] = now + rng.uniform(50, 900)
            else:
                account_of_node = accounts[node]
                renews = rng.choice([0, *account_of_node.borrowed])
                other = rng.choice([n for n in range(nodes) if n != node])
                request = account_of_node.create_request(clock(node), rng.randrange(1, 9), renews)
                self.send(rng, now, in_transit, node, incarnations[node], other, request)
            # a suspended node spends nothing, and checks its clock when it resumes
            total = sum(a.units(clock(n)) for n, a in enumerate(accounts) if suspended_until[n] <= now)
            max_total = max(max_total, total)
        return max_total

    def send(
        self,
        rng: random.Random,
        now: float,
        in_transit: list[Any],
        sender: int,
        incarnation: int,
        to: int,
        message: Any,
    ) -> None:
        for _ in range(rng.choice([0, 1, 1, 1, 1, 2])):
            in_transit.append((now + rng.expovariate(1 / 20.0), sender, incarnation, to, message))

    def test_random_runs_with_drift_suspensions_and_restarts_never_overspend(self) -> None:
        worst = max(self.simulate(seed) for seed in range(1000))
        self.assertLessEqual(worst, 50)
        self.assertGreater(worst, 40)  # nearly all units can be spent

    def test_units_lent_to_a_dead_borrower_return_after_exactly_one_loan(self) -> None:
        numbers = itertools.count(1)
        lender, borrower = (Account(b, LOAN, 0.0, False, lambda: next(numbers)) for b in BASES[:2])
        request = borrower.create_request(0.0, 4)
        grant = lender.handle_request(10.0, "b", request, 4)
        self.assertEqual(lender.handle_request(11.0, "b", request, 4), grant)  # duplicate request
        self.assertEqual(
            (lender.units(12.0), borrower.handle_grant(20.0, grant), borrower.units(20.0)), (2, 4, 7)
        )
        self.assertEqual(borrower.handle_grant(21.0, grant), 0)
        self.assertEqual(borrower.handle_grant(21.0, Grant(99, 5)), 0)  # never requested
        self.assertEqual((borrower.units(LOAN), lender.units(LOAN)), (3, 2))
        self.assertEqual(lender.units(10.0 + LOAN * 1.005), BASES[0])

    def test_a_leased_base_ends_with_its_lease_and_is_not_lent_beyond_it(self) -> None:
        account = Account(8, LOAN, 0.0, False, lambda: 7)
        account.set_base(8, 500.0)
        self.assertEqual(account.handle_request(100.0, "b", LoanRequest(1, 3), 9).units, 3)
        self.assertEqual(account.units(250.0), 5)
        # the loan might outlive the lease
        self.assertEqual(account.handle_request(400.0, "b", LoanRequest(2, 3), 9).units, 0)
        self.assertEqual(account.units(500.0), 0)


class BucketTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 400), st.integers(0, 2), st.floats(0, 1)), max_size=60))
    def test_all_nodes_spend_at_most_the_rate_and_one_burst_in_any_window(
        self, steps: list[tuple[float, int, float]]
    ) -> None:
        rate, burst = 0.05, 1000.0
        buckets = [Bucket(rate, burst, 0.0) for _ in range(3)]
        shares = [1 / 3] * 3
        for bucket in buckets:
            bucket.share(0.0, 1 / 3)
        now, spent = 0.0, list[tuple[float, float]]()
        for wait, node, fraction in steps:
            now += wait
            if fraction < 0.3:  # one node gives up a part of its share, another node receives it later
                moved = shares[node] * fraction
                shares[node] -= moved
                buckets[node].share(now, shares[node])
                other = (node + 1) % 3
                shares[other] += moved
                buckets[other].share(now + 1.0, shares[other])
                now += 1.0
            while buckets[node].spend(now, 1.0):
                spent.append((now, 1.0))
        for i, (start, _) in enumerate(spent):
            total = 0.0
            for at, work in spent[i:]:
                total += work
                self.assertLessEqual(total, rate * (at - start + burst) + len(buckets) + 1e-6)


class BorrowerTest(unittest.TestCase):
    def test_loans_follow_demand_and_miss_less_of_it_than_static_shares(self) -> None:
        for loss, max_ratio in ((0.0, 0.25), (0.1, 0.35)):
            result = case((9, 10.0, loss, 1))
            self.assertLessEqual(result["over"], 0)
            self.assertLess(result["loans"], max_ratio * result["static"])

    def test_loans_that_are_no_longer_needed_expire(self) -> None:
        numbers = itertools.count(1)
        lender, borrower = (
            Borrower(Account(100, 1000.0, 0.0, False, lambda: next(numbers)), 100, LendingPolicy(), seed)
            for seed in (1, 2)
        )
        borrower.demand = 150.0

        def exchange(now: float) -> int:
            for _, request in borrower.due_requests(now, ["lender"]):
                borrower.handle_grant(now, "lender", lender.handle_request(now, "borrower", request))
            return borrower.account.units(now)

        held = [exchange(100.0 * i) for i in range(40)]
        self.assertEqual(set(held[1:]), {150})  # constant over the duration of four loans
        borrower.demand = 10.0
        for i in range(40, 60):
            exchange(100.0 * i)
        self.assertEqual((borrower.account.units(6000.0), lender.account.units(6000.0)), (100, 100))
