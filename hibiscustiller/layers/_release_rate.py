"""Rate at which places are released, as a moving average."""

from __future__ import annotations

import math
from datetime import timedelta

_HALF_LIFE_S = 1.0
# Releases seen for a shorter time do not give a rate, for example at an allocator that
# has just taken over.
_MIN_OBSERVATION = timedelta(seconds=1)
# After a pause of this length the observation begins again.
_MAX_PAUSE = timedelta(seconds=3)


class ReleaseRate:
    """Moving average of the tokens released per second.

    :param now: moment from which releases are recorded, on the monotonic clock.
    """

    def __init__(self, now: timedelta) -> None:
        self._tokens_per_s = 0.0
        self._updated_at = now
        self._observed_since: timedelta | None = None

    def record(self, now: timedelta, tokens: float) -> None:
        """Record a place that was released."""
        if self._observed_since is None or now - self._updated_at > _MAX_PAUSE:
            self._observed_since = now
        # With this factor, a steady release rate yields an average equal to that rate.
        self._tokens_per_s = self.get(now) + tokens * math.log(2) / _HALF_LIFE_S
        self._updated_at = now

    def is_known(self, now: timedelta) -> bool:
        """Return whether releases have been observed for long enough."""
        since = self._observed_since
        return since is not None and now - since >= _MIN_OBSERVATION

    def get(self, now: timedelta) -> float:
        """Return the tokens released per second."""
        age_s = (now - self._updated_at).total_seconds()
        return self._tokens_per_s * 0.5 ** (age_s / _HALF_LIFE_S)
