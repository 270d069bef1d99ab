"""Gives out the places of some domains' pipelines to all routers.

Hundreds of routers that each choose a pipeline by reports of the others choose by what
is older than the streams that it tells of. One router for each failure domain knows
every place of its pipelines, and one queue orders all requests that wait for them.
What it knows is told again by the routers that hold places, so that another router can
take over at any time. While two do so, both give out places, and an engine that is full
refuses.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import curio
from result import Ok

from hibiscustiller.fleet import BackendServer
from hibiscustiller.layers._admission import Admission, Grant
from hibiscustiller.layers._place_messages import (
    PlaceStatus,
    pack_stages,
    unpack_demand,
    unpack_stages,
)
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, DomainId, RouterId, ServerId, ServiceName
from hibiscustiller.wire import DatagramSocket
from hibiscustiller.wire._messages_generated import (
    PlaceAnswer,
    PlaceHoldings,
    PlaceRelease,
    PlaceRequest,
)

# Holders confirm their places every second; two of these messages may be lost.
_CONFIRMATION_LIFE = timedelta(seconds=3.2)
_EXPIRY_PERIOD = timedelta(milliseconds=500)
# A place that was given so lately may be missing in a list that was sent before.
_GRACE = timedelta(milliseconds=400)

PlaceKey = tuple[RouterId, int]


@dataclass
class _Held:
    """A place that a router holds."""

    grant: Grant
    admission: Admission
    given_at: timedelta
    confirmed_at: timedelta


class PlaceAllocator:
    """The places that this router has given out.

    :param get_admission: returns the admission to a service's pipelines in a domain;
        None if this router knows no such service.
    :param get_server: returns what is known of a server.
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
        self._held: dict[PlaceKey, _Held] = {}
        self._waiting: set[PlaceKey] = set()
        self.is_ending = False
        datagrams.register(PlaceRequest, self._take_request)
        datagrams.register(PlaceRelease, self._take_release)
        datagrams.register(PlaceHoldings, self._take_holdings)

    @property
    def held_count(self) -> int:
        """Places that other routers hold."""
        return len(self._held)

    async def run(self) -> None:
        """Take back places that are not confirmed, until cancelled."""
        while True:
            await self._clock.sleep(_EXPIRY_PERIOD)
            now = self._clock.monotonic()
            for key, held in list(self._held.items()):
                if now - held.confirmed_at > _CONFIRMATION_LIFE:
                    await self._take_back(key)

    async def _take_request(
        self, router_id: RouterId, address: Address, request: PlaceRequest
    ) -> None:
        key = (router_id, request.place_id)
        held = self._held.get(key)
        if held is not None:
            await self._answer(address, key, PlaceStatus.PLACED, held.grant)
            return
        if key in self._waiting:
            await self._answer(address, key, PlaceStatus.WAITING)
            return
        service = ServiceName(request.service)
        admission = self._get_admission(service, DomainId(request.domain))
        if admission is None or self.is_ending:
            await self._answer(address, key, PlaceStatus.ASK_ANOTHER)
            return
        demand = unpack_demand(request)
        if request.is_begun:
            excluded = {ServerId(server_id) for server_id in request.excluded}
            grant = admission.replace(demand, excluded)
        else:
            grant = admission.try_admit(demand)
        if grant is not None:
            self._hold(key, grant, admission)
            await self._answer(address, key, PlaceStatus.PLACED, grant)
        elif request.may_wait and not request.is_begun:
            self._waiting.add(key)
            await self._answer(address, key, PlaceStatus.WAITING)
            await curio.spawn(self._wait, address, key, admission, request, daemon=True)
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
            admitted = await admission.admit(unpack_demand(request))
        finally:
            self._waiting.discard(key)
        if isinstance(admitted, Ok):
            self._hold(key, admitted.ok_value, admission)
            await self._answer(address, key, PlaceStatus.PLACED, admitted.ok_value)
            return
        retry_after = admitted.err_value.retry_after or timedelta(0)
        await self._answer(address, key, PlaceStatus.REFUSED, retry_after=retry_after)

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

    def _confirm(self, held: _Held, gap_ms: int, now: timedelta) -> None:
        held.confirmed_at = now
        if gap_ms:
            # A slow engine shows only to the routers whose streams it runs.
            gap = timedelta(milliseconds=gap_ms)
            held.admission.note_gap(held.grant.pipeline, gap)

    def _hold(self, key: PlaceKey, grant: Grant, admission: Admission) -> None:
        now = self._clock.monotonic()
        self._held[key] = _Held(grant, admission, now, now)

    async def _take_release(
        self, router_id: RouterId, address: Address, release: PlaceRelease
    ) -> None:
        await self._take_back((router_id, release.place_id))

    async def _take_back(self, key: PlaceKey) -> None:
        held = self._held.pop(key, None)
        if held is not None:
            await held.admission.release(held.grant)

    async def _take_holdings(
        self, router_id: RouterId, address: Address, holdings: PlaceHoldings
    ) -> None:
        now = self._clock.monotonic()
        listed = set()
        for place in holdings.places:
            key = (router_id, place.place_id)
            listed.add(key)
            if key in self._held:
                self._confirm(self._held[key], place.gap_ms, now)
                continue
            # Another router gave it, and has ended or given up its part.
            service, domain = ServiceName(place.service), DomainId(place.domain)
            admission = self._get_admission(service, domain)
            pipeline = unpack_stages(place.stages, self._get_server)
            if admission is not None and pipeline is not None:
                grant = admission.adopt(pipeline, place.tokens)
                self._hold(key, grant, admission)
        for key, held in list(self._held.items()):
            is_old = now - held.given_at > _GRACE
            if key[0] == router_id and key not in listed and is_old:
                await self._take_back(key)
