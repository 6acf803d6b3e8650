"""The platform's front: operations by HTTP, the workers' call-backs, and readiness."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Callable
from urllib.parse import parse_qs

from pebbledrift.config import Config
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.core.model import Answer, Operation, Verdict, Work
from pebbledrift.core.states import NodeStates
from pebbledrift.net.client_connection import ClientConnection
from pebbledrift.net.destinations import read_report
from pebbledrift.net.http import Message, wire
from pebbledrift.net.link import Fields
from pebbledrift.pool import worker_number
from spoolpier import interface as api

log = logging.getLogger(__name__)

ID = re.compile(r"[!-~]{1,128}\Z")
REPEAT_KEY = re.compile(r"[!-~]{1,256}\Z")
KEY = re.compile(r"[0-9A-Fa-f]{1,16}\Z")
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{0,30})?([eE][+-]?[0-9]{1,2})?\Z")
OUTCOMES = {
    "done": api.OutcomeKind.SERVED,
    "failed": api.OutcomeKind.ERROR,
    "returned": api.OutcomeKind.REFUSED,
    "lost": api.OutcomeKind.BROKEN,
}
STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 502}


class Rejected(Exception):
    """A request that is no operation: the status and why."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def number(text: str | None, name: str) -> float | None:
    """A header's finite number of at least 0, or None where it is absent."""
    if text is None:
        return None
    value = float(text) if NUMBER.match(text) else -1.0
    if not 0 <= value < 1e15:
        raise Rejected(400, f"{name}: not a number of at least 0")
    return value


