"""The operator's orders: how one is judged against the configuration in place, and what it leads to."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from enum import IntEnum
from typing import Any

from pebbledrift.cluster.codec import message
from pebbledrift.cluster.errors import InvalidConfiguration

DIGEST_BYTES = 16
TAKEN_MOST = 8192  # digests kept of orders that were taken: a day has hundreds
Check = Callable[[object], None]
Config = dict[str, Any]


class OrderKind(IntEnum):
    """What an order brings."""

    REPLACE = 0  # a whole configuration
    UPDATE = 1  # items to add, replace or remove


class Verdict(IntEnum):
    """How an order was judged."""

    TAKEN = 0
    TAKEN_BEFORE = 1
    CONFLICT = 2  # another version is in place
    INVALID = 3


@message(20)
class Order:
    """One call of the operator."""

    kind: int
    base: int
    body: bytes

    @property
    def digest(self) -> bytes:
        """The same for a call that is sent again."""
        head = f"{self.kind} {self.base} ".encode()
        return hashlib.blake2b(head + self.body, digest_size=DIGEST_BYTES).digest()


@message(21)
class Judgement:
    """The verdict on an order, with the reason of a refusal."""

    verdict: int
    reason: str = ""


def _parse(body: bytes) -> Config:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidConfiguration([f"cannot be read: {error}"]) from None
    if not isinstance(data, dict):
        raise InvalidConfiguration(["not an object"])
    return data


def _named(items: object, place: str) -> list[Any]:
    if items is None:
        return []
    if not isinstance(items, list):
        raise InvalidConfiguration([f"{place}: not a list"])
    return items


def _changed_section(current: list[Any], upsert: list[Any], delete: list[Any], place: str) -> list[Any]:
    """A list of named items after items were removed, and others added or replaced in their place."""
    for number, item in enumerate(upsert):
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise InvalidConfiguration([f"upsert.{place}[{number}]: an object with a name is needed"])
    removed = {name for name in delete if isinstance(name, str)}
    replaced = {item["name"]: item for item in upsert}
    kept = [replaced.pop(item["name"], item) for item in current if item["name"] not in removed]
    return kept + list(replaced.values())


def _section(data: Config, key: str) -> Config:
    value = data.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise InvalidConfiguration([f"{key}: not an object"])
    return value


def _updated(current: Config, change: Config) -> Config:
    """The configuration after a change of named items."""
    upsert, delete = _section(change, "upsert"), _section(change, "delete")
    result = dict(current)
    for place in {*upsert, *delete}:
        if place == "limits":
            result["limits"] = {**current.get("limits", {}), **_section(upsert, "limits")}
            continue
        present = _named(current.get(place), place)
        changed = _named(upsert.get(place), f"upsert.{place}")
        result[place] = _changed_section(
            present, changed, _named(delete.get(place), f"delete.{place}"), place
        )
    result["revision"] = change.get("revision")
    return result


class ConfigurationState:
    """The configuration in place and the orders that led to it; changes only by `apply`."""

    def __init__(self, check: Check) -> None:
        self._check = check
        self.config: Config | None = None
        self.taken: dict[bytes, int] = {}  # digest of each order taken, oldest first, with its revision

    @property
    def revision(self) -> int:
        """The version in place; 0 before the first."""
        return 0 if self.config is None else int(self.config["revision"])

    def judge(self, order: Order) -> tuple[Judgement, Config | None]:
        """What would become of an order now, and the configuration that it leads to."""
        if order.digest in self.taken:
            return Judgement(Verdict.TAKEN_BEFORE), None
        if order.base != self.revision:
            return Judgement(Verdict.CONFLICT, f"version {self.revision} is in place"), None
        try:
            return Judgement(Verdict.TAKEN), self._result(order)
        except InvalidConfiguration as error:
            return Judgement(Verdict.INVALID, str(error)), None

    def _result(self, order: Order) -> Config:
        data = _parse(order.body)
        if order.kind == OrderKind.UPDATE:
            if self.config is None:
                raise InvalidConfiguration(["there is no configuration yet that could be changed"])
            data = _updated(self.config, data)
        self._check(data)
        if data["revision"] <= self.revision:
            raise InvalidConfiguration([f"revision: {data['revision']} is not above {self.revision}"])
        return data

    def apply(self, order: Order) -> Judgement:
        """Take an order that was judged as taken at this very state."""
        judgement, config = self.judge(order)
        if config is not None:
            self.config = config
            self.taken[order.digest] = self.revision
            while len(self.taken) > TAKEN_MOST:
                del self.taken[next(iter(self.taken))]
        return judgement

    def copy(self, check: Check) -> ConfigurationState:
        """Another state that begins as this one; configurations are never changed in place."""
        other = ConfigurationState(check)
        other.config, other.taken = self.config, dict(self.taken)
        return other

    def dump(self) -> tuple[bytes, list[tuple[bytes, int]]]:
        """The state as plain values."""
        config = b"" if self.config is None else json.dumps(self.config, separators=(",", ":")).encode()
        return config, list(self.taken.items())

    def restore(self, config: bytes, taken: list[tuple[bytes, int]]) -> None:
        """Take a state over that `dump` told."""
        self.config = json.loads(config) if config else None
        self.taken = {bytes(digest): revision for digest, revision in taken}
