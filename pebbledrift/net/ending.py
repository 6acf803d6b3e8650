"""The end of a connection whose other side may still be sending."""

from __future__ import annotations

import asyncio
import contextlib

from pebbledrift.config import Limits


class Ending:
    """Writes the last words, closes the sending side, and passes over what still comes, within bounds.

    Guards the last words: a close with input unread resets the connection and may destroy them on their way.
    """

    def __init__(self, transport: asyncio.Transport, limits: Limits, words: bytes) -> None:
        self.transport = transport
        self.left = limits.linger_bytes
        transport.write(words)
        with contextlib.suppress(OSError):
            transport.write_eof()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(limits.linger_close_ms / 1000, transport.abort)

    def passed_over(self, nbytes: int) -> None:
        """Input has come that nobody reads; without end, it ends the connection."""
        self.left -= nbytes
        if self.left < 0:
            self.transport.abort()

    def cancel(self) -> None:
        """The connection is gone."""
        self.timer.cancel()
