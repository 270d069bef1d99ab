"""Layer placement without faults and after the loss of engines."""

import sys
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.layers import find_pipelines, plan_covers, plan_layers
from hibiscustiller.layers._capacity import count_tokens, find_max_width
from hibiscustiller.layers._placement import find_gaps
from hibiscustiller.layers.tests.fixtures import (
    KINDS,
    SPEC,
    LayerRange,
    apply_changes,
    get_held,
    make_domain,
    make_fleet,
)
from hibiscustiller.utils._testing import collect_tests


def place(servers):
    return apply_changes(servers, plan_layers(SPEC, servers, get_held(servers)))


def improve(servers):
    """Apply changes that raise the rate until there are none."""
    for _ in range(10):
        changes = plan_layers(SPEC, servers, get_held(servers), may_improve=True)
        if not changes:
            break
        servers = apply_changes(servers, changes)
    return servers


def test_empty_fleet_gets_a_cover_in_each_domain():
    """Guards against pipelines over the shared link if domains have enough memory."""
    servers = place(make_fleet())
    pipelines = find_pipelines(SPEC, servers)
    domains = [{stage.server.domain for stage in p.stages} for p in pipelines]
    assert sorted(domains, key=str) == [{"east"}, {"north"}, {"south"}]


def test_no_engine_holds_more_than_its_memory():
    """Guards against orders that exhaust an engine's memory or leave none for use."""
    for server in place(make_fleet()):
        kind = KINDS[server.kind]
        assert server.layers.width * SPEC.layer_mb < kind.memory_mb
        if server.layers.width:
            tokens = count_tokens(SPEC, kind, server.layers.width)
            assert tokens > 8 * SPEC.mean_held_tokens


def test_a_placed_fleet_needs_no_changes():
    """Guards against unnecessary loads."""
    servers = place(make_fleet())
    assert plan_layers(SPEC, servers, get_held(servers)) == {}
    servers = improve(servers)
    assert plan_layers(SPEC, servers, get_held(servers), may_improve=True) == {}


def test_engines_left_over_in_all_domains_hold_a_cover_together():
    """Guards against a quarter of the engines being idle while callers are refused."""
    servers = improve(place(make_fleet()))
    pipelines = find_pipelines(SPEC, servers)
    assert len(pipelines) == 4
    domains = [stage.server.domain for stage in pipelines[3].stages]
    assert len(set(domains)) == 3
    changes = sum(a != b for a, b in zip(domains, domains[1:], strict=False))
    assert changes == 2


def test_engines_left_over_in_a_domain_hold_covers_of_their_own():
    """Guards against two of three covers of left-over engines that no pipeline uses.

    The search for pipelines takes engines of a domain first. From the parts of two
    covers across domains it built one pipeline, and the rest of both was of no use.
    """
    servers = improve(
        place(
            [
                *make_domain("north", 3, 14, 16),
                *make_domain("east", 2, 24, 9),
                *make_domain("south", 4, 10, 11),
            ]
        )
    )
    pipelines = find_pipelines(SPEC, servers)
    domains = [{stage.server.domain for stage in p.stages} for p in pipelines]
    assert all(len(names) == 1 for names in domains[:8]), domains
    assert sum(len(pipeline.stages) for pipeline in pipelines) >= 80
    assert len(pipelines) >= 9


def test_a_cover_with_a_gap_is_not_planned_anew_as_left_over():
    """Guards against layers that are moved while a lost engine may return."""
    # The link leaves no room for a cover across both domains.
    spec = replace(SPEC, pipe_mbps=100.0)
    fleet = [*make_domain("north", 2, 3, 0), *make_domain("east", 2, 5, 0)]
    servers = apply_changes(fleet, plan_layers(spec, fleet, {}))
    lost = next(s for s in servers if s.domain == "north" and s.kind == "medium")
    remaining = [server for server in servers if server.id != lost.id]
    held = get_held(remaining)
    # The remaining engines could hold the model with other layers.
    assert plan_layers(spec, remaining, held, may_rebuild=True)
    changes = plan_layers(spec, remaining, held, may_rebuild=False, may_improve=True)
    assert changes == {}


