"""Stand-in workers of a soak: streams and plain answers whose length and pace the request's path asks for.

`/stream/EVENTS/BYTES/PAUSE_MS`, also behind `/once`, is answered by that many events, each of about so many
bytes and so long after the last; `/plain/BYTES/PAUSE_MS` by one body.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass

from rig.fleet import Fleet
from rig.soak_records import WorkerRecords

HEARTBEAT_S = 0.3
ANSWER_S = 1.0
IDLE_S = 2  # a connection at rest is closed after so long, and each answer says so
DRAIN_S = 2.0  # a draining worker serves on for so long after its word was taken


@dataclass(slots=True)
class _Request:
    path: str
    headers: dict[str, str]

    @property
    def name(self) -> str:
        return self.headers.get("x-pebbledrift-request-id", "")


class SoakWorker:
    """One worker, from its first heartbeat to its planned end."""

    def __init__(self, fleet: Fleet, name: str, records: WorkerRecords) -> None:
        self.name, self._fleet, self._records = name, fleet, records
        self.state, self._sequence, self._running = "ready", 0, 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self.address = ""

    async def open(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._server = await asyncio.start_server(self._serve, "127.0.3.1", 0, backlog=1024)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self._beating = asyncio.get_running_loop().create_task(self._beat())

    async def leave(self) -> None:
        """Drain, deregister and end, as a release does."""
        self.state = "draining"
        while not await self._tell("heartbeat"):
            await asyncio.sleep(HEARTBEAT_S)
        await asyncio.sleep(DRAIN_S)
        while self._running:
            await asyncio.sleep(0.02)
        await self._tell("deregister")
        self.close()

    def close(self) -> None:
        """End at once."""
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    # heartbeats

    async def _beat(self) -> None:
        while True:
            await self._tell("heartbeat")
            await asyncio.sleep(HEARTBEAT_S)

    async def _tell(self, call: str) -> bool:
        """Call the first keeper that takes it."""
        self._sequence += 1
        body = json.dumps(
            {
                "backend": "lm",
                "address": self.address,
                "zone": "a",
                "revision": "v1",
                "slots": 32,
                "state": self.state,
                "cold-remaining-ms": 0,
                "sequence": self._sequence,
            }
        ).encode()
        head = (
            f"POST /-/instances/{self.name}/{call} HTTP/1.1\r\nHost: keeper\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        for host in self._fleet.keepers:
            with contextlib.suppress(OSError, TimeoutError):
                if b" 200 " in await self._call(host, head.encode() + body):
                    return True
        return False

    async def _call(self, host: str, data: bytes) -> bytes:
        async with asyncio.timeout(ANSWER_S):
            reader, writer = await asyncio.open_connection(host, self._fleet.control_port)
            try:
                writer.write(data)
                return await reader.readline()
            finally:
                writer.close()

    # requests

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    request = await _read(reader)
                await self._answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            writer.close()
        finally:
            self._writers.discard(writer)

    async def _answer(self, request: _Request, writer: asyncio.StreamWriter) -> None:
        self._records.arrived[request.name] += 1
        if request.headers.get("x-pebbledrift-expect-instance") not in (None, self.name):
            writer.write(_head(request, "421 Misdirected Request", "") + b"Content-Length: 0\r\n\r\n")
            return
        self._records.run[request.name] += 1
        self._running += 1
        try:
            kind, *numbers = request.path.removeprefix("/once").strip("/").split("/")
            if kind == "plain":
                await self._plain(request, writer, *map(int, numbers))
            else:
                await self._stream(request, writer, *map(int, numbers))
        finally:
            self._running -= 1

    async def _plain(self, request: _Request, writer: asyncio.StreamWriter, size: int, pause_ms: int) -> None:
        await asyncio.sleep(pause_ms / 1000)
        body = request.name.encode() + b" " + b"x" * size
        writer.write(_head(request, "200 OK", self.name) + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()

    async def _stream(
        self, request: _Request, writer: asyncio.StreamWriter, events: int, size: int, pause_ms: int
    ) -> None:
        head = _head(request, "200 OK", self.name)
        writer.write(head + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, events + 1):
            await asyncio.sleep(pause_ms / 1000)
            event = b"id: %d\ndata: %b %b\n\n" % (number, request.name.encode(), b"x" * size)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def _read(reader: asyncio.StreamReader) -> _Request:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:] if line)
    headers = {name.lower(): value for name, value in headers.items()}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return _Request(lines[0].split(" ")[1], headers)


def _head(request: _Request, status: str, seal: str) -> bytes:
    sealed = f"X-Pebbledrift-Response-Seal: {seal}\r\n" if seal else ""
    lines = f"HTTP/1.1 {status}\r\nX-Pebbledrift-Request-Id: {request.name}\r\n{sealed}"
    return f"{lines}Keep-Alive: timeout={IDLE_S}\r\n".encode()
