"""Renders metrics in the Prometheus text exposition format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from spoolpier.records import record

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@record
class Sample:
    """One value with its labels; `suffix` is appended to the family's name, for the series of a histogram."""

    value: float
    labels: Mapping[str, str]
    suffix: str = ""


@record
class Family:
    """A metric family: all samples that share a name, a type and a help text."""

    name: str
    kind: str  # counter, gauge or histogram
    help_text: str
    samples: tuple[Sample, ...]


def gauge(name: str, help_text: str, value: float, **labels: str) -> Family:
    """Return a gauge family with a single sample."""
    return Family(name, "gauge", help_text, (Sample(value, labels),))


def render(families: Iterable[Family]) -> str:
    """Render all families as one document."""
    lines: list[str] = []
    for family in families:
        lines.append(f"# HELP {family.name} {family.help_text}")
        lines.append(f"# TYPE {family.name} {family.kind}")
        lines += [_sample_line(family.name, sample) for sample in family.samples]
    return "\n".join(lines) + "\n"


def _sample_line(name: str, sample: Sample) -> str:
    """Render one sample; the value has up to ten significant digits."""
    labels = ",".join(f'{key}="{_escape_label(value)}"' for key, value in sample.labels.items())
    label_set = f"{{{labels}}}" if labels else ""
    return f"{name}{sample.suffix}{label_set} {sample.value:.10g}"


def _escape_label(text: str) -> str:
    """Escape backslashes, double quotes and line feeds in a label value."""
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
