"""The agreed view: who may vote, who is in the chain and in which order; each view follows one before it."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from pebbledrift.cluster.codec import message

FOUNDER = "0"  # generation of the disks that a cluster is founded with


def node_name(address: str, generation: str) -> str:
    """A replica: an address and the disk that it has there. A lost disk makes it another one."""
    return f"{address}/{generation}"


def address_of(node: str) -> str:
    """The address of a replica."""
    return node.rpartition("/")[0]


@message(40)
class ChainMember:
    """A replica in the chain, and the start of its process that takes part."""

    node: str
    incarnation: int


@message(41)
class View:
    """An agreed configuration of the replicas.

    While members are being replaced `previous` holds those before: a majority of both has to agree then.
    """

    epoch: int
    members: tuple[str, ...]
    previous: tuple[str, ...]
    chain: tuple[ChainMember, ...]

    @property
    def voters(self) -> list[str]:
        """All that are asked, in the agreed order."""
        return list(dict.fromkeys([*self.members, *self.previous]))

    @property
    def chain_nodes(self) -> list[str]:
        """The replicas of the chain, head first."""
        return [member.node for member in self.chain]

    def is_quorum(self, nodes: Collection[str]) -> bool:
        """Whether these replicas are a majority of the members, and of those before where they change."""
        return _majority(self.members, nodes) and (not self.previous or _majority(self.previous, nodes))

    def position(self, node: str, incarnation: int) -> int | None:
        """The place of a process in the chain."""
        for number, member in enumerate(self.chain):
            if member.node == node and member.incarnation == incarnation:
                return number
        return None


def _majority(members: Collection[str], nodes: Collection[str]) -> bool:
    return 2 * sum(member in nodes for member in members) > len(members)


def founding_view(addresses: Iterable[str]) -> View:
    """The first view, the same at every founder; it has no chain yet."""
    members = tuple(sorted(node_name(address, FOUNDER) for address in addresses))
    return View(1, members, (), ())
