"""The router's connections to keepers and other routers, as its place in the relay tree asks for them."""

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
    """Dials uplinks, accepts children, and has a socket for gossip once the router has started."""

    def __init__(self, boot: BootSettings, incarnation: int, owner: RelayOwner) -> None:
        self._loop = asyncio.get_running_loop()
        self._boot, self._incarnation = boot, incarnation
        self._address = (boot.ip, boot.port_range[0] + 1)
        self.node = RelayNode(self._settings(), owner, self._send, self._loop.time())
        self._dialers: dict[str, Dialer] = {}
        self._server: asyncio.Server | None = None
        self._service: GossipService | None = None
        self._opening: asyncio.Task[None] | None = None
        self._closed = False
        self._timer = self._loop.call_later(TICK_S, self._tick)
        self._follow()

    def _settings(self) -> RelaySettings:
        boot, port = self._boot, self._boot.port_range[0]
        contacts = tuple(format_address((host, port)) for host, _ in boot.seeds)
        return RelaySettings(
            boot.name, format_address(self._address), boot.zone, contacts, children_for(boot.link_mbps)
        )

    def reload(self, boot: BootSettings) -> None:
        """The settings have changed: other contacts may be named."""
        self._boot = boot
        self.node.settings = self._settings()
        self._follow()

    def _hello(self) -> Hello:
        boot = self._boot
        return Hello(ROLE_ROUTER, boot.name, format_address(self._address), boot.zone, self._incarnation)

    def _send(self, address: str, message: Any) -> None:
        dialer = self._dialers.get(address)
        if dialer is not None:
            dialer.send(message)

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_S, self._tick)
        self._follow()
        if self._service is not None:
            self._service.gossip.tick(self._loop.time())

    def _follow(self) -> None:
        """Have the connections that the node wants, and no others."""
        if self._closed:
            return  # the end of a connection must not begin another in a loop that ends
        wanted = self.node.tick(self._loop.time())
        for name in [name for name in self._dialers if name not in wanted]:
            self._dialers.pop(name).close()
        for name in sorted(wanted - self._dialers.keys()):
            self._dialers[name] = Dialer(parse_address(name, "uplink"), self._hello, self)

    # connections that we make

    def opened(self, channel: Channel) -> None:
        """An uplink can be reached."""
        log.info("uplink reached", extra={"peer": channel.address})
        self.node.outgoing_opened(channel.address, self._loop.time())

    def closed(self, channel: Channel) -> None:
        """An uplink cannot be reached any more."""
        if channel.address not in self._dialers:
            return  # we gave it up
        log.info("uplink lost", extra={"peer": channel.address})
        self.node.outgoing_closed(channel.address, self._loop.time())
        self._loop.call_soon(self._follow)

    def received(self, channel: Channel, message: Any) -> None:
        """An uplink tells something."""
        if channel.address in self._dialers:
            self.node.outgoing_received(channel.address, message, self._loop.time())

    # connections that others make

    async def serve(self) -> None:
        """Accept children."""
        self._server = await serve(self._address, _Children(self.node))

    def started(self) -> None:
        """The router serves: what its start need not wait for begins now."""
        self._opening = self._loop.create_task(self._open_gossip())

    async def _open_gossip(self) -> None:
        from pebbledrift.overlay.endpoint import open_gossip
        from pebbledrift.overlay.sampling import PeerDescriptor

        settings = self.node.settings
        own = PeerDescriptor(settings.address, settings.zone, False, 0)
        keepers = self.node.follower.keepers(self._loop.time())
        known = {**dict.fromkeys(settings.contacts, ""), **keepers}
        contacts = [PeerDescriptor(address, zone, True, 0) for address, zone in known.items()]
        service = await open_gossip(self._address, own, contacts, self._rumored)
        if service is not None:
            self._service = service
            self.node.peers, self.node.spread = service.relays, service.gossip.spread

    def _rumored(self, instances: tuple[Instance, ...]) -> None:
        self.node.follower.merge(instances, self._loop.time())

    # calls

    def ask(self, request: TokenRequest) -> bool:
        """Ask the keeper that lends."""
        lender = self.node.lender()
        if lender is None:
            return False
        self._send(lender, request)
        return True

    def close(self) -> None:
        """End all connections."""
        self._closed = True
        self._timer.cancel()
        for dialer in self._dialers.values():
            dialer.close()
        if self._server is not None:
            self._server.close()
        if self._opening is not None:
            self._opening.cancel()
        if self._service is not None:
            self._service.endpoint.close()


class _Children:
    """Listens on the connections that other routers make to us."""

    def __init__(self, node: RelayNode) -> None:
        self._node = node
        self._loop = asyncio.get_running_loop()

    def opened(self, channel: Channel) -> None:
        return

    def received(self, channel: Channel, message: Any) -> None:
        self._node.incoming_received(channel, channel.address, message, self._loop.time())

    def closed(self, channel: Channel) -> None:
        self._node.incoming_closed(channel)
