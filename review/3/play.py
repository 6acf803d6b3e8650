"""Streams that a worker breaks off within an event, on a route whose streams may be resumed.

Windows of `garble` as the kinds have it: half of the model workers break off 2 in 100 of their answers for
5 s. The broken answer ends in the middle of its first, second or third event, in turn, and its connection is
reset.
"""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from collections import Counter
from pathlib import Path

from fleet import (
    TROUBLE,
    Fleet,
    Message,
    Record,
    Worker,
    chunk,
    client_headers,
    configuration,
    encode_answer,
    encode_request,
    read_message,
    route,
    run_case,
)

WORKERS, SLOTS = 6, 48
TROUBLED = 3  # of the workers: garble has share 0.5
EVERY = 51  # answer of such a worker is broken: garble, of this variant, has x 0.02
WINDOWS = [(2.0, 7.0), (12.0, 17.0), (22.0, 27.0), (32.0, 37.0)]  # garble lasts for 5 s
LENGTH_S = 40.0
STREAMS_PER_S = 40.0
EVENTS = 6
DEADLINE_MS = 15000


class Case:
    """The state of one play."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.began = 0.0
        self.answers: Counter[str] = Counter()  # by troubled worker, within windows
        self.broken = 0
        self.faults: list[str] = []
        self.statuses: Counter[str] = Counter()

    def in_window(self) -> bool:
        at = asyncio.get_running_loop().time() - self.began
        return any(start <= at < end for start, end in WINDOWS)

    def breaks_at(self, worker: Worker) -> int | None:
        """The event in whose middle this answer ends; None for a sound answer."""
        if not TROUBLE or int(worker.name.rpartition("-")[2]) >= TROUBLED or not self.in_window():
            return None
        self.answers[worker.name] += 1
        if self.answers[worker.name] % EVERY:
            return None
        self.broken += 1
        return (self.broken - 1) % 3 + 1

    async def stream(self, worker: Worker, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer with a stream, from behind Last-Event-Id where there is one."""
        identity = worker.identity(request)
        request_id = identity["X-Pebbledrift-Request-Id"]
        last = int(request.headers.get("last-event-id", "0"))
        breaks_at = self.breaks_at(worker)
        self.record.note("ran", worker=worker.name, id=request_id, behind=last)
        await asyncio.sleep(0.02)
        writer.write(encode_answer(200, {**identity, "Content-Type": "text/event-stream"}, None))
        for number in range(last + 1, EVENTS + 1):
            event = piece(request_id, number, worker.name)
            if number == breaks_at:
                half = event[: len(event) // 2]
                writer.write(chunk(half))
                await writer.drain()
                self.record.note("broke off", worker=worker.name, id=request_id, event=number, sent=half)
                await asyncio.sleep(0.005)
                reset(writer)
                return False
            writer.write(chunk(event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True

    async def client(self, fleet: Fleet, number: int) -> None:
        """Send one request, and judge its answer."""
        request_id = f"{number:08x}"
        reader, writer = await asyncio.open_connection(fleet.hosts[number % len(fleet.hosts)], fleet.front)
        headers = client_headers(
            request_id,
            DEADLINE_MS,
            **{
                "X-Pebbledrift-Model": "m",
                "X-Pebbledrift-Token-Count": "220,200",
                "X-Pebbledrift-Prompt-Prefix": f"{number % 20:x}:48,{number % 72 + 256:x}:31,{number:x}f:141",
            },
        )
        writer.write(encode_request("POST", f"/chat/{number}", headers, b"{}"))
        self.record.note("sent", id=request_id)
        answer = await read_message(reader)
        writer.close()
        status = "none" if answer is None else answer.start[1] + ("" if answer.complete else " cut")
        self.statuses[status] += 1
        self.record.note("answered", id=request_id, status=status)
        if answer is not None and answer.start[1] == "200" and answer.complete:
            fault = fault_of(request_id, answer.body)
            if fault:
                self.faults.append(request_id)
                self.record.note("ORDER broken", id=request_id, fault=fault, body=answer.body)


def piece(request_id: str, number: int, worker: str) -> bytes:
    """One event of a stream."""
    return f"id: {number}\ndata: piece {number} of {request_id} by {worker}\n\n".encode()


def fault_of(request_id: str, body: bytes) -> str:
    """What is wrong with a complete stream: a piece is missing, twice there, or joined from two runs."""
    expected = 1
    for event in body.split(b"\n\n")[:-1]:
        if not re.fullmatch(
            rf"id: {expected}\ndata: piece {expected} of {request_id} by lm-\d+".encode(), event
        ):
            return f"event {expected} is {event!r}"
        expected += 1
    return "" if expected == EVENTS + 1 and body.endswith(b"\n\n") else f"{expected - 1} of {EVENTS} events"


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def play(folder: Path, record: Record) -> bool:
    """Play the case; whether the rule was broken."""
    case = Case(record)
    chat = route(
        "chat",
        "streaming",
        "taller-asistente",
        **{"resumable": True, "max-attempts": 2, "timeout-ms": DEADLINE_MS, "priority": 0, "gap_aim_ms": 200},
    )
    engine = {"slots": SLOTS, "kv-cache-tokens": 305000, "models": [{"name": "m"}]}
    backend = {
        "name": "taller-asistente",
        "health-check": "/health",
        "max-connections": 320,
        "engine": engine,
    }
    fleet = Fleet(folder, config=configuration(1, [chat], [backend]))
    try:
        for number in range(WORKERS):
            await fleet.add_worker(f"lm-{number}", "taller-asistente", SLOTS, case.stream)
        await fleet.start()
        await fleet.wait_ready()
        loop = asyncio.get_running_loop()
        case.began = loop.time()
        clients = []
        number = 0
        while (at := loop.time() - case.began) < LENGTH_S:
            while number < at * STREAMS_PER_S:
                number += 1
                clients.append(asyncio.create_task(case.client(fleet, number)))
            await asyncio.sleep(0.005)
        await asyncio.wait(clients, timeout=DEADLINE_MS / 1000)
    finally:
        await fleet.close()
    sums = f"answers {dict(case.statuses)}, broken off by workers {case.broken}"
    record.note("sum", what=sums, faults=len(case.faults))
    print(f"{sums}, complete streams at fault {len(case.faults)}")
    return bool(case.faults)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
