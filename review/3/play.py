"""A configuration raises `max-body-bytes` while clients keep their connections.

Clients hold connections to all routers and send small requests on them. One change of the configuration
raises the limit of a body from 64 KiB to 4 MiB. More than `config-ms` after its acknowledgement each client
sends a request of 110,000 bytes, as the configuration in force allows, on the connection that it has.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path

from fleet import (
    BOUNDS,
    TROUBLE,
    CannotRunError,
    Fleet,
    Message,
    Record,
    Worker,
    client_headers,
    configuration,
    encode_answer,
    encode_request,
    read_message,
    route,
    run_case,
)

CLIENTS = 24
WORKERS, SLOTS = 3, 6
SMALL, LARGE = (
    600,
    110_000,
)  # bytes of a body: the mean of a ping and the most of a pack history in the site file
OLD_LIMIT, NEW_LIMIT = 65_536, 4_194_304
SMALL_ROUNDS, LARGE_ROUNDS, PAUSE_S = 8, 4, 0.5
CONFIG_S = BOUNDS["config-ms"] / 1000
MARGIN_S = 1.0  # beyond config-ms
DEADLINE_MS = 1500


class Case:
    """The state of one play."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.statuses: Counter[tuple[str, str]] = Counter()  # by size and status
        self.requests = 0
        self.in_force = asyncio.Event()  # set CONFIG_S and MARGIN_S after the acknowledgement

    async def serve(self, worker: Worker, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request at once."""
        identity = worker.identity(request)
        self.record.note("ran", worker=worker.name, id=identity["X-Pebbledrift-Request-Id"])
        writer.write(encode_answer(200, identity, b"served"))
        return True

    async def client(self, fleet: Fleet, number: int) -> None:
        """Hold a connection, and send requests on it; a new one where the router has closed it."""
        address = fleet.hosts[number % len(fleet.hosts)], fleet.front
        reader, writer = await asyncio.open_connection(*address)
        sizes = [SMALL] * SMALL_ROUNDS + [LARGE] * LARGE_ROUNDS
        for turn, size in enumerate(sizes):
            if size == LARGE:
                while not self.in_force.is_set():  # the connection goes on in use
                    await self.send(f"{number:04x}k{time.monotonic_ns():x}", SMALL, reader, writer)
                    await asyncio.sleep(PAUSE_S)
            if not await self.send(f"{number:04x}{turn:04x}", size, reader, writer):
                writer.close()
                reader, writer = await asyncio.open_connection(*address)
            await asyncio.sleep(PAUSE_S)
        writer.close()

    async def send(
        self, request_id: str, size: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request; whether the connection may be used again."""
        self.requests += 1
        self.record.note("sent", id=request_id, bytes=size)
        headers = client_headers(request_id, DEADLINE_MS)
        writer.write(encode_request("POST", f"/ping/{request_id}", headers, b"p" * size))
        answer = await read_message(reader)
        status = answer.start[1] if answer is not None and answer.complete else "none"
        seal = answer.headers.get("x-pebbledrift-response-seal", "") if answer is not None else ""
        self.statuses["large" if size == LARGE else "small", status] += 1
        self.record.note("answered", id=request_id, status=status, seal=seal)
        return answer is not None and answer.headers.get("connection", "") != "close"


async def play(folder: Path, record: Record) -> bool:
    """Play the case; whether the rule was broken."""
    case = Case(record)
    ping = route("ping", "unsafe", "kiosco-estado", **{"timeout-ms": DEADLINE_MS, "priority": 2})
    config = configuration(
        1, [ping], [{"name": "kiosco-estado", "health-check": "/health", "max-connections": 120}]
    )
    config["limits"]["max-body-bytes"] = OLD_LIMIT if TROUBLE else NEW_LIMIT
    fleet = Fleet(folder, config=config)
    try:
        for number in range(WORKERS):
            await fleet.add_worker(f"kiosk-{number}", "kiosco-estado", SLOTS, case.serve)
        await fleet.start()
        await fleet.wait_ready()
        clients = [asyncio.create_task(case.client(fleet, number)) for number in range(CLIENTS)]
        await asyncio.sleep(SMALL_ROUNDS * PAUSE_S / 2)
        if TROUBLE:
            change = {"revision": 3, "upsert": {"limits": {"max-body-bytes": NEW_LIMIT}}}
            if await fleet.update(change, 1) != 200:
                raise CannotRunError("the change was not taken")
            record.note("acknowledged", change=change)
        await asyncio.sleep(CONFIG_S + MARGIN_S)
        record.note("in force at all machines by the rules")
        case.in_force.set()
        await asyncio.wait(clients, timeout=30.0)
    finally:
        await fleet.close()
    denied = case.statuses["large", "413"]
    allowed = 5 + case.requests / 500
    sums = f"answers by size and status {dict(case.statuses)}"
    record.note("sum", what=sums, denied=denied, allowed=allowed)
    print(f"{sums}, denied {denied} of {case.requests}, allowed are {allowed:.1f}")
    return denied > allowed


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
