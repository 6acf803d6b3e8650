"""Tests of configuration orders, the configuration schema, the instance registry and quota loans."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from pebbledrift.cluster.errors import InvalidConfiguration
from pebbledrift.control.orders import (
    ALREADY_REFUSED,
    MAX_CONFIG_BYTES,
    MAX_REFUSED_DIGESTS,
    ConfigurationState,
    Order,
    OrderKind,
    OrderResult,
    OrderStatus,
    refusal_of,
)
from pebbledrift.control.quota import (
    SLOT_S,
    LoanPriority,
    QuotaLender,
    QuotaWindow,
    SpendingHistory,
    SpendingReport,
    SpendingSlot,
    TenantQuota,
)
from pebbledrift.control.registry import (
    InstanceState,
    MalformedHeartbeat,
    Registry,
    gone_instance,
    parse_heartbeat,
)
from pebbledrift.control.schema import check

CONFIG: dict[str, Any] = {
    "revision": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "a.example",
            "path-prefix": "/x/",
            "route-type": "streaming",
            "timeout-ms": 2000,
            "target-latency-ms": 150,
            "priority": 0,
            "backend": "lm",
            "max-attempts": 2,
            "public": False,
            "resumable": True,
        },
        {
            "name": "r2",
            "hostname": "a.example",
            "path-prefix": "/y/",
            "route-type": "unsafe",
            "timeout-ms": 900,
            "traffic-split": [{"backend": "lm", "weight": 90}, {"backend": "plain", "weight": 10}],
        },
    ],
    "backends": [{"name": "lm", "engine": {"slots": 4}}, {"name": "plain"}],
    "limits": {"max-header-bytes": 16384},
    "tenants": [
        {"name": "t1", "api-keys": ["k1", "k2"], "unit": "tokens", "rate-per-s": 10, "burst": 10},
        {"name": "t2", "api-keys": ["k3"]},
    ],
}


def replace_order(config: dict[str, Any], base: int = 0) -> Order:
    return Order(OrderKind.REPLACE, base, json.dumps(config).encode())


def update_order(change: dict[str, Any], base: int) -> Order:
    return Order(OrderKind.UPDATE, base, json.dumps(change).encode())


def initial_state() -> ConfigurationState:
    state = ConfigurationState(check)
    assert state.apply(replace_order(CONFIG)).status == OrderStatus.ACCEPTED
    return state


def altered(**changes: Any) -> dict[str, Any]:
    """CONFIG at revision 9 with values replaced; `a__0__b_c` stands for the path a[0].b-c."""
    config = copy.deepcopy(CONFIG)
    config["revision"] = 9
    for path, value in changes.items():
        target: Any = config
        *parents, last = [int(p) if p.isdigit() else p.replace("_", "-") for p in path.split("__")]
        for key in parents:
            target = target[key]
        target[last] = value
    return config


FAULTS = [
    (altered(routes__0__backend="none"), "routes[0]: unknown service 'none'"),
    (altered(routes__1__hostname="A.example", routes__1__path_prefix="/x/"), "routes[1]: another route"),
    (altered(routes__1__traffic_split=[{"backend": "lm", "weight": 0}]), "weights sum to 0"),
    (altered(routes__0__timeout_ms=0), "routes[0].timeout-ms"),
    (altered(routes__0__timeout_ms="2000"), "routes[0].timeout-ms"),
    (altered(tenants__1__api_keys=["k2"]), "tenants[1].api-keys"),
    (altered(routes__0__path_prefix="x"), "routes[0].path-prefix"),
    (altered(routes__1__name="r1"), "stands twice"),
    (altered(revision=7), "revision: 7 is not above 7"),
    (altered(routes=None), "routes"),
]


@pytest.mark.parametrize(("config", "message"), FAULTS, ids=[message for _, message in FAULTS])
def test_an_invalid_configuration_is_refused_with_the_path_of_the_fault(
    config: dict[str, Any], message: str
) -> None:
    result = initial_state().apply(replace_order(config, base=7))
    assert result.status == OrderStatus.INVALID
    assert message in result.reason
    assert "k2" not in result.reason


def test_all_faults_are_reported_at_once() -> None:
    config = altered(routes__0__backend="none", tenants__1__api_keys=["k2"])
    with pytest.raises(InvalidConfiguration) as error:
        check(config)
    assert len(error.value.faults) == 2


def test_updates_do_not_make_a_configuration_larger_than_can_be_sent() -> None:
    """Guards against a configuration that grows by updates until no message has room for it."""
    state, result = initial_state(), OrderResult(OrderStatus.ACCEPTED)
    key = "k" * (MAX_CONFIG_BYTES // 3)
    for number in range(4):
        tenant = {"name": f"large-{number}", "api-keys": [f"{number}{key}"]}
        change = {"revision": 8 + number, "upsert": {"tenants": [tenant]}}
        result = state.apply(Order(OrderKind.UPDATE, state.revision, json.dumps(change).encode()))
        if result.status != OrderStatus.ACCEPTED:
            break
    assert result.status == OrderStatus.INVALID and f"at most {MAX_CONFIG_BYTES}" in result.reason
    assert state.revision == 9


def test_a_truncated_order_is_invalid() -> None:
    order = Order(OrderKind.REPLACE, 7, json.dumps(altered()).encode()[:-20])
    assert initial_state().apply(order).status == OrderStatus.INVALID


def test_another_base_conflicts_and_a_resent_order_does_not() -> None:
    state = initial_state()
    assert state.apply(replace_order(altered(), base=5)).status == OrderStatus.CONFLICT
    assert state.apply(replace_order(CONFIG)).status == OrderStatus.ALREADY_ACCEPTED
    assert state.apply(replace_order(altered(), base=7)).status == OrderStatus.ACCEPTED
    assert state.apply(replace_order(CONFIG)).status == OrderStatus.ALREADY_ACCEPTED


def test_a_recorded_refusal_is_final_and_is_restored() -> None:
    early = update_order({"revision": 11, "delete": {"routes": ["r2"]}}, base=9)
    state = initial_state()
    assert state.apply(early).status == OrderStatus.CONFLICT and state.must_record_refusal(early)
    state.apply(refusal_of(early))
    assert not state.must_record_refusal(early)
    assert not state.must_record_refusal(replace_order(altered(), base=3)), "revision 3 never comes back"
    restored = ConfigurationState(check)
    restored.restore(*state.dump())
    for candidate in (state, restored, state.copy(check)):
        assert candidate.apply(replace_order(altered(), base=7)).status == OrderStatus.ACCEPTED
        result = candidate.apply(early)
        assert (result.status, result.reason) == (OrderStatus.CONFLICT, ALREADY_REFUSED)
        assert candidate.revision == 9 and len(candidate.accepted) == 2


def test_recorded_refusals_are_bounded() -> None:
    state = initial_state()
    for number in range(MAX_REFUSED_DIGESTS + 10):
        state.apply(refusal_of(Order(OrderKind.UPDATE, 100 + number, b"{}")))
    assert len(state.refused) == MAX_REFUSED_DIGESTS
    assert not state.must_record_refusal(Order(OrderKind.UPDATE, 100 + number, b"{}"))


def test_an_update_changes_named_items_and_keeps_the_rest() -> None:
    state = initial_state()
    route = {**CONFIG["routes"][0], "timeout-ms": 1}
    change = {"revision": 8, "upsert": {"routes": [route]}, "delete": {"routes": ["r2"], "tenants": ["t2"]}}
    assert state.apply(update_order(change, 7)).status == OrderStatus.ACCEPTED
    assert state.config is not None
    assert [r["timeout-ms"] for r in state.config["routes"]] == [1]
    assert [t["name"] for t in state.config["tenants"]] == ["t1"]
    assert state.config["limits"] == CONFIG["limits"] and state.revision == 8


@pytest.mark.parametrize(
    "change",
    [
        {"revision": 8, "delete": {"backends": ["plain"]}},
        {"revision": 8, "upsert": {"routes": [{"timeout-ms": 5}]}},
        {"revision": 8, "upsert": []},
        {"upsert": {}},
    ],
)
def test_an_update_that_leads_to_an_invalid_configuration_is_refused(change: dict[str, Any]) -> None:
    state = initial_state()
    assert state.apply(update_order(change, 7)).status == OrderStatus.INVALID
    assert state.config == CONFIG


def test_a_dumped_state_can_be_restored() -> None:
    state, other = initial_state(), ConfigurationState(check)
    other.restore(*state.dump())
    assert (
        other.config == CONFIG and other.apply(replace_order(CONFIG)).status == OrderStatus.ALREADY_ACCEPTED
    )


HEARTBEAT = {
    "backend": "lm",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
}


def test_the_newest_heartbeat_of_an_instance_wins_and_an_ended_instance_stays_ended() -> None:
    registry = Registry()
    ready = parse_heartbeat("i", HEARTBEAT)
    draining = parse_heartbeat("i", {**HEARTBEAT, "state": "draining", "sequence": 2})
    assert registry.merge(ready, 0.0) is not None
    assert registry.merge(parse_heartbeat("i", {**HEARTBEAT, "sequence": 3}), 0.0) is None
    assert registry.merge(draining, 0.0) is None, "a heartbeat that arrives late changes nothing"
    later = parse_heartbeat("i", {**HEARTBEAT, "state": "draining", "sequence": 4})
    assert registry.merge(later, 0.0) is not None
    assert registry.merge(parse_heartbeat("i", {**HEARTBEAT, "sequence": 5}), 0.0) is None
    assert registry.instances["i"].state == InstanceState.DRAINING
    assert registry.merge(gone_instance("i"), 0.0) is not None
    assert registry.merge(parse_heartbeat("i", {**HEARTBEAT, "sequence": 9}), 0.0) is None
    assert "i" not in registry.instances


@pytest.mark.parametrize(
    "change", [{"state": "odd"}, {"address": "nowhere"}, {"slots": "4"}, {"backend": None}, {"sequence": -1}]
)
def test_a_malformed_heartbeat_is_refused(change: dict[str, Any]) -> None:
    with pytest.raises(MalformedHeartbeat):
        parse_heartbeat("i", {**HEARTBEAT, **change})


WINDOW = QuotaWindow(8.0, 0.1)


@pytest.mark.parametrize("pause", [0, 300, 900])
def test_no_more_is_lent_in_any_window_than_the_quota_allows(pause: int) -> None:
    lender = QuotaLender(WINDOW)
    lender.configure([TenantQuota("t", 1000.0, 1000.0, True, 0.0)], 0.0)
    lent: list[tuple[float, float]] = []
    for step in range(3000):
        if step % 1000 < pause:
            continue  # no requests for a while: the saved-up tokens may then be lent at once
        granted, wait = lender.lend("t", 90.0, 200.0, step / 100, LoanPriority(step % 3))
        assert granted or wait > 0
        lent.append((step / 100, granted))
    for begin, _ in lent:
        window = sum(granted for at, granted in lent if begin <= at < begin + WINDOW.remembered_s)
        assert window <= 9000.0 * 1.05 + 1e-6
    if not pause:
        assert sum(granted for _, granted in lent) >= 0.95 * 30_000.0


def test_a_peak_passes_if_the_tenant_stays_below_its_rate_on_average() -> None:
    lender = QuotaLender(WINDOW)
    lender.configure([TenantQuota("t", 1000.0, 1000.0, True, 0.0)], 0.0)
    now = 0.0
    for second in range(20):
        requests = 3 if second % 4 else 12  # 525 tokens per second on average, 1200 at the peaks
        for _ in range(requests):
            assert lender.lend("t", 100.0, 100.0, now, LoanPriority.ORDINARY)[0] == 100.0 or second < 3
        now += 1.0


def test_parts_of_a_burst_are_reserved_for_urgent_and_small_requests() -> None:
    lender = QuotaLender(WINDOW)
    lender.configure([TenantQuota("t", 1000.0, 1000.0, True, 0.0)], 0.0)
    now = 1.0
    while lender.lend("t", 50.0, 50.0, now, LoanPriority.ORDINARY)[0]:
        pass
    assert lender.lend("t", 50.0, 50.0, now, LoanPriority.URGENT)[0] == 50.0
    while lender.lend("t", 50.0, 50.0, now, LoanPriority.URGENT)[0]:
        pass
    assert lender.lend("t", 5.0, 5.0, now, LoanPriority.SMALL)[0] == 5.0
    assert lender.lend("unknown", 50.0, 50.0, now, LoanPriority.URGENT) == (0.0, 1.0)


def lent_after_reconciling(reports: list[SpendingReport], routers: int) -> float:
    """The most that a new lender lends after it received the routers' spending reports."""
    lender = QuotaLender(WINDOW)
    lender.configure([TenantQuota("t", 1000.0, 1000.0, True, 0.0)], 0.0)
    lender.reconcile(reports, routers, 0.0)
    return lender.lend("t", 1.0, 10_000.0, 0.0, LoanPriority.SMALL)[0]


