"""Checks an operator's configuration and tells all faults at once, each with its place."""

from __future__ import annotations

from typing import Any

from marshmallow import INCLUDE, Schema, ValidationError, fields, validate

from pebbledrift.cluster.errors import InvalidConfiguration

ROUTE_TYPES = ("safe", "unsafe", "streaming")
NOT_NEGATIVE = validate.Range(min=0)
POSITIVE = validate.Range(min=0, min_inclusive=False)
NOT_EMPTY = validate.Length(min=1)


class Number(fields.Float):
    """A JSON number: a text that holds one is none."""

    def _validated(self, value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.make_error("invalid", input=value)
        return super()._validated(value)


class Whole(fields.Integer):
    """A whole JSON number."""

    def _validated(self, value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise self.make_error("invalid", input=value)
        return super()._validated(value)


class Flag(fields.Boolean):
    """true or false, and nothing that looks like it."""

    def _deserialize(self, value: Any, attr: str | None, data: Any, **kwargs: Any) -> bool:
        if not isinstance(value, bool):
            raise self.make_error("invalid", input=value)
        return value


class _Open(Schema):
    """Keys that this version does not know are kept as they came."""

    class Meta:
        unknown = INCLUDE


class SplitSchema(_Open):
    """One part of a route's traffic split."""

    backend = fields.String(required=True, validate=NOT_EMPTY)
    weight = Number(required=True, validate=NOT_NEGATIVE)


class RouteSchema(_Open):
    """One route."""

    name = fields.String(required=True, validate=NOT_EMPTY)
    hostname = fields.String(required=True, validate=NOT_EMPTY)
    path_prefix = fields.String(data_key="path-prefix", required=True, validate=validate.Regexp(r"/(.*/)?\Z"))
    route_type = fields.String(data_key="route-type", required=True, validate=validate.OneOf(ROUTE_TYPES))
    timeout_ms = Number(data_key="timeout-ms", required=True, validate=POSITIVE)
    target_latency_ms = Number(data_key="target-latency-ms", validate=NOT_NEGATIVE)
    priority = Whole()
    backend = fields.String(validate=NOT_EMPTY)
    traffic_split = fields.List(fields.Nested(SplitSchema), data_key="traffic-split", validate=NOT_EMPTY)
    max_attempts = Whole(data_key="max-attempts", validate=validate.Range(min=1))
    public = Flag()
    session_affinity = Flag(data_key="session-affinity")
    resumable = Flag()


class EngineSchema(_Open):
    """What a service of model workers tells of its engine."""

    slots = Whole(validate=validate.Range(min=1))
    kv_cache_tokens = Number(data_key="kv-cache-tokens", validate=NOT_NEGATIVE)


class BackendSchema(_Open):
    """One service."""

    name = fields.String(required=True, validate=NOT_EMPTY)
    health_check = fields.String(data_key="health-check")
    max_connections = Whole(data_key="max-connections", validate=NOT_NEGATIVE)
    engine = fields.Nested(EngineSchema, allow_none=True)


class LimitsSchema(_Open):
    """What clients may send, and for how long."""

    max_header_bytes = Whole(data_key="max-header-bytes", validate=POSITIVE)
    max_body_bytes = Whole(data_key="max-body-bytes", validate=POSITIVE)
    header_timeout_ms = Number(data_key="header-timeout-ms", validate=POSITIVE)
    idle_timeout_ms = Number(data_key="idle-timeout-ms", validate=POSITIVE)


class TenantSchema(_Open):
    """One tenant."""

    name = fields.String(required=True, validate=NOT_EMPTY)
    api_keys = fields.List(fields.String(validate=NOT_EMPTY), data_key="api-keys", required=True)
    priority = Whole(allow_none=True)
    unit = fields.String()
    uncached_tokens = Number(data_key="uncached-tokens", validate=NOT_NEGATIVE)
    rate_per_s = Number(data_key="rate-per-s", validate=NOT_NEGATIVE)
    burst = Number(validate=NOT_NEGATIVE)


class ConfigurationSchema(_Open):
    """A whole configuration."""

    revision = Whole(required=True)
    routes = fields.List(fields.Nested(RouteSchema), required=True)
    backends = fields.List(fields.Nested(BackendSchema), required=True)
    limits = fields.Nested(LimitsSchema)
    tenants = fields.List(fields.Nested(TenantSchema))


_SCHEMA = ConfigurationSchema()


def _lines(messages: Any, place: str) -> list[str]:
    """The faults of a nested report, each behind its place."""
    if isinstance(messages, dict):
        found = []
        for key, inner in messages.items():
            where = f"{place}[{key}]" if isinstance(key, int) else f"{place}.{key}".lstrip(".")
            found += _lines(inner, where)
        return found
    return [f"{place or 'configuration'}: {text}" for text in messages]


def _repeated(items: list[Any], place: str) -> list[str]:
    """A fault for each name that stands twice."""
    seen: set[Any] = set()
    found = []
    for number, item in enumerate(items):
        if item["name"] in seen:
            found.append(f"{place}[{number}].name: {item['name']!r} stands twice")
        seen.add(item["name"])
    return found


def _route_faults(config: dict[str, Any]) -> list[str]:
    """Faults between routes, and between routes and services."""
    known = {backend["name"] for backend in config["backends"]}
    places: set[tuple[str, str]] = set()
    found = []
    for number, route in enumerate(config["routes"]):
        at = f"routes[{number}]"
        split = route.get("traffic-split")
        targets = [part["backend"] for part in split] if split else [route.get("backend")]
        found += [f"{at}: unknown service {name!r}" for name in targets if name not in known]
        if split and sum(part["weight"] for part in split) <= 0:
            found.append(f"{at}.traffic-split: the weights sum to 0")
        place = route["hostname"].lower(), route["path-prefix"]
        if place in places:
            found.append(f"{at}: another route has {place[0]}{place[1]}")
        places.add(place)
    return found


def _key_faults(config: dict[str, Any]) -> list[str]:
    """A fault for each key that two tenants share; the key itself is not told."""
    owner: dict[str, int] = {}
    found = []
    for number, tenant in enumerate(config.get("tenants") or []):
        for key in tenant["api-keys"]:
            if owner.setdefault(key, number) != number:
                found.append(f"tenants[{number}].api-keys: a key of tenants[{owner[key]}] too")
    return found


def check(config: object) -> None:
    """Raise InvalidConfiguration with all faults of a whole configuration."""
    if not isinstance(config, dict):
        raise InvalidConfiguration(["configuration: not an object"])
    try:
        _SCHEMA.load(config)
    except ValidationError as error:
        raise InvalidConfiguration(_lines(error.messages, "")) from None
    found = [*_route_faults(config), *_key_faults(config)]
    for section in ("routes", "backends", "tenants"):
        found += _repeated(config.get(section) or [], section)
    if found:
        raise InvalidConfiguration(found)
