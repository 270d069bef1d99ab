"""Store leases for claims; the claims of about one hour share a lease."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

import curio

from hibiscustiller.platform import KeyValueStore, LeaseId
from hibiscustiller.utils import Clock

_LEASE_TTL = timedelta(hours=25)
_MAX_LEASE_AGE = timedelta(hours=1)
# Less than the maximum age, so that the lease of a claim written just before the
# renewal is still recent when the order is sent.
_LEASE_RENEWAL_AGE = timedelta(minutes=55)


@dataclass(frozen=True)
class ClockReading:
    """Simultaneous reading of the monotonic clock and the wall clock.

    The monotonic clock may stop while the machine is suspended, and the wall clock may
    be set back. The larger of the two elapsed times is therefore the safe estimate.
    """

    monotonic: timedelta
    wall: datetime

    @classmethod
    def read(cls, clock: Clock) -> ClockReading:
        """Read both clocks."""
        return cls(clock.monotonic(), clock.now())

    def measure_age(self, clock: Clock) -> timedelta:
        """Return the time since this reading by the clock that advanced more."""
        return max(clock.monotonic() - self.monotonic, clock.now() - self.wall)


@dataclass(frozen=True)
class ClaimLease:
    """A lease granted by the store.

    :param requested_at: clock reading taken before the request, so that the age is
        never underestimated.
    """

    id: LeaseId
    requested_at: ClockReading

    def is_recent(self, clock: Clock, max_age: timedelta = _MAX_LEASE_AGE) -> bool:
        """Tell whether the lease is younger than ``max_age``.

        With the default, claims under the lease remain stored for at least 24 h.
        """
        return self.requested_at.measure_age(clock) < max_age


class ClaimLeaseProvider:
    """Provides the lease for new claims and replaces it about once an hour.

    :param store: store that grants the leases.
    :param clock: source of time for the age of a lease.
    """

    def __init__(self, store: KeyValueStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lock = curio.Lock()
        self._current: ClaimLease | None = None

    async def get(self) -> ClaimLease:
        """Return the current lease, or a new one if it is due for renewal.

        :raises StoreUnavailableError: if a new lease is due and the store fails.
        """
        async with self._lock:
            current = self._current
            if current is None or not current.is_recent(
                self._clock, _LEASE_RENEWAL_AGE
            ):
                requested_at = ClockReading.read(self._clock)
                lease = await self._store.grant_lease(_LEASE_TTL)
                current = self._current = ClaimLease(lease, requested_at)
            return current

    def invalidate(self, lease: ClaimLease) -> None:
        """Discard a lease that has expired in the store."""
        if self._current == lease:
            self._current = None
