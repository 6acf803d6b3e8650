"""The relay tree on simulated time: the scenarios in relay_scenarios/, and random faults."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from pebbledrift.overlay.sampling import (
    MAX_SHUFFLE_ENTRIES,
    MAX_VIEW_ENTRIES,
    PartialView,
    PeerDescriptor,
    Shuffle,
)
from pebbledrift.overlay.uplinks import MAX_UPLINKS, REFUSED_RETRY_S, UplinkPlan
from tests.cluster.relay_scenario import RelayScenario, scenario_files

SEEDS = range(3)


@pytest.mark.parametrize("path", scenario_files(), ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    for seed in SEEDS:
        RelayScenario(seed).play(path.read_text())


def random_scenario(seed: int) -> str:
    """Return a scenario of random kills, freezes and cuts while the configuration and the workers change."""
    rng = random.Random(seed)
    lines = ["fleet zones 3 keepers 6 routers 30 keeper-children 10 router-children 3", "within 6 settled"]
    revision = 1
    for number in range(6):
        victims = [f"R{n}" for n in rng.sample(range(30), rng.randrange(1, 8))] + [f"K{rng.randrange(6)}"]
        fault = rng.choice(("kill", "freeze", "cut", "none"))
        if fault == "kill":
            lines.append(f"kill {' '.join(victims)}")
        elif fault == "freeze":
            lines += [f"freeze {victim} for {rng.uniform(0.5, 5):.2f}" for victim in victims]
        elif fault == "cut":
            lines.append(f"cut {' '.join(victims)} from keepers routers")
        keepers = [f"K{n}" for n in range(6) if f"K{n}" not in victims]
        lines += [f"ready w{number} at {rng.choice(keepers)}", f"run {rng.uniform(0, 1):.2f}"]
        for _ in range(rng.randrange(4)):
            revision += 1
            lines += [f"commit {revision}", f"run {rng.uniform(0, 0.5):.2f}"]
        lines.append(f"draining w{number} at {rng.choice(keepers)}")
        lines.append(f"run {rng.uniform(0, 3):.2f}")
        lines.append("heal")
        if fault == "kill":
            lines.append(f"start {' '.join(victims)}")
        lines += ["run 5", f"within 4 revision {revision}", f"within 1 without w{number}"]
        lines += ["within 1 settled", "children bounded"]
    return "\n".join(lines)


@pytest.mark.parametrize("seed", range(20))
def test_all_routers_follow_through_random_faults(seed: int) -> None:
    RelayScenario(seed).play(random_scenario(seed))


# partial views


def descriptor(number: int, age: int = 0) -> PeerDescriptor:
    return PeerDescriptor(f"10.0.0.{number}:1", "a", False, age)


def shuffle_rounds(views: dict[str, PartialView], rounds: int) -> None:
    for _ in range(rounds):
        for view in list(views.values()):
            request = view.begin_round()
            if request is None or request[0] not in views:
                continue
            reply = views[request[0]].receive(request[1])
            assert reply is not None
            view.receive(reply)


def test_views_mix_stay_bounded_and_drop_dead_nodes() -> None:
    count = 60
    views = {}
    for number in range(count):
        own = descriptor(number)
        views[own.address] = PartialView(own, [descriptor((number + 1) % count)], number)
    shuffle_rounds(views, 40)
    sizes = [len(view.peers) for view in views.values()]
    assert max(sizes) <= MAX_VIEW_ENTRIES and min(sizes) >= MAX_VIEW_ENTRIES // 2
    occurrences = {
        address: sum(address in {p.address for p in v.peers} for v in views.values()) for address in views
    }
    assert min(occurrences.values()) >= 1 and max(occurrences.values()) < count / 2
    dead = [f"10.0.0.{number}:1" for number in range(0, count, 3)]
    for address in dead:
        del views[address]
    shuffle_rounds(views, 60)
    remaining = [p.address for view in views.values() for p in view.peers]
    assert sum(address in dead for address in remaining) < 0.05 * len(remaining)


def test_a_view_is_bounded_and_never_holds_its_own_node() -> None:
    view = PartialView(descriptor(0), [], 1)
    assert view.begin_round() is None
    entries = tuple(descriptor(number, age=number) for number in range(40))
    reply = view.receive(Shuffle("10.0.0.1:1", entries, True))
    assert reply is not None and len(reply.peers) <= MAX_SHUFFLE_ENTRIES
    assert len(view.peers) <= MAX_VIEW_ENTRIES and view.own.address not in {p.address for p in view.peers}


# uplinks


def test_uplinks_are_in_different_zones_own_zone_first_keepers_before_relays() -> None:
    plan = UplinkPlan("r", "b")
    keepers = {"k1": "a", "k2": "b", "k3": "c", "k4": "b"}
    relays = {"r1": "a", "r2": "b", "r3": "d"}
    chosen = plan.choose(keepers, relays, [], 0.0)
    assert len(chosen) == MAX_UPLINKS and chosen[0] in ("k2", "k4")
    zones = [{**keepers, **relays}[address] for address in chosen]
    assert len(set(zones)) == MAX_UPLINKS


def test_a_node_that_refused_is_avoided_for_a_while() -> None:
    plan = UplinkPlan("r", "a")
    assert plan.choose({"k1": "a"}, {"r1": "a"}, [], 0.0) == ["k1", "r1"]
    plan.note_refusal("k1", 0.0)
    assert plan.choose({"k1": "a"}, {"r1": "a"}, [], 1.0) == ["r1"]
    assert plan.choose({"k1": "a"}, {"r1": "a"}, [], REFUSED_RETRY_S) == ["k1", "r1"]


def test_connected_relays_are_kept() -> None:
    plan = UplinkPlan("r", "a")
    relays = {f"r{number}": "a" for number in range(20)}
    first = plan.choose({}, relays, [], 0.0)
    others = {f"x{number}": "a" for number in range(20)}
    assert plan.choose({}, {**relays, **others}, first, 1.0) == first
