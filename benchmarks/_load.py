"""Load on in-process routers in front of real loopback engines."""

from __future__ import annotations

import json
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import curio

from benchmarks._baselines import FirstComeFirstServed, NoAdmission
from hibiscustiller.configuration import format_sections, parse_sections
from hibiscustiller.exceptions import TransportError
from hibiscustiller.serving import Router
from hibiscustiller.settings import Settings
from hibiscustiller.standins import MODEL, Fleet, make_standin_settings, start_fleet
from hibiscustiller.utils import (
    Metrics,
    Revision,
    SystemClock,
    configure_logging,
    hash_secret,
)
from hibiscustiller.wire import AnswerStream, HttpClient

STAGES = 2
TIMEOUT = timedelta(seconds=90)
URGENT, MIDDLE, LOW = "confirmations", "quotes", "overnight"
_POLICY = {
    URGENT: {"rank": "0", "deadline": "5s", "floor": "0.1"},
    MIDDLE: {"rank": "1", "deadline": "15s", "floor": "0.1"},
    LOW: {"rank": "2", "deadline": "20s", "floor": "0.05", "preemptible": "true"},
}
TARGET = timedelta(milliseconds=850)
_JOIN_POLL_S = 0.05
_JOIN_LIMIT_S = 10.0


@dataclass(frozen=True)
class Arrival:
    """One request to send.

    :param at: seconds after the start of the load.
    """

    at: float
    organisation: str
    tokens: int
    router: int = 0


@dataclass
class Outcome:
    """What became of one request.

    :param times: seconds after the start of the load at which tokens arrived.
    """

    arrival: Arrival
    started: float
    times: list[float]
    status: int = 0
    is_complete: bool = False
    retry_after: str | None = None

    @property
    def first_token(self) -> float:
        """Seconds to the first token; infinite if there was none."""
        return self.times[0] - self.started if self.times else math.inf

    @property
    def duration(self) -> float:
        """Seconds to the whole answer; infinite if it is not complete."""
        return self.times[-1] - self.started if self.is_complete else math.inf


@dataclass
class Bench:
    """A fleet of stand-ins and routers in this process."""

    fleet: Fleet
    routers: list[Router]
    client: HttpClient
    streams: int

    async def close(self) -> None:
        """Stop everything, without waiting for queued requests."""
        await self.client.close()
        for router in self.routers:
            await router.caller_server.close()
            await router.admission.stop()
            await router.control_plane.stop()
        await self.fleet.close()

    async def send(
        self, arrival: Arrival, started: float, outcomes: list[Outcome]
    ) -> Outcome:
        """Send one request and read its answer.

        :param outcomes: gets the outcome at once, so that a request that is cut off
            counts as well.
        """
        body = {
            "model": MODEL,
            "prompt": make_prompt(arrival),
            "max_tokens": arrival.tokens,
            "stream": True,
        }
        outcome = Outcome(arrival, time.monotonic() - started, [])
        outcomes.append(outcome)
        try:
            stream = await self.client.open_stream(
                self.routers[arrival.router].caller_server.address,
                "POST",
                "/v1/completions",
                next_byte_timeout=TIMEOUT,
                body=json.dumps(body).encode(),
                headers={"authorization": f"Bearer {arrival.organisation}"},
            )
            async with stream:
                outcome.status = stream.status
                outcome.retry_after = stream.headers_by_name.get("retry-after")
                while (line := await stream.read_line()) is not None:
                    if line == b"data: [DONE]":
                        outcome.is_complete = True
                    elif b'"finish_reason":null' in line:
                        outcome.times.append(time.monotonic() - started)
        except TransportError:
            outcome.status = outcome.status or 599
        return outcome

    async def run(self, arrivals: list[Arrival], stop_at: float) -> list[Outcome]:
        """Send requests at their times; answers after ``stop_at`` are cut off."""
        started = time.monotonic()
        outcomes: list[Outcome] = []

        async with curio.TaskGroup(wait=all) as group:
            for arrival in arrivals:
                await curio.sleep(max(0, arrival.at - time.monotonic() + started))
                await group.spawn(self.send, arrival, started, outcomes)
            await curio.sleep(max(0, stop_at - time.monotonic() + started))
            await group.cancel_remaining()
        return outcomes


async def start_bench(
    organisations: dict[str, str],
    policy: str = "admission",
    routers: int = 1,
    replicas: int = 2,
    streams: int = 4,
    token_time: timedelta = timedelta(milliseconds=20),
    overrides: dict[str, dict[str, str]] | None = None,
) -> Bench:
    """Start a fleet and its routers.

    :param organisations: class by organisation; the name is also the key.
    :param policy: ``admission``, ``fcfs`` or ``none``.
    :param overrides: keys that replace those of the document's sections.
    """
    configure_logging("error")
    clock = SystemClock()
    fleet = await start_fleet(clock, replicas, token_time, streams)
    sections = parse_sections(fleet.document, "fleet")
    for name, keys in _POLICY.items():
        sections[f"class {name}"] = {**keys, **(overrides or {}).get(name, {})}
    for name, class_name in organisations.items():
        keys = {"key_sha256": hash_secret(name), "priority_class": class_name}
        sections[f"organisation {name}"] = keys
    document = format_sections(sections)
    started = []
    for number in range(routers):
        settings = _make_settings(number, fleet, started)
        router = Router(settings, clock, random.Random(number), Metrics())
        router.install_document(document, Revision(1))
        _use_policy(router, policy)
        await router.start()
        started.append(router)
    await _wait_for_members(started)
    return Bench(fleet, started, HttpClient(clock), replicas * streams)


