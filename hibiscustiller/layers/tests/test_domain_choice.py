"""Choice between domains by old summaries, in a simulation without a network."""

import heapq
import math
import random
import sys
from collections import Counter, deque
from dataclasses import replace
from datetime import timedelta

from result import Err, Ok

from hibiscustiller.layers import (
    Demand,
    EngineLoad,
    Pipeline,
    PipelineSelector,
    SharedAdmission,
    Stage,
)
from hibiscustiller.layers._domain_choice import DomainSummary, choose_domains
from hibiscustiller.layers.tests.fixtures import MS, LayerRange, make_engine
from hibiscustiller.utils import ManualClock
from hibiscustiller.utils._testing import collect_tests

DOMAINS = ("north", "east", "south")
DEMAND = Demand(0, "one", 1.0, 500 * MS, None, 20000 * MS)
MAX_WAIT_S = 0.3
PLACES = 60
HOLD_S = 1.8


class Simulation:
    """Three domains of equal size, whose routers read summaries of each second."""

    def __init__(self, names_waits, rates=(30, 30, 30), swing=0.0, lost=0, seed=0):
        self.random_state = random.Random(seed)
        self.names_waits = names_waits
        self.rates_by_domain = dict(zip(DOMAINS, rates, strict=True))
        self.swing = swing
        self.lost = lost
        self.free_by_domain = dict.fromkeys(DOMAINS, PLACES)
        self.queues_by_domain = {domain: deque() for domain in DOMAINS}
        self.releases_by_domain = {domain: deque() for domain in DOMAINS}
        self.summaries_by_domain = {}
        self.counts = Counter()
        self.events = []
        self.now = 0.0

    def run(self, time_s=60):
        """Simulate; return the shares of the requests refused and served elsewhere."""
        for domain in DOMAINS:
            self.plan(0.0, self.arrive, domain)
            self.plan(self.random_state.random(), self.announce, domain)
        self.plan(10.0, self.lose, DOMAINS[0])
        while self.events and self.now < time_s:
            self.now, _, handle, value = heapq.heappop(self.events)
            handle(value)
        asked = self.counts["asked"]
        return self.counts["refused"] / asked, self.counts["crossed"] / asked

    def plan(self, after, handle, value):
        order = len(self.events) + self.random_state.random()
        heapq.heappush(self.events, (self.now + after, order, handle, value))

    def estimate_wait(self, domain):
        queue, releases = self.queues_by_domain[domain], self.releases_by_domain[domain]
        if self.free_by_domain[domain] > 0 and not queue:
            return 0.0
        while releases and releases[0] < self.now - 1:
            releases.popleft()
        return (len(queue) + 1) / max(0.5, len(releases))

    def announce(self, domain):
        free = 0 if self.queues_by_domain[domain] else self.free_by_domain[domain]
        wait = timedelta(seconds=self.estimate_wait(domain))
        waits = {0: wait} if self.names_waits else {}
        self.summaries_by_domain[domain] = self.now, max(0, free), waits
        self.plan(1.0, self.announce, domain)

    def lose(self, domain):
        self.free_by_domain[domain] -= self.lost

    def arrive(self, domain):
        phase = self.now / 15 + DOMAINS.index(domain) / len(DOMAINS)
        rate = self.rates_by_domain[domain]
        rate *= 1 + self.swing * math.sin(2 * math.pi * phase)
        self.plan(self.random_state.expovariate(rate), self.arrive, domain)
        self.counts["asked"] += 1
        summaries = dict.fromkeys(DOMAINS, DomainSummary())
        for name, (sent_at, free, waits) in self.summaries_by_domain.items():
            age = timedelta(seconds=self.now - sent_at)
            summaries[name] = DomainSummary(free, waits, age)
        attempts = choose_domains(domain, summaries, DEMAND, self.random_state)
        if not any(self.ask(domain, *attempt) for attempt in attempts):
            self.counts["refused"] += 1

    def ask(self, home, domain, may_wait):
        """Return whether a domain takes a request, or lets it wait."""
        queue = self.queues_by_domain[domain]
        if self.free_by_domain[domain] > 0 and not queue:
            self.grant(home, domain)
        elif may_wait and self.estimate_wait(domain) <= MAX_WAIT_S:
            queue.append((self.now, home))
        else:
            return False
        return True

    def grant(self, home, domain):
        self.counts["crossed"] += home != domain
        self.free_by_domain[domain] -= 1
        hold_s = HOLD_S * self.random_state.uniform(0.5, 1.5)
        self.plan(hold_s, self.release, domain)

    def release(self, domain):
        self.free_by_domain[domain] += 1
        self.releases_by_domain[domain].append(self.now)
        queue = self.queues_by_domain[domain]
        while queue and self.free_by_domain[domain] > 0:
            since, home = queue.popleft()
            if self.now - since > MAX_WAIT_S:
                self.counts["refused"] += 1
            else:
                self.grant(home, domain)


