"""Distributes the demand of each node to all others, at a cost that does not grow with the group. No I/O.

In a small group (up to `MAX_DIRECT_NODES`) every node sends to every other. A larger group is divided, by a
hash of the names, into about as many sectors as each has members: a member sends its rates to two aggregators
of its sector; these send the sector's sum to the aggregators of the other sectors, and to each of their
members the demand of all other nodes. So a node sends five or six datagrams a period on average, whether the
group has ten nodes or a thousand.

A change is sent at once and repeated twice; unchanged rates are sent again every period. So a change is known
everywhere within bounds.reach_ms if nothing is lost. A node that was not received for `believed_ms` no longer
counts, nor does its sector's sum: one side of a network partition knows the demand of its own side. Members
with different views may choose different aggregators; of two sums of a sector the one of more nodes counts.
Times are ms of a monotonic clock.
"""

from __future__ import annotations

import hashlib
import math
import struct
from dataclasses import dataclass, field
from typing import Any

from pebbledrift.limits.demand import RateTable, TableCodec

MAX_DIRECT_NODES = 9
AGGREGATORS = 2  # per sector
HOPS = 3
TICK_MS = 25.0  # a received message also waits for the receiver's next tick
UP, ACROSS, DOWN = 1, 2, 3  # message types: member's rates, sector's sum, total for a member
CHANGE_INTERVAL_MS = 50.0  # between two messages while a change is being sent
CHANGE_REPEATS = 3  # messages per change, because losses come in bursts
MIN_CHANGE = 0.01  # relative; a smaller change waits for the next period, and MARGIN covers it
MARGIN = 1.01  # factor by which a node raises its reported rates; sums are not raised again
FRESH_PERIODS = 2.5  # age up to which a message that covers more nodes is preferred to a newer one
_HEAD = struct.Struct("!BIBB")  # message type, the sender's sequence number, sectors, the sender's sector
Message = tuple[str, bytes]  # recipient, body


class InvalidMessage(ValueError):
    """The bytes are not a message of this protocol."""


@dataclass(slots=True)
class _Received:
    """The latest message of one sender."""

    sequence: int
    at: float
    table: RateTable
    # by key: lowest configured rate, and when it was received
    lowest_configured: dict[int, tuple[float, float]] = field(default_factory=dict)


@dataclass(slots=True)
class _SendSchedule:
    """The contents of the last message of one type, and when the next one is due."""

    nodes: int = 0
    rates: dict[int, float] = field(default_factory=dict)
    repeats_left: int = 0  # messages in which the last change has still to be sent
    at: float = -math.inf

    def due(self, now: float, period_ms: float, table: RateTable) -> bool:
        """Returns whether a message is due now, and if so records the table as sent."""
        keys = table.rates.keys() | self.rates.keys()
        pairs = ((table.rates.get(key, 0.0), self.rates.get(key, 0.0)) for key in keys)
        if table.nodes != self.nodes or any(abs(a - b) > MIN_CHANGE * max(a, b, 0.1) for a, b in pairs):
            self.repeats_left = CHANGE_REPEATS
        if now - self.at < (CHANGE_INTERVAL_MS if self.repeats_left else period_ms):
            return False
        self.nodes, self.rates = table.nodes, dict(table.rates)
        self.repeats_left, self.at = max(0, self.repeats_left - 1), now
        return True


def sectors(nodes: int) -> int:
    """Returns how many sectors a group of this size has."""
    return 1 if nodes <= MAX_DIRECT_NODES else max(2, round(math.sqrt(nodes)))


