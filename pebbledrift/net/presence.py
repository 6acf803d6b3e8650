"""Whether the other side of a connection is still there, asked of the kernel and not of what was read."""

from __future__ import annotations

import select
import socket

_WATCHED = select.POLLIN | select.POLLRDHUP
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def peer_has_closed(connection: socket.socket) -> bool:
    """Whether the peer has closed or reset, also where the news stand behind bytes that nobody has read."""
    descriptor = connection.fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, _WATCHED)
    try:
        found = poll.poll(0)
    except OSError:
        return False  # not known: the loop will hear of it
    if not found:
        return False
    events = found[0][1]
    if events & _ENDED:
        return True
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
