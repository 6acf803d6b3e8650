"""Reads the settings object, which benchlink receives on its wire and a node in its configuration.

All readers raise ValueError with the name of the invalid setting.
"""

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


def required(table: dict[str, Any], name: str, where: str = "") -> Any:
    """Return a required setting of any type."""
    if not isinstance(table, dict) or name not in table:
        raise ValueError(f"{where}{name}: missing from the settings")
    return table[name]


def required_number(table: dict[str, Any], name: str, where: str = "") -> float:
    """Return a required setting that must be a number."""
    value = required(table, name, where)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{where}{name}: not a number: {value!r}")
    return float(value)


def number_above(table: dict[str, Any], name: str, bound: float, where: str = "") -> float:
    """Return a required setting that must be a number above a bound."""
    value = required_number(table, name, where)
    if not value > bound:
        raise ValueError(f"{where}{name}: must be above {bound:g}, not {value:g}")
    return value


def positive_integer(table: dict[str, Any], name: str, where: str = "") -> int:
    """Return a required setting that must be an integer of at least 1."""
    value = required_number(table, name, where)
    if value < 1 or value != int(value):
        raise ValueError(f"{where}{name}: not a whole number of 1 or more: {value:g}")
    return int(value)


def non_negative(table: dict[str, Any], name: str, where: str = "") -> float:
    """Return a required setting that must be a number of at least 0."""
    value = required_number(table, name, where)
    if not value >= 0:
        raise ValueError(f"{where}{name}: must not be negative, not {value:g}")
    return value


def optional_number(table: dict[str, Any], name: str, default: float, where: str = "") -> float:
    """Return a setting that must be a number of at least 0, or the default if it is absent."""
    if not isinstance(table, dict):
        raise ValueError(f"{where.rstrip('.')}: not an object: {table!r}")
    return non_negative(table, name, where) if name in table else default


def choice(table: dict[str, Any], name: str, choices: dict[str, Any], where: str = "") -> Any:
    """Return the value that `choices` has for a required setting; others are invalid."""
    value = required(table, name, where)
    if value not in choices:
        raise ValueError(f"{where}{name}: unknown value {value!r}")
    return choices[value]


def read_settings(env: dict[str, Any]) -> api.Settings:
    """Convert the settings object into Settings; unknown keys are ignored."""
    limits, rules = required(env, "limits"), required(env, "rules")
    fees, family = env.get("fees", {}), env.get("family_info", {})
    classes = []
    for i, entry in enumerate(required(env, "classes")):
        where = f"classes[{i}]."

        def family_value(name: str, default: float, i: int = i) -> float:
            values = family.get(name, [])
            return float(values[i]) if i < len(values) else default

        classes.append(
            api.JobClass(
                aim_ms=non_negative(entry, "target_ms", where),
                deadline_ms=number_above(entry, "deadline_ms", 0.0, where),
                aim_stretch=optional_number(entry, "aim_stretch", family_value("class_stretch", 0.0), where),
                worth=optional_number(entry, "gain", 1.0, where),
                late_worth=optional_number(entry, "late_worth", 0.0, where),
                effect=choice(entry, "idempotency", EFFECTS, where),
                group=GROUPS.get(entry.get("group", "all"), api.Group.CELL),
                window_ms=optional_number(entry, "memory_span_ms", 0.0, where),
                kind=int(family_value("class_kind", -1)),
                priority=int(family_value("class_priority", 0)),
                streamed=bool(entry.get("streamed", False)),
            )
        )
    if not classes:
        raise ValueError("classes: at least one is needed")
    # an unknown mode is an error: taken for another one, no change of the list would be received
    ask_for_list = choice({"discovery": "push", **env}, "discovery", {"ask": True, "push": False})
    retry_after = (
        optional_number(limits, "max_retry_after_ms", 0.0, "limits.") if limits.get("retry_after") else 0.0
    )
    return api.Settings(
        classes=tuple(classes),
        dispatchers=positive_integer(env, "balancers"),
        me=int(required_number(env, "me")),
        zone=int(required_number(env, "zone")),
        zones=max(1, len(env.get("zones", []))),
        tick_ms=number_above(env, "period_ms", 0.0),
        tenants=tuple(
            api.Tenant(
                optional_number(t, "share", 0.0, f"tenants[{i}]."),
                optional_number(t, "quota_rps", 0.0, f"tenants[{i}]."),
            )
            for i, t in enumerate(env.get("tenants", []))
        ),
        over_share_worth=optional_number(env, "over_share_worth", 1.0),
        max_attempts=positive_integer(limits, "try_limit", "limits."),
        may_duplicate=bool(limits.get("may_duplicate", False)),
        may_probe=bool(limits.get("probes", False)),
        may_cancel=bool(limits.get("cancel", False)),
        may_tell=bool(limits.get("may_tell", False)),
        ask_for_list=ask_for_list,
        must_ask_in_ms=optional_number(rules, "must_ask_in_ms", 10_000.0, "rules."),
        drain_grace_ms=optional_number(rules, "drain_grace_ms", 500.0, "rules."),
        reports_in_answers=env.get("report", {}).get("how") == "answers",
        tells_start=bool(family.get("tells_start", False)),
        progress_ms=optional_number(family, "progress_ms", 0.0, "family_info."),
        nominal_weights=env.get("weights", "none") != "none",
        max_retry_after_ms=retry_after,
        cold_share=number_above(rules, "cold_share", 0.0, "rules."),
        cold_ms=non_negative(rules, "cold_ms", "rules."),
        fall_multiple=number_above(rules, "fall_multiple", 0.0, "rules."),
        fall_ms=number_above(rules, "fall_ms", 0.0, "rules."),
        fee_cross_zone=optional_number(fees, "cross_zone", 0.0, "fees."),
    )
