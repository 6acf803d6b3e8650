"""The beanstalkd front over sockets: plain clients and workers of our own, and greenstalk."""

from __future__ import annotations

import json
import random
import re
import signal
import socket
import threading
import time
from pathlib import Path
from typing import Any

import greenstalk

from pebbledrift.store.replica import pack, unpack
from pebbledrift.store.table import Entry, Version
from tests.node import SETTINGS, WAIT, Node, NodeTest, ask, eventually

LIMITS = {**SETTINGS["limits"], "probes": True}
# a job is held for a while: on a busy machine a reserve may come later than a short aim
CLASSES = [{**c, "target_ms": 3000.0} for c in SETTINGS["classes"]]
BEANSTALK_SETTINGS = {
    **SETTINGS,
    "classes": CLASSES,
    "limits": LIMITS,
    "discovery": "push",
    "family_info": {},
}
TUBES = [
    {"name": "pesagem.acme", "class": "pesagem", "tenant": "acme", "key_field": "grower"},
    {"name": "fechamento.acme", "class": "fechamento", "tenant": "acme", "reply": "answers"},
]
HOSTS = "name,zone,kind\nw1,caxias,serie-a\nw2,caxias,serie-a\nw3,bento,serie-a\n"


class Client:
    """A connection that speaks the public protocol."""

    def __init__(self, node: Node, worker: str = "") -> None:
        host, _, port = node.addresses[0].partition(":")
        self.socket = socket.create_connection((host, int(port)), WAIT)
        self.file = self.socket.makefile("rb")
        if worker:
            assert self.ask(f"watch worker.{worker}") == "WATCHING 2"

    def send(self, text: str) -> None:
        self.socket.sendall(text.encode() + b"\r\n")

    def line(self) -> str:
        return self.file.readline().decode().rstrip("\r\n")

    def ask(self, text: str) -> str:
        self.send(text)
        return self.line()

    def body(self, first: str) -> bytes:
        size = int(first.split()[-1])
        data = self.file.read(size + 2)
        assert data[-2:] == b"\r\n"
        return data[:-2]

    def put(self, tube: str, data: str = "{}", ttr: int = 60, delay: int = 0) -> int:
        self.ask(f"use {tube}")
        word, number = self.ask(f"put 0 {delay} {ttr} {len(data)}\r\n{data}").split()
        assert word == "INSERTED"
        return int(number)

    def reserve(self, sent: bool = False) -> tuple[int, bytes]:
        """What is reserved. Where it could race a job's aim, the command is `sent` before the job."""
        first = self.line() if sent else self.ask("reserve-with-timeout 15")
        assert first.startswith("RESERVED"), first
        return int(first.split()[1]), self.body(first)

    def answer(self, tube: str) -> dict[str, Any]:
        """The final answer, taken out of its tube."""
        self.ask(f"watch {tube}")
        number, body = self.reserve()
        assert self.ask(f"delete {number}") == "DELETED"
        found: dict[str, Any] = json.loads(body)
        return found

    def tubes(self) -> list[str]:
        return self.body(self.ask("list-tubes")).decode().split("\n- ")

    def stats(self, command: str) -> dict[str, str]:
        first = self.ask(command)
        assert first.startswith("OK"), first
        return dict(re.findall(r"^(\S+): (.*)$", self.body(first).decode(), re.M))

    def close(self) -> None:
        self.file.close()
        self.socket.close()


