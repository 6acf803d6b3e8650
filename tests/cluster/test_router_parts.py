"""Parts of the router: routes, events, the retry budget, the purse, the division of workers."""

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
from pebbledrift.router.tokens import TokenPurse
from tests.cluster.test_orders import CONFIG


class Clock:
    """An event loop's time, as far as these parts use it."""

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
    made = Clock()
    monkeypatch.setattr(asyncio, "get_running_loop", lambda: made)
    yield made


def test_the_longest_prefix_of_the_host_wins() -> None:
    config = {
        **CONFIG,
        "routes": [*CONFIG["routes"], {**CONFIG["routes"][0], "name": "r3", "path-prefix": "/x/y/"}],
    }
    table = RoutingTable(config)
    found = {path: table.match("A.example:80", path) for path in ("/x/1", "/x/y/1", "/x", "/z/1")}
    assert {path: route and route.name for path, route in found.items()} == {
        "/x/1": "r1",
        "/x/y/1": "r3",
        "/x": None,
        "/z/1": None,
    }
    assert table.match("b.example", "/x/1") is None


def test_a_split_follows_its_weights_and_a_request_stays_with_its_service() -> None:
    route = RoutingTable(CONFIG).match("a.example", "/y/1")
    assert route is not None
    drawn = [route.backend_for(f"id-{number}") for number in range(2000)]
    assert drawn == [route.backend_for(f"id-{number}") for number in range(2000)]
    assert 0.07 < drawn.count("plain") / 2000 < 0.13


def test_events_are_cut_whole_and_repeats_are_dropped_behind_a_resume() -> None:
    cutter = EventSplitter()
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert cutter.partial and cutter.last_id == b"1"
    cutter.resume()
    assert not cutter.partial
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert cutter.feed(b"versions: 2\r\nid: 3\r\ndata: c\r\n\r\n").endswith(b"\r\n\r\n")
    assert cutter.last_id == b"3"


def test_repeated_sends_stay_within_a_part_of_the_budget() -> None:
    budget = RetryBudget(0.2, 10.0, 60.0)
    for number in range(100):
        budget.note_request(number / 100)
    taken = sum(budget.take(1.0, routers=10) for _ in range(100))
    assert taken == int(0.75 * (0.2 * 100 + 60.0 / 10))
    assert not budget.take(5.0, routers=10)
    assert budget.take(12.0, routers=10)


def test_the_prompt_s_key_is_its_last_shared_part() -> None:
    data = (
        b"POST / HTTP/1.1\r\nX-Pebbledrift-Token-Count: 10,5\r\nX-Pebbledrift-Prompt-Prefix: a:1,b:2,c:7\r\n"
    )
    message = next(iter(Parser(Limits(), request=True).feed(data + b"Content-Length: 0\r\n\r\n")))
    read = parse_prompt(message)
    assert read is not None and (read.tokens, read.key()) == (15.0, 0xB)


class Lender:
    """The keeper that lends, or none."""

    def __init__(self) -> None:
        self.asked: list[TokenRequest] = []
        self.reachable = True

    def ask(self, request: TokenRequest) -> bool:
        if self.reachable:
            self.asked.append(request)
        return self.reachable

    def routers(self) -> int:
        return 10


class Many(Lender):
    """No keeper, and many routers."""

    def __init__(self, count: int) -> None:
        super().__init__()
        self._count, self.reachable = count, False

    def routers(self) -> int:
        return self._count


TENANT = Tenant("t", 1, True, 1000.0, 1000.0, True, 20.0)


def make_purse() -> tuple[TokenPurse, Lender]:
    lender = Lender()
    purse = TokenPurse(lender)
    purse.configure([TENANT])
    return purse, lender


def test_a_loan_is_used_up_and_void_after_a_while(clock: Clock) -> None:
    purse, lender = make_purse()
    decided: list[float | None] = []
    purse.take(TENANT, 50.0, False, decided.append)
    assert not decided
    purse.granted(TokenGrant(lender.asked[-1].number, 3, "t", 120.0, 0.0))
    purse.take(TENANT, 50.0, False, decided.append)
    assert decided == [None, None]
    clock.advance(2.0)
    purse.take(TENANT, 10.0, False, decided.append)
    assert len(decided) == 2, "what was lent is void: it has to be asked for"


