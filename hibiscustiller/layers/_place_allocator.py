"""Allocation of places in the pipelines of a failure domain to all routers.

With hundreds of routers, the reports by which each would choose a pipeline are older
than the streams they describe. Therefore one router per failure domain tracks every
place in the pipelines of that domain, and a single queue orders all requests that wait
for one. Routers that hold places report them periodically, so another router can take
over as allocator at any time. While two routers act as allocator for a domain, both
grant places, and an engine that is full refuses requests.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

import curio
from result import Ok

from hibiscustiller.fleet import BackendServer
from hibiscustiller.layers._admission import (
    UNKNOWN_OUTCOME,
    Admission,
    Grant,
    PlaceOutcome,
)
from hibiscustiller.layers._place_messages import (
    PlaceStatus,
    pack_stages,
    unpack_demand,
    unpack_held_demand,
    unpack_outcome,
    unpack_stages,
)
from hibiscustiller.layers._yielding import (
    RecallPace,
    RunningStream,
    choose_yielding,
)
from hibiscustiller.settings import Address
from hibiscustiller.utils import (
    Clock,
    DomainId,
    RouterId,
    ServerId,
    ServiceName,
    log_event,
)
from hibiscustiller.wire import DatagramSocket
from hibiscustiller.wire._messages_generated import (
    PlaceAnswer,
    PlaceHoldings,
    PlaceRecall,
    PlaceRelease,
    PlaceRequest,
)

# Routers confirm the places they hold every second; two of these messages may be lost.
_CONFIRMATION_TIMEOUT = timedelta(seconds=3.2)
_EXPIRY_PERIOD = timedelta(milliseconds=500)
# A request waits for 150 ms before a place is recalled for it, and for 150 ms more.
_RECALL_PERIOD = timedelta(milliseconds=40)
# A place granted more recently than this may be missing from a list of held places that
# was sent before the grant.
_MIN_RECLAIM_AGE = timedelta(milliseconds=400)

PlaceKey = tuple[RouterId, int]


@dataclass
class _GrantedPlace:
    """A place that was granted to a router.

    :param address: address of that router.
    :param was_recalled: whether that router was asked to give it back.
    """

    grant: Grant
    admission: Admission
    address: Address
    granted_at: timedelta
    confirmed_at: timedelta
    was_recalled: bool = False


class PlaceAllocator:
    """Grants places to other routers and tracks them until they are released.

    :param datagrams: socket on which requests from other routers arrive.
    :param get_admission: returns the admission to a service's pipelines in a domain;
        None if the service is unknown to this router.
    :param get_server: returns a server by its id; None if it is unknown.
    :param clock: source of time.
    """

    def __init__(
        self,
        datagrams: DatagramSocket,
        get_admission: Callable[[ServiceName, DomainId], Admission | None],
        get_server: Callable[[ServerId], BackendServer | None],
        clock: Clock,
    ) -> None:
        self._datagrams = datagrams
        self._get_admission = get_admission
        self._get_server = get_server
        self._clock = clock
        self._places_by_key: dict[PlaceKey, _GrantedPlace] = {}
        # The task of a wait is None until it has started.
        self._waits_by_key: dict[PlaceKey, curio.Task | None] = {}
        self._recall_paces: dict[DomainId | None, RecallPace] = {}
        # Classes that requests at an admission have had.
        self._priorities: dict[Admission, set[int]] = {}
        self.is_stopping = False
        datagrams.register(PlaceRequest, self._handle_request)
        datagrams.register(PlaceRelease, self._handle_release)
        datagrams.register(PlaceHoldings, self._handle_holdings)

    @property
    def held_count(self) -> int:
        """Number of places that other routers hold."""
        return len(self._places_by_key)

    async def run(self) -> None:
        """Reclaim unconfirmed places, and recall some, until cancelled."""
        expires_at = self._clock.monotonic() + _EXPIRY_PERIOD
        while True:
            # Without requests of other routers, there is no place to recall.
            period = _RECALL_PERIOD if self._priorities else _EXPIRY_PERIOD
            await self._clock.sleep(period)
            for admission in list(self._priorities):
                await self._recall_place(admission)
            now = self._clock.monotonic()
            if now < expires_at:
                continue
            expires_at = now + _EXPIRY_PERIOD
            for key, place in list(self._places_by_key.items()):
                if now - place.confirmed_at > _CONFIRMATION_TIMEOUT:
                    await self._reclaim(key)

    async def _recall_place(self, admission: Admission) -> None:
        """Recall a place for the urgent request that is served next, if any is late.

        A place is recalled once, and once for a request: a holder that does not follow
        may be an older router, or its stream may not yield.
        """
        now = self._clock.monotonic()
        pace = self._recall_paces.setdefault(admission.domain, RecallPace())
        pace.record_servers(admission, admission.places.list_server_ids(), now)
        waiting = admission.find_next_waiting()
        if waiting is None or not pace.may_recall(now):
            return
        streams = (
            self._describe_stream(key, place, now)
            for key, place in self._places_by_key.items()
            if place.admission is admission and not place.was_recalled
        )
        demand, waited = waiting
        chosen = choose_yielding(demand, waited, streams, self._priorities[admission])
        if chosen is None:
            return
        place = self._places_by_key[chosen.key]
        place.was_recalled = True
        admission.record_recall()
        pace.record_recall(now)
        router_id, place_id = chosen.key
        log_event(
            "place_recalled",
            router=router_id,
            place=place_id,
            priority=chosen.demand.priority,
            held_for=chosen.held_for,
            repeated_tokens=round(chosen.repeated_tokens),
            urgent_priority=demand.priority,
            urgent_tokens=round(demand.tokens),
            waited=waited,
        )
        recall = self._datagrams.encode(PlaceRecall(place_id))
        await self._datagrams.send(place.address, recall)

    def _describe_stream(
        self, key: PlaceKey, place: _GrantedPlace, now: timedelta
    ) -> RunningStream[PlaceKey]:
        pipeline = place.grant.pipeline
        assert place.grant.demand is not None
        return RunningStream(
            key,
            place.grant.demand,
            now - place.granted_at,
            partial(place.admission.places.count_tokens_without, place.grant),
            place.admission.places.get_observed_token_time(pipeline),
        )

    async def _handle_request(
        self, router_id: RouterId, address: Address, request: PlaceRequest
    ) -> None:
        key = (router_id, request.place_id)
        place = self._places_by_key.get(key)
        if place is not None:
            await self._answer(address, key, PlaceStatus.PLACED, place.grant)
            return
        if key in self._waits_by_key:
            await self._answer(address, key, PlaceStatus.WAITING)
            return
        service = ServiceName(request.service)
        admission = self._get_admission(service, DomainId(request.domain))
        if admission is None or self.is_stopping:
            await self._answer(address, key, PlaceStatus.ASK_ANOTHER)
            return
        demand = unpack_demand(request)
        self._priorities.setdefault(admission, set()).add(demand.priority)
        excluded = {ServerId(server_id) for server_id in request.excluded}
        if not request.is_begun:
            grant = admission.try_admit(demand)
        elif request.may_wait:
            grant = admission.try_replace(demand, excluded)
        else:
            grant = admission.find_replacement(demand, excluded)
        if grant is not None:
            self._record(address, key, grant, admission)
            await self._answer(address, key, PlaceStatus.PLACED, grant)
        elif request.may_wait:
            wait = self._wait_for_replacement if request.is_begun else self._wait
            self._waits_by_key[key] = None
            await self._answer(address, key, PlaceStatus.WAITING)
            arguments = (address, key, admission, request)
            task = await curio.spawn(wait, *arguments, daemon=True)
            if key in self._waits_by_key:
                self._waits_by_key[key] = task
        else:
            await self._answer(address, key, PlaceStatus.NO_ROOM)

    async def _wait(
        self,
        address: Address,
        key: PlaceKey,
        admission: Admission,
        request: PlaceRequest,
    ) -> None:
        try:
            result = await admission.admit(unpack_demand(request))
        finally:
            self._waits_by_key.pop(key, None)
        if isinstance(result, Ok):
            self._record(address, key, result.ok_value, admission)
            await self._answer(address, key, PlaceStatus.PLACED, result.ok_value)
            return
        retry_after = result.err_value.retry_after or timedelta(0)
        await self._answer(address, key, PlaceStatus.REFUSED, retry_after=retry_after)

    async def _wait_for_replacement(
        self,
        address: Address,
        key: PlaceKey,
        admission: Admission,
        request: PlaceRequest,
    ) -> None:
        excluded = {ServerId(server_id) for server_id in request.excluded}
        max_wait = timedelta(milliseconds=request.time_left_ms)
        try:
            grant = await admission.wait_for_replacement(
                unpack_demand(request), excluded, max_wait
            )
        finally:
            self._waits_by_key.pop(key, None)
        if grant is None:
            await self._answer(address, key, PlaceStatus.NO_ROOM)
            return
        self._record(address, key, grant, admission)
        await self._answer(address, key, PlaceStatus.PLACED, grant)

    async def _answer(
        self,
        address: Address,
        key: PlaceKey,
        status: PlaceStatus,
        grant: Grant | None = None,
        retry_after: timedelta = timedelta(0),
    ) -> None:
        stages = () if grant is None else pack_stages(grant.pipeline)
        answer = PlaceAnswer(
            key[1], int(status), stages, retry_after // timedelta(milliseconds=1)
        )
        await self._datagrams.send(address, self._datagrams.encode(answer))

    def _record_confirmation(
        self, place: _GrantedPlace, gap_ms: int, now: timedelta
    ) -> None:
        place.confirmed_at = now
        if gap_ms:
            # Only routers with streams on a slow engine can observe that it is slow.
            gap = timedelta(milliseconds=gap_ms)
            place.admission.record_gap(place.grant.pipeline, gap)

    def _record(
        self,
        address: Address,
        key: PlaceKey,
        grant: Grant,
        admission: Admission,
        granted_at: timedelta | None = None,
    ) -> None:
        now = self._clock.monotonic()
        self._places_by_key[key] = _GrantedPlace(
            grant, admission, address, now if granted_at is None else granted_at, now
        )

    async def _handle_release(
        self, router_id: RouterId, address: Address, release: PlaceRelease
    ) -> None:
        key = (router_id, release.place_id)
        wait = self._waits_by_key.get(key)
        if wait is not None:
            # The caller has left. A stream that waits on would keep places from others.
            await wait.cancel()
        await self._reclaim(key, unpack_outcome(release))

    async def _reclaim(
        self, key: PlaceKey, outcome: PlaceOutcome = UNKNOWN_OUTCOME
    ) -> None:
        place = self._places_by_key.pop(key, None)
        if place is not None:
            await place.admission.release(place.grant, outcome)

    async def _handle_holdings(
        self, router_id: RouterId, address: Address, holdings: PlaceHoldings
    ) -> None:
        now = self._clock.monotonic()
        reported_keys = set()
        for reported in holdings.places:
            key = (router_id, reported.place_id)
            reported_keys.add(key)
            if key in self._places_by_key:
                self._record_confirmation(
                    self._places_by_key[key], reported.gap_ms, now
                )
                continue
            # Another router granted this place and is no longer the allocator.
            service, domain = ServiceName(reported.service), DomainId(reported.domain)
            admission = self._get_admission(service, domain)
            pipeline = unpack_stages(reported.stages, self._get_server)
            if admission is not None and pipeline is not None:
                demand = unpack_held_demand(reported)
                grant = admission.record_place(pipeline, reported.tokens, demand)
                held_for = timedelta(milliseconds=reported.held_ms)
                self._record(address, key, grant, admission, now - held_for)
        for key, place in list(self._places_by_key.items()):
            may_be_reclaimed = now - place.granted_at > _MIN_RECLAIM_AGE
            if key[0] == router_id and key not in reported_keys and may_be_reclaimed:
                await self._reclaim(key)
