"""The work sent to a worker that has just started (a cold worker), counted at the worker over all nodes.

Guards against all nodes together overloading it within a window of fall_ms.
"""

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
TIME_SLICES = 5  # length of a simulation
JOBS_PER_SLICE = 200  # jobs of all nodes together in a time slice; more than they may send
MIN_SPEED = 0.5  # work per slot and unit of time on the slowest machine that docs/guarantees.md covers
HINT_RATIO = 0.8  # hint over actual work; the budgets of two time slices leave a margin for hints this low


def max_requests(count: float) -> float:
    """Return how many requests of mean work a cold worker may get in a window (STANDING).

    count: the requests that it can process; the rest is statistical tolerance.
    """
    return count + 3 * math.sqrt(count) + 3 if count < 30 else count + 2 * math.sqrt(count) + 2


@dataclass
class Deployment:
    """Random settings in which a cold worker can process `wanted` mean requests in the first window."""

    draw: random.Random
    nodes: int
    wanted: float
    slots: float = 0.0
    mean_ms: float = 0.0
    settings: api.Settings = field(default_factory=settings)

    def __post_init__(self) -> None:
        draw = self.draw
        self.slots = float(draw.randint(2, 12))
        self.settings = settings(
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
        """Return the work in ms that the slowest such worker can process in the window that ends now."""
        s = self.settings
        share = s.cold_share + (1 - s.cold_share) * (now - START_MS) / s.cold_ms
        return s.fall_multiple * min(1.0, share) * self.slots * MIN_SPEED * s.fall_ms


@dataclass
class SentAttempt:
    """An attempt as counted at the worker."""

    at: float
    work_ms: float


class Fleet:
    """All nodes of a deployment, which get far more jobs than the warm worker can process.

    uninformed: probability that a node has not received the start of the cold worker's process.
    restarts: probability of a node's restart per job.
    """

    def __init__(self, deployment: Deployment, uninformed: float, restarts: float) -> None:
        self.deployment, self.draw = deployment, deployment.draw
        self.restarts = restarts
        self.work: dict[str, float] = {}
        self.attempts: dict[str, int] = {}
        self.sent: list[SentAttempt] = []
        self.informed = [n == 0 or self.draw.random() >= uninformed for n in range(deployment.nodes)]
        self.idle_until = [0.0] * deployment.nodes
        self.nodes = [self.start_node(n, START_MS) for n in range(deployment.nodes)]

    def start_node(self, number: int, now: float) -> Dispatcher:
        node_settings = replace(self.deployment.settings, me=number)
        dispatcher = Dispatcher(node_settings, seed=number + 1)
        slots = self.deployment.slots
        warm = api.WorkerEntry(worker=WARM, weight=slots)
        # a node that is not informed takes the process for the previous, warm one
        cold = api.WorkerEntry(
            worker=COLD, weight=slots, started_ms=START_MS if self.informed[number] else 0.0
        )
        warm_full = api.Shares((api.Share(WARM, slots),), fleet=True)
        dispatcher.step(now, [api.WorkerList(api.ListForm.CACHED, (warm, cold)), warm_full])
        return dispatcher

    def arrivals(self) -> Iterator[tuple[float, int]]:
        """Yield the times of the jobs in order, each with the number of the node that gets the job."""
        node_settings = self.deployment.settings
        arrivals = [
            (START_MS + self.draw.uniform(0, TIME_SLICES * node_settings.fall_ms), number)
            for number in range(self.deployment.nodes)
            for _ in range(TIME_SLICES * max(4, JOBS_PER_SLICE // self.deployment.nodes))
        ]
        return iter(sorted(arrivals))

    def simulate(self) -> None:
        """Give every job to its node; nodes may restart in between."""
        for index, (now, number) in enumerate(self.arrivals()):
            if self.draw.random() < self.restarts:
                self.restart(number, now)
            self.resume(number, now)
            work = self.deployment.mean_ms * self.draw.uniform(0.5, 1.5)
            name = f"{number}.{index}"
            self.work[name] = work
            self.send(
                number, now, self.nodes[number].step(now, [job(name, hint_ms=work * HINT_RATIO, key=index)])
            )

    def restart(self, number: int, now: float) -> None:
        """Restart a node; a process skips the time slice it starts in (`Engine.skip_time_slices`)."""
        fall_ms = self.deployment.settings.fall_ms
        self.nodes[number] = self.start_node(number, now)
        self.nodes[number].step(now, [api.Shares((), indexes=())])
        self.idle_until[number] = now + fall_ms - now % fall_ms

    def resume(self, number: int, now: float) -> None:
        """Let a restarted node use its time slices again once the one in which it started is over."""
        if 0 < self.idle_until[number] <= now:
            self.idle_until[number] = 0.0
            self.nodes[number].step(now, [api.Shares((), indexes=(number,))])

    def send(self, number: int, now: float, actions: Iterable[api.Action]) -> None:
        """Count sends to the cold worker; workers refuse a third of all attempts, which may be retried."""
        due = sends(actions)
        while due:
            send = due.pop()
            attempt = self.attempts.get(send.job, 0)
            self.attempts[send.job] = attempt + 1
            if send.worker == COLD and self.informed[number]:
                self.sent.append(SentAttempt(now, self.work[send.job]))
            busy = self.draw.random() < 0.33
            kind = api.OutcomeKind.REFUSED if busy else api.OutcomeKind.SERVED
            due += sends(self.nodes[number].step(now, [outcome(send, kind, attempt)]))

    def worst_window(self) -> float:
        """Return the work in the fullest window, as a share of the maximum allowed in it."""
        deployment, window = self.deployment, self.deployment.settings.fall_ms
        worst, first, work = 0.0, 0, 0.0
        for sent in self.sent:
            work += sent.work_ms
            while self.sent[first].at <= sent.at - window:
                work -= self.sent[first].work_ms
                first += 1
            max_work = max_requests(deployment.capacity_ms(sent.at) / deployment.mean_ms) * deployment.mean_ms
            worst = max(worst, work / max_work)
        return worst


class RandomSlowStartTest(unittest.TestCase):
    """Random deployments of few and many nodes, with budgets of fewer and of more than thirty requests."""

    def check(self, nodes: int, seeds: int, uninformed: float = 0.0, restarts: float = 0.0) -> None:
        for seed in range(seeds):
            for wanted in (6.0, 20.0, 45.0, 200.0):
                fleet = Fleet(Deployment(random.Random(seed), nodes, wanted), uninformed, restarts)
                fleet.simulate()
                with self.subTest(seed=seed, wanted=wanted):
                    self.assertLessEqual(fleet.worst_window(), 1.0)
                    self.assertTrue(fleet.sent, "the cold worker got no job")

    def test_one_node(self) -> None:
        self.check(1, 6)

    def test_three_nodes(self) -> None:
        self.check(3, 6)

    def test_twenty_four_nodes(self) -> None:
        self.check(24, 4)

    def test_two_hundred_nodes(self) -> None:
        self.check(200, 1)

    def test_nodes_that_restart_within_a_window(self) -> None:
        for nodes in (1, 3, 24):
            self.check(nodes, 4, restarts=0.05)

    def test_informed_nodes_keep_within_the_budget_while_others_do_not(self) -> None:
        for nodes in (3, 24):
            self.check(nodes, 4, uninformed=0.4)


class RealNodesTest(NodeTest):
    """Node processes that do not communicate, with one worker that has just started."""

    COUNT = 24
    COST_MS = 40.0
    FALL_S = 2.0
    SLOTS = 4.0  # slots of the kind of worker in SETTINGS
    SHARE = 0.05
    COLD_S = 120.0

    def test_twenty_four_nodes_one_of_which_restarts_keep_within_a_workers_budget(self) -> None:
        received_at: list[float] = []
        nodes: dict[int, Node] = {}

        def count(worker: Worker, request: Server, name: str) -> None:
            received_at.append(time.monotonic())
            request.reply(202)
            worker.call(name, "started")
            worker.call(name, "done", result="ran")

        class CallbackWorker(Worker):
            """Calls back the node whose number is the first part of the job's name."""

            def call(self, job: str, state: str, **more: object) -> int:
                self.node = nodes[int(job.partition(".")[0])].address
                return super().call(job, state, **more)

        worker = CallbackWorker("s-1", count)
        booted_at, began_at = time.time(), time.monotonic()
        spans = {"cold_share": self.SHARE, "cold_ms": self.COLD_S * 1000, "fall_ms": self.FALL_S * 1000}
        rules = {**SETTINGS["rules"], **spans}
        discovery = Discovery([{**worker.target(), "boot_ms": booted_at * 1000}])
        for server in (discovery, worker):
            self.addCleanup(server.close)

        def start_node(number: int) -> None:
            nodes[number] = self.start(
                listen="127.0.0.1:0",
                discovery=discovery.address,
                settings={**SETTINGS, "balancers": self.COUNT, "me": number, "rules": rules},
                name=f"n{number}",
            )
            eventually(lambda: ask(nodes[number].address, "GET", "/-/ready")[0] == 200)

        with ThreadPoolExecutor(8) as executor:
            list(executor.map(start_node, range(self.COUNT)))
        ends_at = time.monotonic() + 4 * self.FALL_S

        def flood(number: int) -> None:
            index = 0
            while time.monotonic() < ends_at:
                index += 1
                cost = {"X-Call-Cost": f"{self.COST_MS * 1000}"}
                nodes[number].job(f"{number}.{index}", budget=0.1, sid=f"{index:x}", **cost)

        floods = [threading.Thread(target=flood, args=(number,)) for number in range(1, self.COUNT)]
        for thread in floods:
            thread.start()
        nodes[0].kill()
        start_node(0)
        flood(0)
        for thread in floods:
            thread.join()
        self.assertGreater(len(received_at), 0)
        for first, at in enumerate(received_at):
            count_in_window = sum(at <= other < at + self.FALL_S for other in received_at[first:])
            share = self.SHARE + (1 - self.SHARE) * (at + self.FALL_S - began_at) / self.COLD_S
            capacity_ms = 4.0 * share * self.SLOTS * MIN_SPEED * self.FALL_S * 1000
            self.assertLessEqual(count_in_window, max_requests(capacity_ms / self.COST_MS))
