"""A replicated log among the store's members: what has to have one order, and a majority. No I/O.

After Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014): terms, one leader a
term, an entry is committed once a majority has it in the leader's term; membership changes one at a time;
snapshots for members that fell behind. From Ongaro's thesis (2014): a vote before the vote (9.6), so that a
member that was cut off does not unseat a leader that others hear, a leader that steps down without a
majority's answers (6.2), and reads that are confirmed by a round of answers (6.4).

What a member has promised is in its `Storage` before it says so: term and vote, entries, snapshot. Time is ms
of a clock that never goes back, and only decides when something is tried; no promise rests on it.
"""

from __future__ import annotations

import contextlib
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

ENTRIES_AT_ONCE = 64
READS_MOST = 1000  # that wait for a round at once
PROPOSALS_MOST = 1000  # entries that are not committed yet


class Kind(IntEnum):
    """What an entry is."""

    NOTHING = 0  # a new leader's first one: with it all before it are committed
    COMMAND = 1
    MEMBERS = 2


class Role(IntEnum):
    """What a member does in its term."""

    FOLLOWER = 0
    CANDIDATE = 1
    LEADER = 2


@dataclass(frozen=True, slots=True)
class Entry:
    """One place of the log. `data` of MEMBERS: their names, separated by zero bytes."""

    term: int
    kind: Kind
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after an index, with the members then."""

    index: int = 0
    term: int = 0
    members: tuple[str, ...] = ()
    data: bytes = b""


class Storage(Protocol):
    """What outlives a crash. A call returns once it is on the disk, or raises OSError with nothing done."""

    term: int
    vote: str
    snapshot: Snapshot
    entries: list[Entry]  # those after the snapshot

    def save_vote(self, term: int, vote: str) -> None:
        """A later term, or a vote in this one."""

    def save_entries(self, after: int, entries: list[Entry]) -> None:
        """Entries that follow index `after`; what was there behind it is gone."""

    def save_snapshot(self, snapshot: Snapshot, keep: list[Entry]) -> None:
        """The state up to an index; `keep` are the entries after it."""


@dataclass(frozen=True, slots=True)
class AskVote:
    """May I lead? `try_out`: would you vote for me, before I begin a term."""

    term: int
    index: int  # of the candidate's last entry
    last_term: int
    try_out: bool


@dataclass(frozen=True, slots=True)
class Vote:
    """An answer to AskVote."""

    term: int
    granted: bool
    try_out: bool


@dataclass(frozen=True, slots=True)
class Append:
    """A leader's entries after an index, or none; and how far all is committed."""

    term: int
    after: int
    after_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


@dataclass(frozen=True, slots=True)
class Appended:
    """An answer to Append or Install. `index`: up to which the logs are the same, or where to try next."""

    term: int
    ok: bool
    index: int
    round: int


@dataclass(frozen=True, slots=True)
class Install:
    """A leader's snapshot, for a member whose next entry it does not have any more."""

    term: int
    snapshot: Snapshot
    round: int


Message = AskVote | Vote | Append | Appended | Install
Sends = list[tuple[str, Message]]


class NotLeader(Exception):
    """Somebody else leads, as far as this member knows (`leader`, "" where nobody does): nothing was done."""

    def __init__(self, leader: str) -> None:
        super().__init__(f"not the leader; that is {leader or 'nobody known'}")
        self.leader = leader


class Busy(Exception):
    """Too much is waiting, or one change of members is under way: nothing was done."""


@dataclass(slots=True)
class _Peer:
    """What a leader knows of another member."""

    next: int  # the index to be sent next
    match: int = 0  # up to which it has what we have
    heard: float = -math.inf
    sent: float = -math.inf
    round: int = 0  # the latest round that it has answered
    waits: bool = False  # entries are on their way to it


@dataclass(slots=True)
class _Read:
    """A read that waits until this member is known to lead still, and has applied what was committed."""

    round: int
    index: int
    done: Callable[[bool], None]


