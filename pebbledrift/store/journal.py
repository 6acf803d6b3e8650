"""The append-only file of a store, where the operator has a disk."""

from __future__ import annotations

import base64
import json
import logging
import os
import zlib
from pathlib import Path

from pebbledrift.store.table import Entry, Table, Version

log = logging.getLogger(__name__)


def line(entry: Entry) -> bytes:
    """One entry as a line with its checksum."""
    value = None if entry.value is None else base64.b64encode(entry.value).decode()
    text = json.dumps([entry.key, value, entry.version.ms, entry.version.writer]).encode()
    return b"%08x " % zlib.crc32(text) + text + b"\n"


def parse(raw: bytes) -> Entry:
    """The entry of a line; ValueError if the line is torn or changed."""
    crc, _, text = raw.partition(b" ")
    if int(crc, 16) != zlib.crc32(text):
        raise ValueError("checksum does not match")
    key, value, ms, writer = json.loads(text)
    data = None if value is None else base64.b64decode(value, validate=True)
    return Entry(str(key), data, Version(int(ms), int(writer)))


class Journal:
    """Appends every change of a table; written anew at the start and when most lines are outdated."""

    def __init__(self, path: str, table: Table) -> None:
        self.path = Path(path)
        self.table = table
        self._read()
        self._write_anew()
        table.listeners.append(self.append)

    def _write_anew(self) -> None:
        fresh = self.path.with_name(self.path.name + ".new")
        with fresh.open("wb") as file:
            for entry in self.table.entries.values():
                file.write(line(entry))
            file.flush()
            os.fsync(file.fileno())
        fresh.replace(self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        os.fsync(folder)  # or the new name may be lost with the machine, and with it all intents
        os.close(folder)
        self.file = self.path.open("ab", buffering=0)
        self.lines = len(self.table.entries)

    def _read(self) -> None:
        if not self.path.exists():
            return
        for number, raw in enumerate(self.path.read_bytes().split(b"\n"), 1):
            if raw:
                try:
                    self.table.merge(parse(raw))
                except ValueError as error:
                    # the last line may be torn by a crash: it was not synced, so nothing rests on it
                    log.warning("line passed over", extra={"line": number, "reason": str(error)})

    def append(self, entry: Entry) -> None:
        """Write a change; it is safe from a crash of the process, and after sync from one of the machine."""
        if self.lines >= self.table.limits.journal_lines + 4 * len(self.table.entries):
            # guards the disk: a node that runs for months would fill it with states long over
            self.file.close()
            self._write_anew()  # this entry is in the table by now
            return
        self.file.write(line(entry))
        self.lines += 1

    def sync(self) -> None:
        """Return when all that was written is on the disk."""
        os.fsync(self.file.fileno())

    def close(self) -> None:
        """End the file."""
        self.sync()
        self.file.close()
