"""Messages that replicas exchange, and records that they write to disk."""

from __future__ import annotations

from typing import NamedTuple

from pebbledrift.chain.view import View
from pebbledrift.cluster.codec import message
from pebbledrift.control.orders import Order, OrderResult


class Stamp(NamedTuple):
    """Identifies a log entry, and with it all entries before it: equal stamps mean equal prefixes."""

    epoch: int
    sequence: int


class Ballot(NamedTuple):
    """Orders the attempts to agree on the view of an epoch.

    Ballots are unique. A restarted replica may not know which rounds its previous process started, so the
    proposer includes the incarnation.
    """

    epoch: int
    round: int
    proposer: str  # node and incarnation of the proposing replica


NO_STAMP = Stamp(0, 0)
NO_BALLOT = Ballot(0, 0, "")


@message(50)
class Entry:
    """One log entry. An entry without an order marks the start of an epoch."""

    epoch: int
    sequence: int
    order: Order | None

    @property
    def stamp(self) -> Stamp:
        """The stamp that identifies the entry."""
        return Stamp(self.epoch, self.sequence)


@message(51)
class Snapshot:
    """The state after applying the log up to and including the entry with this stamp."""

    stamp: tuple[int, int]
    config: bytes
    accepted: list[tuple[bytes, int]]  # digests of accepted and refused orders (ConfigurationState.dump)


@message(60)
class Heartbeat:
    """Sent to every known keeper several times a second."""

    node: str
    incarnation: int
    zone: str
    control_address: str  # address at which the sender serves workers and the operator
    eligible: bool  # has a disk, and counts towards the number of tolerated failures
    healthy: bool  # the disk responds
    leaving: bool
    epoch: int
    sealed: bool  # has promised to take part only in a later view
    committed: tuple[int, int]
    settled: bool  # every entry that has been in the sender's log for a second is committed there
    keepers: tuple[str, ...]  # addresses of the keepers that the sender receives heartbeats from
    number: int  # increases with each heartbeat of one process
    echo: tuple[int, int]  # incarnation and number of the newest heartbeat received from the addressee


@message(61)
class ViewNotice:
    """Carries the newest decided view that the sender knows."""

    view: View


@message(62)
class Prepare:
    """Asks for a promise not to take part in any earlier ballot or any earlier view."""

    ballot: tuple[int, int, str]
    base: View


@message(63)
class Promise:
    """Grants a promise, and reports the log and the accepted view that a new view must preserve."""

    ballot: tuple[int, int, str]
    node: str
    incarnation: int
    stamp: tuple[int, int]
    accepted_ballot: tuple[int, int, str]
    accepted_view: View | None


@message(64)
class Reject:
    """Refuses a ballot: a later one was promised, or a later view is known."""

    ballot: tuple[int, int, str]
    promised: tuple[int, int, str]
    view: View


@message(65)
class Accept:
    """Asks the receiver to accept a view."""

    ballot: tuple[int, int, str]
    view: View


@message(66)
class Accepted:
    """Confirms that the accepted view is on the sender's disk."""

    ballot: tuple[int, int, str]
    node: str


@message(70)
class JoinChain:
    """Asks the predecessor for the entries after the newest one that both replicas have."""

    epoch: int
    node: str
    joined: bool  # already has a complete answer, and asks only for entries lost in transit
    last: tuple[int, int]
    committed: tuple[int, int]


@message(71)
class ChainState:
    """Answers JoinChain: these entries follow the entry `after` in the log."""

    epoch: int
    after: tuple[int, int]
    entries: tuple[Entry, ...]
    complete: bool  # the sender has no more entries for now; otherwise the successor asks again


@message(72)
class Append:
    """Carries new entries to the successor in the chain."""

    epoch: int
    entries: tuple[Entry, ...]


@message(73)
class Committed:
    """Announces that all members of the chain have synced the log up to this stamp."""

    epoch: int
    stamp: tuple[int, int]


@message(79)
class CallId:
    """Identifies one call of one process. A restarted process numbers its calls anew in a new incarnation."""

    origin: str  # address of the keeper that received the call
    incarnation: int
    number: int


@message(74)
class Barrier:
    """Travels down the chain behind all earlier entries; the tail sends the answer."""

    epoch: int
    position: int  # position in the chain of the receiver
    after: int  # sequence that must be committed before the tail answers
    call: CallId
    result: OrderResult | None


@message(75)
class Fetch:
    """Asks for the committed entries after the sender's newest committed one."""

    committed: tuple[int, int]


@message(76)
class Fetched:
    """Answers Fetch if the receiver still retains the entries."""

    after: tuple[int, int]
    entries: tuple[Entry, ...]


@message(77)
class SnapshotRequest:
    """Asks for a part of the encoded snapshot with this stamp; NO_STAMP asks for any snapshot."""

    stamp: tuple[int, int]
    offset: int


@message(78)
class SnapshotPart:
    """A part of an encoded snapshot.

    A part without data offers a snapshot in place of entries that are no longer retained, or that are too
    large for one message.
    """

    stamp: tuple[int, int]
    size: int  # of the whole encoded snapshot, in bytes
    offset: int
    data: bytes


@message(80)
class Submit:
    """Sends an order to the head of this epoch, or a read if there is no order."""

    call: CallId
    epoch: int
    order: Order | None


@message(81)
class Answer:
    """The result of an order. For a read there is none, and the caller waits for the committed stamp."""

    call: CallId
    epoch: int  # of the chain that answered
    result: OrderResult | None
    committed: tuple[int, int]


@message(82)
class NotHead:
    """Reports that the receiver of a call is not the head of that epoch; the view shows the head."""

    call: CallId
    view: View


@message(90)
class Identity:
    """Record: the node that owns the disk."""

    node: str


@message(91)
class Vote:
    """Record: the promised ballot, and the accepted ballot and view."""

    promised: tuple[int, int, str]
    accepted_ballot: tuple[int, int, str]
    accepted_view: View | None


@message(92)
class Truncate:
    """Record: entries after this sequence are dropped."""

    sequence: int


@message(94)
class Image:
    """The durable state of a replica, as a slot stores it."""

    node: str
    view: View
    vote: Vote
    snapshot: Snapshot
    entries: tuple[Entry, ...]


# These messages are short and correct in any order of arrival, so they never queue behind entries.
URGENT = (
    *(Heartbeat, ViewNotice, Prepare, Promise, Reject, Accept, Accepted),
    *(JoinChain, Fetch, SnapshotRequest, NotHead, Answer),
)
Record = Identity | View | Vote | Truncate | Snapshot | Entry