def test_a_new_lender_lends_what_the_routers_have_not_spent() -> None:
    idle, busy = SpendingReport(60.0, {}), SpendingReport(60.0, {"t": (100.0, 200.0)})
    assert lent_after_reconciling([idle, idle], 2) == 1600.0
    assert lent_after_reconciling([idle, busy], 2) == 1300.0
    assert lent_after_reconciling([busy] * 5, 5) == pytest.approx(480.0), "no less than the initial fill"


def test_spending_long_ago_counts_in_the_window_only() -> None:
    early = SpendingReport(60.0, {"t": (0.0,) * 8 + (8500.0,)})
    assert lent_after_reconciling([early], 1) == pytest.approx(9000.0 * 1.05 - 8500.0)


def test_a_router_without_a_report_or_just_restarted_counts_with_its_equal_part() -> None:
    idle, just_started = SpendingReport(60.0, {}), SpendingReport(0.5, {})
    assert lent_after_reconciling([idle], 2) == pytest.approx(1600.0 - 800.0)
    unknown = 1.6 - 0.5 - 0.2  # seconds not covered by the report, of the 1.6 s in which the bucket fills
    assert lent_after_reconciling([idle, just_started], 2) == pytest.approx(1600.0 - 500.0 * unknown / 2)


def test_loans_before_the_reports_arrive_count() -> None:
    lender = QuotaLender(WINDOW)
    lender.configure([TenantQuota("t", 1000.0, 1000.0, True, 0.0)], 0.0)
    assert lender.lend("t", 300.0, 300.0, 0.0, LoanPriority.SMALL)[0] == 300.0
    lender.reconcile([SpendingReport(60.0, {})], 1, 0.0)
    assert lender.lend("t", 1.0, 5000.0, 0.0, LoanPriority.SMALL)[0] == 1300.0


