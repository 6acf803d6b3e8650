"""A router's position in the relay tree: its uplinks, its children, and the state it holds. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from pebbledrift.chain.messages import Stamp
from pebbledrift.control.registry import Instance
from pebbledrift.overlay.follower import ControlFollower, ReceivedState, updates_after
from pebbledrift.overlay.messages import (
    ConfigFetch,
    ConfigUpdate,
    InstanceSnapshot,
    InstanceUpdate,
    Redirect,
    RouterReport,
    StateNotice,
    StatusReply,
    Subscribe,
    TokenGrant,
    TokenReport,
    Unsubscribe,
)
from pebbledrift.overlay.publisher import Link, Publisher
from pebbledrift.overlay.uplinks import UplinkPlan
from spoolpier.records import record

STATE_INTERVAL_S = 0.5  # between state notices to the children
CONNECT_TIMEOUT_S = 0.7  # a node that is unreachable for longer counts as failed
MAX_UPLINK_STATE_AGE_S = 1.5  # an uplink whose newest keeper state is older counts as failed
MAX_RELAYED_STATE_AGE_S = 1.0  # while the newest keeper state is older, no child is accepted
MIN_GOOD_UPLINKS = 2  # uplinks with recent state; with fewer the router subscribes to all keepers
CONNECTED_LENDERS = 2  # the router connects to the keeper that lends tokens and to its successor
MAX_KEEPERS = 9  # keepers connected to while not synchronized, or with too few good uplinks
MAX_HINTS = 16  # remembered relays that were named in redirects


@record
class RelaySettings:
    """A router's own settings."""

    name: str
    address: str  # where other routers reach it
    zone: str
    contacts: tuple[str, ...]  # addresses of the initial keepers
    max_children: int


class RelayOwner(Protocol):
    """The router that a RelayNode belongs to."""

    def configured(self, config: dict[str, Any]) -> None:
        """Another configuration is in force."""

    def instances_changed(self) -> None:
        """Worker instances are new or have changed."""

    def granted(self, grant: TokenGrant) -> None:
        """The keeper that lends tokens has answered a request."""

    def report(self, epoch: int) -> TokenReport:
        """Return the tokens recently spent of each quota, for a lender of this epoch."""


@dataclass(slots=True)
class _Uplink:
    """An outgoing connection, established or being attempted."""

    wanted_since: float
    open: bool = False
    subscribed: bool = False
    reported_at: float = 0.0  # when a keeper reported the newest state received on this connection
    current: bool = False  # whether the keeper of the last received state was in contact with a majority


