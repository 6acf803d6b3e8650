"""Compares two configurations item by item; the values of tenants' API keys are never shown."""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import Enum
from typing import Any

from spoolpier.records import record

NAMED_SECTIONS = ("routes", "backends", "tenants")
SECRET_FIELDS = frozenset({"api-keys"})


class ChangeKind(Enum):
    """How an item differs between the two configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@record
class Change:
    """One differing item; for changed items `fields` maps each differing field to (before, after) texts."""

    kind: ChangeKind
    path: str
    fields: Mapping[str, tuple[str, str]]

    def as_json(self) -> dict[str, Any]:
        """Return the change as values that can be encoded as JSON."""
        fields = {name: {"before": before, "after": after} for name, (before, after) in self.fields.items()}
        return {"kind": self.kind.value, "place": self.path, "fields": fields}

    def lines(self) -> list[str]:
        """Return the change as lines of text."""
        sign = {ChangeKind.ADDED: "+", ChangeKind.REMOVED: "-", ChangeKind.CHANGED: "~"}[self.kind]
        rows = [f"    {name}: {before} -> {after}" for name, (before, after) in self.fields.items()]
        return [f"{sign} {self.path}", *rows]


def compare(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[Change]:
    """Return all differences: named items by section first, then the other top-level keys."""
    changes: list[Change] = []
    for section in NAMED_SECTIONS:
        changes += _compare_named_items(section, before.get(section) or [], after.get(section) or [])
    others = [key for key in {**before, **after} if key not in NAMED_SECTIONS]
    for key in others:
        if isinstance(before.get(key), dict) and isinstance(after.get(key), dict):
            fields = _changed_fields(before[key], after[key])
        else:
            fields = _changed_fields({key: before.get(key)}, {key: after.get(key)})
        if fields:
            changes.append(Change(ChangeKind.CHANGED, key, fields))
    return changes


def _compare_named_items(section: str, before: list[Any], after: list[Any]) -> list[Change]:
    old = {item["name"]: item for item in before}
    new = {item["name"]: item for item in after}
    changes = []
    for name in {**old, **new}:
        path = f"{section}[{name}]"
        if name not in new:
            changes.append(Change(ChangeKind.REMOVED, path, {}))
        elif name not in old:
            changes.append(Change(ChangeKind.ADDED, path, {}))
        elif fields := _changed_fields(old[name], new[name]):
            changes.append(Change(ChangeKind.CHANGED, path, fields))
    return changes


def _changed_fields(before: Mapping[str, Any], after: Mapping[str, Any]) -> dict[str, tuple[str, str]]:
    return {
        key: (_display_value(key, before.get(key)), _display_value(key, after.get(key)))
        for key in {**before, **after}
        if before.get(key) != after.get(key)
    }


def _display_value(key: str, value: object) -> str:
    if value is None:
        return "(none)"
    if key in SECRET_FIELDS:
        return f"({len(value) if isinstance(value, list) else 1} keys, not shown)"
    return json.dumps(value, ensure_ascii=False)
