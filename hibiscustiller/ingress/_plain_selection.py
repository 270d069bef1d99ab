"""Selection among the servers of a plain service by observed cost and load.

In a large fleet, the reports of other routers are old, and the choice is made by
:func:`hibiscustiller.layers.choose_evenly`; otherwise the cheapest server is chosen.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from statistics import median

from hibiscustiller.fleet import BackendServer
from hibiscustiller.layers import (
    EngineLoad,
    ServerLoad,
    choose_evenly,
    has_old_reports,
)
from hibiscustiller.utils import Clock, DomainId, ServerId

_LATENCY_SMOOTHING = 0.2
_FAILURE_SMOOTHING = 0.25
# A failure rate of one in two multiplies the cost of a server by six.
_FAILURE_COST_FACTOR = 10.0
_REMOTE_DOMAIN_COST_FACTOR = 1.1
_DEFAULT_LATENCY_S = 0.02
# Costs are rounded to powers of this ratio; among equal ones the choice is random.
_COST_STEP_RATIO = 1.08
# The statistics of a server that receives no requests lose their weight with this
# half-life, so that it is tried again.
_STATS_HALF_LIFE_S = 4.0
# In a large fleet, a server that fails at this rate or more has no capacity while
# others have some.
_MAX_FAILURE_RATE = 0.5
# Below this rate, which one recent failure exceeds, a server counts as sound.
_SOUND_FAILURE_RATE = 0.1


@dataclass
class _ServerStats:
    """Latency and failure rate of a server, as observed by this router.

    :param failure_rate: moving average, from 0 to 1.
    :param default_weight: weight of the default in ``latency_s``.
    :param updated_at: time of the latest answer or failure, on the monotonic clock.
    """

    latency_s: float = _DEFAULT_LATENCY_S
    default_weight: float = 1.0
    failure_rate: float = 0.0
    updated_at: timedelta = timedelta(0)


class PlainServerSelector:
    """Selector among the servers of a plain service by observed cost and load.

    :param domain: failure domain of this router.
    :param load: requests in flight at each server, from all routers.
    :param count_routers: returns how many routers choose concurrently.
    """

    def __init__(
        self,
        domain: DomainId,
        load: EngineLoad,
        clock: Clock,
        random_state: random.Random,
        count_routers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._count_routers = count_routers
        self._domain = domain
        self._load = load
        self._clock = clock
        self._random_state = random_state
        self._stats_by_id: dict[ServerId, _ServerStats] = {}

    def choose(self, servers: Sequence[BackendServer]) -> BackendServer | None:
        """Return the server for a request; None if there are no servers."""
        router_count = self._count_routers()
        if not servers or not has_old_reports(router_count):
            return min(servers, key=self._compute_cost, default=None)
        index = choose_evenly(
            self._describe_loads(servers),
            self._load.get_mean_report_age(),
            router_count,
            self._random_state,
        )
        return servers[index]

    def record_answer(
        self,
        server_id: ServerId,
        latency: timedelta,
        failed: bool,
        is_rejected: bool = False,
    ) -> None:
        """Record the duration of an attempt and its outcome.

        :param is_rejected: whether the server stated that it did not run the request.
            In a large fleet this counts as a failure, since the reports do not show in
            time that a server is full.
        """
        failed = failed or (is_rejected and has_old_reports(self._count_routers()))
        stats = self._stats_by_id.setdefault(server_id, _ServerStats())
        seconds = latency.total_seconds()
        stats.latency_s += (seconds - stats.latency_s) * _LATENCY_SMOOTHING
        stats.default_weight *= 1 - _LATENCY_SMOOTHING
        stats.failure_rate += (failed - stats.failure_rate) * _FAILURE_SMOOTHING
        stats.updated_at = self._clock.monotonic()

    def _describe_loads(self, servers: Sequence[BackendServer]) -> list[ServerLoad]:
        """Return the loads of servers, with the statistics of this router.

        A server without recent statistics counts as one of median latency: if it
        counted as fast, all routers would rush to a server that has just returned.
        """
        latencies_s = [
            _estimate_latency(stats, 0.0) / (1 - stats.default_weight)
            for server in servers
            if (stats := self._stats_by_id.get(server.id)) is not None
        ]
        usual_s = median(latencies_s) if latencies_s else _DEFAULT_LATENCY_S
        now = self._clock.monotonic()
        return [self._describe_load(server, usual_s, now) for server in servers]

    def _describe_load(
        self, server: BackendServer, usual_s: float, now: timedelta
    ) -> ServerLoad:
        stats = self._stats_by_id.get(server.id)
        latency_s, failure_rate = usual_s, 0.0
        if stats is not None:
            decay = _compute_decay(stats, now)
            latency_s += (_estimate_latency(stats, usual_s) - usual_s) * decay
            failure_rate = stats.failure_rate * decay
        if failure_rate < _SOUND_FAILURE_RATE:
            failure_rate = 0.0
        else:
            # An error that is returned at once must not attract requests.
            latency_s = max(latency_s, usual_s)
        latency_s = max(_DEFAULT_LATENCY_S, latency_s)
        return ServerLoad(
            latency_s,
            max(1, server.slots) * max(0.0, 1 - failure_rate / _MAX_FAILURE_RATE),
            self._load.get_own(server.id).entry_count,
            self._load.get_reported(server.id).entry_count,
            timedelta(seconds=latency_s),
            is_remote=server.domain != self._domain,
            penalty=1 + _FAILURE_COST_FACTOR * failure_rate,
        )

    def _compute_cost(self, server: BackendServer) -> tuple[int, float]:
        stats = self._stats_by_id.get(server.id, _ServerStats())
        decay = _compute_decay(stats, self._clock.monotonic())
        excess_latency_s = max(0.0, stats.latency_s - _DEFAULT_LATENCY_S) * decay
        load_factor = 1 + self._load.get(server.id).entry_count / max(1, server.slots)
        cost = load_factor * (_DEFAULT_LATENCY_S + excess_latency_s)
        cost *= 1 + _FAILURE_COST_FACTOR * stats.failure_rate * decay
        if server.domain != self._domain:
            cost *= _REMOTE_DOMAIN_COST_FACTOR
        step = int(math.log(cost) / math.log(_COST_STEP_RATIO))
        return step, self._random_state.random()


def _compute_decay(stats: _ServerStats, now: timedelta) -> float:
    """Return the weight of a server's statistics, by their age."""
    age_s = (now - stats.updated_at).total_seconds()
    return 0.5 ** (age_s / _STATS_HALF_LIFE_S)


def _estimate_latency(stats: _ServerStats, initial_s: float) -> float:
    """Return a server's latency as if it had been ``initial_s`` before the first."""
    return stats.latency_s + (initial_s - _DEFAULT_LATENCY_S) * stats.default_weight
