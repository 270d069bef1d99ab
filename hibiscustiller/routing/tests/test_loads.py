"""Tests of load estimates from own streams, late reports and learned delays."""

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


def test_report_does_not_count_own_streams_twice():
    """Guards against own streams counted twice or dropped because of a late report."""
    cases = [
        # (streams started before, after the measurement), reported, expected
        ((4, 0), 4, 4.0),
        ((4, 0), 7, 7.0),
        ((4, 3), 4, 7.0),
        ((0, 3), 5, 8.0),
        ((4, 0), 1, 4.0),
    ]
    for (before, after), reported, expected in cases:
        loads, clock, _ = _make_loads()
        route = make_route("a")
        loads._stream_ratio = 1.0
        clock.advance(SECOND)
        for _ in range(before):
            loads.record_start(route, 1)
        clock.advance(2 * MS)
        for _ in range(after):
            clock.advance(MS)
            loads.record_start(route, 1)
        loads.record_report("a", reported, 0, MS * (after + 1))
        loads._stream_ratio = 1.0
        streams = loads.estimate_streams("a")
        assert abs(streams - expected) < 0.01, (before, after, reported, streams)


def test_finished_streams_are_subtracted_from_the_report():
    """Guards against finished streams that count until the next report arrives."""
    loads, clock, _ = _make_loads()
    route = make_route("a")
    for _ in range(3):
        loads.record_start(route, 1)
    clock.advance(SECOND)
    loads.record_report("a", 3, 0, timedelta(0))
    for _ in range(3):
        loads.record_completion(route)
    assert loads.estimate_streams("a") == 0.0


def test_report_loses_weight_with_age_and_older_reports_are_ignored():
    """Guards against loads that are not updated, and reports out of order."""
    loads, clock, _ = _make_loads()
    clock.advance(40 * SECOND)
    loads.record_report("a", 8, 0, timedelta(0))
    loads.record_report("a", 80, 0, SECOND)
    assert loads.estimate_streams("a") == 8.0
    clock.advance(15 * SECOND)
    assert loads.estimate_streams("a") == 4.0
    clock.advance(15 * SECOND)
    assert loads.estimate_streams("a") == 0.0


def test_slow_server_is_detected_and_later_retried():
    """Guards against a slow server that stays preferred, or is avoided for ever."""
    loads, clock, servers = _make_loads()
    before = loads.estimate_token_time(servers["a"])
    other_before = loads.estimate_token_time(servers["c"])
    # Routes over a single link do not tell a slow server from a slow link.
    routes = [make_route(*names) for names in ("ab", "ac", "db", "dc")]
    for _ in range(60):
        for route in routes:
            clock.advance(MS)
            is_slow = "a" in route.servers
            loads.record_token(route, (60 if is_slow else 20) * MS, False)
    assert loads.estimate_token_time(servers["a"]) > 2 * before
    assert loads.estimate_token_time(servers["c"]) < 1.5 * other_before
    clock.advance(timedelta(minutes=10))
    after = loads.estimate_token_time(servers["a"])
    assert after < 1.1 * before


def test_slow_link_raises_its_correction():
    """Guards against a slow link that is attributed to the servers at its ends."""
    loads, clock, servers = _make_loads()
    healthy = loads.estimate_token_time(servers["a"])
    routes = [make_route(*names) for names in ("ab", "ac", "db", "dc")]
    for _ in range(200):
        for route in routes:
            clock.advance(MS)
            is_slow = route.servers == {"a", "b"}
            loads.record_token(route, (120 if is_slow else 20) * MS, False)
    corrections = loads.get_link_corrections()
    slow_link = corrections.pop(("d-a", "d-b"))
    # A token crosses the link twice, which splits the extra 100 ms.
    assert slow_link > 0.040, slow_link
    assert max(corrections.values()) < 0.010, corrections
    assert loads.estimate_token_time(servers["a"]) < 2 * healthy


def test_first_token_is_ignored():
    """Guards against prefill and queueing that count as a server's time per token."""
    loads, _, servers = _make_loads()
    before = loads.estimate_token_time(servers["a"])
    loads.record_token(make_route("a"), 5 * SECOND, True)
    assert loads.estimate_token_time(servers["a"]) == before


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
