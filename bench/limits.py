"""Limits of the whole fleet: how far over, how much unused, how soon they follow, and what it costs.

python -m bench.limits --part NAME [--nodes N ...]. Prints Markdown, writes docs/results/limits.json. Parts:
loans (units against static parts), shares (whole books in virtual time: static parts, loans, gossip), cuts
(soft limits in groups that are cut, against their bound), seeds (hard limits under drawn faults), real
(processes on the rig), chart. Each run has a seed.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import itertools
import json
import math
import multiprocessing as mp
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bench.limit_plays import cuts, faulty, shares, step
from pebbledrift.limits.borrower import Borrower, LendingPolicy
from pebbledrift.limits.escrow import Account, Grant, LoanRequest

UNITS = 60_000  # of the whole
LOAN_MS = 2000.0
TICK_MS = 50.0
RESULTS = Path(__file__).parent.parent / "docs" / "results" / "limits.json"


class Play:
    """Nodes with demands that are a share of the whole each; the sum of demands is 0.9 of it."""

    def __init__(self, nodes: int, skew: float, loss: float, seed: int, lend: bool) -> None:
        self.random = random.Random(seed)
        self.names = [str(n) for n in range(nodes)]
        self.loss, self.lend = loss, lend
        base = UNITS // nodes
        self.nodes = {name: self._node(base, seed * 1000 + int(name)) for name in self.names}
        self.now, self.sent = 0.0, 0
        self.way: list[tuple[float, int, str, str, LoanRequest | tuple[Grant, int]]] = []
        self.count = itertools.count()
        self.worst = 0
        self.shift(skew)

    def _node(self, base: int, seed: int) -> Borrower:
        account = Account(base, LOAN_MS, 0.0, False, lambda: self.random.getrandbits(64) or 1)
        return Borrower(account, base, LendingPolicy(), seed)

    def shift(self, skew: float) -> None:
        """One node in ten has `skew` times the others' demand; which one, is drawn anew."""
        heavy = set(self.random.sample(self.names, max(1, len(self.names) // 10)))
        weights = {n: skew if n in heavy else 1.0 for n in self.names}
        for name, node in self.nodes.items():
            node.demand = 0.9 * UNITS * weights[name] / sum(weights.values())

    def send(self, sender: str, receiver: str, message: LoanRequest | tuple[Grant, int]) -> None:
        """A message, which may be lost."""
        self.sent += 1
        if self.random.random() >= self.loss:
            at = self.now + self.random.uniform(2.0, 30.0)
            heapq.heappush(self.way, (at, next(self.count), sender, receiver, message))

    def run(self, ms: float) -> float:
        """So much time; returns the share of the demand that could be spent."""
        end, spent, wanted = self.now + ms, 0.0, 0.0
        while self.now < end:
            self.now += TICK_MS
            while self.way and self.way[0][0] <= self.now:
                _, _, sender, receiver, message = heapq.heappop(self.way)
                node = self.nodes[receiver]
                if isinstance(message, LoanRequest):
                    grant = node.handle_request(self.now, sender, message)
                    self.send(receiver, sender, (grant, node.may_lend(self.now)))
                else:
                    node.handle_grant(self.now, sender, *message)
            units = {name: node.account.units(self.now) for name, node in self.nodes.items()}
            self.worst = max(self.worst, sum(units.values()))
            spent += sum(min(units[name], node.demand) for name, node in self.nodes.items())
            wanted += sum(node.demand for node in self.nodes.values())
            for name, node in self.nodes.items() if self.lend else ():
                others = [other for other in self.names if other != name]
                for peer, ask in node.due_requests(self.now, others):
                    self.send(name, peer, ask)
        return spent / wanted


def case(given: tuple[int, float, float, int]) -> dict[str, Any]:
    """Unused demand by static parts and by loans, over 30 s with the heavy nodes changing each 10 s."""
    nodes, skew, loss, seed = given
    found: dict[str, Any] = {"nodes": nodes, "skew": skew, "loss": loss}
    for lend in (False, True):
        play = Play(nodes, skew, loss, seed, lend)
        served = 0.0
        for _ in range(3):
            served += play.run(10_000.0) / 3
            play.shift(skew)
        found["loans" if lend else "static"] = 1 - served
        found["over"] = max(found.get("over", 0), play.worst - UNITS)
        found["messages"] = play.sent / nodes / 30.0
    return found


def _chart(pool: Any, options: argparse.Namespace) -> None:
    """docs/results/limits.png of what was kept last."""
    del pool, options
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = json.loads(RESULTS.read_text())["shares"]
    sizes = sorted({row["nodes"] for row in rows})
    figure, axes = pyplot.subplots(1, 2, figsize=(10, 3.6))
    for how, colour in (("static", "0.6"), ("hard", "tab:blue"), ("soft", "tab:orange")):
        for loss, style in ((0.0, "-"), (0.3, "--")):
            some = [[r for r in rows if (r["nodes"], r["how"], r["loss"]) == (n, how, loss)] for n in sizes]
            name = f"{how}, {loss:.0%} lost"
            axes[0].plot(sizes, [100 * _mean(s, "missed") for s in some], style, color=colour, label=name)
            if how != "static":
                axes[1].plot(sizes, [_mean(s, "messages") for s in some], style, color=colour, label=name)
    axes[0].set_ylabel("demand missed, %")
    axes[1].set_ylabel("datagrams a second and node")
    for axis in axes:
        axis.set_xscale("log")
        axis.set_xticks(sizes, [str(n) for n in sizes])
        axis.minorticks_off()
        axis.set_xlabel("nodes; one in ten has ten times the others' traffic")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(RESULTS.with_suffix(".png"), dpi=90)


def main() -> None:
    """Measure and print."""
    parts: dict[str, Callable[[Any, argparse.Namespace], None]] = {
        "loans": _loans,
        "shares": _shares,
        "cuts": _cuts,
        "seeds": _seeds,
        "real": _real,
        "drawn": _drawn,
        "chart": _chart,
    }
    parser = argparse.ArgumentParser(prog="python -m bench.limits")
    parser.add_argument("--part", choices=parts, default="shares")
    parser.add_argument("--nodes", type=int, nargs="*", default=[3, 9, 24, 50, 200])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args()
    with mp.get_context("fork").Pool(options.processes) as pool:
        parts[options.part](pool, options)


def _keep(part: str, rows: list[dict[str, Any]]) -> None:
    """The figures of a part, in the place of its earlier ones; those of groups of other sizes stay."""
    known = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    sizes = {row.get("nodes") for row in rows}
    rows = [*(row for row in known.get(part, []) if row.get("nodes") not in sizes), *rows]
    known[part] = sorted(rows, key=lambda row: row.get("nodes", 0))
    RESULTS.write_text(json.dumps(known, indent=0) + "\n")


def _head(*names: str) -> None:
    print("| " + " | ".join(names) + " |")
    print("| " + " | ".join("---" for _ in names) + " |")


def _mean(rows: list[dict[str, Any]], key: str) -> float:
    return float(sum(row[key] for row in rows)) / len(rows)


def _loans(pool: Any, options: argparse.Namespace) -> None:
    cases = [
        (n, skew, loss, seed)
        for n in options.nodes
        for skew in (1.0, 10.0)
        for loss in (0.0, 0.1, 0.3)
        for seed in range(1, options.seeds + 1)
    ]
    rows = pool.map(case, cases, chunksize=1)
    _keep("loans", rows)
    print("| nodes, skew | lost | missed, static | missed, loans | most over | messages/s each |")
    print("| --- | --- | --- | --- | --- | --- |")
    for i in range(0, len(rows), options.seeds):
        some = rows[i : i + options.seeds]
        one, most = some[0], max(row["over"] for row in some)
        print(
            f"| {one['nodes']}, {one['skew']:g} | {one['loss']:.0%} | {_mean(some, 'static'):.1%} |"
            f" {_mean(some, 'loans'):.1%} | {most} | {_mean(some, 'messages'):.1f} |"
        )


def _shares(pool: Any, options: argparse.Namespace) -> None:
    cases = [
        (how, n, 10.0, loss, seed, options.seconds)
        for n in options.nodes
        for loss in (0.0, 0.1, 0.3)
        for how in ("static", "hard", "soft")
        for seed in range(1, options.seeds + 1)
    ]
    rows = pool.map(shares, cases, chunksize=1)
    follow = [
        (how, n, loss, seed)
        for n in options.nodes
        for loss in (0.0, 0.1, 0.3)
        for how in ("hard", "soft")
        for seed in range(1, options.seeds + 1)
    ]
    steps = pool.map(step, follow, chunksize=1)
    _keep("shares", rows)
    _keep("steps", steps)
    _head("nodes", "lost", "how", "missed", "shares", "follows", "datagrams/s", "bytes/s", "CPU ms/s")
    for i in range(0, len(rows), options.seeds):
        some = rows[i : i + options.seeds]
        one = some[0]
        same = [s for s in steps if all(s[k] == one[k] for k in ("how", "nodes", "loss"))]
        soon = f"{_mean(same, 'follow_ms') / 1000:.1f} s" if same else "-"
        print(
            f"| {one['nodes']} | {one['loss']:.0%} | {one['how']} | {_mean(some, 'missed'):.1%} |"
            f" {max(r['shares'] for r in some):.3f} | {soon} |"
            f" {_mean(some, 'messages'):.1f} | {_mean(some, 'bytes'):.0f} | {_mean(some, 'cpu_ms'):.1f} |"
        )


def _cuts(pool: Any, options: argparse.Namespace) -> None:
    cases = [
        (n, groups, rule, loss, seed)
        for n in options.nodes
        for groups in (2, 3)
        for rule in ("part", "majority", "whole")
        for loss in (0.0, 0.3)
        for seed in range(1, options.seeds + 1)
    ]
    rows = pool.map(cuts, cases, chunksize=1)
    _keep("cuts", rows)
    _head("nodes, groups", "lost", "in a cut", "over, at most", "bound", "later, of the limit", "healed")
    for i in range(0, len(rows), options.seeds):
        some = rows[i : i + options.seeds]
        one, worst = some[0], max(some, key=lambda row: row["over"] / row["bound"])
        later, healed = (max(row[key] for row in some) for key in ("later", "healed"))
        print(
            f"| {one['nodes']}, {one['groups']} | {one['loss']:.0%} | {one['in_a_cut']} |"
            f" {worst['over']:.0f} | {worst['bound']:.0f} | {later:.2f} | {healed:.3f} |"
        )


def _seeds(pool: Any, options: argparse.Namespace) -> None:
    worst, most, jobs = -math.inf, 0.0, 0
    for _, passed, could, taken in pool.imap_unordered(faulty, range(options.seeds), chunksize=4):
        worst, most, jobs = max(worst, passed), max(most, could), jobs + taken
    _keep("seeds", [{"seeds": options.seeds, "over": worst, "shares": most, "jobs": jobs}])
    print(f"{options.seeds} seeds, {jobs} jobs: at most {most:.4f} of the whole could be spent at once,")
    print(f"and in any second {worst:+.0f} jobs against the bound")


def _drawn(pool: Any, options: argparse.Namespace) -> None:
    """Hard limits at real processes through drawn faults: so many seeds, some rigs side by side."""
    from bench.limits_real import drawn

    for nodes in options.nodes:
        cases = [(nodes, seed, options.seconds) for seed in range(1, options.seeds + 1)]
        rows = []
        for row in pool.imap_unordered(drawn, cases, chunksize=1):
            rows.append(row)
            if row["over"] > 0 or row["broken"]:
                print(row, flush=True)
        _keep("drawn", sorted(rows, key=lambda row: int(row["seed"])))
        over, used = max(row["over"] for row in rows), sorted(row["used"] for row in rows)
        broken = sum(bool(row["broken"]) for row in rows)
        print(f"{nodes} processes, {len(rows)} seeds of {options.seconds:g} s: at the worst {over:+.1f} jobs")
        print(f"against the bound, {broken} with a rule broken; used {used[0]:.0%} to {used[-1]:.0%}")


def _real(pool: Any, options: argparse.Namespace) -> None:
    del pool
    from bench.limits_real import measure

    rows = asyncio.run(measure(options.nodes, options.seeds, options.seconds))
    _keep("real", rows)


if __name__ == "__main__":
    main()
