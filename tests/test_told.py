"""From when on a node must obey a change of the list (the clauses of STANDING).

The tests use real connections and shortened times.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Any

from tests.acts import serve
from tests.node import SETTINGS, Discovery, Node, NodeTest, Worker, ask, eventually

GRACE_S = 0.6  # time a node has to obey a drain before sends break the rule (rules.drain_grace_ms)
MUST_ASK_S = 1.0  # rules.must_ask_in_ms
ASSUMED_RECEIVED_S = 2.0  # node.news_told_ms; the bench, too, counts a change as received after this time
SILENCE_TIMEOUT_S = 0.5
RULES = {**SETTINGS["rules"], "drain_grace_ms": GRACE_S * 1000, "must_ask_in_ms": MUST_ASK_S * 1000}
FAST = {
    "news_told_ms": ASSUMED_RECEIVED_S * 1000,
    "watch_silent_ms": SILENCE_TIMEOUT_S * 1000,
    "watch_retry_ms": 20,
}


class Proxy:
    """A TCP proxy in front of discovery. While it is closed, connections break and new ones are refused."""

    def __init__(self, upstream: str) -> None:
        host, _, port = upstream.partition(":")
        self.upstream = (host, int(port))
        self.port = 0
        self.connections: list[socket.socket] = []
        self.open()

    def open(self) -> None:
        """Accepts connections, on the same port as before."""
        self.listener = socket.create_server(("127.0.0.1", self.port))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def close(self) -> None:
        """Breaks all connections and refuses new ones, as if the machine behind it were down."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.connections.clear()

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = listener.accept()
                server = socket.create_connection(self.upstream)
                self.connections += [client, server]
                for source, target in ((client, server), (server, client)):
                    threading.Thread(target=self._forward, args=(source, target), daemon=True).start()

    @staticmethod
    def _forward(source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                target.sendall(data)
        for end in (source, target):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


class ListChangeTest(NodeTest):
    """A node with two workers, the first of which drains."""

    discovery_mode = "ask"

    def setUp(self) -> None:
        self.first, self.second = Worker("s-1", serve), Worker("s-2", serve)
        self.discovery = Discovery([self.first.target(), self.second.target()])
        self.proxy = Proxy(self.discovery.address)
        for stand_in in (self.first, self.second, self.discovery):
            self.addCleanup(stand_in.close)
        self.addCleanup(self.proxy.close)

    def begin(self, **config: Any) -> Node:
        node = self.start(
            listen="127.0.0.1:0",
            discovery=f"127.0.0.1:{self.proxy.port}",
            settings={**SETTINGS, "discovery": self.discovery_mode, "rules": RULES},
            node=FAST,
            **config,
        )
        self.first.node = self.second.node = node.address
        return node

    def wait_until_ready(self, node: Node) -> None:
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 200)

    def drain_unannounced(self) -> None:
        """Drains the first worker in discovery's list without sending the change on a watch."""
        self.discovery.targets = [self.first.target("terminating"), self.second.target()]

    def job_statuses(self, node: Node, seconds: float) -> set[int]:
        """Sends jobs for `seconds` and returns the set of their statuses."""
        statuses, ends, i = set(), time.monotonic() + seconds, 0
        while time.monotonic() < ends:
            i += 1
            statuses.add(node.job(f"{ends}-{i}", sid=f"{i:x}", budget=0.2)[0])
        return statuses

    def assert_first_gets_no_jobs(self, node: Node) -> None:
        self.first.taken.clear()
        self.job_statuses(node, 1.0)
        self.assertEqual(self.first.taken, set())

    def assert_only_second_serves(self, node: Node) -> None:
        """Checks that the node serves jobs with the second worker only."""
        eventually(lambda: node.job(f"{time.monotonic()}", budget=0.3)[0] == 200)
        self.assert_first_gets_no_jobs(node)
        self.assertTrue(self.second.taken)


