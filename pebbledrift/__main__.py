"""One node: python -m pebbledrift [--config FILE]."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import signal
import sys

from pebbledrift import logs
from pebbledrift.config import Config, ConfigError, load
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.fronts.platform import PlatformFront
from pebbledrift.net.front import FrontServer
from pebbledrift.pool import PoolConfig

log = logging.getLogger("pebbledrift")


async def serve(config: Config) -> None:
    """Run the node until it is told to end and owes nothing any more."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log.error(str(context.get("message")), exc_info=context.get("exception"))
    )
    clock = Clock()
    pool = PoolConfig(config, clock)
    engine = Engine(config.settings, config.limits, clock, config.seed, pool)
    pool.engine = engine
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    began = clock.now_ms()

    def ready() -> bool:
        waited = clock.now_ms() - began >= config.limits.ready_without_watch_ms
        return pool.serves() and (pool.heard or waited) and not stopping.is_set()

    front = PlatformFront(config, engine, clock, ready)
    fronts = FrontServer(config.limits, front)
    pool.take(config.known, cached=True)
    server = None
    if config.listen is not None:
        server = await loop.create_server(fronts.protocol, *config.listen, backlog=512)
    gc.collect()
    gc.freeze()
    log.info("started", extra={"node": config.name, "listen": str(config.listen)})
    await stopping.wait()
    log.info("stopping", extra={"open": len(engine.open)})
    await asyncio.sleep(config.limits.linger_ms / 1000)
    # the listening socket stays: the workers' call-backs for what is still open come in there
    front.taking = False
    fronts.close_idle()
    await engine.drained()
    if server is not None:
        server.close()
    await pool.stop()
    log.info("stopped")


def main() -> int:
    """Read the configuration and serve."""
    parser = argparse.ArgumentParser(prog="pebbledrift", description="A dispatcher node.")
    parser.add_argument("--config", help="configuration file (TOML or JSON); else $GW_CONFIG names it")
    arguments = parser.parse_args()
    try:
        config = load(os.environ, arguments.config)
    except ConfigError as error:
        print(f"pebbledrift: {error}", file=sys.stderr)
        return 2
    logs.setup(config.log_level)
    asyncio.run(serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
