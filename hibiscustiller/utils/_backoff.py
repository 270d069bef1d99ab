"""Delays between attempts."""

import random
from collections.abc import Iterator
from datetime import timedelta


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
