"""Lending of tenant quotas to routers by the head of the chain, and the routers' reports to a new head."""

from __future__ import annotations

from typing import Any

from pebbledrift.cluster.peaks import RecentPeak
from pebbledrift.control.quota import LoanPriority, QuotaLender, QuotaWindow, SpendingReport, quotas_of
from pebbledrift.overlay.messages import TokenGrant, TokenReport, TokenRequest
from spoolpier.records import record

REPORT_WINDOW_S = 2.0  # after a view change: time in which routers report their spending to a new lender
MISSING_REPORTS_WAIT_S = 0.1  # of that, the time to wait until all connected routers have reported
NOT_HEAD_RETRY_S = 0.2  # retry delay sent to a router that asks a keeper which does not lend
# Seconds for which a router count is kept: a router that was connected then may have spent a part of a
# quota's window.
ROUTER_COUNT_WINDOW_S = 10.0


@record
class _EpochReport:
    """A router's spending report, and the epoch of the view for which it was sent."""

    epoch: int
    report: SpendingReport


class LendingService:
    """Lends quota tokens to routers while this keeper is the head of the chain. Times are loop times."""

    def __init__(self, window: QuotaWindow) -> None:
        self._lender = QuotaLender(window)
        self._epoch = 0
        self._was_head = False
        self._cleared_at = 0.0
        self._reports: dict[str, _EpochReport] = {}  # by router: the first since this keeper became lender
        self._router_count = RecentPeak(ROUTER_COUNT_WINDOW_S)

    def on_commit(self, epoch: int, is_head: bool, config: dict[str, Any] | None, now: float) -> None:
        """Applies the view and the configuration after a commit.

        In a new view, a keeper that was not the head before starts with nothing lent.
        """
        if epoch != self._epoch:
            self._epoch = epoch
            if not self._was_head:
                self._reports = {n: report for n, report in self._reports.items() if report.epoch >= epoch}
                self._lender.clear()
                self._cleared_at = now
        self._was_head = is_head
        self._lender.configure(quotas_of(config), now)

    def note_router_count(self, count: int, now: float) -> None:
        """Records how many routers a keeper is connected to; the largest recent count is used."""
        self._router_count.note(count, now)

    def add_report(self, router: str, report: TokenReport, connected: int, now: float) -> None:
        """Processes a router's spending report; a new lender computes from it what may still be lent.

        `connected` is the number of routers that are connected to this keeper.
        """
        self.note_router_count(connected, now)
        if report.epoch < self._epoch or router in self._reports:
            return  # all spending after the first report was lent by this keeper and is already counted
        self._reports[router] = _EpochReport(
            report.epoch, SpendingReport(report.age_s, dict(report.spent), now)
        )
        routers, since = self._router_count.value, now - self._cleared_at
        if since > REPORT_WINDOW_S or (len(self._reports) < routers and since < MISSING_REPORTS_WAIT_S):
            return
        self._lender.reconcile([received.report for received in self._reports.values()], routers, now)

    def status(self, now: float) -> dict[str, dict[str, float]]:
        """Returns by tenant its rate and burst, the tokens lent in the window, and the window's maximum."""
        return self._lender.status(now)

    def lend(self, request: TokenRequest, is_active_head: bool, now: float) -> TokenGrant:
        """Answers a router's request for tokens.

        `is_active_head` says whether this keeper is the head of a chain that a majority confirms. If it is
        not, the grant has epoch 0 and no tokens.
        """
        if not is_active_head:
            return TokenGrant(request.number, 0, request.tenant, 0.0, NOT_HEAD_RETRY_S)
        priority = LoanPriority(request.priority)
        granted, wait = self._lender.lend(request.tenant, request.need, request.want, now, priority)
        return TokenGrant(request.number, self._epoch, request.tenant, granted, wait)
