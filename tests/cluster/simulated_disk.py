"""A disk in memory. Synced data survives a power loss; later writes may be lost, kept or torn."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field
from pathlib import Path


class PowerLost(Exception):
    """The machine lost power during an operation."""


@dataclass
class Change:
    """A change since the last sync: data written at a position, or a truncation to it if there is no data."""

    position: int
    data: bytes | None


@dataclass
class File:
    """The durable content of a file, and the changes since its last sync."""

    synced: bytes = b""
    changes: list[Change] = field(default_factory=list)
    named: bool = False  # its directory entry is durable

    def content(self) -> bytes:
        """The content that a reader sees."""
        return apply(self.synced, self.changes)


def apply(data: bytes, changes: list[Change]) -> bytes:
    """Applies changes to the content of a file."""
    content = bytearray(data)
    for change in changes:
        if change.data is None:
            del content[change.position :]
            content.extend(bytes(change.position - len(content)))
        else:
            content.extend(bytes(max(0, change.position - len(content))))
            content[change.position : change.position + len(change.data)] = change.data
    return bytes(content)


class SimulatedFiles:
    """The simulated files of one machine; implements `pebbledrift.chain.files.Files`."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.files: dict[Path, File] = {}
        self._removed: dict[Path, File] = {}  # a power loss may restore their directory entries
        self._open: dict[int, tuple[Path, File]] = {}
        self._last_descriptor = 0
        self.full = False
        self.power_fails_at: int | None = None  # number of operations until the power is lost

    # interface used by Storage

    def read(self, path: Path) -> bytes:
        file = self.files.get(path)
        return file.content() if file is not None else b""

    def sizes(self, directory: Path) -> dict[Path, int]:
        return {path: len(file.content()) for path, file in self.files.items()}

    def make_directory(self, directory: Path) -> None:
        """Does nothing: there is only one directory."""

    def open(self, path: Path, truncate: bool = False) -> int:
        self._count_operation()
        file = self.files.get(path)
        if file is None:
            if not truncate:
                raise FileNotFoundError(errno.ENOENT, str(path))
            file = self.files[path] = File()
        elif truncate:
            file.changes.append(Change(0, None))
        self._last_descriptor += 1
        self._open[self._last_descriptor] = path, file
        return self._last_descriptor

    def write(self, descriptor: int, data: bytes, position: int) -> None:
        self._count_operation()
        file = self._open[descriptor][1]
        if self.full:
            raise OSError(errno.ENOSPC, "disk full")
        file.changes.append(Change(position, bytes(data)))

    def truncate(self, descriptor: int, size: int) -> None:
        self._count_operation()
        file = self._open[descriptor][1]
        if size != len(file.content()):
            file.changes.append(Change(size, None))

    def sync(self, descriptor: int) -> None:
        self._count_operation()
        path, file = self._open[descriptor]
        file.synced, file.changes = file.content(), []
        if self.files.get(path) is file:
            file.named = True

    def sync_directory(self, directory: Path) -> None:
        self._count_operation()
        self._removed.clear()
        for file in self.files.values():
            file.named = True

    def remove(self, path: Path) -> None:
        self._count_operation()
        self._removed[path] = self.files.pop(path)

    def close(self, descriptor: int) -> None:
        self._open.pop(descriptor, None)

    # faults

    def _count_operation(self) -> None:
        """Raises PowerLost once `power_fails_at` operations have been performed."""
        if self.power_fails_at is None:
            return
        self.power_fails_at -= 1
        if self.power_fails_at < 0:
            raise PowerLost

    def lose_power(self) -> None:
        """Keeps synced data. Unsynced changes are all lost, or each is kept, lost or torn at random."""
        self.power_fails_at = None
        all_lost = self.random.random() < 0.3
        for path in list(self._removed):
            if not all_lost and self.random.random() < 0.5:
                self.files.setdefault(path, self._removed[path])
        self._removed.clear()
        for path, file in list(self.files.items()):
            if not file.named and (all_lost or self.random.random() < 0.5):
                del self.files[path]
                continue
            kept = [] if all_lost else [part for change in file.changes for part in self._kept_part(change)]
            file.synced, file.changes = apply(file.synced, kept), []
            file.named = True
        self._open.clear()

    def _kept_part(self, change: Change) -> list[Change]:
        """The part of an unsynced change that survives a power loss."""
        draw = self.random.random()
        if draw < 0.4:
            return []
        if draw < 0.7 or change.data is None or len(change.data) < 2:
            return [change]
        return [Change(change.position, change.data[: self.random.randrange(1, len(change.data))])]
