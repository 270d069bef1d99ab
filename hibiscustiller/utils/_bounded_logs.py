"""A log handler that never waits and whose volume is bounded.

A reader that stops, or a flood of refused requests, must not delay the requests that
are served. What is left out is counted and told in a line of its own.
"""

from __future__ import annotations

import logging
import select
import time
from collections.abc import Callable
from typing import TextIO

# A router takes some tens of requests a second and writes about two lines for each.
_LINES_PER_SECOND = 300.0
_BURST_LINES = 600.0
# A pipe that can be written to takes at least this many bytes without waiting.
_MAX_LINE_BYTES = 4096


class BoundedHandler(logging.Handler):
    """Writes lines to a stream if that needs no waiting.

    :param stream: where lines go; it has a file descriptor.
    :param monotonic: seconds on a clock that does not go back.
    """

    def __init__(
        self, stream: TextIO, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self._stream = stream
        self._monotonic = monotonic
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)
        self._allowance = _BURST_LINES
        self._filled_at = monotonic()
        self._left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as left out."""
        self._refill()
        # Warnings are few and matter most, so only the pace of others is bounded.
        is_over = self._allowance < 1 and record.levelno < logging.WARNING
        if is_over or not self._can_write():
            self._left_out += 1
            return
        self._allowance -= 1
        if self._left_out:
            self._write(f"event=lines_left_out count={self._left_out}")
            self._left_out = 0
            if not self._can_write():
                self._left_out = 1
                return
        self._write(self.format(record))

    def _refill(self) -> None:
        now = self._monotonic()
        gained = (now - self._filled_at) * _LINES_PER_SECOND
        self._allowance = min(_BURST_LINES, self._allowance + gained)
        self._filled_at = now

    def _can_write(self) -> bool:
        return any(flags & select.POLLOUT for _, flags in self._poll.poll(0))

    def _write(self, line: str) -> None:
        try:
            self._stream.write(line[: _MAX_LINE_BYTES - 1] + "\n")
            self._stream.flush()
        except OSError:
            # Nobody reads any more; there is no other place to tell it.
            self._left_out += 1
