"""Loss and return of a failure domain under steady load near the fleet's bound.

Three failure domains hold two replicas each. All engines of one domain die at once
and come back later. The baseline sends each request to the next replica in turn,
without recovery; a caller whose answer breaks off asks again from the start.
"""

import json
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import curio

from benchmarks._load import (
    MIDDLE,
    STAGES,
    Arrival,
    Bench,
    make_poisson,
    make_prompt,
    measure_bound,
    start_bench,
)
from hibiscustiller.exceptions import TransportError
from hibiscustiller.standins import MODEL, MODEL_LAYERS, compute_answer

REPLICAS = 6
DOMAINS = 3
LOST_DOMAIN = 0
STREAMS = 2
ROUTERS = 2
TOKENS = 20
LOAD = 0.95
TARGET = 0.95
LOSS_AT = 5.0
RETURN_AT = 13.0
END = 20.0
BOUND_SECONDS = 4.0
WINDOW = 1.0
STEP = 0.05
SAMPLE_PERIOD = 0.05
NEXT_BYTE_TIMEOUT = timedelta(seconds=1)
ANSWER_TIMEOUT = timedelta(seconds=30)
BASELINE_TRIES = 20
BASELINE_PAUSE = 0.1
SEED = 11


@dataclass
class Answer:
    """What one caller got.

    :param tokens: tokens in the order of arrival, those of repeats included.
    """

    prompt: str
    tokens: list[str] = field(default_factory=list)
    repeated: int = 0
    is_complete: bool = False


@dataclass
class Run:
    """One run of the load.

    :param token_times: seconds at which tokens arrived that the caller had not got.
    :param shares: time and share of the running streams in the lost domain.
    """

    started: float
    token_times: list[float] = field(default_factory=list)
    shares: list[tuple[float, float]] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)

    def note_token(self) -> None:
        """Note the arrival of a token."""
        self.token_times.append(time.monotonic() - self.started)

    def count_wrong(self) -> int:
        """Count tokens that were lost, repeated or wrong."""
        wrong = 0
        for answer in self.answers:
            expected = compute_answer(MODEL, "1", MODEL_LAYERS, answer.prompt, TOKENS)
            pairs = zip(answer.tokens, expected, strict=False)
            wrong += sum(token != right for token, right in pairs)
            wrong += max(0, len(answer.tokens) - TOKENS) + answer.repeated
            if answer.is_complete:
                wrong += max(0, TOKENS - len(answer.tokens))
        return wrong


Send = Callable[[Bench, Run, Answer, int], Awaitable[None]]


async def send_to_router(bench: Bench, run: Run, answer: Answer, number: int) -> None:
    """Ask a router for a completion."""
    body = {
        "model": MODEL,
        "prompt": answer.prompt,
        "max_tokens": TOKENS,
        "stream": True,
    }
    stream = await bench.client.open_stream(
        bench.routers[number % ROUTERS].caller_server.address,
        "POST",
        "/v1/completions",
        next_byte_timeout=ANSWER_TIMEOUT,
        body=json.dumps(body).encode(),
        headers={"authorization": "Bearer callers"},
    )
    async with stream:
        while (line := await stream.read_line()) is not None:
            if line == b"data: [DONE]":
                answer.is_complete = True
            elif b'"finish_reason":null' in line:
                choice = json.loads(line.removeprefix(b"data: "))["choices"][0]
                answer.tokens.append(choice["text"].strip())
                run.note_token()


async def send_round_robin(bench: Bench, run: Run, answer: Answer, number: int) -> None:
    """Ask the replicas in turn, from the start after each failure."""
    for attempt in range(BASELINE_TRIES):
        replica = (number + attempt) % REPLICAS
        try:
            await _ask_replica(bench, run, answer, replica, f"{number}-{attempt}")
        except TransportError:
            pass
        if answer.is_complete:
            return
        await curio.sleep(BASELINE_PAUSE)


async def _ask_replica(
    bench: Bench, run: Run, answer: Answer, replica: int, stream_id: str
) -> None:
    engines = _list_engines(bench, replica)
    route = [
        {
            "server": engine.options.server_id,
            "address": str(engine.address),
            "first_layer": engine.options.first_layer,
            "last_layer": engine.options.last_layer,
        }
        for engine in engines
    ]
    body = {
        "stream_id": stream_id,
        "attempt": 1,
        "model": MODEL,
        "version": "1",
        "priority": 0,
        "prompt": answer.prompt,
        "emitted": [],
        "max_tokens": TOKENS,
        "route": route,
    }
    stream = await bench.client.open_stream(
        engines[0].address,
        "POST",
        "/v1/streams",
        next_byte_timeout=NEXT_BYTE_TIMEOUT,
        body=json.dumps(body).encode(),
    )
    held = len(answer.tokens)
    async with stream:
        while (line := await stream.read_line()) is not None:
            frame = json.loads(line) if line.strip() else {}
            if frame.get("done"):
                answer.is_complete = True
            elif "token" in frame and frame["position"] < held:
                answer.repeated += 1
            elif "token" in frame:
                answer.tokens.append(frame["token"])
                run.note_token()


