"""How long the requests of each route take, as observed by this router."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import IngressRoute

_MEAN_SMOOTHING = 0.125
_DEVIATION_SMOOTHING = 0.25
# Share of the first value that is taken for its deviation.
_FIRST_DEVIATION_SHARE = 0.25
# Few requests take longer than the mean and this many mean deviations.
_DEVIATIONS = 2.0


@dataclass(frozen=True)
class StreamTiming:
    """How long a complete stream took.

    :param begun_after: time from the request to its first event.
    :param duration: time from the request to the end of the answer.
    :param event_count: events of the answer; above zero.
    """

    begun_after: timedelta
    duration: timedelta
    event_count: int


class _Average:
    """Moving averages of a time and of its deviation.

    :param first: the first value.
    """

    def __init__(self, first: timedelta) -> None:
        self._mean = first
        self._deviation = first * _FIRST_DEVIATION_SHARE

    def add(self, value: timedelta) -> None:
        """Add a value."""
        error = value - self._mean
        self._mean += _MEAN_SMOOTHING * error
        self._deviation += _DEVIATION_SMOOTHING * (abs(error) - self._deviation)

    def estimate(self) -> timedelta:
        """Return a time that few values exceed."""
        return self._mean + _DEVIATIONS * self._deviation


class RouteDurations:
    """Durations of the answered requests by route."""

    def __init__(self) -> None:
        self._durations_by_route: dict[str, _Average] = {}
        self._beginnings_by_route: dict[str, _Average] = {}
        self._gaps_by_route: dict[str, _Average] = {}

    def record(
        self, route: IngressRoute, duration: timedelta, timing: StreamTiming | None
    ) -> None:
        """Record how long a request took until its answer was complete.

        :param timing: None if the answer is no stream.
        """
        if timing is None:
            _add(self._durations_by_route, route, duration)
            return
        _add(self._beginnings_by_route, route, timing.begun_after)
        if timing.event_count > 1:
            gap = (timing.duration - timing.begun_after) / (timing.event_count - 1)
            _add(self._gaps_by_route, route, gap)

    def estimate(self, route: IngressRoute) -> timedelta:
        """Return a time within which most plain requests of a route are answered.

        This is the target latency for a route that was not used yet.
        """
        known = self._durations_by_route.get(route.name)
        return route.target_latency if known is None else known.estimate()

    def estimate_stream(self, route: IngressRoute, event_count: float) -> timedelta:
        """Return a time within which most streams of some length are complete.

        The targets of the route serve for what was not observed yet.

        :param event_count: events that the stream may have.
        """
        beginning = self._beginnings_by_route.get(route.name)
        begun_after = (
            route.target_latency if beginning is None else beginning.estimate()
        )
        known_gap = self._gaps_by_route.get(route.name)
        gap = route.target_gap if known_gap is None else known_gap.estimate()
        return begun_after + (gap or timedelta(0)) * max(0.0, event_count - 1)


def _add(
    averages_by_route: dict[str, _Average], route: IngressRoute, value: timedelta
) -> None:
    known = averages_by_route.get(route.name)
    if known is None:
        averages_by_route[route.name] = _Average(value)
    else:
        known.add(value)
