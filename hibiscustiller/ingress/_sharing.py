"""Tells the other routers what this one has in flight, by datagrams.

A lost datagram is replaced by the next one, and a router that falls silent is
forgotten, so nothing is acknowledged or sent again.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection
from datetime import timedelta

import curio

from hibiscustiller.discovery import FleetView
from hibiscustiller.ingress._health import ServerHealth
from hibiscustiller.layers import EngineLoad, EngineUse
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, RouterId, ServerId
from hibiscustiller.wire import DatagramSocket, wait_for_event
from hibiscustiller.wire._messages_generated import (
    DeadServer,
    LoadReport,
    ServerUse,
)

# What a router admits within it is not known to the others.
_SHORTEST_PERIOD = timedelta(milliseconds=200)
# Reports that a router takes in a second, whatever the size of the fleet.
_MAX_REPORTS_PER_SECOND = 40
# A router that chooses for the others hears of all within this time. It needs little:
# what it has given out itself is in no report but its own.
_ALLOCATOR_PERIOD = timedelta(seconds=1)
# Timers are late by some milliseconds.
_NEARLY = 0.99
# A router that has been silent for so long, and for two of its reports, is taken to
# hold nothing any more.
_SHORTEST_LIFE = timedelta(seconds=3)
_LIFE_PERIODS = 2.5


class LoadSharing:
    """Sends and takes reports of requests in flight.

    :param datagrams: carries the reports.
    :param on_report: called after another router's report was taken.
    :param list_allocators: returns the routers that choose for the others.
    """

    def __init__(
        self,
        router_id: RouterId,
        datagrams: DatagramSocket,
        view: FleetView,
        load: EngineLoad,
        health: ServerHealth,
        clock: Clock,
        on_report: Callable[[], Awaitable[None]],
        list_allocators: Callable[[], Collection[RouterId]] = tuple,
    ) -> None:
        self._list_allocators = list_allocators
        self._router_id = router_id
        self._datagrams = datagrams
        self._view = view
        self._load = load
        self._health = health
        self._clock = clock
        self._on_report = on_report
        self._is_urgent = curio.UniversalEvent()
        datagrams.register(LoadReport, self._take)

    async def send_reports(self) -> None:
        """Send reports until cancelled."""
        told_all_at = self._clock.monotonic()
        used_engines = False
        while True:
            peers = [
                peer
                for peer in self._view.peers_by_id.values()
                if peer.router_id != self._router_id
            ]
            period = compute_report_period(len(peers))
            is_urgent = await wait_for_event(
                min(period, _ALLOCATOR_PERIOD), self._is_urgent
            )
            self._is_urgent.clear()
            self._load.expire_reports(max(_SHORTEST_LIFE, period * _LIFE_PERIODS))
            now = self._clock.monotonic()
            if is_urgent or now - told_all_at >= period * _NEARLY:
                told_all_at = now
            else:
                # Routers that choose for the others need to know more often what
                # this one has chosen itself.
                is_told = used_engines or self._uses_engines
                allocators = self._list_allocators() if is_told else ()
                peers = [peer for peer in peers if peer.router_id in allocators]
            used_engines = self._uses_engines
            data = self._datagrams.encode(self._make_report())
            for peer in peers:
                await self._datagrams.send(peer.address, data)

    def request_send(self) -> None:
        """Send the next report at once: a server was lost."""
        self._is_urgent.set()

    @property
    def _uses_engines(self) -> bool:
        return any(use.token_layers for use in self._load.list_own().values())

    def _make_report(self) -> LoadReport:
        uses = tuple(
            ServerUse(server_id, round(use.token_layers), use.entered)
            for server_id, use in self._load.list_own().items()
        )
        unreachable = tuple(self._health.list_unreachable())
        leaving = tuple(self._health.refusals.list_leaving())
        dead = tuple(
            DeadServer(server_id, born)
            for server_id, born in self._health.list_dead().items()
        )
        return LoadReport(uses, unreachable, leaving, dead)

    async def _take(
        self, router_id: RouterId, address: Address, report: LoadReport
    ) -> None:
        uses = {
            ServerId(use.server_id): EngineUse(float(use.token_layers), use.entered)
            for use in report.uses
        }
        self._load.take_report(router_id, uses)
        for server in report.dead:
            self._health.record_dead(ServerId(server.server_id), server.born)
        known = set(self._health.list_unreachable())
        new = [ServerId(key) for key in report.unreachable if key not in known]
        if new:
            await curio.spawn(self._health.check_reported, new, daemon=True)
        self._health.refusals.note_told(ServerId(key) for key in report.leaving)
        await self._on_report()


def compute_report_period(peer_count: int) -> timedelta:
    """Return the time between two reports to each other router."""
    seconds = peer_count / _MAX_REPORTS_PER_SECOND
    return max(_SHORTEST_PERIOD, timedelta(seconds=seconds))
