"""Relays for UDP and TCP: each direction of each link can be cut, delayed, thinned, doubled and reordered."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import cast

from numpy.random import Generator

Place = tuple[str, int]
CHUNK = 64 * 1024


@dataclass(frozen=True, slots=True)
class Fault:
    """What one direction of one link does to what passes. TCP knows `cut` and `delay_ms` alone."""

    cut: bool = False  # nothing passes; a connection stays open and silent
    loss: float = 0.0  # share of the datagrams, in bursts
    burst: float = 3.0  # datagrams in the mean
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # more delay, drawn for each datagram: they overtake one another
    double: float = 0.0  # share of the datagrams that come twice


CLEAN = Fault()


class Links:
    """The state of all directions, by the names of both ends."""

    def __init__(self, random: Generator) -> None:
        self.random = random
        self.faults: dict[tuple[str, str], Fault] = {}
        self.changed = asyncio.Event()
        self._bad: dict[tuple[str, str], bool] = {}  # a burst of losses goes on

    def fault(self, sender: str, receiver: str) -> Fault:
        """What happens on the way from one to the other."""
        return self.faults.get((sender, receiver), CLEAN)

    def set(self, sender: str, receiver: str, **changes: object) -> None:
        """Change one direction."""
        self.faults[sender, receiver] = replace(self.fault(sender, receiver), **changes)  # type: ignore[arg-type]
        self.changed.set()
        self.changed = asyncio.Event()

    def heal(self) -> None:
        """All directions are as new."""
        self.faults.clear()
        self.changed.set()
        self.changed = asyncio.Event()

    async def passable(self, sender: str, receiver: str) -> None:
        """Wait until a direction is not cut."""
        while self.fault(sender, receiver).cut:
            await self.changed.wait()

    def lost(self, sender: str, receiver: str) -> bool:
        """Whether a datagram is lost now: two states, good and bad (Gilbert, 1960)."""
        fault = self.fault(sender, receiver)
        if fault.cut:
            return True
        if fault.loss <= 0:
            return False
        leave = 1 / fault.burst
        enter = leave * fault.loss / (1 - fault.loss)
        bad = self._bad.get((sender, receiver), False)
        draw = self.random.random()
        self._bad[sender, receiver] = draw >= leave if bad else draw < enter
        return self._bad[sender, receiver]


class Peers(asyncio.DatagramProtocol):
    """The public address of one node: what comes here goes to it, from the sender's own public address."""

    def __init__(self, name: str, ways: DatagramWays) -> None:
        self.name, self.ways = name, ways
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Place) -> None:
        self.ways.passed(data, addr, self.name)

    def error_received(self, exc: Exception) -> None:
        """A node that is not there any more: loss, as on a network."""


class DatagramWays:
    """All ways between nodes for datagrams."""

    def __init__(self, links: Links) -> None:
        self.links = links
        self.public: dict[str, Peers] = {}
        self.address: dict[str, Place] = {}  # public, by name
        self.real: dict[str, Place] = {}  # where a node listens now
        self.names: dict[Place, str] = {}  # by the same
        self.carried = 0

    async def open(self, names: list[str]) -> None:
        """A public address for each of these."""
        loop = asyncio.get_running_loop()
        for name in names:
            transport, protocol = await loop.create_datagram_endpoint(
                lambda name=name: Peers(name, self),  # type: ignore[misc]
                ("127.0.0.1", 0),
            )
            self.public[name] = protocol
            self.address[name] = transport.get_extra_info("sockname")[:2]

    def at(self, name: str, place: Place) -> None:
        """A node listens here from now on."""
        old = self.real.get(name)
        if old is not None:
            self.names.pop(old, None)
        self.real[name] = place
        self.names[place] = name

    def passed(self, data: bytes, addr: Place, receiver: str) -> None:
        """A datagram is on its way."""
        sender = self.names.get(addr)
        if sender is None or self.links.lost(sender, receiver):
            return
        fault, random = self.links.fault(sender, receiver), self.links.random
        loop = asyncio.get_running_loop()
        for _ in range(2 if fault.double and random.random() < fault.double else 1):
            delay = fault.delay_ms + (random.exponential(fault.jitter_ms) if fault.jitter_ms else 0.0)
            if delay:
                loop.call_later(delay / 1000, self._arrive, data, sender, receiver)
            else:
                self._arrive(data, sender, receiver)

    def _arrive(self, data: bytes, sender: str, receiver: str) -> None:
        transport, place = self.public[sender].transport, self.real.get(receiver)
        if transport is not None and place is not None and not transport.is_closing():
            self.carried += 1
            transport.sendto(data, place)

    def close(self) -> None:
        """End."""
        for peers in self.public.values():
            if peers.transport is not None:
                peers.transport.close()


class StreamWay:
    """One link for TCP: a listener of its own, from `near` to `far`."""

    def __init__(self, links: Links, near: str, far: str, target: Callable[[], Place | None]) -> None:
        self.links, self.near, self.far, self.target = links, near, far, target
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.place: Place = ("127.0.0.1", 0)

    async def open(self) -> None:
        """Listen on a port that the kernel gives."""
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0, backlog=256)
        self.place = self.server.sockets[0].getsockname()[:2]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            await self.links.passable(self.near, self.far)  # a connection that does not come up is silent
            target = self.target()
            if target is None:
                return
            back, other = await asyncio.open_connection(*target)
            self.writers.add(other)
            await asyncio.gather(
                self._pump(reader, other, self.near, self.far), self._pump(back, writer, self.far, self.near)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str, receiver: str
    ) -> None:
        while data := await reader.read(CHUNK):
            await self.links.passable(sender, receiver)
            delay = self.links.fault(sender, receiver).delay_ms
            if delay:
                await asyncio.sleep(delay / 1000)
                await self.links.passable(sender, receiver)
            writer.write(data)
            await writer.drain()
        await self.links.passable(sender, receiver)
        with contextlib.suppress(OSError):
            writer.write_eof()

    def reset(self) -> None:
        """All connections end with a reset, on both sides."""
        for writer in list(self.writers):
            end = writer.get_extra_info("socket")
            with contextlib.suppress(OSError, AttributeError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    def close(self) -> None:
        """End."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
