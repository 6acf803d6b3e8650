"""Scenarios of the relay tree as small text files, one step a line. K0, K1 are keepers, R0, R1 routers.

fleet zones 3 keepers 3 routers 9 [keeper-children 64] [router-children 2] [router-mbps 5]
run 1.5                       seconds go by
commit 4 [size 100000]        a change is acknowledged
ready w1 at K0 | draining w1 at K0 | gone w1 at K0
kill K0 R3 | start K0 R3 | freeze R2 for 3
cut K0 from K1 K2 | cut K0 from routers | heal
within 1.0 revision 4 [but R3]        every living router has it in force by then
within 1.0 settled                    every living router is ready
within 1.0 without w1 [but R3] | within 1.0 with w1
uplinks at most 3             connections on which living routers are told
connections at most 5         that living routers have made
relayed                       some router is told by routers
children bounded              no node has more than it has room for
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from pebbledrift.control.registry import InstanceState
from tests.cluster.relay_simulation import Fabric, Router
from tests.cluster.scenario import ScenarioError, play_lines

STEP_S = 0.05


class RelayScenario:
    """One play."""

    def __init__(self, seed: int = 1) -> None:
        self._seed = seed
        self._fabric: Fabric | None = None
        self._children = (64, 2)
        self._steps: dict[str, Callable[[list[str]], None]] = {
            "fleet": self._fleet,
            "run": lambda words: self.fabric.run(float(words[0])),
            "commit": self._commit,
            "ready": lambda words: self._worker(words, InstanceState.READY),
            "draining": lambda words: self._worker(words, InstanceState.DRAINING),
            "gone": lambda words: self._worker(words, InstanceState.GONE),
            "kill": lambda words: self._each(words, self.fabric.kill),
            "start": lambda words: self._each(words, self._start),
            "freeze": self._freeze,
            "cut": self._cut,
            "heal": lambda words: self.fabric.heal(),
            "within": self._within,
            "uplinks": self._uplinks,
            "connections": self._connections,
            "relayed": lambda words: self._relayed(),
            "children": lambda words: self._bounded(),
        }

    @property
    def fabric(self) -> Fabric:
        """The fleet."""
        if self._fabric is None:
            raise ScenarioError("no fleet")
        return self._fabric

    def play(self, text: str) -> None:
        """Carry out every line; an assertion names the line at which it failed."""
        play_lines(text, self._steps)

    def _fleet(self, words: list[str]) -> None:
        given = {name: float(value) for name, value in zip(words[::2], words[1::2], strict=True)}
        self._children = int(given.get("keeper-children", 64)), int(given.get("router-children", 2))
        self._fabric = Fabric(
            [f"zone-{number}" for number in range(int(given["zones"]))],
            int(given["keepers"]),
            int(given["routers"]),
            mbps=(given.get("keeper-mbps", 100.0), given.get("router-mbps", 100.0)),
            children=self._children,
            seed=self._seed,
        )

    def _commit(self, words: list[str]) -> None:
        self.fabric.commit(int(words[0]), int(words[2]) if len(words) > 1 else 0)

    def _worker(self, words: list[str], state: InstanceState) -> None:
        self.fabric.worker(words[0], self._address(words[2]), state)

    def _start(self, address: str) -> None:
        if address in self.fabric.seeds:
            self.fabric.start_keeper(address)
        else:
            self.fabric.start_router(address)

    def _freeze(self, words: list[str]) -> None:
        self.fabric.freeze(self._address(words[0]), float(words[2]))

    def _cut(self, words: list[str]) -> None:
        split = words.index("from")
        one = self._addresses(words[:split])
        self.fabric.cut_off(one, self._addresses(words[split + 1 :]))

    def _within(self, words: list[str]) -> None:
        allowed = float(words[0])
        what, *rest = words[1:]
        value, excepted = (rest[0] if rest else ""), rest[2:] if len(rest) > 1 else []
        spared = set(self._addresses(excepted))
        checks: dict[str, Callable[[Router], bool]] = {
            "revision": lambda router: router.revision == int(value),
            "settled": lambda router: router.node.synchronized,
            "without": lambda router: value not in router.usable,
            "with": lambda router: value in router.usable,
        }
        check = checks[what]
        routers = [router for address, router in self.fabric.routers.items() if address not in spared]
        late = [router for router in routers if not check(router)]
        for _ in range(round(allowed / STEP_S)):
            if not late:
                break
            self.fabric.run(STEP_S)
            late = [router for router in late if not check(router)]
        assert not late, f"not at {[self._letter(r.process.address) for r in late][:9]}"

    def _uplinks(self, words: list[str]) -> None:
        most = int(words[-1])
        for router in self.fabric.routers.values():
            told = [a for a, uplink in router.node._uplinks.items() if uplink.subscribed]
            assert len(told) <= most, f"{self._letter(router.process.address)} has {len(told)}"

    def _connections(self, words: list[str]) -> None:
        for router in self.fabric.routers.values():
            count = len(router.connections)
            assert count <= int(words[-1]), f"{self._letter(router.process.address)} has {count}"

    def _relayed(self) -> None:
        assert any(
            len(router.node.publisher) for router in self.fabric.routers.values()
        ), "no router has children"

    def _bounded(self) -> None:
        for keeper in self.fabric.keepers.values():
            assert len(keeper.root.publisher) <= self._children[0]
        for router in self.fabric.routers.values():
            assert len(router.node.publisher) <= self._children[1]

    def _each(self, words: Iterable[str], act: Callable[[str], None]) -> None:
        for address in self._addresses(words):
            act(address)

    def _addresses(self, words: Iterable[str]) -> list[str]:
        found: list[str] = []
        for word in words:
            if word == "routers":
                found += [a for a in self.fabric.processes if a not in self.fabric.seeds]
            elif word == "keepers":
                found += self.fabric.seeds
            else:
                found.append(self._address(word))
        return found

    @staticmethod
    def _address(word: str) -> str:
        kind, number = word[0], int(word[1:])
        return f"10.0.0.{number}:1" if kind == "K" else f"10.1.0.{number}:2"

    @staticmethod
    def _letter(address: str) -> str:
        host = address.partition(":")[0].split(".")
        return f"{'K' if host[1] == '0' else 'R'}{host[3]}"


def files() -> list[Path]:
    """All scenarios."""
    return sorted((Path(__file__).parent / "relay_scenarios").glob("*.txt"))
