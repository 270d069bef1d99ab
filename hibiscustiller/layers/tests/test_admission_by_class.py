"""Admission by class and organisation under overload, in simulated time.

The requests of three classes and several organisations meet the pipelines of one
domain. Each caller that is refused returns once, at the time that it was told.
"""

import heapq
import json
import random
import sys
from collections import Counter
from dataclasses import dataclass, field, replace
from datetime import timedelta
from unittest import mock

import curio
from result import Ok

from hibiscustiller.layers import (
    Admission,
    AdmissionPolicy,
    Demand,
    EngineLoad,
    PipelineSelector,
    find_pipelines,
)
from hibiscustiller.layers._place_messages import pack_waits
from hibiscustiller.layers.tests.fixtures import MS, SPEC, LayerRange, make_engine
from hibiscustiller.utils import ManualClock, RefusalReason
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
# Three pipelines with memory for some 55 requests of the usual size each.
ENGINES = [
    make_engine(f"{name}{number}", "large", "north", LayerRange(*layers))
    for name in "abc"
    for number, layers in enumerate(((0, 27), (27, 54), (54, 80)))
]
# Arrivals per second of each class. With bursts they exceed what can be served, which
# is about 41 per second at this mean time for which places are held.
RATES = {0: 22, 1: 11, 2: 9}
MEAN_HOLD = 4 * SECOND
STEP = 5 * MS


@dataclass
class Bench:
    """An allocator's admission whose waits end in simulated time."""

    has_policy: bool = True
    random_state: random.Random = field(default_factory=lambda: random.Random(7))

    def __post_init__(self):
        self.clock = ManualClock()
        self.load = EngineLoad(self.clock)
        self.selector = PipelineSelector("north", self.load, self.clock)
        self.selector.set_pipelines(SPEC, find_pipelines(SPEC, ENGINES))
        # Both kinds of admission meet the same arrivals.
        policy = AdmissionPolicy(random.Random(1)) if self.has_policy else None
        self.admission = Admission(
            self.selector,
            self.load,
            self.clock,
            random.Random(2),
            domain="north",
            policy=policy,
        )
        self.timeouts = []
        self.returns = []
        self.ends = []
        self.number = 0
        # Number of requests by class, organisation and outcome.
        self.counts = Counter()

    async def wait(self, timeout, event):
        """Wait for an event in simulated time."""
        self._push(self.timeouts, timeout, event)
        await event.wait()

    def _push(self, heap, delay, item):
        self.number += 1
        heapq.heappush(heap, (self.clock.monotonic() + delay, self.number, item))

    def _pop_due(self, heap):
        while heap and heap[0][0] <= self.clock.monotonic():
            yield heapq.heappop(heap)[2]

    async def request(self, demand, hold_time):
        """Make a request, and arrange for its end or its return."""
        result = await self.admission.admit(demand)
        kind = "late" if demand.is_return else "in time"
        if isinstance(result, Ok):
            self._push(self.ends, hold_time, result.ok_value)
        elif demand.is_return:
            kind = "refused"
        else:
            retry_after = result.err_value.retry_after
            time_left = demand.remaining_time - retry_after
            again = replace(demand, is_return=True, remaining_time=time_left)
            self._push(self.returns, retry_after, (again, hold_time))
            kind = "refused first"
        self.counts[demand.priority, demand.organisation, kind] += 1

    async def run(self, duration, get_rate, organisations="abcdef"):
        """Let requests arrive.

        :param get_rate: returns the arrivals per second at a time, by class and
            organisation.
        """
        path = "hibiscustiller.layers._admission.wait_for_event"
        end = self.clock.monotonic() + duration
        with mock.patch(path, self.wait):
            while self.clock.monotonic() < end:
                await self._step(get_rate, organisations)

    async def _step(self, get_rate, organisations):
        self.clock.advance(STEP)
        for event in self._pop_due(self.timeouts):
            await event.set()
        for grant in self._pop_due(self.ends):
            await self.admission.release(grant)
        arrivals = list(self._pop_due(self.returns))
        seconds = self.clock.monotonic().total_seconds()
        for priority in RATES:
            for organisation in organisations:
                rate = get_rate(seconds, priority, organisation)
                if self.random_state.random() < rate * STEP.total_seconds():
                    hold_time = MEAN_HOLD * self.random_state.uniform(0.2, 1.8)
                    arrivals.append((make_demand(priority, organisation), hold_time))
        for demand, hold_time in arrivals:
            await curio.spawn(self.request, demand, hold_time, daemon=True)
        for _ in range(3):
            await curio.sleep(0)
        # A router looks for free places four times a second beside releases.
        if round(seconds * 1000) % 250 == 0:
            await self.admission.grant_waiting()

    def count(self, kind, **criteria):
        """Count requests of a kind, of a class and an organisation."""
        return sum(
            count
            for (priority, organisation, other), count in self.counts.items()
            if other == kind
            and criteria.get("priority", priority) == priority
            and criteria.get("organisation", organisation) == organisation
        )

    def get_share_in_time(self, **criteria):
        """Return the share of the callers that were answered at their first try."""
        in_time = self.count("in time", **criteria)
        return in_time / (in_time + self.count("refused first", **criteria))

    def count_served(self):
        return self.count("in time") + self.count("late")

    def fill(self, priority, organisation="a"):
        """Let a class take places until it gets none."""
        grants = []
        while grant := self.admission.try_admit(make_demand(priority, organisation)):
            grants.append(grant)
        return grants


