"""Delays between attempts."""

import random
from collections.abc import Iterator
from datetime import timedelta
from typing import Generic, TypeVar

from hibiscustiller.utils._clock import Clock

Key = TypeVar("Key")


def jittered_delays(
    first: timedelta, limit: timedelta, random_state: random.Random
) -> Iterator[timedelta]:
    """Yield exponentially growing delays with full jitter, without end.

    Full jitter spreads hosts that lost the same service at the same moment.

    :param first: upper bound of the first delay.
    :param limit: upper bound of every delay.
    :param random_state: source of the jitter.
    """
    bound = first
    while True:
        yield bound * random_state.random()
        bound = min(limit, bound * 2)


class BackedOff(Generic[Key]):
    """Who failed just now and is left alone for a while.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_by_key: dict[Key, timedelta] = {}

    def __contains__(self, key: Key) -> bool:
        until = self._until_by_key.get(key)
        return until is not None and self._clock.monotonic() < until

    def add(self, key: Key, duration: timedelta) -> None:
        """Leave someone alone for some time from now."""
        self._until_by_key[key] = self._clock.monotonic() + duration
