"""Limits on requests that change while client connections are open, at every byte of a request."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, cast

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.control.registry import Instance, parse_heartbeat
from pebbledrift.net.http import Message
from pebbledrift.net.request_connection import RequestConnection
from pebbledrift.router.placement import Placement
from pebbledrift.router.pools import WorkerPools
from pebbledrift.router.service import _ClientConnection
from tests.cluster.flow_harness import settle

SMALL, LARGE = Limits(body_bytes=20), Limits(body_bytes=200)
BODY = b"x" * 100
HEAD = b"POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\n"
REQUEST = HEAD + BODY
SERVED, TOO_LARGE = "200", "413"


class StubRouter:
    """Answers each request with 200; its limits change as a test says."""

    def __init__(self, limits: Limits) -> None:
        self.parser_limits = limits
        self.draining = False
        self.clients: set[RequestConnection] = set()

    def limit_clients(self, newest: RequestConnection) -> None:
        """Does nothing: there are few clients."""

    def begin_request(self, client: RequestConnection, message: Message) -> None:
        client.send_response(200, {}, b"")


async def _status_if_changed_at(offset: int, before: Limits, after: Limits) -> str:
    """The status of a request on a connection that has served one, if the limits change at a byte of it."""
    router = StubRouter(before)
    client, accepted = socket.socketpair()
    for end in (client, accepted):
        end.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.connect_accepted_socket(lambda: _ClientConnection(cast(Any, router)), accepted)
    client.sendall(b"GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n")
    await settle()
    assert client.recv(4096).startswith(b"HTTP/1.1 200")
    client.sendall(REQUEST[:offset])
    await settle()
    router.parser_limits = after
    client.sendall(REQUEST[offset:])
    await settle()
    answer = client.recv(4096).decode()
    for connection in list(router.clients):
        connection.abort()
    client.close()
    return answer.split(" ")[1]


@pytest.mark.parametrize(
    ("before", "after", "head_before", "head_after"),
    [(SMALL, LARGE, TOO_LARGE, SERVED), (LARGE, SMALL, SERVED, TOO_LARGE)],
    ids=["raised", "lowered"],
)
def test_a_kept_connection_follows_the_limits_in_force_at_each_head(
    before: Limits, after: Limits, head_before: str, head_after: str
) -> None:
    # guards against a connection going on under the limits of the configuration that it was opened under
    async def scenario() -> None:
        for offset in range(len(REQUEST)):
            status = await _status_if_changed_at(offset, before, after)
            assert status == (head_before if offset >= len(HEAD) else head_after), f"changed at byte {offset}"

    asyncio.run(scenario())


def test_the_division_of_workers_follows_the_slots_in_force() -> None:
    # guards against workers being reserved by the slots of the configuration that first named the service
    class Recorder:
        """Replaces a placement: counts the workers that it is given."""

        workers = 0

        def failing_instances(self) -> set[str]:
            return set()

        def update_instances(self, instances: list[Instance]) -> None:
            self.workers = len(instances)

    async def scenario() -> None:
        pools = WorkerPools(lambda limit: cast(Placement, Recorder()), True, 4, 1)
        body = {"backend": "lm", "address": "127.0.0.1:9", "state": "ready"}
        pools.update_instances([parse_heartbeat(f"i-{number}", body) for number in range(40)])
        for prompt_tokens in (100.0, 100_000.0):
            pools.choose(prompt_tokens)
        pools.divide(40.0)
        before = cast(Recorder, pools.short).workers
        pools.set_slots(40)
        pools.divide(40.0)
        assert (before, cast(Recorder, pools.short).workers) == (14, 2)

    asyncio.run(scenario())
