"""How sure a member is of what it holds true: of each other one, and of the group. No I/O.

A list of who is alive says nothing of whether it can be believed. So for each member: what is held of it,
since when, by whose word, and how old that word is; and for the group one of four words (Standing), from
which conduct.py tells what each part of the node may do. Times are milliseconds of the group's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from pebbledrift.membership.group import Address, Group, State

WORDS = {State.ALIVE: "alive", State.SUSPECT: "doubted", State.DEAD: "dead", State.LEFT: "left"}


class Standing(Enum):
    """What a member may believe of its group."""

    WHOLE = "whole"  # all members answer, or are doubted for a moment
    PARTED = "parted"  # some are dead, or were never heard
    ALONE = "alone"  # nobody else answers
    UNSURE = "unsure"  # just started, just gone on after a stop, or its name is in use


@dataclass(frozen=True, slots=True)
class Known:
    """What is held of one member."""

    name: str
    address: Address
    state: str  # alive, doubted, dead or left
    since_ms: float  # for so long
    by: str  # by whose word
    word_ms: float  # how old the word is; inf where none ever came
    heard_ms: float  # since it last spoke to this member itself
    incarnation: int
    life: int


@dataclass(frozen=True, slots=True)
class Change:
    """The group's standing has changed."""

    before: Standing
    now: Standing
    cause: str
    part: int  # members that answer, this one included
    whole: int  # that there should be


class View:
    """One member's view. `expected`: how many members there should be; 0 where only the group can tell."""

    def __init__(self, group: Group, expected: int, settle_ms: float, silent_ms: float, now: float) -> None:
        self.group = group
        self.expected = expected
        self.settle_ms = settle_ms  # a start, or a stop, is over after this whatever was heard
        self.silent_ms = silent_ms  # who has heard nobody for so long is alone, before deaths are sure
        self.standing = Standing.UNSURE
        self.cause = "just started"
        self.since = now
        self.outdone = False  # another process has this name, and is the one that has it
        self.last_whole = 0  # members of the last group that was whole
        self._unsure_from = now

    def update(self, now: float) -> Change | None:
        """Look again; the change of standing, if there is one."""
        group = self.group
        if group.stopped_at > self._unsure_from:
            self._unsure_from = group.stopped_at
        standing, cause = self._judge(now)
        if standing is Standing.WHOLE:
            self.last_whole = self.part
        if standing is self.standing:
            self.cause = cause
            return None
        change = Change(self.standing, standing, cause, self.part, self.whole)
        self.standing, self.cause, self.since = standing, cause, now
        return change

    @property
    def part(self) -> int:
        """Members that answer, this one included; one in doubt counts until it is dead."""
        return 1 + self.group.counts[State.ALIVE] + self.group.counts[State.SUSPECT]

    @property
    def whole(self) -> int:
        """Members that there should be: all that were heard of or are configured, less those that left."""
        left = self.group.counts[State.LEFT]
        return max(1, self.expected - left, 1 + len(self.group.members) - left)

    def _judge(self, now: float) -> tuple[Standing, str]:
        group = self.group
        if self.outdone:
            return Standing.UNSURE, "another process has this name"
        heard = group.spoken
        if now - self._unsure_from < self.settle_ms:
            if heard < self._unsure_from:
                stopped = group.stopped_at >= self._unsure_from
                return Standing.UNSURE, "just gone on after a stop" if stopped else "just started"
            if not group.synced and self.part < self.whole:
                return Standing.UNSURE, "just started"
        if self.whole > 1 and now - heard > self.silent_ms:
            return Standing.ALONE, "nobody else answers"
        if self.part >= self.whole:
            return Standing.WHOLE, "all members answer"
        if self.part == 1:
            return Standing.ALONE, "nobody else answers"
        missing = sorted(n for n, m in group.members.items() if m.claim.state is State.DEAD)
        unheard = self.whole - self.part - len(missing)
        told = [f"dead: {', '.join(missing[:5])}"] if missing else []
        told += [f"never heard: {unheard}"] if unheard > 0 else []
        return Standing.PARTED, "; ".join(told)

    def members(self, now: float) -> list[Known]:
        """What is held of each other member, in order of name."""
        found = []
        for name, m in sorted(self.group.members.items()):
            c = m.claim
            found.append(
                Known(
                    name,
                    c.address,
                    WORDS[c.state],
                    now - m.since,
                    m.by,
                    now - m.word,
                    now - m.heard,
                    c.incarnation,
                    c.life,
                )
            )
        return found
