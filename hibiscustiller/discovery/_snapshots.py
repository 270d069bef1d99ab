"""Snapshots of the store's keys for routers that start during a store outage.

A restart during a store outage, for instance a rolling restart, must not take the fleet
out of service. The running routers serve with the state that they have, and a router
that starts fetches a snapshot of it. The snapshot is as old as the state of the other
routers, and is brought up to date in the same way.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from datetime import timedelta

import curio

from hibiscustiller.discovery._change_transfer import (
    TRANSFER_LIMITS,
    ChangeFetcher,
    ChangeSender,
    TransferAnswer,
)
from hibiscustiller.discovery._departures import Departure
from hibiscustiller.discovery._view import Peer
from hibiscustiller.discovery._watcher import FleetWatcher, StateSnapshot
from hibiscustiller.exceptions import TransportError, WireFormatError
from hibiscustiller.platform import NO_REVISION, Change, Changes, Revision
from hibiscustiller.settings import Address, parse_address
from hibiscustiller.utils import (
    Clock,
    DomainId,
    RouterId,
    ServerId,
    Verdict,
    log_event,
)
from hibiscustiller.wire import (
    HttpAnswer,
    HttpClient,
    HttpRequest,
    Responder,
    wait_at_most,
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
_UNAVAILABLE = 503
_OTHERS_HEADER = "x-ask-routers"
_BUSY_HEADER = "x-router-busy"
# With this delay a store that is merely slow nearly always answers before a seed.
_INITIAL_DELAY = timedelta(milliseconds=500)
# Other routers that start at the same time have no snapshot yet.
_RETRY_PERIOD = timedelta(seconds=1)
# A router that is not stopped or cut off answers within this time.
_HEAD_TIMEOUT = timedelta(milliseconds=300)
# A receiver that does not read holds one of few transfers at most this long.
_SEND_TIMEOUT = timedelta(seconds=5)
# Routers that have a snapshot, but send none now, are asked again for this time.
_BUSY_LIMIT = timedelta(seconds=5)


class SnapshotExchange:
    """Serves snapshots, and fetches one from a seed if the store is unavailable.

    Each router sends few snapshots at a time, and names those that have received one to
    the others. Routers that start do not know each other's ids, so they are named by
    address.

    :param seeds: addresses at which other routers serve snapshots.
    :param own_address: the address at which this router does.
    :param watcher: provides the served snapshots and applies the fetched one.
    :param client: HTTP client for the requests to the seeds.
    :param clock: clock used for delays.
    :param random_state: order of the seeds and jitter of repeated requests.
    :param first_read_delay: delay before the watcher's first read.
    """

    def __init__(
        self,
        seeds: Collection[Address],
        own_address: Address | None,
        watcher: FleetWatcher,
        client: HttpClient,
        clock: Clock,
        random_state: random.Random,
        first_read_delay: timedelta = timedelta(0),
    ) -> None:
        self._seeds = [seed for seed in seeds if seed != own_address]
        self._own_address = own_address
        self._watcher = watcher
        self._client = client
        self._clock = clock
        self._random_state = random_state
        self._first_read_delay = first_read_delay
        # Passed on while the other seeds are asked for a newer one.
        self._fetched: StateSnapshot | None = None
        # Departures change without a revision.
        self._sender = ChangeSender(
            lambda after: encode_snapshot(self._get_snapshot()),
            self._get_revision,
            lambda one, other: False,
            clock,
            keeps_encoded=False,
        )
        self._starting_fetcher = ChangeFetcher(
            self._request_as_starting, _find_peer, clock, random_state
        )
        # Another router may not have yet what this one lacks.
        self._merging_fetcher = ChangeFetcher(
            self._request, lambda router_id: None, clock, random_state
        )

    async def run(self) -> None:
        """Request snapshots from the seeds until this router has an initial state."""
        await self._clock.sleep(self._first_read_delay + _INITIAL_DELAY)
        while self._seeds and not self._watcher.has_initial_state:
            newest = await self._fetch_newest()
            if newest is not None:
                await self._watcher.apply_snapshot(newest)
                self._fetched = None
            else:
                share = self._random_state.uniform(0.5, 1.5)
                await self._clock.sleep(_RETRY_PERIOD * share)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Handle another router's request for a snapshot.

        :raises TransportError: if the other router does not take the answer.
        """
        if request.path != SNAPSHOT_PATH:
            await responder.send(404)
            return
        query = request.query_by_name
        router_id = RouterId(query.get("router", ""))
        if "received" in query:
            self._sender.end_transfer(router_id, has_arrived=True)
            await responder.send(_STATUS_OK)
            return
        try:
            after = Revision(int(query.get("era", 0)), int(query.get("revision", 0)))
        except ValueError:
            await responder.send(400)
            return
        answer = self._sender.answer(router_id, after)
        if answer.body is None:
            responder.extra_headers[_OTHERS_HEADER] = ",".join(answer.others)
            if answer.is_busy:
                responder.extra_headers[_BUSY_HEADER] = "1"
            await responder.send(_UNAVAILABLE)
            return
        responder.write_timeout = _SEND_TIMEOUT
        try:
            await responder.send(_STATUS_OK, answer.body, "application/octet-stream")
        except TransportError:
            self._sender.end_transfer(router_id, has_arrived=False)
            raise

    def _get_snapshot(self) -> StateSnapshot:
        if self._fetched is None or self._watcher.has_initial_state:
            return self._watcher.make_snapshot()
        return self._fetched

    def _get_revision(self) -> Revision:
        if self._fetched is None or self._watcher.has_initial_state:
            return self._watcher.revision
        return self._fetched.changes.revision

    async def _fetch_newest(self) -> StateSnapshot | None:
        """Fetch the newest snapshot of all seeds; None if no seed has one.

        All seeds but one send theirs only if it is newer.
        """
        seeds = self._random_state.sample(self._seeds, len(self._seeds))
        first = await self._fetch(self._starting_fetcher, seeds, NO_REVISION)
        if first is None:
            return None
        self._fetched = first
        async with curio.TaskGroup() as tasks:
            for seed in seeds:
                await tasks.spawn(
                    self._fetch, self._starting_fetcher, [seed], first.changes.revision
                )
        found = [snapshot for snapshot in tasks.results if snapshot is not None]
        return max([first, *found], key=lambda snapshot: snapshot.changes.revision)

    async def fetch(self, seed: Address) -> StateSnapshot | None:
        """Fetch the snapshot of a router; None if it has none or does not answer."""
        return await self._fetch(self._merging_fetcher, [seed], NO_REVISION)

    async def _fetch(
        self, fetcher: ChangeFetcher, seeds: Collection[Address], after: Revision
    ) -> StateSnapshot | None:
        sources = [_make_peer(seed) for seed in seeds]
        body = await fetcher.fetch(sources, after, _BUSY_LIMIT)
        if body is None:
            return None
        try:
            return decode_snapshot(body)
        except WireFormatError as error:
            log_event("snapshot_not_read", level="warning", seeds=seeds, reason=error)
            return None

    async def _request_as_starting(
        self, peer: Peer, after: Revision, time_limit: timedelta
    ) -> TransferAnswer:
        """Request a snapshot that this router can pass on to others."""
        if self._watcher.has_initial_state:
            raise TransportError("the store has answered meanwhile", Verdict.NOT_RUN)
        own = "" if self._own_address is None else f"&router={self._own_address}"
        answer = await self._request(peer, after, time_limit, own)
        if answer.body is not None and own:
            await curio.spawn(self._confirm, peer.address, own, daemon=True)
        return answer

    async def _confirm(self, address: Address, own: str) -> None:
        """Tell a router that its snapshot has arrived, so that it sends to others."""
        try:
            await self._call(address, f"{SNAPSHOT_PATH}?received=1{own}")
        except TransportError as error:
            log_event("transfer_not_confirmed", source=address, reason=error)

    async def _call(self, address: Address, target: str) -> HttpAnswer:
        return await self._client.request(
            address, "GET", target, timeout=_HEAD_TIMEOUT, transfer=TRANSFER_LIMITS
        )

    async def _request(
        self, peer: Peer, after: Revision, time_limit: timedelta, more: str = ""
    ) -> TransferAnswer:
        target = f"{SNAPSHOT_PATH}?era={after.era}&revision={after.number}{more}"
        try:
            answer = await wait_at_most(time_limit, self._call(peer.address, target))
        except TimeoutError as error:
            raise TransportError(str(error), Verdict.NOT_RUN) from error
        if answer.status == _STATUS_OK:
            return TransferAnswer(answer.body)
        if answer.status != _UNAVAILABLE:
            raise TransportError(f"status {answer.status}", Verdict.NOT_RUN)
        names = answer.headers_by_name.get(_OTHERS_HEADER, "").split(",")
        return TransferAnswer(
            None,
            tuple(RouterId(name) for name in names if name),
            _BUSY_HEADER in answer.headers_by_name,
        )


def _make_peer(address: Address) -> Peer:
    return Peer(RouterId(str(address)), address, DomainId(""), inner=address)


def _find_peer(router_id: RouterId) -> Peer | None:
    """Return the router that is named by its address; None if it is no address."""
    try:
        return _make_peer(parse_address(router_id))
    except ValueError:
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
