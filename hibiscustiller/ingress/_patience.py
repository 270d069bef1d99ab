"""Time for which the caller of a stream waits for its next event.

It bounds how long a stream may be silent, or wait for another pipeline.
"""

from __future__ import annotations

from datetime import timedelta

from hibiscustiller.fleet import IngressRoute

# A caller that receives no event disconnects after the longest of these: a fixed time,
# a multiple of the target latency, a multiple of the target gap.
_MIN_CALLER_TIMEOUT = timedelta(seconds=2)
_CALLER_TIMEOUT_LATENCIES = 4
_CALLER_TIMEOUT_GAPS = 8
# Share of the caller's timeout after which a second attempt is made beside a silent
# one. The rest is left for another pipeline to process the prompt.
_STALL_TIMEOUT_SHARE = 0.65
# Share of the caller's timeout, and of the time left for the request, within which a
# stream that has lost its place must get another one. The rest is left for the prompt.
_REPLACEMENT_SHARE = 0.5


def compute_caller_timeout(route: IngressRoute) -> timedelta:
    """Return how long a caller waits for the next event before it disconnects."""
    timeout = max(_MIN_CALLER_TIMEOUT, route.target_latency * _CALLER_TIMEOUT_LATENCIES)
    if route.target_gap is None:
        return timeout
    return max(timeout, route.target_gap * _CALLER_TIMEOUT_GAPS)


def compute_stall_timeout(route: IngressRoute) -> timedelta:
    """Return how long a stream may be silent before a second attempt is made."""
    return compute_caller_timeout(route) * _STALL_TIMEOUT_SHARE


def compute_replacement_wait(
    route: IngressRoute, silent_for: timedelta, time_left: timedelta
) -> timedelta:
    """Return how long a stream that has lost its place may wait for another one.

    :param silent_for: time for which the caller has received no event.
    :param time_left: time left for the whole request.
    """
    max_wait = compute_caller_timeout(route) * _REPLACEMENT_SHARE - silent_for
    return max(timedelta(0), min(max_wait, time_left * _REPLACEMENT_SHARE))
