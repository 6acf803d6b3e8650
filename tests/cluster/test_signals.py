"""Signals at any moment of a process's life.

Found by a soak in which restarts and SIGHUP overlap: SIGHUP that came to a router or keeper before its event
loop had a handler ended the process, and the router was gone until somebody started it again.
"""

from __future__ import annotations

import signal
import socket
import time
from pathlib import Path

import pytest

from rig.fleet import Fleet

START_S = 20.0
GAP_S = 0.01


def listening(address: str, port: int) -> bool:
    try:
        socket.create_connection((address, port), timeout=1).close()
    except OSError:
        return False
    return True


@pytest.mark.xdist_group("processes")
@pytest.mark.parametrize("role", ["router", "keeper"])
def test_a_process_that_gets_sighup_as_it_starts_lives_on(role: str, tmp_path: Path) -> None:
    fleet = Fleet(1, 1, tmp_path, first=240)
    router, keeper = fleet.routers[0], fleet.keepers[0]
    address, port = (router, fleet.readiness) if role == "router" else (keeper, fleet.control_port)
    try:
        fleet.start(address)
        process, end = fleet.processes[address], time.monotonic() + START_S
        while not listening(address, port):
            assert time.monotonic() < end, "it does not listen"
            process.send_signal(signal.SIGHUP)
            time.sleep(GAP_S)
            assert process.poll() is None, f"the process ended with {process.returncode}"
    finally:
        fleet.close()