class RelayNode:
    """Follows its uplinks and forwards updates to its children."""

    def __init__(
        self, settings: RelaySettings, owner: RelayOwner, send: Callable[[str, Any], None], now: float
    ) -> None:
        self.settings = settings
        self._owner, self._send = owner, send
        self.follower = ControlFollower(self, send)
        self.publisher = Publisher(settings.max_children, self._welcome)
        self._plan = UplinkPlan(settings.name, settings.zone)
        self._uplinks: dict[str, _Uplink] = {}
        self._chosen: list[str] = []
        self._hints: dict[str, str] = {}  # relays named in redirects: zone by address
        self._reported_epoch = 0  # the newest epoch whose lender was sent a TokenReport
        self._next_notice = now
        self._last_notice: StateNotice | None = None
        self.peers: Callable[[], dict[str, str]] = dict  # routers in the partial view: zone by address
        self.spread: Callable[[tuple[Instance, ...]], None] = lambda instances: None
        self._now = now

    # state for the router

    @property
    def synchronized(self) -> bool:
        """Whether the configuration was confirmed to be current and all workers are known."""
        follower = self.follower
        return follower.config_current and follower.workers_known and follower.log.state.config is not None

    def configured(self, config: dict[str, Any]) -> None:
        """Inform the router that another configuration is in force."""
        self._owner.configured(config)

    def instances_changed(self, instances: tuple[Instance, ...]) -> None:
        """Forward new or changed instances to the children and by gossip, and inform the router."""
        self.publisher.publish(InstanceUpdate(instances))
        self.spread(instances)
        self._owner.instances_changed()

    @property
    def uplink_count(self) -> int:
        """The number of nodes that this router is subscribed to."""
        return sum(uplink.subscribed for uplink in self._uplinks.values())

    def lender(self) -> str | None:
        """Return the address of the keeper that lends tokens, or None if it is not connected."""
        lenders = self.follower.lenders(self._now)
        return lenders[0] if lenders and self._is_open(lenders[0]) else None

    def report_load(self, running: dict[str, float]) -> None:
        """Send this router's running requests by service to the head of the chain and its successor."""
        report = RouterReport(self.follower.log.state.revision, tuple(running.items()))
        for address in self.follower.lenders(self._now)[:CONNECTED_LENDERS]:
            if self._is_open(address):
                self._send(address, report)

    def _is_open(self, address: str) -> bool:
        uplink = self._uplinks.get(address)
        return uplink is not None and uplink.open

    # outgoing connections

    def tick(self, now: float) -> set[str]:
        """Update uplinks and subscriptions; returns the addresses that should be connected."""
        self._now = now
        self._note_stale_uplinks(now)
        wanted = self._wanted_addresses(now)
        for address in [address for address in self._uplinks if address not in wanted]:
            del self._uplinks[address]
        for address in wanted:
            self._uplinks.setdefault(address, _Uplink(now))
        self._subscribe_chosen(now)
        if now >= self._next_notice:
            self._notify_children(now, force=True)
        return wanted

    def _note_stale_uplinks(self, now: float) -> None:
        """Record uplinks that cannot be reached or that send no recent state as failed."""
        for address, uplink in self._uplinks.items():
            waited = now - uplink.wanted_since
            if not uplink.open and waited > CONNECT_TIMEOUT_S:
                self._plan.note_failure(address, now)
                uplink.wanted_since = now
            elif uplink.subscribed and min(waited, now - uplink.reported_at) > MAX_UPLINK_STATE_AGE_S:
                self._plan.note_failure(address, now)

    def _wanted_addresses(self, now: float) -> set[str]:
        keepers = self.follower.keepers(now)
        relays = {**self._hints, **self.peers()}
        for address in (*self.publisher.addresses, self.settings.address, *keepers):
            relays.pop(address, None)
        connected = {address for address, uplink in self._uplinks.items() if uplink.subscribed}
        self._chosen = self._plan.choose(keepers, relays, connected, now)
        wanted = {*self._chosen, *self.follower.lenders(now)[:CONNECTED_LENDERS]}
        if not (self.synchronized and self._has_enough_uplinks(now)):
            wanted |= {*list(keepers)[:MAX_KEEPERS], *self.settings.contacts}
            wanted |= {address for address, uplink in self._uplinks.items() if uplink.subscribed}
        return wanted

    def _has_enough_uplinks(self, now: float) -> bool:
        """Return whether enough chosen uplinks sent recent state, one of them that of a current keeper."""
        good = [
            uplink
            for address in self._chosen
            if (uplink := self._uplinks.get(address)) is not None
            and uplink.subscribed
            and now - uplink.reported_at <= MAX_UPLINK_STATE_AGE_S
        ]
        return len(good) >= MIN_GOOD_UPLINKS and any(uplink.current for uplink in good)

    def _subscribe_chosen(self, now: float) -> None:
        """Subscribe to the chosen uplinks, or to all if those do not suffice, and end other subscriptions."""
        enough = self.synchronized and self._has_enough_uplinks(now)
        for address, uplink in self._uplinks.items():
            needed = address in self._chosen or not enough
            if uplink.open and needed and not uplink.subscribed and self._plan.usable(address, now):
                uplink.subscribed = True
                self._send(address, Subscribe(self.settings.zone))
            elif uplink.subscribed and not needed:
                uplink.subscribed = False
                self._send(address, Unsubscribe())

    def outgoing_opened(self, address: str, now: float) -> None:
        """Handle an outgoing connection that was established."""
        self._now = now
        uplink = self._uplinks.setdefault(address, _Uplink(now))
        uplink.open, uplink.subscribed, uplink.wanted_since = True, False, now
        self.follower.fetch_config(address, now)
        self._subscribe_chosen(now)
        self._report_quotas(now)

    def outgoing_closed(self, address: str, now: float) -> None:
        """Handle an outgoing connection that has ended."""
        self._now = now
        uplink = self._uplinks.get(address)
        if uplink is not None:
            uplink.open = uplink.subscribed = False
            uplink.wanted_since = now
            self._plan.note_failure(address, now)

    def outgoing_received(self, address: str, message: Any, now: float) -> None:
        """Handle a message received on an outgoing connection."""
        self._now = now
        if isinstance(message, StateNotice):
            self._handle_notice(address, message, now)
        elif isinstance(message, ConfigUpdate):
            self.follower.handle_config(address, message, now)
            self._notify_children(now)
        elif isinstance(message, StatusReply):
            self.follower.handle_status_reply(address, message, now)
        elif isinstance(message, InstanceUpdate):
            self.follower.merge(message.instances, now)
        elif isinstance(message, InstanceSnapshot):
            self.follower.handle_snapshot(message, now)
        elif isinstance(message, TokenGrant):
            self._owner.granted(message)
        elif isinstance(message, Redirect):
            self._handle_redirect(address, message, now)

    def _handle_notice(self, address: str, notice: StateNotice, now: float) -> None:
        uplink = self._uplinks.get(address)
        if uplink is not None:
            uplink.reported_at = max(uplink.reported_at, now - notice.age_s)
            uplink.current = notice.state.current
        if self.follower.handle_state(address, notice, now):
            self._report_quotas(now)
            self._notify_children(now)

    def _handle_redirect(self, address: str, redirect: Redirect, now: float) -> None:
        self._plan.note_refusal(address, now)
        uplink = self._uplinks.get(address)
        if uplink is not None:
            uplink.subscribed = False
        self._hints.update(redirect.relays)
        while len(self._hints) > MAX_HINTS:
            del self._hints[next(iter(self._hints))]

    def _report_quotas(self, now: float) -> None:
        """Send the recently spent tokens to a keeper that has begun to lend."""
        lender, epoch = self.lender(), self.follower.epoch(now)
        if lender is not None and epoch > self._reported_epoch:
            self._reported_epoch = epoch
            self._send(lender, self._owner.report(epoch))

    # incoming connections

    def incoming_received(self, link: Link, address: str, message: Any, now: float) -> None:
        """Handle a message from a router that has connected to this one."""
        self._now = now
        if isinstance(message, Subscribe):
            self._accept_child(link, address, message, now)
        elif isinstance(message, Unsubscribe):
            self.publisher.drop(link)
        elif isinstance(message, ConfigFetch):
            link.send(updates_after(self.follower.log, Stamp(*message.committed)))

    def incoming_closed(self, link: Link) -> None:
        """Handle an incoming connection that has ended."""
        self.publisher.drop(link)

    def _accept_child(self, link: Link, address: str, message: Subscribe, now: float) -> None:
        relays = [(peer, zone) for peer, zone in self.peers().items() if peer != address]
        relayable = self._relayable_state(now)
        state_is_recent = relayable is not None and now - relayable.reported_at <= MAX_RELAYED_STATE_AGE_S
        if not self.synchronized or not state_is_recent or self._is_open(address):
            self.publisher.refuse(link, relays)
        else:
            self.publisher.subscribe(link, address, message.zone, relays)

    def _welcome(self, link: Link) -> None:
        """Send the full state to a new child.

        The snapshot is marked as incomplete: only keepers may report that all workers are known, since this
        router's state may be old.
        """
        relayable = self._relayable_state(self._now)
        if relayable is not None:
            link.send(relayable.notice(self._now))
        link.send(InstanceSnapshot(tuple(self.follower.registry.snapshot()), False))

    def _relayable_state(self, now: float) -> ReceivedState | None:
        """Return the keeper state to forward to children, or None if this router lacks its configuration."""
        preferred = self.follower.preferred_state(now)
        if preferred is None or Stamp(*preferred.state.committed) > self.follower.log.committed:
            return None
        return preferred

    def _notify_children(self, now: float, force: bool = False) -> None:
        """Forward the preferred keeper state if it has changed or if `force` is set."""
        relayable = self._relayable_state(now)
        if relayable is None or not len(self.publisher):
            return
        notice, last = relayable.notice(now), self._last_notice
        if not force and last is not None and _equivalent(notice.state, last.state):
            return
        self._last_notice, self._next_notice = notice, now + STATE_INTERVAL_S
        self.publisher.publish(notice)


def _equivalent(one: Any, other: Any) -> bool:
    """Return whether two keeper states are equal apart from completeness, router count and load."""
    return bool(
        (one.epoch, one.lenders, one.current, one.committed, one.keepers)
        == (other.epoch, other.lenders, other.current, other.committed, other.keepers)
    )
