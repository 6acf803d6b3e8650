"""Tests of chain replication and its views, in simulated time."""

from __future__ import annotations

import random

import pytest

from pebbledrift.chain.messages import Accept, Accepted, Prepare, Promise
from pebbledrift.control.orders import OrderStatus
from tests.cluster.simulation import Cluster, change

THREE = ("a:1", "b:1", "c:1")


def status_of(call: object) -> int | None:
    result = getattr(call, "result")  # noqa: B009
    return None if result is None else result.status


def test_a_change_is_accepted_at_any_keeper() -> None:
    cluster = Cluster(THREE)
    cluster.run(1.0)
    for number, address in enumerate(THREE, start=1):
        call = cluster.order(address, change(number, number - 1))
        cluster.run(0.3)
        assert status_of(call) == OrderStatus.ACCEPTED
    assert {r.log.state.revision for r in cluster.replicas.values()} == {3}


def test_a_repeated_change_is_accepted_and_another_one_conflicts() -> None:
    cluster = Cluster(THREE)
    cluster.run(1.0)
    cluster.order("a:1", change(5, 0))
    cluster.run(0.3)
    repeated, other = cluster.order("b:1", change(5, 0)), cluster.order("c:1", change(6, 0, "other"))
    cluster.run(0.3)
    assert status_of(repeated) in (OrderStatus.ACCEPTED, OrderStatus.ALREADY_ACCEPTED)
    assert status_of(other) == OrderStatus.CONFLICT


@pytest.mark.parametrize("lost", THREE)
def test_a_member_that_loses_its_disk_recovers_all_entries(lost: str) -> None:
    cluster = Cluster(THREE)
    cluster.run(1.0)
    cluster.order("a:1", change(1, 0))
    cluster.run(0.3)
    cluster.wipe(lost)
    cluster.run(0.5)
    cluster.start(lost)
    cluster.run(4.0)
    cluster.check_kept(lost)
    view = cluster.replicas[lost].agreement.view
    assert view is not None and len(view.members) == 3 and len(view.chain) == 3 and not view.previous_members


def test_a_replaced_member_leaves_the_view() -> None:
    cluster = Cluster(THREE)
    cluster.run(1.0)
    cluster.order("a:1", change(1, 0))
    cluster.run(0.3)
    cluster.wipe("b:1")
    cluster.run(1.0)
    cluster.start("d:1")
    cluster.run(4.0)
    view = cluster.replicas["a:1"].agreement.view
    assert view is not None
    assert {node.partition("/")[0] for node in view.members} == {"a:1", "c:1", "d:1"}
    cluster.kill("a:1")
    cluster.run(2.0)
    call = cluster.order("d:1", change(2, 1))
    cluster.run(1.0)
    assert status_of(call) == OrderStatus.ACCEPTED


@pytest.mark.parametrize("kind", [Prepare, Promise, Accept, Accepted])
def test_a_lost_message_of_the_agreement_is_sent_again_soon(kind: type) -> None:
    cluster = Cluster(THREE)
    cluster.run(1.0)
    for address in THREE:
        cluster.kill(address)
    for address in THREE:
        cluster.start(address)
    dropped: list[object] = []

    def drops(message: object) -> bool:
        if isinstance(message, kind) and len(dropped) < 2:
            dropped.append(message)
            return True
        return False

    cluster.is_lost = drops
    cluster.run(0.25)
    assert dropped
    assert all(replica.current(cluster.now) for replica in cluster.replicas.values())


def test_a_cluster_recovers_when_all_members_were_killed() -> None:
    cluster = Cluster(THREE)
    cluster.run(1.0)
    cluster.order("a:1", change(1, 0))
    cluster.run(0.3)
    for address in THREE:
        cluster.kill(address, power=True)
    for address in THREE:
        cluster.start(address)
    cluster.run(2.0)
    cluster.check_kept("c:1")
    call = cluster.order("b:1", change(2, 1))
    cluster.run(0.5)
    assert status_of(call) == OrderStatus.ACCEPTED


