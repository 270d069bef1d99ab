"""Admission control for requests to backend servers."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import curio
from result import Err, Ok, Result

from hibiscustiller.configuration import ClassConfig, FleetConfig, build_config
from hibiscustiller.exceptions import InvariantError
from hibiscustiller.limits._queues import ClassQueue, ModelQueues, Selection, Waiter
from hibiscustiller.limits._reserve import ShareReserve
from hibiscustiller.limits._servers import ServerLimits
from hibiscustiller.limits._service import ModelService, RunningStream
from hibiscustiller.limits._usage import UsageLedger
from hibiscustiller.limits._waits import (
    estimate_wait,
    make_deadline_refusal,
    make_queue_refusal,
)
from hibiscustiller.routing import Route
from hibiscustiller.utils import (
    ClassName,
    Clock,
    Metrics,
    ModelName,
    OrganisationId,
    Refusal,
    RefusalReason,
    RequestId,
    ServerId,
    SystemClock,
    Verdict,
    check_invariant,
    log_event,
)

_DEFAULT_QUEUE_LIMIT = 1000
# Interval at which deadlines and raised limits are checked while requests are queued.
_SWEEP_PERIOD = timedelta(milliseconds=20)
# Interval at which queued requests are planned again without an event at this router.
# A route can also become free because a server joins or recovers.
_REPLAN_PERIOD = timedelta(milliseconds=250)
# Interval at which the observed capacity of a model is discarded and measured again,
# since servers join and leave. While the capacity is unknown, no streams are reserved
# for small organisations.
_CAPACITY_RESET_PERIOD = timedelta(seconds=5)
# Waiters whose expected wait is recomputed in one sweep. At 50 sweeps per second, 5,000
# waiters are checked within a second.
_WAITERS_CHECKED_PER_SWEEP = 100
# Waiters without a route that one dispatch may skip. A request that must avoid servers
# can be blocked while others are not. The bound covers all streams that a server of
# typical size was running when it failed.
_MAX_SKIPPED_WAITERS = 64
# Requests whose preemptions are counted. Beyond it, the oldest counts are dropped. This
# bounds the memory held for preempted requests that were never submitted again.
_MAX_PREEMPTION_COUNTS = 4096
# A queued request is refused if its expected wait exceeds the time to its deadline by
# this factor. The margin keeps fluctuations of the measured service rate from causing
# refusals.
_EXPECTED_WAIT_MARGIN_FACTOR = 1.5


@dataclass(frozen=True)
class AdmissionRequest:
    """The properties of a request that admission control uses.

    :param cost: estimated tokens of the prompt and the answer together.
    :param avoided_servers: servers that the route must not use.
    :param get_occupied_servers: returns additional servers that the route must not use
        at the time of the call; None if there are never any.
    :param on_granted: called with the route when the request is granted, before any
        other request is considered.
    :param is_resumed: whether the request continues an answer that was interrupted. A
        resumed request precedes new requests of its class and is exempt from the queue
        limits.
    :param deadline_at: monotonic time of the clock at which the request is refused if
        it is still queued. None stands for the deadline of its class, counted from
        admission, or for no deadline if the request is resumed.
    """

    request_id: RequestId
    organisation: OrganisationId
    class_name: ClassName
    model: ModelName
    prompt: str
    cost: int
    avoided_servers: frozenset[ServerId] = frozenset()
    get_occupied_servers: Callable[[], frozenset[ServerId]] | None = None
    on_granted: Callable[[Route], None] | None = None
    is_resumed: bool = False
    deadline_at: timedelta | None = None

    def get_avoided_servers(self) -> frozenset[ServerId]:
        """Return all servers that the route must not use at present."""
        if self.get_occupied_servers is None:
            return self.avoided_servers
        return self.avoided_servers | self.get_occupied_servers()


@dataclass(eq=False)
class Grant:
    """Permission to run one request on a route.

    :param preempted: set when the request must stop and request admission again.
    """

    request: AdmissionRequest
    route: Route
    preempted: curio.Event = field(default_factory=curio.Event)


# Plans a route for a request, or returns a refusal.
PlanRoute = Callable[[AdmissionRequest], Result[Route, Refusal]]


class _Model:
    """Admission state of one model."""

    def __init__(self) -> None:
        self.queues = ModelQueues()
        self.service = ModelService()
        # Whether capacity is exhausted. No route is planned until capacity may be free.
        self.is_blocked = False
        # Number of running streams when capacity was exhausted; 0 while unknown.
        self.capacity = 0
        self.reserved_cost = 0
        self.reserves_by_class: dict[ClassName, ShareReserve] = {}

    def get_reserve(self, class_name: ClassName) -> ShareReserve:
        """Return the capacity reserve of a class, creating it if necessary."""
        return self.reserves_by_class.setdefault(class_name, ShareReserve())


class AdmissionController:
    """Grants, queues or refuses requests.

    :param plan_route: finds a route with free capacity.
    :param get_config: returns the current configuration. A class that is missing from
        it has rank 0 and the default settings.
    :param clock: source of time.
    :param ledger: record of the service that each organisation attained.
    :param server_limits: limits in which the streams of granted requests are counted.
    :param metrics: receives the metrics of admission.
    :param queue_limit: maximum number of new requests in all queues together.
    """

    def __init__(
        self,
        plan_route: PlanRoute,
        get_config: Callable[[], FleetConfig] | None = None,
        clock: Clock | None = None,
        ledger: UsageLedger | None = None,
        server_limits: ServerLimits | None = None,
        metrics: Metrics | None = None,
        queue_limit: int = _DEFAULT_QUEUE_LIMIT,
    ) -> None:
        self._plan_route = plan_route
        self._get_config = get_config or _make_empty_config_getter()
        self._clock = clock or SystemClock()
        self._ledger = ledger or UsageLedger(self._clock)
        self._server_limits = server_limits
        self._metrics = metrics or Metrics()
        self._queue_limit = queue_limit
        self._models_by_name: dict[ModelName, _Model] = {}
        self._running_by_grant: dict[Grant, RunningStream] = {}
        # Requests that are queued or hold a grant.
        self._active_requests: set[RequestId] = set()
        self._preemptions: OrderedDict[RequestId, int] = OrderedDict()
        self._deadline_heap: list[tuple[timedelta, int, Waiter]] = []
        self._sequence = 0
        self._queued_count = 0
        self._events_to_set: deque[curio.Event] = deque()
        self._has_waiters = curio.Event()
        self._has_raised_limit = False
        self._has_changed_routes = False
        self._replanned_at = self._clock.monotonic()
        self._capacity_reset_at = self._clock.monotonic()
        self._waiters_to_check: Iterator[tuple[_Model, ClassQueue, Waiter, int]] = iter(
            ()
        )
        self._sweep_task: curio.Task | None = None
        if server_limits is not None:
            server_limits.subscribe(self.handle_raised_limit)

    async def start(self) -> None:
        """Start the background task that sweeps the queues periodically."""
        self._sweep_task = await curio.spawn(self._sweep_periodically, daemon=True)

    async def stop(self) -> None:
        """Stop the background task."""
        if self._sweep_task is not None:
            await self._sweep_task.cancel()
            self._sweep_task = None

    async def admit(self, request: AdmissionRequest) -> Result[Grant, Refusal]:
        """Wait until a request is granted or refused.

        :returns: a grant, which the caller must release, or a refusal whose verdict is
            "not run".
        """
        check_invariant(
            request.request_id not in self._active_requests,
            "request_admitted_once",
            request=request.request_id,
        )
        model = self._models_by_name.setdefault(request.model, _Model())
        waiter = self._enqueue(model, request)
        try:
            self._dispatch(model)
            if waiter.outcome is None:
                self._enforce_queue_limits(model, waiter)
            await self._set_events()
            if waiter.outcome is None:
                await self._has_waiters.set()
                await waiter.event.wait()
        except BaseException:
            await self._withdraw(model, waiter)
            raise
        assert waiter.outcome is not None
        return waiter.outcome

    async def release(self, grant: Grant, used_tokens: int) -> None:
        """Release a grant and its capacity.

        :param used_tokens: tokens that were used under the grant. They replace the
            estimated cost in the organisation's usage.
        """
        stream = self._running_by_grant.pop(grant, None)
        check_invariant(
            stream is not None,
            "grant_released_once",
            request=grant.request.request_id,
        )
        assert stream is not None
        model = self._models_by_name[grant.request.model]
        self._settle(model, stream, max(0, used_tokens))
        model.is_blocked = False
        self._dispatch(model)
        await self._set_events()

    def has_route(self, request: AdmissionRequest) -> bool:
        """Return whether a request has a route with free capacity at present."""
        return isinstance(self._plan(request), Ok)

    def handle_raised_limit(self) -> None:
        """Plan queued requests again at the next sweep, since a limit was raised."""
        self._has_raised_limit = True

    def handle_changed_routes(self) -> None:
        """Record that servers which requests avoided may be usable again.

        The next sweep plans queued requests again.
        """
        self._has_changed_routes = True

    async def sweep(self) -> None:
        """Refuse requests that cannot meet their deadline, and dispatch the others."""
        now = self._clock.monotonic()
        self._refuse_expired(now)
        self._refuse_expected_late(now)
        is_replan_due = now - self._replanned_at >= _REPLAN_PERIOD
        is_capacity_outdated = now - self._capacity_reset_at >= _CAPACITY_RESET_PERIOD
        if is_capacity_outdated:
            self._capacity_reset_at = now
        for model in self._models_by_name.values():
            if self._has_raised_limit or self._has_changed_routes or is_replan_due:
                model.is_blocked = False
            if self._has_raised_limit or is_capacity_outdated:
                model.capacity = 0
            self._dispatch(model)
        if is_replan_due:
            self._replanned_at = now
            self._report_queues()
        self._has_raised_limit = False
        self._has_changed_routes = False
        await self._set_events()

    def count_queued(self) -> dict[ClassName, int]:
        """Return the number of queued requests by class."""
        counts: dict[ClassName, int] = {}
        for model in self._models_by_name.values():
            for name, queue in model.queues.queues_by_class.items():
                counts[name] = counts.get(name, 0) + len(queue)
        return counts

    async def _sweep_periodically(self) -> None:
        while True:
            await self._has_waiters.wait()
            await self._clock.sleep(_SWEEP_PERIOD)
            try:
                await self.sweep()
            except InvariantError:
                # check_invariant has logged and counted the violation. The sweeps go
                # on, since other deadlines must still be enforced.
                pass
            if not any(len(m.queues) for m in self._models_by_name.values()):
                self._has_waiters.clear()

    def _enqueue(self, model: _Model, request: AdmissionRequest) -> Waiter:
        config = self._get_config()
        class_config = config.classes_by_name.get(request.class_name)
        if class_config is None:
            class_config = _make_default_class(request.class_name)
        organisation = config.organisations_by_id.get(request.organisation)
        now = self._clock.monotonic()
        self._sequence += 1
        deadline_at = request.deadline_at
        if deadline_at is None and not request.is_resumed:
            deadline_at = now + class_config.deadline
        waiter = Waiter(
            request=request,
            sequence=self._sequence,
            config=class_config,
            weight=organisation.weight if organisation is not None else 1.0,
            arrived_at=now,
            deadline_at=deadline_at,
        )
        model.queues.get_queue(class_config).add(waiter, self._ledger)
        model.get_reserve(class_config.name).record_arrival(
            request.organisation, waiter.weight, now
        )
        self._queued_count += not request.is_resumed
        self._active_requests.add(request.request_id)
        return waiter

    def _remove(self, model: _Model, waiter: Waiter) -> None:
        model.queues.queues_by_class[waiter.config.name].remove(waiter)
        self._queued_count -= not waiter.request.is_resumed

    def _dispatch(self, model: _Model) -> None:
        """Grant queued requests in the order of the policy while capacity is free."""
        skipped: list[Waiter] = []
        # Servers that every skipped request without capacity must avoid.
        unusable_servers: frozenset[ServerId] | None = None
        selection = None
        while not model.is_blocked:
            selection = model.queues.select_waiter(self._ledger)
            if selection is None or self._must_wait(model, selection):
                break
            request = selection.waiter.request
            avoided = request.get_avoided_servers()
            plan = self._plan(request)
            if isinstance(plan, Ok):
                self._grant(model, selection, plan.ok_value)
            elif not _must_stay_queued(request, avoided, plan.err_value):
                self._refuse(model, selection.waiter, plan.err_value)
            elif avoided and len(skipped) < _MAX_SKIPPED_WAITERS:
                selection.queue.remove(selection.waiter)
                skipped.append(selection.waiter)
                if plan.err_value.reason is RefusalReason.OVERLOADED:
                    unusable_servers = (
                        avoided
                        if unusable_servers is None
                        else unusable_servers & avoided
                    )
            else:
                model.is_blocked = True
                model.capacity = model.service.running_count
        for waiter in reversed(skipped):
            queue = model.queues.queues_by_class[waiter.config.name]
            queue.requeue_first(waiter, self._ledger)
        if model.is_blocked:
            self._preempt_less_urgent(model, frozenset())
        elif selection is None and unusable_servers is not None:
            # Only requests that must avoid servers are queued. The capacity that is
            # free is on those servers.
            self._preempt_less_urgent(model, unusable_servers)

    def _must_wait(self, model: _Model, selection: Selection) -> bool:
        """Return whether free capacity is reserved for other organisations."""
        request = selection.waiter.request
        if not model.capacity or selection.uses_floor or request.is_resumed:
            return False
        return model.get_reserve(request.class_name).must_wait(
            request.organisation,
            len(selection.queue.queues_by_organisation),
            model.service.running_count,
            model.capacity,
            self._clock.monotonic(),
        )

    def _plan(self, request: AdmissionRequest) -> Result[Route, Refusal]:
        models = self._get_config().models_by_name
        # An empty configuration names no model. The planner then decides.
        if models and request.model not in models:
            message = f"model {request.model} was removed"
            return Err(Refusal(RefusalReason.UNKNOWN_MODEL, Verdict.NOT_RUN, message))
        return self._plan_route(request)

    def _grant(self, model: _Model, selection: Selection, route: Route) -> None:
        waiter = selection.waiter
        request = waiter.request
        check_invariant(
            waiter.outcome is None,
            "request_granted_once",
            request=request.request_id,
            outcome=waiter.outcome,
        )
        model.queues.update_floor_credits(selection.queue, request.cost)
        self._remove(model, waiter)
        grant = Grant(request, route)
        charge = self._ledger.charge(
            request.organisation, request.class_name, request.cost
        )
        now = self._clock.monotonic()
        stream = RunningStream(grant, waiter.config, charge, now, selection.uses_floor)
        self._running_by_grant[grant] = stream
        model.service.add(stream)
        model.capacity = max(model.capacity, model.service.running_count)
        model.get_reserve(request.class_name).record_start(request.organisation)
        model.reserved_cost += request.cost
        if self._server_limits is not None:
            self._server_limits.reserve_route(route)
        if request.on_granted is not None:
            request.on_granted(route)
        self._metrics.timing("admission.wait", now - waiter.arrived_at)
        self._set_outcome(waiter, Ok(grant))

    def _refuse(self, model: _Model, waiter: Waiter, refusal: Refusal) -> None:
        check_invariant(
            waiter.outcome is None,
            "refused_request_not_decided",
            request=waiter.request.request_id,
            outcome=waiter.outcome,
        )
        self._remove(model, waiter)
        self._active_requests.remove(waiter.request.request_id)
        self._metrics.count(f"admission.refused.{refusal.reason.label}")
        self._set_outcome(waiter, Err(refusal))

    def _set_outcome(self, waiter: Waiter, outcome: Result[Grant, Refusal]) -> None:
        waiter.outcome = outcome
        self._events_to_set.append(waiter.event)

    def _settle(self, model: _Model, stream: RunningStream, used_tokens: int) -> None:
        request = stream.grant.request
        self._active_requests.remove(request.request_id)
        if not stream.is_preempted:
            self._preemptions.pop(request.request_id, None)
        model.service.remove(stream)
        model.get_reserve(request.class_name).record_end(request.organisation)
        model.reserved_cost -= request.cost
        check_invariant(
            model.reserved_cost >= 0 and model.service.pending_preemptions >= 0,
            "reserved_cost_not_negative",
            model=request.model,
            reserved=model.reserved_cost,
        )
        if self._server_limits is not None:
            self._server_limits.release_route(stream.grant.route)
        duration = self._clock.monotonic() - stream.granted_at
        model.service.meter.observe(used_tokens, duration)
        self._ledger.settle(stream.charge, used_tokens)
        unused = request.cost - used_tokens
        if unused <= 0:
            return
        for other in self._models_by_name.values():
            queue = other.queues.queues_by_class.get(stream.config.name)
            if queue is not None:
                queue.move_forward(request.organisation, self._ledger)
        queue = model.queues.queues_by_class[stream.config.name]
        if stream.uses_floor and len(queue):
            queue.floor_credit += unused

    def _enforce_queue_limits(self, model: _Model, waiter: Waiter) -> None:
        """Enforce the queue limits, and refuse a request that would be late."""
        if waiter.request.is_resumed:
            if waiter.deadline_at is not None:
                self._push_deadline(waiter)
            return
        queue = model.queues.queues_by_class[waiter.config.name]
        organisation_queue = queue.queues_by_organisation[waiter.request.organisation]
        cost_ahead = organisation_queue.queued_cost - waiter.request.cost
        wait = estimate_wait(model.queues, queue, waiter, cost_ahead, model.service)
        if self._count_class(waiter.config.name) > waiter.config.queue_limit:
            self._refuse(model, waiter, make_queue_refusal(waiter, wait))
        elif wait is not None and wait > waiter.config.deadline:
            self._refuse(model, waiter, make_deadline_refusal(waiter, wait))
        elif self._queued_count > self._queue_limit:
            self._evict_newest()
        if waiter.outcome is None:
            self._push_deadline(waiter)
        check_invariant(
            self._queued_count <= self._queue_limit,
            "queued_requests_bounded",
            queued=self._queued_count,
            limit=self._queue_limit,
        )

    def _count_class(self, class_name: ClassName) -> int:
        return sum(
            len(model.queues.queues_by_class[class_name].new_by_sequence)
            for model in self._models_by_name.values()
            if class_name in model.queues.queues_by_class
        )

    def _evict_newest(self) -> None:
        """Refuse the newest of the new requests in the least urgent class."""
        _, _, model, queue = max(
            (queue.config.rank, next(reversed(queue.new_by_sequence)), model, queue)
            for model in self._models_by_name.values()
            for queue in model.queues.queues_by_class.values()
            if queue.new_by_sequence
        )
        waiter = next(reversed(queue.new_by_sequence.values()))
        organisation_queue = queue.queues_by_organisation[waiter.request.organisation]
        cost_ahead = organisation_queue.queued_cost - waiter.request.cost
        wait = estimate_wait(model.queues, queue, waiter, cost_ahead, model.service)
        self._metrics.count("admission.evicted")
        self._refuse(model, waiter, make_queue_refusal(waiter, wait))

    def _push_deadline(self, waiter: Waiter) -> None:
        assert waiter.deadline_at is not None
        heapq.heappush(
            self._deadline_heap, (waiter.deadline_at, waiter.sequence, waiter)
        )
        if len(self._deadline_heap) > 2 * self._queued_count + 64:
            self._deadline_heap = [
                item for item in self._deadline_heap if item[2].outcome is None
            ]
            heapq.heapify(self._deadline_heap)

    def _refuse_expired(self, now: timedelta) -> None:
        while self._deadline_heap and self._deadline_heap[0][0] <= now:
            _, _, waiter = heapq.heappop(self._deadline_heap)
            if waiter.outcome is not None:
                continue
            model = self._models_by_name[waiter.request.model]
            queue = model.queues.queues_by_class[waiter.config.name]
            if not queue.holds(waiter):
                continue
            wait = estimate_wait(model.queues, queue, waiter, 0, model.service)
            total_wait = None if wait is None else wait + waiter.config.deadline
            self._refuse(model, waiter, make_deadline_refusal(waiter, total_wait))

    def _refuse_expected_late(self, now: timedelta) -> None:
        """Refuse waiters whose expected wait exceeds their deadline.

        Each call checks a bounded number of waiters, in rotation.
        """
        for _ in range(min(_WAITERS_CHECKED_PER_SWEEP, self._queued_count)):
            item = next(self._waiters_to_check, None)
            if item is None:
                self._waiters_to_check = self._iterate_waiters()
                item = next(self._waiters_to_check, None)
            if item is None:
                return
            model, queue, waiter, cost_ahead = item
            if (
                waiter.outcome is not None
                or waiter.sequence not in queue.new_by_sequence
            ):
                continue
            wait = estimate_wait(model.queues, queue, waiter, cost_ahead, model.service)
            assert waiter.deadline_at is not None
            time_left = waiter.deadline_at - now
            if wait is not None and wait > time_left * _EXPECTED_WAIT_MARGIN_FACTOR:
                total_wait = wait + waiter.config.deadline - time_left
                self._refuse(model, waiter, make_deadline_refusal(waiter, total_wait))

    def _iterate_waiters(self) -> Iterator[tuple[_Model, ClassQueue, Waiter, int]]:
        """Yield each new waiter and its organisation's cost queued ahead of it."""
        for model in list(self._models_by_name.values()):
            for queue in list(model.queues.queues_by_class.values()):
                for organisation_queue in list(queue.queues_by_organisation.values()):
                    cost_ahead = 0
                    for waiter in list(organisation_queue.waiters_by_sequence.values()):
                        if waiter.outcome is None:
                            yield model, queue, waiter, cost_ahead
                        if waiter.outcome is None:
                            cost_ahead += waiter.request.cost

    def _preempt_less_urgent(
        self, model: _Model, unusable_servers: frozenset[ServerId]
    ) -> None:
        """Preempt streams of less urgent classes for queued requests of urgent ones.

        :param unusable_servers: servers whose streams are not preempted, since the
            urgent requests cannot run there.
        """
        now = self._clock.monotonic()
        backlogged_queues = list(model.queues.iterate_backlogged())
        running = [
            next(iter(streams.values())).config
            for streams in model.service.running_by_class.values()
            if streams
        ]
        for config in sorted(running, key=lambda config: config.rank, reverse=True):
            if not config.preemptible:
                continue
            needed_count = model.service.count_needed_preemptions(
                backlogged_queues, config.rank, now
            )
            if not needed_count:
                continue
            for stream in model.service.select_victims(
                config, needed_count, now, self._preemptions, unusable_servers
            ):
                self._preempt_stream(model, stream)

    def _preempt_stream(self, model: _Model, stream: RunningStream) -> None:
        request_id = stream.grant.request.request_id
        stream.is_preempted = True
        model.service.pending_preemptions += 1
        self._preemptions[request_id] = self._preemptions.get(request_id, 0) + 1
        self._preemptions.move_to_end(request_id)
        if len(self._preemptions) > _MAX_PREEMPTION_COUNTS:
            self._preemptions.popitem(last=False)
        self._events_to_set.append(stream.grant.preempted)
        self._metrics.count("admission.preempted")
        log_event("stream_preempted", level="debug", request=request_id)

    async def _withdraw(self, model: _Model, waiter: Waiter) -> None:
        """Withdraw a request whose task was cancelled while it was queued.

        If the request was granted in the meantime, its grant is released.
        """
        if waiter.outcome is None:
            self._remove(model, waiter)
            self._active_requests.remove(waiter.request.request_id)
            waiter.outcome = Err(_make_cancelled_refusal())
        elif isinstance(waiter.outcome, Ok):
            await self.release(waiter.outcome.ok_value, 0)

    async def _set_events(self) -> None:
        """Set the pending events, which wakes the tasks that wait for a decision.

        Decisions are made without suspending, so that they are atomic for other tasks.
        """
        while self._events_to_set:
            await self._events_to_set.popleft().set()

    def _report_queues(self) -> None:
        for class_name, count in self.count_queued().items():
            self._metrics.gauge(f"admission.queued.{class_name}", count)


def _must_stay_queued(
    request: AdmissionRequest, avoided: frozenset[ServerId], refusal: Refusal
) -> bool:
    """Return whether a request without a route may get one later.

    No route exists while other suspect requests, which may have crashed a server,
    occupy all servers. Within a few token intervals they pass the position at which
    their server failed, and their servers become available.
    """
    if refusal.reason is RefusalReason.NO_ROUTE:
        return avoided != request.avoided_servers
    return refusal.reason is RefusalReason.OVERLOADED


def _make_empty_config_getter() -> Callable[[], FleetConfig]:
    empty = build_config({})
    return lambda: empty


def _make_default_class(name: ClassName) -> ClassConfig:
    config = build_config({f"class {name}": {"rank": "0"}})
    return config.classes_by_name[name]


def _make_cancelled_refusal() -> Refusal:
    return Refusal(
        RefusalReason.REQUEST_TIMEOUT,
        Verdict.NOT_RUN,
        "the caller cancelled the request",
    )
