"""Combined faults of real keeper processes: suspended, killed, restarted, cut off, or without their disks."""

from __future__ import annotations

import http.client
import random
import shutil
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from rig.fleet import Fleet, example_config, wait_for
from rig.keeper_links import KeeperLinks

pytestmark = pytest.mark.xdist_group("processes")

CHANGES = 600
CUT_S = 6.0  # the test marked `long` cuts for 20 s
ROUTES, PREFIX_BYTES = 300, 200  # size of the large configuration: 120 KB of hexadecimal digits
SLOW_BYTES_PER_S = 60_000.0  # about half a Mbit/s
CHANGES_DURING_JOIN = 20
CONFIG_LAG_S = 2.0  # a read returns every change that was acknowledged this long before


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(3, 0, tmp_path, first=70)
    try:
        fleet.start_all()
        assert fleet.replace(example_config(1), 0) == 200
        fleet.bootstrap = False
        wait_for(lambda: all(fleet.serves_control(number) for number in range(3)), "all keepers")
        wait_for(lambda: len(status(fleet, 0)["chain"]) == 3, "the whole chain")
        yield fleet
    finally:
        for process in fleet.processes.values():
            process.send_signal(signal.SIGCONT)
        fleet.close()


def status(fleet: Fleet, keeper: int) -> dict[str, Any]:
    return dict(fleet.control(keeper, "GET", "/-/status")[1])


def head(fleet: Fleet) -> int:
    address = status(fleet, 0)["chain"][0].partition(":")[0]
    return fleet.keepers.index(address)


def read(fleet: Fleet, keeper: int) -> int | None:
    """Returns the revision that a keeper serves, or None if it serves none."""
    try:
        answer, config = fleet.control(keeper, "GET", "/-/config/read")
    except OSError:
        return None
    assert answer in (200, 503)
    return int(config["revision"]) if answer == 200 else None


def order(fleet: Fleet, keeper: int, revision: int, base: int) -> int | None:
    """Send a change once; returns the HTTP status, or None without an answer."""
    try:
        body = example_config(revision)
        return int(fleet.control(keeper, "POST", "/-/config/replace", body, base)[0])
    except (OSError, http.client.HTTPException):
        return None


def test_a_head_that_stood_still_serves_no_old_revision_and_refuses_nothing(fleet: Fleet) -> None:
    stopped = head(fleet)
    others = [number for number in range(3) if number != stopped]
    fleet.processes[fleet.keepers[stopped]].send_signal(signal.SIGSTOP)
    assert fleet.replace(example_config(2), 1, others[0]) == 200
    assert fleet.replace(example_config(3), 2, others[1]) == 200
    fleet.processes[fleet.keepers[stopped]].send_signal(signal.SIGCONT)
    revisions = [read(fleet, stopped) for _ in range(5)]
    assert set(revisions) <= {None, 3}, revisions
    assert order(fleet, stopped, 4, 3) in (200, 503, None)
    wait_for(lambda: (read(fleet, stopped) or 0) >= 3, "the head to serve the newest revision again")


@pytest.mark.parametrize("rounds", [4])
def test_a_change_whose_head_is_killed_is_accepted_or_undecided_but_never_refused(
    fleet: Fleet, rounds: int
) -> None:
    for revision in range(2, 2 + rounds):
        killed = head(fleet) if status(fleet, 0)["chain"] else 0
        other = (killed + 1) % 3
        answers: list[int | None] = []

        def send(at: int = other, to: int = revision, results: list[int | None] = answers) -> None:
            results.append(order(fleet, at, to, to - 1))

        sender = threading.Thread(target=send)
        sender.start()
        fleet.end(fleet.keepers[killed])
        sender.join()
        assert answers[0] in (200, 503, None), answers
        assert fleet.replace(example_config(revision), revision - 1, (killed + 2) % 3) == 200
        fleet.start(fleet.keepers[killed])
        wait_for(lambda at=killed: fleet.serves_control(at), "the keeper's control interface")  # type: ignore[misc]
        wait_for(lambda: len(status(fleet, 0)["chain"]) == 3, "the whole chain")
    assert [read(fleet, number) for number in range(3)] == [1 + rounds] * 3


def test_a_keeper_restarted_with_pending_calls_does_not_refuse_valid_changes(fleet: Fleet) -> None:
    keeper = (head(fleet) + 1) % 3
    for revision in range(2, 6):
        senders = [
            threading.Thread(target=order, args=(fleet, keeper, 100 + number, 99)) for number in range(4)
        ]
        for sender in senders:
            sender.start()
        fleet.end(fleet.keepers[keeper])
        fleet.start(fleet.keepers[keeper])
        wait_for(lambda: fleet.serves_control(keeper), "the keeper's control interface")
        assert fleet.replace(example_config(revision), revision - 1, keeper) == 200
        for sender in senders:
            sender.join()
    assert read(fleet, keeper) == 5


