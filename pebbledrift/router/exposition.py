"""A router's figures as text for scrapers; imported when they are asked for."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from pebbledrift.cluster.exposition import Family, Sample, gauge, render
from pebbledrift.router.cuts import CutCounts
from pebbledrift.router.metrics import LIMITS_S, Histogram, RouteFigures, RouterMetrics
from spoolpier.records import record


@record
class RouterGauges:
    """Where a router stands now."""

    ready: bool
    revision: int
    epoch: int
    uplinks: int
    children: int
    clients: int


def exposition(metrics: RouterMetrics, now: RouterGauges) -> str:
    """All figures."""
    return render([*_gauges(now), *_counters(metrics), *_cuts(metrics.cuts), *_histograms(metrics)])


def _gauges(now: RouterGauges) -> list[Family]:
    return [
        gauge("pebbledrift_ready", "Whether new connections may come.", float(now.ready)),
        gauge("pebbledrift_config_revision", "Version of the configuration in force.", now.revision),
        gauge("pebbledrift_view_epoch", "Newest view of the keepers that was told.", now.epoch),
        gauge("pebbledrift_uplinks", "Nodes that tell this router.", now.uplinks),
        gauge("pebbledrift_children", "Routers that this router tells.", now.children),
        gauge("pebbledrift_client_connections", "Open connections of clients.", now.clients),
    ]


def _counters(metrics: RouterMetrics) -> Iterator[Family]:
    by_route = {name: figures.outcomes for name, figures in metrics.routes.items()}
    for name, label, counted in (
        ("pebbledrift_requests_total", "route", by_route),
        ("pebbledrift_tenant_requests_total", "tenant", metrics.tenants),
    ):
        samples = [
            Sample(count, {label: key, "outcome": outcome.value})
            for key, outcomes in counted.items()
            for outcome, count in outcomes.items()
        ]
        yield Family(name, "counter", f"Requests that ended, by {label}.", tuple(samples))


def _cuts(cuts: CutCounts) -> Iterator[Family]:
    samples = tuple(Sample(count, {"cause": cause.value}) for cause, count in cuts.by_cause.items())
    yield Family("pebbledrift_cut_answers_total", "counter", "Answers cut before they were whole.", samples)
    errors = (Sample(cuts.callback_errors, {}),)
    yield Family("pebbledrift_callback_errors_total", "counter", "Exceptions in callbacks.", errors)


def _histograms(metrics: RouterMetrics) -> Iterator[Family]:
    kinds: tuple[tuple[str, str, Callable[[RouteFigures], Histogram]], ...] = (
        ("pebbledrift_wait_seconds", "From a request's last byte to its first send.", lambda f: f.waits),
        (
            "pebbledrift_first_event_seconds",
            "From there to the first event or the answer.",
            lambda f: f.first,
        ),
        ("pebbledrift_pause_seconds", "Between parts of a stream.", lambda f: f.pauses),
    )
    for name, text, choose in kinds:
        samples = [
            sample
            for route, figures in metrics.routes.items()
            for sample in _histogram_samples(route, choose(figures))
        ]
        yield Family(name, "histogram", text, tuple(samples))


def _histogram_samples(route: str, histogram: Histogram) -> Iterator[Sample]:
    count = 0
    for limit, part in zip((*map(str, LIMITS_S), "+Inf"), histogram.counts, strict=True):
        count += part
        yield Sample(count, {"route": route, "le": limit}, "_bucket")
    yield Sample(histogram.total, {"route": route}, "_sum")
    yield Sample(count, {"route": route}, "_count")
