"""Verdicts as a service of the node: evidence comes from the engine, and verdicts go to the module.

The logic is in modules without I/O (evidence, verdict, panel, words); datagrams are the group's.
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
from pebbledrift.verdicts.evidence import REACH, Sign, short
from pebbledrift.verdicts.panel import Key, Panel, Ways
from pebbledrift.verdicts.verdict import Rules, Word
from pebbledrift.verdicts.words import ALL, BadWord, Errand, Words, unpack
from spoolpier import interface as api

log = logging.getLogger(__name__)

STATEMENT, WORD, OBEYED, DIGEST = b"v", b"w", b"k", b"d"
BODY = DATAGRAM - OVERHEAD - 1
HURRY_MS, HURRIED_MS = 10.0, 150.0  # a word goes again so often at first: losses come in bursts,
RESEND_MS = 50.0  # and then until it is answered, for
ERRAND_MS = 900.0  # as an operator's answer comes within a second, whoever is out of reach
COMPARE_MS = 1000.0  # between two looks whether another member knows of the same words
SYNC_MS = 100.0  # the same for a node that starts
WORDS_AT_ONCE = 16  # of all that differ, in answer to one look
ASK, ANSWER = 0, 1
SLOW_TIMES = 3.0  # as long as this node's common answer of its hint: slow
PACE_PART = 0.05
FAILED = {
    api.OutcomeKind.ERROR: Sign.WORD,
    api.OutcomeKind.TIMED_OUT: Sign.PATH,
    api.OutcomeKind.BROKEN: Sign.PATH,
    api.OutcomeKind.UNKNOWN: Sign.PATH,
}
_NUMBER = struct.Struct("!I")


class Verdicts:
    """One node's part in what all hold of the workers."""

    def __init__(self, config: VerdictsConfig, group: Membership, engine: Engine, pool: PoolConfig) -> None:
        self.config, self.group, self.engine, self.pool = config, group, engine, pool
        settings = engine.settings
        rules = Rules(out_most=config.out_most, half_ms=config.half_life_ms, try_ms=config.try_ms)
        endpoint = group.endpoint
        name, life = group.group.me.name, endpoint.sealer.life
        self.panel = Panel(name, life, BODY, rules, Ways(), life & 0xFFFFFFFF)
        self.words = Words(lambda: secrets.randbits(32))
        self.classes = len(settings.classes)
        self.pace = 1.0  # time taken over the hint, at all workers, of late
        self.synced = False  # another member's words are known here
        self.sent = self.sent_bytes = 0
        self._random = random.Random(life)
        self._errands: dict[int, tuple[Errand, asyncio.Event]] = {}
        self._number = 0
        self._compare_at = -math.inf
        self._shown: dict[tuple[int, int], tuple[bool, int]] = {}  # as the module was told
        self._cold_shown: dict[int, float] = {}
        self._stopped = -math.inf
        self._warm_at = math.inf  # when the next cold worker is warm, and its start is told no more
        self._synced = asyncio.Event()
        # has others agree that bans are over, where giving back takes that
        self.agree: Callable[[str, list[int]], Awaitable[str]] | None = None
        self._keep: Callable[[str, Any], None] = lambda name, value: None
        self.paused_by_all: Callable[[bool], None] = lambda paused: None
        self._trials: dict[Key, Attempt] = {}
        engine.observers.append(self._seen)
        endpoint.others[STATEMENT] = self._stated
        endpoint.others[WORD] = self._told
        endpoint.others[OBEYED] = self._obeyed
        endpoint.others[DIGEST] = self._compared
        group.ticks.append(self._tick)
        engine.outcome_listeners.append(self._outcome)
        engine.event_sources.append(self._advise)
        pool.listeners.append(self._listed)
        self._listed()

    # -- evidence

    def _listed(self) -> None:
        cold_ms, now = self.engine.settings.cold_ms, self.engine.clock.now_ms()
        entries = [e for e in self.pool.entries.values() if e.state is api.WorkerState.UP]
        left = {e.worker: e.since_ms + cold_ms - now for e in entries if e.started_ms > 0}
        cold = {worker for worker, ms in left.items() if ms > 0}
        self._warm_at = self.group.now() + min((left[worker] for worker in cold), default=math.inf)
        self.panel.listed({e.worker: e.started_ms for e in entries}, cold)

    def _outcome(self, attempt: Attempt, kind: api.OutcomeKind) -> None:
        """An attempt of this node has ended."""
        entry, now = self.pool.entries.get(attempt.worker), self.group.now()
        # of an attempt that was sent before the worker's last start, nothing is said of its present life
        up = entry is not None and entry.state is api.WorkerState.UP
        if entry is None or not up or attempt.sent_ms < entry.since_ms:
            return
        job_class, sign = attempt.operation.job_class, FAILED.get(kind)
        if kind is api.OutcomeKind.SERVED:
            sign = Sign.SLOW if self._slow(attempt) else Sign.GOOD
        elif kind is api.OutcomeKind.NO_CONNECTION:
            sign, job_class = Sign.PATH, REACH
        if sign is not None:
            self.panel.see(now, attempt.worker, entry.started_ms, job_class, sign)

    def _slow(self, attempt: Attempt) -> bool:
        """Whether a job ran for several times what jobs take here, by their hints."""
        hint = attempt.operation.hint_ms
        if not hint or attempt.started_ms <= 0:
            return False
        ratio = (self.engine.clock.now_ms() - attempt.started_ms) / hint
        slow = ratio > SLOW_TIMES * max(1.0, self.pace)
        # one worker's slowness must not become the measure of all
        self.pace += PACE_PART * (min(ratio, SLOW_TIMES * max(1.0, self.pace)) - self.pace)
        return slow

    def _seen(self, operation: Operation, state: str) -> None:
        """An attempt goes out: it may be this node's trial of its worker."""
        if state == "sent" and self.panel.trying:
            attempt = operation.attempts[-1]
            for job_class in (operation.job_class, REACH):
                self._trials[short(attempt.worker), job_class] = attempt

    # -- time

    def _tick(self, now: float) -> None:
        group = self.group.group
        if now >= self._warm_at:
            self._listed()
        if group.stopped_at > self._stopped:
            self._stopped = group.stopped_at
            self.panel.stopped(now)
        for key, attempt in list(self._trials.items()):
            if attempt.open:
                self.panel.busy(key, now)
            else:
                del self._trials[key]
        self.panel.may_try = self.group.conduct.duties and not self.group.view.outdone
        up = group.up()
        before = set(self.panel.out)
        for names, body in self.panel.tick(now, up):
            self._send(STATEMENT, body, list(names))
        self._say(before)
        if up and now >= self._compare_at:
            self._compare_at = now + (COMPARE_MS if self.synced else SYNC_MS)
            self._send(DIGEST, bytes([ASK]) + self.words.digest(), [self._random.choice(up)])
        self._show_starts(now)
        if self._wanted(now) != self._shown:
            self.engine.schedule_step()

    def _say(self, before: set[int]) -> None:
        """The log has a line for each change of what is out by verdict."""
        for worker in self.panel.out ^ before:
            number = self.panel.workers.get(worker)
            if number is None:
                continue
            rulings = {k[1]: r.verdict for k, r in self.panel.rulings.items() if k[0] == worker}
            worst = max(rulings.values(), key=lambda v: (v.word, v.weight), default=None)
            by = ",".join(worst.by) if worst is not None and worker in self.panel.out else "-"
            word = worst.word.name.lower() if worst is not None and worker in self.panel.out else "good"
            log.warning("verdict", extra={"worker": self._uid(number), "word": word, "by": by or "-"})

    def _uid(self, worker: int) -> str:
        target = self.pool.targets.get(worker)
        return str(target["uid"]) if target is not None else f"{worker:x}"

    # -- to the module

    def _wanted(self, now: float) -> dict[tuple[int, int], tuple[bool, int]]:
        """What the module should hold: by worker and class, whether it is out, and its rank (api.Verdict)."""
        found: dict[tuple[int, int], tuple[bool, int]] = {}
        for key, ruling in self.panel.rulings.items():
            worker = self.panel.workers.get(key[0])
            if worker is None:
                continue
            tries, out = self.panel.tries(key, now), self.panel.condemned(key)
            rank = -1 if tries else ruling.verdict.word is Word.DOUBTFUL
            classes = range(self.classes) if key[1] == REACH else (key[1],)
            for job_class in classes:
                before = found.get((worker, job_class), (False, 0))
                found[worker, job_class] = (out and not tries) or before[0], int(rank) or before[1]
        return {key: value for key, value in found.items() if any(value)}

    def _advise(self) -> list[api.Event]:
        """What the module is told before it decides: a trial is over by this node's own clock."""
        wanted = self._wanted(self.group.now())
        changed = [key for key in {**self._shown, **wanted} if self._shown.get(key) != wanted.get(key)]
        self._shown = wanted
        return [api.Verdict(*key, *wanted.get(key, (False, 0))) for key in changed]

    def _show_starts(self, now: float) -> None:
        """Workers that others know to have started later than the list here says are shown as cold."""
        started = self.panel.started(now)
        latest = self.engine.clock.now_ms() + 1000.0  # guards against a start that is yet to come
        known = {worker: at for worker, at in started.items() if at <= latest}
        if known != self._cold_shown:
            self._cold_shown = known
            self.pool.apply_later_starts(known)

    # -- statements

    def _stated(self, now: float, sender: str, body: bytes) -> None:
        self.panel.received(now, body)  # which counts what it cannot read

    def _send(self, form: bytes, body: bytes, names: list[str]) -> None:
        if names:
            self.sent += len(names)
            self.sent_bytes += len(names) * (len(body) + OVERHEAD)
            self.group.tell(form, body, names)

    # -- operators' words

    async def speak(self, uid: str, banned: bool) -> str:
        """An operator's word for all nodes; returns once all have obeyed or a second is over, saying which.

        Raises BadWord where it cannot be told.
        """
        if banned:
            self.words.ban(uid)
        elif self.agree is not None:
            # giving back takes a majority of the store's members, and gives back what is known here
            known = self.words.subjects.get(uid)
            result = await self.agree(uid, list(known.bans) if known is not None else [])
            if result != "done":
                return result
        else:
            self.words.lift(uid)
        self._obey(uid)
        return await self._spread(uid)

    def lifted(self, uid: str, ids: list[int]) -> None:
        """The store's members have agreed that these bans are over."""
        if self.words.lift_these(uid, ids):
            self._obey(uid)

    async def _spread(self, uid: str) -> str:
        now = self.group.now()
        others = {n: m.claim.state for n, m in self.group.group.members.items()}
        waiting = {n for n, state in others.items() if state is not State.LEFT}
        self._number = (self._number + 1) & 0xFFFFFFFF
        errand, done = Errand(self._number, waiting, 1 + len(waiting)), asyncio.Event()
        unheard = max(0, self.group.view.whole - errand.total)
        self._errands[errand.number] = errand, done
        while not errand.over and self.group.now() - now < ERRAND_MS:
            self._send(WORD, _NUMBER.pack(errand.number) + self.words.pack(uid), sorted(errand.waiting))
            every = HURRY_MS if self.group.now() - now < HURRIED_MS else RESEND_MS
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(done.wait(), every / 1000)
        del self._errands[errand.number]
        return errand.result(unheard)

    def remember(self, recall: Callable[[str], Any], keep: Callable[[str, Any], None]) -> None:
        """Obey the words of an earlier life at once, and keep what is heard from now on."""
        for uid in self.words.restore(recall("words")):
            self._obey(uid)
        self._keep = keep

    def _obey(self, uid: str) -> None:
        try:
            self._keep("words", self.words.state())
        except OSError as error:
            # obeyed all the same: what is taken away must not wait for a disk
            log.error("word for all would not outlive a restart", extra={"worker": uid, "error": str(error)})
        banned = self.words.banned(uid)
        if uid == ALL:
            self.paused_by_all(banned)
        else:
            self.pool.set_ban(uid, banned, fleet=True)

    def _told(self, now: float, sender: str, body: bytes) -> None:
        uid, subject = unpack(body[_NUMBER.size :])
        if self.words.merge(uid, subject):
            self._obey(uid)
            told = {"worker": uid or "-", "out": self.words.banned(uid), "sender": sender}
            log.warning("word for all", extra=told)
        (number,) = _NUMBER.unpack_from(body)
        if number:
            self._send(OBEYED, body[: _NUMBER.size], [sender])

    def _obeyed(self, now: float, sender: str, body: bytes) -> None:
        if len(body) != _NUMBER.size:
            raise BadWord("not an answer")
        errand = self._errands.get(_NUMBER.unpack(body)[0])
        if errand is not None:
            errand[0].waiting.discard(sender)
            if errand[0].over:
                errand[1].set()

    def _compared(self, now: float, sender: str, body: bytes) -> None:
        """Another member's digest of the words: what differs is told, both ways."""
        if len(body) < 2 or body[0] not in (ASK, ANSWER):
            raise BadWord("not a digest")
        mine = self.words.digest()
        differs = body[1:] != mine
        if differs:
            subjects = [uid for uid, s in self.words.subjects.items() if s.bans or s.lifted]
            for uid in self._random.sample(subjects, min(WORDS_AT_ONCE, len(subjects))):
                self._send(WORD, _NUMBER.pack(0) + self.words.pack(uid), [sender])
        if body[0] == ASK:
            self._send(DIGEST, bytes([ANSWER]) + mine, [sender])
        elif not differs:
            self.synced = True
            self._synced.set()

    async def ready(self, most_ms: float) -> None:
        """Wait until another member's words are known here, or none is there to tell them."""
        try:
            await asyncio.wait_for(self._synced.wait(), most_ms / 1000)
        except TimeoutError:
            log.info("serves without others' words", extra={"members": len(self.group.group.members)})

    # -- for operators

    def lines(self) -> list[str]:
        """What VERDICTS tells."""
        now, panel = self.group.now(), self.panel
        most = int(panel.rules.out_most * len(panel.lives))
        bans = sorted(uid for uid in self.words.subjects if uid != ALL and self.words.banned(uid))
        seen, ill = panel.evidence.health(now, panel.rules.hold_ms)
        found = [
            f"{len(panel.out)} of {len(panel.lives)} out by verdict, at most {most};"
            f" {len(bans)} by operators; evidence of {1 + len(panel.heard)} nodes; own: {ill} of {seen} fail"
        ]
        for (worker, job_class), ruling in sorted(panel.rulings.items()):
            number = panel.workers.get(worker)
            if number is None:
                continue
            v, key = ruling.verdict, (worker, job_class)
            kind = "reach" if job_class == REACH else str(job_class)
            state = "trial" if panel.tries(key, now) else "out" if panel.condemned(key) else "used"
            found.append(
                f"worker {self._uid(number)} class={kind} {v.word.name.lower()} {state} weight={v.weight:.1f}"
                f" since={(now - ruling.since) / 1000:.1f}s by={','.join(v.by) or '-'}"
            )
        found += [f"worker {uid} banned for all" for uid in bans]
        if self.words.banned(ALL):
            found.append("paused for all")
        return found

    def figures(self) -> dict[str, str]:
        """What METRICS tells, as it is written."""
        rulings: list[Key] = list(self.panel.rulings)
        return {
            "verdicts.out": f"{len(self.panel.out)}|g",
            "verdicts.standing": f"{len(rulings)}|g",
            "verdicts.trials": f"{len(self.panel.trying)}|g",
            "verdicts.told": f"{self.panel.told}|c",
            "verdicts.sent": f"{self.sent}|c",
            "verdicts.sent_bytes": f"{self.sent_bytes}|c",
            "verdicts.dropped": f"{self.panel.dropped + self.panel.evidence.dropped}|c",
        }
