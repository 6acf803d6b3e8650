"""Scenarios generated from seeds pass, and a failing one is reduced to the lines that matter."""

from __future__ import annotations

import pytest

from tests.cluster import drawn


@pytest.mark.parametrize("seed", range(200))
def test_a_drawn_scenario_passes(seed: int) -> None:
    text = drawn.draw(seed)
    try:
        drawn.run(text, seed)
    except AssertionError as error:
        reduced = drawn.shrink(text, seed)
        raise AssertionError(f"{error}\nreduced scenario of seed {seed}:\n{reduced}") from error


def test_the_same_seed_draws_the_same_scenario() -> None:
    assert drawn.draw(7) == drawn.draw(7) != drawn.draw(8)


def test_a_failing_scenario_is_reduced_to_the_lines_that_matter() -> None:
    def runner(text: str, seed: int) -> None:
        lines = text.splitlines()
        if "start" not in lines[0]:
            raise ValueError("nothing was started")
        assert not ("kill B" in lines and "begin B" in lines[lines.index("kill B") :])

    text = "start A B\nrun 1\nkill A\nkill B\nrun 2\nbegin A\nbegin B\nrun 3\n"
    assert drawn.shrink(text, 1, runner) == "start A B\nkill B\nbegin B\n"


def test_a_scenario_that_cannot_run_is_not_a_failure() -> None:
    assert not drawn.fails("dance A\n", 1)
    assert not drawn.fails("start A B C\norder one at D: next\nkill E\n", 1)
