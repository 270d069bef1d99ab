"""Capacity that a less urgent class leaves free for the more urgent ones.

Handles bursts of several classes in any order. Without a reserve, a burst of a less
urgent class takes all places, and a later burst of a more urgent class waits until
they are released. The module performs no I/O.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from hibiscustiller.layers._forecast import ArrivalForecast

# Each class may hold this share of the capacity while it asks for places.
FLOOR_SHARE = 0.1
# Most of the capacity that may be reserved. Places are held for about four seconds, so
# that this share is released within 0.2 s, less than the longest wait of a request.
# After that, strict priority gives the urgent classes what is released. In simulated
# bursts (test_admission_by_class), a share of 0.1 or 0.15 served the urgent class no
# better than 0.03, and the least urgent one slightly worse.
MAX_RESERVE_SHARE = 0.05
# Refused requests of a more urgent class count for this time.
_REFUSAL_LIFE = timedelta(milliseconds=500)


class Reserve:
    """Computes which part of the free capacity a class may use.

    :param forecast: arrivals of each class.
    :param get_held: returns the tokens that a class holds.
    """

    def __init__(
        self, forecast: ArrivalForecast, get_held: Callable[[int], float]
    ) -> None:
        self._forecast = forecast
        self._get_held = get_held
        self._refused_by_priority: dict[int, deque[tuple[timedelta, float]]] = {}

    def record_refusal(self, now: timedelta, priority: int, tokens: float) -> None:
        """Record a request that was refused for lack of room."""
        refused = self._refused_by_priority.setdefault(priority, deque())
        refused.append((now, tokens))
        self._count_refused(now, priority)

    def may_take(
        self,
        now: timedelta,
        priority: int,
        tokens: float,
        *,
        is_urgent_waiting: bool,
        count_free: Callable[[], float],
        held_by_all: float,
    ) -> bool:
        """Return whether a class may take a place now.

        :param is_urgent_waiting: whether a request of a more urgent class waits.
        :param count_free: returns the free capacity in tokens.
        :param held_by_all: tokens that all classes hold.
        """
        need = self._estimate_need(now, priority)
        if not is_urgent_waiting and need <= 0:
            return True
        free = count_free()
        capacity = free + held_by_all
        if self.is_below_floor(priority, tokens, capacity):
            return True
        if is_urgent_waiting:
            return False
        return free - tokens >= min(need, MAX_RESERVE_SHARE * capacity)

    def is_below_floor(self, priority: int, tokens: float, capacity: float) -> bool:
        """Return whether a place is within the floor of a class."""
        held = self._get_held(priority)
        # A large request must be able to begin in a small domain.
        return held <= 0 or held + tokens <= FLOOR_SHARE * capacity

    def compute(self, now: timedelta, priority: int, capacity: float) -> float:
        """Return the tokens that a class leaves free for more urgent ones."""
        need = self._estimate_need(now, priority)
        return min(need, MAX_RESERVE_SHARE * capacity)

    def _estimate_need(self, now: timedelta, priority: int) -> float:
        """Return the tokens that more urgent classes are expected to need beyond now.

        A class that was refused places needs at least what it was refused.
        """
        is_ready = self._forecast.is_ready(now)
        horizon = self._forecast.get_hold_time(priority) if is_ready else None
        need = 0.0
        for other in self._forecast.priorities:
            if other >= priority:
                break
            refused = self._count_refused(now, other)
            growth = self._estimate_growth(now, other, horizon) if horizon else 0.0
            need += max(refused, growth)
        return need

    def _estimate_growth(
        self, now: timedelta, priority: int, horizon: timedelta
    ) -> float:
        """Return the tokens that a class is expected to hold in addition."""
        hold_time = self._forecast.get_hold_time(priority)
        if hold_time is None:
            return 0.0
        rate = self._forecast.get_rate(now, priority, horizon)
        expected = rate * hold_time.total_seconds()
        # Random variation of the number of places is no growth. Reserving for it would
        # keep a few places idle at all times.
        variation = math.sqrt(expected * self._forecast.get_mean_tokens(priority))
        return max(0.0, expected - variation - self._get_held(priority))

    def _count_refused(self, now: timedelta, priority: int) -> float:
        refused = self._refused_by_priority.get(priority)
        if not refused:
            return 0.0
        while refused and now - refused[0][0] > _REFUSAL_LIFE:
            refused.popleft()
        return sum(tokens for _, tokens in refused)
