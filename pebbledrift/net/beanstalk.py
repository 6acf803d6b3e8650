"""The beanstalkd wire: command lines and job bodies on a front socket."""

from __future__ import annotations

import asyncio
from typing import Protocol

from pebbledrift.bounds import Limits
from pebbledrift.net.ending import Ending

LINE_MOST = 224  # bytes of a command line, its end included: the protocol's figure
CRLF = b"\r\n"


class CommandHandler(Protocol):
    """The front behind the sockets."""

    def command(self, socket: BeanstalkSocket, words: list[str]) -> None:
        """Carry out a command line; a reply may come later."""

    def put(self, socket: BeanstalkSocket, words: list[str], body: bytes) -> None:
        """Take a job in."""

    def opened(self, socket: BeanstalkSocket) -> bool:
        """A connection is there; False if there is no room for it."""

    def closed(self, socket: BeanstalkSocket) -> None:
        """A connection has ended."""


def whole(word: str, most: int = 2**32 - 1) -> int | None:
    """A whole number as the protocol writes one, or None."""
    if not word.isascii() or not word.isdigit() or len(word) > 20:
        return None
    value = int(word)
    return value if value <= most else None


class BeanstalkSocket(asyncio.BufferedProtocol):
    """One client or worker. While a command waits for its reply, what follows stays unread."""

    def __init__(self, limits: Limits, handler: CommandHandler) -> None:
        self.limits = limits
        self.handler = handler
        self.transport: asyncio.Transport | None = None
        self.scratch = memoryview(bytearray(16 * 1024))
        self.buffer = bytearray()
        self.pending: list[str] | None = None  # a put whose body is still coming
        self.need = 0
        self.skip = 0  # bytes of a body that is too big
        self.skip_line = False
        self.waiting = False  # a reserve is out
        self.timer: asyncio.TimerHandle | None = None
        self.spoken = False  # a command has come
        self.begun = False  # a command or body has begun and is not complete
        self.bad = 0  # lines in a row that were no commands
        self.since = asyncio.get_running_loop().time()
        self.ending: Ending | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=self.limits.write_buffer_bytes)
        if not self.handler.opened(self):
            self.end_with("OUT_OF_MEMORY")
            return
        # guards sockets against clients that connect and say nothing
        self._arm(self.limits.front_idle_ms)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.ending is not None:
            self.ending.cancel()
        self.handler.closed(self)

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        """Guards memory against a client that does not read its replies."""
        if self.transport is not None:
            self.transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.scratch

    def buffer_updated(self, nbytes: int) -> None:
        if self.ending is not None:
            self.ending.passed_over(nbytes)
            return
        self.buffer += self.scratch[:nbytes]
        if self.waiting and len(self.buffer) > self.limits.body_bytes:
            self.close()  # nothing sensible sends so much behind a reserve that waits
            return
        self.advance()

    def reply(self, line: str, body: bytes | None = None) -> None:
        """Write one reply."""
        if self.transport is None or self.transport.is_closing() or self.ending is not None:
            return
        data = line.encode("ascii") + CRLF
        self.transport.write(data if body is None else data + body + CRLF)

    def close(self) -> None:
        """End the connection when what was written is out."""
        if self.transport is not None:
            self.transport.close()

    def end_with(self, line: str) -> None:
        """Write the last reply and read no further."""
        if self.transport is None or self.transport.is_closing() or self.ending is not None:
            return
        self.buffer.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.ending = Ending(self.transport, self.limits, line.encode("ascii") + CRLF)

    def bad_line(self, word: str) -> None:
        """Answer a line that is no command; guards the CPU against a client that sends nothing else."""
        self.bad += 1
        if self.bad >= self.limits.bad_commands:
            self.end_with(word)
        else:
            self.reply(word)

    def _open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing() and self.ending is None

    def resume(self) -> None:
        """The waiting command has its reply: go on with what came meanwhile."""
        self.waiting = False
        asyncio.get_running_loop().call_soon(self.advance)

    def advance(self) -> None:
        """Carry out all commands that are complete."""
        while not self.waiting and self._open():
            if self.skip:
                dropped = min(self.skip, len(self.buffer))
                del self.buffer[:dropped]
                self.skip -= dropped
                if self.skip:
                    break
            elif self.pending is not None:
                if len(self.buffer) < self.need + 2:
                    break
                words, self.pending = self.pending, None
                body, end = bytes(self.buffer[: self.need]), self.buffer[self.need : self.need + 2]
                del self.buffer[: self.need + 2]
                if end != CRLF:
                    self.reply("EXPECTED_CRLF")
                else:
                    self.handler.put(self, words, body)
            elif not self._line():
                break
        if self._open():
            self._watch_input()

    def _line(self) -> bool:
        end = self.buffer.find(CRLF)
        if end < 0 or end + 2 > LINE_MOST:
            if len(self.buffer) < LINE_MOST and end < 0:
                return False
            # guards memory: what is too long for a command is passed over to its end
            if not self.skip_line:
                self.skip_line = True
                self.bad_line("BAD_FORMAT")
            if end < 0:
                del self.buffer[:-1]
                return False
        raw = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        if self.skip_line:
            self.skip_line = False
            return True
        try:
            line = raw.decode("ascii")
        except UnicodeDecodeError:
            self.bad_line("BAD_FORMAT")
            return True
        self.spoken = True
        words = line.split(" ")
        if words[0] != "put":
            self.handler.command(self, words)
            return True
        sizes = [whole(w) for w in words[1:]]
        if len(sizes) != 4 or None in sizes:
            self.bad_line("BAD_FORMAT")
            return True
        self.bad = 0
        self.need = sizes[3] or 0
        if self.need > self.limits.linger_bytes:
            self.end_with("JOB_TOO_BIG")  # guards the CPU: so much is not worth passing over to its end
        elif self.need > self.limits.body_bytes:
            self.reply("JOB_TOO_BIG")
            self.skip = self.need + 2
        else:
            self.pending = words
        return True

    def _watch_input(self) -> None:
        """Guards sockets and memory against a command or body that is begun and never ends."""
        begun = self.pending is not None or self.skip > 0 or (bool(self.buffer) and not self.waiting)
        if begun != self.begun:
            self.begun = begun
            if begun:
                self._arm(self.limits.input_ms)
            elif self.timer is not None:
                self.timer.cancel()
                self.timer = None
        elif not begun and self.spoken and self.timer is not None:
            self.timer.cancel()  # who has spoken may be idle for as long as the protocol allows: for good
            self.timer = None

    def _arm(self, delay_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(delay_ms / 1000, self._late)

    def _late(self) -> None:
        self.timer = None
        if self.begun:
            self.end_with("BAD_FORMAT" if self.pending is None else "EXPECTED_CRLF")
        else:
            self.close()
