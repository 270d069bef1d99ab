"""Selection among the servers of a plain service by observed cost and load."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import BackendServer
from hibiscustiller.layers import EngineLoad
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


@dataclass
class _ServerStats:
    """Latency and failure rate of a server, as observed by this router.

    :param failure_rate: moving average, from 0 to 1.
    :param updated_at: time of the latest answer or failure, on the monotonic clock.
    """

    latency_s: float = _DEFAULT_LATENCY_S
    failure_rate: float = 0.0
    updated_at: timedelta = timedelta(0)


class PlainServerSelector:
    """Selector among the servers of a plain service by observed cost and load.

    :param domain: failure domain of this router.
    :param load: requests in flight at each server, from all routers.
    """

    def __init__(
        self,
        domain: DomainId,
        load: EngineLoad,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._domain = domain
        self._load = load
        self._clock = clock
        self._random_state = random_state
        self._stats_by_id: dict[ServerId, _ServerStats] = {}

    def choose(self, servers: Sequence[BackendServer]) -> BackendServer | None:
        """Return the server with the lowest cost; None if there are no servers."""
        return min(servers, key=self._compute_cost, default=None)

    def record_answer(
        self, server_id: ServerId, latency: timedelta, failed: bool
    ) -> None:
        """Record the duration of an attempt and whether it failed."""
        stats = self._stats_by_id.setdefault(server_id, _ServerStats())
        seconds = latency.total_seconds()
        stats.latency_s += (seconds - stats.latency_s) * _LATENCY_SMOOTHING
        stats.failure_rate += (failed - stats.failure_rate) * _FAILURE_SMOOTHING
        stats.updated_at = self._clock.monotonic()

    def _compute_cost(self, server: BackendServer) -> tuple[int, float]:
        stats = self._stats_by_id.get(server.id, _ServerStats())
        age = (self._clock.monotonic() - stats.updated_at).total_seconds()
        decay = 0.5 ** (age / _STATS_HALF_LIFE_S)
        excess_latency_s = max(0.0, stats.latency_s - _DEFAULT_LATENCY_S) * decay
        load_factor = 1 + self._load.get(server.id).entry_count / max(1, server.slots)
        cost = load_factor * (_DEFAULT_LATENCY_S + excess_latency_s)
        cost *= 1 + _FAILURE_COST_FACTOR * stats.failure_rate * decay
        if server.domain != self._domain:
            cost *= _REMOTE_DOMAIN_COST_FACTOR
        step = int(math.log(cost) / math.log(_COST_STEP_RATIO))
        return step, self._random_state.random()
