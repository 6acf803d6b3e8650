"""Durable storage of a keeper: torn log ends, damaged slots, failing writes, power loss."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest

from pebbledrift.chain import slots
from pebbledrift.chain.files import SystemFiles
from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.messages import Entry, Identity, Image, Snapshot, Vote
from pebbledrift.chain.storage import Storage
from pebbledrift.chain.view import View
from pebbledrift.cluster.errors import StorageError
from pebbledrift.keeper.startup import load_or_create_identity, open_disk, open_storage
from tests.cluster.simulated_disk import Change, PowerLost, SimulatedFiles
from tests.cluster.simulation import change

VIEW = View(3, ("a:1/0",), (), ())
VOTE = Vote((3, 1, "a:1/0"), (0, 0, ""), None)


@pytest.mark.parametrize("existing", ["", "a", "a/b", "a/b/c"])
def test_the_entries_of_new_directories_are_durable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, existing: str
) -> None:
    """Guards against a keeper whose folder, with all that it acknowledged, is gone after a loss of power."""
    (tmp_path / existing).mkdir(parents=True, exist_ok=True)
    synced: set[Path] = set()
    monkeypatch.setattr(SystemFiles, "sync_directory", lambda self, directory: synced.add(directory))
    SystemFiles().make_directory(tmp_path / "a" / "b" / "c")
    new = {"": {".", "a", "a/b"}, "a": {"a", "a/b"}, "a/b": {"a/b"}, "a/b/c": {"a/b"}}[existing]
    assert synced == {tmp_path / path for path in new}


def entry(number: int) -> Entry:
    return Entry(3, number, change(number, number - 1, "x" * 80))


def filled_storage(directory: Path, count: int = 3) -> Storage:
    """An open storage with an identity, a view, a vote and `count` entries."""
    storage = Storage(directory)
    storage.open()
    storage.append([Identity("a:1/0"), VIEW, VOTE])
    for number in range(1, count + 1):
        storage.append([entry(number)])
    return storage


def image(count: int) -> Image:
    """An image whose snapshot includes `count` entries."""
    log = ReplicatedLog()
    for number in range(1, count + 1):
        log.append(entry(number))
    log.commit(count)
    return Image("a:1/0", VIEW, VOTE, log.snapshot(), ())


def test_synced_records_are_read_back(tmp_path: Path) -> None:
    filled_storage(tmp_path).close()
    recovered = Storage(tmp_path).open()
    assert recovered.node == "a:1/0"
    assert recovered.stored.view == VIEW and recovered.stored.vote == VOTE
    assert [e.sequence for e in recovered.stored.entries] == [1, 2, 3]


@pytest.mark.parametrize("cut", range(1, 60, 7))
def test_torn_log_end_is_truncated_and_overwritten(tmp_path: Path, cut: int) -> None:
    filled_storage(tmp_path).close()
    path = tmp_path / "log-a"
    os.truncate(path, path.stat().st_size - cut)
    storage = Storage(tmp_path)
    assert [e.sequence for e in storage.open().stored.entries] == [1, 2]
    storage.append([entry(3)])
    storage.close()
    assert [e.sequence for e in Storage(tmp_path).open().stored.entries] == [1, 2, 3]


def test_new_slot_replaces_the_log(tmp_path: Path) -> None:
    storage = filled_storage(tmp_path)
    storage.write_slot(image(3))
    storage.append([entry(4)])
    storage.close()
    recovered = Storage(tmp_path).open()
    assert recovered.stored.snapshot is not None and tuple(recovered.stored.snapshot.stamp) == (3, 3)
    assert [e.sequence for e in recovered.stored.entries] == [4]


def test_torn_slot_falls_back_to_the_previous_slot_and_its_log(tmp_path: Path) -> None:
    storage = filled_storage(tmp_path)
    storage.write_slot(image(3))
    storage.close()
    path = tmp_path / "slot-b"
    os.truncate(path, path.stat().st_size // 2)
    assert [e.sequence for e in Storage(tmp_path).open().stored.entries] == [1, 2, 3]


def test_damaged_slot_that_was_in_use_is_an_error(tmp_path: Path) -> None:
    storage = filled_storage(tmp_path)
    storage.write_slot(image(3))
    storage.append([entry(4)])
    storage.close()
    path = tmp_path / "slot-b"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 0xFF
    path.write_bytes(data)
    with pytest.raises(StorageError, match="damaged"):
        Storage(tmp_path).open()


def test_refused_write_can_be_repeated(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    storage = filled_storage(tmp_path)
    write = os.pwrite

    def write_half(descriptor: int, data: bytes, position: int) -> int:
        write(descriptor, bytes(data)[: len(data) // 2], position)
        raise OSError(errno.ENOSPC, "full")

    monkeypatch.setattr(os, "pwrite", write_half)
    with pytest.raises(StorageError):
        storage.append([entry(4)])
    with pytest.raises(StorageError):
        storage.write_slot(image(3))
    monkeypatch.setattr(os, "pwrite", write)
    storage.append([entry(4)])
    storage.close()
    assert [e.sequence for e in Storage(tmp_path).open().stored.entries] == [1, 2, 3, 4]


def test_slots_are_written_alternately(tmp_path: Path) -> None:
    pair = slots.SlotPair(tmp_path, "x")
    for number in range(5):
        pair.write(Snapshot((1, number), b"", []))
        reopened = slots.SlotPair(tmp_path, "x")
        assert reopened.newest().stamp[1] == number
    assert sorted(p.name for p in tmp_path.iterdir()) == ["x-a", "x-b"]


DIRECTORY = Path("disk")


def test_empty_directory_founds_a_cluster_and_unreadable_one_does_not(tmp_path: Path) -> None:
    first = open_storage(tmp_path)
    assert load_or_create_identity(first, "a:1", ["a:1", "b:1"], "g").node == "a:1/0"
    assert first.storage is not None
    first.storage.append([Identity("a:1/0"), VIEW, VOTE])
    first.storage.close()
    path = tmp_path / "keeper" / "log-a"
    path.write_bytes(path.read_bytes()[: slots.HEADER.size] + b"\x00" * 100)
    reopened = open_storage(tmp_path)
    assert load_or_create_identity(reopened, "a:1", ["a:1", "b:1"], "g").node == "a:1/g"
    assert reopened.recovered.stored.view is None


def test_damaged_slot_never_founds_a_cluster(tmp_path: Path) -> None:
    directory = tmp_path / "keeper"
    directory.mkdir()
    storage = filled_storage(directory)
    storage.write_slot(image(3))
    storage.append([entry(4)])
    storage.close()
    (directory / "slot-b").write_bytes(b"damaged")
    opened = open_storage(tmp_path)
    assert not opened.was_empty
    assert load_or_create_identity(opened, "a:1", ["a:1"], "g").node == "a:1/g"


def test_records_after_a_failed_slot_write_are_read_back() -> None:
    """The directory sync after a complete slot write fails: without an erase a restart uses that slot."""
    files = SimulatedFiles(1)
    storage = Storage(DIRECTORY, files)
    storage.open()
    storage.append([Identity("a:1/0"), VIEW, VOTE, entry(1), entry(2), entry(3)])
    sync_directory, calls = files.sync_directory, []

    def fail_second(directory: Path) -> None:
        calls.append(directory)
        if len(calls) == 2:
            raise OSError(errno.EIO, "failed")
        sync_directory(directory)

    files.sync_directory = fail_second  # type: ignore[method-assign]
    with pytest.raises(StorageError):
        storage.write_slot(image(3))
    storage.append([entry(4)])
    files.lose_power()
    recovered = Storage(DIRECTORY, files).open()
    assert recovered.stored.entries and recovered.stored.entries[-1].sequence == 4


def test_slot_that_was_read_but_not_synced_is_durable() -> None:
    """A process ends between the write and the sync of a slot, and the next one continues from that slot."""
    for seed in range(20):
        files = SimulatedFiles(seed)
        storage = Storage(DIRECTORY, files)
        storage.open()
        storage.append([Identity("a:1/0"), VIEW, VOTE, entry(1), entry(2), entry(3)])
        files.power_fails_at = 6  # after the new log is created and the slot is written
        with pytest.raises(PowerLost):
            storage.write_slot(image(3))
        files.power_fails_at = None
        reopened = Storage(DIRECTORY, files)
        reopened.open()
        reopened.append([entry(4)])
        files.lose_power()
        opened = open_disk(Storage(DIRECTORY, files))
        stored = opened.recovered.stored
        assert stored.entries and stored.entries[-1].sequence == 4, f"seed {seed}"


class FailingFiles(SimulatedFiles):
    """Files of which one operation fails with an error of the disk."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.fails_at: int | None = None  # number of operations until then

    def _fail_once(self) -> None:
        if self.fails_at is None:
            return
        self.fails_at -= 1
        if self.fails_at < 0:
            self.fails_at = None
            raise OSError(errno.EIO, "failed")

    def _count_operation(self) -> None:
        super()._count_operation()
        self._fail_once()

    def read(self, path: Path) -> bytes:
        self._fail_once()
        return super().read(path)

    def sizes(self, directory: Path) -> dict[Path, int]:
        self._fail_once()
        return super().sizes(directory)


