"""Workers at one keeper: their heartbeats, and what others have to hear before one is acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

from pebbledrift.control.registry import Instance, InstanceState, Registry, gone
from pebbledrift.keeper.instance_store import InstanceStore
from pebbledrift.keeper.peers import KeeperNetwork
from pebbledrift.overlay.messages import (
    InstanceHeartbeats,
    InstanceSnapshot,
    InstanceUpdate,
    NumberedUpdate,
    UpdateReceived,
)

CONFIRM_S = 0.8  # a majority of the keepers has so long to confirm that a worker leaves
CONFIRM_AGAIN_S = 0.2  # those that have not are told again
CONFIRMED_MOST = 4096  # ends of instances that are known to be confirmed
BEATS_S = 1.0
FORGET_AFTER_S = 60.0
COMPLETE_AFTER_BEATS = 1.4  # by then every worker that reports has reported to somebody


@dataclass(slots=True)
class _Confirmation:
    """News of a worker that leaves, and the keepers that have it on their disks."""

    done: asyncio.Future[None]
    addresses: set[str] = field(default_factory=set)


class WorkerDesk:
    """Takes heartbeats in and passes on what is new."""

    def __init__(
        self,
        network: KeeperNetwork,
        heartbeat_s: float,
        store: InstanceStore | None,
        publish: Callable[[tuple[Instance, ...]], None],
        reaches_quorum: Callable[[set[str]], bool],
        incarnation: int,
    ) -> None:
        self.registry = Registry()
        self._network, self._publish = network, publish
        self._store = store
        self._changed = False
        self._loop = asyncio.get_running_loop()
        self._complete_at = self._loop.time() + COMPLETE_AFTER_BEATS * heartbeat_s
        self._complete = False
        self._beats: dict[str, int] = {}
        self._beats_at = self._loop.time()
        self._reaches_quorum = reaches_quorum
        self._incarnation = incarnation
        self._number = 0
        self._unconfirmed: dict[int, _Confirmation] = {}
        self._confirmed: dict[tuple[str, int], None] = {}  # id and state: a majority has it on its disks
        if store is not None:
            self._recall(store.load())

    def _recall(self, instances: tuple[Instance, ...]) -> None:
        """Begin with the instances that were known before a restart."""
        for instance in instances:
            self.registry.merge(instance, self._loop.time())
        self._complete = bool(self.registry.instances)

    @property
    def complete(self) -> bool:
        """Whether all workers that report anywhere are known here."""
        self._complete = self._complete or self._loop.time() >= self._complete_at
        return self._complete

    async def heartbeat(self, told: Instance) -> bool:
        """Take a heartbeat in; returns whether it may be acknowledged: not where there is no room for it."""
        if self.registry.is_gone(told.id):
            return await self._confirm(gone(told.id))
        news = self.registry.merge(told, self._loop.time())
        known = self.registry.instances.get(told.id)
        if known is None:
            return False
        self._beats[told.id] = told.sequence
        if news is not None:
            self._tell(news)
        return known.state == InstanceState.READY or await self._confirm(known)

    async def deregister(self, instance: str) -> bool:
        """An instance has ended; returns whether that may be acknowledged."""
        ended = gone(instance)
        news = self.registry.merge(ended, self._loop.time())
        if news is not None:
            self._tell(news)
        return await self._confirm(ended)

    def _tell(self, news: Instance) -> None:
        """Tell routers and keepers."""
        self._changed = True
        self._publish((news,))
        if news.state == InstanceState.READY:
            self._network.send_keepers(InstanceUpdate((news,)))

    async def _confirm(self, leaving: Instance) -> bool:
        """Whether a majority of the keepers knows within CONFIRM_S that an instance leaves, on their disks.

        Every router that is in touch hears one of any majority. Who cannot reach one must not acknowledge:
        the worker asks another keeper then, and says `draining` again.
        """
        key = leaving.id, leaving.state
        if key in self._confirmed:
            return True
        self._number += 1
        number = self._number
        confirmation = self._unconfirmed[number] = _Confirmation(self._loop.create_future())
        self._save(lambda: self._confirmed_by(number, self._network.address))
        try:
            async with asyncio.timeout(CONFIRM_S):
                await self._until_confirmed(
                    NumberedUpdate(number, self._incarnation, (leaving,)), confirmation
                )
        except TimeoutError:
            return False
        finally:
            del self._unconfirmed[number]
        self._confirmed[key] = None
        while len(self._confirmed) > CONFIRMED_MOST:
            del self._confirmed[next(iter(self._confirmed))]
        return True

    async def _until_confirmed(self, news: NumberedUpdate, confirmation: _Confirmation) -> None:
        while not confirmation.done.done():
            self._network.send_keepers(news)
            await asyncio.wait((confirmation.done,), timeout=CONFIRM_AGAIN_S)

    def _confirmed_by(self, number: int, address: str) -> None:
        """A keeper has the news of this number on its disk."""
        confirmation = self._unconfirmed.get(number)
        if confirmation is None or confirmation.done.done():
            return
        confirmation.addresses.add(address)
        if self._reaches_quorum(confirmation.addresses):
            confirmation.done.set_result(None)

    def _save(self, saved: Callable[[], None]) -> None:
        """Go on, on the loop, once all that is known is on the disk; a keeper without a disk has no vote."""
        if self._store is None:
            return
        self._changed = False

        def on_loop() -> None:
            with contextlib.suppress(RuntimeError):  # the loop has ended
                self._loop.call_soon_threadsafe(saved)

        self._store.save(self.registry.snapshot(), on_loop)

    def from_keeper(self, sender: str, message: object) -> None:
        """What another keeper tells of workers."""
        if isinstance(message, NumberedUpdate):
            self.merge(message.instances)
            received = UpdateReceived(message.number, message.incarnation)
            self._save(lambda: self._network.send(sender, received))
        elif isinstance(message, UpdateReceived):
            if message.incarnation == self._incarnation:
                self._confirmed_by(message.number, sender)
        elif isinstance(message, InstanceUpdate):
            self.merge(message.instances)
        elif isinstance(message, InstanceSnapshot):
            self.merge(message.instances)
            self._complete = self._complete or message.complete
        elif isinstance(message, InstanceHeartbeats):
            self._heard_elsewhere(message)

    def _heard_elsewhere(self, message: InstanceHeartbeats) -> None:
        now = self._loop.time()
        for instance, sequence in message.sequences:
            known = self.registry.instances.get(instance)
            if known is not None and sequence >= known.sequence:
                self.registry.heard[instance] = now

    def merge(self, instances: tuple[Instance, ...]) -> None:
        """Take in what others tell, and pass on what is new."""
        now = self._loop.time()
        merged = [self.registry.merge(instance, now) for instance in instances]
        news = tuple(instance for instance in merged if instance is not None)
        if news:
            self._changed = True
            self._publish(news)

    def snapshot(self) -> InstanceSnapshot:
        """All that is known, for a router or keeper that connects."""
        return InstanceSnapshot(tuple(self.registry.snapshot()), self.complete)

    def tick(self, now: float) -> None:
        """Tell the keepers who was heard, and forget whom nobody has heard for long."""
        if now < self._beats_at:
            return
        self._beats_at = now + BEATS_S
        self._network.send_keepers(InstanceHeartbeats(tuple(self._beats.items()), self._network.router_count))
        self._beats = {}
        if self._changed and self._store is not None:
            self._changed = False
            self._store.save(self.registry.snapshot())
        self.registry.forget(self.registry.silent(now, FORGET_AFTER_S))
