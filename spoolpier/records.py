"""Value classes that are cheap to define.

A frozen data class writes and compiles eight functions when it is defined: 1.4 ms, where a record takes
0.5 ms. Messages and events are over eighty classes, and a process that restarts serves nobody until they
are defined.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from operator import attrgetter
from typing import Any, TypeVar, dataclass_transform

Class = TypeVar("Class")


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def record(given: type[Class]) -> type[Class]:
    """Make a class a value with slots, equal to others with the same fields; type checkers keep it frozen."""
    made: Any = dataclass(slots=True, eq=False, repr=False)(given)
    names = tuple(f.name for f in fields(made))
    key: Any = attrgetter(*names) if names else _no_fields

    def equal(self: Any, other: object) -> bool:
        return type(other) is made and bool(key(self) == key(other))

    def hashed(self: Any) -> int:
        return hash(key(self))

    def shown(self: Any) -> str:
        told = ", ".join(f"{name}={getattr(self, name)!r}" for name in names)
        return f"{made.__name__}({told})"

    made.__eq__, made.__hash__, made.__repr__ = equal, hashed, shown
    result: type[Class] = made
    return result


def _no_fields(value: object) -> tuple[()]:
    return ()
