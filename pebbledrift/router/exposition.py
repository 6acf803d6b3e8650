"""A router's metrics in the text exposition format. Imported only when the metrics are first requested."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from pebbledrift.cluster.exposition import Family, Sample, gauge, render
from pebbledrift.router.cuts import CutCounts
from pebbledrift.router.metrics import BUCKET_LIMITS_S, Histogram, RouteMetrics, RouterMetrics
from spoolpier.records import record


@record
class RouterGauges:
    """Current values of a router's gauges."""

    ready: bool
    revision: int
    epoch: int
    uplinks: int
    children: int
    clients: int  # open connections


def exposition(metrics: RouterMetrics, gauges: RouterGauges) -> str:
    """Returns all metrics as text."""
    families = [
        *_gauges(gauges),
        *_counters(metrics),
        *_cuts(metrics.cuts),
        _incomplete_events(metrics),
        *_histograms(metrics),
    ]
    return render(families)


def _gauges(values: RouterGauges) -> list[Family]:
    return [
        gauge("pebbledrift_ready", "Whether new connections may come.", float(values.ready)),
        gauge("pebbledrift_config_revision", "Version of the configuration in force.", values.revision),
        gauge("pebbledrift_view_epoch", "Newest view of the keepers that was told.", values.epoch),
        gauge("pebbledrift_uplinks", "Nodes that tell this router.", values.uplinks),
        gauge("pebbledrift_children", "Routers that this router tells.", values.children),
        gauge("pebbledrift_client_connections", "Open connections of clients.", values.clients),
    ]


def _counters(metrics: RouterMetrics) -> Iterator[Family]:
    by_route = {name: route.outcomes for name, route in metrics.routes.items()}
    for name, label, outcomes_by_key in (
        ("pebbledrift_requests_total", "route", by_route),
        ("pebbledrift_tenant_requests_total", "tenant", metrics.tenants),
    ):
        samples = [
            Sample(count, {label: key, "outcome": outcome.value})
            for key, outcomes in outcomes_by_key.items()
            for outcome, count in outcomes.items()
        ]
        yield Family(name, "counter", f"Requests that ended, by {label}.", tuple(samples))


def _cuts(cuts: CutCounts) -> Iterator[Family]:
    samples = tuple(Sample(count, {"cause": cause.value}) for cause, count in cuts.by_cause.items())
    yield Family("pebbledrift_cut_answers_total", "counter", "Answers cut before they were whole.", samples)
    errors = (Sample(cuts.callback_errors, {}),)
    yield Family("pebbledrift_callback_errors_total", "counter", "Exceptions in callbacks.", errors)


def _incomplete_events(metrics: RouterMetrics) -> Family:
    return Family(
        "pebbledrift_incomplete_events_total",
        "counter",
        "Attempts that ended within an event of their stream.",
        (Sample(metrics.incomplete_events, {}),),
    )


def _histograms(metrics: RouterMetrics) -> Iterator[Family]:
    histograms: tuple[tuple[str, str, Callable[[RouteMetrics], Histogram]], ...] = (
        ("pebbledrift_wait_seconds", "From a request's last byte to its first send.", lambda m: m.waits),
        (
            "pebbledrift_first_event_seconds",
            "From there to the first event or the answer.",
            lambda m: m.first,
        ),
        ("pebbledrift_pause_seconds", "Between parts of a stream.", lambda m: m.pauses),
    )
    for name, help_text, select in histograms:
        samples = [
            sample
            for route, route_metrics in metrics.routes.items()
            for sample in _histogram_samples(route, select(route_metrics))
        ]
        yield Family(name, "histogram", help_text, tuple(samples))


def _histogram_samples(route: str, histogram: Histogram) -> Iterator[Sample]:
    cumulative = 0
    for limit, count in zip((*map(str, BUCKET_LIMITS_S), "+Inf"), histogram.counts, strict=True):
        cumulative += count
        yield Sample(cumulative, {"route": route, "le": limit}, "_bucket")
    yield Sample(histogram.total, {"route": route}, "_sum")
    yield Sample(cumulative, {"route": route}, "_count")
