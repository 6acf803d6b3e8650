"""What replicas tell each other, and what they put on their disks."""

from __future__ import annotations

from typing import NamedTuple

from pebbledrift.chain.view import View
from pebbledrift.cluster.codec import message
from pebbledrift.control.orders import Order, OrderResult


class Stamp(NamedTuple):
    """Names an entry of the log and all that come before it."""

    epoch: int
    sequence: int


class Ballot(NamedTuple):
    """Orders the attempts to agree on the view of an epoch.

    No two attempts have one ballot: the next process of a replica may not know which rounds the one before
    began, and is another proposer for that reason.
    """

    epoch: int
    round: int
    proposer: str  # replica and incarnation


NO_STAMP = Stamp(0, 0)
NO_BALLOT = Ballot(0, 0, "")


@message(50)
class Entry:
    """One entry of the log. Without an order it marks the begin of an epoch."""

    epoch: int
    sequence: int
    order: Order | None

    @property
    def stamp(self) -> Stamp:
        """The entry's name."""
        return Stamp(self.epoch, self.sequence)


@message(51)
class Snapshot:
    """The state that the log led to, up to and with the entry of this stamp."""

    stamp: tuple[int, int]
    config: bytes
    taken: list[tuple[bytes, int]]


@message(60)
class Heartbeat:
    """Told to every known keeper several times a second."""

    node: str
    incarnation: int
    zone: str
    control: str  # address at which it serves workers and the operator
    eligible: bool  # it has a disk, and its loss is counted
    healthy: bool  # its disk answers
    leaving: bool
    epoch: int
    sealed: bool  # it has promised to take part in a later view only
    committed: tuple[int, int]
    settled: bool  # all that has been in its log for a second is committed there
    keepers: tuple[str, ...]  # addresses of the keepers that it hears
    number: int  # rises with each heartbeat of one process
    echo: tuple[int, int]  # incarnation and number of the newest heartbeat that the receiver has sent here


@message(61)
class ViewNotice:
    """The newest decided view that the sender knows."""

    view: View


@message(62)
class Prepare:
    """Asks for a promise to take part in no earlier ballot, and in no earlier view."""

    ballot: tuple[int, int, str]
    base: View


@message(63)
class Promise:
    """The promise, with what a new view has to respect."""

    ballot: tuple[int, int, str]
    node: str
    incarnation: int
    stamp: tuple[int, int]
    accepted_ballot: tuple[int, int, str]
    accepted_view: View | None


@message(64)
class Reject:
    """A later ballot was promised, or a later view is known."""

    ballot: tuple[int, int, str]
    promised: tuple[int, int, str]
    view: View


@message(65)
class Accept:
    """Asks to accept a view."""

    ballot: tuple[int, int, str]
    view: View


@message(66)
class Accepted:
    """The view is on the sender's disk."""

    ballot: tuple[int, int, str]
    node: str


@message(70)
class JoinChain:
    """Asks the predecessor for what follows the newest entry that both have."""

    epoch: int
    node: str
    joined: bool  # it has been answered before: only what got lost on the way is wanted
    last: tuple[int, int]
    committed: tuple[int, int]


@message(71)
class ChainState:
    """Answers JoinChain: the log goes on after `after` with these entries."""

    epoch: int
    after: tuple[int, int]
    entries: tuple[Entry, ...]
    complete: bool  # no more entries follow for now; else the successor asks again


@message(72)
class Append:
    """Entries for the next in the chain."""

    epoch: int
    entries: tuple[Entry, ...]


@message(73)
class Committed:
    """All members of the chain have synced up to here."""

    epoch: int
    stamp: tuple[int, int]


@message(79)
class CallId:
    """Names one call of one process. The next process at the address counts anew, as another incarnation."""

    origin: str  # address of the keeper that the call was made at
    incarnation: int
    number: int


@message(74)
class Barrier:
    """Runs down the chain behind the entries before it; the tail answers for it."""

    epoch: int
    position: int  # in the chain, of whom it is for
    after: int
    call: CallId
    judgement: OrderResult | None


@message(75)
class Fetch:
    """Asks for committed entries after the ones that the sender has."""

    committed: tuple[int, int]


@message(76)
class Fetched:
    """Answers Fetch, where the entries are still kept."""

    after: tuple[int, int]
    entries: tuple[Entry, ...]


@message(77)
class SnapshotRequest:
    """Asks for a part of an encoded snapshot: of the one with this stamp, or of any at NO_STAMP."""

    stamp: tuple[int, int]
    offset: int


@message(78)
class SnapshotPart:
    """A part of an encoded snapshot. One without data offers it: the entries wanted are not kept any more."""

    stamp: tuple[int, int]
    size: int  # of the whole, in bytes
    offset: int
    data: bytes


@message(80)
class Submit:
    """An order, or without one a read, for the head of this epoch."""

    call: CallId
    epoch: int
    order: Order | None


@message(81)
class Answer:
    """The verdict on an order, or without one the state that a read has to wait for."""

    call: CallId
    epoch: int  # of the chain that gave it
    judgement: OrderResult | None
    committed: tuple[int, int]


@message(82)
class NotHead:
    """Whoever was asked is not the head of that epoch; the view tells who is."""

    call: CallId
    view: View


@message(90)
class Identity:
    """Record: the replica whose disk this is."""

    node: str


@message(91)
class Vote:
    """Record: what was promised and accepted."""

    promised: tuple[int, int, str]
    accepted_ballot: tuple[int, int, str]
    accepted_view: View | None


@message(92)
class Truncate:
    """Record: entries after this sequence are void."""

    sequence: int


@message(94)
class Image:
    """All that a replica has to remember: what a slot holds."""

    node: str
    view: View
    vote: Vote
    snapshot: Snapshot
    entries: tuple[Entry, ...]


# short, and right in whatever order they come: they never wait behind entries
URGENT = (
    *(Heartbeat, ViewNotice, Prepare, Promise, Reject, Accept, Accepted),
    *(JoinChain, Fetch, SnapshotRequest, NotHead, Answer),
)
Record = Identity | View | Vote | Truncate | Snapshot | Entry