class BeanstalkTest(NodeTest):
    def front(self, folder: str = "", settings: dict[str, Any] | None = None, **config: Any) -> Node:
        folder = folder or self.folder()
        with open(f"{folder}/hosts.csv", "w") as file:
            file.write(HOSTS)
        return self.start(
            folder,
            inventory="hosts.csv",
            beanstalk={"listen": "127.0.0.1:0", "tubes": TUBES},
            settings=settings or BEANSTALK_SETTINGS,
            **config,
        )

    def client(self, node: Node, worker: str = "") -> Client:
        client = Client(node, worker)
        self.addCleanup(client.close)
        return client

    def test_a_whole_path_with_the_workers_result(self) -> None:
        node = self.front()
        producer, worker = self.client(node), self.client(node, "w1")
        number = producer.put("pesagem.acme", '{"grower": 7}')
        self.assertEqual(worker.reserve(), (number, b'{"grower": 7}'))
        worker.put(f"result.{number}", "42 t")
        self.assertEqual(worker.ask(f"delete {number}"), "DELETED")
        answer = producer.answer(f"reply.{number}")
        self.assertEqual(answer, {"id": number, "verdict": "served", "result": "42 t"})
        self.assertEqual(producer.ask(f"peek {number}"), "NOT_FOUND")

    def test_a_client_by_http_is_served_by_a_worker_that_reserves(self) -> None:
        node = self.front(listen="127.0.0.1:0")
        worker = self.client(node, "w1")
        worker.send("reserve-with-timeout 15")
        answers = node.later("a")
        number, body = worker.reserve(sent=True)
        self.assertEqual(body, b"load")
        worker.put(f"result.{number}", "by reserve")
        self.assertEqual(worker.ask(f"delete {number}"), "DELETED")
        self.assertEqual(answers.get(timeout=WAIT)[::2], (200, b"by reserve"))
        worker.send("reserve-with-timeout 15")
        answers = node.later("b")
        number, _ = worker.reserve(sent=True)
        worker.close()
        self.assertNotIn(answers.get(timeout=WAIT)[0], (200, 429, 503))
        self.assertEqual(self.client(node).ask(f"peek {number}"), "NOT_FOUND")

    def test_a_pesagem_once_reserved_goes_to_no_second_worker(self) -> None:
        for end in ("release", "bury", "lost", "ttr"):
            with self.subTest(end):
                node = self.front()
                producer = self.client(node)
                worker = self.client(node, "w1")
                number = producer.put("pesagem.acme", ttr=1)
                self.assertEqual(worker.reserve()[0], number)
                if end == "release":
                    self.assertEqual(worker.ask(f"release {number} 0 0"), "BURIED")
                elif end == "bury":
                    self.assertEqual(worker.ask(f"bury {number} 0"), "BURIED")
                elif end == "lost":
                    worker.close()
                self.assertEqual(producer.answer(f"reply.{number}")["verdict"], "failed")
                if end == "ttr":
                    self.assertEqual(worker.ask(f"delete {number}"), "NOT_FOUND")
                worker.close()
                self.assertEqual(producer.stats(f"stats-job {number}")["state"], "buried")
                self.assertEqual(producer.ask(f"kick-job {number}"), "NOT_FOUND")
                producer.ask("use pesagem.acme")
                self.assertEqual(producer.ask("kick 10"), "KICKED 0")
                second = self.client(node, "w2")
                self.assertEqual(second.ask("reserve-with-timeout 0"), "TIMED_OUT")

    def test_a_fechamento_released_goes_again_within_its_zone(self) -> None:
        node = self.front()
        producer, first = self.client(node), self.client(node, "w1")
        number = producer.put("fechamento.acme")
        self.assertEqual(first.reserve()[0], number)
        other, second = self.client(node, "w3"), self.client(node, "w2")
        other.send("reserve-with-timeout 1")
        self.assertEqual(first.ask(f"release {number} 0 0"), "RELEASED")
        self.assertEqual(second.reserve()[0], number)
        self.assertEqual(other.line(), "TIMED_OUT")
        self.assertEqual(second.ask(f"delete {number}"), "DELETED")
        self.assertEqual(producer.answer("answers")["verdict"], "served")

    def test_killed_mid_flight_no_pesagem_runs_twice_and_each_put_has_one_answer(self) -> None:
        node = self.front()
        runs: dict[int, int] = {}
        lock, stop = threading.Lock(), threading.Event()
        self.addCleanup(stop.set)

        def work(name: str, seed: int) -> None:
            rng = random.Random(seed)
            while not stop.is_set():
                worker = Client(node, name)
                while not stop.is_set():
                    first = worker.ask("reserve-with-timeout 1")
                    if not first.startswith("RESERVED"):
                        continue
                    number, _ = int(first.split()[1]), worker.body(first)
                    with lock:
                        runs[number] = runs.get(number, 0) + 1
                    fate = rng.random()
                    if fate < 0.3:
                        break  # killed with the job in hand
                    worker.ask(f"release {number} 0 0" if fate < 0.5 else f"delete {number}")
                worker.close()

        threads = [threading.Thread(target=work, args=(f"w{1 + i % 3}", i), daemon=True) for i in range(6)]
        for thread in threads:
            thread.start()
        producer = self.client(node)
        numbers = [producer.put("pesagem.acme", json.dumps({"grower": i % 5})) for i in range(60)]
        keyed = {producer.put("fechamento.acme") for _ in range(20)}
        answers = {n: producer.answer(f"reply.{n}")["verdict"] for n in numbers}
        told = [producer.answer("answers")["id"] for _ in keyed]
        stop.set()
        for thread in threads:
            thread.join(WAIT)
        self.assertEqual([n for n in numbers if runs.get(n, 0) > 1], [])
        self.assertEqual({n for n in numbers if answers[n] == "refused"} & set(runs), set())
        self.assertEqual(sorted(told), sorted(keyed))
        self.assertIn("served", answers.values())
        self.assertIn("failed", answers.values())
        for tube in ("answers", *(f"reply.{n}" for n in numbers)):
            producer.ask(f"use {tube}")
            self.assertEqual(producer.ask("peek-ready"), "NOT_FOUND")  # no second answer

    def test_with_no_worker_the_put_is_refused_with_its_advice(self) -> None:
        node = self.front()
        producer = self.client(node)
        number = producer.put("pesagem.acme")
        answer = producer.answer(f"reply.{number}")
        self.assertEqual((answer["verdict"], answer["retry_after"]), ("refused", 2.0))

    def test_touch_gives_new_time_and_the_deadline_still_ends_the_job(self) -> None:
        classes = [{**SETTINGS["classes"][0], "deadline_ms": 2500.0}, SETTINGS["classes"][1]]
        node = self.front(settings={**BEANSTALK_SETTINGS, "classes": classes})
        producer, worker = self.client(node), self.client(node, "w1")
        number = producer.put("pesagem.acme", ttr=2)
        self.assertEqual(worker.reserve()[0], number)
        self.assertEqual(worker.ask("reserve"), "DEADLINE_SOON")
        self.assertEqual(worker.ask(f"touch {number}"), "TOUCHED")
        self.assertEqual(producer.answer(f"reply.{number}")["verdict"], "failed")
        self.assertEqual(producer.stats(f"stats-job {number}")["timeouts"], "0")
        self.assertEqual(worker.ask(f"touch {number}"), "NOT_FOUND")

    def test_a_delayed_job_waits_is_kicked_and_answered_when_deleted(self) -> None:
        node = self.front()
        producer, worker = self.client(node), self.client(node, "w1")
        kicked, deleted = (producer.put("pesagem.acme", delay=1000) for _ in range(2))
        self.assertEqual(producer.ask("peek-delayed"), f"FOUND {kicked} 2")
        self.assertEqual(producer.line(), "{}")
        self.assertEqual(producer.ask(f"delete {deleted}"), "DELETED")
        self.assertEqual(producer.answer(f"reply.{deleted}")["verdict"], "refused")
        self.assertEqual(producer.ask("kick 5"), "KICKED 1")
        self.assertEqual(worker.reserve()[0], kicked)

    def test_replies_and_errors_are_the_protocols(self) -> None:
        client = self.client(self.front())
        for command, reply in (
            ("nonsense", "UNKNOWN_COMMAND"),
            ("RESERVE", "UNKNOWN_COMMAND"),
            ("use", "BAD_FORMAT"),
            ("use -tube", "BAD_FORMAT"),
            ("use " + "a" * 201, "BAD_FORMAT"),
            ("delete x", "NOT_FOUND"),
            ("put 1 2 3", "BAD_FORMAT"),
            ("", "UNKNOWN_COMMAND"),
            ("use " + "b" * 400, "BAD_FORMAT"),
            ("put 0 0 60 70000\r\n" + "x" * 70000, "JOB_TOO_BIG"),
            ("use nowhere", "USING nowhere"),
            ("put 0 0 60 1\r\nx", "NOT_FOUND"),
            ("list-tube-used", "USING nowhere"),
            ("watch other", "WATCHING 2"),
            ("ignore default", "WATCHING 1"),
            ("ignore other", "NOT_IGNORED"),
            ("reserve-with-timeout 0", "TIMED_OUT"),
            ("reserve-job 1", "NOT_FOUND"),
            ("release 1 0 0", "NOT_FOUND"),
            ("bury 1 0", "NOT_FOUND"),
            ("touch 1", "NOT_FOUND"),
            ("peek 1", "NOT_FOUND"),
            ("peek-ready", "NOT_FOUND"),
            ("peek-buried", "NOT_FOUND"),
            ("kick 1", "KICKED 0"),
            ("kick-job 1", "NOT_FOUND"),
            ("stats-job 1", "NOT_FOUND"),
            ("stats-tube no-such", "NOT_FOUND"),
            ("pause-tube no-such 1", "NOT_FOUND"),
        ):
            self.assertEqual(client.ask(command), reply, command[:40])
        client.socket.sendall(b"put 0 0 60 2\r\nabcd")
        self.assertEqual(client.line(), "EXPECTED_CRLF")
        self.assertEqual(client.stats("stats")["max-job-size"], "65536")
        self.assertEqual(client.stats("stats-tube pesagem.acme")["current-jobs-ready"], "0")

    def test_an_answer_left_by_its_reader_comes_again(self) -> None:
        node = self.front()
        producer = self.client(node)
        number = producer.put("pesagem.acme")
        reader = self.client(node)
        reader.ask(f"watch reply.{number}")
        reader.reserve()
        reader.close()
        self.assertEqual(producer.answer(f"reply.{number}")["id"], number)

    def test_after_a_kill_what_was_sent_ends_as_failed_and_what_was_not_as_refused(self) -> None:
        folder = self.folder()
        node = self.front(folder, store_file="store")
        producer, worker = self.client(node), self.client(node, "w1")
        sent = producer.put("pesagem.acme")
        self.assertEqual(worker.reserve()[0], sent)
        waiting = producer.put("fechamento.acme")
        node.kill()
        again = self.front(folder, store_file="store")
        producer, worker = self.client(again), self.client(again, "w1")
        self.assertEqual(producer.answer(f"reply.{sent}")["verdict"], "failed")
        answer = producer.answer("answers")
        self.assertEqual((answer["id"], answer["verdict"]), (waiting, "refused"))
        self.assertEqual(worker.ask("reserve-with-timeout 0"), "TIMED_OUT")

    def test_a_peer_brings_inventory_and_tubes_and_is_told_of_operations(self) -> None:
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(peer.close)
        peer.bind(("127.0.0.1", 0))
        peer.settimeout(WAIT)
        node = self.start(
            listen="127.0.0.1:0",
            peer_listen="127.0.0.1:0",
            peers=["127.0.0.1:1", f"127.0.0.1:{peer.getsockname()[1]}"],
            beanstalk={"listen": "127.0.0.1:0"},
            settings={**BEANSTALK_SETTINGS, "balancers": 2},
        )
        self.assertEqual(ask(node.address, "GET", "/-/ready")[0], 503)
        to = ("127.0.0.1", int(re.findall(r"event=peers address=\S+:(\d+)", "".join(node.log))[0]))
        now = Version(int(time.time() * 1000), 1)
        for key, value in (
            ("host/w1", {"zone": "caxias"}),
            ("tube/pesagem.acme", {"class": "pesagem"}),
            ("tube/bad", {"class": "no-such"}),
            ("host/bad", {"cell": "x"}),
        ):
            peer.sendto(pack(Entry(key, json.dumps(value).encode(), now)), to)
        peer.sendto(b"E" * 300, to)
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 200)
        producer, worker = self.client(node), self.client(node, "w1")
        producer.ask("use pesagem.acme")
        answers: list[str] = []

        def put() -> bool:
            answers.append(producer.ask("put 0 0 60 2\r\n{}"))
            return answers[-1].startswith("INSERTED")

        eventually(put)  # until the node has read of the tube
        number = int(answers[-1].split()[1])
        self.assertEqual(worker.reserve()[0], number)
        self.assertEqual(worker.ask(f"delete {number}"), "DELETED")
        delayed = producer.put("pesagem.acme", delay=1000)
        peer.sendto(pack(Entry("tube/pesagem.acme", None, Version(now.ms + 10_000, 1))), to)
        # delayed: what is put before the node has read the news is not to be reserved
        eventually(lambda: producer.ask("put 0 1000 9 1\r\nx") == "NOT_FOUND")
        worker.send("reserve-with-timeout 15")
        self.assertEqual(producer.ask(f"kick-job {delayed}"), "KICKED")
        # what was put before keeps its class and its answer
        self.assertEqual(worker.line(), f"RESERVED {delayed} 2")
        told: list[str] = []
        while f'op/n0.{number} "sent"' not in told:
            data = peer.recv(2048)
            self.assertLessEqual(len(data), 256)
            if data[:1] == b"E":
                entry = unpack(data)
                told.append(f"{entry.key} {json.dumps(json.loads(entry.value or b'0')[:1])[1:-1]}")

    def test_sighup_reads_the_inventory_again_and_a_faulty_one_changes_nothing(self) -> None:
        folder = self.folder()
        node = self.front(folder)
        producer, worker = self.client(node), self.client(node, "w9")
        path = Path(folder) / "hosts.csv"
        path.write_text("zone\nno names\n")
        node.process.send_signal(signal.SIGHUP)
        eventually(lambda: any("configuration not taken" in line for line in node.log))
        worker.send("reserve-with-timeout 15")
        path.write_text("name,zone\nw9,caxias\n")
        node.process.send_signal(signal.SIGHUP)
        eventually(lambda: any("event=inventory hosts=1" in line for line in node.log))
        number = producer.put("pesagem.acme")
        self.assertEqual(worker.line(), f"RESERVED {number} 2")

    def test_bad_clients_get_an_error_or_a_close_and_idle_workers_stay(self) -> None:
        limits = {"input_ms": 300, "front_idle_ms": 600, "bad_commands": 3}
        node = self.front(node=limits)
        producer, worker = self.client(node), self.client(node, "w1")
        self.assertEqual(producer.ask("list-tube-used"), "USING default")
        silent, half, body, junk, huge = (self.client(node) for _ in range(5))
        half.socket.sendall(b"use pesa")
        body.send("put 0 0 9 5")
        for _ in range(5):
            junk.send("GET / HTTP/1.1")
        huge.send(f"put 0 0 9 {60 * 1024 * 1024}")
        huge.send("x" * 300_000)
        for client, words in (
            (silent, b""),
            (half, b"BAD_FORMAT\r\n"),
            (body, b"EXPECTED_CRLF\r\n"),
            (junk, b"UNKNOWN_COMMAND\r\n" * 3),
            (huge, b"JOB_TOO_BIG\r\n"),
        ):
            self.assertEqual(client.file.read(), words)
        number = producer.put("pesagem.acme")
        self.assertEqual(worker.reserve()[0], number)

    def test_silent_connections_make_room(self) -> None:
        node = self.front(node={"beanstalk_sockets": 4})
        silent = [self.client(node) for _ in range(4)]

        def enters() -> bool:
            client = self.client(node)
            return client.ask("list-tube-used") == "USING default"

        eventually(enters)
        self.assertEqual(silent[0].file.read(), b"")

    def test_greenstalk_drives_it(self) -> None:
        node = self.front()
        host, _, port = node.addresses[0].partition(":")
        address = (host, int(port))
        with (
            greenstalk.Client(address, use="pesagem.acme") as producer,
            greenstalk.Client(address, watch=["worker.w2"]) as worker,
        ):
            number = producer.put("load 9", ttr=30)
            job = worker.reserve(timeout=15)
            self.assertEqual((job.id, job.body), (number, "load 9"))
            self.assertEqual(worker.stats_job(job)["state"], "reserved")
            worker.touch(job)
            worker.use(f"result.{number}")
            worker.put("done 9")
            worker.delete(job)
            producer.watch(f"reply.{number}")
            answer = producer.reserve(timeout=15)
            self.assertEqual(json.loads(answer.body)["result"], "done 9")
            producer.delete(answer)
            self.assertIn("pesagem.acme", producer.tubes())
            with self.assertRaises(greenstalk.TimedOutError):
                worker.reserve(timeout=0)

    def test_sigterm_answers_what_is_held(self) -> None:
        node = self.front()
        producer, worker = self.client(node), self.client(node, "w1")
        delayed = producer.put("pesagem.acme", delay=1000)
        number = producer.put("pesagem.acme")
        self.assertEqual(worker.reserve()[0], number)
        ended: list[int] = []
        ending = threading.Thread(target=lambda: ended.append(node.terminate()))
        ending.start()
        self.assertEqual(producer.answer(f"reply.{delayed}")["verdict"], "refused")
        eventually(lambda: producer.ask("put 0 0 9 1\r\nx") in ("DRAINING", "NOT_FOUND"))
        self.assertEqual(worker.ask(f"delete {number}"), "DELETED")
        self.assertEqual(producer.answer(f"reply.{number}")["verdict"], "served")
        ending.join(WAIT)
        self.assertEqual(ended, [0])
