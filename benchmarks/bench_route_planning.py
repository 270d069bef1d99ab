"""Time to plan one route, for fleets of growing size.

The baseline is the search without anything kept between requests: it builds its
tables of the model's servers anew for each plan.
"""

import json
import random
import statistics
import time
import timeit
from datetime import timedelta

from hibiscustiller.configuration import FleetConfig, build_config
from hibiscustiller.routing import (
    ModelIndex,
    Route,
    RoutePlanner,
    ServerLoads,
    choose_cheapest,
)
from hibiscustiller.streams import parse_frame
from hibiscustiller.utils import DomainId, ModelName, RouterId, SystemClock

MODELS = 6
LAYERS = 80
STAGES = 4
DOMAINS = 7
PLANS = 300
TOKENS = 20_000
TIME_LIMIT_S = 8.0
LONG_PROMPT = " ".join(f"word{number}" for number in range(160))


def make_fleet(count: int) -> FleetConfig:
    """Build a document of a number of servers, with models as far as they reach."""
    models = max(1, min(MODELS, count // (3 * STAGES)))
    stages = STAGES if count >= 3 * STAGES else 2
    sections = {f"model m{i}": {"layers": str(LAYERS)} for i in range(models)}
    step = LAYERS // stages
    for number in range(count):
        replica, stage = divmod(number, stages)
        sections[f"server s{number}"] = {
            "address": f"127.0.0.1:{1 + number}",
            "failure_domain": f"d{replica % DOMAINS}",
            "model": f"m{replica % models}",
            "first_layer": str(stage * step),
            "last_layer": str((stage + 1) * step),
            "token_time": f"{8 + number % 5}ms",
        }
    return build_config(sections)


def measure_plans(planner: RoutePlanner, loads: ServerLoads, prompt: str) -> float:
    """Return the median time of a plan in microseconds, under a growing load."""
    times = []
    routes: list[Route] = []
    limit = time.perf_counter() + TIME_LIMIT_S
    for number in range(PLANS):
        text = f"{number} {prompt}" if prompt else f"{number}"
        start = time.perf_counter()
        route = planner.plan_route(ModelName("m0"), text).ok_value
        times.append(time.perf_counter() - start)
        loads.record_start(route, 1)
        routes.append(route)
        if len(routes) > 32:
            loads.record_completion(routes.pop(0))
        if time.perf_counter() > limit:
            break
    return statistics.median(times) * 1e6


def measure_baseline(config: FleetConfig) -> float:
    """Return the median time in microseconds of a search with nothing kept."""
    loads = ServerLoads(SystemClock())
    times = []
    limit = time.perf_counter() + TIME_LIMIT_S
    for _ in range(PLANS):
        start = time.perf_counter()
        servers = [s for s in config.servers_by_id.values() if s.model == "m0"]
        model = config.models_by_name[ModelName("m0")]
        index = ModelIndex(config, model, servers, DomainId("d0"))
        seconds = [loads.estimate_token_seconds(s) for s in index.servers]
        index.find_route(seconds, index.link_seconds, choose_cheapest)
        times.append(time.perf_counter() - start)
        if time.perf_counter() > limit:
            break
    return statistics.median(times) * 1e6


def report_token_cost() -> None:
    """Print the cost of a token in the loads, against the reading of its frame."""
    config = make_fleet(60)
    loads = ServerLoads(SystemClock())
    planner = RoutePlanner(
        DomainId("d0"),
        lambda: config,
        lambda server: True,
        lambda server: True,
        loads,
        random.Random(1),
    )
    route = planner.plan_route(ModelName("m0"), "a").ok_value
    loads.record_start(route, 1)
    layers = [[s.server, s.first_layer, s.last_layer] for s in route.stages]
    frame = {"attempt": 1, "position": 7, "token": "turf", "layers": layers}
    line = json.dumps(frame).encode()
    delay = timedelta(milliseconds=39)
    learning = timeit.timeit(
        lambda: loads.record_token(route, delay, False), number=TOKENS
    )
    reading = timeit.timeit(lambda: parse_frame(line), number=TOKENS)
    line = {
        "figure": f"learning from a token, {len(route.stages)} stages, vs its parsing",
        "value": round(learning / TOKENS * 1e6, 2),
        "unit": "us",
        "baseline": round(reading / TOKENS * 1e6, 2),
        "ratio": round(learning / reading, 3),
    }
    print(json.dumps(line), flush=True)


def main() -> None:
    """Print one line for each size of fleet and kind of prompt."""
    report_token_cost()
    for count in (6, 60, 600):
        config = make_fleet(count)
        baseline = measure_baseline(config)
        for kind, prompt in (("short prompt", ""), ("160-word prompt", LONG_PROMPT)):
            for scope, size in (("subset", 64), ("whole fleet", count)):
                loads = ServerLoads(SystemClock())
                planner = RoutePlanner(
                    DomainId("d0"),
                    lambda config=config: config,
                    lambda server: True,
                    lambda server: True,
                    loads,
                    random.Random(1),
                    RouterId("router-0"),
                    subset_size=size,
                )
                planner.get_subset()
                value = measure_plans(planner, loads, prompt)
                line = {
                    "figure": f"time per plan, {count} servers, {scope}, {kind}",
                    "value": round(value, 1),
                    "unit": "us",
                    "baseline": round(baseline, 1),
                    "ratio": round(value / baseline, 4),
                }
                print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
