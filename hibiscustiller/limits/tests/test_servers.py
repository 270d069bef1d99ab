"""Adaptive limits of backend servers."""

import sys
from datetime import timedelta

from hibiscustiller.configuration import build_config
from hibiscustiller.exceptions import InvariantError
from hibiscustiller.limits import ServerLimits
from hibiscustiller.routing import Route, Stage
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import breaks_invariant, collect_tests

STREAMS = 16
WINDOW = timedelta(milliseconds=250)


def make_limits(clock, sharers=1):
    sections = {
        "model m": {"layers": "2"},
        "server s": {
            "address": "127.0.0.1:1",
            "failure_domain": "d",
            "model": "m",
            "first_layer": "0",
            "last_layer": "2",
            "streams": str(STREAMS),
        },
    }
    config = build_config(sections)
    limits = ServerLimits(lambda: config, clock, lambda server: sharers)
    server = config.servers_by_id["s"]
    stage = Stage("s", server.address, 0, 2)
    return limits, Route("m", "1", (stage,), timedelta(0))


def run_window(clock, limits, route, milliseconds, is_first=False, count=10):
    """Report tokens of one window, with the limit in full use."""
    while limits.has_capacity("s"):
        limits.reserve_route(route)
    clock.advance(WINDOW)
    for _ in range(count):
        limits.note_token(route, timedelta(milliseconds=milliseconds), is_first)


def test_start_value_is_shared():
    """Guards against routers that together start with more than a server runs."""
    for sharers, limit in [(1, 16), (2, 8), (3, 16 / 3), (16, 1), (330, 1)]:
        limits, _ = make_limits(ManualClock(), sharers)
        assert limits.get_limit("s") == limit, sharers


def test_delays_move_the_limit():
    """Guards against a limit that ignores load, runs off, or falls below one."""
    cases = [
        # Sharers, delays of the windows in milliseconds, and the limits after them.
        (2, [10, 10, 10], [9, 10, 11]),
        (2, [10] * 12, [*range(9, 17), 16, 16, 16, 16]),
        (2, [10, 19, 10], [9, 10, 11]),
        (2, [10, 21, 10], [9, 6.75, 7.75]),
        (2, [10] + [50] * 12, [9, 6.75, 5.0625, 3.796875]),
        # A delay that includes the time between frames read together is no target.
        (2, [10, 0, 10], [9, 10, 7.5]),
    ]
    for sharers, delays, expected in cases:
        clock = ManualClock()
        limits, route = make_limits(clock, sharers)
        seen = []
        for delay in delays:
            run_window(clock, limits, route, delay)
            seen.append(limits.get_limit("s"))
        assert seen[: len(expected)] == expected, (delays, seen)
        assert min(seen) >= 1


def test_one_fast_frame_does_not_set_the_target():
    """Guards against frames that arrive together and make every delay look slow."""
    clock = ManualClock()
    limits, route = make_limits(clock, 2)
    for _ in range(4):
        limits.note_token(route, timedelta(0), False)
        run_window(clock, limits, route, 10)
    assert limits.get_limit("s") == 12


def test_burst_of_refusals_counts_once():
    """Guards against a collapse to one stream after one burst of refusals."""
    clock = ManualClock()
    limits, _ = make_limits(clock)
    for _ in range(20):
        limits.note_refused("s")
    assert limits.get_limit("s") == 12
    for _ in range(30):
        clock.advance(WINDOW)
        limits.note_refused("s")
    assert limits.get_limit("s") == 1
    assert limits.has_capacity("s")


def test_slow_first_tokens_take_back_only_what_was_borrowed():
    """Guards against routers that fill a server's queue, and against long prompts."""
    clock = ManualClock()
    limits, route = make_limits(clock, 2)
    for _ in range(4):
        run_window(clock, limits, route, 50, is_first=True)
        run_window(clock, limits, route, 10)
    assert limits.get_limit("s") == 12
    for _ in range(8):
        run_window(clock, limits, route, 900, is_first=True)
        run_window(clock, limits, route, 10)
    assert limits.get_limit("s") == STREAMS / 2


def test_unused_limit_does_not_rise():
    """Guards against a limit that grows while idle and then admits a burst."""
    clock = ManualClock()
    limits, route = make_limits(clock, 2)
    for _ in range(9):
        clock.advance(WINDOW)
        for _ in range(10):
            limits.note_token(route, timedelta(milliseconds=10), False)
    assert limits.get_limit("s") == 8


def test_many_routers_share_a_server():
    """Guards against routers that keep a server overloaded or starve each other."""
    clock = ManualClock()
    routers = [make_limits(clock, 4) for _ in range(4)]
    used = []
    for step in range(400):
        busy = routers if step >= 200 else routers[:2]
        for limits, route in routers:
            while limits.has_capacity("s") and (limits, route) in busy:
                limits.reserve_route(route)
        total = sum(int(limits.get_limit("s")) for limits, _ in busy)
        used.append(total)
        clock.advance(WINDOW)
        for limits, route in busy:
            waiting = max(0, total - STREAMS) * 20
            limits.note_token(route, timedelta(milliseconds=20 + waiting), True)
            for _ in range(10):
                limits.note_token(route, timedelta(milliseconds=10), False)
        for limits, route in routers:
            in_use = limits._states_by_server["s"].in_use
            for _ in range(in_use):
                limits.free_route(route)
    # Two busy routers use what the idle ones leave, and give it back.
    assert sum(used[100:200]) / 100 > 0.8 * STREAMS, sum(used[100:200]) / 100
    assert sum(used[300:]) / 100 < 1.5 * STREAMS, sum(used[300:]) / 100
    shares = [limits.get_limit("s") for limits, _ in routers]
    assert min(shares) >= STREAMS / 4 and max(shares) <= STREAMS / 2, shares


def test_listeners_learn_of_a_rise():
    """Guards against queued requests that wait although a limit rose."""
    clock = ManualClock()
    limits, route = make_limits(clock, 2)
    calls = []
    limits.subscribe(lambda: calls.append(limits.get_limit("s")))
    run_window(clock, limits, route, 10)
    run_window(clock, limits, route, 30)
    assert calls == [9]


def test_removed_servers_are_forgotten():
    """Guards against state of each server that was ever in the document."""
    limits, route = make_limits(ManualClock())
    empty = build_config({})
    limits.reserve_route(route)
    limits.forget_removed(empty)
    assert limits._states_by_server
    limits.free_route(route)
    limits.forget_removed(empty)
    assert not limits._states_by_server


@breaks_invariant("reserved_streams_not_negative")
def test_second_free_breaks_an_invariant():
    """Guards against capacity that is given back twice."""
    limits, route = make_limits(ManualClock())
    limits.reserve_route(route)
    limits.free_route(route)
    try:
        limits.free_route(route)
    except InvariantError:
        return
    raise AssertionError("a route was freed twice")


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
