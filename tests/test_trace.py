"""The request trace: what a node writes, and how bench.trace evaluates it."""

from __future__ import annotations

import random
import tempfile
import unittest
from pathlib import Path

from bench.trace import count, life, parse, read
from pebbledrift.core.view import hold_reasons
from spoolpier import interface as api
from tests.helpers import job, outcome, sends, started
from tests.node import SETTINGS, WAIT, Discovery, NodeTest, Server, Worker, ask, eventually


class TraceTest(NodeTest):
    def test_trace_follows_a_request_from_arrival_to_answer(self) -> None:
        def serve(worker: Worker, request: Server, name: str) -> None:
            request.reply(202)
            worker.call(name, "started")
            if not name.startswith("kept"):
                worker.call(name, "done", result="yes")

        worker = Worker("s-1", serve)
        self.addCleanup(worker.close)
        discovery = Discovery([worker.target()])
        self.addCleanup(discovery.close)
        node = self.start(
            listen="127.0.0.1:0", discovery=discovery.address, settings=SETTINGS, log_level="trace"
        )
        worker.node = node.address
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 200)
        self.assertEqual(node.job("first")[0], 200)
        pending = []
        for name in ("kept", "kept-2"):  # the worker's limit is two slots after a job that started at once
            pending.append(node.later(name, budget=2.0))
            eventually(lambda name=name: name in worker.taken)  # type: ignore[misc]
        self.assertEqual(node.job("refused", budget=0.6)[0], 503)
        self.assertEqual({answer.get(timeout=WAIT)[0] for answer in pending}, {502})
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "n0.log").write_text("".join(node.log))
            lines = list(read(Path(folder)))
            table, reasons, _ = count(iter(lines))
        text = " ".join(life(lines, "first"))
        steps = "taken, ", "sent to s-1 (up", "0 began at s-1", "answered: served"
        positions = [text.index(step) for step in steps]
        self.assertEqual(positions, sorted(positions), text)
        self.assertIn("ended: served", text)
        self.assertIn("1 full", " ".join(life(lines, "refused")))
        self.assertIn("timed out", " ".join(life(lines, "kept")))
        self.assertEqual(life(lines, "nobody"), [])
        self.assertEqual(sum(row["sends"] for row in table.values()), 3)
        self.assertEqual(reasons["full"], 1)
        self.assertEqual(parse("not a record", "n0"), None)

    def test_no_trace_at_other_log_levels(self) -> None:
        worker = Worker("s-1", lambda w, request, name: request.reply(500))
        node, _ = self.platform(worker)
        node.job("a", budget=0.5)
        self.assertFalse([line for line in node.log if "level=trace" in line])


class HoldReasonsTest(unittest.TestCase):
    def test_every_worker_that_a_held_job_considers_has_a_reason(self) -> None:
        """view.py derives the reasons separately from the decision module, so it must not miss one.

        A newly held job has considered all workers, so none may be reported as "unseen".
        """
        outcome_kind = api.OutcomeKind
        kinds = [outcome_kind.SERVED, outcome_kind.ERROR, outcome_kind.NO_CONNECTION, outcome_kind.REFUSED]
        checked = 0
        for seed in range(40):
            rng = random.Random(seed)
            d = started(3, tells_start=True)  # few enough for a job to consider all of them
            out: list[api.Send] = []
            now = 10.0
            for i in range(30):
                now += rng.choice((5.0, 40.0, 200.0))
                events: list[api.Event] = [job(f"{i}", rng.randrange(3), key=rng.randrange(4))]
                if out and rng.random() < 0.5:
                    send = out.pop(rng.randrange(len(out)))
                    a = next(a for (name, _), a in d.ledger.in_flight.items() if name == send.job)
                    events.append(outcome(send, rng.choice(kinds), a.number))
                out += sends(d.step(now, events))
                out = [s for s in out if any(name == s.job for name, _ in d.ledger.in_flight)]
                for name in d.held:
                    if d.held[name].retry_at > now and not d.held[name].pending_probes:
                        reasons = hold_reasons(d, name, now)
                        assert reasons is not None
                        checked += 1
                        if d.held[name].retry_ms > 0 and d.held[name].arrived_at == now:
                            self.assertNotIn("unseen", reasons, (seed, i, name))
        self.assertGreater(checked, 200)
        self.assertIsNone(hold_reasons(d, "nobody", now))
