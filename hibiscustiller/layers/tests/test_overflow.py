"""Places beyond the limit for streams that lost their pipeline, without a network.

Two pipelines of different speed and size are full when a loss sends them many streams
at once.
"""

import random
import sys
from collections import Counter
from datetime import timedelta

from hibiscustiller.layers import (
    Admission,
    Demand,
    EngineLoad,
    EngineUse,
    PipelineSelector,
    find_pipelines,
)
from hibiscustiller.layers._overflow import OverflowCandidate, choose_overflow
from hibiscustiller.layers.tests.fixtures import MS, SPEC, LayerRange, make_engine
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

# The wide pipeline has twice the memory, on more engines.
ENGINES = [
    make_engine("fast-0", "large", "north", LayerRange(0, 27)),
    make_engine("fast-1", "large", "north", LayerRange(27, 54)),
    make_engine("fast-2", "large", "north", LayerRange(54, 80)),
    make_engine("wide-0", "large", "north", LayerRange(0, 20)),
    make_engine("wide-1", "large", "north", LayerRange(20, 40)),
    make_engine("wide-2", "large", "north", LayerRange(40, 60)),
    make_engine("wide-3", "large", "north", LayerRange(60, 80)),
]
DEMAND = Demand(0, "one", SPEC.mean_held_tokens, 500 * MS, None, timedelta(seconds=20))


class Bench:
    """An admission of one domain, whose pipelines have no capacity left."""

    def __init__(self, used_shares_by_prefix, count_routers=lambda: 1, domain="north"):
        clock = ManualClock()
        self.load = EngineLoad(clock)
        self.selector = PipelineSelector(
            "north", self.load, clock, count_routers, random.Random(5)
        )
        self.selector.set_pipelines(SPEC, find_pipelines(SPEC, ENGINES))
        assert len(self.selector.pipelines) == 2, self.selector.pipelines
        self.refusing = set()
        self.admission = Admission(
            self.selector,
            self.load,
            clock,
            random.Random(1),
            lambda: self.refusing,
            domain,
        )
        uses = {}
        for pipeline in self.selector.pipelines:
            share = used_shares_by_prefix[pipeline.entry.id.split("-")[0]]
            for stage in pipeline.stages:
                layers = (72000 - stage.layers.width * SPEC.layer_mb) * 1e6
                use = share * layers / SPEC.layer_token_bytes
                uses[stage.server.id] = EngineUse(use, 0)
        self.load.set_report("others", uses)

    def find(self, count=1, demand=DEMAND):
        """Find places for streams; count them by the name of the pipeline."""
        grants = [self.admission.find_replacement(demand, ()) for _ in range(count)]
        return Counter(grant.pipeline.entry.id.split("-")[0] for grant in grants)

    def get_filled_shares(self):
        """Return the share of memory in use of each pipeline, with one more stream."""
        return [
            self.load.get_filled_share(SPEC, pipeline, DEMAND.tokens)
            for pipeline in self.selector.pipelines
        ]


def test_streams_of_a_lost_pipeline_do_not_all_go_to_the_same_one():
    """Guards against a loss whose streams all go to the fastest pipeline."""
    bench = Bench({"fast": 0.95, "wide": 0.95})
    counts = bench.find(12)
    assert len(counts) == 2, counts
    assert max(bench.get_filled_shares()) < 1.1, (counts, bench.get_filled_shares())


def test_the_emptier_pipeline_is_preferred_to_the_faster_one():
    """Guards against streams that an engine without memory rejects."""
    assert Bench({"fast": 1.0, "wide": 0.93}).find() == {"wide": 1}
    assert Bench({"fast": 0.93, "wide": 1.05}).find() == {"fast": 1}


def test_capacity_is_used_before_places_beyond_the_limit():
    """Guards against places beyond the limit while another pipeline has room."""
    assert Bench({"fast": 0.5, "wide": 0.93}).find() == {"fast": 1}


def test_engines_that_rejected_lately_are_avoided_below_the_memory_limit():
    """Guards against a stream that is rejected where another was just now."""
    bench = Bench({"fast": 0.99, "wide": 0.93})
    bench.refusing = {"wide-2"}
    assert bench.find() == {"fast": 1}
    # Only beyond the memory, an engine is worse than one that rejected.
    bench = Bench({"fast": 1.2, "wide": 0.93})
    bench.refusing = {"wide-2"}
    assert bench.find() == {"wide": 1}


def test_a_stream_gets_a_place_although_all_pipelines_are_beyond_the_limit():
    """Guards against a begun stream that is ended although an engine may take it."""
    assert Bench({"fast": 1.3, "wide": 1.2}).find() == {"wide": 1}


def test_a_slow_pipeline_is_the_last_one_below_the_limit():
    """Guards against streams gathered at the engine that nobody else uses."""
    bench = Bench({"fast": 0.98, "wide": 0.2})
    demand = Demand(0, "one", DEMAND.tokens, 500 * MS, 250 * MS, 20000 * MS)
    wide = next(p for p in bench.selector.pipelines if len(p.stages) == 4)
    bench.selector.record_gap(wide, 800 * MS)
    assert bench.find(demand=demand) == {"fast": 1}


def test_routers_with_the_same_old_report_spread_their_streams():
    """Guards against hundreds of routers that all choose the emptiest pipeline."""
    bench = Bench({"fast": 0.95, "wide": 0.93}, lambda: 60, domain=None)
    bench.load.add = lambda pipeline, tokens: None
    counts = bench.find(200)
    assert min(counts["fast"], counts["wide"]) > 40, counts


def test_no_candidate_is_no_choice():
    """Guards against an error when all engines are excluded."""
    assert choose_overflow([]) is None
    pipeline = Bench({"fast": 1, "wide": 1}).selector.pipelines[0]
    candidate = OverflowCandidate(pipeline, float("inf"))
    assert choose_overflow([candidate], random.Random(1)) == pipeline


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
