"""Several processes of the program, and faults between them: what they know of each other, and what they
do then.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import tempfile
import time
import unittest
from collections.abc import AsyncIterator, Callable, Iterable
from pathlib import Path
from typing import Any

import pytest

from rig import judge
from rig.plan import Plan, PlanError, Step, drawn, of
from rig.world import SETTINGS, Rig, played

HEAL_S = 3.0  # all views agree so long after a cut is healed


async def until(condition: Callable[[], Any], most_s: float = 15.0) -> float:
    """Wait for a condition that may be awaited; returns how long it took."""
    began = time.monotonic()
    while time.monotonic() - began < most_s:
        found = condition()
        if await found if asyncio.iscoroutine(found) else found:
            return time.monotonic() - began
        await asyncio.sleep(0.03)
    raise AssertionError("the condition never held")


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Plays by hand: one rig a test."""

    async def asyncSetUp(self) -> None:
        # guards the relays: unittest's loops are in debug mode, in which the rig takes 2.4 times the
        # processor time, and what passes through it waits for up to 70 ms
        asyncio.get_running_loop().set_debug(False)

    @contextlib.asynccontextmanager
    async def rig(self, nodes: int, extra: dict[str, Any] | None = None, **plan: Any) -> AsyncIterator[Rig]:
        with tempfile.TemporaryDirectory() as folder:
            rig = Rig(Plan(nodes=nodes, **plan), Path(folder), extra)
            try:
                await rig.open()
                self.assertLess(await rig.agree(15.0), 15.0)
                yield rig
            except BaseException:
                for event in rig.events[-40:]:
                    print(event)
                raise
            finally:
                await rig.close()

    async def cut(self, rig: Rig, *groups: Iterable[str]) -> None:
        await rig.do(Step(0.0, "cut", {"groups": [list(group) for group in groups]}))

    async def heal(self, rig: Rig, names: list[str] | None = None) -> None:
        await rig.do(Step(0.0, "heal"))
        self.assertLess(await rig.agree(2 * HEAL_S, names), HEAL_S)

    async def standing(self, rig: Rig, name: str, wanted: str) -> None:
        async def holds() -> bool:
            view = await rig.view(name)
            return view is not None and view["standing"] == wanted

        await until(holds)

    async def parts(self, rig: Rig) -> dict[str, set[str]]:
        views = await rig.views()
        return {n: set(v["parts"].split(",")) - {"none"} for n, v in views.items()}


class CutTest(FleetTest):
    async def test_halves_and_one_alone(self) -> None:
        async with self.rig(5, workers=1) as rig:
            names = list(rig.nodes)
            await until(lambda: self.all_parts(rig, 5))
            await self.cut(rig, names[:2], names[2:])
            for name in names:
                await self.standing(rig, name, "parted")
            views = await rig.views()
            self.assertEqual({m for m, s in views["n0"]["members"].items() if s == "alive"}, {"n1"})
            # the part with the committee's majority may have all, the other one nothing
            await until(lambda: self.all_parts(rig, 5))
            parts = await self.parts(rig)
            self.assertEqual((parts["n0"], parts["n1"]), (set(), set()))
            await self.heal(rig)
            await self.cut(rig, names[:1], names[1:])
            await self.standing(rig, "n0", "alone")
            await self.standing(rig, "n1", "parted")
            await self.heal(rig)
            await until(lambda: self.own_parts(rig))
            self.assertEqual(judge.errors(rig.events), [])

    @pytest.mark.long
    async def test_thirds_one_way_a_ring_and_a_bridge(self) -> None:
        async with self.rig(6, workers=1) as rig:
            names = list(rig.nodes)
            await until(lambda: self.all_parts(rig, 6))
            await self.cut(rig, names[:2], names[2:4], names[4:])
            for name in names:
                await self.standing(rig, name, "parted")
            self.assertFalse(any((await self.parts(rig)).values()))  # nobody has a majority
            await self.heal(rig)
            rig.log("no deaths from here on")
            mark = len(rig.events)
            rig.links.set("n0", "n1", cut=True)  # one way between two, whom the others still hear
            await asyncio.sleep(2.0)
            for a in names:  # a ring: each hears its left neighbour alone
                for b in names:
                    if a != b and (names.index(a) + 1) % 6 != names.index(b):
                        rig.links.set(a, b, cut=True)
            await asyncio.sleep(0.7)
            rig.links.heal()
            # a bridge: n2 alone is heard by both sides, and hears both
            for a in names:
                for b in names:
                    if a != b and "n2" not in (a, b) and (a < "n2") != (b < "n2"):
                        rig.links.set(a, b, cut=True)
            await asyncio.sleep(3.0)
            views = await rig.views()
            # nobody is dead whom two others could reach: all could be, by way of n2
            self.assertFalse([v for v in views.values() if "dead" in v["members"].values()], views)
            await self.heal(rig)
            self.assertEqual(judge.errors(rig.events[mark:]), [])

    async def all_parts(self, rig: Rig, count: int) -> bool:
        parts = [p for held in (await self.parts(rig)).values() for p in held]
        return len(parts) == count == len(set(parts))

    async def own_parts(self, rig: Rig) -> bool:
        return await self.parts(rig) == {name: {name[1:]} for name in rig.nodes}


