"""Runs every scenario file with several event orders, one per seed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.cluster import scenario


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("path", scenario.files(), ids=lambda path: path.stem)
def test_scenario(path: Path, seed: int) -> None:
    scenario.Scenario(seed).play(path.read_text())


def test_a_line_with_an_unknown_step_is_reported() -> None:
    with pytest.raises(scenario.ScenarioError, match="line 2: unknown step 'dance'"):
        scenario.Scenario().play("start A B C\ndance A\n")