class PulledListTest(ListChangeTest):
    """Discovery is a service that nodes query."""

    def test_a_change_on_a_watch_counts_when_written_even_after_a_long_quiet_time(self) -> None:
        node = self.begin()
        self.wait_until_ready(node)
        for _ in range(
            3 * int(ASSUMED_RECEIVED_S / (SILENCE_TIMEOUT_S / 2))
        ):  # three times as long as a list stays valid without any message
            self.discovery.watches[-1].put(b"\n")
            threading.Event().wait(SILENCE_TIMEOUT_S / 2)
            self.assertEqual(self.job_statuses(node, 0.05), {200})
        self.discovery.change(self.first.target("terminating"))
        threading.Event().wait(GRACE_S / 2)
        self.assert_first_gets_no_jobs(node)
        self.assertFalse([line for line in node.log if "current=False" in line])

    def test_a_silent_watch_is_reopened_before_the_changes_it_misses_count(self) -> None:
        node = self.begin()
        self.wait_until_ready(node)
        watches = len(self.discovery.watches)
        self.drain_unannounced()
        eventually(lambda: len(self.discovery.watches) > watches)
        self.assert_only_second_serves(node)

    def test_the_list_stays_valid_while_discovery_is_down_and_its_list_is_obeyed_on_return(self) -> None:
        node = self.begin()
        self.wait_until_ready(node)
        self.proxy.close()
        self.assertEqual(self.job_statuses(node, 3 * ASSUMED_RECEIVED_S), {200})
        self.drain_unannounced()
        self.proxy.open()
        threading.Event().wait(ASSUMED_RECEIVED_S)
        self.assert_only_second_serves(node)

    def test_while_discovery_does_not_answer_a_change_counts_from_when_it_was_made(self) -> None:
        node = self.begin()
        self.wait_until_ready(node)
        self.proxy.close()
        with socket.create_server(("127.0.0.1", self.proxy.port)):  # accepts connections but never answers
            threading.Event().wait(ASSUMED_RECEIVED_S + GRACE_S)
            self.assert_first_gets_no_jobs(node)

    def test_after_a_reload_the_list_of_the_new_discovery_counts(self) -> None:
        node = self.begin()
        self.wait_until_ready(node)
        other = Discovery([self.first.target("terminating"), self.second.target()], rev=3)
        self.addCleanup(other.close)
        node.reload(discovery=other.address)
        threading.Event().wait(ASSUMED_RECEIVED_S)
        self.assert_only_second_serves(node)


class PushedListTest(ListChangeTest):
    """An agent on the node's machine has the list, which counts as received by the node."""

    discovery_mode = "push"

    def test_the_agents_list_counts_from_the_start_of_a_process(self) -> None:
        cached_list = {"rev": 1, "all": True, "targets": [self.first.target(), self.second.target()]}
        self.drain_unannounced()
        node = self.begin(known=cached_list)
        self.job_statuses(node, GRACE_S)
        eventually(lambda: 200 in self.job_statuses(node, 0.1))
        self.assert_first_gets_no_jobs(node)

    def test_the_list_stays_valid_while_the_agent_is_silent_on_an_open_watch(self) -> None:
        node = self.begin()
        self.wait_until_ready(node)
        self.assertEqual(self.job_statuses(node, 3 * GRACE_S), {200})

    def test_a_change_made_while_no_watch_was_open_is_obeyed_within_the_grace(self) -> None:
        node = self.begin()
        self.wait_until_ready(node)
        self.proxy.close()
        self.drain_unannounced()
        threading.Event().wait(GRACE_S)
        self.assert_first_gets_no_jobs(node)  # not from the old list either, which may be outdated
        self.proxy.open()
        self.assert_only_second_serves(node)

    def test_after_a_reload_the_new_agents_list_counts_four_seconds_later(self) -> None:
        node = self.begin()
        self.wait_until_ready(node)
        with socket.create_server(("127.0.0.1", 0), backlog=1) as listener:
            unreachable = "{}:{}".format(*listener.getsockname())
        node.reload(discovery=unreachable)
        threading.Event().wait(4.0)
        self.assert_first_gets_no_jobs(node)
        self.assertEqual(self.job_statuses(node, 0.3), {503})


class CachedListTest(ListChangeTest):
    def test_a_cached_list_is_not_used_while_discovery_can_still_answer(self) -> None:
        cached_list = {"rev": 1, "all": True, "targets": [self.first.target(), self.second.target()]}
        self.drain_unannounced()
        node = self.begin(known=cached_list)
        eventually(lambda: 200 in self.job_statuses(node, 0.1))
        self.assertEqual(self.first.taken, set())