def test_an_empty_member_recovers_hundreds_of_changes(fleet: Fleet) -> None:
    for revision in range(2, CHANGES + 2):
        change = {"revision": revision, "upsert": {"limits": {"idle-timeout-ms": 10_000 + revision}}}
        answer, body = fleet.control(revision % 3, "POST", "/-/config/update", change, revision - 1)
        if answer != 200:  # repeat the same change until it is acknowledged
            wait_for(
                lambda c=change, r=revision: (  # type: ignore[misc]
                    fleet.control(0, "POST", "/-/config/update", c, r - 1)[0] == 200
                ),
                f"change {revision}: {body}",
            )
    lost = (head(fleet) + 1) % 3
    address = fleet.keepers[lost]
    fleet.end(address)
    shutil.rmtree(fleet.folder / address)
    fleet.start(address)
    wait_for(lambda: read(fleet, lost) == CHANGES + 1, "the restarted keeper to hold all changes")

    def is_member() -> bool:
        report = status(fleet, lost)
        complete = len(report["chain"]) == len(report["members"]) == 3
        return complete and report["node"] in report["members"] and not report["previous"]

    wait_for(is_member, "the restarted keeper to be a member")
    fleet.end(fleet.keepers[head(fleet)])
    wait_for(lambda: read(fleet, lost) == CHANGES + 1, "the restarted keeper to serve with one other")


def test_a_keeper_without_a_majority_serves_no_read_no_change_and_no_drain(fleet: Fleet) -> None:
    isolated = head(fleet)
    others = [number for number in range(3) if number != isolated]
    instance = {"backend": "lm", "address": "127.0.0.1:9", "slots": 1, "state": "ready", "sequence": 1}
    assert fleet.control(isolated, "POST", "/-/instances/i-1/heartbeat", instance)[0] == 200
    for number in others:
        fleet.processes[fleet.keepers[number]].send_signal(signal.SIGSTOP)
    leaving = {**instance, "state": "draining", "sequence": 2}
    assert fleet.control(isolated, "POST", "/-/instances/i-1/heartbeat", leaving)[0] == 503
    assert fleet.control(isolated, "POST", "/-/instances/i-1/deregister")[0] == 503
    assert read(fleet, isolated) is None
    assert order(fleet, isolated, 2, 1) == 503
    assert order(fleet, isolated, 9, 7) == 503, "a refusal needs a majority too"
    assert not status(fleet, isolated)["current"]
    for number in others:
        fleet.processes[fleet.keepers[number]].send_signal(signal.SIGCONT)
    wait_for(lambda: fleet.control(isolated, "POST", "/-/instances/i-1/deregister")[0] == 200, "a majority")
    wait_for(lambda: (read(fleet, isolated) or 0) >= 1, "a read")


# keepers behind relays, whose links can be cut


@pytest.fixture
def relayed(tmp_path: Path) -> Iterator[tuple[Fleet, KeeperLinks]]:
    fleet = Fleet(3, 0, tmp_path, first=130, relayed=True)
    links = KeeperLinks(fleet.hidden, fleet.internal)
    try:
        fleet.start_all()
        assert fleet.replace(example_config(1), 0) == 200
        fleet.bootstrap = False
        wait_for(lambda: all(fleet.serves_control(number) for number in range(3)), "all keepers")
        wait_for(lambda: len(status(fleet, 0)["chain"]) == 3, "the whole chain")
        yield fleet, links
    finally:
        links.close()
        fleet.close()


class Operators:
    """Operators that read from and send changes to a keeper that is cut off, on three threads.

    `faults` lists reads of revisions that are too old and answers to changes that the keeper must not decide.
    """

    def __init__(self, fleet: Fleet, keeper: int) -> None:
        self._fleet, self._keeper = fleet, keeper
        self._stopped = threading.Event()
        self.acknowledged: list[tuple[float, int]] = [(time.monotonic(), 1)]
        self.faults: list[str] = []
        self.answers = 0
        self._threads = [threading.Thread(target=work) for work in (self._read, self._order, self._order)]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _read(self) -> None:
        while not self._stopped.is_set():
            started = time.monotonic()
            revision_read = read(self._fleet, self._keeper)
            self.answers += 1
            newest = max(
                revision
                for at, revision in self.acknowledged
                if at <= started - CONFIG_LAG_S or revision == 1
            )
            if revision_read is not None and revision_read < newest:
                self.faults.append(f"read {revision_read}, {newest} was acknowledged long before")

    def _order(self) -> None:
        number = 1000
        while not self._stopped.is_set():
            number += 1
            answer = order(self._fleet, self._keeper, number, 1)
            self.answers += 1
            if answer not in (503, None):
                self.faults.append(f"a change got {answer} from a keeper without a majority")


