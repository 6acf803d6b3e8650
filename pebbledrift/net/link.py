"""The link between two processes of one node: whole messages, each with at most one descriptor.

A message whose body is too long for one datagram, such as the list of a large fleet, goes in several, each
but the last marked `more`; the other side gets it whole.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import re
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

log = logging.getLogger(__name__)

MOST = 192 * 1024  # bytes of a datagram: a request with its head and body, or a thousand ids
PART = 96 * 1024  # bytes of a longer body in each datagram
LONG_MOST = 16 * 1024 * 1024  # bytes of a message
QUEUE = 2000  # messages that wait for the other side to read

Fields = dict[str, Any]
Received = Callable[[Fields, bytes, int | None], None]


class Link:
    """One end. `received` gets a message's fields, bytes and descriptor; `lost` is called if it breaks."""

    def __init__(self, end: socket.socket, received: Received, lost: Callable[[], None]) -> None:
        self.socket = end
        self.received = received
        self.lost = lost
        self.queue: deque[bytes] = deque()
        self.closed = False
        self._parts = bytearray()  # of a long message that has begun to come
        self._loop = asyncio.get_running_loop()
        end.setblocking(False)
        self._loop.add_reader(end, self._read)

    def send(self, fields: Fields, body: bytes = b"") -> None:
        """Send a message, now or once the other side has read what is before it."""
        if self.closed:
            return
        try:
            self.queue.extend(_datagrams(fields, body))
        except ValueError as error:
            log.error(str(error), extra={"kind": str(fields.get("kind"))})  # guards the link itself
            return
        if len(self.queue) > QUEUE:
            log.error("the other process does not read")  # guards memory
            self._broken()
        else:
            self._write()

    def send_descriptor(self, fields: Fields, descriptor: int, body: bytes = b"") -> bool:
        """Send a message with a descriptor at once; False if that cannot be done now: nothing was sent."""
        if self.closed or self.queue:
            return False
        data = _datagram(fields, body)
        if len(data) > MOST:
            return False  # it would arrive cut short
        try:
            return socket.send_fds(self.socket, [data], [descriptor]) == len(data)
        except OSError as error:
            log.info("descriptor not sent", extra={"error": str(error)})
            return False

    def close(self) -> None:
        """End the link; `lost` is not called."""
        if not self.closed:
            self.closed = True
            self._loop.remove_reader(self.socket)
            self._loop.remove_writer(self.socket)
            self.socket.close()

    def _broken(self) -> None:
        if not self.closed:
            self.close()
            self._loop.call_soon(self.lost)

    def _write(self) -> None:
        try:
            while self.queue:
                self.socket.send(self.queue[0])
                self.queue.popleft()
        except (BlockingIOError, InterruptedError):
            self._loop.add_writer(self.socket, self._write)
            return
        except OSError as error:
            log.info("link lost", extra={"error": str(error)})
            self._broken()
            return
        self._loop.remove_writer(self.socket)

    def _read(self) -> None:
        try:
            data, descriptors, flags, _ = socket.recv_fds(self.socket, MOST, 1)
        except (BlockingIOError, InterruptedError):
            return
        except ConnectionResetError:
            # guards clients' connections in the messages before: the other side ended with something of ours
            # unread, which is told first and once. What it had sent is still there, and then the end
            return
        except OSError as error:
            log.info("link lost", extra={"error": str(error)})
            self._broken()
            return
        if not data:
            self._broken()
            return
        head, _, body = data.partition(b"\n")
        descriptor = descriptors[0] if descriptors else None
        try:
            if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
                raise ValueError("cut short")  # too long, or no descriptor was free here
            fields = json.loads(head)
            self._parts += body
            if len(self._parts) > LONG_MOST:
                raise ValueError("too long")
            if not fields.pop("more", False):
                body, self._parts = bytes(self._parts), bytearray()
                self.received(fields, body, descriptor)
        except Exception:
            self._parts = bytearray()
            # guards a node that serves against a message of a version that it does not know
            log.exception("message passed over")
            if descriptor is not None:
                with contextlib.suppress(OSError):
                    os.close(descriptor)


def _datagram(fields: Fields, body: bytes) -> bytes:
    return json.dumps(fields).encode() + b"\n" + body


def _datagrams(fields: Fields, body: bytes) -> list[bytes]:
    """A message in as many datagrams as it takes; ValueError for one that is too long."""
    whole = _datagram(fields, body)
    if len(whole) <= MOST:
        return [whole]
    if len(body) > LONG_MOST or len(whole) - len(body) > MOST - PART:
        raise ValueError("message too long")
    parts = [body[at : at + PART] for at in range(0, len(body), PART)]
    return [*(_datagram({**fields, "more": True}, part) for part in parts[:-1]), _datagram(fields, parts[-1])]


class MeetingPlace:
    """A Unix socket in a folder, by which the next process finds this one."""

    def __init__(self, folder: str, name: str) -> None:
        self.folder = folder
        self.file = f"pebbledrift-{re.sub(r'[^A-Za-z0-9_-]', '_', name)[:64]}.sock"
        self.listener: socket.socket | None = None

    def visit(self) -> socket.socket | None:
        """A connection to the process that listens there, or None where there is none."""
        end = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with self._folder() as folder:
                end.connect(f"{folder}/{self.file}")
        except OSError as error:
            end.close()
            log.info("nobody to succeed", extra={"error": str(error)})
            return None
        return end

    def listen(self, met: Callable[[socket.socket], None]) -> None:
        """Take the place over from whoever had it."""
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.listener.setblocking(False)
        with self._folder() as folder:
            # bound beside it and renamed: a visitor finds the one or the other, never nothing
            fresh = f"{folder}/{self.file}.{os.getpid()}"
            with contextlib.suppress(FileNotFoundError):
                os.unlink(fresh)
            self.listener.bind(fresh)
            self.listener.listen(4)
            os.rename(fresh, f"{folder}/{self.file}")
        asyncio.get_running_loop().add_reader(self.listener, self._accept, met)

    def close(self) -> None:
        """Be found no more."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def _accept(self, met: Callable[[socket.socket], None]) -> None:
        assert self.listener is not None
        with contextlib.suppress(OSError):
            end, _ = self.listener.accept()
            credentials = end.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
            if struct.unpack("3i", credentials)[1] != os.getuid():
                end.close()  # guards the clients' connections against another user of the machine
                return
            met(end)

    @contextlib.contextmanager
    def _folder(self) -> Iterator[str]:
        """The folder by a short name: a Unix socket's address holds 107 bytes, and a path may be longer."""
        descriptor = os.open(Path(self.folder), os.O_PATH | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{descriptor}"
        finally:
            os.close(descriptor)
