"""The parser on bytes in any portions, and the destinations' connections against a server of our own."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import socket
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from pebbledrift.bounds import Limits
from pebbledrift.net.destinations import ConnectionPool, Exchange, SocketBudget
from pebbledrift.net.http import HttpError, Message, Parser
from pebbledrift.net.link import Link
from spoolpier import interface as api
from tests.node import WAIT

LIMITS = Limits(connect_ms=WAIT * 1000)  # beside other work a loop may stand still for 250 ms
TEXT = (
    b"\r\nPOST /a?b HTTP/1.1\r\nX-Call-Id: 1\r\nContent-Length: 3\r\n\r\nabc"
    b"GET /c HTTP/1.1\r\nconnection: Close\r\n\r\n"
    b"POST /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nTrailer: t\r\n\r\n"
)


class ParserTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, len(TEXT)), max_size=12))
    def test_portions_make_no_difference(self, cuts: list[int]) -> None:
        parser = Parser(LIMITS, request=True)
        places = sorted({0, len(TEXT), *cuts})
        parts = [TEXT[a:b] for a, b in itertools.pairwise(places)]
        found = [m for part in parts for m in parser.feed(part)]
        told = [(m.first, m.second, bytes(m.body), m.keep_alive) for m in found]
        self.assertEqual(
            told,
            [("POST", "/a?b", b"abc", True), ("GET", "/c", b"", False), ("POST", "/d", b"def", True)],
        )
        self.assertFalse(parser.inside)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200), st.booleans())
    def test_any_bytes_are_read_or_rejected(self, data: bytes, request: bool) -> None:
        parser = Parser(LIMITS, request)
        try:
            list(parser.feed(b"GET / HTTP/1.1\r\n" + data if request else b"HTTP/1.1 200 OK\r\n" + data))
        except HttpError as error:
            self.assertIn(error.status, (400, 413, 431, 501, 502, 505))

    def test_a_body_in_chunks_is_bounded_too(self) -> None:
        parser = Parser(replace(LIMITS, body_bytes=10), request=True)
        with self.assertRaises(HttpError) as caught:
            head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            list(parser.feed(head + b"6\r\nabcdef\r\n" * 2))
        self.assertEqual(caught.exception.status, 413)

    def test_a_response_may_end_with_its_connection(self) -> None:
        parser = Parser(LIMITS, request=False)
        self.assertEqual(list(parser.feed(b"HTTP/1.1 200 OK\r\n\r\nbody")), [])
        last = parser.close()
        assert last is not None
        self.assertEqual((bytes(last.body), last.keep_alive), (b"body", False))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_long_message_comes_whole_and_in_its_turn(self) -> None:
        # the list of some 1,200 workers was told to nobody, and an upgrade of such a node began without one
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        got: list[tuple[object, bytes]] = []
        one = Link(ends[0], lambda fields, body, descriptor: None, lambda: None)
        other = Link(ends[1], lambda fields, body, descriptor: got.append((fields, body)), lambda: None)
        sent: list[tuple[dict[str, Any], bytes]] = [
            ({"kind": "first"}, b"a"),
            ({"kind": "list", "left_ms": 5.0}, bytes(range(256)) * 8000),
            ({"kind": "last"}, b""),
        ]
        for fields, body in sent:
            one.send(fields, body)
        one.send({"kind": "too long"}, bytes(17 << 20))
        self.assertFalse(one.send_descriptor({"kind": "socket"}, ends[0].fileno(), bytes(1 << 18)))
        async with asyncio.timeout(WAIT):
            while len(got) < 3:
                await asyncio.sleep(0.001)
        one.close()
        other.close()
        self.assertEqual(got, sent)

    async def test_what_was_sent_before_an_end_is_read_though_the_other_side_had_not_read_all(self) -> None:
        # the reset that tells of the unread message came first, and clients' connections went with the rest
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        client, connection = socket.socketpair()
        got: list[tuple[object, bytes, int | None]] = []
        lost = asyncio.Event()
        link = Link(ours, lambda fields, body, descriptor: got.append((fields, body, descriptor)), lost.set)
        link.send({"kind": "unread"})
        socket.send_fds(theirs, [b'{"kind": "socket"}\nabc'], [connection.fileno()])
        theirs.close()
        connection.close()
        async with asyncio.timeout(WAIT):
            await lost.wait()
        [(fields, body, descriptor)] = got
        self.assertEqual((fields, body), ({"kind": "socket"}, b"abc"))
        assert descriptor is not None
        with client, socket.socket(fileno=descriptor) as passed:
            passed.sendall(b"still open")
            self.assertEqual(client.recv(10), b"still open")


class PoolTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.got: list[bytes] = []
        self.answer = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
        self.writers: list[asyncio.StreamWriter] = []
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def asyncTearDown(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while data := await reader.read(65536):
            self.got.append(data)
            if self.answer:
                writer.write(self.answer)
            else:
                writer.transport.abort()

    async def serve_whole(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while await reader.readuntil(b"\r\n\r\n"):
            writer.write(self.answer)

    async def ask(self, pool: ConnectionPool) -> tuple[Message | None, api.OutcomeKind]:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[tuple[Message | None, api.OutcomeKind]] = loop.create_future()
        exchange = Exchange(lambda: b"GET / HTTP/1.1\r\n\r\n", lambda *end: ended.set_result(end))
        pool.start(exchange, WAIT * 1000, exchange.unreached)
        async with asyncio.timeout(WAIT):
            return await ended

    async def test_a_connection_is_kept_and_a_break_is_never_sent_again(self) -> None:
        pool = ConnectionPool(self.address, replace(LIMITS, settle_ms=1.0), SocketBudget(LIMITS))
        for _ in range(3):
            self.assertEqual((await self.ask(pool))[1], api.OutcomeKind.SERVED)
            await asyncio.sleep(0.005)
        self.assertEqual(len(self.writers), 1)
        self.answer = b""
        self.assertEqual(await self.ask(pool), (None, api.OutcomeKind.BROKEN))
        self.assertEqual(len(self.got), 4)

    async def test_after_a_break_on_a_kept_connection_requests_go_on_new_ones(self) -> None:
        # kept connections that a machine on the way had dropped took one request after the other with them
        budget = SocketBudget(replace(LIMITS, fresh_ms=0.0, stale_ms=WAIT * 1000))
        # no rest between requests: whether it is over would depend on the machine
        pool = ConnectionPool(self.address, replace(LIMITS, settle_ms=0.0), budget)
        for _ in range(2):
            self.assertEqual((await self.ask(pool))[1], api.OutcomeKind.SERVED)
        await asyncio.sleep(0.01)  # the idle time that the break is put down to
        kept, self.answer = self.answer, b""
        self.assertEqual((await self.ask(pool))[1], api.OutcomeKind.BROKEN)
        # the last byte is held back now: the break proves that nothing ran
        self.assertEqual(await self.ask(pool), (None, api.OutcomeKind.NO_CONNECTION))
        self.assertEqual(self.got[-1], b"GET / HTTP/1.1\r\n\r")
        self.answer = kept
        self.server.close()
        self.server = await asyncio.start_server(self.serve_whole, *self.address)
        for _ in range(3):
            self.assertEqual((await self.ask(pool))[1], api.OutcomeKind.SERVED)
            await asyncio.sleep(0.02)
        self.assertEqual(len(self.writers), 5)

    async def test_a_late_second_answer_is_not_taken_for_that_of_the_next_request(self) -> None:
        # it said that the next request had never run, and that one was sent again beside its first attempt
        self.server.close()
        surplus = b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"

        async def serve_twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer)
            with contextlib.suppress(asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(0.02):
                    await reader.readuntil(b"\r\n\r\n")  # the next request has come: the worst moment
            writer.write(surplus)

        self.server = await asyncio.start_server(serve_twice, *self.address)
        # a rest that this loop, however loaded, does not sit out between the two requests
        limits = replace(LIMITS, settle_ms=60_000.0, idle_ms=120_000.0)
        pool = ConnectionPool(self.address, limits, SocketBudget(limits))
        for _ in range(2):
            message, kind = await self.ask(pool)
            assert message is not None
            self.assertEqual((kind, message.status), (api.OutcomeKind.SERVED, 202))
        self.assertEqual(len(self.writers), 2, "the second went out on a connection of its own")

    async def test_what_the_node_itself_is_short_of_says_nothing_of_the_worker(self) -> None:
        pool = ConnectionPool(self.address, LIMITS, SocketBudget(LIMITS))
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL):
            with mock.patch("socket.socket", side_effect=OSError(number, "short")):
                self.assertEqual(await self.ask(pool), (None, api.OutcomeKind.NOT_SENT))
        for number in (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNREFUSED):
            with mock.patch("socket.socket", side_effect=OSError(number, "unreachable")):
                self.assertEqual(await self.ask(pool), (None, api.OutcomeKind.NO_CONNECTION))

    async def test_a_refused_connection_proves_that_nothing_ran(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        pool = ConnectionPool(self.address, LIMITS, SocketBudget(LIMITS))
        self.assertEqual(await self.ask(pool), (None, api.OutcomeKind.NO_CONNECTION))

    async def test_full_descriptors_take_an_idle_connection_or_say_that_nothing_was_sent(self) -> None:
        # both had counted as the worker's failure, and it was left alone for seconds
        budget = SocketBudget(replace(LIMITS, destination_sockets=1))
        first, second = (ConnectionPool(self.address, LIMITS, budget) for _ in range(2))
        self.assertEqual((await self.ask(first))[1], api.OutcomeKind.SERVED)
        self.assertEqual((await self.ask(second))[1], api.OutcomeKind.SERVED)
        self.assertEqual((len(first.idle), len(second.idle)), (0, 1))
        nothing = ConnectionPool(self.address, LIMITS, SocketBudget(replace(LIMITS, destination_sockets=0)))
        self.assertEqual(await self.ask(nothing), (None, api.OutcomeKind.NOT_SENT))

    async def test_an_idle_connection_is_closed_well_before_the_other_side_does(self) -> None:
        pool = ConnectionPool(self.address, replace(LIMITS, idle_ms=1.0), SocketBudget(LIMITS))
        await self.ask(pool)
        async with asyncio.timeout(WAIT):
            while pool.connections:
                await asyncio.sleep(0.001)
        self.assertEqual((await self.ask(pool))[1], api.OutcomeKind.SERVED)
        self.assertEqual(len(self.writers), 2)
