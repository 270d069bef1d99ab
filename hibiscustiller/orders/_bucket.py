"""Rate limit for new claims, which protects the store from overload."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from hibiscustiller.utils import Clock

# The store handles several hundred writes per second. An order needs two of them, and
# the store also handles the writes of the configuration and of the leases.
_FLEET_CLAIMS_PER_SECOND = 100.0
_BURST_DURATION = timedelta(seconds=2)
# Lets a router with a small share of the rate accept a few simultaneous orders of one
# customer.
_MIN_BURST_CLAIMS = 5.0


class ClaimRateLimiter:
    """Token bucket with this router's share of the fleet's rate of claims.

    :param clock: source of time for refilling the bucket.
    :param count_routers: returns the number of live routers, including this one.
    :param fleet_rate: claims per second for all routers together.
    """

    def __init__(
        self,
        clock: Clock,
        count_routers: Callable[[], int],
        fleet_rate: float = _FLEET_CLAIMS_PER_SECOND,
    ) -> None:
        self._clock = clock
        self._count_routers = count_routers
        self._fleet_rate = fleet_rate
        self._refilled_at = clock.monotonic()
        self._tokens = self._compute_capacity()

    def try_acquire(self) -> timedelta | None:
        """Take one token from the bucket.

        :returns: None if a token was available, otherwise the time until one will be.
        """
        now = self._clock.monotonic()
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._tokens += elapsed.total_seconds() * self._compute_rate()
        self._tokens = min(self._compute_capacity(), self._tokens)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        return timedelta(seconds=(1.0 - self._tokens) / self._compute_rate())

    def _compute_rate(self) -> float:
        return self._fleet_rate / max(1, self._count_routers())

    def _compute_capacity(self) -> float:
        return max(
            _MIN_BURST_CLAIMS, self._compute_rate() * _BURST_DURATION.total_seconds()
        )
