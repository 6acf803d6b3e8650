"""What tests ask of a cluster in the model: calls, and who is where in its chain."""

from __future__ import annotations

from pebbledrift.control.orders import OrderStatus
from tests.cluster.simulation import Call, Cluster, change

THREE = ("a:1", "b:1", "c:1")
SLOW = 125_000.0  # bytes a second: 1 Mbit/s


def verdict(call: Call) -> int | None:
    return None if call.judgement is None else call.judgement.status


def head_of(cluster: Cluster) -> str:
    return next(a for a, r in cluster.replicas.items() if r.link.is_head)


def tail_of(cluster: Cluster) -> str:
    return next(a for a, r in cluster.replicas.items() if r.link.is_tail)


def chain_of(cluster: Cluster, address: str) -> list[str]:
    view = cluster.replicas[address].agreement.view
    return [node.partition("/")[0] for node in view.chain_nodes] if view is not None else []


def taken(cluster: Cluster, at: str, revision: int, base: int, note: str = "") -> None:
    call = cluster.order(at, change(revision, base, note))
    cluster.run(0.5)
    assert verdict(call) == OrderStatus.ACCEPTED


def hold(cluster: Cluster, sender: str, receiver: str, seconds: float) -> None:
    if not cluster.network.link(sender, receiver).held:
        cluster.network.hold(sender, receiver, seconds)
