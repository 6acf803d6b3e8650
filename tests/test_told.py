"""When a change of the list counts as told: the clauses of STANDING, over real connections, compressed."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Any

from tests.acts import serve
from tests.node import SETTINGS, Discovery, Node, NodeTest, Worker, ask, eventually

GRACE_S = 0.6  # that a drain leaves a node before it is a break (rules.drain_grace_ms)
ASK_S = 1.0  # rules.must_ask_in_ms
TOLD_S = 2.0  # node.news_told_ms, and the bench's time after which a change counts as told
SILENT_S = 0.5
RULES = {**SETTINGS["rules"], "drain_grace_ms": GRACE_S * 1000, "must_ask_in_ms": ASK_S * 1000}
FAST = {"news_told_ms": TOLD_S * 1000, "watch_silent_ms": SILENT_S * 1000, "watch_retry_ms": 20}


class Door:
    """A port before discovery that can be shut: connections break, and new ones are refused."""

    def __init__(self, behind: str) -> None:
        host, _, port = behind.partition(":")
        self.behind = (host, int(port))
        self.port = 0
        self.through: list[socket.socket] = []
        self.open()

    def open(self) -> None:
        """Let connections through, on the same port as before."""
        self.listener = socket.create_server(("127.0.0.1", self.port))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def shut(self) -> None:
        """As if the machine behind it were down."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for one in self.through:
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
        self.through.clear()

    def _accept(self, listener: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                near, _ = listener.accept()
                far = socket.create_connection(self.behind)
                self.through += [near, far]
                for one, other in ((near, far), (far, near)):
                    threading.Thread(target=self._pump, args=(one, other), daemon=True).start()

    @staticmethod
    def _pump(one: socket.socket, other: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := one.recv(65536):
                other.sendall(data)
        for end in (one, other):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


class ToldTest(NodeTest):
    """Two workers, of which the first one drains."""

    how = "ask"

    def setUp(self) -> None:
        self.first, self.second = Worker("s-1", serve), Worker("s-2", serve)
        self.discovery = Discovery([self.first.target(), self.second.target()])
        self.door = Door(self.discovery.address)
        for stand_in in (self.first, self.second, self.discovery):
            self.addCleanup(stand_in.close)
        self.addCleanup(self.door.shut)

    def begin(self, **config: Any) -> Node:
        node = self.start(
            listen="127.0.0.1:0",
            discovery=f"127.0.0.1:{self.door.port}",
            settings={**SETTINGS, "discovery": self.how, "rules": RULES},
            node=FAST,
            **config,
        )
        self.first.node = self.second.node = node.address
        return node

    def ready(self, node: Node) -> None:
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 200)

    def drain(self) -> None:
        """It is in discovery's list, and on no watch."""
        self.discovery.targets = [self.first.target("terminating"), self.second.target()]

    def jobs(self, node: Node, seconds: float) -> set[int]:
        """The statuses of jobs for so long."""
        found, ends, i = set(), time.monotonic() + seconds, 0
        while time.monotonic() < ends:
            i += 1
            found.add(node.job(f"{ends}-{i}", sid=f"{i:x}", budget=0.2)[0])
        return found

    def gets_nothing_more(self, node: Node) -> None:
        self.first.taken.clear()
        self.jobs(node, 1.0)
        self.assertEqual(self.first.taken, set())

    def takes_over(self, node: Node) -> None:
        """The node serves by the other worker alone."""
        eventually(lambda: node.job(f"{time.monotonic()}", budget=0.3)[0] == 200)
        self.gets_nothing_more(node)
        self.assertTrue(self.second.taken)


class AskedTest(ToldTest):
    """Discovery is a service that nodes ask."""

    def test_what_comes_on_a_watch_counts_when_it_is_written_also_after_long_quiet(self) -> None:
        node = self.begin()
        self.ready(node)
        for _ in range(
            3 * int(TOLD_S / (SILENT_S / 2))
        ):  # three times as long as a list is good for, unheard
            self.discovery.watches[-1].put(b"\n")
            threading.Event().wait(SILENT_S / 2)
            self.assertEqual(self.jobs(node, 0.05), {200})
        self.discovery.change(self.first.target("terminating"))
        threading.Event().wait(GRACE_S / 2)
        self.gets_nothing_more(node)
        self.assertFalse([line for line in node.log if "current=False" in line])

    def test_a_watch_that_fell_silent_is_opened_anew_before_what_it_misses_counts(self) -> None:
        node = self.begin()
        self.ready(node)
        watches = len(self.discovery.watches)
        self.drain()
        eventually(lambda: len(self.discovery.watches) > watches)
        self.takes_over(node)

    def test_while_discovery_is_down_the_list_holds_and_what_it_has_at_its_return_is_obeyed(self) -> None:
        node = self.begin()
        self.ready(node)
        self.door.shut()
        self.assertEqual(self.jobs(node, 3 * TOLD_S), {200})
        self.drain()
        self.door.open()
        threading.Event().wait(TOLD_S)
        self.takes_over(node)

    def test_while_calls_get_no_answer_a_change_counts_as_told_from_when_it_was_made(self) -> None:
        node = self.begin()
        self.ready(node)
        self.door.shut()
        with socket.create_server(("127.0.0.1", self.door.port)):  # it is there, and says nothing
            threading.Event().wait(TOLD_S + GRACE_S)
            self.gets_nothing_more(node)

    def test_after_a_new_configuration_what_the_next_one_has_counts(self) -> None:
        node = self.begin()
        self.ready(node)
        other = Discovery([self.first.target("terminating"), self.second.target()], rev=3)
        self.addCleanup(other.close)
        node.reload(discovery=other.address)
        threading.Event().wait(TOLD_S)
        self.takes_over(node)


class PushedTest(ToldTest):
    """An agent on the node's machine has the list, and counts as having told it."""

    how = "push"

    def test_what_the_agent_has_counts_from_the_first_moment_of_a_process(self) -> None:
        known = {"rev": 1, "all": True, "targets": [self.first.target(), self.second.target()]}
        self.drain()
        node = self.begin(known=known)
        self.jobs(node, GRACE_S)
        eventually(lambda: 200 in self.jobs(node, 0.1))
        self.gets_nothing_more(node)

    def test_while_the_agent_says_nothing_on_an_open_watch_the_list_holds(self) -> None:
        node = self.begin()
        self.ready(node)
        self.assertEqual(self.jobs(node, 3 * GRACE_S), {200})

    def test_what_it_got_while_no_watch_was_open_is_obeyed_within_the_grace(self) -> None:
        node = self.begin()
        self.ready(node)
        self.door.shut()
        self.drain()
        threading.Event().wait(GRACE_S)
        self.gets_nothing_more(node)  # not by the old list either: it cannot know
        self.door.open()
        self.takes_over(node)

    def test_after_a_new_configuration_what_the_next_agent_has_counts_four_seconds_later(self) -> None:
        node = self.begin()
        self.ready(node)
        with socket.create_server(("127.0.0.1", 0), backlog=1) as closed:
            gone = "{}:{}".format(*closed.getsockname())
        node.reload(discovery=gone)
        threading.Event().wait(4.0)
        self.gets_nothing_more(node)
        self.assertEqual(self.jobs(node, 0.3), {503})


class StartTest(ToldTest):
    def test_a_list_from_before_a_start_is_not_used_while_discovery_could_speak(self) -> None:
        known = {"rev": 1, "all": True, "targets": [self.first.target(), self.second.target()]}
        self.drain()
        node = self.begin(known=known)
        eventually(lambda: 200 in self.jobs(node, 0.1))
        self.assertEqual(self.first.taken, set())
