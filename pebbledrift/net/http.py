"""An HTTP/1.1 parser for both directions, and the base of the protocols that use it."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

from pebbledrift.bounds import Limits

TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
TARGET = re.compile(r"[!-~]+\Z")
CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
DIGITS = re.compile(r"[0-9]{1,15}\Z")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9]")
CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[\t -~]*)?\Z")  # extensions are passed over, blanks are not
REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    412: "Precondition Failed",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


class HttpError(Exception):
    """Input that breaks the protocol or a limit; status is what a server answers to it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or a response."""

    first: str  # method, or the version of a response
    second: str  # target, or the status
    headers: dict[str, str]
    keep_alive: bool
    body: bytearray = field(default_factory=bytearray)

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.second)


class Parser:
    """Feeds on bytes in any portions and yields messages.

    With `stream` set, a message is yielded at its head and its body grows afterwards.
    """

    def __init__(self, limits: Limits, request: bool, stream: bool = False) -> None:
        self.limits = limits
        self.request = request
        self.stream = stream
        self.buffer = bytearray()
        self.message: Message | None = None
        self.left = 0  # bytes of the body, or of the chunk, still to come
        self.mode = "head"  # head, body, chunk, data, end, trailer, close
        self.trailer = 0
        self.ended = False  # of a stream: the body is complete
        self.skip_to_status_line = (
            False  # of responses: bytes before the last status line of a head are dropped
        )

    @property
    def inside(self) -> bool:
        """Whether a message has begun and is not complete."""
        return self.mode != "head" or bool(self.buffer)

    @property
    def held(self) -> int:
        """Bytes of the message that is not complete."""
        return len(self.buffer) + (0 if self.message is None else len(self.message.body))

    def drop(self) -> None:
        """Forget what has come: nothing of it will be used."""
        self.buffer = bytearray()
        self.message = None
        self.mode = "dropped"

    @property
    def halfway(self) -> bool:
        """Whether a message's head has been read and its body is not complete."""
        return self.mode != "head"

    def put(self, data: bytes | memoryview) -> None:
        """Take bytes in without looking at them; what is dropped stays so."""
        if self.mode != "dropped":
            self.buffer += data

    def next(self) -> Message | None:
        """The next message if it is complete; raises HttpError on what is malformed or oversized."""
        return self._advance()

    def feed(self, data: bytes | memoryview) -> Iterable[Message]:
        """Take bytes in, and yield all messages that are complete; raises as `next` does."""
        self.put(data)
        while True:
            message = self._advance()
            if message is None:
                return
            yield message

    def close(self) -> Message | None:
        """The peer has ended; a response may be delimited by that."""
        if self.mode == "close" and not self.stream:
            return self._complete()
        return None

    def _advance(self) -> Message | None:
        while True:
            if self.mode == "dropped":
                return None
            if self.mode == "head":
                message = self._head()
                if message is None:
                    return None
                if self.stream:
                    return message
                if self.mode == "head":
                    return self._complete()
            elif self.mode in ("body", "data", "close"):
                take = len(self.buffer) if self.mode == "close" else min(self.left, len(self.buffer))
                self._grow(self.buffer[:take])
                del self.buffer[:take]
                if self.mode == "close":
                    return None
                self.left -= take
                if self.left:
                    return None
                if self.mode == "body":
                    return self._complete()
                self.mode = "end"
            elif self.mode == "end":
                if len(self.buffer) < 2:
                    return None
                if self.buffer[:2] != b"\r\n":
                    raise HttpError(400, "chunk without its end")
                del self.buffer[:2]
                self.mode = "chunk"
            else:
                line = self._line()
                if line is None:
                    return None
                if self.mode == "chunk":
                    size = CHUNK.match(line)
                    if not size:
                        raise HttpError(400, "malformed chunk size")
                    self.left = int(size[1], 16)
                    self._check_room(self.left)
                    self.mode = "data" if self.left else "trailer"
                elif line:
                    self.trailer += len(line)
                    if self.trailer > self.limits.head_bytes:
                        raise HttpError(431, "trailer too large")
                else:
                    return self._complete()

    def _complete(self) -> Message | None:
        message, self.message, self.mode, self.trailer = self.message, None, "head", 0
        self.ended = True
        return None if self.stream else message

    def _grow(self, data: bytearray) -> None:
        assert self.message is not None
        self._check_room(len(data))
        self.message.body += data

    def _check_room(self, size: int) -> None:
        assert self.message is not None
        most = self.limits.line_bytes if self.stream else self.limits.body_bytes
        if len(self.message.body) + size > most:
            raise HttpError(413, "body too large")

    def _line(self) -> bytearray | None:
        end = self.buffer.find(b"\n")
        if end < 0 or end > self.limits.head_bytes:
            if len(self.buffer) > self.limits.head_bytes:
                raise HttpError(431, "line too long")
            return None
        line = self.buffer[:end]
        del self.buffer[: end + 1]
        if not line.endswith(b"\r"):
            # others may take a bare line feed for data: the body would end elsewhere for them
            raise HttpError(400, "bare line feed")
        return line[:-1]

    def _head(self) -> Message | None:
        while self.buffer[:2] == b"\r\n":
            del self.buffer[:2]  # an empty line before a message is to be passed over
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or end > self.limits.head_bytes:
            if len(self.buffer) > self.limits.head_bytes:
                raise HttpError(431, "head too large")
            return None
        if not self.request:
            end -= self._drop_foreign_bytes(end)
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        del self.buffer[: end + 4]
        first, second, version = self._start(lines[0])
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or not TOKEN.match(name):
                raise HttpError(400, "malformed header")
            name, value = name.lower(), value.strip(" \t")
            if CONTROL.search(value):
                raise HttpError(400, "control character in a header")
            if name in headers:
                # two lengths or ids that differ could be read differently by whoever is next
                if name in ("content-length", "transfer-encoding", "host") and headers[name] != value:
                    raise HttpError(400, f"{name} given twice")
                value = value if headers[name] == value else f"{headers[name]}, {value}"
            headers[name] = value
        connection = {w.strip() for w in headers.get("connection", "").lower().split(",")}
        keep = "close" not in connection and (version == "HTTP/1.1" or "keep-alive" in connection)
        self.message = Message(first, second, headers, keep)
        self._framing(self.message)
        self.ended = self.mode == "head"  # there is no body
        return self.message

    def _drop_foreign_bytes(self, end: int) -> int:
        """Drops the bytes before the last status line of a head that ends at `end`; returns their number.

        Such bytes are part of another response that its sender cut short. They must not be read as one head
        with the response behind them, which would take over their status and their headers.
        """
        start = self.buffer.rfind(b"HTTP/1.", 0, end)
        while start > 0 and not STATUS_LINE.match(self.buffer, start):
            start = self.buffer.rfind(b"HTTP/1.", 0, start)
        if start <= 0:
            return 0
        if not self.skip_to_status_line:
            raise HttpError(502, "status line within a head")
        del self.buffer[:start]
        return start

    def _start(self, line: str) -> tuple[str, str, str]:
        parts = line.split(" ", 2)
        if self.request:
            if len(parts) != 3 or not TOKEN.match(parts[0]) or not TARGET.match(parts[1]):
                raise HttpError(400, "malformed request line")
            method, target, version = parts
            if version not in ("HTTP/1.1", "HTTP/1.0"):
                raise HttpError(505 if version.startswith("HTTP/") else 400, "version not supported")
            return method, target, version
        if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not re.match(r"[1-5]\d\d\Z", parts[1]):
            raise HttpError(502, "malformed status line")
        return parts[0], parts[1], parts[0]

    def _framing(self, message: Message) -> None:
        coding = message.headers.get("transfer-encoding")
        length = message.headers.get("content-length")
        if coding is not None:
            if length is not None:
                # one of the two may hide another request in the body from whoever reads only the other
                raise HttpError(400, "both a length and a transfer coding")
            if coding.lower() != "chunked":
                raise HttpError(501, "unknown transfer coding")
            self.mode = "chunk"
        elif length is not None:
            if not DIGITS.match(length):
                raise HttpError(400, "malformed content-length")
            self.left = int(length)
            if not self.stream and self.left > self.limits.body_bytes:
                raise HttpError(413, "body too large")
            self.mode = "body" if self.left else "head"
        elif not self.request and message.second != "204" and not message.second.startswith("1"):
            message.keep_alive = False
            self.mode = "close"


