"""Faults at each moment of an attempt, by each effect of a class: what may run a second time, and when."""

from __future__ import annotations

import queue
import signal
import threading
import time
from typing import Any

from tests.acts import keep, serve
from tests.node import SETTINGS, WAIT, Discovery, Server, Worker, ask, eventually
from tests.test_system_calls import BREAKS, FaultyTest, port

REPEATABLE = {
    "name": "consulta",
    "target_ms": 1000.0,
    "deadline_ms": 5000.0,
    "idempotency": "repeatable",
}
CLASSES = [*SETTINGS["classes"], REPEATABLE]
EFFECTS = {"pesagem": "once", "fechamento": "by_key", "consulta": "repeatable"}
WINDOW_S = 0.9  # that a worker drops a repeat for, where a test names one
SHARES = (0.1, 0.4, 0.5, 0.55, 0.6, 0.65, 0.7, 0.72, 0.75, 0.78, 0.8, 0.82, 0.84, 0.86, 0.88, 0.9)  # of it
HOLD_S = 0.15  # for which a node may be held between its look at the clock and a write (STANDING)


class Arrivals:
    """What reached two workers: which job, where, when."""

    def __init__(self) -> None:
        self.all: queue.Queue[tuple[str, str, float]] = queue.Queue()

    def note(self, worker: Worker, job: str) -> None:
        self.all.put((job, worker.uid, time.monotonic()))

    def of(self, job: str) -> list[tuple[str, float]]:
        """Where and when a job came."""
        return [(uid, at) for name, uid, at in list(self.all.queue) if name == job]


class MomentTest(FaultyTest):
    def two(self, act: Any) -> tuple[Worker, Worker, Arrivals]:
        arrivals = Arrivals()

        def noted(worker: Worker, request: Server, job: str) -> None:
            arrivals.note(worker, job)
            act(worker, request, job)

        return Worker("s-1", noted), Worker("s-2", noted), arrivals


class WriteTest(MomentTest):
    def test_a_write_that_fails_before_the_first_byte_lets_every_class_go_elsewhere(self) -> None:
        for name in BREAKS:
            first, second, arrivals = self.two(serve)
            plan = [{"call": "send", "port": port(first), "errno": name, "times": 99}]
            node, _, _ = self.faulty(plan, first, second, classes=CLASSES)
            for kind in EFFECTS:
                for i in range(4):
                    job = f"{name}-{kind}-{i}"
                    self.assertEqual(node.job(job, kind, sid=f"{i:x}")[0], 200, job)
                    self.assertEqual([uid for uid, _ in arrivals.of(job)], ["s-2"])
            node.kill()

    def test_a_write_that_breaks_within_the_request_is_never_run_twice(self) -> None:
        for name in BREAKS:
            first, second, arrivals = self.two(serve)
            plan = [
                {"call": "send", "port": port(first), "short": 20},
                {"call": "send", "port": port(first), "errno": name},
            ]
            node, _, _ = self.faulty(plan, first, second, classes=CLASSES)
            for kind in EFFECTS:
                for i in range(4):
                    job = f"{name}-{kind}-{i}"
                    status = node.job(job, kind, sid=f"{i:x}")[0]
                    came = arrivals.of(job)
                    self.assertLessEqual(len(came), 1, job)  # half a request is none at the worker
                    self.assertEqual(status == 200, bool(came), job)
                    self.assertIn(status, (200, 502), job)
            node.kill()


class ReadTest(MomentTest):
    def test_a_break_behind_the_last_byte_goes_again_only_where_a_repeat_is_harmless(self) -> None:
        for name in BREAKS[1:]:
            first, second, arrivals = self.two(keep)
            plan = [{"call": "recv", "port": port(w), "errno": name, "times": 99} for w in (first, second)]
            node, _, _ = self.faulty(plan, first, second, classes=CLASSES)
            for kind, effect in EFFECTS.items():
                job = f"{name}-{kind}"
                status = node.job(job, kind, budget=1.5)[0]
                came = [uid for uid, _ in arrivals.of(job)]
                self.assertGreaterEqual(len(came), 1, job)
                self.assertEqual(len(set(came)), len(came), job)  # to no worker twice
                if effect == "once":
                    self.assertEqual(len(came), 1, job)
                    self.assertEqual(status, 502, job)
                self.assertNotEqual(status, 200, job)
                if (
                    effect != "repeatable"
                ):  # of these a repeat is harmless, and a busy reply true (WIRE, rule 2)
                    self.assertNotIn(status, (429, 503), job)
            node.kill()


