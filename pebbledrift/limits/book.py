"""The fleet-wide limits at one node: the jobs it may admit now, and its messages to the others. No I/O.

Times are ms of a monotonic clock; rates are jobs a second. The caller passes the time, the parts of the fleet
that this node holds under leases and the responding members, and sends the returned datagrams.
"""

from __future__ import annotations

import hashlib
import math
import struct
from collections.abc import Callable
from dataclasses import dataclass

from pebbledrift.config import FleetLimitsConfig, LimitConfig
from pebbledrift.limits import bounds
from pebbledrift.limits.borrower import Borrower, LendingPolicy
from pebbledrift.limits.demand import RateMeter, RateTable, TableCodec
from pebbledrift.limits.escrow import Account, Bucket, Grant, LoanRequest
from pebbledrift.limits.soft import RemoteDemand, SoftShare
from pebbledrift.limits.sums import CHANGE_INTERVAL_MS, CHANGE_REPEATS, DemandExchange, InvalidMessage
from spoolpier import interface as api

SUM, ASK, GRANT = b"u", b"e", b"E"  # datagram types
UNITS_PER_LIMIT = 60_000  # of a hard limit: small enough to match a node's demand closely
FIRST_TRIES_KEY = 0xFFFF  # the key under which all nodes report the rate of jobs' first tries
ASSUMED_DELAY_MS = 50.0  # network delay if settle_ms is not set
DEFAULT_LAST_WORTH = 0.01  # worth of a job that ranks behind the others, if the settings give none
MIN_RETRIES_PER_S = 1.0  # of the whole fleet: an idle fleet has no first tries to derive a rate from
_ASK = struct.Struct("!HQIQ")
_GRANT = struct.Struct("!HQII")
Send = tuple[bytes, bytes, list[str]]  # datagram type, body, recipients


