"""The state of the node. The fronts, the readiness check and the operators' STATUS command read it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class State(Enum):
    """The lifecycle state of the node."""

    STARTING = "starting"  # the front does not accept clients yet, or discovery has not delivered the list
    READY = "ready"
    PAUSED = "paused"  # drained by an operator: requests are still served, but the node reports not ready
    STOPPING = "stopping"  # shutting down
    REPLACED = "succeeded"  # superseded by a newer process


class NodeStates:
    """The states requested of the node. Whether it can serve is asked of the pool at each read."""

    def __init__(self, can_serve: Callable[[], bool]) -> None:
        self.can_serve = can_serve
        self.serving = False  # clients are accepted
        self.paused = False
        self.stopping = False
        self.replaced = False
        self.listeners: list[Callable[[], None]] = []  # called on pause, resume, stop and replacement

    @property
    def state(self) -> State:
        """The current state. If several apply, the one closest to the end of the process wins."""
        if self.replaced:
            return State.REPLACED
        if self.stopping:
            return State.STOPPING
        if self.paused:
            return State.PAUSED
        return State.READY if self.serving and self.can_serve() else State.STARTING

    @property
    def ready(self) -> bool:
        """Whether the front may send clients to the node's address."""
        # During an upgrade both processes share the address: the replaced one must not report not-ready
        # on behalf of the other.
        return self.state is State.READY or (self.replaced and not self.paused)

    def pause(self, paused: bool) -> None:
        """Pauses or resumes the node. Repeated calls have no effect."""
        if self.paused is not paused:
            self.paused = paused
            self._notify()

    def stop(self) -> None:
        """Marks the node as shutting down."""
        if not self.stopping:
            self.stopping = True
            self._notify()

    def set_replaced(self, replaced: bool) -> None:
        """Records that a newer process serves, or that it has died and this process serves again."""
        if self.replaced is not replaced:
            self.replaced = replaced
            self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()