class HeldWindowTest(MomentTest):
    """A keyed class whose repeats are dropped for a short time, in a group of all."""

    def classes(self) -> list[dict[str, Any]]:
        found = [dict(kind) for kind in CLASSES]
        found[1].update(memory_span_ms=WINDOW_S * 1000, group="all")
        return found

    def late(self, hold: bool, wall: float = 0.0) -> int:
        """Jobs whose first worker fails near the window's end; returns how many came a second time."""
        delays: dict[str, float] = {}

        def break_late(worker: Worker, request: Server, job: str) -> None:
            if len(arrivals.of(job)) > 1:
                serve(worker, request, job)
                return
            threading.Event().wait(delays[job])
            request.drop()

        first, second, arrivals = self.two(break_late)
        # one of the two alone: a first write that is held as well would lengthen the window by as much
        plan = [{"call": "send", "port": port(second), "times": 99, "hold_ms": HOLD_S * 1000}]
        node, _, clock = self.faulty(plan if hold else [], first, second, step=True, classes=self.classes())
        twice = 0
        for i, share in enumerate(SHARES):
            job = f"w{i}"
            delays[job] = share * WINDOW_S
            answer = node.later(job, "fechamento", budget=4.0, sid=f"{i:x}")
            eventually(lambda job=job: bool(arrivals.of(job)))  # type: ignore[misc]
            clock.write_text(str(wall if i % 2 else 0.0))
            answer.get(timeout=WAIT)
            came = arrivals.of(job)
            twice += len(came) > 1
            for _, at in came[1:]:
                self.assertLess(at - came[0][1], WINDOW_S, (job, came))
        node.kill()
        return twice

    def test_a_repeat_that_is_held_at_its_write_still_comes_within_the_window(self) -> None:
        self.assertGreater(self.late(hold=True), 0)

    def test_a_step_of_the_wall_clock_neither_lengthens_the_window_nor_ends_it(self) -> None:
        for wall in (-3600.0, 3600.0):
            self.assertGreaterEqual(self.late(hold=False, wall=wall), 3, wall)


class SignalTest(MomentTest):
    """Signals in quick succession, with requests out at workers that hang."""

    def test_five_hangups_in_a_row_with_half_written_files_leave_the_last_whole_one(self) -> None:
        worker = Worker("s-1", serve)
        node, _ = self.platform(worker)
        others = [Discovery([worker.target()], rev=i) for i in range(3)]
        for other in others:
            self.addCleanup(other.close)
        whole = node.path.read_text()
        for other in others:
            node.path.write_text(whole[: len(whole) // 2])
            node.process.send_signal(signal.SIGHUP)
            node.path.write_text(whole.replace(node.config["discovery"], other.address))
            node.process.send_signal(signal.SIGHUP)
        eventually(lambda: bool(others[-1].watches))
        self.assertEqual([node.job(f"a{i}")[0] for i in range(5)], [200] * 5)
        others[-1].change(worker.target("terminating"))
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 503)
        self.assertEqual(node.terminate(), 0)

    def test_a_hangup_with_a_faulty_key_names_it_and_changes_nothing(self) -> None:
        worker = Worker("s-1", serve)
        node, _ = self.platform(worker)
        node.reload(settings={**SETTINGS, "classes": [{**SETTINGS["classes"][0], "deadline_ms": "soon"}]})
        self.assertTrue([line for line in node.log if "deadline_ms" in line and "level=error" in line])
        self.assertEqual(node.job("after")[0], 200)

    def test_signals_of_all_kinds_while_workers_hang_cost_no_answer(self) -> None:
        worker = Worker("s-1", keep)
        node, discovery = self.platform(worker, classes=CLASSES)
        answers = {
            f"{kind}-{i}": node.later(f"{kind}-{i}", kind, 6.0, sid=f"{i:x}")
            for kind in EFFECTS
            for i in range(3)
        }
        eventually(lambda: bool(worker.taken))
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            node.process.send_signal(number)
            threading.Event().wait(0.05)
        discovery.change(worker.target("terminating"))
        for job, answer in answers.items():
            status = answer.get(timeout=WAIT)[0]
            if job in worker.taken and not job.startswith("consulta"):
                self.assertNotIn(status, (429, 503), "it may have run")
            self.assertIn(status, (429, 502, 503, 504), job)
        self.assertEqual(node.process.wait(WAIT), 0)
