"""Property-based tests and simulated load surges of the admission controller."""

import random
import sys
from collections import Counter

import curio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from hibiscustiller.limits.tests.fixtures import (
    CLASSES,
    FLOORS,
    LOW,
    MIDDLE,
    MODELS,
    URGENT,
    WEIGHTS,
    Harness,
)
from hibiscustiller.utils._testing import collect_tests

QUEUE_LIMIT = 12
CLASS_LIMIT = 8
MAX_COST_TOKENS = 40
MAX_PREEMPTIONS = 2
MAX_EXAMPLES = 120
STEPS_PER_EXAMPLE = 60

models = st.sampled_from(MODELS)
classes = st.sampled_from(CLASSES)
organisations = st.sampled_from(sorted(WEIGHTS))
costs = st.integers(1, MAX_COST_TOKENS)


class AdmissionMachine(RuleBasedStateMachine):
    """Checks each grant against the policy, evaluated by a scan of all queues."""

    def __init__(self):
        super().__init__()
        self.kernel = curio.Kernel()
        self.harness = Harness(2, QUEUE_LIMIT, queue_limit=CLASS_LIMIT)
        self.harness.fleet.on_plan = self.check_grant
        # Counters by model and class since the class last had no backlog: tokens
        # granted by the model, tokens granted to the class, tokens granted to it ahead
        # of more urgent classes, and the unused part of the latter.
        self.granted_tokens = Counter()
        self.served_tokens = Counter()
        self.floor_tokens = Counter()
        self.unused_floor_tokens = Counter()
        self.floor_requests = set()
        self.preemptions = Counter()
        self.arrival_count = 0
        self.ended_ids = set()

    def run(self, function, *args, **options):
        async def call():
            return await function(*args, **options)

        return self.kernel.run(call)

    def list_queues(self, model):
        queues = self.harness.controller._models_by_name[model].queues
        return [q for q in queues.queues_by_class.values() if len(q)]

    def check_grant(self, request):
        """Check that the policy allows the grant of a request."""
        assert request.request_id not in self.harness.refusals
        assert request.request_id not in self.harness.grants
        queues = self.list_queues(request.model)
        own_queue = next(q for q in queues if q.config.name == request.class_name)
        self.served_tokens[request.model, request.class_name] += request.cost
        for queue in queues:
            self.granted_tokens[request.model, queue.config.name] += request.cost
        if any(queue.config.rank < own_queue.config.rank for queue in queues):
            self.check_floor(request)
        if len(own_queue) == 1:
            self.reset_counters(request.model, request.class_name)
        if request.is_resumed:
            return
        assert not own_queue.resumed_by_sequence
        attained = {
            name: self.harness.ledger.get_attained(name, request.class_name)
            / WEIGHTS[name]
            for name in own_queue.queues_by_organisation
        }
        least_attained = min(attained.values())
        assert attained[request.organisation] <= least_attained + 1e-6, attained

    def check_floor(self, request):
        """Check that a class precedes more urgent ones only within its floor."""
        key = request.model, request.class_name
        self.floor_tokens[key] += request.cost
        self.floor_requests.add(request.request_id)
        guaranteed = (
            FLOORS[request.class_name] * self.granted_tokens[key]
            + self.unused_floor_tokens[key]
        )
        assert self.floor_tokens[key] <= guaranteed + 1e-6, (
            key,
            self.floor_tokens,
            guaranteed,
        )

    @rule(model=models, name=classes, organisation=organisations, cost=costs)
    def arrive(self, model, name, organisation, cost):
        self.arrival_count += 1
        self.run(self.harness.arrive, name, organisation, cost, model)

    @rule(model=models, organisation=organisations, count=st.integers(1, 9))
    def arrive_urgent(self, model, organisation, count):
        for _ in range(count):
            self.arrive(model, URGENT, organisation, 10)

    @rule(data=st.data())
    def release(self, data):
        if self.harness.grants:
            request_id = data.draw(st.sampled_from(sorted(self.harness.grants)))
            used_tokens = data.draw(
                st.integers(0, self.harness.grants[request_id].request.cost)
            )
            self.record_unused_tokens(request_id, used_tokens)
            self.ended_ids.add(request_id)
            self.run(self.harness.release, request_id, used_tokens)

    def record_unused_tokens(self, request_id, used_tokens):
        request = self.harness.grants[request_id].request
        if request_id in self.floor_requests:
            self.floor_requests.remove(request_id)
            self.unused_floor_tokens[request.model, request.class_name] += (
                request.cost - used_tokens
            )

    @rule(data=st.data())
    def resume(self, data):
        preempted = [n for n, g in self.harness.grants.items() if g.preempted.is_set()]
        if preempted:
            request_id = data.draw(st.sampled_from(preempted))
            self.preemptions[request_id] += 1
            cost = self.harness.grants[request_id].request.cost
            used_tokens = data.draw(st.integers(0, cost))
            self.record_unused_tokens(request_id, used_tokens)
            self.run(self.harness.resume, request_id, used_tokens)

    @rule(data=st.data())
    def cancel(self, data):
        if self.harness.tasks:
            request_id = data.draw(st.sampled_from(sorted(self.harness.tasks)))
            self.ended_ids.add(request_id)
            self.run(self.harness.cancel, request_id)

    @rule(model=models, limit=st.integers(0, 4))
    def change_limit(self, model, limit):
        self.harness.fleet.limits[model] = limit
        self.harness.controller.handle_raised_limit()
        self.run(self.harness.advance, 0)

    @rule(seconds=st.sampled_from([0.01, 0.3, 2, 20]))
    def advance(self, seconds):
        self.run(self.harness.advance, seconds)

    @invariant()
    def every_request_is_accounted_for(self):
        harness = self.harness
        counts = harness.controller.count_queued()
        assert sum(counts.values()) == len(harness.tasks), counts
        states = [harness.tasks, harness.grants, harness.refusals, self.ended_ids]
        assert sum(map(len, states)) == self.arrival_count
        assert sum(harness.fleet.in_use.values()) == len(harness.grants)

    @invariant()
    def queues_are_bounded(self):
        waiting_by_class = Counter()
        for model in self.harness.controller._models_by_name:
            for queue in self.list_queues(model):
                waiting_by_class[queue.config.name] += len(queue.new_by_sequence)
        assert sum(waiting_by_class.values()) <= QUEUE_LIMIT
        assert all(count <= CLASS_LIMIT for count in waiting_by_class.values())

    @invariant()
    def capacity_is_used(self):
        for model in self.harness.controller._models_by_name:
            free = self.harness.fleet.limits[model] - self.harness.fleet.in_use[model]
            assert free <= 0 or not self.list_queues(model)

    @invariant()
    def preemptions_are_bounded(self):
        assert all(n <= MAX_PREEMPTIONS for n in self.preemptions.values())

    @invariant()
    def floors_are_kept(self):
        """A backlogged class receives its floor, to within the cost of two requests."""
        for key in list(self.granted_tokens):
            model = self.harness.controller._models_by_name[key[0]]
            if not len(model.queues.queues_by_class[key[1]]):
                self.reset_counters(*key)
            guaranteed = FLOORS[key[1]] * self.granted_tokens[key]
            assert self.served_tokens[key] >= guaranteed - 2 * MAX_COST_TOKENS, (
                key,
                guaranteed,
            )

    def reset_counters(self, *key):
        for counter in (
            self.granted_tokens,
            self.served_tokens,
            self.floor_tokens,
            self.unused_floor_tokens,
        ):
            counter.pop(key, None)

    def teardown(self):
        self.run(self.harness.controller.stop)
        self.kernel.run(shutdown=True)


