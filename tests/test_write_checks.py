"""What is asked again at the write itself: each test has the bad order happen between decision and write."""

from __future__ import annotations

import socket
import struct
import threading
import time
from typing import Any

from tests.acts import keep, post
from tests.late_worker import LateWorker, connecting, read_answers
from tests.node import SETTINGS, WAIT, Discovery, Node, NodeTest, Server, Worker, ask, eventually

LATE = {"connect_ms": 10_000, "accept_ms": 10_000, "accept_again_ms": 10_000}  # what further SYNs take


class WriteTest(NodeTest):
    """One job waits for a connection that comes up late."""

    def late(self, *others: Worker, **settings: Any) -> tuple[Node, Discovery, LateWorker]:
        worker = LateWorker("s-late")
        self.addCleanup(worker.close)
        discovery = Discovery([worker.target(), *(other.target() for other in others)])
        self.addCleanup(discovery.close)
        node = self.start(
            listen="127.0.0.1:0",
            admin="127.0.0.1:0",
            discovery=discovery.address,
            settings={**SETTINGS, **settings},
            node=LATE,
            log_level="trace",
        )
        worker.node = node.address
        for other in others:
            other.node = node.address
            self.addCleanup(other.close)
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 200)
        return node, discovery, worker

    def test_a_worker_that_drains_while_its_connection_comes_up_gets_nothing(self) -> None:
        node, discovery, worker = self.late()
        answer = node.later("a")
        connecting(node.log, worker)
        discovery.change(worker.target("terminating"))
        eventually(lambda: any("state=draining" in line for line in node.log))
        worker.open()
        self.assertEqual(answer.get()[0], 503)
        eventually(lambda: worker.opened == 1)  # the connection was up, and nothing was written on it
        self.assertEqual(worker.received, b"")

    def test_a_worker_that_starts_anew_while_its_connection_comes_up_is_decided_on_anew(self) -> None:
        node, discovery, worker = self.late()
        answer = node.later("a")
        connecting(node.log, worker)
        discovery.change(worker.target(boot_ms=time.time() * 1000))
        eventually(lambda: any("boot=1" in line for line in node.log))
        worker.open()
        # cold: the budget of a second is less than this job
        self.assertEqual(answer.get()[0], 503)
        eventually(lambda: worker.opened == 1)  # the connection was up, and nothing was written on it
        self.assertEqual(worker.received, b"")

    def test_a_client_that_leaves_while_the_connection_comes_up_gets_no_attempt(self) -> None:
        node, _, worker = self.late(limits={**SETTINGS["limits"], "cancel": False})
        host, _, port = node.address.partition(":")
        with socket.create_connection((host, int(port))) as client:
            client.sendall(post("a"))
            connecting(node.log, worker)
        worker.open()
        eventually(lambda: worker.opened == 1)
        self.assertEqual(node.job("b")[0], 200)
        self.assertEqual(worker.jobs(), ["b"])

    def test_the_time_told_is_what_is_left_when_the_connection_is_up(self) -> None:
        node, _, worker = self.late()
        began = time.monotonic()
        answer = node.later("a", budget=5.0)
        connecting(node.log, worker)
        worker.open()
        self.assertEqual(answer.get()[0], 200)
        waited = time.monotonic() - began
        self.assertGreater(waited, 0.5, "the connection was not late")
        eventually(lambda: bool(worker.received))
        self.assertLess(float(worker.header("X-Budget")), 5.0 - 0.5)

    def test_a_repeat_is_not_written_once_its_window_is_over(self) -> None:
        def broken(worker: Worker, request: Server, job: str) -> None:
            request.drop()

        classes = [dict(c) for c in SETTINGS["classes"]]
        window = 2.0  # long enough for the repeat to be decided on within it, on a loaded machine too
        classes[1].update(memory_span_ms=window * 1000, group="all")
        first = Worker("s-1", broken)
        node, discovery, worker = self.late(first, classes=classes)
        discovery.change(worker.target("terminating"))
        eventually(lambda: any("state=draining" in line for line in node.log))
        answer = node.later("a", "fechamento", budget=10.0)
        self.assertEqual(first.jobs.get(), "a")
        over = time.monotonic() + window
        discovery.change(worker.target())
        connecting(node.log, worker)
        threading.Event().wait(max(0.0, over - time.monotonic()))
        worker.open()
        self.assertIn(answer.get()[0], (502, 503))  # of a group of all either is true (WIRE, rule 2)
        eventually(lambda: worker.opened == 1)  # the connection was up, and nothing was written on it
        self.assertEqual(worker.jobs(), [])

    def test_a_client_that_leaves_behind_requests_that_nobody_has_read_gets_no_further_attempt(self) -> None:
        held = Worker("s-1", keep)
        node, _ = self.platform(held)
        host, _, port = node.address.partition(":")
        with socket.create_connection((host, int(port))) as client:
            client.sendall(post("a"))
            self.assertEqual(held.jobs.get(), "a")
            # more than is read ahead: the close stands behind bytes that stay in the kernel
            client.sendall(b"".join(post(f"b{i}", more=f"X-Fill: {'x' * 4000}\r\n") for i in range(12)))
            threading.Event().wait(0.1)
        threading.Event().wait(0.15)  # 0.1 s after a close nothing may begin
        held.call("a", "done", result="yes")
        self.assertEqual(node.job("c", budget=0.3)[0], 503 if held.taken == {"a"} else 502)
        self.assertLessEqual(held.taken, {"a", "c"})


class QueuedTest(NodeTest):
    """Clients that leave while their requests wait for a worker."""

    def test_what_waits_for_a_worker_is_not_sent_once_its_client_has_left(self) -> None:
        for how in ("end of stream", "reset"):
            with self.subTest(how=how):
                worker = Worker("s-1", keep)
                node, _ = self.platform(worker)
                running = node.later("a", budget=8.0)
                self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
                host, _, port = node.address.partition(":")
                clients = [socket.create_connection((host, int(port))) for _ in range(4)]
                for number, client in enumerate(clients):
                    client.sendall(post(f"q{number}", budget=8.0))
                threading.Event().wait(0.1)  # for them to be read and to wait: the worker runs one at a time
                self.assertEqual(worker.taken, {"a"})
                for client in clients:
                    if how == "reset":
                        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    client.close()
                threading.Event().wait(0.15)  # 0.1 s after a close nothing may begin
                worker.call("a", "done", result="yes")
                self.assertEqual(running.get(timeout=WAIT)[0], 200)
                last = node.later("z", budget=8.0)
                self.assertEqual(worker.jobs.get(timeout=WAIT), "z")  # who came after them has the worker
                worker.call("z", "done", result="yes")
                self.assertEqual(last.get(timeout=WAIT)[0], 200)
                self.assertEqual(worker.taken, {"a", "z"})


class PipelineTest(NodeTest):
    def test_the_time_of_a_request_runs_while_it_waits_behind_another_one(self) -> None:
        held = Worker("s-1", keep)
        node, _ = self.platform(held)
        host, _, port = node.address.partition(":")
        with socket.create_connection((host, int(port))) as client:
            client.sendall(post("a", budget=0.6) + post("b", budget=0.3))
            began = time.monotonic()
            self.assertEqual(len(read_answers(client, 2)), 2)
        # b's time was over as a had its answer: it is answered at once, and sent nowhere
        self.assertLess(time.monotonic() - began, 0.8)
        self.assertEqual(held.taken, {"a"})