def test_gap_in_a_domain_takes_precedence_over_shared_cover():
    """Guards against a new plan for a domain whose spares hold layers of another."""
    servers = improve(place(make_fleet()))
    own = find_pipelines(SPEC, servers)[1]
    lost = next(s.server for s in own.stages if s.server.kind == "medium")
    remaining = [server for server in servers if server.id != lost.id]
    changes = plan_layers(SPEC, remaining, get_held(remaining))
    assert len(changes) <= 1
    after = apply_changes(remaining, changes)
    in_domain = [s for s in after if s.domain == lost.domain]
    assert find_pipelines(SPEC, in_domain)


def test_lost_engine_is_replaced_by_one_order():
    """Guards against changes to the layers of engines in use."""
    servers = place(make_fleet())
    lost = next(s for s in servers if s.domain == "north" and s.kind == "medium")
    remaining = [server for server in servers if server is not lost]
    changes = plan_layers(SPEC, remaining, get_held(remaining))
    assert list(changes.values()) == [lost.layers]
    (server_id,) = changes
    assert next(s for s in remaining if s.id == server_id).domain == "north"


def test_smallest_fitting_spare_is_taken():
    """Guards against filling a small gap with a large engine needed elsewhere."""
    servers = place(make_domain("north", 1, 10, 4))
    servers += make_domain("north", 0, 11, 0)[-1:] + make_domain("north", 2, 0, 0)[-1:]
    lost = next(s for s in servers if s.kind == "medium" and s.layers.width)
    remaining = [server for server in servers if server is not lost]
    changes = plan_layers(SPEC, remaining, get_held(remaining))
    kinds = [s.kind for s in remaining if s.id in changes]
    assert kinds == ["medium"]


def test_loss_of_the_largest_engine_plans_the_domain_anew():
    """Guards against a repair that leaves a fifth of the request memory."""
    servers = place(make_fleet())
    lost = next(s for s in servers if s.domain == "north" and s.kind == "large")
    remaining = [server for server in servers if server is not lost]
    after = apply_changes(remaining, plan_layers(SPEC, remaining, get_held(remaining)))
    north = [server for server in after if server.domain == "north"]
    best = plan_covers(SPEC, north)[0].tokens
    room = min(
        count_tokens(SPEC, KINDS[s.kind], s.layers.width)
        for s in north
        if s.layers.width
    )
    assert room >= 0.6 * best
    assert not find_gaps(SPEC.layers, [s.layers for s in north], 1)


def test_redundant_engine_fills_a_gap():
    """Guards against a new plan while an engine holds only redundant layers."""
    servers = place(make_domain("north", 1, 10, 2))
    lost = next(s for s in servers if s.kind == "medium" and s.layers.width)
    spares = {s.id for s in servers if not s.layers.width}
    held = {server.id: server.layers for server in servers if server is not lost}
    held |= {server_id: LayerRange(0, 6) for server_id in spares}
    remaining = [server for server in servers if server is not lost]
    changes = plan_layers(SPEC, remaining, held)
    assert list(changes.values()) == [lost.layers]
    assert set(changes) <= spares


def test_returned_engine_improves_a_weak_domain():
    """Guards against an unused large engine beside an overloaded cover."""
    servers = place(make_domain("north", 0, 10, 4))
    servers += make_domain("north", 1, 0, 0)
    assert plan_layers(SPEC, servers, get_held(servers)) == {}
    changes = plan_layers(SPEC, servers, get_held(servers), may_improve=True)
    ((server_id, layers),) = changes.items()
    assert server_id.startswith("north-large")
    assert layers.width >= 20


def test_improvement_takes_no_layers_from_engines_that_serve():
    """Guards against an interruption of seconds only to raise the rate."""
    servers = place(make_domain("north", 0, 10, 4))
    servers += make_domain("north", 1, 0, 0)
    for _ in range(6):
        before = find_pipelines(SPEC, servers)[0]
        changes = plan_layers(SPEC, servers, get_held(servers), may_improve=True)
        assert not set(changes) & set(before.server_ids)
        servers = apply_changes(servers, changes)
    assert changes == {}


def test_large_engine_with_few_layers_gets_a_new_plan():
    """Guards against a domain that is left at half its rate after a release."""
    servers = make_domain("north", 1, 10, 3)
    ranges = [(0, 9), *((25 + 5 * n, 30 + 5 * n) for n in range(10)), (9, 18), (18, 25)]
    servers = [
        replace(server, layers=LayerRange(*held))
        for server, held in zip(servers, [*ranges, (75, 80)], strict=True)
    ]
    held = get_held(servers)
    assert plan_layers(SPEC, servers, held, may_improve=True) == {}
    changes = plan_layers(SPEC, servers, held, may_improve=True, may_replan=True)
    assert changes["north-large-0"].width >= 25
    # Nearly all engines keep their layers.
    assert len(changes) <= 3
    servers = apply_changes(servers, changes)
    assert not find_gaps(SPEC.layers, [s.layers for s in servers], 1)


