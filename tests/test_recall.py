"""An attempt that is given up while its job is still owed an answer: one copy at a time, whatever is late."""

from __future__ import annotations

import threading

from tests.node import NodeTest, Server, Worker, eventually


class SlowToHear(Worker):
    """Answers a DELETE only when told to."""

    def __init__(self) -> None:
        super().__init__("s-1", begin)
        self.may_answer = threading.Event()

    def handle(self, request: Server, body: bytes) -> None:
        if request.command == "DELETE":
            self.cancelled.put(request.path.rpartition("/")[2])
            self.may_answer.wait(20)
            request.reply(204)
        else:
            super().handle(request, body)


def begin(worker: Worker, request: Server, job: str) -> None:
    request.reply(202)
    if job == "marker":
        worker.call(job, "done", result=job)
    else:
        worker.call(job, "started")


def serve(worker: Worker, request: Server, job: str) -> None:
    request.reply(202)
    worker.call(job, "done", result=job)


class RecallTest(NodeTest):
    def test_a_job_goes_again_only_once_its_worker_has_heard_of_the_recall(self) -> None:
        slow, other = SlowToHear(), Worker("s-2", serve)
        family = {"tells_start": True, "progress_ms": 100.0}
        node, discovery = self.platform(slow, family_info=family)
        other.node = node.address
        self.addCleanup(other.close)
        answers = [node.later("lively"), node.later("quiet", "fechamento", 20.0)]
        eventually(lambda: {"lively", "quiet"} <= slow.taken)
        discovery.change(other.target())
        given_up: list[str] = []

        def heard_of() -> bool:
            slow.call("lively", "running", share=0.5)  # the worker lives, and the other job tells of nothing
            if not slow.cancelled.empty():
                given_up.append(slow.cancelled.get())
            return bool(given_up)

        eventually(heard_of)
        self.assertEqual(given_up, ["quiet"])
        self.assertEqual(node.job("marker")[::2], (200, b"marker"))  # the module has decided meanwhile
        self.assertNotIn("quiet", other.taken)
        slow.may_answer.set()
        self.assertEqual(answers[1].get(timeout=20)[::2], (200, b"quiet"))
        self.assertIn("quiet", other.taken)
        slow.call("lively", "done", result="lively")
        self.assertEqual(answers[0].get(timeout=20)[0], 200)

    def test_a_job_without_a_202_goes_again_only_once_its_worker_has_ended_the_connection(self) -> None:
        heard, may_end = threading.Event(), threading.Event()

        def mute(worker: Worker, request: Server, job: str) -> None:
            if job == "marker":
                serve(worker, request, job)
                return
            assert request.connection.recv(1) == b""  # the node waits for no answer any more
            heard.set()
            may_end.wait(20)
            request.drop()

        first, other = Worker("s-1", mute), Worker("s-2", serve)
        node, discovery = self.platform(first, node={"accept_again_ms": 50})
        other.node = node.address
        self.addCleanup(other.close)
        answer = node.later("unheard", "fechamento", 20.0)
        eventually(lambda: "unheard" in first.taken)
        discovery.change(other.target())
        self.assertTrue(heard.wait(20))
        self.assertEqual(node.job("marker")[::2], (200, b"marker"))
        self.assertNotIn("unheard", other.taken)
        may_end.set()
        self.assertEqual(answer.get(timeout=20)[::2], (200, b"unheard"))
        self.assertIn("unheard", other.taken)

    def test_a_job_that_began_before_its_202_goes_again_only_once_the_connection_has_ended(self) -> None:
        heard, may_end = threading.Event(), threading.Event()

        def early(worker: Worker, request: Server, job: str) -> None:
            if job in ("marker", "lively"):
                begin(worker, request, job)
                return
            worker.call(job, "started")
            request.connection.recv(1)  # no 202: what the node says or ends next
            heard.set()
            may_end.wait(20)
            request.drop()

        first, other = Worker("s-1", early), Worker("s-2", serve)
        family = {"tells_start": True, "progress_ms": 100.0}
        limits = {"accept_again_ms": 60_000, "accept_ms": 60_000}
        node, discovery = self.platform(first, node=limits, family_info=family)
        other.node = node.address
        self.addCleanup(other.close)
        answers = [node.later("lively"), node.later("quiet", "fechamento", 20.0)]
        eventually(lambda: {"lively", "quiet"} <= first.taken)
        discovery.change(other.target())

        def heard_of() -> bool:
            first.call("lively", "running", share=0.5)
            return heard.is_set()

        eventually(heard_of)
        self.assertEqual(node.job("marker")[::2], (200, b"marker"))
        self.assertNotIn("quiet", other.taken)
        may_end.set()
        self.assertEqual(answers[1].get(timeout=20)[::2], (200, b"quiet"))
        first.call("lively", "done", result="lively")
        self.assertEqual(answers[0].get(timeout=20)[0], 200)
