"""Relays between keepers: each way between two of them can be cut or made slow while their processes run.

A keeper tells others an address at which a relay listens; it listens at a hidden one itself
(`hidden_keeper.py`). Datagrams go past the relays.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable, Iterable

import numpy as np

from pebbledrift.cluster.codec import FrameReader
from pebbledrift.cluster.errors import MessageError
from pebbledrift.cluster.transport import Hello
from rig.links import CHUNK, Links

LONGEST_S = 20.0


class KeeperLinks:
    """The relays of all keepers, on a loop in a thread of their own."""

    def __init__(self, hidden: dict[str, str], port: int) -> None:
        self._hidden, self._port = hidden, port  # hidden host by public host
        self._rates: dict[str, float] = {}  # bytes a second, by receiver
        self._servers: list[asyncio.Server] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._links = asyncio.run_coroutine_threadsafe(self._open(), self._loop).result(LONGEST_S)

    async def _open(self) -> Links:
        for host in self._hidden:
            self._servers.append(await asyncio.start_server(self._accepting(host), host, self._port))
        return Links(np.random.default_rng(1))

    def _accepting(
        self, receiver: str
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], asyncio.Future[None]]:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> asyncio.Future[None]:
            return self._loop.create_task(self._relay(receiver, reader, writer))

        return accept

    async def _relay(self, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Learn from the first message who connects, then pass on both ways."""
        with contextlib.suppress(OSError, MessageError, EOFError):
            first = await reader.read(CHUNK)
            sender = self._sender(first)
            far_reader, far_writer = await asyncio.open_connection(self._hidden[receiver], self._port)
            try:
                ways = (
                    self._pass_on(sender, receiver, first, reader, far_writer),
                    self._pass_on(receiver, sender, b"", far_reader, writer),
                )
                tasks = [self._loop.create_task(way) for way in ways]
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in tasks:
                    task.cancel()
            finally:
                far_writer.close()
        writer.close()

    def _sender(self, data: bytes) -> str:
        for message in FrameReader().feed(data):
            if isinstance(message, Hello):
                return message.address.rpartition(":")[0]
        raise MessageError("no hello")

    async def _pass_on(
        self,
        sender: str,
        receiver: str,
        data: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                if data:
                    await self._links.passable(sender, receiver)
                    rate = self._rates.get(receiver)
                    if rate is not None:
                        await asyncio.sleep(len(data) / rate)
                    writer.write(data)
                    await writer.drain()
                data = await reader.read(CHUNK if self._rates.get(receiver) is None else 4096)
                if not data:
                    return

    # what befalls them

    def cut(self, host: str, others: Iterable[str]) -> None:
        """Nothing passes between a keeper and these others; connections stay open and silent."""
        for other in others:
            self.cut_ways(((host, other), (other, host)))

    def cut_ways(self, pairs: Iterable[tuple[str, str]]) -> None:
        """Nothing passes from the first to the second of each pair; the other way stays whole."""
        for pair in list(pairs):
            self._loop.call_soon_threadsafe(lambda pair=pair: self._links.set(*pair, cut=True))  # type: ignore[misc]

    def heal(self) -> None:
        """All ways are whole."""
        self._loop.call_soon_threadsafe(self._links.heal)

    def limit(self, host: str, bytes_per_s: float) -> None:
        """Let so much reach a keeper over each connection."""
        self._rates[host] = bytes_per_s

    def close(self) -> None:
        """End all relays, and then the loop."""
        asyncio.run_coroutine_threadsafe(self._end_relays(), self._loop).result(LONGEST_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(LONGEST_S)
        self._loop.close()

    async def _end_relays(self) -> None:
        for server in self._servers:
            server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
