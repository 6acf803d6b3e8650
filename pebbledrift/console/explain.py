"""How a request would be routed by a configuration and the known workers; nothing is sent to any worker."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pebbledrift.control.registry import InstanceState
from pebbledrift.router.placement import stable_number
from pebbledrift.router.request import parse_parts, routing_key
from pebbledrift.router.routes import Route, RoutingTable
from spoolpier.hashing import mix
from spoolpier.records import record
from spoolpier.workers import top_ranked

WORKERS_MOST = 12


@record
class Question:
    """The request that is asked about."""

    host: str
    path: str
    api_key: str | None
    prefix: str | None


@record
class Candidate:
    """A worker in a key's rendezvous order."""

    id: int
    hash: int
    instance: str
    address: str
    state: str


@record
class Explanation:
    """What a router would do, and why, in the order of its decisions."""

    status: int | None  # what it would answer without a worker; None where a worker is asked
    steps: tuple[str, ...]
    route: str = ""
    tenant: str = ""
    backends: tuple[str, ...] = ()
    workers: tuple[Candidate, ...] = ()

    def as_json(self) -> dict[str, Any]:
        """The explanation as plain values."""
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
    table: RoutingTable, instances: Mapping[str, Mapping[str, Any]], question: Question
) -> Explanation:
    """Follow one request through a configuration."""
    path = question.path.partition("?")[0]
    route = table.match(question.host, path)
    if route is None:
        return Explanation(404, (f"no route of host {question.host!r} has a prefix that begins {path!r}",))
    steps = [f"route {route.name!r}: the longest prefix {route.prefix!r} that begins {path!r}"]
    tenant = table.tenant_of(question.api_key) if question.api_key else None
    if table.has_tenants and tenant is None and not route.public:
        why = "no key" if question.api_key is None else "an unknown key"
        return Explanation(401, (*steps, f"the route is not public, and the request has {why}"), route.name)
    steps.append(_tenant_step(table, route, tenant.name if tenant is not None else ""))
    names = tuple(name for name, _ in route.backends)
    steps.append(_backend_step(route))
    return Explanation(
        status=None,
        steps=(*steps, *_attempt_steps(route), _order_step(question.prefix)),
        route=route.name,
        tenant=tenant.name if tenant is not None else "",
        backends=names,
        workers=_workers(instances, names, question.prefix),
    )


def _tenant_step(table: RoutingTable, route: Route, name: str) -> str:
    if not table.has_tenants:
        return "the configuration has no tenants: no key is asked for"
    if not name:
        return "the route is public: no key is needed"
    tenant = table.tenants[name]
    priority = route.priority if tenant.priority is None else tenant.priority
    unit = "tokens" if tenant.counts_tokens else "requests"
    quota = f"{tenant.rate:g} {unit} a second, burst {tenant.burst:g}" if tenant.limited else "no quota"
    return f"tenant {name!r}: {quota}, priority {priority}"


def _backend_step(route: Route) -> str:
    if len(route.backends) == 1:
        return f"service {route.backends[0][0]!r}"
    parts = ", ".join(f"{name!r} weight {weight:g}" for name, weight in route.backends)
    return f"service drawn by weight from the request's id: {parts}"


def _attempt_steps(route: Route) -> list[str]:
    repeat = (
        "may run again" if route.idempotent else "runs at most once: only what did not run goes elsewhere"
    )
    return [
        f"{route.kind}: {repeat}; at most {route.max_attempts} workers, {route.timeout_ms:g} ms",
    ]


def _order_step(prefix: str | None) -> str:
    if prefix and parse_parts(prefix):
        return "of the free workers the one that was last sent the same prefix, ties in the order below"
    return "without a readable prefix the order differs for each request: the workers are listed by name"


def _workers(
    instances: Mapping[str, Mapping[str, Any]], backends: tuple[str, ...], prefix: str | None
) -> tuple[Candidate, ...]:
    """The ready workers of the services: in the prefix's rendezvous order, or by name without one."""
    found = []
    for name, told in sorted(instances.items()):
        if told["backend"] in backends and told["state"] == InstanceState.READY.name.lower():
            number = stable_number(name)
            found.append(Candidate(number, mix(number), name, told["address"], told["state"]))
    key = routing_key(parse_parts(prefix)) if prefix else None
    if key is None:
        return tuple(found[:WORKERS_MOST])
    return tuple(top_ranked(found, mix(key), WORKERS_MOST))
