"""Splitting of a byte stream of server-sent events into complete events."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from hibiscustiller.wire import BodyHold

_EVENT_END_PATTERN = re.compile(rb"\r?\n\r?\n")
_MAX_EVENT_END_BYTES = len(b"\r\n\r\n")
_ID_FIELD_PATTERN = re.compile(rb"(?:^|\n)id: ?(\d+)")
# Far above the few hundred bytes of an event with a few tokens.
_MAX_EVENT_BYTES = 1 << 20


@dataclass(frozen=True)
class Event:
    """One server-sent event.

    :param id: number in its id field; None if it has no such field.
    :param data: unchanged bytes of the event, including the blank line at its end.
    """

    id: int | None
    data: bytes


def select_new_events(
    events: Iterable[Event], last_id: int | None
) -> tuple[list[Event], int | None]:
    """Drop events that the caller already has.

    :param last_id: id of the last event that the caller has; None for no event.
    :returns: the new events, and the id of the last event with them.
    :raises ValueError: if the ids are not consecutive.
    """
    new = []
    for event in events:
        if event.id is not None:
            if last_id is not None and event.id <= last_id:
                continue
            if last_id is not None and event.id != last_id + 1:
                raise ValueError(f"event {event.id} follows {last_id}")
            last_id = event.id
        new.append(event)
    return new, last_id


class EventSplitter:
    """Incremental splitter, which buffers bytes until an event is complete.

    :param hold: the memory of incomplete events, to be released by the caller.
    """

    def __init__(self, hold: BodyHold) -> None:
        self._hold = hold
        self._buffer = bytearray()

    @property
    def rest(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        :raises ValueError: if an incomplete event exceeds the maximum size.
        :raises TransportError: if there is no memory for an incomplete event.
        """
        if self._buffer:
            # Only the new bytes are searched, and those before them that may be part of
            # an event end, or the time grows with the square of an event's length.
            search_from = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
            self._buffer += data
            if not _EVENT_END_PATTERN.search(self._buffer, search_from):
                self._hold_rest()
                return []
            data = bytes(self._buffer)
        events = []
        start = 0
        for match in _EVENT_END_PATTERN.finditer(data):
            event = data[start : match.end()]
            found = _ID_FIELD_PATTERN.search(event)
            events.append(Event(int(found[1]) if found else None, event))
            start = match.end()
        self._buffer = bytearray(data[start:])
        self._hold_rest()
        return events

    def _hold_rest(self) -> None:
        """Count the bytes of the incomplete event.

        :raises ValueError: if they exceed the maximum size.
        :raises TransportError: if there is no memory for them.
        """
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {_MAX_EVENT_BYTES} bytes")
        self._hold.resize(len(self._buffer))
