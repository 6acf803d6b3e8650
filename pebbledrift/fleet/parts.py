"""What the parts of a large fleet tell each other: which of their workers have room. No I/O.

What is filled at a worker is told to the nodes of its part alone (docs/large-fleet.md). A node that finds its
own part full looks at the others' workers, and knew nothing of them but what it sent itself: so did 160
nodes at once. So the nodes of a part take turns, by their numbers and the common clock, to tell all nodes
outside how many slots are free at those of their workers that have most.

A datagram is a form byte, the time of telling (eight bits, in units of 64 ms) and entries of 16 bits,
big-endian: twelve of the worker's number, four of its free slots. Who is not named has no room. As with
fills, what is lost, late or forged bends a choice for a while, and no rule rests on it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from pebbledrift.fleet.fills import HEAD, SLOT_MOST, UNIT_MS, short
from spoolpier.hashing import mix

FORM = 0x52  # no other kind of the peers' datagrams
NAMED_MOST = 16  # workers: so many with room are enough to choose from, and each byte has its price
NONE = 1e6  # slots that others fill where there is no room


@dataclass(frozen=True, slots=True)
class Place:
    """A worker as the list has it."""

    worker: int
    size: float  # slots
    warm: bool  # else the budget for cold workers bounds it, and nothing else has to


@dataclass(slots=True)
class _Heard:
    """The last word of one part."""

    at_ms: float
    stamp: int
    free: dict[int, int]


class Parts:
    """One node's view of the parts it does not belong to.

    Times are of a clock that all nodes read alike. It may be stepped: what was told before is old then.
    """

    def __init__(
        self, me: int, nodes: int, parts: int, every_ms: float, believed_ms: float, offers: int
    ) -> None:
        self.me, self.nodes, self.parts = me, nodes, parts
        self.every_ms = every_ms  # between two words of one part
        self.believed_ms = believed_ms
        self.offers = offers  # nodes that a free slot is offered to: not all of them need one
        self.part = me % parts
        self._heard: dict[int, _Heard] = {}
        self._changed = set(range(parts)) - {self.part}

    def wait_ms(self, now_ms: float) -> float:
        """How long until this node has the turn to tell for its part."""
        members = len(range(self.part, self.nodes, self.parts))
        round_ms = members * self.every_ms
        turn_ms = self.me // self.parts * self.every_ms
        return (turn_ms - now_ms) % round_ms or round_ms

    def tell(self, now_ms: float, free: Iterable[tuple[int, float]]) -> bytes:
        """The word of this node's part: of its workers, by number, the slots that are free."""
        room = [(slots, worker) for worker, slots in free if slots >= 1]
        room.sort(reverse=True)
        entries = [short(w) << 4 | min(int(slots), SLOT_MOST) for slots, w in room[:NAMED_MOST]]
        return bytes([FORM, int(now_ms / UNIT_MS) & 0xFF]) + b"".join(e.to_bytes(2, "big") for e in entries)

    def take(self, peer: int, data: bytes, now_ms: float) -> None:
        """A peer's word of its part; ValueError if it cannot be read. What was overtaken is passed over."""
        if len(data) < HEAD or data[0] != FORM or (len(data) - HEAD) % 2:
            raise ValueError("not what a part has free")
        part = peer % self.parts
        if part == self.part:
            return
        age = ((int(now_ms / UNIT_MS) - data[1] + 0x80) & 0xFF) - 0x80
        told_ms = now_ms - age * UNIT_MS
        before = self._heard.get(part)
        # guards against news late by seconds, and a clock that is ahead of ours
        overtaken = before is not None and UNIT_MS < before.at_ms - told_ms <= self.believed_ms
        if overtaken or abs(now_ms - told_ms) > self.believed_ms:
            return
        entries = [int.from_bytes(data[at : at + 2], "big") for at in range(HEAD, len(data), 2)]
        free = {entry >> 4: entry & SLOT_MOST for entry in entries}
        self._heard[part] = _Heard(told_ms, data[1], free)
        self._changed.add(part)

    def renew(self, part: int) -> None:
        """The list has changed at a part: its workers are looked at again."""
        if part != self.part:
            self._changed.add(part)

    def news(
        self, now_ms: float, places: Callable[[int], Iterable[Place]], mine: Callable[[int], float]
    ) -> Mapping[int, float]:
        """Slots that others fill at workers of parts that were heard of since the last call.

        `mine`: the slots that this node fills itself; they are in what the part tells, and must not count
        twice. Of a part that was not heard of for long, a worker is taken to have one slot left.
        """
        for part, heard in list(self._heard.items()):
            if abs(now_ms - heard.at_ms) > self.believed_ms:
                del self._heard[part]
                self._changed.add(part)
        if not self._changed:
            return {}
        changed, self._changed = self._changed, set()
        found: dict[int, float] = {}
        for place, word in [(p, self._heard.get(part)) for part in sorted(changed) for p in places(part)]:
            if not place.warm:
                found[place.worker] = 0.0
            elif word is None:
                found[place.worker] = max(0.0, place.size - 1)
            else:
                free = word.free.get(short(place.worker), 0)
                if free and self._offered(place.worker, word.stamp, free):
                    found[place.worker] = max(0.0, place.size - free - mine(place.worker))
                else:
                    found[place.worker] = NONE
        return found

    def _offered(self, worker: int, stamp: int, free: int) -> bool:
        """Whether a free slot is offered to this node: all nodes hear the same word at the same time."""
        outside = self.nodes - math.ceil(self.nodes / self.parts)
        return mix(worker ^ mix(self.me + 1) ^ mix(stamp)) % max(1, outside) < free * self.offers
