"""The router's control connections: to keepers and other routers, by its position in the relay tree."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from pebbledrift.cluster.boot import BootSettings, format_address, parse_address
from pebbledrift.cluster.transport import Channel, Dialer, Hello, serve
from pebbledrift.control.registry import Instance
from pebbledrift.overlay.messages import ROLE_ROUTER, TokenRequest
from pebbledrift.overlay.node import RelayNode, RelayOwner, RelaySettings
from pebbledrift.overlay.publisher import children_for

if TYPE_CHECKING:
    from pebbledrift.overlay.endpoint import GossipService

log = logging.getLogger(__name__)

TICK_S = 0.2


class ControlLinks:
    """Connects to uplinks, accepts children, and opens a gossip socket once the router has started."""

    def __init__(self, boot: BootSettings, incarnation: int, owner: RelayOwner) -> None:
        self._loop = asyncio.get_running_loop()
        self._boot, self._incarnation = boot, incarnation
        self._address = (boot.ip, boot.port_range[0] + 1)
        self.node = RelayNode(self._settings(), owner, self._send, self._loop.time())
        self._dialers: dict[str, Dialer] = {}
        self._server: asyncio.Server | None = None
        self._gossip_service: GossipService | None = None
        self._gossip_task: asyncio.Task[None] | None = None
        self._closed = False
        self._timer = self._loop.call_later(TICK_S, self._tick)
        self._update_dialers()

    def _settings(self) -> RelaySettings:
        boot, port = self._boot, self._boot.port_range[0]
        contacts = tuple(format_address((host, port)) for host, _ in boot.seeds)
        return RelaySettings(
            boot.name, format_address(self._address), boot.zone, contacts, children_for(boot.link_mbps)
        )

    def reload(self, boot: BootSettings) -> None:
        """Apply changed settings, which may name other contacts."""
        self._boot = boot
        self.node.settings = self._settings()
        self._update_dialers()

    def _hello(self) -> Hello:
        boot = self._boot
        return Hello(ROLE_ROUTER, boot.name, format_address(self._address), boot.zone, self._incarnation)

    def _send(self, address: str, message: Any) -> None:
        dialer = self._dialers.get(address)
        if dialer is not None:
            dialer.send(message)

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_S, self._tick)
        self._update_dialers()
        if self._gossip_service is not None:
            self._gossip_service.gossip.tick(self._loop.time())

    def _update_dialers(self) -> None:
        """Open the connections that the relay node needs and close all others."""
        if self._closed:
            return  # a lost connection must not open another one while the event loop shuts down
        wanted = self.node.tick(self._loop.time())
        for address in [address for address in self._dialers if address not in wanted]:
            self._dialers.pop(address).close()
        for address in sorted(wanted - self._dialers.keys()):
            self._dialers[address] = Dialer(parse_address(address, "uplink"), self._hello, self)

    # outgoing connections

    def opened(self, channel: Channel) -> None:
        """Handle a new connection to an uplink."""
        log.info("uplink reached", extra={"peer": channel.address})
        self.node.outgoing_opened(channel.address, self._loop.time())

    def closed(self, channel: Channel) -> None:
        """Handle the loss of a connection to an uplink."""
        if channel.address not in self._dialers:
            return  # this router closed it
        log.info("uplink lost", extra={"peer": channel.address})
        self.node.outgoing_closed(channel.address, self._loop.time())
        self._loop.call_soon(self._update_dialers)

    def received(self, channel: Channel, message: Any) -> None:
        """Handle a message from an uplink."""
        if channel.address in self._dialers:
            self.node.outgoing_received(channel.address, message, self._loop.time())

    # incoming connections

    async def serve(self) -> None:
        """Listen for connections from children."""
        self._server = await serve(self._address, _IncomingConnections(self.node))

    def started(self) -> None:
        """Start what is not needed before the router serves requests: gossip."""
        self._gossip_task = self._loop.create_task(self._open_gossip())

    async def _open_gossip(self) -> None:
        from pebbledrift.overlay.endpoint import open_gossip
        from pebbledrift.overlay.sampling import PeerDescriptor

        settings = self.node.settings
        own_descriptor = PeerDescriptor(settings.address, settings.zone, False, 0)
        keepers = self.node.follower.keepers(self._loop.time())
        zones = {**dict.fromkeys(settings.contacts, ""), **keepers}
        contacts = [PeerDescriptor(address, zone, True, 0) for address, zone in zones.items()]
        service = await open_gossip(self._address, own_descriptor, contacts, self._gossip_received)
        if service is not None:
            self._gossip_service = service
            self.node.peers, self.node.spread = service.relays, service.gossip.spread

    def _gossip_received(self, instances: tuple[Instance, ...]) -> None:
        self.node.follower.merge(instances, self._loop.time())

    # requests to keepers

    def ask(self, request: TokenRequest) -> bool:
        """Send a token request to the keeper that lends. Returns False if none is known."""
        lender = self.node.lender()
        if lender is None:
            return False
        self._send(lender, request)
        return True

    def close(self) -> None:
        """Close all connections and stop all timers."""
        self._closed = True
        self._timer.cancel()
        for dialer in self._dialers.values():
            dialer.close()
        if self._server is not None:
            self._server.close()
        if self._gossip_task is not None:
            self._gossip_task.cancel()
        if self._gossip_service is not None:
            self._gossip_service.endpoint.close()


class _IncomingConnections:
    """Passes events of the connections that other routers open to this one on to the relay node."""

    def __init__(self, node: RelayNode) -> None:
        self._node = node
        self._loop = asyncio.get_running_loop()

    def opened(self, channel: Channel) -> None:
        return

    def received(self, channel: Channel, message: Any) -> None:
        self._node.incoming_received(channel, channel.address, message, self._loop.time())

    def closed(self, channel: Channel) -> None:
        self._node.incoming_closed(channel)
