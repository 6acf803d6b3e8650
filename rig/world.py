"""A fleet on one machine: nodes as processes, stand-ins round them, relays on every way, and one log."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

import numpy as np

from rig.links import DatagramWays, Links, Place, StreamWay
from rig.plan import Plan, Step
from rig.processes import NodeProcess
from rig.stand_ins import Clients, Discovery, Worker

VIEW_S = 0.1  # between looks at each node's view
EVENTS_MOST = 400_000
MEMBER = re.compile(r"member (\S+) (\w+) ")
KEYS = {"loss": "loss", "delay": "delay_ms", "reorder": "jitter_ms", "double": "double"}
KINDS = [("pesagem", 4.0, 40.0), ("fechamento", 8.0, 80.0)]

SETTINGS: dict[str, Any] = {
    "zone": 0,
    "zones": ["a"],
    "kinds": ["m"],
    "period_ms": 4.0,
    "discovery": "ask",
    "weights": "nominal",
    "report": {"how": "answers"},
    "tenants": [{"name": "acme", "share": 1.0, "quota_rps": 100.0}],
    "classes": [
        {"name": "pesagem", "target_ms": 600.0, "deadline_ms": 4000.0, "idempotency": "once"},
        {
            "name": "fechamento",
            "target_ms": 1200.0,
            "deadline_ms": 8000.0,
            "idempotency": "by_key",
            "group": "all",
            "memory_span_ms": 30000.0,
        },
    ],
    "limits": {"try_limit": 4, "cancel": True, "may_tell": True, "probes": True},
    "rules": {
        "cold_share": 0.12,
        "cold_ms": 12000.0,
        "fall_multiple": 4.0,
        "fall_ms": 1000.0,
        "drain_grace_ms": 500.0,
        "must_ask_in_ms": 10000.0,
    },
    "family_info": {"tells_start": True, "class_stretch": [2.0, 2.0]},
}


class Rig:
    """One play. Everything it starts ends with it."""

    def __init__(self, plan: Plan, folder: Path, extra: dict[str, Any] | None = None) -> None:
        self.plan = plan
        self.random = np.random.default_rng(plan.seed)
        self.links = Links(self.random)
        self.ways = DatagramWays(self.links)
        self.events: list[dict[str, Any]] = []
        self.began = time.monotonic()
        self.settings = {**SETTINGS, **plan.settings, "balancers": plan.nodes}
        rules = self.settings["rules"]
        self.workers = [
            Worker(f"w{i}", plan.slots, rules["cold_share"], rules["cold_ms"], self.log)
            for i in range(plan.workers)
        ]
        self.discovery = Discovery(self.workers, self.log)
        self.clients = Clients(self.log, self.random, KINDS)
        self.nodes: dict[str, NodeProcess] = {}
        self.streams: dict[tuple[str, str], StreamWay] = {}
        self.folder, self.extra = folder, dict(extra or {})
        self.store_members: int = self.extra.pop("store_members", 0)  # nodes that have the replicated log
        self._tasks: list[asyncio.Task[None]] = []

    def now(self) -> float:
        """Seconds of the rig's clock."""
        return time.monotonic() - self.began

    def log(self, event: str, **fields: Any) -> None:
        """One event."""
        if len(self.events) < EVENTS_MOST:
            self.events.append({"t": round(self.now(), 4), "ev": event, **fields})

    # -- life

    async def open(self) -> None:
        """Start stand-ins, relays and nodes; returns once all nodes serve."""
        names = [f"n{i}" for i in range(self.plan.nodes)]
        await self.ways.open(names)
        for worker in self.workers:
            await worker.open()
        await self.discovery.open()
        for i, name in enumerate(names):
            await self._ways_of(name)
            self.nodes[name] = node = NodeProcess(name, self.folder, self._config(name, i, names))
            node.line = self._line
        await asyncio.gather(*(self.start(name) for name in names))
        self._tasks.append(asyncio.create_task(self._watch()))

    async def _ways_of(self, name: str) -> None:
        async def way(near: str, far: str, target: Any) -> StreamWay:
            found = self.streams[near, far] = StreamWay(self.links, near, far, target)
            await found.open()
            return found

        found = await way(name, "discovery", lambda: self.discovery.place)
        self.discovery.nodes["{}:{}".format(*found.place)] = name
        for worker in self.workers:
            found = await way(name, worker.uid, lambda worker=worker: worker.place)
            self.discovery.endpoints[name, worker.uid] = found.place
            worker.nodes["{}:{}".format(*found.place)] = name
            back = await way(worker.uid, name, lambda: self.nodes[name].places.get("listening"))
            worker.back[name] = back.place
        for i in range(self.store_members):
            if f"n{i}" != name:
                await way(name, f"n{i}", lambda i=i: self.nodes[f"n{i}"].places.get("storing"))

    def _config(self, name: str, number: int, names: list[str]) -> dict[str, Any]:
        table = {
            "group": "rig",
            "parts": "leased",
            "committee": names[: min(5, len(names) - (len(names) + 1) % 2)],
            "period_ms": 200.0,
            "lease_ms": 1600.0,
            "clock_ms": 100.0,
        }
        stored = names[: self.store_members]
        store: dict[str, Any] = {}
        if name in stored:
            ways = {n: "{}:{}".format(*self.streams[name, n].place) for n in stored if n != name}
            store = {"store": {"listen": "127.0.0.1:0", "members": {**ways, name: "127.0.0.1:1"}}}
        return {
            **store,
            "name": name,
            "seed": f"{self.plan.seed * 1000 + number:x}",
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "discovery": "{}:{}".format(*self.streams[name, "discovery"].place),
            "peer_listen": "127.0.0.1:0",
            "peers": ["{}:{}".format(*self.ways.address[n]) for n in names],
            "settings": {**self.settings, "me": number},
            "membership": {**table, **self.plan.membership},
            **{k: v.replace("{name}", name) if isinstance(v, str) else v for k, v in self.extra.items()},
        }

    async def start(self, name: str, **changes: Any) -> None:
        """Start a node under its name."""
        node = self.nodes[name]
        self.log("start", node=name)
        await node.start(**changes)
        self.ways.at(name, node.places["peers"])
        self.log("started", node=name, life=node.lives)

    def _line(self, name: str, text: str) -> None:
        if "event=peers address=" in text:
            self.ways.at(name, self.nodes[name].places["peers"])
        if "event=parts" in text or "event=group " in text or "level=error" in text:
            self.log("said", node=name, line=text.strip())

    async def close(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes.values():
            await node.end(signal.SIGKILL)
        for way in self.streams.values():
            way.close()
        self.ways.close()
        await self.discovery.close()
        for worker in self.workers:
            await worker.close()

    # -- what happens

    def fronts(self) -> dict[str, Place]:
        """The nodes that take clients now."""
        return {name: node.places["listening"] for name, node in self.nodes.items() if node.takes_clients}

    async def do(self, step: Step) -> None:
        """Have one fault happen."""
        given = step.given
        self.log("fault", do=step.do, **given)
        names = list(self.nodes)
        pairs = [(a, b) for a in names for b in names if a != b]
        worker = next((w for w in self.workers if w.uid == given.get("worker")), None)
        match step.do:
            case "cut":
                side = {n: i for i, group in enumerate(given["groups"]) for n in group}
                for a, b in pairs:
                    if side.get(a) != side.get(b):
                        self.links.set(a, b, cut=True)
            case "one-way":
                self.links.set(given["sender"], given["receiver"], cut=True)
            case "loss" | "delay" | "reorder" | "double":
                value = given.get("share", given.get("ms"))
                for a, b in pairs:
                    self.links.set(a, b, **{KEYS[step.do]: value})
            case "heal":
                self.links.heal()
            case "reset":
                for (near, _), way in self.streams.items():
                    if near == given["node"]:
                        way.reset()
            case "deaf" | "blind":
                far = given.get("worker", "discovery")
                self.links.set(given["node"], far, cut=True)
                self.links.set(far, given["node"], cut=True)
            case "kill":
                await self.nodes[given["node"]].end(signal.SIGKILL)
            case "end":
                await self.nodes[given["node"]].end(signal.SIGTERM)
            case "stop":
                self.nodes[given["node"]].signal(signal.SIGSTOP)
            case "continue":
                self.nodes[given["node"]].signal(signal.SIGCONT)
            case "start":
                if not self.nodes[given["node"]].running:
                    await self.start(given["node"])
            case "drain" if worker is not None:
                await self.discovery.change(worker, state="terminating")
            case "use" if worker is not None:
                await self.discovery.change(worker, state="in_service")
            case "restart worker" if worker is not None:
                worker.restart()
                await self.discovery.change(worker, state="in_service")

    async def play(self) -> None:
        """The plan from its start to its end, or until `finish`, with clients, and all answers awaited."""
        self.clients.over.clear()
        load = asyncio.create_task(self.clients.run(self.plan.rate, self.plan.seconds, self.fronts))
        began = self.now()
        running: list[asyncio.Task[None]] = []
        for step in self.plan.steps:
            await asyncio.sleep(max(0.0, began + step.at - self.now()))
            # a node that ends answers what it owes first, and the next fault must not wait for it
            running.append(asyncio.create_task(self.do(step)))
            await asyncio.sleep(0)
        await asyncio.gather(load, *running)
        await self.clients.close()

    def finish(self) -> None:
        """Have `play` end: what was waited for has come."""
        self.clients.over.set()

    # -- views

    async def view(self, name: str) -> dict[str, Any] | None:
        """One node's own word on its group, or None where it gives none."""
        lines = await self.nodes[name].call("MEMBERS")
        if not lines or not lines[0].startswith("SUCCESS"):
            return None
        members = {m[1]: m[2] for line in lines if (m := MEMBER.match(line))}
        own = next(line for line in lines if line.startswith("self "))
        parts = own.partition("parts=")[2].partition(" for ")[0]
        return {"standing": lines[0].split()[1], "members": members, "parts": parts}

    async def views(self) -> dict[str, dict[str, Any]]:
        """The views of all nodes that run."""
        names = [n for n, node in self.nodes.items() if node.running and not node.stopped]
        found = await asyncio.gather(*(self.view(n) for n in names))
        return {n: view for n, view in zip(names, found, strict=True) if view is not None}

    async def _watch(self) -> None:
        last: dict[str, Any] = {}
        while True:
            for name, view in (await self.views()).items():
                if last.get(name) != view:
                    last[name] = view
                    self.log("view", node=name, **view)
            await asyncio.sleep(VIEW_S)

    async def agree(self, most_s: float, names: list[str] | None = None) -> float:
        """Seconds until all nodes that run (or these) hold exactly each other for alive; `most_s` at most."""
        began = self.now()
        while self.now() - began < most_s:
            views = await self.views()
            running = {n for n, node in self.nodes.items() if node.running and not node.stopped}
            wanted = running if names is None else set(names)
            up = {
                n: {m for m, state in v["members"].items() if state == "alive"} | {n}
                for n, v in views.items()
                if n in wanted
            }
            if set(up) == wanted and all(seen & running == wanted == seen for seen in up.values()):
                return self.now() - began
            await asyncio.sleep(0.05)
        return most_s

    def write(self, path: Path) -> None:
        """The log as JSON lines, the plan first."""
        with path.open("w") as file:
            print(json.dumps({"ev": "plan", "plan": self.plan.text()}), file=file)
            for event in self.events:
                print(json.dumps(event), file=file)


async def played(plan: Plan, log: Path | None = None) -> Rig:
    """Play a plan from start to end; the rig is closed and its log complete."""
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(plan, Path(folder))
        try:
            await rig.open()
            await rig.agree(10.0)
            rig.log("agreed")
            await rig.play()
        finally:
            await rig.close()
            if log is not None:
                rig.write(log)
    return rig