def test_random_runs():
    """Guards against lost requests, exceeded limits and grants out of order."""
    options = settings(
        derandomize=True,
        deadline=None,
        max_examples=MAX_EXAMPLES,
        stateful_step_count=STEPS_PER_EXAMPLE,
    )
    run_state_machine_as_test(AdmissionMachine, settings=options)


class Simulation:
    """Simulates streams of a fixed token rate in steps of the manual clock.

    The capacity is 20 streams of 25 tokens per second, or 500 tokens per second.
    """

    STREAMS = 20
    TOKENS_PER_SECOND = 25.0
    STEP_SECONDS = 0.02

    def __init__(self, seed):
        self.random_state = random.Random(seed)
        self.harness = Harness(self.STREAMS, 600, queue_limit=300)
        self.time = 0.0
        self.tokens_left = {}
        self.arrived_at = {}
        self.waits_by_class = {name: [] for name in CLASSES}
        self.tokens = Counter()
        self.preemption_counts = Counter()
        self.pending_arrivals = Counter()

    async def run(self, seconds, load_by_class):
        """Run the simulation with a constant load.

        :param seconds: simulated duration.
        :param load_by_class: load in tokens per second, in requests of 30 tokens.
        """
        for _ in range(round(seconds / self.STEP_SECONDS)):
            for name, load in load_by_class.items():
                self.pending_arrivals[name] += load * self.STEP_SECONDS / 30
                while self.pending_arrivals[name] >= 1:
                    self.pending_arrivals[name] -= 1
                    await self.arrive(name)
            await self.harness.advance(self.STEP_SECONDS)
            self.time += self.STEP_SECONDS
            await self.step_streams()

    async def arrive(self, name):
        organisation = self.random_state.choice(sorted(WEIGHTS))
        request_id = f"s{len(self.arrived_at)}"
        self.arrived_at[request_id] = self.time, name
        await self.harness.arrive(name, organisation, 30, request_id=request_id)

    async def step_streams(self):
        for request_id, grant in list(self.harness.grants.items()):
            if request_id not in self.tokens_left:
                self.tokens_left[request_id] = float(grant.request.cost)
                started, name = self.arrived_at[request_id]
                if not grant.request.is_resumed:
                    self.waits_by_class[name].append((started, self.time - started))
            tokens = min(
                self.TOKENS_PER_SECOND * self.STEP_SECONDS, self.tokens_left[request_id]
            )
            self.tokens_left[request_id] -= tokens
            self.tokens[grant.request.class_name] += tokens
            if self.tokens_left[request_id] <= 1e-9:
                del self.tokens_left[request_id]
                await self.harness.release(request_id)
            elif grant.preempted.is_set():
                tokens_left = self.tokens_left.pop(request_id)
                self.preemption_counts[request_id] += 1
                await self.harness.resume(
                    request_id, grant.request.cost - round(tokens_left)
                )


