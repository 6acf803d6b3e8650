"""Interpreter for scenario files, which run on simulated time and hold one step per line.

start A B C            start a cluster with these founders
run 1.5                advance the time by 1.5 seconds
order NAME at A: REVISION on BASE        (order NAME at A: next: builds on the newest of any replica)
read NAME at A
expect NAME taken|conflict|unclear
expect A revision N    the revision that the replica at A has committed
expect A members A B C and chain A C
kill A | power A | wipe A | begin A      (begin: restart a killed process)
cut A from B C | heal | loss 0.2
stall A for 3          the disk of A completes no operation for 3 seconds
kept A                 assert that A holds all acknowledged changes
consistent             assert that no two changes were accepted on one base, and no refused one is in force
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path

from pebbledrift.control.orders import OrderStatus
from tests.cluster.simulation import Call, Cluster, change

STATUSES = {  # word in a scenario to the statuses that it stands for; None is no clear answer
    "taken": (OrderStatus.ACCEPTED, OrderStatus.ALREADY_ACCEPTED),
    "conflict": (OrderStatus.CONFLICT,),
    "unclear": (None,),
}


class ScenarioError(ValueError):
    """A line of a scenario does not name a step, or a step needs a cluster and none was started."""


Step = Callable[[list[str]], None]


def play_lines(text: str, steps: Mapping[str, Step]) -> None:
    """Run every line; its first token names the step, and the others are the step's arguments.

    The message of an AssertionError names the line that failed. Raises ScenarioError for an unknown step.
    """
    for number, line in enumerate(text.splitlines(), start=1):
        tokens = line.partition("#")[0].split()
        if not tokens:
            continue
        step = steps.get(tokens[0])
        if step is None:
            raise ScenarioError(f"line {number}: unknown step {tokens[0]!r}")
        try:
            step(tokens[1:])
        except AssertionError as error:
            raise AssertionError(f"line {number}: {line.strip()}: {error}") from error


class Scenario:
    """One run of a scenario on a simulated cluster."""

    def __init__(self, seed: int = 1) -> None:
        self._seed = seed
        self._cluster: Cluster | None = None
        self._calls: dict[str, Call] = {}
        self._revision = 0  # the newest revision chosen by an order with "next"
        self._steps: dict[str, Step] = {
            "start": self._start,
            "run": lambda tokens: self.cluster.run(float(tokens[0])),
            "order": self._order,
            "read": self._read,
            "expect": self._expect,
            "kill": lambda tokens: self.cluster.kill(_address(tokens[0])),
            "power": lambda tokens: self.cluster.kill(_address(tokens[0]), power=True),
            "wipe": lambda tokens: self.cluster.wipe(_address(tokens[0])),
            "begin": lambda tokens: self.cluster.start(_address(tokens[0])),
            "cut": lambda tokens: self.cluster.cut_off(_address(tokens[0]), map(_address, tokens[2:])),
            "heal": lambda tokens: self.cluster.heal(),
            "loss": self._loss,
            "stall": self._stall,
            "kept": lambda tokens: self.cluster.check_kept(_address(tokens[0])),
            "consistent": lambda tokens: self._consistent(),
        }

    @property
    def cluster(self) -> Cluster:
        """The simulated cluster; raises ScenarioError before the step `start`."""
        if self._cluster is None:
            raise ScenarioError("the scenario has not started a cluster")
        return self._cluster

    def play(self, text: str) -> None:
        """Run every line; the message of an AssertionError names the line that failed."""
        play_lines(text, self._steps)

    def _start(self, tokens: list[str]) -> None:
        self._cluster = Cluster([_address(token) for token in tokens], self._seed)

    def _order(self, tokens: list[str]) -> None:
        name, _, at, *revision = tokens
        if revision == ["next"]:
            base = max((r.log.state.revision for r in self.cluster.replicas.values()), default=0)
            self._revision = max(self._revision, base) + 1
            order = change(self._revision, base, name)
        else:
            order = change(int(revision[0]), int(revision[2]), name)
        self._calls[name] = self.cluster.order(_address(at.rstrip(":")), order)

    def _read(self, tokens: list[str]) -> None:
        self._calls[tokens[0]] = self.cluster.order(_address(tokens[2]), None)

    def _expect(self, tokens: list[str]) -> None:
        if tokens[0] in self._calls:
            result = self._calls[tokens[0]].result
            status = None if result is None else result.status
            assert status in STATUSES[tokens[1]], f"the status is {status}"
            return
        replica = self.cluster.replicas[_address(tokens[0])]
        if tokens[1] == "revision":
            assert replica.log.state.revision == int(tokens[2]), f"revision {replica.log.state.revision}"
            return
        view = replica.agreement.view
        assert view is not None, "the replica has no view"
        split = tokens.index("and")
        members, chain = tokens[2:split], tokens[split + 2 :]
        assert sorted(map(_letter, view.members)) == sorted(members), f"the members are {view.members}"
        assert sorted(map(_letter, view.chain_nodes)) == sorted(chain), f"the chain is {view.chain_nodes}"

    def _consistent(self) -> None:
        accepted = [order.base for order in set(self.cluster.acknowledged())]
        assert len(accepted) == len(set(accepted)), "two changes were accepted on one base"
        refused = [c for c in self.cluster.calls if c.result and c.result.status == OrderStatus.CONFLICT]
        for replica in self.cluster.replicas.values():
            in_force = [c for c in refused if c.order and c.order.digest in replica.log.state.accepted]
            assert not in_force, f"refused and in force: {in_force[0].order}"

    def _loss(self, tokens: list[str]) -> None:
        self.cluster.loss = float(tokens[0])

    def _stall(self, tokens: list[str]) -> None:
        self.cluster.disks[_address(tokens[0])].stalled_until = self.cluster.now + float(tokens[2])


def _address(letter: str) -> str:
    """Address of the process that a scenario names by a letter."""
    return f"{letter.lower()}:1"


def _letter(node: str) -> str:
    """Letter of the process that runs a node."""
    return node.partition(":")[0].upper()


def files() -> list[Path]:
    """Paths of all scenario files, sorted."""
    return sorted((Path(__file__).parent / "scenarios").glob("*.txt"))
