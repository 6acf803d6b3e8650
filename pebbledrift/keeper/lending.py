"""The lending of quotas at the keeper that acts for all: the bank, and what routers tell a new one."""

from __future__ import annotations

from typing import Any

from pebbledrift.cluster.peaks import RecentPeak
from pebbledrift.control.quota import LoanPriority, QuotaLender, QuotaWindow, SpendingReport, quotas_of
from pebbledrift.overlay.messages import TokenGrant, TokenReport, TokenRequest
from spoolpier.records import record

REPORTS_S = 2.0  # routers tell a new bank what they took within so long
REPORTS_WAIT_S = 0.1  # and so long it waits for those that are connected
NOT_ACTING_RETRY_S = 0.2
ROUTERS_S = 10.0  # routers that were connected so long ago may have taken of a quota's window


@record
class _Told:
    """A router's report, and the view that it was told for."""

    epoch: int
    report: SpendingReport


class LendingDesk:
    """Lends tokens while this keeper is the head of the chain."""

    def __init__(self, window: QuotaWindow) -> None:
        self._bank = QuotaLender(window)
        self._epoch = 0
        self._was_head = False
        self._cleared_at = 0.0
        self._reports: dict[str, _Told] = {}  # by router: its first since we began to lend
        self._routers = RecentPeak(ROUTERS_S)

    def follow(self, epoch: int, is_head: bool, config: dict[str, Any] | None, now: float) -> None:
        """Something was committed: follow the view and the configuration."""
        if epoch != self._epoch:
            self._epoch = epoch
            if not self._was_head:
                self._reports = {n: told for n, told in self._reports.items() if told.epoch >= epoch}
                self._bank.clear()
                self._cleared_at = now
        self._was_head = is_head
        self._bank.configure(quotas_of(config), now)

    def note_routers(self, count: int, now: float) -> None:
        """A keeper is connected to so many routers: the largest count of the last seconds is gone by."""
        self._routers.note(count, now)

    def take_report(self, router: str, report: TokenReport, connected: int, now: float) -> None:
        """A router tells what it took; a bank that has just begun to lend learns from it what is left."""
        self.note_routers(connected, now)
        if report.epoch < self._epoch or router in self._reports:
            return  # of what it took since its first report, all was lent by us: that is counted already
        self._reports[router] = _Told(report.epoch, SpendingReport(report.age_s, dict(report.taken), now))
        routers, since = self._routers.value, now - self._cleared_at
        if since > REPORTS_S or (len(self._reports) < routers and since < REPORTS_WAIT_S):
            return
        self._bank.reconcile([told.report for told in self._reports.values()], routers, now)

    def status(self, now: float) -> dict[str, dict[str, float]]:
        """By tenant: its rate and burst, and what of a window's most is lent."""
        return self._bank.status(now)

    def lend(self, request: TokenRequest, acting: bool, now: float) -> TokenGrant:
        """Lend, as the head of a chain that a majority goes on with; epoch 0 in the answer: it is none."""
        if not acting:
            return TokenGrant(request.number, 0, request.tenant, 0.0, NOT_ACTING_RETRY_S)
        priority = LoanPriority(request.priority)
        granted, wait = self._bank.lend(request.tenant, request.need, request.want, now, priority)
        return TokenGrant(request.number, self._epoch, request.tenant, granted, wait)