async def run_surges(surges):
    """Run consecutive surges.

    :returns: the service shares, urgent waits and total tokens of each surge, and the
        simulation.
    """
    simulation = Simulation(3)
    normal = {URGENT: 60, MIDDLE: 60, LOW: 100}
    await simulation.run(5, normal)
    results = []
    for name, load in surges:
        simulation.tokens.clear()
        for waits in simulation.waits_by_class.values():
            waits.clear()
        await simulation.run(15, {**normal, name: load})
        total = sum(simulation.tokens.values())
        shares = {name: simulation.tokens[name] / total for name in CLASSES}
        # The urgent backlog of an earlier surge lasts at most for its deadline, which
        # is excluded from the waits.
        window_started_at = simulation.time - 10
        urgent = [
            wait
            for at, wait in simulation.waits_by_class[URGENT]
            if at >= window_started_at
        ]
        results.append((shares, urgent, total))
    return results, simulation


async def test_surges_in_either_order():
    """Guards against a surge of one class that deprives the others of service."""
    low, urgent = (LOW, 1000), (URGENT, 600)
    for surges in ([low, urgent], [urgent, low]):
        results, simulation = await run_surges(surges)
        for (name, _), (shares, waits, total) in zip(surges, results, strict=True):
            assert total > 0.95 * 500 * 15, (name, total)
            if name is LOW:
                assert max(waits) <= 0.85, max(waits)
                # Both use 0.12 of the capacity and lose nothing to the surge.
                assert shares[URGENT] >= 0.11 and shares[MIDDLE] >= 0.11, shares
            else:
                # An urgent surge leaves the other classes at least their floors. The
                # tolerance of 0.01 covers streams that run when the surge begins.
                assert shares[MIDDLE] >= min(60 / 500, FLOORS[MIDDLE]) - 0.01, shares
                assert shares[LOW] >= FLOORS[LOW] - 0.01, shares
        assert max(simulation.preemption_counts.values(), default=0) <= MAX_PREEMPTIONS


def load_tests(loader, tests, pattern):
    return collect_tests(sys.modules[__name__])
