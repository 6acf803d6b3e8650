"""Signals while a process has no handler for them: as it starts and as it ends."""

from __future__ import annotations

import signal


def hold_sighup(hold: bool) -> None:
    """Hold SIGHUP back, or let it come: without a handler it would end the process; held, it comes later."""
    signal.pthread_sigmask(signal.SIG_BLOCK if hold else signal.SIG_UNBLOCK, {signal.SIGHUP})