def test_new_plan_must_pay_for_its_loads():
    """Guards against an interruption of seconds for a small gain."""
    servers = place(make_domain("north", 1, 10, 4))
    held = get_held(servers)
    held["north-medium-0"], held["north-medium-1"] = (
        held["north-medium-1"],
        held["north-medium-0"],
    )
    options = {"may_improve": True, "may_replan": True}
    assert plan_layers(SPEC, servers, held, **options) == {}


def test_new_plan_keeps_the_order_of_engines():
    """Guards against swapping the layers of two engines of the same kind."""
    servers = place(make_domain("east", 2, 4, 4))
    swapped = {s.id: s.layers for s in servers if s.layers.width}
    large = sorted(server_id for server_id in swapped if "large" in server_id)
    swapped[large[0]], swapped[large[1]] = swapped[large[1]], swapped[large[0]]
    lost = next(s for s in servers if s.kind == "medium" and s.layers.width)
    remaining = [s for s in servers if s is not lost and s.kind != "slow"]
    remaining += make_domain("east", 0, 0, 9)
    changes = plan_layers(
        SPEC, remaining, {k: v for k, v in swapped.items() if k != lost.id}
    )
    held = {**swapped, **changes}
    assert (held[large[0]].first > held[large[1]].first) == (
        swapped[large[0]].first > swapped[large[1]].first
    )


def test_domains_without_the_memory_share_a_cover():
    """Guards against idle engines in small domains."""
    servers = place([*make_domain("north", 1, 2, 0), *make_domain("east", 1, 2, 0)])
    (pipeline,) = find_pipelines(SPEC, servers)
    assert {stage.server.domain for stage in pipeline.stages} == {"north", "east"}


def test_engines_without_the_memory_for_a_model_get_nothing():
    """Guards against loads for an incomplete cover."""
    assert plan_layers(SPEC, make_domain("north", 1, 0, 0), {}) == {}


def test_gaps_count_missing_copies():
    """Guards against treating an incomplete second cover as complete."""
    ranges = [LayerRange(0, 80), LayerRange(0, 30), LayerRange(40, 80)]
    assert find_gaps(80, ranges, 1) == []
    assert find_gaps(80, ranges, 2) == [LayerRange(30, 40)]


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    st.tuples(st.integers(0, 3), st.integers(0, 12), st.integers(0, 8)),
    st.sets(st.integers(0, 22), max_size=4),
)
def test_any_fleet_that_can_hold_the_model_serves_after_losses(counts, lost):
    """Guards against plans with gaps, for arbitrary engines and losses."""
    servers = place(make_domain("north", *counts))
    remaining = [server for number, server in enumerate(servers) if number not in lost]
    can_serve = bool(plan_covers(SPEC, remaining))
    after = place(remaining)
    assert bool(find_pipelines(SPEC, after)) >= can_serve
    for server in after:
        width = find_max_width(SPEC, KINDS[server.kind], 1)
        assert server.layers.width <= width


def test_a_step_for_speed_does_not_open_a_gap():
    """Guards against moving an engine for speed, then back to fill the gap it left."""
    check_changes_end([(3, 19, 6)], lost={0, 1})


@settings(derandomize=True, deadline=None, max_examples=15)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 12), st.integers(0, 6)),
        min_size=1,
        max_size=2,
    ),
    st.sets(st.integers(0, 30), max_size=5),
)
def test_changes_for_speed_come_to_an_end(domains, lost):
    """Guards against orders that alternate between layers indefinitely."""
    check_changes_end(domains, lost)


def check_changes_end(domains, lost):
    """Place a fleet, remove some engines, and apply changes until there are none."""
    servers = []
    for number, counts in enumerate(domains):
        servers += make_domain(f"domain-{number}", *counts)
    servers = place(servers)
    remaining = [server for number, server in enumerate(servers) if number not in lost]
    remaining = place(remaining)
    change_count = 0
    options = {"may_improve": True, "may_replan": True}
    while changes := plan_layers(SPEC, remaining, get_held(remaining), **options):
        remaining = apply_changes(remaining, changes)
        change_count += 1
        assert change_count <= 12, changes


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
