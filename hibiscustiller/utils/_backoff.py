"""Exponential back-off between attempts."""

import random
from collections.abc import Iterator
from datetime import timedelta
from typing import Generic, TypeVar

from hibiscustiller.utils._clock import Clock

Key = TypeVar("Key")


def jittered_delays(
    first: timedelta, limit: timedelta, random_state: random.Random
) -> Iterator[timedelta]:
    """Yield an infinite sequence of exponentially growing delays with full jitter.

    Full jitter spreads the attempts of hosts that lost the same service simultaneously.

    :param first: upper bound of the first delay.
    :param limit: upper bound of every delay.
    :param random_state: random number generator for the jitter.
    """
    bound = first
    while True:
        yield bound * random_state.random()
        bound = min(limit, bound * 2)


class BackedOff(Generic[Key]):
    """Set of keys, such as hosts, that are not to be tried until a delay has expired.

    :param clock: clock that measures the delays.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expiry_by_key: dict[Key, timedelta] = {}

    def __contains__(self, key: Key) -> bool:
        expiry = self._expiry_by_key.get(key)
        return expiry is not None and self._clock.monotonic() < expiry

    def add(self, key: Key, duration: timedelta) -> None:
        """Back off from a key for ``duration`` from now; replaces an earlier delay."""
        self._expiry_by_key[key] = self._clock.monotonic() + duration
