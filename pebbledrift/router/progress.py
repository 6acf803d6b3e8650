"""How far a client's request has come in this router."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum

from pebbledrift.router.admitted import Admitted


class Progress(Enum):
    """Where a request that has no final response is. The values are those of the log."""

    AWAITING_QUOTA = "awaiting_quota"  # a keeper has not answered yet whether its tenant has tokens left
    AWAITING_WORKER = "awaiting_worker"  # no worker has a free slot
    CONNECTING = "connecting"  # a connection to its worker is being opened
    AT_WORKER = "at_worker"  # it was written to a worker, which may be running it
    AWAITING_RETRY = "awaiting_retry"  # it may have run, and waits for another worker
    ANSWERING = "answering"  # a part of its response was sent to the client

    @property
    def has_not_run(self) -> bool:
        """Whether no worker has received the request, so that it may be refused."""
        return self in (Progress.AWAITING_QUOTA, Progress.AWAITING_WORKER, Progress.CONNECTING)


class OpenRequest(ABC):
    """A request of a client that has no final response yet."""

    admitted: Admitted

    @property
    @abstractmethod
    def progress(self) -> Progress:
        """How far the request has come."""

    @abstractmethod
    def end_for_shutdown(self) -> None:
        """Gives the request its final response because this process exits."""
