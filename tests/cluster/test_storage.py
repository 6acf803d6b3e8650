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
from pebbledrift.keeper.startup import load_or_create_identity, open_disk, open_storage
from tests.cluster.simulated_disk import PowerLost, SimulatedFiles
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


FOLDER = Path("disk")


def test_an_empty_folder_founds_and_one_that_cannot_be_read_never(tmp_path: Path) -> None:
    first = open_storage(tmp_path)
    assert load_or_create_identity(first, "a:1", ["a:1", "b:1"], "g").node == "a:1/0"
    assert first.storage is not None
    first.storage.append([Identity("a:1/0"), VIEW, VOTE])
    first.storage.close()
    path = tmp_path / "keeper" / "log-a"
    path.write_bytes(path.read_bytes()[: slots.HEADER.size] + b"\x00" * 100)
    again = open_storage(tmp_path)
    assert load_or_create_identity(again, "a:1", ["a:1", "b:1"], "g").node == "a:1/g"
    assert again.recovered.stored.view is None


def test_a_damaged_slot_never_founds(tmp_path: Path) -> None:
    folder = tmp_path / "keeper"
    folder.mkdir()
    storage = filled(folder)
    storage.write_slot(image(3))
    storage.append([entry(4)])
    storage.close()
    (folder / "slot-b").write_bytes(b"damaged")
    opened = open_storage(tmp_path)
    assert not opened.was_empty
    assert load_or_create_identity(opened, "a:1", ["a:1"], "g").node == "a:1/g"


def test_what_follows_a_slot_whose_write_failed_is_read_back() -> None:
    """The slot was whole when the sync of its folder failed: a start would go on from it."""
    files = SimulatedFiles(1)
    storage = Storage(FOLDER, files)
    storage.open()
    storage.append([Identity("a:1/0"), VIEW, VOTE, entry(1), entry(2), entry(3)])
    sync_folder, calls = files.sync_folder, []

    def fail_second(folder: Path) -> None:
        calls.append(folder)
        if len(calls) == 2:
            raise OSError(errno.EIO, "failed")
        sync_folder(folder)

    files.sync_folder = fail_second  # type: ignore[method-assign]
    with pytest.raises(StorageError):
        storage.write_slot(image(3))
    storage.append([entry(4)])
    files.lose_power()
    found = Storage(FOLDER, files).open()
    assert found.stored.entries and found.stored.entries[-1].sequence == 4


def test_a_slot_that_was_read_but_not_synced_lasts() -> None:
    """A process ended between the write of a slot and its sync; the next one goes on from it."""
    for seed in range(20):
        files = SimulatedFiles(seed)
        storage = Storage(FOLDER, files)
        storage.open()
        storage.append([Identity("a:1/0"), VIEW, VOTE, entry(1), entry(2), entry(3)])
        files.power_fails_at = 6  # the log was begun, the slot is written
        with pytest.raises(PowerLost):
            storage.write_slot(image(3))
        files.power_fails_at = None
        again = Storage(FOLDER, files)
        again.open()
        again.append([entry(4)])
        files.lose_power()
        opened = open_disk(Storage(FOLDER, files))
        stored = opened.recovered.stored
        assert stored.entries and stored.entries[-1].sequence == 4, f"seed {seed}"


@pytest.mark.parametrize("operation", range(12))
def test_power_lost_at_any_operation_leaves_all_that_was_synced(operation: int) -> None:
    for seed in range(10):
        files = SimulatedFiles(seed)
        storage = Storage(FOLDER, files)
        storage.open()
        storage.append([Identity("a:1/0"), VIEW, VOTE, entry(1), entry(2), entry(3)])
        files.power_fails_at = operation
        try:
            storage.write_slot(image(3))
            storage.append([entry(4)])
        except PowerLost:
            pass
        files.lose_power()
        found = Storage(FOLDER, files).open()
        assert found.node == "a:1/0" and found.stored.vote == VOTE
        newest = found.stored.entries[-1].sequence if found.stored.entries else 0
        snapshot = found.stored.snapshot
        assert max(newest, snapshot.stamp[1] if snapshot is not None else 0) >= 3
