"""Writes to the disk in a separate thread, so that the event loop never waits for it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import queue
import threading
import time
from collections.abc import Callable
from typing import TypeVar

from pebbledrift.chain.messages import Image
from pebbledrift.chain.outbox import Write
from pebbledrift.chain.storage import Storage
from pebbledrift.cluster.errors import StorageError

log = logging.getLogger(__name__)

Argument = TypeVar("Argument")
RETRY_INTERVAL_S = 0.2  # between attempts while writing to the disk fails


class DiskWriter:
    """Writes records in order and reports writes once they are synced; retries failed writes forever.

    On the event loop, `synced` is called with the number of the last write that is on disk, and `failed` with
    the exception if the thread ends by one.
    """

    def __init__(
        self,
        storage: Storage,
        synced: Callable[[int], None],
        failed: Callable[[BaseException], None],
    ) -> None:
        self._storage = storage
        self._synced, self._failed = synced, failed
        self._loop = asyncio.get_running_loop()
        self._queue: queue.SimpleQueue[Write | Image | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._image_requested = False
        self._thread.start()

    def enqueue_write(self, write: Write) -> None:
        """Queues a write."""
        self._queue.put(write)

    def should_write_image(self) -> bool:
        """Returns True if a state image should be written to a slot, and then False until that is done."""
        if self._image_requested or not self._storage.needs_slot:
            return False
        self._image_requested = True
        return True

    def enqueue_image(self, image: Image) -> None:
        """Queues a state image. It must contain all writes queued before it; later ones follow it."""
        self._queue.put(image)

    def _run(self) -> None:
        try:
            self._process_queue()
        except Exception as error:
            self._call_on_loop(self._failed, error)

    def _process_queue(self) -> None:
        while (item := self._queue.get()) is not None:
            batch = [item]
            while not isinstance(batch[-1], Image):
                try:
                    next_item = self._queue.get_nowait()
                except queue.Empty:
                    break
                if next_item is None:
                    self._queue.put(None)
                    break
                batch.append(next_item)
            self._process_batch(batch)

    def _process_batch(self, batch: list[Write | Image]) -> None:
        writes = [item for item in batch if isinstance(item, Write)]
        records = [record for write in writes for record in write.records]
        if records:
            self._retry_until_done(lambda: self._storage.append(records))
        if writes:
            self._call_on_loop(self._synced, writes[-1].number)
        if isinstance(batch[-1], Image):
            image = batch[-1]
            try:
                self._storage.write_slot(image)
            except StorageError as error:
                log.warning("writing the state image failed", extra={"error": str(error)})
            self._image_requested = False

    def _retry_until_done(self, action: Callable[[], None]) -> None:
        while True:
            try:
                action()
                return
            except StorageError as error:
                log.warning("disk write failed, will retry", extra={"error": str(error)})
                time.sleep(RETRY_INTERVAL_S)

    def _call_on_loop(self, callback: Callable[[Argument], None], argument: Argument) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop is closed
            self._loop.call_soon_threadsafe(callback, argument)
