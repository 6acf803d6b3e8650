"""The trace of single requests: what a node writes, and what bench.trace makes of it."""

from __future__ import annotations

import random
import tempfile
import unittest
from pathlib import Path

from bench.trace import count, life, parse, read
from pebbledrift.core.view import why_held
from spoolpier import interface as api
from tests.helpers import job, outcome, sends, started
from tests.node import SETTINGS, WAIT, Discovery, NodeTest, Server, Worker, ask, eventually


class TraceTest(NodeTest):
    def test_one_request_is_followed_from_its_arrival_to_its_answer(self) -> None:
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
        kept = []
        for name in ("kept", "kept-2"):  # the limit is two slots, after one that began at once
            kept.append(node.later(name, budget=2.0))
            eventually(lambda name=name: name in worker.taken)  # type: ignore[misc]
        self.assertEqual(node.job("refused", budget=0.6)[0], 503)
        self.assertEqual({answer.get(timeout=WAIT)[0] for answer in kept}, {502})
        with tempfile.TemporaryDirectory() as folder:
            Path(folder, "n0.log").write_text("".join(node.log))
            lines = list(read(Path(folder)))
            table, why, _ = count(iter(lines))
        told = " ".join(life(lines, "first"))
        steps = "taken, ", "sent to s-1 (up", "0 began at s-1", "answered: served"
        at = [told.index(step) for step in steps]
        self.assertEqual(at, sorted(at), told)
        self.assertIn("ended: served", told)
        self.assertIn("1 full", " ".join(life(lines, "refused")))
        self.assertIn("timed out", " ".join(life(lines, "kept")))
        self.assertEqual(life(lines, "nobody"), [])
        self.assertEqual(sum(row["sends"] for row in table.values()), 3)
        self.assertEqual(why["full"], 1)
        self.assertEqual(parse("not a record", "n0"), None)

    def test_at_another_level_nothing_is_written(self) -> None:
        worker = Worker("s-1", lambda w, request, name: request.reply(500))
        node, _ = self.platform(worker)
        node.job("a", budget=0.5)
        self.assertFalse([line for line in node.log if "level=trace" in line])


class WhyTest(unittest.TestCase):
    def test_each_worker_that_a_held_job_looks_at_has_a_reason(self) -> None:
        """The reasons are worked out beside the module: where it sends nothing, none may be missing."""
        of = api.OutcomeKind
        kinds = [of.SERVED, of.ERROR, of.NO_CONNECTION, of.REFUSED]
        held = 0
        for seed in range(40):
            draw = random.Random(seed)
            d = started(3, tells_start=True)  # so few that a job looks at all of them
            out: list[api.Send] = []
            now = 10.0
            for i in range(30):
                now += draw.choice((5.0, 40.0, 200.0))
                events: list[api.Event] = [job(f"{i}", draw.randrange(3), key=draw.randrange(4))]
                if out and draw.random() < 0.5:
                    ended = out.pop(draw.randrange(len(out)))
                    a = next(a for (name, _), a in d.ledger.in_flight.items() if name == ended.job)
                    events.append(outcome(ended, draw.choice(kinds), a.number))
                out += sends(d.step(now, events))
                out = [s for s in out if any(name == s.job for name, _ in d.ledger.in_flight)]
                for name in d.held:
                    if d.held[name].retry_at > now and not d.held[name].pending_probes:
                        found = why_held(d, name, now)
                        assert found is not None
                        held += 1
                        if d.held[name].retry_ms > 0 and d.held[name].arrived_at == now:
                            self.assertNotIn("unseen", found, (seed, i, name))
        self.assertGreater(held, 200)
        self.assertIsNone(why_held(d, "nobody", now))
