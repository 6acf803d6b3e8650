"""One core process: python -m pebbledrift.cores.core, as the supervisor starts it.

It has an engine and a decision module of its own. Connections, the list of workers and operators' words come
from the supervisor by a link; call-backs for other cores' jobs go by datagrams; claims, gates and accounts
stand in shared memory.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import logging
import os
import pickle
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

from pebbledrift import logs
from pebbledrift.config import Config, ConfigError, load
from pebbledrift.core.clock import Clock
from pebbledrift.core.model import MAX_SLICE_OVERRUN_MS
from pebbledrift.cores import figures
from pebbledrift.cores.atoms import Atoms
from pebbledrift.cores.board import Board, Seat
from pebbledrift.cores.directory import Directory
from pebbledrift.cores.mailbox import Mailbox
from pebbledrift.cores.plan import part
from pebbledrift.cores.region import Layout, Region, RegionError
from pebbledrift.cores.start import Start
from pebbledrift.inventory import InventoryError
from pebbledrift.net.link import Fields, Link
from pebbledrift.node import Node, log_lost_errors, settle_memory
from pebbledrift.signals import hold_sighup
from pebbledrift.store.table import StoreError
from spoolpier import interface as api

log = logging.getLogger("pebbledrift")

SHOW_S = 0.05  # between signs of life on the board
AVOIDED_EVERY = 4  # of these, one tells which workers are left alone
BURIED_MOST = 4096  # ids of processes before this one that stay taken
PR_SET_PDEATHSIG = 1


class Neighbourhood:
    """The other cores, as the engine sees them (core.model.Neighbours)."""

    fleet = False

    def __init__(self, start: Start, region: Region, clock: Clock) -> None:
        cores = start.config.cores
        self.atoms = Atoms(region)
        self.board = Board(region)
        self.seat = Seat(
            self.board, start.core, cores.slots == "shared", cores.cold == "shared", self.atoms.swap
        )
        self.directory = Directory(region, start.core, self.atoms.fence)
        self.directory.forget_buried(BURIED_MOST)
        self.clock = clock
        self.fall_ms = start.config.settings.fall_ms
        self.claim = self.directory.claim
        self.forget = self.directory.forget
        self.closed = self.board.closed
        self.add_filled_slots = self.seat.filled

    claim: Any
    forget: Any
    closed: Any
    add_filled_slots: Any

    def turn(self) -> int:
        """The turn at cold workers, as the decision module counts it."""
        return int(self.clock.common_ms() // self.fall_ms)

    def spend_cold_budget(self, worker: int, turn: int, work: float, most: float) -> bool:
        """Spend from a cold worker's budget."""
        # guards against a process that was stopped between its decision and this line
        return turn == self.turn() and self.seat.take_cold(worker, turn, work, most)

    def slice_expired(self, turn: int) -> bool:
        """Whether a turn has passed, but for the time that a send takes to begin."""
        return self.clock.common_ms() > (turn + 1) * self.fall_ms + MAX_SLICE_OVERRUN_MS

    def owned_slices(self) -> None:
        """Cores of one node have its turns together."""

    def shares(self) -> tuple[api.Share, ...]:
        """What has changed with the others."""
        return self.seat.shares(self.turn())


