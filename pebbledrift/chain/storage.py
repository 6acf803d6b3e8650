"""A replica's durable storage: two slots written alternately, each followed by a short log of records.

Slots and logs start with their generation. The first record with a wrong checksum ends the log. A slot is
only overwritten once the other one and its log are synced.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path

from pebbledrift.chain import slots
from pebbledrift.chain.files import SYSTEM_FILES, Files
from pebbledrift.chain.messages import Image, Record
from pebbledrift.chain.recovery import RecoveredState, recover
from pebbledrift.cluster.errors import DamagedStorageError, StorageError

MAX_LOG_BYTES = 512 * 1024  # a log longer than this and twice its slot is replaced by a new slot


class Storage:
    """The files of one replica. Every call may block on the disk; only one thread may use it."""

    def __init__(
        self, directory: Path, files: Files = SYSTEM_FILES, max_log_bytes: int = MAX_LOG_BYTES
    ) -> None:
        self.directory, self._files, self._max_log_bytes = directory, files, max_log_bytes
        self._slots = slots.SlotPair(directory, "slot", files)
        # A failed write of the next slot may have left a complete slot there. It must be erased before a
        # record is added to the current log: a restart would otherwise use that slot and lose the record.
        self._next_slot_uncertain = False
        self._log_descriptor = -1
        self._synced_end = 0  # end of the synced records in the log
        self._discarded = False

    @property
    def generation(self) -> int:
        """The generation of the current slot."""
        return self._slots.generation

    def is_empty(self) -> bool:
        """Whether nothing was ever stored: no file is longer than its header. Raises StorageError."""
        try:
            return not self._discarded and all(
                size <= slots.HEADER.size for size in self._files.sizes(self.directory).values()
            )
        except OSError as error:
            raise StorageError(f"{self.directory}: {error}") from error

    def discard(self) -> None:
        """Removes all files; raises StorageError if that fails. The storage does not count as empty then."""
        self._discarded = True
        try:
            for path in self._files.sizes(self.directory):
                self._files.remove(path)
            self._files.sync_directory(self.directory)
        except OSError as error:
            raise StorageError(f"{self.directory}: {error}") from error

    def open(self) -> RecoveredState:
        """Reads the stored state and opens the log for appending.

        Raises DamagedStorageError if the state is damaged, and StorageError if the disk cannot be used at
        present; the call may be repeated then.
        """
        try:
            self._files.make_directory(self.directory)
            image = self._slots.newest()
            self._slots.sync_newest()
            self._check_not_damaged()
            records = self._read_log()
            self._open_log()
        except OSError as error:
            self.close()
            raise StorageError(f"{self.directory}: {error}") from error
        return recover(image if isinstance(image, Image) else None, records)

    def _log_path(self, generation: int) -> Path:
        return self.directory / f"log-{slots.SLOTS[generation % 2]}"

    def _check_not_damaged(self) -> None:
        """Raises DamagedStorageError if a newer slot was in use: the older one may lack later promises."""
        next_log = self._files.read(self._log_path(self.generation + 1))
        was_used = slots.decode_generation(next_log) == self.generation + 1
        if was_used and len(next_log) > slots.HEADER.size:
            raise DamagedStorageError(f"{self.directory}: the newest slot is damaged")

    def _read_log(self) -> list[Record]:
        data = self._files.read(self._log_path(self.generation))
        self._synced_end = 0
        if slots.decode_generation(data) != self.generation:
            return []
        self._synced_end = slots.HEADER.size
        records = []
        for record, end in slots.decode_blocks(data, self.generation):
            records.append(record)
            self._synced_end = end
        return records

    def _open_log(self) -> None:
        if not self._synced_end:
            self._log_descriptor = self._create_log(self.generation)
            self._synced_end = slots.HEADER.size
            return
        self._log_descriptor = self._files.open(self._log_path(self.generation))
        self._files.truncate(self._log_descriptor, self._synced_end)
        self._files.sync(self._log_descriptor)

    @property
    def needs_slot(self) -> bool:
        """Whether the log is longer than both the limit and twice the size of its slot."""
        return self._synced_end > max(self._max_log_bytes, 2 * self._slots.size_bytes)

    def append(self, records: Iterable[Record]) -> None:
        """Appends records to the log and syncs them. Raises StorageError; the call may then be repeated."""
        data = b"".join(slots.encode_block(record, self.generation) for record in records)
        try:
            if self._next_slot_uncertain:
                self._slots.erase_next()
                self._next_slot_uncertain = False
            self._files.truncate(self._log_descriptor, self._synced_end)  # drops what a failed call left
            self._files.write(self._log_descriptor, data, self._synced_end)
            self._files.sync(self._log_descriptor)
        except OSError as error:
            raise StorageError(f"cannot append to the log: {error}") from error
        self._synced_end += len(data)

    def write_slot(self, image: Image) -> None:
        """Writes the other slot and starts its log. On StorageError the current pair stays in use."""
        try:
            descriptor = self._create_log(self.generation + 1)
            try:
                self._next_slot_uncertain = True
                self._slots.write(image)
                self._next_slot_uncertain = False
            except OSError:
                self._files.close(descriptor)
                raise
        except OSError as error:
            raise StorageError(f"cannot write the slot: {error}") from error
        with contextlib.suppress(OSError):
            self._files.close(self._log_descriptor)
        self._log_descriptor, self._synced_end = descriptor, slots.HEADER.size

    def _create_log(self, generation: int) -> int:
        descriptor = self._files.open(self._log_path(generation), truncate=True)
        try:
            self._files.write(descriptor, slots.encode_header(generation), 0)
            self._files.sync(descriptor)
            self._files.sync_directory(self.directory)
        except OSError:
            self._files.close(descriptor)
            raise
        return descriptor

    def close(self) -> None:
        """Closes the log."""
        if self._log_descriptor >= 0:
            self._files.close(self._log_descriptor)
            self._log_descriptor = -1
