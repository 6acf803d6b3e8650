"""What a keeper tells an operator about itself."""

from __future__ import annotations

from typing import Any, Protocol

from pebbledrift.chain.replica import Replica
from pebbledrift.cluster.boot import BootSettings
from pebbledrift.control.registry import Instance, InstanceState
from pebbledrift.keeper.lending import LendingDesk
from pebbledrift.keeper.peers import KeeperNetwork
from pebbledrift.keeper.workers import WorkerDesk
from pebbledrift.overlay.root import RelayRoot


class StatusSource(Protocol):
    """The keeper that is asked."""

    boot: BootSettings
    replica: Replica
    network: KeeperNetwork
    relays: RelayRoot
    workers: WorkerDesk
    lending: LendingDesk

    def router_revisions(self) -> dict[str, int]:
        """By name of each router that reports here: the configuration in force there, 0 for none."""

    def acting(self, now: float) -> bool:
        """Whether this is the head of a chain that a majority goes on with."""


def status_of(keeper: StatusSource, now: float) -> dict[str, Any]:
    """The answer to GET /-/status; its fields are described in docs/operations/fleet.md."""
    replica = keeper.replica
    view = replica.agreement.view
    return {
        "name": keeper.boot.name,
        "node": replica.settings.node,
        "epoch": replica.link.epoch,
        "members": list(view.members) if view is not None else [],
        "previous": list(view.previous) if view is not None else [],
        "chain": view.chain_nodes if view is not None else [],
        "current": replica.current(now),
        "revision": replica.log.state.revision,
        "committed": list(replica.log.committed),
        "synced": replica.link.synced,
        "keepers": sorted(peer.heartbeat.control_address for peer in replica.peers.living(now)),
        "connected": keeper.network.router_count,
        "routers": keeper.router_revisions(),
        "children": len(keeper.relays.publisher),
        "instances": {i.id: _instance(i) for i in keeper.workers.registry.instances.values()},
        "quotas": keeper.lending.status(now) if keeper.acting(now) else {},
    }


def _instance(instance: Instance) -> dict[str, Any]:
    return {
        "backend": instance.backend,
        "address": instance.address,
        "zone": instance.zone,
        "state": InstanceState(instance.state).name.lower(),
        "slots": instance.slots,
    }
