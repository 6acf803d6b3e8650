"""Signals at any moment of a process's life.

Found by a soak in which restarts and SIGHUP overlap: SIGHUP that came to a router or keeper before its event
loop had a handler ended the process, and the router was gone until somebody started it again. The settings
file is a pipe here, so that the process stands where it reads its settings until the signal has come.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from rig.fleet import ROOT, Fleet, wait_for


def listening(fleet: Fleet, role: str) -> bool:
    """Whether the process serves: a router's readiness address, a keeper's control interface."""
    if role == "keeper":
        return fleet.serves_control(0)
    try:
        socket.create_connection((fleet.routers[0], fleet.readiness), timeout=1).close()
    except OSError:
        return False
    return True


@pytest.mark.xdist_group("processes")
@pytest.mark.parametrize("role", ["router", "keeper"])
def test_a_process_that_gets_sighup_as_it_starts_lives_on(role: str, tmp_path: Path) -> None:
    fleet = Fleet(1, 1, tmp_path, first=240)
    address = fleet.routers[0] if role == "router" else fleet.keepers[0]
    settings = json.dumps(fleet.settings(address, role))
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "pebbledrift", role],
        cwd=ROOT,
        env={**os.environ, "PEBBLEDRIFT_BOOT": str(path)},
        stderr=subprocess.DEVNULL,
    )
    fleet.processes[address] = process
    try:
        with path.open("w") as pipe:  # it is open once the process reads
            process.send_signal(signal.SIGHUP)
            later = tmp_path / "later.json"
            later.write_text(settings)
            later.rename(path)  # what SIGHUP has it read
            pipe.write(settings)
        wait_for(lambda: listening(fleet, role) or process.poll() is not None, f"{role} listening")
        assert process.poll() is None, f"the process ended with {process.returncode}"
    finally:
        fleet.close()


@pytest.mark.xdist_group("processes")
def test_sighup_has_a_router_read_its_settings_again(tmp_path: Path) -> None:
    fleet = Fleet(1, 1, tmp_path, first=240)
    router = fleet.routers[0]
    try:
        fleet.start(router)
        wait_for(lambda: listening(fleet, "router"), "router listening")
        (tmp_path / f"{router}.json").write_text("no settings")
        fleet.processes[router].send_signal(signal.SIGHUP)
        log = tmp_path / f"{router}.log"
        wait_for(lambda: 'event="settings reload failed"' in log.read_text(), "the settings were read")
        assert fleet.processes[router].poll() is None
    finally:
        fleet.close()
