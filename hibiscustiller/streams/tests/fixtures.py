"""A stream runner with a fleet of simulated engines."""

import random
from datetime import timedelta

from hibiscustiller.configuration import parse_document
from hibiscustiller.limits import AdmissionController
from hibiscustiller.routing import RoutePlanner, ServerLoads
from hibiscustiller.standins import (
    MODEL,
    MODEL_LAYERS,
    compute_answer,
    start_fleet,
)
from hibiscustiller.streams import CrashRegistry, StreamRequest, StreamRunner
from hibiscustiller.utils import SystemClock
from hibiscustiller.wire import HttpClient


class FixedBudget:
    """Retry budget with a fixed number of retries."""

    def __init__(self, left):
        self.left = left
        self.requests = 0

    def record_request(self):
        self.requests += 1

    def try_spend(self):
        self.left -= 1
        return self.left >= 0


class RecordingObserver:
    """Records the events that it observes and the number of streams in flight."""

    def __init__(self):
        self.events = []
        self.in_flight = 0

    def record_start(self, route, cost):
        self.in_flight += 1

    def record_token(self, route, delay, is_first):
        self.events.append("first" if is_first else "token")

    def record_refusal(self, server):
        self.events.append(f"refused {server}")

    def record_failure(self, server):
        self.events.append(f"failed {server}")

    def record_completion(self, route):
        self.in_flight -= 1


class RecordingAdmission(AdmissionController):
    """Records the requests, the grants and the tokens charged on release."""

    def __init__(self, plan_route):
        super().__init__(plan_route)
        self.requests = []
        self.grants = []
        self.open_grants = set()
        self.charged_tokens = []

    async def admit(self, request):
        self.requests.append(request)
        admitted = await super().admit(request)
        if admitted.is_ok():
            self.grants.append(admitted.ok_value)
            self.open_grants.add(admitted.ok_value)
        return admitted

    async def release(self, grant, used_tokens):
        self.charged_tokens.append(used_tokens)
        self.open_grants.remove(grant)
        await super().release(grant, used_tokens)


class StreamHarness:
    """A simulated fleet, a stream runner and the objects that record their events."""

    @classmethod
    async def start(
        cls,
        replicas=3,
        budget=None,
        estimator=None,
        token_ms=2,
        next_byte_timeout=timedelta(milliseconds=600),
    ):
        self = cls()
        self.clock = SystemClock()
        token_time = timedelta(milliseconds=token_ms)
        self.fleet = await start_fleet(self.clock, replicas, token_time)
        self.engines = self.fleet.engines_by_id
        self.config = parse_document(self.fleet.document, "test")
        self.loads = ServerLoads(self.clock)
        self.planner = RoutePlanner(
            "domain-0",
            lambda: self.config,
            lambda server: True,
            lambda server: True,
            self.loads,
            random.Random(3),
        )
        self.admission = RecordingAdmission(
            lambda r: self.planner.plan_route(
                r.model, r.prompt, r.get_avoided_servers()
            )
        )
        self.observer = RecordingObserver()
        self.registry = CrashRegistry(self.clock)
        self.registry.subscribe(self.admission.handle_changed_routes)
        self.client = HttpClient(self.clock)
        self.runner = StreamRunner(
            self.client,
            self.admission,
            [self.loads, self.observer],
            next_byte_timeout,
            self.clock,
            random.Random(5),
            self.registry,
            budget,
            estimator(lambda: self.config) if estimator else None,
        )
        self.delivered = []
        await self.admission.start()
        return self

    async def close(self):
        await self.client.close()
        await self.admission.stop()
        await self.fleet.close()

    async def run(self, prompt="a b", max_tokens=20, on_token=None, **options):
        """Run a request; ``on_token`` is awaited with the number of tokens."""
        count = 0

        async def deliver(token):
            nonlocal count
            count += 1
            self.delivered.append(token)
            if on_token is not None:
                await on_token(count)

        request = make_request(prompt, max_tokens, **options)
        return await self.runner.run(request, deliver)

    def find_first_stages(self):
        """Return the engines that run a stream as its first stage."""
        return [engine for engine in self.engines.values() if engine.running]

    def find_last_stage(self):
        """Return the engine of the last stage of the latest grant's route."""
        route = self.admission.grants[-1].route
        return self.engines[route.stages[-1].server]


def make_request(prompt, max_tokens, request_id="r1", **options):
    return StreamRequest(
        request_id, "greens", "confirmations", 0, MODEL, prompt, max_tokens, **options
    )


def compute_expected(prompt, max_tokens):
    return compute_answer(MODEL, "1", MODEL_LAYERS, prompt, max_tokens)
