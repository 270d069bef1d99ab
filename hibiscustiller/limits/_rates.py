"""Allocation of the requests per second that a server takes from all routers.

This module does no I/O.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta

from hibiscustiller.utils import Clock

# A server that was idle gets at most what it takes in this time at once, or this many
# requests, one of which is kept for more urgent work.
_BURST_TIME = timedelta(milliseconds=250)
_MIN_BURST = 2.0
# The latest requests show what more urgent work there is: those of this time, or of
# the time in which a slow server takes this many.
_MIN_DEMAND_WINDOW = timedelta(seconds=2)
_MAX_DEMAND_WINDOW = timedelta(seconds=20)
_DEMAND_WINDOW_REQUESTS = 8
# Less urgent work gets this share of the rate at least.
_FLOOR_SHARE = 0.15
# A server that takes nothing is sent a request now and then, since only its answers
# show that it has withdrawn the limit.
_MIN_RATE = 0.1
_MAX_WAIT = timedelta(seconds=10)


class RateAllocator:
    """Allocates the requests to one server among callers of different priority.

    A part of what may be granted at once is kept for more urgent requests, if there
    were any lately. The others have a floor.

    :param tokens: number of requests that may be granted at once at the beginning.
    """

    def __init__(self, clock: Clock, tokens: float = 0.0) -> None:
        self._clock = clock
        self._tokens = tokens
        self._updated_at = clock.monotonic()
        # Times and priorities of the latest requests, and of those that were granted.
        self._asked: deque[tuple[timedelta, int]] = deque()
        self._granted: deque[tuple[timedelta, int]] = deque()

    def request(self, rate: float, priority: int) -> timedelta:
        """Grant a request if the rate permits it now.

        :param rate: requests per second that may be granted.
        :param priority: priority class; 0 is the most urgent.
        :returns: zero if it is granted, or else the expected time until such a request
            would be.
        """
        rate = max(rate, _MIN_RATE)
        self._refill(rate)
        now = self._clock.monotonic()
        window = max(
            _MIN_DEMAND_WINDOW, timedelta(seconds=_DEMAND_WINDOW_REQUESTS / rate)
        )
        window = min(window, _MAX_DEMAND_WINDOW)
        for events in (self._asked, self._granted):
            while events and events[0][0] < now - window:
                events.popleft()
        self._asked.append((now, priority))
        if self._tokens >= self._count_needed(rate * window.total_seconds(), priority):
            self._tokens -= 1
            self._granted.append((now, priority))
            return timedelta(0)
        backlog = sum(asked <= priority for _, asked in self._asked)
        backlog -= sum(granted <= priority for _, granted in self._granted)
        wait = timedelta(seconds=(max(backlog, 1) - self._tokens) / rate)
        return min(wait, _MAX_WAIT)

    def _count_needed(self, available: float, priority: int) -> float:
        """Return how many tokens must be there for a request to be granted.

        :param available: requests that the server takes in the window.
        """
        urgent_count = sum(asked < priority for _, asked in self._asked)
        granted_count = sum(granted >= priority for _, granted in self._granted)
        is_below_floor = granted_count < available * _FLOOR_SHARE
        return 1.0 if not urgent_count or is_below_floor else _MIN_BURST

    def _refill(self, rate: float) -> None:
        now = self._clock.monotonic()
        elapsed = now - self._updated_at
        self._updated_at = now
        most = max(_MIN_BURST, rate * _BURST_TIME.total_seconds())
        self._tokens = min(most, self._tokens + rate * elapsed.total_seconds())
