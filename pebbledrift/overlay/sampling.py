"""Membership by peer sampling (Cyclon): each node holds a small random subset of all nodes and shuffles it.

In each round a node takes the oldest entry of its view, sends that node some of its entries and a new entry
for itself, and receives some entries in return. Choosing an entry removes it from the view, so that nodes
that do not answer any more disappear from all views without a failure detector.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from pebbledrift.cluster.codec import message

MAX_VIEW_ENTRIES = 12
MAX_SHUFFLE_ENTRIES = 5  # entries in one message: a datagram of about 300 bytes


@message(140)
class PeerDescriptor:
    """A node as known to others; `age` counts the rounds since it sent this entry."""

    address: str
    zone: str
    is_keeper: bool
    age: int


@message(141)
class Shuffle:
    """Some entries of the sender's view; `wants_reply` is false in a reply."""

    sender: str
    peers: tuple[PeerDescriptor, ...]
    wants_reply: bool


class PartialView:
    """The entries held by one node: at most MAX_VIEW_ENTRIES, one per address, never the node itself."""

    def __init__(self, own: PeerDescriptor, contacts: Iterable[PeerDescriptor], seed: int) -> None:
        self.own = own
        self._random = random.Random(seed)
        self._peers: dict[str, PeerDescriptor] = {}
        self._sent: tuple[str, ...] = ()  # addresses sent in the last round, which are replaced first
        self._merge(contacts, ())

    @property
    def peers(self) -> list[PeerDescriptor]:
        """All entries."""
        return list(self._peers.values())

    def sample(self, count: int) -> list[str]:
        """Return the addresses of up to `count` entries, chosen at random."""
        addresses = list(self._peers)
        return self._random.sample(addresses, min(count, len(addresses)))

    def begin_round(self) -> tuple[str, Shuffle] | None:
        """Return the address to shuffle with and the message for it, or None if the view is empty."""
        self._peers = {a: _older(peer) for a, peer in self._peers.items()}
        if not self._peers:
            return None
        oldest = max(self._peers.values(), key=lambda peer: peer.age)
        del self._peers[oldest.address]
        chosen = self._random_entries(MAX_SHUFFLE_ENTRIES - 1)
        self._sent = tuple(peer.address for peer in chosen)
        return oldest.address, Shuffle(self.own.address, (self.own, *chosen), True)

    def receive(self, shuffle: Shuffle) -> Shuffle | None:
        """Merge the entries of another node; returns the reply, or None if the message is a reply itself."""
        if not shuffle.wants_reply:
            self._merge(shuffle.peers, self._sent)
            return None
        chosen = self._random_entries(MAX_SHUFFLE_ENTRIES)
        self._merge(shuffle.peers, tuple(peer.address for peer in chosen))
        return Shuffle(self.own.address, tuple(chosen), False)

    def add_contacts(self, contacts: Iterable[PeerDescriptor]) -> None:
        """Add nodes known from elsewhere than a shuffle, as far as there is room."""
        self._merge(contacts, ())

    def forget(self, address: str) -> None:
        """Remove a node that has ended."""
        self._peers.pop(address, None)

    def _random_entries(self, count: int) -> list[PeerDescriptor]:
        peers = list(self._peers.values())
        return self._random.sample(peers, min(count, len(peers)))

    def _merge(self, received: Iterable[PeerDescriptor], replaceable: tuple[str, ...]) -> None:
        """Add entries: first to free slots, then in place of the entries that were sent to the other node."""
        leaving = [address for address in replaceable if address in self._peers]
        for peer in tuple(received)[: MAX_VIEW_ENTRIES + 1]:
            existing = self._peers.get(peer.address)
            if peer.address == self.own.address:
                continue
            if existing is not None:
                if peer.age < existing.age:
                    self._peers[peer.address] = peer
                continue
            if len(self._peers) >= MAX_VIEW_ENTRIES:
                if not leaving:
                    continue
                del self._peers[leaving.pop()]
            self._peers[peer.address] = peer


def _older(peer: PeerDescriptor) -> PeerDescriptor:
    return PeerDescriptor(peer.address, peer.zone, peer.is_keeper, peer.age + 1)
