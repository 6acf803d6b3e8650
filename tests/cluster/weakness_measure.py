"""Measures how long redundancy is reduced after the loss of a disk, by state size and bandwidth.

    python -m tests.cluster.weakness_measure

prints the tables of docs/results/control.md. The time runs from the start of the empty member until it is a
member, is in the chain and holds all entries, and no change of members is in progress. A second table covers
a loss while a member that has just come back still copies the entries that it lacks.
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
MAX_WAIT_S = 120.0
STEP_S = 0.02


def routes(size: int) -> list[dict[str, object]]:
    """Returns routes as in an operator's configuration, of at least `size` bytes of JSON."""
    rng = random.Random(1)
    result: list[dict[str, object]] = []
    total = 0
    while total < size:
        name = f"r-{rng.randrange(36**6):x}"
        route: dict[str, object] = {
            "name": name,
            "hostname": f"h{rng.randrange(100)}.example",
            "path-prefix": f"/{name}/",
            "route-type": "streaming",
            "timeout-ms": rng.randrange(1000, 20000),
            "target-latency-ms": rng.randrange(100, 300),
            "priority": rng.randrange(4),
            "backend": f"b{rng.randrange(5)}",
            "max-attempts": rng.randrange(1, 3),
        }
        result.append(route)
        total += len(json.dumps(route))
    return result


def change(revision: int, base: int, content: object) -> Order:
    """Returns an order that replaces the configuration."""
    body = json.dumps({"revision": revision, "content": content}).encode()
    return Order(OrderKind.REPLACE, base, body)


def reduced_redundancy_s(content: object, mbps: float) -> float | None:
    """Returns the seconds from the start of the empty member until all are whole; None above MAX_WAIT_S."""
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
    started = cluster.now
    while not is_whole(cluster):
        if cluster.now - started > MAX_WAIT_S:
            return None
        cluster.run(STEP_S)
    return cluster.now - started


def is_whole(cluster: Cluster, newcomer: str = "b:1") -> bool:
    """Whether `newcomer` holds all changes in a full chain and no change of members is in progress."""
    replica = cluster.replicas[newcomer]
    view = replica.agreement.view
    if view is None or view.previous_members or len(view.chain) < len(THREE):
        return False
    return replica.settings.node in view.chain_nodes and replica.log.state.revision == CHANGES


def reduced_redundancy_after_two(content: object, mbps: float) -> tuple[float, float, int] | None:
    """Measures the loss of a second disk just after another member came back; a new machine replaces it.

    Returns the seconds from the new machine's start until its vote counts and until all are whole, and the
    number of views begun in between. None if that takes longer than MAX_WAIT_S.
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
    started, voted = cluster.now, None
    while not is_whole(cluster, "d:1"):
        if cluster.now - started > MAX_WAIT_S:
            return None
        cluster.run(STEP_S)
        view = cluster.replicas["a:1"].agreement.view
        newcomer = cluster.replicas["d:1"].settings.node
        if voted is None and view is not None and newcomer in view.members:
            voted = cluster.now - started
    return voted or 0.0, cluster.now - started, cluster.replicas["a:1"].link.epoch - first


def print_second_loss_table() -> None:
    """Print the table of `reduced_redundancy_after_two`."""
    rng = random.Random(3)
    print("\n| state | link | its vote counts | all are whole | views |")
    print("| --- | --- | --- | --- | --- |")
    for size in (1_000_000, 2_000_000):
        content = rng.randbytes(size // 2).hex()
        for mbps in (1.0, 5.0, 100.0):
            durations = reduced_redundancy_after_two(content, mbps)
            cells = (
                "no | no | "
                if durations is None
                else f"{durations[0]:.2f} s | {durations[1]:.2f} s | {durations[2]}"
            )
            print(f"| {size / 1e6:g} MB, random | {mbps:g} Mbit/s | {cells} |", flush=True)


def main() -> None:
    """Measure and print both tables."""
    rng = random.Random(2)
    print("| state | " + " | ".join(f"{mbps:g} Mbit/s" for mbps in MBPS) + " |")
    print("| --- |" + " --- |" * len(MBPS))
    for size in SIZES:
        for name, content in (("routes", routes(size)), ("random", rng.randbytes(size // 2).hex())):
            durations = [reduced_redundancy_s(content, mbps) for mbps in MBPS]
            cells = [
                f"over {MAX_WAIT_S:g} s" if seconds is None else f"{seconds:.2f} s" for seconds in durations
            ]
            print(f"| {size / 1e6:g} MB, {name} | " + " | ".join(cells) + " |", flush=True)
    print_second_loss_table()


if __name__ == "__main__":
    main()
