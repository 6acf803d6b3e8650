"""What is still owed at the instant in which something ends, over real connections."""

from __future__ import annotations

import asyncio
import signal
import socket
import threading
import unittest

from pebbledrift.bounds import Limits
from pebbledrift.net.client_connection import ClientConnection
from pebbledrift.net.front import FrontServer
from pebbledrift.net.http import Message
from pebbledrift.net.link import Fields
from tests.acts import keep, post
from tests.late_worker import read_answers
from tests.node import WAIT, NodeTest, Server, Worker, ask, eventually

LARGE = "x" * 60_000


class ShutdownTest(NodeTest):
    def test_requests_that_were_read_behind_an_open_one_get_their_answers(self) -> None:
        worker = Worker("s-1", keep)
        node, _ = self.platform(worker)
        host, _, port = node.address.partition(":")
        with socket.create_connection((host, int(port))) as client:
            client.sendall(post("a") + post("b") + post("c"))
            self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
            node.process.send_signal(signal.SIGTERM)
            eventually(lambda: any("stopping" in line for line in node.log))
            worker.call("a", "done", result="yes")
            threading.Thread(target=self._serve_rest, args=(worker,), daemon=True).start()
            statuses = read_answers(client, 3)
        self.assertEqual(statuses[0], 200)
        self.assertEqual(len(statuses), 3, statuses)
        self.assertEqual(node.process.wait(WAIT), 0)

    @staticmethod
    def _serve_rest(worker: Worker) -> None:
        for _ in range(2):
            worker.call(worker.jobs.get(timeout=WAIT), "done", result="yes")

    def test_a_client_that_reads_slowly_gets_its_answer_whole(self) -> None:
        worker = Worker("s-1", keep)
        node, _ = self.platform(worker)
        host, _, port = node.address.partition(":")
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            client.connect((host, int(port)))
            client.sendall(post("a") + post("b"))
            self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
            worker.call("a", "done", result=LARGE)
            threading.Event().wait(0.2)
            node.process.send_signal(signal.SIGTERM)
            threading.Thread(target=self._large, args=(worker,), daemon=True).start()
            threading.Event().wait(2.0)  # a process that does not wait for its readers has ended by now
            client.settimeout(WAIT)
            data = b""
            while chunk := client.recv(4096):
                data += chunk
        self.assertEqual(data.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(data.count(LARGE.encode()), 2)

    @staticmethod
    def _large(worker: Worker) -> None:
        worker.call(worker.jobs.get(timeout=WAIT), "done", result=LARGE)

    def test_workers_that_hang_through_a_shutdown_cost_no_client_its_answer(self) -> None:
        worker = Worker("s-1", keep)
        node, _ = self.platform(worker)
        answers = [node.later(f"a{i}", budget=30.0, sid=f"{i:x}") for i in range(4)]
        eventually(lambda: bool(worker.taken))
        node.process.send_signal(signal.SIGTERM)
        node.process.send_signal(signal.SIGTERM)  # a second one changes nothing
        node.process.send_signal(signal.SIGHUP)
        statuses = [answer.get(timeout=2 * WAIT)[0] for answer in answers]
        self.assertEqual(len(statuses), 4)
        self.assertEqual(node.process.wait(WAIT), 0)


class FaultTest(NodeTest):
    def test_a_client_that_stops_in_a_request_gets_its_error_also_after_sigterm(self) -> None:
        worker = Worker("s-1", keep)
        node, _ = self.platform(worker)
        host, _, port = node.address.partition(":")
        first = node.later("a", budget=4.5)
        self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
        with socket.create_connection((host, int(port))) as client:
            client.sendall(post("b")[:-2])
            ask(node.address, "GET", "/-/ready")
            node.process.send_signal(signal.SIGTERM)
            self.assertEqual(read_answers(client, 1), [408])
        worker.call("a", "done", result="yes")
        self.assertEqual(first.get(timeout=WAIT)[0], 200)

    def test_a_last_answer_is_whole_though_more_has_come_than_is_read(self) -> None:
        def serve(worker: Worker, request: Server, job: str) -> None:
            request.reply(202)
            worker.call(job, "done", result=LARGE)

        node, _ = self.platform(Worker("s-1", serve))
        host, _, port = node.address.partition(":")
        with socket.create_connection((host, int(port))) as client:
            # an error of the sender's own, and far more behind it than is passed over
            client.sendall(b"NO SUCH THING\r\n\r\n")
            sender = threading.Thread(target=_flood, args=(client,), daemon=True)
            sender.start()
            self.assertEqual(read_answers(client, 1), [400])


def _flood(client: socket.socket) -> None:
    try:
        for _ in range(64):
            client.sendall(b"y" * 65536)
    except OSError:
        pass


class HandlerFaultTest(unittest.IsolatedAsyncioTestCase):
    """A front that fails in the middle of a request, behind a real connection."""

    async def test_a_fault_of_our_own_is_answered_and_what_it_held_is_let_go_of(self) -> None:
        gone: list[ClientConnection] = []

        class Faulty:
            def handle(self, connection: ClientConnection, message: Message) -> None:
                raise RuntimeError("a fault of ours")

            def gone(self, connection: ClientConnection) -> None:
                gone.append(connection)

            def adopt(self, connection: ClientConnection, message: Message, job: Fields) -> None:
                raise NotImplementedError

        server = FrontServer(Limits(), Faulty())
        address = server.listen(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(post("a"))
        with self.assertLogs("pebbledrift", "ERROR"):
            data = await asyncio.wait_for(reader.read(), WAIT)
        self.assertTrue(data.startswith(b"HTTP/1.1 500"))
        self.assertEqual(len(gone), 1)
        writer.close()
        server.close()
