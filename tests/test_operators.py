"""What the staff who run the node day by day use: the program as a process, called as they call it."""

from __future__ import annotations

import http.client
import itertools
import socket

from tests.node import SETTINGS, WAIT, Discovery, NodeTest, Worker, ask, eventually
from tests.test_node import keep, serve


class AdminTest(NodeTest):
    def test_status_figures_and_calls_that_are_none(self) -> None:
        worker = Worker("s-1", serve)
        node, _ = self.platform(worker)
        self.assertEqual(node.call("STATUS"), "SUCCESS ready\n")
        for call in ("", "STATUS now", "status", "SUSPEND", "FLY", "x" * 300):
            self.assertRegex(node.call(call), r"\AFAILURE .*\n\Z")
        first = node.figures()
        for name in ("pesagem", "fechamento"):
            for figure in ("answered", "deferred", "errored", "sends"):
                self.assertEqual(first[f"transactions.{name}.{figure}"], 0)
        self.assertEqual((first["current"], first["cluster_size"], first["conf_loaded"]), (0, 1, 1))
        self.assertEqual([node.job(f"a{i}")[0] for i in range(3)], [200] * 3)
        self.assertEqual(node.job("f", "fechamento")[0], 200)
        worker.act = keep
        open_one = node.later("b")
        eventually(lambda: node.figures()["current"] == 1)
        worker.call("b", "failed")
        self.assertEqual(open_one.get(timeout=WAIT)[0], 502)
        node.reload()
        found = node.figures()
        self.assertEqual(found["transactions.pesagem.answered"], 3)
        self.assertEqual(found["transactions.pesagem.errored"], 1)
        self.assertEqual(found["transactions.pesagem.sends"], 4)
        self.assertEqual(found["transactions.fechamento.answered"], 1)
        self.assertEqual((found["current"], found["conf_loaded"], found["conf_invalid"]), (0, 1, 1))

    def test_refusals_count_and_a_worker_out_of_reach_is_unhealthy(self) -> None:
        worker = Worker("s-1", serve)
        node, discovery = self.platform(worker)
        worker.close()
        self.assertEqual(node.job("a", budget=60.0)[0], 503)
        found = node.figures()
        self.assertEqual(found["transactions.pesagem.deferred"], 1)
        self.assertEqual(found["transactions.pesagem.sends"], 0)
        self.assertEqual(found["cluster_size"], 1)
        again = (f"b{i}" for i in itertools.count())  # a first failure may be chance
        eventually(lambda: node.job(next(again))[0] == 503 and node.figures()["cluster_unhealthy"] == 1)
        discovery.change(worker.target("terminated"))
        eventually(lambda: node.figures()["cluster_size"] == 0)
        self.assertEqual(node.figures()["cluster_unhealthy"], 0)

    def test_callers_that_say_nothing_or_half_make_room_for_others(self) -> None:
        node, _ = self.platform(Worker("s-1", serve), node={"admin_sockets": 3, "admin_ms": 60_000})
        host, _, port = node.admin.partition(":")
        silent = [socket.create_connection((host, int(port)), WAIT) for _ in range(12)]
        for caller in silent[::2]:
            caller.sendall(b"STAT")
        self.assertEqual(node.call("STATUS"), "SUCCESS ready\n")
        half = socket.create_connection((host, int(port)), WAIT)
        half.sendall(b"PAUSE")  # its end may have been lost on the way: it is not carried out
        half.shutdown(socket.SHUT_WR)
        self.assertTrue(half.recv(4096).startswith(b"FAILURE"))
        self.assertEqual(node.call("STATUS"), "SUCCESS ready\n")
        for caller in (*silent, half):
            caller.close()

    def test_a_silent_caller_is_told_so_in_the_end(self) -> None:
        node, _ = self.platform(Worker("s-1", serve), node={"admin_ms": 50})
        host, _, port = node.admin.partition(":")
        with socket.create_connection((host, int(port)), WAIT) as caller:
            self.assertTrue(caller.recv(4096).startswith(b"FAILURE"))


class PauseTest(NodeTest):
    def test_a_pause_empties_the_node_and_a_resume_takes_clients_again(self) -> None:
        worker, other = Worker("s-1", keep), Worker("s-2", keep)
        other.jobs = worker.jobs
        node, _ = self.platform(worker, other, node={"linger_ms": 2000})
        kept = http.client.HTTPConnection(node.address, timeout=WAIT)
        used = http.client.HTTPConnection(node.address, timeout=WAIT)
        for client in (kept, used):
            client.request("GET", "/-/ready")
            self.assertEqual(client.getresponse().read(), b"")
        host, _, port = node.address.partition(":")
        silent = socket.create_connection((host, int(port)), WAIT)
        running = node.later("a", "fechamento", 20.0)
        self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
        for _ in range(2):  # twice is once
            self.assertEqual(node.call("PAUSE"), "SUCCESS paused\n")
        self.assertEqual(node.call("STATUS"), "FAILURE paused\n")
        self.assertEqual(ask(node.address, "GET", "/-/ready")[0], 503)
        worker.act = other.act = serve
        given = {"X-Call-Id": "b", "X-Budget": "5"}
        used.request("POST", "/pesagem", b"load", given)
        answer = used.getresponse()  # what still comes is served, and its connection ends
        self.assertEqual((answer.status, answer.headers["Connection"]), (200, "close"))
        assert kept.sock is not None
        self.assertEqual((kept.sock.recv(1), silent.recv(1)), (b"", b""))
        holder = worker if "a" in worker.taken else other
        self.assertEqual(holder.call("a", "done", result="long"), 204)  # call-backs still get in
        self.assertEqual(running.get(timeout=WAIT)[::2], (200, b"long"))
        for _ in range(2):
            self.assertEqual(node.call("RESUME"), "SUCCESS ready\n")
        self.assertEqual(ask(node.address, "GET", "/-/ready")[0], 200)
        kept.close()
        kept.request("GET", "/-/ready")
        kept.getresponse().read()
        self.assertIsNotNone(kept.sock)  # connections are kept again
        kept.close()
        used.close()
        silent.close()


class UpgradeTest(NodeTest):
    def test_an_inherited_socket_is_served_and_outlives_the_process(self) -> None:
        worker = Worker("s-1", serve)
        self.addCleanup(worker.close)
        discovery = Discovery([worker.target()])
        self.addCleanup(discovery.close)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            worker.node = f"127.0.0.1:{listener.getsockname()[1]}"
            for i in range(2):
                node = self.start(
                    listener=listener, listen=worker.node, discovery=discovery.address, settings=SETTINGS
                )
                self.assertEqual(node.address, worker.node)
                eventually(lambda node=node: ask(node.address, "GET", "/-/ready")[0] == 200)  # type: ignore[misc]
                self.assertEqual(node.job(f"j{i}")[0], 200)
                self.assertEqual(node.terminate(), 0)
