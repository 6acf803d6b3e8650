"""The end of a connection whose other side may still be sending."""

from __future__ import annotations

import asyncio
import contextlib

from pebbledrift.bounds import Limits


class Ending:
    """Writes the last words, closes the sending side, and passes over what still comes, within bounds.

    Guards the last words: a close with input unread resets the connection and may destroy them on their way.
    """

    def __init__(self, transport: asyncio.Transport, limits: Limits, words: bytes) -> None:
        self.transport = transport
        self.left = limits.linger_bytes
        _write_last(transport, words)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(limits.linger_close_ms / 1000, transport.abort)

    def passed_over(self, nbytes: int) -> None:
        """Input has come that nobody reads; without end, no more of it is taken from the kernel."""
        self.left -= nbytes
        if self.left < 0:
            # not an abort: its reset could overtake the last words, which have the rest of their time
            self.transport.pause_reading()

    def flushed(self) -> None:
        """All that was written has left the process."""

    def cancel(self) -> None:
        """The connection is gone."""
        self.timer.cancel()


class LastAnswer:
    """Writes an answer, closes the sending side, reads nothing any more, and closes a moment later.

    A request that crosses this end must stay unread: its client knows then that it may send it again. The
    close over it resets the connection, by which time the answer has been taken in.
    """

    def __init__(self, transport: asyncio.Transport, limits: Limits, answer: bytes) -> None:
        self.transport = transport
        self.wait = limits.linger_answer_ms / 1000
        self.timer: asyncio.TimerHandle | None = None
        transport.pause_reading()
        _write_last(transport, answer)
        if not transport.get_write_buffer_size():
            self.flushed()

    def passed_over(self, nbytes: int) -> None:
        """Nothing is read."""

    def flushed(self) -> None:
        """All that was written has left the process."""
        if self.timer is None:
            self.timer = asyncio.get_running_loop().call_later(self.wait, self.transport.close)

    def cancel(self) -> None:
        """The connection is gone."""
        if self.timer is not None:
            self.timer.cancel()


def _write_last(transport: asyncio.Transport, words: bytes) -> None:
    """Write, and end the sending side once all has left the process."""
    transport.write(words)
    with contextlib.suppress(OSError):
        transport.write_eof()
