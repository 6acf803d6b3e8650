"""What a replica knows again after a restart, from the image in a slot and the records behind it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from pebbledrift.chain.messages import (
    Entry,
    Identity,
    Image,
    Record,
    Snapshot,
    Truncate,
    Vote,
)
from pebbledrift.chain.replica import Stored
from pebbledrift.chain.view import View


@dataclass(slots=True)
class Recovered:
    """The replica whose disk it is, and what it had promised and taken."""

    node: str | None = None
    stored: Stored = field(default_factory=Stored)


def recover(image: Image | None, records: Iterable[Record]) -> Recovered:
    """Replay a disk."""
    found = Recovered()
    if image is not None:
        found.node = image.node
        found.stored = Stored(image.view, image.vote, image.snapshot, list(image.entries))
    for record in records:
        _replay(found, record)
    return found


def _replay(found: Recovered, record: Record) -> None:
    stored = found.stored
    if isinstance(record, Identity):
        found.node = record.node
    elif isinstance(record, View):
        stored.view = record
    elif isinstance(record, Vote):
        stored.vote = record
    elif isinstance(record, Snapshot):
        stored.snapshot, stored.entries = record, []
    elif isinstance(record, Truncate):
        stored.entries = [entry for entry in stored.entries if entry.sequence <= record.sequence]
    elif isinstance(record, Entry):
        stored.entries.append(record)
