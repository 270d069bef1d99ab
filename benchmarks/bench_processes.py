"""Three routers as processes: a host dies, another is replaced, a change spreads.

Callers behave as behind a balancer: a request that gets no answer is repeated at
another router, an order with the same idempotency key.
"""

from __future__ import annotations

import random
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

import curio

sys.path.insert(0, str(Path(__file__).resolve().parent))

from processes import (
    ProcessFleet,
    RouterProcess,
    make_directory,
    print_figure,
    propose,
    propose_document,
)

from hibiscustiller.configuration import parse_sections
from hibiscustiller.exceptions import TransportError
from hibiscustiller.settings import Address
from hibiscustiller.standins import (
    MODEL,
    MODEL_LAYERS,
    ORGANISATION_KEYS_BY_ID,
    TEAM_KEYS_BY_ID,
    compute_answer,
)
from hibiscustiller.utils import SystemClock
from hibiscustiller.wire import HttpAnswer, HttpClient

ROUTERS = 3
REPLICAS = 3
CALLERS = 12
RUN_TIME = timedelta(seconds=12)
KILL_AT = timedelta(seconds=3)
REPLACE_AT = timedelta(seconds=6)
TIMEOUT = timedelta(seconds=10)
MAX_TOKENS = 30
SEED = 5


@dataclass
class Tally:
    """What callers saw."""

    counts: Counter[str] = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)
    last_lost_at: timedelta | None = None


