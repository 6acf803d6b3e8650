"""The file of a store: an SQLite database, where the operator has a disk (docs/store.md).

A change is committed before the call returns: it survives the process, as the kernel has it. After `sync` it
survives the machine. Rows carry a checksum of their own, since SQLite does not check what is in a page: one
that is damaged is set aside in a table, and nothing is made up in its place. A file that is no sound
database is set aside under a name that says so, and the node starts with nothing, knowing that it does.
"""

from __future__ import annotations

import base64
import contextlib
import json
import logging
import sqlite3
import time
import zlib
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

from pebbledrift.store.points import point
from pebbledrift.store.table import Entry, Table, Version

log = logging.getLogger(__name__)

SCHEMA = 2  # 1: without the replicated log
BUSY_MS = 2000  # another process of an upgrade may be writing
TABLES = {
    "entries": "(key TEXT PRIMARY KEY, value BLOB, ms INTEGER, writer INTEGER, crc INTEGER) WITHOUT ROWID",
    "state": "(name TEXT PRIMARY KEY, value TEXT, crc INTEGER) WITHOUT ROWID",
    "damaged": "(source TEXT, row TEXT, found REAL)",
    "log": "(place INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, data BLOB, crc INTEGER)",
}


class DiskError(Exception):
    """A file that this program cannot work with; the message says why."""


def crc(entry: Entry) -> int:
    """An entry's checksum."""
    value = b"-" if entry.value is None else b"+" + entry.value
    text = f"{entry.key}\0{entry.version.ms}\0{entry.version.writer}\0".encode()
    return zlib.crc32(text + value)


def _unreadable(error: Exception) -> bool:
    """Whether a file could not be looked at (no place, no right, in use, a bad disk): it may be sound."""
    return isinstance(error, sqlite3.OperationalError) and "malformed" not in str(error)


