"""File operations used by durable storage, as an interface that tests can implement in memory."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Protocol


class Files(Protocol):
    """File operations. Every call may block, and raises OSError if the operation fails."""

    def read(self, path: Path) -> bytes:
        """Returns the content of a file, empty if the file does not exist."""

    def sizes(self, directory: Path) -> dict[Path, int]:
        """Returns the files of a directory with their sizes in bytes, none if it does not exist."""

    def make_directory(self, directory: Path) -> None:
        """Creates a directory and its parents if they do not exist."""

    def open(self, path: Path, truncate: bool = False) -> int:
        """Opens a file for reading and writing; `truncate` empties it, or creates it if it does not exist."""

    def write(self, descriptor: int, data: bytes, position: int) -> None:
        """Writes all bytes at a position."""

    def truncate(self, descriptor: int, size: int) -> None:
        """Sets the size of a file."""

    def sync(self, descriptor: int) -> None:
        """Makes the content of a file durable."""

    def sync_directory(self, directory: Path) -> None:
        """Makes the entries of a directory durable."""

    def remove(self, path: Path) -> None:
        """Removes a file."""

    def close(self, descriptor: int) -> None:
        """Closes a file."""


class SystemFiles:
    """File operations of the operating system."""

    def read(self, path: Path) -> bytes:
        """Returns the content of a file, empty if the file does not exist."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return b""

    def sizes(self, directory: Path) -> dict[Path, int]:
        """Returns the files of a directory with their sizes in bytes, none if it does not exist."""
        try:
            return {path: path.stat().st_size for path in directory.iterdir()}
        except FileNotFoundError:
            return {}

    def make_directory(self, directory: Path) -> None:
        """Creates a directory and its parents if they do not exist, and makes their entries durable.

        The entry of a directory that exists is synced too: the process that created it may have been killed
        before it had done so. A parent that may not be read is left to its owner.
        """
        missing = [path for path in directory.parents if not path.exists()]
        directory.mkdir(parents=True, exist_ok=True)
        for parent in {directory.parent, *(path.parent for path in missing)}:
            with contextlib.suppress(PermissionError):
                self.sync_directory(parent)

    def open(self, path: Path, truncate: bool = False) -> int:
        """Opens a file for reading and writing; `truncate` empties it, or creates it if it does not exist."""
        return os.open(path, os.O_RDWR | (os.O_CREAT | os.O_TRUNC if truncate else 0), 0o600)

    def write(self, descriptor: int, data: bytes, position: int) -> None:
        """Writes all bytes at a position."""
        remaining = memoryview(data)
        while remaining:
            count = os.pwrite(descriptor, remaining, position)
            position += count
            remaining = remaining[count:]

    def truncate(self, descriptor: int, size: int) -> None:
        """Sets the size of a file."""
        os.ftruncate(descriptor, size)

    def sync(self, descriptor: int) -> None:
        """Makes the content of a file durable."""
        os.fsync(descriptor)

    def sync_directory(self, directory: Path) -> None:
        """Makes the entries of a directory durable."""
        descriptor = os.open(directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, path: Path) -> None:
        """Removes a file."""
        path.unlink()

    def close(self, descriptor: int) -> None:
        """Closes a file."""
        os.close(descriptor)


SYSTEM_FILES = SystemFiles()
