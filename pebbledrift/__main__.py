"""One node: python -m pebbledrift [--config FILE]."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable

from pebbledrift import inventory, logs
from pebbledrift.config import Config, ConfigError, load
from pebbledrift.core.clock import Clock
from pebbledrift.core.engine import Engine
from pebbledrift.core.model import Answer, Destination
from pebbledrift.core.states import NodeStates
from pebbledrift.fronts.admin import AdminFront
from pebbledrift.fronts.beanstalk import BeanstalkFront
from pebbledrift.fronts.platform import PlatformFront
from pebbledrift.inventory import Host, InventoryError
from pebbledrift.net.beanstalk import BeanstalkSocket
from pebbledrift.net.datagrams import PeerSocket
from pebbledrift.net.front import FrontServer
from pebbledrift.net.lines import LineServer
from pebbledrift.pool import PoolConfig
from pebbledrift.reload import Reloader
from pebbledrift.store.service import NodeStore
from pebbledrift.store.table import StoreError
from pebbledrift.upgrade import Upgrade

log = logging.getLogger("pebbledrift")


async def serve(config: Config, read_again: Callable[[], Config]) -> None:
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

    def could_serve() -> bool:
        waited = clock.now_ms() - began >= config.limits.ready_without_watch_ms
        return pool.serves() and (pool.heard or waited)

    states = NodeStates(could_serve)
    front = PlatformFront(config, engine, clock, states)
    fronts = FrontServer(config.limits, front)
    upgrade = Upgrade(config, engine, pool, states, front, fronts)
    # what goes over to a newer process is not closed here
    states.changed.append(
        lambda: fronts.empty(states.paused or (states.stopping and not states.succeeded))
    )
    admin = LineServer(config.limits, AdminFront(config, engine, pool, states, upgrade.tell).answer)
    pool.take(config.known, cached=True)
    peers = None
    if config.peer_listen is not None and config.peers:
        transport, peers = await loop.create_datagram_endpoint(
            lambda: PeerSocket(config.limits, config.peers),
            local_addr=config.peer_listen,
            reuse_port=config.front_fd is not None,  # in an upgrade both processes have it
        )
        log.info("peers", extra={"address": "{}:{}".format(*transport.get_extra_info("sockname")[:2])})
    store = NodeStore(config, clock, peers)
    servers: list[asyncio.Server] = []
    tubes: BeanstalkFront | None = None
    if config.front_fd is not None:
        await upgrade.meet()

    if config.admin is not None:
        address = config.admin
        await upgrade.once_free(lambda: admin.listen(address))

    async def serve_tubes() -> None:
        nonlocal tubes
        assert config.beanstalk is not None
        if upgrade.elder is not None:
            # guards the store's file and the tubes' ids: they have one owner
            log.warning("tubes wait for the older process to end")
            await upgrade.alone.wait()
        tubes = front = start_beanstalk(config, engine, clock, pool, store)
        where = config.beanstalk.listen

        async def listen() -> None:
            server = await loop.create_server(
                lambda: BeanstalkSocket(config.limits, front), *where, backlog=128
            )
            servers.append(server)
            for socket in server.sockets:
                log.info("listening", extra={"address": "{}:{}".format(*socket.getsockname()[:2])})

        await upgrade.once_free(listen)

    def told(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            log.error("tubes are not served", exc_info=task.exception())

    tubes_served = loop.create_task(serve_tubes()) if config.beanstalk is not None else None
    if tubes_served is not None and upgrade.elder is None:
        await tubes_served
    elif tubes_served is not None:
        tubes_served.add_done_callback(told)

    def apply(new: Config, hosts: list[Host]) -> None:
        if tubes is not None:
            store.load(new, hosts)
        pool.move(new.discovery)
        logging.getLogger().setLevel(new.log_level.upper())

    loop.add_signal_handler(signal.SIGHUP, Reloader(config, read_again, apply, engine.figures).asked)
    hold_sighup(False)
    gc.collect()
    gc.freeze()
    stop = loop.create_task(stopping.wait())
    may_serve = loop.create_task(upgrade.may_serve())
    await asyncio.wait([stop, may_serve], return_when=asyncio.FIRST_COMPLETED)
    if may_serve.done():
        if config.listen is not None:
            found = fronts.listen(config.listen, config.front_fd)
            log.info("listening", extra={"address": "{}:{}".format(*found)})
        states.serving = True
        if config.front_fd is not None:
            upgrade.serve()
        log.info("started", extra={"node": config.name})
    await stop
    log.info("stopping", extra={"open": len(engine.open)})
    states.stop()  # answers from here on close their connections, unless these go over to a newer process
    if not states.succeeded:
        await asyncio.sleep(config.limits.take_ms / 1000)
        front.taking = False
        await asyncio.sleep(max(0.0, config.limits.linger_ms - config.limits.take_ms) / 1000)
    # the listening socket stays: the workers' call-backs for what is still open come in there
    if tubes is not None:
        tubes.stop()
    if states.succeeded:  # the newer process may have said so after the signal
        await upgrade.leave()
    await engine.drained()
    if tubes is not None and tubes.plain:
        await asyncio.sleep(config.limits.linger_ms / 1000)  # for producers to fetch the last answers
    fronts.close()
    admin.close()
    for task in (may_serve, tubes_served):
        if task is not None:
            task.cancel()
    for server in servers:
        server.close()
    await pool.stop()
    store.close()
    await upgrade.farewell()  # the newer process may now have what this one had
    log.info("stopped")


def start_beanstalk(
    config: Config, engine: Engine, clock: Clock, pool: PoolConfig, store: NodeStore
) -> BeanstalkFront:
    """The beanstalkd front, its workers in the pool, and what an earlier life left open."""
    assert config.beanstalk is not None
    tubes = BeanstalkFront(config, config.beanstalk, engine, clock)

    def inventory_changed(hosts: list[Host]) -> None:
        entries = tubes.take_inventory(hosts)
        found: dict[int, Destination] = {w.number: w for w in tubes.workers.values()}
        pool.take_inventory(entries, found)

    def recovered(job: str, origin: str, answer: Answer) -> None:
        number = job.rpartition(".")[2]
        if origin and number.isdigit():  # what came by HTTP has lost its client with the old process
            tubes.post_answer(int(number), tubes.tubes.get(origin), answer)

    engine.observers.append(store.observe)
    engine.observers.append(tubes.observe)
    store.inventory_changed = inventory_changed
    store.tubes_changed = tubes.take_tubes
    tubes.reply_deleted = store.answer_fetched
    tubes.noted = store.note_put
    store.load(config, inventory.read(config.inventory) if config.inventory else [])
    store.recover(recovered)
    return tubes


def hold_sighup(hold: bool) -> None:
    """Guards a node that starts: a SIGHUP before its handler is there would end it; held, it comes then."""
    signal.pthread_sigmask(signal.SIG_BLOCK if hold else signal.SIG_UNBLOCK, {signal.SIGHUP})


def main() -> int:
    """Read the configuration and serve."""
    parser = argparse.ArgumentParser(prog="pebbledrift", description="A dispatcher node.")
    parser.add_argument("--config", help="configuration file (TOML or JSON); else $GW_CONFIG names it")
    arguments = parser.parse_args()
    hold_sighup(True)
    try:
        config = load(os.environ, arguments.config)
    except ConfigError as error:
        print(f"pebbledrift: {error}", file=sys.stderr)
        return 2
    logs.setup(config.log_level)
    try:
        asyncio.run(serve(config, lambda: load(os.environ, arguments.config, replaced=True)))
    except (InventoryError, StoreError, OSError) as error:
        log.error("cannot start", extra={"error": str(error)})
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
