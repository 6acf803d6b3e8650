"""Message connections between the processes of the fleet, over real sockets."""

from __future__ import annotations

import asyncio
import random
import socket
from typing import Any

import pytest

from pebbledrift.cluster import transport
from pebbledrift.cluster.boot import Address
from pebbledrift.cluster.codec import FRAGMENT_BYTES, FrameReader, fragments, frame, message
from pebbledrift.cluster.errors import MessageError
from pebbledrift.cluster.transport import Channel, Dialer, Hello, Ping, serve

WAIT_S = 10.0


@message(990)
class Greeting:
    """Message that the tests send."""

    text: str


class Recorder:
    """Listener that queues the messages that one side receives."""

    def __init__(self) -> None:
        self.messages: asyncio.Queue[Any] = asyncio.Queue()
        self.dialer: Dialer | None = None

    def opened(self, channel: Channel) -> None:
        if self.dialer is not None:
            self.dialer.send(Greeting("from the moment that it is open"))

    def received(self, channel: Channel, message: Any) -> None:
        self.messages.put_nowait(message)

    def closed(self, channel: Channel) -> None:
        return


def hello() -> Hello:
    return Hello("keeper", "a", "127.0.0.1:1", "zone", 1)


def free_address() -> Address:
    with socket.create_server(("127.0.0.1", 0)) as bound:
        host, port = bound.getsockname()
        return host, port


def test_a_message_sent_when_the_connection_opens_arrives() -> None:
    async def scenario() -> Any:
        address = free_address()
        server_side, client_side = Recorder(), Recorder()
        server = await serve(address, server_side)
        client_side.dialer = Dialer(address, hello, client_side)
        async with asyncio.timeout(WAIT_S):
            first = await server_side.messages.get()
        client_side.dialer.close()
        server.close()
        return first

    assert asyncio.run(scenario()) == Greeting("from the moment that it is open")


def test_retry_now_ends_the_pause_of_a_dialer(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> Any:
        address = free_address()
        server_side, client_side = Recorder(), Recorder()
        refused = asyncio.Event()
        monkeypatch.setattr(transport, "MIN_RETRY_PAUSE_S", 3600.0)
        monkeypatch.setattr(transport, "MAX_RETRY_PAUSE_S", 3600.0)
        client_side.dialer = Dialer(address, hello, client_side)
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def attempt(*arguments: Any) -> Any:
            try:
                return await create_connection(*arguments)
            except OSError:
                loop.call_soon(refused.set)
                raise

        monkeypatch.setattr(loop, "create_connection", attempt)
        async with asyncio.timeout(WAIT_S):
            await refused.wait()
            server = await serve(address, server_side)
            client_side.dialer.retry_now()
            first = await server_side.messages.get()
        client_side.dialer.close()
        server.close()
        return first

    assert asyncio.run(scenario()) == Greeting("from the moment that it is open")


def test_invalid_bytes_close_the_connection() -> None:
    async def scenario() -> bytes:
        address = free_address()
        server = await serve(address, Recorder())
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"\x00\x00\x00\x02zz")
        async with asyncio.timeout(WAIT_S):
            rest = await reader.read()
        writer.close()
        server.close()
        return rest

    assert asyncio.run(scenario()) == b""


def test_a_ping_is_not_passed_to_the_listener() -> None:
    async def scenario() -> Any:
        address = free_address()
        server_side, client_side = Recorder(), Recorder()
        server = await serve(address, server_side)
        dialer = Dialer(address, hello, client_side)
        async with asyncio.timeout(WAIT_S):
            while dialer.channel is None:
                await asyncio.sleep(0)
            dialer.send(Ping())
            dialer.send(Greeting("after it"))
            first = await server_side.messages.get()
        dialer.close()
        server.close()
        return first

    assert asyncio.run(scenario()) == Greeting("after it")


def random_text(size: int) -> str:
    """A random hexadecimal text, which compresses poorly."""
    return random.Random(size).randbytes(size // 2).hex()


@pytest.mark.parametrize("size", [0, 100, 5_000, 100_000, 3_000_000])
@pytest.mark.parametrize("step", [1_000, 65_536])
def test_long_messages_are_compressed_and_arrive_whole_in_fragments(size: int, step: int) -> None:
    sent = [Greeting(random_text(size)), Greeting("short"), Greeting("x" * size)]
    unfragmented, fragmented = (
        frame(sent[0]),
        [part for value in sent[1:] for part in fragments(frame(value))],
    )
    data = b"".join((unfragmented, *fragmented))
    reader = FrameReader()
    steps = range(0, len(data), step)
    received = [value for start in steps for value in reader.feed(data[start : start + step])]
    assert received == sent
    assert len(frame(sent[2])) <= 5_000 + size // 100


def test_a_short_message_can_be_sent_between_the_fragments_of_a_long_one() -> None:
    long, short = Greeting(random_text(10 * FRAGMENT_BYTES)), Greeting("urgent")
    parts = list(fragments(frame(long)))
    reader = FrameReader()
    received = [value for part in (*parts[:2], frame(short), *parts[2:]) for value in reader.feed(part)]
    assert received == [short, long]


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\x80\x00\x00\x03abc",
        b"\x40\x00\x00\x02\x01a",
        b"\x40\x00\x00\x06\x01\x40\x00\x00\x00a",
        b"\x40\x00\x00\x00",
    ],
)
def test_malformed_frames_raise_an_error(data: bytes) -> None:
    with pytest.raises(MessageError):
        FrameReader().feed(data)


def test_urgent_messages_do_not_wait_for_a_peer_that_reads_slowly() -> None:
    """A long message fills the socket buffers: an urgent one arrives before its end, any other after it."""

    async def scenario() -> list[str]:
        address = free_address()
        server_side, client_side = Recorder(), Recorder()
        server = await serve(address, server_side)
        dialer = Dialer(address, hello, client_side)
        async with asyncio.timeout(WAIT_S):
            while dialer.channel is None or not dialer.channel.open:
                await asyncio.sleep(0)
            dialer.send(Greeting(random_text(8_000_000)))
            dialer.send(Greeting("behind"))
            dialer.send(Greeting("urgent"), urgent=True)
            received = [await server_side.messages.get() for _ in range(3)]
        dialer.close()
        server.close()
        return [value.text if len(value.text) < 10 else "long" for value in received]

    assert asyncio.run(scenario()) == ["urgent", "long", "behind"]
