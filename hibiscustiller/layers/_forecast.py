"""Forecast of the tokens that each priority class asks for and holds.

Handles bursts of one class: the arrival rate of a class is followed by a fast and a
slow moving average, whose difference is the trend. The module performs no I/O; moments
on the monotonic clock are passed in.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

# Time constants of the moving averages. With some 20 arrivals per second in a class,
# a shorter one would take random variation for a trend.
_FAST_S = 2.0
_SLOW_S = 6.0
# A trend observed over a few seconds is not extrapolated further than this.
_MAX_HORIZON = timedelta(seconds=3)
# Arrivals seen for a shorter time do not give a rate.
_MIN_OBSERVATION = timedelta(seconds=1)
# Weight of the latest place in the average time for which places are held.
_HOLD_WEIGHT = 0.05


@dataclass
class _ClassArrivals:
    fast: float = 0.0
    slow: float = 0.0
    updated_at: timedelta = timedelta(0)
    mean_tokens: float = 0.0
    hold_s: float | None = None


class ArrivalForecast:
    """Arrival rate, trend and time of use of each priority class."""

    def __init__(self) -> None:
        self._by_priority: dict[int, _ClassArrivals] = {}
        self._began_at: timedelta | None = None

    @property
    def priorities(self) -> list[int]:
        """Classes of which requests have arrived, the most urgent one first."""
        return sorted(self._by_priority)

    def is_ready(self, now: timedelta) -> bool:
        """Return whether arrivals have been observed for long enough."""
        return self._began_at is not None and now - self._began_at >= _MIN_OBSERVATION

    def record_arrival(self, now: timedelta, priority: int, tokens: float) -> None:
        """Record a request, whether it is granted a place or not."""
        if self._began_at is None:
            self._began_at = now
        arrivals = self._by_priority.get(priority)
        if arrivals is None:
            arrivals = _ClassArrivals(updated_at=now, mean_tokens=tokens)
            self._by_priority[priority] = arrivals
        self._decay(arrivals, now)
        arrivals.fast += tokens / _FAST_S
        arrivals.slow += tokens / _SLOW_S
        arrivals.mean_tokens += (tokens - arrivals.mean_tokens) * _HOLD_WEIGHT

    def record_held(self, priority: int, held_for: timedelta) -> None:
        """Record the time for which a place was held."""
        arrivals = self._by_priority.get(priority)
        if arrivals is None:
            return
        held_s = held_for.total_seconds()
        before = held_s if arrivals.hold_s is None else arrivals.hold_s
        arrivals.hold_s = before + (held_s - before) * _HOLD_WEIGHT

    def get_hold_time(self, priority: int) -> timedelta | None:
        """Return the mean time for which places are held; None if it is unknown."""
        arrivals = self._by_priority.get(priority)
        if arrivals is None or arrivals.hold_s is None:
            return None
        return timedelta(seconds=arrivals.hold_s)

    def get_mean_tokens(self, priority: int) -> float:
        """Return the mean size of a request; 0 if the class is unknown."""
        arrivals = self._by_priority.get(priority)
        return 0.0 if arrivals is None else arrivals.mean_tokens

    def get_rate(
        self, now: timedelta, priority: int, ahead: timedelta = timedelta(0)
    ) -> float:
        """Return the expected arrival rate in tokens per second.

        :param ahead: time from now for which the rate is forecast.
        """
        fast, slow = self._get_averages(now, priority)
        # The averages lag behind a steady rise by their time constants.
        trend = (fast - slow) / (_SLOW_S - _FAST_S)
        rise = trend * min(ahead, _MAX_HORIZON).total_seconds()
        return min(max(0.0, fast + rise), 2 * max(fast, slow))

    def get_settled_rate(
        self, now: timedelta, priority: int, ahead: timedelta
    ) -> float:
        """Return the expected rate if a burst ends as fast as it is followed."""
        fast, slow = self._get_averages(now, priority)
        return slow + (fast - slow) * math.exp(-ahead.total_seconds() / _FAST_S)

    def _get_averages(self, now: timedelta, priority: int) -> tuple[float, float]:
        arrivals = self._by_priority.get(priority)
        if arrivals is None or self._began_at is None:
            return 0.0, 0.0
        self._decay(arrivals, now)
        age_s = max((now - self._began_at).total_seconds(), 1e-3)
        # An average that began at zero is too low by the weight of the time before.
        return (
            arrivals.fast / -math.expm1(-age_s / _FAST_S),
            arrivals.slow / -math.expm1(-age_s / _SLOW_S),
        )

    def _decay(self, arrivals: _ClassArrivals, now: timedelta) -> None:
        age_s = (now - arrivals.updated_at).total_seconds()
        arrivals.updated_at = now
        arrivals.fast *= math.exp(-age_s / _FAST_S)
        arrivals.slow *= math.exp(-age_s / _SLOW_S)
