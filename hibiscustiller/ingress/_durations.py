"""How long the requests of each route take, as observed by this router."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import IngressRoute

_MEAN_SMOOTHING = 0.125
_DEVIATION_SMOOTHING = 0.25
# Few requests take longer than the mean and this many mean deviations.
_DEVIATIONS = 2.0


@dataclass
class _Estimate:
    """Moving averages of the duration and of its deviation, in seconds."""

    mean_s: float
    deviation_s: float


class RouteDurations:
    """Durations of the answered requests by route."""

    def __init__(self) -> None:
        self._estimates_by_route: dict[str, _Estimate] = {}

    def record(self, route: IngressRoute, duration: timedelta) -> None:
        """Record how long a request took until its answer was complete."""
        seconds = duration.total_seconds()
        known = self._estimates_by_route.get(route.name)
        if known is None:
            self._estimates_by_route[route.name] = _Estimate(seconds, seconds / 4)
            return
        error = seconds - known.mean_s
        known.mean_s += _MEAN_SMOOTHING * error
        known.deviation_s += _DEVIATION_SMOOTHING * (abs(error) - known.deviation_s)

    def estimate(self, route: IngressRoute) -> timedelta:
        """Return a time within which most requests of a route are answered.

        This is the target latency for a route that was not used yet.
        """
        known = self._estimates_by_route.get(route.name)
        if known is None:
            return route.target_latency
        return timedelta(seconds=known.mean_s + _DEVIATIONS * known.deviation_s)
