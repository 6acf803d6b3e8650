"""The children of a node: routers that subscribed to it, limited by the bandwidth of its link."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from pebbledrift.cluster.codec import frame
from pebbledrift.overlay.messages import Redirect

# At this share of the link, a configuration that grew by 350 routes reaches each child of a full node in
# half a second.
MBPS_PER_CHILD = 2.5
MIN_CHILDREN, MAX_CHILDREN = 2, 64
MAX_REDIRECTS = 4  # nodes named to a router that is refused


class Link(Protocol):
    """A connection that a router has opened to this node."""

    def send(self, value: Any) -> None:
        """Send a message."""

    def send_frame(self, data: bytes) -> None:
        """Send an already encoded message."""


def children_for(link_mbps: float) -> int:
    """Return how many children a node may have whose link carries `link_mbps` Mbit/s."""
    return max(MIN_CHILDREN, min(MAX_CHILDREN, int(link_mbps / MBPS_PER_CHILD)))


class Publisher:
    """Sends updates to all children; each message is encoded once."""

    def __init__(self, max_children: int, welcome: Callable[[Link], None]) -> None:
        self._max_children, self._welcome = max_children, welcome
        self._children: dict[Link, tuple[str, str]] = {}  # address and zone of each child

    def __len__(self) -> int:
        return len(self._children)

    @property
    def addresses(self) -> set[str]:
        """The addresses of the children."""
        return {address for address, _ in self._children.values()}

    def subscribe(self, link: Link, address: str, zone: str, relays: Iterable[tuple[str, str]] = ()) -> bool:
        """Accept a child and send it the full state, or redirect it if the node is full.

        A redirect names some of the node's own children and of `relays`. Returns whether it was accepted.
        """
        if link not in self._children and len(self._children) >= self._max_children:
            others = dict.fromkeys([*self._children.values(), *relays])
            link.send(Redirect(tuple(others)[-MAX_REDIRECTS:]))
            return False
        self._children[link] = address, zone
        self._welcome(link)
        return True

    def refuse(self, link: Link, relays: Iterable[tuple[str, str]]) -> None:
        """Redirect a router to other relays, even if there is room for it."""
        link.send(Redirect(tuple(relays)[:MAX_REDIRECTS]))

    def drop(self, link: Link) -> None:
        """Remove a child that unsubscribed or whose connection has ended."""
        self._children.pop(link, None)

    def publish(self, value: Any) -> None:
        """Send a message to all children."""
        if self._children:
            data = frame(value)
            for link in list(self._children):
                link.send_frame(data)
