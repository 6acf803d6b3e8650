"""Stand-ins for workers, discovery and clients, as the protocol has them; all goes into the log."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web

from rig.links import Place

Log = Callable[..., None]
ANSWER_TRIES = 10
AGAIN_S = 0.2  # between a client's tries
BEHIND_S = 0.2  # that clients make up for at once when the rig was held up


async def serve(handler: Callable[[web.Request], Any]) -> tuple[web.AppRunner, Place]:
    """An HTTP server on a port that the kernel gives."""
    app = web.Application(client_max_size=1 << 20)
    app.router.add_route("*", "/{tail:.*}", handler)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, runner.addresses[0][:2]


class Worker:
    """Takes jobs, runs as many at once as it has slots, and is slow while it is cold.

    `nodes` tells by the host that a request names which node it came from; `back` where that is called back.
    """

    def __init__(self, uid: str, slots: int, cold_share: float, cold_ms: float, log: Log) -> None:
        self.uid, self.slots, self.log = uid, slots, log
        self.cold_share, self.cold_ms = cold_share, cold_ms
        self.boot_ms = 0.0  # long ago
        self.state = "in_service"
        self.nodes: dict[str, str] = {}
        self.back: dict[str, Place] = {}
        self.place: Place = ("127.0.0.1", 0)
        self.probes = 0
        # what it does wrong: whether a job of a node and kind fails at once, and how much longer a kind takes
        self.fails: Callable[[str, str], bool] = lambda node, kind: False
        self.stretch: dict[str, float] = {}
        self._room = asyncio.Semaphore(slots)
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None
        self._jobs: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()  # these, and those that still tell what became of theirs

    async def open(self) -> None:
        """Listen."""
        self._session = aiohttp.ClientSession()
        self._runner, self.place = await serve(self._handle)

    def share(self) -> float:
        """What it can do now, against what it can do warm."""
        age = time.time() * 1000 - self.boot_ms
        return min(1.0, self.cold_share + (1 - self.cold_share) * age / self.cold_ms)

    def restart(self) -> None:
        """A new process in its place: cold, and all that ran is lost."""
        for task in self._jobs.values():
            task.cancel()
        self._jobs.clear()
        self._room = asyncio.Semaphore(self.slots)
        self.boot_ms = time.time() * 1000
        self.log("worker restarted", worker=self.uid, slots=self.slots)

    def target(self, endpoint: Place) -> dict[str, Any]:
        """Its entry in discovery's list, as one node is told it."""
        return {
            "uid": self.uid,
            "endpoint": f"{endpoint[0]}:{endpoint[1]}",
            "az": "a",
            "model": "m",
            "pod_group": 0,
            "state": self.state,
            "capacity_hint": float(self.slots),
            "boot_ms": self.boot_ms,
        }

    async def _handle(self, request: web.Request) -> web.Response:
        node = self.nodes.get(request.headers.get("Host", ""), "?")
        if request.path.startswith("/-/"):
            self.probes += 1
            self.log("probe", worker=self.uid, node=node)
            return web.json_response({"x0": self._room._value})
        if request.method == "DELETE":
            job = request.path.rpartition("/")[2]
            task = self._jobs.pop(job, None)
            if task is not None:
                task.cancel()
            self.log("cancelled", worker=self.uid, node=node, id=job)
            return web.Response(status=204)
        job = request.headers["X-Call-Id"]
        work_ms = _work(await request.read())
        kind = request.path.strip("/").split("?")[0]
        self.log("arrived", worker=self.uid, node=node, id=job, kind=kind, work=work_ms, share=self.share())
        self._jobs[job] = task = asyncio.create_task(self._run(job, kind, node, work_ms))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return web.Response(status=202)

    async def _run(self, job: str, kind: str, node: str, work_ms: float) -> None:
        async with self._room:
            self.log("begun", worker=self.uid, node=node, id=job, kind=kind)
            await self._tell(node, {"id": job, "from": self.uid, "state": "started"})
            if self.fails(node, kind):
                self.log("failed", worker=self.uid, node=node, id=job, kind=kind)
                self._jobs.pop(job, None)
                await self._tell(node, {"id": job, "from": self.uid, "state": "failed"})
                return
            await asyncio.sleep(work_ms / 1000 / self.share() * self.stretch.get(kind, 1.0))
        self.log("done", worker=self.uid, node=node, id=job, kind=kind)
        self._jobs.pop(job, None)
        await self._tell(node, {"id": job, "from": self.uid, "state": "done", "result": f"ran {job}"})

    async def _tell(self, node: str, what: dict[str, Any]) -> None:
        place = self.back.get(node)
        if place is None or self._session is None:
            return
        url = f"http://{place[0]}:{place[1]}/v1/job-events"
        for attempt in range(ANSWER_TRIES):
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self._session.post(url, json=what, timeout=aiohttp.ClientTimeout(2.0)) as answer:
                    if answer.status in (200, 204):
                        return
            await asyncio.sleep(0.1 * (attempt + 1))

    async def close(self) -> None:
        """End."""
        for task in self._tasks:
            task.cancel()
        if self._session is not None:
            await self._session.close()
        if self._runner is not None:
            await self._runner.cleanup()


def _work(body: bytes) -> float:
    try:
        return float(body)
    except ValueError:
        return 50.0


