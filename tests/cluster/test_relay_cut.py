"""Routers and relays with real replicas while a keeper is cut off, or is frozen and then cut off."""

from __future__ import annotations

import pytest

from pebbledrift.chain.peers import CONTACT_TIMEOUT_S
from tests.cluster.relay_replicas import ReplicaKeeper, start_fleet
from tests.cluster.relay_simulation import Fabric

MAX_CONFIG_DELAY_S = 2.0  # within which a connected router applies a change
CUT_DURATION_S = 20.0
ROUTERS = 12


def keeper(fabric: Fabric, number: int) -> ReplicaKeeper:
    selected = fabric.keepers[fabric.seeds[number]]
    assert isinstance(selected, ReplicaKeeper)
    return selected


def routers(fabric: Fabric) -> list[str]:
    return sorted(fabric.routers)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("frozen", [False, True])
@pytest.mark.parametrize("victim", [0, 2])
def test_no_router_relies_on_a_keeper_that_is_cut_off(victim: int, frozen: bool, seed: int) -> None:
    """All routers but three reach both sides; those three reach only the isolated keeper and each other."""
    fabric = start_fleet(3, ROUTERS, seed)
    everyone = routers(fabric)
    assert all(fabric.routers[address].revision == 1 for address in everyone)
    isolated, majority_side = fabric.seeds[victim], [a for n, a in enumerate(fabric.seeds) if n != victim]
    isolated_routers, others = everyone[:3], everyone[3:]
    if frozen:
        fabric.freeze(isolated, 3.0)
        fabric.run(0.5)  # heartbeats of the other keepers queue up at the frozen one
    fabric.cut_off([isolated], majority_side)
    fabric.cut_off(isolated_routers, [*majority_side, *others])
    cut_at = fabric.now
    starting = isolated_routers[0]
    fabric.run(max(0.0, 3.0 - 0.5) if frozen else 1.2)
    fabric.kill(starting)
    fabric.start_router(starting)
    fabric.run(0.8)
    majority = keeper(fabric, 1)
    revision = 1
    while fabric.now < cut_at + CUT_DURATION_S:
        revision += 1
        acknowledged = majority.submit_change(revision, revision - 1)
        before = fabric.now
        while not acknowledged and fabric.now < before + 4.0:
            fabric.run(0.01)
        assert acknowledged, f"revision {revision} is not acknowledged"
        while fabric.now < acknowledged[0] + MAX_CONFIG_DELAY_S:
            fabric.run(0.1)
            assert not keeper(fabric, victim).replica.current(fabric.now)
            assert not fabric.routers[starting].node.synchronized, "synchronized by a keeper that is cut off"
        late = [a for a in others if fabric.routers[a].revision < revision]
        assert not late, f"without revision {revision} after {MAX_CONFIG_DELAY_S} s: {late}"
        assert all(fabric.routers[address].revision <= 1 for address in isolated_routers)
    fabric.heal()
    fabric.run(4.0)
    assert {fabric.routers[address].revision for address in everyone} == {revision}
    assert all(fabric.routers[address].node.synchronized for address in everyone)


def test_a_keeper_that_is_cut_off_is_not_current_after_the_contact_time() -> None:
    fabric = start_fleet(3, 3, 1)
    isolated = keeper(fabric, 0)
    assert isolated.replica.current(fabric.now)
    fabric.cut_off([fabric.seeds[0]], fabric.seeds[1:])
    fabric.run(CONTACT_TIMEOUT_S + 0.05)
    assert not isolated.replica.current(fabric.now)
    assert all(
        received.state.current is False or received.origin != fabric.seeds[0]
        for received in received_states(fabric)
    )


def received_states(fabric: Fabric) -> list:  # type: ignore[type-arg]
    """Let pending messages arrive, and return the recent keeper states of all routers."""
    fabric.run(0.1)
    return [state for r in fabric.routers.values() for state in r.node.follower.recent_states(fabric.now)]
