"""Admission under various loads, without a network.

Requests arrive at fixed times and hold their places for a fixed time, so that runs are
reproducible.
"""

import random
import sys
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta

import curio
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from hibiscustiller.layers import (
    Admission,
    Demand,
    EngineLoad,
    EngineUse,
    PipelineSelector,
    find_pipelines,
)
from hibiscustiller.layers._queue import FairQueue
from hibiscustiller.layers.tests.fixtures import (
    MS,
    SPEC,
    LayerRange,
    make_engine,
)
from hibiscustiller.utils import ManualClock, SystemClock
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
# Three engines with up to 27 layers each have memory for some 55 requests of the usual
# size.
ENGINES = [
    make_engine("a", "large", "north", LayerRange(0, 27)),
    make_engine("b", "large", "north", LayerRange(27, 54)),
    make_engine("c", "large", "north", LayerRange(54, 80)),
]


@dataclass
class Bench:
    """An admission to a single pipeline."""

    clock: object = field(default_factory=SystemClock)

    def __post_init__(self):
        self.load = EngineLoad(self.clock)
        self.selector = PipelineSelector("north", self.load, self.clock)
        self.selector.set_pipelines(SPEC, find_pipelines(SPEC, ENGINES))
        self.admission = Admission(
            self.selector, self.load, self.clock, random.Random(1)
        )

    async def fill(self):
        """Admit requests until no place is free."""
        grants = []
        while True:
            pipeline = self.selector.select(SPEC.mean_held_tokens, None)
            if pipeline is None:
                return grants
            admitted = await self.admission.admit(make_demand(9, "filler"))
            grants.append(admitted.ok_value)


def make_demand(priority, organisation="one", tokens=SPEC.mean_held_tokens, target=500):
    return Demand(priority, organisation, tokens, target * MS, None, 20 * SECOND)


async def test_free_places_are_given_at_once():
    """Guards against queueing while engines are idle."""
    bench = Bench()
    admitted = await bench.admission.admit(make_demand(2))
    assert isinstance(admitted, Ok)
    assert bench.load.get("a").entry_count == 1
    await bench.admission.release(admitted.ok_value)
    assert bench.load.get_own_use() == {}


async def test_request_memory_bounds_what_is_admitted():
    """Guards against preemption of streams by engines that run out of memory."""
    bench = Bench()
    grants = await bench.fill()
    tokens = sum(grant.tokens for grant in grants)
    capacity = bench.load.get_free_tokens(SPEC, grants[0].pipeline) + tokens
    assert capacity * 0.9 < tokens <= capacity


async def test_use_by_other_routers_counts():
    """Guards against several routers that each fill the same engine."""
    bench = Bench()
    alone = len(await bench.fill())
    bench = Bench()
    use = EngineUse(27 * 30 * SPEC.mean_held_tokens, 30)
    bench.load.set_report("other", {"b": use})
    assert len(await bench.fill()) <= alone - 29


async def test_requests_with_a_long_expected_wait_are_refused_at_once():
    """Guards against callers that wait in a long queue until their deadline."""
    bench = Bench()
    await bench.fill()
    first = await curio.spawn(bench.admission.admit, make_demand(0))
    await curio.sleep(0.01)
    started = bench.clock.monotonic()
    refused = (await bench.admission.admit(make_demand(0))).err_value
    assert bench.clock.monotonic() - started < 50 * MS
    assert refused.retry_after >= SECOND
    await first.cancel()
    assert bench.admission.waiting_count == 0


async def test_refused_callers_are_told_different_times():
    """Guards against a second overload if all refused callers retry together."""
    bench = Bench()
    bench.selector.set_pipelines(SPEC, ())
    times = set()
    for _ in range(20):
        refused = (await bench.admission.admit(make_demand(1))).err_value
        times.add(refused.retry_after)
    assert max(times) - min(times) > 2 * SECOND


async def test_retry_time_fits_in_the_callers_wait():
    """Guards against a Retry-After beyond the time that the caller can wait."""
    bench = Bench()
    bench.selector.set_pipelines(SPEC, ())
    demand = Demand(1, "one", 100, 500 * MS, None, 3 * SECOND)
    refused = (await bench.admission.admit(demand)).err_value
    assert refused.retry_after <= SECOND


async def test_a_released_place_goes_to_the_waiting_request():
    """Guards against a place that stays free while a request waits."""
    bench = Bench()
    grants = await bench.fill()
    waiting = await curio.spawn(bench.admission.admit, make_demand(0))
    await curio.sleep(0.01)
    await bench.admission.release(grants[0])
    assert isinstance(await waiting.join(), Ok)


