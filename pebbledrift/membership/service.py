"""Membership as a service of the node: the group, its view, leases and duties, over the peers' socket.

The logic is in modules without I/O (group, endpoint, view, conduct, lease, duties/plan); here it gets a
clock, a timer and a socket, and what it says is handed on: to the log, to operators, and to the parts of the
node.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import secrets
import struct
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pebbledrift.config import Address, Config, MembershipConfig
from pebbledrift.core.clock import Clock
from pebbledrift.duties.plan import Duties
from pebbledrift.membership import lease
from pebbledrift.membership.conduct import Conduct, conduct
from pebbledrift.membership.endpoint import UNDER_WAY_MS, Datagrams, Endpoint
from pebbledrift.membership.group import Group, State, Times
from pebbledrift.membership.seal import FORM, Sealer
from pebbledrift.membership.view import WORDS, Change, Standing, View
from pebbledrift.net.datagrams import PeerSocket
from spoolpier import interface as api

log = logging.getLogger(__name__)

TICK_MS = 25.0
REPORT = b"r"  # what the owner of a duty has learned of a worker
FAREWELLS = 3  # a last word may be lost
LATE_S = 1.0  # a tick that comes so much later than it should: the process was stopped
_REPORT = struct.Struct("!QBHfB")  # worker, whether it answered, age in ms, time it took, fields that follow
_FIELD = struct.Struct("!Bf")
FIELDS = ("free_slots", "free_memory", "held", "waiting", "busy", "service_ms")


def monotonic_ms() -> float:
    """A clock that never goes back and counts the time in which the machine slept, where there is one."""
    boot = getattr(time, "CLOCK_BOOTTIME", None)
    return (time.clock_gettime(boot) if boot is not None else time.monotonic()) * 1000.0


def group_key(config: MembershipConfig, parts: int, secret: bytes) -> bytes:
    """The key of one group: nodes that differ in name, committee or parts do not hear each other.

    Guards leases: two committees would have two majorities.
    """
    told = "\0".join((config.group, *sorted(config.committee), str(parts), f"{config.lease_ms:g}"))
    return hashlib.blake2b(told.encode(), key=secret[:64], digest_size=32, person=b"pebbledrift-grp").digest()


@dataclass(frozen=True, slots=True)
class Learned:
    """What a probe has told, at its owner or heard from it."""

    worker: int
    ok: bool
    age_ms: float
    took_ms: float
    report: dict[str, float]


def pack_report(told: Learned) -> bytes:
    """A report's body."""
    fields = [(FIELDS.index(name), value) for name, value in told.report.items() if name in FIELDS]
    head = _REPORT.pack(told.worker, told.ok, min(round(told.age_ms), 0xFFFF), told.took_ms, len(fields))
    return head + b"".join(_FIELD.pack(*field) for field in fields)


def unpack_report(body: bytes) -> Learned:
    """The report in a body; ValueError if there is none."""
    try:
        worker, ok, age_ms, took_ms, count = _REPORT.unpack_from(body)
        if len(body) != _REPORT.size + count * _FIELD.size:
            raise ValueError("not so many fields")
        pairs = [_FIELD.unpack_from(body, _REPORT.size + i * _FIELD.size) for i in range(count)]
        return Learned(worker, bool(ok), age_ms, took_ms, {FIELDS[name]: value for name, value in pairs})
    except (struct.error, IndexError) as error:
        raise ValueError("not a report") from error


