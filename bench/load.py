"""Load on one node, with stand-ins for clients, workers and discovery on loopback: python -m bench.load.

Open loop: a job is due at a time that is drawn beforehand, whatever the node does, and its latency counts
from then (no coordinated omission). Closed loop, to find where a node saturates: each connection asks again
as soon as it is answered. Latencies go into HDR histograms. Every run is bounded in time and ends by itself.

What is measured is one line of JSON; bench/cores.py runs many and writes the tables of docs/cores.md.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing as mp
import os
import random
import re
import socket
import subprocess
import sys
import tempfile
import time
from collections import OrderedDict, deque
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram

from tests.node import SETTINGS

HISTOGRAM = (1, 60_000_000, 3)  # microseconds, three digits
KEPT = 4  # keys that a worker's cache holds
HEAD = re.compile(rb"X-Call-Id: (\S+)", re.I)
LENGTH = re.compile(rb"content-length: (\d+)", re.I)


class Worker(asyncio.Protocol):
    """One connection to a stand-in worker; the worker itself is `state`."""

    def __init__(self, state: WorkerState) -> None:
        self.state = state
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:end]
            length = LENGTH.search(head)
            size = int(length[1]) if length else 0
            if len(self.buffer) < end + 4 + size:
                return
            self.buffer = self.buffer[end + 4 + size :]
            if head.startswith(b"POST"):
                found = HEAD.search(head)
                self.transport.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")  # type: ignore[attr-defined]
                key = head.partition(b"sid=")[2].partition(b" ")[0]
                self.state.take(found[1].decode() if found else "", key)
            else:
                self.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")  # type: ignore[attr-defined]


class Caller(asyncio.Protocol):
    """One kept connection on which a worker calls back; calls are pipelined by none, queued by all."""

    def __init__(self) -> None:
        self.waiting: deque[bytes] = deque()
        self.busy = False
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def call(self, data: bytes) -> None:
        if self.busy or self.transport is None:
            self.waiting.append(data)
        else:
            self.busy = True
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self.busy = False
            if self.waiting:
                self.busy = True
                self.transport.write(self.waiting.popleft())


class WorkerState:
    """A worker: slots, a queue served in order, and a cache of the last keys."""

    def __init__(self, uid: str, slots: int, service_s: float, callers: int) -> None:
        self.uid, self.slots, self.service_s = uid, slots, service_s
        self.callers = [Caller() for _ in range(callers)]
        self.turn = 0
        self.busy = 0
        self.queue: deque[str] = deque()
        self.cache: OrderedDict[bytes, None] = OrderedDict()
        self.jobs = self.hits = 0

    def take(self, job: str, key: bytes) -> None:
        self.jobs += 1
        self.hits += key in self.cache
        self.cache[key] = None
        self.cache.move_to_end(key)
        if len(self.cache) > KEPT:
            self.cache.popitem(last=False)
        if self.busy < self.slots:
            self.run(job)
        else:
            self.queue.append(job)

    def run(self, job: str) -> None:
        self.busy += 1
        self.call(job, "started")
        asyncio.get_running_loop().call_later(self.service_s, self.done, job)

    def done(self, job: str) -> None:
        self.busy -= 1
        self.call(job, "done")
        if self.queue:
            self.run(self.queue.popleft())

    def call(self, job: str, state: str) -> None:
        body = b'{"id":"%s","from":"%s","state":"%s","result":"r"}' % (
            job.encode(),
            self.uid.encode(),
            state.encode(),
        )
        self.turn += 1
        self.callers[self.turn % len(self.callers)].call(
            b"POST /v1/job-events HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )


def workers(pipe: Pipe, first: int, count: int, slots: int, service_s: float, callers: int) -> None:
    """A process with some stand-in workers; by the pipe it tells their ports and hears the node's address."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        states = [WorkerState(f"w-{first + i}", slots, service_s, callers) for i in range(count)]
        ports = []
        for state in states:
            server = await loop.create_server(lambda s=state: Worker(s), "127.0.0.1", 0)  # type: ignore[misc]
            ports.append((state.uid, server.sockets[0].getsockname()[1]))
        pipe.send(ports)
        host, port = await loop.run_in_executor(None, pipe.recv)
        for state in states:
            for caller in state.callers:
                await loop.create_connection(lambda c=caller: c, host, port)  # type: ignore[misc]
        pipe.send("ready")
        await loop.run_in_executor(None, pipe.recv)
        pipe.send((sum(s.jobs for s in states), sum(s.hits for s in states)))

    uvloop.run(main())


class Client(asyncio.Protocol):
    """One client connection; `told` is called with each answer's status."""

    def __init__(self, told: Any) -> None:
        self.told = told
        self.transport: Any = None
        self.buffer = b""
        self.job: tuple[float, bytes] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        length = LENGTH.search(self.buffer[:end])
        size = int(length[1]) if length else 0
        if len(self.buffer) >= end + 4 + size:
            status = int(self.buffer[9:12])
            self.buffer = self.buffer[end + 4 + size :]
            self.told(self, status)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.job is not None:
            self.told(self, 0)


