"""The figures that operators read: counted here, rendered by whoever shows them."""

from __future__ import annotations

from dataclasses import dataclass

from pebbledrift.core.model import Verdict


@dataclass(slots=True)
class ClassFigures:
    """Jobs of one class, by their final answer, and attempts written whole."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    sends: int = 0


class Figures:
    """Counts from the process's start. Every class is there from the start."""

    def __init__(self, classes: int) -> None:
        self.classes = [ClassFigures() for _ in range(classes)]
        self.current = 0  # operations taken and not answered
        self.conf_loaded = 1  # configurations read; the start's is the first
        self.conf_invalid = 0  # and rejected

    def answered(self, job_class: int, verdict: Verdict) -> None:
        """An operation has its final answer, whoever gave it."""
        figures = self.classes[job_class]
        match verdict:
            case Verdict.SERVED:
                figures.served += 1
            case Verdict.REFUSED:
                figures.refused += 1
            case Verdict.FAILED:
                figures.failed += 1

    def sent(self, job_class: int) -> None:
        """An attempt's last byte is written."""
        self.classes[job_class].sends += 1
