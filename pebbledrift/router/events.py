"""Server-sent events: whole ones cut from a stream, with the id of the last."""

from __future__ import annotations

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_MOST = 1024 * 1024


class EventTooLong(ValueError):
    """An event without an end."""


class EventCutter:
    """Holds back what is not yet a whole event."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: bytes | None = None
        self._skip_until: int | None = None

    def feed(self, data: bytes) -> bytes:
        """The whole events that are complete with these bytes."""
        text = self._rest + data
        end = 0
        for found in _END.finditer(text):
            end = found.end()
        if not end:
            if len(text) > EVENT_MOST:
                raise EventTooLong(f"event of more than {EVENT_MOST} bytes")
            self._rest = text
            return b""
        whole, self._rest = text[:end], text[end:]
        return self._follow(whole)

    def _follow(self, whole: bytes) -> bytes:
        """Note the ids, and drop events that the client has had from an earlier run."""
        if self._skip_until is not None:
            whole = self._without_repeats(whole)
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def _without_repeats(self, whole: bytes) -> bytes:
        kept = []
        start = 0
        for found in _END.finditer(whole):
            event = whole[start : found.end()]
            start = found.end()
            named = _ID.search(event)
            if named and named[1].isdigit() and self._skip_until is not None:
                if int(named[1]) <= self._skip_until:
                    continue
                self._skip_until = None
            kept.append(event)
        return b"".join(kept)

    @property
    def partial(self) -> bool:
        """Whether an event has begun and is not whole."""
        return bool(self._rest)

    def resume(self) -> None:
        """The stream goes on from another run, behind the last event that was whole."""
        self._rest = b""
        if self.last_id is not None and self.last_id.isdigit():
            self._skip_until = int(self.last_id)
