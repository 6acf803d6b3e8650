"""A router fleet on loopback: keepers, routers and stand-in workers as real processes and servers.

    python -m rig.fleet --keepers 3 --routers 2 --workers 2

starts one, takes a configuration, sends a request to each router, prints what came back and ends.
"""

from __future__ import annotations

import argparse
import http.client
import http.server
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
PORTS = 4  # front, readiness, control, and one of two for traffic between processes
HEARTBEAT_S = 0.3
LONGEST_S = 20.0
API_KEY = "key-of-estate-1"


def _free_ports(addresses: list[str], count: int) -> list[int]:
    """Ports that are free at all of these addresses."""
    found: list[int] = []
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((addresses[0], 0))
            port = probe.getsockname()[1]
        if port + 1 < 65536 and not {port, port + 1} & set(found) and _all_free(addresses, (port, port + 1)):
            found.append(port)
            if len(found) == count:
                return found
    raise RuntimeError("no free ports")


def _all_free(addresses: list[str], ports: tuple[int, ...]) -> bool:
    for address in addresses:
        for port in ports:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((address, port))
                except OSError:
                    return False
    return True


class Worker:
    """A stand-in worker: heartbeats, and answers a stream of three events or a plain answer."""

    def __init__(self, fleet: Fleet, name: str, backend: str, address: str) -> None:
        self.fleet, self.name, self.backend, self.state = fleet, name, backend, "ready"
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.event_pause_s = 0.0
        self.work_s = 0.0  # before a plain answer
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:
                worker.serve(self)

            def log_message(self, format: str, *args: Any) -> None:
                """Nothing is logged."""

        self.server = http.server.ThreadingHTTPServer((address, 0), Handler)
        self.server.daemon_threads = True
        self.address = f"{address}:{self.server.server_address[1]}"
        self.sequence = 0
        self._stopping = threading.Event()
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def serve(self, handler: http.server.BaseHTTPRequestHandler) -> None:
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        headers = {name.lower(): value for name, value in handler.headers.items()}
        self.requests.append((handler.path, headers, body))
        if headers.get("x-pebbledrift-expect-instance") not in (None, self.name):
            handler.send_response(421)
            handler.send_header("Content-Length", "0")
            handler.end_headers()
            return
        handler.send_response(200)
        handler.send_header("X-Pebbledrift-Request-Id", headers.get("x-pebbledrift-request-id", ""))
        handler.send_header("X-Pebbledrift-Response-Seal", f"seal-{self.name}")
        if "/stream/" in handler.path:
            self._stream(handler, int(headers.get("last-event-id", "0")))
            return
        time.sleep(self.work_s)
        answer = b"served by " + self.name.encode()
        handler.send_header("Content-Length", str(len(answer)))
        handler.end_headers()
        handler.wfile.write(answer)

    def _stream(self, handler: http.server.BaseHTTPRequestHandler, last: int) -> None:
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(last + 1, 4):
            if self.fleet.break_after is not None and number > self.fleet.break_after:
                self.fleet.break_after = None
                handler.wfile.write(b"8\r\nid: 9\nda\r\n")
                handler.wfile.flush()
                handler.connection.shutdown(socket.SHUT_RDWR)
                handler.close_connection = True
                return
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            handler.wfile.flush()
            time.sleep(self.event_pause_s)
        handler.wfile.write(b"0\r\n\r\n")

    def _beat(self) -> None:
        while not self._stopping.wait(HEARTBEAT_S):
            self.beat()

    def beat(self) -> bool:
        """Send one heartbeat to the first keeper that takes it."""
        self.sequence += 1
        body = {
            "backend": self.backend,
            "address": self.address,
            "zone": "a",
            "revision": "v1",
            "slots": 4,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
        }
        for keeper in range(len(self.fleet.keepers)):
            try:
                path = f"/-/instances/{self.name}/heartbeat"
                if self.fleet.control(keeper, "POST", path, body)[0] == 200:
                    return True
            except OSError:
                continue
        return False

    def close(self) -> None:
        """End the worker without a word."""
        self._stopping.set()
        self.server.shutdown()
        self.server.server_close()


