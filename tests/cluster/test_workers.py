"""Tests that a keeper acknowledges a leaving worker only once a majority of the keepers has it on disk."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from pebbledrift.control.registry import (
    MAX_EXPIRED_INSTANCES,
    Instance,
    InstanceState,
    Registry,
    gone_instance,
    parse_heartbeat,
)
from pebbledrift.keeper import workers
from pebbledrift.keeper.instance_store import InstanceStore
from pebbledrift.keeper.workers import WorkerTracker
from pebbledrift.overlay.messages import (
    InstanceHeartbeats,
    InstanceSnapshot,
    InstanceUpdate,
    NumberedUpdate,
    UpdateReceived,
)

OWN, OTHER, THIRD = "a:1", "b:1", "c:1"
WAIT_S = 10.0


class Network:
    """Records what a tracker sends, and passes it on to the receivers in `reached`, by keeper address."""

    address = OWN
    router_count = 0

    def __init__(self) -> None:
        self.in_touch = True
        self.sent: list[Any] = []
        self.reached: dict[str, Callable[[Any], None]] = {}

    def send(self, address: str, message: Any, urgent: bool = False) -> None:
        self.sent.append(message)
        if address in self.reached:
            self.reached[address](message)

    def send_keepers(self, message: Any) -> int:
        self.sent.append(message)
        for receive in list(self.reached.values()):
            receive(message)
        return len(self.reached)


def make_tracker(network: Network, folder: Path, incarnation: int = 1, voters: int = 3) -> WorkerTracker:
    folder.mkdir(exist_ok=True)
    return WorkerTracker(
        network,  # type: ignore[arg-type]
        1.2,
        InstanceStore(folder),
        lambda update: None,
        lambda addresses: 2 * len(addresses) > voters,
        lambda now: network.in_touch,
        incarnation,
    )


def confirming(tracker: Callable[[], WorkerTracker], address: str) -> Callable[[Any], None]:
    """Returns the receiver of a keeper that confirms each numbered message."""

    def receive(message: Any) -> None:
        if isinstance(message, NumberedUpdate):
            tracker().on_keeper_message(address, UpdateReceived(message.number, message.incarnation))

    return receive


def instance(state: str = "ready", sequence: int = 1) -> Instance:
    body = {"backend": "lm", "address": "127.0.0.1:9", "slots": 2, "state": state, "sequence": sequence}
    return parse_heartbeat("i-1", body)


def run(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(scenario())


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(workers, "CONFIRM_TIMEOUT_S", 0.2)
    monkeypatch.setattr(workers, "CONFIRM_RETRY_S", 0.02)


@pytest.mark.parametrize("leaves", ["draining", "deregister"])
def test_without_reachable_keepers_nothing_is_acknowledged(tmp_path: Path, leaves: str) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path)
        assert await tracker.heartbeat(instance())
        if leaves == "draining":
            assert not await tracker.heartbeat(instance("draining", 2))
        else:
            assert not await tracker.deregister("i-1")

    run(scenario)


@pytest.mark.parametrize("leaves", ["draining", "deregister"])
def test_one_of_two_others_is_a_majority_and_messages_repeat_until_confirmed(
    tmp_path: Path, leaves: str
) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path)
        received: list[NumberedUpdate] = []

        def receive(message: Any) -> None:
            if isinstance(message, NumberedUpdate):
                received.append(message)
                if len(received) == 3:  # the first two are lost
                    confirming(lambda: tracker, OTHER)(message)

        network.reached[OTHER] = receive
        assert await tracker.heartbeat(instance())
        assert await (
            tracker.heartbeat(instance("draining", 2)) if leaves == "draining" else tracker.deregister("i-1")
        )
        assert len({message.number for message in received}) == 1
        count_before = len(received)
        assert await (
            tracker.heartbeat(instance("draining", 3)) if leaves == "draining" else tracker.deregister("i-1")
        )
        assert len(received) == count_before, "a confirmed state is not sent again"

    run(scenario)


def test_one_other_of_five_is_no_majority(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path, voters=5)
        network.reached[OTHER] = confirming(lambda: tracker, OTHER)
        assert not await tracker.deregister("i-1")
        network.reached[THIRD] = confirming(lambda: tracker, THIRD)
        assert await tracker.deregister("i-1")

    run(scenario)


def test_a_state_received_from_another_keeper_is_not_acknowledged_without_a_majority(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path)
        await tracker.heartbeat(instance())
        tracker.on_keeper_message(OTHER, InstanceUpdate((instance("draining", 2),)))
        assert not await tracker.heartbeat(instance("draining", 3))

    run(scenario)


def test_a_confirmation_for_an_earlier_incarnation_is_ignored(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path, incarnation=2)

        def receive(message: Any) -> None:
            if isinstance(message, NumberedUpdate):
                tracker.on_keeper_message(OTHER, UpdateReceived(message.number, 1))

        network.reached[OTHER] = receive
        assert not await tracker.deregister("i-1")

    run(scenario)


def test_a_keeper_confirms_once_the_state_is_on_its_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path)
        update = NumberedUpdate(7, 9, (instance("draining", 2),))
        done = asyncio.Event()

        def receive(message: Any) -> None:
            assert isinstance(message, UpdateReceived) and (message.number, message.incarnation) == (7, 9)
            done.set()

        network.reached[OTHER] = receive
        tracker.on_keeper_message(OTHER, update)
        assert not network.sent
        async with asyncio.timeout(WAIT_S):
            await done.wait()
        store = InstanceStore(tmp_path)
        saved = store._slots.newest()
        assert isinstance(saved, InstanceSnapshot)
        assert [i.state for i in saved.instances] == [InstanceState.DRAINING]

    run(scenario)


def test_without_a_successful_disk_write_nothing_is_confirmed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path)

        def fail(value: Any) -> None:
            raise OSError("full")

        assert tracker._store is not None
        monkeypatch.setattr(tracker._store._slots, "write", fail)
        tracker.on_keeper_message(OTHER, NumberedUpdate(7, 9, (instance("draining", 2),)))
        assert not await tracker.deregister("i-1")
        assert not any(isinstance(message, UpdateReceived) for message in network.sent)

    run(scenario)


def test_a_late_heartbeat_does_not_revert_a_leaving_worker(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path)
        network.reached[OTHER] = confirming(lambda: tracker, OTHER)
        assert await tracker.heartbeat(instance("draining", 5))
        assert await tracker.heartbeat(instance("ready", 4))
        assert tracker.registry.instances["i-1"].state == InstanceState.DRAINING
        assert await tracker.deregister("i-1")
        assert await tracker.heartbeat(instance("ready", 6))
        assert "i-1" not in tracker.registry.instances

    run(scenario)


def tick_for(tracker: WorkerTracker, now: float, seconds: int) -> float:
    """Lets time pass without heartbeats while the keeper runs; returns the new time."""
    for _ in range(seconds):
        now += 1.0
        tracker.tick(now)
    return now


SILENT_S = int(workers.FORGET_AFTER_S) + 3


@pytest.mark.parametrize("frozen_s", [1.0, 10.0, 64.0, 3600.0])
def test_a_keeper_that_stood_still_does_not_take_its_own_silence_for_the_workers(
    tmp_path: Path, frozen_s: float
) -> None:
    # review/4: a keeper that was stopped for 64 s ended all workers of the fleet for good
    async def scenario() -> None:
        tracker = make_tracker(Network(), tmp_path)
        assert await tracker.heartbeat(instance())
        now = tick_for(tracker, asyncio.get_running_loop().time(), 2)
        tracker.tick(now + frozen_s)
        assert [known.state for known in tracker.registry.snapshot()] == [InstanceState.READY]

    asyncio.run(scenario())


def test_a_keeper_that_is_cut_off_does_not_take_its_own_silence_for_the_workers(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path)
        assert await tracker.heartbeat(instance())
        network.in_touch = False
        now = tick_for(tracker, asyncio.get_running_loop().time(), 600)
        assert list(tracker.registry.instances) == ["i-1"]
        network.in_touch = True
        tick_for(tracker, now, SILENT_S)
        assert not tracker.registry.instances, "a crashed worker expires once the keeper is back in touch"

    asyncio.run(scenario())


def test_an_expired_worker_is_not_told_as_ended_and_comes_back_with_a_newer_heartbeat(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        tracker = make_tracker(network, tmp_path)
        assert await tracker.heartbeat(instance(sequence=5))
        now = tick_for(tracker, asyncio.get_running_loop().time(), SILENT_S)
        assert not tracker.registry.snapshot()
        tracker.on_keeper_message(OTHER, InstanceSnapshot((instance(sequence=5),), True))
        assert not await tracker.heartbeat(instance(sequence=4)), "a heartbeat that waited in a socket"
        assert not tracker.registry.instances
        assert await tracker.heartbeat(instance(sequence=6))
        assert network.sent[-1] == InstanceUpdate((instance(sequence=6),))
        tick_for(tracker, now + SILENT_S, SILENT_S)
        assert not tracker.registry.instances
        tracker.on_keeper_message(OTHER, InstanceHeartbeats((("i-1", 6), ("i-2", 9)), 1))
        assert not tracker.registry.instances
        tracker.on_keeper_message(OTHER, InstanceHeartbeats((("i-1", 7),), 1))
        assert tracker.registry.snapshot() == [instance(sequence=7)]

    asyncio.run(scenario())


def test_a_worker_that_was_leaving_or_has_deregistered_does_not_come_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        for number, ending in enumerate((instance("draining", 2), gone_instance("i-1"))):
            tracker = make_tracker(Network(), tmp_path / str(number))
            assert await tracker.heartbeat(instance())
            tracker.merge((ending,))
            tick_for(tracker, asyncio.get_running_loop().time(), SILENT_S)
            tracker.merge((instance(sequence=9),))
            tracker.on_keeper_message(OTHER, InstanceHeartbeats((("i-1", 10),), 1))
            assert [known.state for known in tracker.registry.snapshot()] == [InstanceState.GONE]

    asyncio.run(scenario())


def test_a_worker_that_deregisters_after_it_expired_has_ended(tmp_path: Path) -> None:
    async def scenario() -> None:
        tracker = make_tracker(Network(), tmp_path)
        assert await tracker.heartbeat(instance())
        tick_for(tracker, asyncio.get_running_loop().time(), SILENT_S)
        tracker.merge((gone_instance("i-1"),))
        tracker.merge((instance(sequence=9),))
        assert tracker.registry.is_gone("i-1") and not tracker.registry.instances

    asyncio.run(scenario())


def test_an_expired_worker_that_does_not_number_its_heartbeats_comes_back() -> None:
    registry = Registry()
    registry.merge(instance(sequence=0), 0.0)
    registry.expire(["i-1"])
    assert registry.merge(instance(sequence=0), 1.0) == instance(sequence=0)


def test_the_memory_of_expired_workers_is_bounded() -> None:
    registry = Registry()
    for number in range(2 * MAX_EXPIRED_INSTANCES):
        name = f"i-{number}"
        registry.merge(replace(instance(), id=name), 0.0)
        assert [expired.id for expired in registry.expire([name])] == [name]
    assert len(registry._expired) == MAX_EXPIRED_INSTANCES
    assert not registry.instances and not registry.last_heartbeat_at
