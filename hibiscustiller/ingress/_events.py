"""Splits a stream of server-sent events into whole events, byte for byte."""

from __future__ import annotations

import re
from dataclasses import dataclass

_EVENT_END_PATTERN = re.compile(rb"\r?\n\r?\n")
_ID_FIELD_PATTERN = re.compile(rb"(?:^|\n)id: ?(\d+)")
# An event of a few tokens has some hundred bytes.
_MAX_EVENT_BYTES = 1 << 20


@dataclass(frozen=True)
class Event:
    """One event.

    :param id: its number; None if it has none.
    :param data: its bytes with the blank line that ends it.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Collects bytes until they make a whole event."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        :raises ValueError: if an event does not end.
        """
        buffer = self._rest + data
        events = []
        start = 0
        for match in _EVENT_END_PATTERN.finditer(buffer):
            event = buffer[start : match.end()]
            found = _ID_FIELD_PATTERN.search(event)
            events.append(Event(int(found[1]) if found else None, event))
            start = match.end()
        self._rest = buffer[start:]
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {_MAX_EVENT_BYTES} bytes")
        return events
