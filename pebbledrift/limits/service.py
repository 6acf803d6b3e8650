"""Limits of the whole fleet as a service of the node: allowances go to the module, datagrams to the group.

The logic is in modules without I/O (book, escrow, borrower, soft, sums, demand); datagrams are the group's.
"""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable

from pebbledrift.config import ConfigError, FleetLimitsConfig
from pebbledrift.core.engine import Engine
from pebbledrift.core.model import Attempt, Operation
from pebbledrift.limits import turns
from pebbledrift.limits.book import ASK, GRANT, SUM, Book, Send
from pebbledrift.limits.turns import TimeSliceLoans
from pebbledrift.membership.seal import OVERHEAD
from pebbledrift.membership.service import Membership
from spoolpier import interface as api

log = logging.getLogger(__name__)

FAILED = (
    api.OutcomeKind.ERROR,
    api.OutcomeKind.TIMED_OUT,
    api.OutcomeKind.NO_CONNECTION,
    api.OutcomeKind.BROKEN,
    api.OutcomeKind.REFUSED,
    api.OutcomeKind.UNKNOWN,
)


TURN_ASK, TURN_GRANT = b"t", b"T"


class LentTurns:
    """Whose turns at cold workers are this node's, where they are lent (fleet.neighbours.Lessee)."""

    def __init__(self, loans: TimeSliceLoans, now: Callable[[], float]) -> None:
        self.loans, self.now = loans, now
        self._told: tuple[int, ...] | None = None

    def holds(self) -> bool:
        """Whether all that the module was told of may still be used."""
        return self._told is None or set(self._told) <= set(self.loans.usable_indexes(self.now()))

    def changed(self) -> tuple[tuple[int, ...], float] | None:
        """The places that may be used now, where these are others than told last."""
        places = self.loans.usable_indexes(self.now())
        if places == self._told:
            return None
        if self._told is not None:
            now, before = (",".join(map(str, found)) or "-" for found in (places, self._told))
            log.info("turns", extra={"places": now, "before": before})
        self._told = places
        return places, 0.0


