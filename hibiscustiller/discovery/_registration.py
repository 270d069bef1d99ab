"""This router's own entry in the store, kept by a lease.

Renewing the lease is the cheapest call of the store, so it also tells whether the
store can be reached.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Awaitable, Callable
from datetime import timedelta

from hibiscustiller.discovery._reach import StoreReach
from hibiscustiller.discovery._view import Peer
from hibiscustiller.discovery._watcher import ROUTER_PREFIX
from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.platform import LeaseExpiredError, LeaseId, MetadataStore
from hibiscustiller.utils import Clock, log_event

# Peers count a router that died for this long; its reports end at once.
_TTL = timedelta(seconds=8)
_PERIOD = timedelta(seconds=2.5)
# A router that follows the store for others has to notice sooner that it is away.
_FOLLOWER_PERIOD = timedelta(seconds=1)
# A store that is away is asked more often by those on whom the others wait.
_FOLLOWER_RETRY_PERIOD = timedelta(milliseconds=400)
# Refused calls are charged as well. An entry that lapsed must be back within two
# seconds of the store's return.
_RETRY_PERIOD = timedelta(seconds=1.3)
# Share by which the retry periods of different routers differ.
_RETRY_JITTER = 0.25
# A tick that comes so late means that the process or its host stood still.
_FREEZE = timedelta(seconds=2)


class Registration:
    """Keeps this router's entry.

    :param peer: what the other routers need to know of this one.
    :param store: the platform's store.
    :param clock: source of time.
    :param on_return: called when the store answers again, or after a freeze.
    :param is_follower: tells whether this router follows the store for others.
    :param random_state: spreads the retries of many routers.
    :param reach: told of each call's end; it asks for calls as well.
    """

    def __init__(
        self,
        peer: Peer,
        store: MetadataStore,
        clock: Clock,
        on_return: Callable[[], Awaitable[None]],
        is_follower: Callable[[], bool],
        random_state: random.Random,
        reach: StoreReach,
    ) -> None:
        self._reach = reach
        self._random_state = random_state
        self._is_follower = is_follower
        self._key = f"{ROUTER_PREFIX}{peer.router_id}"
        values = {
            "address": str(peer.address),
            "domain": peer.domain,
            "capacity": peer.capacity,
        }
        self._value = json.dumps(values).encode()
        self._store = store
        self._clock = clock
        self._on_return = on_return
        self._lease: LeaseId | None = None
        self._is_written = False
        self._revision = 0

    async def run(self) -> None:
        """Write the entry and renew its lease until cancelled."""
        while True:
            before = _read_boot_time()
            await self._renew_or_note()
            period = self._get_period()
            await self._reach.wait_for_check(period)
            pause = _read_boot_time() - before
            if pause > period + _FREEZE:
                log_event("host_stood_still", level="warning", pause=pause)
                await self._on_return()

    def _get_period(self) -> timedelta:
        is_follower = self._is_follower()
        if self._reach.is_reachable:
            return _FOLLOWER_PERIOD if is_follower else _PERIOD
        period = _FOLLOWER_RETRY_PERIOD if is_follower else _RETRY_PERIOD
        return period * self._random_state.uniform(1 - _RETRY_JITTER, 1 + _RETRY_JITTER)

    async def end(self) -> None:
        """Remove the entry."""
        if self._lease is None:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except StoreUnavailableError as error:
            # The entry then ends with its lease.
            log_event("registration_end_failed", level="warning", reason=error)

    async def _renew_or_note(self) -> None:
        began_at = self._clock.monotonic()
        try:
            await self._renew()
        except StoreUnavailableError as error:
            if self._reach.is_reachable:
                self._reach.note_failure()
                log_event("store_lost", level="warning", reason=error)
            return
        was_reachable = self._reach.is_reachable
        self._reach.note_answer(began_at)
        if not was_reachable:
            log_event("store_regained")
            await self._on_return()

    async def _renew(self) -> None:
        if self._lease is None:
            self._lease = await self._store.grant_lease(_TTL)
        elif not await self._store.keep_alive(self._lease):
            self._lease, self._is_written, self._revision = None, False, 0
            return await self._renew()
        if not self._is_written:
            await self._write()

    async def _write(self) -> None:
        assert self._lease is not None
        try:
            outcome = await self._store.compare_and_swap(
                self._key, self._value, self._revision, self._lease
            )
        except LeaseExpiredError:
            self._lease = None
            return
        self._is_written = outcome.is_swapped
        # An earlier process of this host may have left an entry; the next try replaces
        # it.
        found = outcome.current
        self._revision = 0 if found is None else found.revision


def _read_boot_time() -> timedelta:
    # Unlike the monotonic clock it counts the time that a host is suspended.
    return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
