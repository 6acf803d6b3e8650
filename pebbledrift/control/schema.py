"""Validates an operator's configuration and reports all faults at once, each with the path of the value."""

from __future__ import annotations

import json
from typing import Any

from marshmallow import INCLUDE, Schema, ValidationError, fields, validate

from pebbledrift.cluster.errors import InvalidConfiguration
from pebbledrift.control.orders import MAX_CONFIG_BYTES

ROUTE_TYPES = ("safe", "unsafe", "streaming")
NOT_NEGATIVE = validate.Range(min=0)
POSITIVE = validate.Range(min=0, min_inclusive=False)
NOT_EMPTY = validate.Length(min=1)


class Number(fields.Float):
    """A JSON number; a string that holds a number is refused."""

    def _validated(self, value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.make_error("invalid", input=value)
        return super()._validated(value)


class Integer(fields.Integer):
    """A JSON integer; a string that holds one is refused."""

    def _validated(self, value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise self.make_error("invalid", input=value)
        return super()._validated(value)


class Boolean(fields.Boolean):
    """A JSON boolean; numbers and strings such as "yes" are refused."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> bool:
        if not isinstance(value, bool):
            raise self.make_error("invalid", input=value)
        return value


class _OpenSchema(Schema):
    """Accepts keys that this version does not know, and keeps their values unchanged."""

    class Meta:
        unknown = INCLUDE


class SplitSchema(_OpenSchema):
    """One backend of a route's traffic split, with its weight."""

    backend = fields.String(required=True, validate=NOT_EMPTY)
    weight = Number(required=True, validate=NOT_NEGATIVE)


class RouteSchema(_OpenSchema):
    """A route: the requests that it matches, its type and time limits, and the backends that serve it."""

    name = fields.String(required=True, validate=NOT_EMPTY)
    hostname = fields.String(required=True, validate=NOT_EMPTY)
    path_prefix = fields.String(data_key="path-prefix", required=True, validate=validate.Regexp(r"/(.*/)?\Z"))
    route_type = fields.String(data_key="route-type", required=True, validate=validate.OneOf(ROUTE_TYPES))
    timeout_ms = Number(data_key="timeout-ms", required=True, validate=POSITIVE)
    target_latency_ms = Number(data_key="target-latency-ms", validate=NOT_NEGATIVE)
    priority = Integer()
    backend = fields.String(validate=NOT_EMPTY)
    traffic_split = fields.List(fields.Nested(SplitSchema), data_key="traffic-split", validate=NOT_EMPTY)
    max_attempts = Integer(data_key="max-attempts", validate=validate.Range(min=1))
    public = Boolean()
    session_affinity = Boolean(data_key="session-affinity")
    resumable = Boolean()


class EngineSchema(_OpenSchema):
    """The inference engine of a backend with model workers."""

    slots = Integer(validate=validate.Range(min=1))
    kv_cache_tokens = Number(data_key="kv-cache-tokens", validate=NOT_NEGATIVE)


class BackendSchema(_OpenSchema):
    """A backend: a service that routes refer to by name."""

    name = fields.String(required=True, validate=NOT_EMPTY)
    health_check = fields.String(data_key="health-check")
    max_connections = Integer(data_key="max-connections", validate=NOT_NEGATIVE)
    engine = fields.Nested(EngineSchema, allow_none=True)


class LimitsSchema(_OpenSchema):
    """Limits on the size of client requests, and timeouts of client connections."""

    max_header_bytes = Integer(data_key="max-header-bytes", validate=POSITIVE)
    max_body_bytes = Integer(data_key="max-body-bytes", validate=POSITIVE)
    header_timeout_ms = Number(data_key="header-timeout-ms", validate=POSITIVE)
    idle_timeout_ms = Number(data_key="idle-timeout-ms", validate=POSITIVE)


class TenantSchema(_OpenSchema):
    """A tenant: its API keys, priority and quota."""

    name = fields.String(required=True, validate=NOT_EMPTY)
    api_keys = fields.List(fields.String(validate=NOT_EMPTY), data_key="api-keys", required=True)
    priority = Integer(allow_none=True)
    unit = fields.String()
    uncached_tokens = Number(data_key="uncached-tokens", validate=NOT_NEGATIVE)
    rate_per_s = Number(data_key="rate-per-s", validate=NOT_NEGATIVE)
    burst = Number(validate=NOT_NEGATIVE)


class ConfigurationSchema(_OpenSchema):
    """The complete configuration."""

    revision = Integer(required=True)
    routes = fields.List(fields.Nested(RouteSchema), required=True)
    backends = fields.List(fields.Nested(BackendSchema), required=True)
    limits = fields.Nested(LimitsSchema)
    tenants = fields.List(fields.Nested(TenantSchema))


_SCHEMA = ConfigurationSchema()


def _flatten(messages: Any, path: str) -> list[str]:
    """Flatten marshmallow's nested error messages into lines that begin with the path of the value."""
    if isinstance(messages, dict):
        faults = []
        for key, inner in messages.items():
            inner_path = f"{path}[{key}]" if isinstance(key, int) else f"{path}.{key}".lstrip(".")
            faults += _flatten(inner, inner_path)
        return faults
    return [f"{path or 'configuration'}: {text}" for text in messages]


def _duplicate_name_faults(items: list[Any], section: str) -> list[str]:
    """One fault for each item whose name an earlier item of the section has."""
    seen: set[Any] = set()
    faults = []
    for index, item in enumerate(items):
        if item["name"] in seen:
            faults.append(f"{section}[{index}].name: {item['name']!r} stands twice")
        seen.add(item["name"])
    return faults


def _route_faults(config: dict[str, Any]) -> list[str]:
    """Unknown backends, traffic splits without weight, and routes with the same hostname and path prefix."""
    backend_names = {backend["name"] for backend in config["backends"]}
    locations: set[tuple[str, str]] = set()  # hostname and path prefix of the routes so far
    faults = []
    for index, route in enumerate(config["routes"]):
        path = f"routes[{index}]"
        split = route.get("traffic-split")
        targets = [part["backend"] for part in split] if split else [route.get("backend")]
        faults += [f"{path}: unknown service {name!r}" for name in targets if name not in backend_names]
        if split and sum(part["weight"] for part in split) <= 0:
            faults.append(f"{path}.traffic-split: the weights sum to 0")
        location = route["hostname"].lower(), route["path-prefix"]
        if location in locations:
            faults.append(f"{path}: another route has {location[0]}{location[1]}")
        locations.add(location)
    return faults


def _shared_key_faults(config: dict[str, Any]) -> list[str]:
    """One fault for each API key that two tenants share; the message does not disclose the key."""
    owners: dict[str, int] = {}  # API key to the index of its tenant
    faults = []
    for index, tenant in enumerate(config.get("tenants") or []):
        for key in tenant["api-keys"]:
            if owners.setdefault(key, index) != index:
                faults.append(f"tenants[{index}].api-keys: a key of tenants[{owners[key]}] too")
    return faults


def _size_faults(config: dict[str, Any]) -> list[str]:
    """A fault if the configuration is too large to be sent; updates can make it larger than any order."""
    size = len(json.dumps(config, separators=(",", ":")))
    return [f"configuration: {size} bytes, at most {MAX_CONFIG_BYTES}"] if size > MAX_CONFIG_BYTES else []


def check(config: object) -> None:
    """Raise InvalidConfiguration with all faults of a complete configuration.

    Faults between items are looked for only if each item has the right keys and types.
    """
    if not isinstance(config, dict):
        raise InvalidConfiguration(["configuration: not an object"])
    try:
        _SCHEMA.load(config)
    except ValidationError as error:
        raise InvalidConfiguration(_flatten(error.messages, "")) from None
    faults = [*_size_faults(config), *_route_faults(config), *_shared_key_faults(config)]
    for section in ("routes", "backends", "tenants"):
        faults += _duplicate_name_faults(config.get(section) or [], section)
    if faults:
        raise InvalidConfiguration(faults)
