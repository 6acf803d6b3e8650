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
                aim_ms=number(entry, "target_ms", where),
                deadline_ms=number(entry, "deadline_ms", where),
                aim_stretch=float(entry.get("aim_stretch", of_family("class_stretch", 0.0))),
                worth=float(entry.get("gain", 1.0)),
                late_worth=float(entry.get("late_worth", 0.0)),
                effect=choice(entry, "idempotency", EFFECTS, where),
                group=GROUPS.get(entry.get("group", "all"), api.Group.CELL),
                window_ms=float(entry.get("memory_span_ms", 0.0)),
                kind=int(of_family("class_kind", -1)),
                priority=int(of_family("class_priority", 0)),
                streamed=bool(entry.get("streamed", False)),
            )
        )
    # a mode that nobody knows would be taken for another one, and no change of the list would be heard
    asked = choice({"discovery": "push", **env}, "discovery", {"ask": True, "push": False})
    return api.Settings(
        classes=tuple(classes),
        dispatchers=int(number(env, "balancers")),
        me=int(number(env, "me")),
        zone=int(number(env, "zone")),
        zones=max(1, len(env.get("zones", []))),
        tick_ms=number(env, "period_ms"),
        tenants=tuple(
            api.Tenant(float(t.get("share", 0.0)), float(t.get("quota_rps", 0.0)))
            for t in env.get("tenants", [])
        ),
        over_share_worth=float(env.get("over_share_worth", 1.0)),
        max_attempts=int(number(limits, "try_limit", "limits.")),
        may_duplicate=bool(limits.get("may_duplicate", False)),
        may_probe=bool(limits.get("probes", False)),
        may_cancel=bool(limits.get("cancel", False)),
        may_tell=bool(limits.get("may_tell", False)),
        ask_for_list=asked,
        must_ask_in_ms=float(rules.get("must_ask_in_ms", 10_000.0)),
        drain_grace_ms=float(rules.get("drain_grace_ms", 500.0)),
        reports_in_answers=env.get("report", {}).get("how") == "answers",
        tells_start=bool(family.get("tells_start", False)),
        progress_ms=float(family.get("progress_ms", 0.0)),
        nominal_weights=env.get("weights", "none") != "none",
        max_retry_after_ms=float(limits.get("max_retry_after_ms", 0.0)) if limits.get("retry_after") else 0.0,
        cold_share=number(rules, "cold_share", "rules."),
        cold_ms=number(rules, "cold_ms", "rules."),
        fall_multiple=number(rules, "fall_multiple", "rules."),
        fall_ms=number(rules, "fall_ms", "rules."),
        fee_cross_zone=float(fees.get("cross_zone", 0.0)),
    )
