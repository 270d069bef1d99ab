"""Test harness of an admission controller with a fake fleet and a manual clock."""

from collections import Counter
from datetime import timedelta

import curio
from result import Err, Ok

from hibiscustiller.configuration import build_config
from hibiscustiller.limits import AdmissionController, AdmissionRequest, UsageLedger
from hibiscustiller.routing import Route
from hibiscustiller.utils import (
    ManualClock,
    Metrics,
    Refusal,
    RefusalReason,
    Verdict,
)

MODELS = ("m0", "m1")
URGENT, MIDDLE, LOW = "confirmations", "quotes", "overnight"
CLASSES = (URGENT, MIDDLE, LOW)
FLOORS = {URGENT: 0.1, MIDDLE: 0.2, LOW: 0.1}
WEIGHTS = {"o0": 1.0, "o1": 1.0, "o2": 2.0, "o3": 0.5}
KEY_PREFIX = "0" * 63


def make_config(queue_limit=20, deadlines=("5s", "15s", "60s")):
    sections = {f"model {model}": {"layers": "2"} for model in MODELS}
    for rank, (name, deadline) in enumerate(zip(CLASSES, deadlines, strict=True)):
        sections[f"class {name}"] = {
            "rank": str(rank),
            "deadline": deadline,
            "floor": str(FLOORS[name]),
            "queue_limit": str(queue_limit),
            "preemptible": "true" if name == LOW else "false",
        }
    for number, (name, weight) in enumerate(WEIGHTS.items()):
        sections[f"organisation {name}"] = {
            "key_sha256": f"{KEY_PREFIX}{number}",
            "priority_class": LOW,
            "weight": str(weight),
        }
    return build_config(sections)


class FakeFleet:
    """Planner and server limits with a fixed number of streams per model."""

    def __init__(self, limit):
        self.limits = dict.fromkeys(MODELS, limit)
        self.in_use = Counter()
        self.listeners = []
        self.on_plan = lambda request: None
        self.reason = RefusalReason.OVERLOADED

    def plan(self, request):
        is_full = self.in_use[request.model] >= self.limits[request.model]
        # One server represents the whole fleet. A request that must avoid any server
        # therefore has no route.
        if is_full or request.get_avoided_servers():
            return Err(Refusal(self.reason, Verdict.NOT_RUN, "no capacity"))
        self.on_plan(request)
        return Ok(Route(request.model, "1", (), timedelta(0)))

    def subscribe(self, listener):
        self.listeners.append(listener)

    def reserve_route(self, route):
        self.in_use[route.model] += 1

    def release_route(self, route):
        self.in_use[route.model] -= 1


class Harness:
    """Submits requests to a controller and records the outcome of each.

    :param limit: streams per model.
    :param total_limit: queue limit of all classes together.
    :param options: arguments of :func:`make_config`.
    """

    def __init__(self, limit=1, total_limit=30, **options):
        self.clock = ManualClock()
        self.config = make_config(**options)
        self.fleet = FakeFleet(limit)
        self.ledger = UsageLedger(self.clock)
        self.metrics = Metrics()
        self.controller = AdmissionController(
            self.fleet.plan,
            lambda: self.config,
            self.clock,
            self.ledger,
            self.fleet,
            self.metrics,
            total_limit,
        )
        self.tasks = {}
        self.grants = {}
        self.refusals = {}
        self.granted_ids = []
        self._number = 0

    async def arrive(
        self, class_name=LOW, organisation="o0", cost=10, model="m0", **options
    ):
        self._number += 1
        request_id = options.pop("request_id", f"r{self._number}")
        request = AdmissionRequest(
            request_id, organisation, class_name, model, "p", cost, **options
        )
        self.tasks[request_id] = await curio.spawn(self._run, request, daemon=True)
        await self.run_pending_tasks()
        return request_id

    async def _run(self, request):
        result = await self.controller.admit(request)
        self.tasks.pop(request.request_id, None)
        if isinstance(result, Ok):
            self.grants[request.request_id] = result.ok_value
            self.granted_ids.append(request.request_id)
        else:
            self.refusals[request.request_id] = result.err_value

    async def run_pending_tasks(self):
        for _ in range(3):
            await curio.sleep(0)

    async def release(self, request_id, used_tokens=None):
        grant = self.grants.pop(request_id)
        cost = grant.request.cost
        await self.controller.release(
            grant, cost if used_tokens is None else used_tokens
        )
        await self.run_pending_tasks()

    async def resume(self, request_id, used_tokens):
        """Release a preempted grant and resume its request, as a stream runner does."""
        grant = self.grants.pop(request_id)
        request = grant.request
        await self.controller.release(grant, used_tokens)
        return await self.arrive(
            request.class_name,
            request.organisation,
            max(1, request.cost - used_tokens),
            request.model,
            request_id=request_id,
            is_resumed=True,
        )

    async def cancel(self, request_id):
        task = self.tasks.pop(request_id)
        await task.cancel()
        await self.run_pending_tasks()

    async def advance(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))
        await self.controller.sweep()
        await self.run_pending_tasks()
