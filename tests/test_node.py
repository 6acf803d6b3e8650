"""The platform's front and the destinations, over sockets, with the program as a process."""

from __future__ import annotations

import itertools
import socket
import threading
import time

from tests.acts import keep, serve
from tests.node import SETTINGS, WAIT, Discovery, Node, NodeTest, Server, Worker, ask, eventually


def drop(worker: Worker, request: Server, job: str) -> None:
    request.drop()


class PlatformTest(NodeTest):
    def test_a_job_is_served_with_what_the_worker_made(self) -> None:
        worker = Worker("s-1", serve)
        node, _ = self.platform(worker)
        self.assertEqual(node.job("a")[::2], (200, b"ran a"))
        self.assertEqual(node.job("b", "fechamento")[::2], (200, b"ran b"))

    def test_call_backs_before_the_202_twice_and_late_are_all_taken(self) -> None:
        codes: list[int] = []

        def early(worker: Worker, request: Server, job: str) -> None:
            codes.extend(worker.call(job, "done", result="once") for _ in range(2))
            request.reply(202)
            codes.append(worker.call(job, "failed"))
            codes.append(worker.call("never-heard-of", "done"))

        node, _ = self.platform(Worker("s-1", early))
        self.assertEqual(node.job("a")[::2], (200, b"once"))
        eventually(lambda: len(codes) == 4)
        self.assertTrue(set(codes) <= {200, 204}, codes)

    def test_an_id_that_is_open_or_answered_is_its_owners(self) -> None:
        # the answer had been shared with whoever sent the id; the other's leaving must not end the job either
        worker = Worker("s-1", keep)
        node, _ = self.platform(worker)
        first = node.later("a")
        worker.jobs.get(timeout=WAIT)
        for _ in range(3):
            self.assertEqual(node.job("a")[0], 409)
        host, _, port = node.address.partition(":")
        with socket.create_connection((host, int(port)), WAIT) as other:
            other.sendall(b"POST /pesagem HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(node.job("a", "fechamento")[0], 409)
        worker.call("a", "done", result="one run")
        self.assertEqual(first.get(timeout=WAIT)[::2], (200, b"one run"))
        self.assertEqual(node.job("a")[0], 409)
        self.assertTrue(worker.jobs.empty() and worker.cancelled.empty())

    def test_a_pesagem_whose_connection_breaks_fails_and_is_not_sent_again(self) -> None:
        workers = [Worker("s-1", drop), Worker("s-2", drop)]
        node, _ = self.platform(*workers)
        status = node.job("a")[0]
        self.assertNotIn(status, (200, 429, 503))  # it may have run: no refusal
        self.assertEqual(sum(w.jobs.qsize() for w in workers), 1)

    def test_a_fechamento_goes_again_in_its_zone_only(self) -> None:
        workers = [Worker("s-1", drop), Worker("s-2", drop), Worker("s-3", drop, zone="bento")]
        node, _ = self.platform(*workers)
        self.assertNotIn(node.job("a", "fechamento", budget=1.5)[0], (200, 429, 503))
        counts = [w.jobs.qsize() for w in workers]
        self.assertTrue(counts in ([1, 1, 0], [0, 0, 1]), counts)

    def test_a_fechamento_stays_bound_to_the_zone_of_a_worker_that_has_left(self) -> None:
        # the entry of one that has left was taken without its zone, and the job went on in the first one
        worker, other = Worker("s-1", keep, zone="bento"), Worker("s-2", serve)
        node, discovery = self.platform(worker)
        answer = node.later("a", "fechamento", 20.0)
        self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
        self.addCleanup(other.close)
        other.node = node.address
        discovery.change(other.target())
        discovery.change(worker.target("terminated"))
        eventually(lambda: node.job(f"b{len(other.taken)}")[0] == 200)  # the list has come
        worker.call("a", "lost")
        self.assertNotIn(answer.get(timeout=WAIT)[0], (200, 429, 503))
        self.assertNotIn("a", other.taken)

    def test_a_job_turned_away_unstarted_goes_to_another_worker(self) -> None:
        def full(worker: Worker, request: Server, job: str) -> None:
            request.reply(503, {"X-Rejected": "1", "X-Load-Report": '{"util":1.0,"x0":0}'})

        workers = [Worker("s-1", full), Worker("s-2", serve)]
        node, _ = self.platform(*workers)
        for i in range(6):
            self.assertEqual(node.job(f"j{i}")[0], 200)

    def test_a_request_that_a_worker_cannot_use_does_not_cost_it_its_place(self) -> None:
        # its 400 had counted as the worker's error, and the only worker was left alone for seconds
        def choosy(worker: Worker, request: Server, job: str) -> None:
            if job.startswith("bad"):
                request.reply(400)
            else:
                serve(worker, request, job)

        worker = Worker("s-1", choosy)
        node, _ = self.platform(worker)
        for name in ("pesagem", "fechamento"):
            self.assertEqual(node.job(f"bad-{name}", name)[0], 502)
            self.assertEqual(node.job(f"good-{name}", name)[0], 200)
        self.assertEqual(worker.jobs.qsize(), 4)

    def test_a_worker_that_turns_everything_down_is_ill(self) -> None:
        def ill(worker: Worker, request: Server, job: str) -> None:
            request.reply(404)

        worker = Worker("s-1", ill)
        node, _ = self.platform(worker, Worker("s-2", serve), Worker("s-3", serve))
        answers = [node.job(f"j{i}", sid=f"{i:x}")[0] for i in range(40)]
        self.assertEqual(answers.count(200) + worker.jobs.qsize(), 40)
        self.assertLess(worker.jobs.qsize(), 10)  # of 40, a third would be its due

    def test_with_no_worker_left_the_busy_reply_comes_at_the_aim_with_its_advice(self) -> None:
        worker = Worker("s-1", serve)
        node, discovery = self.platform(worker)
        discovery.change(worker.target("terminating"))
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 503)
        status, headers, _ = node.job("a", budget=60.0)  # the wait below would fail if it were held back
        self.assertEqual((status, headers["Retry-After"]), (503, "2.000"))
        self.assertTrue(worker.jobs.empty())

    def test_an_attempt_out_at_the_clients_time_is_failed_and_cancelled(self) -> None:
        worker = Worker("s-1", keep)
        node, _ = self.platform(worker)
        self.assertNotIn(node.job("a", budget=0.3)[0], (200, 429, 503))
        self.assertEqual(worker.cancelled.get(timeout=WAIT), "a")

    def test_a_client_that_leaves_ends_its_job(self) -> None:
        worker = Worker("s-1", keep)
        node, _ = self.platform(worker)
        host, _, port = node.address.partition(":")
        with socket.create_connection((host, int(port))) as client:
            client.sendall(b"POST /pesagem HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 0\r\n\r\n")
            self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
        self.assertEqual(worker.cancelled.get(timeout=WAIT), "a")

    def test_malformed_and_oversized_input_is_answered_and_the_node_goes_on(self) -> None:
        node, _ = self.platform(Worker("s-1", serve))
        head = b"POST /pesagem HTTP/1.1\r\nX-Call-Id: x\r\n"
        for data, status in (
            (b"what is this\r\n\r\n", b"400"),
            (b"GET / HTTP/3.0\r\n\r\n", b"505"),
            (head + b"Content-Length: 70000\r\n\r\n", b"413"),
            (head + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", b"400"),
            (head + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", b"400"),
            (head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
            (head + b"Transfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n", b"400"),
            (head + b"Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n", b"400"),
            (head + b"Transfer-Encoding: chunked\r\n\r\nffffff\r\n", b"413"),
            (head + b"X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n", b"400"),
            (head + b"X-Bare: a\nContent-Length: 0\r\n\r\n", b"400"),
            (head + b"Content-Length: -1\r\n\r\n", b"400"),
            (head + b"Content-Length: 0\r\nX-Budget: soon\r\n\r\n", b"400"),
            (head + b"Content-Length: 0\r\nX-Budget: nan\r\n\r\n", b"400"),
            (head + b"Content-Length: 0\r\nIdempotency-Key: a b\r\n\r\n", b"400"),
            (b"POST //[/pesagem HTTP/1.1\r\nX-Call-Id: x\r\nContent-Length: 0\r\n\r\n", b"404"),
            (b"POST http://h/pesagem HTTP/1.1\r\nX-Call-Id: x\r\nContent-Length: 0\r\n\r\n", b"404"),
            (head + b"X-Long: " + b"a" * 20000, b"431"),
            (b"POST /pesagem HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", b"400"),
            (b"POST /other HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", b"404"),
            (b"GET /pesagem HTTP/1.1\r\nConnection: close\r\n\r\n", b"405"),
            (b"POST /v1/job-events HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\n[", b"400"),
        ):
            host, _, port = node.address.partition(":")
            with socket.create_connection((host, int(port)), WAIT) as client:
                client.sendall(data)
                answer = b"".join(iter(lambda c=client: c.recv(4096), b""))  # type: ignore[misc]
            self.assertEqual(answer[9:12], status, data[:60])
        self.assertEqual(node.job("a")[0], 200)

    def test_an_error_reaches_a_client_that_is_still_sending(self) -> None:
        # closed with input unread, the connection was reset and the answer could be lost on its way
        node, _ = self.platform(Worker("s-1", serve))
        host, _, port = node.address.partition(":")
        with socket.create_connection((host, int(port)), WAIT) as client:
            client.sendall(b"POST /pesagem HTTP/1.1\r\nX-Call-Id: x\r\nContent-Length: 400000\r\n\r\n")
            client.sendall(bytes(400000))
            answer = b"".join(iter(lambda: client.recv(4096), b""))
        self.assertIn(b" 413 ", answer)

    def test_half_a_request_and_silence_end_and_an_idle_connection_stays(self) -> None:
        node, _ = self.platform(Worker("s-1", serve), node={"first_ms": 300, "input_ms": 300})
        host, _, port = node.address.partition(":")
        usual, silent, half = (socket.create_connection((host, int(port)), WAIT) for _ in range(3))
        with usual, silent, half:
            one = b"POST /pesagem HTTP/1.1\r\nX-Call-Id: u%d\r\nContent-Length: 0\r\n\r\n"
            usual.sendall(one % 1)
            self.assertIn(b"ran u1", usual.recv(4096))
            half.sendall(b"POST /pesagem HTTP/1.1\r\nX-Call")
            self.assertEqual(silent.recv(4096), b"")
            self.assertIn(b" 408 ", half.recv(4096))
            usual.sendall(one % 2)
            self.assertIn(b"ran u2", usual.recv(4096))

    def test_silent_connections_make_room_for_a_client_and_for_call_backs(self) -> None:
        # a full table had turned the workers' call-backs away too, and the results with them
        limits = {"front_sockets": 6, "first_ms": 60_000}
        node, _ = self.platform(Worker("s-1", serve), node=limits)
        host, _, port = node.address.partition(":")
        silent = [socket.create_connection((host, int(port)), WAIT) for _ in range(30)]
        self.assertEqual(node.job("a")[::2], (200, b"ran a"))
        self.assertEqual(silent[0].recv(1), b"")
        for client in silent:
            client.close()

    def test_a_table_full_of_open_requests_lets_call_backs_in_and_gives_busy_replies(self) -> None:
        worker = Worker("s-1", keep)
        node, _ = self.platform(worker, node={"front_sockets": 1, "spare_sockets": 2})
        first = node.later("a", "fechamento", 20.0)
        worker.jobs.get(timeout=WAIT)
        self.assertEqual(node.job("b")[0], 503)
        worker.call("a", "done", result="through")
        self.assertEqual(first.get(timeout=WAIT)[::2], (200, b"through"))

    def test_hundreds_of_requests_at_once_behind_an_open_one_are_answered(self) -> None:
        # each was begun within the answer of the one before, until the interpreter's stack was full
        worker = Worker("s-1", keep)
        node, _ = self.platform(worker)
        host, _, port = node.address.partition(":")
        one = b"POST /pesagem HTTP/1.1\r\nX-Call-Id: a\r\nContent-Length: 0\r\n\r\n"
        with socket.create_connection((host, int(port)), WAIT) as client:
            client.sendall(one + b"GET /-/ready HTTP/1.1\r\n\r\n" * 1000 + b"end\r\n\r\n")
            self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
            worker.call("a", "done", result="first")
            answer = b"".join(iter(lambda: client.recv(4096), b""))
        self.assertEqual(answer.count(b" 200 "), 1001)
        self.assertEqual(answer.count(b" 400 "), 1)  # what cannot be read comes last
        self.assertFalse([line for line in node.log if "level=error" in line])

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        node, _ = self.platform(Worker("s-1", serve))
        host, _, port = node.address.partition(":")
        one = b"POST /pesagem HTTP/1.1\r\nX-Call-Id: p%d\r\nContent-Length: 0\r\n%s\r\n"
        with socket.create_connection((host, int(port)), WAIT) as client:
            client.sendall(one % (1, b"") + one % (2, b"Connection: close\r\n"))
            answer = b"".join(iter(lambda: client.recv(4096), b""))
        self.assertLess(answer.index(b"ran p1"), answer.index(b"ran p2"))


class LifeTest(NodeTest):
    def test_the_watch_survives_an_outage_and_brings_the_drain(self) -> None:
        workers = [Worker("s-1", serve), Worker("s-2", serve)]
        node, discovery = self.platform(*workers)
        discovery.asked.get(timeout=WAIT)
        discovery.targets[0] = workers[0].target("terminating")
        discovery.watches[-1].put(None)
        self.assertIn("since=7", discovery.asked.get(timeout=WAIT))
        discovery.change(workers[1].target("terminating"))
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 503)

    def test_sighup_goes_over_to_another_discovery_and_keeps_what_is_open(self) -> None:
        # it ended the process where the beanstalkd front was off
        worker = Worker("s-1", keep)
        node, old = self.platform(worker)
        first = node.later("a", "fechamento", 20.0)
        self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
        node.reload()  # a faulty file: the old one goes on
        new = Discovery([worker.target()], rev=3)
        self.addCleanup(new.close)
        node.reload(discovery=new.address, name="other")
        self.assertTrue(any("fixed=name" in line for line in node.log))
        self.assertNotIn("follow", new.asked.get(timeout=WAIT))  # the whole list: it counts from elsewhere
        self.assertIn("since=3", new.asked.get(timeout=WAIT))
        old.watches[-1].put(None)
        worker.call("a", "done", result="kept")
        self.assertEqual(first.get(timeout=WAIT)[::2], (200, b"kept"))
        second = node.later("b")
        self.assertEqual(worker.jobs.get(timeout=WAIT), "b")
        worker.call("b", "done", result="after")
        self.assertEqual(second.get(timeout=WAIT)[::2], (200, b"after"))
        new.change(worker.target("terminating"))
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 503)
        self.assertEqual(node.terminate(), 0)

    def test_sigterm_answers_what_is_open_and_refuses_what_comes_later(self) -> None:
        worker, other = Worker("s-1", keep), Worker("s-2", keep)
        other.jobs = worker.jobs
        node, _ = self.platform(worker, other, node={"take_ms": 3000, "linger_ms": 3500})
        first = node.later("a", "fechamento", 20.0)
        self.assertEqual(worker.jobs.get(timeout=WAIT), "a")
        ended: list[int] = []
        ending = threading.Thread(target=lambda: ended.append(node.terminate()))
        ending.start()
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 503)
        second = node.later("b")  # within the second: taken in as ever
        self.assertEqual(worker.jobs.get(timeout=WAIT), "b")
        (worker if "b" in worker.taken else other).call("b", "done", result="still")
        self.assertEqual(second.get(timeout=WAIT)[::2], (200, b"still"))
        late = (f"late-{i}" for i in itertools.count())
        eventually(lambda: node.job(next(late), "fechamento", 0.2)[2] == b"stopping")
        (worker if "a" in worker.taken else other).call("a", "done", result="to the end")
        self.assertEqual(first.get(timeout=WAIT)[::2], (200, b"to the end"))
        ending.join(WAIT)
        self.assertEqual(ended, [0])
        self.assertFalse([line for line in node.log if "level=error" in line])


