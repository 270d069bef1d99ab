"""Tests of the route search against an exhaustive search."""

import sys
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.routing import check_route, find_cheapest_route, get_link_delay
from hibiscustiller.routing.tests.fixtures import MODEL, make_config, make_index
from hibiscustiller.utils._testing import collect_tests

LAYERS = 5

# Each direct link is the fastest connection of its domains. Otherwise a stage of one
# layer in a third domain could be cheaper, at a boundary inside the servers' ranges,
# and the search does not consider such routes.
LINKS = [("d0", "d1", 3), ("d1", "d2", 1), ("d0", "d2", 2.5)]

SERVERS = st.lists(
    st.tuples(
        st.sampled_from(["d0", "d1", "d2"]),
        st.integers(0, LAYERS - 1),
        st.integers(1, LAYERS),
        st.integers(1, 9),
    ).filter(lambda server: server[1] < server[2]),
    max_size=5,
)


def _find_lowest_cost(config, origin, may_reuse_servers):
    """Find the lowest cost over all sequences of servers and layer boundaries.

    :param may_reuse_servers: whether a route may use a server more than once.
    :returns: seconds per token, or None if no route covers all layers.
    """
    servers = list(config.servers_by_id.values())
    lowest = None
    pending = [(0, origin, 0.0, frozenset())]
    while pending:
        reached, domain, cost, used = pending.pop()
        if reached == LAYERS:
            total = cost + get_link_delay(config, domain, origin).total_seconds()
            lowest = total if lowest is None else min(lowest, total)
            continue
        for server in servers:
            if server.first_layer > reached or server.name in used:
                continue
            held = server.last_layer - server.first_layer
            link = get_link_delay(config, domain, server.failure_domain)
            for end in range(reached + 1, server.last_layer + 1):
                stage = server.token_time.total_seconds() * (end - reached) / held
                pending.append(
                    (
                        end,
                        server.failure_domain,
                        cost + link.total_seconds() + stage,
                        used if may_reuse_servers else used | {server.name},
                    )
                )
    return lowest


@settings(derandomize=True, max_examples=300, deadline=None)
@given(SERVERS)
def test_route_has_the_lowest_cost(drawn):
    """Guards against routes that are not found, invalid or not the cheapest."""
    servers = [(f"s{i}", *server) for i, server in enumerate(drawn)]
    config = make_config(servers, LAYERS, links=LINKS)
    times = {s.name: s.token_time for s in config.servers_by_id.values()}
    route = find_cheapest_route(
        config,
        config.models_by_name[MODEL],
        list(config.servers_by_id.values()),
        times,
        "d0",
    )
    lowest = _find_lowest_cost(config, "d0", may_reuse_servers=False)
    assert (route is None) == (lowest is None)
    index = make_index(config)
    assert index.is_covered([True] * len(servers)) == (lowest is not None)
    if route is not None:
        check_route(route, LAYERS)
        assert len(route.servers) == len(route.stages), route
        for stage in route.stages:
            server = config.servers_by_id[stage.server]
            assert server.first_layer <= stage.first_layer
            assert stage.last_layer <= server.last_layer
        assert route.cost.total_seconds() >= lowest - 2e-6
        # The route may cost more only if the cheapest one uses a server twice.
        if lowest - _find_lowest_cost(config, "d0", may_reuse_servers=True) < 1e-9:
            assert abs(route.cost.total_seconds() - lowest) < 2e-6, (route, lowest)


def test_fast_server_runs_overlapping_layers():
    """Guards against a search that ends stages only at the end of a server's range."""
    config = make_config([("slow", "d0", 0, 6, 60), ("fast", "d0", 2, 8, 6)])
    times = {s.name: s.token_time for s in config.servers_by_id.values()}
    model = config.models_by_name[MODEL]
    servers = list(config.servers_by_id.values())
    route = find_cheapest_route(config, model, servers, times, "d0")
    chosen = [(s.server, s.first_layer, s.last_layer) for s in route.stages]
    assert chosen == [("slow", 0, 2), ("fast", 2, 8)]
    assert route.cost < timedelta(milliseconds=27)


def test_route_uses_each_server_once():
    """Guards against two stages at one engine, which keeps one cache per stream."""
    config = make_config([("wide", "d0", 0, 8, 80), ("fast", "d0", 2, 4, 1)])
    times = {s.name: s.token_time for s in config.servers_by_id.values()}
    model = config.models_by_name[MODEL]
    servers = list(config.servers_by_id.values())
    route = find_cheapest_route(config, model, servers, times, "d0")
    assert len(route.servers) == len(route.stages)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
