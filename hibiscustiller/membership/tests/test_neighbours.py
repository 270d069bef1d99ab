"""The sparse graph of neighbours."""

import sys

from hibiscustiller.membership._neighbours import choose_neighbours
from hibiscustiller.utils._testing import collect_tests


def make_graph(count):
    members = [f"router-{index}" for index in range(count)]
    return {member: choose_neighbours(member, members) for member in members}


def find_eccentricity(graph, start):
    reached, edge, steps = {start}, {start}, 0
    while edge := {n for member in edge for n in graph[member]} - reached:
        reached |= edge
        steps += 1
    assert len(reached) == len(graph), "the graph is not connected"
    return steps


def test_small_fleets_are_fully_connected():
    """Guards against a fleet of today's size that depends on forwarding."""
    for count in range(1, 10):
        graph = make_graph(count)
        assert all(len(n) == count - 1 for n in graph.values())
        assert all(member not in n for member, n in graph.items())


def test_large_fleets_are_sparse_symmetric_and_shallow():
    """Guards against a cost that grows with the fleet, and against slow spreading."""
    for count, longest in ((10, 3), (40, 5), (330, 7), (700, 8)):
        graph = make_graph(count)
        assert max(len(n) for n in graph.values()) <= 6
        assert all(m in graph[n] for m, own in graph.items() for n in own)
        members = list(graph)[:: max(1, count // 20)]
        assert max(find_eccentricity(graph, m) for m in members) <= longest


def test_a_join_moves_few_links():
    """Guards against a wave of reconnections at each of 240 restarts a day."""
    before, after = make_graph(200), make_graph(201)
    changed = [m for m in before if before[m] != after[m]]
    assert len(changed) <= 6


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
