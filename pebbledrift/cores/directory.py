"""Whose id is it: claims that are atomic over all cores, without a lock and without compare-and-swap.

Each core has cells of its own that it alone writes, and reads everybody's. A cell is one word: the id's
fingerprint (62 bits of a keyed BLAKE2b) and a state. A claim goes in steps:

1. write CLAIMING into a cell of one's own; 2. a full fence; 3. read everybody's cells for the id:
   - somebody has OWNED or LOST: withdraw, the id is taken;
   - a core with a lower number is CLAIMING: withdraw, it is theirs or somebody's before them;
   - a core with a higher number is CLAIMING: look again until it has decided;
4. write OWNED.

Of two cores that claim at once each writes before it reads, and the fence stands between: at least one sees
the other (Dekker's argument; Lamport's bakery orders the rest by number). Two can never both reach step 4:
the one that did not see the other has OWNED before long, and the other waits for that, or withdraws.

A process that dies before step 4 has run nothing; one that dies after may have. So `bury`, called by the
supervisor once the process is gone, frees what was CLAIMING and turns OWNED into LOST. A process that is
stopped within a claim makes others wait: they give up after WAITS looks and refuse, which is true, as
nothing has run.
"""

from __future__ import annotations

import hashlib
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator

from pebbledrift.core.model import Claim
from pebbledrift.cores.region import BUCKET, BUCKETS, Region

EMPTY, CLAIMING, OWNED, LOST = range(4)
WAITS = 20  # looks at a claim that stands in the way, and
WAIT_S = 0.0002  # the pause between them: others decide in some microseconds while they run


class Directory:
    """One core's end. `fence` must keep the reads after it from passing the writes before it."""

    def __init__(self, region: Region, core: int, fence: Callable[[], None]) -> None:
        self.words = region.words
        self.core = core
        cells = region.layout.cells
        self._tables = [cells + c * BUCKETS * BUCKET for c in range(region.layout.cores)]
        self.fence = fence
        self.pause: Callable[[], None] = lambda: time.sleep(WAIT_S)
        self.decided = Claim.TAKEN
        self._secret = region.secret
        self._cells: dict[str, int] = {}  # own ids, by their place
        self._buried: OrderedDict[int, None] = OrderedDict()  # cells of the process before this one
        first = self._tables[core]
        for at, word in enumerate(self.words[first : first + BUCKETS * BUCKET].tolist(), first):
            if word:
                self._buried[at] = None

    def claim(self, job: str) -> Claim:
        """Make an id this core's own; see above."""
        for _ in self.steps(job):
            pass
        return self.decided

    def steps(self, job: str) -> Iterator[None]:
        """The same, with a stop between any two steps; `decided` holds the outcome at the end."""
        self.decided = Claim.TAKEN
        if job in self._cells:
            return
        print_ = self.print_of(job)
        at = self._free(print_)
        if at is None:
            self.decided = Claim.NO_ROOM
            return
        self.words[at] = print_ << 2 | CLAIMING
        yield
        self.fence()
        for _ in range(WAITS):
            state, core = self._others(print_)
            yield
            if state in (OWNED, LOST) or (state == CLAIMING and core < self.core):
                self.words[at] = EMPTY
                return
            if state == EMPTY:
                self.words[at] = print_ << 2 | OWNED
                self._cells[job] = at
                self.decided = Claim.OWN
                return
            self.pause()
        self.words[at] = EMPTY
        self.decided = Claim.NO_ROOM

    def forget(self, job: str) -> None:
        """An own id is free again."""
        at = self._cells.pop(job, None)
        if at is not None:
            self.words[at] = EMPTY

    def owner(self, job: str) -> int | None:
        """The core that owns an id; None where nobody does, or its process has died."""
        print_ = self.print_of(job)
        owned, bucket, words = print_ << 2 | OWNED, print_ % BUCKETS * BUCKET, self.words
        for core, table in enumerate(self._tables):
            first = table + bucket
            if owned in words[first : first + BUCKET].tolist():
                return core
        return None

    def print_of(self, job: str) -> int:
        """The id's fingerprint, never 0. Keyed: nobody outside can pick ids that collide."""
        digest = hashlib.blake2b(job.encode(), digest_size=8, key=self._secret).digest()
        return int.from_bytes(digest, "little") >> 2 or 1

    def _others(self, print_: int) -> tuple[int, int]:
        """The strongest state that an id has with others, of the lowest core among equals."""
        found, lowest = EMPTY, 0
        base, bucket = print_ << 2, print_ % BUCKETS * BUCKET
        claiming, owned, lost = base | CLAIMING, base | OWNED, base | LOST
        for core, table in enumerate(self._tables):
            first = table + bucket
            cells = self.words[first : first + BUCKET].tolist()
            if lost in cells:
                return LOST, core
            if core == self.core:
                continue  # our own claim
            if owned in cells:
                return OWNED, core
            if found == EMPTY and claiming in cells:
                found, lowest = CLAIMING, core
        return found, lowest

    def _free(self, print_: int) -> int | None:
        """A free cell of our own for an id; at need the oldest one that was lost makes room."""
        first = self._tables[self.core] + print_ % BUCKETS * BUCKET
        cells = self.words[first : first + BUCKET].tolist()
        if EMPTY in cells:
            return first + cells.index(EMPTY)
        for at in range(first, first + BUCKET):
            if at in self._buried:
                if self.words[at] >> 2 == print_:
                    continue  # it is this very id that was lost
                self.words[at] = EMPTY
                del self._buried[at]
                return at
        return None

    def forget_buried(self, most: int) -> None:
        """Free what earlier processes lost, the first ones first, down to so many."""
        while len(self._buried) > most:
            at, _ = self._buried.popitem(last=False)
            self.words[at] = EMPTY


def bury(region: Region, core: int) -> int:
    """A core's process is gone: free its claims, keep what it owned as lost. Returns how many were lost."""
    first = region.layout.cells + core * BUCKETS * BUCKET
    lost = 0
    for at, word in enumerate(region.words[first : first + BUCKETS * BUCKET].tolist(), first):
        if not word:
            continue
        if word & 3 == CLAIMING:
            region.words[at] = EMPTY
        elif word & 3 == OWNED:
            region.words[at] = word | LOST
            lost += 1
    return lost
