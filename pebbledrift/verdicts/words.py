"""Operators' commands that hold for all nodes: bans of workers and a pause of the fleet. No I/O.

Any node accepts a ban at once. Lifting removes only the bans that the node knows of, since each ban has a
unique id (an observed-remove set: an element that is added again survives an earlier removal; Shapiro,
Preguiça, Baquero and Zawirski, "Conflict-free Replicated Data Types", 2011). A RESTORE on one side of a
network partition therefore leaves a SUSPEND on the other side in force, in whatever order they arrive. States
are merged, never counted: lost, duplicated and reordered commands do no harm.

Bounds: the state of one subject fits in one datagram. The id of a lifted ban may be forgotten after many
others. A member that was absent for that long would bring the ban back, which is the safe direction.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

ALL = ""  # the subject of a pause of all nodes
MAX_BANS, MAX_LIFTED = 8, 24  # ids kept for one subject
MAX_SUBJECTS = 2000
MAX_UID_BYTES = 64
ID_BYTES = 4
DIGEST_BYTES = 8


class InvalidCommand(ValueError):
    """Malformed bytes, or a subject that exceeds the bounds."""


@dataclass(slots=True)
class Subject:
    """The ids of the bans in force on one worker, and of the lifted bans, oldest first."""

    bans: dict[int, None] = field(default_factory=dict)
    lifted: dict[int, None] = field(default_factory=dict)


class OperatorCommands:
    """All commands that one node knows. `draw_id` returns an unpredictable 32-bit number."""

    def __init__(self, draw_id: Callable[[], int]) -> None:
        self.draw_id = draw_id
        self.subjects: dict[str, Subject] = {}

    def banned(self, uid: str) -> bool:
        """Return whether a worker is banned or, for ALL, whether the fleet is paused."""
        subject = self.subjects.get(uid)
        return subject is not None and bool(subject.bans)

    def ban(self, uid: str) -> None:
        """Ban a worker. Each call adds a ban with a new id, up to MAX_BANS. Raises InvalidCommand."""
        subject = self._subject(uid)
        if len(subject.bans) < MAX_BANS:
            subject.bans[self.draw_id() & 0xFFFFFFFF] = None

    def lift(self, uid: str) -> None:
        """Lift all bans of a worker that this node knows."""
        subject = self.subjects.get(uid)
        if subject is not None:
            subject.lifted.update(subject.bans)
            subject.bans.clear()
            _trim(subject)

    def lift_ids(self, uid: str, ids: list[int]) -> bool:
        """Lift exactly these bans. Returns whether the state changed. Raises InvalidCommand."""
        return self.merge(uid, Subject({}, dict.fromkeys(ids)))

    def merge(self, uid: str, received: Subject) -> bool:
        """Merge a state of a subject. Returns whether this changed anything. Raises InvalidCommand."""
        subject = self._subject(uid)
        before = set(subject.bans), set(subject.lifted)
        subject.lifted.update(received.lifted)
        subject.bans.update(received.bans)
        for number in [n for n in subject.bans if n in subject.lifted]:
            del subject.bans[number]
        # Bounds the datagram: one ban has the same effect as nine, and all nodes keep the same ones.
        for number in sorted(subject.bans)[MAX_BANS:]:
            del subject.bans[number]
        _trim(subject)
        return before != (set(subject.bans), set(subject.lifted))

    def state(self) -> dict[str, list[list[int]]]:
        """Return the whole state as plain data for storage."""
        subjects = ((uid, s) for uid, s in self.subjects.items() if s.bans or s.lifted)
        return {uid: [sorted(s.bans), list(s.lifted)] for uid, s in subjects}

    def restore(self, state: object) -> list[str]:
        """Merge a state stored by a previous process and return its subjects. Invalid parts are skipped."""
        restored = []
        for uid, stored in state.items() if isinstance(state, dict) else ():
            try:
                bans, lifted = ([int(number) & 0xFFFFFFFF for number in numbers] for numbers in stored)
                self.merge(str(uid), Subject(dict.fromkeys(bans), dict.fromkeys(lifted)))
            except (TypeError, ValueError):
                continue
            restored.append(str(uid))
        return restored

    def pack(self, uid: str) -> bytes:
        """Encode the state of one subject."""
        subject, name = self.subjects.get(uid, Subject()), uid.encode()
        head = bytes((len(name), len(subject.bans), len(subject.lifted))) + name
        return head + b"".join(n.to_bytes(ID_BYTES, "big") for n in (*subject.bans, *subject.lifted))

    def digest(self) -> bytes:
        """Return a hash of the state; two nodes with the same state have the same digest."""
        subjects = [(uid, s) for uid, s in sorted(self.subjects.items()) if s.bans or s.lifted]
        state = [(uid, sorted(s.bans), sorted(s.lifted)) for uid, s in subjects]
        return hashlib.blake2b(repr(state).encode(), digest_size=DIGEST_BYTES).digest()

    def _subject(self, uid: str) -> Subject:
        if len(uid.encode()) > MAX_UID_BYTES:
            raise InvalidCommand(f"a name of more than {MAX_UID_BYTES} bytes")
        subject = self.subjects.get(uid)
        if subject is None:
            if len(self.subjects) >= MAX_SUBJECTS:
                raise InvalidCommand(f"more than {MAX_SUBJECTS} workers that staff have spoken of")
            subject = self.subjects[uid] = Subject()
        return subject


def _trim(subject: Subject) -> None:
    for number in list(subject.lifted)[: max(0, len(subject.lifted) - MAX_LIFTED)]:
        del subject.lifted[number]


def unpack(body: bytes) -> tuple[str, Subject]:
    """Decode the uid and the state of a subject. Raises InvalidCommand if the bytes are malformed."""
    if len(body) < 3 or len(body) != 3 + body[0] + ID_BYTES * (body[1] + body[2]) or body[0] > MAX_UID_BYTES:
        raise InvalidCommand("malformed command: wrong length or uid too long")
    if body[1] > MAX_BANS or body[2] > MAX_LIFTED:
        raise InvalidCommand("malformed command: too many bans or lifted bans")
    try:
        uid = body[3 : 3 + body[0]].decode()
    except UnicodeDecodeError as error:
        raise InvalidCommand("malformed command: uid is not UTF-8") from error
    start = 3 + body[0]
    ids = [int.from_bytes(body[at : at + ID_BYTES], "big") for at in range(start, len(body), ID_BYTES)]
    return uid, Subject(dict.fromkeys(ids[: body[1]]), dict.fromkeys(ids[body[1] :]))


@dataclass(slots=True)
class CommandDelivery:
    """Delivery of a command to all members, repeated until all have acknowledged it or time runs out."""

    number: int
    waiting: set[str]  # members that have not acknowledged the command
    total: int  # members that must apply the command, including this one

    @property
    def complete(self) -> bool:
        """Whether all members have acknowledged the command."""
        return not self.waiting

    def result(self, unseen: int) -> str:
        """Return `done`, or which members have not acknowledged the command.

        `unseen` is the number of configured nodes that never contacted this node.
        """
        if self.complete and not unseen:
            return "done"
        missing = [*sorted(self.waiting)[:20], *([f"{unseen} never heard of"] if unseen else [])]
        summary = f"done at {self.total - len(self.waiting)} of {self.total + unseen}"
        return f"{summary}, not heard: {', '.join(missing)}"
