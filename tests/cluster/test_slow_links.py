"""Many changes, large states and slow links in the simulation.

mutations.py disables the mechanisms that these tests cover, one at a time.
"""

from __future__ import annotations

import json
import random

import pytest

from pebbledrift.chain.messages import ChainState, Fetched, SnapshotPart, Submit
from pebbledrift.cluster.codec import frame
from pebbledrift.control.orders import Order, OrderKind, OrderStatus
from tests.cluster import worst_days
from tests.cluster.plays import SLOW, THREE, head_of, status_of, submit_change
from tests.cluster.simulation import Cluster, Process, change


def order_of(revision: int, note: str) -> Order:
    body = json.dumps({"revision": revision, "note": note}).encode()
    return Order(OrderKind.REPLACE, revision - 1, body)


def test_empty_member_joins_after_hundreds_of_changes_over_a_slow_link_and_stays_alive() -> None:
    note = random.Random(1).randbytes(500_000).hex()  # 1 MB, compresses to half of that
    cluster = Cluster(THREE, catch_up_s=6.0)
    cluster.run(2.0)
    for revision in range(1, 401):
        cluster.order("a:1", order_of(revision, note if revision in (100, 400) else ""))
        cluster.run(0.05)
    cluster.run(2.0)
    assert cluster.replicas["a:1"].log.state.revision == 400
    cluster.wipe("c:1")
    cluster.run(1.0)
    cluster.network.bytes_per_s = 5e6 / 8
    sent: list[int] = []
    cluster.is_lost = lambda m: bool(sent.append(len(frame(m)))) if isinstance(m, BULK) else False  # type: ignore[func-returns-value]
    cluster.start("c:1")
    silence_s: list[float] = []

    def watch(process: Process) -> None:
        peer = process.replica.peers.peers.get(cluster.replicas["c:1"].settings.node)
        if process.address == "a:1" and peer is not None:
            silence_s.append(cluster.now - peer.last_received_at)

    cluster.on_tick = watch
    cluster.run(6.0)
    assert cluster.replicas["c:1"].log.state.revision == 400
    assert max(silence_s) < 0.5, f"{max(silence_s):.2f} s without a heartbeat"
    assert sum(sent) < 750_000, f"{sum(sent)} bytes for a state of about 600,000"
    view = cluster.replicas["a:1"].agreement.view
    assert view is not None and len(view.chain) == 3 and not view.previous_members


def test_heartbeats_pass_a_large_change_on_a_slow_link() -> None:
    cluster = Cluster(THREE, catch_up_s=6.0)
    cluster.run(2.0)
    cluster.network.bytes_per_s = 5e6 / 8
    silence_s: list[float] = []

    def watch(process: Process) -> None:
        peers = process.replica.peers.peers.values()
        silence_s.extend(cluster.now - peer.last_received_at for peer in peers)

    cluster.on_tick = watch
    call = cluster.order("a:1", order_of(1, random.Random(1).randbytes(700_000).hex()), 8.0)
    cluster.run(8.0)
    assert status_of(call) == OrderStatus.ACCEPTED
    assert max(silence_s) < 0.5, f"{max(silence_s):.2f} s without a heartbeat"


BULK = (SnapshotPart, Fetched, ChainState)


def test_transfer_resumes_where_it_was_broken_off() -> None:
    cluster = Cluster(THREE, catch_up_s=6.0)
    cluster.run(2.0)
    cluster.order("a:1", order_of(1, random.Random(1).randbytes(500_000).hex()))
    cluster.run(1.0)
    for revision in range(2, 300):
        cluster.order("a:1", order_of(revision, ""))
        cluster.run(0.03)
    cluster.order("a:1", order_of(300, random.Random(2).randbytes(500_000).hex()))
    cluster.run(1.0)
    cluster.wipe("c:1")
    cluster.run(1.0)
    cluster.network.bytes_per_s = 1e6 / 8
    sent: list[int] = []
    cluster.is_lost = lambda m: bool(sent.append(len(frame(m)))) if isinstance(m, BULK) else False  # type: ignore[func-returns-value]
    cluster.start("c:1")
    cluster.run(2.0)
    cluster.cut_off("c:1", ("a:1", "b:1"))
    cluster.run(3.0)
    cluster.heal()
    cluster.run(9.0)
    assert cluster.replicas["c:1"].log.state.revision == 300
    assert sum(sent) < 700_000, f"{sum(sent)} bytes for a state of about 560,000"


def test_change_sent_into_a_broken_connection_is_resent_at_once() -> None:
    cluster = Cluster(THREE)
    cluster.run(2.0)
    head = head_of(cluster)
    view = cluster.replicas[head].agreement.view
    assert view is not None
    successor = view.chain_nodes[1].partition("/")[0]
    cluster.network.reset(head, successor, 0.2)
    call = cluster.order(head, order_of(1, random.Random(1).randbytes(500_000).hex()))
    cluster.run(1.5)
    assert status_of(call) == OrderStatus.ACCEPTED


def test_join_request_is_answered_once_while_the_answer_is_in_transit() -> None:
    """An uncommitted change of 250 KB is sent to the member that becomes the successor."""
    cluster = Cluster(THREE)
    cluster.run(2.0)
    submit_change(cluster, "a:1", 1, 0)
    view = cluster.replicas["a:1"].agreement.view
    assert view is not None
    head, successor, _ = (node.partition("/")[0] for node in view.chain_nodes)
    cluster.network.bytes_per_s = 5e6 / 8
    sent: list[int] = []
    cluster.is_lost = lambda m: bool(sent.append(len(frame(m)))) if isinstance(m, ChainState) else False  # type: ignore[func-returns-value]
    cluster.order(head, change(2, 1, random.Random(1).randbytes(250_000).hex()))
    cluster.run(0.05)
    cluster.kill(successor)
    cluster.run(4.0)
    assert cluster.replicas[head].log.state.revision == 2
    assert 250_000 < sum(sent) < 400_000, f"{sum(sent)} bytes for a change of 250,000"


