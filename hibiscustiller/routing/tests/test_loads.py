"""Own streams, lagged reports and learned delays."""

import sys
from datetime import timedelta

from hibiscustiller.routing import ServerLoads
from hibiscustiller.routing.tests.fixtures import make_config, make_route
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)


def _make_loads():
    clock = ManualClock()
    config = make_config([(name, f"d-{name}", 0, 4) for name in "abcd"])
    loads = ServerLoads(clock)
    for server in config.servers_by_id.values():
        loads.estimate_token_seconds(server)
    return loads, clock, config.servers_by_id


def test_report_is_not_counted_on_top_of_own_streams():
    """Guards against own streams that count twice, or late reports that undo them."""
    cases = [
        # started before and after the measurement, reported, expected
        ((4, 0), 4, 4.0),
        ((4, 0), 7, 7.0),
        ((4, 3), 4, 7.0),
        ((0, 3), 5, 8.0),
        ((4, 0), 1, 4.0),
    ]
    for (before, after), reported, expected in cases:
        loads, clock, _ = _make_loads()
        route = make_route("a")
        loads._router_share = 1.0
        clock.advance(SECOND)
        for _ in range(before):
            loads.note_started(route, 1)
        clock.advance(2 * MS)
        for _ in range(after):
            clock.advance(MS)
            loads.note_started(route, 1)
        loads.note_report("a", reported, 0, MS * (after + 1))
        loads._router_share = 1.0
        found = loads.estimate_streams("a")
        assert abs(found - expected) < 0.01, (before, after, reported, found)


def test_finished_streams_leave_the_report():
    """Guards against streams that ended but stay in the load until the next report."""
    loads, clock, _ = _make_loads()
    route = make_route("a")
    for _ in range(3):
        loads.note_started(route, 1)
    clock.advance(SECOND)
    loads.note_report("a", 3, 0, timedelta(0))
    for _ in range(3):
        loads.note_finished(route)
    assert loads.estimate_streams("a") == 0.0


def test_old_report_loses_weight_and_is_not_taken_back():
    """Guards against a load that nobody confirms, and reports out of order."""
    loads, clock, _ = _make_loads()
    clock.advance(40 * SECOND)
    loads.note_report("a", 8, 0, timedelta(0))
    loads.note_report("a", 80, 0, SECOND)
    assert loads.estimate_streams("a") == 8.0
    clock.advance(15 * SECOND)
    assert loads.estimate_streams("a") == 4.0
    clock.advance(15 * SECOND)
    assert loads.estimate_streams("a") == 0.0


def test_slow_server_is_learned_and_tried_again():
    """Guards against a slow server that stays preferred, or is shunned for ever."""
    loads, clock, servers = _make_loads()
    before = loads.estimate_token_time(servers["a"])
    other = loads.estimate_token_time(servers["c"])
    # Over a single link, a slow server cannot be told from a slow link.
    routes = [make_route(*names) for names in ("ab", "ac", "db", "dc")]
    for _ in range(60):
        for route in routes:
            clock.advance(MS)
            is_slow = "a" in route.servers
            loads.note_token(route, (60 if is_slow else 20) * MS, False)
    assert loads.estimate_token_time(servers["a"]) > 2 * before
    assert loads.estimate_token_time(servers["c"]) < 1.5 * other
    clock.advance(timedelta(minutes=10))
    after = loads.estimate_token_time(servers["a"])
    assert after < 1.1 * before


def test_degraded_link_raises_its_delay():
    """Guards against a degraded link that is blamed on the servers at its ends."""
    loads, clock, servers = _make_loads()
    healthy = loads.estimate_token_time(servers["a"])
    routes = [make_route(*names) for names in ("ab", "ac", "db", "dc")]
    for _ in range(200):
        for route in routes:
            clock.advance(MS)
            is_slow = route.servers == {"a", "b"}
            loads.note_token(route, (120 if is_slow else 20) * MS, False)
    corrections = loads.list_link_corrections()
    slow = corrections.pop(("d-a", "d-b"))
    # Both crossings of the link share the 100 ms.
    assert slow > 0.040, slow
    assert max(corrections.values()) < 0.010, corrections
    assert loads.estimate_token_time(servers["a"]) < 2 * healthy


def test_first_token_teaches_nothing():
    """Guards against prefill and queueing that count as a server's pace."""
    loads, _, servers = _make_loads()
    before = loads.estimate_token_time(servers["a"])
    loads.note_token(make_route("a"), 5 * SECOND, True)
    assert loads.estimate_token_time(servers["a"]) == before


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
