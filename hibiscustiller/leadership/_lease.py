"""Leader-election lease of the router that controls the engines."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from hibiscustiller.exceptions import StoreUnavailableError
from hibiscustiller.platform import Entry, LeaseId, SwapOutcome
from hibiscustiller.utils import (
    Clock,
    Fence,
    RouterId,
    Verdict,
    check_invariant,
    log_event,
)

HOLDER_KEY = "control/holder"
# The fence of a term is the revision of the holder key plus the floor under this key,
# and counts the restores of the store if it tells them.
# After the store was restored to a revision below the fences in use, engines would
# refuse every command until the revision caught up; raising the floor avoids that.
FENCE_FLOOR_KEY = "control/fence-floor"
# Higher fences come from a faulty engine and are ignored. The bound also keeps fences
# within the range of the 64-bit integers that engines use.
MAX_FENCE_FLOOR = 1 << 60
_MAX_FLOOR_WRITE_ATTEMPTS = 5
# A restored store gives revisions out again, so its era forms the high bits of a fence.
# Fences stay below 2**53, which every JSON reader keeps exactly, for 8,000 restores.
_ERA_SHIFT = 40
LEASE_TTL = timedelta(seconds=10)
# Time that must remain of the lease when a command is sent. A command is sent within
# 1 s of the check or its connection is closed; the other second covers clock drift and
# scheduling delays.
LEASE_MARGIN = timedelta(seconds=2)


class LeaseStore(Protocol):
    """Operations of the key-value store that :class:`ControlLease` uses.

    Every method raises :class:`StoreUnavailableError` if the store gives no valid
    response.
    """

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist."""
        ...

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease: LeaseId = ...
    ) -> SwapOutcome:
        """Write a key if its current revision is the expected one (0: no key)."""
        ...

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease that expires after ``ttl`` unless it is renewed."""
        ...

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Renew a lease and return False if it has already expired."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        ...


@dataclass
class Term:
    """Uninterrupted period in which one router holds the lease.

    :param lease: the store's lease to which the holder key is attached.
    :param fence: fencing token, from the store revision of the holder key and the fence
        floor.
    :param token: random value in the holder key that identifies this term.
    :param valid_until: earliest monotonic time at which the lease can expire.
    :param era: how often the store had been restored when the term began.
    :param valid_until_wall: the same time by the wall clock. The monotonic clock stops
        while a machine is suspended, so only the wall clock shows that pause.
    """

    lease: LeaseId
    fence: Fence
    token: str
    valid_until: timedelta
    valid_until_wall: datetime
    era: int = 0


class ControlLease:
    """Acquires, renews and releases the control lease for one router.

    :param router_id: ID of this router.
    :param store: key-value store of the platform.
    :param clock: source of monotonic and wall-clock time.
    :param random_state: random source for the terms' tokens.
    :param ttl: duration of the lease, after which a crashed holder can be replaced.
    :param margin: time that must remain of the lease when a command is sent.
    :param get_store_era: returns how often the store was restored from a backup, as far
        as it is known; None if the store does not tell. A restore ends each term,
        because the store may have lost its lease.
    """

    def __init__(
        self,
        router_id: RouterId,
        store: LeaseStore,
        clock: Clock,
        random_state: random.Random,
        ttl: timedelta = LEASE_TTL,
        margin: timedelta = LEASE_MARGIN,
        get_store_era: Callable[[], int] | None = None,
    ) -> None:
        self._get_store_era = get_store_era
        # Whether a restore of the store ended this router's last term.
        self.is_ended_by_restore = False
        self._ttl = ttl
        self._margin = margin
        self._router_id = router_id
        self._store = store
        self._clock = clock
        self._random_state = random_state
        self._last_fence = Fence(0)
        self.term: Term | None = None

    def has_margin(self, term: Term) -> bool:
        """Return whether a term is current and its lease lasts at least the margin."""
        remaining = min(
            term.valid_until - self._clock.monotonic(),
            term.valid_until_wall - self._clock.now(),
        )
        is_current = term is self.term and not self._is_ended_by_restore(term)
        return is_current and remaining >= self._margin

    async def acquire(self) -> bool:
        """Try to acquire the lease and start a term.

        :returns: whether this router now holds the lease.
        :raises StoreUnavailableError: if the store gives no valid response.
        """
        if await self._store.get(HOLDER_KEY) is not None:
            return False
        requested_at, requested_at_wall = self._clock.monotonic(), self._clock.now()
        lease = await self._store.grant_lease(self._ttl)
        token = f"{self._random_state.getrandbits(128):032x}"
        written = await self._write_holder_key(lease, token)
        if written is None:
            await self._store.revoke_lease(lease)
            return False
        era, revision = written
        try:
            fence = await self._compute_fence(era, revision)
        except StoreUnavailableError:
            # No fence can be computed without the floor, so the term cannot start. If
            # the revocation fails as well, the lease expires on its own.
            await self._store.revoke_lease(lease)
            raise
        check_invariant(
            fence > self._last_fence,
            "control_fence_rises",
            fence=fence,
            last_fence=self._last_fence,
        )
        self._last_fence = fence
        self.is_ended_by_restore = False
        self.term = Term(
            lease,
            fence,
            token,
            requested_at + self._ttl,
            requested_at_wall + self._ttl,
            era,
        )
        log_event("control_acquired", router=self._router_id, fence=fence)
        return True

    async def renew(self) -> bool:
        """Renew the lease, or end the term if the lease has expired.

        :returns: whether this router still holds the lease.
        :raises StoreUnavailableError: if the store gives no valid response.
        """
        term = self.term
        if term is None:
            return False
        # The store counts the TTL from the arrival of the request. Counting from before
        # the request is sent never overestimates the remaining time.
        requested_at, requested_at_wall = self._clock.monotonic(), self._clock.now()
        is_kept = await self._store.keep_alive(term.lease)
        if self._is_ended_by_restore(term):
            self.is_ended_by_restore = True
            log_event("control_ended_by_restore", level="warning", fence=term.fence)
            await self.release()
            return False
        if not is_kept:
            self.drop("lease expired")
            return False
        term.valid_until = requested_at + self._ttl
        term.valid_until_wall = requested_at_wall + self._ttl
        return True

    async def confirm(self) -> bool:
        """Check that the holder key in the store still belongs to this term.

        The key may be missing after the store lost data. The term ends if the key is
        missing or belongs to another term.

        :returns: whether the key belongs to this term.
        :raises StoreUnavailableError: if the store gives no valid response.
        """
        term = self.term
        if term is None:
            return False
        entry = await self._store.get(HOLDER_KEY)
        if entry is None or _parse_token(entry.value) != term.token:
            self.drop("holder key is missing or belongs to another term")
            return False
        return True

    async def raise_fence_floor(self, seen_fence: int) -> int:
        """Raise the fence floor so that later terms get fences above ``seen_fence``.

        The floor is never lowered, and a ``seen_fence`` above
        :data:`MAX_FENCE_FLOOR` is ignored.

        :param seen_fence: highest fence that is known to be in use.
        :returns: the floor that is now in force.
        :raises StoreUnavailableError: if the store gives no valid response, or other
            routers change the floor at every attempt.
        """
        for _ in range(_MAX_FLOOR_WRITE_ATTEMPTS):
            entry = await self._store.get(FENCE_FLOOR_KEY)
            floor = 0 if entry is None else _parse_fence_floor(entry.value)
            if floor >= seen_fence or seen_fence > MAX_FENCE_FLOOR:
                return floor
            expected_revision = 0 if entry is None else entry.revision
            data = json.dumps({"floor": seen_fence}).encode()
            outcome = await self._store.compare_and_swap(
                FENCE_FLOOR_KEY, data, expected_revision
            )
            if outcome.is_swapped:
                log_event("control_floor_raised", level="warning", floor=seen_fence)
                return seen_fence
        raise StoreUnavailableError(
            "fence floor was changed concurrently at every attempt", Verdict.NOT_RUN
        )

    def drop(self, reason: str) -> None:
        """End the term locally, without revoking the lease in the store.

        :param reason: cause for the log.
        """
        if self.term is not None:
            log_event(
                "control_lost",
                level="warning",
                router=self._router_id,
                fence=self.term.fence,
                reason=reason,
            )
            self.term = None

    async def release(self) -> None:
        """End the term and revoke the lease, so that another router can acquire it."""
        term, self.term = self.term, None
        if term is None:
            return
        try:
            await self._store.revoke_lease(term.lease)
            log_event("control_released", router=self._router_id, fence=term.fence)
        except StoreUnavailableError as error:
            # The lease then expires on its own after its TTL.
            log_event("control_release_failed", level="warning", reason=error)

    def _is_ended_by_restore(self, term: Term) -> bool:
        return self._get_store_era is not None and self._get_store_era() != term.era

    async def _compute_fence(self, era: int, revision: int) -> Fence:
        """Return the fence for a holder key with a revision.

        Raises the floor first if the fence would not exceed this router's last one.
        """
        base = (era << _ERA_SHIFT) + revision
        floor = await self.raise_fence_floor(0)
        if floor + base <= self._last_fence:
            floor = await self.raise_fence_floor(self._last_fence)
        return Fence(floor + base)

    async def _write_holder_key(
        self, lease: LeaseId, token: str
    ) -> tuple[int, int] | None:
        """Create the holder key.

        :returns: the store's era and the key's revision; None if the key exists or was
            not written.
        """
        value = json.dumps({"router": self._router_id, "token": token}).encode()
        try:
            outcome = await self._store.compare_and_swap(HOLDER_KEY, value, 0, lease)
        except StoreUnavailableError as error:
            if error.verdict is Verdict.NOT_RUN:
                raise
            return await self._read_back(token)
        return (outcome.era, outcome.revision) if outcome.is_swapped else None

    async def _read_back(self, token: str) -> tuple[int, int] | None:
        """Check whether a write whose response was lost took effect.

        :returns: the store's era and the key's revision; None if the write did not take
            effect.
        """
        entry = await self._store.get(HOLDER_KEY)
        if entry is None or _parse_token(entry.value) != token:
            return None
        log_event("control_acquire_read_back", router=self._router_id)
        return entry.era, entry.revision


def _parse_token(value: bytes) -> str | None:
    try:
        return json.loads(value)["token"]
    except (ValueError, KeyError, TypeError):
        return None


def _parse_fence_floor(value: bytes) -> int:
    try:
        return int(json.loads(value)["floor"])
    except (ValueError, KeyError, TypeError):
        return 0