def _make_settings(number: int, fleet: Fleet, started: list[Router]) -> Settings:
    """Return settings of a router that joins those that are started."""
    seeds = [router.control_plane.mesh.self_member.address for router in started]
    return make_standin_settings(
        fleet.platform.address,
        router_id=f"router-{number}",
        seeds=seeds,
        shared_key="benchmark",
    )


async def _wait_for_members(routers: list[Router]) -> None:
    """Wait until all routers know each other, and so how many share a server."""
    limit = time.monotonic() + _JOIN_LIMIT_S
    while any(
        len(router.control_plane.transport.list_members()) < len(routers)
        for router in routers
    ):
        if time.monotonic() > limit:
            raise RuntimeError(f"{len(routers)} routers did not find each other")
        await curio.sleep(_JOIN_POLL_S)


def _use_policy(router: Router, policy: str) -> None:
    def plan(request):
        return router.planner.plan_route(
            request.model, request.prompt, request.get_avoided_servers()
        )

    if policy == "fcfs":
        router.runner._admission = FirstComeFirstServed(plan, router.server_limits)
    elif policy == "none":
        router.runner._admission = NoAdmission(plan)


async def measure_bound(bench: Bench, seconds: float) -> float:
    """Measure the fleet's bound: all streams run at each replica, without routers.

    :returns: tokens a second.
    """
    started = time.monotonic()
    times: list[float] = []

    async def read_tokens(replica: int, number: int) -> None:
        stream = await _open_engine_stream(bench, replica, number)
        async with stream:
            while (line := await stream.read_line()) is not None:
                if b'"token"' in line:
                    times.append(time.monotonic() - started)

    async with curio.TaskGroup(wait=all) as group:
        replicas = len(bench.fleet.engines_by_id) // STAGES
        for replica in range(replicas):
            for number in range(bench.streams // replicas):
                await group.spawn(read_tokens, replica, number)
        await curio.sleep(seconds)
        await group.cancel_remaining()
    # The first second fills the connection pools.
    return sum(1 <= at < seconds for at in times) / (seconds - 1)


async def _open_engine_stream(bench: Bench, replica: int, number: int) -> AnswerStream:
    engines = [
        bench.fleet.engines_by_id[f"engine-{replica}-{stage}"]
        for stage in range(STAGES)
    ]
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
        "stream_id": f"bound-{replica}-{number}",
        "attempt": 1,
        "model": MODEL,
        "version": "1",
        "priority": 0,
        "prompt": f"bound {replica} {number}",
        "emitted": [],
        "max_tokens": 4000,
        "route": route,
    }
    return await bench.client.open_stream(
        engines[0].address,
        "POST",
        "/v1/streams",
        next_byte_timeout=TIMEOUT,
        body=json.dumps(body).encode(),
    )


def make_poisson(
    random_state: random.Random,
    start: float,
    end: float,
    requests_per_second: float,
    make: Callable[[float], Arrival],
) -> list[Arrival]:
    """Return arrivals of a Poisson process."""
    arrivals = []
    at = start + random_state.expovariate(requests_per_second)
    while at < end:
        arrivals.append(make(at))
        at += random_state.expovariate(requests_per_second)
    return arrivals


def count_tokens(outcomes: list[Outcome], start: float, end: float) -> int:
    """Count the tokens that arrived in a period."""
    return sum(start <= at < end for o in outcomes for at in o.times)


def make_prompt(arrival: Arrival) -> str:
    """Return a prompt that no other request has."""
    return f"{arrival.organisation} asks at {arrival.at:.4f}"


def count_prompt_tokens(arrival: Arrival) -> int:
    """Count a prompt's tokens, as the stand-in engines do."""
    return make_prompt(arrival).count(" ") + 1


def compute_quantile(values: list[float], share: float) -> float:
    """Return a quantile by the nearest rank."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def print_figure(figure: str, value: float, unit: str, **fields: Any) -> None:
    """Print one JSON line; ``baseline`` gives the ratio if there is one."""
    baseline = fields.pop("baseline", None)
    ratio = round(value / baseline, 4) if baseline else None
    line = {
        "figure": figure,
        "value": round(value, 4),
        "unit": unit,
        "baseline": baseline,
        "ratio": ratio,
        **fields,
    }
    print(json.dumps(line), flush=True)
