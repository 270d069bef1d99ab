"""Clocks, passed to every part that reads or waits for time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import curio


class Clock(Protocol):
    """Source of time and of waiting."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        ...

    def monotonic(self) -> timedelta:
        """Return the time since a fixed, arbitrary moment; it never falls."""
        ...

    async def sleep(self, delay: timedelta) -> None:
        """Suspend the calling task for ``delay``."""
        ...


class SystemClock:
    """The clock of the operating system and of curio."""

    def now(self) -> datetime:
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        return timedelta(seconds=time.monotonic())

    async def sleep(self, delay: timedelta) -> None:
        await curio.sleep(max(0.0, delay.total_seconds()))


class ManualClock:
    """A clock that moves only when told to, for tests.

    :param start: the first wall-clock time, in UTC.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta(0)

    def now(self) -> datetime:
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        return self._elapsed

    async def sleep(self, delay: timedelta) -> None:
        """Advance the clock by ``delay`` and let other tasks run once."""
        self.advance(delay)
        await curio.sleep(0)

    def advance(self, delay: timedelta) -> None:
        """Move the clock forward.

        :param delay: how far; negative delays are refused.
        :raises ValueError: if ``delay`` is negative.
        """
        if delay < timedelta(0):
            raise ValueError(f"delay must not be negative, got {delay}")
        self._elapsed += delay
