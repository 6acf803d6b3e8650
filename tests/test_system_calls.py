"""System calls that fail, fall short or come late, and a wall clock that is stepped, around the program."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

from tests.acts import keep, serve
from tests.node import WAIT, Discovery, Node, NodeTest, Server, Worker, eventually

FAULTS = str(Path(__file__).parent / "faults")
ACCEPT_ERRORS = ("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "EINTR")
OWN_SHORTAGES = ("EMFILE", "ENOBUFS", "EADDRNOTAVAIL")
UNREACHED = ("ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ECONNREFUSED")
BREAKS = ("EPIPE", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH")


def port(worker: Worker) -> int:
    return int(worker.address.rpartition(":")[2])


class FaultyTest(NodeTest):
    """Nodes whose kernel follows a plan."""

    def faulty(
        self, plan: list[dict[str, Any]], *workers: Worker, step: bool = False, **settings: Any
    ) -> tuple[Node, Discovery, Path]:
        folder = Path(self.folder())
        (folder / "plan.json").write_text(json.dumps(plan))
        (folder / "wall").write_text("0")
        self.environ = {"PYTHONPATH": FAULTS, "FAULT_PLAN": str(folder / "plan.json")}
        if step:
            self.environ["FAULT_WALL"] = str(folder / "wall")
            self.environ["PEBBLEDRIFT_LOG"] = "trace"  # says when news of the list have been taken in
        node, discovery = self.platform(*workers, **settings)
        return node, discovery, folder / "wall"


class AcceptTest(FaultyTest):
    def test_it_goes_on_accepting_whatever_fails_and_however_often(self) -> None:
        plan = [
            {"call": "accept", "skip": 5 + 40 * i, "times": 20, "errno": name}
            for i, name in enumerate(ACCEPT_ERRORS)
        ]
        node, _, _ = self.faulty(plan, Worker("s-1", serve))
        for i in range(3 * len(ACCEPT_ERRORS)):
            self.assertEqual(node.job(f"a{i}")[0], 200)


class ConnectTest(FaultyTest):
    def test_what_was_never_sent_goes_elsewhere_whatever_its_class(self) -> None:
        for name in (*OWN_SHORTAGES, *UNREACHED):
            first, second = Worker("s-1", serve), Worker("s-2", serve)
            plan = [{"call": "connect", "port": port(w), "errno": name} for w in (first,)]
            node, _, _ = self.faulty(plan, first, second)
            answers = [node.job(f"a{i}", sid=f"{i:x}")[0] for i in range(8)]
            self.assertEqual(answers, [200] * 8, name)

    def test_a_worker_is_not_left_alone_for_the_nodes_own_shortage(self) -> None:
        worker = Worker("s-1", serve)
        plan = [{"call": "connect", "port": port(worker), "times": 2, "errno": "EMFILE"}]
        node, _, _ = self.faulty(plan, worker)
        # there is no other worker; after two failures in a row it would be left alone for 3 s
        self.assertEqual([node.job(f"a{i}")[0] for i in range(2)], [503, 503])
        self.assertEqual(node.figures()["cluster_unhealthy"], 0)
        self.assertEqual(node.job("b")[0], 200)


class BreakTest(FaultyTest):
    """A worker's connection fails at a moment of the request."""

    def test_a_write_that_fails_at_once_proves_that_nothing_ran(self) -> None:
        for name in BREAKS:
            first, second = Worker("s-1", serve), Worker("s-2", serve)
            plan = [{"call": "send", "port": port(first), "errno": name}]
            node, _, _ = self.faulty(plan, first, second)
            self.assertEqual([node.job(f"a{i}", sid=f"{i:x}")[0] for i in range(8)], [200] * 8, name)

    def test_a_break_behind_the_last_byte_may_have_run(self) -> None:
        for name in BREAKS[1:]:
            first, second = Worker("s-1", keep), Worker("s-2", keep)
            plan = [{"call": "recv", "port": port(w), "errno": name} for w in (first, second)]
            node, _, _ = self.faulty(plan, first, second)
            self.assertEqual(node.job("a")[0], 502, name)
            self.assertEqual(first.jobs.qsize() + second.jobs.qsize(), 1)

    def test_bytes_one_by_one_are_whole_requests_and_answers(self) -> None:
        def at_the_node(worker: Worker, request: Server, job: str) -> None:
            request.reply(202)
            worker.call(job, "done", result="one by one")

        plan = [{"call": call, "skip": 0, "times": 20_000, "short": 1} for call in ("send", "recv")]
        node, _, _ = self.faulty(plan, Worker("s-1", at_the_node))
        status, _, body = node.job("a", budget=10.0)
        self.assertEqual((status, body), (200, b"one by one"))


class HeldTest(FaultyTest):
    def test_a_process_that_is_held_before_a_write_tells_no_more_time_than_is_left(self) -> None:
        told: list[tuple[float, float]] = []

        def note(worker: Worker, request: Server, job: str) -> None:
            told.append((time.monotonic(), float(request.headers["X-Budget"])))
            serve(worker, request, job)

        worker = Worker("s-1", note)
        plan = [{"call": "send", "port": port(worker), "times": 3, "hold_ms": 150}]
        node, _, _ = self.faulty(plan, worker)
        for i in range(3):
            began = time.monotonic()
            self.assertEqual(node.job(f"a{i}", budget=2.0)[0], 200)
            at, budget = told[-1]
            self.assertLessEqual(budget, 2.0 - (at - began) + 0.15)


class WallTest(FaultyTest):
    def test_a_step_during_a_request_changes_no_deadline(self) -> None:
        for step in (-3600.0, -5.0, 5.0, 3600.0):
            worker = Worker("s-1", keep)
            node, _, wall = self.faulty([], worker, step=True)
            began = time.monotonic()
            answer = node.later("a", budget=1.0)
            self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
            wall.write_text(str(step))
            self.assertEqual(answer.get(timeout=WAIT)[0], 502)
            self.assertLess(abs(time.monotonic() - began - 1.0), 0.5)

    def test_a_step_lets_no_list_lapse_and_keeps_no_drain_back(self) -> None:
        for step in (-3600.0, 3600.0):
            first, second = Worker("s-1", serve), Worker("s-2", serve)
            node, discovery, wall = self.faulty([], first, second, step=True)
            wall.write_text(str(step))
            discovery.change(first.target("terminating"))
            eventually(lambda log=node.log: any("state=draining" in line for line in log))  # type: ignore[misc]
            self.assertEqual([node.job(f"a{i}", sid=f"{i:x}")[0] for i in range(8)], [200] * 8)
            self.assertEqual(first.taken, set())

    def test_a_step_neither_ends_a_back_off_nor_lengthens_it(self) -> None:
        for step in (-3600.0, 3600.0):
            worker = Worker("s-1", serve)
            plan = [{"call": "connect", "port": port(worker), "times": 2, "errno": "ECONNREFUSED"}]
            node, _, wall = self.faulty(plan, worker, step=True)
            self.assertEqual([node.job(f"a{i}", budget=0.4)[0] for i in range(2)], [503, 503])
            wall.write_text(str(step))
            # after two failures in a row it is left alone for some seconds
            self.assertEqual(node.job("soon", budget=0.4)[0], 503, step)
            began = time.monotonic()
            eventually(lambda node=node: node.job(f"b{time.monotonic()}", budget=0.4)[0] == 200)  # type: ignore[misc]
            self.assertLess(time.monotonic() - began, 10.0)
            node.kill()
