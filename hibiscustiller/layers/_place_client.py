"""Requests for places in pipelines that other routers allocate."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from datetime import timedelta

import curio
from result import Err, Ok, Result

from hibiscustiller.discovery import FleetView
from hibiscustiller.layers._admission import (
    MAX_WAIT_SHARE,
    UNKNOWN_OUTCOME,
    Admission,
    Grant,
    PlaceOutcome,
)
from hibiscustiller.layers._choice import MAX_ROUTERS_WITH_FRESH_REPORTS
from hibiscustiller.layers._domain_choice import DomainSummary
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.layers._place_messages import (
    PlaceQuery,
    PlaceStatus,
    pack_query,
    pack_release,
    pack_stages,
    pack_waits,
    unpack_stages,
)
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    BackedOff,
    Clock,
    DomainId,
    Metrics,
    Refusal,
    RefusalReason,
    RouterId,
    ServiceName,
    Verdict,
    log_event,
)
from hibiscustiller.wire import (
    DatagramSocket,
    PendingRequest,
    PendingRequests,
    wait_for_event,
)
from hibiscustiller.wire._messages_generated import (
    HeldPlace,
    PlaceAnswer,
    PlaceHoldings,
    PlaceRecall,
    PlaceSummary,
)

# An answer takes a few milliseconds, or longer if the other router is busy.
_ANSWER_TIMEOUT = timedelta(milliseconds=60)
# If this many routers do not answer, this router chooses a pipeline itself.
_MAX_ROUTERS_ASKED = 2
# Added to the longest wait, which the allocator enforces, for its answer to arrive.
_ANSWER_MARGIN = timedelta(milliseconds=100)
# A waiting stream that has begun repeats its request after this time, so that it learns
# soon that its allocator has ended, and a lost grant is sent again.
_REPEAT_PERIOD = timedelta(milliseconds=250)
# Time for which a router that did not answer is not asked again.
_BACKOFF = timedelta(seconds=1)
_HOLDINGS_PERIOD = timedelta(seconds=1)
# Summaries are sent as often as confirmations; two of them may be lost.
_MAX_SUMMARY_AGE = timedelta(seconds=3.2)


@dataclass
class _Place:
    """A place that was granted by another router.

    :param allocator: the router that tracks the place.
    :param granted_at: when the grant arrived, on the monotonic clock.
    """

    service: ServiceName
    domain: DomainId
    allocator: RouterId
    grant: Grant
    granted_at: timedelta


class PlaceClient:
    """Requests places from allocators and tracks those that this router holds.

    :param router_id: id of this router.
    :param view: the other routers and the servers known to this router.
    :param get_admission: as for :class:`PlaceAllocator`; used for the domains whose
        places this router allocates itself.
    :param list_service_domains: returns the pairs of service and domain that have
        pipelines.
    :param answer_timeout: longest wait for the first answer of another router.
    :param on_failure: called with an allocator that gave no answer.
    """

    def __init__(
        self,
        router_id: RouterId,
        view: FleetView,
        datagrams: DatagramSocket,
        get_admission: Callable[[ServiceName, DomainId], Admission | None],
        list_service_domains: Callable[[], Collection[tuple[ServiceName, DomainId]]],
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
        answer_timeout: timedelta = _ANSWER_TIMEOUT,
        on_failure: Callable[[RouterId], None] = lambda router_id: None,
    ) -> None:
        self._on_failure = on_failure
        self._holdings_due = curio.UniversalEvent()
        self._answer_timeout = answer_timeout
        self.router_id = router_id
        self._view = view
        self._datagrams = datagrams
        self._get_admission = get_admission
        self._list_service_domains = list_service_domains
        self._clock = clock
        self._metrics = metrics
        self._pending = PendingRequests(random_state)
        self._places_by_id: dict[int, _Place] = {}
        self._backed_off: BackedOff[RouterId] = BackedOff(clock)
        # The latest summaries, and when they were received.
        self._summaries: dict[
            tuple[ServiceName, DomainId], tuple[timedelta, DomainSummary]
        ] = {}
        datagrams.register(PlaceAnswer, self._handle_answer)
        datagrams.register(PlaceSummary, self._handle_summary)
        datagrams.register(PlaceRecall, self._handle_recall)

    @property
    def clock(self) -> Clock:
        """Source of time."""
        return self._clock

    @property
    def uses_allocators(self) -> bool:
        """Whether the fleet is too large for each router to choose by reports."""
        return self._view.count_routers() > MAX_ROUTERS_WITH_FRESH_REPORTS

    @property
    def held_count(self) -> int:
        """Number of places held here that other routers granted."""
        return len(self._places_by_id)

    def is_allocator(self, domain: DomainId) -> bool:
        """Return whether this router allocates the places of a domain."""
        allocators = self.list_allocators(domain)
        return (
            self.uses_allocators
            and bool(allocators)
            and allocators[0] == self.router_id
        )

    def may_be_asked(self, domain: DomainId) -> bool:
        """Return whether other routers may ask this one for places in a domain."""
        return self.router_id in self.list_allocators(domain)[:_MAX_ROUTERS_ASKED]

    def list_allocators(self, domain: DomainId) -> list[RouterId]:
        """Return the routers to ask for places in a domain, in order of preference."""
        ranked = self._view.rank_by_capacity(f"places/{domain}", domain)
        return [router_id for router_id in ranked if router_id not in self._backed_off]

    async def run(self) -> None:
        """Confirm held places and announce free capacity, until cancelled."""
        while True:
            await wait_for_event(_HOLDINGS_PERIOD, self._holdings_due)
            self._holdings_due.clear()
            if self.uses_allocators or self._places_by_id:
                await self._send_holdings()
                await self._send_summaries()

    async def ask(self, query: PlaceQuery) -> Result[Grant, Refusal] | None:
        """Request a place in the pipelines of a domain.

        :returns: None if no router answers, or if there is no free place for a request
            that may not wait.
        """
        started_at = self._clock.monotonic()
        for router_id in self.list_allocators(query.domain)[:_MAX_ROUTERS_ASKED]:
            if query.excluded is not None:
                query = self._shorten_wait(query, started_at)
                started_at = self._clock.monotonic()
            if router_id == self.router_id:
                return await self._admit(query)
            status, result = await self._ask_router(router_id, query)
            if status is PlaceStatus.NO_ROOM:
                return None
            if result is not None:
                return result
        self._metrics.count("places.unanswered")
        return None

    async def release(
        self, grant: Grant, outcome: PlaceOutcome = UNKNOWN_OUTCOME
    ) -> None:
        """Release a place.

        :param outcome: what became of the request that held it.
        """
        place = self._places_by_id.pop(grant.place_id, None)
        if place is not None:
            await self._send(place.allocator, pack_release(grant.place_id, outcome))

    async def _admit(self, query: PlaceQuery) -> Result[Grant, Refusal] | None:
        """Admit a request of this router to a domain whose places it allocates."""
        admission = self._get_admission(query.service, query.domain)
        if admission is None:
            return None
        if query.excluded is not None and query.may_wait:
            grant = await admission.wait_for_replacement(
                query.demand, query.excluded, query.max_wait
            )
        elif query.excluded is not None:
            grant = admission.find_replacement(query.demand, query.excluded)
        elif query.may_wait:
            return await admission.admit(query.demand)
        else:
            grant = admission.try_admit(query.demand)
        return None if grant is None else Ok(grant)

    async def _ask_router(
        self, allocator: RouterId, query: PlaceQuery
    ) -> tuple[PlaceStatus | None, Result[Grant, Refusal] | None]:
        """Ask one router for a place; the status is None if it does not answer."""
        with self._pending.open() as request:
            try:
                await self._send(allocator, pack_query(query, request.id))
                answer = await request.wait(self._answer_timeout)
                if answer.status == PlaceStatus.WAITING:
                    answer = await self._wait_for_place(request, allocator, query)
            except TimeoutError:
                self._mark_unresponsive(allocator)
                return None, None
            except BaseException:
                # The caller has disconnected; release a place granted in the meantime.
                await self._send(allocator, pack_release(request.id, UNKNOWN_OUTCOME))
                raise
        return await self._process_answer(answer, allocator, query)

    async def _wait_for_place(
        self, request: PendingRequest, allocator: RouterId, query: PlaceQuery
    ) -> PlaceAnswer:
        """Wait for the final answer to a request that waits at an allocator.

        :raises TimeoutError: if the allocator does not answer any more.
        """
        if query.excluded is None:
            max_wait = query.demand.target_latency * MAX_WAIT_SHARE
            return await request.wait(max_wait + _ANSWER_MARGIN)
        ends_at = self._clock.monotonic() + query.max_wait
        is_answered = True
        while True:
            remaining = ends_at - self._clock.monotonic()
            timeout = min(_REPEAT_PERIOD, remaining + _ANSWER_MARGIN)
            try:
                answer = await request.wait(timeout)
            except TimeoutError:
                remaining = ends_at - self._clock.monotonic()
                if not is_answered or remaining <= timedelta(0):
                    raise
                is_answered = False
                repeated = replace(query, max_wait=remaining)
                await self._send(allocator, pack_query(repeated, request.id))
                continue
            if answer.status != PlaceStatus.WAITING:
                return answer
            is_answered = True

    def _shorten_wait(self, query: PlaceQuery, since: timedelta) -> PlaceQuery:
        """Return the query of a begun stream that has waited for a time already."""
        max_wait = query.max_wait - (self._clock.monotonic() - since)
        max_wait = max(max_wait, timedelta(0))
        may_wait = query.may_wait and max_wait > timedelta(0)
        return replace(query, may_wait=may_wait, max_wait=max_wait)

    async def _process_answer(
        self, answer: PlaceAnswer, allocator: RouterId, query: PlaceQuery
    ) -> tuple[PlaceStatus | None, Result[Grant, Refusal] | None]:
        status = PlaceStatus(answer.status)
        if status is PlaceStatus.REFUSED:
            refusal = Refusal(
                RefusalReason.OVERLOADED,
                Verdict.NOT_RUN,
                "no place",
                timedelta(milliseconds=answer.retry_after_ms),
            )
            return status, Err(refusal)
        if status is PlaceStatus.ASK_ANOTHER:
            self._mark_unresponsive(allocator)
        if status is not PlaceStatus.PLACED:
            return status, None
        pipeline = unpack_stages(answer.stages, self._view.get_server)
        if pipeline is None or not _are_layers_held(pipeline):
            # This router's view of the engines differs temporarily from the
            # allocator's.
            release = pack_release(answer.place_id, UNKNOWN_OUTCOME)
            await self._send(allocator, release)
            return PlaceStatus.NO_ROOM, None
        demand = query.demand
        grant = Grant(pipeline, demand.tokens, place_id=answer.place_id, demand=demand)
        granted_at = self._clock.monotonic()
        place = _Place(query.service, query.domain, allocator, grant, granted_at)
        self._places_by_id[answer.place_id] = place
        return status, Ok(grant)

    async def _handle_answer(
        self, router_id: RouterId, address: Address, answer: PlaceAnswer
    ) -> None:
        is_awaited = await self._pending.take(answer.place_id, answer)
        is_placed = answer.status == PlaceStatus.PLACED
        if not is_awaited and is_placed and answer.place_id not in self._places_by_id:
            # The answer arrived after the timeout, so the place is not used.
            release = pack_release(answer.place_id, UNKNOWN_OUTCOME)
            await self._datagrams.send(address, self._datagrams.encode(release))

    async def _handle_recall(
        self, router_id: RouterId, address: Address, recall: PlaceRecall
    ) -> None:
        place = self._places_by_id.get(recall.place_id)
        # A late recall meets no place, or one that another router tracks now.
        if place is None or place.allocator != router_id:
            return
        if place.grant.on_recall is not None:
            place.grant.on_recall()

    async def _handle_summary(
        self, router_id: RouterId, address: Address, summary: PlaceSummary
    ) -> None:
        self._record_summary(summary, summary.free_tokens)

    def _record_summary(self, summary: PlaceSummary, free_tokens: float | None) -> None:
        waits_by_priority = {
            wait.priority: timedelta(milliseconds=wait.wait_ms)
            for wait in summary.waits
        }
        key = (ServiceName(summary.service), DomainId(summary.domain))
        received = DomainSummary(free_tokens, waits_by_priority)
        self._summaries[key] = (self._clock.monotonic(), received)

    def get_summary(self, service: ServiceName, domain: DomainId) -> DomainSummary:
        """Return what a domain's allocator has announced lately."""
        now = self._clock.monotonic()
        received_at, summary = self._summaries.get((service, domain), (now, None))
        age = now - received_at
        if summary is None or age > _MAX_SUMMARY_AGE:
            return DomainSummary()
        return replace(summary, age=age)

    async def _send_summaries(self) -> None:
        """Send all routers the free capacity of the domains allocated here."""
        for service, domain in self._list_service_domains():
            admission = self._get_admission(service, domain)
            if admission is None or not self.is_allocator(domain):
                continue
            free_capacity = admission.count_free_tokens()
            waits = pack_waits(admission.expect_waits())
            summary = PlaceSummary(service, domain, free_capacity, waits)
            # The allocator itself is asked for a free place at any time.
            self._record_summary(summary, None)
            data = self._datagrams.encode(summary)
            for peer in list(self._view.peers_by_id.values()):
                await self._datagrams.send(peer.address, data)

    def _mark_unresponsive(self, allocator: RouterId) -> None:
        log_event("allocator_failed", level="warning", router=allocator)
        self._backed_off.add(allocator, _BACKOFF)
        # The next allocator learns at once which places are held, and its own count of
        # them takes the place of the failed one's report.
        self._on_failure(allocator)
        self._holdings_due.set()

    async def _send_holdings(self) -> None:
        """Send each allocator the list of its places that this router holds."""
        places_by_allocator: dict[RouterId, list[HeldPlace]] = {}
        now = self._clock.monotonic()
        for place_id, place in self._places_by_id.items():
            allocators = self.list_allocators(place.domain)
            if allocators and place.allocator not in allocators[:1]:
                # Another router has become the allocator.
                place.allocator = allocators[0]
            demand = place.grant.demand
            assert demand is not None
            held = HeldPlace(
                place_id,
                place.service,
                place.domain,
                place.grant.tokens,
                pack_stages(place.grant.pipeline),
                self._get_gap_ms(place),
                demand.priority,
                demand.organisation,
                demand.is_resumable,
                held_ms=(now - place.granted_at) // timedelta(milliseconds=1),
            )
            places_by_allocator.setdefault(place.allocator, []).append(held)
        for allocator, places in places_by_allocator.items():
            await self._send(allocator, PlaceHoldings(tuple(places)))

    def _get_gap_ms(self, place: _Place) -> int:
        admission = self._get_admission(place.service, place.domain)
        if admission is None:
            return 0
        gap = admission.get_observed_gap(place.grant.pipeline)
        return 0 if gap is None else max(1, gap // timedelta(milliseconds=1))

    async def _send(self, router_id: RouterId, message) -> None:
        peer = self._view.peers_by_id.get(router_id)
        if peer is not None:
            await self._datagrams.send(peer.address, self._datagrams.encode(message))


def _are_layers_held(pipeline: Pipeline) -> bool:
    """Return whether each engine is known to hold the layers of its stage."""
    return all(stage.server.layers.covers(stage.layers) for stage in pipeline.stages)
