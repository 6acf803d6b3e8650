"""Points at which a test has the process fail, by name: what happens at a crash there can be told in advance.

PEBBLEDRIFT_FAULT="NAME:N" kills the process by SIGKILL when it comes to that point for the N-th time. Without
the variable a point costs a look at None.
"""

from __future__ import annotations

import os
import signal

_NAME, _, _NUMBER = os.environ.get("PEBBLEDRIFT_FAULT", "").partition(":")
_left: int | None = int(_NUMBER) if _NAME and _NUMBER.isdigit() else None


def point(name: str) -> None:
    """The program is here."""
    global _left
    if _left is not None and name == _NAME:
        _left -= 1
        if _left <= 0:
            os.kill(os.getpid(), signal.SIGKILL)
