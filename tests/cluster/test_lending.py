"""Tests of quota lending at the head of the chain, across view changes."""

from __future__ import annotations

from typing import Any

from pebbledrift.control.quota import LoanPriority, QuotaWindow
from pebbledrift.keeper.lending import LendingService
from pebbledrift.overlay.messages import TokenReport, TokenRequest

CONFIG: dict[str, Any] = {"tenants": [{"name": "t", "rate-per-s": 1000, "burst": 1000, "unit": "tokens"}]}


def borrow(lender: LendingService, want: float, now: float, is_active_head: bool = True) -> float:
    """Returns how many tokens are granted."""
    request = TokenRequest(1, "t", 1.0, want, LoanPriority.SMALL)
    return lender.lend(request, is_active_head, now).granted


def test_a_keeper_that_is_not_the_active_head_lends_nothing() -> None:
    lender = LendingService(QuotaWindow())
    lender.on_commit(1, False, CONFIG, 0.0)
    grant = lender.lend(TokenRequest(7, "t", 1.0, 1.0, LoanPriority.SMALL), False, 0.0)
    assert (grant.number, grant.epoch, grant.granted) == (7, 0, 0.0) and grant.retry_after_s > 0


def test_a_head_that_stays_head_keeps_its_lent_count() -> None:
    lender = LendingService(QuotaWindow())
    lender.on_commit(1, True, CONFIG, 0.0)
    assert borrow(lender, 5000.0, 0.0) == 480.0
    lender.on_commit(2, True, CONFIG, 0.01)
    assert borrow(lender, 5000.0, 0.01) <= 10.0 + 1e-6


def test_reports_of_all_routers_raise_the_amount_that_a_new_head_lends() -> None:
    lender = LendingService(QuotaWindow())
    lender.on_commit(1, True, CONFIG, 0.0)
    lender.add_report("a", TokenReport(1, 60.0, (("t", (100.0,)),)), 2, 0.01)
    assert borrow(lender, 200.0, 0.01) == 200.0, "one router has not reported yet: the initial share is lent"
    lender.add_report("b", TokenReport(1, 60.0, ()), 2, 0.02)
    assert borrow(lender, 5000.0, 0.02) == 1600.0 - 100.0 - 200.0


def test_a_report_received_before_its_view_is_in_force_counts() -> None:
    lender = LendingService(QuotaWindow())
    lender.add_report("a", TokenReport(3, 60.0, ()), 1, 0.0)
    lender.on_commit(3, True, CONFIG, 0.01)
    lender.add_report("b", TokenReport(3, 60.0, ()), 2, 0.02)
    assert borrow(lender, 5000.0, 0.02) == 1600.0


def test_a_report_for_an_earlier_view_or_a_late_report_changes_nothing() -> None:
    lender = LendingService(QuotaWindow())
    lender.on_commit(5, True, CONFIG, 0.0)
    lender.add_report("a", TokenReport(4, 60.0, ()), 1, 0.01)
    assert borrow(lender, 5000.0, 0.01) == 490.0
    lender.add_report("a", TokenReport(5, 60.0, ()), 1, 5.0)
    assert borrow(lender, 5000.0, 0.02) < 20.0


def test_lent_tokens_are_not_counted_again_when_routers_report_after_a_view_change() -> None:
    """Guards against double counting when the view changes but the head stays.

    A new head lends; the previous head returns half a second later, which changes the view, not the head.
    """
    lender = LendingService(QuotaWindow())
    lender.on_commit(1, True, CONFIG, 0.0)
    lender.add_report("a", TokenReport(1, 60.0, ()), 1, 0.01)
    assert borrow(lender, 1000.0, 0.02) == 1000.0
    lender.on_commit(2, True, CONFIG, 0.5)
    lender.add_report("a", TokenReport(2, 60.0, (("t", (1000.0,)),)), 1, 0.51)
    status = lender.status(0.51)["t"]
    assert status["lent"] == 1000.0


def test_a_report_counts_from_the_time_of_its_arrival() -> None:
    lender = LendingService(QuotaWindow())
    lender.on_commit(1, True, CONFIG, 0.0)
    lender.add_report("a", TokenReport(1, 60.0, (("t", (0.0, 800.0)),)), 2, 0.1)
    lender.add_report("b", TokenReport(1, 60.0, ()), 2, 1.9)
    assert borrow(lender, 5000.0, 1.9) == 1600.0, "tokens spent 2.5 s before have been refilled"
    assert lender.status(1.9)["t"]["lent"] == 2400.0


def test_a_keeper_that_becomes_lender_again_uses_new_reports() -> None:
    lender = LendingService(QuotaWindow())
    lender.on_commit(1, True, CONFIG, 0.0)
    lender.add_report("a", TokenReport(1, 60.0, ()), 1, 0.01)
    lender.on_commit(2, False, CONFIG, 0.5)
    lender.on_commit(3, True, CONFIG, 1.0)
    lender.add_report("a", TokenReport(3, 60.0, (("t", (900.0,)),)), 1, 1.01)
    assert borrow(lender, 5000.0, 1.01) == 700.0
