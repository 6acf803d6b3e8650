"""The thread that waits on the disk in the place of the event loop."""

from __future__ import annotations

import asyncio
import logging
import queue
import threading
import time
from collections.abc import Callable

from pebbledrift.chain.messages import Image
from pebbledrift.chain.outbox import Write
from pebbledrift.chain.storage import Storage
from pebbledrift.cluster.errors import StorageError

log = logging.getLogger(__name__)

RETRY_S = 0.2  # between tries to write while the disk refuses


class DiskWriter:
    """Writes in order and reports each write once it is synced. A disk that refuses is tried again."""

    def __init__(self, storage: Storage, synced: Callable[[int], None]) -> None:
        self._storage = storage
        self._synced = synced
        self._loop = asyncio.get_running_loop()
        self._queue: queue.SimpleQueue[Write | Image | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._slot_asked = False
        self._thread.start()

    def put(self, write: Write) -> None:
        """Have a write done."""
        self._queue.put(write)

    def wants_image(self) -> bool:
        """Whether a slot should be written; answers so once until it is."""
        if self._slot_asked or not self._storage.needs_slot:
            return False
        self._slot_asked = True
        return True

    def put_image(self, image: Image) -> None:
        """Have a slot written. All writes put before are in the image; those put later come behind it."""
        self._queue.put(image)

    def _run(self) -> None:
        while (item := self._queue.get()) is not None:
            batch = [item]
            while not isinstance(batch[-1], Image):
                try:
                    following = self._queue.get_nowait()
                except queue.Empty:
                    break
                if following is None:
                    self._queue.put(None)
                    break
                batch.append(following)
            self._carry_out(batch)

    def _carry_out(self, batch: list[Write | Image]) -> None:
        writes = [item for item in batch if isinstance(item, Write)]
        records = [record for write in writes for record in write.records]
        if records:
            self._until_done(lambda: self._storage.append(records))
        if writes:
            self._report(writes[-1].number)
        if isinstance(batch[-1], Image):
            image = batch[-1]
            try:
                self._storage.write_slot(image)
            except StorageError as error:
                log.warning("slot not written", extra={"error": str(error)})
            self._slot_asked = False

    def _until_done(self, action: Callable[[], None]) -> None:
        while True:
            try:
                action()
                return
            except StorageError as error:
                log.warning("disk refuses", extra={"error": str(error)})
                time.sleep(RETRY_S)

    def _report(self, number: int) -> None:
        try:
            self._loop.call_soon_threadsafe(self._synced, number)
        except RuntimeError:
            return  # the loop has ended
