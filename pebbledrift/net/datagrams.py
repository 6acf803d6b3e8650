"""Peers' datagrams: bounded in size, taken only from the addresses that the configuration names."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from pebbledrift.config import Address, Limits

log = logging.getLogger(__name__)


class PeerSocket(asyncio.DatagramProtocol):
    """The UDP socket at peer_listen."""

    def __init__(self, limits: Limits, peers: tuple[Address, ...]) -> None:
        self.limits = limits
        self.peers = frozenset(peers)
        # by the first byte; ValueError for what cannot be read
        self.readers: dict[int, Callable[[bytes, Address], None]] = {}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # not to be checked by isinstance: the loop's own transport is no subclass before Python 3.12
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        peer = (addr[0], addr[1])
        if peer not in self.peers or len(data) > self.limits.datagram_bytes:
            log.info("datagram dropped", extra={"peer": str(peer), "bytes": len(data)})
            return
        reader = self.readers.get(data[0]) if data else None
        try:
            if reader is None:
                raise ValueError("of no known kind")
            reader(data, peer)
        except (ValueError, RecursionError) as error:
            log.info("datagram dropped", extra={"peer": str(peer), "reason": str(error)})

    def error_received(self, exc: Exception) -> None:
        log.debug("datagram lost", extra={"error": str(exc)})

    def send(self, data: bytes, peer: Address) -> None:
        """Send one datagram, or drop it where it would break the limit: a longer one is a fault of ours."""
        if len(data) > self.limits.datagram_bytes:
            log.error("datagram too long", extra={"bytes": len(data)})
        elif self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, peer)