class CoreNode(Node):
    """The parts of one core; it goes through the phases of any node, at the supervisor's word."""

    def __init__(self, start: Start, region: Region) -> None:
        clock = Clock(start.offset)
        self.start = start
        self.around = Neighbourhood(start, region, clock)
        self.figures_at = figures.Block(region, start.core)
        config = part(start.config, start.core)
        super().__init__(config, self._read_again, self.around, clock)
        self.pool.follower.heard = self.pool.current = False  # the supervisor says
        self.front.to_owner = self._to_owner
        self.mailbox = Mailbox(
            socket.socket(fileno=start.reading),
            [socket.socket(fileno=end) for end in start.writing],
            lambda body: self.front.called_back(body, 2),
        )
        self.link = Link(socket.socket(fileno=start.link), self._told, self._orphaned)
        self.ending = asyncio.Event()
        self._taken = 0  # number of the last connection that was taken
        self._shown = 0

    async def run(self) -> None:
        """As any node; but nothing is closed before all cores owe nothing any more."""
        log_lost_errors(self.loop)
        self.heed_signals()
        await self.meet()
        self._show()
        settle_memory()
        await self.serve()
        await self.drain()
        self.link.send({"kind": "drained"})
        await self.ending.wait()
        await self.close()

    def heed_signals(self) -> None:
        """The supervisor passes on what signals say: one for the whole group must not end a core first."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.loop.add_signal_handler(number, lambda: None)
        hold_sighup(False)

    async def serve(self) -> None:
        """Take connections that are passed on, until told to end."""
        self.accept()
        self.states.serving = True
        self.link.send({"kind": "met"})
        log.info("core started", extra={"pid": os.getpid()})
        await self.stopping.wait()

    def accept(self) -> None:
        """Accept at the shared socket, where cores do that themselves."""
        if self.start.listener is not None and self.config.listen is not None:
            self.fronts.listen(self.config.listen, self.start.listener)

    async def close(self) -> None:
        """Let go of everything."""
        await super().close()
        self.mailbox.close()
        self.link.close()

    # -- the supervisor's words

    def _told(self, fields: Fields, body: bytes, descriptor: int | None) -> None:
        match fields["kind"]:
            case "conn" if descriptor is not None:
                number = int(fields["n"])
                self.fronts.take(descriptor, lambda: self._take(number))
            case "news":
                self.pool.follower.heard |= not fields["cached"]
                self.pool.apply_list(json.loads(body), cached=bool(fields["cached"]))
                self._publish()  # STATUS must not say no once /-/ready says yes
            case "rely":
                self.pool.set_current(bool(fields["current"]))
                self._publish()
            case "ban":
                uid, banned = str(fields["uid"]), bool(fields["banned"])
                known = self.pool.ban(uid, banned)
                if fields["must"] and not known:
                    self.pool.set_ban(uid, banned)
                self._obeyed(fields, known)
            case "pause":
                self.states.pause(bool(fields["paused"]))
                self._publish()  # guards RESUME's answer: it would name what was shown during the pause
                self._obeyed(fields, True)
            case "show":
                self._publish()
                self._obeyed(fields, True)
            case "reload":
                self.reloader.asked()
            case "stop":
                self.stopping.set()
            case "end":
                self.ending.set()
            case kind:
                log.warning("unknown message", extra={"kind": str(kind)})

    def _obeyed(self, fields: Fields, known: bool) -> None:
        if "call" in fields:
            self.link.send({"kind": "obeyed", "call": fields["call"], "known": known})

    def _take(self, number: int) -> None:
        self._taken = number
        self.link.send({"kind": "took", "n": number})

    def _orphaned(self) -> None:
        """Guards ports and workers against a node without its supervisor: it ends, as in a crash."""
        log.error("the supervisor has ended")
        os._exit(3)

    # -- the other cores

    def _to_owner(self, job: str, body: bytes) -> bool:
        owner = self.around.directory.owner(job)
        if owner is None or owner == self.start.core:
            return True  # nobody waits for it any more
        return self.mailbox.post(owner, body)

    # -- what the board shows

    def _show(self) -> None:
        if self._shown % AVOIDED_EVERY == 0:
            self.around.seat.avoid(self.engine.avoided_workers())
        self._shown += 1
        self._publish()
        self.loop.call_later(SHOW_S, self._show)

    def _publish(self) -> None:
        counted = self.engine.counters
        listed = self.pool.listed_workers()
        extra = {e.worker for e in self.pool.inventory_entries}
        self.figures_at.publish(
            figures.CoreFigures(
                shown_ms=time.monotonic() * 1000,
                sockets=len(self.fronts.sockets),
                current=counted.current,
                listed=len(listed),
                extra_unhealthy=len(extra & (self.engine.avoided_workers() | self.pool.banned))
                if extra
                else 0,
                ready=self.states.ready,
                posted=self.mailbox.posted,
                taken=self._taken,
                classes=counted.classes,
            )
        )

    def _read_again(self) -> Config:
        return part(load(os.environ, self.start.path, replaced=True), self.start.core)


def main() -> int:
    """Serve as one core. The argument is the descriptor of a pickled Start, made by the supervisor."""
    with contextlib.suppress(OSError, AttributeError):
        # guards against orphans that are stopped and cannot notice: the kernel ends them with their parent
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    descriptor = int(sys.argv[1])
    start = pickle.loads(Path(f"/proc/self/fd/{descriptor}").read_bytes())
    os.close(descriptor)
    assert isinstance(start, Start)
    if os.getppid() != start.parent:
        return 3
    logs.setup(start.config.log_level, core=start.core)
    layout = Layout(start.config.cores.processes, len(start.config.classes))
    try:
        region = Region.join(start.memory, layout, start.life)
        asyncio.run(_run(start, region))
    except (RegionError, ConfigError, InventoryError, StoreError, OSError) as error:
        log.error("cannot start", extra={"error": str(error)})
        return 2
    return 0


async def _run(start: Start, region: Region) -> None:
    await CoreNode(start, region).run()


if __name__ == "__main__":
    sys.exit(main())
