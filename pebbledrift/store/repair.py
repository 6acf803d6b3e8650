"""How two replicas that differ become alike: down the tree of sums, to what differs and nothing else. No I/O.

A digest (the sums of the root's children) says that something differs, and below which children. Whoever
has few entries below one sends these, and its sums there, so that the other sends what is missing or newer
on this side; whoever has many sends the sums of the next level; whoever hears that the other has nothing
there sends all. Each answer is one level deeper or about fewer entries, so that an exchange ends whatever
is refused on the other side; what was lost is found by the next digest.

What is to be sent waits in a queue of bounded length and goes out a few datagrams at a time: a replica that
has nothing may be sent everything, and must be able to read it.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable, Iterator

from pebbledrift.bounds import Limits
from pebbledrift.config import Address
from pebbledrift.store.table import Entry, Table
from pebbledrift.store.tree import FANOUT, LEVELS, children, node_of

SUMS = 0x53
FEW = 8  # entries below a node that are sent without asking further
QUEUE_MOST = 256  # nodes that wait to be sent, of all peers
_HEAD = struct.Struct("!BBH")  # kind, level, place
SUM_BYTES = 6


def pack_sums(level: int, place: int, sums: tuple[int, ...]) -> bytes:
    """The sums of a node's children as a datagram."""
    return _HEAD.pack(SUMS, level, place) + b"".join(n.to_bytes(SUM_BYTES, "big") for n in sums)


def unpack_sums(data: bytes) -> tuple[int, int, tuple[int, ...]]:
    """Level, place and sums in a datagram; ValueError where there are none."""
    try:
        kind, level, place = _HEAD.unpack_from(data)
    except struct.error as error:
        raise ValueError("too short") from error
    rest = data[_HEAD.size :]
    count = 1 if level == LEVELS else FANOUT
    if kind != SUMS or not 1 <= level <= LEVELS or len(rest) != SUM_BYTES * count:
        raise ValueError("no sums")
    if place != node_of(place, level):
        raise ValueError(f"no node of level {level}: {place}")
    return level, place, tuple(int.from_bytes(rest[i : i + 6], "big") for i in range(0, len(rest), 6))


class Repair:
    """What is to be sent to peers whose tables differ from this one. `pack` makes an entry's datagram."""

    def __init__(self, table: Table, limits: Limits, pack: Callable[[Entry], bytes]) -> None:
        self.table, self.limits, self.pack = table, limits, pack
        self.dropped = 0  # nodes for which there was no room: the next digest finds them again
        self._queue: deque[tuple[Address, Iterator[bytes]]] = deque()
        self._queued: set[tuple[Address, int, int]] = set()
        self._whole: set[tuple[Address, int, int]] = set()  # of these, those of which all is sent

    def heard(self, peer: Address, level: int, place: int, theirs: tuple[int, ...]) -> None:
        """A peer's sums of a node's children (of a leaf: its own), of which some may differ from these."""
        ours = self.table.tree.sums(level, place)
        if level == LEVELS:
            if ours != theirs:
                self._put(peer, level, place, self._entries(level, place))
            return
        for child, mine, other in zip(children(level, place), ours, theirs, strict=True):
            if mine == other:
                continue
            few = self.table.tree.count(level + 1, child) <= FEW
            if not other:  # it has nothing there, and nothing to say of it
                self._put(peer, level + 1, child, self._entries(level + 1, child), True)
            elif few or level + 1 == LEVELS:
                self._put(peer, level + 1, child, self._both(level + 1, child))
            else:
                self._put(peer, level + 1, child, self._sums(level + 1, child))

    @property
    def waits(self) -> bool:
        """Whether anything is to be sent."""
        return bool(self._queue)

    def next(self, most: int) -> list[tuple[Address, bytes]]:
        """Up to so many datagrams that go out now, each peer in its turn."""
        found: list[tuple[Address, bytes]] = []
        while self._queue and len(found) < most:
            peer, datagrams = self._queue.popleft()
            data = next(datagrams, None)
            if data is not None:
                found.append((peer, data))
                self._queue.append((peer, datagrams))
        return found

    def _put(
        self, peer: Address, level: int, place: int, datagrams: Iterator[bytes], whole: bool = False
    ) -> None:
        node = peer, level, place
        above = ((peer, up, node_of(place, up)) for up in range(1, level))
        if node in self._queued or any(n in self._whole for n in above):
            return  # it goes out as it is then
        if len(self._queue) >= QUEUE_MOST:
            self.dropped += 1
            return
        self._queued.add(node)
        if whole:
            self._whole.add(node)
        self._queue.append((peer, self._until_sent(node, datagrams)))

    def _until_sent(self, node: tuple[Address, int, int], datagrams: Iterator[bytes]) -> Iterator[bytes]:
        try:
            yield from datagrams
        finally:
            self._queued.discard(node)
            self._whole.discard(node)

    def _entries(self, level: int, place: int) -> Iterator[bytes]:
        # the table may change while this waits: the keys are taken once, the entries as they are then
        for key in list(self.table.tree.keys(level, place)):
            entry = self.table.entries.get(key)
            if entry is not None:
                yield self.pack(entry)

    def _sums(self, level: int, place: int) -> Iterator[bytes]:
        yield pack_sums(level, place, self.table.tree.sums(level, place))

    def _both(self, level: int, place: int) -> Iterator[bytes]:
        yield from self._entries(level, place)
        yield from self._sums(level, place)