class ColdTurnTest(NodeTest):
    def test_a_node_that_starts_again_within_a_turn_spends_no_second_part_of_it(self) -> None:
        turn_s, cost_ms = 4.0, 40.0
        rules = {**SETTINGS["rules"], "cold_ms": 60_000.0, "fall_ms": turn_s * 1000}
        came: list[float] = []

        def quick(worker: Worker, request: Server, job: str) -> None:
            came.append(time.time())
            serve(worker, request, job)

        worker = Worker("s-1", quick)
        booted = time.time()
        discovery = Discovery([{**worker.target(), "boot_ms": booted * 1000}])
        self.addCleanup(discovery.close)
        self.addCleanup(worker.close)
        folder = self.folder()

        def begin() -> Node:
            node = self.start(
                folder=folder,
                listen="127.0.0.1:0",
                admin="127.0.0.1:0",
                discovery=discovery.address,
                settings={**SETTINGS, "rules": rules},
            )
            worker.node = node.address
            eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 200)
            return node

        def flood(node: Node) -> None:
            cost = {"X-Call-Cost": f"{cost_ms * 1000}"}
            for _ in range(24):
                node.job(f"{time.time()}", budget=0.06, **cost)

        node = begin()
        turn = int(time.time() / turn_s) + 1
        eventually(lambda: time.time() / turn_s > turn)
        flood(node)
        node.kill()
        flood(begin())
        spent = {t: sum(cost_ms for at in came if int(at / turn_s) == t) for t in (turn - 1, turn, turn + 1)}
        self.assertGreater(spent[turn], 0)
        # of one turn 0.4 of what the worker stands (docs/guarantees.md), by the slowest machine's speed
        share = 0.12 + 0.88 * ((turn + 1) * turn_s - booted) / 60.0
        most = 0.4 * 4.0 * share * 0.5 * turn_s * 1000
        self.assertLessEqual(max(spent.values()), most)
