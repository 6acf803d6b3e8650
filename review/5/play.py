"""A router gets SIGTERM while requests wait in it for a worker: their connections end without an answer."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
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
    main,
    route,
    up,
)

TIMEOUT_MS, AIM_MS = 15_000, 12_000  # the route's; the site's largest time-out is 15 s
WORK_S = 11.0
WORKERS, RUNNING, WAITING = 2, 2, 6
GRACE_S = 8.0  # `grace-s`


async def play(fleet: Fleet, trouble: bool) -> int:
    """Fill the workers, have further requests wait at one router, and stop that router as planned work."""
    batch = route(
        "batch", "unsafe", "lm", **{"timeout-ms": TIMEOUT_MS, "target-latency-ms": AIM_MS, "max-attempts": 1}
    )
    await up(fleet, configuration(1, [batch], ["lm"]))
    runs: list[Run] = []
    workers = [Worker(fleet, "lm", runs) for _ in range(WORKERS)]
    for worker in workers:
        worker.slots, worker.work_s = 1, WORK_S
        await worker.open()
    await asyncio.sleep(4)  # the fleet is calm for longer than contact-ms
    tries: list[Try] = []
    tasks = []
    for number in range(RUNNING + WAITING):
        if number == RUNNING:
            await asyncio.sleep(1.0)
        tasks.append(asyncio.create_task(client_try(fleet, 0, "/batch/1", tries, TIMEOUT_MS)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    if len(runs) != RUNNING:
        raise CouldNotRunError(f"{len(runs)} requests run, not {RUNNING}")
    stopped_at = time.monotonic()
    if trouble:
        fleet.signal(fleet.routers[0], signal.SIGTERM)
    ended: dict[str, float] = {}
    for task in tasks:
        task.add_done_callback(lambda done: ended.setdefault(done.result().request, time.monotonic()))
    await asyncio.wait(tasks)
    for worker in workers:
        await worker.close()
    ran = {run.request for run in runs}
    lost = []
    for attempt in tries:
        answer = attempt.answer
        assert answer is not None
        after_s = ended[attempt.request] - stopped_at
        state = "had been passed on" if attempt.request in ran else "never reached a worker"
        fleet.record.say(
            f"{attempt.request} {state}: {answer.status} {answer.reason}, {after_s:.2f} s after the signal"
        )
        early = ended[attempt.request] - attempt.sent_at < TIMEOUT_MS / 1000
        if attempt.request not in ran and answer.status == 0 and early and after_s < GRACE_S + 1:
            lost.append(attempt.request)
    fleet.record.say(f"requests that were read, never passed on, and ended without an answer: {len(lost)}")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
