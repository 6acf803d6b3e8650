"""Scenarios generated from a seed, and the reduction of a failing one to the lines that cause the failure.

    python -m tests.cluster.drawn --seeds 10000 [--first N] [--processes P]

runs them and prints a reduced form of each failing one, to be kept as a scenario file.
"""

from __future__ import annotations

import argparse
import multiprocessing
import random
import sys
from collections.abc import Callable

from tests.cluster.scenario import Scenario

ROUNDS = 6
LETTERS = "ABCDEFGHIJKLMNOP"
SIZES = (3, 3, 3, 4, 5, 6)
MAX_ORDERS = 4
ScenarioRunner = Callable[[str, int], None]


class _ScenarioGenerator:
    """Generates one scenario: one machine at a time has a fault, or all lose power at once."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        size = self.random.choice(SIZES)
        self.members = list(LETTERS[:size])
        self.unused = list(LETTERS[size:])
        self.lines = [f"start {' '.join(self.members)}", "run 1"]
        self.orders = 0

    def text(self) -> str:
        """Generates the text of the whole scenario."""
        for _ in range(ROUNDS):
            self._add_round()
        self.lines.append("consistent")
        self._add_order(self.random.choice(self.members))
        self.lines += ["run 2", f"expect o{self.orders} taken"]
        return "\n".join(self.lines) + "\n"

    def _add_round(self) -> None:
        victim = self.random.choice(self.members)
        down = self._add_fault(victim)
        for _ in range(self.random.randrange(MAX_ORDERS + 1)):
            for at in self.random.sample(self.members, self.random.choice((1, 1, 2))):
                self._add_order(at)
            self._add_run(self.random.choice((0.0, 0.001, 0.01, 0.3)))
        self._add_run(self.random.uniform(0.0, 3.0))
        if self.random.random() < 0.15:
            self.lines += [f"power {letter}" for letter in self.members if letter not in down]
            down = list(self.members)
        self.lines += ["heal", "loss 0"]
        self.lines += [f"begin {letter}" for letter in down]
        self._add_run(self.random.uniform(5.0, 8.0))
        self.lines += [f"kept {letter}" for letter in self.members]

    def _add_fault(self, victim: str) -> list[str]:
        """Append a random fault of one machine; returns the machines to be started again."""
        kind = self.random.choice(("kill", "power", "wipe", "cut", "stall", "loss", "replace", "none"))
        if kind in ("kill", "power", "wipe"):
            self.lines.append(f"{kind} {victim}")
            return [victim]
        if kind == "cut":
            others = [letter for letter in self.members if letter != victim]
            chosen = self.random.sample(others, self.random.randrange(1, len(others) + 1))
            self.lines.append(f"cut {victim} from {' '.join(chosen)}")
        elif kind == "stall":
            self.lines.append(f"stall {victim} for {self.random.uniform(0.2, 3.0):.2f}")
        elif kind == "loss":
            self.lines.append("loss 0.2")
        elif kind == "replace" and self.unused:
            successor = self.unused.pop(0)
            self.lines += [f"wipe {victim}", f"begin {successor}"]
            self.members[self.members.index(victim)] = successor
        return []

    def _add_order(self, at: str) -> None:
        self.orders += 1
        self.lines.append(f"order o{self.orders} at {at}: next")

    def _add_run(self, seconds: float) -> None:
        self.lines.append(f"run {seconds:.3f}")


def draw(seed: int) -> str:
    """Returns the text of the scenario generated from a seed."""
    return _ScenarioGenerator(seed).text()


def run(text: str, seed: int) -> None:
    """Run a scenario; raises AssertionError if a check fails."""
    Scenario(seed).play(text)


def fails(text: str, seed: int, runner: ScenarioRunner = run) -> bool:
    """Whether a check fails; a scenario that cannot run, such as one without a start line, does not count."""
    try:
        runner(text, seed)
    except AssertionError:
        return True
    except (KeyError, ValueError, IndexError):
        return False
    return False


def shrink(text: str, seed: int, runner: ScenarioRunner = run) -> str:
    """Remove blocks of lines, then single lines, as long as the scenario still fails."""
    lines = text.splitlines()
    size = max(1, len(lines) // 2)
    while size >= 1:
        start = 0
        while start < len(lines):
            shorter = lines[:start] + lines[start + size :]
            if fails("\n".join(shorter), seed, runner):
                lines = shorter
            else:
                start += size
        size //= 2
    return "\n".join(lines) + "\n"


def reduced_failure(seed: int) -> str | None:
    """Returns the reduced scenario of a seed, or None if the scenario passes."""
    text = draw(seed)
    return shrink(text, seed) if fails(text, seed) else None


def main() -> int:
    """Run the scenarios of many seeds on several processes."""
    parser = argparse.ArgumentParser(description="Runs scenarios of the control state generated from seeds.")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=4)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    failed = 0
    with multiprocessing.Pool(arguments.processes) as pool:
        for seed, reduced in zip(seeds, pool.imap(reduced_failure, seeds, chunksize=4), strict=True):
            if reduced is not None:
                failed += 1
                print(f"# seed {seed}\n{reduced}")
    print(f"{len(seeds)} scenarios run, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