def test_large_call_is_not_resent_while_it_is_in_transit() -> None:
    cluster = Cluster(THREE)
    cluster.run(2.0)
    other = next(address for address in THREE if address != head_of(cluster))
    cluster.network.bytes_per_s = 5e6 / 8
    sent: list[int] = []
    cluster.is_lost = lambda m: bool(sent.append(1)) if isinstance(m, Submit) else False  # type: ignore[func-returns-value]
    call = cluster.order(other, order_of(1, random.Random(1).randbytes(500_000).hex()), 8.0)
    cluster.run(6.0)
    assert status_of(call) == OrderStatus.ACCEPTED and len(sent) == 1


def test_transfer_continues_when_its_source_is_gone() -> None:
    """The member that sends a snapshot dies during the transfer; the chain does not wait for it."""
    cluster = Cluster((*THREE, "d:1", "e:1"), tolerated=2, catch_up_s=6.0)
    cluster.run(2.0)
    cluster.order("a:1", order_of(1, random.Random(1).randbytes(500_000).hex()))
    cluster.run(1.0)
    for revision in range(2, 300):
        change = {"revision": revision, "upsert": {"notes": [{"name": "n", "v": revision}]}}
        cluster.order("a:1", Order(OrderKind.UPDATE, revision - 1, json.dumps(change).encode()))
        cluster.run(0.03)
    cluster.run(1.0)
    cluster.wipe("c:1")
    cluster.run(1.0)
    cluster.network.bytes_per_s = 5e6 / 8
    sources: list[str] = []
    cluster.is_lost = lambda m: False
    cluster.start("c:1")
    while not sources:
        cluster.run(0.02)
        fetch = cluster.replicas["c:1"]._catch_up._fetch
        if len(fetch._buffer) > 100_000:
            sources.append(fetch._source)
    cluster.kill(sources[0], power=True)
    cluster.run(4.0)
    replica = cluster.replicas["c:1"]
    assert replica.log.state.revision == 299
    assert replica.settings.node in (replica.agreement.view.chain_nodes if replica.agreement.view else [])


def trouble(kind: str, machine: int, for_s: float, after_s: float = 0.0, other: int = 0) -> worst_days.Fault:
    return worst_days.Fault(after_s, kind, machine, other, for_s)


@pytest.mark.parametrize(
    "play",
    [
        worst_days.FaultPlan(
            *(11026, 3, 1, 1, 4.0, SLOW, 20_000, 0, 2, 1.0, 0.6),
            (
                worst_days.DiskLoss(
                    *(5, False, False, 1.77),
                    (
                        trouble("full", 2, 1.9),
                        trouble("stall", 3, 0.77, 1.1),
                        trouble("freeze", 5, 3.0),
                        trouble("freeze", 5, 3.0),
                    ),
                ),
            ),
        ),
        worst_days.FaultPlan(
            *(65485, 5, 0, 1, 2.5, SLOW, 20_000, 0, 4, 0.05, 0.0),
            (worst_days.DiskLoss(7, False, False, 2.0, (trouble("power all", 4, 4.0),)),),
        ),
        worst_days.FaultPlan(
            *(1561574095, 3, 0, 1, 4.0, SLOW, 20_000, 0, 3, 0.3, 0.0),
            (
                worst_days.DiskLoss(1, True, False, 0.1, (trouble("minority", 3, 0.5, other=4),)),
                worst_days.DiskLoss(7, True, False, 0.5, ()),
                worst_days.DiskLoss(5, True, True, 1 / 3, ()),
                worst_days.DiskLoss(5, False, True, 1.9, ()),
            ),
        ),
        worst_days.FaultPlan(
            *(1575183459, 3, 0, 1, 2.5, SLOW, 0, 150000, 1, 0.3, 0.0),
            (
                worst_days.DiskLoss(
                    *(5, True, False, 0.1),
                    (),
                ),
                worst_days.DiskLoss(
                    *(5, True, True, 2.0),
                    (
                        trouble("minority", 0, 0.1, 0.209, 3),
                        trouble("power", 0, 1.1, 0.0, 5),
                        trouble("cut", 5, 3.645, 0.0, 6),
                        trouble("power all", 7, 2.0, 1.042, 4),
                    ),
                ),
                worst_days.DiskLoss(
                    *(1, True, False, 0.1),
                    (
                        trouble("freeze", 0, 2.0, 1.0, 4),
                        trouble("kill", 2, 3.0, 0.0, 3),
                        trouble("reset", 2, 1.0, 0.0, 2),
                        trouble("reset", 5, 0.1, 0.0, 7),
                    ),
                ),
                worst_days.DiskLoss(
                    *(4, True, True, 1.235),
                    (),
                ),
            ),
        ),
    ],
    ids=["late-promises", "five-members", "calls-resent", "large-state"],
)
def test_slow_links_do_not_cause_repeated_view_changes(play: worst_days.FaultPlan) -> None:
    player = worst_days.FaultPlanRunner(play)
    player.run()
    epochs = [replica.link.epoch for replica in player.cluster.replicas.values()]
    assert max(epochs) < 40, f"{max(epochs)} views"
