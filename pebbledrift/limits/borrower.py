"""Lending policy of a hard limit: how many units a node requests, from whom, and how many it keeps. No I/O.

The policy cannot break a limit: the account alone decides what may be spent (escrow.py). Units follow demand
without oscillating: a node requests what it lacks, renews a loan only if it still needs the units, and lends
only what exceeds its own need by a margin. A node that had nothing to lend is not asked again for a while.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from pebbledrift.limits.escrow import Account, Grant, LoanRequest


@dataclass(frozen=True, slots=True)
class LendingPolicy:
    """Parameters of borrowing and lending. Fractions are of the node's demand unless noted."""

    slack: float = 0.05  # shortage that the node tolerates before it requests units
    margin: float = 0.03  # surplus over the demand that the node does not lend
    min_kept: float = 0.05  # fraction of the base that the node never lends
    max_peers: int = 8  # peers that receive a request in one round
    answer_ms: float = 80.0  # a request without an answer by then is sent again
    max_doublings: int = 4  # of the interval between rounds that bring no units
    dry_ms: float = 400.0  # how long a peer that had nothing to lend is not asked again
    renew: float = 0.6  # fraction of a loan's duration after which it is renewed


SPARE_VALID_MS = 2000.0  # how long a lender's report of its spare units is used


class Borrower:
    """Borrows and lends units for one account. Peers are identified by any string that the caller chooses.

    There is at most one loan from each lender. A request to change or renew it states the total units wanted.
    """

    def __init__(self, account: Account, base: int, policy: LendingPolicy, seed: int) -> None:
        self.account, self.base, self.policy = account, base, policy
        self.random = random.Random(seed)
        self.demand = 0.0  # in units; set by the caller
        self.loans: dict[str, int] = {}  # by lender: the number of its loan
        # by lender: the open request, and when it was last sent
        self.open_requests: dict[str, tuple[LoanRequest, float]] = {}
        self.dry_until: dict[str, float] = {}  # by lender that had nothing to lend
        self.spare: dict[str, tuple[int, float]] = {}  # by lender: reported spare units, and when received
        self.requested_at = -1e18
        self.fruitless_rounds = 0  # rounds of requests since one last brought units
        self._demand_at_round = 0.0

    def may_lend(self, now: float) -> int:
        """Return how many units this node does not need and may lend."""
        keep = max(self.policy.min_kept * self.base, (1 + self.policy.margin) * self.demand)
        return int(max(0.0, min(self.account.spare(now), self.account.units(now) - keep)))

    def handle_request(self, now: float, sender: str, request: LoanRequest) -> Grant:
        """Answer another node's request. Lent units that this node needs now are not lent again."""
        lacking = math.ceil(max(0.0, self.demand - self.account.units(now)))
        return self.account.handle_request(now, sender, request, self.may_lend(now), lacking)

    def handle_grant(self, now: float, sender: str, grant: Grant, spare: int = 0) -> None:
        """Process another node's answer, which also reports the units that it has left to lend."""
        self.spare[sender] = spare, now
        open_request = self.open_requests.get(sender)
        previous_units = self._borrowed_units(sender)
        if open_request is not None and open_request[0].number == grant.number:
            del self.open_requests[sender]
        if self.account.handle_grant(now, grant):
            self.loans[sender] = grant.number
            self.fruitless_rounds = 0 if grant.units > previous_units else self.fruitless_rounds
        elif not spare:
            self.dry_until[sender] = now + self.policy.dry_ms

    def due_requests(self, now: float, others: list[str]) -> list[tuple[str, LoanRequest]]:
        """Return the requests to send now, each with its recipient: repeats, renewals and new requests."""
        policy, account = self.policy, self.account
        units, requests = account.units(now), list[tuple[str, LoanRequest]]()
        self.loans = {peer: number for peer, number in self.loans.items() if number in account.borrowed}
        self.open_requests = {
            peer: sent for peer, sent in self.open_requests.items() if sent[0].number in account.pending
        }
        for peer, (request, sent) in self.open_requests.items():
            if now - sent >= policy.answer_ms:
                # the same number, so that a loan that was already granted is not granted again
                self.open_requests[peer] = request, now
                requests.append((peer, request))
        surplus = units - self.demand
        for peer, number in self.loans.items():
            loan = account.borrowed[number]
            if peer in self.open_requests or loan.until - now > account.loan_ms * (1 - policy.renew):
                continue
            needed, surplus = loan.units - max(0, int(surplus)), max(0.0, surplus - loan.units)
            if needed > 0:  # renew only the units that are still needed; the others expire
                requests.append(self._request(now, peer, needed))
        lacking = self.demand - units
        if self.demand > 1.1 * self._demand_at_round:
            self.fruitless_rounds = 0
        pause = policy.answer_ms * 2 ** min(self.fruitless_rounds, policy.max_doublings)
        if lacking >= max(1, policy.slack * self.demand) and now - self.requested_at >= pause:
            self.requested_at, self._demand_at_round = now, self.demand
            self.fruitless_rounds += 1
            requests += self._request_more(now, math.ceil(lacking), others)
        return requests

    def _request_more(self, now: float, wanted: int, others: list[str]) -> list[tuple[str, LoanRequest]]:
        """Request units from peers with known spare units, and the rest from random other peers."""
        recent_spare = {p: units for p, (units, at) in self.spare.items() if now - at < SPARE_VALID_MS}
        candidates = [
            p for p in others if p not in self.open_requests and now >= self.dry_until.get(p, -1e18)
        ]
        known_lenders = [peer for peer in candidates if recent_spare.get(peer)]
        known_lenders.sort(key=lambda peer: (peer in self.loans, recent_spare[peer]), reverse=True)
        requests: list[tuple[str, LoanRequest]] = []
        for peer in known_lenders[: self.policy.max_peers]:
            if wanted > 0:
                # the peer may have lent units since its report, so only half of them are counted on
                requests.append(
                    self._request(now, peer, self._borrowed_units(peer) + min(wanted, recent_spare[peer]))
                )
                wanted -= recent_spare[peer] // 2
        unknown_peers = [peer for peer in candidates if not recent_spare.get(peer)]
        # a small shortage is spread over few peers, because each loan has to be renewed
        spread = 2 ** min(self.fruitless_rounds, 3) * max(1, round(wanted / max(1, self.base)))
        count = min(self.policy.max_peers - len(requests), spread, len(unknown_peers))
        for peer in self.random.sample(unknown_peers, count) if wanted > 0 and count > 0 else ():
            requests.append(self._request(now, peer, self._borrowed_units(peer) + -(-wanted // count)))
        return requests

    def _borrowed_units(self, peer: str) -> int:
        loan = self.account.borrowed.get(self.loans.get(peer, 0))
        return loan.units if loan is not None else 0

    def _request(self, now: float, peer: str, units: int) -> tuple[str, LoanRequest]:
        request = self.account.create_request(now, units, self.loans.get(peer, 0))
        self.open_requests[peer] = request, now
        return peer, request
