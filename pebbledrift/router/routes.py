"""The configuration as a router uses it: which route a request takes, whose key it bears."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any

from spoolpier.records import record

DEFAULT_AIM_MS = 1000.0
PRIORITY_MOST, PRIORITY_DEFAULT = 9, 5


@record
class Route:
    """One route."""

    name: str
    hostname: str
    prefix: str
    kind: str  # safe, unsafe or streaming
    timeout_ms: float
    aim_ms: float
    priority: int
    backends: tuple[tuple[str, float], ...]  # with their weights
    max_attempts: int
    public: bool
    affinity: bool
    resumable: bool

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or (self.kind == "streaming" and self.resumable)

    @property
    def streaming(self) -> bool:
        """Whether the answer is a series of events."""
        return self.kind == "streaming"

    def backend_for(self, request_id: str) -> str:
        """The service of one request: drawn by weight, the same wherever the request comes again."""
        if len(self.backends) == 1:
            return self.backends[0][0]
        digest = hashlib.blake2b(request_id.encode(), digest_size=6).digest()
        point = int.from_bytes(digest) / 2**48 * sum(weight for _, weight in self.backends)
        for name, weight in self.backends:
            point -= weight
            if point < 0:
                return name
        return max(self.backends, key=lambda pair: pair[1])[0]


@record
class Tenant:
    """One tenant, and what its requests count against its quota."""

    name: str
    priority: int | None
    limited: bool
    rate: float
    burst: float
    in_tokens: bool
    uncached_tokens: float

    def cost(self, tokens: float | None) -> float:
        """What one request counts."""
        if not self.in_tokens:
            return 1.0
        return self.uncached_tokens if tokens is None else tokens


@record
class Backend:
    """One service."""

    name: str
    max_connections: int
    is_model: bool
    slots: int


@record
class ClientLimits:
    """What clients may send, and for how long."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable:
    """One configuration, read for routing. Never changed: the next configuration makes another."""

    def __init__(self, config: Mapping[str, Any]) -> None:
        self.revision = int(config["revision"])
        self.routes: dict[str, list[Route]] = {}
        for item in config["routes"]:
            route = _route(item)
            self.routes.setdefault(route.hostname, []).append(route)
        for routes in self.routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self.most_urgent = min((r.priority for rs in self.routes.values() for r in rs), default=0)
        self.backends = {item["name"]: _backend(item) for item in config["backends"]}
        self.limits = _limits(config.get("limits") or {})
        self.with_tenants = config.get("tenants") is not None
        self.tenants: dict[str, Tenant] = {}
        self._by_key: dict[str, Tenant] = {}
        for item in config.get("tenants") or []:
            tenant = _tenant(item)
            self.tenants[tenant.name] = tenant
            self._by_key.update(dict.fromkeys(item["api-keys"], tenant))

    def match(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix that begins the path."""
        name = host.partition(":")[0].lower()
        for route in self.routes.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def tenant_of(self, key: str) -> Tenant | None:
        """The tenant that holds a key."""
        return self._by_key.get(key)


def _route(item: Mapping[str, Any]) -> Route:
    split = item.get("traffic-split")
    if split:
        backends = tuple((part["backend"], float(part["weight"])) for part in split if part["weight"] > 0)
    else:
        backends = ((item["backend"], 1.0),)
    return Route(
        name=item["name"],
        hostname=item["hostname"].lower(),
        prefix=item["path-prefix"],
        kind=item["route-type"],
        timeout_ms=float(item["timeout-ms"]),
        aim_ms=float(item.get("target-latency-ms") or DEFAULT_AIM_MS),
        priority=int(item.get("priority", PRIORITY_DEFAULT)),
        backends=backends,
        max_attempts=int(item.get("max-attempts", 1)),
        public=bool(item.get("public", False)),
        affinity=bool(item.get("session-affinity", False)),
        resumable=bool(item.get("resumable", False)),
    )


def _backend(item: Mapping[str, Any]) -> Backend:
    engine = item.get("engine") or {}
    return Backend(
        item["name"], int(item.get("max-connections") or 0), bool(engine), int(engine.get("slots") or 0)
    )


def _tenant(item: Mapping[str, Any]) -> Tenant:
    rate = float(item.get("rate-per-s") or 0.0)
    priority = item.get("priority")
    return Tenant(
        name=item["name"],
        priority=None if priority is None else int(priority),
        limited=rate > 0,
        rate=rate,
        burst=float(item.get("burst") or 0.0),
        in_tokens=item.get("unit") == "tokens",
        uncached_tokens=float(item.get("uncached-tokens") or 0.0),
    )


def _limits(item: Mapping[str, Any]) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        int(item.get("max-header-bytes") or default.header_bytes),
        int(item.get("max-body-bytes") or default.body_bytes),
        float(item.get("header-timeout-ms") or default.header_timeout_s * 1000) / 1000,
        float(item.get("idle-timeout-ms") or default.idle_timeout_s * 1000) / 1000,
    )
