"""Renders a keeper's status as metrics in the text exposition format."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

from pebbledrift.cluster.exposition import Family, Sample, gauge, render


def exposition(status: Mapping[str, Any]) -> str:
    """Returns all metrics of a keeper, given its status."""
    families = [*_keeper_metrics(status), _worker_metrics(status), *_control_metrics(status["control"])]
    return render([*families, _unconfirmed_metrics(status), *_quota_metrics(status)])


def _keeper_metrics(status: Mapping[str, Any]) -> list[Family]:
    return [
        gauge("pebbledrift_current", "Whether this keeper hears a majority.", float(status["current"])),
        gauge("pebbledrift_config_revision", "Version of the configuration in place.", status["revision"]),
        gauge("pebbledrift_view_epoch", "The agreed view.", status["epoch"]),
        gauge("pebbledrift_view_members", "Keepers that vote.", len(status["members"])),
        gauge("pebbledrift_chain_length", "Keepers that have everything.", len(status["chain"])),
        gauge("pebbledrift_reporting_routers", "Routers that report to this keeper.", len(status["routers"])),
        gauge("pebbledrift_children", "Routers that this keeper tells.", status["children"]),
    ]


def _worker_metrics(status: Mapping[str, Any]) -> Family:
    counts = Counter((instance["backend"], instance["state"]) for instance in status["instances"].values())
    samples = [
        Sample(count, {"backend": backend, "state": state}) for (backend, state), count in counts.items()
    ]
    return Family("pebbledrift_workers", "gauge", "Workers by service and state.", tuple(samples))


def _control_metrics(control: Mapping[str, Any]) -> list[Family]:
    samples = [
        Sample(count, {"call": call, "status": status})
        for call, counts in control["answers"].items()
        for status, count in counts.items()
    ]
    help_text = "Answers of the control interface by call and HTTP status."
    return [
        gauge("pebbledrift_control_connections", "Connections of callers.", control["connections"]),
        gauge("pebbledrift_control_calls", "Calls in progress.", control["calls"]),
        Family("pebbledrift_control_answers_total", "counter", help_text, tuple(samples)),
    ]


def _unconfirmed_metrics(status: Mapping[str, Any]) -> Family:
    samples = [
        Sample(count, {"call": call, "cause": cause})
        for call, counts in status["unconfirmed"].items()
        for cause, count in counts.items()
    ]
    help_text = "Operators' calls that ended without a clear answer."
    return Family("pebbledrift_unconfirmed_calls_total", "counter", help_text, tuple(samples))


def _quota_metrics(status: Mapping[str, Any]) -> list[Family]:
    quotas: Mapping[str, Mapping[str, float]] = status["quotas"]
    help_texts = {"lent": "Lent in the present window.", "most": "What may be lent in one window."}
    return [
        Family(
            f"pebbledrift_quota_{key}",
            "gauge",
            text,
            tuple(Sample(quota[key], {"tenant": tenant}) for tenant, quota in quotas.items()),
        )
        for key, text in help_texts.items()
    ]
