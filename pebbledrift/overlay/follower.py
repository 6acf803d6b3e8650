"""The control state held by a router: configuration, worker instances, and the state of the keepers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Snapshot, Stamp
from pebbledrift.cluster.peaks import RecentPeak
from pebbledrift.control.registry import Instance, Registry
from pebbledrift.overlay.messages import (
    ConfigFetch,
    ConfigUpdate,
    InstanceSnapshot,
    KeeperState,
    StateNotice,
    StatusReply,
    StatusRequest,
)
from spoolpier.records import record

FETCH_INTERVAL_S = 0.5
MAX_STATE_AGE_S = 2.0  # an older keeper state is no longer used
ROUTER_COUNT_SPAN_S = 5.0  # the router count is the largest of this span: keepers count some routers late
MAX_ORIGINS = 16  # keeper incarnations whose state is remembered
MAX_STATUS_REPLY_DELAY_S = 0.8  # a later StatusReply does not describe the present state
MAX_OPEN_REQUESTS = 32  # StatusRequests without a reply
MIN_ROUTER_SHARE = 0.8  # a sum over a smaller share of the routers is not representative

Send = Callable[[str, Any], None]


class Owner(Protocol):
    """Acts on changes of the control state."""

    def configured(self, config: dict[str, Any]) -> None:
        """A different configuration is in force."""

    def instances_changed(self, instances: tuple[Instance, ...]) -> None:
        """These worker instances are new or have changed."""


@record
class ReceivedState:
    """The state that a keeper reported, and when it did so."""

    state: KeeperState
    origin: str
    incarnation: int
    number: int
    reported_at: float

    def notice(self, now: float) -> StateNotice:
        """Return the state as a notice for another node, with its present age."""
        return StateNotice(
            self.state, self.origin, self.incarnation, self.number, max(0.0, now - self.reported_at)
        )


def updates_after(log: ReplicatedLog, after: Stamp) -> ConfigUpdate:
    """Return everything committed after a stamp.

    A snapshot is sent if the log does not hold the entries from that stamp on, or if the stamp lies after the
    last committed entry.
    """
    snapshot: Snapshot | None = None
    if not log.holds(after) or after.sequence > log.committed.sequence:
        snapshot = Snapshot(log.committed, log.snapshot().config, [])
        after = log.committed
    return ConfigUpdate(after, snapshot, log.after(after.sequence, log.committed.sequence))


class ControlFollower:
    """Applies the updates that uplinks send.

    The configuration never goes back to an earlier one, and of each worker instance the newest state counts.
    """

    def __init__(self, owner: Owner, send: Send) -> None:
        self._owner, self._send = owner, send
        self.log = ReplicatedLog()
        self.registry = Registry()
        self.workers_complete = False  # a keeper has reported that it knows all workers
        self.snapshot_received = False  # an uplink has sent all instances that it knows
        self.config_current = False  # since the start, the configuration was once confirmed to be current
        self._states: dict[tuple[str, int], ReceivedState] = {}  # by keeper address and incarnation
        self._requested_at: dict[int, float] = {}  # by number: when a StatusRequest was sent
        self._number = 0
        self._fetch_at = 0.0
        self._router_count = RecentPeak(ROUTER_COUNT_SPAN_S)

    # updates from uplinks

    def fetch_config(self, uplink: str, now: float) -> None:
        """Request the entries after the local log: once per interval, or always without a configuration."""
        if now >= self._fetch_at or self.log.state.config is None:
            self._fetch_at = now + FETCH_INTERVAL_S
            self._send(uplink, ConfigFetch(self.log.committed))

    def handle_state(self, uplink: str, notice: StateNotice, now: float) -> bool:
        """Handle a keeper's state, sent by it or forwarded; returns whether no newer one of it is known."""
        if not self._is_newest(notice, now):
            return False
        self._router_count.note(notice.state.router_count, now)
        if Stamp(*notice.state.committed) > self.log.committed:
            self.fetch_config(uplink, now)
        else:
            self._confirm_current(uplink, notice, now)
        return True

    def _is_newest(self, notice: StateNotice, now: float) -> bool:
        """Store a notice if it is newer than the stored one of its keeper; returns whether none is newer."""
        key = notice.origin, notice.incarnation
        existing = self._states.pop(key, None)
        latest = existing
        if existing is None or notice.number > existing.number:
            reported_at = now - max(0.0, notice.age_s)
            latest = ReceivedState(
                notice.state, notice.origin, notice.incarnation, notice.number, reported_at
            )
        assert latest is not None
        self._states[key] = latest
        while len(self._states) > MAX_ORIGINS:
            del self._states[next(iter(self._states))]
        return notice.number >= latest.number

    def _confirm_current(self, uplink: str, notice: StateNotice, now: float) -> None:
        """Note whether a keeper knows all workers, and ask one that reports itself as current to confirm it.

        Only a notice directly from the keeper counts: a forwarded one may have waited in a relay that was
        frozen. A direct one may have waited in this process, so the keeper is asked again, and its reply
        counts only if it arrives promptly.
        """
        if notice.origin != uplink:
            return
        self.workers_complete = self.workers_complete or notice.state.complete
        if notice.state.current and self.log.state.config is not None and not self.config_current:
            self._number += 1
            self._requested_at[self._number] = now
            while len(self._requested_at) > MAX_OPEN_REQUESTS:
                del self._requested_at[next(iter(self._requested_at))]
            self._send(uplink, StatusRequest(self._number))

    def handle_status_reply(self, uplink: str, reply: StatusReply, now: float) -> None:
        """Mark the configuration as current if a current keeper has no newer one and replies promptly."""
        requested_at = self._requested_at.pop(reply.number, None)
        if requested_at is None or now - requested_at > MAX_STATUS_REPLY_DELAY_S or not reply.current:
            return
        if Stamp(*reply.committed) > self.log.committed:
            self.fetch_config(uplink, now)
        elif self.log.state.config is not None:
            self.config_current = True
            self._requested_at.clear()

    def handle_config(self, uplink: str, update: ConfigUpdate, now: float) -> None:
        """Apply committed configurations; one older than the present one is never put in force."""
        before = self.log.state.revision
        if not self._append(update):
            return
        self._fetch_at = 0.0
        for received in self._states.values():
            if received.origin == uplink and self.log.committed >= Stamp(*received.state.committed):
                self._confirm_current(uplink, received.notice(now), now)
        if self.log.state.config is not None and self.log.state.revision != before:
            self._owner.configured(self.log.state.config)

    def _append(self, update: ConfigUpdate) -> bool:
        """Append the new entries; returns whether the update continues the local log without a gap."""
        log, after = self.log, Stamp(*update.after)
        if update.snapshot is not None and after > log.committed:
            log.restore(update.snapshot)
        if not log.holds(after) and after.sequence > log.committed.sequence:
            return False
        new_entries = [entry for entry in update.entries if entry.sequence > log.last.sequence]
        if new_entries and new_entries[0].sequence != log.last.sequence + 1:
            return False
        for entry in new_entries:
            log.append(entry)
        log.commit(log.last.sequence)
        return True

    @property
    def workers_known(self) -> bool:
        """Whether all workers are known."""
        return self.workers_complete and self.snapshot_received

    def handle_snapshot(self, snapshot: InstanceSnapshot, now: float) -> None:
        """Merge all instances that an uplink knows."""
        self.workers_complete = self.workers_complete or snapshot.complete
        self.snapshot_received = True
        self.merge(snapshot.instances, now)

    def merge(self, instances: tuple[Instance, ...], now: float) -> tuple[Instance, ...]:
        """Merge reported instances into the registry; returns those that are new or have changed."""
        merged = [self.registry.merge(instance, now) for instance in instances]
        changed = tuple(instance for instance in merged if instance is not None)
        if changed:
            self._owner.instances_changed(changed)
        return changed

    # state of the keepers

    def recent_states(self, now: float) -> list[ReceivedState]:
        """Return the keeper states that are at most MAX_STATE_AGE_S old."""
        return [
            received for received in self._states.values() if now - received.reported_at <= MAX_STATE_AGE_S
        ]

    def preferred_state(self, now: float) -> ReceivedState | None:
        """Return the state to rely on: of a current keeper if any, of the newest view, and the latest."""
        order = sorted(self.recent_states(now), key=lambda r: (r.state.current, r.state.epoch, r.reported_at))
        return order[-1] if order else None

    def keepers(self, now: float) -> dict[str, str]:
        """Return the zone by address of all keepers that any keeper reports as live."""
        return {
            address: zone for received in self.recent_states(now) for address, zone in received.state.keepers
        }

    def lenders(self, now: float) -> tuple[str, ...]:
        """Return the chain's head, which lends tokens, and its successor, as in the newest reported view."""
        newest = max(self.recent_states(now), key=lambda received: received.state.epoch, default=None)
        return newest.state.lenders if newest is not None else ()

    def epoch(self, now: float) -> int:
        """Return the epoch of the newest reported view, or 0."""
        return max((received.state.epoch for received in self.recent_states(now)), default=0)

    def router_count(self) -> int:
        """Return the number of routers in the fleet as far as the keepers know, at least 1."""
        return max(1, self._router_count.value)

    def running(self, now: float) -> dict[str, float]:
        """Return the running requests of all routers by service, as reported by the keeper with most routers.

        The result is empty if that keeper is connected to less than MIN_ROUTER_SHARE of the routers.
        """
        fullest = max(self.recent_states(now), key=lambda received: received.state.router_count, default=None)
        if fullest is None or fullest.state.router_count < MIN_ROUTER_SHARE * self.router_count():
            return {}
        return dict(fullest.state.running)
