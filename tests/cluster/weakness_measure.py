"""How long the control state is weaker than it should be after a disk was lost: by state size and bandwidth.

    python -m tests.cluster.weakness_measure

prints the table of docs/results/control.md, from the start of the empty member until it is a member, in the
chain and holds all, and no change of members is under way; and for a second loss while a member that has just
come back still copies what it lacks.
"""

from __future__ import annotations

import json
import random

from pebbledrift.control.orders import Order, OrderKind
from tests.cluster.simulation import Cluster

THREE = ("a:1", "b:1", "c:1")
SIZES = (10_000, 250_000, 1_000_000, 4_000_000)
MBPS = (1.0, 5.0, 10.0, 100.0, 1000.0)
CHANGES = 300
LONGEST_S = 120.0
STEP_S = 0.02


def routes(size: int) -> list[dict[str, object]]:
    """Routes as an operator's configuration has them, of about so many bytes."""
    drawn = random.Random(1)
    found: list[dict[str, object]] = []
    total = 0
    while total < size:
        name = f"r-{drawn.randrange(36**6):x}"
        route: dict[str, object] = {
            "name": name,
            "hostname": f"h{drawn.randrange(100)}.example",
            "path-prefix": f"/{name}/",
            "route-type": "streaming",
            "timeout-ms": drawn.randrange(1000, 20000),
            "target-latency-ms": drawn.randrange(100, 300),
            "priority": drawn.randrange(4),
            "backend": f"b{drawn.randrange(5)}",
            "max-attempts": drawn.randrange(1, 3),
        }
        found.append(route)
        total += len(json.dumps(route))
    return found


def change(revision: int, base: int, content: object) -> Order:
    """One configuration."""
    body = json.dumps({"revision": revision, "content": content}).encode()
    return Order(OrderKind.REPLACE, base, body)


def weakness(content: object, mbps: float) -> float | None:
    """Seconds, or None where it takes longer than LONGEST_S."""
    cluster = Cluster(THREE)
    cluster.run(2.0)
    for revision in range(1, CHANGES):
        cluster.order("a:1", change(revision, revision - 1, ""))
        cluster.run(0.02)
    cluster.order("a:1", change(CHANGES, CHANGES - 1, content))
    cluster.run(2.0)
    cluster.wipe("b:1")
    cluster.run(1.0)
    cluster.network.bytes_per_s = mbps * 1e6 / 8
    cluster.start("b:1")
    begun = cluster.now
    while not whole(cluster):
        if cluster.now - begun > LONGEST_S:
            return None
        cluster.run(STEP_S)
    return cluster.now - begun


def whole(cluster: Cluster, newcomer: str = "b:1") -> bool:
    """Whether all members hold all and nothing is being changed."""
    replica = cluster.replicas[newcomer]
    view = replica.agreement.view
    if view is None or view.previous_members or len(view.chain) < len(THREE):
        return False
    return replica.settings.node in view.chain_nodes and replica.log.state.revision == CHANGES


def weakness_after_two(content: object, mbps: float) -> tuple[float, float, int] | None:
    """A member has just come back when another one's disk is lost for good, and a machine comes for it.

    Seconds from the newcomer's start until its vote counts, and until all are whole; and the views begun
    meanwhile. None where that takes longer than LONGEST_S.
    """
    cluster = Cluster(THREE)
    cluster.run(2.0)
    cluster.kill("c:1")
    cluster.run(2.0)
    for revision in range(1, CHANGES):
        cluster.order("a:1", change(revision, revision - 1, ""))
        cluster.run(0.02)
    cluster.order("a:1", change(CHANGES, CHANGES - 1, content))
    cluster.run(2.0)
    cluster.network.bytes_per_s = mbps * 1e6 / 8
    cluster.start("c:1")
    cluster.run(0.5)
    cluster.wipe("b:1")
    cluster.run(1.0)
    first = cluster.replicas["a:1"].link.epoch
    cluster.start("d:1")
    begun, voted = cluster.now, None
    while not whole(cluster, "d:1"):
        if cluster.now - begun > LONGEST_S:
            return None
        cluster.run(STEP_S)
        view = cluster.replicas["a:1"].agreement.view
        newcomer = cluster.replicas["d:1"].settings.node
        if voted is None and view is not None and newcomer in view.members:
            voted = cluster.now - begun
    return voted or 0.0, cluster.now - begun, cluster.replicas["a:1"].link.epoch - first


def print_after_two() -> None:
    """Print what `weakness_after_two` finds."""
    drawn = random.Random(3)
    print("\n| state | link | its vote counts | all are whole | views |")
    print("| --- | --- | --- | --- | --- |")
    for size in (1_000_000, 2_000_000):
        content = drawn.randbytes(size // 2).hex()
        for mbps in (1.0, 5.0, 100.0):
            found = weakness_after_two(content, mbps)
            told = "no | no | " if found is None else f"{found[0]:.2f} s | {found[1]:.2f} s | {found[2]}"
            print(f"| {size / 1e6:g} MB, random | {mbps:g} Mbit/s | {told} |", flush=True)


def main() -> None:
    """Print the tables."""
    drawn = random.Random(2)
    print("| state | " + " | ".join(f"{mbps:g} Mbit/s" for mbps in MBPS) + " |")
    print("| --- |" + " --- |" * len(MBPS))
    for size in SIZES:
        for name, content in (("routes", routes(size)), ("random", drawn.randbytes(size // 2).hex())):
            taken = [weakness(content, mbps) for mbps in MBPS]
            told = [f"over {LONGEST_S:g} s" if seconds is None else f"{seconds:.2f} s" for seconds in taken]
            print(f"| {size / 1e6:g} MB, {name} | " + " | ".join(told) + " |", flush=True)
    print_after_two()


if __name__ == "__main__":
    main()
