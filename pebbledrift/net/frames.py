"""Frames of bytes from one member to another over TCP: by whom, whole and in order. One way a connection.

The side that connects sends its name, whom it means, and 16 random bytes, and gets 16 back; after that each
frame is a length (4 bytes), the bytes, and 16 of keyed BLAKE2b (RFC 7693) over both randoms, both names, the
frame's number and the bytes. So a recording of another connection, a frame left out, or one for somebody else
is none. Nothing is secret on the way: who listens can read.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import hmac
import logging
import secrets
from collections import deque
from collections.abc import Callable

from pebbledrift.config import Address

log = logging.getLogger(__name__)

MAGIC, NONCE, MAC = b"PBF1", 16, 16
NAME_MOST = 64
FRAME_MOST = 32 * 1024 * 1024
QUEUE_MOST = 256  # frames that wait for one member: what is beyond it is lost, as on a network
MEET_S, AGAIN_S, AGAIN_MOST_S = 2.0, 0.05, 1.0
CONNECTIONS_MOST = 64  # that others have opened here


class BadFrame(ValueError):
    """Bytes that are no frame of this connection."""


class _Mac:
    """The marks of one connection's frames."""

    def __init__(self, key: bytes, sender: bytes, receiver: bytes, ours: bytes, theirs: bytes) -> None:
        self.key = hashlib.blake2b(key, digest_size=32, person=b"pebbledrift-tcp").digest()
        self.start = b"\0".join((sender, receiver)) + ours + theirs
        self.number = 0

    def mark(self, body: bytes) -> bytes:
        """The next frame's."""
        text = self.start + self.number.to_bytes(8, "big") + body
        self.number += 1
        return hashlib.blake2b(text, key=self.key, digest_size=MAC).digest()


class FrameLink:
    """Our side of the way to one member: connects, and again when it breaks."""

    def __init__(self, key: bytes, name: str, peer: str, address: Address) -> None:
        self.key, self.name, self.peer, self.address = key, name.encode(), peer.encode(), address
        self.waiting: deque[bytes] = deque(maxlen=QUEUE_MOST)
        self.up = False
        self._more = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, body: bytes) -> None:
        """Send a frame, sooner or later or never."""
        self.waiting.append(body)
        self._more.set()

    def close(self) -> None:
        """End."""
        self._task.cancel()

    async def _run(self) -> None:
        pause = AGAIN_S
        while True:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                await self._connected()
            pause = AGAIN_S if self.up else min(2 * pause, AGAIN_MOST_S)
            self.up = False
            self.waiting.clear()  # what is old by then says nothing
            await asyncio.sleep(pause)

    async def _connected(self) -> None:
        async with asyncio.timeout(MEET_S):
            reader, writer = await asyncio.open_connection(*self.address)
        try:
            ours = secrets.token_bytes(NONCE)
            names = b"".join(bytes([len(name)]) + name for name in (self.name, self.peer))
            writer.write(MAGIC + names + ours)
            async with asyncio.timeout(MEET_S):
                theirs = await reader.readexactly(NONCE)
            mac = _Mac(self.key, self.name, self.peer, ours, theirs)
            self.up = True
            ended = asyncio.ensure_future(reader.read(1))  # nothing ever comes back but its end
            while not ended.done():
                while self.waiting:
                    body = self.waiting.popleft()
                    writer.write(len(body).to_bytes(4, "big") + body + mac.mark(body))
                    await writer.drain()
                self._more.clear()
                more = asyncio.ensure_future(self._more.wait())
                await asyncio.wait([more, ended], return_when=asyncio.FIRST_COMPLETED)
                more.cancel()
        finally:
            writer.close()


class FrameServer:
    """The place where other members' frames come in. `take` is told of the sender's name and each frame."""

    def __init__(
        self,
        key: bytes,
        name: str,
        members: Callable[[], set[str]],
        take: Callable[[str, bytes], None],
    ) -> None:
        self.key, self.name, self.members, self.take = key, name.encode(), members, take
        self.dropped = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> Address:
        """Begin; returns the address as it is bound."""
        self._server = await asyncio.start_server(self._connected, *address)
        found = self._server.sockets[0].getsockname()
        return found[0], found[1]

    def close(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._tasks) >= CONNECTIONS_MOST:
            writer.close()
            return
        self._tasks.add(task)
        try:
            await self._frames(reader, writer)
        except (BadFrame, UnicodeDecodeError) as error:
            self.dropped += 1
            peer = writer.get_extra_info("peername")
            log.warning("not a member's frame", extra={"peer": str(peer), "reason": str(error)})
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _frames(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with asyncio.timeout(MEET_S):
            if await reader.readexactly(len(MAGIC)) != MAGIC:
                raise BadFrame("of another kind")
            names = []
            for _ in range(2):
                (size,) = await reader.readexactly(1)
                if not 0 < size <= NAME_MOST:
                    raise BadFrame("without a name")
                names.append(await reader.readexactly(size))
            theirs = await reader.readexactly(NONCE)
        sender, receiver = names
        if receiver != self.name:
            raise BadFrame(f"meant for {receiver.decode()!r}")
        if sender.decode() not in self.members():
            raise BadFrame(f"of {sender.decode()!r}, who is no member")
        ours = secrets.token_bytes(NONCE)
        writer.write(ours)
        mac = _Mac(self.key, sender, receiver, theirs, ours)
        while True:
            size = int.from_bytes(await reader.readexactly(4), "big")
            if size > FRAME_MOST:
                raise BadFrame("too long")
            body = await reader.readexactly(size)
            if not hmac.compare_digest(mac.mark(body), await reader.readexactly(MAC)):
                raise BadFrame("not under our key")
            self.take(sender.decode(), body)
