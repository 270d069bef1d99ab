"""Throughput at twice the load that the fleet can serve."""

from __future__ import annotations

import random
import sys
from pathlib import Path

import curio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks._load import (
    MIDDLE,
    Arrival,
    Outcome,
    count_tokens,
    measure_bound,
    print_figure,
    start_bench,
)

SEED = 11
SECONDS = 13.0
# The queues fill and the first rates are measured before this time.
WARM_UP = 3.0
TOKENS = 24
# A caller counts as served if its first token came within this time.
DEADLINE = 3.0
ORGANISATIONS = {f"club-{number}": MIDDLE for number in range(8)}
OVERRIDES = {MIDDLE: {"deadline": f"{DEADLINE:g}s"}}


async def run_policy(policy: str, rate: float) -> list[Outcome]:
    """Run the overload under one policy.

    :param rate: requests a second.
    """
    random_state = random.Random(SEED)
    bench = await start_bench(ORGANISATIONS, policy, overrides=OVERRIDES)
    arrivals = []
    at = 0.0
    while at < SECONDS:
        at += random_state.expovariate(rate)
        name = random_state.choice(sorted(ORGANISATIONS))
        arrivals.append(Arrival(at, name, random_state.randint(8, 2 * TOKENS - 8)))
    outcomes = await bench.run(arrivals, SECONDS)
    await bench.close()
    return outcomes


def count_served(outcomes: list[Outcome]) -> int:
    """Count the tokens of answers that began in time."""
    in_time = [o for o in outcomes if o.first_token <= DEADLINE]
    return count_tokens(in_time, WARM_UP, SECONDS)


async def main() -> None:
    bench = await start_bench(ORGANISATIONS, "none")
    bound = await measure_bound(bench, 6.0)
    await bench.close()
    print_figure("fleet bound", bound, "tokens/s")
    rate = 2 * bound / TOKENS
    ours = await run_policy("admission", rate)
    theirs = await run_policy("none", rate)
    period = SECONDS - WARM_UP
    throughput = [count_tokens(o, WARM_UP, SECONDS) / period for o in (ours, theirs)]
    goodput = [count_served(o) / period for o in (ours, theirs)]
    for name, values in [("throughput", throughput), ("in-time throughput", goodput)]:
        shares = [value / bound for value in values]
        print_figure(
            f"{name} at 2x overload against the bound",
            shares[0],
            "",
            baseline=round(shares[1], 4),
            target=0.95,
        )
    refused = [o for o in ours if o.status == 429]
    delays = [o.arrival for o in refused if o.retry_after is None]
    print_figure("refused requests", len(refused), "requests", sent=len(ours))
    print_figure("refusals without Retry-After", len(delays), "requests")


if __name__ == "__main__":
    curio.run(main)
