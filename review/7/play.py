"""Time-outs of 350 routes change 13 times: then requests run on more workers than `max-attempts` allows."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import defaultdict
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

ROUTES = 350  # the largest `big_config` of the site
VERSIONS = 13  # that change time-outs
PER_S = 100.0
WORKERS = 7  # 1 of 7 fails at a time: within the share of `srv_grey`, .15
FAILS = 0.4  # of its requests, as `x` of `srv_grey` has it
SPELLS, SPELL_S, PAUSE_S = 3, 6.0, 1.0  # of failures, each at another worker
DEADLINE_MS = 12000


class FailingWorker(Worker):
    """A worker that answers some of its requests with its own 500 while `failing` is set."""

    failing = False

    async def answer(
        self,
        first: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = headers.get("x-pebbledrift-request-id", "")
        ours = headers.get("x-pebbledrift-expect-instance", self.id) == self.id
        if not self.failing or not ours or random.random() >= FAILS:
            await super().answer(first, headers, body, reader, writer)
            return
        self.runs.append(Run(self.id, name, time.monotonic(), first, headers))
        self.fleet.record(f"worker {self.id}: runs {name} and fails")
        await asyncio.sleep(self.work_s)
        writer.write(head(500, {"X-Pebbledrift-Request-Id": name, **self.seal()}, 0))


def version(number: int, timeouts: int) -> dict[str, object]:
    """The configuration of a version: each route has a time-out of its own, by `timeouts`."""
    routes = [
        route(
            f"r{index:03d}",
            "safe",
            "kiosk",
            **{"max-attempts": 1, "timeout-ms": 4000 + 400 * timeouts + index},
        )
        for index in range(ROUTES)
    ]
    return configuration(number, routes, ["kiosk"])


async def ask_every_route(fleet: Fleet, tries: list[Try], seconds: float) -> None:
    """Send requests to the routes in turn, for at least one round."""
    pending: set[asyncio.Task[Try]] = set()
    began, number = time.monotonic(), 0
    while number < ROUTES or time.monotonic() - began < seconds:
        path = f"/r{number % ROUTES:03d}/1"
        task = asyncio.create_task(client_try(fleet, 0, path, tries, DEADLINE_MS))
        pending.add(task)
        task.add_done_callback(pending.discard)
        number += 1
        await asyncio.sleep(max(0.0, began + number / PER_S - time.monotonic()))
    if pending:
        await asyncio.wait(pending)


async def play(fleet: Fleet, trouble: bool) -> int:
    """Change the time-outs again and again, all routes in use, then have workers fail in turn."""
    await up(fleet, version(1, 0))
    runs: list[Run] = []
    workers = [FailingWorker(fleet, "kiosk", runs) for _ in range(WORKERS)]
    for worker in workers:
        await worker.open()
    await asyncio.sleep(2)
    tries: list[Try] = []
    for number in range(VERSIONS):
        await ask_every_route(fleet, tries, 0.0)
        if trouble:
            answer = await fleet.operate(
                "POST", "/-/config/replace", version(2 * number + 3, number + 1), max(1, 2 * number + 1)
            )
            if answer.status != 200:
                raise CouldNotRunError(f"version {2 * number + 3} was not taken: {answer.status}")
        await asyncio.sleep(0.5)
    await asyncio.sleep(2.5)
    judged_from = time.monotonic()
    for worker in workers[:SPELLS]:
        worker.failing = True
        fleet.record(f"worker {worker.id}: begins to fail")
        await ask_every_route(fleet, tries, SPELL_S)
        worker.failing = False
        await asyncio.sleep(PAUSE_S)
    ran_on: defaultdict[str, set[str]] = defaultdict(set)
    for run in runs:
        ran_on[run.request].add(run.worker)
    sent = [attempt for attempt in tries if attempt.sent_at >= judged_from]
    beyond = [attempt.request for attempt in sent if len(ran_on[attempt.request]) > 1]
    served = sum(attempt.answer is not None and attempt.answer.status == 200 for attempt in tries)
    say = fleet.record.say
    say(f"served: {served} of {len(tries)} in all; sent while a worker failed: {len(sent)}")
    say(f"requests that ran on more than max-attempts (1) workers: {len(beyond)}; more than 3 break the rule")
    for name in beyond[:10]:
        fleet.record(f"{name} ran on {', '.join(sorted(ran_on[name]))}")
    for worker in workers:
        await worker.close()
    return BROKEN if len(beyond) > 3 else HELD


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
