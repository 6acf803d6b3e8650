"""Whether the other side of a connection is still there, asked of the kernel and not of what was read."""

from __future__ import annotations

import select
from typing import Protocol

_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


class Descriptor(Protocol):
    """A socket, or what asyncio's transports give out for theirs, which cannot be read from."""

    def fileno(self) -> int:
        """The file descriptor, or -1 once the socket is closed."""


def peer_has_closed(connection: Descriptor) -> bool:
    """Whether the peer has closed or reset, also where the news stand behind bytes that nobody has read."""
    return bool(_poll(connection, select.POLLRDHUP) & _ENDED)


def has_unread_input(connection: Descriptor) -> bool:
    """Whether bytes that nobody has read wait in the kernel, or the peer has closed or reset."""
    return bool(_poll(connection, select.POLLIN | select.POLLRDHUP))


def _poll(connection: Descriptor, watched: int) -> int:
    """The events that are set now; none if they cannot be known."""
    descriptor = connection.fileno()
    if descriptor < 0:
        return select.POLLNVAL
    poll = select.poll()
    poll.register(descriptor, watched)
    try:
        found = poll.poll(0)
    except OSError:
        return 0  # the event loop will notice
    return found[0][1] if found else 0
