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


class SuspendTest(NodeTest):
    def test_a_worker_taken_out_gets_nothing_until_the_call_back_whatever_the_list_says(self) -> None:
        out, other = Worker("s-1", serve), Worker("s-2", serve)
        node, discovery = self.platform(out, other)
        ids = (f"j{i}" for i in itertools.count())
        eventually(lambda: node.job(next(ids), sid=f"{len(other.taken):x}")[0] == 200 and bool(out.taken))
        self.assertTrue(node.call("SUSPEND s-9").startswith("FAILURE"))
        self.assertTrue(node.call("RESTORE s-9").startswith("FAILURE"))
        for _ in range(2):
            self.assertTrue(node.call("SUSPEND s-1").startswith("SUCCESS"))
        taken = len(out.taken)
        rev = discovery.rev
        # told as restarted, gone, and there again: it stays out
        for target in ({"boot_ms": 5}, {"state": "terminated"}, {"boot_ms": 6}):
            discovery.rev = rev = rev + 1
            discovery.change({**out.target(), **target})
            size = 1 if "state" in target else 2
            eventually(lambda size=size: node.figures()["cluster_size"] == size)  # type: ignore[misc]
            self.assertEqual(node.figures()["cluster_unhealthy"], size - 1)
            self.assertEqual([node.job(next(ids), sid=f"{i:x}")[0] for i in range(12)], [200] * 12)
        discovery.watches[-1].put(None)  # a whole list, on a new watch
        self.assertIn("since", discovery.asked.get(timeout=WAIT))
        node.reload(name="n0")
        self.assertEqual([node.job(next(ids), sid=f"{i:x}")[0] for i in range(12)], [200] * 12)
        self.assertEqual(len(out.taken), taken)
        self.assertTrue(node.call("RESTORE s-1").startswith("SUCCESS"))  # undoes both
        eventually(lambda: node.job(next(ids), sid="1")[0] == 200 and len(out.taken) > taken)
        self.assertEqual(node.figures()["cluster_unhealthy"], 0)

    def test_a_job_that_waits_for_a_worker_does_not_go_to_one_that_is_taken_out(self) -> None:
        out = Worker("s-1", keep)
        node, _ = self.platform(out)
        first = node.later("a")
        self.assertEqual(out.jobs.get(timeout=WAIT), "a")
        held = node.later("b", budget=60.0)  # no slot is free
        eventually(lambda: node.figures()["current"] == 2)
        self.assertTrue(node.call("SUSPEND s-1").startswith("SUCCESS"))
        out.call("a", "done", result="before")
        self.assertEqual(first.get(timeout=WAIT)[0], 200)
        self.assertEqual(held.get(timeout=WAIT)[0], 503)
        self.assertTrue(out.jobs.empty())


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
