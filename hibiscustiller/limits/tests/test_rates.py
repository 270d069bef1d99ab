"""Allocation of the rate that a server takes, on a manual clock."""

import random
import sys
from collections import Counter
from datetime import timedelta

from hibiscustiller.limits import RateAllocator
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
URGENT, ORDINARY = 0, 5


def run_load(rate, asked_by_priority, seconds=40, seed=1):
    """Ask for permissions at random moments.

    :param asked_by_priority: requests per second.
    :returns: times of the grants by priority, in seconds.
    """
    clock = ManualClock()
    allocator = RateAllocator(clock)
    random_state = random.Random(seed)
    moments = sorted(
        (random_state.uniform(0, seconds), priority)
        for priority, asked in asked_by_priority.items()
        for _ in range(int(asked * seconds))
    )
    granted_by_priority = {priority: [] for priority in asked_by_priority}
    for at, priority in moments:
        clock.advance(at * SECOND - clock.monotonic())
        if allocator.request(rate, priority) == timedelta(0):
            granted_by_priority[priority].append(at)
    return granted_by_priority


def test_no_window_gets_more_than_the_rate_and_a_short_burst():
    """Guards against a server that gets far more than it named."""
    for rate in (0.5, 1.3, 6.0, 40.0):
        for asked in (rate * 0.8, rate * 5):
            granted = run_load(rate, {URGENT: asked})[URGENT]
            for start in granted:
                count = sum(start <= at < start + 4 for at in granted)
                assert count <= 4.25 * rate + 3, (rate, asked, count)


def test_the_rate_is_used():
    """Guards against a limit of which most stays unused."""
    for rate in (0.5, 3.0, 40.0):
        granted = run_load(rate, {URGENT: rate * 5})[URGENT]
        assert len(granted) >= 0.9 * rate * 40


def test_urgent_requests_are_granted_first_and_others_keep_a_floor():
    """Guards against urgent work that waits behind other work, or displaces it all."""
    for rate in (4.0, 20.0):
        alone = run_load(rate, {URGENT: rate * 0.6})
        granted = run_load(rate, {URGENT: rate * 0.6, ORDINARY: rate * 3})
        counts = (rate, len(granted[URGENT]), len(alone[URGENT]))
        assert len(granted[URGENT]) >= 0.8 * len(alone[URGENT]), counts
        granted = run_load(rate, {URGENT: rate * 3, ORDINARY: rate * 3})
        counts = Counter({key: len(times) for key, times in granted.items()})
        assert counts[ORDINARY] >= 0.05 * rate * 40, counts
        assert counts[URGENT] >= 2 * counts[ORDINARY], counts


def test_a_server_that_takes_nothing_is_sent_a_request_now_and_then():
    """Guards against a limit of zero that is never seen to be withdrawn."""
    granted = run_load(0.0, {URGENT: 5.0}, seconds=60)[URGENT]
    assert 3 <= len(granted) <= 7, granted


def test_the_wait_grows_with_the_requests_that_were_not_granted():
    """Guards against callers that all return at the moment of the next request."""
    clock = ManualClock()
    allocator = RateAllocator(clock)
    waits = [allocator.request(2.0, URGENT) for _ in range(10)]
    assert waits == sorted(waits)
    assert waits[-1] >= 4 * SECOND


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
