"""Which pipeline a request takes: the one that will write it fastest and has room.

In a large fleet the reports of other routers are a second old or more. If all took the
best pipeline, they would fill it together, so a router that chooses among all of them
takes the better of two drawn at random. One that gives out the places of a domain
knows them all.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection
from datetime import timedelta

from hibiscustiller.fleet import EngineSpec
from hibiscustiller.layers._link import share_link
from hibiscustiller.layers._load import EngineLoad
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.utils import Clock, DomainId, ServerId

# Estimates know nothing of waits for other requests' prompts and passes; trials saw
# about twice the estimate at full pipelines.
_CONTENTION = 2.0
# Bytes between this router and another domain are charged, and a hop is added.
_REMOTE_FACTOR = 1.05
# Observed pauses say more than the estimate while they are recent.
_OBSERVATION_LIFE = timedelta(seconds=2)
_OBSERVATION_WEIGHT = 0.15
# Up to this many routers, reports are at most 0.3 s old.
MAX_ROUTERS_WITH_FRESH_REPORTS = 12
_DRAWN = 2
# A pipeline whose pauses come close to the target has no room for more requests.
_GAP_SHARE = 0.8


class PipelineChoice:
    """The pipelines of one service, and how fast they are.

    :param domain: where this router is.
    :param load: requests in flight.
    :param clock: tells the age of observations.
    :param count_routers: returns how many routers choose at the same time.
    :param random_state: draws candidates in a large fleet.
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
        self._observed: dict[tuple[ServerId, ...], tuple[timedelta, float]] = {}
        # Tokens that pipelines across domains may hold, by their servers.
        self._link_limits: dict[tuple[ServerId, ...], float] = {}

    def replace(self, spec: EngineSpec, pipelines: tuple[Pipeline, ...]) -> None:
        """Take the pipelines found from a new view of the fleet.

        Pipelines for which the link between domains has no room are left out, unless
        there are no others; then the one that gets most of the link stays.
        """
        self.spec = spec
        shares = share_link(spec, pipelines)
        limits = {
            pipeline.server_ids: share * pipeline.count_memory_tokens(spec)
            for pipeline, share in zip(pipelines, shares, strict=True)
            if share < 1
        }
        fitting = tuple(
            pipeline
            for pipeline in pipelines
            if limits.get(pipeline.server_ids, math.inf) >= spec.usual_tokens
        )
        self._link_limits = limits
        if pipelines and not fitting:
            widest = max(pipelines, key=lambda pipeline: limits[pipeline.server_ids])
            fitting = (widest,)
        self.pipelines = fitting
        known = {pipeline.server_ids for pipeline in self.pipelines}
        self._observed = {
            key: value for key, value in self._observed.items() if key in known
        }

    def list_pipelines(self, domain: DomainId | None) -> tuple[Pipeline, ...]:
        """Return the pipelines that begin in a domain; None for all."""
        if domain is None:
            return self.pipelines
        return tuple(p for p in self.pipelines if p.entry.domain == domain)

    def choose(
        self,
        tokens: float,
        target_gap: timedelta | None,
        excluded: Collection[ServerId] = (),
        *,
        must_have_room: bool = True,
        domain: DomainId | None = None,
    ) -> Pipeline | None:
        """Return the pipeline that should be fastest.

        :param tokens: tokens that the request will hold.
        :param target_gap: longest pause between events that is still in time.
        :param excluded: engines that must not be used.
        :param must_have_room: whether a pipeline without room may not be used.
        :param domain: only pipelines that begin there are used; None for all.
        """
        candidates = [
            (time, pipeline)
            for pipeline in self.list_pipelines(domain)
            if not any(stage.server.id in excluded for stage in pipeline.stages)
            and (time := self._find_time(pipeline, tokens, target_gap, must_have_room))
            is not None
        ]
        is_blind = (
            domain is None and self._count_routers() > MAX_ROUTERS_WITH_FRESH_REPORTS
        )
        if is_blind and len(candidates) > _DRAWN:
            candidates = self._random_state.sample(candidates, _DRAWN)
        if not candidates:
            return None
        return min(candidates, key=lambda candidate: candidate[0])[1]

    def _find_time(
        self,
        pipeline: Pipeline,
        tokens: float,
        target_gap: timedelta | None,
        must_have_room: bool,
    ) -> float | None:
        """Return a pipeline's expected pause, in seconds; None if it has no room."""
        assert self.spec is not None
        time = self._estimate_gap(pipeline)
        is_slow = (
            target_gap is not None and time > _GAP_SHARE * target_gap.total_seconds()
        )
        is_full = is_slow or self.find_room(pipeline) < tokens
        if is_full and must_have_room and not self._is_idle(pipeline):
            return None
        limit = self._link_limits.get(pipeline.server_ids)
        if limit is not None:
            # A link beyond its limit delays what is there already as well.
            time *= max(1.0, (self._load.count_tokens(pipeline) + tokens) / limit)
        is_remote = pipeline.entry.domain != self._domain
        return time * _REMOTE_FACTOR if is_remote else time

    def find_room(self, pipeline: Pipeline) -> float:
        """Return how many more tokens a pipeline can hold; negative if too full."""
        assert self.spec is not None
        room = self._load.find_room(self.spec, pipeline)
        limit = self._link_limits.get(pipeline.server_ids)
        if limit is None:
            return room
        return min(room, limit - self._load.count_tokens(pipeline))

    def count_free_share(self) -> float:
        """Return the share of all pipelines' entries that is not in use."""
        if self.spec is None or not self.pipelines:
            return 0.0
        slots = self.spec.slots * len(self.pipelines)
        used = sum(
            self._load.get(pipeline.entry.id).entered for pipeline in self.pipelines
        )
        return max(0.0, 1.0 - used / slots)

    def note_gap(self, pipeline: Pipeline, gap: timedelta) -> None:
        """Record the pause before an event."""
        key = pipeline.server_ids
        seen = self._observed.get(key)
        value = gap.total_seconds()
        if seen is not None:
            value = seen[1] + (value - seen[1]) * _OBSERVATION_WEIGHT
        self._observed[key] = (self._clock.monotonic(), value)

    def get_observed_gap(self, pipeline: Pipeline) -> timedelta | None:
        """Return the recent pause between events; None if none was seen lately."""
        seen = self._observed.get(pipeline.server_ids)
        if seen is None or self._clock.monotonic() - seen[0] > _OBSERVATION_LIFE:
            return None
        return timedelta(seconds=seen[1])

    def _estimate_gap(self, pipeline: Pipeline) -> float:
        """Return the expected pause between events, in seconds."""
        assert self.spec is not None
        tokens = self._load.count_tokens(pipeline)
        sequences = tokens / self.spec.usual_tokens
        base = pipeline.estimate_token_time(self.spec, 0, 0)
        loaded = pipeline.estimate_token_time(self.spec, sequences + 1, tokens)
        time = base + (loaded - base) * _CONTENTION
        estimate = (time * self.spec.stride).total_seconds()
        seen = self.get_observed_gap(pipeline)
        return estimate if seen is None else max(estimate, seen.total_seconds())

    def _is_idle(self, pipeline: Pipeline) -> bool:
        """Tell whether nothing runs; then even a very large request is tried."""
        return all(
            self._load.get(stage.server.id).token_layers <= 0
            for stage in pipeline.stages
        )
