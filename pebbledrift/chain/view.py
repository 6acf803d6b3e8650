"""Views: numbered configurations that list the voting members and the chain, from head to tail.

Each view is agreed on by the voters of the view before it.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from pebbledrift.cluster.codec import message

FOUNDING_GENERATION = "0"  # disk generation of the members that bootstrap a cluster


def node_name(address: str, generation: str) -> str:
    """Build the name of a replica from its address and the generation of its disk.

    A replica that loses its disk comes back under another name, since it has lost its votes too.
    """
    return f"{address}/{generation}"


def address_of(node: str) -> str:
    """Return the address part of a replica's name."""
    return node.rpartition("/")[0]


@message(40)
class ChainMember:
    """A replica in the chain, and the incarnation of its process that takes part."""

    node: str
    incarnation: int


@message(41)
class View:
    """An agreed configuration of the replicas.

    While members are being replaced, `previous_members` holds the old set: a quorum then needs a majority of
    both sets.
    """

    epoch: int
    members: tuple[str, ...]
    previous_members: tuple[str, ...]
    chain: tuple[ChainMember, ...]

    @property
    def voters(self) -> list[str]:
        """The replicas that vote on the next view: the members, then the previous ones."""
        return list(dict.fromkeys([*self.members, *self.previous_members]))

    @property
    def chain_nodes(self) -> list[str]:
        """The names of the replicas in the chain, head first."""
        return [member.node for member in self.chain]

    def is_quorum(self, nodes: Collection[str]) -> bool:
        """Whether these replicas are a majority of the members, and of the previous ones if there are any."""
        return _majority(self.members, nodes) and (
            not self.previous_members or _majority(self.previous_members, nodes)
        )

    def position(self, node: str, incarnation: int) -> int | None:
        """Return the index of a process in the chain, 0 for the head, or None if it is not in the chain."""
        for index, member in enumerate(self.chain):
            if member.node == node and member.incarnation == incarnation:
                return index
        return None


def _majority(members: Collection[str], nodes: Collection[str]) -> bool:
    return 2 * sum(member in nodes for member in members) > len(members)


def founding_view(addresses: Iterable[str]) -> View:
    """Return the first view, with epoch 1 and no chain yet. Every founding member computes the same one."""
    members = tuple(sorted(node_name(address, FOUNDING_GENERATION) for address in addresses))
    return View(1, members, (), ())
