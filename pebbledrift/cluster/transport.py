"""Message connections between the processes of the fleet, with liveness checks and reconnection."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, Protocol

from pebbledrift.cluster.boot import Address, format_address
from pebbledrift.cluster.codec import FRAGMENT_BYTES, FrameReader, fragments, frame, message
from pebbledrift.cluster.errors import MessageError

log = logging.getLogger(__name__)

PING_INTERVAL_S = 0.5
MAX_SILENCE_S = 1.6  # a connection on which nothing is received for this time is aborted
CONNECT_TIMEOUT_S = 0.4
MIN_RETRY_PAUSE_S, RETRY_GROWTH, MAX_RETRY_PAUSE_S = 0.04, 1.25, 0.25
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # beyond this, the peer is considered stuck and the connection is aborted
LISTEN_BACKLOG = 256


@message(1)
class Hello:
    """First message from the side that connects: its role, name, zone, incarnation and listen address."""

    role: str
    name: str
    address: str
    zone: str
    incarnation: int


@message(2)
class Ping:
    """Keepalive message."""


class Listener(Protocol):
    """Receives the events and messages of connections."""

    def opened(self, channel: Channel) -> None:
        """The channel is open: we dialled and are connected, or the peer's Hello has arrived."""

    def received(self, channel: Channel, message: Any) -> None:
        """A message has arrived; Hello and Ping are handled by the channel itself."""

    def closed(self, channel: Channel) -> None:
        """An open channel has been closed."""


class Channel(asyncio.Protocol):
    """One connection. `peer` is None until the peer's Hello arrives; only the side that dials sends one."""

    def __init__(self, listener: Listener, hello: Hello | None = None, address: str = "") -> None:
        self.listener = listener
        self.hello = hello  # our own, on a connection that we dialled
        self.address = address  # of the peer, as HOST:PORT
        self.peer: Hello | None = None
        self.open = False
        self._reader = FrameReader()
        self._queue: deque[bytes] = deque()  # frames that wait for a long one to be sent
        self._queued_bytes = 0
        self._sending_bytes = 0  # size of the long frame that is being sent
        self._fragments: Iterator[bytes] = iter(())  # remaining ones of the frame that is being sent
        self._write_paused = False  # the send buffer of the socket is full
        self._transport: asyncio.Transport | None = None
        self._last_received_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._last_received_at = self._loop.time()
        transport.set_write_buffer_limits(high=0)
        _set_socket_options(transport.get_extra_info("socket"))
        self._timer = self._loop.call_later(PING_INTERVAL_S, self._check_silence)
        if self.hello is not None:
            self.open = True
            self.send(self.hello)
            self.listener.opened(self)

    def data_received(self, data: bytes) -> None:
        self._last_received_at = self._loop.time()
        try:
            for message in self._reader.feed(data):
                self._handle(message)
        except MessageError as error:
            log.warning("peer sent an invalid message", extra={"peer": self.address, "error": str(error)})
            self.abort()

    def _handle(self, message: Any) -> None:
        if isinstance(message, Ping):
            return
        if isinstance(message, Hello):
            self.peer, self.address = message, message.address
            if self.hello is None and not self.open:
                self.open = True
                self.listener.opened(self)
            return
        if not self.open:
            raise MessageError("message received before the peer's Hello")
        self.listener.received(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self.open:
            self.open = False
            self.listener.closed(self)

    def _check_silence(self) -> None:
        if self._loop.time() - self._last_received_at > MAX_SILENCE_S:
            self.abort()
            return
        self.send(Ping(), urgent=True)
        self._timer = self._loop.call_later(PING_INTERVAL_S, self._check_silence)

    def send(self, value: Any, urgent: bool = False) -> None:
        """Send a message; aborts the connection if more than MAX_UNSENT_BYTES are unsent already.

        Long messages are sent in fragments. A short urgent message is sent between the fragments, ahead of
        the queued messages; all other messages keep their order.
        """
        self.send_frame(frame(value), urgent)

    def send_frame(self, data: bytes, urgent: bool = False) -> None:
        """Send an already encoded frame, for senders of the same message to many peers."""
        if self._transport is None or self._transport.is_closing():
            return
        if (
            self._transport.get_write_buffer_size() + self._queued_bytes + self._sending_bytes
            > MAX_UNSENT_BYTES
        ):
            self.abort()
            return
        short = len(data) <= FRAGMENT_BYTES
        if short and (urgent or not self._queued_bytes + self._sending_bytes):
            self._transport.write(data)
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._send_queued()

    def _send_queued(self) -> None:
        """Send fragments until the send buffer of the socket is full."""
        while not self._write_paused and self._transport is not None and not self._transport.is_closing():
            fragment = next(self._fragments, None)
            if fragment is not None:
                self._transport.write(fragment)
                continue
            self._sending_bytes = 0
            if not self._queue:
                return
            framed = self._queue.popleft()
            self._sending_bytes = len(framed)
            self._queued_bytes -= len(framed)
            self._fragments = fragments(framed)

    def pause_writing(self) -> None:
        """Called by asyncio when the send buffer of the socket is full."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Called by asyncio when all written bytes have been passed to the kernel."""
        self._write_paused = False
        self._send_queued()

    def abort(self) -> None:
        """Close the connection immediately, without sending what is still buffered."""
        if self._transport is not None:
            self._transport.abort()


def _set_socket_options(connection: socket.socket) -> None:
    """Send small messages without delay, and detect a peer that vanished without closing the connection."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(MAX_SILENCE_S * 1000))


class Dialer:
    """Maintains a connection to one address, and reconnects after it is lost.

    The pause between attempts grows from MIN_RETRY_PAUSE_S to MAX_RETRY_PAUSE_S while they fail.
    """

    def __init__(self, address: Address, hello: Callable[[], Hello], listener: Listener) -> None:
        self.address = address
        self.name = format_address(address)
        self._hello, self._listener = hello, listener
        self.channel: Channel | None = None
        self._retry_now = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        pause = MIN_RETRY_PAUSE_S
        while True:
            ended = loop.create_future()
            self._retry_now.clear()  # a request made during this attempt ends the pause after it
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(partial(self._create_channel, ended), *self.address)
            except (OSError, TimeoutError):
                pause = min(MAX_RETRY_PAUSE_S, RETRY_GROWTH * pause)
            else:
                pause = MIN_RETRY_PAUSE_S
                await ended
            self.channel = None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._retry_now.wait()

    def retry_now(self) -> None:
        """Skip the current or next pause, as the peer is up: it has just connected to us."""
        self._retry_now.set()

    def _create_channel(self, ended: asyncio.Future[None]) -> Channel:
        return _DialledChannel(self, self._listener, self._hello(), ended)

    def send(self, value: Any, urgent: bool = False) -> None:
        """Send a message if the connection is established; otherwise the message is dropped."""
        if self.channel is not None:
            self.channel.send(value, urgent)

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self._task.cancel()
        if self.channel is not None:
            self.channel.abort()


class _DialledChannel(Channel):
    """A channel of a dialer; sets `Dialer.channel` first, so that the listener can send from `opened` on."""

    def __init__(self, dialer: Dialer, listener: Listener, hello: Hello, ended: asyncio.Future[None]) -> None:
        super().__init__(listener, hello, dialer.name)
        self._dialer, self._ended = dialer, ended

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._dialer.channel = self
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if not self._ended.done():
            self._ended.set_result(None)


async def serve(address: Address, listener: Listener) -> asyncio.Server:
    """Start a server that accepts connections from other processes."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Channel(listener), *address, backlog=LISTEN_BACKLOG)
