"""The one place that reads, checks and defaults configuration. Errors name the faulty key."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from spoolpier import interface as api
from spoolpier.settings import read_settings

Address = tuple[str, int]


class ConfigError(ValueError):
    """A configuration that the node cannot start with; the message names the key."""


@dataclass(frozen=True)
class Limits:
    """All sizes, counts and times; filled once at the start and handed down."""

    # sizes
    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024
    line_bytes: int = 256 * 1024  # one line of discovery's watch
    datagram_bytes: int = 256
    write_buffer_bytes: int = 256 * 1024  # unread answers on one connection; more closes it
    held_bytes: int = 24 * 1024 * 1024  # bodies of open operations
    recent_bytes: int = 8 * 1024 * 1024  # results kept for ids sent again
    recent_result: int = 4 * 1024
    # counts
    front_sockets: int = 560
    destination_sockets: int = 340  # together, open and opening
    idle_per_destination: int = 24
    operations: int = 4000
    recent: int = 4096
    # times
    answer_margin_ms: float = 25.0  # a final answer is decided this long before the client gives up
    busy_retry_ms: float = 500.0
    connect_ms: float = 250.0
    accept_ms: float = 3000.0  # a worker's 202
    probe_ms: float = 400.0
    cancel_ms: float = 2000.0
    idle_ms: float = 30_000.0  # destinations close theirs after limits.idle_close_ms; ours go well before
    input_ms: float = 10_000.0  # a request once begun has to be complete by then
    front_idle_ms: float = 75_000.0
    watch_connect_ms: float = 1000.0
    watch_silent_ms: float = 3000.0  # an empty line comes every 2 s
    watch_retry_ms: float = 200.0
    watch_retry_most_ms: float = 1000.0
    ready_without_watch_ms: float = 6000.0
    linger_ms: float = 1000.0  # after SIGTERM operations are taken in for this long


@dataclass(frozen=True, slots=True)
class Config:
    """What a node is told at its start."""

    name: str
    settings: api.Settings
    limits: Limits
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    seed: int
    listen: Address | None = None
    discovery: Address | None = None
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    known: Mapping[str, Any] = field(default_factory=dict)
    log_level: str = "info"


def address(value: object, key: str) -> Address:
    """A host and a port, as host:port."""
    host, colon, port = str(value).rpartition(":")
    if not isinstance(value, str) or not colon or not host or not port.isascii() or not port.isdigit():
        raise ConfigError(f"{key}: not host:port: {value!r}")
    if not int(port) < 65536:
        raise ConfigError(f"{key}: no such port: {value!r}")
    return host.strip("[]"), int(port)


def text(table: Mapping[str, Any], key: str, default: str, where: str = "") -> str:
    """A key that holds text."""
    value = table.get(key, default)
    if not isinstance(value, str):
        raise ConfigError(f"{where}{key}: not text: {value!r}")
    return value


def table_of(value: object, key: str) -> dict[str, Any]:
    """A key that holds a table."""
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: not a table: {value!r}")
    return value


def amount(value: object, key: str) -> float:
    """A number of at least 0."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
        raise ConfigError(f"{key}: not a number of at least 0: {value!r}")
    return float(value)


def read_file(path: str) -> dict[str, Any]:
    """A configuration file, TOML by its ending, else JSON."""
    try:
        raw = Path(path).read_text(encoding="utf-8")
        table = tomllib.loads(raw) if path.endswith(".toml") else json.loads(raw)
    except (OSError, ValueError) as error:
        raise ConfigError(f"configuration file {path}: {error}") from error
    return table_of(table, f"configuration file {path}")


def names(entries: object, key: str) -> tuple[str, ...]:
    """The names of a list of names or of tables with a name."""
    if not isinstance(entries, list):
        raise ConfigError(f"{key}: not a list: {entries!r}")
    found = [e.get("name") if isinstance(e, dict) else e for e in entries]
    for i, name in enumerate(found):
        if not isinstance(name, str) or not name:
            raise ConfigError(f"{key}[{i}]: without a name")
    return tuple(str(name) for name in found)


def read_limits(config: Mapping[str, Any], settings: Mapping[str, Any]) -> Limits:
    """The limits: the deployment's, scaled to the sockets at hand, then the operator's [node] table."""
    values: dict[str, Any] = {}
    machine = table_of(config.get("limits", {}), "limits")
    sockets = int(amount(machine.get("sockets", 1024), "limits.sockets"))
    if sockets < 64:
        raise ConfigError(f"limits.sockets: at least 64 are needed, not {sockets}")
    values["front_sockets"] = sockets * 55 // 100
    values["destination_sockets"] = sockets * 33 // 100
    site = table_of(settings.get("limits", {}), "settings.limits")
    if "connect_timeout_ms" in site:
        values["connect_ms"] = amount(site["connect_timeout_ms"], "settings.limits.connect_timeout_ms")
    if "idle_close_ms" in site:
        idle = amount(site["idle_close_ms"], "settings.limits.idle_close_ms")
        values["idle_ms"] = min(Limits.idle_ms, idle / 2)
    if "most_held" in site:
        held = int(amount(site["most_held"], "settings.limits.most_held"))
        values["operations"] = max(1, min(Limits.operations, held))
    known = {f.name: f.type for f in fields(Limits)}
    for key, value in table_of(config.get("node", {}), "node").items():
        if key not in known:
            raise ConfigError(f"node.{key}: unknown")
        number = amount(value, f"node.{key}")
        values[key] = int(number) if known[key] == "int" else number
    return Limits(**values)


def load(environ: Mapping[str, str], path: str | None = None) -> Config:
    """Read the file that the command line or $GW_CONFIG names; the other GW_ variables win over it."""
    where = path or environ.get("GW_CONFIG")
    if not where:
        raise ConfigError("GW_CONFIG: not set, and no configuration file given")
    config = read_file(where)
    raw = table_of(config.get("settings"), "settings")
    try:
        settings = read_settings(raw)
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error
    for key, variable in (("name", "GW_NAME"), ("listen", "GW_LISTEN"), ("discovery", "GW_DISCOVERY")):
        if variable in environ:
            config[key] = environ[variable]

    def maybe(key: str) -> Address | None:
        return address(config[key], key) if config.get(key) else None

    peers = config.get("peers", [])
    if not isinstance(peers, list):
        raise ConfigError(f"peers: not a list: {peers!r}")
    seed = config.get("seed", 0)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (ValueError, TypeError) as error:
        raise ConfigError(f"seed: not a number: {seed!r}") from error
    return Config(
        name=text(config, "name", "node"),
        settings=settings,
        limits=read_limits(config, raw),
        classes=names(raw.get("classes", []), "settings.classes"),
        tenants=names(raw.get("tenants", []), "settings.tenants"),
        zones=names(raw.get("zones", []), "settings.zones"),
        kinds=names(raw.get("kinds", []), "settings.kinds"),
        seed=seed,
        listen=maybe("listen"),
        discovery=maybe("discovery"),
        peer_listen=maybe("peer_listen"),
        peers=tuple(address(p, f"peers[{i}]") for i, p in enumerate(peers)),
        known=table_of(config.get("known") or {}, "known"),
        log_level=text(config, "log_level", environ.get("PEBBLEDRIFT_LOG", "info")),
    )
