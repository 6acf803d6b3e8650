"""Scenarios of the relay tree as text files with one step per line. K0 and K1 are keepers, R0 and R1 routers.

fleet zones 3 keepers 3 routers 9 [keeper-children 64] [router-children 2] [router-mbps 5]
run 1.5                       advances the simulated time, in seconds
commit 4 [size 100000]        commits a configuration of this revision, with bytes of padding
ready w1 at K0 | draining w1 at K0 | gone w1 at K0
kill K0 R3 | start K0 R3 | freeze R2 for 3
cut K0 from K1 K2 | cut K0 from routers | heal
within 1.0 revision 4 [but R3]        every running router has it in force by then
within 1.0 settled                    every running router is synchronized by then
within 1.0 without w1 [but R3]        no running router regards worker w1 as ready by then
within 1.0 with w1                    every running router regards worker w1 as ready by then
uplinks at most 3             subscribed uplinks of each running router
connections at most 5         opened by each running router
relayed                       some router has children
children bounded              no node has more children than its maximum
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from pebbledrift.control.registry import InstanceState
from tests.cluster.relay_simulation import Fabric, Router
from tests.cluster.scenario import ScenarioError, play_lines

CHECK_INTERVAL_S = 0.05


class RelayScenario:
    """Runs one scenario on a simulated fleet."""

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
            "kill": lambda words: self._for_each(words, self.fabric.kill),
            "start": lambda words: self._for_each(words, self._start),
            "freeze": self._freeze,
            "cut": self._cut,
            "heal": lambda words: self.fabric.heal(),
            "within": self._within,
            "uplinks": self._uplinks,
            "connections": self._connections,
            "relayed": lambda words: self._relayed(),
            "children": lambda words: self._children_bounded(),
        }

    @property
    def fabric(self) -> Fabric:
        """The simulated fleet, which the step `fleet` creates."""
        if self._fabric is None:
            raise ScenarioError("the scenario has no `fleet` step before this one")
        return self._fabric

    def play(self, text: str) -> None:
        """Run every step; the message of a failed assertion includes the line of its step."""
        play_lines(text, self._steps)

    def _fleet(self, words: list[str]) -> None:
        options = {name: float(value) for name, value in zip(words[::2], words[1::2], strict=True)}
        self._children = int(options.get("keeper-children", 64)), int(options.get("router-children", 2))
        self._fabric = Fabric(
            [f"zone-{number}" for number in range(int(options["zones"]))],
            int(options["keepers"]),
            int(options["routers"]),
            mbps=(options.get("keeper-mbps", 100.0), options.get("router-mbps", 100.0)),
            children=self._children,
            seed=self._seed,
        )

    def _commit(self, words: list[str]) -> None:
        self.fabric.commit(int(words[0]), int(words[2]) if len(words) > 1 else 0)

    def _worker(self, words: list[str], state: InstanceState) -> None:
        self.fabric.report_worker(words[0], self._address(words[2]), state)

    def _start(self, address: str) -> None:
        if address in self.fabric.seeds:
            self.fabric.start_keeper(address)
        else:
            self.fabric.start_router(address)

    def _freeze(self, words: list[str]) -> None:
        self.fabric.freeze(self._address(words[0]), float(words[2]))

    def _cut(self, words: list[str]) -> None:
        split = words.index("from")
        group = self._addresses(words[:split])
        self.fabric.cut_off(group, self._addresses(words[split + 1 :]))

    def _within(self, words: list[str]) -> None:
        duration_s = float(words[0])
        condition, *rest = words[1:]
        value, excepted = (rest[0] if rest else ""), rest[2:] if len(rest) > 1 else []
        excepted_addresses = set(self._addresses(excepted))
        checks: dict[str, Callable[[Router], bool]] = {
            "revision": lambda router: router.revision == int(value),
            "settled": lambda router: router.node.synchronized,
            "without": lambda router: value not in router.ready_workers,
            "with": lambda router: value in router.ready_workers,
        }
        check = checks[condition]
        routers = [
            router for address, router in self.fabric.routers.items() if address not in excepted_addresses
        ]
        late = [router for router in routers if not check(router)]
        for _ in range(round(duration_s / CHECK_INTERVAL_S)):
            if not late:
                break
            self.fabric.run(CHECK_INTERVAL_S)
            late = [router for router in late if not check(router)]
        assert (
            not late
        ), f"`{condition}` does not hold at {[self._node_name(r.process.address) for r in late][:9]}"

    def _uplinks(self, words: list[str]) -> None:
        maximum = int(words[-1])
        for router in self.fabric.routers.values():
            subscribed = [a for a, uplink in router.node._uplinks.items() if uplink.subscribed]
            assert (
                len(subscribed) <= maximum
            ), f"{self._node_name(router.process.address)} has {len(subscribed)} subscribed uplinks"

    def _connections(self, words: list[str]) -> None:
        for router in self.fabric.routers.values():
            count = len(router.connections)
            assert count <= int(
                words[-1]
            ), f"{self._node_name(router.process.address)} has {count} connections"

    def _relayed(self) -> None:
        assert any(
            len(router.node.publisher) for router in self.fabric.routers.values()
        ), "no router has children"

    def _children_bounded(self) -> None:
        for keeper in self.fabric.keepers.values():
            assert len(keeper.root.publisher) <= self._children[0]
        for router in self.fabric.routers.values():
            assert len(router.node.publisher) <= self._children[1]

    def _for_each(self, words: Iterable[str], action: Callable[[str], None]) -> None:
        for address in self._addresses(words):
            action(address)

    def _addresses(self, words: Iterable[str]) -> list[str]:
        addresses: list[str] = []
        for word in words:
            if word == "routers":
                addresses += [a for a in self.fabric.processes if a not in self.fabric.seeds]
            elif word == "keepers":
                addresses += self.fabric.seeds
            else:
                addresses.append(self._address(word))
        return addresses

    @staticmethod
    def _address(word: str) -> str:
        kind, number = word[0], int(word[1:])
        return f"10.0.0.{number}:1" if kind == "K" else f"10.1.0.{number}:2"

    @staticmethod
    def _node_name(address: str) -> str:
        host = address.partition(":")[0].split(".")
        return f"{'K' if host[1] == '0' else 'R'}{host[3]}"


def scenario_files() -> list[Path]:
    """Return the paths of all scenario files, sorted."""
    return sorted((Path(__file__).parent / "relay_scenarios").glob("*.txt"))
