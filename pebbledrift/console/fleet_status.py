"""Merges the status reports of a fleet's keepers: health, revisions, workers and quotas."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from spoolpier.records import record

FetchStatus = Callable[[str], dict[str, Any] | None]
MAX_KEEPERS = 64


@record
class FleetStatus:
    """The state of the fleet, merged from the status reports of its keepers."""

    keepers: Mapping[str, dict[str, Any] | None]  # by address; None if it did not answer
    routers: Mapping[str, int]  # by name: the revision in force there, 0 for none
    revision: int  # the highest that a keeper reports

    @property
    def newest_status(self) -> dict[str, Any]:
        """The report with the highest epoch, then revision; reports of current keepers come first."""
        statuses = [status for status in self.keepers.values() if status is not None]
        return max(
            statuses, key=lambda status: (bool(status["current"]), status["epoch"], status["revision"])
        )

    @property
    def unresponsive(self) -> list[str]:
        """Keepers that did not answer."""
        return [address for address, status in self.keepers.items() if status is None]

    @property
    def behind(self) -> dict[str, int]:
        """The revision of each keeper and router that is older than the newest one, by name."""
        keepers = {
            status["name"]: int(status["revision"]) for status in self.keepers.values() if status is not None
        }
        return {
            name: revision
            for name, revision in {**keepers, **self.routers}.items()
            if revision < self.revision
        }

    @property
    def all_routers_reported(self) -> bool:
        """Whether all connected routers have reported.

        A new head of the chain receives their reports one after the other, so some may still be missing.
        """
        connected = [status.get("connected", 0) for status in self.keepers.values() if status is not None]
        return len(self.routers) >= max(connected, default=0)

    def routers_behind(self, revision: int) -> list[str]:
        """Return the names of the routers with an older revision in force, sorted."""
        return sorted(name for name, current in self.routers.items() if current < revision)

    @property
    def healthy(self) -> bool:
        """Whether a keeper is current, the chain is complete, all keepers answer and nothing is behind."""
        newest_status = self.newest_status
        complete = len(newest_status["members"]) == len(newest_status["chain"])
        return bool(newest_status["current"]) and complete and not self.unresponsive and not self.behind

    def as_json(self) -> dict[str, Any]:
        """Return the status as values that can be encoded as JSON."""
        return {
            "healthy": self.healthy,
            "revision": self.revision,
            "view": {key: self.newest_status[key] for key in ("epoch", "members", "chain")},
            "keepers": dict(self.keepers),
            "routers": dict(self.routers),
            "behind": self.behind,
            "silent": self.unresponsive,
            "instances": self.newest_status["instances"],
            "quotas": self._quotas(),
        }

    def _quotas(self) -> dict[str, Any]:
        quotas: dict[str, Any] = {}
        for status in self.keepers.values():
            if status is not None:
                quotas.update(status["quotas"])
        return quotas

    def lines(self) -> list[str]:
        """Return the status as lines of text."""
        newest_status = self.newest_status
        health = "healthy" if self.healthy else "NOT HEALTHY"
        rows = [
            f"revision {self.revision}, epoch {newest_status['epoch']}, {health}",
            f"chain    {' -> '.join(newest_status['chain']) or '(none)'}",
        ]
        rows += [
            f"missing  {node}" for node in newest_status["members"] if node not in newest_status["chain"]
        ]
        for address, status in self.keepers.items():
            rows.append(f"keeper   {address} {_keeper_summary(status)}")
        for name, revision in sorted(self.routers.items()):
            lag = "" if revision >= self.revision else f", BEHIND by {self.revision - revision}"
            rows.append(f"router   {name} revision {revision}{lag}")
        rows += _worker_count_lines(newest_status["instances"])
        for name, quota in self._quotas().items():
            used = 100.0 * quota["lent"] / quota["most"] if quota["most"] else 0.0
            rows.append(f"quota    {name}: {used:.0f} % of a window lent, {quota['rate']:g} a second")
        return rows


def _keeper_summary(status: dict[str, Any] | None) -> str:
    if status is None:
        return "DOES NOT ANSWER"
    view_state = "current" if status["current"] else "NOT CURRENT"
    return f"({status['name']}) revision {status['revision']}, epoch {status['epoch']}, {view_state}"


def _worker_count_lines(instances: Mapping[str, Mapping[str, Any]]) -> list[str]:
    counts: dict[tuple[str, str], int] = {}
    for instance in instances.values():
        group = str(instance["backend"]), str(instance["state"])
        counts[group] = counts.get(group, 0) + 1
    return [f"workers  {backend}: {count} {state}" for (backend, state), count in sorted(counts.items())]


def collect_status(addresses: list[str], fetch_status: FetchStatus) -> FleetStatus | None:
    """Query the keepers at the addresses and all keepers they list; None if no keeper answers.

    `fetch_status` returns the status of the keeper at an address, or None. At most MAX_KEEPERS are queried.
    """
    keepers: dict[str, dict[str, Any] | None] = {}
    pending = list(addresses)
    while pending and len(keepers) < MAX_KEEPERS:
        address = pending.pop(0)
        if address in keepers:
            continue
        status = keepers[address] = fetch_status(address)
        if status is not None:
            pending += status["keepers"]
    statuses = [status for status in keepers.values() if status is not None]
    if not statuses:
        return None
    routers: dict[str, int] = {}
    for status in statuses:
        for name, revision in status["routers"].items():
            routers[name] = max(routers.get(name, 0), int(revision))
    return FleetStatus(keepers, routers, max(int(status["revision"]) for status in statuses))
