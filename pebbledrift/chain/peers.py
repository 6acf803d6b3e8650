"""Tracks the other keepers: their addresses, the last heartbeat of each replica, and when it arrived."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pebbledrift.chain.messages import Heartbeat
from pebbledrift.chain.view import address_of

ALIVE_TIMEOUT_S = 0.8  # a keeper without a heartbeat for this long counts as down
# a keeper that has acknowledged no heartbeat sent within this time counts as out of contact
CONTACT_TIMEOUT_S = 0.8
MAX_SENT_HEARTBEATS = 64  # own heartbeats whose send times are kept
FORGET_AFTER_S = 30.0  # silent replicas and addresses are dropped after this time
MAX_ADDRESSES = 64


@dataclass(slots=True)
class Peer:
    """The last heartbeat of one replica, with times in seconds of the local clock."""

    heartbeat: Heartbeat
    last_received_at: float
    alive_since: float
    echoed_sent_at: float = float("-inf")  # send time of the newest own heartbeat that it has echoed


class PeerTable:
    """Known replicas by name, and the addresses at which there may be keepers.

    `addresses` maps each address to the time of its last heartbeat, 0.0 if none has arrived.
    """

    def __init__(self, own_address: str, addresses: Iterable[str]) -> None:
        self.own_address = own_address
        self._number = 0
        self._sent: dict[int, float] = {}  # own heartbeat number -> time at which it was sent
        self.peers: dict[str, Peer] = {}
        self.addresses: dict[str, float] = {a: 0.0 for a in addresses if a != own_address}

    def next_heartbeat_number(self, now: float) -> int:
        """Return the number for a heartbeat that is sent now, and record its send time."""
        self._number += 1
        self._sent[self._number] = now
        while len(self._sent) > MAX_SENT_HEARTBEATS:
            del self._sent[next(iter(self._sent))]
        return self._number

    def node_at(self, address: str) -> str | None:
        """Return the replica that last sent a heartbeat from an address."""
        return next((node for node in self.peers if address_of(node) == address), None)

    def echo_for(self, address: str) -> tuple[int, int]:
        """Return incarnation and number of the newest heartbeat from an address, (0, 0) if there was none."""
        node = self.node_at(address)
        if node is None:
            return 0, 0
        heartbeat = self.peers[node].heartbeat
        return heartbeat.incarnation, heartbeat.number

    def answered_since(self, since: float) -> list[Peer]:
        """Return the replicas that have echoed a heartbeat sent by this process at `since` or later.

        The arrival time of a heartbeat does not show when it was sent: it may have waited in a local socket
        buffer.
        """
        return [peer for peer in self.peers.values() if peer.echoed_sent_at >= since]

    def record_heartbeat(self, address: str, heartbeat: Heartbeat, own_incarnation: int, now: float) -> bool:
        """Record a heartbeat. Returns whether its sender was unknown or down before, or has restarted."""
        for node in [n for n in self.peers if n != heartbeat.node and address_of(n) == address]:
            del self.peers[node]  # it lost its disk: another replica uses the address now
        peer = self.peers.get(heartbeat.node)
        restarted = peer is None or peer.heartbeat.incarnation != heartbeat.incarnation
        if not restarted and peer is not None and heartbeat.number < peer.heartbeat.number:
            return False  # a newer heartbeat has arrived before this one
        newly_alive = peer is None or restarted or now - peer.last_received_at > ALIVE_TIMEOUT_S
        if peer is None or newly_alive:
            peer = self.peers[heartbeat.node] = Peer(heartbeat, now, now)
        else:
            peer.heartbeat, peer.last_received_at = heartbeat, now
        incarnation, number = heartbeat.echo
        if incarnation == own_incarnation and number in self._sent:
            peer.echoed_sent_at = max(peer.echoed_sent_at, self._sent[number])
        for keeper in (address, *heartbeat.keepers):
            self.add_address(keeper, now if keeper == address else 0.0)
        return newly_alive

    def add_address(self, address: str, received_at: float = 0.0) -> None:
        """Add an address at which there may be a keeper, and when a heartbeat arrived from it if one did."""
        if address != self.own_address and (address in self.addresses or len(self.addresses) < MAX_ADDRESSES):
            self.addresses[address] = max(received_at, self.addresses.get(address, 0.0))

    def live_peer(self, node: str, now: float) -> Peer | None:
        """Return the replica if it has sent a heartbeat within ALIVE_TIMEOUT_S, otherwise None."""
        peer = self.peers.get(node)
        return peer if peer is not None and now - peer.last_received_at <= ALIVE_TIMEOUT_S else None

    def live_peers(self, now: float) -> list[Peer]:
        """Return all replicas that have sent a heartbeat within ALIVE_TIMEOUT_S."""
        return [peer for peer in self.peers.values() if now - peer.last_received_at <= ALIVE_TIMEOUT_S]

    def live_addresses(self, now: float) -> list[str]:
        """Return the addresses from which a heartbeat has arrived within ALIVE_TIMEOUT_S."""
        return [a for a, last in self.addresses.items() if last and now - last <= ALIVE_TIMEOUT_S]

    def silence_s(self, node: str, now: float, since: float) -> float:
        """Return the seconds since the last heartbeat of a replica, counted from `since` at the earliest."""
        peer = self.peers.get(node)
        return now - max(since, peer.last_received_at if peer is not None else since)

    def drop_silent(self, now: float, keep: Iterable[str]) -> None:
        """Drop replicas and addresses that have been silent for FORGET_AFTER_S, except those in `keep`."""
        kept = set(keep)
        for node in [
            n for n, p in self.peers.items() if now - p.last_received_at > FORGET_AFTER_S and n not in kept
        ]:
            del self.peers[node]
        silent = [
            a for a, last in self.addresses.items() if last and now - last > FORGET_AFTER_S and a not in kept
        ]
        for address in silent:
            del self.addresses[address]
