"""What hearing the other nodes costs one node: python -m bench.peers [--nodes 40 200].

One process tells at the rate of a whole fleet, another hears it by PeerSocket and OccupancyTable, stepping
as often as a node with its share of the jobs does. Printed: datagrams heard, CPU a second, wakes a second.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import socket
import time

from pebbledrift.bounds import Limits
from pebbledrift.fleet.fills import FORM, OccupancyTable
from pebbledrift.net.datagrams import PeerSocket

TOLD_A_SECOND = 4.0  # by each node: a start and an end of two jobs
STEPS_A_SECOND = 20.0
WORKERS = [random.Random(1).getrandbits(64) for _ in range(130)]


def tell(where: tuple[str, int], end: socket.socket, nodes: int, seconds: float) -> None:
    """The rest of the fleet, each datagram at its own moment."""
    draw = random.Random(2)
    fills = OccupancyTable(256, 2000.0, 5000.0)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        time.sleep(draw.expovariate((nodes - 1) * TOLD_A_SECOND))
        fills.add_slots(draw.choice(WORKERS), draw.choice((1.0, -1.0)))
        data = fills.next_datagram(time.monotonic() * 1000, time.time() * 1000)
        if data is not None:
            end.sendto(data, where)


async def hear(nodes: int, seconds: float) -> str:
    """One node that hears all others; a line with its figures."""
    limits = Limits()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as end:
        end.bind(("127.0.0.1", 0))
        peers = PeerSocket(limits, (end.getsockname(),))
        fills = OccupancyTable(limits.datagram_bytes, limits.fills_again_ms, limits.fills_believed_ms)
        for worker in WORKERS:
            fills.add_worker(worker)
        heard = 0

        def take(data: bytes, peer: tuple[str, int]) -> None:
            nonlocal heard
            heard += 1
            fills.receive(1, data, time.monotonic() * 1000, time.time() * 1000)

        peers.readers[FORM] = take
        where = peers.listen(("127.0.0.1", 0), shared=False)
        child = os.fork()
        if not child:
            tell(where, end, nodes, seconds)
            os._exit(0)
        began = time.process_time()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(1 / STEPS_A_SECOND)
            peers.read()
            fills.take_changes(time.monotonic() * 1000)
        used = time.process_time() - began
        os.waitpid(child, 0)
        peers.close()
    return (
        f"{nodes:4} nodes: {heard / seconds:5.0f} datagrams/s  {1000 * used / seconds:5.1f} ms CPU/s"
        f"  {peers.wakes / seconds:4.1f} wakes/s"
    )


def main() -> None:
    """Print a line for each size of fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[40, 200])
    parser.add_argument("--seconds", type=float, default=5.0)
    arguments = parser.parse_args()
    for nodes in arguments.nodes:
        print(asyncio.run(hear(nodes, arguments.seconds)))


if __name__ == "__main__":
    main()
