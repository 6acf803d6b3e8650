"""What must hold in any play, checked from its log alone."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

Event = dict[str, Any]
SLACK_S = 0.05  # on sockets each limit is this much longer
LATE_S = 0.5  # an answer this long after its time is lost


def answers(events: Iterable[Event]) -> list[str]:
    """Each job has one answer in its time, unless its node was killed, or stopped, under it."""
    faults: list[str] = []
    asked: dict[str, Event] = {}
    down: dict[str, list[float]] = defaultdict(list)  # when a node was killed, stopped or went on
    answered: dict[str, Event] = {}
    for e in events:
        match e["ev"]:
            case "asked":
                asked[e["id"]] = e
            case "answered":
                if e["id"] in answered:
                    faults.append(f"{e['id']} was answered twice")
                answered[e["id"]] = e
            case "fault" if e["do"] in ("kill", "stop", "continue", "end"):
                down[e["node"]].append(e["t"])
    for job, ask in asked.items():
        answer = answered.get(job)
        end = answer["t"] if answer is not None else float("inf")
        # one that was stopped answers late, and one that was told to end closes its door to newcomers
        if any(ask["t"] - 1.0 <= t <= end or 0 <= ask["t"] - t < 1.0 for t in down[ask["node"]]):
            continue
        if answer is None or not answer["status"]:
            faults.append(f"{job} at {ask['node']} got no answer ({answer and answer['why']}), {ask['t']} s")
        elif answer["took"] > (ask["budget"] + LATE_S) * 1000:
            faults.append(f"{job} at {ask['node']} was answered after {answer['took']} ms")
    return faults


def once(events: Iterable[Event]) -> list[str]:
    """No pesagem comes to a worker twice, and no job has two copies under way at once."""
    faults: list[str] = []
    out: dict[str, set[str]] = defaultdict(set)
    came: dict[str, int] = defaultdict(int)
    for e in events:
        match e["ev"]:
            case "arrived":
                came[e["id"]] += 1
                if e["kind"] == "pesagem" and came[e["id"]] > 1:
                    faults.append(f"{e['id']} came a second time, to {e['worker']}, {e['t']} s")
                if out[e["id"]]:
                    both = f"{e['worker']} and {out[e['id']]}"
                    faults.append(f"{e['id']} had two copies, at {both}, {e['t']} s")
                out[e["id"]].add(e["worker"])
            case "done" | "cancelled" | "failed":
                out[e["id"]].discard(e["worker"])
    return faults


def drains(events: Iterable[Event], grace_s: float) -> list[str]:
    """Nothing new to a worker later than the grace after its node was told that it drains."""
    faults: list[str] = []
    told: dict[tuple[str, str], float] = {}
    for e in events:
        if e["ev"] == "told":
            for worker, state in e["states"].items():
                if state == "in_service":
                    told.pop((e["node"], worker), None)
                else:
                    told.setdefault((e["node"], worker), e["t"])
        elif e["ev"] == "arrived":
            at = told.get((e["node"], e["worker"]))
            if at is not None and e["t"] > at + grace_s + SLACK_S:
                faults.append(f"{e['id']} came to {e['worker']} {e['t'] - at:.2f} s after its drain was told")
    return faults


def cold(events: Iterable[Event], rules: dict[str, float]) -> list[str]:
    """By the workers' own log: in any window, no more than a cold worker stands from all nodes together."""
    faults: list[str] = []
    for life in _lives(events).values():
        for start, arrivals, slots in life:
            most = worst(arrivals, start, slots, rules)
            if most > rules["fall_multiple"]:
                faults.append(f"a worker was sent {most:.1f} times what it could do")
    return faults