class Client:
    """Allocators of two domains that refuse requests, with names of the domains."""

    uses_allocators = True

    def __init__(self, answer_time=timedelta(0), accepting=()):
        self.clock = ManualClock()
        self.answer_time = answer_time
        self.accepting = accepting
        self.asked = []

    def get_summary(self, service, domain):
        return DomainSummary(0, {0: 100 * MS})

    async def ask(self, query):
        self.clock.advance(self.answer_time)
        self.asked.append((query.domain, query.may_wait))
        return Ok(None) if query.domain in self.accepting else Err(query.domain)


async def admit(client):
    """Ask for a place from the north, whose queue is as long as that of the east."""
    load = EngineLoad(client.clock)
    selector = PipelineSelector("north", load, client.clock)
    engines = [make_engine(d, "large", d, LayerRange(0, 40)) for d in DOMAINS[:2]]
    selector.pipelines = tuple(
        Pipeline((Stage(engine, LayerRange(0, 40)),)) for engine in engines
    )
    admission = SharedAdmission(
        "engines", "north", None, selector, client, random.Random(1)
    )
    return await admission.admit(DEMAND)


def compare(**load):
    """Return the mean shares refused without and with waits, and the crossings."""
    shares = []
    for names_waits in (False, True):
        results = [Simulation(names_waits, seed=n, **load).run() for n in range(4)]
        shares.append(
            [sum(column) / len(results) for column in zip(*results, strict=True)]
        )
    (refused_before, crossed_before), (refused, crossed) = shares
    return refused_before, refused, crossed_before, crossed


def choose(own, others, seeds=1, domain="north", **fields):
    """Count the choices between an own domain and others by (free tokens, wait)."""
    summaries = {
        name: DomainSummary(
            free, {} if wait is None else {0: timedelta(seconds=wait)}, **fields
        )
        for name, (free, wait) in zip(DOMAINS, [own, *others], strict=False)
    }
    return Counter(
        tuple(choose_domains(domain, summaries, DEMAND, random.Random(seed)))
        for seed in range(seeds)
    )


def test_waves_out_of_step_do_not_refuse_requests_beside_room():
    """Guards against refusals in one domain while the queue of another is short."""
    refused_before, refused, crossed_before, crossed = compare(swing=0.55)
    assert refused < 0.75 * refused_before, (refused, refused_before)
    assert crossed < 1.4 * crossed_before, (crossed, crossed_before)


def test_a_domain_that_lost_its_fast_engines_is_relieved():
    """Guards against a domain that refuses most of its requests after a loss."""
    refused_before, refused, _, crossed = compare(rates=(28, 28, 28), lost=40)
    assert refused < 0.9 * refused_before, (refused, refused_before)
    assert crossed < 0.3


