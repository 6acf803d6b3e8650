"""Time slices at cold workers, lent by nodes with little traffic to nodes with much. No I/O.

What a cold worker can take is divided among as many dispatcher indexes as nodes are configured, and each node
owns one index (spoolpier, WorkerTable.cold_budget). With uneven traffic the time slices of idle nodes are
wasted. So a node with less than half of one index's share of the fleet's traffic lends its index to a node
with more traffic than the share of the indexes that it holds.

At most one node uses an index at any time, whatever messages are lost, delayed, duplicated or cut off, and
whichever nodes restart:

- the owner stops using its index when it grants the loan, for `loan_ms` (1 + 2 x DRIFT) of its own clock
  (escrow.Account), and then for `guard_ms`, one time slice, longer: the borrower has then last spent in an
  earlier time slice than the owner, so each time slice's budget is spent once, as if by one node;
- the borrower counts the loan from when it *sent* the request, for `loan_ms` (1 - 2 x DRIFT), and uses the
  index from `guard_ms` after it received the grant, because the owner may have spent until it granted it;
- a node that starts does not know whether its earlier incarnation lent its index, and does not use the index
  for the duration of one loan plus `guard_ms`.

Times are in ms of a monotonic clock.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass

from pebbledrift.limits.escrow import Account, Grant, LoanRequest
from pebbledrift.membership.lease import DRIFT

# Entitlements, in indexes, below which a node lends its index, and below which it renews a loan.
LEND_BELOW, RENEW_LENT_BELOW = 0.5, 0.7
BORROW_ABOVE = 0.5  # entitlement beyond the indexes held, from which another one is borrowed
ANSWER_MS = 150.0  # a request without an answer by then is sent again or given up
DRY_MS = 1000.0  # how long a peer that lends nothing is not asked again
MAX_REQUESTS = 2  # new requests at one time
RENEW = 0.5  # fraction of a loan's duration after which it is renewed
MAX_BORROWED = 32  # indexes that one node borrows
LOAN_SLICES, GUARD_SLICES = 2, 1  # durations of a loan and of the guard time, in time slices
_REQUEST = struct.Struct("!QQ")  # request number, number of the loan to renew
_GRANT = struct.Struct("!QB")  # request number, units


class BadSliceMessage(ValueError):
    """The bytes are not a valid request for an index, or not a valid grant."""


@dataclass(slots=True)
class BorrowedIndex:
    """Another node's dispatcher index that is borrowed or requested."""

    account: Account
    index: int = -1  # until granted
    usable_from: float = math.inf