def test_a_member_with_a_stalled_disk_leaves_the_chain() -> None:
    cluster = Cluster(THREE)
    cluster.run(1.0)
    cluster.disks["b:1"].stalled_until = cluster.now + 5.0
    call = cluster.order("a:1", change(1, 0))
    cluster.run(2.0)
    assert status_of(call) == OrderStatus.ACCEPTED
    cluster.run(6.0)
    assert cluster.replicas["b:1"].log.state.revision == 1
    view = cluster.replicas["b:1"].agreement.view
    assert view is not None and len(view.chain) == 3


def test_a_stale_and_an_empty_member_commit_and_read_nothing() -> None:
    cluster = Cluster(THREE)
    cluster.run(1.0)
    cluster.cut_off("a:1")
    cluster.run(1.5)
    accepted = cluster.order("b:1", change(1, 0))
    cluster.run(1.0)
    assert status_of(accepted) == OrderStatus.ACCEPTED
    cluster.wipe("b:1")
    cluster.kill("c:1", power=True)
    cluster.heal()
    cluster.start("b:1")
    cluster.run(3.0)
    stale, read = cluster.order("a:1", change(9, 0)), cluster.order("b:1", None)
    cluster.run(4.0)
    assert status_of(stale) is None and status_of(read) is None
    cluster.start("c:1")
    cluster.run(4.0)
    cluster.check_kept("a:1")
    cluster.check_kept("b:1")


@pytest.mark.parametrize("seed", range(200))
def test_acknowledged_orders_survive_random_faults(seed: int) -> None:
    """One machine at a time is wiped, killed, cut off or stalled while orders are sent to all keepers."""
    rng = random.Random(seed)
    cluster = Cluster(THREE, seed)
    cluster.run(1.0)
    revision = 0
    for _ in range(25):
        fault = rng.choice(("kill", "power", "wipe", "cut", "stall", "loss", "none"))
        victim = rng.choice(THREE)
        if fault == "kill":
            cluster.kill(victim)
        elif fault == "power":
            cluster.kill(victim, power=True)
        elif fault == "wipe":
            cluster.wipe(victim)
        elif fault == "cut":
            cluster.cut_off(victim, rng.sample(THREE, rng.choice((1, 2, 3))))
        elif fault == "stall":
            cluster.disks[victim].stalled_until = cluster.now + rng.uniform(0.2, 3.0)
        elif fault == "loss":
            cluster.loss = 0.2
        for _ in range(rng.randrange(6)):
            base = max((r.log.state.revision for r in cluster.replicas.values()), default=0)
            revision = max(revision, base) + rng.randrange(1, 3)
            for address in rng.sample(THREE, rng.choice((1, 1, 2))):
                cluster.order(address, change(revision, base, rng.random()))
            cluster.run(rng.choice((0.0, 0.001, 0.01, 0.3)))
        cluster.run(rng.uniform(0.0, 3.0))
        if rng.random() < 0.1:
            for address in THREE:
                cluster.kill(address, power=True)
        cluster.heal()
        cluster.loss = 0.0
        for address in THREE:
            if address not in cluster.replicas:
                cluster.start(address)
        cluster.run(rng.uniform(5.0, 7.0))
        for address in THREE:
            cluster.check_kept(address)
    accepted = [order.base for order in set(cluster.acknowledged())]
    assert len(accepted) == len(set(accepted)), "two changes acknowledged on one base"
    assert len(accepted) > 10
    refused = [c for c in cluster.calls if c.result and c.result.status == OrderStatus.CONFLICT]
    applied = cluster.replicas["a:1"].log.state.accepted
    assert not [c for c in refused if c.order and c.order.digest in applied], "a refused change is in force"
    final = cluster.order("b:1", None)
    cluster.run(1.0)
    assert final.revision == max(applied.values())


def test_a_replica_and_its_successor_at_one_address_are_never_in_one_chain() -> None:
    """The new replica sends heartbeats while the old one, which lost its disk, still counts as alive."""
    cluster = Cluster(THREE)
    cluster.run(1.0)
    cluster.wipe("c:1")
    cluster.start("c:1")
    for _ in range(200):
        cluster.run(0.01)
        for replica in cluster.replicas.values():
            view = replica.agreement.view
            assert view is not None
            addresses = [member.node.partition("/")[0] for member in view.chain]
            assert len(addresses) == len(set(addresses))
