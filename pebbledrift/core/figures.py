"""Counters for operators. They are kept here and rendered by the admin interfaces."""

from __future__ import annotations

from dataclasses import dataclass

from pebbledrift.core.model import Verdict


@dataclass(slots=True)
class ClassCounters:
    """Operations of one class by final answer, and the number of attempts written completely."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    sends: int = 0


class Counters:
    """Counters since the start of the process, with an entry for every class."""

    def __init__(self, classes: int) -> None:
        self.classes = [ClassCounters() for _ in range(classes)]
        self.current = 0  # operations accepted and not yet answered
        self.conf_loaded = 1  # configurations loaded, including the one at the start
        self.conf_invalid = 0  # configurations rejected

    def answered(self, job_class: int, verdict: Verdict) -> None:
        """Counts the final answer of an operation, whichever component gave it."""
        counters = self.classes[job_class]
        match verdict:
            case Verdict.SERVED:
                counters.served += 1
            case Verdict.REFUSED:
                counters.refused += 1
            case Verdict.FAILED:
                counters.failed += 1

    def sent(self, job_class: int) -> None:
        """Counts an attempt whose last byte has been written."""
        self.classes[job_class].sends += 1