def test_uneven_demand_is_spread():
    """Guards against a queue that moves from domain to domain with each summary."""
    refused_before, refused, _, _ = compare(rates=(45, 28, 25), swing=0.2)
    assert refused < 0.75 * refused_before, (refused, refused_before)


def test_the_own_domain_is_preferred_while_it_has_room():
    """Guards against charges for traffic between domains in a calm."""
    assert choose((50, 0), [(500, 0), (500, 0)], seeds=30).keys() <= {
        (("north", False), (other, False), ("north", True), (last, True))
        for other in DOMAINS[1:]
        for last in DOMAINS[1:]
    }


def test_a_short_wait_does_not_justify_a_crossing():
    """Guards against crossings that gain less than they cost."""
    choices = choose((0, 0.025), [(0, 0.0), (500, 0.0)], seeds=50)
    assert all(attempts[0] == ("north", True) for attempts in choices), choices


def test_a_request_that_every_domain_would_refuse_asks_its_own_only():
    """Guards against messages and appointments at domains that cannot help."""
    choices = choose((0, 5.0), [(0, 0.4), (0, 9.0)], seeds=20)
    assert choices == {(("north", True),): 20}


def test_a_queue_is_left_by_a_part_of_the_requests_only():
    """Guards against hundreds of routers that move to the shortest queue at once."""
    choices = choose((0, 0.3), [(0, 0.0), (0, 0.0)], seeds=400)
    counts = Counter()
    for attempts, count in choices.items():
        counts[attempts[0][0]] += count
    assert counts["north"] > 200
    assert min(counts["east"], counts["south"]) > 20, counts


async def test_a_request_refused_at_once_waits_in_another_domain():
    """Guards against refusals by a queue that grew since its summary."""
    client = Client(accepting=("east",))
    assert (await admit(client)).is_ok()
    assert client.asked == [("north", True), ("east", True)]
    # The own allocator knows when room is expected, and its answer is the last word.
    client = Client()
    assert (await admit(client)).err_value == "north"
    assert len(client.asked) == 2


async def test_a_request_that_has_waited_is_not_sent_to_another_queue():
    """Guards against a refusal that comes after two waits, too late to be of use."""
    client = Client(answer_time=300 * MS, accepting=("east",))
    assert (await admit(client)).err_value == "north"
    assert client.asked == [("north", True)]


def test_unknown_and_old_waits_are_used_as_before():
    """Guards against a fleet of mixed versions that loses its choice of domains."""
    expected = {(("north", False), ("east", False), ("north", True)): 9}
    assert choose((50, None), [(500, None)], seeds=9) == expected
    old = timedelta(seconds=2)
    assert choose((50, 0.2), [(500, 0.1)], seeds=9, age=old) == expected
    assert choose((0, None), [(2, None)]) == {(("north", True),): 1}
    assert choose((None, None), []) == {(("north", True),): 1}


def test_a_route_without_a_target_latency_waits_in_its_own_domain():
    """Guards against an error for requests that may not wait at all."""
    demand = replace(DEMAND, target_latency=timedelta(0))
    summaries = dict.fromkeys(DOMAINS, DomainSummary(0, {0: timedelta(0)}))
    attempts = choose_domains("north", summaries, demand, random.Random(1))
    assert attempts == [("north", True)]


def test_a_router_without_pipelines_in_its_domain_uses_another_one():
    """Guards against refusals at routers whose domain has no engines."""
    choices = choose((0, 0.2), [(50, 0.0)], domain="west")
    assert all(attempts[0] == ("east", True) for attempts in choices), choices


def test_the_wait_of_a_class_that_is_not_named_is_bounded_by_the_others():
    """Guards against a class without arrivals that counts as one that never waits."""
    summary = DomainSummary(0, {0: 10 * MS, 2: 90 * MS})
    assert summary.get_wait(1) == 90 * MS
    assert summary.get_wait(3) == 90 * MS
    assert summary.get_wait(0) == 10 * MS


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
