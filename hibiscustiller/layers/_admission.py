"""Admission of requests to pipelines: immediate, after a bounded wait, or refused."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Set
from dataclasses import dataclass, field
from datetime import timedelta

import curio
from result import Err, Ok, Result

from hibiscustiller.layers._answer_lengths import AnswerLengths
from hibiscustiller.layers._choice import PipelineSelector
from hibiscustiller.layers._load import EngineLoad
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.layers._queue import FairQueue
from hibiscustiller.layers._rejections import RejectionRecord
from hibiscustiller.utils import (
    Clock,
    DomainId,
    OrganisationId,
    Refusal,
    RefusalReason,
    ServerId,
    Verdict,
)
from hibiscustiller.wire import wait_for_event

# Maximum wait as a share of the target latency; the rest is left for the prompt.
MAX_WAIT_SHARE = 0.6
# Range of the random retry delay: callers refused together must not retry together.
_MIN_RETRY_DELAY = timedelta(seconds=1.5)
_MAX_RETRY_DELAY = timedelta(seconds=4.5)
# The retry delay takes at most this share, about a third, of the caller's remaining
# time.
_MAX_RETRY_SHARE = 0.3
# Half-life of the moving average of the rate at which places are released.
_RATE_HALF_LIFE = timedelta(seconds=1)


@dataclass(frozen=True)
class Demand:
    """The resources and response times that a request needs.

    :param priority: priority class; 0 is the most urgent.
    :param tokens: average number of tokens held while the request runs.
    :param target_latency: longest time to the first event that earns full value.
    :param target_gap: longest time between events that earns full value; None if there
        is no target.
    :param remaining_time: time until the caller's deadline.
    :param is_return: whether the caller was refused before and comes again.
    :param is_resumable: whether the stream may be ended and resumed in one answer.
    :param answer_tokens: expected tokens of the answer; ``tokens`` counts them in part;
        0 if unknown.
    """

    priority: int
    organisation: OrganisationId
    tokens: float
    target_latency: timedelta
    target_gap: timedelta | None
    remaining_time: timedelta
    is_return: bool = False
    is_resumable: bool = False
    answer_tokens: float = 0.0


@dataclass(frozen=True)
class PlaceOutcome:
    """What became of a request at its place.

    :param answer_tokens: tokens of the complete answer; 0 if it is not complete.
    :param rejected_by: servers that rejected the request for want of room.
    """

    answer_tokens: float = 0.0
    rejected_by: tuple[ServerId, ...] = ()


UNKNOWN_OUTCOME = PlaceOutcome()


@dataclass
class Grant:
    """A place in a pipeline, held until :meth:`Admission.release`.

    :param demand: of the request that holds the place; None if unknown.
    :param admission: the admission that granted the place; None if another router did.
    :param place_id: identifier of the place at that other router.
    """

    pipeline: Pipeline
    tokens: float
    admission: Admission | None = None
    place_id: int = 0
    demand: Demand | None = None


@dataclass(eq=False)
class _Waiter:
    demand: Demand
    is_granted: curio.Event = field(default_factory=curio.Event)
    grant: Grant | None = None


class Admission:
    """Grants places in the pipelines of one service.

    :param selector: selects among the pipelines of the service.
    :param load: requests in flight.
    :param clock: source of time.
    :param random_state: randomises the retry delays of refused callers.
    :param list_refusing: returns the engines that refused a request recently.
    :param domain: only pipelines whose first engine is in this domain are used; None
        for all.
    :param rejections: engines that rejected requests of any router; None for an
        admission that allocates no places.
    :param answer_lengths: actual lengths of answers; None to believe each request.
    """

    def __init__(
        self,
        selector: PipelineSelector,
        load: EngineLoad,
        clock: Clock,
        random_state: random.Random,
        list_refusing: Callable[[], Set[ServerId]] = frozenset,
        domain: DomainId | None = None,
        rejections: RejectionRecord | None = None,
        answer_lengths: AnswerLengths | None = None,
    ) -> None:
        self.answer_lengths = answer_lengths
        self._domain = domain
        self.rejections = rejections
        self._list_refusing = list_refusing
        self._selector = selector
        self._load = load
        self._clock = clock
        self._random_state = random_state
        self._queue: FairQueue[_Waiter] = FairQueue()
        self._released_tokens_per_s = 0.0
        self._rate_updated_at = clock.monotonic()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a place."""
        return len(self._queue)

    def try_admit(self, demand: Demand) -> Grant | None:
        """Grant a free place; None if none is free or other requests wait."""
        return None if len(self._queue) else self._try_grant(demand)

    async def admit(self, demand: Demand) -> Result[Grant, Refusal]:
        """Wait for a place, or refuse at once if the expected wait is too long."""
        if not self._selector.list_pipelines(self._domain):
            return Err(self.refuse(demand, RefusalReason.NO_ROUTE, "no pipeline"))
        grant = self.try_admit(demand)
        if grant is not None:
            return Ok(grant)
        max_wait = demand.target_latency * MAX_WAIT_SHARE
        if self._estimate_wait(demand) > max_wait:
            return Err(self.refuse(demand, RefusalReason.OVERLOADED, "queue is long"))
        waiter = _Waiter(demand)
        key = (demand.priority, demand.organisation)
        self._queue.push(*key, demand.tokens, waiter)
        try:
            # A place may still be granted at the moment when the wait times out, so
            # the outcome is read from the waiter.
            await wait_for_event(max_wait, waiter.is_granted)
        except BaseException:
            self._queue.remove(*key, waiter)
            if waiter.grant is not None:
                await self.release(waiter.grant)
            raise
        if waiter.grant is None:
            self._queue.remove(*key, waiter)
            return Err(self.refuse(demand, RefusalReason.OVERLOADED, "no place"))
        return Ok(waiter.grant)

    def find_replacement(
        self, demand: Demand, excluded: Collection[ServerId]
    ) -> Grant | None:
        """Find a new place, without a wait, for a request that has lost its place.

        A stream that has begun is worth more than a new one, so it may exceed the
        usual limit of a pipeline.

        :param excluded: engines that must not be used.
        :returns: None if no pipeline avoids the excluded engines.
        """
        pipeline = self.select_replacement(demand, excluded)
        return None if pipeline is None else self.reserve(pipeline, demand)

    def select_replacement(
        self, demand: Demand, excluded: Collection[ServerId]
    ) -> Pipeline | None:
        """Return the pipeline for a request that has lost its place."""
        tokens, gap = self._estimate_tokens(demand), demand.target_gap
        domain = self._domain
        rejecting = self._list_rejecting(excluded)
        pipeline = self._selector.select(
            tokens, gap, {*excluded, *rejecting}, domain=domain
        )
        if pipeline is not None:
            return pipeline
        return self._selector.select_overflow(tokens, gap, excluded, rejecting, domain)

    def reserve(self, pipeline: Pipeline, demand: Demand) -> Grant:
        """Reserve a place in a pipeline regardless of its free capacity."""
        return self.record_place(pipeline, self._estimate_tokens(demand), demand)

    def record_place(
        self, pipeline: Pipeline, tokens: float, demand: Demand | None = None
    ) -> Grant:
        """Record a place that is already in use."""
        self._load.add(pipeline, tokens)
        return Grant(pipeline, tokens, self, demand=demand)

    async def release(
        self, grant: Grant, outcome: PlaceOutcome = UNKNOWN_OUTCOME
    ) -> None:
        """Release a place and grant what became free to waiting requests.

        :param outcome: what became of the request that held it.
        """
        self._load.remove(grant.pipeline, grant.tokens)
        if self.rejections is not None:
            self.rejections.record_release(
                grant.pipeline.server_ids, outcome.rejected_by
            )
        if self.answer_lengths is not None and grant.demand is not None:
            hinted = grant.demand.answer_tokens
            actual = outcome.answer_tokens
            self.answer_lengths.record(grant.demand.priority, hinted, actual)
        self._update_rate(grant.tokens)
        await self.grant_waiting()

    async def grant_waiting(self) -> None:
        """Grant free places to waiting requests; call whenever one may be free."""
        while (head := self._queue.peek()) is not None:
            _, waiter = head
            grant = self._try_grant(waiter.demand)
            if grant is None:
                return
            self._queue.pop()
            waiter.grant = grant
            await waiter.is_granted.set()

    def record_gap(self, pipeline: Pipeline, gap: timedelta) -> None:
        """Record a time between events that another router observed."""
        self._selector.record_gap(pipeline, gap)

    def get_observed_gap(self, pipeline: Pipeline) -> timedelta | None:
        """Return the recent time between events; None without recent observations."""
        return self._selector.get_observed_gap(pipeline)

    def count_free_tokens(self) -> float:
        """Return the free capacity in tokens; 0 while requests wait for a place."""
        if self._selector.spec is None or len(self._queue):
            return 0.0
        pipelines = self._selector.list_pipelines(self._domain)
        full = set() if self.rejections is None else self.rejections.list_full()
        with_room = [p for p in pipelines if full.isdisjoint(p.server_ids)]
        return sum(
            max(0.0, self._selector.get_free_tokens(pipeline))
            for pipeline in with_room or pipelines
        )

    def _try_grant(self, demand: Demand) -> Grant | None:
        pipeline = self._selector.select(
            self._estimate_tokens(demand),
            demand.target_gap,
            self._list_rejecting(),
            domain=self._domain,
        )
        return None if pipeline is None else self.reserve(pipeline, demand)

    def _list_rejecting(self, excluded: Collection[ServerId] = ()) -> Set[ServerId]:
        """Return the engines that rejected a request lately.

        :param excluded: engines that are not used in any case.
        :returns: no engine if every pipeline has such an engine: waiting would not
            help, and a request that is rejected is retried around the engine.
        """
        rejecting = self._list_refusing()
        if self.rejections is not None:
            rejecting = rejecting | self.rejections.list_excluded()
        for pipeline in self._selector.list_pipelines(self._domain):
            if {*excluded, *rejecting}.isdisjoint(pipeline.server_ids):
                return rejecting
        return frozenset()

    def _estimate_tokens(self, demand: Demand) -> float:
        """Return the tokens that a place of a request holds on average."""
        pipelines = self._selector.list_pipelines(self._domain)
        if self.answer_lengths is None or not pipelines:
            return demand.tokens
        held_count = sum(self._load.get(p.entry.id).entry_count for p in pipelines)
        return demand.tokens + self.answer_lengths.estimate_excess(
            demand.priority, demand.answer_tokens, held_count / len(pipelines) + 1
        )

    def _estimate_wait(self, demand: Demand) -> timedelta:
        self._update_rate(0.0)
        tokens_ahead, class_share = self._queue.estimate_share(
            demand.priority, demand.organisation, demand.tokens
        )
        if not tokens_ahead:
            return timedelta(0)
        rate = self._released_tokens_per_s * class_share
        if rate <= 0:
            return timedelta.max
        return timedelta(seconds=min(1e6, (tokens_ahead + demand.tokens) / rate))

    def _update_rate(self, tokens: float) -> None:
        now = self._clock.monotonic()
        age = (now - self._rate_updated_at).total_seconds()
        self._rate_updated_at = now
        half_life = _RATE_HALF_LIFE.total_seconds()
        self._released_tokens_per_s *= 0.5 ** (age / half_life)
        # With this factor, a steady release rate yields an average equal to that rate.
        self._released_tokens_per_s += tokens * math.log(2) / half_life

    def refuse(self, demand: Demand, reason: RefusalReason, message: str) -> Refusal:
        """Build a refusal with a randomised delay before the caller may retry."""
        spread = (_MAX_RETRY_DELAY - _MIN_RETRY_DELAY) * self._random_state.random()
        max_delay = max(demand.remaining_time * _MAX_RETRY_SHARE, timedelta(0))
        retry_after = min(_MIN_RETRY_DELAY + spread, max_delay)
        return Refusal(reason, Verdict.NOT_RUN, message, retry_after)
