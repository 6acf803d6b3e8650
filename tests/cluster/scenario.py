"""Scenarios as small text files, played on simulated time: one step a line.

start A B C            founders, by address
run 1.5                seconds go by
order NAME at A: REVISION on BASE        (order NAME at A: next: above the newest that any replica has)
read NAME at A
expect NAME taken|conflict|unclear
expect A revision N    what the replica at A has committed
expect A members A B C and chain A C
kill A | power A | wipe A | begin A      (begin: a killed process starts again)
cut A from B C | heal | loss 0.2
stall A for 3          its disk answers nothing
kept A                 all that was acknowledged is held at A
consistent             no two changes taken on one base, none refused and in force
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path

from pebbledrift.control.orders import OrderStatus
from tests.cluster.simulation import Call, Cluster, change

VERDICTS = {
    "taken": (OrderStatus.ACCEPTED, OrderStatus.ALREADY_ACCEPTED),
    "conflict": (OrderStatus.CONFLICT,),
    "unclear": (None,),
}


class ScenarioError(ValueError):
    """A line that is no step."""


Step = Callable[[list[str]], None]


def play_lines(text: str, steps: Mapping[str, Step]) -> None:
    """Carry out every line: its first word names the step. An assertion names the line at which it failed."""
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        step = steps.get(words[0])
        if step is None:
            raise ScenarioError(f"line {number}: unknown step {words[0]!r}")
        try:
            step(words[1:])
        except AssertionError as error:
            raise AssertionError(f"line {number}: {line.strip()}: {error}") from error


class Scenario:
    """One play."""

    def __init__(self, seed: int = 1) -> None:
        self._seed = seed
        self._cluster: Cluster | None = None
        self._calls: dict[str, Call] = {}
        self._revision = 0  # the newest that was drawn for an order
        self._steps: dict[str, Step] = {
            "start": self._start,
            "run": lambda words: self.cluster.run(float(words[0])),
            "order": self._order,
            "read": self._read,
            "expect": self._expect,
            "kill": lambda words: self.cluster.kill(_address(words[0])),
            "power": lambda words: self.cluster.kill(_address(words[0]), power=True),
            "wipe": lambda words: self.cluster.wipe(_address(words[0])),
            "begin": lambda words: self.cluster.start(_address(words[0])),
            "cut": lambda words: self.cluster.cut_off(_address(words[0]), map(_address, words[2:])),
            "heal": lambda words: self.cluster.heal(),
            "loss": self._loss,
            "stall": self._stall,
            "kept": lambda words: self.cluster.check_kept(_address(words[0])),
            "consistent": lambda words: self._consistent(),
        }

    @property
    def cluster(self) -> Cluster:
        """The replicas."""
        if self._cluster is None:
            raise ScenarioError("nothing was started")
        return self._cluster

    def play(self, text: str) -> None:
        """Carry out every line; an assertion names the line at which it failed."""
        play_lines(text, self._steps)

    def _start(self, words: list[str]) -> None:
        self._cluster = Cluster([_address(word) for word in words], self._seed)

    def _order(self, words: list[str]) -> None:
        name, _, at, *version = words
        if version == ["next"]:
            base = max((r.log.state.revision for r in self.cluster.replicas.values()), default=0)
            self._revision = max(self._revision, base) + 1
            order = change(self._revision, base, name)
        else:
            order = change(int(version[0]), int(version[2]), name)
        self._calls[name] = self.cluster.order(_address(at.rstrip(":")), order)

    def _read(self, words: list[str]) -> None:
        self._calls[words[0]] = self.cluster.order(_address(words[2]), None)

    def _expect(self, words: list[str]) -> None:
        if words[0] in self._calls:
            judgement = self._calls[words[0]].judgement
            found = None if judgement is None else judgement.status
            assert found in VERDICTS[words[1]], f"found {found}"
            return
        replica = self.cluster.replicas[_address(words[0])]
        if words[1] == "revision":
            assert replica.log.state.revision == int(words[2]), f"found {replica.log.state.revision}"
            return
        view = replica.agreement.view
        assert view is not None, "no view"
        split = words.index("and")
        members, chain = words[2:split], words[split + 2 :]
        assert sorted(map(_letter, view.members)) == sorted(members), f"found {view.members}"
        assert sorted(map(_letter, view.chain_nodes)) == sorted(chain), f"found {view.chain_nodes}"

    def _consistent(self) -> None:
        accepted = [order.base for order in set(self.cluster.acknowledged())]
        assert len(accepted) == len(set(accepted)), "two changes on one base"
        refused = [
            c for c in self.cluster.calls if c.judgement and c.judgement.status == OrderStatus.CONFLICT
        ]
        for replica in self.cluster.replicas.values():
            in_force = [c for c in refused if c.order and c.order.digest in replica.log.state.accepted]
            assert not in_force, f"refused and in force: {in_force[0].order}"

    def _loss(self, words: list[str]) -> None:
        self.cluster.loss = float(words[0])

    def _stall(self, words: list[str]) -> None:
        self.cluster.disks[_address(words[0])].stalled_until = self.cluster.now + float(words[2])


def _address(letter: str) -> str:
    return f"{letter.lower()}:1"


def _letter(node: str) -> str:
    return node.partition(":")[0].upper()


def files() -> list[Path]:
    """All scenarios."""
    return sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
