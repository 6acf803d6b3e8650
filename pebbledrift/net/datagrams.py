"""Peers' datagrams: bounded in size, taken only from the addresses that the configuration names."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from pebbledrift import logs
from pebbledrift.bounds import Limits
from pebbledrift.config import Address

log = logging.getLogger(__name__)

FLOOD = 128  # datagrams in one pause: more than two hundred peers send
FLOOD_PAUSE_MS = 10.0


class PeerSocket:
    """The UDP socket at peer_listen.

    With two hundred peers, to wake for each datagram costs several times what it takes to read it. So once
    one has come, those after it stay with the kernel for `peers_pause_ms` and are then read together, or as
    soon as somebody asks for the newest word (`read`). What does not fit the kernel's queue meanwhile is
    lost, as on the network.
    """

    def __init__(self, limits: Limits, peers: tuple[Address, ...]) -> None:
        self.limits = limits
        self.peers = frozenset(peers)
        # by the first byte; ValueError for what cannot be read
        self.readers: dict[int, Callable[[bytes, Address], None]] = {}
        self.open_forms: set[int] = set()  # of these, from any address: what comes is under seal
        self.wakes = 0  # how often the loop was woken for datagrams
        self._socket: socket.socket | None = None
        self._loop = asyncio.get_running_loop()
        self._pause: asyncio.TimerHandle | None = None

    def listen(self, address: Address, shared: bool) -> Address:
        """Begin to read at an address, which another process may have too; returns it as it is bound."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = end = socket.socket(family, socket.SOCK_DGRAM)
        end.setblocking(False)
        if shared:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        end.bind(address)
        self._loop.add_reader(end, self._readable)
        found = end.getsockname()
        return found[0], found[1]

    def close(self) -> None:
        """Read and send no more."""
        if self._pause is not None:
            self._pause.cancel()
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    @property
    def closed(self) -> bool:
        """Whether nothing is read and sent, or not yet."""
        return self._socket is None

    def read(self) -> int:
        """Take in what has come, up to a bound: what else has happened must not wait for a flood.

        Returns how many datagrams that were.
        """
        for count in range(self.limits.peers_batch):
            if self._socket is None:
                return count
            try:
                data, addr = self._socket.recvfrom(65536)
            except (BlockingIOError, InterruptedError):
                return count
            except OSError as error:
                log.debug("datagram lost", extra={"error": str(error)})
                return count
            self._received(data, (addr[0], addr[1]))
        return self.limits.peers_batch

    def send(self, data: bytes, peer: Address) -> None:
        """Send one datagram, or drop it where it would break the limit: a longer one is a fault of ours."""
        if len(data) > self.limits.datagram_bytes:
            log.error("datagram too long", extra={"bytes": len(data)})
        elif self._socket is not None:
            if logs.traced():
                logs.trace("datagram", to=f"{peer[0]}:{peer[1]}", bytes=len(data))
            try:
                self._socket.sendto(data, peer)
            except OSError as error:
                log.debug("datagram lost", extra={"error": str(error)})

    def _readable(self) -> None:
        assert self._socket is not None
        self.wakes += 1
        found = self.read()
        self._loop.remove_reader(self._socket)
        # guards the group's datagrams in a flood of others: the kernel's queue must not be full by then
        pause_ms = self.limits.peers_pause_ms if found < FLOOD else FLOOD_PAUSE_MS
        self._pause = self._loop.call_later(pause_ms / 1000, self._go_on)

    def _go_on(self) -> None:
        self._pause = None
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._readable)

    def _received(self, data: bytes, peer: Address) -> None:
        known = peer in self.peers or (bool(data) and data[0] in self.open_forms)
        if not known or len(data) > self.limits.datagram_bytes:
            log.info("datagram dropped", extra={"peer": str(peer), "bytes": len(data)})
            return
        reader = self.readers.get(data[0]) if data else None
        try:
            if reader is None:
                raise ValueError("of no known kind")
            reader(data, peer)
        except (ValueError, RecursionError) as error:
            log.info("datagram dropped", extra={"peer": str(peer), "reason": str(error)})
