"""Snapshots of the store's keys for routers that start during a store outage.

A restart during a store outage, for instance a rolling restart, must not take the fleet
out of service. The running routers serve with the state that they have, and a router
that starts fetches a snapshot of it. The snapshot is as old as the state of the other
routers, and is brought up to date in the same way.
"""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta

import curio

from hibiscustiller.discovery._departures import Departure
from hibiscustiller.discovery._watcher import FleetWatcher, StateSnapshot
from hibiscustiller.exceptions import TransportError, WireFormatError
from hibiscustiller.platform import NO_REVISION, Change, Changes, Revision
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, ServerId, log_event
from hibiscustiller.wire import (
    HttpClient,
    HttpRequest,
    Responder,
)
from hibiscustiller.wire._messages_generated import (
    DepartedProcess,
    StoreChange,
    StoreSnapshot,
    decode_message,
    encode_message,
)

SNAPSHOT_PATH = "/snapshot"
_STATUS_OK = 200
# With this delay a store that is merely slow nearly always answers before a seed.
_INITIAL_DELAY = timedelta(milliseconds=500)
# Other routers that start at the same time have no snapshot yet.
_RETRY_PERIOD = timedelta(seconds=1)
# The transfer of a snapshot with some hundred servers takes a tenth of this time on a
# slow link.
_TIMEOUT = timedelta(seconds=1)


class SnapshotExchange:
    """Serves snapshots, and fetches one from a seed if the store is unavailable.

    :param seeds: addresses at which other routers serve snapshots.
    :param own_address: the address at which this router does.
    :param watcher: provides the served snapshots and applies the fetched one.
    :param client: HTTP client for the requests to the seeds.
    :param clock: clock used for delays.
    :param first_read_delay: delay before the watcher's first read.
    """

    def __init__(
        self,
        seeds: Collection[Address],
        own_address: Address | None,
        watcher: FleetWatcher,
        client: HttpClient,
        clock: Clock,
        first_read_delay: timedelta = timedelta(0),
    ) -> None:
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._watcher = watcher
        self._client = client
        self._clock = clock
        self._first_read_delay = first_read_delay

    async def run(self) -> None:
        """Request snapshots from the seeds until this router has an initial state."""
        await self._clock.sleep(self._first_read_delay + _INITIAL_DELAY)
        while self._seeds and not self._watcher.has_initial_state:
            newest = await self._fetch_newest()
            if newest is not None:
                await self._watcher.apply_snapshot(newest)
            else:
                await self._clock.sleep(_RETRY_PERIOD)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle another router's request for a snapshot."""
        if request.path != SNAPSHOT_PATH:
            await responder.send(404)
        elif not self._watcher.has_initial_state:
            await responder.send(503)
        else:
            body = encode_snapshot(self._watcher.make_snapshot())
            await responder.send(200, body, "application/octet-stream")

    async def _fetch_newest(self) -> StateSnapshot | None:
        """Fetch the newest snapshot of all seeds; None if no seed has one."""
        async with curio.TaskGroup() as tasks:
            for seed in self._seeds:
                await tasks.spawn(self.fetch, seed)
        found = [snapshot for snapshot in tasks.results if snapshot is not None]
        return max(found, key=lambda snapshot: snapshot.changes.revision, default=None)

    async def fetch(self, seed: Address) -> StateSnapshot | None:
        """Fetch the snapshot of a router; None if it has none or does not answer."""
        try:
            answer = await self._client.request(
                seed, "GET", SNAPSHOT_PATH, timeout=_TIMEOUT
            )
            if answer.status != _STATUS_OK:
                return None
            return decode_snapshot(answer.body)
        except (TransportError, WireFormatError) as error:
            log_event("snapshot_not_read", level="warning", seed=seed, reason=error)
            return None


def encode_age(age: timedelta | None) -> int:
    """Encode a time in milliseconds; 0 stands for None."""
    return 0 if age is None else max(1, age // timedelta(milliseconds=1))


def encode_snapshot(snapshot: StateSnapshot) -> bytes:
    """Encode a snapshot of all keys and values."""
    changes = tuple(
        StoreChange(
            change.key,
            change.revision.number,
            False,
            change.value or b"",
            0,
            change.revision.era,
            0,
            False,
            b"",
        )
        for change in snapshot.changes.items
    )
    message = StoreSnapshot(
        revision=snapshot.changes.revision.number,
        changes=changes,
        era=snapshot.changes.revision.era,
        departed=tuple(
            DepartedProcess(departure.server_id, departure.born, departure.update)
            for departure in snapshot.departures
        ),
        era_age_ms=encode_age(snapshot.era_age),
    )
    return encode_message("", message, is_compressed=True)


def decode_snapshot(data: bytes) -> StateSnapshot:
    """Decode a snapshot.

    :raises WireFormatError: if the data is not a valid snapshot.
    """
    _, message = decode_message(data)
    if not isinstance(message, StoreSnapshot):
        raise WireFormatError("the response is not a snapshot")
    revision = Revision(message.era, message.revision)
    if revision <= NO_REVISION:
        raise WireFormatError("the snapshot has no revision")
    items = tuple(
        Change(change.key, change.value, Revision(change.era, change.revision))
        for change in message.changes
    )
    departures = tuple(
        Departure(ServerId(process.server_id), process.born, process.update)
        for process in message.departed
    )
    age = timedelta(milliseconds=message.era_age_ms) if message.era_age_ms else None
    return StateSnapshot(Changes(items, revision), departures, age)
