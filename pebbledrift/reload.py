"""SIGHUP: the configuration is read again, and what can change in a running node changes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import fields

from pebbledrift import inventory
from pebbledrift.config import Config, ConfigError
from pebbledrift.core.figures import Counters
from pebbledrift.inventory import Host, InventoryError
from pebbledrift.store.table import StoreError

log = logging.getLogger(__name__)

# of the last two, the tubes, the rates, and soft limits
LIVE = frozenset(("discovery", "inventory", "log_level", "beanstalk", "fleet_limits"))
OF_A_START = frozenset(("known", "seed"))  # told to a node that starts; a running one knows better


class Reloader:
    """Reads in a thread, one file at a time, and applies on the loop; a file at fault changes nothing."""

    def __init__(
        self,
        config: Config,
        read: Callable[[], Config],
        apply: Callable[[Config, list[Host]], None],
        figures: Counters,
    ) -> None:
        self.config = config
        self.read = read
        self.apply = apply
        self.figures = figures
        self._task: asyncio.Task[None] | None = None
        self._again = False

    def asked(self) -> None:
        """The signal has come. One that comes during a read leads to another: the file may be newer."""
        if self._task is not None and not self._task.done():
            self._again = True
            return
        self._task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        self._again = True
        while self._again:
            self._again = False
            try:
                config, hosts = await asyncio.to_thread(self._read)
                self.apply(config, hosts)
            except (ConfigError, InventoryError, StoreError, OSError) as error:
                # guards a node that serves: it goes on with what it has
                self.figures.conf_invalid += 1
                log.error("configuration not taken", extra={"error": str(error)})
                continue
            except Exception:
                self.figures.conf_invalid += 1
                log.exception("configuration not taken")
                continue
            self.figures.conf_loaded += 1
            log.info("configuration taken", extra={"fixed": ",".join(fixed(self.config, config)) or "-"})
            self.config = config

    def _read(self) -> tuple[Config, list[Host]]:
        config = self.read()
        return config, inventory.read(config.inventory) if config.inventory else []


def fixed(old: Config, new: Config) -> list[str]:
    """Keys whose change takes a restart."""
    keys = [f.name for f in fields(Config) if f.name not in LIVE | OF_A_START]
    changed = [key for key in keys if getattr(old, key) != getattr(new, key)]
    listens = [c.beanstalk.listen if c.beanstalk is not None else None for c in (old, new)]
    limits = [c.fleet_limits.settled() if c.fleet_limits is not None else None for c in (old, new)]
    changed += ["beanstalk.listen"] * (listens[0] != listens[1])
    return changed + ["fleet_limits"] * (limits[0] != limits[1])
