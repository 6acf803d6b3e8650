"""What the supervisor hands a core at its start."""

from __future__ import annotations

from dataclasses import dataclass

from pebbledrift.config import Config


@dataclass(frozen=True)
class Start:
    """What the supervisor tells a core at its start. Descriptors are the core's own copies."""

    core: int
    config: Config  # of the node
    path: str | None  # of the configuration file, to read it again
    life: int
    offset: float  # of the node's clock
    memory: int
    link: int
    reading: int  # the mailbox: its own end, and everybody's other ends
    writing: tuple[int, ...]
    listener: int | None  # where cores accept themselves
    parent: int
