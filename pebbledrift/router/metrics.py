"""Request metrics of a router: outcomes and times by route, and outcomes by tenant."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Set
from enum import Enum

from pebbledrift.router.cuts import CutCounts
from pebbledrift.router.run_times import RunTimesByRoute

BUCKET_LIMITS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)
MAX_NAMES = 1024  # routes or tenants with separate counters; all others are counted under OTHER
OTHER = "(other)"
NO_TENANT = ""  # counts requests without a tenant


class Outcome(Enum):
    """How a request ended."""

    SERVED = "served"  # the worker's answer was forwarded, whatever its status
    REFUSED = "refused"  # it did not run, and the answer says so
    OVER_QUOTA = "over_quota"
    FAILED = "failed"
    CLIENT_GONE = "client_gone"


class Histogram:
    """Counts times, in seconds, by bucket. The upper limit of each bucket belongs to it."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_LIMITS_S) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Count one time."""
        self.counts[bisect_left(BUCKET_LIMITS_S, seconds)] += 1
        self.total += seconds


class RouteMetrics:
    """The metrics of one route."""

    __slots__ = ("first", "outcomes", "pauses", "waits")

    def __init__(self) -> None:
        self.outcomes: dict[Outcome, int] = dict.fromkeys(Outcome, 0)
        self.waits = Histogram()  # from the last byte of a request to its first send
        self.first = Histogram()  # from the first send to the first event or the whole answer
        self.pauses = Histogram()  # between forwarded parts of a stream


class RouterMetrics:
    """All request metrics. A route or tenant that leaves the configuration loses its metrics."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteMetrics] = {}
        self.tenants: dict[str, dict[Outcome, int]] = {}
        self.run_times = RunTimesByRoute()  # decides on requests, and is therefore not limited to MAX_NAMES
        self.cuts = CutCounts()
        self.incomplete_events = 0  # attempts that ended within an event of their stream

    def retain(self, routes: Set[str], tenants: Iterable[str]) -> None:
        """Drop the metrics of all routes and tenants that a new configuration does not name."""
        self.run_times.retain(routes)
        kept_routes, kept_tenants = {*routes, OTHER}, {*tenants, OTHER, NO_TENANT}
        self.routes = {name: metrics for name, metrics in self.routes.items() if name in kept_routes}
        self.tenants = {name: counts for name, counts in self.tenants.items() if name in kept_tenants}

    def of_route(self, name: str) -> RouteMetrics:
        """Returns the metrics of a route, or the common ones if there are too many routes."""
        metrics = self.routes.get(name)
        if metrics is None:
            key = name if len(self.routes) < MAX_NAMES else OTHER
            metrics = self.routes.setdefault(key, RouteMetrics())
        return metrics

    def record_outcome(self, route: str, tenant: str, outcome: Outcome) -> None:
        """Count a request that ended."""
        self.of_route(route).outcomes[outcome] += 1
        counts = self.tenants.get(tenant)
        if counts is None:
            key = tenant if len(self.tenants) < MAX_NAMES else OTHER
            counts = self.tenants.setdefault(key, dict.fromkeys(Outcome, 0))
        counts[outcome] += 1