def worst(arrivals: list[tuple[float, float]], start: float, slots: float, rules: dict[str, float]) -> float:
    """The most that came in a window of fall_ms, in multiples of what the worker could do in it."""
    window, most = rules["fall_ms"] / 1000, 0.0
    first, total = 0, 0.0
    for at, work in arrivals:
        total += work
        while arrivals[first][0] <= at - window:
            total -= arrivals[first][1]
            first += 1
        age = (arrivals[first][0] - start) * 1000
        share = min(1.0, rules["cold_share"] + (1 - rules["cold_share"]) * age / rules["cold_ms"])
        if share < 1.0:
            most = max(most, total / (share * slots * rules["fall_ms"]))
    return most


def _lives(events: Iterable[Event]) -> dict[str, list[tuple[float, list[tuple[float, float]], float]]]:
    """By worker: its lives, each with its start and what came, in ms of work."""
    found: dict[str, list[tuple[float, list[tuple[float, float]], float]]] = defaultdict(list)
    for e in events:
        if e["ev"] == "worker restarted":
            found[e["worker"]].append((e["t"], [], float(e["slots"])))
        elif e["ev"] == "arrived" and found[e["worker"]]:
            found[e["worker"]][-1][1].append((e["t"], e["work"]))
    return found


def cold_worst(events: Iterable[Event], rules: dict[str, float]) -> tuple[float, float]:
    """The worst multiple over all cold lives, and the work in ms that they were sent while cold."""
    most, sent = 0.0, 0.0
    for life in _lives(events).values():
        for start, arrivals, slots in life:
            most = max(most, worst(arrivals, start, slots, rules))
            sent += sum(work for at, work in arrivals if (at - start) * 1000 < rules["cold_ms"])
    return most, sent


def over_limit(
    events: Iterable[Event], rate: float, burst_s: float, nodes: int, caller: str = ""
) -> tuple[float, int]:
    """By how many jobs a limit's bound was passed in any window, at the worst (below 0: never), and how many
    jobs were taken in at all.

    A job was taken in between when it was asked and when it first came to a worker: what lies whole within a
    window counts in it.
    """
    asked: dict[str, float] = {}
    came: dict[str, float] = {}
    for e in events:
        if e["ev"] == "asked" and (not caller or e["caller"] == caller):
            asked[e["id"]] = e["t"]
        elif e["ev"] == "arrived" and e["id"] in asked:
            came.setdefault(e["id"], e["t"])
    jobs = sorted(((end, asked[job]) for job, end in came.items()))
    worst = float("-inf")
    for start in sorted({begin for _, begin in jobs}):
        count = 0
        for end, begin in jobs:
            if begin >= start:
                count += 1
                worst = max(worst, count - (rate * (end - start + burst_s) + nodes))
    return worst, len(jobs)


def false_deaths(events: Iterable[Event]) -> list[str]:
    """No member is held for dead while it runs and is cut off from nobody.

    Only for plays in which no link is cut: a cut leaves it open who could reach whom.
    """
    faults: list[str] = []
    away: dict[str, float] = {}
    for e in events:
        if e["ev"] == "fault" and e["do"] in ("kill", "stop", "end"):
            away[e["node"]] = float("inf")
        elif (e["ev"] == "fault" and e["do"] == "continue") or e["ev"] == "started":
            away[e["node"]] = e["t"] + 3.0
        elif e["ev"] == "view":
            for member, state in e["members"].items():
                if state == "dead" and away.get(member, 0.0) < e["t"]:
                    faults.append(f"{e['node']} held {member} for dead, {e['t']} s")
    return faults


def errors(events: Iterable[Event]) -> list[str]:
    """No node says that something is wrong with itself."""
    said = [e for e in events if e["ev"] == "said" and "level=error" in e["line"]]
    return [f"{e['node']}: {e['line'][:300]}" for e in said]


def all_of(events: list[Event], rules: dict[str, float]) -> list[str]:
    """Everything that must hold whatever the faults were."""
    return [
        *answers(events),
        *once(events),
        *drains(events, rules["drain_grace_ms"] / 1000),
        *cold(events, rules),
        *errors(events),
    ]
