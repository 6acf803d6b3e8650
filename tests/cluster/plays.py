"""Helpers for tests on a simulated cluster: changes, positions in the chain, and delayed links."""

from __future__ import annotations

from pebbledrift.control.orders import OrderStatus
from tests.cluster.simulation import Call, Cluster, change

THREE = ("a:1", "b:1", "c:1")
SLOW = 125_000.0  # bytes per second of a slow link: 1 Mbit/s


def status_of(call: Call) -> int | None:
    """The OrderStatus that answers a call; None without a clear answer."""
    return None if call.result is None else call.result.status


def head_of(cluster: Cluster) -> str:
    """Address of a replica that acts as the head of its chain."""
    return next(a for a, r in cluster.replicas.items() if r.link.is_head)


def tail_of(cluster: Cluster) -> str:
    """Address of a replica that acts as the tail of its chain."""
    return next(a for a, r in cluster.replicas.items() if r.link.is_tail)


def chain_of(cluster: Cluster, address: str) -> list[str]:
    """The chain from head to tail in the view of the replica at an address; empty without a view."""
    view = cluster.replicas[address].agreement.view
    return [node.partition("/")[0] for node in view.chain_nodes] if view is not None else []


def submit_change(cluster: Cluster, at: str, revision: int, base: int, note: str = "") -> None:
    """Submit a change at an address and assert that it is accepted within 0.5 s."""
    call = cluster.order(at, change(revision, base, note))
    cluster.run(0.5)
    assert status_of(call) == OrderStatus.ACCEPTED


def hold(cluster: Cluster, sender: str, receiver: str, seconds: float) -> None:
    """Hold back messages from sender to receiver, unless that link already holds some."""
    if not cluster.network.link(sender, receiver).held:
        cluster.network.hold(sender, receiver, seconds)
