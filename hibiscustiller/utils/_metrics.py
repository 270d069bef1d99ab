"""Metrics, sent by statsd and kept as totals for the operators' report."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import statsd


class Metrics:
    """Counters, gauges and timings.

    :param client: a statsd client, or None to keep only the totals.
    """

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self.totals_by_name: Counter[str] = Counter()
        self.gauges_by_name: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self.totals_by_name[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges_by_name[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, delay: timedelta) -> None:
        """Record a duration."""
        if self._client is not None:
            self._client.timing(name, delay)


def make_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Return metrics sent over UDP.

    :param host: IP number of the statsd server.
    :param port: UDP port.
    :param prefix: put before every name.
    """
    # Imported here, so that a daemon without a statsd server does not hold the library.
    import statsd

    return Metrics(statsd.StatsClient(host, port, prefix=prefix))
