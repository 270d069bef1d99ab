"""Routes against an exhaustive search."""

import sys
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.routing import check_route, find_cheapest_route, get_link_delay
from hibiscustiller.routing.tests.fixtures import MODEL, make_config, make_index
from hibiscustiller.utils._testing import collect_tests

LAYERS = 5

# A direct link is the shortest way. Otherwise a stage of one layer in between could
# pay off, at a cut inside the ranges; the search leaves that out.
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


def _find_least_cost(config, origin, may_return):
    """Try every sequence of servers and of cuts between them.

    :param may_return: whether a route may come back to a server.
    """
    servers = list(config.servers_by_id.values())
    least = None
    todo = [(0, origin, 0.0, frozenset())]
    while todo:
        reached, domain, cost, used = todo.pop()
        if reached == LAYERS:
            total = cost + get_link_delay(config, domain, origin).total_seconds()
            least = total if least is None else min(least, total)
            continue
        for server in servers:
            if server.first_layer > reached or server.name in used:
                continue
            held = server.last_layer - server.first_layer
            link = get_link_delay(config, domain, server.failure_domain)
            for end in range(reached + 1, server.last_layer + 1):
                stage = server.token_time.total_seconds() * (end - reached) / held
                todo.append(
                    (
                        end,
                        server.failure_domain,
                        cost + link.total_seconds() + stage,
                        used if may_return else used | {server.name},
                    )
                )
    return least


@settings(derandomize=True, max_examples=300, deadline=None)
@given(SERVERS)
def test_route_is_a_cheapest_cover(drawn):
    """Guards against covers that are missed, broken or dearer than need be."""
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
    least = _find_least_cost(config, "d0", may_return=False)
    assert (route is None) == (least is None)
    index = make_index(config)
    assert index.is_covered([True] * len(servers)) == (least is not None)
    if route is not None:
        check_route(route, LAYERS)
        assert len(route.servers) == len(route.stages), route
        for stage in route.stages:
            server = config.servers_by_id[stage.server]
            assert server.first_layer <= stage.first_layer
            assert stage.last_layer <= server.last_layer
        assert route.cost.total_seconds() >= least - 2e-6
        # The route may be dearer only where the cheapest way returns to a server.
        if least - _find_least_cost(config, "d0", may_return=True) < 1e-9:
            assert abs(route.cost.total_seconds() - least) < 2e-6, (route, least)


def test_fast_server_takes_the_overlap():
    """Guards against stage boundaries only at the ends of ranges."""
    config = make_config([("slow", "d0", 0, 6, 60), ("fast", "d0", 2, 8, 6)])
    times = {s.name: s.token_time for s in config.servers_by_id.values()}
    model = config.models_by_name[MODEL]
    servers = list(config.servers_by_id.values())
    route = find_cheapest_route(config, model, servers, times, "d0")
    found = [(s.server, s.first_layer, s.last_layer) for s in route.stages]
    assert found == [("slow", 0, 2), ("fast", 2, 8)]
    assert route.cost < timedelta(milliseconds=27)


def test_route_does_not_return_to_a_server():
    """Guards against two stages of a stream at one engine, which has one cache."""
    config = make_config([("wide", "d0", 0, 8, 80), ("fast", "d0", 2, 4, 1)])
    times = {s.name: s.token_time for s in config.servers_by_id.values()}
    model = config.models_by_name[MODEL]
    servers = list(config.servers_by_id.values())
    route = find_cheapest_route(config, model, servers, times, "d0")
    assert len(route.servers) == len(route.stages)


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
