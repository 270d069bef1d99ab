"""Memory of places under answers unlike their hints, without a network."""

import random
import sys
from dataclasses import replace

from hibiscustiller.layers import (
    Admission,
    AnswerLengths,
    Demand,
    EngineLoad,
    PipelineSelector,
    PlaceOutcome,
    find_pipelines,
)
from hibiscustiller.layers.tests.fixtures import MS, SPEC, LayerRange, make_engine
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

PROMPT, HINT = 700, 200
DEMAND = Demand(
    1, "one", PROMPT + HINT / 2, 500 * MS, None, 20000 * MS, answer_tokens=HINT
)
ENGINES = [
    make_engine(f"a{number}", "large", "north", layers)
    for number, layers in enumerate(
        (LayerRange(0, 27), LayerRange(27, 54), LayerRange(54, 80))
    )
]


class Bench:
    """The allocator's admission to one pipeline, whose answers have given lengths."""

    def __init__(self):
        clock = ManualClock()
        self.load = EngineLoad(clock)
        self.selector = PipelineSelector("north", self.load, clock)
        self.selector.set_pipelines(SPEC, find_pipelines(SPEC, ENGINES))
        self.admission = Admission(
            self.selector,
            self.load,
            clock,
            random.Random(1),
            domain="north",
            answer_lengths=AnswerLengths(),
        )

    async def serve(self, *ratios, demand=DEMAND):
        """Serve requests one after another."""
        for ratio in ratios:
            grant = self.admission.try_admit(demand)
            outcome = PlaceOutcome(answer_tokens=ratio * demand.answer_tokens)
            await self.admission.release(grant, outcome)

    def fill(self, demand=DEMAND):
        """Grant all places; return how many there are."""
        grants = []
        while (grant := self.admission.try_admit(demand)) is not None:
            grants.append(grant)
        return grants

    def get_filled_share(self, count, ratio):
        """Return the used share of memory of requests with answers of a length."""
        tokens = count * (PROMPT + ratio * HINT / 2)
        pipeline = self.selector.pipelines[0]
        return EngineLoad.get_filled_share(
            EngineLoad(ManualClock()), SPEC, pipeline, tokens
        )


async def test_answers_far_longer_than_hinted_do_not_fill_the_memory():
    """Guards against an engine that rejects streams since those it has grew."""
    bench = Bench()
    unaware = bench.fill()
    assert bench.get_filled_share(len(unaware), 6) > 1.3
    bench = Bench()
    await bench.serve(*[6] * 40)
    grants = bench.fill()
    assert 0.8 < bench.get_filled_share(len(grants), 6) <= 0.92
    for grant in grants:
        await bench.admission.release(grant)
    # What was taken is given back, although the estimate changed meanwhile.
    assert bench.load.get_own_use() == {}


async def test_answers_shorter_than_hinted_leave_more_places():
    """Guards against refusals beside memory that is never used."""
    bench = Bench()
    unaware = len(bench.fill())
    bench = Bench()
    await bench.serve(*[0.25] * 40)
    assert len(bench.fill()) > 1.08 * unaware


async def test_few_samples_and_unknown_lengths_change_nothing():
    """Guards against an estimate by chance, or by answers that were not complete."""
    bench = Bench()
    await bench.serve(*[6] * 19)
    await bench.serve(*[0] * 40)
    # An older router does not say how long the answer is expected to be.
    await bench.serve(*[3] * 40, demand=replace(DEMAND, answer_tokens=0))
    assert bench.admission.try_admit(DEMAND).tokens == DEMAND.tokens


async def test_classes_have_their_own_lengths():
    """Guards against small requests that count as long ones of another class."""
    bench = Bench()
    await bench.serve(*[6] * 40)
    other = replace(DEMAND, priority=0)
    assert bench.admission.try_admit(other).tokens == DEMAND.tokens
    assert bench.admission.try_admit(DEMAND).tokens > 1.5 * DEMAND.tokens


def test_few_requests_get_a_larger_margin_than_many():
    """Guards against one long answer that fills a small pipeline."""
    lengths = AnswerLengths()
    for number in range(200):
        lengths.record(0, HINT, HINT * (0.5 if number % 2 else 1.5))
    few, many = (lengths.estimate_excess(0, HINT, count) for count in (1, 88))
    assert 0.4 * HINT / 2 < few < 0.6 * HINT / 2
    assert 0 < many < 0.1 * HINT / 2


def test_the_ratio_follows_a_change_and_bounds_nonsense():
    """Guards against a class that is judged by its answers of hours ago."""
    lengths = AnswerLengths()
    for _ in range(1000):
        lengths.record(0, HINT, HINT)
    for _ in range(150):
        lengths.record(0, HINT, 3 * HINT)
    assert lengths.estimate_excess(0, HINT, 50) > 1.8 * HINT / 2
    for _ in range(1000):
        lengths.record(0, 1, 10**9)
    assert lengths.estimate_excess(0, HINT, 50) <= 7.1 * HINT / 2


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
