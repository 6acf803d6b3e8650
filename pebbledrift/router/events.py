"""Server-sent events: splits a stream into complete events and tracks the id of the last one."""

from __future__ import annotations

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
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
        self._incomplete = b""
        self._skip_through_id: int | None = None
        if resume_after is not None and resume_after.isdigit():
            self._skip_through_id = int(resume_after)

    def feed(self, data: bytes) -> bytes:
        """Returns the events that `data` completes; raises EventTooLong if an event is too long."""
        text = self._incomplete + data
        end = 0
        for boundary in _EVENT_END.finditer(text):
            end = boundary.end()
        if not end:
            if len(text) > MAX_EVENT_BYTES:
                raise EventTooLong(f"event exceeds {MAX_EVENT_BYTES} bytes")
            self._incomplete = text
            return b""
        events, self._incomplete = text[:end], text[end:]
        return self._process_events(events)

    def _process_events(self, events: bytes) -> bytes:
        """Tracks event ids, and drops events that the client has received from an earlier attempt."""
        if self._skip_through_id is not None:
            events = self._without_duplicates(events)
        ids = _EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1]
        return events

    def _without_duplicates(self, events: bytes) -> bytes:
        kept = []
        start = 0
        for boundary in _EVENT_END.finditer(events):
            event = events[start : boundary.end()]
            start = boundary.end()
            event_id = _EVENT_ID.search(event)
            if event_id and event_id[1].isdigit() and self._skip_through_id is not None:
                if int(event_id[1]) <= self._skip_through_id:
                    continue
                self._skip_through_id = None
            kept.append(event)
        return b"".join(kept)

    @property
    def partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._incomplete)

    @property
    def buffered_bytes(self) -> int:
        """The size of the incomplete event that is buffered."""
        return len(self._incomplete)
