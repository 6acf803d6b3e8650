"""The board: what is known at the node of each worker, and what its cores do there.

A worker has a row. The columns are: the worker's number and its gate (both written by the supervisor), its
account for cold turns (the one column with several writers: it is changed by compare-and-swap), and four for
each core: slots in use, whether it leaves the worker alone, work spent in a cold turn, and slots of processes
that died ("ghosts", written by the supervisor). A column stands together: all workers' slots of one core are
read at once, and cores do not write to one another's cache lines.

A core that dies between two steps leaves its words as they are. Slots it had filled become ghosts until the
longest deadline is over; the cold account is never given back.
"""

from __future__ import annotations

from collections.abc import Callable

from pebbledrift.cores.region import ROWS, Region
from spoolpier import interface as api

OPEN = 1  # of a gate: in service, and not banned
COUNT = 8  # of the header: rows that were ever used
SLOT = 256  # a slot, in the columns' units
SLOTS_MOST = 1e6  # that one job is counted with
WORK_BITS = 40  # of an account: work in microseconds; the turn stands above
WORK_MASK = (1 << WORK_BITS) - 1
TURN_MASK = (1 << 24) - 1

Swap = Callable[[int, int, int], bool]
"""Compare-and-swap of a word: its place, the value expected, the new one; False where it was another."""


class BoardFull(Exception):
    """No row is left for another worker."""


class Board:
    """The rows. Each process has one of its own over the same words."""

    def __init__(self, region: Region) -> None:
        self.words = region.words
        cores, first = region.layout.cores, region.layout.columns
        self.worker, self.gate, self.account = first, first + ROWS, first + 2 * ROWS
        of_cores = first + 3 * ROWS
        self.slots = [of_cores + (4 * core) * ROWS for core in range(cores)]
        self.avoids = [of_cores + (4 * core + 1) * ROWS for core in range(cores)]
        self.spent = [of_cores + (4 * core + 2) * ROWS for core in range(cores)]
        self.ghosts = [of_cores + (4 * core + 3) * ROWS for core in range(cores)]
        self._rows: dict[int, int] = {}

    def row(self, worker: int) -> int | None:
        """A worker's row, or None where it has none."""
        row = self._rows.get(worker)
        # guards against a row that was given to another worker since
        if row is not None and self.words[self.worker + row] == worker:
            return row
        workers = self.column(self.worker)
        if worker not in workers:
            return None
        row = self._rows[worker] = workers.index(worker)
        return row

    def column(self, first: int) -> list[int]:
        """A column's words, of the rows that were ever used."""
        return self.words[first : first + self.words[COUNT]].tolist()

    def closed(self, worker: int) -> bool:
        """Whether nothing new may be sent to a worker."""
        row = self.row(worker)
        return row is None or not self.words[self.gate + row] & OPEN

    # -- the supervisor's

    def set_gates(self, open_: set[int]) -> None:
        """Open the gates of these workers and close all others. BoardFull where one finds no row."""
        for row, worker in enumerate(self.column(self.worker)):
            if worker not in open_:
                self.words[self.gate + row] = 0
        bare = (row for row in range(self.words[COUNT]) if self._is_bare(row))
        for worker in open_:
            found = self.row(worker)
            row = self._new_row(worker, next(bare, self.words[COUNT])) if found is None else found
            self.words[self.gate + row] = OPEN

    def _new_row(self, worker: int, row: int) -> int:
        if row >= ROWS:
            raise BoardFull(f"more than {ROWS} workers")
        self.words[self.worker + row] = worker
        self.words[COUNT] = max(self.words[COUNT], row + 1)
        self._rows[worker] = row
        return row

    def _is_bare(self, row: int) -> bool:
        """Whether a row is closed, and nothing is left of whoever had it."""
        kept = (self.gate, self.account, *self.slots, *self.avoids, *self.spent, *self.ghosts)
        return not any(self.words[first + row] for first in kept)

    def clear_accounts(self, turn: int) -> None:
        """Forget the cold turns before this one where the gate is closed, so that rows come free."""
        for row, gate in enumerate(self.column(self.gate)):
            if not gate:
                for first in (self.account, *self.spent):
                    if self.words[first + row] >> WORK_BITS != turn & TURN_MASK:
                        self.words[first + row] = 0

    def bury(self, core: int) -> dict[int, int]:
        """A core's process is gone: what it filled becomes ghosts. Returns them by worker, in units."""
        ghosts = {}
        for row, filled in enumerate(self.column(self.slots[core])):
            if filled:
                ghosts[self.words[self.worker + row]] = filled
                self.words[self.ghosts[core] + row] += filled
                self.words[self.slots[core] + row] = 0
            self.words[self.avoids[core] + row] = 0
        return ghosts

    def release(self, core: int, ghosts: dict[int, int]) -> None:
        """The time of what a dead process had open is up."""
        for worker, filled in ghosts.items():
            row = self.row(worker)
            if row is not None:
                at = self.ghosts[core] + row
                self.words[at] = max(0, self.words[at] - filled)

    def avoided(self) -> set[int]:
        """Workers that any core leaves alone now."""
        columns = [self.column(first) for first in self.avoids]
        return {w for w, *avoid in zip(self.column(self.worker), *columns, strict=False) if any(avoid)}


