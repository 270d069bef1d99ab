"""Appointments: the moments at which refused callers are asked to return.

Handles an overload in which many callers are refused within seconds. If all returned
after a random time, most would find no room again, and a caller returns only once. The
module performs no I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta

from hibiscustiller.layers._demand import Demand

INTERVAL = timedelta(milliseconds=250)
# The delay takes at most this share, about a third, of the caller's remaining time.
MAX_DELAY_SHARE = 0.3
# A returning request is recognised by a remaining time that is shorter by more than a
# second.
_MIN_DELAY = timedelta(seconds=1.25)
# Range of the random retry delay without a policy: callers refused together must not
# retry together.
_MIN_RETRY_DELAY = timedelta(seconds=1.5)
_MAX_RETRY_DELAY = timedelta(seconds=4.5)


def choose_retry_delay(demand: Demand, random_state: random.Random) -> timedelta:
    """Return a random delay that leaves the caller most of its time."""
    spread = (_MAX_RETRY_DELAY - _MIN_RETRY_DELAY) * random_state.random()
    max_delay = max(demand.remaining_time * MAX_DELAY_SHARE, timedelta(0))
    return min(_MIN_RETRY_DELAY + spread, max_delay)


class AppointmentBook:
    """Counts the tokens that were promised to each class in each interval.

    :param random_state: spreads the appointments within their interval.
    """

    def __init__(self, random_state: random.Random) -> None:
        self._random_state = random_state
        self._tokens_by_interval: dict[int, dict[int, float]] = {}

    @property
    def booked_tokens(self) -> float:
        """Tokens of all appointments that are kept."""
        return sum(
            tokens
            for by_priority in self._tokens_by_interval.values()
            for tokens in by_priority.values()
        )

    def book(
        self,
        now: timedelta,
        priority: int,
        tokens: float,
        remaining_time: timedelta,
        estimate_room: Callable[[timedelta], float],
    ) -> tuple[timedelta, bool]:
        """Give out an appointment.

        :param estimate_room: returns the tokens per second that become free for the
            class, a given time ahead.
        :returns: the delay from now, and whether room is expected then. If no interval
            has room, it is the latest delay that is allowed.
        """
        self._expire(now)
        max_delay = max(remaining_time * MAX_DELAY_SHARE, timedelta(0))
        current = now // INTERVAL
        # Only whole intervals between the shortest and the longest delay are used.
        first = -(-(now + _MIN_DELAY) // INTERVAL)
        end = (now + max_delay) // INTERVAL
        room = 0.0
        for interval in range(first, end):
            ahead = (interval - current) * INTERVAL
            free = estimate_room(ahead) * INTERVAL.total_seconds()
            # Room that was not used is lost, but that of a small class adds up until
            # it is enough for a request.
            room = min(room, tokens) + free - self._count_booked(interval, priority)
            if room >= tokens:
                return self._record(now, interval, priority, tokens), True
        if end <= first:
            return max_delay * (1 - 0.1 * self._random_state.random()), False
        return self._record(now, end - 1, priority, tokens), False

    def choose_any(self, now: timedelta, remaining_time: timedelta) -> timedelta:
        """Return a random delay, for a caller about whom nothing is expected."""
        max_delay = max(remaining_time * MAX_DELAY_SHARE, timedelta(0))
        shortest = min(_MIN_DELAY, max_delay)
        return shortest + (max_delay - shortest) * self._random_state.random()

    def _record(
        self, now: timedelta, interval: int, priority: int, tokens: float
    ) -> timedelta:
        by_priority = self._tokens_by_interval.setdefault(interval, {})
        by_priority[priority] = by_priority.get(priority, 0.0) + tokens
        return (interval + self._random_state.random()) * INTERVAL - now

    def _count_booked(self, interval: int, priority: int) -> float:
        """Return the tokens booked by the class and by more urgent ones."""
        by_priority = self._tokens_by_interval.get(interval, {})
        return sum(tokens for other, tokens in by_priority.items() if other <= priority)

    def _expire(self, now: timedelta) -> None:
        current = now // INTERVAL
        past = [interval for interval in self._tokens_by_interval if interval < current]
        for interval in past:
            del self._tokens_by_interval[interval]
