"""Choice among a plain service's replicas."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.settings import Address
from hibiscustiller.utils import Clock

_FIRST_PENALTY = timedelta(seconds=1)
_LONGEST_PENALTY = timedelta(seconds=30)


@dataclass(frozen=True)
class _Penalty:
    until: timedelta
    duration: timedelta


class ReplicaTable:
    """Remembers which replicas failed lately.

    :param clock: measures the penalties.
    :param random_state: spreads calls and the ends of penalties.
    :param is_leaving: tells whether the platform or the document takes a replica away.
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
        self._penalties_by_address: dict[Address, _Penalty] = {}

    def rank(self, addresses: Iterable[Address]) -> list[Address]:
        """Return the replicas to try in order.

        Leaving replicas are left out. Replicas that failed lately come last, so that
        a call is still tried when all of them failed.
        """
        candidates = [item for item in addresses if not self._is_leaving(item)]
        self._random_state.shuffle(candidates)
        return sorted(candidates, key=self._get_remaining_penalty)

    def note_answered(self, address: Address) -> None:
        """Record that a replica answered."""
        self._penalties_by_address.pop(address, None)

    def note_failed(self, address: Address) -> None:
        """Record a failure; the penalty doubles with each one in a row."""
        old = self._penalties_by_address.get(address)
        duration = _FIRST_PENALTY
        if old is not None:
            duration = min(_LONGEST_PENALTY, old.duration * 2)
        # Between half and all of it, so that routers do not come back together.
        share = 0.5 + 0.5 * self._random_state.random()
        until = self._clock.monotonic() + duration * share
        self._penalties_by_address[address] = _Penalty(until, duration)

    def _get_remaining_penalty(self, address: Address) -> timedelta:
        penalty = self._penalties_by_address.get(address)
        if penalty is None:
            return timedelta(0)
        return max(timedelta(0), penalty.until - self._clock.monotonic())
