"""Gossip over datagrams: shuffles of the partial views, and rumors of workers that leave.

Every router has to learn within a second or two that a worker leaves, even if the keeper that received the
report is cut off from the other keepers. Therefore, in addition to the relay tree, each node that learns of a
leaving worker for the first time forwards this to a few nodes of its partial view.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any

from pebbledrift.cluster.codec import message
from pebbledrift.control.registry import Instance, InstanceState
from pebbledrift.overlay.sampling import PartialView, PeerDescriptor, Shuffle

SHUFFLE_INTERVAL_S = 1.0
FANOUT = 3
MAX_RUMOR_INSTANCES = 6  # instances in one datagram


@message(142)
class Rumor:
    """Worker instances that are draining or have ended."""

    instances: tuple[Instance, ...]


class Gossip:
    """Gossip protocol of one node, without I/O. The network behind `send` may lose messages."""

    def __init__(
        self,
        own: PeerDescriptor,
        contacts: Iterable[PeerDescriptor],
        seed: int,
        send: Callable[[str, Any], None],
        on_instances: Callable[[tuple[Instance, ...]], None],
    ) -> None:
        self._contacts = tuple(contacts)
        self.view = PartialView(own, self._contacts, seed)
        self._random = random.Random(seed)
        self._send, self._on_instances = send, on_instances
        self._next_round = 0.0

    def tick(self, now: float) -> None:
        """Shuffle when a round is due; an empty view is filled with the initial contacts first."""
        if now < self._next_round:
            return
        self._next_round = now + SHUFFLE_INTERVAL_S * self._random.uniform(0.8, 1.2)
        if not self.view.peers:
            self.view.add_contacts(self._contacts)
        request = self.view.begin_round()
        if request is not None:
            self._send(*request)

    def received(self, message: object) -> None:
        """Handle a message that was received as a datagram."""
        if isinstance(message, Shuffle):
            reply = self.view.receive(message)
            if reply is not None:
                self._send(message.sender, reply)
        elif isinstance(message, Rumor):
            self._on_instances(message.instances)

    def spread(self, instances: Iterable[Instance]) -> None:
        """Send those of the new or changed instances that are leaving to a few random nodes of the view."""
        leaving = [instance for instance in instances if instance.state != InstanceState.READY]
        for start in range(0, len(leaving), MAX_RUMOR_INSTANCES):
            rumor = Rumor(tuple(leaving[start : start + MAX_RUMOR_INSTANCES]))
            for address in self.view.sample(FANOUT):
                self._send(address, rumor)
