"""Clients that leave at each moment of a request, by the end of their stream or by a reset."""

from __future__ import annotations

import os
import signal
import socket
import struct
import threading
import time
from collections import Counter

from tests.acts import keep, post, serve
from tests.late_worker import read_answers
from tests.node import Node, NodeTest, Server, Worker, eventually
from tests.test_moments import EFFECTS

GONE_S = 0.1  # after a close nothing may begin (STANDING)
SLACK_S = 0.05  # of this process's own clock at the two ends


def leave(client: socket.socket, how: str) -> None:
    """Close a connection."""
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


class LeavingTest(NodeTest):
    HOW = ("end of stream", "reset")

    def connect(self, node: Node) -> socket.socket:
        host, _, port = node.address.partition(":")
        return socket.create_connection((host, int(port)))

    def test_one_whose_request_is_turned_away_gets_no_further_attempt(self) -> None:
        for how in self.HOW:
            came: list[tuple[str, float]] = []

            def busy(worker: Worker, request: Server, job: str) -> None:
                came.append((job, time.monotonic()))  # noqa: B023
                threading.Event().wait(0.3)  # the client leaves before it is turned away here
                request.reply(429, {"Retry-After": "0"})

            node, _ = self.platform(*(Worker(f"s-{i}", busy) for i in range(3)))
            gone: dict[str, float] = {}
            for name in ("pesagem", "fechamento"):
                for i in range(5):
                    client, job = self.connect(node), f"{name}-{i}"
                    client.sendall(post(job, name))
                    eventually(lambda job=job: any(j == job for j, _ in came))  # type: ignore[misc] # noqa: B023
                    threading.Event().wait(0.02 * i)
                    gone[job] = time.monotonic()
                    leave(client, how)
            threading.Event().wait(1.5)
            for job, at in came:
                self.assertLess(at, gone[job] + GONE_S + SLACK_S, (how, job))
            node.kill()

    def test_one_that_leaves_while_the_node_is_paused_is_sent_nowhere_after(self) -> None:
        for how in self.HOW:
            worker = Worker("s-1", keep)
            node, _ = self.platform(worker)
            first = node.later("a", budget=8.0)
            eventually(lambda worker=worker: bool(worker.taken))  # type: ignore[misc]
            waiting = self.connect(node)
            waiting.sendall(post("q", budget=8.0))
            threading.Event().wait(0.1)
            node.call("PAUSE")
            leave(waiting, how)
            threading.Event().wait(GONE_S + SLACK_S)
            node.call("RESUME")
            worker.call("a", "done", result="yes")
            self.assertEqual(first.get()[0], 200)
            threading.Event().wait(0.5)
            self.assertEqual(worker.taken, {"a"}, how)
            node.kill()

    def test_of_hundreds_those_that_leave_are_sent_nowhere_and_the_others_are_served(self) -> None:
        came: dict[str, float] = {}

        def note(worker: Worker, request: Server, job: str) -> None:
            came[job] = time.monotonic()
            serve(worker, request, job)

        node, _ = self.platform(*(Worker(f"s-{i}", note) for i in range(4)))
        clients = {f"c{i}": self.connect(node) for i in range(240)}
        for job, client in clients.items():
            client.sendall(post(job, "fechamento", budget=12.0))
        gone: dict[str, float] = {}
        for i, (job, client) in enumerate(clients.items()):
            if i % 2:
                gone[job] = time.monotonic()
                leave(client, self.HOW[i // 2 % 2])
        statuses = Counter(
            status for job, client in clients.items() if job not in gone for status in read_answers(client, 1)
        )
        self.assertEqual(sum(statuses.values()), 120)
        self.assertLessEqual(set(statuses), {200, 429, 503})
        self.assertGreater(statuses[200], 60)
        for job, at in gone.items():
            self.assertLess(came.get(job, 0.0), at + GONE_S + SLACK_S, job)
        for client in clients.values():
            client.close()


class InterruptedTest(NodeTest):
    def test_waits_that_are_interrupted_lose_nothing(self) -> None:
        # a process that goes on after a stop has EINTR from its waits
        node, _ = self.platform(Worker("s-1", serve), Worker("s-2", serve))
        ended = threading.Event()

        def interrupt() -> None:
            while not ended.wait(0.02):
                os.kill(node.process.pid, signal.SIGSTOP)
                os.kill(node.process.pid, signal.SIGCONT)

        interrupting = threading.Thread(target=interrupt)
        interrupting.start()
        try:
            for name in EFFECTS:
                if name != "consulta":
                    found = [node.job(f"{name}-{i}", name, sid=f"{i:x}")[0] for i in range(60)]
                    self.assertEqual(found, [200] * 60)
        finally:
            ended.set()
            interrupting.join()
        self.assertEqual(node.terminate(), 0)
