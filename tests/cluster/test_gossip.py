"""Gossip over real datagrams, and the first words of a router on its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from pebbledrift.cluster.boot import Address, format_address
from pebbledrift.control.registry import Instance, InstanceState, gone_instance
from pebbledrift.overlay.endpoint import GossipService, open_endpoint, open_gossip
from pebbledrift.overlay.messages import ConfigFetch, Subscribe, TokenGrant, TokenReport
from pebbledrift.overlay.node import RelayNode, RelaySettings
from pebbledrift.overlay.sampling import PeerDescriptor

LONGEST_S = 10.0


async def eventually(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LONGEST_S):
        while not condition():
            await asyncio.sleep(0.005)


async def free_address() -> Address:
    """An address that was free a moment ago."""
    endpoint = await open_endpoint(("127.0.0.1", 0), lambda told: None)
    assert endpoint._transport is not None
    address: Address = endpoint._transport.get_extra_info("sockname")
    endpoint.close()
    await asyncio.sleep(0)
    return address


class Member:
    """One node's gossip on a socket of its own."""

    def __init__(self, service: GossipService, heard: list[Instance]) -> None:
        self.service, self.heard = service, heard

    @property
    def known(self) -> set[str]:
        return {peer.address for peer in self.service.gossip.view.peers}


async def member(contacts: list[PeerDescriptor]) -> tuple[Member, PeerDescriptor]:
    heard: list[Instance] = []
    address = await free_address()
    own = PeerDescriptor(format_address(address), "a", False, 0)
    service = await open_gossip(address, own, contacts, lambda told: heard.extend(told))
    assert service is not None
    return Member(service, heard), own


async def with_members(count: int, act: Callable[[list[Member]], Any]) -> None:
    members: list[Member] = []
    contacts: list[PeerDescriptor] = []
    for _ in range(count):
        made, own = await member(contacts[:1])
        members.append(made)
        contacts.append(own)
    try:
        await act(members)
    finally:
        for one in members:
            one.service.endpoint.close()


def test_nodes_that_know_one_contact_come_to_know_each_other() -> None:
    async def act(members: list[Member]) -> None:
        now = 0.0

        def mixed() -> bool:
            nonlocal now
            now += 2.0
            for one in members:
                one.service.gossip.tick(now)
            return all(len(one.known) >= 4 for one in members)

        await eventually(mixed)

    asyncio.run(with_members(8, act))


def test_a_worker_that_leaves_is_told_to_nodes_of_the_view_and_one_that_is_ready_is_not() -> None:
    ready = Instance("w", "lm", "127.0.0.1:1", "a", "v", 1, InstanceState.READY, 1, "", 0.0)

    async def act(members: list[Member]) -> None:
        await eventually(lambda: bool(members[1].known))
        members[1].service.gossip.spread([ready, gone_instance("w1")])
        await eventually(lambda: bool(members[0].heard))
        assert members[0].heard == [gone_instance("w1")]

    asyncio.run(with_members(2, act))


def test_what_is_no_message_is_dropped_and_the_next_one_is_heard() -> None:
    async def play() -> None:
        told: list[Any] = []
        first = await open_endpoint(("127.0.0.1", 0), told.append)
        other = await open_endpoint(("127.0.0.1", 0), lambda message: None)
        assert first._transport is not None and other._transport is not None
        target = first._transport.get_extra_info("sockname")
        other._transport.sendto(b"\xff\x00nonsense", target)
        other._transport.sendto(b"x" * 9000, target)
        other.send("nowhere", Subscribe("a"))
        other.send(format_address(target), Subscribe("a"))
        await eventually(lambda: bool(told))
        assert told == [Subscribe("a")]
        first.close()
        other.close()

    asyncio.run(play())


class Owner:
    """A router that does nothing."""

    def configured(self, config: dict[str, Any]) -> None: ...

    def instances_changed(self) -> None: ...

    def granted(self, grant: TokenGrant) -> None: ...

    def report(self, epoch: int) -> TokenReport:
        return TokenReport(epoch, 0.0, ())


@pytest.mark.parametrize("count", [1, 3])
def test_a_router_that_has_nothing_asks_every_keeper_that_it_reaches_at_once(count: int) -> None:
    contacts = tuple(f"10.0.0.{number}:1" for number in range(count))
    sent: list[tuple[str, Any]] = []
    settings = RelaySettings("r", "10.1.0.0:2", "a", contacts, 4)
    node = RelayNode(settings, Owner(), lambda address, message: sent.append((address, message)), 0.0)
    assert node.tick(0.0) == set(contacts)
    for address in contacts:
        node.outgoing_opened(address, 0.01)
    for address in contacts:
        told = [type(message) for to, message in sent if to == address]
        assert told == [ConfigFetch, Subscribe]
