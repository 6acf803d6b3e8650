"""Leases on parts of the fleet's limits: no two nodes hold a part at once, whatever happens between them."""

from __future__ import annotations

import random
import unittest
from collections import defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from pebbledrift.membership import lease
from pebbledrift.membership.endpoint import Datagrams
from pebbledrift.membership.group import Address, State
from pebbledrift.membership.lease import ASK, GRANT, BadLease, Committee, Holder
from spoolpier import Dispatcher
from spoolpier import interface as api
from tests.helpers import job, outcome, sends
from tests.helpers import settings as module_settings
from tests.test_membership import World

LEASE = 2000.0
SINCE = 500.0
COMMITTEE = ("n0", "n1", "n2")


class Lender:
    """A member with leases, as membership/service.py drives them: the committee's book and its own parts."""

    def __init__(self, world: LeaseWorld, name: str) -> None:
        self.world, self.name = world, name
        self.endpoint = world.endpoints[name]
        self.number = int(name[1:])
        self.draw = random.Random(world.starts)
        self.committee: Committee | None = None
        self.holder: Holder | None = None
        self.endpoint.others[ASK] = self.asked
        self.endpoint.others[GRANT] = self.granted
        self.due: Datagrams = []
        self.next, self.wall_off = 0.0, 0.0

    def wall(self) -> float:
        return self.world.network.now + self.wall_off

    def tick(self, now: float) -> Datagrams:
        if self.holder is None:
            self.committee = Committee(len(self.world.places), LEASE, now) if self.name in COMMITTEE else None
            self.holder = Holder(
                self.number, COMMITTEE, LEASE, 150.0, SINCE, lambda: self.draw.getrandbits(64)
            )
        sent = self.endpoint.tick(now)
        group = self.endpoint.group
        if group.stopped_at == now:
            self.holder.drop()
        if now >= self.next:
            self.next = now + LEASE / 4
            up = [n for n, m in group.members.items() if m.claim.state is State.ALIVE]
            down = [int(n[1:]) for n, m in group.members.items() if m.claim.state >= State.DEAD]
            self.holder.want(lease.heirs(down, self.name, up))
            ask = self.holder.ask(now, self.wall())
            for member in COMMITTEE:
                if member == self.name:
                    self.answer(now, member, self.endpoint.sealer.life, ask)
                else:
                    sent += self.endpoint.tell(ASK, lease.pack_ask(ask), [member])
        due, self.due = self.due, []
        return sent + due

    def asked(self, now: float, sender: str, body: bytes) -> None:
        self.answer(now, sender, self.endpoint.sealer.peers[sender].life, lease.unpack_ask(body))

    def answer(self, now: float, name: str, life: int, ask: lease.Ask) -> None:
        if self.committee is None or self.holder is None:
            return
        parts = self.committee.asked(now, name, life, ask)
        grant = lease.Grant(ask.number, self.wall(), parts)
        if name == self.name:
            self.holder.granted(now, self.wall(), name, grant)
        else:
            self.due += self.endpoint.tell(GRANT, lease.pack_grant(grant), [name])

    def granted(self, now: float, sender: str, body: bytes) -> None:
        if self.holder is not None:
            self.holder.granted(now, self.wall(), sender, lease.unpack_grant(body))

    def datagram(self, now: float, data: bytes, sender: Address) -> Datagrams:
        sent = self.endpoint.datagram(now, data, sender)
        due, self.due = self.due, []
        return sent + due


