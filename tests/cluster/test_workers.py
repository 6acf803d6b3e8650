"""What a keeper needs before it acknowledges that a worker leaves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from pebbledrift.control.registry import Instance, InstanceState, parse_heartbeat
from pebbledrift.keeper import workers
from pebbledrift.keeper.instance_store import InstanceStore
from pebbledrift.keeper.workers import WorkerDesk
from pebbledrift.overlay.messages import InstanceSnapshot, InstanceUpdate, NumberedUpdate, UpdateReceived

OWN, OTHER, THIRD = "a:1", "b:1", "c:1"
WAIT_S = 10.0


class Network:
    """Takes what a desk sends; a keeper that is reached answers as `confirms` says."""

    address = OWN
    router_count = 0

    def __init__(self) -> None:
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


def desk(network: Network, folder: Path, incarnation: int = 1, voters: int = 3) -> WorkerDesk:
    folder.mkdir(exist_ok=True)
    return WorkerDesk(
        network,  # type: ignore[arg-type]
        1.2,
        InstanceStore(folder),
        lambda news: None,
        lambda addresses: 2 * len(addresses) > voters,
        incarnation,
    )


def confirming(own: Callable[[], WorkerDesk], address: str) -> Callable[[Any], None]:
    def receive(message: Any) -> None:
        if isinstance(message, NumberedUpdate):
            own().from_keeper(address, UpdateReceived(message.number, message.incarnation))

    return receive


def instance(state: str = "ready", sequence: int = 1) -> Instance:
    body = {"backend": "lm", "address": "127.0.0.1:9", "slots": 2, "state": state, "sequence": sequence}
    return parse_heartbeat("i-1", body)


def play(scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(scenario())


@pytest.fixture(autouse=True)
def short(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(workers, "CONFIRM_S", 0.2)
    monkeypatch.setattr(workers, "CONFIRM_AGAIN_S", 0.02)


@pytest.mark.parametrize("leaves", ["draining", "deregister"])
def test_whom_nobody_hears_gives_no_acknowledgement(tmp_path: Path, leaves: str) -> None:
    async def scenario() -> None:
        network = Network()
        made = desk(network, tmp_path)
        assert await made.heartbeat(instance())
        if leaves == "draining":
            assert not await made.heartbeat(instance("draining", 2))
        else:
            assert not await made.deregister("i-1")

    play(scenario)


@pytest.mark.parametrize("leaves", ["draining", "deregister"])
def test_one_of_two_others_is_a_majority_and_it_is_told_until_it_has_confirmed(
    tmp_path: Path, leaves: str
) -> None:
    async def scenario() -> None:
        network = Network()
        made = desk(network, tmp_path)
        told: list[NumberedUpdate] = []

        def receive(message: Any) -> None:
            if isinstance(message, NumberedUpdate):
                told.append(message)
                if len(told) == 3:  # the first two are lost
                    confirming(lambda: made, OTHER)(message)

        network.reached[OTHER] = receive
        assert await made.heartbeat(instance())
        assert await (
            made.heartbeat(instance("draining", 2)) if leaves == "draining" else made.deregister("i-1")
        )
        assert len({news.number for news in told}) == 1
        before = len(told)
        assert await (
            made.heartbeat(instance("draining", 3)) if leaves == "draining" else made.deregister("i-1")
        )
        assert len(told) == before, "a majority is known to have it"

    play(scenario)


def test_one_of_five_is_none(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        made = desk(network, tmp_path, voters=5)
        network.reached[OTHER] = confirming(lambda: made, OTHER)
        assert not await made.deregister("i-1")
        network.reached[THIRD] = confirming(lambda: made, THIRD)
        assert await made.deregister("i-1")

    play(scenario)


def test_what_was_heard_from_another_keeper_is_not_acknowledged_without_a_majority(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        made = desk(network, tmp_path)
        await made.heartbeat(instance())
        made.from_keeper(OTHER, InstanceUpdate((instance("draining", 2),)))
        assert not await made.heartbeat(instance("draining", 3))

    play(scenario)


def test_an_answer_to_the_process_before_confirms_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        made = desk(network, tmp_path, incarnation=2)

        def receive(message: Any) -> None:
            if isinstance(message, NumberedUpdate):
                made.from_keeper(OTHER, UpdateReceived(message.number, 1))

        network.reached[OTHER] = receive
        assert not await made.deregister("i-1")

    play(scenario)


def test_a_keeper_confirms_once_it_is_on_its_disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        network = Network()
        made = desk(network, tmp_path)
        news = NumberedUpdate(7, 9, (instance("draining", 2),))
        done = asyncio.Event()

        def receive(message: Any) -> None:
            assert isinstance(message, UpdateReceived) and (message.number, message.incarnation) == (7, 9)
            done.set()

        network.reached[OTHER] = receive
        made.from_keeper(OTHER, news)
        assert not network.sent
        async with asyncio.timeout(WAIT_S):
            await done.wait()
        store = InstanceStore(tmp_path)
        saved = store._slots.newest()
        assert isinstance(saved, InstanceSnapshot)
        assert [i.state for i in saved.instances] == [InstanceState.DRAINING]

    play(scenario)


def test_a_disk_that_refuses_confirms_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        network = Network()
        made = desk(network, tmp_path)

        def refuse(value: Any) -> None:
            raise OSError("full")

        assert made._store is not None
        monkeypatch.setattr(made._store._slots, "write", refuse)
        made.from_keeper(OTHER, NumberedUpdate(7, 9, (instance("draining", 2),)))
        assert not await made.deregister("i-1")
        assert not any(isinstance(message, UpdateReceived) for message in network.sent)

    play(scenario)


def test_a_late_heartbeat_does_not_bring_back_what_leaves(tmp_path: Path) -> None:
    async def scenario() -> None:
        network = Network()
        made = desk(network, tmp_path)
        network.reached[OTHER] = confirming(lambda: made, OTHER)
        assert await made.heartbeat(instance("draining", 5))
        assert await made.heartbeat(instance("ready", 4))
        assert made.registry.instances["i-1"].state == InstanceState.DRAINING
        assert await made.deregister("i-1")
        assert await made.heartbeat(instance("ready", 6))
        assert "i-1" not in made.registry.instances

    play(scenario)
