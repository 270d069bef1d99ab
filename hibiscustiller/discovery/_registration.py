"""The entry of this router in the store, which lives as long as its lease.

The lease renewal is the cheapest call to the store, so it also serves as the check of
whether the store is reachable.
"""

from __future__ import annotations

import json
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

from hibiscustiller.discovery._outages import StoreOutages
from hibiscustiller.discovery._reach import StoreReach
from hibiscustiller.discovery._view import Peer
from hibiscustiller.discovery._watcher import ROUTER_PREFIX
from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.platform import LeaseExpiredError, LeaseId, MetadataStore
from hibiscustiller.utils import Clock, log_event

# The other routers count a crashed router for this long; its reports stop at once.
_LEASE_TTL = timedelta(seconds=8)
_RENEWAL_PERIOD = timedelta(seconds=2.5)
# During an outage followers retry more often, because the other routers depend on them.
_FOLLOWER_RETRY_PERIOD = timedelta(milliseconds=400)
# Refused calls are charged as well. An entry that expired during an outage must be
# written again within two seconds of its end.
_RETRY_PERIOD = timedelta(seconds=1.3)
# Largest relative deviation of a retry period, which spreads the routers' retries.
_RETRY_JITTER = 0.25
# After a restore of the store all routers register again; their calls are spread over
# this time for each router, or the store would refuse some of them.
_REREGISTRATION_SPREAD_PER_ROUTER = timedelta(milliseconds=6)
# The second attempt replaces an entry that an earlier process of this router left.
_WRITE_ATTEMPTS = 2
# A renewal that is late by more than this means that the process or its host was
# suspended.
_SUSPENSION_THRESHOLD = timedelta(seconds=2)


class Registration:
    """Writes this router's entry and keeps its lease alive.

    :param peer: the data of this router that the entry holds.
    :param store: the platform's store.
    :param clock: clock that measures when a call began.
    :param on_return: called when the store answers again, or after a suspension.
    :param is_follower: returns whether this router watches the store for others.
    :param random_state: random numbers for the jitter of retries.
    :param reach: records the outcome of each renewal and may request one.
    :param on_new_era: called when the store was found to be restored from a backup.
    :param count_routers: returns how many routers register.
    :param outages: records whether the store answers.
    :param on_renewal: called after each successful renewal with the moment at which it
        began, as time since the host's start.
    :param get_watch_period: returns the renewal period of a router that watches the
        store; None if this one does not.
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
        on_new_era: Callable[[], Awaitable[None]],
        count_routers: Callable[[], int],
        outages: StoreOutages,
        on_renewal: Callable[[timedelta], None],
        get_watch_period: Callable[[], timedelta | None],
    ) -> None:
        self._get_watch_period = get_watch_period
        self._outages = outages
        self._on_renewal = on_renewal
        self._reach = reach
        self._on_new_era = on_new_era
        self._count_routers = count_routers
        self._random_state = random_state
        self._is_follower = is_follower
        self._key = f"{ROUTER_PREFIX}{peer.router_id}"
        values = {
            "address": str(peer.address),
            "domain": peer.domain,
            "capacity": peer.capacity,
        }
        if peer.inner is not None:
            values["inner"] = str(peer.inner)
        self._value = json.dumps(values).encode()
        self._store = store
        self._clock = clock
        self._on_return = on_return
        self._lease: LeaseId | None = None
        self._is_written = False
        self._revision = 0
        # The store's era in which the entry was written or found.
        self._era = 0
        self._is_restore_known = False

    async def handle_restore(self) -> None:
        """Register again soon, because the store was restored from a backup."""
        self._is_restore_known = True
        await self._reach.request_check()

    async def run(self) -> None:
        """Write the entry and renew its lease until cancelled."""
        while True:
            began_at = self._clock.boot_time()
            await self._try_renew()
            period = self._get_renewal_period()
            await self._reach.wait_for_check(period)
            if self._is_restore_known:
                self._is_restore_known = False
                spread = self._count_routers() * _REREGISTRATION_SPREAD_PER_ROUTER
                await self._clock.sleep(spread * self._random_state.random())
            pause = self._clock.boot_time() - began_at
            if pause > period + _SUSPENSION_THRESHOLD:
                log_event("host_stood_still", level="warning", pause=pause)
                self._outages.record_suspension()
                await self._on_return()

    def _get_renewal_period(self) -> timedelta:
        if self._reach.is_reachable:
            # The renewals show that a watch is current.
            return self._get_watch_period() or _RENEWAL_PERIOD
        period = _FOLLOWER_RETRY_PERIOD if self._is_follower() else _RETRY_PERIOD
        return period * self._random_state.uniform(1 - _RETRY_JITTER, 1 + _RETRY_JITTER)

    async def end(self) -> None:
        """Revoke the lease and with it the entry."""
        if self._lease is None:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except StoreUnavailableError as error:
            # The entry is removed when the lease expires.
            log_event("registration_end_failed", level="warning", reason=error)

    async def _try_renew(self) -> None:
        began_at, called_at = self._clock.monotonic(), self._clock.boot_time()
        try:
            await self._renew()
        except StoreUnavailableError as error:
            self._outages.record_failure(began_at)
            if self._reach.is_reachable:
                self._reach.record_failure()
                log_event("store_lost", level="warning", reason=error)
            return
        self._outages.record_answer(is_follower=self._is_follower())
        was_reachable = self._reach.is_reachable
        self._reach.record_success(began_at)
        self._on_renewal(called_at)
        if not was_reachable:
            log_event("store_regained")
            await self._on_return()
        await self._on_new_era()

    async def _renew(self) -> None:
        if self._lease is None:
            self._lease = await self._store.grant_lease(_LEASE_TTL)
        elif not await self._store.keep_alive(self._lease):
            self._lease, self._is_written, self._revision = None, False, 0
            return await self._renew()
        if self._era != self._store.era:
            # A restored store may lack the entry although the lease exists.
            self._era, self._is_written, self._revision = self._store.era, False, 0
        for _ in range(_WRITE_ATTEMPTS):
            if not self._is_written and self._lease is not None:
                await self._write_entry()

    async def _write_entry(self) -> None:
        assert self._lease is not None
        try:
            outcome = await self._store.compare_and_swap(
                self._key, self._value, self._revision, self._lease
            )
        except LeaseExpiredError:
            self._lease = None
            return
        self._is_written = outcome.is_swapped
        # An earlier process of this router may have left an entry. The next attempt
        # replaces it, with the revision found here.
        found = outcome.current
        self._revision = 0 if found is None else found.revision
