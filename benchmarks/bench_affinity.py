"""Prefix-cache hits and load spread of the planner, against round robin.

Four routers plan for the same simulated servers, each of which keeps the blocks of
the prompts it was sent, least recently used first out. Streams overlap: each lasts
until a fixed number of later ones has started. The spread is the highest server's
load over the mean, at the 99th percentile over time.
"""

import json
import random
import statistics
from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from hibiscustiller.configuration import build_config
from hibiscustiller.routing import (
    BLOCK_TOKENS,
    CacheEvent,
    CacheView,
    Route,
    RoutePlanner,
    ServerLoads,
    hash_prefixes,
)
from hibiscustiller.utils import DomainId, ManualClock, ModelName, RouterId, ServerId

MODEL = ModelName("turf")
REPLICAS = 12
ROUTERS = 4
REQUESTS = 4000
OPEN_STREAMS = 96
PREFIXES = 200
PREFIX_WORDS = 64
CACHE_BLOCKS = 160
REPORT_PERIOD = 100
REPORT_LAG = timedelta(milliseconds=500)
STEP = timedelta(milliseconds=5)


@dataclass
class SimulatedServer:
    """A server's prefix cache and streams."""

    running: int = 0
    blocks: OrderedDict[bytes, str] = field(default_factory=OrderedDict)
    events: list[CacheEvent] = field(default_factory=list)

    def take_prompt(self, prompt: str) -> tuple[int, int]:
        """Return the cached and all leading blocks of a prompt; cache them."""
        prefixes = hash_prefixes(prompt)
        words = prompt.split(" ")
        hits = 0
        is_hit = True
        for number, digest in enumerate(prefixes, 1):
            is_hit = is_hit and digest in self.blocks
            hits += is_hit
            if digest not in self.blocks:
                text = " ".join(words[: number * BLOCK_TOKENS])
                self.blocks[digest] = text
                self._add_event("stored", text)
            self.blocks.move_to_end(digest)
        while len(self.blocks) > CACHE_BLOCKS:
            _, text = self.blocks.popitem(last=False)
            self._add_event("evicted", text)
        return hits, len(prefixes)

    def _add_event(self, kind: str, block: str) -> None:
        self.events.append(CacheEvent(len(self.events) + 1, kind, block))


def make_sections() -> dict[str, dict[str, str]]:
    """Describe replicas of two stages each."""
    sections = {f"model {MODEL}": {"layers": "8"}}
    for replica in range(REPLICAS):
        for stage in range(2):
            sections[f"server s{replica}-{stage}"] = {
                "address": "127.0.0.1:1",
                "failure_domain": f"d{replica % 3}",
                "model": MODEL,
                "first_layer": str(stage * 4),
                "last_layer": str(stage * 4 + 4),
            }
    return sections


def make_prompts(is_skewed: bool) -> list[str]:
    """Draw prompts: a shared prefix and a tail of their own."""
    random_state = random.Random(11)
    weights = [1 / (rank + 1) if is_skewed else 1.0 for rank in range(PREFIXES)]
    drawn = random_state.choices(range(PREFIXES), weights, k=REQUESTS)
    return [
        " ".join([f"p{prefix}w{i}" for i in range(PREFIX_WORDS)] + [f"tail{number}"])
        for number, prefix in enumerate(drawn)
    ]


class Simulation:
    """Routers and servers under one stream of requests."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.config = build_config(make_sections())
        self.servers = {name: SimulatedServer() for name in self.config.servers_by_id}
        self.loads = [ServerLoads(self.clock) for _ in range(ROUTERS)]
        self.views = [CacheView() for _ in range(ROUTERS)]
        self.planners = [
            RoutePlanner(
                DomainId("d0"),
                lambda: self.config,
                lambda server: True,
                lambda server: True,
                self.loads[number],
                random.Random(number),
                RouterId(f"router-{number}"),
                self.views[number],
            )
            for number in range(ROUTERS)
        ]
        self.started = Counter()

    def plan(self, number: int, prompt: str) -> frozenset[ServerId]:
        """Plan by the router whose turn it is; its stream ends by ``finish``."""
        router = number % ROUTERS
        route = self.planners[router].plan_route(MODEL, prompt).ok_value
        self.loads[router].record_start(route, 1)
        self._routes.append((router, route))
        return route.servers

    def run(self, choose: Callable[[int, str], frozenset[ServerId]], is_skewed: bool):
        """Return the hit rate and the spread."""
        self._routes: deque[tuple[int, Route]] = deque()
        open_streams: deque[frozenset[ServerId]] = deque()
        hits = blocks = 0
        spreads = []
        for number, prompt in enumerate(make_prompts(is_skewed)):
            self.clock.advance(STEP)
            chosen = choose(number, prompt)
            open_streams.append(chosen)
            for name in chosen:
                server = self.servers[name]
                server.running += 1
                found, count = server.take_prompt(prompt)
                hits += found
                blocks += count
            if len(open_streams) > OPEN_STREAMS:
                self._finish(open_streams.popleft())
                running = [server.running for server in self.servers.values()]
                spreads.append(max(running) / statistics.mean(running))
            if number % REPORT_PERIOD == 0:
                self._report()
        return hits / blocks, statistics.quantiles(spreads, n=100)[-1]

    def _finish(self, chosen: frozenset[ServerId]) -> None:
        for name in chosen:
            self.servers[name].running -= 1
        if self._routes:
            router, route = self._routes.popleft()
            self.loads[router].record_completion(route)

    def _report(self) -> None:
        """Send what was measured a moment ago, as a lagging report does."""
        for name, server in self.servers.items():
            for loads, view in zip(self.loads, self.views, strict=True):
                loads.record_report(name, server.running, 0, timedelta(0))
                after = view.get_last_sequence(name)
                view.apply_events(name, server.events[after:])


def run_round_robin(is_skewed: bool) -> tuple[float, float]:
    """Return hit rate and spread of whole replicas in turn."""

    def choose(number: int, prompt: str) -> frozenset[ServerId]:
        replica = number % REPLICAS
        return frozenset((ServerId(f"s{replica}-0"), ServerId(f"s{replica}-1")))

    return Simulation().run(choose, is_skewed)


def main() -> None:
    """Print hits and spread for uniform and skewed prompts."""
    for name, is_skewed in (("uniform", False), ("skewed", True)):
        simulation = Simulation()
        hits, spread = simulation.run(simulation.plan, is_skewed)
        base_hits, base_spread = run_round_robin(is_skewed)
        figures = (
            (f"prefix hit rate, {name} prompts", hits, base_hits),
            (f"load spread (p99 of highest over mean), {name}", spread, base_spread),
        )
        for figure, value, baseline in figures:
            line = {
                "figure": figure,
                "value": round(value, 4),
                "unit": "",
                "baseline": round(baseline, 4),
                "ratio": round(value / baseline, 3),
            }
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
