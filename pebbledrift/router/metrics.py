"""What a router counts of its requests: outcomes and times, by route, and outcomes by tenant."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from enum import Enum

from pebbledrift.router.cuts import CutCounts
from pebbledrift.router.run_times import RunTimes

LIMITS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)
NAMES_MOST = 1024  # routes or tenants counted on their own; the others are counted together
OTHER = "(other)"
NO_TENANT = ""


class Outcome(Enum):
    """How a request ended."""

    SERVED = "served"  # the worker's answer was passed on, whatever its status
    REFUSED = "refused"  # it did not run, and the client was told so
    OVER_QUOTA = "over_quota"
    FAILED = "failed"
    CLIENT_GONE = "client_gone"


class Histogram:
    """How often a time fell between two limits."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(LIMITS_S) + 1)
        self.total = 0.0

    def note(self, seconds: float) -> None:
        """Count a time."""
        self.counts[bisect_left(LIMITS_S, seconds)] += 1
        self.total += seconds


class RouteFigures:
    """The figures of one route."""

    __slots__ = ("first", "outcomes", "pauses", "run_times", "waits")

    def __init__(self) -> None:
        self.outcomes: dict[Outcome, int] = dict.fromkeys(Outcome, 0)
        self.waits = Histogram()  # from the last byte of a request to its first send
        self.first = Histogram()  # from there to the first event or the whole answer
        self.run_times = RunTimes()
        self.pauses = Histogram()  # between parts of a stream that were passed on


class RouterMetrics:
    """All that is counted. A name that is in no configuration any more is dropped, with its figures."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteFigures] = {}
        self.tenants: dict[str, dict[Outcome, int]] = {}
        self.cuts = CutCounts()

    def follow(self, routes: Iterable[str], tenants: Iterable[str]) -> None:
        """Another configuration is in force."""
        kept_routes, kept_tenants = {*routes, OTHER}, {*tenants, OTHER, NO_TENANT}
        self.routes = {name: figures for name, figures in self.routes.items() if name in kept_routes}
        self.tenants = {name: counts for name, counts in self.tenants.items() if name in kept_tenants}

    def of_route(self, name: str) -> RouteFigures:
        """The figures of a route."""
        figures = self.routes.get(name)
        if figures is None:
            shown = name if len(self.routes) < NAMES_MOST else OTHER
            figures = self.routes.setdefault(shown, RouteFigures())
        return figures

    def ended(self, route: str, tenant: str, outcome: Outcome) -> None:
        """A request has ended."""
        self.of_route(route).outcomes[outcome] += 1
        counts = self.tenants.get(tenant)
        if counts is None:
            shown = tenant if len(self.tenants) < NAMES_MOST else OTHER
            counts = self.tenants.setdefault(shown, dict.fromkeys(Outcome, 0))
        counts[outcome] += 1
