"""A worker whose connections come up only when the test says so: the bad order happens every time."""

from __future__ import annotations

import contextlib
import json
import re
import socket
import threading
from typing import Any

from tests.node import WAIT, ask, eventually

FULL_S = 0.2  # a connect that is not up by then found the accept queue full


class LateWorker:
    """Its accept queue is full until `open`: the kernel drops each SYN, and the next one comes later."""

    def __init__(self, uid: str, zone: str = "caxias") -> None:
        self.uid, self.zone, self.node = uid, zone, ""
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.received = b""
        self.opened = 0  # connections that were taken in since `open`
        self._blockers: list[socket.socket] = []
        while self._block():
            pass

    def _block(self) -> bool:
        blocker = socket.socket()
        blocker.settimeout(FULL_S)
        try:
            blocker.connect(self.listener.getsockname())
        except TimeoutError:
            blocker.close()
            return False
        self._blockers.append(blocker)
        return True

    def open(self) -> None:
        """Let connections come up from now on; each job is taken and done."""
        for blocker in self._blockers:
            accepted, _ = self.listener.accept()
            accepted.close()
            blocker.close()
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        self.listener.close()
        for blocker in self._blockers:
            blocker.close()

    def target(self, state: str = "in_service", **more: Any) -> dict[str, Any]:
        place = {"endpoint": self.address, "az": self.zone, "model": "serie-a"}
        return {"uid": self.uid, "state": state, **place, **more}

    def jobs(self) -> list[str]:
        """The ids of the jobs that came in whole."""
        return re.findall(r"(?i)x-call-id: (\S+)", self.received.decode("latin-1"))

    def header(self, name: str) -> str:
        found = re.search(rf"(?i){name}: (\S+)", self.received.decode("latin-1"))
        assert found is not None, self.received
        return found[1]

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self.listener.accept()
                self.opened += 1
                threading.Thread(target=self._take, args=(accepted,), daemon=True).start()

    def _take(self, connection: socket.socket) -> None:
        buffer = b""
        with contextlib.suppress(OSError):
            while data := connection.recv(65536):
                buffer += data
                self.received += data
                head, end, body = buffer.partition(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                if end and len(body) >= (int(length[1]) if length else 0):
                    buffer = b""
                    connection.sendall(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                    if found := re.search(rb"(?i)x-call-id: (\S+)", head):
                        told = {"id": found[1].decode(), "from": self.uid, "state": "done", "result": "late"}
                        ask(self.node, "POST", "/v1/job-events", json.dumps(told).encode())


def connecting(log: list[str], worker: LateWorker) -> None:
    """Wait until the node calls for a connection to a worker (log level `trace`)."""
    eventually(lambda: any("connect" in line and f"to={worker.address}" in line for line in log))


def read_answers(client: socket.socket, count: int) -> list[int]:
    """The statuses of so many answers on one connection, or of fewer where it ends before."""
    client.settimeout(WAIT)
    data = b""
    found: list[int] = []
    while len(found) < count:
        with contextlib.suppress(ConnectionError):
            if chunk := client.recv(65536):
                data += chunk
                found = [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3})", data)]
                continue
        break
    return found