class LeaseWorld(World):
    """A group that lends itself parts; `look` is what a judge outside sees, by true time."""

    def __init__(self, size: int, seed: int, loss: float = 0.0) -> None:
        self.lenders: dict[str, Lender] = {}
        self.used: dict[int, tuple[str, float]] = {}  # by part: who had it last, and when
        super().__init__(size, seed, loss)
        self.network.at(0.0, self.look)

    def start(self, name: str) -> None:
        super().start(name)
        self.lenders[name] = Lender(self, name)
        self.network.add(self.places[name], self.lenders[name])

    def kill(self, name: str) -> None:
        super().kill(name)
        del self.lenders[name]

    def halve(self, names: set[str]) -> None:
        near = {self.places[name] for name in names}
        self.network.cut = lambda a, b: (a in near) != (b in near)

    def deafen(self, name: str) -> None:
        deaf = self.places[name]
        self.network.cut = lambda a, b: b == deaf

    def parts(self) -> dict[int, list[str]]:
        """Who holds what now, by each one's own clock."""
        found: dict[int, list[str]] = defaultdict(list)
        for name, lender in self.lenders.items():
            host = self.network.hosts[self.places[name]]
            if lender.holder is not None:
                # one that is stopped does nothing now, but its word must not outlast its lease either
                for part in lender.holder.held(host.clock(self.network.now)):
                    found[part].append(name)
        return found

    def look(self) -> None:
        now = self.network.now
        for part, names in self.parts().items():
            assert len(names) == 1, (now, part, names)
            before = self.used.get(part)
            if before is not None and before[0] != names[0]:
                # what the one before has spent in a window must have left it
                assert now - before[1] >= SINCE * 0.99, (now, part, before, names)
            self.used[part] = names[0], now
        self.network.at(now + 10.0, self.look)


class LeaseTest(unittest.TestCase):
    def test_each_has_its_own_part_and_the_parts_of_the_dead_and_the_gone_go_to_others(self) -> None:
        world = LeaseWorld(6, 1)
        world.network.until(lambda: len(world.parts()) == 6, 10_000)
        self.assertEqual(world.parts(), {i: [f"n{i}"] for i in range(6)})
        world.kill("n5")
        world.network._send(world.places["n4"], world.endpoints["n4"].leave())
        world.kill("n4")
        world.network.until(lambda: 4 not in world.parts(), 5000)
        took = world.network.until(lambda: len(world.parts()) == 6, 20_000)
        self.assertLess(took, 20_000)
        self.assertTrue(all(name[0] not in ("n4", "n5") for name in world.parts().values()))
        world.start("n5")  # its part is free for it within a lease, not by anybody's good will
        took = world.network.until(lambda: world.parts().get(5) == ["n5"], 10_000)
        self.assertLess(took, 10_000)

    def test_the_smaller_part_of_a_cut_group_holds_nothing_and_the_greater_may_have_it_all(self) -> None:
        world = LeaseWorld(5, 2)
        world.network.until(lambda: len(world.parts()) == 5, 10_000)
        world.halve({"n0", "n3"})
        world.network.run(LEASE)
        self.assertFalse({name for names in world.parts().values() for name in names} & {"n0", "n3"})
        took = world.network.until(lambda: len(world.parts()) == 5, 30_000)
        self.assertLess(took, 30_000)
        world.network.cut = lambda a, b: False
        own = {i: [f"n{i}"] for i in range(5)}
        self.assertLess(world.network.until(lambda: world.parts() == own, 15_000), 15_000)

    def test_a_clock_that_is_off_holds_nothing(self) -> None:
        world = LeaseWorld(4, 3)
        world.lenders["n3"].wall_off = 3_600_000.0
        world.network.run(8000)
        self.assertEqual(sorted(world.parts()), [0, 1, 2])
        assert world.lenders["n3"].holder is not None
        self.assertGreater(world.lenders["n3"].holder.clock_off, 3)

    def test_what_is_cut_short_late_or_of_somebody_else_grants_nothing(self) -> None:
        holder = Holder(3, COMMITTEE, LEASE, 150.0, 0.0, iter(range(100)).__next__)
        ask = holder.ask(1000.0, 5000.0)
        for body in (b"", lease.pack_ask(ask)[:-1], lease.pack_ask(ask) + b"x"):
            self.assertRaises(BadLease, lease.unpack_ask, body)
            self.assertRaises(BadLease, lease.unpack_grant, body)
        self.assertEqual(lease.unpack_ask(lease.pack_ask(ask)), ask)
        good = lease.Grant(ask.number, 5010.0, (3,))
        self.assertEqual(lease.unpack_grant(lease.pack_grant(good)), good)
        for member, grant in (
            ("n7", good),  # not of the committee
            ("n0", lease.Grant(99, 5010.0, (3,))),  # never asked
            ("n0", lease.Grant(ask.number, 5300.0, (3,))),  # of a clock that is ahead
            ("n0", lease.Grant(ask.number, 4800.0, (3,))),
            ("n0", lease.Grant(ask.number, 5010.0, (4,))),  # not asked for
        ):
            for _ in range(2):
                holder.granted(1020.0, 5020.0, member, grant)
        holder.granted(1020.0, 5020.0, "n0", good)
        self.assertEqual(holder.held(1020.0), ())  # one of three
        holder.granted(1030.0, 5030.0, "n1", good)
        self.assertEqual(holder.held(1030.0), (3,))
        self.assertEqual(holder.held(1000.0 + LEASE), ())  # from when it was asked, not from when it came

    @settings(max_examples=60, deadline=None)
    @given(
        st.integers(0, 10_000),
        st.sampled_from((0.0, 0.1, 0.3)),
        st.lists(
            st.tuples(
                st.sampled_from(("kill", "start", "stall", "halves", "one-way", "heal", "leave")),
                st.integers(0, 5),
                st.integers(50, 6000),
            ),
            max_size=10,
        ),
    )
    def test_no_two_hold_a_part_whatever_happens(
        self, seed: int, loss: float, steps: list[tuple[str, int, int]]
    ) -> None:
        world = LeaseWorld(6, seed, loss)
        world.network.run(5000)
        for what, which, ms in steps:
            name = f"n{which}"
            match what:
                case "kill" if name in world.endpoints:
                    world.kill(name)
                case "leave" if name in world.endpoints:
                    world.network._send(world.places[name], world.endpoints[name].leave())
                    world.kill(name)
                case "start" if name not in world.endpoints:
                    world.start(name)
                case "stall" if name in world.endpoints:
                    world.network.stall(world.places[name], ms)
                case "halves":
                    world.halve({f"n{i}" for i in range(which)})
                case "one-way":
                    world.deafen(name)
                case "heal":
                    world.network.cut = lambda a, b: False
            world.network.run(ms)  # `look` fails where two hold a part
        world.network.cut = lambda a, b: False
        world.network.run(6000)