def limit_key(name: str) -> int:
    """Returns a limit's key in datagrams, the same at all nodes whatever the order of their settings."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=2).digest(), "big") % FIRST_TRIES_KEY


def _require_distinct_keys(config: FleetLimitsConfig) -> None:
    if len({limit_key(limit.name) for limit in config.limits}) < len(config.limits):
        raise ValueError("the names of two limits hash to the same key: rename one of the limits")


@dataclass(slots=True)
class Limit:
    """One limit: its settings, the demand, the admitted jobs, and what is left."""

    config: LimitConfig
    number: int  # identifies the limit to the module
    key: int
    demand: RateMeter
    admitted: RateMeter
    bucket: Bucket
    soft: SoftShare
    borrower: Borrower | None  # only for hard limits
    rate: float  # in force now: the lowest that is configured at any node
    reported_jobs: float = math.nan  # the last level that the module was informed of
    requested_jobs: int = 0
    admitted_jobs: int = 0
    reported_mismatch: float = 0.0  # the differing rate that was reported to operators


class NodeLimits:
    """One node's limits.

    `draw` returns unpredictable 64-bit numbers, never 0. `worth` is the worth of a job that ranks behind the
    others, relative to a job within its limit. Raises ValueError if two limits have the same key.
    """

    def __init__(
        self,
        config: FleetLimitsConfig,
        name: str,
        nodes: int,
        secret: bytes,
        start: float,
        draw: Callable[[], int],
        seed: int,
        worth: float = DEFAULT_LAST_WORTH,
    ) -> None:
        self.config, self.name, self.worth = config, name, max(worth, DEFAULT_LAST_WORTH)
        self.draw = draw
        self.codec = TableCodec(secret)
        self.exchange = DemandExchange(name, self.codec, config.period_ms, config.believed_ms)
        self.fleet_size = max(1, nodes)
        self.lease_parts = max(1, nodes)
        # arguments: limit, this node's rate, the other rate, name of the node with the other rate
        self.on_rate_mismatch: Callable[[str, float, float, str], None] = lambda *_: None
        self.first_try_meter = RateMeter(start)
        self.dropped = 0
        self.limits: list[Limit] = []
        self._alive: tuple[str, ...] = (name,)
        self._others: list[str] = []
        self._total: tuple[RateTable, float] | None = None  # demand of all others, as of the last tick
        self._removed_numbers: list[int] = []  # removed limits that the module still has
        _require_distinct_keys(config)
        for index, limit in enumerate(config.limits):
            self._add(limit, start, seed + index)
        settle = self.settle_ms(self.fleet_size)
        self._own_first_tries = SoftShare(config.in_a_cut, settle, config.believed_ms, start)

    def _add(self, limit: LimitConfig, start: float, seed: int) -> None:
        """Adds a new limit. Hard limits can only be added at the node's start."""
        config, borrower = self.config, None
        if limit.kind == "hard":
            account = Account(0, config.loan_ms, start, False, self.draw)
            borrower = Borrower(account, UNITS_PER_LIMIT // self.lease_parts, LendingPolicy(), seed)
        used = {other.number for other in self.limits}
        free = next(i for i in range(len(used) + 1) if i not in used)
        number = api.RETRY_LIMIT if limit.retries else free
        soft = SoftShare(config.in_a_cut, self.settle_ms(self.fleet_size), config.believed_ms, start)
        bucket = Bucket(limit.rate / 1000, config.burst_ms, start)
        meters = RateMeter(start), RateMeter(start)
        self.limits.append(
            Limit(limit, number, limit_key(limit.name), *meters, bucket, soft, borrower, limit.rate)
        )

    def settle_ms(self, nodes: int) -> float:
        """Returns the time in ms after which a share may grow.

        By then all nodes know of a change if any one of the messages that repeat it has arrived.
        """
        return (
            self.config.settle_ms
            or bounds.reach_ms(nodes, ASSUMED_DELAY_MS) + (CHANGE_REPEATS - 1) * CHANGE_INTERVAL_MS
        )

    def change(self, now: float, config: FleetLimitsConfig) -> list[str]:
        """Applies other rates, and soft limits that are added, removed or count other jobs.

        Returns a description of each change. Raises ValueError, and changes nothing, if other settings
        differ. A lower rate is in force here at once, and at the other nodes once they have received it. A
        higher one is in force when the last node in contact has it (_apply_lowest_rates). The shares of a
        limit never add up to more than 1, whatever the rates, so that all nodes together never exceed the
        highest rate that is configured at one of them. A soft limit starts as it does at a node's start.
        """
        if config.settled() != self.config.settled():
            raise ValueError("hard limits or times differ, which needs a restart")
        _require_distinct_keys(config)
        wanted = {limit.name: limit for limit in config.limits}
        changes, self.config = [], config
        for limit in list(self.limits):
            new = wanted.get(limit.config.name)
            if new is None or new.unmeasured() != limit.config.unmeasured():
                self.limits.remove(limit)
                self._removed_numbers.append(limit.number)
                changes.append(f"{limit.config.name} removed")
        by_name = {limit.config.name: limit for limit in self.limits}
        for new in config.limits:
            existing = by_name.get(new.name)
            if existing is None:
                self._add(new, now, 0)
                changes.append(f"{new.name} added with {new.retries or new.rate:g}")
            elif new != existing.config:
                before, after = (f"{x.retries or x.rate:g}" for x in (existing.config, new))
                changes.append(f"{new.name} {before} to {after}")
                existing.config = new
                # A higher rate is in force only once no other node is known to have a lower one.
                existing.rate = min(new.rate, existing.rate)
        return changes

    # -- events at this node

    def applicable(self, tenant: int | None, job_class: int) -> tuple[int, ...]:
        """Returns the numbers of the limits that a job counts against."""
        return tuple(
            limit.number
            for limit in self.limits
            if limit.number != api.RETRY_LIMIT
            and limit.config.tenant in (None, tenant)
            and limit.config.job_class in (None, job_class)
        )

    def job_arrived(self, now: float, tenant: int | None, job_class: int, repeat: bool) -> None:
        """Counts a job that has arrived; `repeat` if it is not its first try."""
        numbers = {*self.applicable(tenant, job_class), *((api.RETRY_LIMIT,) if repeat else ())}
        if not repeat:
            self.first_try_meter.count(now)
        for limit in self.limits:
            if limit.number in numbers:
                limit.demand.count(now)
                limit.requested_jobs += 1

    def attempt_failed(self, now: float) -> None:
        """Counts an attempt that ended without a result as a demand for a retry."""
        for limit in self.limits:
            if limit.number == api.RETRY_LIMIT:
                limit.demand.count(now)
                limit.requested_jobs += 1

    def changed_allowances(self, now: float) -> list[api.Allowance]:
        """Returns the changed levels, of which the module has to be informed before it decides."""
        current = {limit.number for limit in self.limits}
        allowances = [
            api.Allowance(number, math.inf, 1.0) for number in self._removed_numbers if number not in current
        ]
        self._removed_numbers.clear()
        for limit in self.limits:
            self._refill(now, limit)
            jobs = math.floor(limit.bucket.level + 1e-9)
            if jobs != limit.reported_jobs:
                limit.reported_jobs = jobs
                last_worth = self.worth if limit.config.over == "last" else 0.0
                allowances.append(api.Allowance(limit.number, jobs, last_worth))
        return allowances

    def record_decision(self, now: float, left: dict[int, float]) -> None:
        """Deducts the jobs that the module has admitted; `left` is what it left of each limit, by number."""
        for limit in self.limits:
            jobs = left.get(limit.number)
            if jobs is None or jobs == limit.reported_jobs:
                continue
            spent = limit.reported_jobs - jobs
            limit.admitted.count(now, spent)
            limit.admitted_jobs += int(spent)
            # Jobs that rank behind the others may exceed the level.
            limit.bucket.level = max(0.0, limit.bucket.level - spent)
            limit.reported_jobs = jobs

    def share(self, now: float, limit: Limit) -> float:
        """Returns this node's current share of a limit, between 0 and 1."""
        if limit.borrower is not None:
            return limit.borrower.account.units(now) / UNITS_PER_LIMIT
        remote, rate = self._remote_demand(now, limit.key), self._fleet_rate(now, limit)
        return limit.soft.share(now, rate, remote, self.fleet_size, len(self._alive))

    def first_tries(self, now: float) -> tuple[float, float | None]:
        """Returns first tries a second at this node, and at all others (None without their reports)."""
        remote = self._remote_demand(now, FIRST_TRIES_KEY)
        return self.first_try_meter.rate(now), remote.rate if remote is not None else None

    def _refill(self, now: float, limit: Limit) -> None:
        limit.bucket.share(now, self.share(now, limit), self._fleet_rate(now, limit) / 1000)

    def _fleet_rate(self, now: float, limit: Limit) -> float:
        """Returns the jobs a second that the whole fleet may admit, as far as this node knows."""
        if not limit.config.retries:
            return limit.rate
        remote = self._remote_demand(now, FIRST_TRIES_KEY)
        first_tries = self._own_first_tries.minimum(now) + (remote.rate if remote is not None else 0.0)
        return MIN_RETRIES_PER_S + limit.config.retries * first_tries

    def _remote_demand(self, now: float, key: int) -> RemoteDemand | None:
        if self._total is None:
            return None
        table, age = self._total
        return RemoteDemand(self.codec.rate(table, key), table.nodes, age)

    # -- messages of other nodes

    def tick(
        self, now: float, alive: tuple[str, ...], fleet_size: int, leased_parts: int, until: float
    ) -> list[Send]:
        """Updates the limits and returns the datagrams that are due.

        `alive` are the responding members, this one included; `fleet_size` is the expected number of nodes;
        `leased_parts` of the fleet's hard limits are this node's under leases that end at `until`.
        """
        self.fleet_size = max(1, fleet_size)
        if alive != self._alive:
            self._alive = alive
            self._others = [name for name in alive if name != self.name]
        self.exchange.update_members(alive, self.fleet_size)
        self._total = self.exchange.total(now)
        settle = self.settle_ms(self.fleet_size)
        self._own_first_tries.settle_ms = settle
        self._own_first_tries.sample(now, self.first_try_meter.rate(now))
        own = RateTable(1, {FIRST_TRIES_KEY: self.first_try_meter.rate(now)})
        sends: list[Send] = []
        for limit in self.limits:
            demand = limit.demand.rate(now)
            own.rates[limit.key] = demand
            if limit.config.rate:
                own.lowest_configured[limit.key] = limit.config.rate
            limit.soft.settle_ms = settle
            limit.soft.sample(now, demand)
            if limit.borrower is not None:
                limit.borrower.account.set_base(UNITS_PER_LIMIT * leased_parts // self.lease_parts, until)
                limit.borrower.demand = demand / limit.rate * UNITS_PER_LIMIT if limit.rate else 0.0
                for peer, ask in limit.borrower.due_requests(now, self._others):
                    body = _ASK.pack(limit.key, ask.number, min(ask.units, UNITS_PER_LIMIT), ask.renews)
                    sends.append((ASK, body, [peer]))
        self._apply_lowest_rates(now)
        return sends + [(SUM, body, [peer]) for peer, body in self.exchange.tick(now, own)]

    def received(
        self, now: float, datagram_type: bytes, sender: str, incarnation: int, body: bytes
    ) -> list[Send]:
        """Processes a member's datagram and returns the answers. Raises ValueError if it is invalid."""
        if datagram_type == SUM:
            self.exchange.received(now, sender, body)
            return []
        layout = _ASK if datagram_type == ASK else _GRANT
        if len(body) != layout.size:
            raise InvalidMessage("ask or grant datagram has a wrong length")
        # `extra` is the loan that an ask renews, or the units that the sender of a grant can still lend.
        key, number, units, extra = layout.unpack(body)
        limit = next((x for x in self.limits if x.key == key and x.borrower is not None), None)
        if limit is None or limit.borrower is None:
            self.dropped += 1  # this node does not have the limit: it neither lends nor borrows
            return []
        if datagram_type == GRANT:
            limit.borrower.handle_grant(now, sender, Grant(number, min(units, UNITS_PER_LIMIT)), extra)
            return []
        grant = limit.borrower.handle_request(
            now, f"{sender}.{incarnation:x}", LoanRequest(number, min(units, UNITS_PER_LIMIT), extra)
        )
        spare = min(limit.borrower.may_lend(now), UNITS_PER_LIMIT)
        return [(GRANT, _GRANT.pack(key, grant.number, grant.units, spare), [sender])]

    def member_restarted(self, name: str) -> None:
        """Forgets the messages of a member's earlier incarnation."""
        self.exchange.member_restarted(name)

    def _apply_lowest_rates(self, now: float) -> None:
        """Applies the lowest rate that any node has for a limit, and reports differing rates to operators."""
        lowest = self._total[0].lowest_configured if self._total is not None else {}
        for limit in self.limits:
            theirs = lowest.get(limit.key, math.inf)
            limit.rate = min(limit.config.rate, theirs)
            # Rates are sent in single precision.
            mismatch = abs(theirs - limit.config.rate) > 1e-6 * limit.config.rate
            other_rate = theirs if mismatch and limit.config.rate and theirs < math.inf else 0.0
            if other_rate and other_rate != limit.reported_mismatch:
                self.on_rate_mismatch(
                    limit.config.name, limit.config.rate, theirs, self.exchange.lowest_rate_node(limit.key)
                )
            limit.reported_mismatch = other_rate

    # -- for operators

    def status_lines(self, now: float) -> list[str]:
        """Returns the lines that the operators' command LIMITS prints."""
        total = self._total
        age = f"{total[1] / 1000:.1f}s old" if total is not None else "of nobody else"
        nodes = 1 + (total[0].nodes if total is not None else 0)
        settle = self.settle_ms(self.fleet_size)
        lines = [
            f"{len(self.limits)} limits, news of {nodes} of {self.fleet_size} nodes, {age};"
            f" shares grow after {settle / 1000:.1f}s"
        ]
        for limit in self.limits:
            rate, share = self._fleet_rate(now, limit), self.share(now, limit)
            remote = self._remote_demand(now, limit.key)
            fleet = limit.demand.rate(now) + (remote.rate if remote is not None else 0.0)
            window = bounds.window_jobs(rate, self.config.burst_ms, self.fleet_size, 1000.0)
            here = f" (here {limit.config.rate:g}, lower elsewhere)" if rate < limit.config.rate else ""
            line = (
                f"limit {limit.config.name} {limit.config.kind} rate={rate:.4g}/s{here} share={share:.4f}"
                f" left={limit.bucket.level:.1f} taken={limit.admitted.rate(now):.1f}/s"
                f" asked={limit.demand.rate(now):.1f}/s fleet={fleet:.1f}/s most={window:.0f} in 1 s"
            )
            if limit.borrower is not None:
                account = limit.borrower.account
                lent = sum(loan.units for loan in account.lent.values()) / UNITS_PER_LIMIT
                borrowed = sum(loan.units for loan in account.borrowed.values()) / UNITS_PER_LIMIT
                ends = min((loan.until for loan in account.borrowed.values()), default=math.inf)
                expires = f"{max(0.0, ends - now) / 1000:.1f}s" if ends < math.inf else "-"
                line += (
                    f" own={account.base(now) / UNITS_PER_LIMIT:.4f} lent={lent:.4f} borrowed={borrowed:.4f}"
                )
                line += f" expires={expires}"
            else:
                line += f" in_a_cut={self.config.in_a_cut} over={limit.config.over}"
            lines.append(line)
        return lines

    def metrics(self, now: float) -> dict[str, str]:
        """Returns the metrics that the operators' command METRICS prints, as formatted values by name."""
        metrics = {}
        for limit in self.limits:
            prefix = f"limits.{limit.config.name}"
            metrics[f"{prefix}.asked"] = f"{limit.requested_jobs}|c"
            metrics[f"{prefix}.taken"] = f"{limit.admitted_jobs}|c"
            metrics[f"{prefix}.share_millionths"] = f"{round(self.share(now, limit) * 1e6)}|g"
        metrics["limits.dropped"] = f"{self.dropped + self.exchange.dropped}|c"
        return metrics
