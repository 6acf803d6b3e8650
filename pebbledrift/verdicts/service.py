"""Outlier detection as a service of the node: evidence comes from the engine, verdicts go to the module.

The logic is in modules without I/O (evidence, verdict, panel, words); the membership service sends the
datagrams.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import random
import secrets
import struct
from collections.abc import Awaitable, Callable
from typing import Any

from pebbledrift.config import VerdictsConfig
from pebbledrift.core.engine import Engine
from pebbledrift.core.model import Attempt, Operation
from pebbledrift.membership.endpoint import DATAGRAM
from pebbledrift.membership.group import State
from pebbledrift.membership.seal import OVERHEAD
from pebbledrift.membership.service import Membership
from pebbledrift.pool import PoolConfig
from pebbledrift.verdicts.evidence import REACHABILITY, Observation, wire_id
from pebbledrift.verdicts.panel import GossipSettings, Key, Panel
from pebbledrift.verdicts.verdict import Rules, Word
from pebbledrift.verdicts.words import ALL, CommandDelivery, InvalidCommand, OperatorCommands, unpack
from spoolpier import interface as api

log = logging.getLogger(__name__)

STATEMENT, COMMAND, ACKNOWLEDGEMENT, DIGEST = b"v", b"w", b"k", b"d"
MAX_BODY_BYTES = DATAGRAM - OVERHEAD - 1
# An unacknowledged command is resent every FAST_RESEND_MS during the first FAST_RESEND_PHASE_MS, since losses
# come in bursts, and every RESEND_MS afterwards.
FAST_RESEND_MS, FAST_RESEND_PHASE_MS = 10.0, 150.0
RESEND_MS = 50.0
DELIVERY_TIMEOUT_MS = 900.0  # operators get an answer within a second, even if members are unreachable
DIGEST_INTERVAL_MS = 1000.0  # between two comparisons of the commands with another member
INITIAL_DIGEST_INTERVAL_MS = 100.0  # the same until the first match after the start
MAX_SUBJECTS_PER_REPLY = 16  # subjects sent after one comparison that differs
DIGEST_REQUEST, DIGEST_REPLY = 0, 1
SLOW_RATIO = 3.0  # a job is slow if it takes this many times its hint, scaled by the node's mean ratio
HINT_RATIO_SMOOTHING = 0.05  # weight of a new ratio in the moving average
FAILURE_OBSERVATIONS = {
    api.OutcomeKind.ERROR: Observation.REPORTED_FAILURE,
    api.OutcomeKind.TIMED_OUT: Observation.PATH_FAILURE,
    api.OutcomeKind.BROKEN: Observation.PATH_FAILURE,
    api.OutcomeKind.UNKNOWN: Observation.PATH_FAILURE,
}
_NUMBER = struct.Struct("!I")


class Verdicts:
    """Connects the panel and the operators' commands of one node to its engine, pool and group."""

    def __init__(self, config: VerdictsConfig, group: Membership, engine: Engine, pool: PoolConfig) -> None:
        self.config, self.group, self.engine, self.pool = config, group, engine, pool
        settings = engine.settings
        rules = Rules(
            max_excluded_share=config.out_most,
            half_life_ms=config.half_life_ms,
            trial_delay_ms=config.try_ms,
        )
        endpoint = group.endpoint
        name, incarnation = group.group.me.name, endpoint.sealer.life
        self.panel = Panel(
            name, incarnation, MAX_BODY_BYTES, rules, GossipSettings(), incarnation & 0xFFFFFFFF
        )
        self.commands = OperatorCommands(lambda: secrets.randbits(32))
        self.classes = len(settings.classes)
        self.mean_hint_ratio = 1.0  # moving average of run time over hint, at all workers
        self.synced = False  # this node has the same commands as another member
        self.sent = self.sent_bytes = 0
        self._random = random.Random(incarnation)
        self._deliveries: dict[int, tuple[CommandDelivery, asyncio.Event]] = {}
        self._delivery_number = 0
        self._next_digest_at = -math.inf
        self._advised: dict[tuple[int, int], tuple[bool, int]] = {}  # verdicts last sent to the module
        self._later_starts_applied: dict[int, float] = {}
        self._last_stall_at = -math.inf
        self._next_warm_at = math.inf  # when the next cold worker is warm and its start is no longer reported
        self._synced = asyncio.Event()
        # Has the replicated store agree that bans are lifted; None if lifting needs no agreement.
        self.agree_lift: Callable[[str, list[int]], Awaitable[str]] | None = None
        self._save: Callable[[str, Any], None] = lambda name, value: None
        self.on_fleet_pause: Callable[[bool], None] = lambda paused: None
        self._trial_attempts: dict[Key, Attempt] = {}
        engine.observers.append(self._operation_changed)
        endpoint.others[STATEMENT] = self._statement_received
        endpoint.others[COMMAND] = self._command_received
        endpoint.others[ACKNOWLEDGEMENT] = self._acknowledgement_received
        endpoint.others[DIGEST] = self._digest_received
        group.ticks.append(self._tick)
        engine.outcome_listeners.append(self._attempt_ended)
        engine.event_sources.append(self._verdict_events)
        pool.listeners.append(self._update_workers)
        self._update_workers()

    # -- evidence

    def _update_workers(self) -> None:
        cold_ms, now = self.engine.settings.cold_ms, self.engine.clock.now_ms()
        entries = [e for e in self.pool.entries.values() if e.state is api.WorkerState.UP]
        warm_in_ms = {e.worker: e.since_ms + cold_ms - now for e in entries if e.started_ms > 0}
        cold = {worker for worker, ms in warm_in_ms.items() if ms > 0}
        self._next_warm_at = self.group.now() + min((warm_in_ms[worker] for worker in cold), default=math.inf)
        self.panel.update_workers({e.worker: e.started_ms for e in entries}, cold)

    def _attempt_ended(self, attempt: Attempt, kind: api.OutcomeKind) -> None:
        """Record the outcome of one of this node's attempts as an observation."""
        entry, now = self.pool.entries.get(attempt.worker), self.group.now()
        # An attempt sent before the worker's last start says nothing about its current incarnation.
        up = entry is not None and entry.state is api.WorkerState.UP
        if entry is None or not up or attempt.sent_ms < entry.since_ms:
            return
        job_class, observation = attempt.operation.job_class, FAILURE_OBSERVATIONS.get(kind)
        if kind is api.OutcomeKind.SERVED:
            observation = Observation.SLOW if self._is_slow(attempt) else Observation.SUCCESS
        elif kind is api.OutcomeKind.NO_CONNECTION:
            observation, job_class = Observation.PATH_FAILURE, REACHABILITY
        if observation is not None:
            self.panel.observe(now, attempt.worker, entry.started_ms, job_class, observation)

    def _is_slow(self, attempt: Attempt) -> bool:
        """Return whether a job ran several times longer than its hint and the node's mean ratio suggest."""
        hint = attempt.operation.hint_ms
        if not hint or attempt.started_ms <= 0:
            return False
        ratio = (self.engine.clock.now_ms() - attempt.started_ms) / hint
        slow = ratio > SLOW_RATIO * max(1.0, self.mean_hint_ratio)
        # The ratio is capped, so that one slow worker doesn't raise the mean for all.
        self.mean_hint_ratio += HINT_RATIO_SMOOTHING * (
            min(ratio, SLOW_RATIO * max(1.0, self.mean_hint_ratio)) - self.mean_hint_ratio
        )
        return slow

    def _operation_changed(self, operation: Operation, state: str) -> None:
        """Note each attempt sent while this node runs trials; it may belong to one of them."""
        if state == "sent" and self.panel.trials:
            attempt = operation.attempts[-1]
            for job_class in (operation.job_class, REACHABILITY):
                self._trial_attempts[wire_id(attempt.worker), job_class] = attempt

    # -- time

    def _tick(self, now: float) -> None:
        group = self.group.group
        if now >= self._next_warm_at:
            self._update_workers()
        if group.stopped_at > self._last_stall_at:
            self._last_stall_at = group.stopped_at
            self.panel.recovered_from_stall(now)
        for key, attempt in list(self._trial_attempts.items()):
            if attempt.open:
                self.panel.extend_trial(key, now)
            else:
                del self._trial_attempts[key]
        self.panel.trials_allowed = self.group.conduct.duties and not self.group.view.outdone
        up = group.up()
        before = set(self.panel.excluded)
        for names, body in self.panel.tick(now, up):
            self._send(STATEMENT, body, list(names))
        self._log_exclusion_changes(before)
        if up and now >= self._next_digest_at:
            self._next_digest_at = now + (DIGEST_INTERVAL_MS if self.synced else INITIAL_DIGEST_INTERVAL_MS)
            self._send(DIGEST, bytes([DIGEST_REQUEST]) + self.commands.digest(), [self._random.choice(up)])
        self._apply_later_starts(now)
        if self._advice(now) != self._advised:
            self.engine.schedule_step()

    def _log_exclusion_changes(self, before: set[int]) -> None:
        """Log each worker that verdicts newly exclude or readmit."""
        for worker in self.panel.excluded ^ before:
            number = self.panel.workers.get(worker)
            if number is None:
                continue
            standing_verdicts = {
                k[1]: r.verdict for k, r in self.panel.standing_verdicts.items() if k[0] == worker
            }
            worst = max(standing_verdicts.values(), key=lambda v: (v.level, v.weight), default=None)
            observers = (
                ",".join(worst.observers) if worst is not None and worker in self.panel.excluded else "-"
            )
            level = (
                worst.level.name.lower() if worst is not None and worker in self.panel.excluded else "good"
            )
            log.warning("verdict", extra={"worker": self._uid(number), "word": level, "by": observers or "-"})

    def _uid(self, worker: int) -> str:
        target = self.pool.targets.get(worker)
        return str(target["uid"]) if target is not None else f"{worker:x}"

    # -- verdicts for the module

    def _advice(self, now: float) -> dict[tuple[int, int], tuple[bool, int]]:
        """Return by worker and class whether it is excluded, and its rank, as in api.Verdict."""
        advice: dict[tuple[int, int], tuple[bool, int]] = {}
        for key, standing_verdict in self.panel.standing_verdicts.items():
            worker = self.panel.workers.get(key[0])
            if worker is None:
                continue
            trying, excluded = self.panel.is_trying(key, now), self.panel.is_excluded(key)
            rank = -1 if trying else standing_verdict.verdict.level is Word.DOUBTFUL
            classes = range(self.classes) if key[1] == REACHABILITY else (key[1],)
            for job_class in classes:
                previous = advice.get((worker, job_class), (False, 0))
                advice[worker, job_class] = (excluded and not trying) or previous[0], int(rank) or previous[1]
        return {key: value for key, value in advice.items() if any(value)}

    def _verdict_events(self) -> list[api.Event]:
        """Return the verdicts that changed since the last call; the engine takes them in before each step.

        Whether a trial is over is judged here, by the local clock.
        """
        wanted = self._advice(self.group.now())
        changed = [key for key in {**self._advised, **wanted} if self._advised.get(key) != wanted.get(key)]
        self._advised = wanted
        return [api.Verdict(*key, *wanted.get(key, (False, 0))) for key in changed]

    def _apply_later_starts(self, now: float) -> None:
        """Treat workers as cold that started later, according to other nodes, than the local list says."""
        started = self.panel.later_starts(now)
        latest = self.engine.clock.now_ms() + 1000.0  # ignore starts that lie in the future
        plausible = {worker: at for worker, at in started.items() if at <= latest}
        if plausible != self._later_starts_applied:
            self._later_starts_applied = plausible
            self.pool.apply_later_starts(plausible)

    # -- statements

    def _statement_received(self, now: float, sender: str, body: bytes) -> None:
        self.panel.received(now, body)  # counts malformed statements

    def _send(self, form: bytes, body: bytes, names: list[str]) -> None:
        if names:
            self.sent += len(names)
            self.sent_bytes += len(names) * (len(body) + OVERHEAD)
            self.group.tell(form, body, names)

    # -- operators' commands

    async def apply_command(self, uid: str, banned: bool) -> str:
        """Ban a worker at all nodes, or lift its bans; the uid ALL stands for a pause of the fleet.

        Returns `done` once all members have acknowledged the command, or after DELIVERY_TIMEOUT_MS a text
        that names the members that have not. If the store's members do not agree to lift the bans, returns
        their result and changes nothing. Raises InvalidCommand if the subject exceeds the bounds.
        """
        if banned:
            self.commands.ban(uid)
        elif self.agree_lift is not None:
            # A majority of the store's members must agree; only the bans known here are lifted.
            subject = self.commands.subjects.get(uid)
            result = await self.agree_lift(uid, list(subject.bans) if subject is not None else [])
            if result != "done":
                return result
        else:
            self.commands.lift(uid)
        self._enforce(uid)
        return await self._deliver(uid)

    def lift_agreed(self, uid: str, ids: list[int]) -> None:
        """Apply the agreement of the store's members that these bans are lifted."""
        if self.commands.lift_ids(uid, ids):
            self._enforce(uid)

    async def _deliver(self, uid: str) -> str:
        now = self.group.now()
        others = {n: m.claim.state for n, m in self.group.group.members.items()}
        waiting = {n for n, state in others.items() if state is not State.LEFT}
        self._delivery_number = (self._delivery_number + 1) & 0xFFFFFFFF
        delivery, done = CommandDelivery(self._delivery_number, waiting, 1 + len(waiting)), asyncio.Event()
        unseen = max(0, self.group.view.whole - delivery.total)
        self._deliveries[delivery.number] = delivery, done
        while not delivery.complete and self.group.now() - now < DELIVERY_TIMEOUT_MS:
            self._send(
                COMMAND,
                _NUMBER.pack(delivery.number) + self.commands.pack(uid),
                sorted(delivery.waiting),
            )
            resend_ms = FAST_RESEND_MS if self.group.now() - now < FAST_RESEND_PHASE_MS else RESEND_MS
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(done.wait(), resend_ms / 1000)
        del self._deliveries[delivery.number]
        return delivery.result(unseen)

    def restore_commands(self, load: Callable[[str], Any], save: Callable[[str, Any], None]) -> None:
        """Apply the commands stored by a previous process, and store all later changes."""
        for uid in self.commands.restore(load("words")):
            self._enforce(uid)
        self._save = save

    def _enforce(self, uid: str) -> None:
        try:
            self._save("words", self.commands.state())
        except OSError as error:
            # The command is applied all the same: a ban must not wait for a disk.
            log.error(
                "command for all nodes applied but not stored: a restart would lose it",
                extra={"worker": uid, "error": str(error)},
            )
        banned = self.commands.banned(uid)
        if uid == ALL:
            self.on_fleet_pause(banned)
        else:
            self.pool.set_ban(uid, banned, fleet=True)

    def _command_received(self, now: float, sender: str, body: bytes) -> None:
        uid, subject = unpack(body[_NUMBER.size :])
        if self.commands.merge(uid, subject):
            self._enforce(uid)
            fields = {"worker": uid or "-", "out": self.commands.banned(uid), "sender": sender}
            log.warning("word for all", extra=fields)
        (number,) = _NUMBER.unpack_from(body)
        if number:
            self._send(ACKNOWLEDGEMENT, body[: _NUMBER.size], [sender])

    def _acknowledgement_received(self, now: float, sender: str, body: bytes) -> None:
        if len(body) != _NUMBER.size:
            raise InvalidCommand("malformed acknowledgement: wrong length")
        delivery = self._deliveries.get(_NUMBER.unpack(body)[0])
        if delivery is not None:
            delivery[0].waiting.discard(sender)
            if delivery[0].complete:
                delivery[1].set()

    def _digest_received(self, now: float, sender: str, body: bytes) -> None:
        """Compare another member's digest of the commands; if it differs, both sides send theirs."""
        if len(body) < 2 or body[0] not in (DIGEST_REQUEST, DIGEST_REPLY):
            raise InvalidCommand("malformed digest: too short or unknown kind")
        own_digest = self.commands.digest()
        differs = body[1:] != own_digest
        if differs:
            subjects = [uid for uid, s in self.commands.subjects.items() if s.bans or s.lifted]
            for uid in self._random.sample(subjects, min(MAX_SUBJECTS_PER_REPLY, len(subjects))):
                self._send(COMMAND, _NUMBER.pack(0) + self.commands.pack(uid), [sender])
        if body[0] == DIGEST_REQUEST:
            self._send(DIGEST, bytes([DIGEST_REPLY]) + own_digest, [sender])
        elif not differs:
            self.synced = True
            self._synced.set()

    async def ready(self, max_ms: float) -> None:
        """Wait until this node has the same commands as another member, for at most `max_ms`."""
        try:
            await asyncio.wait_for(self._synced.wait(), max_ms / 1000)
        except TimeoutError:
            log.info(
                "starts serving without the commands of other members",
                extra={"members": len(self.group.group.members)},
            )

    # -- for operators

    def lines(self) -> list[str]:
        """Return the answer to the operators' command VERDICTS."""
        now, panel = self.group.now(), self.panel
        max_excluded = int(panel.rules.max_excluded_share * len(panel.incarnations))
        bans = sorted(uid for uid in self.commands.subjects if uid != ALL and self.commands.banned(uid))
        seen, failing = panel.evidence.health(now, panel.rules.max_verdict_age_ms)
        lines = [
            f"{len(panel.excluded)} of {len(panel.incarnations)} out by verdict, at most {max_excluded};"
            f" {len(bans)} by operators; evidence of {1 + len(panel.peer_statements)} nodes;"
            f" own: {failing} of {seen} fail"
        ]
        for (worker, job_class), standing_verdict in sorted(panel.standing_verdicts.items()):
            number = panel.workers.get(worker)
            if number is None:
                continue
            v, key = standing_verdict.verdict, (worker, job_class)
            kind = "reach" if job_class == REACHABILITY else str(job_class)
            state = "trial" if panel.is_trying(key, now) else "out" if panel.is_excluded(key) else "used"
            lines.append(
                f"worker {self._uid(number)} class={kind} {v.level.name.lower()} {state}"
                f" weight={v.weight:.1f} since={(now - standing_verdict.since) / 1000:.1f}s"
                f" by={','.join(v.observers) or '-'}"
            )
        lines += [f"worker {uid} banned for all" for uid in bans]
        if self.commands.banned(ALL):
            lines.append("paused for all")
        return lines

    def metrics(self) -> dict[str, str]:
        """Return the metrics of the verdicts in the form that METRICS prints."""
        standing_verdicts: list[Key] = list(self.panel.standing_verdicts)
        return {
            "verdicts.out": f"{len(self.panel.excluded)}|g",
            "verdicts.standing": f"{len(standing_verdicts)}|g",
            "verdicts.trials": f"{len(self.panel.trials)}|g",
            "verdicts.told": f"{self.panel.statements_made}|c",
            "verdicts.sent": f"{self.sent}|c",
            "verdicts.sent_bytes": f"{self.sent_bytes}|c",
            "verdicts.dropped": f"{self.panel.dropped + self.panel.evidence.dropped}|c",
        }
