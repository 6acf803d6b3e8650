"""Call-backs between cores: datagrams over socket pairs that outlive the processes at their ends.

Each core reads from one socket, and everybody may write to it. A core's messages of one turn of the loop go
out together. One that cannot go out is not taken: the worker is told to call again.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Callable

log = logging.getLogger(__name__)

MOST = 128 * 1024  # bytes of a datagram
WAITING = 512 * 1024  # bytes that wait for a core to read; beyond it nothing more is taken for it
BUFFER = 2 * 1024 * 1024  # of the socket: what is read late must wait somewhere
READS = 16  # datagrams taken in one turn of the loop
LENGTH = struct.Struct("<I")


def pairs(cores: int) -> list[tuple[socket.socket, socket.socket]]:
    """For each core the end that it reads and the end that others write."""
    made = []
    for _ in range(cores):
        reading, writing = socket.socketpair(socket.AF_UNIX, socket.SOCK_DGRAM)
        for end in (reading, writing):
            end.setblocking(False)
        writing.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
        made.append((reading, writing))
    return made


class Mailbox:
    """One core's end: `received` gets what others post here."""

    def __init__(
        self, reading: socket.socket, writing: list[socket.socket], received: Callable[[bytes], None]
    ) -> None:
        self.reading = reading
        self.writing = writing
        self.received = received
        self.posted = 0  # messages, ever
        self._waiting: list[list[bytes]] = [[] for _ in writing]
        self._bytes = [0] * len(writing)
        self._blocked: set[int] = set()
        self._due = False
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(reading, self._read)

    def post(self, core: int, message: bytes) -> bool:
        """Send a message with this turn of the loop; False if there is no room for it."""
        if self._bytes[core] + len(message) > WAITING:
            return False
        self._waiting[core].append(message)
        self._bytes[core] += len(message)
        self.posted += 1
        if not self._due:
            self._due = True
            self._loop.call_soon(self._flush)
        return True

    def close(self) -> None:
        """Read and write no more."""
        self._loop.remove_reader(self.reading)
        for core in self._blocked:
            self._loop.remove_writer(self.writing[core])

    def _flush(self) -> None:
        self._due = False
        for core, messages in enumerate(self._waiting):
            if messages and core not in self._blocked:
                self._write(core)

    def _write(self, core: int) -> None:
        messages = self._waiting[core]
        while messages:
            parts: list[bytes] = []
            size = 0
            for message in messages:
                if parts and size + len(message) + LENGTH.size > MOST:
                    break
                parts += LENGTH.pack(len(message)), message
                size += len(message) + LENGTH.size
            try:
                self.writing[core].send(b"".join(parts))
            except (BlockingIOError, InterruptedError):
                if core not in self._blocked:
                    self._blocked.add(core)
                    self._loop.add_writer(self.writing[core], self._write, core)
                return
            except OSError as error:
                log.error("call-backs lost between cores", extra={"error": str(error)})
            sent = messages[: len(parts) // 2]
            del messages[: len(sent)]
            self._bytes[core] -= sum(map(len, sent))
        if core in self._blocked:
            self._blocked.discard(core)
            self._loop.remove_writer(self.writing[core])

    def _read(self) -> None:
        for _ in range(READS):
            try:
                data = self.reading.recv(MOST + 1024)
            except (BlockingIOError, InterruptedError):
                return
            at = 0
            while at + LENGTH.size <= len(data):
                (size,) = LENGTH.unpack_from(data, at)
                at += LENGTH.size
                try:
                    self.received(data[at : at + size])
                except Exception:
                    log.exception("message between cores failed")  # guards the others in the datagram
                at += size