def make_demand(priority, organisation="a", **fields):
    target = 1000 * MS if priority == 2 else 500 * MS
    tokens = SPEC.mean_held_tokens
    demand = Demand(priority, organisation, tokens, target, None, 20 * SECOND)
    return replace(demand, **fields)


def make_bursts(*bursts):
    """Return the arrival rates with bursts of 2.5 times the rate of a class.

    :param bursts: class, begin and end in seconds of each burst.
    """

    def get_rate(seconds, priority, organisation):
        factor = 1.0
        for burst_priority, begin, end in bursts:
            if priority == burst_priority and begin <= seconds < end:
                factor = 2.5
        return RATES[priority] * factor / 6

    return get_rate


async def wait_for_place(bench, demand):
    """Start a request that waits, and return its task."""
    task = await curio.spawn(bench.admission.admit, demand, daemon=True)
    await curio.sleep(0)
    return task


async def simulate(get_rate, **parameters):
    """Return how the same requests fare without and with a policy."""
    benches = Bench(has_policy=False), Bench()
    for bench in benches:
        await bench.run(24 * SECOND, get_rate, **parameters)
    return benches


def check_burst(plain, bench):
    """Check that the most urgent class gains and that hardly a place is idle."""
    in_time = {
        priority: bench.get_share_in_time(priority=priority) for priority in RATES
    }
    assert in_time[0] > plain.get_share_in_time(priority=0) + 0.02
    assert in_time[0] > in_time[1] > in_time[2]
    assert bench.count("refused", priority=0) < plain.count("refused", priority=0)
    assert bench.count_served() > 0.97 * plain.count_served()


async def test_an_urgent_burst_finds_room_after_a_less_urgent_one():
    """Guards against places that a burst of the least urgent class keeps."""
    check_burst(*await simulate(make_bursts((2, 3.4, 10), (0, 13, 17))))


async def test_a_less_urgent_burst_does_not_displace_urgent_requests():
    """Guards against a reserve that ends together with the urgent burst."""
    check_burst(*await simulate(make_bursts((0, 3.4, 8), (2, 9, 15))))


async def test_a_less_urgent_class_keeps_its_floor_beside_an_urgent_burst():
    """Guards against a class that gets nothing while more urgent requests wait."""
    bench = Bench()
    await bench.run(12 * SECOND, lambda s, p, o: 6 * RATES[p] if p == 0 else RATES[p])
    classes = bench.admission.describe()["classes"]
    capacity = bench.admission.describe()["capacity"]
    for priority in "12":
        assert 0.08 * capacity < classes[priority]["held"] < 0.12 * capacity


async def test_calm_traffic_is_served_as_without_a_policy():
    """Guards against places that are kept free although nobody else asks."""
    plain, bench = await simulate(make_bursts())
    assert bench.count_served() >= plain.count_served() - 3
    assert bench.count("refused") == 0


async def test_the_burst_of_one_organisation_is_at_its_own_expense():
    """Guards against one organisation that takes the places of the others."""

    def get_rate(seconds, priority, organisation):
        if priority != 1:
            return 0.0
        return 60.0 if organisation == "a" and seconds > 3 else 3.0

    plain, bench = await simulate(get_rate)
    others = [bench.get_share_in_time(organisation=name) for name in "bcdef"]
    before = [plain.get_share_in_time(organisation=name) for name in "bcdef"]
    assert min(others) > 0.95 and sum(others) >= sum(before)
    assert bench.count_served() > 0.97 * plain.count_served()


async def test_a_single_class_uses_all_places():
    """Guards against a reserve for classes that send no requests."""
    plain, bench = Bench(has_policy=False), Bench()
    assert len(bench.fill(2)) == len(plain.fill(2))


async def test_room_is_kept_for_a_moment_after_an_urgent_request_was_refused():
    """Guards against places that less urgent requests take after such a refusal."""
    bench = Bench()
    assert bench.admission.try_admit(make_demand(0))
    grants = bench.fill(2)
    impatient = make_demand(0, target_latency=1 * MS)
    refused = await bench.admission.admit(impatient)
    assert refused.err_value.message == "no place"
    await bench.admission.release(grants.pop())
    assert bench.admission.try_admit(make_demand(2)) is None
    low = await wait_for_place(bench, make_demand(2, target_latency=60 * SECOND))
    # Other routers must learn of the room, which urgent requests may use.
    assert bench.admission.count_free_tokens() > 0
    assert bench.admission.try_admit(make_demand(0)) is not None
    assert bench.admission.count_free_tokens() == 0
    bench.clock.advance(600 * MS)
    await bench.admission.release(grants.pop())
    await curio.sleep(0)
    assert low.terminated