class Fleet:
    """Keepers and routers as processes, each at a loopback address of its own."""

    def __init__(
        self,
        keepers: int,
        routers: int,
        folder: Path,
        first: int = 10,
        relayed: bool = False,
        diskless: int = 0,
    ) -> None:
        self.folder = folder
        self.diskless = diskless  # the last keepers have no disk and do not vote
        self.keepers = [f"127.0.1.{first + number}" for number in range(keepers)]
        self.routers = [f"127.0.2.{first + number}" for number in range(routers)]
        self.hidden = {h: h.replace("127.0.1.", "127.0.4.") for h in self.keepers} if relayed else {}
        every = [*self.keepers, *self.routers, *self.hidden.values()]
        self.front, self.readiness, self.control_port, self.internal = _free_ports(every, PORTS)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.workers: list[Worker] = []
        self.bootstrap = True
        self.bounds: dict[str, Any] = {}  # of the settings, in the place of the usual ones
        self.break_after: int | None = None  # events of the next stream, then its connection ends

    def settings(self, address: str, role: str) -> dict[str, Any]:
        """The boot settings of one process."""
        keeper = role == "keeper"
        votes = keeper and address in self.keepers[: len(self.keepers) - self.diskless]
        served = (
            {"control": self.control_port} if keeper else {"front": self.front, "readiness": self.readiness}
        )
        return {
            "node-name": f"{role}-{address}",
            "role": role,
            "ip": address,
            "zone": "a",
            "listen": {name: f"{address}:{port}" for name, port in served.items()},
            "port-range": [self.internal, self.internal + 1],
            "seeds": [f"{seed}:{self.control_port}" for seed in self.keepers[:3]],
            "bootstrap": self.bootstrap,
            "counts-for-quorum": votes,
            "data-dir": str(self.folder / address) if votes else None,
            "heartbeat-ms": HEARTBEAT_S * 1000,
            "fault-tolerance": {"machines": 1},
            "bounds": {"grace-s": 3, "quota-window-s": 8, "retry-budget-slack": 60, **self.bounds},
        }

    def start(self, address: str) -> None:
        """Start the process at an address."""
        role = "keeper" if address in self.keepers else "router"
        path = self.folder / f"{address}.json"
        path.write_text(json.dumps(self.settings(address, role)))
        hidden = self.hidden.get(address, "")
        program = ["rig.hidden_keeper"] if hidden else ["pebbledrift", role]
        self.processes[address] = subprocess.Popen(
            [sys.executable, "-m", *program],
            cwd=ROOT,
            env={**os.environ, "PEBBLEDRIFT_BOOT": str(path), "PEBBLEDRIFT_HIDDEN_HOST": hidden},
            stderr=(self.folder / f"{address}.log").open("ab"),
        )

    def start_all(self) -> None:
        """Start every process."""
        for address in [*self.keepers, *self.routers]:
            self.start(address)

    def end(self, address: str, number: int = signal.SIGKILL) -> None:
        """End the process at an address, and wait for it."""
        process = self.processes.pop(address)
        process.send_signal(number)
        process.wait(LONGEST_S)

    def add_worker(self, name: str, backend: str = "lm") -> Worker:
        """Start a stand-in worker."""
        worker = Worker(self, name, backend, "127.0.3.1")
        self.workers.append(worker)
        return worker

    def close(self) -> None:
        """End all that was started."""
        for worker in self.workers:
            worker.close()
        for address in list(self.processes):
            self.end(address)

    # calls

    def control(
        self, keeper: int, method: str, path: str, body: Any = None, base: int | None = None
    ) -> tuple[int, Any]:
        """Call a keeper's control interface."""
        connection = http.client.HTTPConnection(self.keepers[keeper], self.control_port, timeout=6)
        headers = {} if base is None else {"X-Pebbledrift-Base-Version": str(base)}
        try:
            connection.request(method, path, None if body is None else json.dumps(body), headers)
            answer = connection.getresponse()
            data = answer.read()
            return answer.status, json.loads(data) if data else None
        finally:
            connection.close()

    def replace(self, config: dict[str, Any], base: int, keeper: int = 0) -> int:
        """Send a whole configuration until there is a clear answer."""
        status = 503
        end = time.monotonic() + LONGEST_S
        while status == 503 and time.monotonic() < end:
            try:
                status = self.control(keeper, "POST", "/-/config/replace", config, base)[0]
            except OSError:
                time.sleep(0.05)
        return status

    def request(
        self, router: int, path: str, body: bytes = b"{}", **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request to a router."""
        connection = http.client.HTTPConnection(self.routers[router], self.front, timeout=6)
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named.setdefault("Authorization", f"Token {API_KEY}")
        named.setdefault("X-Pebbledrift-Deadline-Ms", "3000")
        named.setdefault("X-Pebbledrift-Request-Id", f"{time.monotonic_ns():x}")
        try:
            connection.request("POST", path, body, {"Host": "estate.example", **named})
            answer = connection.getresponse()
            return answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
        finally:
            connection.close()

    def serves_control(self, keeper: int) -> bool:
        """Whether a keeper's control interface is open: it opens after what routers need."""
        try:
            return self.control(keeper, "GET", "/-/status")[0] == 200
        except OSError:
            return False

    def metrics(self, router: int) -> str:
        """A router's figures."""
        connection = http.client.HTTPConnection(self.routers[router], self.readiness, timeout=2)
        try:
            connection.request("GET", "/-/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def ready(self, router: int) -> bool:
        """Whether a router says that it is ready."""
        connection = http.client.HTTPConnection(self.routers[router], self.readiness, timeout=2)
        try:
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


def wait_for(condition: Callable[[], bool], what: str, longest: float = LONGEST_S) -> None:
    """Wait until something holds; bounded."""
    end = time.monotonic() + longest
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(what)
        time.sleep(0.02)


def example_config(revision: int) -> dict[str, Any]:
    """A configuration with a stream and a plain route of one service."""

    def route(name: str, kind: str, **more: Any) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": "estate.example",
            "path-prefix": f"/{name}/",
            "route-type": kind,
            "timeout-ms": 3000,
            "target-latency-ms": 500,
            "priority": 0,
            "backend": "lm",
            "max-attempts": 2,
            "public": False,
            **more,
        }

    return {
        "revision": revision,
        "routes": [route("stream", "streaming", resumable=True), route("plain", "unsafe")],
        "backends": [{"name": "lm", "health-check": "/health", "max-connections": 100}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "idle-timeout-ms": 15000},
        "tenants": [{"name": "estate-1", "api-keys": [API_KEY]}],
    }


def main() -> int:
    """Start a fleet, serve a request at each router, and end it."""
    parser = argparse.ArgumentParser(prog="rig.fleet", description="A router fleet on loopback.")
    parser.add_argument("--keepers", type=int, default=3)
    parser.add_argument("--routers", type=int, default=2)
    parser.add_argument("--workers", type=int, default=2)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(options.keepers, options.routers, Path(folder))
        try:
            fleet.start_all()
            for number in range(options.workers):
                fleet.add_worker(f"worker-{number}")
            print("configuration:", fleet.replace(example_config(1), 0))
            for router in range(options.routers):
                wait_for(lambda router=router: fleet.ready(router), f"router {router}")  # type: ignore[misc]
                status, headers, body = fleet.request(router, "/stream/1")
                print(f"router {router}: {status} {headers.get('x-pebbledrift-response-seal')} {body!r}")
            print("status:", json.dumps(fleet.control(0, "GET", "/-/status")[1], indent=1))
        finally:
            fleet.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
