"""The routing table of a router: maps requests to routes and services, and API keys to tenants."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any

from spoolpier.records import record

DEFAULT_TARGET_LATENCY_MS = 1000.0
MAX_PRIORITY, DEFAULT_PRIORITY = 9, 5  # a lower number is more urgent


@record
class Route:
    """One route of the configuration: requests of a host whose path starts with a prefix."""

    name: str
    hostname: str
    prefix: str
    kind: str  # safe, unsafe or streaming
    timeout_ms: float
    target_latency_ms: float
    priority: int
    backends: tuple[tuple[str, float], ...]  # names of services and their weights
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
        """Returns the service for a request: chosen by weight from a hash of its id, the same on a retry."""
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
    """One tenant and its quota, in requests or tokens per second."""

    name: str
    priority: int | None
    limited: bool  # whether it has a quota
    rate: float
    burst: float
    counts_tokens: bool
    uncached_tokens: float  # cost of a request that declares no token count

    def cost(self, tokens: float | None) -> float:
        """Returns the cost of a request against the quota; `tokens` is None if it declares none."""
        if not self.counts_tokens:
            return 1.0
        return self.uncached_tokens if tokens is None else tokens


@record
class Backend:
    """One service that requests are routed to."""

    name: str
    max_connections: int
    is_model: bool
    slots: int


@record
class ClientLimits:
    """Limits on the size and the duration of clients' requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingTable:
    """One configuration, indexed for routing. It is immutable: each configuration gets a new table."""

    def __init__(self, config: Mapping[str, Any]) -> None:
        self.revision = int(config["revision"])
        self.routes: dict[str, list[Route]] = {}
        for item in config["routes"]:
            route = _route(item)
            self.routes.setdefault(route.hostname, []).append(route)
        for routes in self.routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self.most_urgent_priority = min((r.priority for rs in self.routes.values() for r in rs), default=0)
        self.backends = {item["name"]: _backend(item) for item in config["backends"]}
        self.limits = _limits(config.get("limits") or {})
        self.has_tenants = config.get("tenants") is not None
        self.tenants: dict[str, Tenant] = {}
        self._by_key: dict[str, Tenant] = {}
        for item in config.get("tenants") or []:
            tenant = _tenant(item)
            self.tenants[tenant.name] = tenant
            self._by_key.update(dict.fromkeys(item["api-keys"], tenant))

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of the path, or None."""
        hostname = host.partition(":")[0].lower()
        for route in self.routes.get(hostname, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def tenant_of(self, key: str) -> Tenant | None:
        """Returns the tenant that owns an API key, or None."""
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
        target_latency_ms=float(item.get("target-latency-ms") or DEFAULT_TARGET_LATENCY_MS),
        priority=int(item.get("priority", DEFAULT_PRIORITY)),
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
        counts_tokens=item.get("unit") == "tokens",
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
