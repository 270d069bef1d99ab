"""Adaptive concurrency limits of backend servers."""

import sys
from datetime import timedelta

from hibiscustiller.configuration import build_config
from hibiscustiller.exceptions import InvariantError
from hibiscustiller.limits import ServerLimits
from hibiscustiller.routing import Route, Stage
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import breaks_invariant, collect_tests

CONFIGURED_STREAMS = 16
WINDOW = timedelta(milliseconds=250)


def make_limits(clock, router_count=1):
    sections = {
        "model m": {"layers": "2"},
        "server s": {
            "address": "127.0.0.1:1",
            "failure_domain": "d",
            "model": "m",
            "first_layer": "0",
            "last_layer": "2",
            "streams": str(CONFIGURED_STREAMS),
        },
    }
    config = build_config(sections)
    limits = ServerLimits(lambda: config, clock, lambda server: router_count)
    server = config.servers_by_id["s"]
    stage = Stage("s", server.address, 0, 2)
    return limits, Route("m", "1", (stage,), timedelta(0))


def run_window(clock, limits, route, milliseconds, is_first=False, count=10):
    """Record the tokens of one window while all streams of the limit are in use.

    :param milliseconds: delay of each token.
    :param count: number of tokens.
    """
    while limits.has_capacity("s"):
        limits.reserve_route(route)
    clock.advance(WINDOW)
    for _ in range(count):
        limits.record_token(route, timedelta(milliseconds=milliseconds), is_first)


def test_initial_limit_is_the_share_of_a_router():
    """Guards against initial limits of all routers that exceed a server's streams."""
    for router_count, limit in [(1, 16), (2, 8), (3, 16 / 3), (16, 1), (330, 1)]:
        limits, _ = make_limits(ManualClock(), router_count)
        assert limits.get_limit("s") == limit, router_count


def test_delays_adjust_the_limit():
    """Guards against a limit that ignores load, rises too far or falls below 1."""
    cases = [
        # Number of routers, token delay of each window in milliseconds, and the limit
        # after each window.
        (2, [10, 10, 10], [9, 10, 11]),
        (2, [10] * 12, [*range(9, 17), 16, 16, 16, 16]),
        (2, [10, 19, 10], [9, 10, 11]),
        (2, [10, 21, 10], [9, 6.75, 7.75]),
        (2, [10] + [50] * 12, [9, 6.75, 5.0625, 3.796875]),
        # A median of 0, from frames that were read together, becomes the baseline, and
        # the next window counts as slow.
        (2, [10, 0, 10], [9, 10, 7.5]),
    ]
    for router_count, delays, expected in cases:
        clock = ManualClock()
        limits, route = make_limits(clock, router_count)
        limits_seen = []
        for delay in delays:
            run_window(clock, limits, route, delay)
            limits_seen.append(limits.get_limit("s"))
        assert limits_seen[: len(expected)] == expected, (delays, limits_seen)
        assert min(limits_seen) >= 1


def test_one_fast_frame_does_not_set_the_baseline():
    """Guards against one delay of 0, of frames that arrive together, as the baseline.

    Every later window would count as slow.
    """
    clock = ManualClock()
    limits, route = make_limits(clock, 2)
    for _ in range(4):
        limits.record_token(route, timedelta(0), False)
        run_window(clock, limits, route, 10)
    assert limits.get_limit("s") == 12


def test_burst_of_refusals_counts_once():
    """Guards against a limit that one burst of refusals lowers to one stream."""
    clock = ManualClock()
    limits, _ = make_limits(clock)
    for _ in range(20):
        limits.record_refusal("s")
    assert limits.get_limit("s") == 12
    for _ in range(30):
        clock.advance(WINDOW)
        limits.record_refusal("s")
    assert limits.get_limit("s") == 1
    assert limits.has_capacity("s")


def test_slow_first_tokens_lower_the_limit_to_the_share():
    """Guards against routers that fill a server's queue.

    Slow first tokens of long prompts must not lower the limit below the share.
    """
    clock = ManualClock()
    limits, route = make_limits(clock, 2)
    for _ in range(4):
        run_window(clock, limits, route, 50, is_first=True)
        run_window(clock, limits, route, 10)
    assert limits.get_limit("s") == 12
    for _ in range(8):
        run_window(clock, limits, route, 900, is_first=True)
        run_window(clock, limits, route, 10)
    assert limits.get_limit("s") == CONFIGURED_STREAMS / 2


def test_unused_limit_does_not_rise():
    """Guards against a limit that rises while it is not reached, and admits a burst."""
    clock = ManualClock()
    limits, route = make_limits(clock, 2)
    for _ in range(9):
        clock.advance(WINDOW)
        for _ in range(10):
            limits.record_token(route, timedelta(milliseconds=10), False)
    assert limits.get_limit("s") == 8


def test_many_routers_share_a_server():
    """Guards against routers that overload a server or starve one another."""
    clock = ManualClock()
    routers = [make_limits(clock, 4) for _ in range(4)]
    total_limits = []
    for step in range(400):
        busy = routers if step >= 200 else routers[:2]
        for limits, route in routers:
            while limits.has_capacity("s") and (limits, route) in busy:
                limits.reserve_route(route)
        total = sum(int(limits.get_limit("s")) for limits, _ in busy)
        total_limits.append(total)
        clock.advance(WINDOW)
        for limits, route in busy:
            waiting = max(0, total - CONFIGURED_STREAMS) * 20
            limits.record_token(route, timedelta(milliseconds=20 + waiting), True)
            for _ in range(10):
                limits.record_token(route, timedelta(milliseconds=10), False)
        for limits, route in routers:
            in_use = limits._states_by_server["s"].in_use
            for _ in range(in_use):
                limits.release_route(route)
    # Two busy routers use the capacity that the idle ones leave, and return it later.
    assert sum(total_limits[100:200]) / 100 > 0.8 * CONFIGURED_STREAMS, (
        sum(total_limits[100:200]) / 100
    )
    assert sum(total_limits[300:]) / 100 < 1.5 * CONFIGURED_STREAMS, (
        sum(total_limits[300:]) / 100
    )
    shares = [limits.get_limit("s") for limits, _ in routers]
    assert (
        min(shares) >= CONFIGURED_STREAMS / 4 and max(shares) <= CONFIGURED_STREAMS / 2
    ), shares


def test_listeners_are_called_after_a_raise():
    """Guards against requests that stay queued after a limit was raised."""
    clock = ManualClock()
    limits, route = make_limits(clock, 2)
    calls = []
    limits.subscribe(lambda: calls.append(limits.get_limit("s")))
    run_window(clock, limits, route, 10)
    run_window(clock, limits, route, 30)
    assert calls == [9]


def test_removed_servers_are_dropped():
    """Guards against memory that grows with every server ever configured."""
    limits, route = make_limits(ManualClock())
    empty = build_config({})
    limits.reserve_route(route)
    limits.remove_unconfigured(empty)
    assert limits._states_by_server
    limits.release_route(route)
    limits.remove_unconfigured(empty)
    assert not limits._states_by_server


@breaks_invariant("reserved_streams_not_negative")
def test_second_free_breaks_an_invariant():
    """Guards against capacity that is released twice."""
    limits, route = make_limits(ManualClock())
    limits.reserve_route(route)
    limits.release_route(route)
    try:
        limits.release_route(route)
    except InvariantError:
        return
    raise AssertionError("a route was freed twice")


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
