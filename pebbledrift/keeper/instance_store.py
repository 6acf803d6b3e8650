"""Stores the worker instances across restarts, so that routers need not wait for the next heartbeats.

The loaded instances are only a hint: heartbeats override them, and a request names its target instance.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable
from pathlib import Path

from pebbledrift.chain.slots import SlotPair
from pebbledrift.control.registry import Instance
from pebbledrift.overlay.messages import InstanceSnapshot

log = logging.getLogger(__name__)

MAX_WAITING_CALLBACKS = 512  # the oldest is dropped first
SavedCallback = Callable[[], None]


class InstanceStore:
    """Saves the newest snapshot in a separate thread; a slow disk skips intermediate snapshots."""

    def __init__(self, directory: Path) -> None:
        self._slots = SlotPair(directory, "instances")
        self._pending_snapshot: InstanceSnapshot | None = None
        self._waiting_callbacks: list[SavedCallback] = []  # called once the pending snapshot is on disk
        self._condition = threading.Condition()
        self._thread = threading.Thread(target=self._run, name="instances", daemon=True)

    def load(self) -> tuple[Instance, ...]:
        """Returns the last saved instances, none if they are unreadable, and starts the writing thread."""
        try:
            stored = self._slots.newest()
        except OSError as error:
            log.warning("reading the saved worker instances failed", extra={"error": str(error)})
            stored = None
        self._thread.start()
        return tuple(stored.instances) if isinstance(stored, InstanceSnapshot) else ()

    def save(self, instances: Iterable[Instance], on_saved: SavedCallback | None = None) -> None:
        """Queues a snapshot; it replaces one that is not written yet.

        `on_saved` is called in the writing thread once this snapshot or a later one is synced, and never if
        writing fails.
        """
        with self._condition:
            self._pending_snapshot = InstanceSnapshot(tuple(instances), True)
            if on_saved is not None:
                self._waiting_callbacks.append(on_saved)
                del self._waiting_callbacks[:-MAX_WAITING_CALLBACKS]
            self._condition.notify()

    def _run(self) -> None:
        while True:
            with self._condition:
                while self._pending_snapshot is None:
                    self._condition.wait()
                snapshot, self._pending_snapshot = self._pending_snapshot, None
                callbacks, self._waiting_callbacks = self._waiting_callbacks, []
            try:
                self._slots.write(snapshot)
            # the thread goes on after any error: without it no worker that leaves is confirmed here
            except Exception as error:
                log.warning("saving the worker instances failed", extra={"error": repr(error)})
                continue
            for on_saved in callbacks:
                on_saved()
