"""A client of a soak: it keeps its connection until that ends, and sends some requests in advance."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterator

from rig.fleet import API_KEY, Fleet
from rig.soak_records import End, RequestRecord

WAIT_S = 4.0  # the client's time for one request
GIVE_UP_S = 1.0  # after its time a client waits so long for the last word
CONNECT_S = 1.0
SMALL_BUFFER = 8 * 1024  # of a client that reads slowly
SLOW_READ_S = 0.01
REST_MOST_S = 0.25
PATHS = (
    ("plain", "/plain/100/5"),
    ("plain", "/plain/200000/20"),
    ("stream", "/stream/3/50/10"),
    ("stream", "/stream/40/60/25"),
    ("stream", "/stream/20/16000/10"),
    ("once", "/stream/30/60/30"),
)


class SoakClient:
    """Sends requests one after the other, some in advance, until it is told to stop."""

    def __init__(self, fleet: Fleet, seed: str, choose: Callable[[random.Random], str]) -> None:
        self._fleet, self._seed, self._choose = fleet, seed, choose
        self._random = random.Random(seed)
        self._slow = self._random.random() < 0.2
        self._number = 0
        self.requests: list[RequestRecord] = []
        self.stopping = False

    async def run(self) -> None:
        """Connect, use the connection until it ends, and connect again."""
        while not self.stopping:
            router = self._choose(self._random)
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await self._connect(router)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            try:
                await self._use(router, reader, writer)
            finally:
                writer.close()

    async def _connect(self, router: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        connection = socket.socket()
        connection.setblocking(False)
        if self._slow:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        try:
            await asyncio.get_running_loop().sock_connect(connection, (router, self._fleet.front))
            return await asyncio.open_connection(sock=connection, limit=SMALL_BUFFER * 64)
        except BaseException:
            connection.close()
            raise

    async def _use(self, router: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while not self.stopping:
            batch = [self._request(router) for _ in range(self._random.choice((1, 1, 1, 1, 2, 3)))]
            writer.write(b"".join(data for _, data in batch))
            for number, (record, _) in enumerate(batch):
                self.requests.append(record)
                if not await self._take(record, reader):
                    for following, _ in batch[number + 1 :]:
                        self._end(following, End.NO_ANSWER)
                        self.requests.append(following)
                    return
            await asyncio.sleep(self._random.uniform(0, REST_MOST_S))

    def _request(self, router: str) -> tuple[RequestRecord, bytes]:
        self._number += 1
        route, path = self._random.choice(PATHS)
        record = RequestRecord(f"{self._seed}-{self._number}", route, router, time.monotonic(), WAIT_S)
        record.events = 0 if route == "plain" else int(path.split("/")[2])
        prefix = "" if route != "once" else "/once"
        data = (
            f"POST {prefix}{path} HTTP/1.1\r\nHost: estate.example\r\nContent-Length: 2\r\n"
            f"Authorization: Token {API_KEY}\r\nX-Pebbledrift-Request-Id: {record.name}\r\n"
            f"X-Pebbledrift-Deadline-Ms: {WAIT_S * 1000:.0f}\r\n\r\n{{}}"
        )
        return record, data.encode()

    async def _take(self, record: RequestRecord, reader: asyncio.StreamReader) -> bool:
        """Read one answer; returns whether the connection may be used on."""
        try:
            async with asyncio.timeout(WAIT_S + GIVE_UP_S - (time.monotonic() - record.sent_at)):
                answer = _Answer(record)
                await answer.read(reader, SLOW_READ_S if self._slow else 0.0)
        except TimeoutError:
            self._end(record, End.GAVE_UP)
            return False
        except (asyncio.IncompleteReadError, ConnectionError):
            self._end(record, End.CUT if record.status else End.NO_ANSWER)
            return False
        self._end(record, End.WHOLE)
        return answer.keep_alive

    @staticmethod
    def _end(record: RequestRecord, end: End) -> None:
        record.end, record.ended_at = end, time.monotonic()


class _Answer:
    """Reads one answer and compares it with what was asked for."""

    def __init__(self, record: RequestRecord) -> None:
        self._record = record
        self.keep_alive = True

    async def read(self, reader: asyncio.StreamReader, pause_s: float) -> None:
        """Read the whole answer; raises IncompleteReadError where it ends early."""
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        self._record.status = int(lines[0].split(" ")[1])
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])}
        self.keep_alive = headers.get("connection", "").lower() != "close"
        if headers.get("transfer-encoding") == "chunked":
            body = b"".join([part async for part in _chunks(reader, pause_s)])
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        if self._record.status == 200:
            self._record.problem = self._check(body)

    def _check(self, body: bytes) -> str:
        name = self._record.name.encode()
        if self._record.route == "plain":
            return "" if body.startswith(name + b" ") else "ANOTHER REQUEST'S ANSWER"
        number = 0
        for number, event in enumerate(_events(body), 1):
            if not event.startswith(b"id: %d\ndata: %b " % (number, name)):
                return f"ORDER (event {number} is {event[:40]!r})"
        if number != self._record.events:
            return f"ORDER (ended as complete after {number} events of {self._record.events})"
        return ""


async def _chunks(reader: asyncio.StreamReader, pause_s: float) -> AsyncIterator[bytes]:
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return
        yield data
        if pause_s:
            await asyncio.sleep(pause_s)


def _events(body: bytes) -> Iterator[bytes]:
    return (event for event in body.split(b"\n\n") if event)
