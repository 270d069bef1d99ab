"""Exposition of the daemon's metrics in the Prometheus text format."""

from __future__ import annotations

from datetime import timedelta

import prometheus_client.core as prometheus
from prometheus_client import exposition

from hibiscustiller.utils import Metrics

# Spans the range from a call to the store to the longest timeout of a route.
_DURATION_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    20.0,
)


class ExposedMetrics(Metrics):
    """Metrics that are also kept in a Prometheus registry of their own."""

    def __init__(self) -> None:
        super().__init__()
        self._registry = prometheus.CollectorRegistry()
        self._events = prometheus.Counter(
            "hibiscustiller_events",
            "Events by name, such as requests.streaming or refused.overloaded",
            ["name"],
            registry=self._registry,
        )
        self._levels = prometheus.Gauge(
            "hibiscustiller_level",
            "Levels by name, such as pipelines or document.version",
            ["name"],
            registry=self._registry,
        )
        self._durations = prometheus.Histogram(
            "hibiscustiller_duration_seconds",
            "Durations by name, such as request.streaming or first_event",
            ["name"],
            buckets=_DURATION_BUCKETS_S,
            registry=self._registry,
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter of this name."""
        super().count(name, amount)
        self._events.labels(name).inc(amount)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge of this name."""
        super().gauge(name, value)
        self._levels.labels(name).set(value)

    def timing(self, name: str, delay: timedelta) -> None:
        """Record a duration in the histogram of this name."""
        self._durations.labels(name).observe(delay.total_seconds())

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return exposition.generate_latest(self._registry)
