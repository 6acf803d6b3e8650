"""Tests that a parser in stream mode ends a response without a body right after its header."""

from __future__ import annotations

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.net.http import Parser


@pytest.mark.parametrize(
    ("head", "ended"),
    [
        (b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 204 No Content\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\n\r\n", False),
    ],
)
def test_a_response_without_a_body_ends_with_its_header(head: bytes, ended: bool) -> None:
    parser = Parser(Limits(), request=False, stream=True)
    assert len(list(parser.feed(head))) == 1
    assert parser.ended is ended


def test_the_next_response_on_the_connection_is_parsed_after_it() -> None:
    parser = Parser(Limits(), request=False, stream=True)
    first = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
    second = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    messages = list(parser.feed(first + second))
    assert [message.status for message in messages] == [421, 200]
    assert bytes(messages[1].body) == b"ok" and parser.ended
