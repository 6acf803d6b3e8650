"""The start of the roles."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from pebbledrift.cluster import roles
from pebbledrift.cluster.boot import BootSettings, parse
from pebbledrift.keeper import service

SETTINGS = {
    "node-name": "front-a-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "listen": {"control": "127.0.0.1:1"},
    "port-range": [2, 3],
    "seeds": [],
}


@pytest.mark.parametrize("disk", [True, False])
def test_a_keeper_without_a_disk_starts_behind_its_router(
    monkeypatch: pytest.MonkeyPatch, disk: bool
) -> None:
    steps: list[str | float] = []

    class Keeper:
        def __init__(self, settings: BootSettings) -> None:
            steps.append("made")

        async def run(self) -> None:
            steps.append("ran")

    async def sleep(seconds: float) -> None:
        steps.append(seconds)

    settings = replace(parse(SETTINGS), data_dir=Path("/nowhere") if disk else None)
    monkeypatch.setattr(service, "Keeper", Keeper)
    monkeypatch.setattr(asyncio, "sleep", sleep)
    asyncio.run(roles._keeper(settings, lambda: settings))
    waited: list[str | float] = [] if disk else [roles.DISKLESS_START_S]
    assert steps == [*waited, "made", "ran"]
