"""Lending of tenant quotas to routers by the head of the chain, and the routers' reports to a new head."""

from __future__ import annotations

from typing import Any

from pebbledrift.cluster.peaks import RecentPeak
from pebbledrift.control.quota import LoanPriority, QuotaLender, QuotaWindow, SpendingReport, quotas_of
from pebbledrift.control.unheard import UnheardRouters
from pebbledrift.overlay.messages import TokenGrant, TokenReport, TokenRequest
from spoolpier.records import record

REPORT_WINDOW_S = 2.0  # after a view change: time in which routers report their spending to a new lender
MISSING_REPORTS_WAIT_S = 0.1  # of that, the time to wait until all connected routers have reported
NOT_HEAD_RETRY_S = 0.2  # retry delay sent to a router that asks a keeper which does not lend
# Seconds for which a router count is kept: a router that was connected then may have spent a part of a
# quota's window.
ROUTER_COUNT_WINDOW_S = 10.0
SET_ASIDE_INTERVAL_S = 0.1  # between looks for routers that are not heard


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
        self._has_new_reports = False  # that are not reconciled yet
        self._unheard = UnheardRouters(window.remembered_s)
        self._set_aside_at = 0.0

    def on_commit(self, epoch: int, is_head: bool, config: dict[str, Any] | None, now: float) -> None:
        """Applies the view and the configuration after a commit.

        In a new view, a keeper that was not the head before starts with nothing lent.
        """
        if epoch != self._epoch:
            self._epoch = epoch
            if not self._was_head:
                self._reports = {n: report for n, report in self._reports.items() if report.epoch >= epoch}
                self._lender.clear()
                self._has_new_reports = bool(self._reports)
                self._cleared_at = now
                self._unheard.begin(self._router_count.value, now)
        self._was_head = is_head
        quotas = quotas_of(config)
        self._lender.configure(quotas, now)
        self._unheard.retain({quota.name: quota for quota in quotas})

    def heard(self, router: str, now: float) -> None:
        """Records that a router has sent a message: it spends nothing that this keeper does not lend."""
        self._unheard.heard(router, now)

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
        if now - self._cleared_at <= REPORT_WINDOW_S:
            self._has_new_reports = True
            self._reconcile(now)

    def _reconcile(self, now: float) -> None:
        """Computes from the reports what may still be lent, unless the missing ones may still arrive."""
        routers = self._router_count.value
        may_wait = now - self._cleared_at < MISSING_REPORTS_WAIT_S
        if not self._has_new_reports or (len(self._reports) < routers and may_wait):
            return
        self._has_new_reports = False
        self._lender.reconcile([received.report for received in self._reports.values()], routers, now)

    def status(self, now: float) -> dict[str, dict[str, float]]:
        """Returns by tenant its rate and burst, the tokens lent in the window, and the window's maximum."""
        return self._lender.status(now)

    def lend(self, request: TokenRequest, is_active_head: bool, now: float, router: str = "") -> TokenGrant:
        """Answers the request of a router for tokens.

        `is_active_head` says whether this keeper is the head of a chain that a majority confirms. If it is
        not, the grant has epoch 0 and no tokens.
        """
        if not is_active_head:
            return TokenGrant(request.number, 0, request.tenant, 0.0, NOT_HEAD_RETRY_S)
        self._reconcile(now)
        self._set_aside(now)
        priority = LoanPriority(request.priority)
        granted, wait = self._lender.lend(request.tenant, request.need, request.want, now, priority)
        if granted:
            self._unheard.lent(router, request.tenant, granted, now)
        return TokenGrant(request.number, self._epoch, request.tenant, granted, wait)

    def _set_aside(self, now: float) -> None:
        """Takes what routers that are not heard may spend by themselves from what may be lent."""
        if now < self._set_aside_at:
            return
        self._set_aside_at = now + SET_ASIDE_INTERVAL_S
        absences = self._unheard.take_absences(now)
        if absences:
            routers = max(self._router_count.value, self._unheard.count())
            self._lender.set_aside(absences, self._unheard, routers, now)