SCRATCH = memoryview(bytearray(64 * 1024))


class HttpProtocol(asyncio.BufferedProtocol):
    """A connection that reads through the parser.

    All connections share one receive buffer: the loop hands what it read over before it reads again.
    """

    def __init__(self, limits: Limits, request: bool, stream: bool = False) -> None:
        self.limits = limits
        self.parser = Parser(limits, request, stream)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=self.limits.write_buffer_bytes)

    def get_buffer(self, sizehint: int) -> memoryview:
        return SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        self.feed(bytes(SCRATCH[:nbytes]))

    def feed(self, data: bytes) -> None:
        """Take in what was read."""
        try:
            for message in self.parser.feed(data):
                self.message_received(message)
            self.fed()
        except HttpError as error:
            self.malformed(error)

    def message_received(self, message: Message) -> None:
        """A message is complete, or at its head in a stream."""

    def fed(self) -> None:
        """All that came has been parsed."""

    def malformed(self, error: HttpError) -> None:
        """The input cannot be read on."""
        self.abort()

    def pause_writing(self) -> None:
        """Guards memory against a peer that does not read what it is sent."""
        self.abort()

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()


def response(status: int, headers: dict[str, str], body: bytes, keep_alive: bool) -> bytes:
    """A response with its length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def wire(message: Message) -> bytes:
    """A request that was parsed, as bytes again."""
    framing = ("content-length", "transfer-encoding")
    headers = {name: value for name, value in message.headers.items() if name not in framing}
    if not message.keep_alive:
        headers["connection"] = "close"
    return request(message.first, message.second, headers, bytes(message.body))


def request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A request with its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
