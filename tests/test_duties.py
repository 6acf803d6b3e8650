"""Division of periodic work on an unreliable network.

The tests bound how long a unit of work is left undone and how often it is performed twice.
"""

from __future__ import annotations

import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from pebbledrift.duties.plan import Duties
from pebbledrift.membership.endpoint import Datagrams
from pebbledrift.membership.group import Address
from tests.test_membership import World

UNITS = {f"probe w{i}": 700.0 for i in range(24)}
DONE_MESSAGE = b"n"


class Member:
    """A group member that logs each unit it performs and reports it to the other members."""

    def __init__(self, world: DutyWorld, name: str) -> None:
        self.world, self.name = world, name
        self.endpoint = world.endpoints[name]
        self.duties = Duties(name)
        self.endpoint.heard = self.duties.record_contact
        self.endpoint.others[DONE_MESSAGE] = lambda now, sender, body: self.duties.record_done(
            body.decode(), now
        )
        self.started = False

    def tick(self, now: float) -> Datagrams:
        if not self.started:
            self.started = True
            self.duties.set_units(UNITS, now)
        sends = self.endpoint.tick(now)
        alive = self.endpoint.group.alive()
        self.duties.set_members(alive, now)
        for unit in self.duties.claim_due(now):
            self.world.log.append((self.world.network.now, unit, self.name))
            sends += self.endpoint.tell(DONE_MESSAGE, unit.encode(), [n for n in alive if n != self.name])
        return sends

    def datagram(self, now: float, data: bytes, sender: Address) -> Datagrams:
        return self.endpoint.datagram(now, data, sender)


class DutyWorld(World):
    """A simulated group whose members share periodic work."""

    def __init__(self, size: int, seed: int, loss: float = 0.0) -> None:
        self.log: list[tuple[float, str, str]] = []
        self.members: dict[str, Member] = {}
        super().__init__(size, seed, loss)

    def start(self, name: str) -> None:
        super().start(name)
        self.members[name] = Member(self, name)
        self.network.add(self.places[name], self.members[name])

    def entries_since(self, when: float) -> list[tuple[float, str, str]]:
        return [entry for entry in self.log if entry[0] >= when]

    def longest_gap(self, began: float, end: float) -> float:
        """Returns the longest interval (ms) in which any one unit was not performed."""
        longest = 0.0
        for unit in UNITS:
            times = [began, *(at for at, u, _ in self.log if u == unit and began <= at <= end), end]
            longest = max(longest, *(b - a for a, b in itertools.pairwise(times)))
        return longest


class DutyTest(unittest.TestCase):
    def settled_world(self, size: int, seed: int, loss: float = 0.0) -> DutyWorld:
        world = DutyWorld(size, seed, loss)
        world.network.until(world.agree, 30_000)
        world.network.run(5000)
        return world

    def test_without_faults_each_unit_runs_as_often_as_on_a_single_node(self) -> None:
        world = self.settled_world(5, 1)
        began = world.network.now
        world.network.run(20_000)
        done = world.entries_since(began)
        expected = len(UNITS) * 20_000 / 700
        self.assertLess(len(done), 1.05 * expected)
        self.assertLess(world.longest_gap(began, world.network.now), 1500)
        self.assertEqual(len({name for _, _, name in done}), 5)  # every member performs some

    def test_units_are_taken_over_after_a_kill_at_ten_percent_loss(self) -> None:
        worst = 0.0
        for seed in range(12):
            world = self.settled_world(5, seed, 0.1)
            began = world.network.now
            world.kill(random.Random(seed).choice(sorted(world.endpoints)))
            world.network.run(8000)
            worst = max(worst, world.longest_gap(began, world.network.now))
        self.assertLess(worst, 3000)

    def test_units_are_taken_over_when_first_and_second_candidate_die_together(self) -> None:
        world = self.settled_world(5, 3)
        unit = "probe w0"
        first, second = world.members["n0"].duties.units[unit].order[:2]
        began = world.network.now
        world.kill(first)
        world.kill(second)
        world.network.run(8000)
        self.assertLess(world.longest_gap(began, world.network.now), 3000)

    def test_lost_reports_duplicate_some_work_but_leave_none_undone(self) -> None:
        world = self.settled_world(3, 4, 0.3)
        began = world.network.now
        world.network.run(60_000)
        self.assertLess(len(world.entries_since(began)), 1.5 * len(UNITS) * 60_000 / 700)
        self.assertLess(world.longest_gap(began, world.network.now), 3000)

    def test_a_suspended_member_does_nothing_before_it_hears_from_the_group(self) -> None:
        world = self.settled_world(3, 5)
        suspended = world.members["n0"]
        world.network.cut = lambda a, b: world.places["n0"] in (a, b)
        world.network.stall(world.places["n0"], 5000)
        world.network.run(5000)
        began = world.network.now
        world.network.run(1500)
        self.assertEqual([e for e in world.entries_since(began) if e[2] == "n0"], [])
        world.network.cut = lambda a, b: False
        world.network.run(4000)
        self.assertTrue(suspended.duties.lease_valid(suspended.duties._last_checked_at))
        self.assertTrue([e for e in world.entries_since(began) if e[2] == "n0"])

    def test_each_half_of_a_partitioned_group_performs_all_units(self) -> None:
        world = self.settled_world(4, 6)
        half = set(list(world.places.values())[:2])
        world.network.cut = lambda a, b: (a in half) != (b in half)
        world.network.run(15_000)
        began = world.network.now
        world.network.run(5000)
        names = [n for n, address in world.places.items() if address in half]
        for side in (True, False):
            done = {u for _, u, name in world.entries_since(began) if (name in names) is side}
            self.assertEqual(done, set(UNITS))
        world.network.cut = lambda a, b: False
        world.network.run(3000)
        began = world.network.now
        world.network.run(10_000)
        self.assertLess(len(world.entries_since(began)), 1.05 * len(UNITS) * 10_000 / 700)

    @given(st.sets(st.sampled_from("abcdefgh"), min_size=2), st.sampled_from("abcdefgh"))
    @settings(deadline=None, derandomize=True)
    def test_when_a_member_leaves_only_its_units_change_owner(self, members: set[str], leaver: str) -> None:
        views = []
        for alive in (members, members - {leaver} or members):
            duties = Duties(min(alive))
            duties.set_units(UNITS, 0.0)
            duties.set_members(alive, 0.0)
            views.append({unit: duties.owner(unit) for unit in UNITS})
        for unit in UNITS:
            if views[0][unit] != leaver:
                self.assertEqual(views[0][unit], views[1][unit])
