"""Connections between the processes of the fleet, over real sockets."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from pebbledrift.cluster import transport
from pebbledrift.cluster.boot import Address
from pebbledrift.cluster.codec import message
from pebbledrift.cluster.transport import Channel, Dialer, Hello, Ping, serve

WAIT_S = 10.0


@message(990)
class Greeting:
    """What the tests send."""

    text: str


class Recorder:
    """Takes what comes on the connections of one side."""

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


def test_what_is_sent_as_a_connection_opens_arrives() -> None:
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


def test_a_dialer_that_waits_tries_again_at_once_when_it_is_told_to(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> Any:
        address = free_address()
        server_side, client_side = Recorder(), Recorder()
        refused = asyncio.Event()
        monkeypatch.setattr(transport, "RETRY_S", 3600.0)
        monkeypatch.setattr(transport, "RETRY_MOST_S", 3600.0)
        client_side.dialer = Dialer(address, hello, client_side)
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def attempt(*given: Any) -> Any:
            try:
                return await create_connection(*given)
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


def test_bytes_that_are_no_message_end_the_connection() -> None:
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


def test_a_ping_is_no_message_for_the_listener() -> None:
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
