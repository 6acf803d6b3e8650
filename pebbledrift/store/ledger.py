"""What a member of the replicated log has promised, in the store's file (raft.Storage)."""

from __future__ import annotations

import base64
import json
import zlib

from pebbledrift.store.disk import Disk, DiskError
from pebbledrift.store.points import point
from pebbledrift.store.raft import Entry, Kind, Snapshot

AGAIN = "have it taken out of the members, and in again under another name"


class Ledger:
    """Term, vote, entries and snapshot. A call returns once it is on the disk; OSError: nothing was done.

    Raises DiskError where the file does not hold what was promised: such a member must not vote again under
    its name.
    """

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.term, self.vote = 0, ""
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        kept = disk.load_state("log.vote")
        if kept is not None:
            self.term, self.vote = int(kept[0]), str(kept[1])
        told = disk.load_state("log.snapshot")
        if told is not None:
            data = base64.b64decode(told["data"])
            self.snapshot = Snapshot(told["index"], told["term"], tuple(told["members"]), data)
        for index, term, kind, data, crc in disk.db.execute("SELECT * FROM log ORDER BY place"):
            if crc != _crc(index, term, kind, data):
                raise DiskError(f"{disk.path}: the log is damaged at {index}: {AGAIN}")
            if index > self.snapshot.index:
                if index != self.snapshot.index + len(self.entries) + 1:
                    raise DiskError(f"{disk.path}: the log has a gap before {index}: {AGAIN}")
                self.entries.append(Entry(term, Kind(kind), data))
        if disk.damaged and disk.known and kept is None:
            raise DiskError(f"{disk.path}: what this member has promised is lost: {AGAIN}")

    def save_vote(self, term: int, vote: str) -> None:
        """A later term, or a vote in this one."""
        self.disk.save_state("log.vote", [term, vote])
        self.term, self.vote = term, vote

    def save_entries(self, after: int, entries: list[Entry]) -> None:
        """Entries that follow index `after`; what was there behind it is gone."""
        rows = [
            (after + 1 + i, e.term, int(e.kind), e.data, _crc(after + 1 + i, e.term, int(e.kind), e.data))
            for i, e in enumerate(entries)
        ]
        point("log.write")
        with self.disk.synced() as db:
            db.execute("DELETE FROM log WHERE place > ?", (after,))
            db.executemany("INSERT INTO log VALUES (?, ?, ?, ?, ?)", rows)
        point("log.written")
        del self.entries[after - self.snapshot.index :]
        self.entries += entries

    def save_snapshot(self, snapshot: Snapshot, keep: list[Entry]) -> None:
        """The state up to an index; `keep` are the entries after it."""
        told = {
            "index": snapshot.index,
            "term": snapshot.term,
            "members": list(snapshot.members),
            "data": base64.b64encode(snapshot.data).decode(),
        }
        text = json.dumps(told)
        point("log.snapshot")
        with self.disk.synced() as db:
            self.disk.put_state(db, "log.snapshot", text)
            db.execute("DELETE FROM log")
            for i, e in enumerate(keep):
                index = snapshot.index + 1 + i
                row = (index, e.term, int(e.kind), e.data, _crc(index, e.term, int(e.kind), e.data))
                db.execute("INSERT INTO log VALUES (?, ?, ?, ?, ?)", row)
        point("log.snapshot kept")
        self.snapshot, self.entries = snapshot, list(keep)


def _crc(index: int, term: int, kind: int, data: bytes) -> int:
    return zlib.crc32(f"{index}\0{term}\0{kind}\0".encode() + data)
