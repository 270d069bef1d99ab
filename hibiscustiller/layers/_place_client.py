"""Asks for places in pipelines where other routers give them out."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta

from result import Err, Ok, Result

from hibiscustiller.discovery import FleetView
from hibiscustiller.layers._admission import PATIENCE_SHARE, Admission, Grant
from hibiscustiller.layers._choice import MAX_CLOSE_ROUTERS
from hibiscustiller.layers._pipelines import Pipeline
from hibiscustiller.layers._place_messages import (
    PlaceQuery,
    PlaceStatus,
    pack_query,
    pack_stages,
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
from hibiscustiller.wire import DatagramSocket, PendingRequests
from hibiscustiller.wire._messages_generated import (
    HeldPlace,
    PlaceAnswer,
    PlaceHoldings,
    PlaceRelease,
    PlaceSummary,
)

# An answer takes a few milliseconds, and longer where the other router is busy.
_ANSWER_TIMEOUT = timedelta(milliseconds=60)
# After the second router that gives no answer the choice is made here.
_MAX_ASKED = 2
# The other router bounds the wait; its answer may be on its way.
_WAIT_SLACK = timedelta(milliseconds=100)
# A router that gave no answer is asked again after this time.
_BACKOFF = timedelta(seconds=1)
_HOLDINGS_PERIOD = timedelta(seconds=1)
# Summaries come with the confirmations; two may be lost.
_SUMMARY_LIFE = timedelta(seconds=3.2)


@dataclass
class _Place:
    """A place that another router has given.

    :param allocator: that router.
    """

    service: ServiceName
    domain: DomainId
    allocator: RouterId
    grant: Grant


class PlaceClient:
    """This router's places, and its questions for more.

    :param router_id: this router.
    :param view: tells who the other routers are.
    :param get_admission: as for :class:`PlaceAllocator`; for the domains whose places
        this router gives out itself.
    :param list_shares: returns the services and domains that have pipelines.
    :param answer_timeout: longest wait for another router's first answer.
    """

    def __init__(
        self,
        router_id: RouterId,
        view: FleetView,
        datagrams: DatagramSocket,
        get_admission: Callable[[ServiceName, DomainId], Admission | None],
        list_shares: Callable[[], Collection[tuple[ServiceName, DomainId]]],
        clock: Clock,
        random_state: random.Random,
        metrics: Metrics,
        answer_timeout: timedelta = _ANSWER_TIMEOUT,
    ) -> None:
        self._answer_timeout = answer_timeout
        self.router_id = router_id
        self._view = view
        self._datagrams = datagrams
        self._get_admission = get_admission
        self._list_shares = list_shares
        self._clock = clock
        self._metrics = metrics
        self._pending = PendingRequests(random_state)
        self._places_by_id: dict[int, _Place] = {}
        self._backed_off: BackedOff[RouterId] = BackedOff(clock)
        self._summaries: dict[
            tuple[ServiceName, DomainId], tuple[timedelta, float]
        ] = {}
        datagrams.register(PlaceAnswer, self._take_answer)
        datagrams.register(PlaceSummary, self._take_summary)

    @property
    def is_shared(self) -> bool:
        """Whether the fleet is too large for each router to choose by reports."""
        return self._view.count_routers() > MAX_CLOSE_ROUTERS

    @property
    def held_count(self) -> int:
        """Places that other routers have given."""
        return len(self._places_by_id)

    def is_allocator(self, domain: DomainId) -> bool:
        """Tell whether this router gives out a domain's places."""
        allocators = self.list_allocators(domain)
        return self.is_shared and bool(allocators) and allocators[0] == self.router_id

    def is_asked(self, domain: DomainId) -> bool:
        """Tell whether other routers may ask this one for a domain's places."""
        return self.router_id in self.list_allocators(domain)[:_MAX_ASKED]

    def list_allocators(self, domain: DomainId) -> list[RouterId]:
        """Return the routers to ask for a domain's places, the preferred one first."""
        ranked = self._view.rank_by_capacity(f"places/{domain}", domain)
        return [router_id for router_id in ranked if router_id not in self._backed_off]

    async def run(self) -> None:
        """Confirm places that are held, and tell of free ones, until cancelled."""
        while True:
            await self._clock.sleep(_HOLDINGS_PERIOD)
            if self.is_shared or self._places_by_id:
                await self._confirm()
                await self._summarise()

    async def ask(self, query: PlaceQuery) -> Result[Grant, Refusal] | None:
        """Ask for a place in a domain's pipelines.

        :returns: None if there is no answer, or no room for what may not wait.
        """
        for router_id in self.list_allocators(query.domain)[:_MAX_ASKED]:
            if router_id == self.router_id:
                return await self._admit(query)
            status, result = await self._exchange(router_id, query)
            if status is PlaceStatus.NO_ROOM:
                return None
            if result is not None:
                return result
        self._metrics.count("places.unanswered")
        return None

    async def release(self, grant: Grant) -> None:
        """Return a place."""
        place = self._places_by_id.pop(grant.place_id, None)
        if place is not None:
            await self._send(place.allocator, PlaceRelease(grant.place_id))

    async def _admit(self, query: PlaceQuery) -> Result[Grant, Refusal] | None:
        """Give a place to a request of this router."""
        admission = self._get_admission(query.service, query.domain)
        if admission is None:
            return None
        if query.excluded is not None:
            grant = admission.replace(query.demand, query.excluded)
        elif query.may_wait:
            return await admission.admit(query.demand)
        else:
            grant = admission.try_admit(query.demand)
        return None if grant is None else Ok(grant)

    async def _exchange(
        self, allocator: RouterId, query: PlaceQuery
    ) -> tuple[PlaceStatus | None, Result[Grant, Refusal] | None]:
        """Ask one router; the status is None if it gives no answer."""
        with self._pending.open() as request:
            try:
                await self._send(allocator, pack_query(query, request.id))
                answer = await request.wait(self._answer_timeout)
                if answer.status == PlaceStatus.WAITING:
                    patience = query.demand.target_latency * PATIENCE_SHARE
                    answer = await request.wait(patience + _WAIT_SLACK)
            except TimeoutError:
                self._note_unresponsive(allocator)
                return None, None
            except BaseException:
                # The caller has left; what is given meanwhile is returned.
                await self._send(allocator, PlaceRelease(request.id))
                raise
        return await self._read_answer(answer, allocator, query)

    async def _read_answer(
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
            self._note_unresponsive(allocator)
        if status is not PlaceStatus.PLACED:
            return status, None
        pipeline = unpack_stages(answer.stages, self._view.get_server)
        if pipeline is None or not _is_held(pipeline):
            # What this router knows of the engines differs for a moment.
            await self._send(allocator, PlaceRelease(answer.place_id))
            return PlaceStatus.NO_ROOM, None
        grant = Grant(pipeline, query.demand.tokens, place_id=answer.place_id)
        place = _Place(query.service, query.domain, allocator, grant)
        self._places_by_id[answer.place_id] = place
        return status, Ok(grant)

    async def _take_answer(
        self, router_id: RouterId, address: Address, answer: PlaceAnswer
    ) -> None:
        is_awaited = await self._pending.take(answer.place_id, answer)
        is_placed = answer.status == PlaceStatus.PLACED
        if not is_awaited and is_placed and answer.place_id not in self._places_by_id:
            # It came too late.
            release = self._datagrams.encode(PlaceRelease(answer.place_id))
            await self._datagrams.send(address, release)

    async def _take_summary(
        self, router_id: RouterId, address: Address, summary: PlaceSummary
    ) -> None:
        key = (ServiceName(summary.service), DomainId(summary.domain))
        self._summaries[key] = (self._clock.monotonic(), summary.free_tokens)

    def get_free_tokens(self, service: ServiceName, domain: DomainId) -> float | None:
        """Return the room in a domain's pipelines; None if it is not known."""
        at, free = self._summaries.get((service, domain), (None, 0.0))
        if at is None or self._clock.monotonic() - at > _SUMMARY_LIFE:
            return None
        return free

    async def _summarise(self) -> None:
        """Tell all routers how much room there is where this router gives it out."""
        for service, domain in self._list_shares():
            admission = self._get_admission(service, domain)
            if admission is None or not self.is_allocator(domain):
                continue
            free = admission.count_free_tokens()
            data = self._datagrams.encode(PlaceSummary(service, domain, free))
            for peer in list(self._view.peers_by_id.values()):
                await self._datagrams.send(peer.address, data)

    def _note_unresponsive(self, allocator: RouterId) -> None:
        log_event("allocator_failed", level="warning", router=allocator)
        self._backed_off.add(allocator, _BACKOFF)

    async def _confirm(self) -> None:
        """Tell the routers that give out places which ones are held here."""
        places_by_allocator: dict[RouterId, list[HeldPlace]] = {}
        for place_id, place in self._places_by_id.items():
            allocators = self.list_allocators(place.domain)
            if allocators and place.allocator not in allocators[:1]:
                # Another router has taken over.
                place.allocator = allocators[0]
            pipeline = place.grant.pipeline
            held = HeldPlace(
                place_id,
                place.service,
                place.domain,
                place.grant.tokens,
                pack_stages(pipeline),
                self._get_gap_ms(place),
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


def _is_held(pipeline: Pipeline) -> bool:
    """Tell whether each engine holds its stage's layers, as far as is known here."""
    return all(stage.server.layers.covers(stage.layers) for stage in pipeline.stages)
