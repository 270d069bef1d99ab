"""Rate at which places are released, as a moving average."""

from __future__ import annotations

import math
from datetime import timedelta

_HALF_LIFE_S = 1.0


class ReleaseRate:
    """Moving average of the tokens released per second.

    :param now: moment from which releases are recorded, on the monotonic clock.
    """

    def __init__(self, now: timedelta) -> None:
        self._tokens_per_s = 0.0
        self._updated_at = now

    def record(self, now: timedelta, tokens: float) -> None:
        """Record a place that was released."""
        # With this factor, a steady release rate yields an average equal to that rate.
        self._tokens_per_s = self.get(now) + tokens * math.log(2) / _HALF_LIFE_S
        self._updated_at = now

    def get(self, now: timedelta) -> float:
        """Return the tokens released per second."""
        age_s = (now - self._updated_at).total_seconds()
        return self._tokens_per_s * 0.5 ** (age_s / _HALF_LIFE_S)
