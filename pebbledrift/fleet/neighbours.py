"""The other nodes of the fleet, as the core's neighbours: what they fill, told over the peers' socket."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from typing import Protocol

from pebbledrift.config import Address, Config
from pebbledrift.core.clock import Clock
from pebbledrift.core.model import MAX_SLICE_OVERRUN_MS, Claim
from pebbledrift.fleet.fills import FORM, Fills
from pebbledrift.fleet.parts import FORM as PART_FORM
from pebbledrift.fleet.parts import Parts, Place
from pebbledrift.net.datagrams import PeerSocket
from spoolpier import interface as api

log = logging.getLogger(__name__)

LATE_MS = 200.0  # of a datagram, and of a node's own look at what is due


class Lessee(Protocol):
    """Where parts of the fleet's limits are held under leases: whose turns are ours
    (membership/service.py).
    """

    def holds(self) -> bool:
        """Whether all that was told last may still be used."""

    def changed(self) -> tuple[tuple[int, ...], float] | None:
        """The numbers whose turns are ours and the guard in ms, where that differs from what was told
        last.
        """


class FleetNeighbours:
    """core.model.Neighbours of a node of one process: nothing but slots is shared with other nodes."""

    fleet = True

    def __init__(self, config: Config, clock: Clock) -> None:
        limits = config.limits
        self.limits = limits
        self.clock = clock
        self.settings = config.settings
        self.numbers = {peer: i for i, peer in enumerate(config.peers) if i != config.settings.me}
        parts = self.parts = config.settings.parts
        self._up: list[dict[int, api.WorkerEntry]] = [{} for _ in range(parts)]  # workers up, by part
        # by part of the fleet: what is filled at its workers, and whom to tell
        self.told = [
            Fills(limits.datagram_bytes, limits.fills_again_ms, limits.fills_believed_ms)
            for _ in range(parts)
        ]
        self.fills = self.told[config.settings.me % parts]  # where this node hears of the others, too
        self.to: list[tuple[Address, ...]] = [
            tuple(peer for peer, i in self.numbers.items() if i % parts == part) for part in range(parts)
        ]
        if parts == 1 and config.peers_all is not None:
            self.to = [(config.peers_all,)]
        # how full other parts are; sizes that the list does not tell cannot be told on
        self.rooms: Parts | None = None
        if parts > 1 and config.settings.nominal_weights:
            self.rooms = Parts(
                config.settings.me,
                config.settings.dispatchers,
                parts,
                limits.parts_every_ms,
                limits.fills_believed_ms,
                limits.parts_offers,
            )
        self.lessee: Lessee | None = None  # None: each number's turns are its own node's, whoever lives
        # by part, whether an address answers, where that is known: who does not need not be told
        self.answers: Callable[[Address], bool] = lambda peer: True
        self.socket: PeerSocket | None = None
        # by then each node that lives has told again what it fills (Fills.tell)
        self._knows_ms = clock.now_ms() + limits.fills_again_ms + limits.fills_gather_ms + LATE_MS
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def meet(self, socket: PeerSocket) -> None:
        """Tell and hear over this socket."""
        self.socket = socket
        socket.readers[FORM] = self._received
        if self.rooms is not None:
            socket.readers[PART_FORM] = self._received_room
            self._room_in(self.rooms.wait_ms(self.clock.common_ms()))

    def claim(self, job: str) -> Claim:
        """Ids are each node's own."""
        return Claim.OWN

    def forget(self, job: str) -> None:
        """Nothing was claimed."""

    def closed(self, worker: int) -> bool:
        """Each node has its own list."""
        return False

    def spend_cold_budget(self, worker: int, turn: int, work: float, most: float) -> bool:
        """The budget of a cold worker is divided by turns; what is leased may be over since the decision."""
        return self.lessee is None or self.lessee.holds()

    def slice_expired(self, turn: int) -> bool:
        """Whether a turn has passed, but for the time that a send takes to begin."""
        now = self.clock.common_ms()
        late = now > (turn + 1) * self.settings.fall_ms + MAX_SLICE_OVERRUN_MS
        return late or (self.lessee is not None and not self.lessee.holds())

    def owned_slices(self) -> tuple[tuple[int, ...], float] | None:
        """Whose turns are ours, where they are held under leases and have changed."""
        return self.lessee.changed() if self.lessee is not None else None

    def add_filled_slots(self, worker: int, slots: float) -> None:
        """Have it told, together with what else changes shortly."""
        self.told[worker % self.parts].filled(worker, slots)
        self._tell_in(self.limits.fills_gather_ms)

    def shares(self) -> tuple[api.Share, ...]:
        """What has changed of what the other nodes fill."""
        if self.socket is not None:
            self.socket.read()  # the module is about to decide
        found = tuple(api.Share(w, slots) for w, slots in self.fills.news(self.clock.now_ms()))
        if self.rooms is None:
            return found
        rooms = self.rooms.news(self.clock.common_ms(), self._places, self._mine)
        return found + tuple(api.Share(w, slots) for w, slots in rooms.items())

    def listed(self, worker: int, entry: api.WorkerEntry | None) -> None:
        """The list names a worker anew, or no more (None)."""
        part = worker % self.parts
        up = self._up[part]
        if entry is not None and entry.state is api.WorkerState.UP:
            up[worker] = entry
        else:
            up.pop(worker, None)
        if self.told[part] is self.fills:
            if entry is not None:
                self.fills.know(worker)
            else:
                self.fills.forget(worker)
        if self.rooms is not None:
            self.rooms.renew(part)

    def _mine(self, worker: int) -> float:
        return self.told[worker % self.parts].mine(worker)

    def _places(self, part: int) -> Iterator[Place]:
        """A part's workers that are up, with their slots by the list."""
        now = self.clock.now_ms()
        for e in self._up[part].values():
            warm = e.started_ms <= 0 or now - e.since_ms >= self.settings.cold_ms
            yield Place(e.worker, max(1.0, e.weight), warm)

    def _room_in(self, delay_ms: float) -> None:
        self._loop.call_later(delay_ms / 1000, self._tell_room)

    def _tell_room(self) -> None:
        """It is this node's turn to say what its part has free."""
        assert self.socket is not None and self.rooms is not None
        if self.socket.closed:
            return
        common, part = self.clock.common_ms(), self.rooms.part
        if self.clock.now_ms() < self._knows_ms:
            # guards the part's workers: one that has just started has not heard who fills them
            self._room_in(self.rooms.wait_ms(common))
            return
        self.socket.read()
        places = [p for p in self._places(part) if p.warm]
        free = [(p.worker, p.size - self.fills.total(p.worker)) for p in places]
        if any(self.fills.total(p.worker) for p in places):  # a fleet without jobs says nothing
            data = self.rooms.tell(common, free)
            for other, peers in enumerate(self.to):
                for peer in peers if other != part else ():
                    if self.answers(peer):
                        self.socket.send(data, peer)
        self._room_in(self.rooms.wait_ms(common))

    def _tell_in(self, delay_ms: float) -> None:
        if self.socket is None:
            return
        if self._timer is not None:
            if self._timer.when() <= self._loop.time() + delay_ms / 1000:
                return
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_ms / 1000, self._tell)

    def _tell(self) -> None:
        self._timer = None
        assert self.socket is not None
        now, common = self.clock.now_ms(), self.clock.common_ms()
        for fills, peers in zip(self.told, self.to, strict=True):
            while (data := fills.tell(now, common)) is not None:
                for peer in peers:
                    if self.answers(peer):
                        self.socket.send(data, peer)
        if any(fills.goes_on for fills in self.told):  # told again before the others forget it
            self._tell_in(self.limits.fills_again_ms)

    def _received(self, data: bytes, peer: Address) -> None:
        number = self.numbers.get(peer)
        if number is not None:  # what is sent to all comes back to its sender too
            self.fills.take(number, data, self.clock.now_ms(), self.clock.common_ms())

    def _received_room(self, data: bytes, peer: Address) -> None:
        number = self.numbers.get(peer)
        if number is not None and self.rooms is not None:
            self.rooms.take(number, data, self.clock.common_ms())