async def test_a_caller_that_disconnects_leaves_the_queue():
    """Guards against granting places to callers that have disconnected."""
    bench = Bench()
    grants = await bench.fill()
    waiting = await curio.spawn(bench.admission.admit, make_demand(0))
    await curio.sleep(0.01)
    await waiting.cancel()
    before = bench.load.get("a").entry_count
    await bench.admission.release(grants[0])
    assert bench.load.get("a").entry_count == before - 1


async def test_the_largest_request_is_served_by_an_idle_pipeline():
    """Guards against a request too large to be admitted at any load."""
    bench = Bench()
    huge = make_demand(
        0, tokens=10 * bench.load.get_free_tokens(SPEC, _get_pipeline(bench))
    )
    assert isinstance(await bench.admission.admit(huge), Ok)


async def test_a_stream_that_lost_its_pipeline_finds_a_place_in_a_full_one():
    """Guards against ending a stream that another pipeline could continue."""
    bench = Bench()
    await bench.fill()
    assert bench.admission.find_replacement(make_demand(0), set()) is not None
    assert bench.admission.find_replacement(make_demand(0), {"b"}) is None


def _get_pipeline(bench):
    return bench.selector.pipelines[0]


def serve_backlog(arrivals, count):
    """Push (priority, organisation, tokens) items and pop ``count`` of them."""
    queue = FairQueue()
    for number, (priority, organisation, tokens) in enumerate(arrivals):
        item = (priority, organisation, number)
        queue.push(priority, organisation, tokens, item)
    return [queue.pop() for _ in range(count)]


def test_burst_of_the_least_urgent_class_leaves_the_urgent_first():
    """Guards against urgent requests delayed by a burst of overnight work."""
    backlog = [(2, "night", 900)] * 200 + [(0, "shop", 900)] * 40
    served = Counter(item[0] for item in serve_backlog(backlog, 40))
    assert served[0] >= 36


def test_burst_of_the_most_urgent_class_leaves_the_rest_a_share():
    """Guards against starvation of a class during a burst."""
    backlog = [(0, "shop", 900)] * 300 + [(1, "desk", 900)] * 50
    backlog += [(2, "night", 900)] * 50
    served = Counter(item[0] for item in serve_backlog(backlog, 100))
    assert served[0] > 70
    assert served[1] >= 15
    assert served[2] >= 3


def test_burst_of_one_organisation_does_not_delay_the_others():
    """Guards against a large organisation that delays small ones."""
    backlog = [(1, "large", 900)] * 200 + [(1, "small", 900)] * 10
    served = Counter(item[1] for item in serve_backlog(backlog, 21))
    assert served["small"] == 10


def test_small_requests_do_not_overtake_a_large_one():
    """Guards against starvation of large requests under load."""
    backlog = [(0, "shop", 3000)] + [(0, "shop", 100)] * 50
    assert serve_backlog(backlog, 1)[0][2] == 0


def test_a_class_without_backlog_does_not_accumulate_credit():
    """Guards against a burst that is served exclusively after its class was idle."""
    queue = FairQueue()
    for number in range(100):
        queue.push(0, "shop", 900, ("shop", number))
        queue.pop()
    for number in range(50):
        queue.push(0, "shop", 900, ("shop", number))
        queue.push(2, "night", 900, ("night", number))
    served = Counter(queue.pop()[0] for _ in range(40))
    assert served["shop"] > 30


def test_observed_pauses_move_requests_to_the_faster_pipeline():
    """Guards against sending requests to a pipeline with a slow engine."""
    clock = ManualClock()
    load = EngineLoad(clock)
    selector = PipelineSelector("north", load, clock)
    engines = [
        make_engine("n", "large", "north", LayerRange(0, 80)),
        make_engine("e", "large", "east", LayerRange(0, 80)),
    ]
    # Memory limits are ignored here.
    selector.set_pipelines(SPEC, find_pipelines(SPEC, engines))
    near = selector.select(1, None, requires_capacity=False)
    assert near.server_ids == ("n",)
    for _ in range(10):
        selector.record_gap(near, 400 * MS)
    assert selector.select(1, None, requires_capacity=False).server_ids == ("e",)
    clock.advance(5 * SECOND)
    assert selector.select(1, None, requires_capacity=False).server_ids == ("n",)


