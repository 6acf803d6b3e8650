"""What the staff who run the node day by day use: the program as a process, called as they call it."""

from __future__ import annotations

import http.client
import itertools
import socket
from typing import Any

from pebbledrift.net.link import MeetingPlace
from tests.acts import keep, serve
from tests.node import SETTINGS, WAIT, Discovery, Node, NodeTest, Worker, ask, eventually


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
        eventually(lambda: "b" in worker.taken)  # no worker tells of what it has not had yet
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
        # a process that is heard of for the first time is young, whatever the wall clock says of its start
        node, discovery = self.platform(out, other, rules={**SETTINGS["rules"], "cold_ms": 50.0})
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


# a job's aim must not pass while a process starts on a slow machine: it would not be sent again
PATIENT = {**SETTINGS, "classes": [{**c, "target_ms": 4500.0} for c in SETTINGS["classes"]]}


class UpgradeTest(NodeTest):
    """Starts the program twice, with one listening socket that both inherit."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.worker = Worker("s-1", serve)
        self.addCleanup(self.worker.close)
        self.worker.node = self.address
        self.discovery = Discovery([self.worker.target()])
        self.addCleanup(self.discovery.close)
        self.shared = self.folder()

    def process(self, **config: Any) -> Node:
        """One more process of the node."""
        node = self.start(
            self.shared,
            self.listener,
            **{
                "listen": self.address,
                "admin": "127.0.0.1:0",
                "discovery": self.discovery.address,
                "settings": PATIENT,
                **config,
            },
        )
        eventually(lambda: node.call("STATUS").startswith("SUCCESS"))
        return node

    def second(self) -> Worker:
        """Another worker, that keeps what it gets."""
        other = Worker("s-2", keep)
        self.addCleanup(other.close)
        other.node, other.jobs = self.address, self.worker.jobs
        self.discovery.targets.append(other.target())
        return other

    def client(self) -> http.client.HTTPConnection:
        client = http.client.HTTPConnection(self.address, timeout=WAIT)
        self.addCleanup(client.close)
        return client

    def post(self, client: http.client.HTTPConnection, job: str) -> None:
        client.request("POST", f"/pesagem?sid={ord(job[0]):x}", b"load", {"X-Call-Id": job, "X-Budget": "5"})

    def test_an_inherited_socket_outlives_a_process_and_a_stale_meeting_place_is_harmless(self) -> None:
        for i in range(2):
            node = self.process()
            self.assertEqual((node.address, node.job(f"j{i}")[0]), (self.address, 200))
            node.kill()

    def test_the_newer_process_takes_the_clients_over_and_none_is_closed(self) -> None:
        other = self.second()
        old = self.process()
        idle, busy = self.client(), self.client()
        idle.request("GET", "/-/ready")
        idle.getresponse().read()
        kept = idle.sock
        self.worker.act = keep
        self.post(busy, "b")
        self.assertEqual(self.worker.jobs.get(timeout=WAIT), "b")
        new = self.process()
        eventually(lambda: old.call("STATUS") == "FAILURE succeeded\n")
        self.assertEqual(ask(self.address, "GET", "/-/ready")[0], 200)
        self.worker.act = other.act = serve
        self.post(idle, "i")
        self.assertEqual(idle.getresponse().read(), b"ran i")
        self.assertIs(idle.sock, kept)
        # the call-back comes in at the newer process; the job is the older one's, or has gone over
        self.assertEqual(ask(self.address, "POST", "/pesagem", b"", {"X-Call-Id": "b"})[0], 409)
        holder = self.worker if "b" in self.worker.taken else other
        self.assertEqual(holder.call("b", "done", result="old"), 204)
        self.assertEqual(busy.getresponse().read(), b"old")
        self.assertEqual((old.figures()["current"], new.figures()["current"]), (0, 0))
        answered = [node.figures()["transactions.pesagem.answered"] for node in (old, new)]
        self.assertEqual(sum(answered), 2)
        self.assertEqual(old.terminate(), 0)
        self.post(busy, "c")
        self.assertEqual(busy.getresponse().read(), b"ran c")
        for node in (old, new):
            self.assertFalse([line for line in node.log if "level=error" in line])

    def test_jobs_that_run_go_over_and_the_rules_go_on(self) -> None:
        other = self.second()
        old = self.process()
        self.worker.act = keep
        clients = {"fechamento": self.client(), "pesagem": self.client()}
        for name, client in clients.items():
            headers = {"X-Call-Id": name, "X-Budget": "20", "Idempotency-Key": name}
            client.request("POST", f"/{name}?sid=1", b"load", headers)
            self.assertEqual(self.worker.jobs.get(timeout=WAIT), name)
        new = self.process()
        eventually(lambda: (old.figures()["current"], new.figures()["current"]) == (0, 2))
        self.assertEqual(old.terminate(), 0)
        first = {name: self.worker if name in self.worker.taken else other for name in clients}
        for name in clients:
            self.assertEqual(first[name].call(name, "failed"), 204)
        self.assertEqual(clients["pesagem"].getresponse().status, 502)  # it may have run: never sent again
        self.assertEqual(self.worker.jobs.get(timeout=WAIT), "fechamento")  # again, in its zone, elsewhere
        second = other if first["fechamento"] is self.worker else self.worker
        self.assertEqual(second.call("fechamento", "done", result="again"), 204)
        self.assertEqual(clients["fechamento"].getresponse().read(), b"again")
        self.assertTrue(self.worker.jobs.empty())
        self.assertFalse([line for line in new.log if "level=error" in line])

    def test_a_newer_process_that_dies_leaves_the_place_to_the_older(self) -> None:
        old = self.process()
        end = MeetingPlace(self.shared, "n0").visit()  # as a newer process that ends before it serves
        assert end is not None
        eventually(lambda: any("newer process has come" in line for line in old.log))
        end.close()
        eventually(lambda: any("ended before it served" in line for line in old.log))
        self.assertEqual(old.call("STATUS"), "SUCCESS ready\n")
        new = self.process()
        eventually(lambda: old.call("STATUS") == "FAILURE succeeded\n")
        new.kill()
        eventually(lambda: old.call("STATUS") == "SUCCESS ready\n")
        self.assertEqual(old.job("a")[0], 200)

    def test_while_discovery_is_down_the_newer_process_serves_by_what_the_older_was_told(self) -> None:
        other = self.second()
        old = self.process()
        self.discovery.change(self.worker.target("terminating"))
        self.worker.act = other.act = serve
        names = (f"k{i}" for i in itertools.count())

        def avoided() -> bool:
            before = len(self.worker.taken)
            self.assertEqual({old.job(next(names), sid=f"{i:x}")[0] for i in range(12)}, {200})
            return len(self.worker.taken) == before

        eventually(avoided)
        gone = Discovery([])
        gone.close()
        taken = set(self.worker.taken)
        # it has no list of its own, and nobody to ask: six seconds would be too late (ready_above_elder_ms)
        new = self.process(discovery=gone.address, node={"ready_above_elder_ms": 60_000})
        eventually(lambda: old.call("STATUS") == "FAILURE succeeded\n")
        self.assertEqual([new.job(f"n{i}")[0] for i in range(4)], [200] * 4)
        self.assertEqual(self.worker.taken, taken)  # the drain has gone over with the list

    def test_a_list_of_thousands_of_workers_goes_over_too(self) -> None:
        more = {"az": "caxias", "model": "serie-a", "state": "terminating"}
        for i in range(3400):
            where = f"127.1.{i >> 8}.{i & 255}:8081"
            self.discovery.targets.append(
                {"uid": f"s-{i:08x}", "endpoint": where, "pod_group": i % 40, **more}
            )
        old = self.process()
        self.assertEqual(old.job("a")[0], 200)
        gone = Discovery([])
        gone.close()
        new = self.process(discovery=gone.address, node={"ready_above_elder_ms": 60_000})
        eventually(lambda: old.call("STATUS") == "FAILURE succeeded\n")
        self.assertEqual([new.job(f"n{i}")[0] for i in range(4)], [200] * 4)
        self.assertFalse([line for line in (*old.log, *new.log) if "level=error" in line])

    def test_tubes_are_served_by_one_process_at_a_time(self) -> None:
        old = self.process(beanstalk={"listen": "127.0.0.1:0"})
        tubes = old.addresses[0]
        new = self.process(beanstalk={"listen": tubes})
        self.assertTrue(any("tubes wait" in line for line in new.log))
        self.assertEqual(old.terminate(), 0)
        eventually(lambda: any(f"event=listening address={tubes}" in line for line in new.log))
        host, _, port = tubes.partition(":")
        with socket.create_connection((host, int(port)), WAIT) as client:
            client.sendall(b"list-tubes\r\n")
            self.assertTrue(client.recv(4096).startswith(b"OK "))
        self.assertFalse([line for line in new.log if "level=error" in line])

    def test_bans_and_a_pause_pass_over_and_are_told_both_ways(self) -> None:
        old = self.process()
        self.assertTrue(old.call("SUSPEND s-1").startswith("SUCCESS"))
        self.discovery.targets.append({**self.worker.target(), "uid": "s-2"})
        self.discovery.rev += 1
        new = self.process()
        self.assertEqual(new.figures()["cluster_unhealthy"], 1)
        self.assertTrue(new.call("RESTORE s-1").startswith("SUCCESS"))
        eventually(lambda: old.figures()["cluster_unhealthy"] == 0)
        self.assertTrue(old.call("PAUSE").startswith("SUCCESS"))
        eventually(lambda: new.call("STATUS") == "FAILURE paused\n")
        self.assertEqual(ask(self.address, "GET", "/-/ready")[0], 503)
        self.assertTrue(new.call("RESUME").startswith("SUCCESS"))
        self.assertEqual(ask(self.address, "GET", "/-/ready")[0], 200)