def _list_engines(bench: Bench, replica: int) -> list:
    engines = bench.fleet.engines_by_id
    return [engines[f"engine-{replica}-{stage}"] for stage in range(STAGES)]


def _list_lost_engines(bench: Bench) -> list:
    replicas = range(LOST_DOMAIN, REPLICAS, DOMAINS)
    return [engine for replica in replicas for engine in _list_engines(bench, replica)]


async def run_load(send: Send, bound: float | None = None) -> tuple[Run, float]:
    """Run the load with the loss and return of a domain.

    :param bound: tokens a second of the whole fleet; measured if None.
    :returns: the run and the bound.
    """
    bench = await start_bench(
        {"callers": MIDDLE}, routers=ROUTERS, replicas=REPLICAS, streams=STREAMS
    )
    if bound is None:
        bound = await measure_bound(bench, BOUND_SECONDS)
    arrivals = make_poisson(
        random.Random(SEED),
        0,
        END,
        LOAD * bound / TOKENS,
        lambda at: Arrival(at, "callers", TOKENS),
    )
    run = Run(time.monotonic())
    async with curio.TaskGroup(wait=all) as group:
        await group.spawn(_sample_shares, bench, run)
        await group.spawn(_lose_domain, bench)
        for number, arrival in enumerate(arrivals):
            await curio.sleep(max(0, arrival.at - time.monotonic() + run.started))
            answer = Answer(make_prompt(arrival))
            run.answers.append(answer)
            await group.spawn(_send_safely, send, bench, run, answer, number)
        await curio.sleep(max(0, END - time.monotonic() + run.started))
        await group.cancel_remaining()
    await bench.close()
    return run, bound


async def _send_safely(
    send: Send, bench: Bench, run: Run, answer: Answer, number: int
) -> None:
    try:
        await send(bench, run, answer, number)
    except TransportError:
        # Counted by what the caller got.
        pass


async def _lose_domain(bench: Bench) -> None:
    await curio.sleep(LOSS_AT)
    for engine in _list_lost_engines(bench):
        await engine.crash()
    await curio.sleep(RETURN_AT - LOSS_AT)
    for engine in _list_lost_engines(bench):
        await engine.start()


async def _sample_shares(bench: Bench, run: Run) -> None:
    while True:
        lost = sum(engine.running for engine in _list_lost_engines(bench))
        running = sum(e.running for e in bench.fleet.engines_by_id.values())
        at = time.monotonic() - run.started
        run.shares.append((at, lost / running if running else 0.0))
        await curio.sleep(SAMPLE_PERIOD)


def measure_recovery(run: Run, remaining: float) -> float | None:
    """Return the seconds from the loss to 95% of the remaining bound.

    A window must be past the loss as a whole.
    """
    at = LOSS_AT
    while at + WINDOW <= RETURN_AT:
        tokens = sum(at <= token < at + WINDOW for token in run.token_times)
        if tokens / WINDOW >= TARGET * remaining:
            return at + WINDOW - LOSS_AT
        at += STEP
    return None


def measure_return(run: Run) -> float | None:
    """Return the seconds from the return until the domain carries its share."""
    at = RETURN_AT
    while at + WINDOW <= END:
        shares = [share for when, share in run.shares if at <= when < at + WINDOW]
        if shares and sum(shares) / len(shares) >= TARGET / DOMAINS:
            return at + WINDOW - RETURN_AT
        at += STEP
    return None


def print_figure(
    figure: str, value: float | None, unit: str, baseline: float | None
) -> None:
    """Print one JSON line; a figure that was not reached is null."""
    ratio = value / baseline if value is not None and baseline else None
    line = {
        "figure": figure,
        "value": None if value is None else round(value, 3),
        "unit": unit,
        "baseline": None if baseline is None else round(baseline, 3),
        "ratio": None if ratio is None else round(ratio, 4),
    }
    print(json.dumps(line), flush=True)


def count_rate(run: Run, start: float, end: float) -> float:
    """Return tokens a second in a period."""
    return sum(start <= at < end for at in run.token_times) / (end - start)


async def run_all() -> None:
    """Run the load on routers and on the baseline."""
    run, bound = await run_load(send_to_router)
    base, _ = await run_load(send_round_robin, bound)
    remaining = bound * (DOMAINS - 1) / DOMAINS
    print_figure(
        "95% of the remaining bound after a domain's loss (target 5 s)",
        measure_recovery(run, remaining),
        "s",
        measure_recovery(base, remaining),
    )
    print_figure(
        "throughput while a domain is lost, share of the remaining bound",
        count_rate(run, LOSS_AT + 1, RETURN_AT) / remaining,
        "share",
        count_rate(base, LOSS_AT + 1, RETURN_AT) / remaining,
    )
    print_figure(
        "tokens lost, repeated or wrong",
        run.count_wrong(),
        "tokens",
        base.count_wrong(),
    )
    print_figure(
        "the returned domain carries 95% of its share",
        measure_return(run),
        "s",
        measure_return(base),
    )


if __name__ == "__main__":
    curio.run(run_all)
