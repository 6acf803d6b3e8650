"""What a node may rely on when discovery falls silent, is cut off or moves."""

from __future__ import annotations

import itertools
import json
import math
import queue
import socket
import threading
import time
import unittest
from typing import Any, ClassVar

from pebbledrift.discovery.reliance import PushedReliance, Reliance
from tests.acts import serve
from tests.node import SETTINGS, WAIT, Discovery, Node, NodeTest, Server, Worker, ask, eventually


class RelianceTest(unittest.TestCase):
    """The list was last heard at 1,000 ms, news count as told after 6 s, a node has to ask in 10 s."""

    def setUp(self) -> None:
        self.reliance = Reliance(6000.0, 10_000.0)
        self.reliance.heard(1000.0)

    def test_a_list_known_before_a_start_is_not_relied_on_while_discovery_can_be_reached(self) -> None:
        started = Reliance(6000.0, 10_000.0)
        started.begun(500.0)
        started.opened(600.0)
        self.assertLessEqual(started.until_ms, 600.0)
        # this node's own way, perhaps: what discovery has counts as told all the same
        started.failed(1000.0, refused=False)
        self.assertLessEqual(started.until_ms, 600.0)
        started.failed(9000.0, refused=True)  # it is down: then there is nothing better
        self.assertEqual(started.until_ms, 15_000.0)
        started.heard(10_000.0)
        started.failed(20_000.0, refused=True)  # lapsed: only news make it current again
        self.assertEqual(started.until_ms, 16_000.0)

    def test_a_watch_that_falls_silent_is_relied_on_until_its_news_count_as_told(self) -> None:
        self.reliance.closed(3000.0, silent=True, heard=True)
        self.reliance.closed(4000.0, silent=False, heard=True)
        self.reliance.failed(5000.0, refused=True)  # discovery may take the silent watch to be open
        self.assertEqual(self.reliance.until_ms, 7000.0)
        self.reliance.heard(9000.0)
        self.assertEqual(self.reliance.until_ms, 15_000.0)
        self.reliance.closed(9500.0, silent=False, heard=True)  # the new one is ended by discovery itself
        self.assertEqual(self.reliance.until_ms, 19_500.0)

    def test_a_refused_call_gives_the_time_in_which_news_count_as_told_and_takes_none_back(self) -> None:
        self.reliance.closed(2000.0, silent=False, heard=True)
        self.assertEqual(self.reliance.until_ms, 12_000.0)
        self.reliance.failed(3000.0, refused=True)
        self.assertEqual(self.reliance.until_ms, 12_000.0)
        self.reliance.failed(7000.0, refused=True)
        self.assertEqual(self.reliance.until_ms, 13_000.0)
        self.reliance.failed(12_000.0, refused=False)  # nobody said so: this node's own way, perhaps
        self.assertEqual(self.reliance.until_ms, 13_000.0)

    def test_after_a_call_that_was_given_up_news_count_as_told_from_when_they_were_made(self) -> None:
        # discovery may have been there all the time: it had 10 s from the end of the watch
        self.reliance.closed(2000.0, silent=False, heard=True)
        for at in (4100.0, 6300.0, 7900.0):
            self.reliance.failed(at, refused=False)
            self.assertEqual(self.reliance.until_ms, 8000.0)

    def test_a_new_configuration_makes_what_the_discovery_before_says_worthless(self) -> None:
        self.reliance.closed(2000.0, silent=False, heard=True)
        self.reliance.moved(3000.0)
        self.assertEqual(self.reliance.until_ms, 9000.0)
        self.reliance.heard(4000.0)
        self.assertEqual(self.reliance.until_ms, 10_000.0)