class StopTest(FleetTest):
    async def test_one_that_was_stopped_accuses_nobody_holds_nothing_and_is_back_soon(self) -> None:
        async with self.rig(4, workers=1) as rig:
            node = rig.nodes["n3"]
            for seconds in (1.0, 5.0):
                await until(lambda: self.holds_its_own(rig))
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(seconds)
                if seconds > 2:
                    await self.standing(rig, "n0", "parted")
                mark = len(node.log)
                node.signal(signal.SIGCONT)
                self.assertLess(await rig.agree(5.0), 2.0)
                said = node.log[mark:]
                self.assertFalse([x for x in said if "event=member" in x and "state=dead" in x], said)
                if seconds > 2:
                    self.assertTrue([x for x in said if "gone on after a stop" in x], said)

    async def holds_its_own(self, rig: Rig) -> bool:
        return (await self.parts(rig)).get("n3") == {"3"}


class RestartTest(FleetTest):
    async def test_kills_and_starts_before_anybody_noticed_and_one_on_the_other_side_of_a_cut(self) -> None:
        async with self.rig(3, workers=1) as rig:
            node = rig.nodes["n2"]
            for _ in range(10):
                await node.end(signal.SIGKILL)
                await rig.start("n2")
            self.assertLess(await rig.agree(6.0), HEAL_S)
            # told as another life, not as the same
            await until(lambda: sum("member=n2 state=alive" in x for x in rig.nodes["n0"].log) >= 2)
            await self.cut(rig, ["n0"], ["n1", "n2"])
            await node.end(signal.SIGKILL)
            await rig.start("n2")
            await self.standing(rig, "n1", "parted")
            await self.heal(rig)

    async def test_a_clean_end_is_told_as_left_and_one_that_was_alone_finds_the_others_again(self) -> None:
        async with self.rig(4, workers=1) as rig:
            await rig.nodes["n3"].end(signal.SIGTERM)
            await until(lambda: self.state_of(rig, "n0", "n3", "left"))
            self.assertEqual((await rig.views())["n0"]["standing"], "whole")  # less those that left
            for name in ("n1", "n2"):
                await rig.nodes[name].end(signal.SIGKILL)
            await self.standing(rig, "n0", "alone")
            await asyncio.gather(*(rig.start(name) for name in ("n1", "n2", "n3")))
            self.assertLess(await rig.agree(8.0), HEAL_S)

    async def state_of(self, rig: Rig, node: str, member: str, state: str) -> bool:
        view = await rig.view(node)
        return view is not None and view["members"].get(member) == state

    async def test_a_name_that_two_processes_use_is_noticed_by_both_and_one_keeps_it(self) -> None:
        async with self.rig(3, workers=1) as rig:
            first = rig.nodes["n2"]
            twin = rig.nodes["n2 again"] = type(first)("n2 again", rig.folder, first.config)
            # the same name, from an address of its own
            await rig.ways.open(["twin"])
            peers = list(first.config["peers"])
            peers[2] = "{}:{}".format(*rig.ways.address["twin"])
            await twin.start(peers=peers)
            rig.ways.at("twin", twin.places["peers"])
            nodes = (first, twin)
            await until(lambda: all(any("name in use twice" in x for x in n.log) for n in nodes))
            told = [next(x for x in n.log if "name in use twice" in x) for n in nodes]
            self.assertEqual(sum("keeps_it=ours" in x for x in told), 1, told)
            await twin.end(signal.SIGKILL)
            del rig.nodes["n2 again"]


