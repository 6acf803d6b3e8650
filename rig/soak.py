"""A soak: a fleet of real processes under planned work that comes in series and overlaps.

    python -m rig.soak --seed 1 --seconds 20 --routers 4

Clients keep using their connections until the process is gone. Configurations change, routers get SIGHUP and
SIGTERM and are started again, workers are replaced. None of it may cost an answer: each request that a router
has read ends whole or with a final answer, streams are complete and in order, and what may run once does.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import resource
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rig.fleet import LONGEST_S, Fleet, example_config, wait_for
from rig.soak_client import WAIT_S, SoakClient
from rig.soak_records import RequestRecord, WorkerRecords, broken_promises
from rig.soak_worker import SoakWorker

GRACE_S = 8.0  # longer than any request of a soak takes beside other work
ONCE = frozenset(("plain", "once"))
CHANGES_S = (0.1, 0.3, 0.7, 1.4)  # between changes of the configuration
DISTURBANCES_S = (0.05, 0.3, 0.8, 1.5)  # between the other disturbances
CLIENTS_A_ROUTER = 8
WORKERS = 3
START_S = 40.0  # hundreds of processes start so much later than one
DESCRIPTORS = 16_384


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """What one soak is made of."""

    seed: int
    seconds: float
    keepers: int = 3
    routers: int = 4
    first: int = 10  # of the last bytes of the addresses: soaks side by side need their own


@dataclass(slots=True)
class SoakResult:
    """What came of a soak."""

    requests: list[RequestRecord]
    faults: list[str]
    done: Counter[str] = field(default_factory=Counter)  # planned work, by kind
    cuts: list[str] = field(default_factory=list)  # what routers said of answers that they cut

    def summary(self) -> str:
        """One line."""
        ends = Counter(f"{r.end.name} {r.status}" for r in self.requests)
        counted = ", ".join(f"{name}: {count}" for name, count in sorted(ends.items()))
        work = ", ".join(f"{name} {count}" for name, count in sorted(self.done.items()))
        return f"{len(self.requests)} requests ({counted}); {work}; {len(self.faults)} promises broken"


class Soak:
    """One fleet, its clients and its planned work."""

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        self.settings = settings
        self.fleet = Fleet(settings.keepers, settings.routers, folder, first=settings.first)
        self.fleet.bounds = {"grace-s": GRACE_S}
        self._random = random.Random(settings.seed)
        self._records = WorkerRecords()
        self._workers: list[SoakWorker] = []
        self._clients: list[SoakClient] = []
        self._leaving: set[str] = set()  # routers that have SIGTERM and are not ready again
        self._revision, self._worker_count = 1, 0
        self._done: Counter[str] = Counter()
        self._running: set[asyncio.Task[None]] = set()

    async def play(self) -> SoakResult:
        """Start all, play, and judge."""
        try:
            await self._open()
            await self._disturbed()
        finally:
            for worker in self._workers:
                worker.close()
            await asyncio.to_thread(self.fleet.close)
        requests = [record for client in self._clients for record in client.requests]
        faults = broken_promises(requests, self._records, ONCE)
        return SoakResult(requests, faults, self._done, self._cuts())

    async def _open(self) -> None:
        await asyncio.to_thread(self.fleet.start_all)
        for _ in range(WORKERS):
            await self._add_worker()
        status = await asyncio.to_thread(self.fleet.replace, self._config(), 0)
        assert status == 200, f"first configuration: {status}"
        for number in range(self.settings.routers):
            await asyncio.to_thread(self._wait_ready, number)

    async def _disturbed(self) -> None:
        """Clients and planned work side by side; then the work is let end, and the clients after it."""
        count = CLIENTS_A_ROUTER * min(self.settings.routers, 12)
        self._clients = [
            SoakClient(self.fleet, f"{self.settings.seed}-{n}", self._choose) for n in range(count)
        ]
        clients = [asyncio.create_task(client.run()) for client in self._clients]
        end = time.monotonic() + self.settings.seconds
        await asyncio.gather(self._change_configurations(end), self._disturb(end))
        await asyncio.gather(*self._running)
        for client in self._clients:
            client.stopping = True
        await asyncio.gather(*clients)

    def _wait_ready(self, number: int) -> None:
        address = self.fleet.routers[number]

        def ready() -> bool:
            if self.fleet.processes[address].poll() == -signal.SIGHUP:
                # it came before the interpreter ran the program: whoever runs the machine starts it again
                self._done["ended by SIGHUP before their program ran"] += 1
                self.fleet.start(address)
            return self.fleet.ready(number)

        wait_for(ready, f"router {number} ready", LONGEST_S + START_S)

    def _choose(self, drawn: random.Random) -> str:
        """A router as the platform hands out new connections: not one that is known to leave."""
        routers = [router for router in self.fleet.routers if router not in self._leaving]
        return drawn.choice(routers or self.fleet.routers)

    # planned work

    def _config(self) -> dict[str, Any]:
        """A configuration whose used routes are always there; time-outs and unused routes vary."""
        config = example_config(self._revision)
        stream = config["routes"][0]
        config["routes"].append({**stream, "name": "once", "path-prefix": "/once/", "resumable": False})
        for route in config["routes"]:
            route["timeout-ms"] = self._random.choice((WAIT_S, 2 * WAIT_S)) * 1000
        config["routes"] += [
            {**stream, "name": f"unused-{n}", "path-prefix": f"/unused-{n}/"}
            for n in range(self._random.choice((1, 8, 60)))
        ]
        config["limits"]["idle-timeout-ms"] = self._random.choice((5000, 15000))
        return config

    async def _change_configurations(self, end: float) -> None:
        while time.monotonic() < end:
            base, self._revision = self._revision, self._revision + self._random.randint(1, 3)
            keeper = self._random.randrange(self.settings.keepers)
            status = await asyncio.to_thread(self.fleet.replace, self._config(), base, keeper)
            assert status == 200, f"change of the configuration to {self._revision}: {status}"
            self._done["changes"] += 1
            await asyncio.sleep(self._random.choice(CHANGES_S))

    async def _disturb(self, end: float) -> None:
        kinds = (self._hang_up, self._restart, self._restart, self._replace_worker)
        while time.monotonic() < end:
            self._begin(self._random.choice(kinds))
            await asyncio.sleep(self._random.choice(DISTURBANCES_S))

    def _begin(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = asyncio.create_task(work())
        self._running.add(task)

    async def _hang_up(self) -> None:
        """Routers are told that their settings file has changed; one that leaves may be among them."""
        for router in self._random.sample(self.fleet.routers, min(3, len(self.fleet.routers))):
            if router in self.fleet.processes:
                self.fleet.processes[router].send_signal(signal.SIGHUP)
                self._done["SIGHUP"] += 1

    async def _restart(self) -> None:
        """SIGTERM, more than once at times, and a new process once the old one has ended."""
        staying = [router for router in self.fleet.routers if router not in self._leaving]
        if len(staying) <= max(1, len(self.fleet.routers) // 2):
            return
        router = self._random.choice(staying)
        self._leaving.add(router)
        process = self.fleet.processes[router]
        for _ in range(self._random.choice((1, 1, 2))):
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.01)
        await asyncio.to_thread(process.wait, GRACE_S + LONGEST_S)
        assert process.returncode == 0, f"{router} ended with {process.returncode}"
        self.fleet.start(router)
        number = self.fleet.routers.index(router)
        await asyncio.to_thread(self._wait_ready, number)
        self._leaving.discard(router)
        self._done["restarts"] += 1

    async def _add_worker(self) -> SoakWorker:
        self._worker_count += 1
        worker = SoakWorker(self.fleet, f"worker-{self._worker_count}", self._records)
        self._workers.append(worker)
        await worker.open()
        return worker

    async def _replace_worker(self) -> None:
        """A new worker begins first; the old one drains."""
        staying = [worker for worker in self._workers if worker.state == "ready"]
        if len(staying) < WORKERS:
            return
        leaving = self._random.choice(staying)
        await self._add_worker()
        await leaving.leave()
        self._done["workers replaced"] += 1

    def _cuts(self) -> list[str]:
        """What the logs say of answers that were cut and of callbacks that failed."""
        marks = ('event="answer cut"', "level=error", "level=critical")
        return [
            f"{path.stem}: {line}"
            for path in sorted(self.fleet.folder.glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
            if any(mark in line for mark in marks)
        ]


def allow_descriptors() -> None:
    """Many connections need many descriptors; within the limit that the machine sets."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, DESCRIPTORS)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, most), hard))


def play(settings: SoakSettings) -> SoakResult:
    """Play one soak in a folder of its own."""
    allow_descriptors()
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(settings, Path(folder)).play())


def main() -> int:
    """Play seeds one after the other; the exit code tells whether a promise was broken."""
    parser = argparse.ArgumentParser(prog="rig.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="seeds to play, from --seed on")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--keepers", type=int, default=3)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--first", type=int, default=10, help="first address, for soaks side by side")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.count):
        result = play(SoakSettings(seed, options.seconds, options.keepers, options.routers, options.first))
        print(f"seed {seed}: {result.summary()}", flush=True)
        for line in (*result.faults[:20], *result.cuts[:20]):
            print(f"    {line}", flush=True)
        broken += bool(result.faults)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
