"""Recovery of streams at a pace of 39 ms a token, over loopback engines.

First, the time from a fault to the first new token, with the tokens lost and
repeated. The baseline is a router without recovery: the caller asks again, and waits
until the answer is as far as it was.

Second, replay against the import of the KV cache of a stage that is leaving but
alive, when the other stage dies. The time that the stand-ins take for a transfer is
that of the documented 131072 bytes a token at 1e9 bytes a second, for half the layers.

Third, the longest gap when all slots of the fleet are taken and one of five replicas
dies. The baseline is first come first served, where a stream that broke off waits
behind all others; gaps that are open at the end of the run count as far as they go.

Fourth, the gap in an answer that is moved away from a leaving server, against one that
is left to finish there.
"""

import json
import random
import statistics
import sys
from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import curio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks import _load
from hibiscustiller.streams.tests.fixtures import StreamHarness, compute_expected

TOKEN_MS = 39
# The default of the daemon's setting.
NEXT_BYTE_TIMEOUT = timedelta(seconds=1)
FAULT_AT = 15
LENGTH = 20
TRIALS = 3
PROMPT = "lay the turf"
CROWD = 60
CROWD_REPLICAS = 5
CROWD_LENGTH = 30
CONTEXT_WORDS = 1500
KV_TRANSFER = timedelta(microseconds=65.5)
FAULT_LIMIT_S = 12.0

# All streams of the fleet are taken and as many requests wait. One process runs the
# fleet as well; 16 streams to a replica take all of its core, and the pace is lost.
FULL_STREAMS = 8
FULL_LENGTHS = (30, 90)
FULL_FAULT_AT_S = 2.0
FULL_SECONDS = 9.0
FULL_SEED = 14
FULL_DEADLINES = {
    _load.MIDDLE: {"deadline": "30s"},
    _load.LOW: {"deadline": "60s"},
}

Act = Callable[[StreamHarness], Awaitable[None]]


class FixedDecision:
    """Decides always the same about an import."""

    def __init__(self, is_import: bool) -> None:
        self._is_import = is_import

    def record_first_token(self, delay: timedelta, tokens: int) -> None:
        """Learn nothing."""

    def should_import(self, old: object, new: object, tokens: int) -> bool:
        """Return the decision."""
        return self._is_import


def print_figure(figure: str, value: float, unit: str, baseline: float) -> None:
    """Print one result."""
    line = {
        "figure": figure,
        "value": round(value, 2),
        "unit": unit,
        "baseline": round(baseline, 2),
        "ratio": round(value / baseline, 4) if baseline else None,
    }
    print(json.dumps(line), flush=True)


async def kill_head(harness: StreamHarness) -> None:
    """Kill the first stage of the running stream."""
    for engine in harness.find_first_stages():
        await engine.crash()


async def kill_second(harness: StreamHarness) -> None:
    """Kill the last stage of the running stream."""
    await harness.find_last_stage().crash()


async def silence_head(harness: StreamHarness) -> None:
    """Silence the first stage of the running stream, connections stay open."""
    for engine in harness.find_first_stages():
        engine.faults.is_silent = True


async def silence_second(harness: StreamHarness) -> None:
    """Silence the last stage of the running stream; the first one goes on."""
    harness.find_last_stage().faults.is_silent = True


async def start_harness(**options: object) -> StreamHarness:
    """Start two-stage replicas that take 39 ms a token."""
    return await StreamHarness.start(
        token_ms=TOKEN_MS / 2, next_byte_timeout=NEXT_BYTE_TIMEOUT, **options
    )


async def measure_gap(
    harness: StreamHarness, act: Act, prompt: str
) -> tuple[float, list[str]]:
    """Return the time from a fault to the next token in ms, and the answer."""
    times = []

    async def on_token(count: int) -> None:
        times.append(harness.clock.monotonic())
        if count == FAULT_AT:
            await act(harness)

    ran = await curio.timeout_after(
        FAULT_LIMIT_S, harness.run(prompt, LENGTH, on_token)
    )
    gap = (times[FAULT_AT] - times[FAULT_AT - 1]) / timedelta(milliseconds=1)
    return gap, list(ran.ok_value.tokens)


async def measure_restart() -> float:
    """Return the time in ms that a caller waits who asks again from the start."""
    harness = await start_harness()
    start = harness.clock.monotonic()
    await harness.run(PROMPT, FAULT_AT + 1, request_id="again")
    elapsed = harness.clock.monotonic() - start
    await harness.close()
    return elapsed / timedelta(milliseconds=1)


async def report_faults() -> None:
    """Measure the recovery from each fault."""
    restart = await measure_restart()
    expected = compute_expected(PROMPT, LENGTH)
    wrong = 0
    for name, act in (
        ("first stage dies", kill_head),
        ("second stage dies", kill_second),
        ("first stage falls silent", silence_head),
        ("second stage falls silent", silence_second),
    ):
        gaps = []
        for _ in range(TRIALS):
            harness = await start_harness()
            gap, tokens = await measure_gap(harness, act, PROMPT)
            gaps.append(gap)
            wrong += sum(a != b for a, b in zip(tokens, expected, strict=False))
            wrong += abs(len(harness.delivered) - LENGTH)
            await harness.close()
        median = statistics.median(gaps)
        print_figure(f"first new token, {name}, median", median, "ms", restart)
        print_figure(f"first new token, {name}, worst", max(gaps), "ms", restart)
    print_figure("tokens lost, repeated or wrong", wrong, "tokens", FAULT_AT)


