"""A keeper's connections: outgoing to the other keepers, and incoming from keepers and routers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from pebbledrift.cluster.boot import parse_address
from pebbledrift.cluster.codec import frame
from pebbledrift.cluster.transport import Channel, Dialer, Hello
from pebbledrift.overlay.messages import ROLE_KEEPER, ROLE_ROUTER

MessageCallback = Callable[[str, Any], None]


class KeeperNetwork:
    """Sends to keepers over its outgoing connections; receives over incoming ones from keepers and routers.

    `address` is this keeper's own address. The callbacks of keepers get the other keeper's address; those of
    routers get the connection.
    """

    def __init__(
        self,
        address: str,
        hello: Callable[[], Hello],
        on_keeper_message: MessageCallback,
        on_keeper_connected: Callable[[str], None],
        on_keeper_disconnected: Callable[[str], None],
    ) -> None:
        self.address = address
        self._hello = hello
        self._on_keeper_message, self._on_keeper_connected, self._on_keeper_disconnected = (
            on_keeper_message,
            on_keeper_connected,
            on_keeper_disconnected,
        )
        self._dialers: dict[str, Dialer] = {}
        self.routers: dict[Channel, str] = {}
        self.on_router_message: Callable[[Channel, Any], None] = lambda channel, message: None
        self.on_router_connected: Callable[[Channel], None] = lambda channel: None
        self.on_router_disconnected: Callable[[Channel], None] = lambda channel: None

    @property
    def router_count(self) -> int:
        """The number of connected routers, by name."""
        return len(set(self.routers.values()))

    def connect_to(self, addresses: Iterable[str]) -> None:
        """Keeps a connection to each of these keepers except this one, and closes all others."""
        wanted = set(addresses) - {self.address}
        for address in [address for address in self._dialers if address not in wanted]:
            self._dialers.pop(address).close()
        for address in wanted - self._dialers.keys():
            self._dialers[address] = Dialer(
                parse_address(address, "peer"), self._hello, _OutgoingListener(self)
            )

    def send(self, address: str, message: Any, urgent: bool = False) -> None:
        """Sends a message to a keeper; drops it if there is no connection."""
        dialer = self._dialers.get(address)
        if dialer is not None:
            dialer.send(message, urgent)

    def send_keepers(self, message: Any) -> int:
        """Sends a message to all connected keepers; returns their number."""
        connected = [dialer for dialer in self._dialers.values() if dialer.channel is not None]
        for dialer in connected:
            dialer.send(message)
        return len(connected)

    def send_routers(self, message: Any) -> None:
        """Sends a message to all connected routers."""
        if self.routers:
            data = frame(message)
            for channel in list(self.routers):
                channel.send_frame(data)

    def close(self) -> None:
        """Closes all connections."""
        for dialer in self._dialers.values():
            dialer.close()
        for channel in list(self.routers):
            channel.abort()

    # Incoming connections (the interface of transport.Listener)

    def opened(self, channel: Channel) -> None:
        """Handles an incoming connection once its peer has identified itself.

        A keeper that connects is reachable, so the pending reconnection to it is tried at once.
        """
        assert channel.peer is not None
        if channel.peer.role == ROLE_ROUTER:
            self.routers[channel] = channel.peer.name
            self.on_router_connected(channel)
        elif (dialer := self._dialers.get(channel.peer.address)) is not None:
            dialer.retry_now()

    def received(self, channel: Channel, message: Any) -> None:
        """Handles a message on an incoming connection."""
        assert channel.peer is not None
        if channel.peer.role == ROLE_KEEPER:
            self._on_keeper_message(channel.peer.address, message)
        elif channel in self.routers:
            self.on_router_message(channel, message)

    def closed(self, channel: Channel) -> None:
        """Handles the end of an incoming connection."""
        if self.routers.pop(channel, None) is not None:
            self.on_router_disconnected(channel)

    def outgoing_opened(self, address: str) -> None:
        """Handles the opening of the outgoing connection to a keeper."""
        self._on_keeper_connected(address)

    def outgoing_closed(self, address: str) -> None:
        """Handles the end of the outgoing connection to a keeper."""
        self._on_keeper_disconnected(address)


class _OutgoingListener:
    """Tracks outgoing connections; ignores their messages, as keepers answer over their own connections."""

    def __init__(self, network: KeeperNetwork) -> None:
        self._network = network

    def opened(self, channel: Channel) -> None:
        self._network.outgoing_opened(channel.address)

    def received(self, channel: Channel, message: Any) -> None:
        return

    def closed(self, channel: Channel) -> None:
        self._network.outgoing_closed(channel.address)
