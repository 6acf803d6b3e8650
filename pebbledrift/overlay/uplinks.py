"""Selection of a router's uplinks: one node in each of a few zones, keepers before relays."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterator, Mapping

MAX_UPLINKS = 3
REFUSED_RETRY_S = 15.0  # a node that had no room is not asked again for this long
FAILED_RETRY_S = 2.0  # a node that was unreachable or sent nothing new is avoided for this long
MAX_AVOIDED = 64  # nodes remembered as refused or failed

Zones = Mapping[str, str]  # zone by address


class UplinkPlan:
    """Chooses uplinks among known keepers and relays, avoiding those that refused or failed recently."""

    def __init__(self, name: str, zone: str) -> None:
        self._name, self._zone = name, zone
        self._avoided: dict[str, float] = {}  # by address: time until which the node is avoided

    def note_refusal(self, address: str, now: float) -> None:
        """Record that a node had no room for another child."""
        self._avoid(address, now + REFUSED_RETRY_S)

    def note_failure(self, address: str, now: float) -> None:
        """Record that a node could not be reached or sent nothing."""
        self._avoid(address, now + FAILED_RETRY_S)

    def _avoid(self, address: str, until: float) -> None:
        self._avoided[address] = max(until, self._avoided.get(address, 0.0))
        while len(self._avoided) > MAX_AVOIDED:
            del self._avoided[next(iter(self._avoided))]

    def usable(self, address: str, now: float) -> bool:
        """Return whether a node has neither refused nor failed recently."""
        until = self._avoided.get(address)
        if until is not None and until <= now:
            del self._avoided[address]
            until = None
        return until is None

    def choose(self, keepers: Zones, relays: Zones, connected: Collection[str], now: float) -> list[str]:
        """Return the addresses of the uplinks, at most MAX_UPLINKS, taking one per zone in turn.

        The router's own zone comes first. Within a zone keepers come first, then relays that are already
        connected, then other relays.
        """
        by_zone: dict[str, list[str]] = {}
        for address, zone in {**relays, **keepers}.items():
            if self.usable(address, now):
                by_zone.setdefault(zone, []).append(address)
        for addresses in by_zone.values():
            addresses.sort(key=lambda a: (a not in keepers, a not in connected, self._rank(a)))
        zones = sorted(by_zone, key=lambda zone: (zone != self._zone, self._rank(zone)))
        chosen: list[str] = []
        for address in _round_robin([by_zone[zone] for zone in zones]):
            if len(chosen) >= MAX_UPLINKS:
                break
            chosen.append(address)
        return chosen

    def _rank(self, other: str) -> bytes:
        """Return a sort key that differs from router to router, which spreads them over a zone's keepers."""
        return hashlib.blake2b(f"{self._name} {other}".encode(), digest_size=8).digest()


def _round_robin(lists: list[list[str]]) -> Iterator[str]:
    """Yield the first item of each list, then the second of each, and so on."""
    for index in range(max(map(len, lists), default=0)):
        for items in lists:
            if index < len(items):
                yield items[index]
