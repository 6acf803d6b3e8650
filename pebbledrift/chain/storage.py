"""A replica's disk: two slots written in turn, each with a short log of records behind it.

Slot and log begin with their generation; whatever does not match its checksum ends the log. A slot is only
written over once the other one, and all that came after it, is synced.
"""

from __future__ import annotations

import contextlib
import os
import struct
import zlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from pebbledrift.chain.messages import Image, Record
from pebbledrift.chain.recovery import Recovered, recover
from pebbledrift.cluster import codec
from pebbledrift.cluster.errors import MessageError, StorageError

MAGIC = b"PBD1"
HEADER = struct.Struct(">4sQ")  # magic, generation
BLOCK = struct.Struct(">II")  # length, checksum
LOG_MOST = 2 * 1024 * 1024  # bytes of a log beyond which a slot is written, at least
SLOTS = ("a", "b")


def _block(value: Any, generation: int) -> bytes:
    body = codec.encode(value)
    return BLOCK.pack(len(body), zlib.crc32(body, generation & 0xFFFFFFFF)) + body


def _blocks(data: bytes, generation: int) -> Iterable[Any]:
    """The values of a file, up to the first that is torn or damaged."""
    position = HEADER.size
    while position + BLOCK.size <= len(data):
        size, checksum = BLOCK.unpack_from(data, position)
        body = data[position + BLOCK.size : position + BLOCK.size + size]
        if len(body) < size or zlib.crc32(body, generation & 0xFFFFFFFF) != checksum:
            return
        try:
            yield codec.decode(body)
        except MessageError:
            return
        position += BLOCK.size + size


def _generation(data: bytes) -> int | None:
    if len(data) < HEADER.size:
        return None
    magic, generation = HEADER.unpack_from(data)
    return int(generation) if magic == MAGIC else None


class Storage:
    """The files of one replica. Every call may wait on the disk: it belongs to one thread."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.generation = 0
        self._log = -1
        self._end = 0  # of what is synced in the log
        self._slot_bytes = 0

    def open(self) -> Recovered:
        """Read what the disk holds, and make ready to write behind it."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            image = self._newest_slot()
            self._check_not_damaged()
            records = self._read_log()
            self._open_log()
        except OSError as error:
            raise StorageError(f"{self.folder}: {error}") from error
        return recover(image, records)

    def _path(self, kind: str, generation: int) -> Path:
        return self.folder / f"{kind}-{SLOTS[generation % 2]}"

    def _newest_slot(self) -> Image | None:
        newest: Image | None = None
        self.generation = 0
        for number in range(len(SLOTS)):
            data = self._read(self._path("slot", number))
            generation = _generation(data)
            if generation is None or (newest is not None and generation < self.generation):
                continue
            image = next(iter(_blocks(data, generation)), None)
            if isinstance(image, Image):
                newest, self.generation, self._slot_bytes = image, generation, len(data)
        return newest

    def _check_not_damaged(self) -> None:
        """Refuse to go on from an older slot where a newer one was in use: promises would be forgotten."""
        following = self._read(self._path("log", self.generation + 1))
        if _generation(following) == self.generation + 1 and len(following) > HEADER.size:
            raise StorageError(f"{self.folder}: the newest slot is damaged")

    def _read(self, path: Path) -> bytes:
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return b""

    def _read_log(self) -> list[Record]:
        data = self._read(self._path("log", self.generation))
        self._end = 0
        if _generation(data) != self.generation:
            return []
        records = list(_blocks(data, self.generation))
        self._end = HEADER.size + sum(len(_block(record, self.generation)) for record in records)
        return records

    def _open_log(self) -> None:
        path = self._path("log", self.generation)
        self._log = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        if not self._end:
            os.ftruncate(self._log, 0)
            os.pwrite(self._log, HEADER.pack(MAGIC, self.generation), 0)
            self._end = HEADER.size
        else:
            os.ftruncate(self._log, self._end)
        os.fsync(self._log)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    @property
    def wants_slot(self) -> bool:
        """Whether the log has become long against its slot."""
        return self._end > max(LOG_MOST, 2 * self._slot_bytes)

    def append(self, records: Iterable[Record]) -> None:
        """Add records to the log and sync them. After an error the same call may be made again."""
        data = b"".join(_block(record, self.generation) for record in records)
        try:
            os.ftruncate(self._log, self._end)  # what an earlier call left half done
            _write_all(self._log, data, self._end)
            os.fdatasync(self._log)
        except OSError as error:
            raise StorageError(f"log: {error}") from error
        self._end += len(data)

    def write_slot(self, image: Image) -> None:
        """Write the other slot and begin its log. The present ones stay whole until both are synced."""
        generation = self.generation + 1
        data = HEADER.pack(MAGIC, generation) + _block(image, generation)
        try:
            log = self._begin_log(generation)
            try:
                self._write_file(self._path("slot", generation), data)
            except OSError:
                os.close(log)
                raise
        except OSError as error:
            raise StorageError(f"slot: {error}") from error
        with contextlib.suppress(OSError):
            os.close(self._log)
        self.generation, self._log, self._end = generation, log, HEADER.size
        self._slot_bytes = len(data)

    def _begin_log(self, generation: int) -> int:
        log = os.open(self._path("log", generation), os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            os.pwrite(log, HEADER.pack(MAGIC, generation), 0)
            os.fsync(log)
            self._sync_folder()
        except OSError:
            os.close(log)
            raise
        return log

    def _write_file(self, path: Path, data: bytes) -> None:
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(descriptor, data, 0)
            os.fsync(descriptor)
            self._sync_folder()
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Let go of the files."""
        if self._log >= 0:
            os.close(self._log)
            self._log = -1


def _write_all(descriptor: int, data: bytes, position: int) -> None:
    view = memoryview(data)
    while view:
        written = os.pwrite(descriptor, view, position)
        position += written
        view = view[written:]
