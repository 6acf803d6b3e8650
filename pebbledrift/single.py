"""One node on its own: python -m pebbledrift [--config FILE]."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import sys

from pebbledrift import logs
from pebbledrift.config import Config, ConfigError, load
from pebbledrift.inventory import InventoryError
from pebbledrift.node import Node, ReadAgain
from pebbledrift.signals import hold_sighup
from pebbledrift.store.table import StoreError

log = logging.getLogger("pebbledrift")


async def serve(config: Config, read_again: ReadAgain, path: str | None) -> int:
    """Run the node until it has ended; returns the exit code. `path` is the configuration's, where given."""
    if config.cores.processes > 1:
        from pebbledrift.cores import supervisor  # not on the platform's path

        supervisor.check(config)
        return await supervisor.Supervisor(config, read_again, path).run()
    await Node(config, read_again).run()
    return 0


def main() -> int:
    """Read the configuration and serve."""
    parser = argparse.ArgumentParser(prog="pebbledrift", description="A dispatcher node.")
    parser.add_argument("--config", help="configuration file (TOML or JSON); else $GW_CONFIG names it")
    parser.add_argument("--tables", help="tables that all nodes of the fleet have alike (TOML or JSON)")
    arguments = parser.parse_args()
    hold_sighup(True)
    path, tables = arguments.config, arguments.tables
    try:
        config = load(os.environ, path, tables=tables)
    except ConfigError as error:
        print(f"pebbledrift: {error}", file=sys.stderr)
        return 2
    logs.setup(config.log_level)
    try:
        return asyncio.run(serve(config, lambda: load(os.environ, path, replaced=True, tables=tables), path))
    except (ConfigError, InventoryError, StoreError, OSError) as error:
        log.error("cannot start", extra={"error": str(error)})
        return 2
