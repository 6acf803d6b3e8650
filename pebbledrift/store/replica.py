"""Replication: entries and digests in datagrams of bounded size, to the peers of the configuration."""

from __future__ import annotations

import asyncio
import logging
import random
import struct
from collections.abc import Callable
from typing import Protocol

from pebbledrift.bounds import Limits
from pebbledrift.config import Address
from pebbledrift.store.repair import SUMS, Repair, unpack_sums
from pebbledrift.store.table import Entry, StoreError, Table, Version
from pebbledrift.store.tree import FANOUT

log = logging.getLogger(__name__)

ENTRY, DIGEST = 0x45, 0x44
ASKED, TOLD = 0x41, 0x54  # a digest of a node that does not know whether its own still holds; and the answer
_HEAD = struct.Struct("!BQHBH")  # kind, version's time and writer, length of key, of value
NO_VALUE = 0xFFFF


class Datagrams(Protocol):
    """Sends to one peer; loss is nobody's error."""

    def send(self, data: bytes, peer: Address) -> None:
        """Send one datagram."""


def pack(entry: Entry) -> bytes:
    """An entry as a datagram."""
    key, value = entry.key.encode(), entry.value or b""
    length = NO_VALUE if entry.value is None else len(value)
    return _HEAD.pack(ENTRY, entry.version.ms, entry.version.writer, len(key), length) + key + value


def unpack(data: bytes) -> Entry:
    """The entry in a datagram; ValueError if there is none."""
    try:
        kind, ms, writer, key_length, length = _HEAD.unpack_from(data)
    except struct.error as error:
        raise ValueError("too short") from error
    rest = data[_HEAD.size :]
    size = 0 if length == NO_VALUE else length
    if kind != ENTRY or len(rest) != key_length + size:
        raise ValueError("not an entry")
    value = None if length == NO_VALUE else rest[key_length:]
    return Entry(rest[:key_length].decode(), value, Version(ms, writer))


def pack_digest(digest: tuple[int, ...], kind: int = DIGEST) -> bytes:
    """A digest as a datagram."""
    return bytes([kind]) + b"".join(n.to_bytes(6, "big") for n in digest)


def unpack_digest(data: bytes) -> tuple[int, ...]:
    """The digest in a datagram."""
    if len(data) != 1 + 6 * FANOUT or data[0] not in (DIGEST, ASKED, TOLD):
        raise ValueError("not a digest")
    return tuple(int.from_bytes(data[1 + 6 * i : 7 + 6 * i], "big") for i in range(FANOUT))


class Replica:
    """Sends local writes to the peers; what a digest shows to differ is found and sent (repair.py)."""

    def __init__(
        self, table: Table, limits: Limits, peers: tuple[Address, ...], out: Datagrams, seed: int
    ) -> None:
        self.table = table
        self.limits = limits
        self.peers = peers
        self.out = out
        self.random = random.Random(seed)
        self.answers: Callable[[Address], bool] = lambda peer: True  # whether a peer may be there
        self.repairs: Callable[[], bool] = lambda: True  # whether anybody would hear a digest
        self.trusted = True  # what is held here is what somebody has confirmed, or has just told
        self.confirmed: Callable[[], None] = lambda: None  # it has become so
        self.repair = Repair(table, limits, pack)
        self._repairing: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        table.listeners.append(self._changed)
        self._digest_later()

    def _changed(self, entry: Entry) -> None:
        """A local write goes out at once; what a peer sent is not passed on, digests see to that."""
        if entry.version.writer == self.table.writer:
            for peer in self.peers:
                self.out.send(pack(entry), peer)

    def _digest_later(self) -> None:
        delay = self.limits.digest_ms * self.random.uniform(0.8, 1.2)
        self._loop.call_later(delay / 1000, self._digest)

    def _digest(self) -> None:
        self.table.forget(self.table.now_ms() - self.limits.forget_ms)
        # an empty store says nothing: on the platform every datagram has its price
        there = [peer for peer in self.peers if self.answers(peer)]
        if self.table.entries and there and self.repairs():
            self.out.send(pack_digest(self.table.digest()), self.random.choice(there))
        self._digest_later()

    def ask(self) -> None:
        """Ask all peers whether what is held here still holds, until one that knows has said so."""
        if not self.trusted:
            for peer in self.peers:
                self.out.send(pack_digest(self.table.digest(), ASKED), peer)
            self._loop.call_later(self.limits.store_ask_ms / 1000, self.ask)

    def received(self, data: bytes, peer: Address) -> None:
        """A datagram has come; ValueError or RecursionError if it cannot be read."""
        if data[:1] in (bytes([DIGEST]), bytes([ASKED]), bytes([TOLD])):
            theirs = unpack_digest(data)
            if data[0] == TOLD and not self.trusted and theirs == self.table.digest():
                self.trusted = True
                self.confirmed()
            elif data[0] != TOLD:
                self._repair(0, 0, theirs, peer)
            if data[0] == ASKED and self.trusted and peer in self.peers:
                self.out.send(pack_digest(self.table.digest(), TOLD), peer)
            return
        if data[:1] == bytes([SUMS]):
            self._repair(*unpack_sums(data), peer)
            return
        entry = unpack(data)
        self.table.check(entry)
        # guards the clock of versions against a peer far in the future: it would win for ever
        if entry.version.ms > self.table.now_ms() + self.limits.forget_ms:
            raise StoreError(f"{entry.key}: version from the future")
        self.table.merge(entry)

    def _repair(self, level: int, place: int, theirs: tuple[int, ...], peer: Address) -> None:
        """A peer's sums: find what differs, where it is a peer that may be sent something."""
        if peer in self.peers:
            self.repair.heard(peer, level, place, theirs)
            if self._repairing is None:
                self._send_repairs()

    def _send_repairs(self) -> None:
        for peer, data in self.repair.next(self.limits.repair_datagrams):
            self.out.send(data, peer)
        self._repairing = None
        if self.repair.waits:
            self._repairing = self._loop.call_later(self.limits.repair_ms / 1000, self._send_repairs)