@pytest.mark.parametrize("new_slot", [False, True])
def test_a_disk_error_at_the_start_discards_no_stored_state(new_slot: bool) -> None:
    """Guards against a keeper that loses its disk's state because an operation failed while it started."""
    failed = 0
    for operation in range(20):
        files = FailingFiles(1)
        storage = Storage(DIRECTORY, files)
        storage.open()
        storage.append([Identity("a:1/0"), VIEW, VOTE, entry(1), entry(2), entry(3)])
        if new_slot:
            storage.write_slot(image(3))
            storage.append([entry(4)])
        files.fails_at = operation
        reopened = Storage(DIRECTORY, files)
        try:
            opened = open_disk(reopened)
        except StorageError:
            failed += 1
            opened = open_disk(reopened)
        files.fails_at = None
        assert opened.recovered.node == "a:1/0" and opened.recovered.stored.vote == VOTE
        assert opened.recovered.stored.entries[-1].sequence == (4 if new_slot else 3)
        reopened.append([entry(5 if new_slot else 4)])
    assert failed > 5


def test_a_keeper_waits_for_a_disk_that_cannot_be_opened(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    directory = tmp_path / "keeper"
    directory.mkdir()
    filled_storage(directory).close()
    fsync, failures = os.fsync, [OSError(errno.EIO, "failed"), OSError(errno.ENOSPC, "full")]

    def fail_first(descriptor: int) -> None:
        if failures:
            raise failures.pop()
        fsync(descriptor)

    monkeypatch.setattr(os, "fsync", fail_first)
    monkeypatch.setattr("pebbledrift.keeper.startup.OPEN_RETRY_S", 0.0)
    opened = open_storage(tmp_path)
    assert opened.recovered.node == "a:1/0" and not opened.was_empty
    assert caplog.messages.count("disk cannot be opened, will retry") == 2


def test_a_discarded_storage_does_not_count_as_empty_when_its_removal_is_repeated() -> None:
    files = FailingFiles(1)
    storage = Storage(DIRECTORY, files)
    storage.open()
    storage.append([Identity("a:1/0"), VIEW, VOTE, entry(1)])
    storage.write_slot(image(1))
    storage.append([entry(2)])
    files.files[DIRECTORY / "slot-b"].changes.append(Change(0, b"damaged"))
    remove = files.remove

    def remove_and_fail_later(path: Path) -> None:
        remove(path)
        files.fails_at = None if files.files else 0

    files.remove = remove_and_fail_later  # type: ignore[method-assign]
    reopened = Storage(DIRECTORY, files)
    with pytest.raises(StorageError):
        open_disk(reopened)
    assert not open_disk(reopened).was_empty


@pytest.mark.parametrize("operation", range(12))
def test_power_loss_at_any_operation_keeps_synced_records(operation: int) -> None:
    for seed in range(10):
        files = SimulatedFiles(seed)
        storage = Storage(DIRECTORY, files)
        storage.open()
        storage.append([Identity("a:1/0"), VIEW, VOTE, entry(1), entry(2), entry(3)])
        files.power_fails_at = operation
        try:
            storage.write_slot(image(3))
            storage.append([entry(4)])
        except PowerLost:
            pass
        files.lose_power()
        recovered = Storage(DIRECTORY, files).open()
        assert recovered.node == "a:1/0" and recovered.stored.vote == VOTE
        newest = recovered.stored.entries[-1].sequence if recovered.stored.entries else 0
        snapshot = recovered.stored.snapshot
        assert max(newest, snapshot.stamp[1] if snapshot is not None else 0) >= 3
