"""What the node keeps in its store: inventory, mapping of tubes, print of its settings, operation states."""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
from collections.abc import Callable
from dataclasses import asdict, replace
from typing import TYPE_CHECKING, Any

from pebbledrift.config import Config, ConfigError, TubeConfig, read_tube
from pebbledrift.core.clock import Clock
from pebbledrift.core.model import Answer, Operation, Verdict
from pebbledrift.inventory import Host, InventoryError, host
from pebbledrift.net.datagrams import PeerSocket
from pebbledrift.store.repair import SUMS
from pebbledrift.store.replica import ASKED, DIGEST, ENTRY, TOLD, Replica
from pebbledrift.store.table import Entry, StoreError, Table
from spoolpier import interface as api

if TYPE_CHECKING:
    from pebbledrift.store.disk import Disk

log = logging.getLogger(__name__)

HOST, TUBE, NODE, OPERATION = "host/", "tube/", "node/", "op/"
FINAL = frozenset(v.value for v in Verdict)
DISK_RETRY_S = 1.0  # between two tries of a disk that fails


class NodeStore:
    """The table with its file and its peers, and the node's own records in it."""

    def __init__(self, config: Config, clock: Clock, peers: PeerSocket | None) -> None:
        self.config = config
        self.clock = clock
        self._loop = asyncio.get_running_loop()
        self.table = Table(config.limits, config.settings.me, clock.now_ms)
        self.disk: Disk | None = None
        self._unsaved: dict[str, Any] = {}  # the node's own state that the file does not have
        self._disk_retry: asyncio.TimerHandle | None = None
        if config.store_file:
            self.disk = _open(config.store_file, self.table)
            self.disk.failed = self._disk_failed
            if self.disk.locked:
                self._disk_failed(OSError("no room beside the file"))
        self.replica: Replica | None = None
        if peers is not None:
            others = tuple(a for i, a in enumerate(config.peers) if i != config.settings.me)
            self.replica = replica = Replica(self.table, config.limits, others, peers, config.seed)
            for kind in (ENTRY, DIGEST, ASKED, TOLD, SUMS):
                peers.readers[kind] = replica.received
        self.inventory_changed: Callable[[list[Host]], None] = lambda hosts: None
        self.tubes_changed: Callable[[list[TubeConfig]], None] = lambda tubes: None
        self._due: set[str] = set()
        self.table.listeners.append(self._changed)
        # workers that this node remembers may have been taken out while it was down
        self.trusted = self.disk is None or not any(self.table.items(HOST))
        if not self.trusted:
            self._ask_peers()

    def _ask_peers(self) -> None:
        log.warning("remembers workers, and waits to hear whether they still hold")
        if self.replica is not None:
            self.replica.trusted = False
            self.replica.confirmed = lambda: self._trust("a peer")
            self.replica.ask()
        alone_ms = self.config.limits.store_alone_ms
        if alone_ms > 0:
            self._loop.call_later(alone_ms / 1000, self._trust, "nobody, by store_alone_ms")

    def _trust(self, by: str) -> None:
        """What is held here may be acted on."""
        if not self.trusted:
            self.trusted = True
            if self.replica is not None:
                self.replica.trusted = True
            log.warning("what was remembered holds", extra={"by": by})
            self._apply(HOST)

    # -- the node's own state

    def remember(self, name: str, value: Any) -> None:
        """Keep a value over restarts, where there is a file.

        Raises OSError where it cannot be kept now. It will be once the disk is well, if the process lives on.
        """
        if self.disk is None:
            return
        self._unsaved[name] = value
        try:
            self.disk.save_state(name, value)
        except OSError as error:
            self._disk_failed(error)
            raise
        del self._unsaved[name]

    def recall(self, name: str) -> Any:
        """What was kept under a name; None where nothing was."""
        return self.disk.load_state(name) if self.disk is not None else None

    async def read_again(self) -> None:
        """Another process has ended that wrote to the same file; a disk that fails is waited for."""
        while self.disk is not None:
            try:
                self.disk.read_again()
                return
            except OSError as error:
                self._disk_failed(error)
                await asyncio.sleep(DISK_RETRY_S)

    # -- a disk that fails

    def _disk_failed(self, error: OSError) -> None:
        """Something is owed to the file: said once, and tried again until it is paid."""
        if self._disk_retry is None:
            log.error("store not written", extra={"error": str(error)})
            self._disk_retry = self._loop.call_later(DISK_RETRY_S, self._pay_disk)

    def _pay_disk(self) -> None:
        from pebbledrift.store.disk import DiskError  # sqlite is imported where there is a file

        assert self.disk is not None
        try:
            self.disk.share()
            self.disk.sync()
            for name, value in list(self._unsaved.items()):
                self.disk.save_state(name, value)
                del self._unsaved[name]
        except (OSError, DiskError):  # the latter: a later program has written the file, and may give it back
            self._disk_retry = self._loop.call_later(DISK_RETRY_S, self._pay_disk)
            return
        self._disk_retry = None
        log.warning("store written again")

    # -- inventory and configuration

    def load(self, config: Config, hosts: list[Host]) -> None:
        """Write what this node's files say; what they no longer name is removed."""
        wanted: dict[str, object] = {}
        prefixes = []
        if config.inventory:
            prefixes.append(HOST)
            wanted.update({HOST + h.name: h.values() for h in hosts})
        if config.beanstalk is not None and config.beanstalk.tubes:
            prefixes.append(TUBE)
            for tube in config.beanstalk.tubes:
                wanted[TUBE + tube.name] = {k: v for k, v in tube.source.items() if k != "name"}
        text = json.dumps(asdict(self.config.settings) | {"me": 0, "zone": 0}, sort_keys=True)
        wanted[NODE + self.config.name] = hashlib.blake2b(text.encode(), digest_size=8).hexdigest()
        if HOST in prefixes:
            self._trust("its own inventory")  # which says who is there, whatever was remembered
        for prefix in prefixes:
            for key in [k for k, _ in self.table.items(prefix) if k not in wanted]:
                self.table.remove(key)
        for key, value in wanted.items():
            self.table.set(key, value)
        self._apply(HOST)
        self._apply(TUBE)

    def _changed(self, entry: Entry) -> None:
        for prefix in (HOST, TUBE):
            if entry.key.startswith(prefix) and prefix not in self._due:
                self._due.add(prefix)
                self._loop.call_soon(self._apply, prefix)
        ours, told = self.table.get(NODE + self.config.name), self.table.get(entry.key)
        if entry.key.startswith(NODE) and ours is not None and told not in (None, ours):
            log.warning("settings differ from a peer's", extra={"peer": entry.key.removeprefix(NODE)})

    def _apply(self, prefix: str) -> None:
        self._due.discard(prefix)
        if prefix == HOST:
            hosts = []
            for key, value in self.table.items(HOST):
                try:
                    known = host(key.removeprefix(HOST), value, "store")
                    hosts.append(known if self.trusted else replace(known, state="draining"))
                except (InventoryError, AttributeError) as error:
                    log.warning("entry passed over", extra={"key": key, "error": str(error)})
            log.info("inventory", extra={"hosts": len(hosts)})
            self.inventory_changed(hosts)
        else:
            tubes = []
            for key, value in self.table.items(TUBE):
                name = key.removeprefix(TUBE)
                try:
                    entry = {**value, "name": name}
                    tubes.append(read_tube(entry, f"store: {key}.", self.config.classes, self.config.tenants))
                except (ConfigError, TypeError) as error:
                    log.warning("entry passed over", extra={"key": key, "error": str(error)})
            self.tubes_changed(tubes)

    # -- operation states

    def observe(self, operation: Operation, state: str) -> None:
        """Note a change of state. Before an operation that must not run twice is sent, it is on the disk."""
        key = self._key(operation.id)
        self._note(key, state, operation.job_class, operation.origin)
        once = self.config.settings.classes[operation.job_class].effect is api.Effect.UNSAFE
        if state == "sent" and once and self.disk is not None:
            self._sync(self.disk)
        if state in FINAL:
            self._loop.call_later(self.config.limits.finished_ms / 1000, self.table.remove, key)

    def promise(self, job: str, tube: TubeConfig) -> None:
        """Note a job before it is acknowledged. Raises OSError where it cannot be kept."""
        if self.disk is not None:
            self.disk.catch_up()  # a disk that fails already: nothing is noted, of which peers would hear
        key = self._key(job)
        self._note(key, "taken", tube.job_class, tube.name, must=True)
        if self.disk is not None and self.disk.unwritten:
            self.table.remove(key)
            raise OSError(f"{key}: not written")

    def note_refused(self, job: str, tube: TubeConfig) -> None:
        """Note that a job whose operation has not begun never will."""
        self._note(self._key(job), Verdict.REFUSED.value, tube.job_class, tube.name)

    def _sync(self, disk: Disk) -> None:
        try:
            disk.sync()
        except OSError as error:
            self._disk_failed(error)
            raise

    def _note(self, key: str, state: str, job_class: int, origin: str, must: bool = False) -> None:
        try:
            self.table.set(key, [state, job_class, origin[:64]])
        except StoreError as error:
            if (must or state == "sent") and self.disk is not None:
                raise OSError(str(error)) from error
            log.warning("state not kept", extra={"key": key, "error": str(error)})

    def answer_fetched(self, job: str) -> None:
        """The producer has its answer: the state is of no more use."""
        self.table.remove(self._key(job))

    def recover(self, answer: Callable[[str, str, Answer], None]) -> None:
        """End what an earlier life of this node left open: sent may have run, merely taken has not."""
        for key, value in list(self.table.items(OPERATION + self.config.name + ".")):
            job = key.removeprefix(OPERATION)
            if not isinstance(value, list) or len(value) != 3:
                log.warning("entry passed over", extra={"key": key})
                continue
            state, origin = value[0], str(value[2])
            if state == "taken":
                answer(job, origin, Answer(Verdict.REFUSED, reason="restarted"))
            elif state == Verdict.SERVED.value:
                answer(job, origin, Answer(Verdict.SERVED, reason="restarted: the result is lost"))
            else:
                verdict = Verdict.REFUSED if state == Verdict.REFUSED.value else Verdict.FAILED
                answer(job, origin, Answer(verdict, reason="restarted"))
            if state not in FINAL:
                final = Verdict.REFUSED if state == "taken" else Verdict.FAILED
                self.table.set(key, [final.value, *value[1:]])
            self._loop.call_later(self.config.limits.finished_ms / 1000, self.table.remove, key)

    def _key(self, job: str) -> str:
        """A key that fits, whatever the id."""
        if len(job.encode()) <= 48:
            return OPERATION + job
        return OPERATION + "~" + hashlib.blake2b(job.encode(), digest_size=16).hexdigest()

    def close(self) -> None:
        """End the file."""
        if self._disk_retry is not None:
            self._disk_retry.cancel()
        if self.disk is None:
            return
        try:
            self.disk.close()
        except OSError as error:
            log.error("store not written at the end", extra={"error": str(error)})


def _open(path: str, table: Table) -> Disk:
    # not on the platform's path: it has no disk
    from pebbledrift.store.disk import Disk, DiskError

    try:
        return Disk(path, table)
    except (DiskError, OSError) as error:
        raise ConfigError(f"store_file: {error}") from error