class Seat:
    """One core's own words on the board."""

    def __init__(self, board: Board, core: int, shared_slots: bool, shared_cold: bool, swap: Swap) -> None:
        self.board = board
        self.words = board.words
        self.core = core
        self.swap = swap
        self.shared_cold = shared_cold
        self._cold = board.account if shared_cold else board.spent[core]
        # what others fill: their slots and all ghosts, or the ghosts of this core alone
        self._others = [board.ghosts[core]]
        if shared_slots:
            self._others = [*board.ghosts, *(s for c, s in enumerate(board.slots) if c != core)]
        self._filled: list[int] = []  # by row, as told last
        self._spent: list[int] = []
        self._workers: list[int] = []

    def filled(self, worker: int, slots: float) -> None:
        """This core fills so many slots more, or fewer."""
        row = self.board.row(worker)
        if row is not None:
            at = self.board.slots[self.core] + row
            # guards the word against a job that asks for more slots than there are
            units = round(min(max(slots, -SLOTS_MOST), SLOTS_MOST) * SLOT)
            self.words[at] = max(0, self.words[at] + units)

    def avoid(self, workers: set[int]) -> None:
        """Note which workers this core leaves alone."""
        first = self.board.avoids[self.core]
        for row, worker in enumerate(self.board.column(self.board.worker)):
            self.words[first + row] = worker in workers

    def take_cold(self, worker: int, turn: int, work: float, most: float) -> bool:
        """Spend from a cold worker's budget for a turn, up to `most` in all; work in ms on one slot.

        Shared, all cores spend from one account, by compare-and-swap: of two that would go over together, one
        does. Divided, each has an account of its own. Either outlives the process.
        """
        row = self.board.row(worker)
        if row is None:
            return False
        at, add, top = self._cold + row, round(work * 1000), round(most * 1000)
        while True:
            old = self.words[at]
            ahead = (old >> WORK_BITS) - turn & TURN_MASK  # turns are counted round
            if old and 0 < ahead <= TURN_MASK // 2:
                return False  # others are in a later turn already: this one was decided too long ago
            spent = (old & WORK_MASK if old and ahead == 0 else 0) + add
            if spent > top:
                return False
            new = (turn & TURN_MASK) << WORK_BITS | min(spent, WORK_MASK)
            if not self.shared_cold:
                self.words[at] = new
                return True
            if self.swap(at, old, new):
                return True

    def shares(self, turn: int) -> tuple[api.Share, ...]:
        """What has changed of what others fill and have spent, since the last call."""
        columns = [self.board.column(first) for first in self._others]
        filled = list(map(sum, zip(*columns, strict=False))) if len(columns) > 1 else columns[0]
        spent = self.board.column(self._cold)
        workers = self.board.column(self.board.worker)
        if filled == self._filled and spent == self._spent and workers == self._workers:
            return ()
        rows = min(len(filled), len(spent), len(workers))  # one may have come between two reads
        news = []
        for row in range(rows):
            known = row < len(self._workers) and workers[row] == self._workers[row]
            if known and filled[row] == self._filled[row] and spent[row] == self._spent[row]:
                continue
            account = spent[row]
            now = account != 0 and account >> WORK_BITS == turn & TURN_MASK
            if known or filled[row] or now:
                work = (account & WORK_MASK) / 1000 if now else 0.0
                news.append(api.Share(workers[row], filled[row] / SLOT, turn if now else -1, work))
        self._filled, self._spent, self._workers = filled[:rows], spent[:rows], workers[:rows]
        return tuple(news)