def _hash(*parts: object) -> int:
    text = "\0".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class DemandExchange:
    """One node's part in the exchange: sends its rates, aggregates those of others, and sums them up."""

    def __init__(self, name: str, codec: TableCodec, period_ms: float, believed_ms: float) -> None:
        self.name, self.codec = name, codec
        self.period_ms, self.believed_ms = period_ms, believed_ms
        self.sequence = 0
        self.dropped = 0
        self._nodes = 1
        self._alive: tuple[str, ...] = ()
        self._up, self._across, self._down = _SendSchedule(), _SendSchedule(), _SendSchedule()
        self._members: dict[str, _Received] = {}  # of this node's sector, if it is an aggregator
        self._sectors: dict[tuple[int, str], _Received] = {}  # other sectors, by sector and aggregator
        self._totals: dict[str, _Received] = {}  # of all nodes but this one, by aggregator
        self._sector_of: dict[tuple[str, int], int] = {}
        self._aggregators: dict[int, tuple[str, ...]] = {}

    # -- roles

    def update_members(self, alive: tuple[str, ...], nodes: int) -> None:
        """Sets the responding members, this one included, and the expected number of nodes."""
        if alive != self._alive or nodes != self._nodes:
            self._alive, self._nodes = alive, max(nodes, 1)
            self._aggregators.clear()

    @property
    def sectors(self) -> int:
        """The number of sectors, by the number of nodes that this node expects."""
        return sectors(self._nodes)

    def sector(self, name: str) -> int:
        """Returns the sector of a node's name."""
        key = (name, self.sectors)
        sector = self._sector_of.get(key)
        if sector is None:
            sector = self._sector_of[key] = _hash("sector", name) % self.sectors
        return sector

    def aggregators(self, sector: int) -> tuple[str, ...]:
        """Returns the aggregators of a sector: all of a small group, else the first by rendezvous hash."""
        names = self._aggregators.get(sector)
        if names is None:
            candidates = [name for name in {*self._alive, self.name} if self.sector(name) == sector]
            candidates.sort(key=lambda name: _hash("gatherer", name), reverse=True)
            names = self._aggregators[sector] = tuple(
                candidates if self.sectors == 1 else candidates[:AGGREGATORS]
            )
        return names

    @property
    def is_aggregator(self) -> bool:
        """Whether this node is an aggregator of its sector."""
        return self.name in self.aggregators(self.sector(self.name))

    # -- messages

    def tick(self, now: float, own: RateTable) -> list[Message]:
        """Returns the messages that are due now; `own` holds this node's rates."""
        self._expire(now)
        own_sector, messages = self.sector(self.name), list[Message]()
        if self._up.due(now, self.period_ms, own):
            body = self._encode(UP, _raised(own))
            messages += [(name, body) for name in self.aggregators(own_sector) if name != self.name]
        if self.sectors == 1 or not self.is_aggregator:
            return messages
        sector_sum = self._sector_sum(own)
        if self._across.due(now, self.period_ms, sector_sum):
            body = self._encode(ACROSS, sector_sum)
            own_aggregators = self.aggregators(own_sector)
            position = own_aggregators.index(self.name)
            for other in range(self.sectors):
                # Each aggregator receives each sector's sum from one of that sector's aggregators.
                targets = self.aggregators(other) if other != own_sector else ()
                messages += [
                    (name, body) for i, name in enumerate(targets) if i % len(own_aggregators) == position
                ]
        total = self._other_sectors(now)
        total.add(sector_sum)
        if self._down.due(now, self.period_ms, total):
            for name, received in self._members.items():
                total.add(received.table, -1)
                messages.append((name, self._encode(DOWN, total)))
                total.add(received.table)
        return messages

    def received(self, now: float, sender: str, body: bytes) -> None:
        """Processes another node's message.

        Drops a message that is older than the sender's last one, or that assumes another number of sectors.
        Raises InvalidMessage and InvalidTable.
        """
        try:
            message_type, sequence, sector_count, sector = _HEAD.unpack_from(body)
        except struct.error as error:
            raise InvalidMessage("demand message is truncated") from error
        table = self.codec.unpack(body[_HEAD.size :])
        if sector_count != self.sectors or message_type not in (UP, ACROSS, DOWN):
            self.dropped += 1  # the views differ for a while, or the message type is unknown
            return
        if message_type == UP and sector == self.sector(self.name):
            self._store(self._members, sender, now, sequence, table)
        elif message_type == ACROSS and sector != self.sector(self.name):
            self._store(self._sectors, (sector, sender), now, sequence, table)
        elif message_type == DOWN:
            self._store(self._totals, sender, now, sequence, table)

    def member_restarted(self, name: str) -> None:
        """Forgets a member's messages: its new incarnation restarts the sequence numbers."""
        self._members.pop(name, None)
        self._totals.pop(name, None)
        self._sectors = {key: received for key, received in self._sectors.items() if key[1] != name}

    def total(self, now: float) -> tuple[RateTable, float] | None:
        """Returns the known demand of all other nodes and its greatest age in ms.

        None if no message counts any more.
        """
        self._expire(now)
        if self.sectors == 1 or self.is_aggregator:
            messages = [*self._members.values(), *self._preferred(now).values()]
            if not messages:
                return None
            total = self._other_sectors(now)
            for received in self._members.values():
                total.add(_with_lowest_configured(received))
            return total, max(now - received.at for received in messages)
        if not self._totals:
            return None
        best = max(self._totals.values(), key=lambda received: self._rank(now, received))
        return _with_lowest_configured(best), now - best.at

    def lowest_rate_node(self, key: int) -> str:
        """Returns which directly received node has the lowest configured rate, or "" if unknown."""
        rates = {
            name: received.lowest_configured[key][0]
            for name, received in self._members.items()
            if key in received.lowest_configured
        }
        return min(rates, key=lambda name: rates[name], default="")

    def _rank(self, now: float, received: _Received) -> tuple[int, float]:
        """Of two messages on the same nodes prefers the one that covers more nodes, while it is fresh."""
        fresh = now - received.at <= FRESH_PERIODS * self.period_ms
        return (received.table.nodes if fresh else -1, received.at)

    def _preferred(self, now: float) -> dict[int, _Received]:
        best: dict[int, _Received] = {}
        for (sector, _), received in self._sectors.items():
            existing = best.get(sector)
            if existing is None or self._rank(now, received) > self._rank(now, existing):
                best[sector] = received
        return best

    def _other_sectors(self, now: float) -> RateTable:
        """Returns the demand of the other sectors."""
        total = RateTable()
        for received in self._preferred(now).values():
            total.add(_with_lowest_configured(received))
        return total

    def _sector_sum(self, own: RateTable) -> RateTable:
        total = RateTable()
        total.add(own)
        for received in self._members.values():
            total.add(_with_lowest_configured(received))
        return total

    def _encode(self, message_type: int, table: RateTable) -> bytes:
        self.sequence += 1
        head = _HEAD.pack(message_type, self.sequence & 0xFFFFFFFF, self.sectors, self.sector(self.name))
        return head + self.codec.pack(table, self.sequence)

    def _store(
        self, messages: dict[Any, _Received], key: object, now: float, sequence: int, table: RateTable
    ) -> None:
        last = messages.get(key)
        if last is not None and sequence <= last.sequence:
            self.dropped += 1
            return
        lowest = {k: (rate, now) for k, rate in table.lowest_configured.items()}
        messages[key] = _Received(
            sequence, now, table, {**last.lowest_configured, **lowest} if last is not None else lowest
        )

    def _expire(self, now: float) -> None:
        stores: tuple[dict[Any, _Received], ...] = (self._members, self._sectors, self._totals)
        for messages in stores:
            for key in [k for k, received in messages.items() if now - received.at > self.believed_ms]:
                del messages[key]
            for received in messages.values():
                expired = [
                    k for k, (_, at) in received.lowest_configured.items() if now - at > 4 * self.believed_ms
                ]
                for k in expired:
                    del received.lowest_configured[k]


def _raised(own: RateTable) -> RateTable:
    return RateTable(
        own.nodes,
        {k: MARGIN * rate for k, rate in own.rates.items()},
        own.sketch,
        own.lowest_configured,
    )


def _with_lowest_configured(received: _Received) -> RateTable:
    table = received.table
    return RateTable(
        table.nodes,
        table.rates,
        table.sketch,
        {k: rate for k, (rate, _) in received.lowest_configured.items()},
    )
