"""Backoff of engines that reject requests, without a network."""

import random
import sys
from datetime import timedelta

from hibiscustiller.layers import (
    Admission,
    Demand,
    EngineLoad,
    PipelineSelector,
    PlaceOutcome,
    RejectionRecord,
    find_pipelines,
)
from hibiscustiller.layers.tests.fixtures import MS, SPEC, LayerRange, make_engine
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

DEMAND = Demand(0, "one", SPEC.mean_held_tokens, 500 * MS, None, 20000 * MS)
LAYERS = (LayerRange(0, 27), LayerRange(27, 54), LayerRange(54, 80))


class Bench:
    """The allocator's admission to two pipelines of one domain."""

    def __init__(self):
        self.clock = ManualClock()
        load = EngineLoad(self.clock)
        self.selector = PipelineSelector("north", load, self.clock)
        engines = [
            make_engine(f"{name}{number}", "large", "north", layers)
            for name in "ab"
            for number, layers in enumerate(LAYERS)
        ]
        self.selector.set_pipelines(SPEC, find_pipelines(SPEC, engines))
        self.record = RejectionRecord(self.clock)
        self.admission = Admission(
            self.selector,
            load,
            self.clock,
            random.Random(1),
            domain="north",
            rejections=self.record,
        )

    def count_places(self, count=6):
        """Return which pipelines the next requests get."""
        grants = [self.admission.try_admit(DEMAND) for _ in range(count)]
        return {grant.pipeline.entry.id[0] for grant in grants}

    async def reject(self, *server_ids):
        """Send a request that some engines reject."""
        grant = self.admission.try_admit(DEMAND)
        await self.admission.release(grant, PlaceOutcome(rejected_by=server_ids))

    def measure_exclusion(self, server_id="a1"):
        """Return for how long an engine is left out, to 10 ms."""
        excluded_for = timedelta(0)
        while server_id in self.record.list_excluded():
            self.clock.advance(10 * MS)
            excluded_for += 10 * MS
        return excluded_for


async def test_an_engine_that_rejected_gets_no_place_from_any_router():
    """Guards against further routers that are sent to an engine without room."""
    bench = Bench()
    assert bench.count_places() == {"a", "b"}
    await bench.reject("a1")
    assert bench.count_places() == {"b"}
    assert bench.admission.find_replacement(DEMAND, ()).pipeline.entry.id == "b0"
    bench.clock.advance(510 * MS)
    assert "a" in bench.count_places()


async def test_an_engine_that_goes_on_rejecting_is_left_out_for_longer():
    """Guards against a request in every half second that a full engine rejects."""
    bench = Bench()
    lengths = []
    for _ in range(5):
        await bench.reject("a1")
        # Requests that were sent before are rejected, too; they add nothing.
        await bench.reject("a1")
        lengths.append(bench.measure_exclusion() // MS)
    assert lengths == [500, 1000, 2000, 4000, 4000]
    bench.clock.advance(4100 * MS)
    await bench.reject("a1")
    assert bench.measure_exclusion() == 500 * MS


async def test_free_capacity_excludes_a_full_engine_until_a_place_is_given_back():
    """Guards against requests of other domains attracted by room that is not there."""
    bench = Bench()
    held = bench.admission.try_admit(DEMAND)
    free_tokens = bench.admission.count_free_tokens()
    await bench.reject(held.pipeline.server_ids[1])
    assert bench.admission.count_free_tokens() < 0.6 * free_tokens
    await bench.admission.release(held)
    assert bench.admission.count_free_tokens() > free_tokens


async def test_all_pipelines_are_used_if_all_rejected():
    """Guards against a domain that refuses all requests after a few rejections."""
    bench = Bench()
    free_tokens = bench.admission.count_free_tokens()
    await bench.reject("a1", "b2")
    assert bench.count_places() == {"a", "b"}
    assert bench.admission.count_free_tokens() > 0.8 * free_tokens
    # A stream that must not use one pipeline gets the other one.
    grant = bench.admission.find_replacement(DEMAND, {"b0"})
    assert grant.pipeline.entry.id == "a0"


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
