"""Encodes typed messages as CBOR and frames them for a byte stream.

Each message class is registered once under a number, which selects its CBOR tag; its fields are encoded as
an array in the order of their declaration. A message may contain other registered classes, numbers, strings,
bytes, lists, tuples and maps of these.

A frame is a header and a body. The header is a 32-bit big-endian word: two flags and the length of the body.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import fields
from typing import Any, TypeVar, dataclass_transform

import cbor2

from pebbledrift.cluster.errors import MessageError
from spoolpier.records import record

FIRST_TAG = 40_000  # CBOR tag of message 0, from the range that is free for private use
HEADER = struct.Struct(">I")
MAX_FRAME_BYTES = 12 * 1024 * 1024  # of the body, before and after compression
MIN_COMPRESSED_BYTES = 4096  # shorter messages are sent uncompressed
COMPRESSION_LEVEL = 1
COMPRESSED_FLAG = 0x8000_0000  # set in the header if the body is compressed with zlib
# Set in the header if the body is a part of a longer frame; its first byte says whether it is the last part.
FRAGMENT_FLAG = 0x4000_0000
LAST_FRAGMENT, MORE_FRAGMENTS = b"\x01", b"\x00"
FRAGMENT_BYTES = 16 * 1024
_LENGTH_MASK = FRAGMENT_FLAG - 1

Class = TypeVar("Class")
_class_by_tag: dict[int, type] = {}
_tag_by_class: dict[type, int] = {}
_field_names: dict[type, tuple[str, ...]] = {}


@dataclass_transform(frozen_default=True)
def message(number: int) -> Callable[[type[Class]], type[Class]]:
    """Register a class as message `number`, and make it a frozen data class.

    The decorator raises RuntimeError if the number is already in use.
    """

    def register(message_class: type[Class]) -> type[Class]:
        registered_class: type[Any] = record(message_class)
        tag = FIRST_TAG + number
        if tag in _class_by_tag:
            raise RuntimeError(f"message {number} is registered twice")
        _class_by_tag[tag] = registered_class
        _tag_by_class[registered_class] = tag
        _field_names[registered_class] = tuple(f.name for f in fields(registered_class))
        return registered_class

    return register


def _encode_message(encoder: cbor2.CBOREncoder, value: Any) -> None:
    tag = _tag_by_class.get(type(value))
    if tag is None:
        raise MessageError(f"not a registered message class: {type(value).__name__}")
    field_names = _field_names[type(value)]
    encoder.encode(cbor2.CBORTag(tag, [getattr(value, name) for name in field_names]))


def _decode_tag(tag: cbor2.CBORTag, immutable: bool = False) -> Any:
    registered_class = _class_by_tag.get(tag.tag)
    if registered_class is None:
        raise MessageError(f"unknown message tag: {tag.tag}")
    if not isinstance(tag.value, list | tuple) or len(tag.value) != len(_field_names[registered_class]):
        raise MessageError(f"malformed message: fields do not match {registered_class.__name__}")
    return registered_class(*tag.value)


def encode(value: Any) -> bytes:
    """Encode a message; raises MessageError if it contains an object of an unregistered class."""
    return cbor2.dumps(value, default=_encode_message)


def decode(data: bytes | bytearray | memoryview) -> Any:
    """Decode a message; raises MessageError if the bytes are not an encoded message."""
    try:
        value = cbor2.loads(bytes(data), tag_hook=_decode_tag)
    except MessageError:
        raise
    except Exception as error:
        raise MessageError(f"message is not decodable: {error}") from error
    if type(value) not in _tag_by_class:
        raise MessageError("the encoded value is not a registered message")
    return value


def frame(value: Any) -> bytes:
    """Encode a message as a frame, compressed if it is long; raises MessageError if it is too long."""
    body = encode(value)
    if len(body) > MAX_FRAME_BYTES:
        raise MessageError(f"message of {len(body)} bytes exceeds the maximum frame size")
    if len(body) < MIN_COMPRESSED_BYTES:
        return HEADER.pack(len(body)) + body
    compressed = zlib.compress(body, COMPRESSION_LEVEL)
    return HEADER.pack(COMPRESSED_FLAG | len(compressed)) + compressed


def fragments(framed: bytes) -> Iterator[bytes]:
    """Split a long frame into several short ones, so that other frames can be sent between them."""
    view = memoryview(framed)
    for start in range(0, len(view), FRAGMENT_BYTES):
        payload = view[start : start + FRAGMENT_BYTES]
        marker = LAST_FRAGMENT if start + FRAGMENT_BYTES >= len(view) else MORE_FRAGMENTS
        yield HEADER.pack(FRAGMENT_FLAG | (len(payload) + 1)) + marker + payload


def _decompress(data: bytes | bytearray) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_FRAME_BYTES + 1)
    except zlib.error as error:
        raise MessageError(f"message cannot be decompressed: {error}") from error
    if not decompressor.eof or len(body) > MAX_FRAME_BYTES:
        raise MessageError("compressed message is truncated or exceeds the maximum frame size")
    return body


class FrameReader:
    """Splits a byte stream into frames and decodes their messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._fragments = bytearray()  # of a single frame, as a sender never interleaves the fragments of two

    def feed(self, data: bytes) -> list[Any]:
        """Return all messages that these bytes complete; raises MessageError if the stream is malformed."""
        self._buffer += data
        messages = []
        while len(self._buffer) >= HEADER.size:
            (header,) = HEADER.unpack_from(self._buffer)
            length = header & _LENGTH_MASK
            if length > MAX_FRAME_BYTES:
                raise MessageError(f"frame of {length} bytes exceeds the maximum frame size")
            end = HEADER.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[HEADER.size : end])
            del self._buffer[:end]
            if header & FRAGMENT_FLAG:
                messages += self._add_fragment(body)
            else:
                messages.append(_decode_body(header, body))
        return messages

    def _add_fragment(self, body: bytes) -> list[Any]:
        if body[:1] not in (LAST_FRAGMENT, MORE_FRAGMENTS):
            raise MessageError("fragment does not start with a last-or-more marker")
        self._fragments += body[1:]
        if len(self._fragments) > MAX_FRAME_BYTES + HEADER.size:
            raise MessageError(f"fragments of {len(self._fragments)} bytes exceed the maximum frame size")
        if body[:1] != LAST_FRAGMENT:
            return []
        framed, self._fragments = bytes(self._fragments), bytearray()
        if len(framed) < HEADER.size:
            raise MessageError("joined fragments are shorter than a frame header")
        (header,) = HEADER.unpack_from(framed)
        if header & FRAGMENT_FLAG or header & _LENGTH_MASK != len(framed) - HEADER.size:
            raise MessageError("joined fragments are not one whole frame")
        return [_decode_body(header, framed[HEADER.size :])]


def _decode_body(header: int, body: bytes) -> Any:
    return decode(_decompress(body) if header & COMPRESSED_FLAG else body)
