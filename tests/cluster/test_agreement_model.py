"""The agreement on views, state by state; mutations.py takes its mechanisms out."""

from __future__ import annotations

import pytest

from pebbledrift.chain.agreement import Agreement
from pebbledrift.chain.messages import NO_STAMP, Prepare
from pebbledrift.chain.outbox import Outbox
from pebbledrift.chain.planning import Plan
from pebbledrift.chain.view import founding_view
from tests.cluster import agreement_model

WHOLE = ("two proposers, an attempt each", "a proposer with two attempts, a loss")
WORLDS = 40_000  # of the others; the command visits all


@pytest.mark.parametrize("setup", agreement_model.SETUPS, ids=lambda setup: setup.name)
def test_no_state_has_two_views_decided_for_one_epoch(setup: agreement_model.Setup) -> None:
    explorer = agreement_model.Explorer(setup)
    whole = explorer.run(None if setup.name in WHOLE else WORLDS)
    assert whole == (setup.name in WHOLE)
    assert not whole or explorer.decided


def test_two_processes_of_a_replica_never_have_the_same_ballot() -> None:
    """The first asks others for a promise and ends before its own is on its disk; the next knows of no attempt."""
    ballots = set()
    for incarnation in (1, 2):
        outbox = Outbox("a:1")
        agreement = Agreement("a:1/0", incarnation, outbox, lambda: NO_STAMP, lambda: None, 0)
        agreement.restore(founding_view(("a:1", "b:1", "c:1")), None)
        assert agreement.view is not None
        agreement.propose(Plan(agreement.view.members, (), ()), 1.0)
        ballots |= {e.message.ballot for e in outbox.take_envelopes() if isinstance(e.message, Prepare)}
    assert len(ballots) == 2
