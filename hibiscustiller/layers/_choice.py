"""Selection of a pipeline for a request: the fastest one with free capacity.

In a large fleet, the reports of other routers are a second old or more. If every router
chose the best pipeline by them, all would overload it together. Therefore a router that
chooses among all pipelines does so by :mod:`_even_choice`. A router that allocates the
places of a domain tracks all of them and takes the best.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection
from datetime import timedelta

from hibiscustiller.fleet import EngineSpec
from hibiscustiller.layers._even_choice import ServerLoad, choose_evenly
from hibiscustiller.layers._link import share_link
from hibiscustiller.layers._load import EngineLoad
from hibiscustiller.layers._overflow import OverflowCandidate, choose_overflow
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.utils import Clock, DomainId, ServerId

# Factor on the estimated slowdown under load. The estimate leaves out waits for other
# requests' prompts and passes; the slowdown of full pipelines is about twice as large.
_CONTENTION_FACTOR = 2.0
# Penalty for a pipeline that begins in another domain: traffic between domains is
# charged, and there is an additional hop.
_REMOTE_ENTRY_FACTOR = 1.05
# Observed times between events are more reliable than the estimate while recent.
_MAX_OBSERVATION_AGE = timedelta(seconds=2)
_OBSERVATION_WEIGHT = 0.15
# With at most this many routers, reports are at most 0.3 s old.
MAX_ROUTERS_WITH_FRESH_REPORTS = 12
# A pipeline is full once the time between events exceeds this share of the target.
_MAX_GAP_SHARE = 0.8


def has_old_reports(router_count: int) -> bool:
    """Tell whether routers of a fleet choose by reports that are no longer fresh."""
    return router_count > MAX_ROUTERS_WITH_FRESH_REPORTS


class PipelineSelector:
    """Selects among the pipelines of one service by their expected speed.

    :param domain: domain of this router.
    :param load: requests in flight.
    :param clock: source of time for the age of observations.
    :param count_routers: returns how many routers choose concurrently.
    :param random_state: chooses among the candidates in a large fleet.
    """

    def __init__(
        self,
        domain: DomainId,
        load: EngineLoad,
        clock: Clock,
        count_routers: Callable[[], int] = lambda: 1,
        random_state: random.Random | None = None,
    ) -> None:
        self._domain = domain
        self._load = load
        self._clock = clock
        self._count_routers = count_routers
        self._random_state = random_state or random.Random()
        self.spec: EngineSpec | None = None
        self.pipelines: tuple[Pipeline, ...] = ()
        self._observed_gaps: dict[tuple[ServerId, ...], tuple[timedelta, float]] = {}
        # Most tokens that a pipeline across domains may hold, by its server ids.
        self._link_limits: dict[tuple[ServerId, ...], float] = {}

    def set_pipelines(self, spec: EngineSpec, pipelines: tuple[Pipeline, ...]) -> None:
        """Replace the pipelines after a change in the fleet.

        Pipelines for which the link between domains has no capacity left are excluded.
        If that excludes all of them, the one with the largest limit remains.
        """
        self.spec = spec
        shares = share_link(spec, pipelines)
        limits = {
            pipeline.server_ids: share * pipeline.count_memory_tokens(spec)
            for pipeline, share in zip(pipelines, shares, strict=True)
            if share < 1
        }
        usable = tuple(
            pipeline
            for pipeline in pipelines
            if limits.get(pipeline.server_ids, math.inf) >= spec.mean_held_tokens
        )
        self._link_limits = limits
        if pipelines and not usable:
            widest = max(pipelines, key=lambda pipeline: limits[pipeline.server_ids])
            usable = (widest,)
        self.pipelines = usable
        known = {pipeline.server_ids for pipeline in self.pipelines}
        self._observed_gaps = {
            key: value for key, value in self._observed_gaps.items() if key in known
        }

    def list_pipelines(self, domain: DomainId | None) -> tuple[Pipeline, ...]:
        """Return the pipelines whose first engine is in a domain; None for all."""
        if domain is None:
            return self.pipelines
        return tuple(p for p in self.pipelines if p.entry.domain == domain)

    def select(
        self,
        tokens: float,
        target_gap: timedelta | None,
        excluded: Collection[ServerId] = (),
        *,
        requires_capacity: bool = True,
        domain: DomainId | None = None,
    ) -> Pipeline | None:
        """Return the pipeline with the shortest expected time between events.

        :param tokens: number of tokens that the request will hold.
        :param target_gap: longest time between events that meets the target.
        :param excluded: engines that must not be used.
        :param requires_capacity: whether to skip pipelines without free capacity.
        :param domain: only pipelines whose first engine is in this domain are used;
            None for all.
        :returns: None if no pipeline qualifies.
        """
        candidates = [
            (cost, pipeline)
            for pipeline in self.list_pipelines(domain)
            if not any(stage.server.id in excluded for stage in pipeline.stages)
            and (
                cost := self._estimate_cost(
                    pipeline, tokens, target_gap, requires_capacity
                )
            )
            is not None
        ]
        if not candidates:
            return None
        if self._has_old_reports(domain):
            index = choose_evenly(
                [self._describe_load(pipeline, cost) for cost, pipeline in candidates],
                self._load.get_mean_report_age(),
                self._count_routers(),
                self._random_state,
            )
            return candidates[index][1]
        return min(candidates, key=lambda candidate: candidate[0])[1]

    def select_overflow(
        self,
        tokens: float,
        target_gap: timedelta | None,
        excluded: Collection[ServerId],
        rejecting: Collection[ServerId],
        domain: DomainId | None = None,
    ) -> Pipeline | None:
        """Return the pipeline that takes a stream best when none has free capacity.

        :param excluded: engines that must not be used.
        :param rejecting: engines that are avoided if possible.
        :returns: None if no pipeline avoids the excluded engines.
        """
        candidates = [
            OverflowCandidate(
                pipeline,
                self._get_filled_share(pipeline, tokens),
                is_rejecting=not set(pipeline.server_ids).isdisjoint(rejecting),
                is_late=target_gap is not None
                and self._estimate_gap(pipeline) > target_gap.total_seconds(),
            )
            for pipeline in self.list_pipelines(domain)
            if set(pipeline.server_ids).isdisjoint(excluded)
        ]
        is_shared = self._has_old_reports(domain)
        return choose_overflow(candidates, self._random_state if is_shared else None)

    def _has_old_reports(self, domain: DomainId | None) -> bool:
        """Return whether routers that share old reports choose among all pipelines."""
        return domain is None and has_old_reports(self._count_routers())

    def _get_filled_share(self, pipeline: Pipeline, tokens: float) -> float:
        """Return the used share of memory, slots and link with one more request."""
        assert self.spec is not None
        share = self._load.get_filled_share(self.spec, pipeline, tokens)
        limit = self._link_limits.get(pipeline.server_ids)
        if limit is None:
            return share
        used_tokens = self._load.count_tokens(pipeline) + tokens
        return max(share, used_tokens / limit if limit > 0 else math.inf)

    def _describe_load(self, pipeline: Pipeline, gap_s: float) -> ServerLoad:
        """Return the load of a pipeline in requests of the mean size."""
        spec = self.spec
        assert spec is not None
        used_tokens = self._load.count_tokens(pipeline)
        own_tokens = self._load.count_own_tokens(pipeline)
        capacity = max(0.0, used_tokens + self.get_free_tokens(pipeline))
        return ServerLoad(
            gap_s,
            capacity / spec.mean_held_tokens,
            own_tokens / spec.mean_held_tokens,
            max(0.0, used_tokens - own_tokens) / spec.mean_held_tokens,
            timedelta(seconds=gap_s * spec.mean_answer_tokens / spec.stride),
            is_remote=pipeline.entry.domain != self._domain,
        )

    def _estimate_cost(
        self,
        pipeline: Pipeline,
        tokens: float,
        target_gap: timedelta | None,
        requires_capacity: bool,
    ) -> float | None:
        """Return the expected gap in seconds, with penalties; None if it is full."""
        assert self.spec is not None
        gap_s = self._estimate_gap(pipeline)
        is_slow = (
            target_gap is not None
            and gap_s > _MAX_GAP_SHARE * target_gap.total_seconds()
        )
        is_full = is_slow or self.get_free_tokens(pipeline) < tokens
        if is_full and requires_capacity and not self._is_idle(pipeline):
            return None
        limit = self._link_limits.get(pipeline.server_ids)
        if limit is not None:
            # An overloaded link also delays the streams that use it already.
            gap_s *= max(1.0, (self._load.count_tokens(pipeline) + tokens) / limit)
        is_remote = pipeline.entry.domain != self._domain
        return gap_s * _REMOTE_ENTRY_FACTOR if is_remote else gap_s

    def get_free_tokens(self, pipeline: Pipeline) -> float:
        """Return a pipeline's free capacity in tokens; negative if overcommitted."""
        assert self.spec is not None
        free_tokens = self._load.get_free_tokens(self.spec, pipeline)
        limit = self._link_limits.get(pipeline.server_ids)
        if limit is None:
            return free_tokens
        return min(free_tokens, limit - self._load.count_tokens(pipeline))

    def get_free_slot_share(self) -> float:
        """Return the free share of the request slots of all first engines."""
        if self.spec is None or not self.pipelines:
            return 0.0
        slots = self.spec.slots * len(self.pipelines)
        used = sum(
            self._load.get(pipeline.entry.id).entry_count for pipeline in self.pipelines
        )
        return max(0.0, 1.0 - used / slots)

    def record_gap(self, pipeline: Pipeline, gap: timedelta) -> None:
        """Record the time between an event and the one before it."""
        key = pipeline.server_ids
        observed = self._observed_gaps.get(key)
        value = gap.total_seconds()
        if observed is not None:
            value = observed[1] + (value - observed[1]) * _OBSERVATION_WEIGHT
        self._observed_gaps[key] = (self._clock.monotonic(), value)

    def get_observed_gap(self, pipeline: Pipeline) -> timedelta | None:
        """Return the recent time between events; None without recent observations."""
        observed = self._observed_gaps.get(pipeline.server_ids)
        if (
            observed is None
            or self._clock.monotonic() - observed[0] > _MAX_OBSERVATION_AGE
        ):
            return None
        return timedelta(seconds=observed[1])

    def _estimate_gap(self, pipeline: Pipeline) -> float:
        """Return the expected time between events, in seconds."""
        assert self.spec is not None
        tokens = self._load.count_tokens(pipeline)
        sequences = tokens / self.spec.mean_held_tokens
        base = pipeline.estimate_token_time(self.spec, 0, 0)
        loaded = pipeline.estimate_token_time(self.spec, sequences + 1, tokens)
        token_time = base + (loaded - base) * _CONTENTION_FACTOR
        estimate = (token_time * self.spec.stride).total_seconds()
        observed = self.get_observed_gap(pipeline)
        return estimate if observed is None else max(estimate, observed.total_seconds())

    def _is_idle(self, pipeline: Pipeline) -> bool:
        """Return whether no request runs; then a request of any size is accepted."""
        return all(
            self._load.get(stage.server.id).token_layers <= 0
            for stage in pipeline.stages
        )
