"""The versioned table: what every replica agrees on in the end."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from pebbledrift.bounds import Limits
from pebbledrift.store.tree import Tree


class StoreError(ValueError):
    """A key or value that the store cannot hold."""


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """When and where an entry was written; ties of time go to the higher writer."""

    ms: int
    writer: int


@dataclass(frozen=True, slots=True)
class Entry:
    """One key's latest value; None says that it was removed."""

    key: str
    value: bytes | None
    version: Version

    def wins_over(self, other: Entry | None) -> bool:
        """Last writer wins; equal versions of different text are settled the same way everywhere."""
        if other is None or self.version != other.version:
            return other is None or self.version > other.version
        return (self.value or b"") > (other.value or b"")


Listener = Callable[[Entry], None]


class Table:
    """Entries by key. Local writes and a peer's entries go through the same rule."""

    def __init__(self, limits: Limits, writer: int, now_ms: Callable[[], float]) -> None:
        self.limits = limits
        self.writer = writer
        self.now_ms = now_ms
        self.entries: dict[str, Entry] = {}
        self.listeners: list[Listener] = []  # told of every change, the local ones included
        self.dropped: Callable[[list[str]], None] = lambda keys: None  # told of keys that were forgotten
        self._last = 0
        self.tree = Tree()

    def get(self, key: str) -> Any:
        """The value, or None."""
        entry = self.entries.get(key)
        return None if entry is None or entry.value is None else json.loads(entry.value)

    def items(self, prefix: str) -> Iterator[tuple[str, Any]]:
        """Keys and values under a prefix."""
        for key in sorted(k for k in self.entries if k.startswith(prefix)):
            value = self.get(key)
            if value is not None:
                yield key, value

    def set(self, key: str, value: Any) -> Entry:
        """Write a value; an equal one is not written again."""
        known = self.entries.get(key)
        data = json.dumps(value, separators=(",", ":"), sort_keys=True, ensure_ascii=False).encode()
        if known is not None and known.value == data:
            return known
        return self._write(key, data)

    def remove(self, key: str) -> None:
        """Remove a key; the fact is remembered for a while, or a peer would bring the key back."""
        known = self.entries.get(key)
        if known is not None and known.value is not None:
            self._write(key, None)

    def _write(self, key: str, data: bytes | None) -> Entry:
        # a version above all seen: a peer's faster clock must not hide a later write here
        self._last = max(int(self.now_ms()), self._last + 1)
        entry = Entry(key, data, Version(self._last, self.writer))
        self.check(entry)
        self.merge(entry)
        return entry

    def check(self, entry: Entry) -> None:
        """Refuse what one datagram could not carry."""
        size = len(entry.key.encode())
        if not 0 < size <= self.limits.store_key_bytes:
            raise StoreError(f"{entry.key[:80]}: a key has 1 to {self.limits.store_key_bytes} bytes")
        if entry.value is not None and len(entry.value) > self.limits.store_value_bytes:
            raise StoreError(f"{entry.key}: value over {self.limits.store_value_bytes} bytes")
        if entry.key not in self.entries and len(self.entries) >= self.limits.store_entries:
            raise StoreError(f"{entry.key}: the store is full")

    def merge(self, entry: Entry) -> bool:
        """Take an entry if it is newer than what is known."""
        known = self.entries.get(entry.key)
        if not entry.wins_over(known):
            return False
        self._last = max(self._last, entry.version.ms)
        if known is not None:
            self.tree.remove(known.key, _mark(known))
        self.tree.add(entry.key, _mark(entry))
        self.entries[entry.key] = entry
        for listener in self.listeners:
            listener(entry)
        return True

    def forget(self, older_ms: float) -> None:
        """Drop the memory of keys removed long ago."""
        old = [e for e in self.entries.values() if e.value is None and e.version.ms < older_ms]
        for entry in old:
            self.tree.remove(entry.key, _mark(entry))
            del self.entries[entry.key]
        if old:
            self.dropped([entry.key for entry in old])

    def digest(self) -> tuple[int, ...]:
        """One number for each child of the tree's root: equal where two replicas hold the same."""
        return self.tree.sums(0, 0)


def _mark(entry: Entry) -> int:
    """An entry's part in the sums."""
    text = f"{entry.key}\0{entry.version.ms}\0{entry.version.writer}\0".encode()
    value = b"-" if entry.value is None else entry.value
    return int.from_bytes(hashlib.blake2b(text + value, digest_size=6).digest(), "big")
