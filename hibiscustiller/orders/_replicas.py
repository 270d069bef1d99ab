"""Selection among the replicas of a plain service."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock

_INITIAL_BACKOFF = timedelta(seconds=1)
_MAX_BACKOFF = timedelta(seconds=30)


@dataclass(frozen=True)
class _Backoff:
    ends_at: timedelta
    duration: timedelta


class ReplicaTable:
    """Ranks replicas by their recent failures.

    :param clock: source of time for the back-off.
    :param random_state: randomises the order of replicas and the back-off.
    :param is_leaving: tells whether the platform or the fleet document is removing a
        replica.
    """

    def __init__(
        self,
        clock: Clock,
        random_state: random.Random,
        is_leaving: Callable[[Address], bool],
    ) -> None:
        self._clock = clock
        self._random_state = random_state
        self._is_leaving = is_leaving
        self._backoffs_by_address: dict[Address, _Backoff] = {}

    def rank(self, addresses: Iterable[Address]) -> list[Address]:
        """Return the replicas in the order in which they should be tried.

        Replicas that are being removed are excluded. Replicas that failed recently come
        last rather than being excluded, so that a call is attempted even if all failed.
        """
        candidates = [item for item in addresses if not self._is_leaving(item)]
        self._random_state.shuffle(candidates)
        return sorted(candidates, key=self._get_remaining_backoff)

    def record_success(self, address: Address) -> None:
        """Record a response and reset the replica's back-off."""
        self._backoffs_by_address.pop(address, None)

    def record_failure(self, address: Address) -> None:
        """Record a failure; the back-off doubles with each consecutive one."""
        previous = self._backoffs_by_address.get(address)
        duration = _INITIAL_BACKOFF
        if previous is not None:
            duration = min(_MAX_BACKOFF, previous.duration * 2)
        # Jitter between half and all of the back-off keeps routers from retrying a
        # replica at the same time.
        factor = 0.5 + 0.5 * self._random_state.random()
        ends_at = self._clock.monotonic() + duration * factor
        self._backoffs_by_address[address] = _Backoff(ends_at, duration)

    def _get_remaining_backoff(self, address: Address) -> timedelta:
        backoff = self._backoffs_by_address.get(address)
        if backoff is None:
            return timedelta(0)
        return max(timedelta(0), backoff.ends_at - self._clock.monotonic())
