"""What the members have agreed on: the state that the log's commands make, the same at all. No I/O.

A command is a table: `key` with `value`, or with `remove`, and with `if`: the version that the caller knows,
or none; `lift`: a worker's uid and the ids of bans that are over; `place`: a member's name and where it is
found, or "" for one that is none any more. Values are JSON. A version is the index of the command that wrote
it. A command that does not apply changes nothing, and says why.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

KEYS_MOST = 10_000
KEY_BYTES, VALUE_BYTES = 128, 16 * 1024
HISTORY_MOST = 50  # changes that are told
LIFTED_MOST = 1000


class BadCommand(ValueError):
    """A command that no member would carry out."""


@dataclass(slots=True)
class Value:
    """One key's value, and what wrote it: the command's index, by whom, when by that one's clock."""

    value: Any
    version: int
    by: str
    at_ms: float


@dataclass(slots=True)
class Agreed:
    """The state. `lifted` is told of bans that are over, each time the state says so."""

    values: dict[str, Value] = field(default_factory=dict)
    lifts: dict[str, list[int]] = field(default_factory=dict)  # by worker: ids of bans that are over
    history: list[list[Any]] = field(default_factory=list)  # index, what, key, by, when
    places: dict[str, str] = field(default_factory=dict)  # by member that was added: host:port
    results: dict[int, str] = field(default_factory=dict)  # of the latest commands, by index
    placed: Callable[[], None] = lambda: None  # told when places have changed
    lifted: Callable[[str, list[int]], None] = lambda uid, ids: None

    def apply(self, index: int, data: bytes) -> None:
        """Carry out a committed command."""
        try:
            result = self._apply(index, json.loads(data))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            result = f"not done: {error}"  # at all members alike: the same command on the same state
        self.results[index] = result
        for old in [i for i in self.results if i <= index - 1000]:
            del self.results[old]

    def _apply(self, index: int, command: dict[str, Any]) -> str:
        by, at_ms = str(command.get("by", "")), float(command.get("at", 0.0))
        if "lift" in command:
            uid, ids = str(command["lift"][0]), [int(number) for number in command["lift"][1]]
            self.lifts[uid] = [*self.lifts.pop(uid, []), *ids][-32:]
            while len(self.lifts) > LIFTED_MOST:
                del self.lifts[next(iter(self.lifts))]
            self._note(index, "restore", uid or "all", by, at_ms)
            self.lifted(uid, ids)
            return "done"
        if "place" in command:
            name, where = map(str, command["place"])
            self.places = {n: w for n, w in {**self.places, name: where}.items() if w}
            self._note(index, "place", name, by, at_ms)
            self.placed()
            return "done"
        key = str(command["key"])
        known = self.values.get(key)
        wanted = command.get("if")
        if wanted is not None and int(wanted) != (known.version if known is not None else 0):
            return f"not done: {key} is at version {known.version if known is not None else 0}"
        if command.get("remove"):
            if self.values.pop(key, None) is None:
                return f"not done: no such key: {key}"
            self._note(index, "remove", key, by, at_ms)
            return "done"
        if known is None and len(self.values) >= KEYS_MOST:
            return f"not done: {KEYS_MOST} keys are all there may be"
        self.values[key] = Value(command["value"], index, by, at_ms)
        self._note(index, "set", key, by, at_ms)
        return "done"

    def _note(self, index: int, what: str, key: str, by: str, at_ms: float) -> None:
        self.history.append([index, what, key, by, at_ms])
        del self.history[:-HISTORY_MOST]

    def take(self) -> bytes:
        """All of it, for a snapshot."""
        values = {k: [v.value, v.version, v.by, v.at_ms] for k, v in self.values.items()}
        told = {"values": values, "lifts": self.lifts, "places": self.places, "history": self.history}
        return json.dumps(told, separators=(",", ":"), sort_keys=True).encode()

    def give(self, data: bytes) -> None:
        """Begin with a snapshot's state."""
        told = json.loads(data)
        self.values = {k: Value(*v) for k, v in told["values"].items()}
        self.lifts = {uid: list(ids) for uid, ids in told["lifts"].items()}
        self.places = dict(told["places"])
        self.history = [list(row) for row in told["history"]]
        self.results.clear()
        for uid, ids in self.lifts.items():
            self.lifted(uid, ids)
        self.placed()


def checked(command: dict[str, Any]) -> bytes:
    """A command as it goes into the log; BadCommand, naming the fault, where nobody would carry it out."""
    key = command.get("key")
    if "lift" not in command and "place" not in command:
        fits = isinstance(key, str) and 0 < len(key.encode()) <= KEY_BYTES
        if not isinstance(key, str) or not fits or not key.isprintable() or " " in key:
            raise BadCommand(f"a key has 1 to {KEY_BYTES} bytes and no space: {str(key)[:80]!r}")
        if len(json.dumps(command.get("value")).encode()) > VALUE_BYTES:
            raise BadCommand(f"{key}: a value has up to {VALUE_BYTES} bytes")
    return json.dumps(command, separators=(",", ":"), sort_keys=True).encode()