async def report_crowd() -> None:
    """Measure the recovery of all streams of a server that dies.

    All of them are suspects and run apart from each other until they are past the
    position at which the server died.
    """
    restart = await measure_restart()
    harness = await start_harness(replicas=CROWD_REPLICAS)
    times_by_stream: list[list[timedelta]] = [[] for _ in range(CROWD)]

    async def run(number: int) -> bool:
        async def on_token(count: int) -> None:
            times_by_stream[number].append(harness.clock.monotonic())

        ran = await harness.run(
            f"note {number}", CROWD_LENGTH, on_token, request_id=f"c{number}"
        )
        return list(ran.ok_value.tokens) == compute_expected(
            f"note {number}", CROWD_LENGTH
        )

    tasks = [await curio.spawn(run, number) for number in range(CROWD)]
    await curio.sleep(0.6)
    await max(harness.find_first_stages(), key=lambda engine: engine.running).crash()
    are_right = [await task.join() for task in tasks]
    waits = []
    for times in times_by_stream:
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        waits.append(max(gaps) / timedelta(milliseconds=1))
    affected = sum("failed" in event for event in harness.observer.events)
    name = f"{affected} of {CROWD} streams lose a server"
    print_figure(f"longest gap, {name}, worst", max(waits), "ms", restart)
    print_figure(f"wrong answers, {name}", are_right.count(False), "streams", affected)
    await harness.close()


async def measure_full_fleet(policy: str, has_less_urgent: bool) -> float:
    """Return the longest gap in ms in answers of quotes when a replica dies.

    :param has_less_urgent: whether half of the running streams and all that waits are
        overnight notes; otherwise all requests are quotes.
    """
    names = {"shop": _load.MIDDLE, "office": _load.LOW}
    harness = await _load.start_bench(
        names,
        policy,
        replicas=CROWD_REPLICAS,
        streams=FULL_STREAMS,
        token_time=timedelta(milliseconds=TOKEN_MS / 2),
        overrides=FULL_DEADLINES,
    )
    random_state = random.Random(FULL_SEED)
    arrivals = []
    slots = CROWD_REPLICAS * FULL_STREAMS
    for number in range(2 * slots):
        is_less_urgent = has_less_urgent and (number % 2 == 0 or number >= slots)
        name = "office" if is_less_urgent else "shop"
        length = random_state.randint(*FULL_LENGTHS)
        arrivals.append(_load.Arrival(0.3 + number * 0.01, name, length))

    async def kill() -> None:
        await curio.sleep(FULL_FAULT_AT_S)
        await harness.fleet.engines_by_id["engine-0-0"].crash()

    task = await curio.spawn(kill)
    outcomes = await harness.run(arrivals, FULL_SECONDS)
    await task.join()
    await harness.close()
    gaps = []
    for outcome in outcomes:
        if names[outcome.arrival.organisation] == _load.MIDDLE and outcome.times:
            end = [] if outcome.is_complete else [FULL_SECONDS]
            times = [*outcome.times, *end]
            gaps += [b - a for a, b in zip(times, times[1:], strict=False)]
    return max(gaps) * 1000


async def report_full_fleet() -> None:
    """Measure the recovery when no slot is free."""
    for has_less_urgent, name in ((False, "one class"), (True, "half less urgent")):
        ours = await measure_full_fleet("admission", has_less_urgent)
        theirs = await measure_full_fleet("fcfs", has_less_urgent)
        figure = f"longest gap in quotes, all slots taken, {name}, a replica dies"
        print_figure(figure, ours, "ms", theirs)


async def measure_context(is_import: bool, prefill_us: float) -> float:
    """Return the gap in ms when the head dies and the other stage is leaving."""
    decision = FixedDecision(is_import)
    harness = await start_harness(estimator=lambda get_config: decision)
    for engine in harness.engines.values():
        engine.options = replace(
            engine.options,
            prefill_time=timedelta(microseconds=prefill_us),
            kv_transfer_time=KV_TRANSFER,
        )

    async def act(harness: StreamHarness) -> None:
        stage = harness.find_last_stage()
        stage.is_leaving = True
        harness.planner._is_usable = lambda server: server != stage.options.server_id
        await kill_head(harness)

    prompt = " ".join(f"w{number}" for number in range(CONTEXT_WORDS))
    gap, _ = await measure_gap(harness, act, prompt)
    await harness.close()
    return gap


async def report_imports() -> None:
    """Compare replay and import for engines of different prefill speed."""
    for prefill_us in (20, 100, 200, 400):
        replayed = await measure_context(False, prefill_us)
        imported = await measure_context(True, prefill_us)
        name = f"{CONTEXT_WORDS} tokens at {prefill_us} us each"
        print_figure(f"import instead of replay, {name}", imported, "ms", replayed)


async def report_migration() -> None:
    """Compare moving a stream away from a leaving server with letting it finish."""

    async def migrate(harness: StreamHarness) -> None:
        grant = harness.admission.grants[-1]
        leaving = grant.route.servers
        harness.planner._is_usable = lambda server: server not in leaving
        await grant.preempted.set()

    async def stay(harness: StreamHarness) -> None:
        pass

    gaps = []
    for act in (migrate, stay):
        harness = await start_harness()
        gap, _ = await measure_gap(harness, act, PROMPT)
        gaps.append(gap)
        await harness.close()
    moved, stayed = gaps
    print_figure("gap when moved off a leaving server", moved, "ms", stayed)


async def run_all() -> None:
    """Run all parts."""
    await report_faults()
    await report_crowd()
    await report_full_fleet()
    await report_imports()
    await report_migration()


if __name__ == "__main__":
    curio.run(run_all)