def test_spending_expires_and_the_history_is_bounded() -> None:
    history = SpendingHistory(8.5)
    for step in range(10_000):
        history.add(1.0, step * 0.01)
    assert 845 <= history.total(100.0) <= 855
    assert len(history.slots(100.0)) == 17 and sum(history.slots(100.0)) == history.total(100.0)
    assert history.slots(100.0)[0] == pytest.approx(50.0, abs=6)
    assert history.total(200.0) == 0.0
    for step in range(100_000):
        history.add(1.0, 300.0 + step * 0.001)
    assert len(history._steps) <= 8.5 / 0.05 + 2


def test_merged_spending_counts_until_its_last_token_is_a_span_old() -> None:
    history = SpendingHistory(8.0)
    history.add(10.0, 1.0)
    history.add(20.0, 1.04)
    assert history.total(9.03) == 30.0
    assert history.total(9.05) == 0.0


def test_reported_slots_are_adopted_at_their_times() -> None:
    history = SpendingHistory(8.5)
    slots = enumerate((10.0, 20.0, 0.0, 40.0))
    history.replace([SpendingSlot(100.0 - (index + 0.5) * SLOT_S, tokens) for index, tokens in slots])
    assert history.total(100.0) == 70.0
    assert history.slots(100.0)[:4] == (10.0, 20.0, 0.0, 40.0)
    assert history.total(107.0) == 30.0
