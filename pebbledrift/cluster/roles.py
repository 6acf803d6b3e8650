"""Entry points of the process roles. A process imports only the modules that its own role needs."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

from pebbledrift.cluster import boot
from pebbledrift.cluster.errors import BootError
from pebbledrift.signals import hold_sighup

EXIT_INVALID_SETTINGS = 2
# Nothing waits for a keeper without a disk, so the router on the same machine starts first.
DISKLESS_KEEPER_DELAY_S = 1.0
Role = Callable[[boot.BootSettings, Callable[[], boot.BootSettings]], Coroutine[Any, Any, None]]


async def _run_router(settings: boot.BootSettings, reload: Callable[[], boot.BootSettings]) -> None:
    from pebbledrift.router.service import Router

    await Router(settings, reload).run()


async def _run_keeper(settings: boot.BootSettings, reload: Callable[[], boot.BootSettings]) -> None:
    from pebbledrift.keeper.service import Keeper

    await Keeper(settings).run()


ROLES: dict[str, Role] = {"router": _run_router, "keeper": _run_keeper}


def delay_diskless_keeper(role: str, settings: boot.BootSettings) -> None:
    """Delay a keeper without a disk, which leaves the processor to the router on the same machine.

    Runs before the modules of the role are imported, as imports take processor time too.
    """
    if role == "keeper" and settings.data_dir is None:
        time.sleep(DISKLESS_KEEPER_DELAY_S)


def run(role: str) -> int:
    """Read the boot settings and run the role until it ends; returns the exit code of the process."""
    hold_sighup(True)
    path = os.environ.get(boot.SETTINGS_PATH_VARIABLE, boot.DEFAULT_PATH)
    try:
        settings = boot.load(path)
        delay_diskless_keeper(role, settings)
        _serve(role, settings, path)
    except BootError as error:
        print(f"pebbledrift {role}: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return 0


def _serve(role: str, settings: boot.BootSettings, path: str) -> None:
    import asyncio

    from pebbledrift import logs

    logs.setup(os.environ.get("PEBBLEDRIFT_LOG", "info"), node=settings.name)
    asyncio.run(ROLES[role](settings, lambda: boot.load(path)))
