"""What a worker that has just started is sent: counted at the worker, over all nodes together."""

from __future__ import annotations

import math
import random
import threading
import time
import unittest
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace

from spoolpier import Dispatcher
from spoolpier import interface as api
from tests.helpers import job, outcome, sends, settings
from tests.node import SETTINGS, Discovery, Node, NodeTest, Server, Worker, ask, eventually

COLD, WARM = 1, 2
START_MS = 1_000_000.0
TURNS = 5  # that a play lasts
JOBS = 200  # that all nodes are given a turn, more than they may send
SLOWEST = 0.5  # of a unit a slot: the slowest machine that the guarantee is for (docs/guarantees.md)
LOW_HINTS = 0.8  # of the work that a job is: two turns' parts leave room for so much


def allowance(count: float) -> float:
    """How many requests of mean work a cold worker may get in a window (STANDING)."""
    return count + 3 * math.sqrt(count) + 3 if count < 30 else count + 2 * math.sqrt(count) + 2


@dataclass
class Deployment:
    """Settings that no other draw is like, with `wanted` requests of mean work in the first window."""

    draw: random.Random
    nodes: int
    wanted: float
    slots: float = 0.0
    mean_ms: float = 0.0
    known: api.Settings = field(default_factory=settings)

    def __post_init__(self) -> None:
        draw = self.draw
        self.slots = float(draw.randint(2, 12))
        self.known = settings(
            dispatchers=self.nodes,
            nominal_weights=True,
            tells_start=True,
            cold_share=draw.uniform(0.05, 0.4),
            cold_ms=draw.uniform(6000.0, 90_000.0),
            fall_multiple=draw.uniform(2.0, 6.0),
            fall_ms=draw.choice((500.0, 1000.0, 2000.0, 3000.0)),
        )
        self.mean_ms = self.capacity_ms(START_MS) / self.wanted

    def capacity_ms(self, now: float) -> float:
        """The work that the slowest such worker stands in a window that ends now."""
        known = self.known
        grown = known.cold_share + (1 - known.cold_share) * (now - START_MS) / known.cold_ms
        return known.fall_multiple * min(1.0, grown) * self.slots * SLOWEST * known.fall_ms


@dataclass
class Sent:
    """One attempt, as the worker counts it."""

    at: float
    work_ms: float


