"""Tests of the agreement on views with a model checker. mutations.py shows that they detect faults."""

from __future__ import annotations

import pytest

from pebbledrift.chain.agreement import Agreement
from pebbledrift.chain.messages import NO_STAMP, Accept, Accepted, Ballot, Prepare, Promise, Vote
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.planning import Plan
from pebbledrift.chain.view import founding_view
from tests.cluster import agreement_model

# the command `python -m tests.cluster.agreement_model` visits all states of all setups
EXHAUSTIVE = ("two proposers, one attempt each",)
WALKS = 4000
VIEW = founding_view(("a:1", "b:1", "c:1"))
BALLOT = Ballot(2, 1, "b:1/0#1")


@pytest.mark.parametrize("setup", agreement_model.SETUPS, ids=lambda setup: setup.name)
def test_no_state_has_two_decided_views_for_one_epoch(setup: agreement_model.Setup) -> None:
    checker = agreement_model.ModelChecker(setup)
    if setup.name in EXHAUSTIVE:
        assert checker.run()
    else:
        checker.walk(WALKS, seed=1)
    assert checker.decided


def make_agreement(incarnation: int = 1) -> tuple[Agreement, Outbox]:
    outbox = Outbox("a:1")
    agreement = Agreement("a:1/0", incarnation, outbox, lambda: NO_STAMP, lambda: None, 0)
    agreement.restore(VIEW, None)
    return agreement, outbox


@pytest.mark.parametrize(
    "message", [Prepare(BALLOT, VIEW), Accept(BALLOT, VIEW)], ids=["promise", "acceptance"]
)
def test_no_answer_is_sent_before_the_vote_is_synced(message: Prepare | Accept) -> None:
    agreement, outbox = make_agreement()
    if isinstance(message, Prepare):
        agreement.on_prepare("b:1", message)
    else:
        agreement.on_accept("b:1", message)
    assert not outbox.take_envelopes()
    writes = outbox.take_writes()
    assert [type(record) for write in writes for record in write.records] == [Vote]
    outbox.synced(writes[-1].number)
    assert [type(e.message) for e in outbox.take_envelopes()] in ([Promise], [Accepted])


def test_two_incarnations_of_a_replica_never_use_the_same_ballot() -> None:
    """The first process crashes before its own promise is synced: the next one knows of no round."""
    ballots = set()
    for incarnation in (1, 2):
        agreement, outbox = make_agreement(incarnation)
        agreement.propose(Plan(VIEW.members, (), ()), 1.0)
        ballots |= {e.message.ballot for e in outbox.take_envelopes() if isinstance(e.message, Prepare)}
    assert len(ballots) == 2
