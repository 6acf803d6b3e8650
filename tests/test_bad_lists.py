"""Lists in bad forms, over a real watch: what can be read is obeyed, and nothing of it harms the rest."""

from __future__ import annotations

import contextlib
import json
import queue
import socket
import threading
import time
from typing import Any

from tests.acts import serve
from tests.node import SETTINGS, WAIT, Discovery, Node, NodeTest, Server, Worker, ask, eventually

# a watch that a busy machine holds up is not taken for a silent one
PATIENT = {"watch_silent_ms": 60_000, "watch_retry_ms": 10, "news_told_ms": 60_000}
FAST = {"watch_silent_ms": 300, "watch_retry_ms": 10, "news_told_ms": 1500}
# values that JSON allows, and no worker can have
ODD: tuple[Any, ...] = (
    None,
    True,
    [],
    {"a": 1},
    "many",
    "",
    float("nan"),
    float("inf"),
    float("-inf"),
    -5,
    10**400,
    1e308,
)


class Raw(Discovery):
    """Writes on a watch what a test gives it, byte for byte."""

    def handle(self, request: Server, body: bytes) -> None:
        if "follow" not in request.path:
            super().handle(request, body)
            return
        news: queue.Queue[bytes | None] = queue.Queue()
        whole = {"rev": self.rev, "all": True, "targets": self.targets}
        news.put(json.dumps(whole).encode() + b"\n")
        self.watches.append(news)
        self.asked.put(request.path)
        request.send_response(200)
        request.end_headers()
        while (data := self._next(news)) is not None:
            request.wfile.write(data)
            request.wfile.flush()
        request.drop()

    def say(self, data: bytes) -> None:
        self.watches[-1].put(data)

    def tell(self, *targets: Any, whole: bool = False) -> None:
        self.rev += 1
        news = {"rev": self.rev, "all": whole, "targets": list(targets)}
        self.say(json.dumps(news).encode() + b"\n")


class BadListTest(NodeTest):
    def begin(self, **limits: Any) -> tuple[Node, Raw, Worker, Worker]:
        first, second = Worker("s-1", serve), Worker("s-2", serve)
        discovery = Raw([first.target(), second.target()])
        for stand_in in (discovery, first, second):
            self.addCleanup(stand_in.close)
        node = self.start(
            listen="127.0.0.1:0",
            admin="127.0.0.1:0",
            discovery=discovery.address,
            settings=SETTINGS,
            node={**PATIENT, **limits},
        )
        first.node = second.node = node.address
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 200)
        return node, discovery, first, second

    def serves(self, node: Node, name: str, count: int = 6) -> None:
        found = [node.job(f"{name}-{i}", sid=f"{i:x}")[0] for i in range(count)]
        self.assertEqual(found, [200] * count, name)

    def no_errors(self, node: Node) -> None:
        self.assertFalse([line for line in node.log if "level=error" in line])


class OddEntryTest(BadListTest):
    def test_odd_values_of_one_worker_harm_no_other(self) -> None:
        node, discovery, first, second = self.begin()
        for key in ("capacity_hint", "boot_ms", "pod_group", "az", "model", "endpoint", "uid", "state"):
            for value in ODD:
                discovery.tell({**first.target(), "uid": "s-9", "endpoint": "127.0.0.1:1", key: value})
        for entry in (*ODD, {}, {"uid": "s-9"}, {**first.target(), "uid": "\ud800"}):
            discovery.tell(entry)
        # the last word is taken in, and no watch was given up on the way
        discovery.tell(first.target("terminating"), second.target(), whole=True)
        eventually(lambda: node.figures()["cluster_size"] == 2)
        self.assertFalse(self.taken_by(node, first))
        self.serves(node, "after")
        self.assertEqual(len(discovery.watches), 1)
        self.no_errors(node)
        self.assertEqual(node.terminate(), 0)

    def taken_by(self, node: Node, worker: Worker) -> bool:
        worker.taken.clear()
        for i in range(6):
            node.job(f"look-{time.monotonic()}", sid=f"{i:x}")
        return bool(worker.taken)

    def test_a_start_that_cannot_be_makes_no_other_worker_old(self) -> None:
        for start in (float("inf"), 10**400, 1e18):
            node, discovery, first, second = self.begin()
            now = time.time() * 1000
            discovery.tell({**first.target(), "uid": "s-9", "endpoint": "127.0.0.1:1", "boot_ms": start})
            discovery.tell({**second.target("terminating")})
            discovery.tell({**first.target(), "boot_ms": now})
            eventually(lambda node=node, first=first: not self.flooded(node, first))  # type: ignore[misc]
            node.kill()

    def flooded(self, node: Node, worker: Worker) -> bool:
        """A worker that has just started stands some 960 ms of work in a second."""
        worker.taken.clear()
        for i in range(16):
            cost = {"X-Call-Cost": "300000"}
            node.job(f"flood-{time.monotonic()}-{i}", budget=0.05, **cost)
        return len(worker.taken) > 6

    def test_a_drain_whose_entry_is_odd_otherwise_is_obeyed(self) -> None:
        for key, value in (
            ("endpoint", None),
            ("endpoint", "nowhere"),
            ("capacity_hint", "many"),
            ("boot_ms", 10**400),
            ("boot_ms", []),
        ):
            for state in ("terminating", "terminated", "retiring"):
                with self.subTest(key=key, value=str(value)[:9], state=state):
                    node, discovery, first, _ = self.begin()
                    discovery.tell({**first.target(state), key: value})
                    self.obeyed(node, first)
                    node.kill()

    def test_an_entry_that_names_its_worker_alone_is_no_word_that_it_serves(self) -> None:
        node, discovery, first, _ = self.begin()
        discovery.tell({"uid": first.uid, "state": "terminating"})
        self.obeyed(node, first)

    def obeyed(self, node: Node, worker: Worker) -> None:
        eventually(lambda: not self.taken_by(node, worker))
        self.assertFalse(self.taken_by(node, worker))