class Fleet:
    """All nodes of a deployment, with far more work than the warm worker can do."""

    def __init__(self, deployment: Deployment, told_late: float, restarts: float) -> None:
        self.deployment, self.draw = deployment, deployment.draw
        self.restarts = restarts
        self.work: dict[str, float] = {}
        self.attempts: dict[str, int] = {}
        self.sent: list[Sent] = []
        self.told = [n == 0 or self.draw.random() >= told_late for n in range(deployment.nodes)]
        self.idle_until = [0.0] * deployment.nodes
        self.nodes = [self.node(n, START_MS) for n in range(deployment.nodes)]

    def node(self, number: int, now: float) -> Dispatcher:
        known = replace(self.deployment.known, me=number)
        found = Dispatcher(known, seed=number + 1)
        slots = self.deployment.slots
        warm = api.WorkerEntry(worker=WARM, weight=slots)
        # who has not been told holds the process for the one before it
        cold = api.WorkerEntry(worker=COLD, weight=slots, started_ms=START_MS if self.told[number] else 0.0)
        full = api.Shares((api.Share(WARM, slots),), fleet=True)
        found.step(now, [api.WorkerList(api.ListForm.CACHED, (warm, cold)), full])
        return found

    def times(self) -> Iterator[tuple[float, int]]:
        """When which node is given a job."""
        known = self.deployment.known
        found = [
            (START_MS + self.draw.uniform(0, TURNS * known.fall_ms), number)
            for number in range(self.deployment.nodes)
            for _ in range(TURNS * max(4, JOBS // self.deployment.nodes))
        ]
        return iter(sorted(found))

    def play(self) -> None:
        for index, (now, number) in enumerate(self.times()):
            if self.draw.random() < self.restarts:
                self.restart(number, now)
            self.come_back(number, now)
            work = self.deployment.mean_ms * self.draw.uniform(0.5, 1.5)
            name = f"{number}.{index}"
            self.work[name] = work
            self.take(
                number, now, self.nodes[number].step(now, [job(name, hint_ms=work * LOW_HINTS, key=index)])
            )

    def restart(self, number: int, now: float) -> None:
        """A new process uses no turn that it did not begin with (`Engine.pass_turns`)."""
        turn = self.deployment.known.fall_ms
        self.nodes[number] = self.node(number, now)
        self.nodes[number].step(now, [api.Shares((), indexes=())])
        self.idle_until[number] = now + turn - now % turn

    def come_back(self, number: int, now: float) -> None:
        if 0 < self.idle_until[number] <= now:
            self.idle_until[number] = 0.0
            self.nodes[number].step(now, [api.Shares((), indexes=(number,))])

    def take(self, number: int, now: float, actions: Iterable[api.Action]) -> None:
        """Count what goes to the cold worker; a third of it is turned away there, and may come again."""
        due = sends(actions)
        while due:
            send = due.pop()
            attempt = self.attempts.get(send.job, 0)
            self.attempts[send.job] = attempt + 1
            if send.worker == COLD and self.told[number]:
                self.sent.append(Sent(now, self.work[send.job]))
            busy = self.draw.random() < 0.33
            kind = api.OutcomeKind.REFUSED if busy else api.OutcomeKind.SERVED
            due += sends(self.nodes[number].step(now, [outcome(send, kind, attempt)]))

    def worst(self) -> float:
        """The fullest window, as a share of what is allowed in it."""
        deployment, window = self.deployment, self.deployment.known.fall_ms
        found, first, work = 0.0, 0, 0.0
        for sent in self.sent:
            work += sent.work_ms
            while self.sent[first].at <= sent.at - window:
                work -= self.sent[first].work_ms
                first += 1
            most = allowance(deployment.capacity_ms(sent.at) / deployment.mean_ms) * deployment.mean_ms
            found = max(found, work / most)
        return found


class DrawnSlowStartTest(unittest.TestCase):
    """Drawn deployments, few and many nodes, budgets under and over thirty requests."""

    def play(self, nodes: int, plays: int, told_late: float = 0.0, restarts: float = 0.0) -> None:
        for seed in range(plays):
            for wanted in (6.0, 20.0, 45.0, 200.0):
                fleet = Fleet(Deployment(random.Random(seed), nodes, wanted), told_late, restarts)
                fleet.play()
                with self.subTest(seed=seed, wanted=wanted):
                    self.assertLessEqual(fleet.worst(), 1.0)
                    self.assertTrue(fleet.sent, "it is of no use")

    def test_one_node(self) -> None:
        self.play(1, 6)

    def test_three_nodes(self) -> None:
        self.play(3, 6)

    def test_twenty_four_nodes(self) -> None:
        self.play(24, 4)

    def test_two_hundred_nodes(self) -> None:
        self.play(200, 1)

    def test_nodes_that_restart_within_the_window(self) -> None:
        for nodes in (1, 3, 24):
            self.play(nodes, 4, restarts=0.05)

    def test_the_nodes_that_know_keep_to_it_whatever_the_others_do(self) -> None:
        for nodes in (3, 24):
            self.play(nodes, 4, told_late=0.4)


class RealNodesTest(NodeTest):
    """Processes that know nothing of each other, before one worker that has just started."""

    COUNT = 24
    COST_MS = 40.0
    FALL_S = 2.0
    SLOTS = 4.0  # of the settings' kind of worker
    SHARE = 0.05
    COLD_S = 120.0

    def test_twenty_four_nodes_and_one_that_restarts_keep_to_the_budget_of_one_worker(self) -> None:
        came: list[float] = []
        nodes: dict[int, Node] = {}

        def count(worker: Worker, request: Server, name: str) -> None:
            came.append(time.monotonic())
            request.reply(202)
            worker.call(name, "started")
            worker.call(name, "done", result="ran")

        class Told(Worker):
            """Calls the node back whose number the job's name begins with."""

            def call(self, job: str, state: str, **more: object) -> int:
                self.node = nodes[int(job.partition(".")[0])].address
                return super().call(job, state, **more)

        worker = Told("s-1", count)
        booted, began = time.time(), time.monotonic()
        spans = {"cold_share": self.SHARE, "cold_ms": self.COLD_S * 1000, "fall_ms": self.FALL_S * 1000}
        rules = {**SETTINGS["rules"], **spans}
        discovery = Discovery([{**worker.target(), "boot_ms": booted * 1000}])
        for stand_in in (discovery, worker):
            self.addCleanup(stand_in.close)

        def begin(number: int) -> None:
            nodes[number] = self.start(
                listen="127.0.0.1:0",
                discovery=discovery.address,
                settings={**SETTINGS, "balancers": self.COUNT, "me": number, "rules": rules},
                name=f"n{number}",
            )
            eventually(lambda: ask(nodes[number].address, "GET", "/-/ready")[0] == 200)

        with ThreadPoolExecutor(8) as several:
            list(several.map(begin, range(self.COUNT)))
        ends = time.monotonic() + 4 * self.FALL_S

        def flood(number: int) -> None:
            index = 0
            while time.monotonic() < ends:
                index += 1
                cost = {"X-Call-Cost": f"{self.COST_MS * 1000}"}
                nodes[number].job(f"{number}.{index}", budget=0.1, sid=f"{index:x}", **cost)

        floods = [threading.Thread(target=flood, args=(number,)) for number in range(1, self.COUNT)]
        for one in floods:
            one.start()
        nodes[0].kill()
        begin(0)
        flood(0)
        for one in floods:
            one.join()
        self.assertGreater(len(came), 0)
        for first, at in enumerate(came):
            within = sum(at <= other < at + self.FALL_S for other in came[first:])
            grown = self.SHARE + (1 - self.SHARE) * (at + self.FALL_S - began) / self.COLD_S
            stands = 4.0 * grown * self.SLOTS * SLOWEST * self.FALL_S * 1000
            self.assertLessEqual(within, allowance(stands / self.COST_MS))
