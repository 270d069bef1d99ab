"""Gives what is known of the store to routers that start while it cannot be read.

A restart during an outage of the store, for instance of one router after the other,
must not take the fleet out of service: the routers that still run serve by what they
know, and one that starts joins them. What is adopted is as old as what they use, and is
brought up to date in the same way.
"""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta

import curio

from hibiscustiller.discovery._watcher import FleetWatcher
from hibiscustiller.exceptions import TransportError, WireFormatError
from hibiscustiller.platform import Change, Changes
from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock, log_event
from hibiscustiller.wire import (
    HttpClient,
    HttpRequest,
    Responder,
)
from hibiscustiller.wire._messages_generated import (
    StoreChange,
    StoreSnapshot,
    decode_message,
    encode_message,
)

SNAPSHOT_PATH = "/snapshot"
_OK = 200
# A store that is only slow answers first in nearly all cases.
_FIRST_DELAY = timedelta(milliseconds=500)
# Other routers that start at the same moment have nothing to give yet.
_RETRY_PERIOD = timedelta(seconds=1)
# A snapshot of some hundred servers takes a tenth of this on a slow link.
_TIMEOUT = timedelta(seconds=1)


class SnapshotExchange:
    """Serves snapshots, and takes one from a seed if the store cannot be read.

    :param seeds: where other routers serve snapshots.
    :param own: where this router does.
    :param first_read_delay: pause before the watcher's first read.
    """

    def __init__(
        self,
        seeds: Collection[Address],
        own: Address | None,
        watcher: FleetWatcher,
        client: HttpClient,
        clock: Clock,
        first_read_delay: timedelta = timedelta(0),
    ) -> None:
        self._seeds = [seed for seed in seeds if seed != own]
        self._watcher = watcher
        self._client = client
        self._clock = clock
        self._first_read_delay = first_read_delay

    async def run(self) -> None:
        """Ask the seeds until this router knows the store's keys."""
        await self._clock.sleep(self._first_read_delay + _FIRST_DELAY)
        while self._seeds and not self._watcher.has_read:
            newest = await self._fetch_newest()
            if newest is not None:
                await self._watcher.adopt(newest)
            else:
                await self._clock.sleep(_RETRY_PERIOD)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer another router's request for a snapshot."""
        if request.path != SNAPSHOT_PATH:
            await responder.send(404)
        elif not self._watcher.has_read:
            await responder.send(503)
        else:
            body = encode_snapshot(self._watcher.make_snapshot())
            await responder.send(200, body, "application/octet-stream")

    async def _fetch_newest(self) -> Changes | None:
        """Return the newest snapshot of all seeds; None if none has one."""
        async with curio.TaskGroup() as tasks:
            for seed in self._seeds:
                await tasks.spawn(self._fetch, seed)
        found = [snapshot for snapshot in tasks.results if snapshot is not None]
        return max(found, key=lambda snapshot: snapshot.revision, default=None)

    async def _fetch(self, seed: Address) -> Changes | None:
        try:
            answer = await self._client.request(
                seed, "GET", SNAPSHOT_PATH, timeout=_TIMEOUT
            )
            if answer.status != _OK:
                return None
            return decode_snapshot(answer.body)
        except (TransportError, WireFormatError) as error:
            log_event("snapshot_not_read", level="warning", seed=seed, reason=error)
            return None


def encode_snapshot(snapshot: Changes) -> bytes:
    """Encode every key with its value."""
    changes = tuple(
        StoreChange(change.key, change.revision, False, change.value or b"", 0)
        for change in snapshot.items
    )
    message = StoreSnapshot(snapshot.revision, changes)
    return encode_message("", message, is_compressed=True)


def decode_snapshot(data: bytes) -> Changes:
    """Decode a snapshot.

    :raises WireFormatError: if the bytes are none.
    """
    _, message = decode_message(data)
    if not isinstance(message, StoreSnapshot) or message.revision <= 0:
        raise WireFormatError("the answer is no snapshot")
    items = tuple(
        Change(change.key, change.value, change.revision) for change in message.changes
    )
    return Changes(items, message.revision)
