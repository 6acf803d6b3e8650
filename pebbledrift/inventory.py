"""The inventory of workers, as configuration tools keep it: CSV with a header, or YAML groups and hosts."""

from __future__ import annotations

import csv
import io
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,47}\Z")
COLUMNS = ("name", "zone", "kind", "cell", "weight", "state", "source")
STATES = ("up", "draining")
HOSTS_MOST = 10_000


class InventoryError(ValueError):
    """An inventory that cannot be used; the message names the place and the key."""


@dataclass(frozen=True, slots=True)
class Host:
    """One worker. `source` is the address it connects from; empty: any."""

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    state: str = "up"
    source: str = ""

    def values(self) -> dict[str, object]:
        """Name left out, what differs from the defaults: it has to fit a datagram."""
        plain = Host(self.name)
        keys = COLUMNS[1:]
        return {k: getattr(self, k) for k in keys if getattr(self, k) != getattr(plain, k)}


def host(name: object, values: Mapping[str, Any], where: str) -> Host:
    """A checked host; variables of other tools are passed over."""
    if not isinstance(name, str) or not NAME.match(name):
        raise InventoryError(f"{where}: name: not a host name: {name!r}")
    where = f"{where}: {name}"
    found: dict[str, Any] = {}
    for key in COLUMNS[1:]:
        value = values.get(key)
        if value is None or value == "":
            continue
        if key in ("cell", "weight"):
            try:
                found[key] = int(value) if key == "cell" else float(value)
            except (TypeError, ValueError) as error:
                raise InventoryError(f"{where}: {key}: not a number: {value!r}") from error
            if not 0 <= found[key] < 1e6:
                raise InventoryError(f"{where}: {key}: out of range: {value!r}")
        elif not isinstance(value, str) or len(value) > 48:
            raise InventoryError(f"{where}: {key}: not a short text: {value!r}")
        else:
            found[key] = value
    if found.get("state", "up") not in STATES:
        raise InventoryError(f"{where}: state: not one of {', '.join(STATES)}: {found['state']!r}")
    return Host(name, **found)


def read_csv(text: str, where: str = "inventory") -> list[Host]:
    """Rows under a header; columns that are not ours are passed over."""
    rows = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")), skipinitialspace=True, strict=True)
    try:
        header = [h.strip() for h in rows.fieldnames or ()]
        if "name" not in header:
            raise InventoryError(f"{where}: name: no such column in the header")
        if len(set(header)) != len(header):
            raise InventoryError(f"{where}: header: a column is given twice")
        rows.fieldnames = header
        found = []
        for row in rows:
            place = f"{where}: line {rows.line_num}"
            if None in row or None in row.values():
                raise InventoryError(f"{place}: not as many fields as the header has")
            cells = {k: v.strip() for k, v in row.items()}
            found.append(host(cells["name"], cells, place))
    except csv.Error as error:
        raise InventoryError(f"{where}: line {rows.line_num}: {error}") from error
    return found


def read_yaml(text: str, where: str = "inventory") -> list[Host]:
    """Groups with hosts, vars and children; the variables nearest to a host win."""
    try:
        tree = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise InventoryError(f"{where}: {error}") from error
    of_groups: dict[Any, dict[str, Any]] = {}
    of_hosts: dict[Any, dict[str, Any]] = {}
    for name, variables, own in _walk(tree, {}, where, 0):
        of_groups.setdefault(name, {}).update(variables)
        of_hosts.setdefault(name, {}).update(own)
        if len(of_hosts) > HOSTS_MOST:
            raise InventoryError(f"{where}: more than {HOSTS_MOST} hosts")
    return [host(name, of_groups[name] | own, where) for name, own in of_hosts.items()]


def _table(value: object, where: str) -> dict[Any, Any]:
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise InventoryError(f"{where}: not a table")
    return value


def _walk(
    groups: object, inherited: dict[str, Any], where: str, depth: int
) -> Iterator[tuple[Any, dict[str, Any], dict[str, Any]]]:
    """Hosts with their groups' variables and their own, parents' groups before their children's."""
    if depth > 16:
        raise InventoryError(f"{where}: groups nested too deep")
    for group, raw in _table(groups, where).items():
        place = f"{where}.{group}"
        content = _table(raw, place)
        for key in content:
            if key not in ("hosts", "vars", "children"):
                raise InventoryError(f"{place}.{key}: unknown; hosts, vars and children are known")
        variables = inherited | _table(content.get("vars"), f"{place}.vars")
        for name, own in _table(content.get("hosts"), f"{place}.hosts").items():
            yield name, variables, _table(own, f"{place}.hosts.{name}")
        yield from _walk(content.get("children"), variables, f"{place}.children", depth + 1)


def read(path: str) -> list[Host]:
    """An inventory file, by its ending."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InventoryError(f"{path}: {error}") from error
    if path.endswith((".yaml", ".yml")):
        found = read_yaml(text, path)
    elif path.endswith(".csv"):
        found = read_csv(text, path)
    else:
        raise InventoryError(f"{path}: neither .csv nor .yaml")
    seen: set[str] = set()
    for name in (h.name for h in found):
        if name in seen:
            raise InventoryError(f"{path}: {name}: given twice")
        seen.add(name)
    return found
