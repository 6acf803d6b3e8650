"""A request that waits for the tokens of its tenant's quota."""

from __future__ import annotations

from typing import Protocol

from pebbledrift.net.request_connection import RequestConnection
from pebbledrift.router.admitted import Admitted
from pebbledrift.router.flow import DRAIN_RETRY_AFTER_S, RequestFlow
from pebbledrift.router.metrics import NO_TENANT, Outcome, RouterMetrics
from pebbledrift.router.progress import OpenRequest, Progress


class FlowStarter(Protocol):
    """Starts requests that have their tokens."""

    metrics: RouterMetrics

    def start_flow(self, client: RequestConnection, admitted: Admitted) -> RequestFlow | None:
        """Start the request, or answer it and return None."""


class PendingAdmission(OpenRequest):
    """The owner of a request until the decision on its quota."""

    def __init__(self, client: RequestConnection, admitted: Admitted, starter: FlowStarter) -> None:
        self.client, self.admitted, self._starter = client, admitted, starter
        self.decided = False  # or given up
        self.flow: RequestFlow | None = None

    @property
    def progress(self) -> Progress:
        """How far the request has come."""
        return Progress.AWAITING_QUOTA

    def decide(self, retry_after_s: float | None) -> None:
        """Start the request, or refuse it if the quota suffices only after `retry_after_s` seconds."""
        if self.decided:
            return
        self.decided = True
        if retry_after_s is None:
            self.flow = self.client.owner = self._starter.start_flow(self.client, self.admitted)
        else:
            self._respond(429, Outcome.OVER_QUOTA, retry_after_s)

    def end_for_shutdown(self) -> None:
        """Answer that the request has not run and may be sent to another router."""
        if not self.decided:
            self.decided = True
            self._respond(503, Outcome.REFUSED, DRAIN_RETRY_AFTER_S)

    def _respond(self, status: int, outcome: Outcome, retry_after_s: float) -> None:
        tenant = self.admitted.tenant
        self._starter.metrics.record_outcome(
            self.admitted.route.name, tenant.name if tenant else NO_TENANT, outcome
        )
        self.client.send_response(status, {"Retry-After": f"{retry_after_s:.3f}"}, b"")

    def client_gone(self) -> None:
        """Drop the request: the client disconnected before it was started."""
        self.decided = True

    def client_write_paused(self, paused: bool) -> None:
        """Do nothing: no response is being written yet."""
