"""Time of one admission decision, by organisations and by queue length."""

from __future__ import annotations

import random
import sys
import time
from datetime import timedelta
from pathlib import Path

import curio
from result import Err, Ok

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks._load import MIDDLE, print_figure
from hibiscustiller.configuration import FleetConfig, build_config
from hibiscustiller.limits import AdmissionController, AdmissionRequest
from hibiscustiller.routing import Route
from hibiscustiller.utils import (
    Refusal,
    RefusalReason,
    SystemClock,
    Verdict,
)

SEED = 14
MODEL = "m"
RUNNING = 64
DECISIONS = 3000
ROUTE = Route(MODEL, "1", (), timedelta(0))


class Slots:
    """A fixed number of streams, in place of routes and servers."""

    def __init__(self) -> None:
        self.in_use = 0

    def plan(self, request: AdmissionRequest) -> Ok[Route] | Err[Refusal]:
        """Return a route while a stream is free."""
        if self.in_use < RUNNING:
            return Ok(ROUTE)
        refusal = Refusal(RefusalReason.OVERLOADED, Verdict.NOT_RUN, "full")
        return Err(refusal)

    def subscribe(self, listener: object) -> None:
        """Ignore a listener."""

    def reserve_route(self, route: Route) -> None:
        """Take a stream."""
        self.in_use += 1

    def release_route(self, route: Route) -> None:
        """Give a stream back."""
        self.in_use -= 1


def make_config(organisations: int) -> FleetConfig:
    """Return a document with one class and many organisations."""
    sections = {
        f"model {MODEL}": {"layers": "1"},
        f"class {MIDDLE}": {
            "rank": "0",
            "deadline": "1h",
            "floor": "0.1",
            "queue_limit": "100000",
        },
    }
    for number in range(organisations):
        sections[f"organisation o{number}"] = {
            "key_sha256": f"{number:064x}",
            "priority_class": MIDDLE,
        }
    return build_config(sections)


async def measure(organisations: int, queued: int) -> float:
    """Measure a release with its grant and an arrival that queues.

    :returns: microseconds a decision, of which these are two.
    """
    random_state = random.Random(SEED)
    config = make_config(organisations)
    slots = Slots()
    controller = AdmissionController(
        slots.plan,
        lambda: config,
        SystemClock(),
        server_limits=slots,  # type: ignore[arg-type]
        queue_limit=queued + RUNNING,
    )
    granted = []

    async def ask(number: int) -> None:
        name = f"o{random_state.randrange(organisations)}"
        cost = random_state.randint(10, 400)
        request = AdmissionRequest(f"r{number}", name, MIDDLE, MODEL, "p", cost)
        granted.append((await controller.admit(request)).ok_value)

    tasks = []
    for number in range(RUNNING + queued):
        tasks.append(await curio.spawn(ask, number, daemon=True))
    await curio.sleep(0)
    numbers = range(RUNNING + queued, RUNNING + queued + DECISIONS)
    # The tasks' own start is measured apart and taken off.
    started = time.perf_counter()
    for number in numbers:
        grant = granted.pop(random_state.randrange(len(granted)))
        await controller.release(grant, grant.request.cost // 2)
        tasks.append(await curio.spawn(ask, number, daemon=True))
        await curio.sleep(0)
    elapsed = time.perf_counter() - started
    for task in tasks:
        await task.cancel()
    return elapsed / (2 * DECISIONS) * 1e6


async def measure_idle() -> float:
    """Measure the same loop with tasks that do nothing."""

    async def ask(number: int) -> None:
        await curio.sleep(0)

    started = time.perf_counter()
    for number in range(DECISIONS):
        await curio.spawn(ask, number, daemon=True)
        await curio.sleep(0)
    return (time.perf_counter() - started) / (2 * DECISIONS) * 1e6


def measure_scan(organisations: int, queued: int) -> float:
    """Measure the baseline: a scan of all waiters for the least served one."""
    random_state = random.Random(SEED)
    attained = [0.0] * organisations
    waiting = [
        (random_state.randrange(organisations), number) for number in range(queued)
    ]
    count = min(DECISIONS, 300)
    started = time.perf_counter()
    for number in range(count):
        index = min(range(len(waiting)), key=lambda i: attained[waiting[i][0]])
        organisation, _ = waiting.pop(index)
        attained[organisation] += 10
        waiting.append((random_state.randrange(organisations), queued + number))
    return (time.perf_counter() - started) / (2 * count) * 1e6


async def main() -> None:
    idle = await measure_idle()
    figures = {}
    for organisations, queued in [(10, 10), (1400, 10), (10, 5000), (1400, 5000)]:
        value = await measure(organisations, queued) - idle
        figures[organisations, queued] = value
        print_figure(
            f"time a decision, {organisations} organisations, {queued} queued",
            value,
            "us",
            baseline=round(measure_scan(organisations, queued), 2),
        )
    growth = figures[1400, 5000] / figures[10, 10]
    print_figure("growth from the smallest to the largest case", growth, "")


if __name__ == "__main__":
    curio.run(main)