class PlatformFront:
    """Handles what comes in at $GW_LISTEN."""

    def __init__(self, config: Config, engine: Engine, clock: Clock, states: NodeStates) -> None:
        self.config = config
        self.engine = engine
        self.clock = clock
        self.states = states
        self.taking = True  # after a SIGTERM and its second, operations get a busy reply
        self.classes = {name: i for i, name in enumerate(config.classes)}
        self.tenants = {name: i for i, name in enumerate(config.tenants)}
        self.elsewhere: Callable[[Fields, bytes], None] = lambda fields, body: None
        # passes a call-back to the process that owns its id; False where it cannot be passed on now
        self.to_owner: Callable[[str, bytes], bool] = lambda job, body: True
        self.owed: dict[ClientConnection, tuple[Operation, SocketRecipient]] = {}

    def handle(self, socket: ClientConnection, message: Message) -> None:
        path = message.second.partition("?")[0]
        try:
            if path == "/v1/job-events":
                if message.first != "POST":
                    raise Rejected(405, "POST only")
                self.called_back(bytes(message.body), 0)
                socket.answer(204, {})
            elif path == "/-/ready":
                if message.first != "GET":
                    raise Rejected(405, "GET only")
                socket.answer(200 if self.states.ready else 503, {})
            else:
                self._take(socket, message)
        except Rejected as rejected:
            log.info("rejected", extra={"status": rejected.status, "reason": str(rejected)})
            socket.reject(rejected.status, str(rejected).encode())

    def gone(self, socket: ClientConnection) -> None:
        owed = self.owed.pop(socket, None)
        if owed is not None:
            self.engine.recipient_gone(*owed)

    def _take(self, socket: ClientConnection, message: Message) -> None:
        operation = self._operation(message)
        # the client's time runs from its sending: part of it is over where the request had to wait its turn
        operation.expires_ms -= 1000 * socket.waited()
        recipient = SocketRecipient(self, socket)
        operation.recipients.append(recipient)
        if not self.taking or socket.spare:
            # the reserve of sockets is for call-backs; nothing of the operation has run
            self.engine.refuse(operation, "too many sockets" if self.taking else "stopping")
            return
        self.owed[socket] = operation, recipient
        self.engine.submit(operation)

    def _operation(self, message: Message, adopted: bool = False) -> Operation:
        headers = message.headers
        path, _, query = message.second.partition("?")
        root, _, rest = path.partition("/")
        name = rest.partition("/")[0]
        if root or name not in self.classes or "#" in message.second:
            raise Rejected(404, "no such class")
        if message.first != "POST":
            raise Rejected(405, "POST only")
        job = headers.get("x-call-id", "")
        if not ID.match(job):
            raise Rejected(400, "X-Call-Id: missing or malformed")
        if self.engine.is_known(job) and not adopted:
            # guards the owner of an id: a foreign request under it is not run and gets none of its answer
            raise Rejected(409, "X-Call-Id: in use")
        job_class = self.classes[name]
        kind = self.config.settings.classes[job_class]
        repeat_key = headers.get("idempotency-key")
        if kind.effect is api.Effect.KEYED and not repeat_key:
            raise Rejected(400, "Idempotency-Key: missing")
        if repeat_key is not None and not REPEAT_KEY.match(repeat_key):
            raise Rejected(400, "Idempotency-Key: malformed")
        budget = number(headers.get("x-budget"), "X-Budget")
        grace = kind.deadline_ms if budget is None else min(budget * 1000, 2 * kind.deadline_ms)
        cost = number(headers.get("x-call-cost"), "X-Call-Cost")
        info: dict[str, str] = {}
        for pair in headers.get("x-call-info", "").split(","):
            key, _, value = pair.partition("=")
            info[key.strip()] = value.strip()
        sid = parse_qs(query).get("sid", [""])[0]
        if sid and not KEY.match(sid):
            raise Rejected(400, "sid: not a key")
        slots = number(info.get("needs") or info.get("slots"), "slots")
        return Operation(
            id=job,
            job_class=job_class,
            work=Work(message.second, bytes(message.body), repeat_key),
            expires_ms=self.clock.now_ms() + grace,
            recipients=[],
            tenant=self.tenants.get(headers.get("x-caller", "")),
            key=int(sid, 16) if sid else None,
            hint_ms=None if cost is None else cost / 1000,
            slots=slots or 1.0,
            memory=number(info.get("memory"), "memory"),
            repeat=headers.get("x-again") == "1",
        )

    def adopt(self, socket: ClientConnection, message: Message, job: Fields) -> None:
        try:
            operation = self._operation(message, adopted=True)
        except Rejected as rejected:
            log.error("not adopted", extra={"reason": str(rejected)})
            socket.reject(502)
            return
        operation.expires_ms = self.clock.now_ms() + float(job["left_ms"])
        recipient = SocketRecipient(self, socket)
        operation.recipients.append(recipient)
        self.owed[socket] = operation, recipient
        self.engine.adopt(operation, job["module"])

    def hand_over(self) -> None:
        """Give the jobs that workers have taken to the process that comes after, with their connections."""
        for socket, (operation, _) in list(self.owed.items()):
            message = socket.current
            known = self.engine.export_state(operation)
            if message is None or socket.parser.inside or known is None:
                continue
            job = {"left_ms": operation.expires_ms - self.clock.now_ms(), "module": known}
            if socket.give({"kind": "job", "used": True, "age": 0.0, "job": job}, wire(message)):
                del self.owed[socket]
                self.engine.release(operation)

    def called_back(self, body: bytes, passed: int) -> None:
        """A worker's call-back: taken in early, twice or late, and answered alike.

        One of a job that is not known here is passed to the other process of an upgrade; it comes back once
        at most, where the job has gone the other way meanwhile.
        """
        try:
            news = json.loads(body)
            job, uid, state = news["id"], news["from"], news["state"]
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise Rejected(400, "malformed call-back") from error
        if not isinstance(job, str) or not isinstance(uid, str) or not isinstance(state, str):
            raise Rejected(400, "malformed call-back")
        attempt = self.engine.latest_attempt(job, worker_number(uid))
        if attempt is None:
            if passed < 2:
                self.elsewhere({"kind": "back", "passed": passed + 1}, body)
                if not self.to_owner(job, body):
                    raise Rejected(503, "not now")  # the worker calls again
            return
        if state in OUTCOMES:
            result = news.get("result", "")
            body = result.encode() if isinstance(result, str) else json.dumps(result).encode()
            self.engine.attempt_ended(attempt, OUTCOMES[state], body, read_report(news.get("load")))
        elif state == "started":
            self.engine.progress_reported(attempt, api.Progress.STARTED, 0.0)
        elif state == "running":
            share = news.get("share")
            done = float(share) if isinstance(share, int | float) else 0.0
            self.engine.progress_reported(attempt, api.Progress.SHARE_DONE, done)


class SocketRecipient:
    """A client on a front socket."""

    def __init__(self, front: PlatformFront, socket: ClientConnection) -> None:
        self.front = front
        self.socket = socket

    def present(self) -> bool:
        return self.socket.present()

    def answered(self, operation: Operation, answer: Answer) -> None:
        self.front.owed.pop(self.socket, None)
        headers = {}
        if answer.verdict is Verdict.REFUSED and answer.retry_after_ms > 0:
            headers["Retry-After"] = f"{answer.retry_after_ms / 1000:.3f}"
        body = answer.result if answer.verdict is Verdict.SERVED else answer.reason.encode()
        if answer.id_in_use:
            self.socket.reject(409, body)
        else:
            self.socket.answer(STATUS[answer.verdict], headers, body)
