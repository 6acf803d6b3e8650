"""The board: what is known at the node of each worker, and what its cores do there.

A row has the worker's number, its gate (written by the supervisor), its account for cold turns (the one
cell with several writers: it is changed by compare-and-swap), and three words for each core: slots in use,
slots of processes that died ("ghosts", written by the supervisor), and work spent in a cold turn.

A core that dies between two steps leaves its words as they are. Slots it had filled become ghosts until the
longest deadline is over; the cold account is never given back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from pebbledrift.cores.region import ROWS, Region
from spoolpier import interface as api

WORKER, GATE, ACCOUNT, SPARE, LANES = range(5)
OPEN = 1  # of a gate: in service, and not banned
COUNT = 8  # of the header: rows that were ever used
PAUSED = 9  # of the header: the node takes no clients
SLOT = 256  # a slot, in a lane's units
SLOTS_MASK = (1 << 32) - 1
AVOIDED = 1 << 40  # of a core's lane of slots: it leaves the worker alone now
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
        self.region = region
        self.words = region.words
        self.layout = region.layout
        self._rows: dict[int, int] = {}

    def row(self, worker: int) -> int | None:
        """Where a worker's row begins, or None where it has none."""
        at = self._rows.get(worker)
        # guards against a row that was given to another worker since
        if at is not None and self.words[at + WORKER] == worker:
            return at
        for at in self.rows():
            if self.words[at + WORKER] == worker:
                self._rows[worker] = at
                return at
        return None

    def rows(self) -> range:
        """Where the rows begin that were ever used."""
        first, size = self.layout.rows, self.layout.row_words
        return range(first, first + self.words[COUNT] * size, size)

    def closed(self, worker: int) -> bool:
        """Whether nothing new may be sent to a worker."""
        at = self.row(worker)
        return at is None or not self.words[at + GATE] & OPEN

    # -- the supervisor's

    def set_gate(self, worker: int, open_: bool) -> None:
        """Open or close a worker's gate, in a row of its own. BoardFull where none is left."""
        at = self.row(worker)
        if at is None:
            if not open_:
                return  # without a row it is closed
            at = self._new_row(worker)
        self.words[at + GATE] = OPEN if open_ else 0

    def _new_row(self, worker: int) -> int:
        size = self.layout.row_words
        for at in self.rows():
            if not any(self.words[at + GATE : at + size].tolist()):
                break  # closed, and nothing is left of whoever had it
        else:
            count = self.words[COUNT]
            if count >= ROWS:
                raise BoardFull(f"more than {ROWS} workers")
            at = self.layout.rows + count * size
            self.words[COUNT] = count + 1
        self.words[at + WORKER] = worker
        self._rows[worker] = at
        return at

    def clear_accounts(self, turn: int) -> None:
        """Forget cold accounts of past turns where the gate is closed, so that rows come free."""
        for at in self.rows():
            if not self.words[at + GATE] and self.words[at + ACCOUNT] >> WORK_BITS != turn & TURN_MASK:
                self.words[at + ACCOUNT] = 0
                first = at + LANES + 2 * self.layout.cores
                for lane in range(first, first + self.layout.cores):
                    self.words[lane] = 0

    def bury(self, core: int) -> dict[int, int]:
        """A core's process is gone: what it filled becomes ghosts. Returns them by worker, in lane units."""
        ghosts = {}
        for at in self.rows():
            lane = at + LANES + core
            filled = self.words[lane] & SLOTS_MASK
            if filled:
                ghosts[self.words[at + WORKER]] = filled
                self.words[lane + self.layout.cores] += filled
            self.words[lane] = 0
        return ghosts

    def release(self, core: int, ghosts: dict[int, int]) -> None:
        """The time of what a dead process had open is up."""
        for worker, filled in ghosts.items():
            at = self.row(worker)
            if at is not None:
                lane = at + LANES + self.layout.cores + core
                self.words[lane] = max(0, self.words[lane] - filled)

    def avoided(self) -> set[int]:
        """Workers that any core leaves alone now."""
        found = set()
        for at in self.rows():
            lanes = self.words[at + LANES : at + LANES + self.layout.cores].tolist()
            if any(lane & AVOIDED for lane in lanes):
                found.add(self.words[at + WORKER])
        return found