def test_many_routers_with_old_reports_do_not_fill_one_pipeline():
    """Guards against all routers choosing the best pipeline by an old report."""
    engines = [
        make_engine(f"e{n}", "large", "north", LayerRange(0, 80)) for n in range(6)
    ]
    choice_counts = Counter()
    for number in range(60):
        clock = ManualClock()
        load = EngineLoad(clock)
        # All routers have the same report: one pipeline is slightly less busy.
        load.set_report("old", {f"e{n}": EngineUse(0.0, 5) for n in range(1, 6)})
        selector = PipelineSelector(
            "north", load, clock, lambda: 60, random.Random(number)
        )
        selector.set_pipelines(SPEC, find_pipelines(SPEC, engines))
        for _ in range(3):
            pipeline = selector.select(1, None, requires_capacity=False)
            load.add(pipeline, SPEC.mean_held_tokens)
            choice_counts[pipeline.entry.id] += 1
    assert max(choice_counts.values()) < 2 * 180 / 6


def test_pipelines_get_requests_by_their_free_capacity():
    """Guards against a full pipeline beside a free one where reports are old."""
    clock = ManualClock()
    load = EngineLoad(clock)
    # The weights leave room for requests.
    spec = replace(SPEC, layer_mb=100.0)
    engines = [
        make_engine(f"e{n}", "large", "north", LayerRange(0, 80)) for n in range(3)
    ]
    selector = PipelineSelector("north", load, clock, lambda: 60, random.Random(1))
    selector.set_pipelines(spec, find_pipelines(spec, engines))
    # e0 is full and e1 has a fifth of the load of e0.
    tokens = selector.get_free_tokens(selector.pipelines[0])
    load.set_report(
        "old",
        {"e0": EngineUse(tokens * 80, 0), "e1": EngineUse(tokens * 16, 0)},
    )
    choices = Counter(
        selector.select(1, None, requires_capacity=False).entry.id for _ in range(300)
    )
    assert choices["e0"] < choices["e1"] < choices["e2"]
    # A report of this age still tells what is full, but not what is free.
    assert choices["e0"] < 300 / 10 < 300 / 5 < choices["e1"]


def test_mean_age_of_reports_is_that_of_the_reports_in_use():
    """Guards against an age that counts replaced or expired reports."""
    clock = ManualClock()
    load = EngineLoad(clock)
    assert load.get_mean_report_age() == timedelta(0)
    for router_id in ("a", "b", "a"):
        load.set_report(router_id, {})
        clock.advance(SECOND)
    # The reports of b and a are two seconds and one second old.
    assert load.get_mean_report_age() == 1.5 * SECOND
    load.expire_reports(1.5 * SECOND)
    assert load.get_mean_report_age() == SECOND


def test_silent_router_is_forgotten():
    """Guards against places held indefinitely by a router that has crashed."""
    clock = ManualClock()
    load = EngineLoad(clock)
    load.set_report("dead", {"a": EngineUse(1000.0, 5)})
    assert load.get("a").entry_count == 5
    clock.advance(4 * SECOND)
    load.expire_reports(3 * SECOND)
    assert load.get("a").entry_count == 0


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["r1", "r2", "r3"]),
            st.dictionaries(
                st.sampled_from(["a", "b"]),
                st.tuples(st.integers(0, 10**6), st.integers(0, 9)),
            ),
            st.integers(0, 2),
        ),
        max_size=20,
    )
)
def test_use_by_others_is_the_sum_of_their_last_reports(reports):
    """Guards against use counted twice or kept after its report has expired."""
    clock = ManualClock()
    load = EngineLoad(clock)
    last = {}
    for router_id, uses, seconds in reports:
        clock.advance(timedelta(seconds=seconds))
        load.expire_reports(3 * SECOND)
        last = {r: v for r, v in last.items() if clock.monotonic() - v[0] <= 3 * SECOND}
        uses = {key: EngineUse(float(t), n) for key, (t, n) in uses.items()}
        load.set_report(router_id, uses)
        last[router_id] = (clock.monotonic(), uses)
        for server_id in ("a", "b"):
            parts = [v.get(server_id, EngineUse()) for _, v in last.values()]
            expected = EngineUse(
                sum(p.token_layers for p in parts), sum(p.entry_count for p in parts)
            )
            assert load.get(server_id) == expected
    clock.advance(timedelta(seconds=4))
    load.expire_reports(3 * SECOND)
    assert load.get("a") == load.get("b") == EngineUse()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
