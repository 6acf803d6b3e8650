"""Reads the settings file that the platform writes for each process; PEBBLEDRIFT_BOOT holds its path."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import field, fields
from pathlib import Path
from typing import Any

from pebbledrift.cluster.errors import BootError
from spoolpier.records import record

SETTINGS_PATH_VARIABLE = "PEBBLEDRIFT_BOOT"
DEFAULT_PATH = "/etc/pebbledrift/node.json"
Address = tuple[str, int]


@record
class Bounds:
    """Limits that the platform sets for the fleet; the suffix of a name is its unit.

    The field names are the keys of `bounds` in the settings file, with hyphens instead of underscores.
    """

    drain_ms: float = 2000.0
    grace_s: float = 8.0
    config_ms: float = 2000.0
    contact_ms: float = 3000.0
    catch_up_s: float = 4.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_budget_slack: float = 0.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0


@record
class BootSettings:
    """Settings of one process: its own identity and resource limits, and the addresses of its seeds."""

    name: str
    ip: str
    zone: str
    listen: Mapping[str, Address]
    port_range: tuple[int, int]
    seeds: tuple[Address, ...]
    bootstrap: bool
    counts_for_quorum: bool
    data_dir: Path | None
    memory_mb: float
    max_fds: int
    disk_mb: float
    link_mbps: float
    heartbeat_ms: float
    tolerated_machines: int
    bounds: Bounds = field(default_factory=Bounds)

    def address_of(self, interface: str) -> Address:
        """Return the address at which this process serves `front`, `readiness` or `control`.

        Raises BootError if the settings have no address for the interface.
        """
        try:
            return self.listen[interface]
        except KeyError:
            raise BootError(f"listen.{interface}: required by this role, but missing") from None


def parse_address(text: object, key: str) -> Address:
    """Parse an address in the form HOST:PORT; raises BootError, which names `key`, if it is malformed."""
    if not isinstance(text, str) or ":" not in text:
        raise BootError(f"{key}: not an address in the form HOST:PORT: {text!r}")
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise BootError(f"{key}: port is not a number from 1 to 65535: {text!r}")
    return host, int(port)


def format_address(address: Address) -> str:
    """Format an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def _number(data: Mapping[str, Any], key: str, default: float) -> float:
    value = data.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BootError(f"{key}: not a number: {value!r}")
    return float(value)


def _object(data: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    value = data.get(key) or {}
    if not isinstance(value, dict):
        raise BootError(f"{key}: not an object: {value!r}")
    return value


def _string(data: Mapping[str, Any], key: str) -> str:
    value = data.get(key)
    if not isinstance(value, str) or not value:
        raise BootError(f"{key}: must be a non-empty string, not {value!r}")
    return value


def _bounds(data: Mapping[str, Any]) -> Bounds:
    default = Bounds()
    defaults = {f.name: getattr(default, f.name) for f in fields(default)}
    values = {name: _number(data, name.replace("_", "-"), value) for name, value in defaults.items()}
    return Bounds(**values)


def _port_range(data: Mapping[str, Any]) -> tuple[int, int]:
    value = data.get("port-range")
    is_pair = isinstance(value, list) and len(value) == 2 and all(isinstance(port, int) for port in value)
    if not is_pair or value is None or not 0 < value[0] <= value[1] < 65536:
        raise BootError(f"port-range: must be a list of two ports in ascending order, not {value!r}")
    return value[0], value[1]


def parse(data: object) -> BootSettings:
    """Build the settings from the decoded JSON of the file; unknown keys are ignored.

    Raises BootError, which names the key, if a value is missing or invalid.
    """
    if not isinstance(data, dict):
        raise BootError("settings: not an object")
    resource_limits = _object(data, "limits")
    fault_tolerance = _object(data, "fault-tolerance")
    seeds = data.get("seeds") or []
    if not isinstance(seeds, list):
        raise BootError(f"seeds: not a list: {seeds!r}")
    listen = {name: parse_address(text, f"listen.{name}") for name, text in _object(data, "listen").items()}
    data_dir = data.get("data-dir")
    return BootSettings(
        name=_string(data, "node-name"),
        ip=_string(data, "ip"),
        zone=_string(data, "zone"),
        listen=listen,
        port_range=_port_range(data),
        seeds=tuple(parse_address(text, "seeds") for text in seeds),
        bootstrap=data.get("bootstrap") is True,
        counts_for_quorum=data.get("counts-for-quorum") is True,
        data_dir=Path(data_dir) if isinstance(data_dir, str) and data_dir else None,
        memory_mb=_number(resource_limits, "memory-mb", 256.0),
        max_fds=int(_number(resource_limits, "max-fds", 1024)),
        disk_mb=_number(resource_limits, "disk-mb", 64.0),
        link_mbps=_number(resource_limits, "link-mbps", 100.0),
        heartbeat_ms=_number(data, "heartbeat-ms", 1000.0),
        tolerated_machines=int(_number(fault_tolerance, "machines", 0)),
        bounds=_bounds(_object(data, "bounds")),
    )


def load(path: str | Path) -> BootSettings:
    """Read and parse a settings file; raises BootError if it cannot be read or is invalid."""
    try:
        data = json.loads(Path(path).read_text("utf-8"))
    except (OSError, ValueError) as error:
        raise BootError(f"{path}: cannot be read: {error}") from error
    return parse(data)
