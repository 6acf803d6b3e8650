"""Rates by key, as one node measures them and as groups of nodes add them up. No I/O.

A table of rates fits into one datagram whatever it holds: the heavy keys exactly, the rest in a count-min
sketch (Cormode and Muthukrishnan, 2005). A keyed hash selects the sketch's cells, so that nobody can choose
names that collide with another's. The estimate of a sketch is never less than the key's rate. Rates are
events a second.
"""

from __future__ import annotations

import hashlib
import math
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_HEAVY_KEYS = 20  # keys with exact rates in one table
SKETCH_ROWS, SKETCH_COLUMNS = 2, 8
MAX_CONFIGURED_RATES = 8  # in one message; a node with more sends them in rotation
ROUND_UP = 1.001  # half precision is off by at most 1 in 2,048: no encoded rate is too low
MAX_RATE = 60_000.0
TIME_CONSTANTS_MS = (300.0, 1000.0, 3000.0)  # of the exponential decay of counted events
MIN_DEVIATIONS = 3.5  # standard deviations between a short-term rate and the mean that show a change
SILENCE_EVENTS = 3.0  # expected events in a silence from which on it is no longer put down to chance
MIN_RATE = 0.002  # a lower mean, in events a second, counts as 0
_HEAD = struct.Struct("!HBBB")  # nodes, heavy keys, whether a sketch follows, configured rates
_RATE = struct.Struct("!He")
_CONFIGURED_RATE = struct.Struct("!Hf")
_SKETCH = struct.Struct(f"!{SKETCH_ROWS * SKETCH_COLUMNS}e")


class InvalidTable(ValueError):
    """The bytes are not an encoded table of rates."""


class RateMeter:
    """Measures the rate of events: the mean over three seconds, restarted at a significant change.

    Shorter averages are tested for a change as well, so that a large change shows within a third of a second
    and a small one within a second. The reported rate is constant while the mean moves by no more than its
    own uncertainty, so that the other nodes do not follow noise.
    """

    def __init__(self, start: float) -> None:
        self._updated_at = self._last_event_at = start
        self._events = [0.0] * len(TIME_CONSTANTS_MS)  # decayed counts, by time constant
        self._reported = 0.0

    def count(self, now: float, events: float = 1.0) -> None:
        """Counts events."""
        self._decay(now)
        self._events = [count + events for count in self._events]
        self._last_event_at = now

    def rate(self, now: float) -> float:
        """Returns events a second: the mean plus its uncertainty, as an upper estimate."""
        self._decay(now)
        for short in range(len(TIME_CONSTANTS_MS) - 1):
            recent, span = self._events[short], TIME_CONSTANTS_MS[short]
            expected = self._events[-1] * span / TIME_CONSTANTS_MS[-1]
            if abs(recent - expected) > MIN_DEVIATIONS * math.sqrt(max(expected, recent) / 2 + 1):
                for i in range(short + 1, len(TIME_CONSTANTS_MS)):  # the rate has jumped, up or down
                    self._events[i] = recent * TIME_CONSTANTS_MS[i] / span
                break
        silence = now - self._last_event_at
        if silence > TIME_CONSTANTS_MS[0]:
            # A long silence tells more than the decay: it caps each rate at one under which it is rare.
            self._events = [
                min(e, SILENCE_EVENTS * s / silence)
                for e, s in zip(self._events, TIME_CONSTANTS_MS, strict=True)
            ]
        mean = self._events[-1] * 1000 / TIME_CONSTANTS_MS[-1]
        uncertainty = math.sqrt(self._events[-1] / 2) * 1000 / TIME_CONSTANTS_MS[-1]
        if mean < MIN_RATE:
            self._reported = 0.0
        elif abs(mean + uncertainty - self._reported) > uncertainty:
            self._reported = mean + uncertainty
        return self._reported

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        if elapsed > 0:
            self._updated_at = now
            counts = zip(self._events, TIME_CONSTANTS_MS, strict=True)
            self._events = [events * math.exp(-elapsed / span) for events, span in counts]


@dataclass(slots=True)
class RateTable:
    """The summed rates of some nodes, and the lowest rates configured at these nodes, by key."""

    nodes: int = 0
    rates: dict[int, float] = field(default_factory=dict)
    sketch: list[float] = field(default_factory=lambda: [0.0] * (SKETCH_ROWS * SKETCH_COLUMNS))
    lowest_configured: dict[int, float] = field(default_factory=dict)

    def add(self, other: RateTable, times: int = 1) -> None:
        """Adds another table, or with `times` -1 subtracts one that was added before."""
        self.nodes += times * other.nodes
        for key, rate in other.rates.items():
            self.rates[key] = self.rates.get(key, 0.0) + times * rate
        self.sketch = [a + times * b for a, b in zip(self.sketch, other.sketch, strict=True)]
        for key, rate in other.lowest_configured.items() if times > 0 else ():
            self.lowest_configured[key] = min(rate, self.lowest_configured.get(key, math.inf))


