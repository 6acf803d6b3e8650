"""In the kernel's place: makes system calls of a process fail, fall short, or come late, by a plan.

Put on the path of a process (PYTHONPATH) with FAULT_PLAN naming a JSON file: a list of objects with

- `call`: accept, connect, send or recv;
- `port`: of the peer; without it any. For accept it is not looked at;
- `skip` and `times`: the first calls that go well, and then how many do not;
- `errno` (a name), `short` (at most so many bytes), or `hold_ms` (the process stands still before the call).

FAULT_WALL names a file with seconds by which the wall clock is stepped; it is read anew at each look at it.
"""

from __future__ import annotations

import errno
import json
import os
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

Plan = list[dict[str, Any]]


def _due(plan: Plan, call: str, port: Callable[[], int | None]) -> dict[str, Any] | None:
    """The first entry that this call is for, counted."""
    for entry in plan:
        if entry["call"] != call:
            continue
        if "port" in entry and entry["port"] != port():
            continue
        entry["seen"] = entry.get("seen", 0) + 1
        at = entry["seen"] - entry.get("skip", 0)
        if 1 <= at <= entry.get("times", 1):
            return entry
    return None


def _fail(entry: dict[str, Any]) -> None:
    if "hold_ms" in entry:
        time.sleep(entry["hold_ms"] / 1000)
    if "errno" in entry:
        number = getattr(errno, entry["errno"])
        raise OSError(number, os.strerror(number))


def _peer_port(connection: socket.socket) -> int | None:
    try:
        return int(connection.getpeername()[1])
    except (OSError, IndexError, TypeError):
        return None


def _install(plan: Plan) -> None:
    kind: Any = socket.socket
    accept, connect, send, recv_into = kind.accept, kind.connect, kind.send, kind.recv_into

    def faulty_accept(self: Any) -> Any:
        if entry := _due(plan, "accept", lambda: None):
            _fail(entry)
        return accept(self)

    def faulty_connect(self: Any, address: Any) -> Any:
        port = address[1] if isinstance(address, tuple) else None
        if entry := _due(plan, "connect", lambda: port):
            _fail(entry)
        return connect(self, address)

    def faulty_send(self: Any, data: Any, *rest: Any) -> Any:
        if entry := _due(plan, "send", lambda: _peer_port(self)):
            _fail(entry)
            if "short" in entry:
                return send(self, bytes(data)[: entry["short"]], *rest)
        return send(self, data, *rest)

    def faulty_recv_into(self: Any, buffer: Any, *rest: Any) -> Any:
        if entry := _due(plan, "recv", lambda: _peer_port(self)):
            _fail(entry)
            if "short" in entry:
                return recv_into(self, memoryview(buffer)[: entry["short"]])
        return recv_into(self, buffer, *rest)

    kind.accept, kind.connect, kind.send, kind.recv_into = (
        faulty_accept,
        faulty_connect,
        faulty_send,
        faulty_recv_into,
    )


def _step_wall(path: Path) -> None:
    true = time.time
    time.time = lambda: true() + float(path.read_text() or 0)


if name := os.environ.get("FAULT_PLAN"):
    _install(json.loads(Path(name).read_text()))
if name := os.environ.get("FAULT_WALL"):
    _step_wall(Path(name))
