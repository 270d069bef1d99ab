"""Admission of requests to pipelines: immediate, after a bounded wait, or refused."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Set
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import curio
from result import Err, Ok, Result

from hibiscustiller.layers._admission_policy import AdmissionPolicy
from hibiscustiller.layers._answer_lengths import AnswerLengths
from hibiscustiller.layers._appointments import choose_retry_delay
from hibiscustiller.layers._choice import PipelineSelector
from hibiscustiller.layers._demand import (
    UNKNOWN_OUTCOME,
    Demand,
    Grant,
    PlaceOutcome,
)
from hibiscustiller.layers._displaced import DisplacedQueue
from hibiscustiller.layers._free_capacity import (
    count_usable_tokens,
    has_room,
)
from hibiscustiller.layers._load import EngineLoad
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.layers._place_reports import report_refusal, report_wait
from hibiscustiller.layers._place_selection import PlaceSelector
from hibiscustiller.layers._queue import FairQueue, QueueRules
from hibiscustiller.layers._rejections import RejectionRecord
from hibiscustiller.layers._release_rate import ReleaseRate
from hibiscustiller.layers._wait_estimate import WaitEstimator
from hibiscustiller.utils import (
    Clock,
    DomainId,
    Metrics,
    OrganisationId,
    Refusal,
    RefusalReason,
    ServerId,
    ServiceName,
    Verdict,
)
from hibiscustiller.wire import wait_for_event

# Maximum wait as a share of the target latency; the rest is left for the prompt.
MAX_WAIT_SHARE = 0.6
# Longer expected waits are logged as this one.
_MAX_SHOWN_WAIT = timedelta(minutes=1)


@dataclass(eq=False)
class _Waiter:
    demand: Demand
    is_granted: curio.Event = field(default_factory=curio.Event)
    grant: Grant | None = None
    waiting_since: timedelta = timedelta(0)
    has_recall: bool = False


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
    :param policy: orders classes and organisations and makes appointments; None grants
        places by weighted fair queueing alone.
    :param metrics: counts the refusals under a policy.
    :param service: name of the service, for log lines.
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
        policy: AdmissionPolicy | None = None,
        metrics: Metrics | None = None,
        service: ServiceName | None = None,
        answer_lengths: AnswerLengths | None = None,
    ) -> None:
        self.places = PlaceSelector(
            selector, load, list_refusing, domain, rejections, answer_lengths
        )
        self._domain = domain
        self._policy = policy
        self._metrics = metrics or Metrics()
        self._service = service
        self._selector = selector
        self._load = load
        self._clock = clock
        self._random_state = random_state
        rules = None
        if policy is not None:
            rules = QueueRules(self._may_take, self._find_over_share, policy.get_weight)
        self._queue: FairQueue[_Waiter] = FairQueue(rules)
        self._displaced: DisplacedQueue[_Waiter] = DisplacedQueue()
        self._release_rate = ReleaseRate(clock.monotonic())
        self._wait_estimator = WaitEstimator(
            self._queue, self._release_rate, policy, self._count_usable_tokens
        )

    @property
    def domain(self) -> DomainId | None:
        """Domain of the first engines of the pipelines; None for all."""
        return self._domain

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a place."""
        return len(self._queue) + len(self._displaced)

    @property
    def displaced_count(self) -> int:
        """Number of begun streams that wait for a place."""
        return len(self._displaced)

    def try_admit(self, demand: Demand) -> Grant | None:
        """Grant a free place; None if none is free or other requests go first."""
        grant = self._try_admit(demand)
        if grant is not None and self._policy is not None:
            # A request that gets no place comes again, to wait, and counts then.
            self._policy.record_arrival(self._clock.monotonic(), demand)
        return grant

    async def admit(self, demand: Demand) -> Result[Grant, Refusal]:
        """Wait for a place, or refuse at once if the expected wait is too long."""
        if not self.places.list_pipelines():
            return Err(self.refuse(demand, RefusalReason.NO_ROUTE, "no pipeline"))
        policy = self._policy
        if policy is not None:
            policy.record_arrival(self._clock.monotonic(), demand)
        grant = self._try_admit(demand)
        if grant is not None:
            return Ok(grant)
        max_wait = demand.target_latency * MAX_WAIT_SHARE
        started_at = self._clock.monotonic()
        wait = self._wait_estimator.estimate(
            started_at, demand, self._displaced.waiting_tokens
        )
        if wait > max_wait:
            return Err(self._refuse_for_room(demand, "queue is long", wait))
        if policy is not None and policy.misses_deadline(demand, wait):
            message = "the answer would not end within the deadline"
            return Err(self.refuse(demand, RefusalReason.DEADLINE, message, wait))
        reason = self._explain_wait(demand)
        waiter = _Waiter(demand, waiting_since=started_at)
        key = (demand.priority, demand.organisation)
        is_return = demand.is_return and policy is not None
        self._queue.push(*key, demand.tokens, waiter, is_return=is_return)
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
            refusal = self._refuse_for_room(demand, "no place", max_wait)
            if policy is not None:
                # Less urgent requests that waited behind this one may go now.
                await self.grant_waiting()
            return Err(refusal)
        if policy is not None:
            waited = self._clock.monotonic() - started_at
            report_wait(
                demand,
                waited,
                self._metrics,
                service=self._service,
                domain=self._domain,
                reason=reason,
                expected_wait=wait,
                waiting=len(self._queue),
            )
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
        pipeline = self.places.select_replacement(demand, excluded)
        return None if pipeline is None else self.reserve(pipeline, demand)

    def try_replace(
        self, demand: Demand, excluded: Collection[ServerId]
    ) -> Grant | None:
        """Grant a free place to a begun stream; None if it would have to wait.

        :param excluded: engines that must not be used.
        """
        return self._try_grant(demand, {*excluded, *self._list_reserved()})

    async def wait_for_replacement(
        self, demand: Demand, excluded: Collection[ServerId], max_wait: timedelta
    ) -> Grant | None:
        """Find a new place for a begun stream, which waits before all new requests.

        When the wait is over, the stream may exceed the usual limit of a pipeline.

        :param excluded: engines that must not be used.
        :returns: None if no pipeline avoids the excluded engines.
        """
        waiter = _Waiter(demand)
        if self.places.may_use_any(excluded):
            self._displaced.push(waiter, demand.tokens, excluded)
            try:
                await self.grant_waiting()
                await wait_for_event(max_wait, waiter.is_granted)
            except BaseException:
                self._displaced.remove(waiter)
                if waiter.grant is not None:
                    await self.release(waiter.grant)
                raise
        if waiter.grant is not None:
            return waiter.grant
        self._displaced.remove(waiter)
        return self.find_replacement(demand, excluded)

    def reserve(self, pipeline: Pipeline, demand: Demand) -> Grant:
        """Reserve a place in a pipeline regardless of its free capacity."""
        return self.record_place(pipeline, self.places.estimate_tokens(demand), demand)

    def record_place(
        self, pipeline: Pipeline, tokens: float, demand: Demand | None = None
    ) -> Grant:
        """Record a place that is already in use."""
        self._load.add(pipeline, tokens)
        grant = Grant(pipeline, tokens, self, demand=demand)
        if self._policy is not None:
            self._policy.record_place(grant)
        return grant

    async def release(
        self, grant: Grant, outcome: PlaceOutcome = UNKNOWN_OUTCOME
    ) -> None:
        """Release a place and grant what became free to waiting requests.

        :param outcome: what became of the request that held it.
        """
        self._load.remove(grant.pipeline, grant.tokens)
        self.places.record_outcome(grant, outcome)
        now = self._clock.monotonic()
        if self._policy is not None:
            self._policy.record_release(now, grant)
        self._release_rate.record(now, grant.tokens)
        await self.grant_waiting()

    async def grant_waiting(self) -> None:
        """Grant free places to waiting requests; call whenever one may be free."""
        for waiter in self._displaced.grant(
            self.places.list_pipelines(), self._try_grant_displaced
        ):
            await waiter.is_granted.set()
        while (head := self._queue.peek()) is not None:
            waiter = head.item
            grant = self._try_grant(waiter.demand, self._list_reserved())
            if grant is None:
                return
            self._queue.take(head)
            waiter.grant = grant
            await waiter.is_granted.set()

    def find_next_waiting(self) -> tuple[Demand, timedelta] | None:
        """Return the request that gets the next free place, and its wait until now.

        :returns: None if no new request is next, or a place was recalled for it.
        """
        head = self._queue.peek()
        if head is None or len(self._displaced) or head.item.has_recall:
            return None
        waiter = head.item
        return waiter.demand, self._clock.monotonic() - waiter.waiting_since

    def record_recall(self) -> None:
        """Record that a place was recalled for the request that is served next."""
        head = self._queue.peek()
        if head is not None:
            head.item.has_recall = True

    def record_gap(self, pipeline: Pipeline, gap: timedelta) -> None:
        """Record a time between events that another router observed."""
        self._selector.record_gap(pipeline, gap)

    def get_observed_gap(self, pipeline: Pipeline) -> timedelta | None:
        """Return the recent time between events; None without recent observations."""
        return self._selector.get_observed_gap(pipeline)

    def count_free_tokens(self) -> float:
        """Return the free capacity in tokens; 0 while requests wait for a place.

        While those that wait may not take the room that is left, it is counted in
        whole requests: others may.
        """
        if len(self._displaced):
            return 0.0
        if not len(self._queue):
            return self.places.count_free_tokens()
        return 0.0 if self._queue.peek() is not None else self._count_usable_tokens()

    def expect_waits(self) -> dict[int, timedelta]:
        """Return how long a new request of each class waits for a place.

        It is empty without a policy. A class is included once it has requests.
        """
        policy = self._policy
        if policy is None:
            return {}
        waits = {}
        for priority in policy.priorities:
            tokens = policy.get_mean_tokens(priority)
            is_free = (
                self._is_turn_of(priority)
                and self._may_take(priority, tokens)
                and has_room(self._selector, self._domain, tokens)
            )
            waits[priority] = timedelta(0)
            if not is_free:
                waits[priority] = self._wait_estimator.estimate_for_class(
                    self._clock.monotonic(), priority, tokens
                )
        return waits

    def describe(self) -> dict[str, Any]:
        """Return the state as JSON values; it is small without a policy."""
        state: dict[str, Any] = {"waiting": len(self._queue)}
        if self._policy is not None:
            now = self._clock.monotonic()
            state |= self._policy.describe(now, self._count_usable_tokens())
            state["waits_ms"] = {
                str(priority): min(wait, _MAX_SHOWN_WAIT) // timedelta(milliseconds=1)
                for priority, wait in self.expect_waits().items()
            }
        return state

    def _count_usable_tokens(self) -> float:
        return count_usable_tokens(self._selector, self._domain)

    def _is_turn_of(self, priority: int) -> bool:
        """Return whether a new request of a class need not wait behind others."""
        most_urgent = self._queue.find_most_urgent()
        if most_urgent is None:
            return True
        # Less urgent requests may wait because room is left for more urgent ones.
        return self._policy is not None and priority < most_urgent

    def _may_take(self, priority: int, tokens: float) -> bool:
        """Return whether a class may take a free place by the policy."""
        assert self._policy is not None
        most_urgent = self._queue.find_most_urgent()
        return self._policy.may_take(
            self._clock.monotonic(),
            priority,
            tokens,
            self._count_usable_tokens,
            is_urgent_waiting=most_urgent is not None and most_urgent < priority,
        )

    def _find_over_share(
        self, priority: int, asking: Collection[OrganisationId]
    ) -> Set[OrganisationId]:
        assert self._policy is not None
        free_tokens = self._count_usable_tokens()
        return self._policy.find_over_share(priority, asking, free_tokens)

    def _try_admit(self, demand: Demand) -> Grant | None:
        if not self._is_turn_of(demand.priority):
            return None
        if self._policy is not None and not self._may_take(
            demand.priority, demand.tokens
        ):
            return None
        return self._try_grant(demand, self._list_reserved())

    def _explain_wait(self, demand: Demand) -> str:
        """Return why a request gets no place at once."""
        if not self._is_turn_of(demand.priority):
            return "others wait"
        if self._policy is not None and not self._may_take(
            demand.priority, demand.tokens
        ):
            return "room is reserved"
        return "no room"

    def _list_reserved(self) -> Set[ServerId]:
        """Return the engines that new requests leave to streams that wait."""
        if not len(self._displaced):
            return frozenset()
        return self._displaced.list_reserved(self.places.list_pipelines())

    def _try_grant_displaced(self, waiter: _Waiter, excluded: Set[ServerId]) -> bool:
        waiter.grant = self._try_grant(waiter.demand, excluded)
        return waiter.grant is not None

    def _try_grant(
        self, demand: Demand, excluded: Set[ServerId] = frozenset()
    ) -> Grant | None:
        pipeline = self.places.select_free(demand, excluded)
        if pipeline is None:
            return None
        grant = self.reserve(pipeline, demand)
        grant.granted_at = self._clock.monotonic()
        return grant

    def _refuse_for_room(
        self, demand: Demand, message: str, wait: timedelta
    ) -> Refusal:
        if self._policy is not None:
            self._policy.record_refusal(self._clock.monotonic(), demand)
        return self.refuse(demand, RefusalReason.OVERLOADED, message, wait)

    def refuse(
        self,
        demand: Demand,
        reason: RefusalReason,
        message: str,
        expected_wait: timedelta = timedelta.max,
    ) -> Refusal:
        """Build a refusal with a randomised delay before the caller may retry.

        With a policy, the delay is an appointment.

        :param expected_wait: how long the request would wait or has waited, for the
            log line; the largest value if it is unknown.
        """
        policy = self._policy
        if policy is None:
            retry_after = choose_retry_delay(demand, self._random_state)
            return Refusal(reason, Verdict.NOT_RUN, message, retry_after)
        now = self._clock.monotonic()
        released_per_s = self._release_rate.get(now)
        retry_after, is_room_expected = policy.make_appointment(
            now, demand, released_per_s
        )
        refusal = Refusal(reason, Verdict.NOT_RUN, message, retry_after)
        report_refusal(
            demand,
            refusal,
            self._metrics,
            is_room_expected=is_room_expected,
            service=self._service,
            domain=self._domain,
            expected_wait=min(expected_wait, _MAX_SHOWN_WAIT),
            waiting=len(self._queue),
            free_tokens=self._count_usable_tokens(),
            held_tokens=policy.get_held_tokens(demand.priority),
            released_per_s=released_per_s,
        )
        return refusal