class PushedRelianceTest(unittest.TestCase):
    """Nothing may be sent to a drained worker later than 1,000 ms after the agent was told of it."""

    def setUp(self) -> None:
        self.reliance = PushedReliance(1000.0)
        self.reliance.begun(0.0)
        # what the agent was told while no process was there counts as told from the first moment
        self.assertEqual(self.reliance.until_ms, 0.0)

    def test_a_call_that_is_up_and_says_nothing_is_word_enough(self) -> None:
        self.reliance.opened(10.0)
        self.assertEqual(self.reliance.until_ms, math.inf)
        self.reliance.closed(3000.0, silent=True, heard=False)
        self.assertEqual(self.reliance.until_ms, 3800.0)
        self.reliance.failed(3400.0, refused=True)  # shrinks at most
        self.reliance.failed(3600.0, refused=True)
        self.assertEqual(self.reliance.until_ms, 3800.0)

    def test_calls_that_break_unheard_gain_no_time(self) -> None:
        for at in range(100, 2000, 100):
            self.reliance.opened(float(at))
            self.reliance.closed(at + 50.0, silent=False, heard=False)
        self.assertEqual(self.reliance.until_ms, 0.0)

    def test_after_a_new_configuration_only_a_call_to_the_next_agent_will_do(self) -> None:
        self.reliance.opened(10.0)
        self.reliance.moved(1000.0)  # the call to the one before stays up, and shows nothing any more
        self.assertEqual(self.reliance.until_ms, 4000.0)
        self.reliance.opened(2000.0)
        self.assertEqual(self.reliance.until_ms, math.inf)
        self.reliance.closed(2040.0, silent=False, heard=True)
        self.assertEqual(self.reliance.until_ms, 2840.0)


class PushedListTest(NodeTest):
    """An agent on the node's machine is pushed the list: nobody asks for it, and the node must hear it."""

    RULES: ClassVar = {**SETTINGS["rules"], "drain_grace_ms": 600.0}

    def test_a_pushed_drain_is_heard_and_an_agent_that_says_nothing_is_relied_on(self) -> None:
        first, second = Worker("s-1", serve), Worker("s-2", serve)
        limits = {"watch_silent_ms": 100, "watch_retry_ms": 10}
        node, discovery = self.platform(first, second, node=limits, discovery="push", rules=self.RULES)
        self.assertIn("follow=1", discovery.asked.get(timeout=WAIT))  # unasked for by the decision module
        discovery.change(first.target("terminating"))
        numbers = itertools.count()
        eventually(lambda: node.figures()["cluster_size"] == 2)
        eventually(lambda: node.job(f"a{next(numbers)}")[0] == 200 and not first.taken)
        discovery.server.shutdown()  # calls come up, and nobody speaks on them
        for i in range(4):  # longer than the grace
            threading.Event().wait(0.25)
            self.assertEqual(node.job(f"b{i}")[0], 200)
        self.assertEqual(first.taken, set())

    def test_without_its_agent_a_node_sends_nothing_once_a_drain_could_be_overdue(self) -> None:
        worker = Worker("s-1", serve)
        node, discovery = self.platform(worker, discovery="push", rules=self.RULES)
        self.assertEqual(node.job("a")[0], 200)
        discovery.close()
        discovery.watches[-1].put(None)
        eventually(lambda: any("current=False" in line for line in node.log))
        self.assertEqual(node.job("b", budget=0.3)[0], 503)
        self.assertNotIn("b", worker.taken)


class SilentDiscoveryTest(NodeTest):
    def test_nothing_is_sent_by_a_list_that_cannot_be_known_to_be_current(self) -> None:
        worker = Worker("s-1", serve)
        limits = {"news_told_ms": 400, "watch_silent_ms": 200, "watch_retry_ms": 10}
        node, discovery = self.platform(worker, node=limits)
        self.assertEqual(node.job("a")[0], 200)
        discovery.server.shutdown()  # connections come up, and nobody speaks on them
        eventually(lambda: any("current=False" in line for line in node.log))
        self.assertEqual(node.job("b", budget=0.3)[0], 503)
        self.assertNotIn("b", worker.taken)


class Formed(Discovery):
    """Writes its lists in a form of its own, and counts whole lists asked for."""

    def __init__(
        self, targets: list[dict[str, Any]], indent: int | None = None, piece: int = 1 << 30
    ) -> None:
        super().__init__(targets)
        self.indent, self.piece = indent, piece

    def handle(self, request: Server, body: bytes) -> None:
        if "follow" not in request.path:
            self.asked.put(request.path)
            whole = {"rev": self.rev, "all": True, "targets": self.targets}
            request.reply(200, body=json.dumps(whole, indent=self.indent).encode())
            return
        news: queue.Queue[bytes | None] = queue.Queue()
        self.watches.append(news)
        self.asked.put(request.path)
        request.send_response(200)
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        self.write(request, {"rev": self.rev, "all": True, "targets": self.targets})
        while (line := self._next(news)) is not None:
            if line == b"\n":
                request.wfile.write(b"1\r\n\n\r\n")
            else:
                self.write(request, json.loads(line))
        request.drop()

    def write(self, request: Server, news: dict[str, Any]) -> None:
        data = json.dumps(news, indent=self.indent).encode() + b"\n"
        for at in range(0, len(data), self.piece):
            piece = data[at : at + self.piece]
            request.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            request.wfile.flush()


