"""The store lease shared by an hour's claims."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

import curio

from hibiscustiller.platform import KeyValueStore, LeaseId
from hibiscustiller.utils import Clock

_TTL = timedelta(hours=25)
_MAX_AGE = timedelta(hours=1)
# A claim taken just before the renewal must still be young when its order is sent.
_RENEWAL_AGE = timedelta(minutes=55)


@dataclass(frozen=True)
class Moment:
    """A point in time on both clocks.

    A paused machine may stop the monotonic clock, and the wall clock may be set back;
    the larger of the two elapsed times is on the safe side.
    """

    monotonic: timedelta
    wall: datetime

    @classmethod
    def read(cls, clock: Clock) -> Moment:
        """Return the present moment."""
        return cls(clock.monotonic(), clock.now())

    def measure_age(self, clock: Clock) -> timedelta:
        """Return the time since this moment by the clock that advanced more."""
        return max(clock.monotonic() - self.monotonic, clock.now() - self.wall)


@dataclass(frozen=True)
class ClaimLease:
    """A granted lease.

    :param asked_at: moment before the grant, so that the age is never too small.
    """

    id: LeaseId
    asked_at: Moment

    def is_young(self, clock: Clock, max_age: timedelta = _MAX_AGE) -> bool:
        """Tell whether a claim under this lease is kept for at least 24 h from now."""
        return self.asked_at.measure_age(clock) < max_age


class HourlyLease:
    """Grants a new lease when the present one is an hour old.

    :param store: grants the leases.
    :param clock: measures their age.
    """

    def __init__(self, store: KeyValueStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lock = curio.Lock()
        self._current: ClaimLease | None = None

    async def get(self) -> ClaimLease:
        """Return a lease for a claim written now.

        :raises StoreUnavailableError: if a new lease is due and cannot be granted.
        """
        async with self._lock:
            current = self._current
            if current is None or not current.is_young(self._clock, _RENEWAL_AGE):
                asked_at = Moment.read(self._clock)
                lease = await self._store.grant_lease(_TTL)
                current = self._current = ClaimLease(lease, asked_at)
            return current

    def forget(self, lease: ClaimLease) -> None:
        """Stop using a lease that the store no longer knows."""
        if self._current == lease:
            self._current = None
