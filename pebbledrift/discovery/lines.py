"""The objects of a watch: one a line, or, where it is indented, over several. No I/O."""

from __future__ import annotations

import json
from typing import Any


class BadObject(ValueError):
    """What came is no object, or one that is too large."""


class ObjectLines:
    """Puts the lines of a watch together to objects.

    An object that is indented begins with a line of an opening bracket alone, and ends with the line of its
    closing one, as far in. Nothing is parsed before that line: a list of thousands of workers is read once.
    """

    def __init__(self, bytes_most: int) -> None:
        self.bytes_most = bytes_most
        self._lines: list[bytes] = []
        self._size = 0
        self._last = b""  # the line that ends the object

    @property
    def inside(self) -> bool:
        """Whether an object has begun and not ended."""
        return bool(self._lines)

    def take(self, line: bytes) -> dict[str, Any] | None:
        """The object that ends with this line, if one does; BadObject for what is none."""
        text = line.strip()
        if not self._lines:
            if text != b"{":
                return parse_object(text) if text else None
            self._last = line.rstrip().replace(b"{", b"}")
        self._lines.append(line)
        self._size += len(line)
        if self._size > self.bytes_most:
            raise BadObject(f"an object of over {self.bytes_most} bytes")
        if line.rstrip() != self._last:
            return None
        whole = b"\n".join(self._lines)
        self._lines, self._size = [], 0
        return parse_object(whole)


def parse_object(text: bytes) -> dict[str, Any]:
    """One object of JSON; BadObject for what is none."""
    try:
        found = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise BadObject(str(error)) from error
    if not isinstance(found, dict):
        raise BadObject("not an object")
    return found
