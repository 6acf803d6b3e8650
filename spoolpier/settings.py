"""Reader of the settings object: the adapter gets it on the wire, the node finds it in its configuration."""

from __future__ import annotations

from typing import Any

from spoolpier import interface as api

REPORT_NAMES = {
    "x0": "free_slots",
    "x1": "free_memory",
    "busy_reqs": "held",
    "pending": "waiting",
    "cpu_share": "busy",
    "svc_ms": "service_ms",
}
EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}


def need(table: dict[str, Any], name: str, where: str = "") -> Any:
    """A required setting; its absence is reported by name."""
    if not isinstance(table, dict) or name not in table:
        raise ValueError(f"{where}{name}: missing from the settings")
    return table[name]


def number(table: dict[str, Any], name: str, where: str = "") -> float:
    """A required setting that has to be a number."""
    value = need(table, name, where)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{where}{name}: not a number: {value!r}")
    return float(value)


def above(table: dict[str, Any], name: str, least: float, where: str = "") -> float:
    """A required setting that has to be a number above another one."""
    value = number(table, name, where)
    if not value > least:
        raise ValueError(f"{where}{name}: must be above {least:g}, not {value:g}")
    return value


def count(table: dict[str, Any], name: str, where: str = "") -> int:
    """A required setting that has to be a whole number of 1 or more."""
    value = number(table, name, where)
    if value < 1 or value != int(value):
        raise ValueError(f"{where}{name}: not a whole number of 1 or more: {value:g}")
    return int(value)


def amount(table: dict[str, Any], name: str, where: str = "") -> float:
    """A required setting that has to be a number of 0 or more."""
    value = number(table, name, where)
    if not value >= 0:
        raise ValueError(f"{where}{name}: must not be negative, not {value:g}")
    return value


def optional(table: dict[str, Any], name: str, default: float, where: str = "") -> float:
    """A setting that may be absent, and has to be a number of 0 or more where it is there."""
    if not isinstance(table, dict):
        raise ValueError(f"{where.rstrip('.')}: not an object: {table!r}")
    return amount(table, name, where) if name in table else default


def choice(table: dict[str, Any], name: str, choices: dict[str, Any], where: str = "") -> Any:
    """A required setting that has to be one of a few words."""
    value = need(table, name, where)
    if value not in choices:
        raise ValueError(f"{where}{name}: unknown value {value!r}")
    return choices[value]


def read_settings(env: dict[str, Any]) -> api.Settings:
    """Translate the settings object; unknown keys are ignored."""
    limits, rules = need(env, "limits"), need(env, "rules")
    fees, family = env.get("fees", {}), env.get("family_info", {})
    classes = []
    for i, entry in enumerate(need(env, "classes")):
        where = f"classes[{i}]."

        def of_family(name: str, default: float, i: int = i) -> float:
            values = family.get(name, [])
            return float(values[i]) if i < len(values) else default

        classes.append(
            api.JobClass(
                aim_ms=amount(entry, "target_ms", where),
                deadline_ms=above(entry, "deadline_ms", 0.0, where),
                aim_stretch=optional(entry, "aim_stretch", of_family("class_stretch", 0.0), where),
                worth=optional(entry, "gain", 1.0, where),
                late_worth=optional(entry, "late_worth", 0.0, where),
                effect=choice(entry, "idempotency", EFFECTS, where),
                group=GROUPS.get(entry.get("group", "all"), api.Group.CELL),
                window_ms=optional(entry, "memory_span_ms", 0.0, where),
                kind=int(of_family("class_kind", -1)),
                priority=int(of_family("class_priority", 0)),
                streamed=bool(entry.get("streamed", False)),
            )
        )
    # a mode that nobody knows would be taken for another one, and no change of the list would be heard
    asked = choice({"discovery": "push", **env}, "discovery", {"ask": True, "push": False})
    retry_after = optional(limits, "max_retry_after_ms", 0.0, "limits.") if limits.get("retry_after") else 0.0
    return api.Settings(
        classes=tuple(classes),
        dispatchers=count(env, "balancers"),
        me=int(number(env, "me")),
        zone=int(number(env, "zone")),
        zones=max(1, len(env.get("zones", []))),
        tick_ms=above(env, "period_ms", 0.0),
        tenants=tuple(
            api.Tenant(
                optional(t, "share", 0.0, f"tenants[{i}]."), optional(t, "quota_rps", 0.0, f"tenants[{i}].")
            )
            for i, t in enumerate(env.get("tenants", []))
        ),
        over_share_worth=optional(env, "over_share_worth", 1.0),
        max_attempts=count(limits, "try_limit", "limits."),
        may_duplicate=bool(limits.get("may_duplicate", False)),
        may_probe=bool(limits.get("probes", False)),
        may_cancel=bool(limits.get("cancel", False)),
        may_tell=bool(limits.get("may_tell", False)),
        ask_for_list=asked,
        must_ask_in_ms=optional(rules, "must_ask_in_ms", 10_000.0, "rules."),
        drain_grace_ms=optional(rules, "drain_grace_ms", 500.0, "rules."),
        reports_in_answers=env.get("report", {}).get("how") == "answers",
        tells_start=bool(family.get("tells_start", False)),
        progress_ms=optional(family, "progress_ms", 0.0, "family_info."),
        nominal_weights=env.get("weights", "none") != "none",
        max_retry_after_ms=retry_after,
        cold_share=above(rules, "cold_share", 0.0, "rules."),
        cold_ms=amount(rules, "cold_ms", "rules."),
        fall_multiple=above(rules, "fall_multiple", 0.0, "rules."),
        fall_ms=above(rules, "fall_ms", 0.0, "rules."),
        fee_cross_zone=optional(fees, "cross_zone", 0.0, "fees."),
    )
