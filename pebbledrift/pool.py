"""The pool of workers: those in discovery's list and in the inventory, and the operators' bans."""

from __future__ import annotations

import functools
import hashlib
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from pebbledrift import logs
from pebbledrift.config import Address, Config, ConfigError, address
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.core.model import Destination
from pebbledrift.discovery.follower import Follower
from pebbledrift.discovery.incarnations import START_MOST_MS, Incarnations
from pebbledrift.discovery.states import STATES, UNKNOWN_STATE
from pebbledrift.net.destinations import HttpDestination, SocketBudget
from spoolpier import interface as api

log = logging.getLogger(__name__)

MAX_LEFT_WORKERS = 16_384  # workers remembered after they have left the list
MAX_UNKNOWN_NAMES = 256  # names missing from the settings that are logged, once each
MAX_CAPACITY_HINT = 1e6
ENTRY_ERRORS = (KeyError, TypeError, ValueError, OverflowError, ConfigError)  # raised for an unreadable entry


def worker_number(uid: str) -> int:
    """Returns the decision module's number of a worker. It depends on the uid alone, so all nodes agree."""
    # Limits memory: callbacks may name any uid, and only one that can be a worker's is cached.
    return _cached_number(uid) if len(uid) <= 64 else _cached_number.__wrapped__(uid)


@functools.lru_cache(maxsize=4096)
def _cached_number(uid: str) -> int:
    return int.from_bytes(hashlib.blake2b(uid.encode(), digest_size=8).digest(), "big")


def name_index(names: tuple[str, ...], value: object) -> int:
    """Returns the index of a name, or len(names) if it is unknown. Integers are returned unchanged."""
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    return names.index(value) if value in names else len(names)


def location_index(names: tuple[str, ...], value: object) -> int:
    """Returns the index of a zone or cell like name_index, but a different one for each unknown name.

    Duplicates of a request are dropped only within a worker's own zone or cell, so two unknown zones must not
    be taken for the same one.
    """
    index = name_index(names, value)
    if index == len(names) and not isinstance(value, int):
        return len(names) + worker_number(repr(value))
    return index


def bounded_number(value: Any, maximum: float, key: str) -> float:
    """Returns a number of an entry as a float. Raises ValueError if it is not finite or exceeds `maximum`."""
    number = float(value)
    if not math.isfinite(number) or number > maximum:
        raise ValueError(f"{key}: not a finite number in the allowed range")
    return number