class Bench:
    """Drives the fleet."""

    def __init__(self, fleet: ProcessFleet) -> None:
        self.fleet = fleet
        self.clock = SystemClock()
        self.client = HttpClient(self.clock)
        self.random_state = random.Random(SEED)
        self.tally = Tally()
        self.killed_at = timedelta(0)
        # Routers that the balancer sends requests to.
        self.in_rotation = list(fleet.routers)

    async def run(self) -> None:
        """Run everything and print the figures."""
        await propose_document(self.fleet, self.client)
        for router in self.fleet.routers:
            await self.await_revision(router, 1)
        idle_memory = [router.read_memory_mb() for router in self.fleet.routers]
        end = self.clock.monotonic() + RUN_TIME
        events = await curio.spawn(self.disturb)
        async with curio.TaskGroup() as group:
            for number in range(CALLERS):
                await group.spawn(self.call_until, number, end)
        spread = await events.join()
        await self.report(spread, idle_memory)

    async def disturb(self) -> timedelta:
        """Kill one router, replace another, then change the document."""
        victim, replaced, _ = self.fleet.routers
        await self.clock.sleep(KILL_AT)
        victim.process.send_signal(signal.SIGKILL)
        self.killed_at = self.clock.monotonic()
        await curio.run_in_thread(victim.process.wait)
        self.fleet.start_router(victim)
        # The balancer's health check finds the death late.
        await self.clock.sleep(timedelta(seconds=1))
        self.in_rotation.remove(victim)
        await self.await_revision(victim, 1)
        self.in_rotation.append(victim)
        remaining = KILL_AT + REPLACE_AT - RUN_TIME / 2
        await self.clock.sleep(remaining)
        replaced.process.send_signal(signal.SIGTERM)
        await self.clock.sleep(timedelta(milliseconds=500))
        self.in_rotation.remove(replaced)
        await curio.run_in_thread(replaced.process.wait)
        self.fleet.start_router(replaced)
        await self.await_revision(replaced, 1)
        self.in_rotation.append(replaced)
        return await self.measure_spread()

    async def measure_spread(self) -> timedelta:
        """Change a section at one router and wait for it everywhere."""
        changes = {"organisation notes": {"weight": "2"}}
        started = self.clock.monotonic()
        router = self.fleet.routers[0]
        await propose(router, self.client, 1, "weight", changes, "tizas")
        for router in self.fleet.routers:
            await self.await_revision(router, 2)
        return self.clock.monotonic() - started

    async def await_revision(self, router: RouterProcess, revision: int) -> None:
        """Wait until a router has a revision in force."""
        address = Address("127.0.0.1", router.administration)
        headers = {"authorization": f"Bearer {TEAM_KEYS_BY_ID['carnbeg']}"}
        end = self.clock.monotonic() + TIMEOUT
        while self.clock.monotonic() < end:
            try:
                answer = await self.client.request(
                    address, "GET", "/admin/in-force", timeout=TIMEOUT, headers=headers
                )
                if answer.status == 200 and answer.read_json()["revision"] >= revision:
                    return
            except TransportError:
                pass
            await self.clock.sleep(timedelta(milliseconds=20))
        raise TimeoutError(f"router {router.number} has not reached {revision}")

    async def call_until(self, caller: int, end: timedelta) -> None:
        """Send completions and orders, one after another."""
        number = 0
        while self.clock.monotonic() < end:
            number += 1
            if number % 3:
                await self.complete(f"caller {caller} request {number}")
            else:
                await self.order(f"{caller}-{number}")

    async def complete(self, prompt: str) -> None:
        """Send a completion; repeat it elsewhere if its router is lost."""
        body = {"model": MODEL, "prompt": prompt, "max_tokens": MAX_TOKENS}
        answer = await self.send("/v1/completions", body, {})
        if answer is None or answer.status != 200:
            return
        text = answer.read_json()["choices"][0]["text"]
        if text.split() != compute_answer(MODEL, "1", MODEL_LAYERS, prompt, MAX_TOKENS):
            self.tally.problems.append(f"wrong answer to {prompt}")
        self.tally.counts["completed"] += 1

    async def order(self, key: str) -> None:
        """Send an order; repeat it elsewhere with its key if its router is lost."""
        body = {"order": key, "quantity": 1}
        answer = await self.send(
            "/v1/services/booking/bookings", body, {"idempotency-key": key}
        )
        if answer is not None and answer.status == 201:
            self.tally.counts["booked"] += 1

    async def send(
        self, path: str, body: object, headers: dict[str, str]
    ) -> HttpAnswer | None:
        """Send to a router in rotation, at most three times."""
        for _ in range(3):
            router = self.random_state.choice(self.in_rotation)
            key = ORGANISATION_KEYS_BY_ID["greens"]
            try:
                answer = await self.client.request_json(
                    Address("127.0.0.1", router.callers),
                    "POST",
                    path,
                    body,
                    timeout=TIMEOUT,
                    headers={"authorization": f"Bearer {key}", **headers},
                )
            except TransportError:
                self.tally.counts["connections lost"] += 1
                self.tally.last_lost_at = self.clock.monotonic()
                continue
            if answer.status < 400:
                return answer
            reason = answer.read_json()["error"]["reason"]
            verdict = answer.headers_by_name.get("x-verdict")
            self.tally.counts[f"refused {reason}/{verdict}"] += 1
            return answer
        return None

    async def report(self, spread: timedelta, idle_memory: list[float]) -> None:
        """Print one JSON line for each figure."""
        seconds = RUN_TIME.total_seconds()
        for kind, count in sorted(self.tally.counts.items()):
            print_figure(kind, count, "requests")
        print_figure("wrong answers", len(self.tally.problems), "requests")
        lost_for = timedelta(0)
        if self.tally.last_lost_at is not None:
            lost_for = max(timedelta(0), self.tally.last_lost_at - self.killed_at)
        print_figure(
            "time from the kill to the last lost connection",
            lost_for.total_seconds(),
            "s",
        )
        answered = self.tally.counts["completed"] + self.tally.counts["booked"]
        print_figure("requests answered", answered / seconds, "1/s")
        print_figure("change in force at all routers", spread.total_seconds(), "s")
        print_figure("router memory at rest", max(idle_memory), "MB")
        memory = max(router.read_memory_mb() for router in self.fleet.routers)
        print_figure("router memory under load", memory, "MB")
        booked = await self.count_bookings()
        print_figure("orders confirmed but not in stock", booked, "orders")

    async def count_bookings(self) -> int:
        """Return confirmed orders less those that the booking services hold."""
        sections = parse_sections(self.fleet.document, "fleet.ini")
        held = 0
        for text in sections["service booking"]["addresses"].split(","):
            host, _, port = text.strip().rpartition(":")
            address = Address(host, int(port))
            answer = await self.client.request(
                address, "GET", "/stock", timeout=TIMEOUT
            )
            held += 1000 - answer.read_json()["stock"]
        return self.tally.counts["booked"] - held


def main() -> None:
    """Run the benchmark."""
    with make_directory() as directory:
        fleet = ProcessFleet(ROUTERS, REPLICAS, Path(directory))
        try:
            fleet.start()
            curio.run(Bench(fleet).run)
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
