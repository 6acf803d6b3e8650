"""What the supervisor decides, without I/O: who gets a connection, when a core starts again, who has what."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from pebbledrift.bounds import Limits
from pebbledrift.config import Config
from pebbledrift.discovery.states import STATES, UNKNOWN_STATE

STALE_S = 0.4  # a core that has not shown itself for so long is stopped, or has far too much to do
UNTAKEN = 8  # connections that one core has been passed and has not taken


class Revival:
    """When a core that has died is started again. Times in ms, of any clock that only advances."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self._deaths: deque[float] = deque()

    def died(self, now: float) -> float | None:
        """How long to wait before the next start; None: it has died too often, the node ends."""
        self._deaths.append(now)
        while self._deaths[0] <= now - self.limits.core_deaths_ms:
            self._deaths.popleft()
        if len(self._deaths) >= self.limits.core_deaths:
            return None
        doublings = min(len(self._deaths) - 1, 20)
        return min(self.limits.core_again_ms * 2.0**doublings, self.limits.core_again_most_ms)


@dataclass(slots=True)
class Load:
    """What is known of one core when a connection has to be dealt out."""

    core: int
    sockets: int  # that it holds, by its own word
    dealt: int = 0  # passed to it since it said so
    untaken: int = 0
    open: int = 0
    silent_s: float = 0.0  # since it has last shown itself


def deal(loads: list[Load]) -> int | None:
    """The core that gets the next connection: fewest sockets, then fewest open jobs. None: all have to wait.

    One that has not shown itself for a while gets none while another has.
    """
    able = [load for load in loads if load.untaken < UNTAKEN]
    awake = [load for load in able if load.silent_s < STALE_S] or able
    if not awake:
        return None
    return min(awake, key=lambda load: (load.sockets + load.dealt, load.open, load.core)).core


def part(config: Config, core: int) -> Config:
    """The configuration of one core. Tubes, inventory, store and peers have one owner: core 0."""
    cores, settings = config.cores, config.settings
    if cores.cold == "divided":
        # as if there were so many more dispatchers: they take turns at a cold worker
        settings = replace(
            settings,
            dispatchers=settings.dispatchers * cores.processes,
            me=settings.me * cores.processes + core,
        )
    mine = replace(
        config,
        settings=settings,
        seed=config.seed + core,
        admin=None,
        known={},
        discovery=None,
        front_fd=None,
    )
    if core:
        mine = replace(mine, beanstalk=None, inventory="", store_file="", peer_listen=None, peers=())
    return mine


@dataclass(slots=True)
class Roster:
    """The list of workers as discovery told it, put together from the whole and its changes.

    An entry that cannot be read stands for nothing here; each core says so when it passes it over.
    """

    targets: dict[str, Mapping[str, Any]] = field(default_factory=dict)
    rev: object = None
    cached: bool = True  # nothing was heard from discovery yet
    known: set[str] = field(default_factory=set)  # all uids that were ever listed

    def take(self, news: Mapping[str, Any], cached: bool = False) -> None:
        """Follow news."""
        listed = news.get("targets")
        found = [self._read(target) for target in listed] if isinstance(listed, list) else []
        entries = [target for target in found if target is not None]
        if news.get("all") or cached:
            self.targets.clear()
        for target in entries:
            uid = str(target["uid"])
            self.known.add(uid)
            if target["state"] == "terminated":
                self.targets.pop(uid, None)
            else:
                self.targets[uid] = target
        if "rev" in news:
            self.rev = news["rev"]
        self.cached = cached

    def _read(self, target: object) -> Mapping[str, Any] | None:
        """An entry; one of a known worker in a state that nobody knows counts as a drain."""
        if not isinstance(target, Mapping) or "uid" not in target:
            return None
        if target.get("state") in STATES:
            return target
        known = self.targets.get(str(target["uid"]))
        return None if known is None else {**known, "state": UNKNOWN_STATE}

    def whole(self) -> dict[str, Any]:
        """The list as one object, for a core that starts."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def in_service(self) -> set[str]:
        """The uids that may get jobs, bans aside."""
        return {uid for uid, target in self.targets.items() if target["state"] == "in_service"}