class LossTest(FleetTest):
    async def test_bursts_of_loss_delay_reordering_and_copies_kill_nobody(self) -> None:
        async with self.rig(5, workers=1) as rig:
            for what, given in (("loss", 0.3), ("reorder", 40.0), ("double", 0.2)):
                key = "ms" if what == "reorder" else "share"
                await rig.do(Step(0.0, what, {key: given}))
            mark = len(rig.events)
            await asyncio.sleep(8.0)
            self.assertEqual(judge.false_deaths(rig.events[mark:]), [])
            await self.heal(rig)

    async def test_a_stranger_changes_no_view(self) -> None:
        async with self.rig(3, workers=1) as rig:
            host, port = rig.nodes["n0"].places["peers"]
            before = (await rig.views())["n0"]["members"]
            mark = len(rig.nodes["n0"].log)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                junk = [b"", b"\x40", b"\x40\x02n1" + bytes(60), b"\x40" * 256, bytes(300), b"\x46\x00\x10"]
                for i in range(20_000):  # about ten thousand a second
                    stranger.sendto(junk[i % len(junk)], (host, port))
                    if i % 100 == 99:
                        await asyncio.sleep(0.01)
            views = await rig.views()
            self.assertEqual(views["n0"]["members"], before)
            self.assertFalse([x for x in rig.nodes["n0"].log[mark:] if "event=member" in x])
            self.assertLess(len(rig.nodes["n0"].log) - mark, 200)  # ten lines of an event a second


class WorkerTest(FleetTest):
    """What the nodes send while they disagree, by the workers' own logs."""

    async def test_a_cold_worker_in_a_cut_with_one_node_stopped_gets_no_more_than_it_stands(self) -> None:
        rules = {"cold_share": 0.12, "cold_ms": 8000.0, "fall_multiple": 4.0, "fall_ms": 800.0}
        settings = {"rules": {**SETTINGS["rules"], **rules}}
        plan: dict[str, Any] = {"workers": 2, "slots": 8, "settings": settings, "seconds": 7.0, "rate": 60.0}
        async with self.rig(5, **plan) as rig:
            load = asyncio.create_task(rig.play())
            await asyncio.sleep(0.3)
            await rig.do(Step(0.0, "restart worker", {"worker": "w1"}))
            await asyncio.sleep(0.5)
            await self.cut(rig, ["n0", "n1"], ["n2", "n3", "n4"])
            await asyncio.sleep(0.5)
            rig.nodes["n4"].signal(signal.SIGSTOP)
            await asyncio.sleep(2.0)
            rig.nodes["n4"].signal(signal.SIGCONT)
            await asyncio.sleep(1.5)
            await rig.do(Step(0.0, "heal"))
            await load
            worst, sent = judge.cold_worst(rig.events, rig.settings["rules"])
            self.assertLess(worst, rules["fall_multiple"])
            self.assertGreater(sent, 0.0)  # and it was of use
            self.assertEqual(judge.once(rig.events), [])

    async def test_a_drain_and_an_operators_word_on_one_side_of_a_cut(self) -> None:
        async with self.rig(4, workers=3, seconds=5.0, rate=40.0) as rig:
            load = asyncio.create_task(rig.play())
            await self.cut(rig, ["n0", "n1"], ["n2", "n3"])
            await asyncio.sleep(1.0)
            self.assertTrue((await rig.nodes["n0"].call("SUSPEND w0"))[0].startswith("SUCCESS"))
            banned = rig.now()
            await rig.do(Step(0.0, "drain", {"worker": "w1"}))  # discovery tells both sides
            await load
            self.assertEqual(judge.drains(rig.events, 0.5), [])
            came = [e for e in rig.events if e["ev"] == "arrived" and e["worker"] == "w0"]
            self.assertEqual([e for e in came if e["node"] == "n0" and e["t"] > banned + 0.05], [])
            # a ban is the word of the node that was told it: the others go on
            self.assertTrue([e for e in came if e["node"] == "n2" and e["t"] > banned])
            self.assertEqual(judge.once(rig.events) + judge.answers(rig.events), [])


