"""The job classes that a dispatcher knows, by number."""

from __future__ import annotations

from collections.abc import Iterable

from spoolpier import interface as api


class JobClasses:
    """Job classes, and the longest grace in milliseconds that a job of each had.

    `late_worth` says whether a late answer of any class is worth something.
    """

    def __init__(self, classes: Iterable[api.JobClass]) -> None:
        self.specs: dict[int, api.JobClass] = dict(enumerate(classes))
        self.max_grace_ms: dict[int, float] = {}
        self.late_worth = any(spec.late_worth for spec in self.specs.values())

    def __contains__(self, number: int) -> bool:
        return number in self.specs

    def add(self, number: int, spec: api.JobClass) -> None:
        """Add a class. Raises ValueError if its number is taken."""
        if number in self.specs:
            raise ValueError(f"job class given twice: {number}")
        self.specs[number] = spec
        self.late_worth = self.late_worth or spec.late_worth > 0

    def remove(self, number: int) -> None:
        """Forget a class."""
        del self.specs[number]
        self.max_grace_ms.pop(number, None)
        self.late_worth = any(spec.late_worth for spec in self.specs.values())

    def lost_grace_ms(self, number: int, grace_ms: float) -> float:
        """Return how much less grace a job has than the longest of its class, which this may be.

        A client's retry has less grace left than its first try: its aim has been running meanwhile.
        """
        longest = self.max_grace_ms[number] = max(self.max_grace_ms.get(number, 0.0), grace_ms)
        return longest - grace_ms
