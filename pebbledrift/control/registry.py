"""Worker instances as they register: newest word of each start wins, and what was told gone stays gone."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import Any

from pebbledrift.cluster.codec import message

GONE_MOST = 4096  # ended instances remembered, oldest forgotten first
INSTANCES_MOST = 4096  # instances in service or draining
TOLD_GONE_MOST = 256  # ended instances that a newcomer is told of


class InstanceState(IntEnum):
    """What is known of one start of a worker; a later state is never followed by an earlier one."""

    READY = 0
    DRAINING = 1
    GONE = 2


@message(30)
class Instance:
    """One start of a worker, as it was last heard."""

    id: str
    backend: str
    address: str
    zone: str
    revision: str
    slots: int
    state: int
    sequence: int
    stage: str
    cold_remaining_ms: float


class MalformedHeartbeat(ValueError):
    """A heartbeat that names no instance that could be used; the message names the key."""


def _text(body: dict[str, Any], key: str, default: str | None = None) -> str:
    value = body.get(key, default)
    if not isinstance(value, str):
        raise MalformedHeartbeat(f"{key}: a text is needed")
    return value


def _whole(body: dict[str, Any], key: str, default: int) -> int:
    value = body.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise MalformedHeartbeat(f"{key}: a whole number is needed")
    return int(value)


def parse_heartbeat(instance: str, body: object) -> Instance:
    """The instance that a heartbeat's body tells of; raises MalformedHeartbeat."""
    if not isinstance(body, dict):
        raise MalformedHeartbeat("body: not an object")
    state = _text(body, "state")
    if state not in ("ready", "draining"):
        raise MalformedHeartbeat(f"state: unknown: {state!r}")
    host, _, port = _text(body, "address").rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MalformedHeartbeat("address: IP:PORT is needed")
    cold = body.get("cold-remaining-ms", 0)
    return Instance(
        id=instance,
        backend=_text(body, "backend"),
        address=f"{host}:{port}",
        zone=_text(body, "zone", ""),
        revision=_text(body, "revision", ""),
        slots=_whole(body, "slots", 1),
        state=InstanceState.READY if state == "ready" else InstanceState.DRAINING,
        sequence=_whole(body, "sequence", 0),
        stage=_text(body, "stage", ""),
        cold_remaining_ms=float(cold) if isinstance(cold, int | float) else 0.0,
    )


def gone(instance: str) -> Instance:
    """What is known of an instance that has deregistered."""
    return Instance(instance, "", "", "", "", 0, InstanceState.GONE, 0, "", 0.0)


class Registry:
    """All instances that were heard of, each with the time of its last heartbeat."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.heard: dict[str, float] = {}
        self._gone: dict[str, None] = {}

    def merge(self, told: Instance, now: float) -> Instance | None:
        """Take in what a worker or another keeper tells; returns what others have to be told, if anything."""
        if told.id in self._gone:
            return None
        if told.state == InstanceState.GONE:
            self._end(told.id)
            return told
        known = self.instances.get(told.id)
        if known is None and len(self.instances) >= INSTANCES_MOST:
            return None
        if known is not None and told.sequence < known.sequence:
            return None
        self.heard[told.id] = now
        state = told.state if known is None else max(known.state, told.state)
        merged = told if state == told.state else _with_state(told, state)
        self.instances[told.id] = merged
        return merged if known is None or _differs(known, merged) else None

    def _end(self, instance: str) -> None:
        self.instances.pop(instance, None)
        self.heard.pop(instance, None)
        self._gone[instance] = None
        while len(self._gone) > GONE_MOST:
            del self._gone[next(iter(self._gone))]

    def is_gone(self, instance: str) -> bool:
        """Whether the instance is known to have ended."""
        return instance in self._gone

    def silent(self, now: float, longest: float) -> list[str]:
        """Instances without a heartbeat for longer than this."""
        return [name for name, heard in self.heard.items() if now - heard > longest]

    def forget(self, instances: Iterable[str]) -> list[Instance]:
        """End instances that have not been heard for too long; returns what others have to be told."""
        ended = [gone(name) for name in instances if name in self.instances]
        for instance in ended:
            self._end(instance.id)
        return ended

    def snapshot(self) -> list[Instance]:
        """All that is known, for somebody who knows nothing."""
        lately = list(self._gone)[-TOLD_GONE_MOST:]
        return [*self.instances.values(), *(gone(name) for name in lately)]


def _with_state(instance: Instance, state: int) -> Instance:
    return Instance(
        instance.id,
        instance.backend,
        instance.address,
        instance.zone,
        instance.revision,
        instance.slots,
        state,
        instance.sequence,
        instance.stage,
        instance.cold_remaining_ms,
    )


def _differs(one: Instance, other: Instance) -> bool:
    """Whether routers would treat the two differently: the sequence alone is no news."""
    return (one.state, one.address, one.backend, one.slots, one.zone, one.stage) != (
        other.state,
        other.address,
        other.backend,
        other.slots,
        other.zone,
        other.stage,
    )