def test_a_purse_tells_a_new_keeper_what_it_took_lately(clock: Clock) -> None:
    purse, lender = make_purse()
    decided: list[float | None] = []
    purse.take(TENANT, 50.0, False, decided.append)
    purse.granted(TokenGrant(lender.asked[-1].number, 3, "t", 120.0, 0.0))
    clock.advance(0.5)
    report = purse.report(4)
    assert (report.epoch, report.age_s) == (4, 0.5)
    assert report.taken[0][0] == "t" and report.taken[0][1][:3] == (0.0, 120.0, 0.0)
    clock.advance(60.0)
    assert sum(purse.report(4).taken[0][1]) == 0.0


def test_a_grant_of_an_earlier_epoch_is_not_used(clock: Clock) -> None:
    purse, lender = make_purse()
    decided: list[float | None] = []
    purse.take(TENANT, 50.0, False, decided.append)
    purse.granted(TokenGrant(lender.asked[-1].number, 3, "t", 50.0, 0.0))
    clock.advance(2.0)
    purse.take(TENANT, 400.0, False, decided.append)
    purse.granted(TokenGrant(lender.asked[-1].number, 2, "t", 1000.0, 0.0))
    assert decided[0] is None and decided[1] is not None


def test_what_was_denied_is_not_asked_for_again_at_once_but_less_is(clock: Clock) -> None:
    purse, lender = make_purse()
    decided: list[float | None] = []
    purse.take(TENANT, 500.0, False, decided.append)
    purse.granted(TokenGrant(lender.asked[-1].number, 3, "t", 0.0, 1.0))
    asked = len(lender.asked)
    purse.take(TENANT, 500.0, False, decided.append)
    assert len(lender.asked) == asked and decided[0] and decided[1]
    purse.take(TENANT, 20.0, False, decided.append)
    assert len(lender.asked) == asked + 1
    purse.take(TENANT, 500.0, True, decided.append)
    assert len(lender.asked) == asked + 2


def test_a_small_request_is_asked_for_with_precedence_though_all_else_was_denied(clock: Clock) -> None:
    purse, lender = make_purse()
    decided: list[float | None] = []
    purse.take(TENANT, 500.0, True, decided.append)
    purse.granted(TokenGrant(lender.asked[-1].number, 3, "t", 0.0, 1.0))
    purse.take(TENANT, 20.0, False, decided.append)
    assert lender.asked[-1].priority == LoanPriority.SMALL
    purse.granted(TokenGrant(lender.asked[-1].number, 3, "t", 0.0, 1.0))
    asked = len(lender.asked)
    purse.take(TENANT, 30.0, True, decided.append)
    assert len(lender.asked) == asked, "what is denied to the small is denied to all"


def test_without_a_keeper_all_routers_together_stay_within_the_rate(clock: Clock) -> None:
    purse, lender = make_purse()
    lender.reachable = False
    spent = 0.0
    for _ in range(800):
        decided: list[float | None] = []
        purse.take(TENANT, 20.0, False, decided.append)
        spent += 20.0 if decided == [None] else 0.0
        clock.advance(0.01)
    assert 0.8 * 800 < spent <= 8 * TENANT.rate / 10 + 20.0


def test_without_a_keeper_routers_that_see_a_tenant_seldom_serve_what_the_rate_allows(clock: Clock) -> None:
    """Each of many routers sees a request that costs far more than its part brings in the time."""
    routers, cost, seconds = 80, 2000.0, 2.0
    draw = random.Random(5)
    spent = 0.0
    for _ in range(25):
        purses = [TokenPurse(Many(routers), draw=draw.random) for _ in range(routers)]
        for purse in purses:
            purse.configure([TENANT])
        later = [(draw.uniform(0.0, seconds), purse) for purse in purses for _ in range(2)]
        begun = clock.now
        for at, purse in sorted([*((0.0, p) for p in purses), *later], key=lambda arrival: arrival[0]):
            clock.advance(max(0.0, begun + at - clock.now))
            decided: list[float | None] = []
            purse.take(TENANT, cost, False, decided.append)
            spent += cost if decided == [None] else 0.0
    owed = 25 * seconds * TENANT.rate
    assert 0.4 * owed < spent < 1.2 * owed


