"""Tells the other routers under which requests servers have ended, by datagrams.

Most ends of servers have another cause than a request, and make all requests that ran
there known once. Only the tellers of a request, a few routers that the others agree on,
hear of that. They put together what they hear, and tell all routers of a request under
which servers ended more than once.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from datetime import timedelta

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.ingress._crash_history import CrashHistory, CrashRecord
from hibiscustiller.ingress._crash_messages import (
    make_crash_message,
    read_crash_message,
)
from hibiscustiller.ingress._sharing import compute_report_period
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, Fingerprint, RouterId
from hibiscustiller.wire import DatagramSocket, wait_for_event
from hibiscustiller.wire._messages_generated import CrashedRequests

# Two may be lost together with the server.
_TELLERS = 3
# Requests that are refused are told again after this time at least, since datagrams are
# lost.
_SHORTEST_PERIOD = timedelta(seconds=1)
# After some repeats every router has them, and those that start ask for them.
_TOLD_FOR = timedelta(minutes=1)
# A router that has started asks so many others, some times, since datagrams are lost.
_ASKED = 3
_ASKING_ROUNDS = 3
_ASKING_PERIOD = timedelta(milliseconds=500)
# About 200 bytes each, so that a datagram is not divided into many packets.
_MAX_RECORDS = 32

Records = Mapping[Fingerprint, CrashRecord]


class CrashSharing:
    """Sends and takes records of requests under which servers have ended.

    :param datagrams: carries the records.
    :param random_state: chooses the routers that are asked after the start.
    """

    def __init__(
        self,
        router_id: RouterId,
        datagrams: DatagramSocket,
        view: FleetView,
        crashes: CrashHistory,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._router_id = router_id
        self._datagrams = datagrams
        self._view = view
        self._crashes = crashes
        self._clock = clock
        self._random_state = random_state
        self._has_news = curio.UniversalEvent()
        datagrams.register(CrashedRequests, self._take)

    def request_send(self) -> None:
        """Send what the other routers do not know now."""
        self._has_news.set()

    async def run(self) -> None:
        """Send records until cancelled."""
        told_at = self._clock.monotonic()
        while True:
            await wait_for_event(_SHORTEST_PERIOD, self._has_news)
            self._has_news.clear()
            await self._tell_news()
            now = self._clock.monotonic()
            period = compute_report_period(len(self._view.peers_by_id))
            if now - told_at >= max(_SHORTEST_PERIOD, period):
                told_at = now
                await self._tell_suspects()

    async def query_peers(self) -> None:
        """Ask other routers for what they know, soon after the start."""
        data = self._datagrams.encode(CrashedRequests((), is_asking=True))
        asked_count = 0
        while asked_count < _ASKING_ROUNDS:
            peers = self._list_peers()
            for peer in self._random_state.sample(peers, min(_ASKED, len(peers))):
                await self._datagrams.send(peer.address, data)
            asked_count += bool(peers)
            await self._clock.sleep(_ASKING_PERIOD)

    async def _tell_news(self) -> None:
        records_by_router: dict[RouterId, dict[Fingerprint, CrashRecord]] = {}
        for news in self._crashes.take_updates(_MAX_RECORDS):
            receivers: Iterable[RouterId] = self._view.peers_by_id
            if not news.is_broadcast:
                receivers = self._list_tellers(news.fingerprint)
            for router_id in receivers:
                records = records_by_router.setdefault(router_id, {})
                records[news.fingerprint] = news.record
        for peer in self._list_peers():
            await self._send(peer.address, records_by_router.get(peer.router_id, {}))
        if self._crashes.has_updates:
            self.request_send()

    async def _tell_suspects(self) -> None:
        """Tell all routers again which requests are refused or near to it."""
        suspects = self._crashes.list_suspects(_MAX_RECORDS, _TOLD_FOR)
        own = {
            fingerprint: record
            for fingerprint, record in suspects.items()
            if self._router_id in self._list_tellers(fingerprint)
        }
        for peer in self._list_peers():
            await self._send(peer.address, own)

    async def _send(self, address: Address, records: Records) -> None:
        if not records:
            return
        now = self._clock.monotonic()
        messages = tuple(
            make_crash_message(fingerprint, record, now)
            for fingerprint, record in records.items()
        )
        data = self._datagrams.encode(CrashedRequests(messages, is_asking=False))
        await self._datagrams.send(address, data)

    async def _take(
        self, router_id: RouterId, address: Address, message: CrashedRequests
    ) -> None:
        now = self._clock.monotonic()
        for request in message.requests:
            fingerprint = Fingerprint(request.fingerprint)
            record = read_crash_message(request, now)
            is_aggregator = self._router_id in self._list_tellers(fingerprint)
            self._crashes.merge(fingerprint, record, is_aggregator)
        if message.is_asking:
            await self._send(address, self._crashes.list_suspects(_MAX_RECORDS))

    def _list_peers(self) -> list[Peer]:
        peers = self._view.peers_by_id.values()
        return [peer for peer in peers if peer.router_id != self._router_id]

    def _list_tellers(self, fingerprint: Fingerprint) -> list[RouterId]:
        return self._view.choose_routers(fingerprint, _TELLERS, self._router_id)
