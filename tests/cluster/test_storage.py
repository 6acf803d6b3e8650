"""The keeper's files: torn ends, damaged slots, a disk that refuses."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from pebbledrift.chain import slots
from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Entry, Identity, Image, Snapshot, Vote
from pebbledrift.chain.storage import Storage
from pebbledrift.chain.view import View
from pebbledrift.cluster.errors import StorageError
from tests.cluster.simulation import change

VIEW = View(3, ("a:1/0",), (), ())
VOTE = Vote((3, 1, "a:1/0"), (0, 0, ""), None)


def entry(number: int) -> Entry:
    return Entry(3, number, change(number, number - 1, "x" * 80))


def filled(folder: Path, count: int = 3) -> Storage:
    storage = Storage(folder)
    storage.open()
    storage.append([Identity("a:1/0"), VIEW, VOTE])
    for number in range(1, count + 1):
        storage.append([entry(number)])
    return storage


def image(count: int) -> Image:
    log = ReplicatedLog()
    for number in range(1, count + 1):
        log.append(entry(number))
    log.commit(count)
    return Image("a:1/0", VIEW, VOTE, log.snapshot(), ())


def test_what_was_synced_is_read_back(tmp_path: Path) -> None:
    filled(tmp_path).close()
    found = Storage(tmp_path).open()
    assert found.node == "a:1/0"
    assert found.stored.view == VIEW and found.stored.vote == VOTE
    assert [e.sequence for e in found.stored.entries] == [1, 2, 3]


@pytest.mark.parametrize("cut", range(1, 60, 7))
def test_a_torn_end_is_cut_off_and_written_over(tmp_path: Path, cut: int) -> None:
    filled(tmp_path).close()
    path = tmp_path / "log-a"
    os.truncate(path, path.stat().st_size - cut)
    storage = Storage(tmp_path)
    assert [e.sequence for e in storage.open().stored.entries] == [1, 2]
    storage.append([entry(3)])
    storage.close()
    assert [e.sequence for e in Storage(tmp_path).open().stored.entries] == [1, 2, 3]


def test_a_slot_takes_the_place_of_the_log(tmp_path: Path) -> None:
    storage = filled(tmp_path)
    storage.write_slot(image(3))
    storage.append([entry(4)])
    storage.close()
    found = Storage(tmp_path).open()
    assert found.stored.snapshot is not None and tuple(found.stored.snapshot.stamp) == (3, 3)
    assert [e.sequence for e in found.stored.entries] == [4]


def test_a_torn_slot_leaves_the_one_before_with_its_log(tmp_path: Path) -> None:
    storage = filled(tmp_path)
    storage.write_slot(image(3))
    storage.close()
    path = tmp_path / "slot-b"
    os.truncate(path, path.stat().st_size // 2)
    assert [e.sequence for e in Storage(tmp_path).open().stored.entries] == [1, 2, 3]


def test_a_damaged_slot_that_was_in_use_is_told(tmp_path: Path) -> None:
    storage = filled(tmp_path)
    storage.write_slot(image(3))
    storage.append([entry(4)])
    storage.close()
    path = tmp_path / "slot-b"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(StorageError, match="damaged"):
        Storage(tmp_path).open()


def test_a_refused_write_can_be_made_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    storage = filled(tmp_path)
    write = os.pwrite

    def half(descriptor: int, data: bytes, position: int) -> int:
        write(descriptor, bytes(data)[: len(data) // 2], position)
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(os, "pwrite", half)
    with pytest.raises(StorageError):
        storage.append([entry(4)])
    with pytest.raises(StorageError):
        storage.write_slot(image(3))
    monkeypatch.setattr(os, "pwrite", write)
    storage.append([entry(4)])
    storage.close()
    assert [e.sequence for e in Storage(tmp_path).open().stored.entries] == [1, 2, 3, 4]


def test_slots_are_written_in_turn(tmp_path: Path) -> None:
    pair = slots.SlotPair(tmp_path, "x")
    for number in range(5):
        pair.write(Snapshot((1, number), b"", []))
        again = slots.SlotPair(tmp_path, "x")
        assert again.newest().stamp[1] == number
    assert sorted(p.name for p in tmp_path.iterdir()) == ["x-a", "x-b"]