class Raft:
    """One member. Every call returns what has to be sent.

    `apply` is told of each committed command, in order, with its index; `take` gives the state as bytes for a
    snapshot, `give` replaces it. `election_ms`: silence after which a member tries to lead, up to twice that.
    """

    def __init__(
        self,
        name: str,
        members: Iterable[str],
        storage: Storage,
        apply: Callable[[int, bytes], None],
        take: Callable[[], bytes],
        give: Callable[[bytes], None],
        now: float,
        seed: int,
        election_ms: float = 300.0,
        snapshot_after: int = 1000,
    ) -> None:
        self.name, self.storage = name, storage
        self.apply, self.take, self.give = apply, take, give
        self.election_ms, self.snapshot_after = election_ms, snapshot_after
        self.random = random.Random(seed)
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = self.applied = storage.snapshot.index
        self.decided: Callable[[int, int], None] = lambda index, term: None  # an entry is committed here
        self._first = tuple(members)
        self._members: tuple[str, ...] = ()
        self._members_at = 0
        self._find_members()
        if storage.snapshot.index:
            give(storage.snapshot.data)
        self._votes: set[str] = set()
        self._try_out = False
        self._peers: dict[str, _Peer] = {}
        self._reads: list[_Read] = []
        self._round = 0
        self._heard_leader = -math.inf
        self._due = now + self._patience()

    # -- the log

    @property
    def last(self) -> int:
        """The index of the last entry."""
        return self.storage.snapshot.index + len(self.storage.entries)

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not here (any more)."""
        snapshot = self.storage.snapshot
        if index == snapshot.index:
            return snapshot.term
        if not snapshot.index < index <= self.last:
            return None
        return self.storage.entries[index - snapshot.index - 1].term

    def _entries(self, after: int, most: int = ENTRIES_AT_ONCE) -> list[Entry]:
        at = after - self.storage.snapshot.index
        return self.storage.entries[at : at + most]

    @property
    def members(self) -> tuple[str, ...]:
        """Who counts for a majority: by the latest entry that says so, committed or not."""
        return self._members

    def _find_members(self) -> None:
        snapshot = self.storage.snapshot
        self._members, self._members_at = snapshot.members or self._first, snapshot.index
        for i, entry in enumerate(self.storage.entries):
            if entry.kind is Kind.MEMBERS:
                self._members = tuple(entry.data.decode().split("\0"))
                self._members_at = snapshot.index + 1 + i

    def _majority(self, names: Iterable[str]) -> bool:
        return 2 * len(set(names) & set(self._members)) > len(self._members)

    def _others(self) -> list[str]:
        return [name for name in self._members if name != self.name]

    # -- what callers ask

    def propose(self, now: float, *data: bytes, kind: Kind = Kind.COMMAND) -> tuple[int, int, Sends]:
        """Commands: the last one's index and their term if ever committed there, and what to send.

        Raises NotLeader, Busy, and OSError where they cannot be kept; nothing was done then.
        """
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self.last - self.commit + len(data) > PROPOSALS_MOST:
            raise Busy("too many entries wait for a majority")
        self.storage.save_entries(self.last, [Entry(self.storage.term, kind, one) for one in data])
        self._find_members()
        index = self.last
        self._advance()
        # to a member that has not answered the last ones yet these go with its answer
        idle = [n for n in self._others() if n not in self._peers or not self._peers[n].waits]
        return index, self.storage.term, [send for name in idle for send in self._tell(now, name, 0.0)]

    def change(self, now: float, members: Iterable[str]) -> tuple[int, int, Sends]:
        """Other members, one more or one fewer. Raises as propose, and ValueError for a larger change."""
        wanted = tuple(sorted(set(members)))
        if not wanted or len(set(wanted) ^ set(self._members)) != 1:
            raise ValueError("members change one at a time")
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self._members_at > self.commit or self.term_at(self.commit) != self.storage.term:
            raise Busy("a change of members is under way, or this leader has just begun")
        return self.propose(now, "\0".join(wanted).encode(), kind=Kind.MEMBERS)

    def read(self, now: float, done: Callable[[bool], None]) -> Sends:
        """Have `done(True)` called once the state here holds all that was committed before this call.

        `done(False)`: this member does not lead any more. Raises NotLeader and Busy.
        """
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self.term_at(self.commit) != self.storage.term or len(self._reads) >= READS_MOST:
            raise Busy("this leader has just begun, or too many reads wait")
        self._round += 1
        self._reads.append(_Read(self._round, self.commit, done))
        sends = self._tell_all(now)
        self._answer_reads()
        return sends

    def promised(self, name: str) -> int:
        """Up to where a member has said in this term that its log is the same; 0 unless this one leads."""
        peer = self._peers.get(name)
        return peer.match if peer is not None and self.role is Role.LEADER else 0

    # -- time

    def tick(self, now: float) -> Sends:
        """Time has gone on."""
        if self.role is Role.LEADER:
            heard = [n for n, p in self._peers.items() if now - p.heard < 2 * self.election_ms]
            if now >= self._due and not self._majority([self.name, *heard]):
                self._follow(now, self.storage.term, "")  # others may have another leader by now
                return []
            if now >= self._due:
                self._due = now + self.election_ms
            return [send for name in self._others() for send in self._tell(now, name, self.election_ms / 5)]
        if now < self._due or self.name not in self._members:
            return []
        self._due = now + self._patience()
        self.role, self.leader = Role.FOLLOWER, ""
        self._votes, self._try_out = {self.name}, True
        return self._ask_votes(now)

    def _patience(self) -> float:
        return self.election_ms * self.random.uniform(1.0, 2.0)

    def _ask_votes(self, now: float) -> Sends:
        if self._majority(self._votes):
            return self._won(now)
        term = self.storage.term + self._try_out
        ask = AskVote(term, self.last, self.term_at(self.last) or 0, self._try_out)
        return [(name, ask) for name in self._others()]

    def _won(self, now: float) -> Sends:
        """A majority would vote for this member, or has."""
        if self._try_out:
            self._try_out = False
            self.storage.save_vote(self.storage.term + 1, self.name)
            self.role, self._votes = Role.CANDIDATE, {self.name}
            return self._ask_votes(now)
        self.role, self.leader = Role.LEADER, self.name
        self._peers = {name: _Peer(self.last + 1, heard=now) for name in self._others()}
        self._due = now + self.election_ms
        self.storage.save_entries(self.last, [Entry(self.storage.term, Kind.NOTHING)])
        self._advance()
        return self._tell_all(now)

    def _follow(self, now: float, term: int, leader: str) -> None:
        if term > self.storage.term:
            self.storage.save_vote(term, "")
        self.role, self.leader = Role.FOLLOWER, leader
        self._try_out = False
        self._due = now + self._patience()
        reads, self._reads = self._reads, []
        for read in reads:
            read.done(False)

    # -- messages

    def received(self, now: float, sender: str, message: Message) -> Sends:
        """A member's message, which may be late, doubled or of another time.

        Raises OSError where the answer cannot be kept: nothing was promised.
        """
        if isinstance(message, AskVote):
            return self._asked(now, sender, message)
        tried = isinstance(message, Vote) and message.try_out and message.granted  # of a term not begun yet
        if message.term > self.storage.term and not tried:
            self._follow(now, message.term, "")
        if isinstance(message, Vote):
            return self._voted(now, sender, message)
        if isinstance(message, Appended):
            return self._appended(now, sender, message)
        if message.term < self.storage.term:
            return [(sender, Appended(self.storage.term, False, self.last, message.round))]
        if self.role is not Role.FOLLOWER or self.leader != sender or self._try_out:
            self._follow(now, message.term, sender)
        self._heard_leader = now
        self._due = now + self._patience()
        if isinstance(message, Install):
            return self._install(sender, message)
        return self._append(sender, message)

    def _asked(self, now: float, sender: str, ask: AskVote) -> Sends:
        storage = self.storage
        recent = (ask.last_term, ask.index) >= (self.term_at(self.last) or 0, self.last)
        if ask.try_out:
            # whoever hears a leader helps nobody to unseat it
            leads = self.role is Role.LEADER or now - self._heard_leader < self.election_ms
            granted = ask.term > storage.term and recent and not leads
            return [(sender, Vote(ask.term if granted else storage.term, granted, True))]
        if ask.term > storage.term:
            self._follow(now, ask.term, "")
        granted = ask.term == storage.term and recent and storage.vote in ("", sender)
        if granted and not storage.vote:
            storage.save_vote(storage.term, sender)
        if granted:
            self._due = now + self._patience()
        return [(sender, Vote(storage.term, granted, False))]

    def _voted(self, now: float, sender: str, vote: Vote) -> Sends:
        if vote.try_out is not self._try_out or not vote.granted or self.role is Role.LEADER:
            return []
        if vote.term != self.storage.term + self._try_out:
            return []
        if not self._try_out and self.role is not Role.CANDIDATE:
            return []
        self._votes.add(sender)
        return self._won(now) if self._majority(self._votes) else []

    def _append(self, sender: str, message: Append) -> Sends:
        storage = self.storage
        after, entries = message.after, list(message.entries)
        skip = storage.snapshot.index - after
        if skip > 0:  # what the snapshot holds is committed, and so the same
            after, entries = after + min(skip, len(entries)), entries[skip:]
            if after < storage.snapshot.index:
                return [(sender, Appended(storage.term, True, storage.snapshot.index, message.round))]
        elif self.term_at(after) != message.after_term:
            index = self.last
            if after <= self.last:  # try before the whole of the term that differs
                index, wrong = after - 1, self.term_at(after)
                while index > self.commit and wrong == self.term_at(index):
                    index -= 1
            return [(sender, Appended(storage.term, False, max(index, self.commit), message.round))]
        last = message.after + len(message.entries)
        for i, entry in enumerate(entries):
            if self.term_at(after + 1 + i) != entry.term:
                storage.save_entries(after + i, entries[i:])
                self._find_members()
                break
        self._commit_to(min(message.commit, last))
        return [(sender, Appended(storage.term, True, last, message.round))]

    def _install(self, sender: str, message: Install) -> Sends:
        snapshot = message.snapshot
        if snapshot.index > self.commit:
            same = self.term_at(snapshot.index) == snapshot.term
            keep = self._entries(snapshot.index, self.last) if same else []
            self.storage.save_snapshot(snapshot, keep)
            self._find_members()
            self.commit = self.applied = snapshot.index
            self.give(snapshot.data)
        return [(sender, Appended(self.storage.term, True, snapshot.index, message.round))]

    def _appended(self, now: float, sender: str, answer: Appended) -> Sends:
        peer = self._peers.get(sender)
        if self.role is not Role.LEADER or peer is None or answer.term != self.storage.term:
            return []
        peer.heard, peer.round, peer.waits = now, max(peer.round, answer.round), False
        if answer.ok:
            peer.match = max(peer.match, answer.index)
            peer.next = max(peer.next, peer.match + 1)
            self._advance()
        else:
            peer.next = max(peer.match, min(answer.index, peer.next - 1)) + 1
        self._answer_reads()
        if self.role is Role.LEADER and peer.next <= self.last:
            return self._tell(now, sender, 0.0)
        return []

    # -- leading

    def _tell_all(self, now: float) -> Sends:
        return [send for name in self._others() for send in self._tell(now, name, 0.0)]

    def _tell(self, now: float, name: str, every_ms: float) -> Sends:
        peer = self._peers.setdefault(name, _Peer(self.last + 1, heard=now))
        if now - peer.sent < every_ms:
            return []
        peer.sent, peer.waits = now, peer.next <= self.last
        term, after = self.storage.term, peer.next - 1
        after_term = self.term_at(after)
        if after_term is None:
            return [(name, Install(term, self.storage.snapshot, self._round))]
        entries = tuple(self._entries(after))
        return [(name, Append(term, after, after_term, entries, self.commit, self._round))]

    def _advance(self) -> None:
        """Commit what a majority has, as far as it ends in an entry of this term."""
        if self.role is not Role.LEADER:
            return
        for index in range(self.last, self.commit, -1):
            if self.term_at(index) != self.storage.term:
                break
            having = [name for name, peer in self._peers.items() if peer.match >= index]
            if self._majority([self.name, *having]):
                self._commit_to(index)
                break

    def _commit_to(self, index: int) -> None:
        self.commit = max(self.commit, min(index, self.last))
        while self.applied < self.commit:
            self.applied += 1
            entry = self.storage.entries[self.applied - self.storage.snapshot.index - 1]
            if entry.kind is Kind.COMMAND:
                self.apply(self.applied, entry.data)
            self.decided(self.applied, entry.term)
        if self.role is Role.LEADER and self._members_at <= self.commit and self.name not in self._members:
            self.role, self.leader = Role.FOLLOWER, ""  # it has led itself out
        if self.applied - self.storage.snapshot.index >= self.snapshot_after:
            # guards what was just committed against "not done": a log that cannot be shortened stays as it is
            with contextlib.suppress(OSError):
                self._compact()

    def _compact(self) -> None:
        term, index = self.term_at(self.applied), self.applied
        assert term is not None
        members = self._members if self._members_at <= index else self._members_before(index)
        keep = self._entries(index, self.last)
        self.storage.save_snapshot(Snapshot(index, term, members, self.take()), keep)

    def _members_before(self, index: int) -> tuple[str, ...]:
        snapshot = self.storage.snapshot
        found = snapshot.members or self._first
        for entry in self.storage.entries[: index - snapshot.index]:
            if entry.kind is Kind.MEMBERS:
                found = tuple(entry.data.decode().split("\0"))
        return found

    def _answer_reads(self) -> None:
        rounds = sorted(
            [self._round, *(p.round for n, p in self._peers.items() if n in self._members)], reverse=True
        )
        need = len(self._members) // 2  # others beside this one
        confirmed = rounds[need] if len(rounds) > need else 0
        ready = [r for r in self._reads if r.round <= confirmed and self.applied >= r.index]
        if ready:
            self._reads = [r for r in self._reads if r not in ready]
            for read in ready:
                read.done(True)


@dataclass(slots=True)
class Memory:
    """Storage that is as good as the memory that it is in: for tests."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)

    def save_vote(self, term: int, vote: str) -> None:
        """A later term, or a vote in this one."""
        self.term, self.vote = term, vote

    def save_entries(self, after: int, entries: list[Entry]) -> None:
        """Entries that follow index `after`."""
        del self.entries[after - self.snapshot.index :]
        self.entries += entries

    def save_snapshot(self, snapshot: Snapshot, keep: list[Entry]) -> None:
        """The state up to an index."""
        self.snapshot, self.entries = snapshot, list(keep)