class FleetLimits:
    """One node's part in the limits of all."""

    def __init__(
        self,
        config: FleetLimitsConfig,
        group: Membership,
        engine: Engine,
        secret: bytes,
        any_cold: Callable[[], bool] = lambda: False,
    ) -> None:
        self.config, self.group, self.engine = config, group, engine
        self.any_cold = any_cold  # whether the list names workers that are not warm
        settings = engine.settings
        me, life = group.group.me.name, group.endpoint.sealer.life
        self.book = Book(
            config,
            me,
            max(settings.dispatchers, len(group.config.peers)),
            secret or group.table.group.encode(),  # whoever knows it may speak for a member as well
            group.now(),
            lambda: secrets.randbits(64) or 1,
            life & 0xFFFFFFFF,
            settings.over_share_worth if settings.over_share_worth < 1 else 0.0,
        )
        self.book.told_lower = self._lower
        self.sent = self.sent_bytes = 0
        self._lives: dict[str, int] = {}
        self._up: tuple[str, ...] | None = None
        self._alive: tuple[str, ...] = (me,)
        for form in (SUM, ASK, GRANT):
            group.endpoint.others[form] = self._reader(form)
        group.ticks.append(self._tick)
        engine.event_sources.append(lambda: list(self.book.advise(group.now())))
        engine.on_step = self._decided
        engine.limits_of = lambda operation: self.book.counts(operation.tenant, operation.job_class)
        engine.observers.append(self._seen)
        engine.outcome_listeners.append(self._outcome)
        self.loans: TimeSliceLoans | None = None
        self.lent: LentTurns | None = None
        if config.lend_turns:
            turn_ms, seed = settings.fall_ms, life & 0xFFFFFFFF
            draw = self.book.draw
            self.loans = TimeSliceLoans(settings.me, turn_ms, group.now(), draw, seed)
            self.lent = LentTurns(self.loans, group.now)
            group.endpoint.others[TURN_ASK] = self._turn_asked
            group.endpoint.others[TURN_GRANT] = self._turn_granted

    # -- from the engine

    def _seen(self, operation: Operation, state: str) -> None:
        if state == "taken":
            self.book.came(self.group.now(), operation.tenant, operation.job_class, operation.repeat)

    def _outcome(self, attempt: Attempt, kind: api.OutcomeKind) -> None:
        if kind in FAILED and attempt.operation.answer is None:
            self.book.failed(self.group.now())

    def _decided(self) -> None:
        self.book.decided(self.group.now(), self.engine.allowed())

    # -- the group

    def _tick(self, now: float) -> None:
        group = self.group
        if self._up is not group.group.up():
            self._up = group.group.up()
            self._alive = tuple(sorted((group.group.me.name, *self._up)))
            for name in self._up:
                life = group.group.members[name].claim.life
                if self._lives.setdefault(name, life) != life:
                    self._lives[name] = life
                    self.book.begun(name)
        held, until = (0, now) if group.view.outdone else group.leased()
        self._send(self.book.tick(now, self._alive, group.view.whole, held, until))
        if self.loans is not None and not group.view.outdone:
            self.loans.entitled = self._entitled(now)
            others = [name for name in self._alive if name != group.group.me.name]
            for peer, ask in self.loans.due_requests(now, others):
                self._send([(TURN_ASK, turns.pack_request(ask), [peer])])

    # -- turns at cold workers

    def _entitled(self, now: float) -> float:
        """Places by this node's part of the traffic; as it has where there is nothing to lend for."""
        mine, others = self.book.first_tries(now)
        if others is None or mine + others <= 0 or not self.any_cold():
            return 1.0
        return mine / (mine + others) * self.book.parts

    def _number(self, name: str) -> int | None:
        address = self.group.group.address_of(name)
        peers = self.group.config.peers
        return peers.index(address) if address in peers else None

    def _turn_asked(self, now: float, sender: str, body: bytes) -> None:
        ask = turns.unpack_request(body)
        peer = self.group.endpoint.sealer.peers.get(sender)
        if self.loans is not None and peer is not None:
            grant = self.loans.handle_request(now, f"{sender}.{peer.life:x}", ask)
            self._send([(TURN_GRANT, turns.pack_grant(grant), [sender])])

    def _turn_granted(self, now: float, sender: str, body: bytes) -> None:
        grant, place = turns.unpack_grant(body), self._number(sender)
        if self.loans is not None and place is not None:
            self.loans.handle_grant(now, sender, place, grant)

    def _reader(self, form: bytes) -> Callable[[float, str, bytes], None]:
        def read(now: float, sender: str, body: bytes) -> None:
            peer = self.group.endpoint.sealer.peers.get(sender)
            self._send(self.book.received(now, form, sender, peer.life if peer is not None else 0, body))

        return read

    def _send(self, sends: list[Send]) -> None:
        for form, body, names in sends:
            self.sent += len(names)
            self.sent_bytes += len(names) * (len(body) + OVERHEAD)
            self.group.tell(form, body, names)

    def _lower(self, name: str, ours: float, theirs: float, whose: str) -> None:
        told = {"limit": name, "ours": f"{ours:g}", "theirs": f"{theirs:g}", "node": whose or "-"}
        log.error("limit differs from another node's", extra={**told, "holds": f"{min(ours, theirs):g}"})

    # -- for operators

    def change(self, config: FleetLimitsConfig) -> None:
        """Take other rates and soft limits over, where all else is the same. Raises ConfigError."""
        if config.settled() != self.config.settled():
            return  # the reloader names it
        try:
            changes = self.book.change(self.group.now(), config)
        except ValueError as error:
            raise ConfigError(f"fleet_limits.limit: {error}") from error
        for change in changes:
            log.warning("limit changed", extra={"limit": change})
        self.config = config
        self.engine.schedule_step()  # the module is told before the next job comes

    def lines(self) -> list[str]:
        """What LIMITS tells."""
        found = self.book.lines(self.group.now())
        if self.loans is not None:
            now = self.group.now()
            places = ",".join(map(str, self.loans.usable_indexes(now))) or "none"
            lent = "yes" if self.loans.own.lent else "no"
            found.append(f"turns places={places} entitled={self.loans.entitled:.2f} lent={lent}")
        return found

    def figures(self) -> dict[str, str]:
        """What METRICS tells, as it is written."""
        return {
            **self.book.figures(self.group.now()),
            "limits.sent": f"{self.sent}|c",
            "limits.sent_bytes": f"{self.sent_bytes}|c",
        }
