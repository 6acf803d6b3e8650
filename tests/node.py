"""The real program as a process, with stand-ins for clients, workers and discovery on loopback."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import queue
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import unittest
from collections.abc import Callable, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from types import MappingProxyType
from typing import Any

WAIT = 20.0  # seconds until a condition that never comes fails a test

SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "me": 0,
    "zone": 0,
    "zones": ["caxias", "bento"],
    "kinds": ["serie-a"],
    "period_ms": 4.0,
    "discovery": "ask",
    "report": {"how": "answers"},
    "tenants": [{"name": "acme", "share": 1.0, "quota_rps": 10.0}],
    "classes": [
        {
            "name": "pesagem",
            "target_ms": 400.0,
            "deadline_ms": 5000.0,
            "idempotency": "once",
            "late_worth": 0.25,
        },
        {
            "name": "fechamento",
            "target_ms": 1000.0,
            "deadline_ms": 20000.0,
            "idempotency": "by_key",
            "group": "zone",
            "memory_span_ms": 30000.0,
        },
    ],
    "limits": {"try_limit": 4, "cancel": True, "retry_after": True, "max_retry_after_ms": 2000.0},
    "rules": {"cold_share": 0.12, "cold_ms": 24000.0, "fall_multiple": 4.0, "fall_ms": 1000.0},
    "family_info": {"tells_start": True},
}


class Server(BaseHTTPRequestHandler):
    """Passes every request to the stand-in that owns the server."""

    protocol_version = "HTTP/1.1"

    def handle_any(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.server.owner.handle(self, body)  # type: ignore[attr-defined]

    do_GET = do_POST = do_DELETE = handle_any

    def log_message(self, *args: object) -> None:
        pass

    def reply(self, status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def drop(self) -> None:
        """End the connection without an answer."""
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)


class StandIn:
    """A server on a port that the kernel gives."""

    def __init__(self) -> None:
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Server)
        self.server.owner = self  # type: ignore[attr-defined]
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()

    def handle(self, request: Server, body: bytes) -> None:
        raise NotImplementedError


class Worker(StandIn):
    """Takes jobs; `act` says what becomes of each and may call back before the 202."""

    def __init__(self, uid: str, act: Callable[[Worker, Server, str], None], zone: str = "caxias") -> None:
        super().__init__()
        self.uid, self.act, self.zone, self.node = uid, act, zone, ""
        self.jobs: queue.Queue[str] = queue.Queue()
        self.taken: set[str] = set()
        self.cancelled: queue.Queue[str] = queue.Queue()

    def handle(self, request: Server, body: bytes) -> None:
        if request.command == "DELETE":
            self.cancelled.put(request.path.rpartition("/")[2])
            request.reply(204)
        else:
            job = request.headers["X-Call-Id"]
            self.taken.add(job)
            self.jobs.put(job)
            self.act(self, request, job)

    def call(self, job: str, state: str, **more: object) -> int:
        """Tell the node what became of a job; again, as the protocol has it, where the connection breaks."""
        text = json.dumps({"id": job, "from": self.uid, "state": state, **more})
        for _ in range(9):
            with contextlib.suppress(ConnectionError, http.client.HTTPException):
                return ask(self.node, "POST", "/v1/job-events", text.encode())[0]
        return ask(self.node, "POST", "/v1/job-events", text.encode())[0]

    def target(self, state: str = "in_service") -> dict[str, Any]:
        place = {"endpoint": self.address, "az": self.zone, "model": "serie-a"}
        return {"uid": self.uid, "state": state, **place}


EMPTY_S = 2.0  # between the empty lines of a watch (PROTOCOL, "Discovery")


class Discovery(StandIn):
    """Writes the whole list to each watch, then the changes."""

    def __init__(self, targets: list[dict[str, Any]], rev: int = 7) -> None:
        super().__init__()
        self.targets, self.rev = targets, rev
        self.watches: list[queue.Queue[bytes | None]] = []
        self.asked: queue.Queue[str] = queue.Queue()

    def handle(self, request: Server, body: bytes) -> None:
        whole = json.dumps({"rev": self.rev, "all": True, "targets": self.targets}).encode()
        if "follow" not in request.path:
            self.asked.put(request.path)
            request.reply(200, body=whole)
            return
        news: queue.Queue[bytes | None] = queue.Queue()
        news.put(whole + b"\n")
        self.watches.append(news)
        self.asked.put(request.path)
        request.send_response(200)
        request.send_header("Transfer-Encoding", "chunked")
        request.end_headers()
        while (line := self._next(news)) is not None:
            request.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
        request.drop()

    @staticmethod
    def _next(news: queue.Queue[bytes | None]) -> bytes | None:
        try:
            return news.get(timeout=EMPTY_S)
        except queue.Empty:
            return b"\n"

    def change(self, target: dict[str, Any]) -> None:
        others = [known for known in self.targets if known["uid"] != target["uid"]]
        self.targets = [*others, target]  # a watch that is opened anew is told it as well
        news = {"rev": self.rev + 1, "all": False, "targets": [target]}
        self.watches[-1].put(json.dumps(news).encode() + b"\n")


def ask(
    address: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> tuple[int, http.client.HTTPMessage, bytes]:
    """One request on a connection of its own."""
    connection = http.client.HTTPConnection(address, timeout=WAIT)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        connection.close()


def eventually(check: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    pause = threading.Event()
    for _ in range(int(WAIT / 0.01)):
        if check():
            return
        pause.wait(0.01)
    raise AssertionError("the condition never held")


class NodeTest(unittest.TestCase):
    """Starts nodes and ends what it started."""

    environ: Mapping[str, str] = MappingProxyType({})  # beside the usual variables of the nodes' environment

    def start(self, folder: str | None = None, listener: socket.socket | None = None, **config: Any) -> Node:
        node = Node(folder or self.folder(), config, listener, self.environ)
        self.addCleanup(node.kill)
        return node

    def folder(self) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def platform(self, *workers: Worker, node: Any = None, **settings: Any) -> tuple[Node, Discovery]:
        """A node behind discovery, ready to serve."""
        discovery = Discovery([w.target() for w in workers])
        self.addCleanup(discovery.close)
        found = self.start(
            listen="127.0.0.1:0",
            admin="127.0.0.1:0",
            discovery=discovery.address,
            settings={**SETTINGS, **settings},
            node=node or {},
        )
        for worker in workers:
            worker.node = found.address
            self.addCleanup(worker.close)
        eventually(lambda: ask(found.address, "GET", "/-/ready")[0] == 200)
        return found, discovery


class Node:
    """One process of the program; the ports are read from its log."""

    def __init__(
        self,
        folder: str,
        config: dict[str, Any],
        listener: socket.socket | None = None,
        environ_more: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        self.path = Path(folder) / "config.json"
        self.config = {"name": "n0", "seed": "ab", **config}
        self.path.write_text(json.dumps(self.config))
        command = [sys.executable, "-m", "pebbledrift", "--config", str(self.path)]
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environ["TMPDIR"] = folder
        environ |= environ_more
        inherited: tuple[int, ...] = ()
        if listener is not None:
            inherited = (listener.fileno(),)
            environ["GW_FD"] = str(listener.fileno())
        self.process = subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, env=environ, pass_fds=inherited
        )
        self.log: list[str] = []
        self.addresses: list[str] = []
        self.admin = ""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line)
            self.addresses += re.findall(r"event=listening address=(\S+)", line)
            if found := re.search(r"event=operators address=(\S+)", line):
                self.admin = found[1]
            if "event=started" in line:
                break
        else:
            raise AssertionError("".join(self.log))
        self.reader = threading.Thread(target=lambda: self.log.extend(self.process.stderr or ()), daemon=True)
        self.reader.start()

    @property
    def address(self) -> str:
        return self.addresses[-1]

    def tubes_addresses(self) -> list[str]:
        """Where core 0 has listened for tubes, in the order of its lives."""
        return re.findall(r"core=0 event=listening address=(\S+)", "".join(self.log))

    def job(
        self, job: str, name: str = "pesagem", budget: float = 5.0, sid: str = "00ff", **headers: str
    ) -> tuple[int, http.client.HTTPMessage, bytes]:
        """One job of a client."""
        given = {"X-Call-Id": job, "X-Caller": "acme", "X-Budget": f"{budget}", **headers}
        if name == "fechamento":
            given["Idempotency-Key"] = job
        return ask(self.address, "POST", f"/{name}?sid={sid}", b"load", given)

    def later(self, *args: Any, **named: Any) -> queue.Queue[tuple[int, http.client.HTTPMessage, bytes]]:
        """The same in a thread; the answer comes in the queue."""
        answers: queue.Queue[tuple[int, http.client.HTTPMessage, bytes]] = queue.Queue()
        threading.Thread(target=lambda: answers.put(self.job(*args, **named)), daemon=True).start()
        return answers

    def call(self, call: str) -> str:
        """One call of an operator; the answer as it came."""
        host, _, port = self.admin.partition(":")
        with socket.create_connection((host, int(port)), WAIT) as caller:
            caller.sendall(call.encode() + b"\n")
            return b"".join(iter(lambda: caller.recv(4096), b"")).decode()

    def figures(self) -> dict[str, int]:
        """What METRICS tells, without the prefix."""
        *lines, end = self.call("METRICS").splitlines()
        assert end == "EOT", end
        found = [re.fullmatch(r"svc\.([\w.]+):(\d+)\|[cg]", line) for line in lines]
        return {match[1]: int(match[2]) for match in found if match}

    def reload(self, **changes: Any) -> None:
        """Replace the configuration, and SIGHUP; returns once the node has said what it made of it."""
        told = sum('event="configuration ' in line for line in self.log)
        text = json.dumps({**self.config, **changes}) if changes else "{"
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)
        eventually(lambda: sum('event="configuration ' in line for line in self.log) > told)

    def terminate(self) -> int:
        """SIGTERM, and the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT)

    def kill(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        self.process.wait(WAIT)
        self.reader.join(WAIT)
        if self.process.stderr is not None:
            self.process.stderr.close()