def clients(pipe: Pipe, number: int, connections: int, rate: float, seconds: float, keys: int) -> None:
    """A process with some clients. rate 0: closed loop. Tells counts by status and the histogram, encoded."""
    chance = random.Random(number)
    weights = [1 / (k + 1) ** 0.6 for k in range(keys)]
    drawn = iter(chance.choices(range(keys), weights, k=4096) * 1000)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        host, port = await loop.run_in_executor(None, pipe.recv)
        histogram = HdrHistogram(*HISTOGRAM)
        statuses: dict[int, int] = {}
        free: deque[Client] = deque()
        due: deque[float] = deque()
        began = loop.time()
        warm, end = began + min(1.5, seconds / 4), began + seconds
        count = 0

        def begin(client: Client, since: float) -> None:
            nonlocal count
            count += 1
            client.job = (since, b"")
            client.transport.write(
                b"POST /pesagem?sid=%x HTTP/1.1\r\nHost: n\r\nX-Call-Id: c%d-%d\r\nX-Caller: acme\r\n"
                b"X-Budget: 5.0\r\nX-Call-Cost: 5000\r\nContent-Length: 0\r\n\r\n"
                % (next(drawn) + 1, number, count)
            )

        def told(client: Client, status: int) -> None:
            assert client.job is not None
            now = loop.time()
            since, client.job = client.job[0], None
            if warm <= now < end:
                statuses[status] = statuses.get(status, 0) + 1
                if status == 200:
                    histogram.record_value(int((now - since) * 1e6))
            if status == 0:
                return
            if now >= end:
                return
            if rate == 0:
                begin(client, now)
            elif due:
                begin(client, due.popleft())
            else:
                free.append(client)

        for _ in range(connections):
            _, client = await loop.create_connection(lambda: Client(told), host, port)
            free.append(client)
        pipe.send("ready")
        await loop.run_in_executor(None, pipe.recv)
        began = loop.time()
        warm, end = began + min(1.5, seconds / 4), began + seconds
        if rate == 0:
            while free:
                begin(free.popleft(), loop.time())
            await asyncio.sleep(seconds)
        else:
            at = began
            while at < end:
                at += chance.expovariate(rate)
                wait = at - loop.time()
                if wait > 0.0005:
                    await asyncio.sleep(wait)
                if free:
                    begin(free.popleft(), at)
                else:
                    due.append(at)
        await asyncio.sleep(0.3)
        pipe.send((statuses, histogram.encode(), end - warm))

    uvloop.run(main())


async def discover(targets: list[dict[str, Any]], port_told: Any) -> None:
    """Discovery: the whole list, then an empty line every second."""
    line = json.dumps({"rev": 1, "all": True, "targets": targets}).encode() + b"\n"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))
        try:
            while True:
                await writer.drain()
                await asyncio.sleep(1.0)
                writer.write(b"1\r\n\n\r\n")
        except OSError:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port_told(server.sockets[0].getsockname()[1])
    await server.serve_forever()


def cpu_and_memory(pid: int) -> tuple[float, float]:
    """CPU seconds and memory in MB (shared pages counted in parts: PSS) of a process and its children."""
    seconds, memory = 0.0, 0.0
    found = [pid, *map(int, Path(f"/proc/{pid}/task/{pid}/children").read_text().split())]
    for each in found:
        fields = Path(f"/proc/{each}/stat").read_text().rpartition(")")[2].split()
        seconds += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        text = Path(f"/proc/{each}/smaps_rollup").read_text()
        memory += int(re.search(r"Pss:\s+(\d+)", text)[1]) / 1024  # type: ignore[index]
    return seconds, memory


