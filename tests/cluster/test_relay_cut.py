"""Routers and relays over real replicas while a keeper is cut off, or stands still and is cut off then."""

from __future__ import annotations

import pytest

from pebbledrift.chain.peers import CONTACT_TIMEOUT_S
from tests.cluster.relay_replicas import ReplicaKeeper, fleet
from tests.cluster.relay_simulation import Fabric

CONFIG_S = 2.0  # a router in touch follows a change within so long
CUT_S = 20.0
ROUTERS = 12


def keeper(fabric: Fabric, number: int) -> ReplicaKeeper:
    found = fabric.keepers[fabric.seeds[number]]
    assert isinstance(found, ReplicaKeeper)
    return found


def routers(fabric: Fabric) -> list[str]:
    return sorted(fabric.routers)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("frozen", [False, True])
@pytest.mark.parametrize("victim", [0, 2])
def test_a_keeper_in_a_cut_misleads_no_router(victim: int, frozen: bool, seed: int) -> None:
    """All routers but three reach both sides; those three reach the cut keeper and each other alone."""
    fabric = fleet(3, ROUTERS, seed)
    everyone = routers(fabric)
    assert all(fabric.routers[address].revision == 1 for address in everyone)
    lost, far = fabric.seeds[victim], [a for n, a in enumerate(fabric.seeds) if n != victim]
    beside, others = everyone[:3], everyone[3:]
    if frozen:
        fabric.freeze(lost, 3.0)
        fabric.run(0.5)  # heartbeats of the others wait for it
    fabric.cut_off([lost], far)
    fabric.cut_off(beside, [*far, *others])
    cut_at = fabric.now
    starting = beside[0]
    fabric.run(max(0.0, 3.0 - 0.5) if frozen else 1.2)
    fabric.kill(starting)
    fabric.start_router(starting)
    fabric.run(0.8)
    majority = keeper(fabric, 1)
    revision = 1
    while fabric.now < cut_at + CUT_S:
        revision += 1
        acknowledged = majority.order(revision, revision - 1)
        before = fabric.now
        while not acknowledged and fabric.now < before + 4.0:
            fabric.run(0.01)
        assert acknowledged, f"revision {revision} is not acknowledged"
        while fabric.now < acknowledged[0] + CONFIG_S:
            fabric.run(0.1)
            assert not keeper(fabric, victim).replica.current(fabric.now)
            assert not fabric.routers[starting].node.settled, "ready by a keeper that is cut off"
        late = [a for a in others if fabric.routers[a].revision < revision]
        assert not late, f"without revision {revision} after {CONFIG_S} s: {late}"
        assert all(fabric.routers[address].revision <= 1 for address in beside)
    fabric.heal()
    fabric.run(4.0)
    assert {fabric.routers[address].revision for address in everyone} == {revision}
    assert all(fabric.routers[address].node.settled for address in everyone)


def test_a_keeper_that_is_cut_off_says_so_within_the_time_of_contact() -> None:
    fabric = fleet(3, 3, 1)
    lost = keeper(fabric, 0)
    assert lost.replica.current(fabric.now)
    fabric.cut_off([fabric.seeds[0]], fabric.seeds[1:])
    fabric.run(CONTACT_TIMEOUT_S + 0.05)
    assert not lost.replica.current(fabric.now)
    assert all(heard.state.current is False or heard.origin != fabric.seeds[0] for heard in told(fabric))


def told(fabric: Fabric) -> list:  # type: ignore[type-arg]
    fabric.run(0.1)
    return [heard for r in fabric.routers.values() for heard in r.node.follower.fresh(fabric.now)]
