"""The status that a keeper reports to operators."""

from __future__ import annotations

from typing import Any, Protocol

from pebbledrift.chain.replica import Replica
from pebbledrift.cluster.boot import BootSettings
from pebbledrift.control.registry import Instance, InstanceState
from pebbledrift.keeper.control_metrics import ControlMetrics
from pebbledrift.keeper.lending import LendingService
from pebbledrift.keeper.peers import KeeperNetwork
from pebbledrift.keeper.workers import WorkerTracker
from pebbledrift.overlay.root import RelayRoot


class StatusSource(Protocol):
    """The parts of a keeper from which its status is read."""

    boot: BootSettings
    replica: Replica
    network: KeeperNetwork
    relays: RelayRoot
    workers: WorkerTracker
    lending: LendingService
    control_metrics: ControlMetrics

    def router_revisions(self) -> dict[str, int]:
        """Returns the configuration revision in force at each reporting router, by its name; 0 for none."""

    def is_active_head(self, now: float) -> bool:
        """Whether this keeper is the head of a chain that a majority of the keepers confirms."""


def status_of(keeper: StatusSource, now: float) -> dict[str, Any]:
    """Returns the answer to GET /-/status; docs/operations/fleet.md describes its fields."""
    replica = keeper.replica
    view = replica.agreement.view
    return {
        "name": keeper.boot.name,
        "node": replica.settings.node,
        "epoch": replica.link.epoch,
        "members": list(view.members) if view is not None else [],
        "previous": list(view.previous_members) if view is not None else [],
        "chain": view.chain_nodes if view is not None else [],
        "current": replica.current(now),
        "revision": replica.log.state.revision,
        "committed": list(replica.log.committed),
        "synced": replica.link.synced,
        "keepers": sorted(peer.heartbeat.control_address for peer in replica.peers.live_peers(now)),
        "connected": keeper.network.router_count,
        "routers": keeper.router_revisions(),
        "children": len(keeper.relays.publisher),
        "instances": {i.id: _instance(i) for i in keeper.workers.registry.instances.values()},
        "control": keeper.control_metrics.status(),
        "unconfirmed": keeper.control_metrics.unconfirmed_counts(),
        "quotas": keeper.lending.status(now) if keeper.is_active_head(now) else {},
    }


def _instance(instance: Instance) -> dict[str, Any]:
    return {
        "backend": instance.backend,
        "address": instance.address,
        "zone": instance.zone,
        "state": InstanceState(instance.state).name.lower(),
        "slots": instance.slots,
    }
