"""Malformed lists on a real watch: readable parts take effect, and unreadable parts affect nothing else."""

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

# long timeouts: a watch that is delayed by a busy machine must not be treated as silent
PATIENT = {"watch_silent_ms": 60_000, "watch_retry_ms": 10, "news_told_ms": 60_000}
FAST = {"watch_silent_ms": 300, "watch_retry_ms": 10, "news_told_ms": 1500}
# values that JSON allows but that are invalid for a worker
INVALID_VALUES: tuple[Any, ...] = (
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


class RawDiscovery(Discovery):
    """Writes the bytes that a test supplies to a watch unchanged."""

    def handle(self, request: Server, body: bytes) -> None:
        if "follow" not in request.path:
            super().handle(request, body)
            return
        output: queue.Queue[bytes | None] = queue.Queue()
        whole = {"rev": self.rev, "all": True, "targets": self.targets}
        output.put(json.dumps(whole).encode() + b"\n")
        self.watches.append(output)
        self.asked.put(request.path)
        request.send_response(200)
        request.end_headers()
        while (data := self._next(output)) is not None:
            request.wfile.write(data)
            request.wfile.flush()
        request.drop()

    def write(self, data: bytes) -> None:
        self.watches[-1].put(data)

    def send_targets(self, *targets: Any, whole: bool = False) -> None:
        self.rev += 1
        message = {"rev": self.rev, "all": whole, "targets": list(targets)}
        self.write(json.dumps(message).encode() + b"\n")


class BadListTest(NodeTest):
    def begin(self, **limits: Any) -> tuple[Node, RawDiscovery, Worker, Worker]:
        first, second = Worker("s-1", serve), Worker("s-2", serve)
        discovery = RawDiscovery([first.target(), second.target()])
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

    def assert_serves(self, node: Node, name: str, count: int = 6) -> None:
        statuses = [node.job(f"{name}-{i}", sid=f"{i:x}")[0] for i in range(count)]
        self.assertEqual(statuses, [200] * count, name)

    def assert_no_errors(self, node: Node) -> None:
        self.assertFalse([line for line in node.log if "level=error" in line])


class InvalidEntryTest(BadListTest):
    def test_invalid_values_of_one_worker_do_not_affect_others(self) -> None:
        node, discovery, first, second = self.begin()
        for key in ("capacity_hint", "boot_ms", "pod_group", "az", "model", "endpoint", "uid", "state"):
            for value in INVALID_VALUES:
                discovery.send_targets(
                    {**first.target(), "uid": "s-9", "endpoint": "127.0.0.1:1", key: value}
                )
        for entry in (*INVALID_VALUES, {}, {"uid": "s-9"}, {**first.target(), "uid": "\ud800"}):
            discovery.send_targets(entry)
        # the last message takes effect, and no watch was abandoned before it
        discovery.send_targets(first.target("terminating"), second.target(), whole=True)
        eventually(lambda: node.figures()["cluster_size"] == 2)
        self.assertFalse(self.receives_jobs(node, first))
        self.assert_serves(node, "after")
        self.assertEqual(len(discovery.watches), 1)
        self.assert_no_errors(node)
        self.assertEqual(node.terminate(), 0)

    def receives_jobs(self, node: Node, worker: Worker) -> bool:
        worker.taken.clear()
        for i in range(6):
            node.job(f"look-{time.monotonic()}", sid=f"{i:x}")
        return bool(worker.taken)

    def test_an_impossible_start_time_does_not_make_another_worker_warm(self) -> None:
        for start in (float("inf"), 10**400, 1e18):
            node, discovery, first, second = self.begin()
            now = time.time() * 1000
            discovery.send_targets(
                {**first.target(), "uid": "s-9", "endpoint": "127.0.0.1:1", "boot_ms": start}
            )
            discovery.send_targets({**second.target("terminating")})
            discovery.send_targets({**first.target(), "boot_ms": now})
            eventually(lambda node=node, first=first: not self.treated_as_warm(node, first))  # type: ignore[misc]
            node.kill()

    def treated_as_warm(self, node: Node, worker: Worker) -> bool:
        """A worker that has just started can take about 960 ms of work per second; this one takes more."""
        worker.taken.clear()
        for i in range(16):
            cost = {"X-Call-Cost": "300000"}
            node.job(f"flood-{time.monotonic()}-{i}", budget=0.05, **cost)
        return len(worker.taken) > 6

    def test_a_drain_in_an_otherwise_invalid_entry_takes_effect(self) -> None:
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
                    discovery.send_targets({**first.target(state), key: value})
                    self.assert_drained(node, first)
                    node.kill()

    def test_a_drain_entry_without_other_fields_takes_effect(self) -> None:
        node, discovery, first, _ = self.begin()
        discovery.send_targets({"uid": first.uid, "state": "terminating"})
        self.assert_drained(node, first)

    def assert_drained(self, node: Node, worker: Worker) -> None:
        eventually(lambda: not self.receives_jobs(node, worker))
        self.assertFalse(self.receives_jobs(node, worker))


class UnknownZoneTest(NodeTest):
    """Zones that are not in the settings."""

    def test_a_retry_stays_in_its_zone_if_the_zones_are_unknown(self) -> None:
        def drop_connection(worker: Worker, request: Server, job: str) -> None:
            request.drop()

        first, second = (
            Worker("s-1", drop_connection, "garibaldi"),
            Worker("s-2", drop_connection, "farroupilha"),
        )
        node, _ = self.platform(first, second)
        for i in range(6):
            self.assertNotEqual(node.job(f"a{i}", "fechamento", sid=f"{i:x}", budget=1.0)[0], 200)
        self.assertEqual(first.taken & second.taken, set())
        self.assertEqual(len(first.taken | second.taken), 6)


class InvalidMessageTest(BadListTest):
    def test_an_invalid_message_makes_the_node_request_the_full_list(self) -> None:
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
                discovery.write(text)
                if text == b"{\n":
                    discovery.watches[-1].put(None)
                eventually(lambda: len(discovery.watches) > 1)  # noqa: B023
                first.taken.clear()
                eventually(lambda: node.job(f"a{time.monotonic()}")[0] == 200)  # noqa: B023
                first.taken.clear()
                self.assert_serves(node, "after")
                self.assertEqual(first.taken, set())
                self.assert_no_errors(node)
                node.kill()

    def test_an_endless_line_is_abandoned_at_the_size_limit(self) -> None:
        node, discovery, first, second = self.begin(line_bytes=300_000)
        discovery.targets = [first.target("terminating"), second.target()]
        for _ in range(40):
            discovery.write(b"x" * 10_000)
        eventually(lambda: len(discovery.watches) > 1)
        first.taken.clear()
        eventually(lambda: node.job(f"a{time.monotonic()}")[0] == 200)
        first.taken.clear()
        self.assert_serves(node, "after")
        self.assertEqual(first.taken, set())


class SlowTransferTest(BadListTest):
    def test_a_watch_that_delivers_single_bytes_is_reopened(self) -> None:
        node, discovery, first, second = self.begin(**FAST)
        discovery.targets = [first.target("terminating"), second.target()]
        line = json.dumps({"rev": 9, "all": False, "targets": [first.target("terminating")]}).encode()
        for byte in line:
            threading.Event().wait(0.1)  # a third of the silence after which a watch is closed
            discovery.watches[0].put(bytes([byte]))
            if len(discovery.watches) > 1:
                break
        self.assertGreater(len(discovery.watches), 1)
        eventually(lambda: node.job(f"a{time.monotonic()}")[0] == 200)
        first.taken.clear()
        self.assert_serves(node, "after")
        self.assertEqual(first.taken, set())

    def test_a_response_head_that_arrives_in_single_bytes_is_abandoned(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(WAIT)
            host, port = listener.getsockname()[:2]
            self.start(listen="127.0.0.1:0", discovery=f"{host}:{port}", settings=SETTINGS, node=FAST)
            connection = listener.accept()[0]
            with connection:
                connection.settimeout(WAIT)
                disconnected = threading.Event()

                def read() -> None:
                    # a byte that crosses the node's close turns its end into a reset
                    with contextlib.suppress(ConnectionResetError):
                        while connection.recv(65536):
                            pass
                    disconnected.set()

                reader = threading.Thread(target=read)
                reader.start()
                for byte in b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n":
                    if disconnected.wait(0.1):
                        break
                    with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                        connection.sendall(bytes([byte]))  # the node may disconnect at this moment
                self.assertTrue(disconnected.wait(WAIT))
                reader.join()

    def test_a_long_list_that_arrives_slowly_is_accepted(self) -> None:
        node, discovery, first, second = self.begin(**{**FAST, "watch_silent_ms": 1000})
        others = [{**second.target("terminating"), "uid": f"s-{i:05}"} for i in range(400)]
        message = {"rev": 9, "all": True, "targets": [first.target("terminating"), second.target(), *others]}
        data = json.dumps(message).encode() + b"\n"
        for offset in range(0, len(data), 4096):
            threading.Event().wait(0.1)
            discovery.watches[0].put(data[offset : offset + 4096])
        eventually(lambda: node.figures()["cluster_size"] == 402)
        first.taken.clear()
        self.assert_serves(node, "after")
        self.assertEqual(first.taken, set())
        self.assertEqual(len(discovery.watches), 1)
