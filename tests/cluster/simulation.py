"""Simulates a cluster: real replicas and storage on simulated time, with failing disks and links."""

from __future__ import annotations

import contextlib
import heapq
import json
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pebbledrift.chain.messages import Entry, Image
from pebbledrift.chain.outbox import Write
from pebbledrift.chain.replica import Replica, ReplicaSettings
from pebbledrift.chain.storage import Storage
from pebbledrift.cluster import codec
from pebbledrift.cluster.errors import StorageError
from pebbledrift.control.orders import Order, OrderKind, OrderResult, OrderStatus
from pebbledrift.keeper.startup import OpenedDisk, load_or_create_identity, open_disk
from tests.cluster.simulated_disk import PowerLost, SimulatedFiles
from tests.cluster.simulated_network import Network

TICK_S = 0.02
SYNC_S = 0.002
RETRY_S = 0.2  # delay before a failed write is repeated
CONNECT_S = 0.05  # delay between a start and the connections to the others
MAX_LOG_BYTES = 4096  # small, so that every scenario writes slots, which are rare in production
DIRECTORY = Path("disk")
ACCEPTED = (OrderStatus.ACCEPTED, OrderStatus.ALREADY_ACCEPTED)


@dataclass
class Disk:
    """A machine's disk, and the time until which it does not respond."""

    files: SimulatedFiles
    stalled_until: float = 0.0


@dataclass(eq=False)
class Process:
    """One process of a keeper."""

    address: str
    incarnation: int
    replica: Replica
    storage: Storage | None
    queue: deque[Write | Image] = field(default_factory=deque)  # pending disk operations
    busy: bool = False
    slot_requested: bool = False
    frozen_until: float = 0.0
    inbox: deque[Callable[[], None]] = field(default_factory=deque)  # events received while frozen


@dataclass
class Call:
    """One order or read, and its outcome."""

    order: Order | None
    started_at: float
    at: str
    ended_at: float | None = None
    result: OrderResult | None = None
    revision: int = 0


