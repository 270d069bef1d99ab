"""Token bucket that keeps the claims of orders from overloading the store."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from hibiscustiller.utils import Clock

# The store takes several hundred writes a second and an order needs two, beside the
# configuration's writes and the leases.
_FLEET_CLAIMS_PER_SECOND = 100.0
_BURST_TIME = timedelta(seconds=2)
# A router with a small share must still take a customer's few orders at once.
_MIN_BURST = 5.0


class ClaimBucket:
    """This router's share of the claims that the fleet may write.

    :param clock: refills the bucket.
    :param count_routers: returns the number of live routers, this one included.
    :param fleet_rate: claims a second for all routers together.
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
        self._filled_at = clock.monotonic()
        self._tokens = self._get_burst()

    def try_take(self) -> timedelta | None:
        """Take a token.

        :returns: None if there was one, else the time until there will be one.
        """
        now = self._clock.monotonic()
        elapsed = now - self._filled_at
        self._filled_at = now
        self._tokens += elapsed.total_seconds() * self._get_rate()
        self._tokens = min(self._get_burst(), self._tokens)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        return timedelta(seconds=(1.0 - self._tokens) / self._get_rate())

    def _get_rate(self) -> float:
        return self._fleet_rate / max(1, self._count_routers())

    def _get_burst(self) -> float:
        return max(_MIN_BURST, self._get_rate() * _BURST_TIME.total_seconds())