class TimeSliceLoans:
    """Lends and borrows dispatcher indexes for one node.

    `index` is the node's own one. Peers are identified by any string that the caller chooses. `draw_number`
    returns unpredictable 64-bit numbers other than 0.
    """

    def __init__(
        self,
        index: int,
        slice_ms: float,
        start: float,
        draw_number: Callable[[], int],
        seed: int,
        may_have_lent: bool = True,
    ) -> None:
        self.index, self.draw_number = index, draw_number
        self.loan_ms, self.guard_ms = LOAN_SLICES * slice_ms, GUARD_SLICES * slice_ms
        self.own = Account(1, self.loan_ms, start, False, draw_number)
        # an earlier incarnation may have lent the index
        self.free_at = start + self.loan_ms * (1 + 2 * DRIFT) + self.guard_ms if may_have_lent else start
        self.entitled = 1.0  # indexes that this node's share of the traffic corresponds to
        self.random = random.Random(seed)
        self.borrowed: dict[str, BorrowedIndex] = {}  # by owner
        # by owner: the open request, and when it was last sent
        self.open_requests: dict[str, tuple[LoanRequest, float]] = {}
        self.dry_until: dict[str, float] = {}  # by owner that lent nothing

    def usable_indexes(self, now: float) -> tuple[int, ...]:
        """Return the dispatcher indexes whose time slices this node may use now."""
        indexes = [self.index] if self._may_use_own(now) else []
        indexes += [b.index for b in self.borrowed.values() if now >= b.usable_from and b.account.units(now)]
        return tuple(sorted(indexes))

    def _may_use_own(self, now: float) -> bool:
        """Return whether the own index is usable; extends `free_at` past the loans that are out."""
        until = max((loan.until for loan in self.own.lent.values()), default=-math.inf)
        if until > -math.inf:
            self.free_at = max(self.free_at, until + self.guard_ms)
        return now >= self.free_at

    def handle_request(self, now: float, sender: str, request: LoanRequest) -> Grant:
        """Answer another node's request for this node's index."""
        previous = self.own.lent.get((sender, request.renews))
        lends = self.entitled < (LEND_BELOW if previous is None else RENEW_LENT_BELOW)
        free = previous is not None or self._may_use_own(now)
        grant = self.own.handle_request(now, sender, request, int(lends and free), int(not lends))
        self._may_use_own(now)  # records in `free_at` when the loan ends
        return grant

    def handle_grant(self, now: float, sender: str, index: int, grant: Grant) -> None:
        """Process the answer of the owner of `index`. An answer without an open request is ignored."""
        open_request = self.open_requests.get(sender)
        if open_request is None or open_request[0].number != grant.number:
            return
        del self.open_requests[sender]
        borrowed = self.borrowed[sender]
        previous_units = borrowed.account.units(now)
        if borrowed.account.handle_grant(now, grant):
            borrowed.index = index
            borrowed.usable_from = borrowed.usable_from if previous_units else now + self.guard_ms
        elif not previous_units:
            self.dry_until[sender] = now + DRY_MS

    def due_requests(self, now: float, others: list[str]) -> list[tuple[str, LoanRequest]]:
        """Return the requests to send now, each with its recipient: renewals, and new ones if needed."""
        requests: list[tuple[str, LoanRequest]] = []
        for peer in [
            p for p, b in self.borrowed.items() if p not in self.open_requests and not b.account.units(now)
        ]:
            del self.borrowed[peer]
        held = int(self._may_use_own(now)) + sum(b.account.units(now) for b in self.borrowed.values())
        for peer, (request, sent) in list(self.open_requests.items()):
            if request.number not in self.borrowed[peer].account.pending:
                del self.open_requests[peer]
            elif now - sent >= ANSWER_MS and request.renews:
                self.open_requests[peer] = request, now  # repeats the same request
                requests.append((peer, request))
            elif now - sent >= ANSWER_MS:
                del self.open_requests[peer]
                self.dry_until[peer] = now + DRY_MS
        surplus = held - self.entitled
        for peer, borrowed in self.borrowed.items():
            for number, loan in list(borrowed.account.borrowed.items()):
                if peer in self.open_requests or loan.until - now > self.loan_ms * (1 - RENEW):
                    continue
                if surplus >= 1.0:
                    surplus -= 1.0  # no longer needed, so it is not renewed
                else:
                    requests.append(self._request(now, peer, number))
        wanted = min(math.floor(self.entitled - held + 1 - BORROW_ABOVE), MAX_BORROWED - len(self.borrowed))
        unanswered = sum(not request.renews for request, _ in self.open_requests.values())
        if wanted > unanswered:
            candidates = [
                p for p in others if p not in self.borrowed and now >= self.dry_until.get(p, -math.inf)
            ]
            for peer in self.random.sample(
                candidates, min(MAX_REQUESTS, wanted - unanswered, len(candidates))
            ):
                self.borrowed[peer] = BorrowedIndex(Account(0, self.loan_ms, now, False, self.draw_number))
                requests.append(self._request(now, peer, 0))
        return requests

    def _request(self, now: float, peer: str, renews: int) -> tuple[str, LoanRequest]:
        request = self.borrowed[peer].account.create_request(now, 1, renews)
        self.open_requests[peer] = request, now
        return peer, request


def pack_request(request: LoanRequest) -> bytes:
    """Encode the body of a request."""
    return _REQUEST.pack(request.number, request.renews)


def pack_grant(grant: Grant) -> bytes:
    """Encode the body of a grant."""
    return _GRANT.pack(grant.number, grant.units)


def unpack_request(body: bytes) -> LoanRequest:
    """Decode the body of a request. Raises BadSliceMessage if it is invalid."""
    if len(body) != _REQUEST.size:
        raise BadSliceMessage("time slice request has the wrong length")
    number, renews = _REQUEST.unpack(body)
    return LoanRequest(number, 1, renews)


def unpack_grant(body: bytes) -> Grant:
    """Decode the body of a grant. Raises BadSliceMessage if it is invalid."""
    if len(body) != _GRANT.size or body[-1] > 1:
        raise BadSliceMessage("time slice grant has the wrong length, or more than one unit")
    return Grant(*_GRANT.unpack(body))
