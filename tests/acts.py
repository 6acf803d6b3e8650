"""What stand-ins do with a job, and a request as a client writes it: shared by the tests of real nodes."""

from __future__ import annotations

from tests.node import Server, Worker


def serve(worker: Worker, request: Server, job: str) -> None:
    """Take a job and do it at once."""
    request.reply(202)
    worker.call(job, "started")
    worker.call(job, "done", result=f"ran {job}")


def keep(worker: Worker, request: Server, job: str) -> None:
    """Take a job, and say nothing more of it."""
    request.reply(202)


def post(job: str, name: str = "pesagem", budget: float = 5.0, more: str = "") -> bytes:
    """One request as a client writes it."""
    head = f"POST /{name}?sid=ff HTTP/1.1\r\nHost: a\r\nX-Call-Id: {job}\r\nX-Budget: {budget}\r\n"
    return f"{head}Idempotency-Key: {job}\r\n{more}Content-Length: 4\r\n\r\nload".encode()
