"""Exchanges occupancy and free-slot reports with the other nodes of the fleet over the peer socket."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from typing import Protocol

from pebbledrift.config import Address, Config
from pebbledrift.core.clock import Clock
from pebbledrift.core.model import MAX_SLICE_OVERRUN_MS, Claim
from pebbledrift.fleet.fills import FORM, OccupancyTable
from pebbledrift.fleet.parts import FORM as PART_FORM
from pebbledrift.fleet.parts import ListedWorker, RemoteParts
from pebbledrift.net.datagrams import PeerSocket
from spoolpier import interface as api

log = logging.getLogger(__name__)

MAX_DELAY_MS = 200.0  # delay of a datagram in transit and of the sender's timer


class SliceLeases(Protocol):
    """Time slices that this node holds under leases, as it does parts of the fleet's limits.

    Implemented in membership/service.py and limits/service.py.
    """

    def holds(self) -> bool:
        """Returns whether every lease that `changed` last reported is still valid."""

    def changed(self) -> tuple[tuple[int, ...], float] | None:
        """Returns the dispatcher numbers whose time slices this node owns, and the guard time in ms.

        Returns None if they have not changed since the last report.
        """


class FleetNeighbours:
    """Implements core.model.Neighbours for a node of one process. Nodes share only occupied slots."""

    fleet = True

    def __init__(self, config: Config, clock: Clock) -> None:
        limits = config.limits
        self.limits = limits
        self.clock = clock
        self.settings = config.settings
        self.peer_numbers = {peer: i for i, peer in enumerate(config.peers) if i != config.settings.me}
        parts = self.parts = config.settings.parts
        self._up: list[dict[int, api.WorkerEntry]] = [{} for _ in range(parts)]  # UP workers by part
        # By part of the fleet: the slots occupied at its workers, and the peers that receive reports of them.
        self.occupancy_by_part = [
            OccupancyTable(limits.datagram_bytes, limits.fills_again_ms, limits.fills_believed_ms)
            for _ in range(parts)
        ]
        # The table of this node's own part, which also receives the peers' reports.
        self.own_part_occupancy = self.occupancy_by_part[config.settings.me % parts]
        self.recipients: list[tuple[Address, ...]] = [
            tuple(peer for peer, i in self.peer_numbers.items() if i % parts == part) for part in range(parts)
        ]
        if parts == 1 and config.peers_all is not None:
            self.recipients = [(config.peers_all,)]
        # Free slots of the other parts. They can be computed only if the worker list has the workers' sizes.
        self.remote_parts: RemoteParts | None = None
        if parts > 1 and config.settings.nominal_weights:
            self.remote_parts = RemoteParts(
                config.settings.me,
                config.settings.dispatchers,
                parts,
                limits.parts_every_ms,
                limits.fills_believed_ms,
                limits.parts_offers,
            )
        # None: the time slices of a dispatcher number always belong to its own node, whichever nodes are up.
        self.slice_leases: SliceLeases | None = None
        # Returns whether an address answers, where that is known. An unreachable peer receives no reports.
        self.is_reachable: Callable[[Address], bool] = lambda peer: True
        self.socket: PeerSocket | None = None
        # By this time every running node has repeated its occupancy report (OccupancyTable.next_datagram).
        self._complete_at_ms = clock.now_ms() + limits.fills_again_ms + limits.fills_gather_ms + MAX_DELAY_MS
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def attach_socket(self, socket: PeerSocket) -> None:
        """Starts to send and receive reports over a socket."""
        self.socket = socket
        socket.readers[FORM] = self._on_occupancy_report
        if self.remote_parts is not None:
            socket.readers[PART_FORM] = self._on_part_report
            self._schedule_part_report(self.remote_parts.wait_ms(self.clock.common_ms()))

    def claim(self, job: str) -> Claim:
        """Always succeeds, as job ids are not shared between nodes."""
        return Claim.OWN

    def forget(self, job: str) -> None:
        """Does nothing, as `claim` registers nothing."""

    def closed(self, worker: int) -> bool:
        """Returns False, as each node follows its own worker list."""
        return False

    def spend_cold_budget(self, worker: int, time_slice: int, work: float, budget: float) -> bool:
        """Returns False if the leases of the time slices have ended since the decision.

        No shared counter is needed, as the time slices divide the budget of a cold worker among the nodes.
        """
        return self.slice_leases is None or self.slice_leases.holds()

    def slice_expired(self, time_slice: int) -> bool:
        """Returns whether a time slice is over, with an allowance for the time that a send takes to begin."""
        now = self.clock.common_ms()
        late = now > (time_slice + 1) * self.settings.fall_ms + MAX_SLICE_OVERRUN_MS
        return late or (self.slice_leases is not None and not self.slice_leases.holds())

    def owned_slices(self) -> tuple[tuple[int, ...], float] | None:
        """Returns the numbers whose time slices this node owns and the guard time in ms, or None."""
        return self.slice_leases.changed() if self.slice_leases is not None else None

    def add_filled_slots(self, worker: int, slots: float) -> None:
        """Schedules a report of the change, together with other changes within `fills_gather_ms`."""
        self.occupancy_by_part[worker % self.parts].add_slots(worker, slots)
        self._schedule_occupancy_report(self.limits.fills_gather_ms)

    def shares(self) -> tuple[api.Share, ...]:
        """Returns the changes in the slots that the other nodes occupy."""
        if self.socket is not None:
            self.socket.read()  # the decision that follows must use the latest reports
        changes = tuple(
            api.Share(w, slots) for w, slots in self.own_part_occupancy.take_changes(self.clock.now_ms())
        )
        if self.remote_parts is None:
            return changes
        remote = self.remote_parts.take_changes(self.clock.common_ms(), self._listed_workers, self._own_slots)
        return changes + tuple(api.Share(w, slots) for w, slots in remote.items())

    def on_entry_changed(self, worker: int, entry: api.WorkerEntry | None) -> None:
        """Records a worker's new entry in the worker list, or its removal (None)."""
        part = worker % self.parts
        up = self._up[part]
        if entry is not None and entry.state is api.WorkerState.UP:
            up[worker] = entry
        else:
            up.pop(worker, None)
        if self.occupancy_by_part[part] is self.own_part_occupancy:
            if entry is not None:
                self.own_part_occupancy.add_worker(worker)
            else:
                self.own_part_occupancy.remove_worker(worker)
        if self.remote_parts is not None:
            self.remote_parts.mark_changed(part)

    def _own_slots(self, worker: int) -> float:
        return self.occupancy_by_part[worker % self.parts].own_slots(worker)

    def _listed_workers(self, part: int) -> Iterator[ListedWorker]:
        """Yields the workers of a part in state UP, with their slots by the worker list."""
        now = self.clock.now_ms()
        for entry in self._up[part].values():
            warm = entry.started_ms <= 0 or now - entry.since_ms >= self.settings.cold_ms
            yield ListedWorker(entry.worker, max(1.0, entry.weight), warm)

    def _schedule_part_report(self, delay_ms: float) -> None:
        self._loop.call_later(delay_ms / 1000, self._send_part_report)

    def _send_part_report(self) -> None:
        """Reports the free slots of this node's part, in the node's time slice."""
        assert self.socket is not None and self.remote_parts is not None
        if self.socket.closed:
            return
        common, part = self.clock.common_ms(), self.remote_parts.part
        if self.clock.now_ms() < self._complete_at_ms:
            # A node that has just started lacks the occupancy of its part's workers and would report them as
            # free, which would overload them.
            self._schedule_part_report(self.remote_parts.wait_ms(common))
            return
        self.socket.read()
        warm = [w for w in self._listed_workers(part) if w.warm]
        free = [(w.worker, w.slots - self.own_part_occupancy.total_slots(w.worker)) for w in warm]
        # A fleet without jobs sends no reports.
        if any(self.own_part_occupancy.total_slots(w.worker) for w in warm):
            data = self.remote_parts.encode_report(common, free)
            for other, peers in enumerate(self.recipients):
                for peer in peers if other != part else ():
                    if self.is_reachable(peer):
                        self.socket.send(data, peer)
        self._schedule_part_report(self.remote_parts.wait_ms(common))

    def _schedule_occupancy_report(self, delay_ms: float) -> None:
        if self.socket is None:
            return
        if self._timer is not None:
            if self._timer.when() <= self._loop.time() + delay_ms / 1000:
                return
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_ms / 1000, self._send_occupancy_reports)

    def _send_occupancy_reports(self) -> None:
        self._timer = None
        assert self.socket is not None
        now, common = self.clock.now_ms(), self.clock.common_ms()
        for occupancy, peers in zip(self.occupancy_by_part, self.recipients, strict=True):
            while (data := occupancy.next_datagram(now, common)) is not None:
                for peer in peers:
                    if self.is_reachable(peer):
                        self.socket.send(data, peer)
        # Occupied slots are reported again before the entries expire at the peers.
        if any(occupancy.has_reported_slots for occupancy in self.occupancy_by_part):
            self._schedule_occupancy_report(self.limits.fills_again_ms)

    def _on_occupancy_report(self, data: bytes, peer: Address) -> None:
        number = self.peer_numbers.get(peer)
        if number is not None:  # a datagram to the address of all peers also reaches its sender
            self.own_part_occupancy.receive(number, data, self.clock.now_ms(), self.clock.common_ms())

    def _on_part_report(self, data: bytes, peer: Address) -> None:
        number = self.peer_numbers.get(peer)
        if number is not None and self.remote_parts is not None:
            self.remote_parts.receive(number, data, self.clock.common_ms())
