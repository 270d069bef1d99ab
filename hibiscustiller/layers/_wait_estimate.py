"""Expected wait of a request for a place, from the queue and the rate of releases.

Handles an overload: a request that would wait for longer than it may is refused at
once. The module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from hibiscustiller.layers._admission_policy import AdmissionPolicy
from hibiscustiller.layers._demand import Demand
from hibiscustiller.layers._queue import FairQueue
from hibiscustiller.layers._release_rate import ReleaseRate


class WaitEstimator:
    """Estimates how long requests wait for a place.

    :param queue: the requests that wait.
    :param releases: rate at which places are released.
    :param policy: as for the admission; None shares what is released by weights.
    :param count_usable: returns the free capacity in tokens.
    """

    def __init__(
        self,
        queue: FairQueue[Any],
        releases: ReleaseRate,
        policy: AdmissionPolicy | None,
        count_usable: Callable[[], float],
    ) -> None:
        self._queue = queue
        self._releases = releases
        self._policy = policy
        self._count_usable = count_usable

    def estimate(
        self, now: timedelta, demand: Demand, displaced_tokens: float = 0.0
    ) -> timedelta:
        """Return the expected wait of a request.

        :param displaced_tokens: size of the begun streams that go before all requests.
        """
        tokens_ahead, class_share = self._queue.estimate_share(
            demand.priority, demand.organisation, demand.tokens
        )
        if self._policy is None:
            rate = self._releases.get(now) * class_share
            return _estimate_time(tokens_ahead + displaced_tokens, demand.tokens, rate)
        if demand.is_return:
            tokens_ahead = self._queue.count_tokens(demand.priority, is_return=True)
        return self._estimate_by_policy(
            now,
            demand.priority,
            demand.tokens,
            tokens_ahead + displaced_tokens,
            class_share,
        )

    def estimate_for_class(
        self, now: timedelta, priority: int, tokens: float
    ) -> timedelta:
        """Return the expected wait of a new request behind all of its class."""
        tokens_ahead = self._queue.count_tokens(priority)
        class_share = self._queue.estimate_class_share(priority)
        return self._estimate_by_policy(
            now, priority, tokens, tokens_ahead, class_share
        )

    def _estimate_by_policy(
        self,
        now: timedelta,
        priority: int,
        tokens: float,
        own_ahead: float,
        class_share: float,
    ) -> timedelta:
        """Return the expected wait under a policy.

        :param own_ahead: tokens of its own class that are served before it.
        :param class_share: share of its class of what is released, below its floor.
        """
        policy = self._policy
        assert policy is not None
        if not self._releases.is_known(now):
            # A new allocator would refuse all requests otherwise.
            return timedelta(0)
        rate = self._releases.get(now)
        if policy.is_below_floor(priority, tokens, self._count_usable()):
            return _estimate_time(own_ahead, tokens, rate * class_share)
        rate = policy.estimate_rate(now, priority, rate)
        urgent_ahead = self._queue.count_tokens_ahead(priority)
        return _estimate_time(own_ahead + urgent_ahead, tokens, rate)


def _estimate_time(tokens_ahead: float, tokens: float, rate: float) -> timedelta:
    """Return when a request is served at a rate in tokens per second."""
    if not tokens_ahead:
        return timedelta(0)
    if rate <= 0:
        return timedelta.max
    return timedelta(seconds=min(1e6, (tokens_ahead + tokens) / rate))
