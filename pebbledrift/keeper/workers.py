"""Worker heartbeats at one keeper, and what must be replicated before a heartbeat is acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from pebbledrift.control.registry import Instance, InstanceState, Registry, gone_instance
from pebbledrift.keeper.instance_store import InstanceStore
from pebbledrift.keeper.peers import KeeperNetwork
from pebbledrift.overlay.messages import (
    InstanceHeartbeats,
    InstanceSnapshot,
    InstanceUpdate,
    NumberedUpdate,
    UpdateReceived,
)

log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 0.8  # time for a majority of the keepers to confirm that a worker leaves
CONFIRM_RETRY_S = 0.2  # interval at which the message is sent again until it is confirmed
MAX_CONFIRMED = 4096  # remembered confirmations of leaving instances; the oldest is dropped first
HEARTBEAT_REPORT_INTERVAL_S = 1.0
FORGET_AFTER_S = 60.0
MAX_REPORT_GAP_S = 3.0  # a longer time between two reports shows that this process stood still
# In heartbeat intervals: by then each worker that sends heartbeats has sent one to some keeper.
COMPLETE_AFTER_HEARTBEATS = 1.4


@dataclass(slots=True)
class _Confirmation:
    """A leaving worker's state change, and the addresses of the keepers that have it on disk."""

    done: asyncio.Future[None]
    addresses: set[str] = field(default_factory=set)


