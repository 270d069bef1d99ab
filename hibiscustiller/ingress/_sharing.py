"""Exchange of load reports between routers by datagrams.

A report holds what a router has in flight, and the servers that it cannot reach or
considers to be leaving. Reports are neither acknowledged nor retransmitted: the next
one replaces a lost one, and the last report of a silent router expires.
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

# The other routers do not know what a router has admitted since its latest report.
_MIN_PERIOD = timedelta(milliseconds=200)
# Number of reports that a router receives per second, whatever the size of the fleet.
_MAX_REPORTS_PER_SECOND = 40
# Allocators receive the reports of all routers at this interval. They depend on them
# little: the places that an allocator has given out appear in its own report only.
_ALLOCATOR_PERIOD = timedelta(seconds=1)
# A report is due after this share of its period, since timers are inexact by some
# milliseconds.
_DUE_SHARE = 0.99
# A router that has been silent for this time, and for two of its report periods, is
# assumed to have nothing in flight.
_MIN_REPORT_TTL = timedelta(seconds=3)
_REPORT_TTL_PERIODS = 2.5


class LoadSharing:
    """Sends and receives load reports.

    :param router_id: id of this router.
    :param datagrams: carries the reports.
    :param view: known routers of the fleet.
    :param load: load of the engines by all routers.
    :param health: reachability of the servers.
    :param on_report: called after a report of another router was applied.
    :param list_allocators: returns the routers that give out places for the others.
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
        datagrams.register(LoadReport, self._handle_report)

    async def send_reports(self) -> None:
        """Send reports at regular intervals until cancelled."""
        broadcast_at = self._clock.monotonic()
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
            self._load.expire_reports(
                max(_MIN_REPORT_TTL, period * _REPORT_TTL_PERIODS)
            )
            now = self._clock.monotonic()
            if is_urgent or now - broadcast_at >= period * _DUE_SHARE:
                broadcast_at = now
            else:
                # Allocators need more frequent reports of the engines that this router
                # uses by its own choice.
                has_use = used_engines or self._uses_engines
                allocators = self._list_allocators() if has_use else ()
                peers = [peer for peer in peers if peer.router_id in allocators]
            used_engines = self._uses_engines
            data = self._datagrams.encode(self._make_report())
            for peer in peers:
                await self._datagrams.send(peer.address, data)

    def request_send(self) -> None:
        """Request that the next report is sent at once, after a change of a server."""
        self._is_urgent.set()

    @property
    def _uses_engines(self) -> bool:
        return any(use.token_layers for use in self._load.get_own_use().values())

    def _make_report(self) -> LoadReport:
        uses = tuple(
            ServerUse(server_id, round(use.token_layers), use.entry_count)
            for server_id, use in self._load.get_own_use().items()
        )
        unreachable = tuple(self._health.list_unreachable())
        leaving = tuple(self._health.list_leaving())
        dead = tuple(
            DeadServer(server_id, born)
            for server_id, born in self._health.list_dead().items()
        )
        return LoadReport(uses, unreachable, leaving, dead, self._health.is_cut_off)

    async def _handle_report(
        self, router_id: RouterId, address: Address, report: LoadReport
    ) -> None:
        uses = {
            ServerId(use.server_id): EngineUse(float(use.token_layers), use.entered)
            for use in report.uses
        }
        self._load.set_report(router_id, uses)
        self._health.record_cut_off(router_id, report.cut_off)
        for server in report.dead:
            await self._health.record_dead(
                router_id, ServerId(server.server_id), server.born
            )
        known = set(self._health.list_unreachable())
        new = [ServerId(key) for key in report.unreachable if key not in known]
        if new:
            await curio.spawn(self._health.check_reported, new, daemon=True)
        self._health.refusals.record_peer_report(
            ServerId(key) for key in report.leaving
        )
        await self._on_report()


def compute_report_period(peer_count: int) -> timedelta:
    """Return the time between two reports to the same router.

    It grows with the fleet, so that each router receives a bounded number of reports.
    """
    seconds = peer_count / _MAX_REPORTS_PER_SECOND
    return max(_MIN_PERIOD, timedelta(seconds=seconds))
