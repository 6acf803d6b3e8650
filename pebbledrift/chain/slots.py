"""Two files written alternately: the older one is overwritten, so that one complete value always exists."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from pebbledrift.chain.files import SYSTEM_FILES, Files
from pebbledrift.cluster import codec
from pebbledrift.cluster.errors import MessageError

MAGIC = b"PBD1"
HEADER = struct.Struct(">4sQ")  # magic, generation
BLOCK = struct.Struct(">II")  # length, checksum
SLOTS = ("a", "b")


def encode_header(generation: int) -> bytes:
    """The file header of a generation."""
    return HEADER.pack(MAGIC, generation)


def decode_generation(data: bytes) -> int | None:
    """The generation in a file's header, or None if the header is not valid."""
    if len(data) < HEADER.size:
        return None
    magic, generation = HEADER.unpack_from(data)
    return int(generation) if magic == MAGIC else None


def encode_block(value: Any, generation: int) -> bytes:
    """Encodes a value with length and checksum; the checksum is valid in one generation only."""
    body = codec.encode(value)
    return BLOCK.pack(len(body), zlib.crc32(body, generation & 0xFFFFFFFF)) + body


def decode_blocks(data: bytes, generation: int) -> Iterable[tuple[Any, int]]:
    """Yields the values of a file with their end positions, up to the first torn or damaged one."""
    position = HEADER.size
    while position + BLOCK.size <= len(data):
        size, checksum = BLOCK.unpack_from(data, position)
        body = data[position + BLOCK.size : position + BLOCK.size + size]
        if len(body) < size or zlib.crc32(body, generation & 0xFFFFFFFF) != checksum:
            return
        try:
            value = codec.decode(body)
        except MessageError:
            return
        position += BLOCK.size + size
        yield value, position


class SlotPair:
    """Two slot files with one base name in a directory."""

    def __init__(self, directory: Path, name: str, files: Files = SYSTEM_FILES) -> None:
        self.directory, self.name, self._files = directory, name, files
        self.generation = 0  # of the newest complete slot; 0 if there is none
        self.size_bytes = 0  # size of the newest complete slot

    def path(self, generation: int) -> Path:
        """The path of the slot that holds a generation."""
        return self.directory / f"{self.name}-{SLOTS[generation % 2]}"

    def newest(self) -> Any:
        """Reads the newest complete value; returns None if there is none."""
        value: Any = None
        self.generation = 0
        for index in range(len(SLOTS)):
            data = self._files.read(self.path(index))
            generation = decode_generation(data)
            if generation is None or (value is not None and generation < self.generation):
                continue
            first_block = next(iter(decode_blocks(data, generation)), None)
            if first_block is not None:
                value, self.generation, self.size_bytes = first_block[0], generation, len(data)
        return value

    def write(self, value: Any) -> None:
        """Writes and syncs the other slot; on OSError the current slot stays in use."""
        generation = self.generation + 1
        data = encode_header(generation) + encode_block(value, generation)
        descriptor = self._files.open(self.path(generation), truncate=True)
        try:
            self._files.write(descriptor, data, 0)
            self._files.sync(descriptor)
        finally:
            self._files.close(descriptor)
        if generation <= len(SLOTS):
            self._files.sync_directory(self.directory)
        self.generation, self.size_bytes = generation, len(data)

    def sync_newest(self) -> None:
        """Syncs the slot that was read: the process that wrote it may have ended before its sync."""
        if self.generation:
            descriptor = self._files.open(self.path(self.generation))
            try:
                self._files.sync(descriptor)
            finally:
                self._files.close(descriptor)

    def erase_next(self) -> None:
        """Truncates the other slot, as a failed write may have left a complete value there."""
        descriptor = self._files.open(self.path(self.generation + 1), truncate=True)
        try:
            self._files.sync(descriptor)
        finally:
            self._files.close(descriptor)
