"""Service of each class through a surge of the least urgent, then the most urgent."""

from __future__ import annotations

import random
import sys
from pathlib import Path

import curio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks._load import (
    LOW,
    MIDDLE,
    TARGET,
    URGENT,
    Arrival,
    Outcome,
    compute_quantile,
    count_tokens,
    make_poisson,
    print_figure,
    start_bench,
)

SEED = 12
REPLICAS = 2
STREAMS = 6
# Tokens a second that the fleet can serve, by its own settings.
CAPACITY = REPLICAS * STREAMS / 0.040
# Share of the capacity that each class asks for without a surge, and its length.
NORMAL_LOAD = {URGENT: 0.2, MIDDLE: 0.15, LOW: 0.3}
TOKENS = {URGENT: 6, MIDDLE: 12, LOW: 24}
SURGE = 10
FLOORS = {URGENT: 0.1, MIDDLE: 0.1, LOW: 0.05}
LOW_SURGE = (2.0, 18.0)
URGENT_SURGE = (18.0, 26.0)
ORGANISATIONS = {
    f"{name}-{number}": name for name in NORMAL_LOAD for number in range(4)
}


def make_arrivals(end: float) -> list[Arrival]:
    """Return the arrivals of normal load and both surges."""
    random_state = random.Random(SEED)
    arrivals = []
    for name, share in NORMAL_LOAD.items():
        rate = share * CAPACITY / TOKENS[name]

        def make(at: float, name: str = name) -> Arrival:
            number = random_state.randrange(4)
            return Arrival(at, f"{name}-{number}", TOKENS[name])

        arrivals += make_poisson(random_state, 0, end, rate, make)
        surge = {LOW: LOW_SURGE, URGENT: URGENT_SURGE}.get(name)
        if surge:
            extra = rate * (SURGE - 1)
            stop = min(end, surge[1])
            arrivals += make_poisson(random_state, surge[0], stop, extra, make)
    return sorted(arrivals, key=lambda arrival: arrival.at)


async def run_policy(policy: str, end: float) -> list[Outcome]:
    """Run the surges under one policy."""
    bench = await start_bench(ORGANISATIONS, policy, replicas=REPLICAS, streams=STREAMS)
    outcomes = await bench.run(make_arrivals(end), end)
    if policy == "admission":
        print_figure(
            "preemptions asked for",
            bench.routers[0].metrics.totals_by_name["admission.preempted"],
            "streams",
        )
    await bench.close()
    return outcomes


def select(
    outcomes: list[Outcome], class_name: str, period: tuple[float, float]
) -> list[Outcome]:
    """Select the requests of a class that were sent in a period."""
    return [
        outcome
        for outcome in outcomes
        if ORGANISATIONS[outcome.arrival.organisation] == class_name
        and period[0] <= outcome.arrival.at < period[1] - TARGET.total_seconds()
    ]


def get_share_in_time(outcomes: list[Outcome]) -> float:
    """Return the share whose first token came within the target."""
    target = TARGET.total_seconds()
    return sum(o.first_token <= target for o in outcomes) / len(outcomes)


def get_shares(
    outcomes: list[Outcome], period: tuple[float, float]
) -> dict[str, float]:
    """Return the share of the service that each class got in a period."""
    total = count_tokens(outcomes, *period)
    shares = {}
    for name in NORMAL_LOAD:
        own = [o for o in outcomes if ORGANISATIONS[o.arrival.organisation] == name]
        shares[name] = count_tokens(own, *period) / total
    return shares


async def main() -> None:
    ours = await run_policy("admission", URGENT_SURGE[1])
    # The baseline's backlog only grows; a part of the surge shows it.
    theirs = await run_policy("fcfs", LOW_SURGE[0] + 10)
    low_period = (LOW_SURGE[0], LOW_SURGE[0] + 10)
    urgent = select(ours, URGENT, LOW_SURGE)
    print_figure(
        "urgent requests within 0.85 s in a 10x surge of the least urgent",
        get_share_in_time(urgent),
        "",
        baseline=round(get_share_in_time(select(theirs, URGENT, low_period)), 4),
        target=0.99,
        requests=len(urgent),
    )
    p99 = compute_quantile([o.first_token for o in urgent], 0.99)
    print_figure("p99 time to the first token of these", p99, "s")
    base = get_shares(theirs, low_period)
    for surge_name, period in [("overnight", LOW_SURGE), ("urgent", URGENT_SURGE)]:
        shares = get_shares(ours, period)
        rate = count_tokens(ours, *period) / (period[1] - period[0])
        print_figure(f"throughput in the {surge_name} surge", rate, "tokens/s")
        for name in NORMAL_LOAD:
            # A class that asks for less than its floor is owed what it asks for.
            fields = {"floor": FLOORS[name], "asked_for": NORMAL_LOAD[name]}
            if surge_name == "overnight":
                fields["baseline"] = round(base[name], 4)
            title = f"share of {name} in the {surge_name} surge"
            print_figure(title, shares[name], "", **fields)
    surged = select(ours, URGENT, URGENT_SURGE)
    print_figure(
        "urgent requests within 0.85 s in their own 10x surge, which exceeds the fleet",
        get_share_in_time(surged),
        "",
        requests=len(surged),
        refused=sum(o.status == 429 for o in surged),
    )


if __name__ == "__main__":
    curio.run(main)