async def test_a_waiting_urgent_request_gets_the_next_place():
    """Guards against a less urgent class that goes on beyond its floor."""
    bench = Bench()
    bench.admission.try_admit(make_demand(0))
    grants = bench.fill(2)
    patient = {"target_latency": 60 * SECOND}
    low = await wait_for_place(bench, make_demand(2, "b", **patient))
    high = await wait_for_place(bench, make_demand(0, "c", **patient))
    assert bench.admission.try_admit(make_demand(2)) is None
    await bench.admission.release(grants.pop())
    await curio.sleep(0)
    assert high.terminated and not low.terminated
    await bench.admission.release(grants.pop())
    await curio.sleep(0)
    assert low.terminated


async def test_streams_that_lost_their_pipeline_take_what_is_reserved():
    """Guards against a begun stream that ends because room is kept for new ones."""
    bench = Bench()
    bench.fill(0)
    high = await wait_for_place(bench, make_demand(0))
    assert not high.terminated
    assert bench.admission.find_replacement(make_demand(2), ()) is not None
    await high.cancel()


async def test_returning_requests_go_before_first_requests_of_their_class():
    """Guards against an appointment that is worth nothing when its caller comes."""
    bench = Bench()
    grants = bench.fill(1)
    tasks = []
    for organisation, is_return in (("b", False), ("b", True), ("c", False)):
        demand = make_demand(
            1, organisation, is_return=is_return, target_latency=60 * SECOND
        )
        tasks.append(await wait_for_place(bench, demand))
        # Without a rate of releases, the second request would be refused at once.
        await bench.admission.release(
            bench.admission.reserve(grants[0].pipeline, make_demand(1, "z"))
        )
    first, returning, other = tasks
    await bench.admission.release(grants.pop())
    await curio.sleep(0)
    assert returning.terminated and not first.terminated and not other.terminated
    for task in tasks:
        await task.cancel()


async def test_places_of_appointments_that_are_not_kept_go_to_others():
    """Guards against places that wait for callers who never return."""
    bench = Bench()
    grants = bench.fill(1)
    for _ in range(20):
        await bench.admission.admit(make_demand(1, target_latency=1 * MS))
    for grant in grants[:20]:
        await bench.admission.release(grant)
    bench.clock.advance(6 * SECOND)
    assert len(bench.fill(1, "b")) == 20


async def test_a_new_allocator_reserves_nothing_until_it_has_seen_arrivals():
    """Guards against a reserve from a forecast without observations."""
    bench = Bench()
    pipeline = bench.selector.pipelines[0]
    for _ in range(5):
        bench.admission.record_place(pipeline, 900, make_demand(0))
    plain = Bench(has_policy=False)
    assert len(bench.fill(2)) >= len(plain.fill(2)) - 6
    state = json.loads(json.dumps(bench.admission.describe()))
    assert state["classes"]["0"]["held"] == 5 * 900
    assert state["classes"]["2"]["reserve"] == 0


async def test_a_request_that_would_not_end_in_time_is_refused_at_once():
    """Guards against requests that wait although their answers would be cut."""
    bench = Bench()
    await bench.run(8 * SECOND, make_bursts())
    bench.fill(0)
    result = await bench.admission.admit(make_demand(0, remaining_time=1 * SECOND))
    assert result.err_value.reason is RefusalReason.DEADLINE


async def test_expected_waits_rise_with_the_class():
    """Guards against summaries that send urgent requests away from free places."""
    bench = Bench()
    assert bench.admission.expect_waits() == {}
    await bench.run(3 * SECOND, make_bursts())
    assert bench.admission.expect_waits() == dict.fromkeys(RATES, 0 * SECOND)
    await bench.run(9 * SECOND, lambda s, p, o: 2 * RATES[p])
    waits = bench.admission.expect_waits()
    assert 0 * SECOND < waits[0] < waits[1] <= waits[2]
    sent = pack_waits({0: waits[0], 2: timedelta.max})
    assert [(wait.priority, wait.wait_ms) for wait in sent] == [
        (0, waits[0] // MS),
        (2, 60000),
    ]


async def test_an_admission_without_a_policy_is_as_before():
    """Guards against new rules in small fleets."""
    bench = Bench(has_policy=False)
    bench.fill(2)
    low = await wait_for_place(bench, make_demand(2))
    await bench.admission.release(
        bench.admission.reserve(bench.selector.pipelines[0], make_demand(2))
    )
    assert bench.admission.try_admit(make_demand(0)) is None
    assert bench.admission.expect_waits() == {}
    assert bench.admission.describe() == {"waiting": 1}
    refused = bench.admission.refuse(make_demand(1), RefusalReason.OVERLOADED, "test")
    assert 1.5 * SECOND <= refused.retry_after <= 4.5 * SECOND
    await low.cancel()


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
