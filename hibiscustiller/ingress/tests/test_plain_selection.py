"""Tests of the choice among plain servers, in small and in large fleets."""

import random
import sys
from collections import Counter
from dataclasses import replace
from datetime import timedelta

from hibiscustiller.fleet import ServiceSpec
from hibiscustiller.ingress._load_peaks import compute_load_peak
from hibiscustiller.ingress._plain_selection import PlainServerSelector
from hibiscustiller.layers import EngineLoad, EngineUse
from hibiscustiller.layers.tests.fixtures import SPEC, LayerRange, make_engine
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

SECOND = timedelta(seconds=1)
SERVERS = [replace(make_engine(f"s{n}", ""), slots=10) for n in range(5)]


class Router:
    """One router's selector, with what it knows."""

    def __init__(self, router_count, seed=1, domain="north"):
        self.clock = ManualClock()
        self.load = EngineLoad(self.clock)
        self.selector = PlainServerSelector(
            domain,
            self.load,
            self.clock,
            random.Random(seed),
            lambda: router_count,
        )

    def record(self, latency_by_id, failed=(), times=20):
        for server_id, latency_s in latency_by_id.items():
            for _ in range(times):
                self.selector.record_answer(
                    server_id, latency_s * SECOND, server_id in failed
                )

    def count_choices(self, servers=SERVERS, times=300):
        return Counter(self.selector.choose(servers).id for _ in range(times))


def report(counts):
    return {f"s{n}": EngineUse(0.0, count) for n, count in enumerate(counts)}


def test_small_fleet_chooses_the_cheapest_server():
    """Guards against a change of the choice where reports are fresh."""
    router = Router(router_count=12)
    router.load.set_report("other", report([2, 5, 5, 5, 5]))
    assert set(router.count_choices()) == {"s0"}


def test_large_fleet_spreads_requests_by_old_reports():
    """Guards against all routers choosing the server that looks best."""
    choices = Counter()
    for seed in range(60):
        router = Router(router_count=60, seed=seed)
        router.load.set_report("other", report([2, 5, 5, 5, 5]))
        router.clock.advance(2 * SECOND)
        choices[router.selector.choose(SERVERS).id] += 1
    # Its fair share is a fifth, and half as much again at its lower load.
    assert len(choices) == 5
    assert choices["s0"] < 60 / 2


def test_returned_server_is_not_rushed():
    """Guards against a server that looks fast since nothing is known of it."""
    router = Router(router_count=60)
    router.record({f"s{n}": 0.5 for n in range(1, 5)})
    router.load.set_report("other", report([0, 5, 5, 5, 5]))
    choices = router.count_choices()
    assert 300 / 10 < choices["s0"] < 300 / 2


def test_failing_server_gets_nothing_until_its_failures_have_aged():
    """Guards against a server that fails at once, which looks fast."""
    router = Router(router_count=60)
    latencies = {f"s{n}": 0.5 for n in range(5)}
    router.record({**latencies, "s0": 0.001}, failed={"s0"}, times=3)
    assert router.count_choices()["s0"] == 0
    router.clock.advance(30 * SECOND)
    assert router.count_choices()["s0"] > 0


def test_slow_server_is_avoided_until_its_latency_has_aged():
    """Guards against requests for a degraded server, and against its loss for good."""
    router = Router(router_count=60)
    router.record({**{f"s{n}": 0.1 for n in range(1, 5)}, "s0": 5.0})
    assert router.count_choices()["s0"] == 0
    router.clock.advance(30 * SECOND)
    assert router.count_choices()["s0"] > 0


def test_server_that_rejects_gets_fewer_requests_in_a_large_fleet():
    """Guards against a full server that attracts requests by fast rejections."""
    counts = {}
    for router_count in (12, 60):
        router = Router(router_count)
        router.record({f"s{n}": 0.1 for n in range(5)})
        for _ in range(3):
            router.selector.record_answer("s0", 0.001 * SECOND, False, is_rejected=True)
        counts[router_count] = router.count_choices()["s0"]
    # A small fleet chooses as before: by reports, which show what is full.
    assert counts[60] == 0 < counts[12]


def test_latency_is_learned_from_few_answers():
    """Guards against servers that look fast since this router knows them little."""
    router = Router(router_count=300)
    router.record({f"s{n}": 0.5 for n in range(1, 5)}, times=20)
    router.record({"s0": 0.5}, times=1)
    choices = router.count_choices()
    assert 300 / 10 < choices["s0"] < 300 / 3


def test_own_domain_is_preferred_in_a_large_fleet():
    """Guards against crossings while the own domain has room."""
    servers = [replace(s, domain="east") if s.id > "s2" else s for s in SERVERS]
    router = Router(router_count=60)
    router.load.set_report("other", report([2, 2, 2, 2, 2]))
    choices = router.count_choices(servers)
    assert choices["s3"] + choices["s4"] < 300 / 4


def test_load_peak_shows_uneven_load_of_a_service():
    """Guards against a metric that hides overloaded servers beside idle ones."""
    service, load = ServiceSpec("orders"), EngineLoad(ManualClock())
    assert compute_load_peak(service, SERVERS, load) == 1.0
    load.set_report("other", report([10, 0, 0, 0, 0]))
    assert compute_load_peak(service, SERVERS, load) == 5.0
    load.set_report("other", report([6, 6, 6, 6, 6]))
    assert compute_load_peak(service, SERVERS, load) == 1.0


def test_load_peak_of_engines_counts_their_memory():
    """Guards against engines without layers that make a service look uneven."""
    engines = [
        make_engine("a", "large", layers=LayerRange(0, 30)),
        make_engine("b", "large", layers=LayerRange(0, 30)),
        make_engine("spare", "large"),
    ]
    load = EngineLoad(ManualClock())
    load.set_report("other", {"a": EngineUse(1e6, 1), "b": EngineUse(0.0, 0)})
    assert compute_load_peak(ServiceSpec("m", SPEC), engines, load) == 2.0


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
