"""Tests of route selection, subsets and prefix affinity."""

import hashlib
import random
import sys
from collections import Counter
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.routing import (
    CacheEvent,
    CacheView,
    RoutePlanner,
    ServerLoads,
    choose_subset,
)
from hibiscustiller.routing.tests.fixtures import (
    MODEL,
    make_config,
    make_replicas,
)
from hibiscustiller.utils import ManualClock, RefusalReason
from hibiscustiller.utils._testing import collect_tests

PROMPT = " ".join(f"w{i}" for i in range(40))


def _digest(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class _Fleet:
    """Several routers that plan routes over the same servers."""

    def __init__(self, servers, routers=1, **options):
        self.config = make_config(servers, **options)
        self.clock = ManualClock()
        self.unusable = set()
        self.full = set()
        self.loads = [ServerLoads(self.clock) for _ in range(routers)]
        self.views = [CacheView() for _ in range(routers)]
        self.planners = [
            RoutePlanner(
                "d0",
                lambda: self.config,
                lambda server: server not in self.unusable,
                lambda server: server not in self.full,
                self.loads[i],
                random.Random(i),
                f"router-{i}",
                self.views[i],
            )
            for i in range(routers)
        ]

    def plan(self, prompt="a", router=0, **options):
        return self.planners[router].plan_route(MODEL, prompt, **options)

    def start(self, prompt="a", router=0):
        route = self.plan(prompt, router).ok_value
        self.loads[router].record_start(route, 1)
        return route


def test_refusals_distinguish_missing_servers_from_missing_capacity():
    """Guards against requests that wait for capacity of servers that do not exist."""
    cases = [
        # unusable, full, avoided_servers, expected
        ([], [], [], None),
        (["s0-0"], [], ["s1-0"], RefusalReason.NO_ROUTE),
        (["s0-0", "s1-0"], [], [], RefusalReason.NO_ROUTE),
        ([], ["s0-0", "s1-0"], [], RefusalReason.OVERLOADED),
        (["s0-1"], ["s1-1"], [], RefusalReason.OVERLOADED),
        (["s0-1"], ["s1-0"], [], None),
    ]
    for unusable, full, avoided_servers, expected in cases:
        fleet = _Fleet(make_replicas(2))
        fleet.unusable, fleet.full = set(unusable), set(full)
        planned = fleet.plan(avoided_servers=frozenset(avoided_servers))
        reason = planned.err_value.reason if planned.is_err() else None
        assert reason is expected, (unusable, full, avoided_servers, planned)
        if reason is None:
            assert planned.ok_value.servers.isdisjoint(
                [*unusable, *full, *avoided_servers]
            )


def test_removed_model_has_no_route():
    """Guards against an error if a model is removed while its request is queued."""
    fleet = _Fleet(make_replicas(1))
    fleet.config = make_config([], models=("other",))
    assert fleet.plan().err_value.reason is RefusalReason.NO_ROUTE


def test_stale_report_does_not_attract_all_routers():
    """Guards against overload of a server that the same late report shows as idle."""
    servers = [(f"s{i}", "d0", 0, 8) for i in range(10)]
    fleet = _Fleet(servers, routers=9)
    fleet.clock.advance(timedelta(seconds=60))
    # Each router has one stream at each server but s0, as the reports then show.
    for router in range(9):
        for server in range(1, 10):
            other_servers = frozenset(fleet.config.servers_by_id) - {f"s{server}"}
            route = fleet.plan(router=router, avoided_servers=other_servers).ok_value
            fleet.loads[router].record_start(route, 1)
    fleet.clock.advance(timedelta(milliseconds=100))
    for _ in range(20):
        fleet.clock.advance(timedelta(milliseconds=1))
        for loads in fleet.loads:
            for server in range(1, 10):
                loads.record_report(f"s{server}", 9, 0, timedelta(0))
            loads.record_report("s0", 0, 0, timedelta(0))
    started = Counter()
    for _ in range(5):
        fleet.clock.advance(timedelta(milliseconds=1))
        for router in range(9):
            started.update(fleet.start(router=router).servers)
    # By the report alone, all 45 streams would start at s0. Nine of them make its load
    # equal to that of the others.
    assert 0 < started["s0"] <= 18, started


def test_slow_link_is_avoided():
    """Guards against routes over a link whose learned delay has increased."""
    servers = [("a", "d0", 0, 4), ("b", "d1", 4, 8), ("c", "d2", 4, 8)]
    fleet = _Fleet(servers)
    routes = {r.servers: r for r in (fleet.plan().ok_value for _ in range(40))}
    assert len(routes) == 2
    slow_route = routes[frozenset("ab")]
    for _ in range(50):
        fleet.loads[0].record_token(slow_route, timedelta(milliseconds=200), False)
    assert {fleet.plan().ok_value.servers for _ in range(40)} == {frozenset("ac")}


def test_slow_link_to_the_first_stage_is_avoided():
    """Guards against a slow link to the first stage, which token times do not show."""
    fleet = _Fleet([(name, f"d-{name}", 0, 8) for name in "ab"])
    for _ in range(40):
        route = fleet.plan().ok_value
        is_slow = "a" in route.servers
        delay = timedelta(milliseconds=100 if is_slow else 1)
        fleet.planners[0].record_answer_delay(route, delay)
    assert {fleet.plan().ok_value.servers for _ in range(40)} == {frozenset("b")}
    assert fleet.plan(avoided_servers=frozenset("b")).is_ok()


def test_requests_of_one_prefix_share_servers_within_the_load_bound():
    """Guards against missed prefix hits, and overload by one frequent prefix."""
    fleet = _Fleet(make_replicas(6))
    routes = {fleet.plan(f"{PROMPT} {i}").ok_value.servers for i in range(20)}
    assert len(routes) == 1, routes
    started = Counter()
    for i in range(60):
        started.update(fleet.start(f"{PROMPT} {i}").servers)
    # 60 streams on 6 servers per stage give a mean load of 10.
    assert max(started.values()) <= 13, started


def test_cached_prefix_is_preferred_until_events_are_lost():
    """Guards against routes chosen by blocks that a lost event may have evicted."""
    fleet = _Fleet(make_replicas(6))
    first_choice = fleet.plan(PROMPT).ok_value.stages[0].server
    other = next(s for s in ("s0-0", "s1-0") if s != first_choice)
    block = " ".join(PROMPT.split()[:16])
    view = fleet.views[0]
    view.apply_events(other, [CacheEvent(1, "stored", block)])
    assert fleet.plan(PROMPT).ok_value.stages[0].server == other
    view.apply_events(other, [CacheEvent(3, "stored", "something else")])
    assert fleet.plan(PROMPT).ok_value.stages[0].server == first_choice


def test_cache_view_keeps_only_certain_blocks():
    """Guards against wrong blocks after a gap, a repeated event, or a full view."""
    cases = [
        ([(1, "stored", "x")], ["x"]),
        ([(1, "stored", "x"), (1, "evicted", "x")], ["x"]),
        ([(1, "stored", "x"), (2, "evicted", "x")], []),
        ([(1, "stored", "x"), (3, "stored", "y")], ["y"]),
        ([(2, "stored", "x")], ["x"]),
        ([(n, "stored", t) for n, t in enumerate("xyz", 1)], ["y", "z"]),
    ]
    for events, expected in cases:
        view = CacheView(max_blocks_per_server=2)
        view.apply_events("s", [CacheEvent(*event) for event in events])
        cached = [t for t in "xyz" if view.count_cached_blocks("s", [_digest(t)])]
        assert cached == expected, (events, cached)
        view.record_failure("s")
        assert view.get_last_sequence("s") == 0


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 3),
            st.integers(0, 7),
            st.integers(1, 8),
            st.sampled_from(["turf", "chalk"]),
        ).filter(lambda server: server[1] < server[2]),
        max_size=24,
    ),
    st.integers(0, 12),
)
def test_subset_covers_all_layers_of_the_fleet(drawn, size):
    """Guards against a layer that servers outside the subset hold, but none inside."""
    servers = [
        (f"s{i}", f"d{domain}", first, last, 10, model)
        for i, (domain, first, last, model) in enumerate(drawn)
    ]
    config = make_config(servers, models=("turf", "chalk"))
    subset = choose_subset("router-1", config, size)
    for model in ("turf", "chalk"):
        fleet_layers, subset_layers = set(), set()
        for server in config.servers_by_id.values():
            if server.model == model:
                held = range(server.first_layer, server.last_layer)
                fleet_layers.update(held)
                if server.name in subset:
                    subset_layers.update(held)
        assert subset_layers == fleet_layers, (model, subset)
    if size >= len(servers):
        assert subset == set(config.servers_by_id)


def test_subset_is_spread_over_domains_and_stable():
    """Guards against a subset that one domain's failure or one change replaces."""
    servers = make_replicas(70, domains=7)
    subset = choose_subset("router-1", make_config(servers), 28)
    assert len(subset) == 28
    config = make_config(servers)
    domains = Counter(config.servers_by_id[s].failure_domain for s in subset)
    assert set(domains.values()) == {4}, domains
    fewer = [server for server in servers if server[0] != sorted(subset)[0]]
    changed = choose_subset("router-1", make_config(fewer), 28)
    assert len(subset - changed) <= 3, subset - changed
    used = Counter()
    for router in range(50):
        used.update(choose_subset(f"router-{router}", config, 28))
    assert len(used) == 140 and max(used.values()) < 3 * 50 * 28 / 140, used


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
