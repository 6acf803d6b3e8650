"""Fleet-wide limits as a service of the node: connects the decision module and the group's datagrams.

The logic is in modules without I/O (book, escrow, borrower, soft, sums, demand); the membership group sends
and receives the datagrams.
"""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable

from pebbledrift.config import ConfigError, FleetLimitsConfig
from pebbledrift.core.engine import Engine
from pebbledrift.core.model import Attempt, Operation
from pebbledrift.limits import turns
from pebbledrift.limits.book import ASK, GRANT, SUM, NodeLimits, Send
from pebbledrift.limits.turns import TimeSliceLoans
from pebbledrift.membership.seal import OVERHEAD
from pebbledrift.membership.service import Membership
from spoolpier import interface as api

log = logging.getLogger(__name__)

FAILED_OUTCOMES = (
    api.OutcomeKind.ERROR,
    api.OutcomeKind.TIMED_OUT,
    api.OutcomeKind.NO_CONNECTION,
    api.OutcomeKind.BROKEN,
    api.OutcomeKind.REFUSED,
    api.OutcomeKind.UNKNOWN,
)


TIME_SLICE_ASK, TIME_SLICE_GRANT = b"t", b"T"  # datagram types


class LentTimeSlices:
    """The time slices for cold workers that this node may use while nodes lend them to each other.

    Implements fleet.neighbours.SliceLeases.
    """

    def __init__(self, loans: TimeSliceLoans, now: Callable[[], float]) -> None:
        self.loans, self.now = loans, now
        self._reported: tuple[int, ...] | None = None

    def holds(self) -> bool:
        """Returns whether every time slice that was reported to the module may still be used."""
        return self._reported is None or set(self._reported) <= set(self.loans.usable_indexes(self.now()))

    def changed(self) -> tuple[tuple[int, ...], float] | None:
        """Returns the indices of the usable time slices, or None if they are as reported last."""
        indices = self.loans.usable_indexes(self.now())
        if indices == self._reported:
            return None
        if self._reported is not None:
            now, before = (",".join(map(str, values)) or "-" for values in (indices, self._reported))
            log.info("turns", extra={"places": now, "before": before})
        self._reported = indices
        return indices, 0.0


