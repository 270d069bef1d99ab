"""Policy of an allocator: classes, organisations and appointments under overload.

Combines the forecast, the reserve, the fair shares and the appointments for the places
of one service in one domain. With a single class and free capacity, each request is
granted a place as without a policy. The state is rebuilt from arrivals and from the
places that routers report; losing it costs nothing but the forecast. The module
performs no I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Set
from datetime import timedelta
from typing import Any

from hibiscustiller.layers._appointments import AppointmentBook
from hibiscustiller.layers._demand import Demand, Grant
from hibiscustiller.layers._fair_shares import SCARCE_SHARE, HeldTokens
from hibiscustiller.layers._forecast import ArrivalForecast
from hibiscustiller.layers._reserve import FLOOR_SHARE, Reserve
from hibiscustiller.utils import OrganisationId

# Below its floor, a class that waits gets a quarter of the weight of the most urgent.
# It reaches the floor within about the time for which a place is held, and with three
# classes, the most urgent one gets at least two thirds of what is released.
_LOWER_CLASS_WEIGHT = 0.25
# Returning requests of a class are promised at least this share of what is released to
# it. During a long overload, all of it is used by first requests otherwise.
_MIN_RETURN_SHARE = 0.25
# A request that has less than this share of the usual time left would not end in time.
_MIN_TIME_SHARE = 0.5


class AdmissionPolicy:
    """Decides who may take the places of one service in one domain.

    :param random_state: spreads the appointments.
    """

    def __init__(self, random_state: random.Random) -> None:
        self._forecast = ArrivalForecast()
        self._held = HeldTokens()
        self._reserve = Reserve(self._forecast, self._held.get)
        self._book = AppointmentBook(random_state)

    @property
    def priorities(self) -> list[int]:
        """Classes that have requests, the most urgent one first."""
        return sorted({*self._forecast.priorities, *self._held.priorities})

    @staticmethod
    def get_weight(is_most_urgent: bool) -> float:
        """Return the share of a class relative to other classes that wait.

        :param is_most_urgent: whether no more urgent class waits.
        """
        return 1.0 if is_most_urgent else _LOWER_CLASS_WEIGHT

    def record_arrival(self, now: timedelta, demand: Demand) -> None:
        """Record a request, whether it is granted a place or not."""
        self._forecast.record_arrival(now, demand.priority, demand.tokens)

    def record_refusal(self, now: timedelta, demand: Demand) -> None:
        """Record a request that was refused for lack of room."""
        self._reserve.record_refusal(now, demand.priority, demand.tokens)

    def record_place(self, grant: Grant) -> None:
        """Record a place that is taken."""
        demand = grant.demand
        if demand is not None:
            self._held.add(demand.priority, demand.organisation, grant.tokens)

    def record_release(self, now: timedelta, grant: Grant) -> None:
        """Record the end of a place that was taken."""
        demand = grant.demand
        if demand is None:
            return
        self._held.remove(demand.priority, demand.organisation, grant.tokens)
        if grant.granted_at is not None:
            self._forecast.record_held(demand.priority, now - grant.granted_at)

    def may_take(
        self,
        now: timedelta,
        priority: int,
        tokens: float,
        count_free: Callable[[], float],
        *,
        is_urgent_waiting: bool,
    ) -> bool:
        """Return whether a request may take a place, if there is one.

        :param count_free: returns the free capacity in tokens.
        :param is_urgent_waiting: whether a request of a more urgent class waits.
        """
        return self._reserve.may_take(
            now,
            priority,
            tokens,
            is_urgent_waiting=is_urgent_waiting,
            count_free=count_free,
            held_by_all=self._held.total,
        )

    def find_over_share(
        self, priority: int, asking: Collection[OrganisationId], free_tokens: float
    ) -> Set[OrganisationId]:
        """Return the asking organisations that others of their class go before."""
        if free_tokens >= SCARCE_SHARE * (free_tokens + self._held.total):
            return frozenset()
        return self._held.find_over_share(priority, asking)

    def is_below_floor(self, priority: int, tokens: float, free_tokens: float) -> bool:
        """Return whether a class may take a place although more urgent ones wait."""
        capacity = free_tokens + self._held.total
        return self._reserve.is_below_floor(priority, tokens, capacity)

    def estimate_rate(
        self, now: timedelta, priority: int, released_tokens_per_s: float
    ) -> float:
        """Return the tokens per second that requests of a class receive.

        :param released_tokens_per_s: rate at which all classes release places.
        """
        return self._estimate_share(now, priority, released_tokens_per_s, is_own=False)

    def misses_deadline(self, demand: Demand, wait: timedelta) -> bool:
        """Return whether a request that waits would not end within its deadline."""
        hold_time = self._forecast.get_hold_time(demand.priority) or timedelta(0)
        return wait + hold_time * _MIN_TIME_SHARE > demand.remaining_time

    def make_appointment(
        self, now: timedelta, demand: Demand, released_tokens_per_s: float
    ) -> tuple[timedelta, bool]:
        """Choose when a refused caller should return.

        :returns: the delay from now, and whether room is expected then.
        """
        if demand.is_return or released_tokens_per_s <= 0:
            # A caller returns once, so that the appointment of a returning request is
            # hardly used. Without releases, nothing is known about any interval.
            return self._book.choose_any(now, demand.remaining_time), False

        def estimate_room(ahead: timedelta) -> float:
            return self._estimate_share(
                now, demand.priority, released_tokens_per_s, ahead, is_own=True
            )

        return self._book.book(
            now, demand.priority, demand.tokens, demand.remaining_time, estimate_room
        )

    def get_held_tokens(self, priority: int) -> float:
        """Return the tokens of the places that a class holds."""
        return self._held.get(priority)

    def get_mean_tokens(self, priority: int) -> float:
        """Return the mean size of a request of a class; 0 if none has arrived."""
        return self._forecast.get_mean_tokens(priority)

    def describe(self, now: timedelta, free_tokens: float) -> dict[str, Any]:
        """Return the state as JSON values."""
        capacity = free_tokens + self._held.total
        return {
            "capacity": round(capacity),
            "free": round(free_tokens),
            "booked": round(self._book.booked_tokens),
            "classes": {
                str(priority): self._describe_class(now, priority, capacity)
                for priority in self.priorities
            },
        }

    def _describe_class(
        self, now: timedelta, priority: int, capacity: float
    ) -> dict[str, Any]:
        hold_time = self._forecast.get_hold_time(priority)
        return {
            "held": round(self._held.get(priority)),
            "organisations": self._held.count_organisations(priority),
            "tokens_per_s": round(self._forecast.get_rate(now, priority)),
            "held_for_s": None if hold_time is None else hold_time.total_seconds(),
            "reserve": round(self._reserve.compute(now, priority, capacity)),
        }

    def _estimate_share(
        self,
        now: timedelta,
        priority: int,
        released_tokens_per_s: float,
        ahead: timedelta = timedelta(0),
        *,
        is_own: bool,
    ) -> float:
        """Return the part of the released tokens that more urgent classes leave.

        :param is_own: whether the first requests of the class use their part, too.
        """
        settled_by_priority = {
            other: self._forecast.get_settled_rate(now, other, ahead)
            for other in self._forecast.priorities
        }
        ahead_rate = sum(
            rate
            for other, rate in settled_by_priority.items()
            if other < priority or (is_own and other == priority)
        )
        least = FLOOR_SHARE
        if is_own:
            total = sum(settled_by_priority.values())
            own_rate = settled_by_priority.get(priority, 0.0)
            own_share = own_rate / total if total else 1.0
            least = _MIN_RETURN_SHARE * max(own_share, FLOOR_SHARE)
        return max(released_tokens_per_s - ahead_rate, released_tokens_per_s * least)
