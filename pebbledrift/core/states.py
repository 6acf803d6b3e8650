"""The node's states: one owner, asked by the fronts, by readiness and by the operators' STATUS."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class State(Enum):
    """What the node is doing."""

    STARTING = "starting"  # the front is not served, or discovery has not told the list yet
    READY = "ready"
    PAUSED = "paused"  # emptied by an operator: serves what still comes, and is out of the front's list
    STOPPING = "stopping"  # told to end
    SUCCEEDED = "succeeded"  # a newer process serves in its place


class NodeStates:
    """What was asked of the node; whether it could serve is asked of the pool each time."""

    def __init__(self, could_serve: Callable[[], bool]) -> None:
        self.could_serve = could_serve
        self.serving = False  # clients are accepted
        self.paused = False
        self.stopping = False
        self.succeeded = False
        self.changed: list[Callable[[], None]] = []  # told of a pause, its end, a stop, a succession

    @property
    def state(self) -> State:
        """The state now; the one nearest to the node's end counts."""
        if self.succeeded:
            return State.SUCCEEDED
        if self.stopping:
            return State.STOPPING
        if self.paused:
            return State.PAUSED
        return State.READY if self.serving and self.could_serve() else State.STARTING

    @property
    def ready(self) -> bool:
        """Whether the front may send clients to the node's address."""
        # guards the address at an upgrade: one that is succeeded must not say no for the other
        return self.state is State.READY or (self.succeeded and not self.paused)

    def pause(self, paused: bool) -> None:
        """Empty the node, or take clients again; twice is once."""
        if self.paused is not paused:
            self.paused = paused
            self._tell()

    def stop(self) -> None:
        """The node is to end."""
        if not self.stopping:
            self.stopping = True
            self._tell()

    def succeed(self, succeeded: bool) -> None:
        """A newer process serves, or has died and left the place to this one again."""
        if self.succeeded is not succeeded:
            self.succeeded = succeeded
            self._tell()

    def _tell(self) -> None:
        for told in self.changed:
            told()