class Discovery:
    """The whole list to each watch, then its changes; each node is told endpoints of its own."""

    def __init__(self, workers: list[Worker], log: Log) -> None:
        self.workers, self.log = workers, log
        self.rev = 1
        self.nodes: dict[str, str] = {}  # by the host that a call names
        self.endpoints: dict[tuple[str, str], Place] = {}  # by node and worker
        self.place: Place = ("127.0.0.1", 0)
        self.calls = 0
        self._changes: list[tuple[int, Worker]] = []
        self._told = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def open(self) -> None:
        """Listen."""
        self._runner, self.place = await serve(self._handle)

    async def change(self, worker: Worker, **values: Any) -> None:
        """A worker's entry is another one now."""
        for name, value in values.items():
            setattr(worker, name, value)
        async with self._told:
            self.rev += 1
            self._changes.append((self.rev, worker))
            self._told.notify_all()

    def _list(self, node: str, workers: list[Worker], whole: bool) -> dict[str, Any]:
        targets = [w.target(self.endpoints[node, w.uid]) for w in workers]
        return {"rev": self.rev, "all": whole, "targets": targets}

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        node = self.nodes.get(request.headers.get("Host", ""), "?")
        self.calls += 1
        if "follow" not in request.query:
            return web.json_response(self._list(node, self.workers, True))
        answer = web.StreamResponse()
        await answer.prepare(request)
        at = self.rev
        await self._write(answer, node, self._list(node, self.workers, True))
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                async with self._told:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(1.0):
                            await self._told.wait_for(lambda at=at: self.rev > at)  # type: ignore[misc]
                if self.rev == at:
                    await answer.write(b"\n")
                    continue
                changed = list(dict.fromkeys(w for rev, w in self._changes if rev > at))
                at = self.rev
                await self._write(answer, node, self._list(node, changed, False))
        return answer

    async def _write(self, answer: web.StreamResponse, node: str, news: dict[str, Any]) -> None:
        await answer.write(json.dumps(news).encode() + b"\n")
        states = {t["uid"]: t["state"] for t in news["targets"]}
        self.log("told", node=node, rev=news["rev"], states=states)

    async def close(self) -> None:
        """End."""
        if self._runner is not None:
            await self._runner.cleanup()


class Clients:
    """Jobs at a rate, spread over the nodes that are there; every answer goes into the log."""

    def __init__(self, log: Log, random: Any, kinds: list[tuple[str, float, float]]) -> None:
        self.log, self.random = log, random
        self.kinds = kinds  # name, time to give up in s, work in ms
        self.numbers = itertools.count()
        self.open: set[asyncio.Task[None]] = set()
        self.caller: Callable[[str], str] = lambda node: "acme"  # whose job comes next to a node
        self.weights: dict[str, float] = {}  # by node: how much of the jobs come to it, against 1
        self.again = 0  # tries that a client makes after one that was not served
        self.over = asyncio.Event()  # no more jobs are wanted
        self._session: aiohttp.ClientSession | None = None

    async def run(self, rate: float, seconds: float, front: Callable[[], dict[str, Place]]) -> None:
        """Send jobs for so long, or until it is `over`. `front` tells the nodes that take clients now.

        Jobs come at times of their own, whatever the last one's sending took, so that the rate holds.
        """
        connector = aiohttp.TCPConnector(limit=200)
        self._session = aiohttp.ClientSession(connector=connector)
        due = time.monotonic()
        end = due + seconds
        while (now := time.monotonic()) < end and not self.over.is_set():
            # guards the nodes: a rig that was held up does not send all that it missed in one moment
            due = max(due, now - BEHIND_S) + float(self.random.exponential(1 / rate))
            nodes = front()
            if nodes:
                names = sorted(nodes)
                weights = [self.weights.get(name, 1.0) for name in names]
                if not any(weights):
                    names, weights = sorted(nodes), [1.0] * len(nodes)
                name = str(self.random.choice(names, p=[w / sum(weights) for w in weights]))
                self.begin(name, nodes[name])
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    def begin(self, node: str, place: Place, kind: int | None = None) -> None:
        """One job."""
        which = int(self.random.integers(len(self.kinds))) if kind is None else kind
        name, budget, work = self.kinds[which]
        task = asyncio.create_task(self._job(f"j{next(self.numbers):06d}", node, place, name, budget, work))
        self.open.add(task)
        task.add_done_callback(self.open.discard)

    async def _job(self, job: str, node: str, place: Place, kind: str, budget: float, work: float) -> None:
        sid = int(self.random.integers(64))
        work = float(self.random.uniform(0.5, 1.5)) * work
        caller = self.caller(node)
        for tries in range(1 + self.again):
            name = job if not tries else f"{job}.{tries}"
            if await self._try(name, node, place, kind, budget, work, sid, caller, tries > 0) == 200:
                break
            await asyncio.sleep(AGAIN_S)

    async def _try(
        self,
        job: str,
        node: str,
        place: Place,
        kind: str,
        budget: float,
        work: float,
        sid: int,
        caller: str,
        again: bool,
    ) -> int:
        headers = {
            "X-Call-Id": job,
            "X-Caller": caller,
            "X-Budget": f"{budget:.3f}",
            "X-Call-Cost": f"{work * 1000:.0f}",
            "Idempotency-Key": job,
            **({"X-Again": "1"} if again else {}),
        }
        url = f"http://{place[0]}:{place[1]}/{kind}?sid={sid:x}"
        began = time.monotonic()
        self.log("asked", node=node, id=job, kind=kind, budget=budget, caller=caller, again=again)
        status, why = 0, ""
        assert self._session is not None
        try:
            timeout = aiohttp.ClientTimeout(budget + 1.0)
            call = self._session.post(url, data=f"{work:.1f}", headers=headers, timeout=timeout)
            async with call as answer:
                await answer.read()
                status = answer.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            why = type(error).__name__
        took = (time.monotonic() - began) * 1000
        self.log("answered", node=node, id=job, status=status, took=round(took, 1), why=why)
        return status

    async def close(self) -> None:
        """Wait for what is owed, and end."""
        while self.open:
            await asyncio.gather(*self.open, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
