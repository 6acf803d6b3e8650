"""Measures how long a change takes to reach every router, and what an idle tree sends, in simulated time.

    python -m tests.cluster.relay_measure

prints a table for docs/results/relay.md. Keepers have links of 100 Mbit/s and routers of 5 Mbit/s; the
network delay is 1 ms.
"""

from __future__ import annotations

import random
import statistics
import sys

from tests.cluster.relay_simulation import Fabric

CHANGES = 40
CHECK_INTERVAL_S = 0.002
MAX_DELAY_S = 10.0
IDLE_DURATION_S = 20.0
LARGE_CHANGE_BYTES = 100_000  # the size of 350 routes
MAX_CHILDREN = {"all at keepers": (64, 2), "a third at relays": (12, 4)}


def start_fleet(routers: int, children: tuple[int, int]) -> Fabric:
    """Return a fleet that has run for 12 s, so that its relay tree is stable."""
    zones = ["a", "b", "c"]
    fabric = Fabric(zones, 6, routers, mbps=(100.0, 5.0), children=children, seed=routers)
    fabric.run(12.0)
    return fabric


def propagation_times(fabric: Fabric, size: int, kill_keeper: bool) -> list[float]:
    """Return, for each of CHANGES commits, the seconds until the last running router has it.

    A delay is cut off soon after MAX_DELAY_S. With `kill_keeper`, a keeper is killed before each change.
    """
    rng, delays = random.Random(7), []
    for number in range(CHANGES):
        keeper = fabric.seeds[number % len(fabric.seeds)]
        if kill_keeper:
            fabric.kill(keeper)
        fabric.run(rng.uniform(0.0, 1.0))
        committed_at = fabric.now
        fabric.commit(number + 2, size)
        sequence = fabric.committed_entries[-1].sequence
        while any(r.node.follower.log.committed.sequence < sequence for r in fabric.routers.values()):
            fabric.run(CHECK_INTERVAL_S)
            if fabric.now - committed_at > MAX_DELAY_S:
                break
        delays.append(fabric.now - committed_at)
        if kill_keeper:
            fabric.start_keeper(keeper)
            fabric.run(4.0)
    return delays


def idle_bytes_per_second(fabric: Fabric) -> tuple[float, float]:
    """Return the bytes per second sent in an idle fleet by the busiest router and by the busiest keeper."""
    before = {address: process.bytes_sent for address, process in fabric.processes.items()}
    fabric.run(IDLE_DURATION_S)
    sent = {a: (p.bytes_sent - before[a]) / IDLE_DURATION_S for a, p in fabric.processes.items()}
    keepers = [sent[address] for address in fabric.seeds]
    return max(sent[address] for address in fabric.routers), max(keepers)


def main() -> int:
    """Print both tables: delays of changes, and traffic of an idle fleet."""
    print("| routers | tree | change | median ms | worst ms |")
    print("| --- | --- | --- | --- | --- |")
    idle_rows = []
    for routers in (10, 80):
        for tree, children in MAX_CHILDREN.items():
            for size, kill_keeper, name in (
                (0, False, "small"),
                (0, True, "small, a keeper killed just before"),
                (LARGE_CHANGE_BYTES, False, "100 KB"),
            ):
                times = propagation_times(start_fleet(routers, children), size, kill_keeper)
                row = f"{1000 * statistics.median(times):.0f} | {1000 * max(times):.0f}"
                print(f"| {routers} | {tree} | {name} | {row} |", flush=True)
            idle_rows.append((routers, tree, *idle_bytes_per_second(start_fleet(routers, children))))
    print("\n| routers | tree | bytes a second at rest: router | keeper |\n| --- | --- | --- | --- |")
    for routers, tree, router, keeper in idle_rows:
        print(f"| {routers} | {tree} | {router:.0f} | {keeper:.0f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
