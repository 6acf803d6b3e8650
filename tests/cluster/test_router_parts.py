"""Tests parts of the router: routes, events, retry and token budgets, and the division of workers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from typing import Any

import pytest

from pebbledrift.bounds import Limits
from pebbledrift.control.quota import LoanPriority
from pebbledrift.control.registry import Instance, InstanceState
from pebbledrift.net.http import Parser
from pebbledrift.overlay.messages import TokenGrant, TokenRequest
from pebbledrift.router import pools
from pebbledrift.router.events import EventSplitter
from pebbledrift.router.pools import WorkerPools
from pebbledrift.router.request import parse_prompt
from pebbledrift.router.retries import RetryBudget
from pebbledrift.router.routes import RoutingTable, Tenant
from pebbledrift.router.tokens import TokenBudgets
from tests.cluster.test_orders import CONFIG


class Clock:
    """A fake event loop with the functions for time and timers that these parts use."""

    def __init__(self) -> None:
        self.now = 100.0
        self.timers: list[tuple[float, Any, tuple[Any, ...]]] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, action: Any, *arguments: Any) -> Clock:
        self.timers.append((self.now + delay, action, arguments))
        return self

    def cancel(self) -> None:
        return

    def advance(self, seconds: float) -> None:
        self.now += seconds
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, action, arguments in due:
            action(*arguments)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[Clock]:
    fake_loop = Clock()
    monkeypatch.setattr(asyncio, "get_running_loop", lambda: fake_loop)
    yield fake_loop


def test_a_request_matches_the_longest_prefix_of_its_host() -> None:
    config = {
        **CONFIG,
        "routes": [*CONFIG["routes"], {**CONFIG["routes"][0], "name": "r3", "path-prefix": "/x/y/"}],
    }
    table = RoutingTable(config)
    matches = {path: table.match("A.example:80", path) for path in ("/x/1", "/x/y/1", "/x", "/z/1")}
    assert {path: route and route.name for path, route in matches.items()} == {
        "/x/1": "r1",
        "/x/y/1": "r3",
        "/x": None,
        "/z/1": None,
    }
    assert table.match("b.example", "/x/1") is None


def test_a_traffic_split_follows_its_weights_and_is_stable_per_request() -> None:
    route = RoutingTable(CONFIG).match("a.example", "/y/1")
    assert route is not None
    drawn = [route.backend_for(f"id-{number}") for number in range(2000)]
    assert drawn == [route.backend_for(f"id-{number}") for number in range(2000)]
    assert 0.07 < drawn.count("plain") / 2000 < 0.13


def test_only_whole_events_are_forwarded_and_repeated_ones_are_dropped_after_a_resume() -> None:
    cutter = EventSplitter()
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert cutter.partial and cutter.last_id == b"1"
    cutter = EventSplitter(resume_after=cutter.last_id)
    assert not cutter.partial
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert cutter.feed(b"versions: 2\r\nid: 3\r\ndata: c\r\n\r\n").endswith(b"\r\n\r\n")
    assert cutter.last_id == b"3"


def test_repeated_sends_stay_within_the_used_share_of_the_budget() -> None:
    budget = RetryBudget(0.2, 10.0, 60.0)
    for number in range(100):
        budget.record_request(number / 100)
    taken = sum(budget.take(1.0, routers=10) for _ in range(100))
    assert taken == int(0.75 * (0.2 * 100 + 60.0 / 10))
    assert not budget.take(5.0, routers=10)
    assert budget.take(12.0, routers=10)


def test_the_routing_key_of_a_prompt_is_its_last_shared_part() -> None:
    data = (
        b"POST / HTTP/1.1\r\nX-Pebbledrift-Token-Count: 10,5\r\nX-Pebbledrift-Prompt-Prefix: a:1,b:2,c:7\r\n"
    )
    message = next(iter(Parser(Limits(), request=True).feed(data + b"Content-Length: 0\r\n\r\n")))
    parsed = parse_prompt(message)
    assert parsed is not None and (parsed.tokens, parsed.key()) == (15.0, 0xB)


class Lender:
    """A fake keeper that lends; it can be made unreachable."""

    def __init__(self) -> None:
        self.requests: list[TokenRequest] = []
        self.reachable = True

    def ask(self, request: TokenRequest) -> bool:
        if self.reachable:
            self.requests.append(request)
        return self.reachable

    def routers(self) -> int:
        return 10


class UnreachableLender(Lender):
    """No keeper is reachable; the fleet has this number of routers."""

    def __init__(self, count: int) -> None:
        super().__init__()
        self._count, self.reachable = count, False

    def routers(self) -> int:
        return self._count


TENANT = Tenant("t", 1, True, 1000.0, 1000.0, True, 20.0)


def make_budgets() -> tuple[TokenBudgets, Lender]:
    lender = Lender()
    budgets = TokenBudgets(lender)
    budgets.configure([TENANT])
    return budgets, lender


def test_a_loan_is_spent_and_expires(clock: Clock) -> None:
    budgets, lender = make_budgets()
    decisions: list[float | None] = []
    budgets.take(TENANT, 50.0, False, decisions.append)
    assert not decisions
    budgets.granted(TokenGrant(lender.requests[-1].number, 3, "t", 120.0, 0.0))
    budgets.take(TENANT, 50.0, False, decisions.append)
    assert decisions == [None, None]
    clock.advance(2.0)
    budgets.take(TENANT, 10.0, False, decisions.append)
    assert len(decisions) == 2, "the loan has expired: the tokens must be requested again"


def test_a_new_keeper_receives_the_recent_spending(clock: Clock) -> None:
    budgets, lender = make_budgets()
    decisions: list[float | None] = []
    budgets.take(TENANT, 50.0, False, decisions.append)
    budgets.granted(TokenGrant(lender.requests[-1].number, 3, "t", 120.0, 0.0))
    clock.advance(0.5)
    report = budgets.report(4)
    assert (report.epoch, report.age_s) == (4, 0.5)
    assert report.spent[0][0] == "t" and report.spent[0][1][:3] == (0.0, 120.0, 0.0)
    clock.advance(60.0)
    assert sum(budgets.report(4).spent[0][1]) == 0.0


def test_a_grant_of_an_earlier_epoch_is_not_used(clock: Clock) -> None:
    budgets, lender = make_budgets()
    decisions: list[float | None] = []
    budgets.take(TENANT, 50.0, False, decisions.append)
    budgets.granted(TokenGrant(lender.requests[-1].number, 3, "t", 50.0, 0.0))
    clock.advance(2.0)
    budgets.take(TENANT, 400.0, False, decisions.append)
    budgets.granted(TokenGrant(lender.requests[-1].number, 2, "t", 1000.0, 0.0))
    assert decisions[0] is None and decisions[1] is not None


def test_a_denied_cost_is_not_requested_again_at_once_but_a_lower_one_is(clock: Clock) -> None:
    budgets, lender = make_budgets()
    decisions: list[float | None] = []
    budgets.take(TENANT, 500.0, False, decisions.append)
    budgets.granted(TokenGrant(lender.requests[-1].number, 3, "t", 0.0, 1.0))
    sent = len(lender.requests)
    budgets.take(TENANT, 500.0, False, decisions.append)
    assert len(lender.requests) == sent and decisions[0] and decisions[1]
    budgets.take(TENANT, 20.0, False, decisions.append)
    assert len(lender.requests) == sent + 1
    budgets.take(TENANT, 500.0, True, decisions.append)
    assert len(lender.requests) == sent + 2


def test_a_small_request_is_sent_with_its_own_priority_after_other_denials(clock: Clock) -> None:
    budgets, lender = make_budgets()
    decisions: list[float | None] = []
    budgets.take(TENANT, 500.0, True, decisions.append)
    budgets.granted(TokenGrant(lender.requests[-1].number, 3, "t", 0.0, 1.0))
    budgets.take(TENANT, 20.0, False, decisions.append)
    assert lender.requests[-1].priority == LoanPriority.SMALL
    budgets.granted(TokenGrant(lender.requests[-1].number, 3, "t", 0.0, 1.0))
    sent = len(lender.requests)
    budgets.take(TENANT, 30.0, True, decisions.append)
    assert len(lender.requests) == sent, "a denial at small priority applies to all priorities"


def test_without_a_keeper_all_routers_together_stay_within_the_rate(clock: Clock) -> None:
    budgets, lender = make_budgets()
    lender.reachable = False
    spent = 0.0
    for _ in range(800):
        decisions: list[float | None] = []
        budgets.take(TENANT, 20.0, False, decisions.append)
        spent += 20.0 if decisions == [None] else 0.0
        clock.advance(0.01)
    assert 0.8 * 800 < spent <= 8 * TENANT.rate / 10 + 20.0


def test_without_a_keeper_routers_that_rarely_see_a_tenant_serve_what_the_rate_allows(clock: Clock) -> None:
    """Each of many routers gets requests that cost far more than its part of the rate yields in the test."""
    routers, cost, seconds = 80, 2000.0, 2.0
    rng = random.Random(5)
    spent = 0.0
    for _ in range(25):
        all_budgets = [
            TokenBudgets(UnreachableLender(routers), random_fraction=rng.random) for _ in range(routers)
        ]
        for budgets in all_budgets:
            budgets.configure([TENANT])
        later = [(rng.uniform(0.0, seconds), budgets) for budgets in all_budgets for _ in range(2)]
        started_at = clock.now
        for at, budgets in sorted([*((0.0, b) for b in all_budgets), *later], key=lambda arrival: arrival[0]):
            clock.advance(max(0.0, started_at + at - clock.now))
            decisions: list[float | None] = []
            budgets.take(TENANT, cost, False, decisions.append)
            spent += cost if decisions == [None] else 0.0
    allowed = 25 * seconds * TENANT.rate
    assert 0.4 * allowed < spent < 1.2 * allowed


def test_without_a_keeper_small_requests_do_not_starve_a_large_one(clock: Clock) -> None:
    budgets, lender = make_budgets()
    lender.reachable = False
    passed = []
    for number in range(400):
        decisions: list[float | None] = []
        cost = 150.0 if number % 5 == 0 else 1.0
        budgets.take(TENANT, cost, False, decisions.append)
        if decisions == [None]:
            passed.append(cost)
        clock.advance(0.02)
    assert 3 <= passed.count(150.0) <= 6


def test_without_a_keeper_a_busy_router_keeps_its_previous_rate(clock: Clock) -> None:
    budgets, lender = make_budgets()
    for _ in range(80):  # 200 tokens per second: twice the equal part of each of ten routers
        budgets.take(TENANT, 20.0, False, lambda wait: None)
        if lender.requests:
            budgets.granted(TokenGrant(lender.requests.pop().number, 3, "t", 20.0, 0.0))
        clock.advance(0.1)
    lender.reachable = False
    clock.advance(2.0)  # loans granted in advance have expired
    spent = 0.0
    for _ in range(200):
        decisions: list[float | None] = []
        budgets.take(TENANT, 20.0, False, decisions.append)
        spent += 20.0 if decisions == [None] else 0.0
        clock.advance(0.02)
    assert 1.2 * 4 * TENANT.rate / 10 < spent <= 2 * 4 * TENANT.rate / 10 + 80.0


class Recorder:
    """A fake placement that records its workers."""

    def __init__(self) -> None:
        self.workers: list[str] = []
        self.failing_ids: set[str] = set()

    def failing_instances(self) -> set[str]:
        return self.failing_ids

    def update_instances(self, instances: list[Instance]) -> None:
        self.workers = [instance.id for instance in instances]


def instances(count: int) -> list[Instance]:
    return [
        Instance(f"i{n}", "lm", "h:1", "z", "v", 12, InstanceState.READY, 1, "", 0.0) for n in range(count)
    ]


def make_pools(count: int) -> tuple[WorkerPools, Recorder, Recorder]:
    placements = [Recorder(), Recorder()]
    remaining = iter(placements)
    worker_pools = WorkerPools(lambda first_limit: next(remaining), True, 12, 10)  # type: ignore[arg-type,return-value]
    worker_pools.update_instances(instances(count))
    return worker_pools, placements[0], placements[1]


def test_workers_are_divided_by_running_requests_and_identically_at_all_routers(clock: Clock) -> None:
    one, long_one, short_one = make_pools(9)
    other, long_other, short_other = make_pools(9)
    for each in (one, other):
        assert each.choose(9000.0) is each.long and each.choose(200.0) is each.short
        each.divide(16.0)
    assert len(short_one.workers) == 2 and len(long_one.workers) == 7
    assert not set(short_one.workers) & set(long_one.workers)
    assert (short_one.workers, long_one.workers) == (short_other.workers, long_other.workers)
    one.divide(1000.0)
    assert len(short_one.workers) == 5


def test_all_workers_serve_the_only_kind_of_request(clock: Clock) -> None:
    worker_pools, long, short = make_pools(4)
    worker_pools.choose(9000.0)
    worker_pools.choose(200.0)
    worker_pools.divide(4.0)
    assert len(short.workers) == 1
    clock.advance(pools.KIND_EXPIRY_S + 1)
    worker_pools.choose(200.0)
    worker_pools.divide(4.0)
    assert len(short.workers) == len(long.workers) == 4


def test_a_worker_that_fails_is_not_kept_for_short_prompts(clock: Clock) -> None:
    worker_pools, long, short = make_pools(6)
    worker_pools.choose(9000.0), worker_pools.choose(200.0)
    worker_pools.divide(2.0)
    first = list(short.workers)
    assert len(first) == 1 and first[0] not in long.workers
    short.failing_ids = set(first)
    worker_pools.divide(2.0)
    second = list(short.workers)
    assert len(second) == 1 and second != first and first[0] in long.workers
    short.failing_ids = set()  # the worker serves long prompts now, so this placement sees no failures
    worker_pools.divide(2.0)
    assert short.workers == second
    clock.advance(pools.AVOID_FAILING_S + 0.1)
    worker_pools.divide(2.0)
    assert short.workers == first


def test_where_all_workers_fail_some_are_kept_all_the_same(clock: Clock) -> None:
    worker_pools, long, short = make_pools(3)
    worker_pools.choose(9000.0), worker_pools.choose(200.0)
    long.failing_ids = {"i0", "i1", "i2"}
    worker_pools.divide(2.0)
    assert len(short.workers) == 1 and len(long.workers) == 2