class Cluster:
    """Replicas by address, with the faults that can be injected."""

    def __init__(
        self,
        addresses: Iterable[str],
        seed: int = 1,
        tolerated_failures: int = 1,
        catch_up_s: float = 4.0,
        diskless: Iterable[str] = (),
    ) -> None:
        self.random = random.Random(seed)
        self.tolerated_failures, self.catch_up_s = tolerated_failures, catch_up_s
        self.now = 0.0
        self.seeds = tuple(addresses)
        self.zone_of: Callable[[str], str] = lambda address: ""
        self.diskless = set(diskless)
        self.disks: dict[str, Disk] = {}
        self.processes: dict[str, Process] = {}
        self.is_lost: Callable[[Any], bool] = lambda message: False  # whether a message is lost
        self.calls: list[Call] = []
        self.committed: dict[int, Entry] = {}  # by sequence: entries that any replica has committed
        self.on_tick: Callable[[Process], None] = lambda process: None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._incarnation = 0
        self.network = Network(
            self.at,
            lambda: self.now,
            self._incarnation_of,
            self._deliver,
            self._opened,
            self._lost,
            self.random.randrange(2**32),
        )
        for address in self.seeds:
            self.start(address, founder=True)
        for address in sorted(self.diskless):
            self.start(address)

    @property
    def replicas(self) -> dict[str, Replica]:
        """The replicas of running processes."""
        return {address: process.replica for address, process in self.processes.items()}

    @property
    def loss(self) -> float:
        """The fraction of messages that are lost."""
        return self.network.loss

    @loss.setter
    def loss(self, share: float) -> None:
        self.network.loss = share

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedules an action at a simulated time."""
        self._number += 1
        heapq.heappush(self._events, (time, self._number, action))

    def run(self, seconds: float) -> None:
        """Runs the events of the next seconds of simulated time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    # processes

    def start(self, address: str, founder: bool = False) -> None:
        """Starts a process at an address, with its existing disk or an empty one."""
        self._incarnation += 1
        opened = self._open(address)
        founding = self.seeds if founder else ()
        identity = load_or_create_identity(opened, address, founding, f"g{self._incarnation}")
        settings = ReplicaSettings(
            address=address,
            control_address=address,
            zone=self.zone_of(address),
            node=identity.node,
            incarnation=self._incarnation,
            eligible=address not in self.diskless,
            tolerated_failures=self.tolerated_failures,
            contact_addresses=self.seeds
            if founder
            else tuple(self.processes) or self.seeds,  # as an operator's list
            seed=self._incarnation,
            catch_up_s=self.catch_up_s,
        )
        replica = Replica(settings, check, opened.recovered.stored, self.now)
        if identity.records:
            replica.outbox.persist(*identity.records)
        replica.on_commit = self._note_commits
        process = Process(address, self._incarnation, replica, opened.storage)
        self.processes[address] = process
        self.network.restarted(address)
        self.at(self.now + CONNECT_S, lambda: self._connect(process))
        self._tick(process)

    def _open(self, address: str) -> OpenedDisk:
        if address in self.diskless:
            from pebbledrift.chain.recovery import RecoveredState

            return OpenedDisk(None, RecoveredState(), False)
        disk = self.disks.get(address)
        if disk is None:
            disk = self.disks[address] = Disk(SimulatedFiles(self.random.randrange(2**32)))
        # A keeper on a full disk restarts until there is space, so the start itself sees a disk with space.
        full, disk.files.full = disk.files.full, False
        opened = open_disk(Storage(DIRECTORY, disk.files, MAX_LOG_BYTES))
        disk.files.full = full
        return opened

    def _connect(self, process: Process) -> None:
        for other in list(self.processes):
            if self._is_running(process) and other != process.address:
                self._opened(other, process.address)
                self._opened(process.address, other)

    def _incarnation_of(self, address: str) -> int:
        process = self.processes.get(address)
        return process.incarnation if process is not None else 0

    def _is_running(self, process: Process) -> bool:
        return self.processes.get(process.address) is process

    def kill(self, address: str, power: bool = False) -> None:
        """Kills a process, in the middle of a write if one is pending; `power` also cuts the power."""
        process = self.processes.pop(address, None)
        disk = self.disks.get(address)
        if disk is None:
            return
        if process is not None:
            self._interrupt_write(process, disk)
        if power:
            disk.files.lose_power()
        for other in list(self.processes):
            self._lost(other, address)

    def _interrupt_write(self, process: Process, disk: Disk) -> None:
        """Performs the pending disk operation up to a random step."""
        if process.storage is None or not process.queue:
            return
        disk.files.power_fails_at = self.random.randrange(6)
        with contextlib.suppress(PowerLost, StorageError):
            self._perform(process.storage, process.queue[0])
        disk.files.power_fails_at = None

    def wipe(self, address: str) -> None:
        """Kills a process and loses its disk."""
        self.kill(address, power=True)
        self.disks.pop(address, None)

    def leave(self, address: str) -> None:
        """Simulates SIGTERM: the process ends once the others continue without it, or after 3 s."""
        process = self.processes[address]
        process.replica.leaving = True
        started_at = self.now

        def end_if_possible() -> None:
            if not self._is_running(process):
                return
            if process.replica.may_leave or self.now - started_at > 3.0:
                self.kill(address)
            else:
                self.at(self.now + TICK_S, end_if_possible)

        self.at(self.now + 0.4, end_if_possible)

    def freeze(self, address: str, seconds: float) -> None:
        """Stops a process for some seconds; it handles the events of that time when it continues."""
        process = self.processes.get(address)
        if process is None:
            return
        process.frozen_until = max(process.frozen_until, self.now + seconds)

        def thaw() -> None:
            if self.now < process.frozen_until:
                return
            while process.inbox and self._is_running(process):
                process.inbox.popleft()()

        self.at(process.frozen_until, thaw)

    def _when_awake(self, process: Process, action: Callable[[], None]) -> None:
        if self.now < process.frozen_until:
            process.inbox.append(action)
        elif self._is_running(process):
            action()

    def cut_off(self, address: str, others: Iterable[str] | None = None) -> None:
        """Cuts the links between an address and others, by default all others."""
        chosen = list(others) if others is not None else [*self.disks, *self.diskless]
        self.network.cut([(address, other) for other in chosen] + [(other, address) for other in chosen])

    def heal(self) -> None:
        """Restores all cut links."""
        self.network.heal()

    def _note_commits(self, entries: list[Entry]) -> None:
        for entry in entries:
            existing = self.committed.setdefault(entry.sequence, entry)
            assert existing == entry, f"two entries committed at {entry.sequence}"

    def _tick(self, process: Process) -> None:
        if not self._is_running(process):
            return
        if self.now < process.frozen_until:
            self.at(process.frozen_until, lambda: self._tick(process))
            return
        process.replica.tick(self.now)
        self.on_tick(process)
        self._flush(process)
        self._write_slot(process)
        self.at(self.now + TICK_S * self.random.uniform(0.8, 1.2), lambda: self._tick(process))

    def _write_slot(self, process: Process) -> None:
        """Queues a new slot if one is due."""
        is_due = process.storage is not None and process.storage.needs_slot and not process.slot_requested
        if is_due and process.replica.agreement.view is not None:
            process.slot_requested = True
            self._enqueue(process, process.replica.image())

    def _flush(self, process: Process) -> None:
        if not self._is_running(process):
            return
        outbox = process.replica.outbox
        for write in outbox.take_writes():
            self._enqueue(process, write)
        for envelope in outbox.take_envelopes():
            if process.address == envelope.address or not self.is_lost(envelope.message):
                self.network.send(process.address, envelope.address, envelope.message)

    # the disk

    def _enqueue(self, process: Process, item: Write | Image) -> None:
        process.queue.append(item)
        if not process.busy:
            process.busy = True
            self._schedule_next(process, SYNC_S)

    def _schedule_next(self, process: Process, seconds: float) -> None:
        stalled = self.disks[process.address].stalled_until if process.storage is not None else 0.0
        self.at(max(self.now, stalled) + seconds, lambda: self._perform_next(process))

    def _perform_next(self, process: Process) -> None:
        if not self._is_running(process):
            return
        if process.storage is not None and self.now < self.disks[process.address].stalled_until:
            self._schedule_next(process, SYNC_S)
            return
        item = process.queue[0]
        try:
            if process.storage is not None:
                self._perform(process.storage, item)
        except StorageError:
            if isinstance(item, Write):
                self._schedule_next(process, RETRY_S)
                return
        process.queue.popleft()
        process.busy = bool(process.queue)
        if process.busy:
            self._schedule_next(process, SYNC_S)
        if isinstance(item, Image):
            process.slot_requested = False
        else:
            self._when_awake(process, lambda: self._synced(process, item.number))

    def _perform(self, storage: Storage, item: Write | Image) -> None:
        if isinstance(item, Image):
            storage.write_slot(item)
        elif item.records:
            storage.append(item.records)

    def _synced(self, process: Process, number: int) -> None:
        process.replica.synced(number, self.now)
        self._flush(process)

    # the network

    def _deliver(self, sender: str, receiver: str, data: bytes, incarnation: int) -> None:
        process = self.processes.get(receiver)
        if process is not None and process.incarnation == incarnation:
            self._when_awake(process, lambda: self._receive(process, sender, data))

    def _receive(self, process: Process, sender: str, data: bytes) -> None:
        process.replica.receive(sender, codec.decode(data), self.now)
        self._flush(process)

    def _opened(self, address: str, other: str) -> None:
        process = self.processes.get(address)
        if process is not None and other in self.processes:
            self._when_awake(process, lambda: self._report_opened(process, other))

    def _report_opened(self, process: Process, other: str) -> None:
        if other in process.replica.peers.addresses:
            process.replica.connection_opened(other, self.now)
            self._flush(process)

    def _lost(self, address: str, other: str) -> None:
        process = self.processes.get(address)
        if process is not None:
            self._when_awake(process, lambda: process.replica.connection_lost(other))

    # the operator

    def order(
        self,
        at: str,
        order: Order | None,
        timeout_s: float = 3.0,
        on_done: Callable[[Call], None] | None = None,
    ) -> Call:
        """Makes a call at an address: an order, or a read if `order` is None."""
        call = Call(order, self.now, at)
        self.calls.append(call)
        process = self.processes.get(at)
        if process is None:
            call.ended_at = self.now
            return call

        def finish(result: OrderResult | None) -> None:
            call.ended_at, call.result = self.now, result
            call.revision = process.replica.log.state.revision
            if on_done is not None:
                on_done(call)

        def submit() -> None:
            process.replica.call(order, self.now, timeout_s, finish)
            self._flush(process)

        self._when_awake(process, submit)
        return call

    def acknowledged(self) -> list[Order]:
        """The orders that were acknowledged as accepted."""
        return [c.order for c in self.calls if c.order and c.result and c.result.status in ACCEPTED]

    def check_kept(self, state_at: str) -> None:
        """Asserts that the state at an address contains every acknowledged order."""
        state = self.replicas[state_at].log.state
        for order in self.acknowledged():
            assert order.digest in state.accepted, f"lost: {order}"


def check(config: object) -> None:
    """Accepts every JSON object as a configuration."""
    assert isinstance(config, dict)


def change(revision: int, base: int, note: Any = "") -> Order:
    """An order that replaces the configuration at revision `base` by one at `revision`."""
    return Order(OrderKind.REPLACE, base, json.dumps({"revision": revision, "note": note}).encode())


__all__ = ["Cluster", "change"]
