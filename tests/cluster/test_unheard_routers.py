"""Tokens spent by routers that are cut off from the lender, beside those that it lends to the others."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

import pytest

from pebbledrift.control.quota import MIN_FALLBACK_SHARE, LoanPriority, QuotaWindow
from pebbledrift.control.unheard import FORGET_ROUTER_S, SILENCE_S, UnheardRouters
from pebbledrift.keeper.lending import LendingService
from pebbledrift.overlay.messages import TokenReport, TokenRequest

RATE, ROUTERS, STEP_S, REPORT_INTERVAL_S = 1000.0, 10, 0.05, 0.5
CONFIG: dict[str, Any] = {"tenants": [{"name": "t", "rate-per-s": RATE, "burst": RATE, "unit": "tokens"}]}
WINDOW = QuotaWindow()
ALLOWED = WINDOW.span_s * RATE + RATE


class Fleet:
    """Routers that demand `demand` times the quota of one tenant, and the keeper that lends to them.

    A router that is cut off spends at the rate that it had, as router/tokens.py does.
    """

    def __init__(self, demand: float, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.demand, self.now = demand, 0.0
        self.lender = LendingService(WINDOW)
        self.epoch = 1
        self.routers = [f"router-{number}" for number in range(ROUTERS)]
        self.cut: dict[str, float] = {}  # router to the rate at which it goes on
        self.spent: dict[str, deque[tuple[float, float]]] = {name: deque() for name in self.routers}
        self.lender.note_router_count(ROUTERS, 0.0)
        self.lender.on_commit(self.epoch, True, CONFIG, 0.0)
        self.asked = 0.0

    def run(self, seconds: float) -> None:
        """Advances the time in steps."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            if int(self.now / REPORT_INTERVAL_S) != int((self.now - STEP_S) / REPORT_INTERVAL_S):
                for name in self.routers:
                    if name not in self.cut:
                        self.lender.heard(name, self.now)
            for name in self.random.sample(self.routers, ROUTERS):
                self._spend(name, self.demand * RATE / ROUTERS * STEP_S)

    def _spend(self, name: str, tokens: float) -> None:
        self.asked += tokens
        if name in self.cut:
            self._note(name, min(tokens, self.cut[name] * STEP_S))
            return
        self.lender.heard(name, self.now)
        request = TokenRequest(1, "t", tokens, tokens, LoanPriority.SMALL)
        self._note(name, self.lender.lend(request, True, self.now, name).granted)

    def _note(self, name: str, tokens: float) -> None:
        self.spent[name].append((self.now, tokens))

    def recent(self, name: str) -> float:
        """Tokens that a router spent in the remembered time."""
        return sum(tokens for at, tokens in self.spent[name] if at > self.now - WINDOW.remembered_s)

    def cut_off(self, names: list[str]) -> None:
        """Cuts routers off from the lender."""
        equal_part = RATE / ROUTERS
        for name in names:
            rate = self.recent(name) / WINDOW.remembered_s
            self.cut[name] = max(min(rate, RATE), MIN_FALLBACK_SHARE * equal_part)

    def replace_lender(self) -> None:
        """Another keeper begins to lend; the routers that reach it report to it."""
        self.epoch += 1
        self.lender = LendingService(WINDOW)
        self.lender.note_router_count(ROUTERS, self.now)
        self.lender.on_commit(self.epoch, True, CONFIG, self.now)
        for name in self.routers:
            if name not in self.cut:
                slots = [0.0] * 17
                for at, tokens in self.spent[name]:
                    index = int((self.now - at) / 0.5)
                    if index < len(slots):
                        slots[index] += tokens
                report = TokenReport(self.epoch, 60.0, (("t", tuple(slots)),))
                self.lender.heard(name, self.now)
                self.lender.add_report(name, report, ROUTERS - len(self.cut), self.now)

    def most_spent(self) -> float:
        """The most that all routers spent together within any window."""
        steps = sorted(step for steps in self.spent.values() for step in steps)
        total = most = 0.0
        start = 0
        for at, tokens in steps:
            total += tokens
            while steps[start][0] <= at - WINDOW.span_s:
                total -= steps[start][1]
                start += 1
            most = max(most, total)
        return most

    def total(self) -> float:
        """All tokens spent."""
        return sum(tokens for steps in self.spent.values() for _, tokens in steps)


@pytest.mark.parametrize("event", ["cut", "cut and a new lender", "cut twice"])
@pytest.mark.parametrize("count", [1, 2, 3, 5])
@pytest.mark.parametrize("hot_s", [0.5, 2.2, 5.0, 20.0])
def test_cut_off_routers_and_lent_tokens_stay_within_the_quota_together(
    hot_s: float, count: int, event: str
) -> None:
    # guards against the whole quota being lent beside routers that go on at the rate that they had
    fleet = Fleet(demand=0.77)
    fleet.run(20.0)
    fleet.demand = 6.0
    fleet.run(hot_s)
    fleet.cut_off(fleet.routers[:count])
    fleet.run(0.7)
    if event == "cut and a new lender":
        fleet.replace_lender()
    fleet.run(5.0)
    fleet.cut.clear()
    if event == "cut twice":
        fleet.run(2.0)
        fleet.cut_off(fleet.routers[-count:])
        fleet.run(6.0)
        fleet.cut.clear()
    fleet.run(10.0)
    assert fleet.most_spent() <= ALLOWED * (1.0 + WINDOW.overshoot)


def test_a_quiet_cut_leaves_nine_tenths_of_the_demand_served() -> None:
    # the limit must not be kept by lending little
    fleet = Fleet(demand=0.77)
    fleet.run(20.0)
    before, asked_before = fleet.total(), fleet.asked
    fleet.cut_off(fleet.routers[:2])
    fleet.run(6.0)
    fleet.cut.clear()
    fleet.run(10.0)
    assert fleet.total() - before >= 0.9 * (fleet.asked - asked_before)


def test_a_router_that_is_gone_for_good_is_forgotten() -> None:
    fleet = Fleet(demand=6.0)
    fleet.run(10.0)
    fleet.cut_off(fleet.routers[:1])
    fleet.cut[fleet.routers[0]] = 0.0
    fleet.run(FORGET_ROUTER_S + WINDOW.remembered_s + SILENCE_S)
    before = fleet.total()
    fleet.run(8.0)
    assert fleet.total() - before >= 0.95 * 8.0 * RATE


def test_a_lender_that_stood_still_counts_what_the_routers_spent_meanwhile() -> None:
    # guards against a suspended lender lending a whole window again when it wakes
    fleet = Fleet(demand=6.0)
    fleet.run(20.0)
    fleet.cut_off(fleet.routers)
    fleet.run(4.0)
    fleet.cut.clear()
    fleet.run(10.0)
    assert fleet.most_spent() <= ALLOWED * (1.0 + WINDOW.overshoot)


def test_a_keeper_that_does_not_lend_keeps_no_router_for_good() -> None:
    # guards memory: only a keeper that lends looks for routers that are not heard
    unheard = UnheardRouters(WINDOW.remembered_s)
    for number in range(1000):
        unheard.heard(f"router-{number}", float(number))
    assert unheard.count() <= FORGET_ROUTER_S + 2