class PoolConfig:
    """The workers known to this node, with their destinations by worker number."""

    def __init__(self, config: Config, clock: Clock) -> None:
        self.config = config
        self.clock = clock
        self.engine: Engine | None = None
        self.destinations: dict[int, HttpDestination] = {}
        self.inventory_destinations: dict[int, Destination] = {}  # of another front, from the inventory
        self.inventory_entries: tuple[api.WorkerEntry, ...] = ()
        self.entries: dict[int, api.WorkerEntry] = {}  # the list, as received
        self.targets: dict[int, Mapping[str, Any]] = {}  # the same entries as discovery sent them
        # workers that have left the list, the latest last, up to MAX_LEFT_WORKERS
        self.left_workers: dict[int, None] = {}
        self.bans: set[str] = set()  # uids that operators have banned, independently of the list
        self.fleet_bans: set[str] = set()  # uids banned by a command for all nodes (verdicts/words.py)
        self.banned: set[int] = set()  # the numbers of both
        self.later_starts: dict[int, float] = {}  # start times reported by other nodes, later than the list's
        self.budget = SocketBudget(config.limits)
        self.follower = Follower(config, clock, self.apply_list, self.set_current)
        self.current = self.follower.current  # whether the list is known to be current
        self.logged_unknown_names: set[str] = set()
        self.incarnations = Incarnations()
        self.listeners: list[Callable[[], None]] = []  # called when the list has changed
        # called with each entry that is added or changed, and with None for each worker that has left
        self.entry_listeners: list[Callable[[int, api.WorkerEntry | None], None]] = []

    def find(self, worker: int) -> Destination | None:
        """Returns the destination with this number, or None."""
        return self.destinations.get(worker) or self.inventory_destinations.get(worker)

    def load_cached(self, cached_list: Mapping[str, Any]) -> None:
        """Starts with the list that was known before this process started."""
        self.follower.at(cached_list)
        self.apply_list(cached_list, cached=True)
        if not self.config.settings.ask_for_list:
            # With a push agent the decision module does not ask for the list, but the agent sends it only
            # to processes that call it.
            self.follower.watch()

    def snapshot(self) -> dict[str, Any]:
        """Returns the current list and its revision in discovery's format."""
        return {"rev": self.follower.rev, "all": True, "targets": list(self.targets.values())}

    def watch(self) -> None:
        """Starts following discovery."""
        self.follower.watch()

    def any_worker_up(self) -> bool:
        """Returns whether any worker is in service."""
        entries = (*self.entries.values(), *self.inventory_entries)
        return any(self._effective(e).state is api.WorkerState.UP for e in entries)

    def incarnation(self, worker: int) -> float | None:
        """Returns the start time (ms) of the worker process in service, None if there is none."""
        entry = self.entries.get(worker)
        if entry is None:
            entry = next((e for e in self.inventory_entries if e.worker == worker), None)
        if entry is None:
            return None
        effective = self._effective(entry)
        return effective.started_ms if effective.state is api.WorkerState.UP else None

    def listed_workers(self) -> set[int]:
        """Returns the workers in the list and in the inventory, whatever their state."""
        return {*self.entries, *(e.worker for e in self.inventory_entries)}

    def ban(self, uid: str, banned: bool) -> bool:
        """Bans a worker or lifts the ban; returns False if it is unknown. Repeated calls have no effect."""
        if not self.is_known(uid):
            return False
        self.set_ban(uid, banned)
        return True

    def is_known(self, uid: str) -> bool:
        """Returns whether a worker is listed, has left recently, or is banned."""
        worker = worker_number(uid)
        return (
            worker in self.left_workers
            or worker in self.listed_workers()
            or uid in self.bans | self.fleet_bans
        )

    def set_ban(self, uid: str, banned: bool, fleet: bool = False) -> None:
        """Bans a worker or lifts the ban, even if only its uid is known; `fleet` means for all nodes."""
        assert self.engine is not None
        bans, worker = self.fleet_bans if fleet else self.bans, worker_number(uid)
        if banned is (uid in bans):
            return
        bans ^= {uid}
        if (uid in self.bans or uid in self.fleet_bans) is (worker in self.banned):
            return  # the other kind of ban still applies
        self.banned ^= {worker}
        entries = [e for e in (*self.entries.values(), *self.inventory_entries) if e.worker == worker]
        self.engine.worker_list_changed(
            api.WorkerList(api.ListForm.DELTA, tuple(map(self._effective, entries)))
        )
        self.engine.step_now()
        destination = self.find(worker)
        if banned and destination is not None:
            destination.withdraw_unsent()

    def set_current(self, current: bool) -> None:
        """Sets whether the list is known to be current. If it is not, its workers receive nothing new."""
        assert self.engine is not None
        if current is self.current:
            return
        self.current = current
        effective = tuple(map(self._effective, self.entries.values()))
        self.engine.worker_list_changed(api.WorkerList(api.ListForm.DELTA, effective))
        self.engine.step_now()
        if not current:
            for destination in self.destinations.values():
                destination.withdraw_unsent()

    def _effective(self, entry: api.WorkerEntry) -> api.WorkerEntry:
        """Returns an entry as the decision module sees it.

        A banned worker is shown as draining, independently of the list. If the list is not known to be
        current, so is every worker in it, because any of them may be draining by now.
        """
        outdated = not self.current and entry.worker not in self.inventory_destinations
        if self.later_starts.get(entry.worker, 0.0) > entry.started_ms:
            start_ms = self.later_starts[entry.worker]
            since = self.incarnations.since_ms(entry.worker, start_ms, self.clock.now_ms())
            entry = replace(entry, started_ms=start_ms, begun_ms=since)
        if (outdated or entry.worker in self.banned) and entry.state is api.WorkerState.UP:
            return replace(entry, state=api.WorkerState.DRAINING)
        return entry

    def has_cold_workers(self) -> bool:
        """Returns whether the list contains workers that have started recently."""
        now, cold_ms = self.clock.now_ms(), self.config.settings.cold_ms
        return any(now - e.since_ms < cold_ms for e in self.entries.values() if e.started_ms > 0)

    def apply_later_starts(self, starts: dict[int, float]) -> None:
        """Applies start times (ms) that other nodes report, where they are later than the list's.

        Earlier times are ignored: a second-hand report may make a worker colder, but never warmer.
        """
        assert self.engine is not None
        previous = self.later_starts
        later = {w: at for w, at in starts.items() if w in self.entries and at > previous.get(w, 0.0)}
        self.later_starts = {w: at for w, at in (previous | later).items() if w in self.entries}
        changed = [self.entries[w] for w in later]
        if changed:
            self.engine.worker_list_changed(
                api.WorkerList(api.ListForm.DELTA, tuple(map(self._effective, changed)))
            )

    def apply_inventory(
        self, entries: tuple[api.WorkerEntry, ...], destinations: dict[int, Destination]
    ) -> None:
        """Replaces the workers of the inventory, which are kept in addition to discovery's list."""
        assert self.engine is not None
        present = {e.worker for e in entries}
        missing = [e for e in self.inventory_entries if e.worker not in present]
        removed = [replace(e, state=api.WorkerState.REMOVED) for e in missing]
        self.inventory_destinations, self.inventory_entries = destinations, entries
        effective = (*removed, *map(self._effective, entries))
        self.engine.worker_list_changed(api.WorkerList(api.ListForm.DELTA, effective))

    def apply_list(self, message: Mapping[str, Any], cached: bool = False) -> None:
        """Applies a list, or changes to it, from discovery. An unreadable entry is logged (`_read`)."""
        assert self.engine is not None
        entries = []
        targets = message.get("targets")
        self.incarnations.heard(targets)
        for target in targets if isinstance(targets, list) else []:
            entry = self._read(target)
            if entry is not None:
                entries.append(entry)
        full = bool(message.get("all"))
        if full or cached:
            present = {e.worker for e in entries}
            for worker in [w for w in self.destinations if w not in present]:
                self._drop(worker)
            # otherwise the decision module would remove the inventory's workers
            entries += self.inventory_entries
        for listener in self.listeners:
            listener()
        form = api.ListForm.CACHED if cached else api.ListForm.FULL if full else api.ListForm.DELTA
        self.engine.worker_list_changed(api.WorkerList(form, tuple(map(self._effective, entries))))

    def _read(self, target: Any) -> api.WorkerEntry | None:
        """Reads an entry; for an unreadable one, returns the worker's previous entry in the new state."""
        try:
            return self._entry(target)
        except ENTRY_ERRORS as error:
            log.warning(
                "unreadable worker list entry ignored",
                extra={"entry": str(target)[:200], "error": str(error)},
            )
        try:
            worker = worker_number(str(target["uid"]))
        except ENTRY_ERRORS:
            return None
        previous = self.entries.get(worker)
        return None if previous is None else self._in_state(previous, target.get("state"))

    def _in_state(self, previous: api.WorkerEntry, received_state: object) -> api.WorkerEntry:
        """Applies the received state to a worker's previous entry: an unreadable entry can still drain it."""
        name = (
            received_state if isinstance(received_state, str) and received_state in STATES else UNKNOWN_STATE
        )
        state = STATES[name]
        entry = replace(previous, state=state)
        if state is api.WorkerState.REMOVED:
            self._drop(previous.worker)
        else:
            self.entries[previous.worker] = entry
            # A process that replaces this one starts with `targets`, and must know of the drain.
            self.targets[previous.worker] = {**self.targets.get(previous.worker, {}), "state": name}
            self._notify(previous.worker, entry)
        return entry

    def _entry(self, target: Mapping[str, Any]) -> api.WorkerEntry:
        worker = worker_number(str(target["uid"]))
        state = STATES[target["state"]]
        boot_ms = max(0.0, bounded_number(target.get("boot_ms", 0), START_MOST_MS, "boot_ms"))
        # A removed worker's entry is read completely too, because jobs that it may have run stay bound to
        # its zone and cell.
        entry = api.WorkerEntry(
            worker=worker,
            zone=location_index(self.config.zones, target.get("az", 0)),
            cell=location_index((), target.get("pod_group", 0)),
            kind=name_index(self.config.kinds, target.get("model", 0)),
            weight=bounded_number(target.get("capacity_hint", 1.0), MAX_CAPACITY_HINT, "capacity_hint"),
            started_ms=boot_ms,
            begun_ms=self.incarnations.since_ms(worker, boot_ms, self.clock.now_ms()),
            state=state,
        )
        # No state changes before the whole entry has been read.
        if state is api.WorkerState.REMOVED:
            self._drop(worker)
        else:
            self._set_destination(worker, address(target["endpoint"], "endpoint"))
        self._log_unknown_names(target)
        if state is not api.WorkerState.REMOVED:
            self.entries[worker], self.targets[worker] = entry, target
            self._notify(worker, entry)
        if logs.traced():
            uid, boot = target["uid"], entry.started_ms
            logs.trace("listed", worker=worker, uid=uid, state=state.name.lower(), boot=boot)
        return entry

    def _log_unknown_names(self, target: Mapping[str, Any]) -> None:
        for key, names in (("az", self.config.zones), ("model", self.config.kinds)):
            value = target.get(key)
            unknown = isinstance(value, str) and value not in names and value not in self.logged_unknown_names
            if unknown and len(self.logged_unknown_names) < MAX_UNKNOWN_NAMES:
                self.logged_unknown_names.add(str(value))
                log.warning(
                    "name in the worker list is not in the settings", extra={"key": key, "value": value}
                )

    def _set_destination(self, worker: int, destination_address: Address) -> None:
        existing = self.destinations.get(worker)
        if existing is not None and existing.address == destination_address and not existing.pool.closed:
            return
        if existing is not None:
            existing.close()
        assert self.engine is not None
        self.destinations[worker] = HttpDestination(
            worker, destination_address, self.config.limits, self.budget, self.clock, self.engine
        )

    def _drop(self, worker: int) -> None:
        """Removes a worker that has left. Its open attempts end by callback, connection loss or timeout."""
        if self.entries.pop(worker, None) is not None:
            self._remember_left(worker)
            self._notify(worker, None)
        self.targets.pop(worker, None)
        self.incarnations.forget(worker)
        destination = self.destinations.pop(worker, None)
        if destination is not None:
            destination.close()

    def _remember_left(self, worker: int) -> None:
        """Remembers a worker that has left. The number is bounded: replacement machines have new names."""
        self.left_workers.pop(worker, None)
        self.left_workers[worker] = None
        while len(self.left_workers) > MAX_LEFT_WORKERS:
            del self.left_workers[next(iter(self.left_workers))]

    def _notify(self, worker: int, entry: api.WorkerEntry | None) -> None:
        for listener in self.entry_listeners:
            listener(worker, entry)
