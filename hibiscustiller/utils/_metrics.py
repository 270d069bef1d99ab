"""Metrics, sent to statsd and kept in memory for the operators' report."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import statsd


class Metrics:
    """Counters, gauges and timings.

    :param client: statsd client; None keeps counters and gauges in memory only and
        discards timings.
    """

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self.totals_by_name: Counter[str] = Counter()
        self.gauges_by_name: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter by ``amount``."""
        self.totals_by_name[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        self.gauges_by_name[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, delay: timedelta) -> None:
        """Record a duration; it is sent to statsd but not kept in memory."""
        if self._client is not None:
            self._client.timing(name, delay)


def make_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Return metrics that are sent to a statsd server over UDP.

    :param host: IP address of the statsd server.
    :param port: UDP port of the statsd server.
    :param prefix: prefix of every metric name.
    """
    # Imported lazily: a daemon without a statsd server must not hold the library in
    # memory.
    import statsd

    return Metrics(statsd.StatsClient(host, port, prefix=prefix))
