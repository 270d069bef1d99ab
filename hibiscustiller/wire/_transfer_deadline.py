"""The deadline of an answer whose size is not known in advance.

A constant time for the whole answer fails every reader at once when many read a large
value over one link: each gets a part of it, drops that, and reads again. The deadline
moves with the bytes instead. This module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class TransferLimits:
    """Bounds on the time of the body of an answer.

    :param pause: longest wait for the next bytes.
    :param min_bytes_per_s: rate that the body must keep up on average, apart from one
        pause; without it a byte now and then would never end.
    """

    pause: timedelta
    min_bytes_per_s: float


class TransferDeadline:
    """Until when the next bytes of a body must arrive.

    :param began_at: when the body began, on the monotonic clock.
    """

    def __init__(self, limits: TransferLimits, began_at: timedelta) -> None:
        self._limits = limits
        self._began_at = self._last_at = began_at
        self._received_bytes = 0

    def record(self, now: timedelta, received_bytes: int) -> None:
        """Record that bytes of the body have arrived."""
        self._last_at = now
        self._received_bytes += received_bytes

    @property
    def at(self) -> timedelta:
        """The deadline, on the monotonic clock."""
        earned = timedelta(seconds=self._received_bytes / self._limits.min_bytes_per_s)
        latest = self._began_at + self._limits.pause + earned
        return min(self._last_at + self._limits.pause, latest)
