"""Scenarios drawn from a seed, and what is left of one that fails when all that does not matter is left out.

    python -m tests.cluster.drawn --seeds 10000 [--first N] [--processes P]

plays them and prints the shortest form of each that fails, to be kept as a file among the scenarios.
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
ORDERS_MOST = 4
Play = Callable[[str, int], None]


class _Draw:
    """Draws one scenario: one machine at a time is in trouble, or all lose their processes at once."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        size = self.random.choice(SIZES)
        self.members = list(LETTERS[:size])
        self.unused = list(LETTERS[size:])
        self.lines = [f"start {' '.join(self.members)}", "run 1"]
        self.orders = 0

    def text(self) -> str:
        """The whole scenario."""
        for _ in range(ROUNDS):
            self._round()
        self.lines.append("consistent")
        self._order(self.random.choice(self.members))
        self.lines += ["run 2", f"expect o{self.orders} taken"]
        return "\n".join(self.lines) + "\n"

    def _round(self) -> None:
        victim = self.random.choice(self.members)
        down = self._trouble(victim)
        for _ in range(self.random.randrange(ORDERS_MOST + 1)):
            for at in self.random.sample(self.members, self.random.choice((1, 1, 2))):
                self._order(at)
            self._run(self.random.choice((0.0, 0.001, 0.01, 0.3)))
        self._run(self.random.uniform(0.0, 3.0))
        if self.random.random() < 0.15:
            self.lines += [f"power {letter}" for letter in self.members if letter not in down]
            down = list(self.members)
        self.lines += ["heal", "loss 0"]
        self.lines += [f"begin {letter}" for letter in down]
        self._run(self.random.uniform(5.0, 8.0))
        self.lines += [f"kept {letter}" for letter in self.members]

    def _trouble(self, victim: str) -> list[str]:
        """Bring trouble on one machine; returns those that have to be started again."""
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

    def _order(self, at: str) -> None:
        self.orders += 1
        self.lines.append(f"order o{self.orders} at {at}: next")

    def _run(self, seconds: float) -> None:
        self.lines.append(f"run {seconds:.3f}")


def draw(seed: int) -> str:
    """The scenario of a seed."""
    return _Draw(seed).text()


def play(text: str, seed: int) -> None:
    """Play a scenario; raises AssertionError where something does not hold."""
    Scenario(seed).play(text)


def fails(text: str, seed: int, player: Play = play) -> bool:
    """Whether something does not hold; what cannot be played, as its start was left out, does not count."""
    try:
        player(text, seed)
    except AssertionError:
        return True
    except (KeyError, ValueError, IndexError):
        return False
    return False


def shrink(text: str, seed: int, player: Play = play) -> str:
    """Leave out lines, many at once and then single ones, as long as the scenario still fails."""
    lines = text.splitlines()
    size = max(1, len(lines) // 2)
    while size >= 1:
        at = 0
        while at < len(lines):
            shorter = lines[:at] + lines[at + size :]
            if fails("\n".join(shorter), seed, player):
                lines = shorter
            else:
                at += size
        size //= 2
    return "\n".join(lines) + "\n"


def attempt(seed: int) -> str | None:
    """The shortest form of a seed's scenario, if it fails."""
    text = draw(seed)
    return shrink(text, seed) if fails(text, seed) else None


def main() -> int:
    """Play many seeds on several processes."""
    parser = argparse.ArgumentParser(description="Plays scenarios of the control state drawn from seeds.")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=4)
    chosen = parser.parse_args()
    seeds = range(chosen.first, chosen.first + chosen.seeds)
    failed = 0
    with multiprocessing.Pool(chosen.processes) as pool:
        for seed, shortest in zip(seeds, pool.imap(attempt, seeds, chunksize=4), strict=True):
            if shortest is not None:
                failed += 1
                print(f"# seed {seed}\n{shortest}")
    print(f"{len(seeds)} scenarios played, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
