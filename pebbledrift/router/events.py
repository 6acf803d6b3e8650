"""Server-sent events: splits a stream into complete events and tracks the id of the last one."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_EVENT_DATA = re.compile(rb"^data", re.MULTILINE)
_NUMBER = re.compile(rb"[0-9]{1,18}\Z")  # ids beyond 18 digits are compared with no other
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLong(ValueError):
    """An event exceeds MAX_EVENT_BYTES without being complete."""


class EventSplitter:
    """Splits the stream of one attempt at event boundaries and buffers an incomplete event.

    Every attempt has its own splitter, so that an incomplete event is never joined with bytes of another
    attempt. `resume_after` is the id of the last event that the client received from an earlier attempt;
    events up to it are dropped.
    """

    def __init__(self, resume_after: bytes | None = None) -> None:
        self.last_id = resume_after
        self.resumable = True  # whether another attempt can continue right behind the last event
        self._incomplete = b""
        self._skip_through_id: int | None = None
        if resume_after is not None and _NUMBER.match(resume_after):
            self._skip_through_id = int(resume_after)

    def feed(self, data: bytes) -> bytes:
        """Returns the events that `data` completes; raises EventTooLong if an event is too long."""
        text = self._incomplete + data
        events = []
        start = 0
        for boundary in _EVENT_END.finditer(text):
            events.append(text[start : boundary.end()])
            start = boundary.end()
        if len(text) - start > MAX_EVENT_BYTES:
            raise EventTooLong(f"event exceeds {MAX_EVENT_BYTES} bytes")
        self._incomplete = text[start:]
        return b"".join([event for event in events if self._accept(event)])

    def _accept(self, event: bytes) -> bool:
        """Tracks the position in the stream; False if the client has received the event already."""
        match = _EVENT_ID.search(event)
        event_id = match[1] if match else b""
        if self._skip_through_id is not None and _NUMBER.match(event_id):
            if int(event_id) <= self._skip_through_id:
                return False
            self._skip_through_id = None
        if event_id:
            self.last_id, self.resumable = event_id, True
        elif _EVENT_DATA.search(event):
            self.resumable = False
        return True

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._incomplete)

    @property
    def buffered_bytes(self) -> int:
        """The size of the incomplete event that is buffered."""
        return len(self._incomplete)