class FleetLimits:
    """One node's part in enforcing the fleet-wide limits."""

    def __init__(
        self,
        config: FleetLimitsConfig,
        group: Membership,
        engine: Engine,
        secret: bytes,
        any_cold: Callable[[], bool] = lambda: False,
    ) -> None:
        self.config, self.group, self.engine = config, group, engine
        self.any_cold = any_cold  # returns whether the list has workers that are not warm
        settings = engine.settings
        me, incarnation = group.group.me.name, group.endpoint.sealer.life
        self.node_limits = NodeLimits(
            config,
            me,
            max(settings.dispatchers, len(group.config.peers)),
            # Without a secret, whoever knows the group's name can impersonate a member anyway.
            secret or group.table.group.encode(),
            group.now(),
            lambda: secrets.randbits(64) or 1,
            incarnation & 0xFFFFFFFF,
            settings.over_share_worth if settings.over_share_worth < 1 else 0.0,
        )
        self.node_limits.on_rate_mismatch = self._log_rate_mismatch
        self.sent = self.sent_bytes = 0
        self._incarnations: dict[str, int] = {}
        self._up: tuple[str, ...] | None = None
        self._alive: tuple[str, ...] = (me,)
        for datagram_type in (SUM, ASK, GRANT):
            group.endpoint.others[datagram_type] = self._reader(datagram_type)
        group.ticks.append(self._tick)
        engine.event_sources.append(lambda: list(self.node_limits.changed_allowances(group.now())))
        engine.on_step = self._on_step
        engine.limits_of = lambda operation: self.node_limits.applicable(
            operation.tenant, operation.job_class
        )
        engine.observers.append(self._on_state)
        engine.outcome_listeners.append(self._on_outcome)
        self.loans: TimeSliceLoans | None = None
        self.lent_time_slices: LentTimeSlices | None = None
        if config.lend_turns:
            time_slice_ms, seed = settings.fall_ms, incarnation & 0xFFFFFFFF
            draw = self.node_limits.draw
            self.loans = TimeSliceLoans(settings.me, time_slice_ms, group.now(), draw, seed)
            self.lent_time_slices = LentTimeSlices(self.loans, group.now)
            group.endpoint.others[TIME_SLICE_ASK] = self._on_time_slice_ask
            group.endpoint.others[TIME_SLICE_GRANT] = self._on_time_slice_grant

    # -- callbacks of the engine

    def _on_state(self, operation: Operation, state: str) -> None:
        if state == "taken":
            self.node_limits.job_arrived(
                self.group.now(), operation.tenant, operation.job_class, operation.repeat
            )

    def _on_outcome(self, attempt: Attempt, kind: api.OutcomeKind) -> None:
        if kind in FAILED_OUTCOMES and attempt.operation.answer is None:
            self.node_limits.attempt_failed(self.group.now())

    def _on_step(self) -> None:
        self.node_limits.record_decision(self.group.now(), self.engine.allowed())

    # -- callbacks of the group

    def _tick(self, now: float) -> None:
        group = self.group
        if self._up is not group.group.up():
            self._up = group.group.up()
            self._alive = tuple(sorted((group.group.me.name, *self._up)))
            for name in self._up:
                incarnation = group.group.members[name].claim.life
                if self._incarnations.setdefault(name, incarnation) != incarnation:
                    self._incarnations[name] = incarnation
                    self.node_limits.member_restarted(name)
        leased_parts, until = (0, now) if group.view.outdone else group.leased()
        self._send(self.node_limits.tick(now, self._alive, group.view.whole, leased_parts, until))
        if self.loans is not None and not group.view.outdone:
            self.loans.entitled = self._entitled(now)
            others = [name for name in self._alive if name != group.group.me.name]
            for peer, ask in self.loans.due_requests(now, others):
                self._send([(TIME_SLICE_ASK, turns.pack_request(ask), [peer])])

    # -- time slices for cold workers

    def _entitled(self, now: float) -> float:
        """Returns the number of time slices that this node's part of the traffic entitles it to.

        It is 1, the node's own, while the others' traffic is unknown or no worker is cold.
        """
        own_rate, others_rate = self.node_limits.first_tries(now)
        if others_rate is None or own_rate + others_rate <= 0 or not self.any_cold():
            return 1.0
        return own_rate / (own_rate + others_rate) * self.node_limits.lease_parts

    def _peer_index(self, name: str) -> int | None:
        address = self.group.group.address_of(name)
        peers = self.group.config.peers
        return peers.index(address) if address in peers else None

    def _on_time_slice_ask(self, now: float, sender: str, body: bytes) -> None:
        ask = turns.unpack_request(body)
        peer = self.group.endpoint.sealer.peers.get(sender)
        if self.loans is not None and peer is not None:
            grant = self.loans.handle_request(now, f"{sender}.{peer.life:x}", ask)
            self._send([(TIME_SLICE_GRANT, turns.pack_grant(grant), [sender])])

    def _on_time_slice_grant(self, now: float, sender: str, body: bytes) -> None:
        grant, index = turns.unpack_grant(body), self._peer_index(sender)
        if self.loans is not None and index is not None:
            self.loans.handle_grant(now, sender, index, grant)

    def _reader(self, datagram_type: bytes) -> Callable[[float, str, bytes], None]:
        def read(now: float, sender: str, body: bytes) -> None:
            peer = self.group.endpoint.sealer.peers.get(sender)
            self._send(
                self.node_limits.received(
                    now, datagram_type, sender, peer.life if peer is not None else 0, body
                )
            )

        return read

    def _send(self, sends: list[Send]) -> None:
        for datagram_type, body, names in sends:
            self.sent += len(names)
            self.sent_bytes += len(names) * (len(body) + OVERHEAD)
            self.group.tell(datagram_type, body, names)

    def _log_rate_mismatch(self, name: str, ours: float, theirs: float, node: str) -> None:
        fields = {"limit": name, "ours": f"{ours:g}", "theirs": f"{theirs:g}", "node": node or "-"}
        log.error("limit differs from another node's", extra={**fields, "holds": f"{min(ours, theirs):g}"})

    # -- for operators

    def change(self, config: FleetLimitsConfig) -> None:
        """Applies other rates and soft limits, provided that all other settings are unchanged.

        Raises ConfigError.
        """
        if config.settled() != self.config.settled():
            return  # the reloader reports the settings that need a restart
        try:
            changes = self.node_limits.change(self.group.now(), config)
        except ValueError as error:
            raise ConfigError(f"fleet_limits.limit: {error}") from error
        for change in changes:
            log.warning("limit changed", extra={"limit": change})
        self.config = config
        self.engine.schedule_step()  # informs the module before the next job arrives

    def status_lines(self) -> list[str]:
        """Returns the lines that the operators' command LIMITS prints."""
        lines = self.node_limits.status_lines(self.group.now())
        if self.loans is not None:
            now = self.group.now()
            indices = ",".join(map(str, self.loans.usable_indexes(now))) or "none"
            lent = "yes" if self.loans.own.lent else "no"
            lines.append(f"turns places={indices} entitled={self.loans.entitled:.2f} lent={lent}")
        return lines

    def metrics(self) -> dict[str, str]:
        """Returns the metrics that the operators' command METRICS prints, as formatted values by name."""
        return {
            **self.node_limits.metrics(self.group.now()),
            "limits.sent": f"{self.sent}|c",
            "limits.sent_bytes": f"{self.sent_bytes}|c",
        }
