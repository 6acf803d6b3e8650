"""Fault plans: from a TOML file, or drawn from a seed. Times are seconds of the rig's clock."""

from __future__ import annotations

import tomllib
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

# what can happen, and what it has to name
DOS: dict[str, tuple[str, ...]] = {
    "cut": ("groups",),  # datagrams and connections between nodes of different groups, both ways
    "one-way": ("sender", "receiver"),  # nothing passes from the one to the other
    "loss": ("share",),  # of the datagrams of all nodes, in bursts
    "delay": ("ms",),  # of the datagrams of all nodes
    "reorder": ("ms",),
    "double": ("share",),
    "heal": (),
    "reset": ("node",),  # all its connections to workers and discovery
    "deaf": ("node", "worker"),  # the way from a node to a worker and back is cut
    "blind": ("node",),  # the same to discovery
    "kill": ("node",),
    "stop": ("node",),
    "continue": ("node",),
    "end": ("node",),  # SIGTERM
    "start": ("node",),
    "drain": ("worker",),
    "use": ("worker",),  # in service again
    "restart worker": ("worker",),  # it is cold, and discovery says so
}


class PlanError(ValueError):
    """A plan that cannot be played; the message names the fault."""


@dataclass(frozen=True)
class Step:
    """One fault."""

    at: float
    do: str
    given: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Plan:
    """What is played."""

    seed: int = 1
    nodes: int = 3
    workers: int = 4
    slots: int = 4
    seconds: float = 10.0
    rate: float = 20.0  # jobs a second, all clients together
    settings: dict[str, Any] = field(default_factory=dict)  # over the rig's
    membership: dict[str, Any] = field(default_factory=dict)  # over the rig's
    steps: tuple[Step, ...] = ()

    def text(self) -> str:
        """The plan as one line, to be told where a run has failed."""
        return repr(asdict(self))


def read(path: Path) -> Plan:
    """A plan from its file; PlanError where it is at fault."""
    try:
        table = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise PlanError(f"{path}: {error}") from error
    return of(table)


def of(table: dict[str, Any]) -> Plan:
    """A plan from a table."""
    known = set(Plan.__dataclass_fields__) - {"steps"}
    steps = []
    for key in table:
        if key not in known | {"fault"}:
            raise PlanError(f"{key}: unknown")
    plan = Plan(**{k: v for k, v in table.items() if k != "fault"})
    if not 2 <= plan.nodes <= 24 or not 1 <= plan.workers <= 64 or not 0 < plan.seconds <= 900:
        raise PlanError("nodes: 2 to 24; workers: 1 to 64; seconds: up to 900")
    names = {f"n{i}" for i in range(plan.nodes)}
    for i, entry in enumerate(table.get("fault", [])):
        given = dict(entry)
        at, do = given.pop("at", None), given.pop("do", None)
        if do not in DOS:
            raise PlanError(f"fault[{i}].do: no such fault: {do!r}")
        if not isinstance(at, int | float) or not 0 <= at <= plan.seconds:
            raise PlanError(f"fault[{i}].at: not a time of this play: {at!r}")
        for key in DOS[do]:
            if key not in given:
                raise PlanError(f"fault[{i}].{key}: missing")
        if "node" in given and given["node"] not in names:
            raise PlanError(f"fault[{i}].node: no such node: {given['node']!r}")
        steps.append(Step(float(at), do, given))
    steps.sort(key=lambda step: step.at)
    return Plan(**{k: getattr(plan, k) for k in known}, steps=tuple(steps))


def drawn(seed: int, nodes: int = 3, seconds: float = 20.0, faults: int = 6, **more: Any) -> Plan:
    """A plan from a seed: faults in the first two thirds, all healed, and all nodes there, in the last."""
    random = np.random.default_rng(seed)
    names = [f"n{i}" for i in range(nodes)]
    steps: list[Step] = []
    down: dict[str, str] = {}
    times = np.sort(random.uniform(1.0, seconds * 0.6, faults))
    for at in times:
        kind = str(random.choice(["cut", "one-way", "loss", "delay", "kill", "stop", "heal", "end"]))
        up = [n for n in names if n not in down]
        node = str(random.choice(up)) if up else ""
        match kind:
            case "cut":
                split = random.permutation(names)
                where = int(random.integers(1, nodes))
                groups = [[str(n) for n in split[:where]], [str(n) for n in split[where:]]]
                steps.append(Step(float(at), "cut", {"groups": groups}))
            case "one-way":
                one, other = random.choice(names, 2, replace=False)
                steps.append(Step(float(at), "one-way", {"sender": str(one), "receiver": str(other)}))
            case "loss":
                steps.append(Step(float(at), "loss", {"share": float(random.uniform(0.05, 0.3))}))
            case "delay":
                steps.append(Step(float(at), "reorder", {"ms": float(random.uniform(5, 100))}))
            case "heal":
                steps.append(Step(float(at), "heal"))
            case _ if len(up) > 1:
                down[node] = kind
                steps.append(Step(float(at), kind, {"node": node}))
                back = "continue" if kind == "stop" else "start"
                after = float(at + random.uniform(0.3, seconds * 0.2))
                steps.append(Step(min(after, seconds * 0.66), back, {"node": node}))
                del down[node]
                names_left = [n for n in names if n != node]
                names = names_left if len(names_left) > 1 else names
    steps.append(Step(seconds * 0.67, "heal"))
    steps.sort(key=lambda step: step.at)
    return Plan(seed=seed, nodes=nodes, seconds=seconds, steps=tuple(steps), **more)
