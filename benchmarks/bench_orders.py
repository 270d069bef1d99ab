"""Time and store calls of an order, with and without claims, at several rates.

The stand-ins of the store and of the booking service run in another process. Orders
with an idempotency key and orders without, which write no claim, alternate in one run;
the latter are the baseline. One JSON line is printed for each figure.
"""

from __future__ import annotations

import json
import multiprocessing
import random
import statistics
import time
from datetime import timedelta
from typing import Any

import curio
from result import Ok

from hibiscustiller.configuration import ServiceConfig
from hibiscustiller.orders import ServiceCall, ServiceForwarder
from hibiscustiller.platform import EtcdStore
from hibiscustiller.settings import Address
from hibiscustiller.standins import BookingStandin, PlatformStandin
from hibiscustiller.utils import Metrics, OrganisationId, ServiceName, SystemClock
from hibiscustiller.wire import HttpClient

ANY_PORT = Address("127.0.0.1", 0)
RATES = (1, 10, 100)
SECONDS_PER_RATE = 10
REPLAYS = 200
SEQUENTIAL_ORDERS = 300
TIMEOUT = timedelta(seconds=5)
STOCK = 10**9


def run_standins(connection: Any) -> None:
    """Serve store and bookings until the process is ended."""

    async def run() -> None:
        clock = SystemClock()
        platform = PlatformStandin(ANY_PORT, clock)
        booking = BookingStandin(ANY_PORT, clock, STOCK)
        await platform.start()
        await booking.start()
        connection.send((platform.address, booking.address))
        await curio.sleep(3600)

    curio.run(run)


class OrderBench:
    """One router's forwarder, and the time of each order."""

    def __init__(self, platform: Address, booking: Address) -> None:
        clock = SystemClock()
        random_state = random.Random(1)
        self.metrics = Metrics()
        self.client = HttpClient(clock)
        store = EtcdStore(self.client, platform, TIMEOUT, metrics=self.metrics)
        self.forwarder = ServiceForwarder(
            self.client, store, random_state, clock, self.metrics
        )
        self.service = ServiceConfig(
            ServiceName("booking"), (booking,), ("POST *",), TIMEOUT
        )
        self.seconds_by_kind: dict[str, list[float]] = {"claimed": [], "plain": []}

    async def order(self, key: str | None) -> None:
        """Send one order and note its time."""
        call = ServiceCall(
            OrganisationId("greens"),
            "POST",
            "/bookings",
            b'{"quantity":1}',
            "application/json",
            key,
        )
        started = time.perf_counter()
        sent = await self.forwarder.forward(self.service, call)
        elapsed = time.perf_counter() - started
        if not isinstance(sent, Ok):
            raise RuntimeError(f"order failed: {sent.err_value}")
        self.seconds_by_kind["plain" if key is None else "claimed"].append(elapsed)

    def count_calls(self, kind: str | None = None) -> int:
        """Return the store calls so far, of one kind or of all."""
        totals = self.metrics.totals_by_name
        names = [name for name in totals if name.startswith("store.calls.")]
        if kind is not None:
            names = [f"store.calls.{kind}"]
        return sum(totals[name] for name in names)

    async def run_rate(self, rate: int) -> None:
        """Send claimed and plain orders at a rate each."""
        for seconds in self.seconds_by_kind.values():
            seconds.clear()
        calls = self.count_calls()
        writes = self.count_calls("txn")
        started = time.perf_counter()
        tasks = []
        count = rate * SECONDS_PER_RATE
        for index in range(count):
            # Half a period apart, so that the two kinds do not delay each other.
            for offset, key in ((0.0, f"{rate}-{index}"), (0.5, None)):
                due = started + (index + offset) / rate
                await curio.sleep(max(0.0, due - time.perf_counter()))
                tasks.append(await curio.spawn(self.order, key))
        for task in tasks:
            await task.join()
        elapsed = time.perf_counter() - started
        self._print_rate(rate, count, calls, writes, elapsed)

    def _print_rate(
        self, rate: int, count: int, calls: int, writes: int, elapsed: float
    ) -> None:
        claimed, plain = self.seconds_by_kind["claimed"], self.seconds_by_kind["plain"]
        name = f"order_ms_{{}}_at_{rate}_per_s"
        for label, choose in (("p50", statistics.median), ("p95", pick_p95)):
            print_figure(name.format(label), choose(claimed) * 1e3, choose(plain) * 1e3)
        per_order = (self.count_calls() - calls) / count
        print_figure(f"store_calls_per_order_at_{rate}_per_s", per_order, 0.0)
        per_second = (self.count_calls("txn") - writes) / elapsed
        print_figure(f"store_writes_per_s_at_{rate}_orders_per_s", per_second, 0.0)

    async def run_cpu(self) -> None:
        """Measure this process's CPU time of an order, one after another."""
        seconds = {}
        for kind in ("claimed", "plain"):
            started = time.process_time()
            for index in range(SEQUENTIAL_ORDERS):
                # Below the bucket's rate, so that no order is refused.
                await curio.sleep(0.012)
                await self.order(f"cpu-{index}" if kind == "claimed" else None)
            seconds[kind] = (time.process_time() - started) / SEQUENTIAL_ORDERS
        print_figure("order_cpu_ms", seconds["claimed"] * 1e3, seconds["plain"] * 1e3)

    async def run_replays(self) -> None:
        """Measure repeats of an order that is done."""
        await self.order("replayed")
        for seconds in self.seconds_by_kind.values():
            seconds.clear()
        for _ in range(REPLAYS):
            await curio.sleep(0.012)
            await self.order("replayed")
            await self.order(None)
        claimed, plain = self.seconds_by_kind["claimed"], self.seconds_by_kind["plain"]
        print_figure(
            "replay_ms_p50",
            statistics.median(claimed) * 1e3,
            statistics.median(plain) * 1e3,
        )


def pick_p95(values: list[float]) -> float:
    """Return the 95th percentile by rank."""
    return sorted(values)[min(len(values) - 1, int(len(values) * 0.95))]


def print_figure(name: str, figure: float, baseline: float) -> None:
    """Print one figure as a JSON line."""
    line = {
        "name": name,
        "figure": round(figure, 3),
        "baseline": round(baseline, 3),
        "ratio": round(figure / baseline, 3) if baseline else None,
        "baseline_is": "the same order without a claim",
    }
    print(json.dumps(line), flush=True)


async def measure(platform: Address, booking: Address) -> None:
    """Print all figures."""
    bench = OrderBench(platform, booking)
    # The hour's lease and the connections are not part of an order's cost.
    await bench.order("first")
    for rate in RATES:
        await bench.run_rate(rate)
    await bench.run_replays()
    await bench.run_cpu()
    await bench.client.close()


def main() -> None:
    """Start the stand-ins, measure, and end them."""
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe()
    standins = context.Process(target=run_standins, args=(there,), daemon=True)
    standins.start()
    try:
        platform, booking = here.recv()
        curio.run(measure, platform, booking)
    finally:
        standins.terminate()


if __name__ == "__main__":
    main()