class FormsTest(NodeTest):
    """Lists in the forms in which they may come, and of any length that a fleet may have."""

    LONG = 3400

    def followed(self, discovery: Discovery, worker: Worker) -> Node:
        self.addCleanup(discovery.close)
        self.addCleanup(worker.close)
        node = self.start(listen="127.0.0.1:0", discovery=discovery.address, settings=SETTINGS)
        worker.node = node.address
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 200)
        return node

    def drained(self, node: Node, discovery: Discovery, worker: Worker) -> None:
        self.assertEqual(node.job("a")[0], 200)
        discovery.change(worker.target("terminating"))
        eventually(lambda: node.job(f"b{time.monotonic()}", budget=0.3)[0] == 503)
        self.assertFalse([line for line in node.log if "malformed" in line or "current=False" in line])

    def test_lists_that_are_indented_or_come_in_pieces_are_followed(self) -> None:
        for indent, piece in ((None, 7), (1, 1 << 30), (2, 5), (4, 64)):
            with self.subTest(indent=indent, piece=piece):
                worker = Worker("s-1", serve)
                discovery = Formed([worker.target()], indent, piece)
                self.drained(self.followed(discovery, worker), discovery, worker)

    def test_a_list_of_thousands_of_workers_is_taken_in_by_watch_and_by_call(self) -> None:
        # from about 1,700 workers on the whole list was over a line's bound, and no node was ever ready
        worker = Worker("s-1", serve)
        gone = {
            "az": "caxias",
            "model": "serie-a",
            "state": "terminating",
            "capacity_hint": 4.0,
            "boot_ms": 0,
        }
        more = [
            {"uid": f"s-{i:08x}", "endpoint": f"127.1.{i >> 8}.{i & 255}:8081", "pod_group": i % 40, **gone}
            for i in range(self.LONG)
        ]
        discovery = Formed([worker.target(), *more], piece=50_000)
        node = self.followed(discovery, worker)
        self.assertEqual(node.job("first")[0], 200)
        other = Formed([worker.target(), *more], indent=2)
        self.addCleanup(other.close)
        node.reload(discovery=other.address)
        eventually(lambda: bool(other.watches))
        self.drained(node, other, worker)


class Slow(Discovery):
    """Says nothing on a call until it may."""

    def __init__(self, targets: list[dict[str, Any]]) -> None:
        super().__init__(targets)
        self.may = threading.Event()

    def handle(self, request: Server, body: bytes) -> None:
        self.may.wait(WAIT)
        super().handle(request, body)


class ListBeforeStartTest(NodeTest):
    """A machine comes back after some time: the list that the node is given is older than it knows."""

    def test_it_is_not_used_until_discovery_has_spoken(self) -> None:
        gone, there = Worker("s-1", serve), Worker("s-2", serve)
        discovery = Slow([gone.target("terminating"), there.target()])
        for each in (gone, there, discovery):
            self.addCleanup(each.close)
        node = self.start(
            listen="127.0.0.1:0",
            discovery=discovery.address,
            settings=SETTINGS,
            known={"rev": 1, "all": True, "targets": [gone.target(), there.target()]},
        )
        gone.node = there.node = node.address
        for i in range(8):  # well over the time after which a start without discovery serves
            self.assertEqual(ask(node.address, "GET", "/-/ready")[0], 503)
            self.assertEqual(node.job(f"early-{i}", budget=0.1)[0], 503)
        discovery.may.set()
        eventually(lambda: ask(node.address, "GET", "/-/ready")[0] == 200)
        for i in range(8):
            self.assertEqual(node.job(f"a{i}")[0], 200)
        self.assertEqual(gone.taken, set())


class MovedDiscoveryTest(NodeTest):
    def test_the_watch_before_goes_on_until_the_next_discovery_has_spoken(self) -> None:
        worker = Worker("s-1", serve)
        node, discovery = self.platform(worker)
        with socket.create_server(("127.0.0.1", 0)) as mute:
            host, port = mute.getsockname()[:2]
            node.reload(discovery=f"{host}:{port}")
            mute.settimeout(20)
            mute.accept()[0].close()  # it has been asked, and did not answer
            self.assertEqual(node.job("a")[0], 200)
            discovery.change(worker.target("terminating"))
            numbers = itertools.count()
            eventually(lambda: node.job(f"late-{next(numbers)}", budget=0.2)[0] == 503)
        self.assertEqual(ask(node.address, "GET", "/-/ready")[0], 503)
