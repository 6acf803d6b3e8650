"""Scenarios drawn from seeds hold, and one that fails is made short."""

from __future__ import annotations

import pytest

from tests.cluster import drawn


@pytest.mark.parametrize("seed", range(200))
def test_a_drawn_scenario_holds(seed: int) -> None:
    text = drawn.draw(seed)
    try:
        drawn.play(text, seed)
    except AssertionError as error:
        shortest = drawn.shrink(text, seed)
        raise AssertionError(f"{error}\nshortest form, for seed {seed}:\n{shortest}") from error


def test_the_same_seed_draws_the_same_scenario() -> None:
    assert drawn.draw(7) == drawn.draw(7) != drawn.draw(8)


def test_what_does_not_matter_is_left_out_of_a_scenario_that_fails() -> None:
    def player(text: str, seed: int) -> None:
        lines = text.splitlines()
        if "start" not in lines[0]:
            raise ValueError("nothing was started")
        assert not ("kill B" in lines and "begin B" in lines[lines.index("kill B") :])

    text = "start A B\nrun 1\nkill A\nkill B\nrun 2\nbegin A\nbegin B\nrun 3\n"
    assert drawn.shrink(text, 1, player) == "start A B\nkill B\nbegin B\n"


def test_what_cannot_be_played_is_no_failure() -> None:
    assert not drawn.fails("dance A\n", 1)
    assert not drawn.fails("start A B C\norder one at D: next\nkill E\n", 1)