class DutyTest(FleetTest):
    async def test_probes_have_one_owner_and_pass_on_when_it_dies(self) -> None:
        period = 300.0
        membership = {"duties": True, "probe_ms": period}
        # clients come to nobody: what is probed is probed by duty alone
        async with self.rig(4, workers=6, membership=membership) as rig:
            await asyncio.sleep(1.0)
            began, mark = rig.now(), {w.uid: w.probes for w in rig.workers}
            await asyncio.sleep(3.0)
            took = rig.now() - began
            done = sum(w.probes - mark[w.uid] for w in rig.workers)
            alone = 6 * took * 1000 / period
            self.assertLess(done, 1.25 * alone)  # four nodes for themselves: four times as many
            self.assertGreater(done, 0.7 * alone)
            owners = [line for line in await rig.nodes["n0"].call("MEMBERS") if line.startswith("duty")]
            self.assertEqual(len(owners), 6)
            await rig.nodes["n1"].end(signal.SIGKILL)
            await asyncio.sleep(3.0)
            for worker in rig.workers:
                probes = [e for e in rig.events if e["ev"] == "probe" and e["worker"] == worker.uid]
                times = [began, *(e["t"] for e in probes if e["t"] >= began)]
                gaps = [b - a for a, b in zip(times, [*times[1:], rig.now()], strict=True)]
                self.assertLess(max(gaps), 3.0)


class PlanTest(FleetTest):
    def test_a_plan_at_fault_is_told_with_its_key(self) -> None:
        for table, key in (
            ({"nodez": 3}, "nodez"),
            ({"nodes": 99}, "nodes"),
            ({"fault": [{"at": 1, "do": "pray"}]}, r"fault\[0\].do"),
            ({"fault": [{"at": 99, "do": "heal"}]}, r"fault\[0\].at"),
            ({"fault": [{"at": 1, "do": "kill"}]}, r"fault\[0\].node"),
            ({"fault": [{"at": 1, "do": "kill", "node": "n9"}]}, r"fault\[0\].node"),
        ):
            with self.assertRaisesRegex(PlanError, key):
                of(table)
        self.assertEqual(drawn(7, 5, 20.0), drawn(7, 5, 20.0))  # a seed replays

    async def test_a_play_of_drawn_faults_breaks_no_rule(self) -> None:
        rig = await played(drawn(5, nodes=4, seconds=9.0, faults=5, rate=25.0))
        faults = judge.all_of(rig.events, rig.settings["rules"])
        self.assertEqual(faults, [], rig.plan.text())
        self.assertGreater(sum(e["ev"] == "answered" and e["status"] == 200 for e in rig.events), 100)
