"""The tables of docs/cores.md: python -m bench.cores [--repeat N]. Some minutes; it prints Markdown.

For 1, 2 and 4 cores, shared and divided: answers a second in a closed loop with so many connections for
each core, then an open loop at 70% of each one's own saturation. All runs of a round are of one machine and
minute, so their ratios mean more than their figures; the median of the rounds is shown.
"""

from __future__ import annotations

import argparse
import statistics
from typing import Any

from bench.load import parser, run

WAYS = ((1, "shared"), (2, "shared"), (2, "divided"), (4, "shared"), (4, "divided"))
COLUMNS = (
    ("answers_s", "answers/s"),
    ("cpu_ms", "CPU ms an answer"),
    ("p50_ms", "p50 ms"),
    ("p99_ms", "p99 ms"),
    ("p999_ms", "p99.9 ms"),
    ("memory_mb", "memory MB"),
    ("key_found", "found their key"),
    ("passed_on", "passed on a job"),
    ("metrics_ms", "METRICS in ms"),
)


def measure(cores: int, form: str, rate: float, seconds: float, connections: int) -> dict[str, Any]:
    """One run."""
    helpers = 1 if cores < 4 else 2
    given = parser().parse_args(
        f"--cores {cores} --slots-form {form} --rate {rate} --seconds {seconds}"
        f" --connections {connections * cores} --client-processes {helpers} --worker-processes {helpers}"
        " --workers 96 --slots 4 --service-ms 5".split()
    )
    return run(given)


def table(title: str, rows: dict[tuple[int, str], list[dict[str, Any]]], base: tuple[int, str]) -> None:
    """One table, with the ratios to one core."""
    print(f"\n{title}\n")
    print("| cores | form | " + " | ".join(name for _, name in COLUMNS) + " | others | to one core |")
    print("| --- " * (len(COLUMNS) + 4) + "|")
    of_base = statistics.median(r["answers_s"] for r in rows[base])
    for (cores, form), runs in rows.items():
        cells = [f"{statistics.median(r[key] for r in runs):g}" for key, _ in COLUMNS]
        others = sum(sum(r["others"].values()) for r in runs)
        ratio = statistics.median(r["answers_s"] for r in runs) / of_base
        name = form if cores > 1 else "-"
        print(f"| {cores} | {name} | " + " | ".join(cells) + f" | {others} | {ratio:.2f} |", flush=True)


def main() -> None:
    """Measure and print."""
    arguments = argparse.ArgumentParser(prog="bench.cores")
    arguments.add_argument("--repeat", type=int, default=3)
    arguments.add_argument("--seconds", type=float, default=6.0)
    arguments.add_argument("--connections", type=int, default=128, help="for each core")
    given = arguments.parse_args()
    closed: dict[tuple[int, str], list[dict[str, Any]]] = {way: [] for way in WAYS}
    opened: dict[tuple[int, str], list[dict[str, Any]]] = {way: [] for way in WAYS}
    for _ in range(given.repeat):
        for way in WAYS:
            closed[way].append(measure(*way, 0.0, given.seconds, given.connections))
    for _ in range(given.repeat):
        for way in WAYS:
            rate = 0.7 * statistics.median(r["answers_s"] for r in closed[way])
            opened[way].append(measure(*way, rate, given.seconds, given.connections))
    table("Closed loop, at saturation.", closed, WAYS[0])
    table("Open loop, at 70% of each one's own saturation.", opened, WAYS[0])


if __name__ == "__main__":
    main()
