"""Routers are restarted one after the other beside an overload: a service gets too many repeats."""

from __future__ import annotations

import asyncio
import bisect
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    BROKEN,
    HELD,
    CouldNotRunError,
    Fleet,
    Run,
    Try,
    Worker,
    client_try,
    configuration,
    head,
    main,
    route,
    up,
)

WORKERS, SLOTS, QUEUE, WORK_S = 10, 1, 1, 0.5  # 20 requests a second
USUAL_PER_S, BURST = 16.0, 1.6  # the site's largest burst
BURST_S, BURST_PAUSE_S, BURSTS = 4.0, 1.0, 2
ROUTERS = 4
FIRST_S = 0.5  # from the beginning of the first burst to the first SIGTERM
GAP_S = 1.0  # between the routers' SIGTERMs
DEADLINE_MS = 1500
RATIO, WINDOW_S, SLACK = 0.2, 10.0, 60  # `retry-budget-ratio`, `budget-window-s`, `retry-budget-slack`


@dataclass
class Arrival:
    """A request that has arrived at a worker, run or not."""

    at: float
    request: str


class SmallWorker(Worker):
    """A worker with few slots and a short queue: a request beyond them is not run, and its answer says so."""

    arrivals: list[Arrival]

    async def open(self, port: int = 0) -> None:
        """Listen, and begin to send heartbeats."""
        self.slots = SLOTS
        self._room = asyncio.Semaphore(SLOTS)
        self._held = 0
        await super().open(port)

    async def answer(
        self,
        first: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = headers.get("x-pebbledrift-request-id", "")
        if headers.get("x-pebbledrift-expect-instance", self.id) != self.id:
            await super().answer(first, headers, body, reader, writer)
            return
        self.arrivals.append(Arrival(time.monotonic(), name))
        if self._held >= SLOTS + QUEUE:
            self.fleet.record(f"worker {self.id}: full, does not run {name}")
            full = {"X-Pebbledrift-Request-Id": name, "X-Pebbledrift-Not-Executed": "1", "Retry-After": "0.2"}
            writer.write(head(503, full, 0))
            return
        self._held += 1
        try:
            async with self._room:
                await super().answer(first, headers, body, reader, writer)
        finally:
            self._held -= 1


class Platform:
    """Hands new connections to the routers that are in, and restarts processes that end."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.missed = [0] * len(fleet.routers)
        self.number = 0

    async def watch(self) -> None:
        """Ask each router every second whether it is ready; two misses take it out."""
        while True:
            for router in range(len(self.missed)):
                self.missed[router] = 0 if await self.fleet.ready(router) else self.missed[router] + 1
            await asyncio.sleep(1.0)

    async def keep(self) -> None:
        """Start processes that have ended again, after a short delay."""
        while True:
            for host, process in list(self.fleet.processes.items()):
                if process.poll() is not None:
                    self.fleet.record(f"platform: {host} has ended, is started again")
                    await asyncio.sleep(0.1)
                    self.fleet.start(host)
            await asyncio.sleep(0.05)

    def pick(self) -> int:
        """The router of the next connection."""
        routers = [router for router, missed in enumerate(self.missed) if missed < 2]
        self.number += 1
        return (routers or list(range(len(self.missed))))[self.number % len(routers or self.missed)]


async def client(platform: Platform, tries: list[Try]) -> None:
    """Send a request, and once more where the answer promises that it has not run."""
    end = time.monotonic() + DEADLINE_MS / 1000
    for _ in range(2):
        left_ms = int((end - time.monotonic()) * 1000)
        attempt = await client_try(platform.fleet, platform.pick(), "/ping/1", tries, left_ms)
        assert attempt.answer is not None
        wait_s = float(attempt.answer.headers.get("retry-after", "0.1"))
        if attempt.answer.status not in (429, 503) or wait_s > (end - time.monotonic()) / 3:
            return
        await asyncio.sleep(wait_s)


def worst_window(arrivals: list[Arrival], tries: list[Try]) -> tuple[float, int, float, float]:
    """The window with the most repeats beyond the budget: the excess, repeats, budget, and its begin."""
    seen: set[str] = set()
    repeats: list[float] = []
    for arrival in sorted(arrivals, key=lambda a: a.at):
        if arrival.request in seen:
            repeats.append(arrival.at)
        seen.add(arrival.request)
    sent = sorted(attempt.sent_at for attempt in tries)

    def within(times: list[float], begin: float) -> int:
        return bisect.bisect_left(times, begin + WINDOW_S) - bisect.bisect_left(times, begin)

    worst = (float("-inf"), 0, 0.0, 0.0)
    for begin in repeats:
        requests = max(within(sent, begin - earlier) for earlier in (0.0, WINDOW_S / 2, WINDOW_S))
        count, budget = within(repeats, begin), RATIO * requests + SLACK
        worst = max(worst, (count - budget, count, budget, begin))
    return worst


async def play(fleet: Fleet, trouble: bool) -> int:
    """Overload the workers, and restart the routers in turn meanwhile."""
    routes = [route("ping", "unsafe", "kiosk", **{"max-attempts": 1, "target-latency-ms": 1000})]
    await up(fleet, configuration(1, routes, ["kiosk"]))
    fleet.bootstrap = False
    runs: list[Run] = []
    arrivals: list[Arrival] = []
    workers = [SmallWorker(fleet, "kiosk", runs) for _ in range(WORKERS)]
    for worker in workers:
        worker.arrivals, worker.work_s = arrivals, WORK_S
        await worker.open()
    platform = Platform(fleet)
    background = [asyncio.create_task(platform.watch()), asyncio.create_task(platform.keep())]
    await asyncio.sleep(3)
    tries: list[Try] = []
    clients: set[asyncio.Task[None]] = set()
    began = time.monotonic()
    bursts = [
        (12.0 + n * (BURST_S + BURST_PAUSE_S), 12.0 + n * (BURST_S + BURST_PAUSE_S) + BURST_S)
        for n in range(BURSTS)
    ]
    rolling: asyncio.Task[None] | None = None

    async def roll() -> None:
        for host in fleet.routers:
            fleet.signal(host, signal.SIGTERM)
            await asyncio.sleep(GAP_S)

    next_at = began
    while (now := time.monotonic()) < began + 32:
        if trouble and rolling is None and now >= began + 12.0 + FIRST_S:
            rolling = asyncio.create_task(roll())
        task = asyncio.create_task(client(platform, tries))
        clients.add(task)
        task.add_done_callback(clients.discard)
        high = any(start <= now - began < end for start, end in bursts)
        next_at += 1 / (USUAL_PER_S * (BURST if high else 1.0))
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
    if clients:
        await asyncio.wait(clients)
    for task in background:
        task.cancel()
    for worker in workers:
        await worker.close()
    excess, count, budget, begin = worst_window(arrivals, tries)
    say = fleet.record.say
    served = sum(attempt.answer is not None and attempt.answer.status == 200 for attempt in tries)
    say(f"served: {served} of {len(tries)} tries; arrivals at workers: {len(arrivals)}")
    say(f"worst window, from {begin - began:.1f} s: {count} repeats, the budget is {budget:.1f}")
    if not tries or not served:
        raise CouldNotRunError("nothing was served")
    return BROKEN if excess > 0 else HELD


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play, routers=ROUTERS))