class Membership:
    """One node's part in the group.

    `now` gives the group's time; all else that the node does by what is known here asks this object.
    """

    def __init__(
        self, config: Config, table: MembershipConfig, clock: Clock, socket: PeerSocket, secret: bytes = b""
    ) -> None:
        self.config, self.table, self.clock, self.socket = config, table, clock, socket
        self.now: Callable[[], float] = monotonic_ms
        settings = config.settings
        key = group_key(table, settings.dispatchers, secret)
        sealer = Sealer(config.name, [key], secrets.token_bytes)
        times = Times(period=table.period_ms, ping=table.period_ms * 0.3)
        seeds = [*config.peers, *table.seeds]
        group = Group(config.name, table.address, seeds, times, config.seed, sealer.life)
        self.endpoint = Endpoint(group, sealer)
        self.group = group
        period = table.period_ms
        self.view = View(group, len(config.peers), 6 * period, 10 * period, self.now())
        self.conduct: Conduct = conduct(self.view.standing)
        self.endpoint.heard = self._heard
        self.endpoint.why = self._dropped
        self.endpoint.others[lease.ASK] = self._asked
        self.endpoint.others[lease.GRANT] = self._granted
        self.endpoint.others[REPORT] = self._reported
        self.committee: lease.Committee | None = None
        self.holder: lease.Holder | None = None
        if table.parts == "leased":
            if config.name in table.committee:
                self.committee = lease.Committee(settings.dispatchers, table.lease_ms, self.now())
            self.holder = lease.Holder(
                settings.me,
                table.committee,
                table.lease_ms,
                table.clock_ms,
                2 * settings.fall_ms,
                lambda: secrets.randbits(64),
            )
        self.duties = Duties(config.name)
        self.perform: Callable[[str], None] = lambda unit: None  # a duty is due here
        self.learned: Callable[[Learned], None] = lambda told: None  # another node's probe
        self.changed: list[Callable[[], None]] = []  # told when the view has changed
        self.ticks: list[Callable[[float], None]] = []  # told of the time, once the view is up to date
        self.sent_bytes = self.sent = 0
        self.clock_warned = 0
        self._outdone_until = 0.0
        self._twins: set[int] = set()  # lives of other processes of this name that were told of
        self._places: tuple[int, ...] | None = None  # as the decision module was told last
        self._next_lease = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    # -- life

    def start(self) -> None:
        """Begin to speak and to listen."""
        self.socket.readers[FORM] = self._received
        self.socket.open_forms.add(FORM)
        self._tick()

    def leave(self) -> None:
        """Go by one's own will: nobody has to find out by silence.

        Its parts are used here no more; for others they are free once their grants have run out.
        """
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        if self.holder is not None:
            self.holder.drop()
        if not self.view.outdone:
            for _ in range(FAREWELLS):
                self._send(self.endpoint.leave())
        log.info("left the group", extra={"members": self.view.part})

    def _tick(self) -> None:
        now = self.now()
        self._timer = self._loop.call_later(TICK_MS / 1000, self._tick)
        if self.view.outdone:
            if now < self._outdone_until:
                # what members drop as of an earlier life has them tell whoever has the name now
                self._send(self.endpoint.tell(REPORT, b"", self.group.alive()))
            return
        self.socket.read()  # what has come counts before anything is concluded from silence
        self._send(self.endpoint.tick(now))
        if self.group.stopped_at == now:
            log.warning("gone on after a stop")
            if self.holder is not None:
                self.holder.drop()
        self._twin()
        self._look(now)
        self._lend(now)
        if self.conduct.duties and self.table.duties:
            for unit in self.duties.claim_due(now):
                self.perform(unit)
        for listener in self.ticks:
            listener(now)

    def tell(self, form: bytes, body: bytes, names: list[str]) -> None:
        """Something of another part of the node, for some members (`Endpoint.others`)."""
        if self._timer is not None and not self.view.outdone:
            self._send(self.endpoint.tell(form, body, names))

    # -- the view

    def _look(self, now: float) -> None:
        changes, self.group.changes = self.group.changes, []
        for claim, by in changes:
            told = {"member": claim.name, "state": WORDS[claim.state], "by": by or "-"}
            log.info("member", extra={**told, "life": f"{claim.life:04x}", "incarnation": claim.incarnation})
        change = self.view.update(now)
        if change is not None:
            self._say(change)
        if changes or change is not None:
            self.conduct = conduct(self.view.standing)
            self.duties.set_members(self.group.alive(), now)
            for listener in self.changed:
                listener()

    def _say(self, change: Change) -> None:
        log.warning(
            "group",
            extra={
                "standing": change.now.value,
                "before": change.before.value,
                "cause": change.cause,
                "members": f"{change.part} of {change.whole}",
            },
        )

    def _heard(self, now: float) -> None:
        self.duties.record_contact(now)

    def answers(self, address: Address) -> bool:
        """Whether whoever is at an address may be there; yes where nothing is known."""
        if not self.conduct.tell_alive:
            return True
        states = [m.claim.state for m in self.group.members.values() if m.claim.address == address]
        return not states or any(state < State.DEAD for state in states)

    def rank(self) -> tuple[int, int]:
        """This node's place among those that answer, and how many these are; as configured where unsure."""
        settings = self.config.settings
        if not self.conduct.turns_by_view:
            return settings.me, settings.dispatchers
        up = (State.ALIVE, State.SUSPECT)
        names = sorted([self.config.name, *(n for n, m in self.group.members.items() if m.claim.state in up)])
        return names.index(self.config.name), len(names)

    def _twin(self) -> None:
        """Another process runs under this name: the greater life has it, and the other one leaves the
        group.
        """
        if self.endpoint.twin is None:
            return
        twin, self.endpoint.twin = self.endpoint.twin, None
        mine, retired = self.endpoint.sealer.life, self.endpoint.retired
        won = mine > twin
        if twin not in self._twins:
            self._twins.add(twin)
            told = {"node": self.config.name, "ours": f"{mine:016x}", "other": f"{twin:016x}"}
            log.error("name in use twice", extra={**told, "keeps_it": "ours" if won else "the other"})
        if not won:
            self.view.outdone = True
            self._outdone_until = self.now() + 3 * UNDER_WAY_MS
            if self.holder is not None:
                self.holder.drop()
        elif retired:
            self.endpoint.sealer.renew()
            self.group.renew(self.endpoint.sealer.life)

    # -- leases

    def _lend(self, now: float) -> None:
        if self.holder is None or now < self._next_lease:
            return
        self._next_lease = now + self.table.lease_ms / 4
        self.holder.want(self._unused())
        ask = self.holder.ask(now, self.clock.now_ms())
        body = lease.pack_ask(ask)
        for name in self.table.committee:
            if name == self.config.name:
                self._grant(now, name, self.endpoint.sealer.life, ask)
            else:
                self._send(self.endpoint.tell(lease.ASK, body, [name]))
        if self.holder.clock_off > self.clock_warned + 20:
            self.clock_warned = self.holder.clock_off
            log.warning("clock differs from the group's", extra={"bound_ms": self.table.clock_ms})

    def _unused(self) -> list[int]:
        """Parts of members that are dead or gone, as far as they fall to this one."""
        if not self.conduct.lease_more:
            return []
        numbers = {address: number for number, address in enumerate(self.config.peers)}
        down = [
            numbers[m.claim.address]
            for m in self.group.members.values()
            if m.claim.state >= State.DEAD and m.claim.address in numbers
        ]
        alive = [n for n, m in self.group.members.items() if m.claim.state is State.ALIVE]
        return lease.heirs(down, self.config.name, alive)

    def _asked(self, now: float, sender: str, body: bytes) -> None:
        ask = lease.unpack_ask(body)
        peer = self.endpoint.sealer.peers.get(sender)
        if self.committee is not None and peer is not None:
            self._grant(now, sender, peer.life, ask)

    def _grant(self, now: float, name: str, life: int, ask: lease.Ask) -> None:
        assert self.committee is not None
        parts = self.committee.asked(now, name, life, ask)
        grant = lease.Grant(ask.number, self.clock.now_ms(), parts)
        if name == self.config.name:
            assert self.holder is not None
            self.holder.granted(now, self.clock.now_ms(), name, grant)
        else:
            self._send(self.endpoint.tell(lease.GRANT, lease.pack_grant(grant), [name]))

    def _granted(self, now: float, sender: str, body: bytes) -> None:
        if self.holder is not None:
            self.holder.granted(now, self.clock.now_ms(), sender, lease.unpack_grant(body))

    def _held(self) -> tuple[int, ...]:
        assert self.holder is not None
        return () if self.view.outdone else self.holder.held(self.now())

    def leased(self) -> tuple[int, float]:
        """How many parts of the fleet's limits are this node's now, and until when by `now`."""
        if self.holder is None:
            return 0, self.now()
        return len(self._held()), self.holder.until(self.now())

    def holds(self) -> bool:
        """Whether all places that the decision module was told of are still held (fleet.SliceLeases)."""
        return self.holder is None or self._places is None or set(self._places) <= set(self._held())

    def changed_places(self) -> tuple[tuple[int, ...], float] | None:
        """The places held now, where these are others than told last."""
        held = self._held()
        if held == self._places:
            return None
        if self._places is not None:
            now, before = (",".join(map(str, parts)) or "-" for parts in (held, self._places))
            log.info("parts", extra={"parts": now, "before": before})
        self._places = held
        return held, 2 * self.table.clock_ms

    # -- duties

    def set_units(self, units: dict[str, float]) -> None:
        """The periodic work there is, by name, with its periods in ms."""
        self.duties.set_units(units, self.now())

    def tell_learned(self, told: Learned) -> None:
        """Tell the others what a probe of this node has learned."""
        up = [n for n, m in self.group.members.items() if m.claim.state < State.DEAD]
        self._send(self.endpoint.tell(REPORT, pack_report(told), up))

    def _reported(self, now: float, sender: str, body: bytes) -> None:
        told = unpack_report(body)
        self.duties.record_done(f"probe {told.worker:x}", now - told.age_ms)
        self.learned(told)

    # -- datagrams

    def _received(self, data: bytes, sender: Address) -> None:
        if not self.view.outdone:
            self._send(self.endpoint.datagram(self.now(), data, sender))

    def _send(self, datagrams: Datagrams) -> None:
        for address, data in datagrams:
            self.sent += 1
            self.sent_bytes += len(data)
            self.socket.send(data, address)

    def _dropped(self, sender: Address, reason: str) -> None:
        log.info("not of our group", extra={"sender": f"{sender[0]}:{sender[1]}", "reason": reason})

    # -- for operators

    def lines(self) -> list[str]:
        """What MEMBERS tells."""
        now, view = self.now(), self.view
        age = _seconds(now - view.since)
        head = f"{view.standing.value} {view.part} of {view.whole} for {age}: {view.cause}"
        found = [head, f"last whole: {view.last_whole}", self._own(now)]
        for m in view.members(now):
            found.append(
                f"member {m.name} {m.state} {m.address[0]}:{m.address[1]} life={m.life:04x}"
                f" incarnation={m.incarnation} since={m.since_ms / 1000:.1f}s by={m.by or '-'}"
                f" word={m.word_ms / 1000:.1f}s heard={_seconds(m.heard_ms)}"
            )
        for unit in sorted(self.duties.units):
            done = _seconds(now - self.duties.units[unit].last_done_at)
            found.append(f"duty {unit} owner={self.duties.owner(unit) or '-'} done={done}")
        return found

    def _own(self, now: float) -> str:
        parts = "fixed"
        if self.holder is not None:
            left = max(0.0, self.holder.until(now) - now)
            parts = f"{','.join(map(str, self._held())) or 'none'} for {_seconds(left)}"
        me = self.group.me
        return (
            f"self {me.name} life={me.life:04x} incarnation={me.incarnation} health={self.group.health}"
            f" parts={parts}"
        )

    def figures(self) -> dict[str, str]:
        """What METRICS tells, as it is written."""
        states = [m.claim.state for m in self.group.members.values()]
        found = {f"members.{WORDS[s]}": f"{sum(x is s for x in states)}|g" for s in State}
        found["members.standing"] = f"{list(Standing).index(self.view.standing)}|g"
        found["members.sent"] = f"{self.sent}|c"
        found["members.sent_bytes"] = f"{self.sent_bytes}|c"
        found["members.dropped"] = f"{self.endpoint.dropped}|c"
        if self.holder is not None:
            found["members.parts"] = f"{len(self._held())}|g"
        return found


def _seconds(ms: float) -> str:
    return f"{ms / 1000:.1f}s" if ms < 1e12 else "never"


class Leased:
    """fleet.neighbours.SliceLeases over a node's membership."""

    def __init__(self, membership: Membership) -> None:
        self.holds = membership.holds
        self.changed = membership.changed_places


def probe_units(entries: Iterable[api.WorkerEntry], period_ms: float) -> dict[str, float]:
    """A duty for each worker in service."""
    return {f"probe {e.worker:x}": period_ms for e in entries if e.state is api.WorkerState.UP}
