"""The beanstalkd front: tubes and jobs over the core's operations, and workers that reserve.

Tubes that the operator's file maps hold operations: the module decides which worker gets which. All other
tubes are plain: they hold the final answers, and any client may reserve from them as from any beanstalkd.
docs/beanstalk.md says how each command, time-out and error is mapped.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from pebbledrift.config import TUBE, BeanstalkConfig, Config, TubeConfig
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.core.model import Answer, Attempt, Operation, Verdict, Work
from pebbledrift.inventory import Host
from pebbledrift.net.beanstalk import BeanstalkSocket, whole
from pebbledrift.pool import worker_number
from spoolpier import interface as api

log = logging.getLogger(__name__)

WORKER_TUBE = "worker."  # a connection that watches worker.NAME is that worker of the inventory
RESULT_TUBE = "result."  # what the holder of job N puts here as result.N becomes the job's result
FOREVER_MS = 1e15
SOON_MS = 1000.0  # a reserve is answered DEADLINE_SOON in the last second of a job held


@dataclass(slots=True, eq=False)
class Job:
    """A job as beanstalkd clients see it. `mapping` is set in mapped tubes, `operation` once it has begun."""

    id: int
    tube: str
    body: bytes
    pri: int
    delay: int
    ttr: int
    created_ms: float
    state: str = "ready"  # ready, delayed, reserved, buried
    mapping: TubeConfig | None = None  # as it was at the put, whatever becomes of the tube
    operation: Operation | None = None
    attempt: Attempt | None = None
    holder: Session | None = None
    lost_by: Session | None = None  # held it until its time was up
    due_ms: float = 0.0  # end of the delay, or of the time to run
    timer: asyncio.TimerHandle | None = None
    result: bytes = b""
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, what: str) -> None:
        """Note one of what stats-job tells."""
        self.counts[what] = self.counts.get(what, 0) + 1


def _by_priority(job: Job) -> tuple[float, int]:
    return job.pri, job.id


def _by_time(job: Job) -> tuple[float, int]:
    return job.due_ms, job.id


class Session:
    """What a connection uses, watches, holds and waits for."""

    def __init__(self, socket: BeanstalkSocket, number: int) -> None:
        self.socket = socket
        self.number = number
        self.use = "default"
        self.watched: dict[str, None] = {"default": None}
        self.held: dict[int, Job] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.worker: ReservingWorker | None = None
        self.producer = self.reserver = False


class ReservingWorker:
    """A worker of the inventory as the core's destination: each waiting reserve is a free slot."""

    def __init__(self, front: BeanstalkFront, host: Host) -> None:
        self.front = front
        self.host = host
        self.number = worker_number(host.name)
        self.waiting: OrderedDict[Session, None] = OrderedDict()

    def send(self, attempt: Attempt) -> None:
        if not self.waiting:
            # the reserve has gone since the module counted it: nothing was handed out
            self.front.engine.attempt_ended(attempt, api.OutcomeKind.REFUSED, report=self.report())
            return
        session, _ = self.waiting.popitem(last=False)
        self.front.hand_out(attempt, session)

    def cancel(self, attempt: Attempt, on_acknowledged: Callable[[], None] | None = None) -> None:
        self.front.taken_back(attempt)
        if on_acknowledged is not None:
            on_acknowledged()

    def probe(self) -> None:
        self.front.engine.probe_ended(self.number, True, 0.0, self.report())

    def accepted(self, attempt: Attempt) -> bool:
        return False  # it ends with the connection, which this process holds

    def withdraw_unsent(self) -> None:
        """Nothing is ever under way: a job is handed out at once, or not at all."""

    def report(self) -> api.Report:
        """The waiting reserves as free slots."""
        return {"free_slots": float(len(self.waiting))}

    def changed(self) -> None:
        """Tell the module without being asked: news beats its next look."""
        self.probe()