class Disk:
    """A table's entries and the node's own state, in a file.

    A change of the table that cannot be written stays owed (`unwritten`), and is written before later ones.
    The table goes on, and `sync` raises OSError until the file has all of it.
    """

    def __init__(self, path: str, table: Table) -> None:
        self.path = Path(path)
        self.table = table
        self.damaged = 0  # rows, or the file itself, that were set aside
        self.known = False  # the file was there before: what it says is a memory
        self.locked = False  # opened for this process alone, as there was no room for more
        self.unwritten: dict[str, Entry] = {}  # changes that the file does not have, in their order
        self.failed: Callable[[OSError], None] = lambda error: None  # told of each change that stays owed
        lines = self._earlier_form()
        self.db = self._open()
        for raw in lines:
            self._take_line(raw)
        try:
            self._read()
        except (sqlite3.DatabaseError, UnicodeError) as error:  # what the check did not look into
            self.db.close()
            if _unreadable(error):
                raise DiskError(f"{self.path}: {error}") from error
            self._set_aside(str(error))
            self.db = self._connect()
            for entry in table.entries.values():  # what could be read, each under its checksum
                self._write(entry)
        table.listeners.append(self.append)
        table.dropped = self.forgotten

    # -- life

    def _open(self) -> sqlite3.Connection:
        self.known = self.known or self.path.exists()
        try:
            return self._connect_on_any_disk()
        except DiskError:
            raise
        except (sqlite3.DatabaseError, UnicodeError) as error:
            if _unreadable(error):
                raise DiskError(f"{self.path}: {error}") from error
            self._set_aside(str(error))
            return self._connect()

    def _connect_on_any_disk(self) -> sqlite3.Connection:
        """A full disk has no room for the index that processes share: one alone has it in its memory."""
        try:
            return self._connect()
        except sqlite3.OperationalError as error:
            if not self.known or not _unreadable(error) or "locked" in str(error):
                raise
        found = self._connect(alone=True)
        self.locked = True
        return found

    def share(self) -> None:
        """The disk is well: have the file open as other processes may have it too."""
        if self.locked:
            with self._errors():
                self.db.close()
                self.db = self._connect()
            self.locked = False

    def _connect(self, alone: bool = False) -> sqlite3.Connection:
        written = self.path.exists() and self.path.stat().st_size > 0
        db = sqlite3.connect(self.path, timeout=BUSY_MS / 1000, isolation_level=None)
        # a damaged row is to be seen by its checksum
        db.text_factory = lambda text: text.decode(errors="surrogateescape")
        try:
            if alone:
                db.execute("PRAGMA locking_mode=EXCLUSIVE")
            found = db.execute("PRAGMA quick_check").fetchall()
            if found != [("ok",)]:
                raise sqlite3.DatabaseError(f"malformed: {found[0][0]}")
            (version,) = db.execute("PRAGMA user_version").fetchone()
            if written and not version:
                raise sqlite3.DatabaseError("malformed: no schema")  # SQLite takes a stump for an empty file
            if version > SCHEMA:
                raise DiskError(f"{self.path}: written by a later program (schema {version}, not {SCHEMA})")
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=NORMAL")
            (page,) = db.execute("PRAGMA page_size").fetchone()
            db.execute(f"PRAGMA max_page_count={max(64, self.table.limits.store_file_bytes // page)}")
            for name, columns in TABLES.items():
                db.execute(f"CREATE TABLE IF NOT EXISTS {name} {columns}")
            if version != SCHEMA:  # a start on a full disk has nothing to write
                db.execute(f"PRAGMA user_version={SCHEMA}")
        except BaseException:
            db.close()
            raise
        return db

    def _set_aside(self, reason: str) -> None:
        """Guards what a damaged file may still tell: it is kept under another name, and said to be."""
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        aside = self.path.with_name(f"{self.path.name}.damaged-{stamp}")
        for ending in ("", "-wal", "-shm"):
            part = self.path.with_name(self.path.name + ending)
            if part.exists():
                part.replace(aside.with_name(aside.name + ending))
        self.damaged += 1
        log.error("store damaged, set aside", extra={"file": str(aside), "reason": reason})

    def _earlier_form(self) -> list[bytes]:
        """The lines of a file in the earlier, textual form, which is kept under another name."""
        try:
            head = self.path.open("rb").read(16)
        except OSError:
            return []
        if not head or head.startswith(b"SQLite format 3"):
            return []
        crc_text, space, _ = head.partition(b" ")
        if not space or len(crc_text) != 8 or not all(c in b"0123456789abcdef" for c in crc_text):
            return []
        raw = self.path.read_bytes()
        kept = self.path.with_name(self.path.name + ".earlier-form")
        self.path.replace(kept)
        log.warning("store taken over from its earlier form", extra={"kept": str(kept)})
        self.known = True
        return [line for line in raw.split(b"\n") if line]

    def _take_line(self, raw: bytes) -> None:
        checksum, _, text = raw.partition(b" ")
        try:
            if int(checksum, 16) != zlib.crc32(text):
                raise ValueError("checksum does not match")
            key, value, ms, writer = json.loads(text)
            data = None if value is None else base64.b64decode(value, validate=True)
            entry = Entry(str(key), data, Version(int(ms), int(writer)))
        except (ValueError, TypeError) as error:
            # the last line may be torn by a crash: it was not synced, so nothing rests on it
            self._aside("line", raw, str(error))
            return
        if self.table.merge(entry):
            self._write(entry)

    def read_again(self) -> None:
        """Take in what another process, now ended, wrote. Raises OSError where that cannot be looked at."""
        try:
            self._read()
        except sqlite3.OperationalError as error:
            if not _unreadable(error):
                raise
            raise OSError(f"{self.path}: {error}") from error

    def _read(self) -> None:
        """Take in what the file says."""
        for key, value, ms, writer, checksum in self.db.execute("SELECT * FROM entries").fetchall():
            try:
                data = None if value is None else bytes(value)
                entry = Entry(str(key), data, Version(int(ms), int(writer)))
                if crc(entry) != checksum:
                    raise ValueError("checksum does not match")
            except (TypeError, ValueError) as error:
                self._aside("entries", (key, value, ms, writer, checksum), str(error))
                with contextlib.suppress(sqlite3.OperationalError):  # damaged at the next start too
                    self.db.execute("DELETE FROM entries WHERE key IS ?", (key,))
                continue
            self.table.merge(entry)

    def _aside(self, source: str, row: object, reason: str) -> None:
        self.damaged += 1
        with contextlib.suppress(sqlite3.OperationalError):  # a full disk: the log has it
            self.db.execute("INSERT INTO damaged VALUES (?, ?, ?)", (source, repr(row)[:4096], time.time()))
        told = {"source": source, "row": repr(row)[:120], "reason": reason}
        log.error("row damaged, set aside", extra=told)

    # -- entries

    def append(self, entry: Entry) -> None:
        """Write a change of the table, or owe it."""
        self.unwritten[entry.key] = entry
        try:
            self.catch_up()
        except OSError as error:
            self.failed(error)

    def catch_up(self) -> None:
        """Write what is owed. Raises OSError where something still is."""
        with self._errors():
            while self.unwritten:
                key, entry = next(iter(self.unwritten.items()))
                point("disk.write")
                self._write(entry)
                point("disk.written")
                del self.unwritten[key]

    def _write(self, entry: Entry) -> None:
        values = (entry.key, entry.value, entry.version.ms, entry.version.writer, crc(entry))
        # an older one of the other process of an upgrade must not take a newer one's place
        self.db.execute(
            "INSERT INTO entries VALUES (?, ?, ?, ?, ?) ON CONFLICT (key) DO UPDATE SET"
            " value = excluded.value, ms = excluded.ms, writer = excluded.writer, crc = excluded.crc"
            " WHERE (excluded.ms, excluded.writer) >= (ms, writer)",
            values,
        )

    def forgotten(self, keys: Iterable[str]) -> None:
        """The table has dropped these for good. Where the file keeps them, they go at a later start."""
        gone = list(keys)
        for key in gone:
            self.unwritten.pop(key, None)
        try:
            with self._errors():
                self.db.executemany("DELETE FROM entries WHERE key = ?", [(key,) for key in gone])
        except OSError as error:
            self.failed(error)

    def sync(self) -> None:
        """Return when all changes are on the disk. Raises OSError where one is not."""
        self.catch_up()
        point("disk.sync")
        with self.synced() as db:
            db.execute("INSERT OR REPLACE INTO state VALUES ('synced', '', 0)")
        point("disk.synced")

    @contextlib.contextmanager
    def synced(self) -> Iterator[sqlite3.Connection]:
        """Writes that are on the disk together once this is over, or not at all, with an OSError."""
        try:
            self.db.execute("PRAGMA synchronous=FULL")
            self.db.execute("BEGIN IMMEDIATE")
            try:
                yield self.db
                self.db.execute("COMMIT")
            except BaseException:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
                raise
            finally:
                self.db.execute("PRAGMA synchronous=NORMAL")
        except sqlite3.Error as error:
            raise OSError(f"{self.path}: {error}") from error

    # -- the node's own state

    def load_state(self, name: str) -> Any:
        """What was saved under a name, or None; what is damaged is set aside and None."""
        with self._errors():
            row = self.db.execute("SELECT value, crc FROM state WHERE name = ?", (name,)).fetchone()
        if row is None:
            return None
        try:
            if zlib.crc32(f"{name}\0{row[0]}".encode()) != row[1]:
                raise ValueError("checksum does not match")
            return json.loads(row[0])
        except (ValueError, TypeError) as error:
            self._aside("state", (name, *row), str(error))
            return None

    def save_state(self, name: str, value: Any) -> None:
        """Keep a value, on the disk when this returns."""
        text = json.dumps(value, separators=(",", ":"), sort_keys=True)
        point("disk.state")
        with self.synced() as db:
            self.put_state(db, name, text)
        point("disk.kept")

    def put_state(self, db: sqlite3.Connection, name: str, text: str) -> None:
        """Keep a value, as JSON, together with other writes."""
        row = (name, text, zlib.crc32(f"{name}\0{text}".encode()))
        db.execute("INSERT OR REPLACE INTO state VALUES (?, ?, ?)", row)

    def snapshot(self, path: str) -> None:
        """A copy of the whole file as it is now, by the database's own means, while writes go on."""
        with self._errors():
            target = sqlite3.connect(path)
            try:
                self.db.backup(target)
            finally:
                target.close()

    def close(self) -> None:
        """End the file. Raises OSError where a change is lost with it."""
        try:
            self.sync()
        finally:
            self.db.close()

    def _errors(self) -> _Errors:
        return _Errors(self.path)


class _Errors:
    """A write that the database refuses is an OSError, as of any file."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def __enter__(self) -> None:
        pass

    def __exit__(self, kind: object, error: BaseException | None, trace: object) -> None:
        if isinstance(error, sqlite3.Error):
            raise OSError(f"{self.path}: {error}") from error
