"""Spreads the calls of many hosts while the key-value service is away."""

from __future__ import annotations

import random
from collections.abc import Iterator
from datetime import timedelta

from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.utils import Clock, Verdict, jittered_delays, log_event

# One lost answer is no outage; the read that resolves it must go through.
_FAILURES_BEFORE_PAUSE = 3
_FIRST_PAUSE = timedelta(milliseconds=50)
# Orders are refused during a pause, so it is short; 330 hosts that try twice a second
# take a third of the 2,000 reads a second that the service serves.
_LONGEST_PAUSE = timedelta(seconds=1)


class OutageGate:
    """Refuses calls for a jittered pause after repeated failures.

    After a pause one call is let through; the others wait for its result.

    :param clock: measures the pauses.
    :param random_state: source of the jitter.
    """

    def __init__(self, clock: Clock, random_state: random.Random) -> None:
        self._clock = clock
        self._random_state = random_state
        self._failures = 0
        self._delays: Iterator[timedelta] | None = None
        self._closed_until = timedelta(0)

    def check_open(self) -> None:
        """Let a call through or refuse it.

        :raises StoreUnavailableError: during a pause; nothing was sent.
        """
        if self._delays is None:
            return
        if self._clock.monotonic() < self._closed_until:
            raise StoreUnavailableError("the store is unavailable", Verdict.NOT_RUN)
        # The trial's own result ends or extends the pause.
        self._closed_until = self._clock.monotonic() + next(self._delays)

    def note_success(self) -> None:
        """Record a usable answer."""
        if self._delays is not None:
            log_event("store_available")
        self._failures = 0
        self._delays = None

    def note_failure(self) -> None:
        """Record a call without a usable answer."""
        self._failures += 1
        if self._failures < _FAILURES_BEFORE_PAUSE:
            return
        if self._delays is None:
            log_event("store_unavailable", level="warning", failures=self._failures)
            self._delays = jittered_delays(
                _FIRST_PAUSE, _LONGEST_PAUSE, self._random_state
            )
            self._closed_until = self._clock.monotonic() + next(self._delays)
