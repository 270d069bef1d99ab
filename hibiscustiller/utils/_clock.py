"""Clocks, injected into all code that reads the time or sleeps."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import curio


class Clock(Protocol):
    """Interface for reading the time and sleeping."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        ...

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary fixed moment; it never decreases."""
        ...

    def boot_time(self) -> timedelta:
        """Return the time since the host's start, including its suspensions."""
        ...

    async def sleep(self, delay: timedelta) -> None:
        """Suspend the calling task for ``delay``."""
        ...


class SystemClock:
    """Clock of the operating system; sleeps in the curio kernel."""

    def now(self) -> datetime:
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        return timedelta(seconds=time.monotonic())

    def boot_time(self) -> timedelta:
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, delay: timedelta) -> None:
        await curio.sleep(max(0.0, delay.total_seconds()))


class ManualClock:
    """Clock for tests that changes only by explicit calls.

    :param start: initial wall-clock time, in UTC.
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta(0)

    def now(self) -> datetime:
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        return self._elapsed

    def boot_time(self) -> timedelta:
        return self._elapsed

    async def sleep(self, delay: timedelta) -> None:
        """Advance the clock by ``delay`` and yield once to other tasks."""
        self.advance(delay)
        await curio.sleep(0)

    def advance(self, delay: timedelta) -> None:
        """Advance the clock.

        :param delay: time to add; must not be negative.
        :raises ValueError: if ``delay`` is negative.
        """
        if delay < timedelta(0):
            raise ValueError(f"delay must not be negative, got {delay}")
        self._elapsed += delay
