"""Gossip over real datagrams, and the first messages that a router sends on its connections."""

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

TIMEOUT_S = 10.0


async def eventually(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


async def free_address() -> Address:
    """Return an address that was free a moment ago."""
    endpoint = await open_endpoint(("127.0.0.1", 0), lambda message: None)
    assert endpoint._transport is not None
    address: Address = endpoint._transport.get_extra_info("sockname")
    endpoint.close()
    await asyncio.sleep(0)
    return address


class Member:
    """The gossip of one node, with its own socket, and the instances that it received."""

    def __init__(self, service: GossipService, received: list[Instance]) -> None:
        self.service, self.received = service, received

    @property
    def peer_addresses(self) -> set[str]:
        return {peer.address for peer in self.service.gossip.view.peers}


async def start_member(contacts: list[PeerDescriptor]) -> tuple[Member, PeerDescriptor]:
    received: list[Instance] = []
    address = await free_address()
    own = PeerDescriptor(format_address(address), "a", False, 0)
    service = await open_gossip(address, own, contacts, lambda instances: received.extend(instances))
    assert service is not None
    return Member(service, received), own


async def with_members(count: int, act: Callable[[list[Member]], Any]) -> None:
    members: list[Member] = []
    contacts: list[PeerDescriptor] = []
    for _ in range(count):
        member, own = await start_member(contacts[:1])
        members.append(member)
        contacts.append(own)
    try:
        await act(members)
    finally:
        for member in members:
            member.service.endpoint.close()


def test_nodes_that_share_one_contact_discover_each_other() -> None:
    async def act(members: list[Member]) -> None:
        now = 0.0

        def mixed() -> bool:
            nonlocal now
            now += 2.0
            for member in members:
                member.service.gossip.tick(now)
            return all(len(member.peer_addresses) >= 4 for member in members)

        await eventually(mixed)

    asyncio.run(with_members(8, act))


def test_a_leaving_worker_is_sent_to_nodes_of_the_view_and_a_ready_one_is_not() -> None:
    ready = Instance("w", "lm", "127.0.0.1:1", "a", "v", 1, InstanceState.READY, 1, "", 0.0)

    async def act(members: list[Member]) -> None:
        await eventually(lambda: bool(members[1].peer_addresses))
        members[1].service.gossip.spread([ready, gone_instance("w1")])
        await eventually(lambda: bool(members[0].received))
        assert members[0].received == [gone_instance("w1")]

    asyncio.run(with_members(2, act))


def test_a_malformed_datagram_is_dropped_and_the_next_message_is_received() -> None:
    async def exchange() -> None:
        received: list[Any] = []
        first = await open_endpoint(("127.0.0.1", 0), received.append)
        other = await open_endpoint(("127.0.0.1", 0), lambda message: None)
        assert first._transport is not None and other._transport is not None
        target = first._transport.get_extra_info("sockname")
        other._transport.sendto(b"\xff\x00nonsense", target)
        other._transport.sendto(b"x" * 9000, target)
        other.send("nowhere", Subscribe("a"))
        other.send(format_address(target), Subscribe("a"))
        await eventually(lambda: bool(received))
        assert received == [Subscribe("a")]
        first.close()
        other.close()

    asyncio.run(exchange())


class Owner:
    """A router that ignores all notifications."""

    def configured(self, config: dict[str, Any]) -> None: ...

    def instances_changed(self) -> None: ...

    def granted(self, grant: TokenGrant) -> None: ...

    def report(self, epoch: int) -> TokenReport:
        return TokenReport(epoch, 0.0, ())


@pytest.mark.parametrize("count", [1, 3])
def test_a_starting_router_queries_every_reachable_keeper_at_once(count: int) -> None:
    contacts = tuple(f"10.0.0.{number}:1" for number in range(count))
    sent: list[tuple[str, Any]] = []
    settings = RelaySettings("r", "10.1.0.0:2", "a", contacts, 4)
    node = RelayNode(settings, Owner(), lambda address, message: sent.append((address, message)), 0.0)
    assert node.tick(0.0) == set(contacts)
    for address in contacts:
        node.outgoing_opened(address, 0.01)
    for address in contacts:
        message_types = [type(message) for to, message in sent if to == address]
        assert message_types == [ConfigFetch, Subscribe]
