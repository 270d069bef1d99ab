"""Exchange of crash records between routers by datagrams.

Most server crashes are not caused by a request, and each adds one crash to the records
of all requests that ran on the server, or of their parts. Such a record is therefore
sent only to the aggregators of its key, a few routers that all routers agree on. The
aggregators merge the records that they receive, and broadcast those with more than one
crash.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any

import curio

from hibiscustiller.discovery import FleetView, Peer
from hibiscustiller.ingress._crash_messages import RecordCodec
from hibiscustiller.ingress._shared_records import SharedRecords
from hibiscustiller.ingress._sharing import compute_report_period
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, RouterId
from hibiscustiller.wire import DatagramSocket, wait_for_event

# Two aggregators may be lost together with the server.
_AGGREGATORS = 3
# Records of suspected requests are sent again at this interval or a longer one, since
# datagrams can be lost.
_MIN_RESEND_PERIOD = timedelta(seconds=1)
# Every router has received a record after some repetitions, and routers that start
# query the others.
_RESEND_MAX_AGE = timedelta(minutes=1)
# A router that has started queries this many others in each of several rounds, since
# datagrams can be lost.
_QUERY_FANOUT = 3
_QUERY_ROUNDS = 3
_QUERY_PERIOD = timedelta(milliseconds=500)
# A record takes about 200 bytes. The limit keeps a datagram from being fragmented into
# many packets.
_MAX_RECORDS = 32

Records = Mapping[str, Any]


class CrashSharing:
    """Sends crash records to other routers and merges the ones it receives.

    :param router_id: id of this router.
    :param datagrams: carries the records.
    :param view: known routers of the fleet.
    :param records: records of this router, with the updates to send.
    :param merge: adds a received record by its key, given whether this router is an
        aggregator of it.
    :param codec: converts the records to messages and back.
    :param random_state: chooses the routers that are queried after the start.
    """

    def __init__(
        self,
        router_id: RouterId,
        datagrams: DatagramSocket,
        view: FleetView,
        records: SharedRecords,
        merge: Callable[[Any, Any, bool], None],
        codec: RecordCodec,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self._router_id = router_id
        self._datagrams = datagrams
        self._view = view
        self._records = records
        self._merge = merge
        self._codec = codec
        self._clock = clock
        self._random_state = random_state
        self._has_updates = curio.UniversalEvent()
        datagrams.register(codec.message_type, self._handle_message)

    def request_send(self) -> None:
        """Request that pending updates are sent at once."""
        self._has_updates.set()

    async def run(self) -> None:
        """Send records until cancelled."""
        resent_at = queued_at = self._clock.monotonic()
        while True:
            await wait_for_event(_MIN_RESEND_PERIOD, self._has_updates)
            self._has_updates.clear()
            await self._send_updates()
            now = self._clock.monotonic()
            self._queue_due(queued_at)
            queued_at = now
            period = compute_report_period(len(self._view.peers_by_id))
            if now - resent_at >= max(_MIN_RESEND_PERIOD, period):
                resent_at = now
                await self._resend_suspects()

    async def query_peers(self) -> None:
        """Query other routers for the records under suspicion after the start."""
        message = self._codec.encode({}, True, self._clock.monotonic())
        data = self._datagrams.encode(message)
        round_count = 0
        while round_count < _QUERY_ROUNDS:
            peers = self._list_peers()
            for peer in self._random_state.sample(
                peers, min(_QUERY_FANOUT, len(peers))
            ):
                await self._datagrams.send(peer.address, data)
            round_count += bool(peers)
            await self._clock.sleep(_QUERY_PERIOD)

    async def _send_updates(self) -> None:
        records_by_router: dict[RouterId, dict[str, Any]] = {}
        for update in self._records.take_updates(_MAX_RECORDS):
            receivers: Iterable[RouterId] = self._view.peers_by_id
            if not update.is_broadcast:
                receivers = self._list_aggregators(update.key)
            for router_id in receivers:
                records = records_by_router.setdefault(router_id, {})
                records[update.key] = update.record
        for peer in self._list_peers():
            await self._send(peer.address, records_by_router.get(peer.router_id, {}))
        if self._records.has_updates:
            self.request_send()

    def _queue_due(self, since: timedelta) -> None:
        """Queue the records without suspicion whose aggregators may lack them.

        An aggregator that has restarted, or that took over from a lost one, knows
        nothing of a record that is not under suspicion.

        :param since: time of the previous call, on the monotonic clock.
        """
        for key in self._records.list_due(since, _MIN_RESEND_PERIOD, _RESEND_MAX_AGE):
            self._records.queue_update(key, is_broadcast=False)

    async def _resend_suspects(self) -> None:
        """Send the records under suspicion to all routers again.

        Each router sends the records that it is an aggregator of.
        """
        suspects = self._records.list_suspects(_MAX_RECORDS, _RESEND_MAX_AGE)
        aggregated = {
            key: record
            for key, record in suspects.items()
            if self._router_id in self._list_aggregators(key)
        }
        for peer in self._list_peers():
            await self._send(peer.address, aggregated)

    async def _send(self, address: Address, records: Records) -> None:
        if not records:
            return
        message = self._codec.encode(records, False, self._clock.monotonic())
        await self._datagrams.send(address, self._datagrams.encode(message))

    async def _handle_message(
        self, router_id: RouterId, address: Address, message: Any
    ) -> None:
        records = self._codec.decode(message, self._clock.monotonic())
        for key, record in records.items():
            is_aggregator = self._router_id in self._list_aggregators(key)
            self._merge(key, record, is_aggregator)
        if message.is_asking:
            await self._send(address, self._records.list_suspects(_MAX_RECORDS))

    def _list_peers(self) -> list[Peer]:
        peers = self._view.peers_by_id.values()
        return [peer for peer in peers if peer.router_id != self._router_id]

    def _list_aggregators(self, key: str) -> list[RouterId]:
        return self._view.choose_routers(key, _AGGREGATORS, self._router_id)