class Seat:
    """One core's own words on the board."""

    def __init__(self, board: Board, core: int, shared_slots: bool, shared_cold: bool, swap: Swap) -> None:
        self.board = board
        self.core = core
        self.shared_slots = shared_slots
        self.shared_cold = shared_cold
        self.swap = swap
        self._told: dict[int, api.Share] = {}

    def filled(self, worker: int, slots: float) -> None:
        """This core fills so many slots more, or fewer."""
        at = self.board.row(worker)
        if at is not None:
            words, lane = self.board.words, at + LANES + self.core
            word = words[lane]
            now = min(max(0, (word & SLOTS_MASK) + round(slots * SLOT)), SLOTS_MASK)
            words[lane] = word & ~SLOTS_MASK | now

    def avoid(self, workers: set[int]) -> None:
        """Note which workers this core leaves alone."""
        words = self.board.words
        for at in self.board.rows():
            lane = at + LANES + self.core
            word = words[lane]
            marked = word | AVOIDED if words[at + WORKER] in workers else word & ~AVOIDED
            if marked != word:
                words[lane] = marked

    def take_cold(self, worker: int, turn: int, work: float, most: float) -> bool:
        """Spend from a cold worker's budget for a turn, up to `most` in all; work in ms on one slot.

        Shared, all cores spend from one account, by compare-and-swap: of two that would go over together, one
        does. Divided, each has an account of its own. Either outlives the process.
        """
        at = self.board.row(worker)
        if at is None:
            return False
        lane = at + (ACCOUNT if self.shared_cold else LANES + 2 * self.board.layout.cores + self.core)
        words, add, top = self.board.words, round(work * 1000), round(most * 1000)
        while True:
            old = words[lane]
            ahead = (old >> WORK_BITS) - turn & TURN_MASK  # turns are counted round
            if old and 0 < ahead <= TURN_MASK // 2:
                return False  # others are in a later turn already: this one was decided too long ago
            spent = (old & WORK_MASK if old and ahead == 0 else 0) + add
            if spent > top:
                return False
            new = (turn & TURN_MASK) << WORK_BITS | min(spent, WORK_MASK)
            if not self.shared_cold:
                words[lane] = new
                return True
            if self.swap(lane, old, new):
                return True

    def shares(self, turn: int) -> tuple[api.Share, ...]:
        """What has changed of what others fill and have spent, since the last call."""
        cores, size, words = self.board.layout.cores, self.board.layout.row_words, self.board.words
        news = []
        for at in self.board.rows():
            row = words[at : at + size].tolist()
            slots, ghosts = row[LANES : LANES + cores], row[LANES + cores : LANES + 2 * cores]
            if self.shared_slots:
                others = sum(w & SLOTS_MASK for w in slots) - (slots[self.core] & SLOTS_MASK) + sum(ghosts)
            else:
                others = ghosts[self.core]
            account = row[ACCOUNT if self.shared_cold else LANES + 2 * cores + self.core]
            spent = 0
            if account and account >> WORK_BITS == turn & TURN_MASK:
                spent = account & WORK_MASK
            worker = row[WORKER]
            # the turn is told only where something was spent in it: most workers are warm
            share = api.Share(worker, others / SLOT, turn if spent else -1, spent / 1000)
            known = self._told.get(worker)
            if share != known and (known is not None or others or spent):
                self._told[worker] = share
                news.append(share)
        if len(self._told) > 2 * len(self.board.rows()) + 16:
            self._told = {s.worker: s for s in news}
        return tuple(news)


def sum_of(blocks: Iterable[list[int]]) -> list[int]:
    """The sum of the cores' figures, word by word."""
    return [sum(column) for column in zip(*blocks, strict=True)]
