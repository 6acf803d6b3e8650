"""One request's life over all nodes, or counts by node and second, from the logs of a play.

    python -m bench.trace LOGS ID        # LOGS: a folder of the nodes' logs, one file a node
    python -m bench.trace LOGS --count   # sends, refusals, calls, probes, connections, datagrams, cold work

The nodes write what is read here at the level `trace` (`log_level` in the configuration, or PEBBLEDRIFT_LOG).
"""

from __future__ import annotations

import argparse
import ast
import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
STEPS = ("taken", "held", "send", "started", "ended", "given up", "answer")
WORDS = {
    "cold": "warms up",
    "doubted": "in doubt",
    "full": "full",
    "queue": "reports a queue",
    "tried": "has turned it down",
    "failing": "fails this class",
    "rule": "must not get a second copy",
    "memory": "has no memory for it",
    "cold, not our turn": "warms up, and it is another node's turn",
    "unseen": "not looked at yet",
}


@dataclass(frozen=True, slots=True)
class Line:
    """One record of one node's log."""

    node: str
    ms: float
    event: str
    fields: dict[str, str]


def plain(value: str) -> str:
    """A value without its quotes."""
    return value[1:-1].replace('\\"', '"').replace("\\\\", "\\") if value[:1] == '"' else value


def parse(text: str, node: str) -> Line | None:
    """One line of a log; None for what is no record."""
    fields = {key: plain(value) for key, value in PAIR.findall(text)}
    try:
        return Line(node, float(fields["time"]) * 1000, fields["event"], fields)
    except (KeyError, ValueError):
        return None


def read(folder: Path) -> Iterator[Line]:
    """All records of a folder of logs, file by file."""
    for path in sorted(folder.glob("*.log")):
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = parse(text, path.stem)
                if line is not None:
                    yield line


def reasons(text: str) -> str:
    """The reasons why workers did not take a job, as they are read aloud."""
    try:
        counts = ast.literal_eval(text)
        return ", ".join(f"{n} {WORDS.get(why, why)}" for why, n in counts.items())
    except (ValueError, SyntaxError, AttributeError):
        return text


def life(lines: list[Line], job: str) -> list[str]:
    """One request's life in order of time, a line a step."""
    names = {line.fields["worker"]: line.fields["uid"] for line in lines if line.event == "listed"}
    steps = sorted((x for x in lines if x.event in STEPS and x.fields.get("id") == job), key=lambda x: x.ms)
    told = []
    for step in steps:
        f = step.fields
        worker = names.get(f.get("worker", ""), f.get("worker", "-"))
        match step.event:
            case "taken":
                what = f"taken, class {f['kind']}, hint {f['hint']} ms, {f['grace']} ms to answer it"
            case "held":
                what = f"held: {reasons(f['why'])}"
            case "send":
                cold = f", {f['cold']} ms of its cold budget" if float(f["cold"]) else ""
                what = f"sent to {worker} ({f['state']}, started {f['age_ms']} ms ago, "
                what += f"{f['filled']} slots ours, {f['others']} others', limit {f['limit']}{cold})"
            case "started":
                what = f"attempt {f['number']} began at {worker}"
            case "ended":
                what = f"attempt {f['number']} at {worker} ended: {f['by'].replace('_', ' ')}"
            case "given up":
                what = f"given up, {f['how']}: {reasons(f['why'])}"
            case _:
                what = f"answered: {f['verdict']} ({f['reason']})"
        told.append(f"{step.ms - steps[0].ms:9.1f} ms  {step.node:6} {what}")
    return told


COLUMNS = ("sends", "cold ms", "answers", "refused", "failed", "discovery", "probes", "connects", "datagrams")
Table = dict[tuple[str, int], Counter[str]]


def count(lines: Iterator[Line]) -> tuple[Table, Counter[str], dict[str, Counter[int]]]:
    """Counts by node and second; jobs given up by reason; cold work in ms by worker and second."""
    table: Table = defaultdict(Counter)
    why: Counter[str] = Counter()
    cold: dict[str, Counter[int]] = defaultdict(Counter)
    first = None
    for line in lines:
        first = line.ms if first is None else first
        second = int((line.ms - first) // 1000)
        row, f = table[line.node, second], line.fields
        match line.event:
            case "send":
                row["sends"] += 1
                work = float(f["cold"])
                if work:
                    row["cold ms"] += round(work)
                    cold[f["worker"]][second] += round(work)
            case "answer":
                row["answers"] += 1
                row[f["verdict"]] += 1
            case "given up":
                why[next(iter(_counts(f["why"])), "none up")] += 1
            case "probe":
                row["probes"] += 1
            case "connect":
                row["connects"] += 1
            case "datagram":
                row["datagrams"] += 1
            case "discovery":
                row["discovery"] += 1
    return table, why, cold


def _counts(text: str) -> dict[str, int]:
    try:
        found = ast.literal_eval(text)
    except (ValueError, SyntaxError):
        return {}
    return found if isinstance(found, dict) else {}


def main() -> int:
    """Print one life, or the counts."""
    parser = argparse.ArgumentParser(prog="python -m bench.trace")
    parser.add_argument("logs", type=Path, help="a folder with one log a node")
    parser.add_argument("id", nargs="?", help="the request's id (X-Call-Id)")
    parser.add_argument("--count", action="store_true", help="counts by node and second")
    parser.add_argument("--fleet", action="store_true", help="with --count: all nodes together")
    options = parser.parse_args()
    if not options.logs.is_dir():
        parser.error(f"{options.logs}: no folder")
    if options.count:
        table, why, cold = count(read(options.logs))
        together: Table = defaultdict(Counter)
        for (node, second), row in table.items():
            together["all" if options.fleet else node, second] += row
        print("node second " + " ".join(f"{name:>9}" for name in COLUMNS))
        for (node, second), row in sorted(together.items()):
            print(f"{node:6} {second:4} " + " ".join(f"{row[name]:9}" for name in COLUMNS))
        told = ", ".join(f"{w} {n}" for w, n in why.most_common())
        print(f"given up, by the reason of most workers: {told}")
        most = sorted(cold, key=lambda w: -sum(cold[w].values()))[:10]
        for worker in most:
            work = " ".join(f"{second}s:{ms}" for second, ms in sorted(cold[worker].items()))
            print(f"cold work of worker {worker}: {work}")
        return 0
    if not options.id:
        parser.error("an id, or --count")
    steps = life(list(read(options.logs)), options.id)
    print("\n".join(steps) or f"{options.id}: in no log; were they written at the level trace?")
    return 0 if steps else 1


if __name__ == "__main__":
    sys.exit(main())
