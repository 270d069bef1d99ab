"""Service of small organisations beside large ones."""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import curio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks._load import (
    MIDDLE,
    Arrival,
    Bench,
    Outcome,
    compute_quantile,
    count_prompt_tokens,
    count_tokens,
    make_poisson,
    print_figure,
    start_bench,
)

SEED = 13
SMALL, LARGE = "small-club", "large-company"
PAIR = {SMALL: MIDDLE, LARGE: MIDDLE}
TOKENS = (12, 36)
SMALL_RATE = 1.5
LARGE_FACTOR = 100
# A router of the planned fleet runs some 30 streams of a model. The pace is slower
# than there, so that one process can run the engines as well.
STREAMS = 14
TOKEN_TIME = timedelta(milliseconds=60)
PAIR_SECONDS = 11.0
# Backlogged organisations: open requests that each keeps, and their mean length.
DEMANDS = {
    "company-0": (24, 36),
    "company-1": (18, 24),
    "company-2": (12, 16),
    "club-0": (9, 24),
    "club-1": (9, 12),
    "club-2": (9, 8),
}
JAIN_SECONDS = 9.0


async def run_pair(policy: str, factor: float, seconds: float) -> list[Outcome]:
    """Run the small organisation, beside a large one if the factor is not 0.

    :returns: the small organisation's outcomes.
    """
    random_state = random.Random(SEED)
    bench = await start_bench(PAIR, policy, streams=STREAMS, token_time=TOKEN_TIME)

    def make(organisation: str) -> Callable[[float], Arrival]:
        return lambda at: Arrival(at, organisation, random_state.randint(*TOKENS))

    # The last answers have time to end before the load is cut off.
    arrivals = make_poisson(random_state, 1.0, seconds - 3.5, SMALL_RATE, make(SMALL))
    if factor:
        arrivals += make_poisson(
            random_state, 0.0, seconds, factor * SMALL_RATE, make(LARGE)
        )
    arrivals.sort(key=lambda arrival: arrival.at)
    outcomes = await bench.run(arrivals, seconds)
    await bench.close()
    return [o for o in outcomes if o.arrival.organisation == SMALL]


def ignore_totals(bench: Bench) -> None:
    """Let each router count its own usage only, for the baseline."""
    for router in bench.routers:
        router.usage.apply_totals = lambda entries: None


async def run_backlog(
    policy: str, routers: int, is_shared: bool, seconds: float = JAIN_SECONDS
) -> float:
    """Keep all organisations backlogged; return Jain's index of their service."""
    classes = dict.fromkeys(DEMANDS, MIDDLE)
    bench = await start_bench(classes, policy, routers=routers, streams=6)
    if not is_shared:
        ignore_totals(bench)
    random_state = random.Random(SEED)
    started = time.monotonic()
    outcomes: list[Outcome] = []

    async def repeat(name: str, tokens: int, router: int) -> None:
        while True:
            now = time.monotonic() - started
            length = random_state.randint(tokens // 2, tokens * 3 // 2)
            arrival = Arrival(now, name, length, router)
            outcome = await bench.send(arrival, started, outcomes)
            if outcome.status != 200:
                await curio.sleep(0.5)

    async with curio.TaskGroup(wait=all) as group:
        requests = [
            # Each club reaches one router only, companies reach all of them.
            (name, tokens, index % routers if "club" in name else number % routers)
            for index, (name, (count, tokens)) in enumerate(DEMANDS.items())
            for number in range(count)
        ]
        random_state.shuffle(requests)
        for request in requests:
            await group.spawn(repeat, *request)
        await curio.sleep(seconds)
        await group.cancel_remaining()
    await bench.close()
    service = []
    for name in DEMANDS:
        own = [o for o in outcomes if o.arrival.organisation == name]
        # Service is counted as admission counts it: prompts and answers.
        prompts = sum(count_prompt_tokens(o.arrival) for o in own if o.times)
        service.append(count_tokens(own, 0, seconds) + prompts)
    print(service, file=sys.stderr)
    return compute_jain(service)


def compute_jain(values: list[int]) -> float:
    """Return Jain's fairness index; 1 if all values are equal."""
    return sum(values) ** 2 / (len(values) * sum(value**2 for value in values))


async def main() -> None:
    alone = await run_pair("admission", 0, PAIR_SECONDS)
    beside = await run_pair("admission", LARGE_FACTOR, PAIR_SECONDS)
    fcfs = await run_pair("fcfs", LARGE_FACTOR, 5.0)
    for figure, attribute in [("answer", "duration"), ("first token", "first_token")]:
        base, ours, theirs = (
            compute_quantile([getattr(o, attribute) for o in outcomes], 0.95)
            for outcomes in (alone, beside, fcfs)
        )
        print_figure(
            f"p95 time to the {figure}, small organisation beside a large one",
            ours,
            "s",
            baseline=round(base, 4),
            target_ratio=1.2 if attribute == "duration" else None,
            first_come_first_served=round(theirs, 4) if theirs < 1e9 else None,
            requests=len(beside),
        )
    jain = await run_backlog("admission", 1, False)
    base = await run_backlog("fcfs", 1, False, 4.5)
    title = "Jain index over backlogged organisations"
    print_figure(f"{title}, one router", jain, "", baseline=round(base, 4), target=0.98)
    jain = await run_backlog("admission", 3, True)
    base = await run_backlog("admission", 3, False, 5.0)
    print_figure(
        f"{title}, three routers, baseline without shared usage",
        jain,
        "",
        baseline=round(base, 4),
        target=0.98,
    )


if __name__ == "__main__":
    curio.run(main)
