"""All limits of the whole fleet at one node: what it may take in now, and what it tells the others. No I/O.

Times are ms of a clock that never goes back; rates are jobs a second. Whoever calls gives the time, the parts
of the fleet that this node holds under leases, and the members that answer; and sends what it gets back.
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
from pebbledrift.limits.demand import Form, Meter, Table
from pebbledrift.limits.escrow import Account, Bucket, Grant, LoanRequest
from pebbledrift.limits.soft import Known, SoftShare
from pebbledrift.limits.sums import HURRY_MS, TIMES, BadWord, Sums
from spoolpier import interface as api

SUM, ASK, GRANT = b"u", b"e", b"E"  # forms of datagrams
UNITS = 60_000  # of a hard limit: small enough to fit a node's need
FIRST_TRIES = 0xFFFF  # the key under which all nodes tell their first tries
DELAY_MS = 50.0  # that a network is taken to need, where settle_ms is not given
LAST_WORTH = 0.01  # of a job that comes behind the others, where the settings say nothing of it
RETRIES_LEAST = 1.0  # a second, of the whole fleet: one that serves nobody has no first tries to go by
_ASK = struct.Struct("!HQIQ")
_GRANT = struct.Struct("!HQII")
Send = tuple[bytes, bytes, list[str]]  # form, body, for whom


def key_of(name: str) -> int:
    """A limit's number in datagrams, the same at all nodes whatever the order of their settings."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=2).digest(), "big") % FIRST_TRIES


def _distinct(config: FleetLimitsConfig) -> None:
    if len({key_of(limit.name) for limit in config.limits}) < len(config.limits):
        raise ValueError("two limits' names have one number: give one of them another name")


@dataclass(slots=True)
class Limit:
    """One limit: what is asked, what was taken in, and what there is."""

    config: LimitConfig
    number: int  # as the module knows it
    key: int
    demand: Meter
    taken: Meter
    bucket: Bucket
    soft: SoftShare
    borrower: Borrower | None  # of the hard kind
    rate: float  # that holds now: the lowest that is configured at any node
    shown: float = math.nan  # as the module was told
    asked: int = 0
    counted: int = 0
    warned: float = 0.0  # the other rate that was told of