class PlacesTest(unittest.TestCase):
    """The decision module with places of other numbers: more of a cold worker's budget, never more than
    its parts.
    """

    def module(self, me: int, nodes: int) -> Dispatcher:
        known = module_settings(
            dispatchers=nodes,
            me=me,
            nominal_weights=True,
            tells_start=True,
            cold_share=0.12,
            cold_ms=24_000.0,
            fall_multiple=4.0,
            fall_ms=1000.0,
        )
        return Dispatcher(known, seed=me)

    def spend(self, nodes: int, places: dict[int, tuple[int, ...]], guard: float = 0.0) -> float:
        """Work that a cold worker is sent in its first twelve seconds, by nodes that hold these places."""
        start, spent = 1_000_000.0, 0.0
        cold = (api.WorkerEntry(worker=10, weight=8.0, started_ms=start),)
        modules = {me: self.module(me, nodes) for me in places}
        windows: dict[int, float] = defaultdict(float)
        for me, d in modules.items():
            given_places = api.Shares((), fleet=True, indexes=places[me], guard_ms=guard)
            d.step(start, [api.WorkerList(api.ListForm.CACHED, cold), given_places])
        for i in range(12_000 // 40):
            for me, d in modules.items():
                now = start + 1 + i * 40.0 + me
                due = sends(d.step(now, [job(f"{me}.{i}", key=i, hint_ms=150.0)]))
                for s in due:  # what ends lets held ones go
                    spent += s.work
                    windows[int(now // 1000)] += s.work
                    self.assertGreaterEqual(now % 1000.0, guard)
                    due += sends(d.step(now, [outcome(s, api.OutcomeKind.SERVED)]))
        for second, work in windows.items():
            share = 0.12 + 0.88 * max(0.0, second * 1000.0 - start) / 24_000.0
            self.assertLessEqual(work, 0.5 * 4.0 * share * 8 * 0.5 * 1000.0)  # two turns fit one window
        return spent

    def test_what_the_gone_gave_up_is_used_and_no_part_counts_twice(self) -> None:
        alone = self.spend(8, {0: (0,)})
        heir = self.spend(8, {0: tuple(range(8))})
        together = self.spend(8, {me: (me,) for me in range(8)})
        self.assertGreater(heir, 3 * alone)
        self.assertLess(abs(heir - together), 0.35 * together)
        self.assertEqual(self.spend(8, {0: ()}), 0.0)  # a lease that is over
        self.assertGreater(self.spend(8, {0: tuple(range(8))}, guard=300.0), 0.0)