class TableCodec:
    """Encodes and decodes tables of rates. All nodes of a group have the same secret."""

    def __init__(self, secret: bytes) -> None:
        self.secret = hashlib.blake2b(secret, digest_size=32, person=b"pebbledrift-lim").digest()
        self._cells: dict[int, tuple[int, ...]] = {}

    def cells(self, key: int) -> tuple[int, ...]:
        """Returns the index of the sketch cell that counts a key, for each row."""
        cells = self._cells.get(key)
        if cells is None:
            digest = hashlib.blake2b(
                key.to_bytes(2, "big"), key=self.secret, digest_size=SKETCH_ROWS
            ).digest()
            cells = self._cells[key] = tuple(
                row * SKETCH_COLUMNS + byte % SKETCH_COLUMNS for row, byte in enumerate(digest)
            )
        return cells

    def rate(self, table: RateTable, key: int) -> float:
        """Returns a key's rate, which may be too high but never too low."""
        estimate = min(table.sketch[cell] for cell in self.cells(key))
        return max(0.0, table.rates.get(key, 0.0)) + max(0.0, estimate)

    def pack(self, table: RateTable, rotation: int = 0) -> bytes:
        """Encodes a table; if not all configured rates fit, `rotation` selects the ones to include."""
        ranked = sorted(table.rates.items(), key=lambda item: -item[1])
        heavy, light = ranked[:MAX_HEAVY_KEYS], ranked[MAX_HEAVY_KEYS:]
        sketch = list(table.sketch)
        for key, rate in light:
            for cell in self.cells(key):
                sketch[cell] += rate
        configured = sorted(table.lowest_configured.items())
        if len(configured) > MAX_CONFIGURED_RATES:
            first = rotation * MAX_CONFIGURED_RATES % len(configured)
            configured = (configured + configured)[first : first + MAX_CONFIGURED_RATES]
        has_sketch = any(cell > 0 for cell in sketch)
        data = _HEAD.pack(min(table.nodes, 0xFFFF), len(heavy), has_sketch, len(configured))
        data += b"".join(_RATE.pack(key, _encoded_rate(rate)) for key, rate in heavy)
        data += _SKETCH.pack(*map(_encoded_rate, sketch)) if has_sketch else b""
        return data + b"".join(_CONFIGURED_RATE.pack(key, rate) for key, rate in configured)

    def unpack(self, data: bytes) -> RateTable:
        """Decodes a table. Raises InvalidTable."""
        try:
            nodes, heavy, has_sketch, configured = _HEAD.unpack_from(data)
            size = (
                _HEAD.size
                + heavy * _RATE.size
                + has_sketch * _SKETCH.size
                + configured * _CONFIGURED_RATE.size
            )
            if (
                len(data) != size
                or has_sketch > 1
                or heavy > MAX_HEAVY_KEYS
                or configured > MAX_CONFIGURED_RATES
            ):
                raise InvalidTable("table of rates has a wrong length or an invalid header")
            at = _HEAD.size
            rates = [_RATE.unpack_from(data, at + i * _RATE.size) for i in range(heavy)]
            at += heavy * _RATE.size
            sketch = (
                list(_SKETCH.unpack_from(data, at)) if has_sketch else [0.0] * (SKETCH_ROWS * SKETCH_COLUMNS)
            )
            at += has_sketch * _SKETCH.size
            lowest = [
                _CONFIGURED_RATE.unpack_from(data, at + i * _CONFIGURED_RATE.size) for i in range(configured)
            ]
        except struct.error as error:
            raise InvalidTable("table of rates is truncated") from error
        if not all(math.isfinite(x) and x >= 0 for x in (*_values(rates), *sketch, *_values(lowest))):
            raise InvalidTable("table of rates has a negative or non-finite rate")
        return RateTable(nodes, dict(rates), sketch, dict(lowest))


def _encoded_rate(rate: float) -> float:
    return min(MAX_RATE, max(0.0, rate) * ROUND_UP)


def _values(pairs: Iterable[tuple[int, float]]) -> list[float]:
    return [value for _, value in pairs]