class Book:
    """One node's limits. `draw` gives unpredictable numbers of 64 bits, never 0; `worth`: of a job that comes
    behind others, against that of one within its limit.
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
        worth: float = LAST_WORTH,
    ) -> None:
        self.config, self.name, self.worth = config, name, max(worth, LAST_WORTH)
        self.draw = draw
        self.form = Form(secret)
        self.sums = Sums(name, self.form, config.period_ms, config.believed_ms)
        self.whole = max(1, nodes)
        self.parts = max(1, nodes)
        # limit, the rate here, the lower one, and whose that is
        self.told_lower: Callable[[str, float, float, str], None] = lambda *_: None
        self.first = Meter(start)
        self.dropped = 0
        self.limits: list[Limit] = []
        self._alive: tuple[str, ...] = (name,)
        self._others: list[str] = []
        self._total: tuple[Table, float] | None = None  # of all others, as of the last tick
        self._gone: list[int] = []  # limits that the module has yet to be told to forget
        _distinct(config)
        for place, limit in enumerate(config.limits):
            self._begin(limit, start, seed + place)
        settle = self.settle_ms(self.whole)
        self._own_first = SoftShare(config.in_a_cut, settle, config.believed_ms, start)

    def _begin(self, limit: LimitConfig, start: float, seed: int) -> None:
        """A limit that there was not before. Of the hard kind only at the node's start."""
        config, borrower = self.config, None
        if limit.kind == "hard":
            account = Account(0, config.loan_ms, start, False, self.draw)
            borrower = Borrower(account, UNITS // self.parts, LendingPolicy(), seed)
        taken = {other.number for other in self.limits}
        free = next(i for i in range(len(taken) + 1) if i not in taken)
        number = api.RETRY_LIMIT if limit.retries else free
        soft = SoftShare(config.in_a_cut, self.settle_ms(self.whole), config.believed_ms, start)
        bucket = Bucket(limit.rate / 1000, config.burst_ms, start)
        meters = Meter(start), Meter(start)
        self.limits.append(
            Limit(limit, number, key_of(limit.name), *meters, bucket, soft, borrower, limit.rate)
        )

    def settle_ms(self, nodes: int) -> float:
        """After which a share grows: all have heard by then, if one of the words that tell a change came."""
        return self.config.settle_ms or bounds.reach_ms(nodes, DELAY_MS) + (TIMES - 1) * HURRY_MS

    def change(self, now: float, config: FleetLimitsConfig) -> list[str]:
        """Take other rates over, and soft limits that come, go or count other jobs; returns what has changed,
        in words.

        Raises ValueError where more differs, and nothing has changed then. A lower rate holds here at once,
        and at others once they have heard of it. A higher one holds when the last node that is heard has it
        (_lower): units, of whatever rate, never add up to more than the whole, so that all nodes together
        are never over the highest rate that one of them has been told. A soft limit begins as at a start.
        """
        if config.settled() != self.config.settled():
            raise ValueError("hard limits or times differ")
        _distinct(config)
        wanted = {limit.name: limit for limit in config.limits}
        told, self.config = [], config
        for limit in list(self.limits):
            new = wanted.get(limit.config.name)
            if new is None or new.unmeasured() != limit.config.unmeasured():
                self.limits.remove(limit)
                self._gone.append(limit.number)
                told.append(f"{limit.config.name} over")
        known = {limit.config.name: limit for limit in self.limits}
        for new in config.limits:
            found = known.get(new.name)
            if found is None:
                self._begin(new, now, 0)
                told.append(f"{new.name} from now on {new.retries or new.rate:g}")
            elif new != found.config:
                before, after = (f"{x.retries or x.rate:g}" for x in (found.config, new))
                told.append(f"{new.name} {before} to {after}")
                found.config = new
                found.rate = min(new.rate, found.rate)  # more only once it is seen that nobody has less
        return told

    # -- what happens at this node

    def counts(self, tenant: int | None, job_class: int) -> tuple[int, ...]:
        """The limits that a job counts against, as the module knows them."""
        return tuple(
            limit.number
            for limit in self.limits
            if limit.number != api.RETRY_LIMIT
            and limit.config.tenant in (None, tenant)
            and limit.config.job_class in (None, job_class)
        )

    def came(self, now: float, tenant: int | None, job_class: int, repeat: bool) -> None:
        """A job has come."""
        numbers = {*self.counts(tenant, job_class), *((api.RETRY_LIMIT,) if repeat else ())}
        if not repeat:
            self.first.count(now)
        for limit in self.limits:
            if limit.number in numbers:
                limit.demand.count(now)
                limit.asked += 1

    def failed(self, now: float) -> None:
        """An attempt has ended without a result: its job may go again."""
        for limit in self.limits:
            if limit.number == api.RETRY_LIMIT:
                limit.demand.count(now)
                limit.asked += 1

    def advise(self, now: float) -> list[api.Allowance]:
        """What the module has to be told before it decides: levels that have changed."""
        there = {limit.number for limit in self.limits}
        found = [api.Allowance(number, math.inf, 1.0) for number in self._gone if number not in there]
        self._gone.clear()
        for limit in self.limits:
            self._refill(now, limit)
            jobs = math.floor(limit.bucket.level + 1e-9)
            if jobs != limit.shown:
                limit.shown = jobs
                last = self.worth if limit.config.over == "last" else 0.0
                found.append(api.Allowance(limit.number, jobs, last))
        return found

    def decided(self, now: float, left: dict[int, float]) -> None:
        """The module has decided: what it has taken in is spent."""
        for limit in self.limits:
            jobs = left.get(limit.number)
            if jobs is None or jobs == limit.shown:
                continue
            spent = limit.shown - jobs
            limit.taken.count(now, spent)
            limit.counted += int(spent)
            # jobs behind the others may be more than there was
            limit.bucket.level = max(0.0, limit.bucket.level - spent)
            limit.shown = jobs

    def share(self, now: float, limit: Limit) -> float:
        """This node's share of a limit now."""
        if limit.borrower is not None:
            return limit.borrower.account.units(now) / UNITS
        known, rate = self._known(now, limit.key), self._rate(now, limit)
        return limit.soft.share(now, rate, known, self.whole, len(self._alive))

    def first_tries(self, now: float) -> tuple[float, float | None]:
        """First tries a second at this node, and at all others as far as they are heard."""
        known = self._known(now, FIRST_TRIES)
        return self.first.rate(now), known.rate if known is not None else None

    def _refill(self, now: float, limit: Limit) -> None:
        limit.bucket.share(now, self.share(now, limit), self._rate(now, limit) / 1000)

    def _rate(self, now: float, limit: Limit) -> float:
        """Jobs a second that the whole fleet may take in, as far as it is known here."""
        if not limit.config.retries:
            return limit.rate
        known = self._known(now, FIRST_TRIES)
        first = self._own_first.least(now) + (known.rate if known is not None else 0.0)
        return RETRIES_LEAST + limit.config.retries * first

    def _known(self, now: float, key: int) -> Known | None:
        if self._total is None:
            return None
        table, age = self._total
        return Known(self.form.rate(table, key), table.nodes, age)

    # -- the others

    def tick(self, now: float, alive: tuple[str, ...], whole: int, held: int, until: float) -> list[Send]:
        """Time has gone on. `alive`: members that answer, this one included; `whole`: that there should be;
        `held`: parts of the fleet's limits that are this node's under leases, and until when.
        """
        self.whole = max(1, whole)
        if alive != self._alive:
            self._alive = alive
            self._others = [name for name in alive if name != self.name]
        self.sums.know(alive, self.whole)
        self._total = self.sums.total(now)
        settle = self.settle_ms(self.whole)
        self._own_first.settle_ms = settle
        self._own_first.sample(now, self.first.rate(now))
        own = Table(1, {FIRST_TRIES: self.first.rate(now)})
        sends: list[Send] = []
        for limit in self.limits:
            asked = limit.demand.rate(now)
            own.rates[limit.key] = asked
            if limit.config.rate:
                own.lows[limit.key] = limit.config.rate
            limit.soft.settle_ms = settle
            limit.soft.sample(now, asked)
            if limit.borrower is not None:
                limit.borrower.account.set_base(UNITS * held // self.parts, until)
                limit.borrower.demand = asked / limit.rate * UNITS if limit.rate else 0.0
                for peer, ask in limit.borrower.due_requests(now, self._others):
                    body = _ASK.pack(limit.key, ask.number, min(ask.units, UNITS), ask.renews)
                    sends.append((ASK, body, [peer]))
        self._lower(now)
        return sends + [(SUM, body, [peer]) for peer, body in self.sums.tick(now, own)]

    def received(self, now: float, form: bytes, sender: str, life: int, body: bytes) -> list[Send]:
        """A member's datagram. Raises ValueError for what cannot be read."""
        if form == SUM:
            self.sums.received(now, sender, body)
            return []
        shape = _ASK if form == ASK else _GRANT
        if len(body) != shape.size:
            raise BadWord("not of this form")
        key, number, units, more = shape.unpack(body)
        limit = next((x for x in self.limits if x.key == key and x.borrower is not None), None)
        if limit is None or limit.borrower is None:
            self.dropped += 1  # a limit that this node does not have: it neither lends nor borrows
            return []
        if form == GRANT:
            limit.borrower.handle_grant(now, sender, Grant(number, min(units, UNITS)), more)
            return []
        grant = limit.borrower.handle_request(
            now, f"{sender}.{life:x}", LoanRequest(number, min(units, UNITS), more)
        )
        spare = min(limit.borrower.may_lend(now), UNITS)
        return [(GRANT, _GRANT.pack(key, grant.number, grant.units, spare), [sender])]

    def begun(self, name: str) -> None:
        """A member has begun another life."""
        self.sums.gone(name)

    def _lower(self, now: float) -> None:
        """Where nodes have different rates for one limit the lowest holds, and staff are told."""
        lows = self._total[0].lows if self._total is not None else {}
        for limit in self.limits:
            theirs = lows.get(limit.key, math.inf)
            limit.rate = min(limit.config.rate, theirs)
            # told in single precision
            off = abs(theirs - limit.config.rate) > 1e-6 * limit.config.rate
            differs = theirs if off and limit.config.rate and theirs < math.inf else 0.0
            if differs and differs != limit.warned:
                self.told_lower(limit.config.name, limit.config.rate, theirs, self.sums.lowest(limit.key))
            limit.warned = differs

    # -- for operators

    def lines(self, now: float) -> list[str]:
        """What LIMITS tells."""
        total = self._total
        age = f"{total[1] / 1000:.1f}s old" if total is not None else "of nobody else"
        nodes = 1 + (total[0].nodes if total is not None else 0)
        settle = self.settle_ms(self.whole)
        found = [
            f"{len(self.limits)} limits, news of {nodes} of {self.whole} nodes, {age};"
            f" shares grow after {settle / 1000:.1f}s"
        ]
        for limit in self.limits:
            rate, share = self._rate(now, limit), self.share(now, limit)
            known = self._known(now, limit.key)
            fleet = limit.demand.rate(now) + (known.rate if known is not None else 0.0)
            window = bounds.window_jobs(rate, self.config.burst_ms, self.whole, 1000.0)
            here = f" (here {limit.config.rate:g}, lower elsewhere)" if rate < limit.config.rate else ""
            line = (
                f"limit {limit.config.name} {limit.config.kind} rate={rate:.4g}/s{here} share={share:.4f}"
                f" left={limit.bucket.level:.1f} taken={limit.taken.rate(now):.1f}/s"
                f" asked={limit.demand.rate(now):.1f}/s fleet={fleet:.1f}/s most={window:.0f} in 1 s"
            )
            if limit.borrower is not None:
                account = limit.borrower.account
                lent = sum(loan.units for loan in account.lent.values()) / UNITS
                borrowed = sum(loan.units for loan in account.borrowed.values()) / UNITS
                ends = min((loan.until for loan in account.borrowed.values()), default=math.inf)
                expires = f"{max(0.0, ends - now) / 1000:.1f}s" if ends < math.inf else "-"
                line += f" own={account.base(now) / UNITS:.4f} lent={lent:.4f} borrowed={borrowed:.4f}"
                line += f" expires={expires}"
            else:
                line += f" in_a_cut={self.config.in_a_cut} over={limit.config.over}"
            found.append(line)
        return found

    def figures(self, now: float) -> dict[str, str]:
        """What METRICS tells, as it is written."""
        found = {}
        for limit in self.limits:
            under = f"limits.{limit.config.name}"
            found[f"{under}.asked"] = f"{limit.asked}|c"
            found[f"{under}.taken"] = f"{limit.counted}|c"
            found[f"{under}.share_millionths"] = f"{round(self.share(now, limit) * 1e6)}|g"
        found["limits.dropped"] = f"{self.dropped + self.sums.dropped}|c"
        return found
