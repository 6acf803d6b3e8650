"""The agreement on views, state by state; mutations.py takes its mechanisms out."""

from __future__ import annotations

import pytest

from pebbledrift.chain.agreement import Agreement
from pebbledrift.chain.messages import NO_STAMP, Accept, Accepted, Ballot, Prepare, Promise, Vote
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.planning import Plan
from pebbledrift.chain.view import founding_view
from tests.cluster import agreement_model

WHOLE = ("two proposers, an attempt each",)  # the command visits all worlds of all setups
WALKS = 4000
VIEW = founding_view(("a:1", "b:1", "c:1"))
BALLOT = Ballot(2, 1, "b:1/0#1")


@pytest.mark.parametrize("setup", agreement_model.SETUPS, ids=lambda setup: setup.name)
def test_no_state_has_two_views_decided_for_one_epoch(setup: agreement_model.Setup) -> None:
    explorer = agreement_model.Explorer(setup)
    if setup.name in WHOLE:
        assert explorer.run()
    else:
        explorer.walk(WALKS, seed=1)
    assert explorer.decided


def begun(incarnation: int = 1) -> tuple[Agreement, Outbox]:
    outbox = Outbox("a:1")
    agreement = Agreement("a:1/0", incarnation, outbox, lambda: NO_STAMP, lambda: None, 0)
    agreement.restore(VIEW, None)
    return agreement, outbox


@pytest.mark.parametrize(
    "message", [Prepare(BALLOT, VIEW), Accept(BALLOT, VIEW)], ids=["promise", "acceptance"]
)
def test_nothing_is_told_before_it_is_on_the_disk(message: Prepare | Accept) -> None:
    agreement, outbox = begun()
    if isinstance(message, Prepare):
        agreement.on_prepare("b:1", message)
    else:
        agreement.on_accept("b:1", message)
    assert not outbox.take_envelopes()
    writes = outbox.take_writes()
    assert [type(record) for write in writes for record in write.records] == [Vote]
    outbox.synced(writes[-1].number)
    assert [type(e.message) for e in outbox.take_envelopes()] in ([Promise], [Accepted])


def test_two_processes_of_a_replica_never_have_the_same_ballot() -> None:
    """The first ends before its own promise is on its disk; the next knows of no attempt."""
    ballots = set()
    for incarnation in (1, 2):
        agreement, outbox = begun(incarnation)
        agreement.propose(Plan(VIEW.members, (), ()), 1.0)
        ballots |= {e.message.ballot for e in outbox.take_envelopes() if isinstance(e.message, Prepare)}
    assert len(ballots) == 2