class BeanstalkFront:
    """Carries out the commands; owns jobs, tubes and sessions."""

    def __init__(self, config: Config, beanstalk: BeanstalkConfig, engine: Engine, clock: Clock) -> None:
        self.config = config
        self.limits = config.limits
        self.engine = engine
        self.clock = clock
        self.taking = True
        self.tubes: dict[str, TubeConfig] = {t.name: t for t in beanstalk.tubes}
        self.jobs: dict[int, Job] = {}
        self.by_operation: dict[str, Job] = {}
        self.plain: OrderedDict[int, Job] = OrderedDict()
        self.plain_of: dict[str, dict[int, Job]] = {}
        self.buried: OrderedDict[int, Job] = OrderedDict()
        self.paused: dict[str, float] = {}
        self.workers: dict[str, ReservingWorker] = {}
        self.sessions: dict[BeanstalkSocket, Session] = {}
        self.reserving: OrderedDict[Session, None] = OrderedDict()
        # ids go on from the clock: a restart must not give an earlier life's number, or its answers, anew
        self.last_id = int(clock.now_ms())
        self.last_session = 0
        self.began_ms = clock.now_ms()
        self.counts: dict[str, int] = {}
        self.bytes = 0
        self.reply_deleted: Callable[[str], None] = lambda job: None
        # notes a job before it is acknowledged; OSError: it cannot be kept
        self.promised: Callable[[str, TubeConfig], None] = lambda job, tube: None
        self.never_begun: Callable[[str, TubeConfig], None] = lambda job, tube: None
        self._loop = asyncio.get_running_loop()
        self._commands: dict[str, tuple[int, Callable[[Session, list[str]], None]]] = {
            "use": (1, self._use),
            "watch": (1, self._watch),
            "ignore": (1, self._ignore),
            "reserve": (0, lambda s, a: self._reserve(s, None)),
            "reserve-with-timeout": (1, self._reserve_with_timeout),
            "reserve-job": (1, self._reserve_job),
            "delete": (1, self._delete),
            "release": (3, self._release),
            "bury": (2, self._bury),
            "touch": (1, self._touch),
            "peek": (1, self._peek),
            "peek-ready": (0, lambda s, a: self._peek_state(s, "ready")),
            "peek-delayed": (0, lambda s, a: self._peek_state(s, "delayed")),
            "peek-buried": (0, lambda s, a: self._peek_state(s, "buried")),
            "kick": (1, self._kick),
            "kick-job": (1, self._kick_job),
            "stats": (0, self._stats),
            "stats-job": (1, self._stats_job),
            "stats-tube": (1, self._stats_tube),
            "list-tubes": (0, lambda s, a: self._list(s, self._known_tubes())),
            "list-tube-used": (0, lambda s, a: s.socket.reply(f"USING {s.use}")),
            "list-tubes-watched": (0, lambda s, a: self._list(s, list(s.watched))),
            "pause-tube": (2, self._pause),
            "quit": (0, lambda s, a: s.socket.close()),
        }

    # -- the inventory

    def take_inventory(self, hosts: list[Host]) -> tuple[api.WorkerEntry, ...]:
        """Follow the inventory; the entries are for the module. A host that has left ends what it holds."""
        for host in hosts:
            known = self.workers.get(host.name)
            if known is None:
                self.workers[host.name] = ReservingWorker(self, host)
            else:
                known.host = host
        named = {h.name for h in hosts}
        for name in [n for n in self.workers if n not in named]:
            del self.workers[name]
        for session in self.sessions.values():
            self._bind(session)
        zones, kinds = self.config.zones, self.config.kinds
        return tuple(
            api.WorkerEntry(
                worker=worker_number(h.name),
                zone=zones.index(h.zone) if h.zone in zones else 0,
                cell=h.cell,
                kind=kinds.index(h.kind) if h.kind in kinds else 0,
                weight=h.weight,
                state=api.WorkerState.DRAINING if h.state == "draining" else api.WorkerState.UP,
            )
            for h in hosts
        )

    def _bind(self, session: Session) -> None:
        """A connection is the worker whose tube it watches."""
        found = None
        for tube in session.watched:
            name = tube.removeprefix(WORKER_TUBE)
            worker = self.workers.get(name) if name != tube else None
            if worker is not None and self._comes_from(session, worker.host.source):
                found = worker
        if found is session.worker:
            return
        if session.worker is not None:
            session.worker.waiting.pop(session, None)
        session.worker = found
        if found is not None and session in self.reserving:
            found.waiting[session] = None
            found.changed()

    # -- sockets

    def opened(self, socket: BeanstalkSocket) -> bool:
        if len(self.sessions) >= self.limits.beanstalk_sockets and not self._make_room():
            return False
        self.last_session += 1
        self.sessions[socket] = Session(socket, self.last_session)
        return True

    def _make_room(self) -> bool:
        """Guards the table against connections that say nothing: the oldest of them goes."""
        oldest = next((s for s in self.sessions if not s.spoken), None)
        if oldest is None or self._loop.time() - oldest.since < self.limits.young_ms / 1000:
            return False
        self.closed(oldest)
        oldest.close()
        return True

    def closed(self, socket: BeanstalkSocket) -> None:
        session = self.sessions.pop(socket, None)
        if session is None:
            return
        self._stop_waiting(session)
        for job in list(session.held.values()):
            if job.operation is None:
                self._ready_again(job)
            else:
                # the worker may have run it: the module decides, and a pesagem goes to no second one
                self._give_back(job, api.OutcomeKind.BROKEN)

    def command(self, socket: BeanstalkSocket, words: list[str]) -> None:
        known = self._commands.get(words[0])
        if known is None:
            socket.bad_line("UNKNOWN_COMMAND")
        elif len(words) - 1 != known[0]:
            socket.bad_line("BAD_FORMAT")
        else:
            socket.bad = 0
            self._count(f"cmd-{words[0]}")
            known[1](self.sessions[socket], words[1:])

    def put(self, socket: BeanstalkSocket, words: list[str], body: bytes) -> None:
        self._count("cmd-put")
        session = self.sessions[socket]
        session.producer = True
        pri, delay, ttr = (whole(w) or 0 for w in words[1:4])
        if session.use.startswith(RESULT_TUBE):
            self._put_result(session, body)
            return
        tube = self.tubes.get(session.use)
        if tube is None:
            socket.reply("NOT_FOUND")  # neither a mapped tube nor a result: nobody would ever run it
        elif not self.taking:
            socket.reply("DRAINING")
        elif not self.engine.room_for(len(body)) or self.bytes + len(body) > self.limits.held_bytes:
            socket.reply("OUT_OF_MEMORY")  # the busy reply of this protocol
        else:
            job = self._new_job(session.use, body, pri, delay, max(1, ttr))
            job.mapping = tube
            try:
                # guards what is acknowledged: it gets its answer even after a restart
                self.promised(self._operation_id(job), tube)
            except OSError:
                self._forget(job)
                socket.reply("OUT_OF_MEMORY")  # nothing of it has run, and a later try may be taken
                return
            self._count("total-jobs")
            if delay:
                self._set(job, "delayed", delay * 1000.0, self._delay_over)
            else:
                self._submit(job, tube)
            socket.reply(f"INSERTED {job.id}")

    # -- operations

    def _submit(self, job: Job, tube: TubeConfig) -> None:
        """The delay is over: the deadline runs from here."""
        kind = self.config.settings.classes[tube.job_class]
        key = self._key(tube, job.body)
        name = self.config.classes[tube.job_class]
        job.operation = operation = Operation(
            id=self._operation_id(job),
            job_class=tube.job_class,
            work=Work(f"/{name}" if key is None else f"/{name}?sid={key:016x}", job.body, f"job-{job.id}"),
            expires_ms=self.clock.now_ms() + kind.deadline_ms,
            recipients=[self],
            tenant=tube.tenant,
            key=key,
            hint_ms=tube.hint_ms or None,
            origin=job.tube,
        )
        self.by_operation[operation.id] = job
        self.engine.submit(operation)

    def _operation_id(self, job: Job) -> str:
        return f"{self.config.name}.{job.id}"

    @staticmethod
    def _key(tube: TubeConfig, body: bytes) -> int | None:
        """The field of a JSON body that names what the job is about, spread over 64 bits."""
        if not tube.key_field:
            return None
        try:
            value = json.loads(body)[tube.key_field]
        except (ValueError, KeyError, TypeError, RecursionError):
            return None
        return int.from_bytes(hashlib.blake2b(str(value).encode(), digest_size=8).digest(), "big")

    def present(self) -> bool:
        """A job that was put stays, whoever leaves."""
        return True

    def answered(self, operation: Operation, answer: Answer) -> None:
        """The single final answer: one job in the reply tube. What failed stays to be looked at, buried."""
        job = self.by_operation.pop(operation.id, None)
        if job is None:
            return
        self.post_answer(job.id, job.mapping, answer)
        if job.state == "reserved":
            self._unhold(job)
        if answer.verdict is Verdict.FAILED:
            self._set(job, "buried")
            self.buried[job.id] = job
            while len(self.buried) > self.limits.buried_jobs:
                self._forget(next(iter(self.buried.values())))
        else:
            self._forget(job)

    def take_tubes(self, tubes: list[TubeConfig]) -> None:
        """Follow the mapping; jobs taken in keep the class they came with."""
        self.tubes = {t.name: t for t in tubes}

    def post_answer(self, number: int, tube: TubeConfig | None, answer: Answer) -> None:
        """Put an answer into the reply tube of a job."""
        name = (tube.reply if tube is not None else TubeConfig.reply).replace("{id}", str(number))
        text: dict[str, object] = {"id": number, "verdict": answer.verdict.value}
        if answer.verdict is Verdict.SERVED:
            text["result"] = answer.result.decode("utf-8", "replace")
        elif answer.verdict is Verdict.REFUSED and answer.retry_after_ms > 0:
            text["retry_after"] = answer.retry_after_ms / 1000
        if answer.reason:
            text["reason"] = answer.reason
        reply = self._new_job(name, json.dumps(text).encode(), number, 0, self.limits.reply_ttr_s)
        reply.counts["answers"] = number
        self.plain[reply.id] = reply
        self.plain_of.setdefault(name, {})[reply.id] = reply
        while len(self.plain) > self.limits.reply_jobs:
            # guards memory against producers that never fetch their answers: the oldest go first
            self._forget(next(iter(self.plain.values())))
        self._serve_plain(name)

    def hand_out(self, attempt: Attempt, session: Session) -> None:
        """The module's decision: this job to this worker's waiting reserve."""
        operation = attempt.operation
        job = self.by_operation.get(operation.id)
        if job is None:  # an operation of another front
            name = self.config.classes[operation.job_class]
            job = self._new_job(name, operation.work.body, 0, 0, self.limits.reply_ttr_s)
            job.operation = operation
            self.by_operation[operation.id] = job
        job.attempt = attempt
        self._give(job, session)
        self.engine.request_written(attempt)
        self.engine.progress_reported(attempt, api.Progress.STARTED, 0.0)

    def taken_back(self, attempt: Attempt) -> None:
        """The core has given the attempt up: the holder's delete, release or bury then finds nothing."""
        job = self.by_operation.get(attempt.operation.id)
        if job is not None and job.attempt is attempt:
            job.lost_by = job.holder
            self._unhold(job)
            self._set(job, "ready")

    def observe(self, operation: Operation, state: str) -> None:
        """An operation of another front that ran on a worker here leaves no job behind."""
        job = self.by_operation.get(operation.id)
        if job is not None and operation.answer is not None and self not in operation.recipients:
            self._forget(job)

    def stop(self) -> None:
        """No more jobs are taken; those that still wait out a delay are answered now."""
        self.taking = False
        for job in [j for j in self.jobs.values() if j.state == "delayed" and j.mapping is not None]:
            self._never_begun(job, "stopping")
            self._forget(job)

    def _never_begun(self, job: Job, reason: str) -> None:
        """Put and still in its delay: its answer is owed all the same."""
        if job.mapping is not None:
            self.never_begun(self._operation_id(job), job.mapping)
            self.engine.counters.answered(job.mapping.job_class, Verdict.REFUSED)
            self.post_answer(job.id, job.mapping, Answer(Verdict.REFUSED, reason=reason))

    def _give_back(self, job: Job, kind: api.OutcomeKind) -> None:
        """A reserved operation comes back without a result."""
        attempt = job.attempt
        self._unhold(job)
        self._set(job, "ready")
        if attempt is not None:
            self.engine.attempt_ended(attempt, kind)
            if attempt.operation.answer is not None and job.id not in self.buried:
                self._forget(job)

    def _put_result(self, session: Session, body: bytes) -> None:
        number = whole(session.use.removeprefix(RESULT_TUBE), 2**63)
        job = session.held.get(number) if number is not None else None
        if job is None or job.operation is None:
            session.socket.reply("NOT_FOUND")
            return
        job.result = body
        session.socket.reply(f"INSERTED {job.id}")

    # -- jobs

    def _new_job(self, tube: str, body: bytes, pri: int, delay: int, ttr: int) -> Job:
        self.last_id += 1
        job = Job(self.last_id, tube, body, pri, delay, ttr, self.clock.now_ms())
        self.jobs[job.id] = job
        self.bytes += len(body)
        return job

    def _forget(self, job: Job) -> None:
        if self.jobs.pop(job.id, None) is not None:
            self.bytes -= len(job.body)
        self._set(job, "ready")
        if job.holder is not None:
            self._unhold(job)
        if job.operation is not None:
            self.by_operation.pop(job.operation.id, None)
        self.buried.pop(job.id, None)
        if self.plain.pop(job.id, None) is not None:
            del self.plain_of[job.tube][job.id]
            if not self.plain_of[job.tube]:
                del self.plain_of[job.tube]

    def _set(self, job: Job, state: str, ms: float = 0.0, then: Callable[[Job], None] | None = None) -> None:
        """Change a job's state, with what happens after a time."""
        if job.timer is not None:
            job.timer.cancel()
            job.timer = None
        job.state = state
        if then is not None:
            job.due_ms = self.clock.now_ms() + ms
            job.timer = self._loop.call_later(ms / 1000, then, job)

    def _delay_over(self, job: Job) -> None:
        self._set(job, "ready")
        if job.mapping is not None:
            # guards against a put left without an answer when its tube is mapped no more
            self._submit(job, job.mapping)
        else:
            self._serve_plain(job.tube)

    def _give(self, job: Job, session: Session) -> None:
        """Hand a job to a reserve that waits."""
        self._stop_waiting(session)
        job.holder, job.lost_by = session, None
        session.held[job.id] = job
        job.count("reserves")
        self._set(job, "reserved", job.ttr * 1000.0, self._time_to_run_over)
        session.socket.reply(f"RESERVED {job.id} {len(job.body)}", job.body)
        session.socket.resume()

    def _unhold(self, job: Job) -> None:
        if job.holder is not None:
            job.holder.held.pop(job.id, None)
            job.holder = None
        job.attempt = None

    def _time_to_run_over(self, job: Job) -> None:
        job.count("timeouts")
        self._count("job-timeouts")
        if job.operation is None:
            self._ready_again(job)
        else:
            # it may still run: for the module this is an attempt that timed out
            job.lost_by = job.holder
            self._give_back(job, api.OutcomeKind.TIMED_OUT)

    def _ready_again(self, job: Job) -> None:
        self._unhold(job)
        self._set(job, "ready")
        self._serve_plain(job.tube)

    def _serve_plain(self, tube: str) -> None:
        """Give the plain jobs of a tube to the reserves that watch it, oldest reserve first."""
        for session in list(self.reserving):
            job = self._plain_for(session) if tube in session.watched else None
            if job is not None:
                self._give(job, session)

    def _plain_for(self, session: Session) -> Job | None:
        now = self.clock.now_ms()
        ready = [
            j
            for tube in session.watched
            for j in self.plain_of.get(tube, {}).values()
            if j.state == "ready" and self.paused.get(tube, 0.0) <= now
        ]
        return min(ready, key=_by_priority) if ready else None

    # -- reserving

    def _reserve(self, session: Session, seconds: int | None) -> None:
        session.reserver = True
        job = self._plain_for(session)
        if job is not None:
            self.reserving[session] = None
            self._give(job, session)
            return
        if self._soonest(session) <= SOON_MS:
            session.socket.reply("DEADLINE_SOON")
            return
        if seconds == 0 and session.worker is None:
            session.socket.reply("TIMED_OUT")
            return
        session.socket.waiting = True
        self.reserving[session] = None
        # a worker's reserve of no time still has to wait for one decision: a step of the module
        patience = FOREVER_MS if seconds is None else max(seconds * 1000.0, 10 * self.config.settings.tick_ms)
        self._arm(session, self.clock.now_ms() + patience)
        if session.worker is not None:
            session.worker.waiting[session] = None
            session.worker.changed()

    def _soonest(self, session: Session) -> float:
        now = self.clock.now_ms()
        return min((j.due_ms - now for j in session.held.values()), default=FOREVER_MS)

    def _arm(self, session: Session, until_ms: float) -> None:
        left = until_ms - self.clock.now_ms()
        soon = self._soonest(session) - SOON_MS
        delay = min(left, soon)
        if delay < FOREVER_MS / 2:
            word = "DEADLINE_SOON" if soon < left else "TIMED_OUT"
            session.timer = self._loop.call_later(max(0.0, delay) / 1000, self._end_wait, session, word)

    def _end_wait(self, session: Session, word: str) -> None:
        self._stop_waiting(session)
        session.socket.reply(word)
        session.socket.resume()

    def _stop_waiting(self, session: Session) -> None:
        if session.timer is not None:
            session.timer.cancel()
            session.timer = None
        self.reserving.pop(session, None)
        worker = session.worker
        if worker is not None and worker.waiting.pop(session, self) is None:
            worker.changed()

    def _reserve_with_timeout(self, session: Session, words: list[str]) -> None:
        seconds = whole(words[0])
        if seconds is None:
            session.socket.reply("BAD_FORMAT")
        else:
            self._reserve(session, seconds)

    def _reserve_job(self, session: Session, words: list[str]) -> None:
        job = self._find(words[0])
        if job is None or job.id not in self.plain or job.state == "reserved":
            session.socket.reply("NOT_FOUND")  # operations go where the module sends them
            return
        session.reserver = True
        self.reserving[session] = None
        self._give(job, session)

    # -- commands on jobs

    def _find(self, word: str) -> Job | None:
        number = whole(word, 2**63)
        return None if number is None else self.jobs.get(number)

    def _held(self, session: Session, word: str) -> Job | None:
        number = whole(word, 2**63)
        return None if number is None else session.held.get(number)

    def _delete(self, session: Session, words: list[str]) -> None:
        job = self._find(words[0])
        if job is None or (job.state == "reserved" and job.holder is not session) or job.lost_by is session:
            # guards against a worker that takes a job for done which has ended as failed meanwhile
            session.socket.reply("NOT_FOUND")
            return
        session.socket.reply("DELETED")
        attempt, operation = job.attempt, job.operation
        if job.state == "reserved" and attempt is not None:
            result = job.result
            self._unhold(job)
            self.engine.attempt_ended(attempt, api.OutcomeKind.SERVED, result)  # the worker is done
            self._forget(job)
        elif operation is not None and operation.answer is None:
            self.engine.withdraw(operation, "deleted")
            self._forget(job)
        else:
            if job.id in self.plain and "answers" in job.counts:
                self.reply_deleted(f"{self.config.name}.{job.counts['answers']}")
            elif job.state == "delayed":
                self._never_begun(job, "deleted")
            self._forget(job)

    def _release(self, session: Session, words: list[str]) -> None:
        job, numbers = self._held(session, words[0]), [whole(w) for w in words[1:]]
        if None in numbers:
            session.socket.reply("BAD_FORMAT")
            return
        if job is None:
            session.socket.reply("NOT_FOUND")
            return
        job.count("releases")
        if job.operation is None:
            job.pri, job.delay = numbers[0] or 0, numbers[1] or 0
            session.socket.reply("RELEASED")
            self._unhold(job)
            if job.delay:
                self._set(job, "delayed", job.delay * 1000.0, self._delay_over)
            else:
                self._ready_again(job)
            return
        # it was reserved, so it may have run: for a pesagem this is the end, and the reply says so
        once = self.config.settings.classes[job.operation.job_class].effect is api.Effect.UNSAFE
        session.socket.reply("BURIED" if once else "RELEASED")
        self._give_back(job, api.OutcomeKind.ERROR)

    def _bury(self, session: Session, words: list[str]) -> None:
        job, pri = self._held(session, words[0]), whole(words[1])
        if pri is None:
            session.socket.reply("BAD_FORMAT")
            return
        if job is None:
            session.socket.reply("NOT_FOUND")
            return
        job.count("buries")
        session.socket.reply("BURIED")
        if job.operation is None:
            self._unhold(job)
            job.pri = pri
            self._set(job, "buried")
        else:
            self._give_back(job, api.OutcomeKind.ERROR)

    def _touch(self, session: Session, words: list[str]) -> None:
        job = self._held(session, words[0])
        if job is None:
            session.socket.reply("NOT_FOUND")
            return
        # a new time to run; the operation's deadline still ends it, as it does every attempt
        self._set(job, "reserved", job.ttr * 1000.0, self._time_to_run_over)
        session.socket.reply("TOUCHED")

    def _peek(self, session: Session, words: list[str]) -> None:
        self._found(session, self._find(words[0]))

    def _peek_state(self, session: Session, state: str) -> None:
        jobs = [j for j in self.jobs.values() if j.tube == session.use and j.state == state]
        first = _by_time if state == "delayed" else _by_priority
        self._found(session, min(jobs, key=first) if jobs else None)

    @staticmethod
    def _found(session: Session, job: Job | None) -> None:
        if job is None:
            session.socket.reply("NOT_FOUND")
        else:
            session.socket.reply(f"FOUND {job.id} {len(job.body)}", job.body)

    def _kick(self, session: Session, words: list[str]) -> None:
        bound = whole(words[0])
        if bound is None:
            session.socket.reply("BAD_FORMAT")
            return
        jobs = [j for j in self.jobs.values() if j.tube == session.use]
        kicked = [j for j in jobs if j.state == "buried" and j.operation is None]
        kicked = kicked or [j for j in jobs if j.state == "delayed"]
        for job in kicked[:bound]:
            self._kick_one(job)
        session.socket.reply(f"KICKED {len(kicked[:bound])}")

    def _kick_job(self, session: Session, words: list[str]) -> None:
        job = self._find(words[0])
        if job is None or not (job.state == "delayed" or (job.state == "buried" and job.operation is None)):
            session.socket.reply("NOT_FOUND")  # a buried operation has its final answer: nothing revives it
            return
        self._kick_one(job)
        session.socket.reply("KICKED")

    def _kick_one(self, job: Job) -> None:
        job.count("kicks")
        self._delay_over(job)

    # -- commands on tubes

    def _named(self, session: Session, name: str) -> bool:
        if TUBE.match(name):
            return True
        session.socket.reply("BAD_FORMAT")
        return False

    def _use(self, session: Session, words: list[str]) -> None:
        if self._named(session, words[0]):
            session.use = words[0]
            session.socket.reply(f"USING {session.use}")

    def _watch(self, session: Session, words: list[str]) -> None:
        name = words[0]
        if not self._named(session, name):
            return
        if len(session.watched) >= self.limits.watched_tubes and name not in session.watched:
            session.socket.reply("OUT_OF_MEMORY")
            return
        session.watched[name] = None
        if name.startswith(WORKER_TUBE):
            self._bind(session)
            if session.worker is None:
                log.warning("not a worker of the inventory", extra={"tube": name})
        session.socket.reply(f"WATCHING {len(session.watched)}")

    @staticmethod
    def _comes_from(session: Session, source: str) -> bool:
        transport = session.socket.transport
        peer = transport.get_extra_info("peername") if transport is not None else None
        return not source or (peer is not None and peer[0] == source)

    def _ignore(self, session: Session, words: list[str]) -> None:
        if not self._named(session, words[0]):
            return
        if words[0] in session.watched and len(session.watched) == 1:
            session.socket.reply("NOT_IGNORED")
            return
        session.watched.pop(words[0], None)
        self._bind(session)
        session.socket.reply(f"WATCHING {len(session.watched)}")

    def _pause(self, session: Session, words: list[str]) -> None:
        delay = whole(words[1])
        if delay is None or not TUBE.match(words[0]):
            session.socket.reply("BAD_FORMAT")
        elif words[0] not in self._known_tubes() or words[0] in self.tubes:
            session.socket.reply("NOT_FOUND")  # a mapped tube cannot be paused: its deadlines run on
        else:
            self.paused[words[0]] = self.clock.now_ms() + delay * 1000.0
            self._loop.call_later(delay + 0.001, self._unpause, words[0])
            session.socket.reply("PAUSED")

    def _unpause(self, name: str) -> None:
        if self.paused.get(name, 0.0) <= self.clock.now_ms():
            self.paused.pop(name, None)
        self._serve_plain(name)

    # -- statistics

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _known_tubes(self) -> list[str]:
        found = dict.fromkeys(["default", *self.tubes])
        found.update(dict.fromkeys(j.tube for j in self.jobs.values()))
        for session in self.sessions.values():
            found[session.use] = None
            found.update(session.watched)
        return list(found)

    @staticmethod
    def _list(session: Session, items: list[str]) -> None:
        body = "---\n" + "".join(f"- {item}\n" for item in items)
        session.socket.reply(f"OK {len(body)}", body.encode())

    @staticmethod
    def _table(session: Session, values: dict[str, object]) -> None:
        body = "---\n" + "".join(f"{k}: {v}\n" for k, v in values.items())
        session.socket.reply(f"OK {len(body)}", body.encode())

    def _states(self, jobs: list[Job]) -> dict[str, object]:
        states = [j.state for j in jobs]
        return {
            "current-jobs-urgent": sum(j.state == "ready" and j.pri < 1024 for j in jobs),
            "current-jobs-ready": states.count("ready"),
            "current-jobs-reserved": states.count("reserved"),
            "current-jobs-delayed": states.count("delayed"),
            "current-jobs-buried": states.count("buried"),
        }

    def _stats(self, session: Session, words: list[str]) -> None:
        commands = {f"cmd-{name}": self.counts.get(f"cmd-{name}", 0) for name in ("put", *self._commands)}
        sessions = list(self.sessions.values())
        self._table(
            session,
            {
                **self._states(list(self.jobs.values())),
                **commands,
                "job-timeouts": self.counts.get("job-timeouts", 0),
                "total-jobs": self.counts.get("total-jobs", 0),
                "max-job-size": self.limits.body_bytes,
                "current-tubes": len(self._known_tubes()),
                "current-connections": len(sessions),
                "current-producers": sum(s.producer for s in sessions),
                "current-workers": sum(s.reserver for s in sessions),
                "current-waiting": len(self.reserving),
                "total-connections": self.last_session,
                "uptime": int((self.clock.now_ms() - self.began_ms) / 1000),
                "draining": "false" if self.taking else "true",
                "id": self.config.name,
            },
        )

    def _stats_job(self, session: Session, words: list[str]) -> None:
        job = self._find(words[0])
        if job is None:
            session.socket.reply("NOT_FOUND")
            return
        now = self.clock.now_ms()
        values: dict[str, object] = {
            "id": job.id,
            "tube": job.tube,
            "state": job.state,
            "pri": job.pri,
            "age": int((now - job.created_ms) / 1000),
            "delay": job.delay,
            "ttr": job.ttr,
            "time-left": max(0, int((job.due_ms - now) / 1000)) if job.timer is not None else 0,
            "file": 0,
        }
        for what in ("reserves", "timeouts", "releases", "buries", "kicks"):
            values[what] = job.counts.get(what, 0)
        self._table(session, values)

    def _stats_tube(self, session: Session, words: list[str]) -> None:
        name = words[0]
        if not self._named(session, name):
            return
        if name not in self._known_tubes():
            session.socket.reply("NOT_FOUND")
            return
        now, until = self.clock.now_ms(), self.paused.get(name, 0.0)
        sessions = list(self.sessions.values())
        values: dict[str, object] = {
            "name": name,
            **self._states([j for j in self.jobs.values() if j.tube == name]),
            "current-using": sum(s.use == name for s in sessions),
            "current-watching": sum(name in s.watched for s in sessions),
            "current-waiting": sum(name in s.watched for s in self.reserving),
            "pause-time-left": max(0, int((until - now) / 1000)),
        }
        self._table(session, values)
