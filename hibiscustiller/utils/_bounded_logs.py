"""A non-blocking, rate-limited log handler.

A log reader that stops, or a flood of refused requests, must not delay the requests
that are served. The handler drops lines instead and logs how many it dropped.
"""

from __future__ import annotations

import logging
import select
import time
from collections.abc import Callable
from typing import TextIO

# A router serves some tens of requests per second and logs about two lines for each.
_MAX_LINES_PER_SECOND = 300.0
_BURST_LINES = 600.0
# A pipe that polls as writable accepts at least this many bytes without blocking.
_MAX_LINE_BYTES = 4096


class BoundedHandler(logging.Handler):
    """Log handler that drops records instead of blocking on its stream.

    A token bucket limits the rate of records below the level of warnings.

    :param stream: output stream; it must have a file descriptor.
    :param monotonic: returns the time of a monotonic clock, in seconds.
    """

    def __init__(
        self, stream: TextIO, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self._stream = stream
        self._monotonic = monotonic
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)
        self._available_lines = _BURST_LINES
        self._refilled_at = monotonic()
        self._dropped_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        self._refill()
        # Warnings are few and matter most, so the rate limit exempts them.
        exceeds_rate = self._available_lines < 1 and record.levelno < logging.WARNING
        if exceeds_rate or not self._can_write():
            self._dropped_count += 1
            return
        self._available_lines -= 1
        if self._dropped_count:
            self._write(f"event=lines_left_out count={self._dropped_count}")
            self._dropped_count = 0
            if not self._can_write():
                self._dropped_count = 1
                return
        self._write(self.format(record))

    def _refill(self) -> None:
        now = self._monotonic()
        gained = (now - self._refilled_at) * _MAX_LINES_PER_SECOND
        self._available_lines = min(_BURST_LINES, self._available_lines + gained)
        self._refilled_at = now

    def _can_write(self) -> bool:
        return any(flags & select.POLLOUT for _, flags in self._poll.poll(0))

    def _write(self, line: str) -> None:
        try:
            self._stream.write(line[: _MAX_LINE_BYTES - 1] + "\n")
            self._stream.flush()
        except OSError:
            # The reader has closed the stream; there is no other place to report it.
            self._dropped_count += 1
