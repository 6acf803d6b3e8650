"""Start of the process roles: a keeper without a disk, for which nothing waits, starts after its router."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest

from pebbledrift.cluster import boot, roles
from pebbledrift.cluster.boot import BootSettings, parse

SETTINGS = {
    "node-name": "front-a-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "listen": {"control": "127.0.0.1:1"},
    "port-range": [2, 3],
    "seeds": [],
}


class FakeTime:
    """Stands for the module `time`: its clock advances only by calls of `sleep`."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeTime:
    fake_time = FakeTime()
    monkeypatch.setattr(roles, "time", fake_time)
    return fake_time


def settings(has_disk: bool) -> BootSettings:
    return replace(parse(SETTINGS), data_dir=Path("/nowhere") if has_disk else None)


@pytest.mark.parametrize("has_disk", [True, False])
def test_a_keeper_without_a_disk_is_delayed(clock: FakeTime, has_disk: bool) -> None:
    roles.delay_diskless_keeper("keeper", settings(has_disk))
    assert clock.now == (0.0 if has_disk else roles.DISKLESS_KEEPER_DELAY_S)


def test_a_router_starts_at_once(clock: FakeTime) -> None:
    roles.delay_diskless_keeper("router", settings(True))
    roles.delay_diskless_keeper("router", settings(False))
    assert clock.now == 0.0


def test_the_delay_precedes_all_imports_of_the_role(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    steps: list[str] = []
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(boot.SETTINGS_PATH_VARIABLE, str(path))
    monkeypatch.setattr(roles, "delay_diskless_keeper", lambda role, settings: steps.append(f"wait {role}"))
    monkeypatch.setattr(roles, "_serve", lambda role, settings, path: steps.append(f"serve {role}"))
    assert roles.run("router") == 0
    assert steps == ["wait router", "serve router"]
    path.write_text("{}")
    assert roles.run("router") == roles.EXIT_INVALID_SETTINGS
