"""The keeper's side of the relay tree: answers connected routers and publishes to subscribed ones. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Stamp
from pebbledrift.control.registry import Instance
from pebbledrift.overlay.follower import updates_after
from pebbledrift.overlay.messages import (
    ConfigFetch,
    InstanceSnapshot,
    InstanceUpdate,
    KeeperState,
    StateNotice,
    StatusReply,
    StatusRequest,
    Subscribe,
    Unsubscribe,
)
from pebbledrift.overlay.publisher import Link, Publisher

Relays = Callable[[], list[tuple[str, str]]]


class RelayRoot:
    """Reports this keeper's state to routers and publishes instance changes to its children."""

    def __init__(
        self,
        address: str,
        incarnation: int,
        log: ReplicatedLog,
        max_children: int,
        snapshot: Callable[[], InstanceSnapshot],
        current: Callable[[], bool],
    ) -> None:
        self._address, self._incarnation, self._log = address, incarnation, log
        self._number = 0
        self._snapshot, self._current = snapshot, current
        self.publisher = Publisher(max_children, self._welcome)
        self.relays: Relays = list  # routers that may have room for children, as pairs of address and zone
        self.spread: Callable[[tuple[Instance, ...]], None] = lambda instances: None

    def _welcome(self, child: Link) -> None:
        child.send(self._snapshot())

    def notice(self, state: KeeperState) -> StateNotice:
        """Return this keeper's state as its next numbered notice."""
        self._number += 1
        return StateNotice(state, self._address, self._incarnation, self._number, 0.0)

    def received(self, link: Link, address: str, message: Any) -> bool:
        """Handle a message from a router; returns whether it belongs to the relay tree."""
        if isinstance(message, ConfigFetch):
            link.send(updates_after(self._log, Stamp(*message.committed)))
        elif isinstance(message, StatusRequest):
            link.send(StatusReply(message.number, self._current(), self._log.committed))
        elif isinstance(message, Subscribe):
            self.publisher.subscribe(link, address, message.zone, self.relays())
        elif isinstance(message, Unsubscribe):
            self.publisher.drop(link)
        else:
            return False
        return True

    def publish_instances(self, instances: tuple[Instance, ...]) -> None:
        """Publish new or changed instances to the children, and gossip about those that are leaving."""
        self.publisher.publish(InstanceUpdate(instances))
        self.spread(instances)
