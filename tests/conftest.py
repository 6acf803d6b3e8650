"""Two workers: one for tests that start the program as processes, one after the other; one for all else.

Plays of real processes side by side disturb each other; beside one processor that is busy they do not.
"""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests.node import NodeTest
from tests.test_fleet_faults import FleetTest

# the same examples in each run: `--hypothesis-profile default` draws others
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.get_closest_marker("xdist_group") is not None:
            continue
        owner = getattr(item, "cls", None)
        alone = owner is not None and issubclass(owner, NodeTest | FleetTest)
        item.add_marker(pytest.mark.xdist_group("processes" if alone else "logic"))
