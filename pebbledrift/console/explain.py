"""Explains how a request would be routed, from a configuration and the registered workers alone.

Nothing is sent to a worker.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pebbledrift.control.registry import InstanceState
from pebbledrift.router.placement import stable_number
from pebbledrift.router.request import parse_parts, routing_key
from pebbledrift.router.routes import Route, RoutingTable
from spoolpier.hashing import mix, top_ranked
from spoolpier.records import record

MAX_WORKERS = 12


@record
class RouteQuery:
    """The properties of a request that decide its routing; `prefix` is X-Pebbledrift-Prompt-Prefix."""

    host: str
    path: str
    api_key: str | None
    prefix: str | None


@record
class Candidate:
    """A worker; `id` and `hash` are the fields by which `spoolpier.workers.top` orders it for a key."""

    id: int
    hash: int
    instance: str
    address: str
    state: str


@record
class Explanation:
    """The routing decision; `steps` gives the reason of each decision in order."""

    status: int | None  # HTTP status if the router would reject the request; None if a worker would serve it
    steps: tuple[str, ...]
    route: str = ""
    tenant: str = ""
    backends: tuple[str, ...] = ()
    workers: tuple[Candidate, ...] = ()

    def as_json(self) -> dict[str, Any]:
        """Return the explanation as values that can be encoded as JSON."""
        workers = [
            {"instance": w.instance, "address": w.address, "state": w.state, "rank": rank}
            for rank, w in enumerate(self.workers, 1)
        ]
        return {
            "status": self.status,
            "route": self.route,
            "tenant": self.tenant,
            "backends": list(self.backends),
            "workers": workers,
            "steps": list(self.steps),
        }


def explain(
    table: RoutingTable, instances: Mapping[str, Mapping[str, Any]], query: RouteQuery
) -> Explanation:
    """Explain how a request would be routed; `instances` maps names to the workers' registered state."""
    path = query.path.partition("?")[0]
    route = table.match(query.host, path)
    if route is None:
        return Explanation(404, (f"no route of host {query.host!r} has a prefix that begins {path!r}",))
    steps = [f"route {route.name!r}: the longest prefix {route.prefix!r} that begins {path!r}"]
    tenant = table.tenant_of(query.api_key) if query.api_key else None
    if table.has_tenants and tenant is None and not route.public:
        reason = "no key" if query.api_key is None else "an unknown key"
        return Explanation(
            401, (*steps, f"the route is not public, and the request has {reason}"), route.name
        )
    steps.append(_tenant_step(table, route, tenant.name if tenant is not None else ""))
    backends = tuple(name for name, _ in route.backends)
    steps.append(_backend_step(route))
    return Explanation(
        status=None,
        steps=(*steps, *_attempt_steps(route), _ordering_step(query.prefix)),
        route=route.name,
        tenant=tenant.name if tenant is not None else "",
        backends=backends,
        workers=_candidate_workers(instances, backends, query.prefix),
    )


def _tenant_step(table: RoutingTable, route: Route, tenant_name: str) -> str:
    if not table.has_tenants:
        return "the configuration has no tenants: no key is asked for"
    if not tenant_name:
        return "the route is public: no key is needed"
    tenant = table.tenants[tenant_name]
    priority = route.priority if tenant.priority is None else tenant.priority
    unit = "tokens" if tenant.counts_tokens else "requests"
    quota = f"{tenant.rate:g} {unit} a second, burst {tenant.burst:g}" if tenant.limited else "no quota"
    return f"tenant {tenant_name!r}: {quota}, priority {priority}"


def _backend_step(route: Route) -> str:
    if len(route.backends) == 1:
        return f"service {route.backends[0][0]!r}"
    choices = ", ".join(f"{name!r} weight {weight:g}" for name, weight in route.backends)
    return f"service drawn by weight from the request's id: {choices}"


def _attempt_steps(route: Route) -> list[str]:
    rerun_rule = (
        "may run again" if route.idempotent else "runs at most once: only what did not run goes elsewhere"
    )
    return [
        f"{route.kind}: {rerun_rule}; at most {route.max_attempts} workers, {route.timeout_ms:g} ms",
    ]


def _ordering_step(prefix: str | None) -> str:
    if prefix and parse_parts(prefix):
        return "of the free workers the one that was last sent the same prefix, ties in the order below"
    return "without a readable prefix the order differs for each request: the workers are listed by name"


def _candidate_workers(
    instances: Mapping[str, Mapping[str, Any]], backends: tuple[str, ...], prefix: str | None
) -> tuple[Candidate, ...]:
    """Return up to MAX_WORKERS ready workers, in the prefix's rendezvous order or else by name."""
    candidates = []
    for name, instance in sorted(instances.items()):
        if instance["backend"] in backends and instance["state"] == InstanceState.READY.name.lower():
            worker_id = stable_number(name)
            candidates.append(
                Candidate(worker_id, mix(worker_id), name, instance["address"], instance["state"])
            )
    key = routing_key(parse_parts(prefix)) if prefix else None
    if key is None:
        return tuple(candidates[:MAX_WORKERS])
    return tuple(top_ranked(candidates, mix(key), MAX_WORKERS))