def test_without_a_keeper_small_requests_do_not_keep_a_large_one_from_its_turn(clock: Clock) -> None:
    purse, lender = make_purse()
    lender.reachable = False
    passed = []
    for number in range(400):
        decided: list[float | None] = []
        cost = 150.0 if number % 5 == 0 else 1.0
        purse.take(TENANT, cost, False, decided.append)
        if decided == [None]:
            passed.append(cost)
        clock.advance(0.02)
    assert 3 <= passed.count(150.0) <= 6


def test_without_a_keeper_a_busy_router_goes_on_at_the_rate_that_it_had(clock: Clock) -> None:
    purse, lender = make_purse()
    for _ in range(80):  # 200 tokens a second: twice the equal part of ten routers
        purse.take(TENANT, 20.0, False, lambda wait: None)
        if lender.asked:
            purse.granted(TokenGrant(lender.asked.pop().number, 3, "t", 20.0, 0.0))
        clock.advance(0.1)
    lender.reachable = False
    clock.advance(2.0)  # what was lent ahead is void
    spent = 0.0
    for _ in range(200):
        decided: list[float | None] = []
        purse.take(TENANT, 20.0, False, decided.append)
        spent += 20.0 if decided == [None] else 0.0
        clock.advance(0.02)
    assert 1.2 * 4 * TENANT.rate / 10 < spent <= 2 * 4 * TENANT.rate / 10 + 80.0


class Recorder:
    """Stands for a placement."""

    def __init__(self) -> None:
        self.workers: list[str] = []
        self.fails: set[str] = set()

    def failing(self) -> set[str]:
        return self.fails

    def follow(self, instances: list[Instance]) -> None:
        self.workers = [instance.id for instance in instances]


def instances(count: int) -> list[Instance]:
    return [
        Instance(f"i{n}", "lm", "h:1", "z", "v", 12, InstanceState.READY, 1, "", 0.0) for n in range(count)
    ]


def make_pools(count: int) -> tuple[WorkerPools, Recorder, Recorder]:
    made = [Recorder(), Recorder()]
    left = iter(made)
    divided = WorkerPools(lambda first_limit: next(left), True, 12, 10)  # type: ignore[arg-type,return-value]
    divided.follow(instances(count))
    return divided, made[0], made[1]


def test_workers_are_divided_by_what_runs_and_alike_everywhere(clock: Clock) -> None:
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


def test_one_kind_of_request_has_all_workers(clock: Clock) -> None:
    divided, long, short = make_pools(4)
    divided.choose(9000.0)
    divided.choose(200.0)
    divided.divide(4.0)
    assert len(short.workers) == 1
    clock.advance(pools.SEEN_S + 1)
    divided.choose(200.0)
    divided.divide(4.0)
    assert len(short.workers) == len(long.workers) == 4


def test_a_worker_that_fails_is_not_kept_for_short_prompts(clock: Clock) -> None:
    divided, long, short = make_pools(6)
    divided.choose(9000.0), divided.choose(200.0)
    divided.divide(2.0)
    first = list(short.workers)
    assert len(first) == 1 and first[0] not in long.workers
    short.fails = set(first)
    divided.divide(2.0)
    second = list(short.workers)
    assert len(second) == 1 and second != first and first[0] in long.workers
    short.fails = set()  # it is another's now and not tried here
    divided.divide(2.0)
    assert short.workers == second
    clock.advance(pools.AVOID_S + 0.1)
    divided.divide(2.0)
    assert short.workers == first


def test_where_all_workers_fail_some_are_kept_all_the_same(clock: Clock) -> None:
    divided, long, short = make_pools(3)
    divided.choose(9000.0), divided.choose(200.0)
    long.fails = {"i0", "i1", "i2"}
    divided.divide(2.0)
    assert len(short.workers) == 1 and len(long.workers) == 2
