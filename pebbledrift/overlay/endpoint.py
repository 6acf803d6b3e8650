"""A node's datagram socket, and the gossip that uses it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from typing import Any, cast

from pebbledrift.cluster.boot import Address, parse_address
from pebbledrift.cluster.codec import decode, encode
from pebbledrift.cluster.errors import BootError, MessageError
from pebbledrift.control.registry import Instance
from pebbledrift.overlay.gossip import Gossip
from pebbledrift.overlay.sampling import PeerDescriptor
from spoolpier.records import record

log = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 4096


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives messages as datagrams; datagrams that do not decode to a message are dropped."""

    def __init__(self, received: Callable[[Any], None]) -> None:
        self._received = received
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(
            asyncio.DatagramTransport, transport
        )  # the event loop passes a private type that implements DatagramTransport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            return
        try:
            message = decode(data)
        except MessageError as error:
            log.info("dropped a malformed datagram", extra={"peer": addr[0], "error": str(error)})
            return
        self._received(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore that nobody listens at an address: the shuffles remove such an entry from the view."""

    def send(self, address: str, value: Any) -> None:
        """Send a message without a guarantee of delivery; does nothing if the socket is closed."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            target = parse_address(address, "peer")
        except BootError:
            return  # another node reported a malformed address
        self._transport.sendto(encode(value), target)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


async def open_endpoint(address: Address, received: Callable[[Any], None]) -> DatagramEndpoint:
    """Bind a datagram socket to an address; raises OSError if this fails."""
    loop = asyncio.get_running_loop()
    _, endpoint = await loop.create_datagram_endpoint(lambda: DatagramEndpoint(received), local_addr=address)
    return endpoint


@record
class GossipService:
    """The gossip of a node and its socket."""

    gossip: Gossip
    endpoint: DatagramEndpoint

    def relays(self) -> dict[str, str]:
        """Return the zone by address of the routers in the partial view."""
        return {peer.address: peer.zone for peer in self.gossip.view.peers if not peer.is_keeper}


async def open_gossip(
    address: Address,
    own: PeerDescriptor,
    contacts: Iterable[PeerDescriptor],
    on_instances: Callable[[tuple[Instance, ...]], None],
) -> GossipService | None:
    """Start gossip on a socket at `address`; returns None if the socket cannot be opened.

    `on_instances` is called with worker instances that other nodes report as leaving.
    """
    early: list[Any] = []  # messages received before the Gossip object exists
    receive: Callable[[Any], None] = early.append
    try:
        endpoint = await open_endpoint(address, lambda message: receive(message))
    except OSError as error:
        log.error("gossip socket could not be opened", extra={"error": str(error)})
        return None
    gossip = Gossip(own, contacts, random.randrange(2**32), endpoint.send, on_instances)
    receive = gossip.received
    for message in early:
        gossip.received(message)
    return GossipService(gossip, endpoint)
