"""A replica's disk: two slots written in turn, each with a short log of records behind it.

Slot and log begin with their generation; whatever does not match its checksum ends the log. A slot is only
written over once the other one, and all that came after it, is synced.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path

from pebbledrift.chain import slots
from pebbledrift.chain.files import SYSTEM_FILES, Files
from pebbledrift.chain.messages import Image, Record
from pebbledrift.chain.recovery import RecoveredState, recover
from pebbledrift.cluster.errors import StorageError

LOG_MOST = 512 * 1024  # bytes of a log beyond which a slot is written, at least


class Storage:
    """The files of one replica. Every call may wait on the disk: it belongs to one thread."""

    def __init__(self, folder: Path, files: Files = SYSTEM_FILES, log_most: int = LOG_MOST) -> None:
        self.folder, self._files, self._log_most = folder, files, log_most
        self._slots = slots.SlotPair(folder, "slot", files)
        self._doubtful = False  # a slot whose write failed may be whole: nothing may follow the one before
        self._log = -1
        self._end = 0  # of what is synced in the log

    @property
    def generation(self) -> int:
        """The generation of the slot in use."""
        return self._slots.generation

    def is_empty(self) -> bool:
        """Whether nothing was ever written here: there is no file that holds more than its header."""
        try:
            return all(size <= slots.HEADER.size for size in self._files.sizes(self.folder).values())
        except OSError as error:
            raise StorageError(f"{self.folder}: {error}") from error

    def discard(self) -> None:
        """Forget what cannot be read; what cannot be removed either ends the start."""
        try:
            for path in self._files.sizes(self.folder):
                self._files.remove(path)
            self._files.sync_folder(self.folder)
        except OSError as error:
            raise StorageError(f"{self.folder}: {error}") from error

    def open(self) -> RecoveredState:
        """Read what the disk holds, and make ready to write behind it."""
        try:
            self._files.make_folder(self.folder)
            image = self._slots.newest()
            self._slots.sync_newest()
            self._check_not_damaged()
            records = self._read_log()
            self._open_log()
        except OSError as error:
            raise StorageError(f"{self.folder}: {error}") from error
        return recover(image if isinstance(image, Image) else None, records)

    def _log_path(self, generation: int) -> Path:
        return self.folder / f"log-{slots.SLOTS[generation % 2]}"

    def _check_not_damaged(self) -> None:
        """Refuse to go on from an older slot where a newer one was in use: promises would be forgotten."""
        following = self._files.read(self._log_path(self.generation + 1))
        in_use = slots.generation_of(following) == self.generation + 1
        if in_use and len(following) > slots.HEADER.size:
            raise StorageError(f"{self.folder}: the newest slot is damaged")

    def _read_log(self) -> list[Record]:
        data = self._files.read(self._log_path(self.generation))
        self._end = 0
        if slots.generation_of(data) != self.generation:
            return []
        self._end = slots.HEADER.size
        records = []
        for record, end in slots.blocks(data, self.generation):
            records.append(record)
            self._end = end
        return records

    def _open_log(self) -> None:
        if not self._end:
            self._log = self._begin_log(self.generation)
            self._end = slots.HEADER.size
            return
        self._log = self._files.open(self._log_path(self.generation))
        self._files.truncate(self._log, self._end)
        self._files.sync(self._log)

    @property
    def wants_slot(self) -> bool:
        """Whether the log has become long against its slot."""
        return self._end > max(self._log_most, 2 * self._slots.bytes)

    def append(self, records: Iterable[Record]) -> None:
        """Add records to the log and sync them. After an error the same call may be made again."""
        data = b"".join(slots.block(record, self.generation) for record in records)
        try:
            if self._doubtful:
                self._slots.erase_next()
                self._doubtful = False
            self._files.truncate(self._log, self._end)  # what an earlier call left half done
            self._files.write(self._log, data, self._end)
            self._files.sync(self._log)
        except OSError as error:
            raise StorageError(f"log: {error}") from error
        self._end += len(data)

    def write_slot(self, image: Image) -> None:
        """Write the other slot and begin its log. The present ones stay whole until both are synced."""
        try:
            log = self._begin_log(self.generation + 1)
            try:
                self._doubtful = True
                self._slots.write(image)
                self._doubtful = False
            except OSError:
                self._files.close(log)
                raise
        except OSError as error:
            raise StorageError(f"slot: {error}") from error
        with contextlib.suppress(OSError):
            self._files.close(self._log)
        self._log, self._end = log, slots.HEADER.size

    def _begin_log(self, generation: int) -> int:
        log = self._files.open(self._log_path(generation), truncate=True)
        try:
            self._files.write(log, slots.header(generation), 0)
            self._files.sync(log)
            self._files.sync_folder(self.folder)
        except OSError:
            self._files.close(log)
            raise
        return log

    def close(self) -> None:
        """Let go of the files."""
        if self._log >= 0:
            self._files.close(self._log)
            self._log = -1
