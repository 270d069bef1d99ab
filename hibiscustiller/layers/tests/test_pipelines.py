"""Search for pipelines over engines with arbitrary layer ranges."""

import sys

from hypothesis import given, settings
from hypothesis import strategies as st

from hibiscustiller.exceptions import InvariantError
from hibiscustiller.layers import Pipeline, Stage, check_pipeline, find_pipelines
from hibiscustiller.layers.tests.fixtures import SPEC, LayerRange, make_engine
from hibiscustiller.utils._testing import breaks_invariant, collect_tests


def make_holder(server_id, domain, first, end, kind="large"):
    return make_engine(server_id, kind, domain, LayerRange(first, end))


def test_a_faster_path_across_domains_does_not_break_up_their_covers():
    """Guards against a single pipeline where each of two domains has a cover."""
    servers = [
        make_holder("n0", "north", 0, 40),
        make_holder("n1", "north", 40, 80, "slow"),
        make_holder("e0", "east", 0, 40, "slow"),
        make_holder("e1", "east", 40, 80),
    ]
    found = [pipeline.server_ids for pipeline in find_pipelines(SPEC, servers)]
    assert sorted(found) == [("e0", "e1"), ("n0", "n1")]


def test_a_lost_stage_is_shared_with_another_domain():
    """Guards against leaving a whole cover idle after the loss of one engine."""
    servers = [
        make_holder("n0", "north", 0, 60),
        make_holder("e0", "east", 0, 40),
        make_holder("e1", "east", 40, 80),
    ]
    pipelines = find_pipelines(SPEC, servers)
    assert [p.server_ids for p in pipelines] == [("e0", "e1"), ("n0", "e1")]
    assert pipelines[1].stages[1].layers == LayerRange(60, 80)


def test_a_leaving_engine_is_used_only_without_another():
    """Guards against new requests at an engine that is shutting down."""
    leaving = make_holder("old", "north", 40, 80)
    servers = [make_holder("n0", "north", 0, 40), make_holder("new", "north", 40, 80)]
    assert find_pipelines(SPEC, servers, [leaving])[0].server_ids == ("n0", "new")
    assert find_pipelines(SPEC, servers[:1], [leaving])[0].server_ids == ("n0", "old")


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["north", "east"]),
            st.integers(0, 7),
            st.integers(1, 8),
            st.sampled_from(["large", "medium", "slow"]),
        ).filter(lambda item: item[1] < item[2]),
        max_size=12,
    )
)
def test_every_found_pipeline_runs_each_layer_once(engine_rows):
    """Guards against pipelines that skip a layer or run one twice."""
    servers = [
        make_holder(f"s{number}", domain, first * 10, end * 10, kind)
        for number, (domain, first, end, kind) in enumerate(engine_rows)
    ]
    for pipeline in find_pipelines(SPEC, servers):
        check_pipeline(SPEC, pipeline)


@breaks_invariant("pipeline_runs_each_layer_once", "pipeline_is_complete")
def test_bad_pipelines_are_not_sent():
    """Guards against gaps, ranges that are not held, and missing last layers."""
    whole = make_holder("n0", "north", 0, 80)
    half = make_holder("n1", "north", 0, 40)
    invalid = [
        Pipeline((Stage(whole, LayerRange(0, 30)), Stage(half, LayerRange(35, 40)))),
        Pipeline((Stage(half, LayerRange(0, 80)),)),
        Pipeline((Stage(half, LayerRange(0, 40)),)),
    ]
    for pipeline in invalid:
        try:
            check_pipeline(SPEC, pipeline)
        except InvariantError:
            continue
        raise AssertionError(f"{pipeline} was accepted")


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
