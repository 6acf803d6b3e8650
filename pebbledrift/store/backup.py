"""Backups of what the store's members have agreed on: files beside a member's store, and what differs since.

A backup holds the state that the log had made at one index, under a checksum. It is no store file and votes
for nobody: its values come back as new writes of the log, where a majority takes them (docs/store.md).
"""

from __future__ import annotations

import json
import os
import re
import tempfile
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pebbledrift.store.agreed import Agreed, Value

FORM = 1
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
ENDING = ".backup"


class BackupError(Exception):
    """A backup that cannot be written or read; the message says why."""


@dataclass(frozen=True, slots=True)
class Difference:
    """One key that differs: its value then and now, None where there was or is none."""

    key: str
    then: Value | None
    now: Value | None

    def line(self) -> str:
        """As operators read it."""
        if self.then is None:
            return f"+ {self.key} version {self.now.version if self.now is not None else 0}"
        if self.now is None:
            return f"- {self.key} version {self.then.version}"
        return f"~ {self.key} version {self.then.version} to {self.now.version}"


def place(store: Path, name: str) -> Path:
    """Where a backup of this name lies; BackupError for names that would lie elsewhere."""
    if not NAME.fullmatch(name):
        raise BackupError("a backup's name has 1 to 64 letters, digits, dots, dashes and underscores")
    return store.with_name(f"{store.name}.{name}{ENDING}")


def write(path: Path, index: int, state: bytes) -> int:
    """Write a backup, whole or not at all, on the disk once this returns; returns its size in bytes.

    One that is there is not written over. Raises BackupError.
    """
    body = b'{"form":%d,"index":%d,"state":%s}' % (FORM, index, state)
    data = b"%08x " % zlib.crc32(body) + body
    try:
        with tempfile.NamedTemporaryFile(dir=path.parent, prefix=f"{path.name}.part-") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
            os.link(file.name, path)  # fails where there is one already
        folder = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except FileExistsError as error:
        raise BackupError(f"{path.name}: there is one already") from error
    except OSError as error:
        raise BackupError(f"{path.name}: {error.strerror or error}") from error
    return len(data)


def read(path: Path) -> tuple[int, Agreed]:
    """A backup's index and state. Raises BackupError."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise BackupError(f"{path.name}: {error.strerror or error}") from error
    checksum, _, body = data.partition(b" ")
    state = Agreed()
    try:
        if int(checksum, 16) != zlib.crc32(body):
            raise ValueError("checksum does not match")
        told: dict[str, Any] = json.loads(body)
        if told["form"] != FORM:
            raise BackupError(f"{path.name}: written by a later program (form {told['form']}, not {FORM})")
        state.give(json.dumps(told["state"]).encode())
        return int(told["index"]), state
    except (ValueError, KeyError, TypeError) as error:
        raise BackupError(f"{path.name}: damaged: {error}") from error


def differences(then: Agreed, now: Agreed) -> list[Difference]:
    """Keys whose values are others than in a backup, in order of key."""
    keys = sorted(then.values.keys() | now.values.keys())
    found = [Difference(key, then.values.get(key), now.values.get(key)) for key in keys]
    return [d for d in found if _text(d.then) != _text(d.now)]


def _text(value: Value | None) -> str:
    """A value as JSON, where 1 and true are two; "" for none."""
    return json.dumps(value.value, sort_keys=True) if value is not None else ""
