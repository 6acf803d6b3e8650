"""Nodes as processes: started, killed, stopped, continued and ended by their own handles."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
import time
from asyncio.subprocess import Process
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rig.links import Place

START_S = 20.0
FRONT_S = 0.4  # after SIGTERM clients come to a node no more: it says that it is not ready
LINES = 4000  # of a node's log that are kept
ADDRESSES = re.compile(r"event=(peers|operators|listening|storing) address=([\d.]+):(\d+)")


class NodeProcess:
    """One node under its name; it may be started again and again."""

    def __init__(self, name: str, folder: Path, config: dict[str, Any]) -> None:
        self.name, self.config = name, config
        self.path = folder / f"{name}.json"
        self.process: Process | None = None
        self.stopped = False
        self.ending: float | None = None  # since when it was told to end
        self.log: list[str] = []
        self.places: dict[str, Place] = {}
        self.lives = 0
        self.fault = ""  # the named point at which the next life is killed (store/points.py)
        self.line: Callable[[str, str], None] = lambda name, text: None
        self._reading: asyncio.Task[None] | None = None
        self._told = asyncio.Event()

    @property
    def running(self) -> bool:
        """Whether the process is there, stopped or not."""
        return self.process is not None and self.process.returncode is None

    async def start(self, **changes: Any) -> None:
        """Start, and wait until it serves."""
        assert not self.running, self.name
        self.path.write_text(json.dumps({**self.config, **changes}))
        environ = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environ["TMPDIR"] = str(self.path.parent)
        environ["PEBBLEDRIFT_FAULT"], self.fault = self.fault, ""
        self._told.clear()
        self.places.clear()
        self.lives += 1
        self.ending = None
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pebbledrift",
            "--config",
            str(self.path),
            stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
            env=environ,
        )
        self._reading = asyncio.create_task(self._read(self.process))
        await asyncio.wait_for(self._told.wait(), START_S)
        if not self.running and "listening" not in self.places:
            raise RuntimeError(f"{self.name} did not start:\n" + "".join(self.log[-20:]))

    def reload(self, **changes: Any) -> None:
        """Have it read another configuration, by SIGHUP."""
        self.path.write_text(json.dumps({**self.config, **changes}))
        self.signal(signal.SIGHUP)

    async def _read(self, process: Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode(errors="replace"):
            self.log.append(line)
            del self.log[:-LINES]
            if found := ADDRESSES.search(line):
                self.places[found[1]] = (found[2], int(found[3]))
            if "event=started node=" in line:
                self._told.set()
            self.line(self.name, line)
        await process.wait()
        self._told.set()

    @property
    def takes_clients(self) -> bool:
        """Whether a front would send clients to it."""
        ended = self.ending is not None and time.monotonic() - self.ending > FRONT_S
        return self.running and not self.stopped and not ended and "listening" in self.places

    def signal(self, number: int) -> None:
        """Send a signal to this process and to no other."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        if number == signal.SIGTERM:
            self.ending = time.monotonic()
        self.stopped = number == signal.SIGSTOP or (self.stopped and number != signal.SIGCONT)

    async def end(self, number: int) -> int | None:
        """A signal that ends it, and its exit code."""
        if not self.running:
            return None
        assert self.process is not None
        if self.stopped:
            self.signal(signal.SIGCONT)
        self.signal(number)
        code = await asyncio.wait_for(self.process.wait(), START_S)
        if self._reading is not None:
            await self._reading
        return code

    async def call(self, line: str) -> list[str]:
        """One call of an operator; empty where there is no answer."""
        place = self.places.get("operators")
        if place is None or not self.running or self.stopped:
            return []
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(*place)
                writer.write(line.encode() + b"\n")
                answer = await reader.read()
                writer.close()
                return answer.decode().splitlines()
        except (OSError, TimeoutError):
            return []