def cut_off_for(fleet: Fleet, links: KeeperLinks, seconds: float) -> None:
    """Cut the head off, with operators on both sides, and check that its side decides nothing."""
    lost = head(fleet)
    others = [number for number in range(3) if number != lost]
    links.cut(fleet.keepers[lost], [fleet.keepers[number] for number in others])
    revision = 2
    assert fleet.replace(example_config(revision), 1, others[0]) == 200
    operators = Operators(fleet, lost)
    operators.acknowledged.append((time.monotonic(), revision))
    operators.start()
    instance = {"backend": "lm", "address": "127.0.0.1:9", "slots": 1, "state": "draining", "sequence": 2}
    assert fleet.control(lost, "POST", "/-/instances/i-1/heartbeat", instance)[0] == 503
    assert fleet.control(others[0], "POST", "/-/instances/i-1/heartbeat", instance)[0] == 200
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        revision += 1
        assert fleet.replace(example_config(revision), revision - 1, others[revision % 2]) == 200
        operators.acknowledged.append((time.monotonic(), revision))
        assert read(fleet, others[0]) in (None, revision)
        assert not status(fleet, lost)["current"]
        assert fleet.control(lost, "POST", "/-/instances/i-1/deregister")[0] == 503
    operators.stop()
    assert operators.answers > 2 and not operators.faults, operators.faults[:3]
    links.heal()
    wait_for(lambda: read(fleet, lost) == revision, "the former head to hold all changes after the cut")
    assert (
        order(fleet, lost, revision, revision - 1) == 200
    ), "a change accepted by the majority must be accepted again"
    wait_for(lambda: len(status(fleet, lost)["chain"]) == 3, "the whole chain")


def test_a_head_that_is_cut_off_decides_nothing(relayed: tuple[Fleet, KeeperLinks]) -> None:
    cut_off_for(*relayed, CUT_S)


@pytest.mark.long
def test_a_head_that_is_cut_off_for_twenty_seconds_decides_nothing(
    relayed: tuple[Fleet, KeeperLinks],
) -> None:
    cut_off_for(*relayed, 20.0)


@pytest.mark.parametrize("position", range(3), ids=["head", "middle", "tail"])
def test_a_keeper_killed_between_its_sync_and_its_answer_loses_no_change(
    relayed: tuple[Fleet, KeeperLinks], position: int
) -> None:
    fleet, links = relayed
    report = status(fleet, 0)
    chain = [fleet.keepers.index(node.partition(":")[0]) for node in report["chain"]]
    killed = chain[position]
    others = [number for number in range(3) if number != killed]
    links.cut_ways((fleet.keepers[killed], fleet.keepers[other]) for other in others)
    answers: list[int | None] = []
    sender = threading.Thread(target=lambda: answers.append(order(fleet, chain[0], 2, 1)))
    sender.start()
    wait_for(
        lambda: status(fleet, killed)["synced"] > report["committed"][1],
        "the change to be on the keeper's disk",
    )
    fleet.end(fleet.keepers[killed])
    sender.join()
    assert answers[0] in (200, 503, None), answers
    links.heal()
    assert fleet.replace(example_config(2), 1, others[0]) == 200
    fleet.start(fleet.keepers[killed])
    wait_for(lambda: fleet.serves_control(killed), "the keeper's control interface")
    assert fleet.replace(example_config(2), 1, killed) == 200, "the same change must be accepted again"
    assert order(fleet, others[1], 3, 1) in (412, 503), "another change on the same base must not be accepted"
    wait_for(
        lambda: [read(fleet, number) for number in range(3)] == [2] * 3, "all keepers to hold the change"
    )


def large_config(revision: int) -> dict[str, Any]:
    """Returns a configuration that compresses poorly, as its path prefixes are random."""
    rng = random.Random(1)
    config = example_config(revision)
    route = config["routes"][0]
    added = [
        {**route, "name": f"r{number}", "path-prefix": f"/{rng.randbytes(PREFIX_BYTES).hex()}/"}
        for number in range(ROUTES)
    ]
    return {**config, "routes": [*config["routes"], *added]}


def update(fleet: Fleet, keeper: int, revision: int) -> bool:
    """Send a small change; returns whether it was acknowledged."""
    change = {"revision": revision, "upsert": {"limits": {"idle-timeout-ms": 10_000 + revision}}}
    return fleet.control(keeper, "POST", "/-/config/update", change, revision - 1)[0] == 200


def test_an_empty_member_joins_over_a_slow_link_during_changes(
    relayed: tuple[Fleet, KeeperLinks],
) -> None:
    fleet, links = relayed
    assert fleet.replace(large_config(2), 1) == 200
    lost = (head(fleet) + 1) % 3
    other = (lost + 1) % 3
    address = fleet.keepers[lost]
    control = f"{address}:{fleet.control_port}"
    fleet.end(address)
    shutil.rmtree(fleet.folder / address)
    links.limit(address, SLOW_BYTES_PER_S)
    fleet.start(address)
    wait_for(lambda: control in status(fleet, other)["keepers"], "its heartbeats to arrive")
    revision = 2

    def holds_all() -> bool:
        nonlocal revision
        assert control in status(fleet, other)["keepers"], "a transfer delayed its heartbeats"
        if revision < CHANGES_DURING_JOIN + 2:
            wait_for(
                lambda: update(fleet, other, revision + 1), "a change to be accepted during the transfer"
            )
            revision += 1
        return revision > CHANGES_DURING_JOIN and read(fleet, lost) == revision

    wait_for(holds_all, "the restarted keeper to hold all changes")
    wait_for(
        lambda: not status(fleet, lost)["previous"] and len(status(fleet, lost)["chain"]) == 3,
        "the restarted keeper to be a member",
    )
