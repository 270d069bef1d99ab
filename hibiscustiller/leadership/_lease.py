"""The lease of the one router that controls the engines."""

from __future__ import annotations

import json
import random
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
# Added to the store's revision. It is raised when the store was restored to a revision
# below that of fences in use, which engines would refuse until the store caught up.
FLOOR_KEY = "control/fence-floor"
# An engine that reports more than this is faulty; 64-bit engines must not overflow.
MAX_FLOOR = 1 << 60
_MAX_FLOOR_WRITES = 5
LEASE_TTL = timedelta(seconds=10)
# A command leaves within a second of the check, or its connection is given up; the
# other second covers the clocks' drift and scheduling.
LEASE_MARGIN = timedelta(seconds=2)


class LeaseStore(Protocol):
    """The calls of the key-value service that a lease needs.

    Every method raises :class:`StoreUnavailableError` when there is no usable answer.
    """

    async def get(self, key: str) -> Entry | None:
        """Read one key; None if absent."""
        ...

    async def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease: LeaseId = ...
    ) -> SwapOutcome:
        """Write a key if its last write has the expected revision."""
        ...

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease."""
        ...

    async def keep_alive(self, lease: LeaseId) -> bool:
        """Renew a lease; False if it has expired."""
        ...

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        ...


@dataclass
class Term:
    """One uninterrupted time of holding the lease.

    :param fence: store revision of the acquired key, above the fleet's floor.
    :param token: unique value by which the key is recognised as this term's.
    :param valid_until: monotonic time of the lease's earliest possible end.
    :param valid_until_wall: the same by the wall clock. A suspended machine stops
        the monotonic clock; the wall clock then shows the pause.
    """

    lease: LeaseId
    fence: Fence
    token: str
    valid_until: timedelta
    valid_until_wall: datetime


class ControlLease:
    """Acquires, renews and hands over the lease.

    :param router_id: this router.
    :param store: the platform's key-value service.
    :param clock: source of time.
    :param random_state: source of tokens.
    :param ttl: the lease's duration; a crashed holder is replaced after it.
    :param margin: what must be left of the lease when a command is sent.
    """

    def __init__(
        self,
        router_id: RouterId,
        store: LeaseStore,
        clock: Clock,
        random_state: random.Random,
        ttl: timedelta = LEASE_TTL,
        margin: timedelta = LEASE_MARGIN,
    ) -> None:
        self._ttl = ttl
        self._margin = margin
        self._router_id = router_id
        self._store = store
        self._clock = clock
        self._random_state = random_state
        self._last_fence = Fence(0)
        self.term: Term | None = None

    def has_margin(self, term: Term) -> bool:
        """Tell whether a term is current and its lease lasts for the margin."""
        left = min(
            term.valid_until - self._clock.monotonic(),
            term.valid_until_wall - self._clock.now(),
        )
        return term is self.term and left >= self._margin

    async def acquire(self) -> bool:
        """Try to begin a term.

        :returns: whether this router holds the lease now.
        :raises StoreUnavailableError: if the store gives no usable answer.
        """
        if await self._store.get(HOLDER_KEY) is not None:
            return False
        asked_at, asked_at_wall = self._clock.monotonic(), self._clock.now()
        lease = await self._store.grant_lease(self._ttl)
        token = f"{self._random_state.getrandbits(128):032x}"
        fence = await self._swap_holder(lease, token)
        if fence is None:
            await self._store.revoke_lease(lease)
            return False
        try:
            fence = await self._lift_fence(fence)
        except StoreUnavailableError:
            # The key without a known floor is of no use; the lease ends by itself if
            # the store cannot be told.
            await self._store.revoke_lease(lease)
            raise
        check_invariant(
            fence > self._last_fence,
            "control_fence_rises",
            fence=fence,
            last_fence=self._last_fence,
        )
        self._last_fence = fence
        self.term = Term(
            lease, fence, token, asked_at + self._ttl, asked_at_wall + self._ttl
        )
        log_event("control_acquired", router=self._router_id, fence=fence)
        return True

    async def renew(self) -> bool:
        """Extend the term; it ends if the lease has expired.

        :returns: whether this router still holds the lease.
        :raises StoreUnavailableError: if the store gives no usable answer.
        """
        term = self.term
        if term is None:
            return False
        # The lease lasts from when the store saw the request, which is later.
        asked_at, asked_at_wall = self._clock.monotonic(), self._clock.now()
        if not await self._store.keep_alive(term.lease):
            self.drop("lease expired")
            return False
        term.valid_until = asked_at + self._ttl
        term.valid_until_wall = asked_at_wall + self._ttl
        return True

    async def confirm(self) -> bool:
        """Read the key; a store that lost data may have forgotten it.

        :returns: whether the key still belongs to this term.
        :raises StoreUnavailableError: if the store gives no usable answer.
        """
        term = self.term
        if term is None:
            return False
        entry = await self._store.get(HOLDER_KEY)
        if entry is None or _read_token(entry.value) != term.token:
            self.drop("key is not this term's")
            return False
        return True

    async def raise_floor(self, seen: int) -> int:
        """Have all later terms begin above a fence that an engine has seen.

        :returns: the floor in force.
        :raises StoreUnavailableError: if the store gives no usable answer.
        """
        for _ in range(_MAX_FLOOR_WRITES):
            entry = await self._store.get(FLOOR_KEY)
            floor = 0 if entry is None else _read_floor(entry.value)
            if floor >= seen or seen > MAX_FLOOR:
                return floor
            expected = 0 if entry is None else entry.revision
            data = json.dumps({"floor": seen}).encode()
            outcome = await self._store.compare_and_swap(FLOOR_KEY, data, expected)
            if outcome.is_swapped:
                log_event("control_floor_raised", level="warning", floor=seen)
                return seen
        raise StoreUnavailableError("the floor keeps changing", Verdict.NOT_RUN)

    def drop(self, reason: str) -> None:
        """End the term at this router."""
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
        """End the term and let another router begin at once."""
        term, self.term = self.term, None
        if term is None:
            return
        try:
            await self._store.revoke_lease(term.lease)
            log_event("control_released", router=self._router_id, fence=term.fence)
        except StoreUnavailableError as error:
            # The lease then ends by itself.
            log_event("control_release_failed", level="warning", reason=error)

    async def _lift_fence(self, revision: Fence) -> Fence:
        """Return the fence of a term whose key has a revision."""
        floor = await self.raise_floor(0)
        if floor + revision <= self._last_fence:
            floor = await self.raise_floor(self._last_fence)
        return Fence(floor + revision)

    async def _swap_holder(self, lease: LeaseId, token: str) -> Fence | None:
        value = json.dumps({"router": self._router_id, "token": token}).encode()
        try:
            outcome = await self._store.compare_and_swap(HOLDER_KEY, value, 0, lease)
        except StoreUnavailableError as error:
            if error.verdict is Verdict.NOT_RUN:
                raise
            return await self._read_back(token)
        return Fence(outcome.revision) if outcome.is_swapped else None

    async def _read_back(self, token: str) -> Fence | None:
        """Find out whether a write whose answer was lost took effect."""
        entry = await self._store.get(HOLDER_KEY)
        if entry is None or _read_token(entry.value) != token:
            return None
        log_event("control_acquire_read_back", router=self._router_id)
        return Fence(entry.revision)


def _read_token(value: bytes) -> str | None:
    try:
        return json.loads(value)["token"]
    except (ValueError, KeyError, TypeError):
        return None


def _read_floor(value: bytes) -> int:
    try:
        return int(json.loads(value)["floor"])
    except (ValueError, KeyError, TypeError):
        return 0
