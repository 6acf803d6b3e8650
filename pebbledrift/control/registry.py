"""Registry of worker instances: the newest heartbeat of an instance wins, and an ended one stays ended.

An instance *expires* when it has not been heard for long: that says nothing of the instance if its heartbeats
did not get here, so a newer heartbeat of it brings it back, and nobody else is told. It *ends* when it
deregisters, or expires after it has said that it drains: that is final, and passed on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from enum import IntEnum
from typing import Any

from pebbledrift.cluster.codec import message

MAX_GONE_INSTANCES = 4096  # ended instances remembered; the oldest are dropped first
MAX_EXPIRED_INSTANCES = 4096  # expired instances remembered; the oldest are dropped first
MAX_INSTANCES = 4096  # instances in service or draining
MAX_GONE_IN_SNAPSHOT = 256  # most recently ended instances in a snapshot


class InstanceState(IntEnum):
    """Lifecycle state of an instance; it never changes to an earlier one."""

    READY = 0
    DRAINING = 1
    GONE = 2


@message(30)
class Instance:
    """One incarnation of a worker process, as its last accepted heartbeat described it."""

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
    """A heartbeat does not describe a usable instance; the message names the key at fault."""


def _text(body: dict[str, Any], key: str, default: str | None = None) -> str:
    """The string under a key; raises MalformedHeartbeat for another type."""
    value = body.get(key, default)
    if not isinstance(value, str):
        raise MalformedHeartbeat(f"{key}: a text is needed")
    return value


def _non_negative_int(body: dict[str, Any], key: str, default: int) -> int:
    """The integer under a key, at least 0; raises MalformedHeartbeat for anything else."""
    value = body.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise MalformedHeartbeat(f"{key}: a whole number is needed")
    return int(value)


def parse_heartbeat(instance: str, body: object) -> Instance:
    """Return the instance that the decoded body of a heartbeat describes; raises MalformedHeartbeat."""
    if not isinstance(body, dict):
        raise MalformedHeartbeat("body: not an object")
    state = _text(body, "state")
    if state not in ("ready", "draining"):
        raise MalformedHeartbeat(f"state: unknown: {state!r}")
    host, _, port = _text(body, "address").rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MalformedHeartbeat("address: IP:PORT is needed")
    cold_remaining_ms = body.get("cold-remaining-ms", 0)
    return Instance(
        id=instance,
        backend=_text(body, "backend"),
        address=f"{host}:{port}",
        zone=_text(body, "zone", ""),
        revision=_text(body, "revision", ""),
        slots=_non_negative_int(body, "slots", 1),
        state=InstanceState.READY if state == "ready" else InstanceState.DRAINING,
        sequence=_non_negative_int(body, "sequence", 0),
        stage=_text(body, "stage", ""),
        cold_remaining_ms=float(cold_remaining_ms) if isinstance(cold_remaining_ms, int | float) else 0.0,
    )


def gone_instance(instance: str) -> Instance:
    """Return the entry for an instance, given by its id, that has ended."""
    return Instance(instance, "", "", "", "", 0, InstanceState.GONE, 0, "", 0.0)


class Registry:
    """All known instances by id, each with the time of its last heartbeat in seconds."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.last_heartbeat_at: dict[str, float] = {}
        self._gone: dict[str, None] = {}  # ids of ended instances, oldest first
        self._expired: dict[str, Instance] = {}  # as they were last heard, oldest first

    def merge(self, reported: Instance, now: float) -> Instance | None:
        """Merge an instance reported by a worker or another keeper.

        Returns the instance to publish if routers and keepers have to learn of a change, otherwise None.
        """
        if reported.id in self._gone:
            return None
        if reported.state == InstanceState.GONE:
            self._end(reported.id)
            return reported
        existing = self.instances.get(reported.id)
        if existing is None and len(self.instances) >= MAX_INSTANCES:
            return None
        if existing is not None and reported.sequence < existing.sequence:
            return None
        expired = self._expired.get(reported.id)
        # without numbers (0) each heartbeat may be a newer one
        if expired is not None and expired.sequence and reported.sequence <= expired.sequence:
            return None
        self._expired.pop(reported.id, None)
        self.last_heartbeat_at[reported.id] = now
        state = reported.state if existing is None else max(existing.state, reported.state)
        merged = reported if state == reported.state else replace(reported, state=state)
        self.instances[reported.id] = merged
        return merged if existing is None or _differs(existing, merged) else None

    def _end(self, instance: str) -> None:
        """Remove an instance and remember its id as ended."""
        self.instances.pop(instance, None)
        self.last_heartbeat_at.pop(instance, None)
        self._expired.pop(instance, None)
        self._gone[instance] = None
        while len(self._gone) > MAX_GONE_INSTANCES:
            del self._gone[next(iter(self._gone))]

    def is_gone(self, instance: str) -> bool:
        """Whether the instance with this id is remembered as ended."""
        return instance in self._gone

    def silent(self, now: float, timeout_s: float) -> list[str]:
        """Ids of the instances whose last heartbeat is more than `timeout_s` ago."""
        return [name for name, at in self.last_heartbeat_at.items() if now - at > timeout_s]

    def postpone_expiry(self, seconds: float) -> None:
        """Does not count the last `seconds` as silence of any instance."""
        for name in self.last_heartbeat_at:
            self.last_heartbeat_at[name] += seconds

    def expire(self, instances: Iterable[str]) -> list[Instance]:
        """Drops the instances with these ids, and returns them as they were; unknown ids are ignored.

        One that was draining has ended with that.
        """
        expired = [self.instances[name] for name in instances if name in self.instances]
        for instance in expired:
            if instance.state == InstanceState.READY:
                self._remember_expired(instance)
            else:
                self._end(instance.id)
        return expired

    def _remember_expired(self, instance: Instance) -> None:
        del self.instances[instance.id]
        del self.last_heartbeat_at[instance.id]
        self._expired[instance.id] = instance
        while len(self._expired) > MAX_EXPIRED_INSTANCES:
            del self._expired[next(iter(self._expired))]

    def revive(self, instance: str, sequence: int, now: float) -> Instance | None:
        """Brings back an expired instance that another keeper has heard, by the number of its heartbeat.

        Returns the instance to publish, or None if it has not expired, or the heartbeat is no newer one.
        """
        expired = self._expired.get(instance)
        return None if expired is None else self.merge(replace(expired, sequence=sequence), now)

    def snapshot(self) -> list[Instance]:
        """All instances and the most recently ended ones, for a peer that has no state yet."""
        recently_gone = list(self._gone)[-MAX_GONE_IN_SNAPSHOT:]
        return [*self.instances.values(), *(gone_instance(name) for name in recently_gone)]


def _differs(one: Instance, other: Instance) -> bool:
    """Whether routers would treat the two differently; a new sequence number alone is not published."""
    return (one.state, one.address, one.backend, one.slots, one.zone, one.stage) != (
        other.state,
        other.address,
        other.backend,
        other.slots,
        other.zone,
        other.stage,
    )
