"""The time that a client gives: read, told to workers, and kept where next to nothing of it is left."""

from __future__ import annotations

import threading
import time

from tests.acts import serve
from tests.node import SETTINGS, NodeTest, Server, Worker, ask

LATE_S = 0.5  # after its time a request only earns nothing; later it counts as lost (STANDING)
MALFORMED = (
    "-1",
    "-0.1",
    "soon",
    "nan",
    "inf",
    "-inf",
    "1e400",
    "9" * 400,
    "5 s",
    "0x5",
    "1_000",
    "٣",
    "+",
    ".",
)


class GivenTest(NodeTest):
    def test_what_is_no_time_gets_a_400_that_names_it(self) -> None:
        worker = Worker("s-1", serve)
        node, _ = self.platform(worker)
        for i, text in enumerate(MALFORMED):
            headers = {"X-Call-Id": f"a{i}", "X-Budget": text.encode().decode("latin-1")}
            status, _, body = ask(node.address, "POST", "/pesagem?sid=1", b"load", headers)
            self.assertEqual(status, 400, text[:9])
            self.assertIn(b"X-Budget", body)
        self.assertEqual(worker.taken, set())
        self.assertEqual(node.job("after")[0], 200)

    def test_an_enormous_time_is_kept_to_the_class(self) -> None:
        told: list[float] = []

        def note(worker: Worker, request: Server, job: str) -> None:
            told.append(float(request.headers["X-Budget"]))
            serve(worker, request, job)

        node, _ = self.platform(Worker("s-1", note))
        for i, text in enumerate(("1e14", "100000000000000", "86400")):
            headers = {"X-Call-Id": f"a{i}", "X-Budget": text}
            self.assertEqual(ask(node.address, "POST", "/pesagem?sid=1", b"load", headers)[0], 200)
        self.assertLessEqual(max(told), 2 * SETTINGS["classes"][0]["deadline_ms"] / 1000)

    def test_requests_with_next_to_no_time_left_are_answered_and_told_no_more(self) -> None:
        told: dict[str, float] = {}
        arrived: dict[str, float] = {}
        answered: dict[str, float] = {}

        def never(worker: Worker, request: Server, job: str) -> None:
            arrived[job], told[job] = time.monotonic(), float(request.headers["X-Budget"])
            request.reply(202)

        node, _ = self.platform(Worker("s-1", never), Worker("s-2", never))
        for name in ("pesagem", "fechamento"):
            for ms in range(0, 51, 5):
                job, began = f"{name}-{ms}", time.monotonic()
                status = node.job(job, name, budget=ms / 1000)[0]
                answered[job] = time.monotonic()
                self.assertLess(answered[job] - began, ms / 1000 + LATE_S)
                self.assertIn(status, (429, 502, 503, 504), ms)
                if job in told:
                    self.assertLessEqual(told[job], ms / 1000 + 0.001)
                    self.assertNotIn(status, (429, 503), "it may have run")
        threading.Event().wait(0.2)
        for job, at in arrived.items():
            self.assertLess(at, answered[job] + 0.1, "an attempt for a client that has its answer")
