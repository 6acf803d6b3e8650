"""The one place that reads, checks and defaults configuration. Errors name the faulty key."""

from __future__ import annotations

import json
import os
import re
import socket
import tempfile
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any

from pebbledrift.bounds import Limits
from pebbledrift.logs import LEVELS
from spoolpier import interface as api
from spoolpier.settings import read_settings

Address = tuple[str, int]
TUBE = re.compile(r"[A-Za-z0-9+/;.$_()][A-Za-z0-9+/;.$_()-]{0,199}\Z")  # the protocol's rule for names


# what the processes of a node with several take beside their fronts: descriptors, and megabytes
SUPERVISOR_SOCKETS = 72  # operators, discovery, the listening socket
CORE_LINKS = 32  # for each process, at both ends; and one more for each other one
SUPERVISOR_MB = 40
CORE_MB = 40
TABLES = ("node", "membership", "verdicts", "fleet_limits")  # that a fleet's nodes may share in one file
KEYS = frozenset(
    "name listen admin discovery peer_listen peers peers_all known seed limits settings node beanstalk"
    " inventory store_file log_level cores membership verdicts fleet_limits store".split()
)


class ConfigError(ValueError):
    """A configuration that the node cannot start with; the message names the key."""


@dataclass(frozen=True)
class TubeConfig:
    """A tube that holds operations: their class and tenant, and where the answers go."""

    name: str
    job_class: int
    tenant: int | None = None
    reply: str = "reply.{id}"
    key_field: str = ""
    hint_ms: float = 0.0
    source: Mapping[str, Any] = field(default_factory=dict)  # as it was written


@dataclass(frozen=True)
class BeanstalkConfig:
    """The beanstalkd front."""

    listen: Address
    tubes: tuple[TubeConfig, ...]


@dataclass(frozen=True)
class CoresConfig:
    """How many processes are one node, and what they share (docs/cores.md)."""

    processes: int = 1
    slots: str = "shared"  # what is in use at each worker: "shared" on the board, or "divided"
    cold: str = "shared"  # the budget of a worker that starts cold: the same two words
    accept: str = "passed"  # the supervisor deals connections out; "inherited": each process accepts itself


@dataclass(frozen=True)
class MembershipConfig:
    """How the nodes know each other (docs/membership.md)."""

    group: str  # its name: nodes of another group are not heard
    address: Address  # where the others find this node
    seeds: tuple[Address, ...] = ()  # some members, beside the peers
    key_file: str = ""  # a secret of at least 16 bytes; without one the group's name alone tells it apart
    period_ms: float = 200.0  # between pings; all times of the group follow it
    parts: str = "fixed"  # of the fleet's limits: "fixed", or "leased" from the committee
    committee: tuple[str, ...] = ()  # names of the nodes that grant leases, the same on all nodes
    lease_ms: float = 3000.0
    clock_ms: float = 150.0  # by which a holder's clock may differ from a granting member's
    duties: bool = False  # probes of workers have one owner at a time
    probe_ms: float = 1000.0  # between two probes of a worker


@dataclass(frozen=True, slots=True)
class VerdictsConfig:
    """What the nodes hold of the workers together (docs/verdicts.md)."""

    out_most: float = 0.3  # share of the workers that may be out by verdict
    half_life_ms: float = 8000.0  # in which what was seen of a worker counts for half
    try_ms: float = 1000.0  # after its last failure until a worker that is out is tried, by one node


@dataclass(frozen=True, slots=True)
class LimitConfig:
    """One limit of the whole fleet (docs/limits.md)."""

    name: str
    kind: str  # "hard": never over; "soft": over by a bounded amount for a bounded time
    rate: float = 0.0  # jobs a second that all nodes together take in
    retries: float = 0.0  # in its place, of a limit on retries: their share of first tries
    tenant: int | None = None  # whose jobs count; None: everybody's
    job_class: int | None = None  # which ones
    over: str = "refuse"  # what becomes of jobs beyond it: "refuse", or "last": behind the others

    def unmeasured(self) -> LimitConfig:
        """The same without how much it is: what makes it this limit and no other."""
        return replace(self, rate=0.0, retries=float(self.retries > 0))


