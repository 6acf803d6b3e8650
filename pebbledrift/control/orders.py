"""Configuration changes ("orders") from operators: validation and optimistic concurrency control.

Every order names the revision that it builds on. It is accepted only if that revision is in force, and
refused as a conflict otherwise.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from enum import IntEnum
from typing import Any

from pebbledrift.cluster.codec import message
from pebbledrift.cluster.errors import InvalidConfiguration

DIGEST_BYTES = 16
MAX_ACCEPTED_DIGESTS = 8192  # digests kept to recognize a resent order; a day has hundreds of orders
MAX_REFUSED_DIGESTS = 1024  # digests kept of refused orders whose base might still come into force
MAX_CONFIG_BYTES = 8 * 1024 * 1024  # of a configuration in compact JSON; messages have room for one
ALREADY_REFUSED = (
    "this order was refused before its base was in place, which is final; send the change as another revision"
)
Check = Callable[[object], None]  # raises InvalidConfiguration for a configuration that cannot be used
Config = dict[str, Any]


class OrderKind(IntEnum):
    """What the body of an order holds."""

    REPLACE = 0  # a complete configuration
    UPDATE = 1  # items to add, replace or remove
    REFUSAL = 2  # in the log only: the digest of an order that was refused, and must stay refused


class OrderStatus(IntEnum):
    """Whether an order was accepted, or why it was refused."""

    ACCEPTED = 0
    ALREADY_ACCEPTED = 1  # the same order was accepted earlier and was sent again
    CONFLICT = 2  # the order builds on a revision that is not in force
    INVALID = 3  # the order cannot be read, or the resulting configuration is invalid


@message(20)
class Order:
    """A configuration change from an operator: its kind, its base revision, and its body in JSON."""

    kind: int
    base: int
    body: bytes

    @property
    def digest(self) -> bytes:
        """Identifies the order; a resent copy has the same digest."""
        head = f"{self.kind} {self.base} ".encode()
        return hashlib.blake2b(head + self.body, digest_size=DIGEST_BYTES).digest()


def refusal_of(order: Order) -> Order:
    """Return the log record that an order was refused."""
    return Order(OrderKind.REFUSAL, order.base, order.digest)


@message(21)
class OrderResult:
    """The status of an evaluated order (an OrderStatus), with the reason if it was refused."""

    status: int
    reason: str = ""


def _parse(body: bytes) -> Config:
    """Decode a JSON object; raise InvalidConfiguration for anything else."""
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidConfiguration([f"cannot be read: {error}"]) from None
    if not isinstance(data, dict):
        raise InvalidConfiguration(["not an object"])
    return data


def _item_list(items: object, path: str) -> list[Any]:
    """The value at a path as a list, empty if it is absent; raise InvalidConfiguration for another type."""
    if items is None:
        return []
    if not isinstance(items, list):
        raise InvalidConfiguration([f"{path}: not a list"])
    return items


def _changed_section(current: list[Any], upsert: list[Any], delete: list[Any], section: str) -> list[Any]:
    """Apply deletions and upserts to a list of named items; a replaced item keeps its position."""
    for index, item in enumerate(upsert):
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise InvalidConfiguration([f"upsert.{section}[{index}]: an object with a name is needed"])
    removed = {name for name in delete if isinstance(name, str)}
    replaced = {item["name"]: item for item in upsert}
    kept = [replaced.pop(item["name"], item) for item in current if item["name"] not in removed]
    return kept + list(replaced.values())


def _object(data: Config, key: str) -> Config:
    """The object under a key, empty if it is absent; raise InvalidConfiguration for another type."""
    value = data.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise InvalidConfiguration([f"{key}: not an object"])
    return value


def _updated(current: Config, change: Config) -> Config:
    """Return the current configuration with the upserts and deletions of an update applied."""
    upsert, delete = _object(change, "upsert"), _object(change, "delete")
    result = dict(current)
    for section in {*upsert, *delete}:
        if section == "limits":
            result["limits"] = {**current.get("limits", {}), **_object(upsert, "limits")}
            continue
        items = _item_list(current.get(section), section)
        upserted = _item_list(upsert.get(section), f"upsert.{section}")
        result[section] = _changed_section(
            items, upserted, _item_list(delete.get(section), f"delete.{section}"), section
        )
    result["revision"] = change.get("revision")
    return result


class ConfigurationState:
    """The configuration in force, the digests of recently accepted orders, and of refused ones.

    A refused order is recorded if the revision that it builds on might still come into force: another copy of
    it could be accepted then. All other refused orders stay refused, since revisions only rise. Only `apply`
    and `restore` change the state.
    """

    def __init__(self, check: Check) -> None:
        self._check = check
        self.config: Config | None = None
        self.accepted: dict[bytes, int] = {}  # digest of each accepted order to its revision, oldest first
        self.refused: dict[bytes, int] = {}  # digest of each recorded refused order to its base, oldest first

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first configuration."""
        return 0 if self.config is None else int(self.config["revision"])

    def evaluate(self, order: Order) -> tuple[OrderResult, Config | None]:
        """Evaluate an order without applying it.

        Returns its result and the resulting configuration, or None unless the order is newly accepted.
        """
        if order.digest in self.accepted:
            return OrderResult(OrderStatus.ALREADY_ACCEPTED), None
        if order.digest in self.refused:
            return OrderResult(OrderStatus.CONFLICT, ALREADY_REFUSED), None
        if order.base != self.revision:
            return OrderResult(OrderStatus.CONFLICT, f"version {self.revision} is in place"), None
        try:
            return OrderResult(OrderStatus.ACCEPTED), self._resulting_config(order)
        except InvalidConfiguration as error:
            return OrderResult(OrderStatus.INVALID, str(error)), None

    def _resulting_config(self, order: Order) -> Config:
        """The valid configuration that an order leads to; raise InvalidConfiguration if there is none."""
        data = _parse(order.body)
        if order.kind == OrderKind.UPDATE:
            if self.config is None:
                raise InvalidConfiguration(["there is no configuration yet that could be changed"])
            data = _updated(self.config, data)
        self._check(data)
        if data["revision"] <= self.revision:
            raise InvalidConfiguration([f"revision: {data['revision']} is not above {self.revision}"])
        return data

    def apply(self, order: Order) -> OrderResult:
        """Evaluate an order and, if it is accepted, put its configuration into force.

        The record of a refusal is kept, and is itself never accepted.
        """
        if order.kind == OrderKind.REFUSAL:
            self.refused[bytes(order.body)] = order.base
            while len(self.refused) > MAX_REFUSED_DIGESTS:
                del self.refused[next(iter(self.refused))]
            return OrderResult(OrderStatus.CONFLICT)
        result, config = self.evaluate(order)
        if config is not None:
            self.config = config
            self.accepted[order.digest] = self.revision
            while len(self.accepted) > MAX_ACCEPTED_DIGESTS:
                del self.accepted[next(iter(self.accepted))]
        return result

    def must_record_refusal(self, order: Order) -> bool:
        """Whether an order that was refused now could be accepted later, and is not recorded yet."""
        return order.base > self.revision and order.digest not in self.refused

    def copy(self, check: Check) -> ConfigurationState:
        """Return an independent copy with its own check; configurations are immutable, so they are shared."""
        other = ConfigurationState(check)
        other.config = self.config
        other.accepted, other.refused = dict(self.accepted), dict(self.refused)
        return other

    def dump(self) -> tuple[bytes, list[tuple[bytes, int]]]:
        """Return the state for `restore`: the configuration in JSON (empty if none), and the digests.

        Accepted orders come with their revision, refused ones with their base as a negative number, so that
        the stored form stays the one of programs that record no refusals.
        """
        config = b"" if self.config is None else json.dumps(self.config, separators=(",", ":")).encode()
        refused = [(digest, -base) for digest, base in self.refused.items()]
        return config, [*self.accepted.items(), *refused]

    def restore(self, config: bytes, digests: list[tuple[bytes, int]]) -> None:
        """Replace the state by one that `dump` returned."""
        self.config = json.loads(config) if config else None
        self.accepted = {bytes(digest): revision for digest, revision in digests if revision >= 0}
        self.refused = {bytes(digest): -base for digest, base in digests if base < 0}
