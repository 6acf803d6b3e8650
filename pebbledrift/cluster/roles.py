"""Starts one role of the fleet's binary. What the other role needs is not imported."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

from pebbledrift.cluster import boot
from pebbledrift.cluster.errors import BootError
from pebbledrift.signals import hold_sighup

EXIT_SETTINGS = 2
DISKLESS_START_S = 1.0  # nobody waits for a keeper without a disk: the router beside it starts first
Role = Callable[[boot.BootSettings, Callable[[], boot.BootSettings]], Coroutine[Any, Any, None]]


async def _router(settings: boot.BootSettings, reload: Callable[[], boot.BootSettings]) -> None:
    from pebbledrift.router.service import Router

    await Router(settings, reload).run()


async def _keeper(settings: boot.BootSettings, reload: Callable[[], boot.BootSettings]) -> None:
    from pebbledrift.keeper.service import Keeper

    await Keeper(settings).run()


ROLES: dict[str, Role] = {"router": _router, "keeper": _keeper}


def let_router_start(role: str, settings: boot.BootSettings) -> None:
    """A keeper without a disk leaves the processor to the router of its machine, before any import."""
    if role == "keeper" and settings.data_dir is None:
        time.sleep(DISKLESS_START_S)


def run(role: str) -> int:
    """Read the boot settings and serve; returns the exit code."""
    hold_sighup(True)
    path = os.environ.get(boot.VARIABLE, boot.DEFAULT_PATH)
    try:
        settings = boot.load(path)
        let_router_start(role, settings)
        _serve(role, settings, path)
    except BootError as error:
        print(f"pebbledrift {role}: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    return 0


def _serve(role: str, settings: boot.BootSettings, path: str) -> None:
    import asyncio

    from pebbledrift import logs

    logs.setup(os.environ.get("PEBBLEDRIFT_LOG", "info"), node=settings.name)
    asyncio.run(ROLES[role](settings, lambda: boot.load(path)))
