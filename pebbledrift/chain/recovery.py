"""Restores the state of a replica from the image in a slot and the records written after it."""

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
from pebbledrift.chain.replica import StoredState
from pebbledrift.chain.view import View


@dataclass(slots=True)
class RecoveredState:
    """The name of the replica that owns the disk, with its view, vote and log."""

    node: str | None = None  # None: the disk names no replica
    stored: StoredState = field(default_factory=StoredState)


def recover(image: Image | None, records: Iterable[Record]) -> RecoveredState:
    """Rebuild the state from the image, if there is one, and from the records that follow it, in order."""
    recovered = RecoveredState()
    if image is not None:
        recovered.node = image.node
        recovered.stored = StoredState(image.view, image.vote, image.snapshot, list(image.entries))
    for record in records:
        _apply_record(recovered, record)
    return recovered


def _apply_record(recovered: RecoveredState, record: Record) -> None:
    stored = recovered.stored
    if isinstance(record, Identity):
        recovered.node = record.node
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