@dataclass(frozen=True, slots=True)
class FleetLimitsConfig:
    """Limits that all nodes keep together."""

    limits: tuple[LimitConfig, ...]
    burst_ms: float = 1000.0  # of its rate that a limit may save up
    loan_ms: float = 1000.0  # for which units of a hard limit are lent
    period_ms: float = 400.0  # between two words on what is asked for, where nothing changes
    settle_ms: float = 0.0  # after which a share grows; 0: what a change needs to be known (limits/bounds.py)
    believed_ms: float = 2500.0  # for which a word of another node stands
    in_a_cut: str = "part"  # what a part of a cut group may use of a soft limit
    lend_turns: bool = False  # at cold workers, to nodes that see more of the traffic

    def settled(self) -> FleetLimitsConfig:
        """What cannot change in a running node: times, and hard limits but for their rates.

        Units of a hard limit that came again may still be lent by the one that went.
        """
        return replace(self, limits=tuple(x.unmeasured() for x in self.limits if x.kind == "hard"))


@dataclass(frozen=True, slots=True)
class StoreConfig:
    """The members of the replicated log (docs/store.md)."""

    listen: Address
    members: Mapping[str, Address]  # by name, this node's own among them
    join: bool = False  # this node was none of the first members: it waits to be added
    election_ms: float = 300.0  # silence of the leader after which another one is wanted


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
    front_fd: int | None = None  # a listening socket that was inherited; it serves in the place of `listen`
    admin: Address | None = None
    run_dir: str = ""  # where two processes of an upgrade meet
    discovery: Address | None = None
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None  # reaches all of them
    known: Mapping[str, Any] = field(default_factory=dict)
    beanstalk: BeanstalkConfig | None = None
    inventory: str = ""
    store_file: str = ""
    log_level: str = "info"
    cores: CoresConfig = field(default_factory=CoresConfig)
    membership: MembershipConfig | None = None
    verdicts: VerdictsConfig | None = None
    fleet_limits: FleetLimitsConfig | None = None
    store: StoreConfig | None = None


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


def read_cores(config: Mapping[str, Any], cpus: int) -> CoresConfig:
    """The operator's [cores] table; without one, the node is a single process."""
    table = table_of(config.get("cores", {}), "cores")
    for key in table:
        if key not in ("processes", "slots", "cold", "accept"):
            raise ConfigError(f"cores.{key}: unknown")
    processes = table.get("processes", 1)
    if isinstance(processes, bool) or not isinstance(processes, int) or processes < 1:
        raise ConfigError(f"cores.processes: not a whole number of at least 1: {processes!r}")
    if processes > cpus:
        raise ConfigError(f"cores.processes: this machine has {cpus} cores, not {processes}")
    words = {}
    for key, known in (
        ("slots", ("shared", "divided")),
        ("cold", ("shared", "divided")),
        ("accept", ("passed", "inherited")),
    ):
        words[key] = text(table, key, getattr(CoresConfig, key), "cores.")
        if words[key] not in known:
            raise ConfigError(f"cores.{key}: not one of {', '.join(known)}: {words[key]!r}")
    return CoresConfig(processes, **words)