def call(address: str, word: str) -> str:
    """One call of an operator."""
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), 5.0) as caller:
        caller.sendall(word.encode() + b"\n")
        return b"".join(iter(lambda: caller.recv(4096), b"")).decode()


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """One run; everything that was started has ended when it returns."""
    context = mp.get_context("fork")
    processes: list[Any] = []
    node: subprocess.Popen[str] | None = None
    folder = tempfile.TemporaryDirectory()

    def start(target: Any, *given: Any) -> Pipe:
        ours, theirs = context.Pipe()
        process = context.Process(target=target, args=(theirs, *given), daemon=True)
        process.start()
        processes.append(process)
        return ours

    try:
        each = arguments.workers // arguments.worker_processes
        busy = [
            start(workers, i * each, each, arguments.slots, arguments.service_ms / 1000, arguments.callers)
            for i in range(arguments.worker_processes)
        ]
        place = {"az": "caxias", "model": "serie-a", "state": "in_service"}
        targets = [
            {"uid": uid, "endpoint": f"127.0.0.1:{port}", **place}
            for pipe in busy
            for uid, port in pipe.recv()
        ]
        told = context.Queue()
        discovery = context.Process(target=lambda: asyncio.run(discover(targets, told.put)), daemon=True)
        discovery.start()
        processes.append(discovery)
        config = {
            "name": "bench",
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{told.get()}",
            "settings": SETTINGS,
            "limits": {"memory_mb": 2048, "sockets": 16_384},
            "log_level": "info",
        }
        if arguments.cores > 1:
            config["cores"] = {
                "processes": arguments.cores,
                "slots": arguments.slots_form,
                "cold": arguments.slots_form,
                "accept": arguments.accept,
            }
        path = Path(folder.name) / "config.json"
        path.write_text(json.dumps(config))
        command = [*arguments.wrap.split(), sys.executable, "-m", "pebbledrift", "--config", str(path)]
        journal = Path(arguments.log or Path(folder.name) / "log")
        journal.touch()
        with journal.open("w") as log:
            environ = {**os.environ, "TMPDIR": folder.name}
            node = subprocess.Popen(command, stderr=log, env=environ, text=True)
        text = ""
        for _ in range(600):
            time.sleep(0.05)
            text = journal.read_text()
            if "event=started" in text or node.poll() is not None:
                break
        host, port = re.findall(r"event=listening address=(\S+):(\d+)", text)[-1]
        admin = re.findall(r"event=operators address=(\S+)", text)[0]
        address = (host, int(port))
        for pipe in busy:
            pipe.send(address)
        for pipe in busy:
            pipe.recv()
        callers = [
            start(
                clients,
                i,
                arguments.connections // arguments.client_processes,
                arguments.rate / arguments.client_processes,
                arguments.seconds,
                arguments.keys,
            )
            for i in range(arguments.client_processes)
        ]
        for pipe in callers:
            pipe.send(address)
        for pipe in callers:
            pipe.recv()
        while not call(admin, "STATUS").startswith("SUCCESS"):
            time.sleep(0.05)
        for pipe in callers:
            pipe.send("go")
        warm = min(1.5, arguments.seconds / 4)
        time.sleep(warm)
        cpu_before, _ = cpu_and_memory(node.pid)
        middle = (arguments.seconds - warm) / 2
        time.sleep(middle)
        began = time.perf_counter()
        call(admin, "METRICS")
        told_ms = 1000 * (time.perf_counter() - began)
        time.sleep(middle)
        cpu_after, memory = cpu_and_memory(node.pid)
        total = HdrHistogram(*HISTOGRAM)
        statuses: dict[int, int] = {}
        span = 0.0
        for pipe in callers:
            counted, encoded, span = pipe.recv()
            total.decode_and_add(encoded)
            for status, number in counted.items():
                statuses[status] = statuses.get(status, 0) + number
        jobs = hits = 0
        for pipe in busy:
            pipe.send("end")
            more, found = pipe.recv()
            jobs, hits = jobs + more, hits + found
        metrics = call(admin, "METRICS")
        passed = re.search(r"svc\.passed_on:(\d+)", metrics)
        answered = statuses.get(200, 0)
        return {
            "cores": arguments.cores,
            "form": arguments.slots_form if arguments.cores > 1 else "-",
            "rate": arguments.rate,
            "answers_s": round(answered / span),
            "others": {k: v for k, v in statuses.items() if k != 200},
            "cpu_ms": round(1000 * (cpu_after - cpu_before) / max(1, sum(statuses.values())), 3),
            "p50_ms": total.get_value_at_percentile(50) / 1000,
            "p99_ms": total.get_value_at_percentile(99) / 1000,
            "p999_ms": total.get_value_at_percentile(99.9) / 1000,
            "memory_mb": round(memory),
            "metrics_ms": round(told_ms, 1),
            "key_found": round(hits / max(1, jobs), 3),
            "passed_on": round(int(passed[1]) / max(1, jobs), 3) if passed else 0.0,
        }
    finally:
        if node is not None and node.poll() is None:
            node.terminate()
            try:
                node.wait(12)
            except subprocess.TimeoutExpired:
                node.kill()
        for process in processes:
            process.terminate()
        folder.cleanup()


def parser() -> argparse.ArgumentParser:
    """The run's parameters."""
    found = argparse.ArgumentParser(prog="bench.load", description="Load on one node, on loopback.")
    found.add_argument("--cores", type=int, default=1)
    found.add_argument("--slots-form", choices=("shared", "divided"), default="shared")
    found.add_argument("--accept", choices=("passed", "inherited"), default="passed")
    found.add_argument("--rate", type=float, default=0.0, help="jobs a second, open loop; 0: closed loop")
    found.add_argument("--seconds", type=float, default=6.0)
    found.add_argument("--connections", type=int, default=128)
    found.add_argument("--keys", type=int, default=200)
    found.add_argument("--workers", type=int, default=96)
    found.add_argument("--slots", type=int, default=4)
    found.add_argument("--service-ms", type=float, default=5.0)
    found.add_argument("--callers", type=int, default=2, help="connections of each worker for call-backs")
    found.add_argument("--client-processes", type=int, default=1)
    found.add_argument("--worker-processes", type=int, default=1)
    found.add_argument("--wrap", default="", help="a command before the node's own, such as a profiler")
    found.add_argument("--log", default="", help="keep the node's log there")
    return found


if __name__ == "__main__":
    print(json.dumps(run(parser().parse_args())))