class WorkerTracker:
    """Processes worker heartbeats and passes changes on to the routers and the other keepers.

    `heartbeat_s` is the interval at which workers send heartbeats, in seconds. `publish` sends changed
    instances to the routers; `reaches_quorum` returns whether keeper addresses form a majority; `in_touch`
    returns whether a majority of the keepers, which pass on the heartbeats that they get, was heard lately.
    """

    def __init__(
        self,
        network: KeeperNetwork,
        heartbeat_s: float,
        store: InstanceStore | None,
        publish: Callable[[tuple[Instance, ...]], None],
        reaches_quorum: Callable[[set[str]], bool],
        in_touch: Callable[[float], bool],
        incarnation: int,
    ) -> None:
        self.registry = Registry()
        self._network, self._publish = network, publish
        self._store = store
        self._has_unsaved_changes = False
        self._loop = asyncio.get_running_loop()
        self._complete_at = self._loop.time() + COMPLETE_AFTER_HEARTBEATS * heartbeat_s
        self._complete = False
        self._heartbeat_sequences: dict[str, int] = {}
        self._next_report_at = self._last_report_at = self._loop.time()
        self._reaches_quorum, self._in_touch = reaches_quorum, in_touch
        self._incarnation = incarnation
        self._last_number = 0
        self._unconfirmed: dict[int, _Confirmation] = {}
        self._confirmed: dict[tuple[str, int], None] = {}  # id and state that a majority has on disk
        if store is not None:
            self._restore_instances(store.load())

    def _restore_instances(self, instances: tuple[Instance, ...]) -> None:
        """Restores the instances that were known before a restart."""
        for instance in instances:
            self.registry.merge(instance, self._loop.time())
        self._complete = bool(self.registry.instances)

    @property
    def complete(self) -> bool:
        """Whether every worker that sends heartbeats to any keeper is known here."""
        self._complete = self._complete or self._loop.time() >= self._complete_at
        return self._complete

    async def heartbeat(self, reported: Instance) -> bool:
        """Processes a heartbeat; returns whether it may be acknowledged.

        A heartbeat is not acknowledged if the registry is full, or if the instance is draining or gone and
        no majority of the keepers confirms that in time.
        """
        if self.registry.is_gone(reported.id):
            return await self._confirm(gone_instance(reported.id))
        change = self.registry.merge(reported, self._loop.time())
        registered = self.registry.instances.get(reported.id)
        if registered is None:
            return False
        self._heartbeat_sequences[reported.id] = reported.sequence
        if change is not None:
            self._announce(change)
        return registered.state == InstanceState.READY or await self._confirm(registered)

    async def deregister(self, instance: str) -> bool:
        """Marks an instance as gone, by id; returns whether that may be acknowledged."""
        ended = gone_instance(instance)
        change = self.registry.merge(ended, self._loop.time())
        if change is not None:
            self._announce(change)
        return await self._confirm(ended)

    def _announce(self, change: Instance) -> None:
        """Sends a changed instance to the routers, and a ready one to the other keepers.

        Other states reach the keepers as the numbered messages of `_confirm`.
        """
        self._has_unsaved_changes = True
        self._publish((change,))
        if change.state == InstanceState.READY:
            self._network.send_keepers(InstanceUpdate((change,)))

    async def _confirm(self, leaving: Instance) -> bool:
        """Returns whether a majority of the keepers has a leaving instance on disk within CONFIRM_TIMEOUT_S.

        Every connected router receives the state from at least one keeper of any majority. A keeper that
        reaches no majority must not acknowledge: the worker then sends `draining` again, to another keeper.
        """
        key = leaving.id, leaving.state
        if key in self._confirmed:
            return True
        self._last_number += 1
        number = self._last_number
        confirmation = self._unconfirmed[number] = _Confirmation(self._loop.create_future())
        self._save_then(lambda: self._record_confirmation(number, self._network.address))
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await self._resend_until_confirmed(
                    NumberedUpdate(number, self._incarnation, (leaving,)), confirmation
                )
        except TimeoutError:
            return False
        finally:
            del self._unconfirmed[number]
        self._confirmed[key] = None
        while len(self._confirmed) > MAX_CONFIRMED:
            del self._confirmed[next(iter(self._confirmed))]
        return True

    async def _resend_until_confirmed(self, message: NumberedUpdate, confirmation: _Confirmation) -> None:
        while not confirmation.done.done():
            self._network.send_keepers(message)
            await asyncio.wait((confirmation.done,), timeout=CONFIRM_RETRY_S)

    def _record_confirmation(self, number: int, address: str) -> None:
        """Records that the keeper at an address has the message of this number on disk."""
        confirmation = self._unconfirmed.get(number)
        if confirmation is None or confirmation.done.done():
            return
        confirmation.addresses.add(address)
        if self._reaches_quorum(confirmation.addresses):
            confirmation.done.set_result(None)

    def _save_then(self, on_saved: Callable[[], None]) -> None:
        """Saves the registry and then calls `on_saved` on the event loop.

        Does nothing on a keeper without a disk, since that keeper has no vote.
        """
        if self._store is None:
            return
        self._has_unsaved_changes = False

        def on_loop() -> None:
            with contextlib.suppress(RuntimeError):  # the event loop is closed
                self._loop.call_soon_threadsafe(on_saved)

        self._store.save(self.registry.snapshot(), on_loop)

    def on_keeper_message(self, sender: str, message: object) -> None:
        """Processes another keeper's message about workers; `sender` is its address."""
        if isinstance(message, NumberedUpdate):
            self.merge(message.instances)
            acknowledgement = UpdateReceived(message.number, message.incarnation)
            self._save_then(lambda: self._network.send(sender, acknowledgement))
        elif isinstance(message, UpdateReceived):
            if message.incarnation == self._incarnation:
                self._record_confirmation(message.number, sender)
        elif isinstance(message, InstanceUpdate):
            self.merge(message.instances)
        elif isinstance(message, InstanceSnapshot):
            self.merge(message.instances)
            self._complete = self._complete or message.complete
        elif isinstance(message, InstanceHeartbeats):
            self._apply_remote_heartbeats(message)

    def _apply_remote_heartbeats(self, message: InstanceHeartbeats) -> None:
        """Marks instances as alive whose heartbeats another keeper received."""
        now = self._loop.time()
        for instance, sequence in message.sequences:
            registered = self.registry.instances.get(instance)
            if registered is not None and sequence >= registered.sequence:
                self.registry.last_heartbeat_at[instance] = now
            revived = self.registry.revive(instance, sequence, now)
            if revived is not None:
                self._announce(revived)

    def merge(self, instances: tuple[Instance, ...]) -> None:
        """Merges instances received from elsewhere, and publishes those that changed."""
        now = self._loop.time()
        merged = [self.registry.merge(instance, now) for instance in instances]
        changes = tuple(instance for instance in merged if instance is not None)
        if changes:
            self._has_unsaved_changes = True
            self._publish(changes)

    def snapshot(self) -> InstanceSnapshot:
        """Returns all known instances, for a router or keeper that connects."""
        return InstanceSnapshot(tuple(self.registry.snapshot()), self.complete)

    def tick(self, now: float) -> None:
        """Reports received heartbeats to the keepers once per HEARTBEAT_REPORT_INTERVAL_S.

        Also saves unsaved changes, and drops instances that sent no heartbeat for FORGET_AFTER_S.
        """
        if now < self._next_report_at:
            return
        self._next_report_at = now + HEARTBEAT_REPORT_INTERVAL_S
        self._network.send_keepers(
            InstanceHeartbeats(tuple(self._heartbeat_sequences.items()), self._network.router_count)
        )
        self._heartbeat_sequences = {}
        if self._has_unsaved_changes and self._store is not None:
            self._has_unsaved_changes = False
            self._store.save(self.registry.snapshot())
        self._expire_silent(now)

    def _expire_silent(self, now: float) -> None:
        """Drops the instances that were silent for FORGET_AFTER_S while this keeper could hear them."""
        elapsed, self._last_report_at = now - self._last_report_at, now
        if elapsed > MAX_REPORT_GAP_S or not self._in_touch(now):
            self.registry.postpone_expiry(elapsed)
        for instance in self.registry.expire(self.registry.silent(now, FORGET_AFTER_S)):
            self._has_unsaved_changes = True
            log.info("worker expired", extra={"instance": instance.id, "backend": instance.backend})
