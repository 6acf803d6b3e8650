"""Keepers of the simulated relay tree that hold a real replica, so that a real chain feeds the routers."""

from __future__ import annotations

from typing import Any

from pebbledrift.chain.log import ReplicatedLog
from pebbledrift.chain.replica import Replica, ReplicaSettings, StoredState
from pebbledrift.chain.view import FOUNDING_GENERATION, address_of, founding_view, node_name
from pebbledrift.control.orders import OrderResult, OrderStatus
from pebbledrift.overlay.messages import KeeperState
from tests.cluster.relay_simulation import DELAY_S, Fabric, Keeper
from tests.cluster.simulation import change, check

DISK_SYNC_S = 0.002
CALL_TIMEOUT_S = 3.8


class ReplicaKeeper(Keeper):
    """A keeper that commits through its replica. Its disk is fast and never loses data."""

    def _make_log(self) -> ReplicatedLog:
        address, incarnation = self.process.address, self.fabric.next_incarnation()
        settings = ReplicaSettings(
            address,
            address,
            self.process.zone,
            node_name(address, FOUNDING_GENERATION),
            incarnation,
            True,
            1,
            tuple(self.fabric.seeds),
            incarnation,
        )
        stored = StoredState(view=founding_view(self.fabric.seeds))
        self.replica = Replica(settings, check, stored, self.fabric.now)
        return self.replica.log

    def state(self) -> KeeperState:
        now, view = self.fabric.now, self.replica.agreement.view
        chain = view.chain_nodes if view is not None else []
        living = {address_of(p.heartbeat.node): p.heartbeat.zone for p in self.replica.peers.live_peers(now)}
        living[self.process.address] = self.process.zone
        routers = len({connection.dialer for connection in self.links})
        return KeeperState(
            self.replica.link.epoch,
            tuple(map(address_of, chain[:2])),
            self.replica.current(now),
            self.log.committed,
            True,
            tuple(sorted(living.items())),
            routers,
            (),
        )

    def tick(self) -> None:
        self.gossip.tick(self.fabric.now)
        self.replica.tick(self.fabric.now)
        self._flush()
        self._report_state()

    def catch_up(self) -> None:
        """Nothing to do: the chain delivers the committed entries."""

    def _flush(self) -> None:
        outbox = self.replica.outbox
        for write in outbox.take_writes():
            self.fabric.schedule(
                self.fabric.now + DISK_SYNC_S,
                lambda number=write.number: self._synced(number),  # type: ignore[misc]
            )
        for envelope in outbox.take_envelopes():
            delay = 0.0 if envelope.address == self.process.address else DELAY_S
            self.fabric.schedule(
                self.fabric.now + delay,
                lambda to=envelope.address, message=envelope.message: self._arrive(to, message),  # type: ignore[misc]
            )

    def _synced(self, number: int) -> None:
        if self.fabric.keepers.get(self.process.address) is self:
            self.replica.synced(number, self.fabric.now)
            self._flush()

    def _arrive(self, receiver: str, message: Any) -> None:
        """Deliver a message unless the link is cut; a frozen process reads it when it resumes."""
        other = self.fabric.keepers.get(receiver)
        if not isinstance(other, ReplicaKeeper) or (self.process.address, receiver) in self.fabric.cut_links:
            return
        self._deliver(other, message)

    def _deliver(self, other: ReplicaKeeper, message: Any) -> None:
        if self.fabric.now < other.process.frozen_until:
            self.fabric.schedule(other.process.frozen_until, lambda: self._deliver(other, message))
            return
        if self.fabric.keepers.get(other.process.address) is other:
            other.replica.receive(self.process.address, message, self.fabric.now)
            other._flush()

    def submit_change(self, revision: int, base: int) -> list[float]:
        """Submit a change; the time of its acknowledgement is appended to the returned list."""
        acknowledged: list[float] = []

        def done(result: OrderResult | None) -> None:
            if result is not None and result.status == OrderStatus.ACCEPTED:
                acknowledged.append(self.fabric.now)

        self.replica.call(change(revision, base), self.fabric.now, CALL_TIMEOUT_S, done)
        self._flush()
        return acknowledged


def start_fleet(keepers: int, routers: int, seed: int) -> Fabric:
    """Return a running fleet with real replicas that has committed its first configuration."""
    fabric = Fabric(
        ["a", "b", "c"],
        keepers,
        routers,
        mbps=(100.0, 5.0),
        children=(8, 3),
        seed=seed,
        keeper_type=ReplicaKeeper,
    )
    fabric.run(2.0)
    keeper = fabric.keepers[fabric.seeds[0]]
    assert isinstance(keeper, ReplicaKeeper)
    acknowledged = keeper.submit_change(1, 0)
    fabric.run(8.0)
    assert acknowledged, "the first configuration was not accepted"
    return fabric