class UnknownPlaceTest(NodeTest):
    """Zones that the settings do not name."""

    def test_a_repeat_stays_in_its_zone_where_the_settings_name_none_of_them(self) -> None:
        def broken(worker: Worker, request: Server, job: str) -> None:
            request.drop()

        first, second = Worker("s-1", broken, "garibaldi"), Worker("s-2", broken, "farroupilha")
        node, _ = self.platform(first, second)
        for i in range(6):
            self.assertNotEqual(node.job(f"a{i}", "fechamento", sid=f"{i:x}", budget=1.0)[0], 200)
        self.assertEqual(first.taken & second.taken, set())
        self.assertEqual(len(first.taken | second.taken), 6)


class OddObjectTest(BadListTest):
    def test_what_is_no_list_has_the_whole_list_asked_for_again(self) -> None:
        for text in (
            b"null\n",
            b"[1]\n",
            b'"x"\n',
            b"{\n",
            b"{]\n",
            b"\xff\xfe\n",
            b"[" * 100_000 + b"\n",
            b'{"a":' * 50_000 + b"\n",
            b'{"rev": 9, "all": true}\n',
            b'{"rev": 9, "all": true, "targets": null}\n',
            b'{"rev": 9, "all": true, "targets": {}}\n',
            b'{"rev": 9, "all": false, "targets": "s-1"}\n',
        ):
            with self.subTest(text=text[:30]):
                node, discovery, first, second = self.begin()
                discovery.targets = [first.target("terminating"), second.target()]
                discovery.say(text)
                if text == b"{\n":
                    discovery.watches[-1].put(None)
                eventually(lambda: len(discovery.watches) > 1)  # noqa: B023
                first.taken.clear()
                eventually(lambda: node.job(f"a{time.monotonic()}")[0] == 200)  # noqa: B023
                first.taken.clear()
                self.serves(node, "after")
                self.assertEqual(first.taken, set())
                self.no_errors(node)
                node.kill()

    def test_one_that_never_ends_is_given_up_before_it_costs_much(self) -> None:
        node, discovery, first, second = self.begin(line_bytes=300_000)
        discovery.targets = [first.target("terminating"), second.target()]
        for _ in range(40):
            discovery.say(b"x" * 10_000)
        eventually(lambda: len(discovery.watches) > 1)
        first.taken.clear()
        eventually(lambda: node.job(f"a{time.monotonic()}")[0] == 200)
        first.taken.clear()
        self.serves(node, "after")
        self.assertEqual(first.taken, set())


class TricklingTest(BadListTest):
    def test_a_watch_that_trickles_is_opened_anew(self) -> None:
        node, discovery, first, second = self.begin(**FAST)
        discovery.targets = [first.target("terminating"), second.target()]
        line = json.dumps({"rev": 9, "all": False, "targets": [first.target("terminating")]}).encode()
        for byte in line:
            threading.Event().wait(0.1)  # a third of the silence that ends a watch
            discovery.watches[0].put(bytes([byte]))
            if len(discovery.watches) > 1:
                break
        self.assertGreater(len(discovery.watches), 1)
        eventually(lambda: node.job(f"a{time.monotonic()}")[0] == 200)
        first.taken.clear()
        self.serves(node, "after")
        self.assertEqual(first.taken, set())

    def test_a_head_that_trickles_is_given_up(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as mute:
            mute.settimeout(WAIT)
            host, port = mute.getsockname()[:2]
            self.start(listen="127.0.0.1:0", discovery=f"{host}:{port}", settings=SETTINGS, node=FAST)
            connection = mute.accept()[0]
            with connection:
                connection.settimeout(WAIT)
                given_up = threading.Event()

                def read() -> None:
                    while connection.recv(65536):
                        pass
                    given_up.set()

                reader = threading.Thread(target=read)
                reader.start()
                for byte in b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n":
                    if given_up.wait(0.1):
                        break
                    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                        connection.sendall(bytes([byte]))  # it may be given up at this very moment
                self.assertTrue(given_up.wait(WAIT))
                reader.join()

    def test_a_long_list_that_comes_slowly_is_waited_for(self) -> None:
        node, discovery, first, second = self.begin(**{**FAST, "watch_silent_ms": 1000})
        more = [{**second.target("terminating"), "uid": f"s-{i:05}"} for i in range(400)]
        news = {"rev": 9, "all": True, "targets": [first.target("terminating"), second.target(), *more]}
        data = json.dumps(news).encode() + b"\n"
        for at in range(0, len(data), 4096):
            threading.Event().wait(0.1)
            discovery.watches[0].put(data[at : at + 4096])
        eventually(lambda: node.figures()["cluster_size"] == 402)
        first.taken.clear()
        self.serves(node, "after")
        self.assertEqual(first.taken, set())
        self.assertEqual(len(discovery.watches), 1)
