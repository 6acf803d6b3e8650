"""Who fills what: each node's slots at each worker, told in few bytes and believed for a short while. No I/O.

A datagram is a form byte, the time of telling (eight bits, in units of 64 ms) and entries of 16 bits,
big-endian: twelve of the worker's number, four of the slots that the sender fills there. Entries are
absolute and stand for `believed_ms`: one that is lost, doubled, cut off or forged bends the choice of a
worker for that long and nothing else. No rule rests on them.
"""

from __future__ import annotations

from collections import deque

FORM = 0x46  # no kind of the store's datagrams
HEAD = 2
UNIT_MS = 64.0  # of the time of telling, which comes round after 16 s
NAME_BITS, SLOT_MOST = 12, 15


def short(worker: int) -> int:
    """The part of a worker's number that is told; of a hundred workers a pair may share one."""
    return worker & (1 << NAME_BITS) - 1


class Fills:
    """The table of one node.

    Times are milliseconds: `now_ms` of this node's own clock, `common_ms` of one that
    all nodes read alike, which may be stepped.
    """

    def __init__(self, datagram_bytes: int, again_ms: float, believed_ms: float) -> None:
        self.entries_most = (datagram_bytes - HEAD) // 2
        self.again_ms = again_ms  # what goes on is told again after this
        self.believed_ms = believed_ms  # what is not told again is forgotten after this
        self._mine: dict[int, float] = {}
        self._told: dict[int, tuple[int, float]] = {}  # of mine: what the others were told last, and when
        self._due: dict[int, None] = {}  # to be told, in this order
        self._theirs: dict[tuple[int, int], tuple[int, float]] = {}  # by peer and worker: slots, heard at
        self._latest: dict[int, float] = {}  # by peer: the time of telling of its newest datagram
        self._ageing: deque[tuple[float, tuple[int, int]]] = deque()
        self._total: dict[int, int] = {}
        self._workers: dict[int, set[int]] = {}  # numbers by their short names
        self._changed: set[int] = set()

    # -- what this node fills

    def filled(self, worker: int, slots: float) -> None:
        """This node fills so many slots more, or fewer, at a worker."""
        name = short(worker)
        now = max(0.0, self._mine.get(name, 0.0) + slots)
        if now:
            self._mine[name] = now
        else:
            self._mine.pop(name, None)
        self._due[name] = None

    @property
    def goes_on(self) -> bool:
        """Whether the others were told of anything that has not ended yet."""
        return bool(self._told)

    def tell(self, now_ms: float, common_ms: float) -> bytes | None:
        """The next datagram, or None; more may be due than one holds."""
        for name, (_, at) in self._told.items():
            if now_ms - at >= self.again_ms:
                self._due[name] = None
        entries = b""
        while self._due and len(entries) < 2 * self.entries_most:
            name = next(iter(self._due))
            del self._due[name]
            slots = min(round(self._mine.get(name, 0.0)), SLOT_MOST)
            if self._told.get(name, (0, 0.0))[0] == 0 == slots:
                continue  # it came and went between two datagrams
            if slots:
                self._told[name] = slots, now_ms
            else:
                del self._told[name]
            entries += (name << 4 | slots).to_bytes(2, "big")
        if not entries:
            return None
        return bytes([FORM, int(common_ms / UNIT_MS) & 0xFF]) + entries

    def mine(self, worker: int) -> float:
        """Slots that this node fills at a worker."""
        return self._mine.get(short(worker), 0.0)

    def total(self, worker: int) -> float:
        """Slots that all nodes fill there, as far as this one has heard."""
        return self.mine(worker) + self._total.get(short(worker), 0)

    # -- what the others fill

    def know(self, worker: int) -> None:
        """This worker may be named from now on."""
        self._workers.setdefault(short(worker), set()).add(worker)
        if self._total.get(short(worker)):
            self._changed.add(short(worker))

    def forget(self, worker: int) -> None:
        """This worker is not asked for any more."""
        named = self._workers.get(short(worker), set())
        named.discard(worker)
        if not named:
            self._workers.pop(short(worker), None)

    def take(self, peer: int, data: bytes, now_ms: float, common_ms: float) -> None:
        """A peer's datagram; ValueError if it cannot be read. Old and overtaken ones are passed over."""
        if len(data) < HEAD or data[0] != FORM or (len(data) - HEAD) % 2:
            raise ValueError("not what a peer fills")
        age = ((int(common_ms / UNIT_MS) - data[1] + 0x80) & 0xFF) - 0x80
        told_ms = common_ms - age * UNIT_MS
        # guards against news late by seconds, and a clock that is ahead of ours
        if abs(age) * UNIT_MS > self.believed_ms:
            return
        # what is older than the latest by more than that was not overtaken: the clock was stepped back
        if UNIT_MS < self._latest.get(peer, 0.0) - told_ms <= self.believed_ms:
            return
        self._latest[peer] = told_ms
        for at in range(HEAD, len(data), 2):
            entry = int.from_bytes(data[at : at + 2], "big")
            self._set((peer, entry >> 4), entry & SLOT_MOST, now_ms)

    def _set(self, which: tuple[int, int], slots: int, now_ms: float) -> None:
        before = self._theirs.pop(which, (0, 0.0))[0]
        if slots:
            self._theirs[which] = slots, now_ms
            self._ageing.append((now_ms, which))
        if slots != before:
            total = self._total[which[1]] = self._total.get(which[1], 0) + slots - before
            if not total:
                del self._total[which[1]]
            self._changed.add(which[1])

    def news(self, now_ms: float) -> list[tuple[int, float]]:
        """Workers whose other fill has changed since the last call, with all that others fill there now."""
        while self._ageing and now_ms - self._ageing[0][0] > self.believed_ms:
            at, which = self._ageing.popleft()
            if self._theirs.get(which, (0, 0.0))[1] == at:
                self._set(which, 0, now_ms)
        changed, self._changed = self._changed, set()
        return [(w, float(self._total.get(n, 0))) for n in changed for w in self._workers.get(n, ())]