def read_limits(
    config: Mapping[str, Any], settings: Mapping[str, Any], shared: bool, processes: int = 1
) -> Limits:
    """The limits: the deployment's, scaled to the sockets at hand, then the operator's [node] table.

    Where a second process may share the machine (`shared`), each of the two takes half the memory. Of
    several processes that are one node, each has its part of sockets, memory and operations, and the
    supervisor its own.
    """
    values: dict[str, Any] = {}
    machine = table_of(config.get("limits", {}), "limits")
    sockets = int(amount(machine.get("sockets", 1024 * processes), "limits.sockets"))
    if sockets < 64:
        raise ConfigError(f"limits.sockets: at least 64 are needed, not {sockets}")
    if processes > 1:
        links = SUPERVISOR_SOCKETS + processes * (CORE_LINKS + processes)
        sockets = (sockets - links) // processes
        if sockets < 64:
            least = 64 * processes + links
            raise ConfigError(f"limits.sockets: cores.processes = {processes} needs at least {least}")
    if "beanstalk" in config:
        values["beanstalk_sockets"] = sockets * 30 // 100
        values["front_sockets"] = sockets * 28 // 100
        values["destination_sockets"] = sockets * 28 // 100
    else:
        values["front_sockets"] = sockets * 51 // 100
        values["destination_sockets"] = sockets * 30 // 100
    values["admin_sockets"] = max(6, sockets * 4 // 100)
    values["spare_sockets"] = max(2, sockets * 4 // 100 if "beanstalk" not in config else sockets * 2 // 100)
    # the program itself takes about 20 MB; of the rest, half may be bodies, a sixth what is being read
    memory = amount(machine.get("memory_mb", 192 * processes), "limits.memory_mb")
    if memory < 24:
        raise ConfigError(f"limits.memory_mb: at least 24 are needed, not {memory:g}")
    if processes > 1:
        if memory < SUPERVISOR_MB + CORE_MB * processes:
            least = SUPERVISOR_MB + CORE_MB * processes
            raise ConfigError(f"limits.memory_mb: cores.processes = {processes} needs at least {least}")
        memory = (memory - SUPERVISOR_MB) / processes - (CORE_MB - 24)
    rest = int(max(4, (memory - 40) / 2 if shared else memory - 20) * 1024 * 1024)
    values["held_bytes"] = min(Limits.held_bytes, rest // 2)
    values["reading_bytes"] = min(Limits.reading_bytes, rest // 6)
    site = table_of(settings.get("limits", {}), "settings.limits")
    if "connect_timeout_ms" in site:
        values["connect_ms"] = amount(site["connect_timeout_ms"], "settings.limits.connect_timeout_ms")
    # advice when to come back is given only where the settings allow it, and no longer than they say
    most = amount(site.get("max_retry_after_ms", Limits.busy_retry_ms), "settings.limits.max_retry_after_ms")
    values["busy_retry_ms"] = min(Limits.busy_retry_ms, most) if site.get("retry_after") else 0.0
    if "idle_close_ms" in site:
        idle = amount(site["idle_close_ms"], "settings.limits.idle_close_ms")
        values["idle_ms"] = min(Limits.idle_ms, idle / 2)
    if "most_held" in site:
        held = int(amount(site["most_held"], "settings.limits.most_held"))
        values["operations"] = max(1, min(Limits.operations, held))
    values["operations"] = max(1, values.get("operations", Limits.operations) // processes)
    known = {f.name: f.type for f in fields(Limits)}
    for key, value in table_of(config.get("node", {}), "node").items():
        if key not in known:
            raise ConfigError(f"node.{key}: unknown")
        number = amount(value, f"node.{key}")
        values[key] = int(number) if known[key] == "int" else number
    return Limits(**values)


def read_tube(
    entry: Mapping[str, Any], where: str, classes: tuple[str, ...], tenants: tuple[str, ...]
) -> TubeConfig:
    """One mapped tube, from the operator's file or from the store."""
    for key in entry:
        if key not in ("name", "class", "tenant", "reply", "key_field", "hint_ms"):
            raise ConfigError(f"{where}{key}: unknown")
    name = text(entry, "name", "", where)
    if not TUBE.match(name):
        raise ConfigError(f"{where}name: not a tube's name: {name!r}")
    if len(name) > Limits.store_key_bytes - len("tube/"):
        raise ConfigError(f"{where}name: too long for a key of the store: {name!r}")
    job_class, tenant = text(entry, "class", "", where), text(entry, "tenant", "", where)
    if job_class not in classes:
        raise ConfigError(f"{where}class: no such class: {job_class!r}")
    if tenant and tenant not in tenants:
        raise ConfigError(f"{where}tenant: no such tenant: {tenant!r}")
    reply = text(entry, "reply", TubeConfig.reply, where)
    if not TUBE.match(reply.replace("{id}", "9" * 19)) or reply == name:
        raise ConfigError(f"{where}reply: not a name for a tube of answers: {reply!r}")
    return TubeConfig(
        name=name,
        job_class=classes.index(job_class),
        tenant=tenants.index(tenant) if tenant else None,
        reply=reply,
        key_field=text(entry, "key_field", "", where),
        hint_ms=amount(entry.get("hint_ms", 0.0), f"{where}hint_ms"),
        source=dict(entry),
    )


def read_beanstalk(
    config: Mapping[str, Any], classes: tuple[str, ...], tenants: tuple[str, ...]
) -> BeanstalkConfig | None:
    """The operator's [beanstalk] table; the front is off without one."""
    if "beanstalk" not in config:
        return None
    table = table_of(config["beanstalk"], "beanstalk")
    for key in table:
        if key not in ("listen", "tubes"):
            raise ConfigError(f"beanstalk.{key}: unknown")
    raw = table.get("tubes", [])
    if not isinstance(raw, list):
        raise ConfigError(f"beanstalk.tubes: not a list: {raw!r}")
    tubes = []
    for i, entry in enumerate(raw):
        where = f"beanstalk.tubes[{i}]"
        tubes.append(read_tube(table_of(entry, where), f"{where}.", classes, tenants))
    for i, tube in enumerate(tubes):
        if tube.name in [t.name for t in tubes[:i]] or tube.name in [t.reply for t in tubes]:
            raise ConfigError(f"beanstalk.tubes[{i}].name: taken already: {tube.name!r}")
    return BeanstalkConfig(address(table.get("listen"), "beanstalk.listen"), tuple(tubes))


def resolved(value: object, key: str) -> Address:
    """An address whose host may be a name: claims about members carry IPv4 addresses."""
    host, port = address(value, key)
    try:
        found = socket.getaddrinfo(host, port, socket.AF_INET, socket.SOCK_DGRAM)
    except OSError as error:
        raise ConfigError(f"{key}: cannot be resolved: {host!r}: {error}") from error
    return str(found[0][4][0]), port


def read_membership(
    config: Mapping[str, Any],
    listen: Address | None,
    peers: tuple[Address, ...],
    settings: api.Settings,
    base: Path,
) -> MembershipConfig | None:
    """The operator's [membership] table; without one the nodes know each other as `peers` alone."""
    if "membership" not in config:
        return None
    table = table_of(config["membership"], "membership")
    known = {f.name: f.type for f in fields(MembershipConfig)}
    for key in table:
        if key not in known:
            raise ConfigError(f"membership.{key}: unknown")
    if not settings.may_tell:
        raise ConfigError("membership: nodes may not tell each other anything (settings.limits.may_tell)")
    group = text(table, "group", "", "membership.")
    if not group:
        raise ConfigError("membership.group: without a name")
    if listen is None:
        raise ConfigError("peer_listen: needed by membership")
    values: dict[str, Any] = {"group": group}
    for key in ("period_ms", "lease_ms", "clock_ms", "probe_ms"):
        if key in table:
            values[key] = amount(table[key], f"membership.{key}")
    period = values.get("period_ms", MembershipConfig.period_ms)
    if not 20 <= period <= 60_000:
        raise ConfigError(f"membership.period_ms: from 20 to 60,000, not {period:g}")
    seeds = table.get("seeds", [])
    if not isinstance(seeds, list):
        raise ConfigError(f"membership.seeds: not a list: {seeds!r}")
    values["seeds"] = tuple(resolved(seed, f"membership.seeds[{i}]") for i, seed in enumerate(seeds))
    if not peers and not seeds:
        raise ConfigError("peers: membership needs peers, or membership.seeds")
    if "address" in table:
        values["address"] = resolved(table["address"], "membership.address")
    elif peers:
        values["address"] = peers[settings.me]
    else:
        values["address"] = resolved(f"{listen[0]}:{listen[1]}", "peer_listen")
    if peers and values["address"] not in peers:
        told = "{}:{}".format(*values["address"])
        raise ConfigError(f"membership.address: not among peers: {told!r}")
    values["parts"] = text(table, "parts", "fixed", "membership.")
    if values["parts"] not in ("fixed", "leased"):
        raise ConfigError(f"membership.parts: not one of fixed, leased: {values['parts']!r}")
    committee = table.get("committee", [])
    if not isinstance(committee, list):
        raise ConfigError(f"membership.committee: not a list: {committee!r}")
    values["committee"] = names(committee, "membership.committee")
    if values["parts"] == "leased":
        if not peers:
            raise ConfigError("peers: leased parts are numbered by them")
        size = len(values["committee"])
        if size % 2 == 0 or len(set(values["committee"])) != size:
            raise ConfigError("membership.committee: an odd number of different names")
        least, clock = values.get("lease_ms", MembershipConfig.lease_ms), values.get("clock_ms", 150.0)
        if not least >= 4 * period:
            raise ConfigError(f"membership.lease_ms: at least four times period_ms, not {least:g}")
        if not 4 * clock <= settings.fall_ms:
            raise ConfigError(f"membership.clock_ms: at most a quarter of rules.fall_ms, not {clock:g}")
    duties = table.get("duties", False)
    if not isinstance(duties, bool):
        raise ConfigError(f"membership.duties: not true or false: {duties!r}")
    if duties and not settings.may_probe:
        raise ConfigError("membership.duties: workers may not be probed (settings.limits.probes)")
    values["duties"] = duties
    key_file = text(table, "key_file", "", "membership.")
    if key_file:
        values["key_file"] = str(base / key_file)
        read_secret(values["key_file"])
    return MembershipConfig(**values)


def read_verdicts(config: Mapping[str, Any]) -> VerdictsConfig | None:
    """The operator's [verdicts] table; without one each node judges for itself."""
    if "verdicts" not in config:
        return None
    table = table_of(config["verdicts"], "verdicts")
    if "membership" not in config:
        raise ConfigError("verdicts: needs membership")
    bounds = {"out_most": (0.01, 1.0), "half_life_ms": (500.0, 600_000.0), "try_ms": (50.0, 60_000.0)}
    values = {}
    for key, value in table.items():
        if key not in bounds:
            raise ConfigError(f"verdicts.{key}: unknown")
        least, most = bounds[key]
        values[key] = amount(value, f"verdicts.{key}")
        if not least <= values[key] <= most:
            raise ConfigError(f"verdicts.{key}: from {least:g} to {most:,g}, not {values[key]:g}")
    return VerdictsConfig(**values)


LIMITS_MOST = 64
IN_A_CUT = ("part", "majority", "whole")


def read_fleet_limits(
    config: Mapping[str, Any], settings: api.Settings, classes: tuple[str, ...], tenants: tuple[str, ...]
) -> FleetLimitsConfig | None:
    """The operator's [fleet_limits] table; without one each node limits itself alone."""
    if "fleet_limits" not in config:
        return None
    table = dict(table_of(config["fleet_limits"], "fleet_limits"))
    raw = table.pop("limit", [])
    if "membership" not in config:
        raise ConfigError("fleet_limits: needs membership")
    bounds = {
        "burst_ms": (10.0, 600_000.0),
        "loan_ms": (50.0, 60_000.0),
        "period_ms": (50.0, 10_000.0),
        "settle_ms": (0.0, 60_000.0),
        "believed_ms": (200.0, 120_000.0),
    }
    values: dict[str, Any] = {}
    for key, value in table.items():
        if key == "lend_turns":
            if not isinstance(value, bool):
                raise ConfigError(f"fleet_limits.lend_turns: not true or false: {value!r}")
            values[key] = value
        elif key == "in_a_cut":
            values[key] = text(table, key, "part", "fleet_limits.")
            if values[key] not in IN_A_CUT:
                raise ConfigError(f"fleet_limits.in_a_cut: not one of {', '.join(IN_A_CUT)}: {value!r}")
        elif key not in bounds:
            raise ConfigError(f"fleet_limits.{key}: unknown")
        else:
            least, most = bounds[key]
            values[key] = amount(value, f"fleet_limits.{key}")
            if not least <= values[key] <= most:
                raise ConfigError(f"fleet_limits.{key}: from {least:g} to {most:,g}, not {values[key]:g}")
    if not isinstance(raw, list) or not (raw or values.get("lend_turns")):
        raise ConfigError("fleet_limits.limit: not a list of at least one limit")
    if len(raw) > LIMITS_MOST:
        raise ConfigError(f"fleet_limits.limit: at most {LIMITS_MOST}, not {len(raw)}")
    found: list[LimitConfig] = []
    for i, entry in enumerate(raw):
        where = f"fleet_limits.limit[{i}]"
        limit = read_limit(table_of(entry, where), f"{where}.", settings, classes, tenants)
        if limit.name in [other.name for other in found]:
            raise ConfigError(f"{where}.name: taken already: {limit.name!r}")
        if limit.retries and any(other.retries for other in found):
            raise ConfigError(f"{where}.retries: there is one limit on retries")
        found.append(limit)
    for i, part in enumerate(found):
        for whole in found:
            wider = (whole.tenant in (None, part.tenant), whole.job_class in (None, part.job_class))
            if all(wider) and 0 < whole.rate < part.rate:
                told = f"a part of {whole.name!r} that is over the whole ({part.rate:g} of {whole.rate:g})"
                raise ConfigError(f"fleet_limits.limit[{i}].rate: {told}")
    result = FleetLimitsConfig(tuple(found), **values)
    if not result.believed_ms > 2 * result.period_ms:
        raise ConfigError("fleet_limits.believed_ms: more than two times period_ms")
    if result.lend_turns and table_of(config["membership"], "membership").get("parts", "fixed") != "fixed":
        raise ConfigError("fleet_limits.lend_turns: of fixed parts (membership.parts); leases hand theirs on")
    hard = next((i for i, limit in enumerate(found) if limit.kind == "hard"), None)
    if hard is not None:
        group = table_of(config["membership"], "membership")
        if group.get("parts") != "leased":
            where = f"fleet_limits.limit[{hard}].kind"
            raise ConfigError(f'{where}: a hard limit needs leases (membership.parts = "leased")')
        lease = amount(group.get("lease_ms", MembershipConfig.lease_ms), "membership.lease_ms")
        if not result.loan_ms <= lease / 2:
            told = f"at most half of membership.lease_ms ({lease:g}), not {result.loan_ms:g}"
            raise ConfigError(f"fleet_limits.loan_ms: {told}")
    return result


def read_limit(
    entry: Mapping[str, Any],
    where: str,
    settings: api.Settings,
    classes: tuple[str, ...],
    tenants: tuple[str, ...],
) -> LimitConfig:
    """One limit of the whole fleet."""
    for key in entry:
        if key not in ("name", "kind", "rate", "retries", "tenant", "class", "over"):
            raise ConfigError(f"{where}{key}: unknown")
    tenant, job_class = text(entry, "tenant", "", where), text(entry, "class", "", where)
    if tenant and tenant not in tenants:
        raise ConfigError(f"{where}tenant: no such tenant: {tenant!r}")
    if job_class and job_class not in classes:
        raise ConfigError(f"{where}class: no such class: {job_class!r}")
    name = text(entry, "name", tenant, where)
    if not name or len(name.encode()) > 64 or not name.isprintable() or " " in name:
        raise ConfigError(f"{where}name: needed, without spaces and up to 64 bytes: {name!r}")
    kind = text(entry, "kind", "soft", where)
    if kind not in ("hard", "soft"):
        raise ConfigError(f"{where}kind: not one of hard, soft: {kind!r}")
    retries = amount(entry.get("retries", 0.0), f"{where}retries")
    over = text(entry, "over", "refuse", where)
    if over not in ("refuse", "last"):
        raise ConfigError(f"{where}over: not one of refuse, last: {over!r}")
    if kind == "hard" and over == "last":
        raise ConfigError(f"{where}over: what is beyond a hard limit is refused")
    if "retries" in entry:
        others = kind == "hard" or over == "last" or tenant or job_class or "rate" in entry
        if not 0 < retries <= 10 or others:
            told = "a share of first tries, up to 10, soft, for everybody, and without a rate"
            raise ConfigError(f"{where}retries: {told}")
        return LimitConfig(name, kind, 0.0, retries)
    number = tenants.index(tenant) if tenant else None
    quota = settings.tenants[number].quota_per_s if number is not None else 0.0
    rate = amount(entry.get("rate", quota), f"{where}rate")
    if not 0 < rate <= 60_000:
        raise ConfigError(f"{where}rate: jobs a second, above 0 and up to 60,000, not {rate:g}")
    return LimitConfig(name, kind, rate, 0.0, number, classes.index(job_class) if job_class else None, over)


def read_store(config: Mapping[str, Any], name: str) -> StoreConfig | None:
    """The operator's [store] table; without one the store has no log."""
    if "store" not in config:
        return None
    table = table_of(config["store"], "store")
    for key in table:
        if key not in ("listen", "members", "election_ms", "join"):
            raise ConfigError(f"store.{key}: unknown")
    join = table.get("join", False)
    if not isinstance(join, bool):
        raise ConfigError(f"store.join: not true or false: {join!r}")
    if "membership" not in config:
        raise ConfigError("store: needs membership, whose key its members share")
    if not config.get("store_file"):
        raise ConfigError("store_file: needed by [store]: what a member has promised must outlive it")
    given = table_of(table.get("members", {}), "store.members")
    members = {str(key): address(value, f"store.members.{key}") for key, value in given.items()}
    if name not in members:
        raise ConfigError(f"store.members: this node ({name!r}) is not among them")
    if len(members) > 9 or (len(members) % 2 == 0 and not join):
        raise ConfigError(f"store.members: an odd number up to 9, not {len(members)}")
    election = amount(table.get("election_ms", 300.0), "store.election_ms")
    if not 100 <= election <= 60_000:
        raise ConfigError(f"store.election_ms: from 100 to 60,000, not {election:g}")
    return StoreConfig(address(table.get("listen"), "store.listen"), members, join, election)


def read_secret(path: str) -> bytes:
    """The group's secret, without the space around it."""
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"membership.key_file: {error}") from error
    if len(secret) < 16:
        raise ConfigError(f"membership.key_file: at least 16 bytes are needed, not {len(secret)}")
    return secret


def load(
    environ: Mapping[str, str], path: str | None = None, replaced: bool = False, tables: str | None = None
) -> Config:
    """Read the file that the command line or $GW_CONFIG names; the other GW_ variables win over it.

    `tables` is a file of what all nodes of a fleet have alike (TABLES), beside what each is told of itself; a
    table that both have ends the start. In a file that was `replaced` since the start, discovery is newer
    than what the environment says of it.
    """
    where = path or environ.get("GW_CONFIG")
    if not where:
        raise ConfigError("GW_CONFIG: not set, and no configuration file given")
    config = read_file(where)
    if tables is not None:
        for key, table in read_file(tables).items():
            if key not in TABLES:
                raise ConfigError(f"{key}: not a table that nodes share ({', '.join(TABLES)})")
            if key in config:
                raise ConfigError(f"{key}: in {where} and in {tables}")
            config[key] = table
    if path or where.endswith(".toml"):  # an operator's; the platform's may carry more than is known
        for key in config:
            if key not in KEYS:
                raise ConfigError(f"{key}: unknown")
    raw = table_of(config.get("settings"), "settings")
    try:
        settings = read_settings(raw)
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error
    told = {"name": "GW_NAME", "listen": "GW_LISTEN", "discovery": "GW_DISCOVERY", "admin": "GW_ADMIN"}
    for key, variable in told.items():
        if variable in environ and not (replaced and key == "discovery" and config.get(key)):
            config[key] = environ[variable]

    def maybe(key: str) -> Address | None:
        return address(config[key], key) if config.get(key) else None

    classes = names(raw.get("classes", []), "settings.classes")
    tenants = names(raw.get("tenants", []), "settings.tenants")
    base = Path(where).parent

    def file(key: str) -> str:
        value = text(config, key, "")
        return str(base / value) if value else ""

    fd = environ.get("GW_FD", "")
    if fd and not (fd.isascii() and fd.isdigit() and len(fd) < 8):
        raise ConfigError(f"GW_FD: not a descriptor: {fd!r}")
    front_fd = int(fd) if fd else None
    cores = read_cores(config, len(os.sched_getaffinity(0)))
    if cores.processes > 1 and tables is not None:
        raise ConfigError("cores.processes: a node with --tables has one process")
    if cores.processes > 1 and front_fd is not None:
        raise ConfigError("cores.processes: a node with an inherited socket (GW_FD) has one process")
    if cores.processes > 1 and "beanstalk" in config and not config.get("discovery"):
        # clients of the other cores would find no worker: those that reserve are core 0's
        raise ConfigError("cores.processes: a node whose workers all reserve (no discovery) has one process")
    if "membership" in config and (cores.processes > 1 or front_fd is not None):
        raise ConfigError("membership: of nodes of one process that are not upgraded in place (cores, GW_FD)")
    given = config.get("peers", [])
    if not isinstance(given, list):
        raise ConfigError(f"peers: not a list: {given!r}")
    peers = tuple(address(p, f"peers[{i}]") for i, p in enumerate(given))
    if "membership" in config and peers and len(peers) != settings.dispatchers:
        raise ConfigError(f"peers: one for each of settings.balancers ({settings.dispatchers}) is needed")
    log_level = text(config, "log_level", environ.get("PEBBLEDRIFT_LOG", "info")).lower()
    if log_level not in LEVELS:
        raise ConfigError(f"log_level: not one of {', '.join(LEVELS)}: {log_level!r}")
    seed = config.get("seed", 0)
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (ValueError, TypeError) as error:
        raise ConfigError(f"seed: not a number: {seed!r}") from error
    return Config(
        name=text(config, "name", "node"),
        settings=settings,
        limits=read_limits(config, raw, front_fd is not None, cores.processes),
        classes=classes,
        tenants=tenants,
        zones=names(raw.get("zones", []), "settings.zones"),
        kinds=names(raw.get("kinds", []), "settings.kinds"),
        seed=seed,
        listen=maybe("listen"),
        front_fd=front_fd,
        admin=maybe("admin"),
        run_dir=environ.get("TMPDIR") or tempfile.gettempdir(),
        discovery=maybe("discovery"),
        peer_listen=maybe("peer_listen"),
        peers=peers,
        peers_all=maybe("peers_all"),
        known=table_of(config.get("known") or {}, "known"),
        beanstalk=read_beanstalk(config, classes, tenants),
        inventory=file("inventory"),
        store_file=file("store_file"),
        log_level=log_level,
        cores=cores,
        membership=read_membership(
            config, maybe("peer_listen"), peers, settings, Path(tables).parent if tables else base
        ),
        verdicts=read_verdicts(config),
        fleet_limits=read_fleet_limits(config, settings, classes, tenants),
        store=read_store(config, text(config, "name", "node")),
    )
