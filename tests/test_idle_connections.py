"""Connections of the node to its workers that are idle, and get bytes that belong to no request."""

from __future__ import annotations

import asyncio

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.net.destinations import ConnectionPool, Exchange, SocketBudget
from pebbledrift.net.http import Message, request
from spoolpier import interface as api

WAIT_S = 5.0
HEAD = b"HTTP/1.1 503 Service Unavailable\r\nX-Note: cut short"
LIMITS = Limits(settle_ms=0.0)  # a connection may be used again at once


def response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class ScriptedWorker:
    """A server that answers each request with its connection's number, and sends foreign bytes when told."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        number = len(self.writers)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response(b"from %d" % number))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def ask(pool: ConnectionPool) -> tuple[Message | None, api.OutcomeKind]:
    """One request, and how it ended."""
    ended: asyncio.Future[tuple[Message | None, api.OutcomeKind]] = asyncio.get_running_loop().create_future()
    exchange = Exchange(
        lambda: request("POST", "/x", {"host": "a.example"}, b""),
        lambda message, kind: ended.set_result((message, kind)),
    )
    pool.start(exchange, WAIT_S * 1000, lambda: None)
    async with asyncio.timeout(WAIT_S):
        return await ended


@pytest.mark.parametrize("is_read", [True, False], ids=["read", "unread"])
@pytest.mark.parametrize("length", [1, 8, 20, len(HEAD)])
def test_bytes_on_an_idle_connection_do_not_begin_the_next_response(length: int, is_read: bool) -> None:
    # guards against a status of bytes that belong to no request being taken for the next request's
    async def scenario() -> None:
        worker = ScriptedWorker()
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0)
        pool = ConnectionPool(server.sockets[0].getsockname(), LIMITS, SocketBudget(LIMITS))
        await ask(pool)
        (connection,) = pool.connections
        worker.writers[0].write(HEAD[:length])
        while is_read and connection.transport is not None and not connection.closed:
            await asyncio.sleep(0)
        message, kind = await ask(pool)
        assert kind is api.OutcomeKind.SERVED
        assert message is not None and (message.status, bytes(message.body)) == (200, b"from 2")
        pool.close()
        server.close()

    asyncio.run(asyncio.wait_for(scenario(), WAIT_S))
