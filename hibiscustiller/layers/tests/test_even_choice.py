"""Tests of the choice among servers by old load reports, without a network."""

import sys
from collections import Counter
from datetime import timedelta

from hibiscustiller.layers._even_choice import ServerLoad, compute_shares, measure_peak
from hibiscustiller.layers.tests.stale_load_model import METHODS, Case, Model
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
ROUTERS = 60
# Reports that are old, at different sizes of the fleet; with bursts and losses.
OLD_REPORTS = [
    Case(7, 2.0),
    Case(60, 1.5),
    Case(60, 10.0, load=0.4, burst=2.5, lost=2),
    Case(300, 7.5),
    Case(300, 7.5, load=0.4, burst=2.5, lost=2),
]
# Each router decides by its own knowledge; one allocator knows all requests.
UNINFORMED = set(METHODS) - {"even", "one allocator"}


def make_server(cost=1.0, own=0.0, reported=0.0, hold=SECOND, capacity=10.0, **other):
    return ServerLoad(cost, capacity, own, reported, hold, **other)


def share(servers, age=2 * SECOND, routers=ROUTERS):
    shares = compute_shares(servers, age, routers)
    return [value / sum(shares) for value in shares]


def test_servers_are_not_overloaded_in_turn():
    """Guards against herding: all choose the server that looks best in old reports."""
    rejected_by_name = Counter()
    for case in OLD_REPORTS:
        results = {name: Model(case).run(METHODS[name]) for name in METHODS}
        even, best = results["even"], results["best, own counted"]
        assert even.peak < best.peak / 2, case
        assert even.full < best.full / 2, case
        # A choice that ignores the domain crosses in two of three cases.
        assert even.crossed < 2 / 3, case
        for name, result in results.items():
            rejected_by_name[name] += result.rejected
    # No other method that knows only the reports may do better over all cases.
    least = min(rejected_by_name[name] for name in UNINFORMED)
    assert rejected_by_name["even"] <= least, rejected_by_name


def test_choice_does_not_oscillate():
    """Guards against a correction that is larger than the imbalance that it sees.

    Each round, the load follows from the shares that routers computed from the load
    before, as if all reports arrived together and all requests had ended meanwhile.
    """
    for age in (0.2, 1.0, 5.0):
        uses = [9.0, 1.0, 1.0, 1.0]
        for _ in range(10):
            before = max(uses) - min(uses)
            shares = share([make_server(reported=use) for use in uses], age * SECOND)
            ended = min(1.0, age)
            total = sum(uses) * ended
            uses = [
                use * (1 - ended) + total * value
                for use, value in zip(uses, shares, strict=True)
            ]
            assert max(uses) - min(uses) <= before + 1e-9
        assert max(uses) - min(uses) < 0.5


def test_old_reports_count_less_than_recent_ones():
    """Guards against a preference for a free server that others have filled since."""
    servers = [make_server(reported=2.0), make_server(reported=8.0)]
    slow = 20 * SECOND
    recent = [make_server(reported=s.reported, hold=slow) for s in servers]
    assert share(recent, SECOND)[0] > share(servers, SECOND)[0] > 0.5
    assert share(servers, 5 * SECOND)[1] > 0.2


def test_fast_servers_get_more_requests():
    """Guards against equal numbers of requests for servers of speeds 1 to 16."""
    servers = [make_server(1.0 / n, 0, 5, SECOND / n) for n in (1, 2, 4)]
    shares = share(servers, 5 * SECOND)
    assert abs(shares[2] / shares[0] - 4.0) < 0.5


def test_returning_server_does_not_get_all_requests():
    """Guards against a rush to a server without reported load after its return."""
    servers = [make_server(), *(make_server(reported=8.0) for _ in range(9))]
    shares = share(servers, 2 * SECOND)
    # It is short of all its requests, and the others of those that have ended.
    assert 1 / 10 < shares[0] < 3 / 10


def test_failing_and_slow_servers_are_avoided():
    """Guards against requests for bad servers while others have room."""
    good = [make_server(reported=1.0) for _ in range(3)]
    assert share([*good, make_server(16.0)])[3] == 0.0
    assert share([*good, make_server(penalty=5.0)])[3] == 0.0
    # In an overload, all of them are used; with no other server, a failing one is.
    busy = [make_server(reported=10.0) for _ in range(3)]
    assert share([*busy, make_server(16.0)])[3] > 0.0
    assert share([make_server(capacity=0.0)]) == [1.0]


def test_own_domain_is_preferred_while_it_has_room():
    """Guards against crossings without need, and against a full domain beside it."""
    calm = [make_server(reported=2.0), make_server(reported=2.0, is_remote=True)]
    assert share(calm)[1] < 0.25
    busy = [make_server(reported=10.0), make_server(reported=2.0, is_remote=True)]
    assert share(busy)[1] > 0.5


def test_server_where_own_requests_pile_up_gets_fewer():
    """Guards against a silent server that no report shows."""
    servers = [make_server(own=own, reported=4.0) for own in (6, 1, 1, 1)]
    assert share(servers)[0] < 0.1


def test_peak_is_the_ratio_of_the_busiest_server_to_the_mean():
    """Guards against a metric that shows an idle service as uneven."""
    assert measure_peak([0.5, 0.5]) == 1.0
    assert measure_peak([1.0, 0.0, 0.0, 0.0]) == 4.0
    assert measure_peak([0.0, 0.0]) == 1.0


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
