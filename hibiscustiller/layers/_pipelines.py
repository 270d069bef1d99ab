"""Pipelines: ordered covers of a model's layers by engines that hold them.

Found anew when the engines or their layers change. A decision without I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.fleet import BackendServer, EngineSpec, LayerRange
from hibiscustiller.layers._capacity import (
    count_token_layers,
    estimate_token_time,
    estimate_transfer_s,
)
from hibiscustiller.utils import ServerId, check_invariant

_START = 0
# An engine refuses longer pipelines.
MAX_STAGES = 32
# Delay between two engines of a domain; trials saw about this much.
_HOP = timedelta(milliseconds=0.1)
# The link between domains is shared by all pipelines, so a crossing costs others too.
_SHARED_LINK_FACTOR = 5.0
# Share of a borrowing pipeline's layers that no other pipeline uses.
_MIN_OWN_SHARE = 0.5
_BORROWED_FACTOR = 2.0
# A leaving engine is better than a detour to another domain, and worse than any other.
_LEAVING_FACTOR = 3.0


@dataclass(frozen=True)
class Stage:
    """Some layers at one engine."""

    server: BackendServer
    layers: LayerRange


@dataclass(frozen=True)
class Pipeline:
    """Stages that run every layer once, in order."""

    stages: tuple[Stage, ...]

    @property
    def entry(self) -> BackendServer:
        """The engine that receives the request."""
        return self.stages[0].server

    @property
    def servers(self) -> list[BackendServer]:
        """The engines in order."""
        return [stage.server for stage in self.stages]

    @property
    def server_ids(self) -> tuple[ServerId, ...]:
        """The ids of the engines in order."""
        return tuple(server.id for server in self.servers)

    def count_memory_tokens(self, spec: EngineSpec) -> float:
        """Return how many tokens fit at every engine.

        An engine that runs a part of what it holds has room for more.
        """
        return min(
            count_token_layers(
                spec, spec.kinds_by_name[stage.server.kind], stage.server.layers.width
            )
            / stage.layers.width
            for stage in self.stages
        )

    def estimate_token_time(
        self, spec: EngineSpec, sequences: float, tokens: float
    ) -> timedelta:
        """Estimate the time of one token; see the function of that name."""
        widths = [
            (spec.kinds_by_name[stage.server.kind], stage.layers.width)
            for stage in self.stages
        ]
        return estimate_token_time(spec, widths, sequences, tokens)


def check_pipeline(spec: EngineSpec, pipeline: Pipeline) -> None:
    """Assert that every layer runs exactly once, in order, where it is held.

    :raises InvariantError: if not.
    """
    position = _START
    for stage in pipeline.stages:
        is_next = stage.layers.first == position and stage.layers.width > 0
        is_held = stage.server.layers.covers(stage.layers)
        check_invariant(
            is_next and is_held,
            "pipeline_runs_each_layer_once",
            server=stage.server.id,
            layers=stage.layers,
            held=stage.server.layers,
        )
        position = stage.layers.end
    ids = pipeline.server_ids
    is_complete = position == spec.layers and len(set(ids)) == len(ids)
    check_invariant(
        is_complete and len(ids) <= MAX_STAGES,
        "pipeline_is_complete",
        servers=",".join(ids),
    )


def find_pipelines(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    leaving: Sequence[BackendServer] = (),
) -> tuple[Pipeline, ...]:
    """Find the pipelines that share no engine, and one that borrows for the rest.

    :param servers: engines that may be used, with the layers that they hold.
    :param leaving: engines that are used only where no other holds their layers.
    """
    leaving_ids = {server.id for server in leaving}
    servers = [*servers, *leaving]

    def weigh(server: BackendServer) -> float:
        return _LEAVING_FACTOR if server.id in leaving_ids else 1.0

    unused = {server.id: server for server in servers if server.layers.width}
    found: list[Pipeline] = []

    def extract(candidates: Sequence[BackendServer]) -> None:
        while True:
            left = [server for server in candidates if server.id in unused]
            pipeline = find_cheapest(spec, left, weigh)
            if pipeline is None:
                return
            found.append(pipeline)
            for server_id in pipeline.server_ids:
                del unused[server_id]

    # A pipeline across domains that is a little faster than one inside would break
    # up the covers of two domains.
    for domain in sorted({server.domain for server in servers}):
        extract([server for server in servers if server.domain == domain])
    extract(servers)
    if unused and found:
        borrowing = _find_borrowing(spec, servers, set(unused))
        found += [] if borrowing is None else [borrowing]
    return tuple(found)


def find_cheapest(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    weigh: Callable[[BackendServer], float] = lambda server: 1.0,
) -> Pipeline | None:
    """Find the pipeline with the shortest time for a token.

    :param weigh: factor on the cost of an engine's layers.
    :returns: None if the engines do not hold every layer.
    """
    crossing = _estimate_crossing(spec)
    hop = _HOP.total_seconds()
    layer_time = spec.step.total_seconds() / spec.layers
    ends = {server.layers.end for server in servers}
    firsts = {server.layers.first for server in servers}
    positions = sorted(p for p in ends | firsts | {_START} if p < spec.layers)
    # Cost and way back of having run all layers before a position, by last engine.
    costs_by_position: dict[int, dict[ServerId, float]] = {}
    previous: dict[tuple[int, ServerId], tuple[int, ServerId | None]] = {}
    for position in positions:
        arrivals = costs_by_position.get(position, {})
        if position != _START and not arrivals:
            continue
        nearest = _find_nearest(arrivals, servers)
        for server in servers:
            held = server.layers
            if not held.first <= position < held.end or server.id in arrivals:
                continue
            start = _enter(position, server, nearest, hop, crossing)
            if start is None:
                continue
            cost, came_from = start
            pace = spec.kinds_by_name[server.kind].pace * weigh(server)
            for leave in _list_exits(position, held.end, firsts, spec.layers):
                total = cost + pace * layer_time * (leave - position)
                row = costs_by_position.setdefault(leave, {})
                if total < row.get(server.id, float("inf")):
                    row[server.id] = total
                    previous[leave, server.id] = (position, came_from)
    return _trace_back(spec, servers, costs_by_position, previous)


def _find_borrowing(
    spec: EngineSpec, servers: Sequence[BackendServer], unused: set[ServerId]
) -> Pipeline | None:
    def weigh(server: BackendServer) -> float:
        return 1.0 if server.id in unused else _BORROWED_FACTOR

    pipeline = find_cheapest(spec, servers, weigh)
    if pipeline is None:
        return None
    own = sum(
        stage.layers.width for stage in pipeline.stages if stage.server.id in unused
    )
    return pipeline if own >= _MIN_OWN_SHARE * spec.layers else None


def _estimate_crossing(spec: EngineSpec) -> float:
    """Return the cost of a hop between failure domains, in seconds for a token."""
    share = estimate_transfer_s(spec, spec.usual_prompt) / max(1.0, spec.usual_answer)
    return spec.domain_delay.total_seconds() + share * _SHARED_LINK_FACTOR


def _find_nearest(
    arrivals: dict[ServerId, float], servers: Sequence[BackendServer]
) -> dict[str, tuple[float, ServerId]]:
    """Return the cheapest arrival of each domain."""
    domains_by_id = {server.id: server.domain for server in servers}
    nearest: dict[str, tuple[float, ServerId]] = {}
    for server_id, cost in arrivals.items():
        domain = domains_by_id[server_id]
        if domain not in nearest or cost < nearest[domain][0]:
            nearest[domain] = (cost, server_id)
    return nearest


def _enter(
    position: int,
    server: BackendServer,
    nearest: dict[str, tuple[float, ServerId]],
    hop: float,
    crossing: float,
) -> tuple[float, ServerId | None] | None:
    """Return the cost of going on at a server, and where from."""
    if position == _START:
        return 0.0, None
    ways = [
        (cost + hop + (0.0 if domain == server.domain else crossing), came_from)
        for domain, (cost, came_from) in nearest.items()
    ]
    return min(ways, default=None)


def _list_exits(position: int, end: int, firsts: set[int], layers: int) -> list[int]:
    last = min(end, layers)
    exits = [first for first in firsts if position < first < last]
    return [*exits, last]


def _trace_back(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    costs_by_position: dict[int, dict[ServerId, float]],
    previous: dict[tuple[int, ServerId], tuple[int, ServerId | None]],
) -> Pipeline | None:
    arrivals = costs_by_position.get(spec.layers)
    if not arrivals:
        return None
    servers_by_id = {server.id: server for server in servers}
    server_id: ServerId | None = min(arrivals, key=lambda key: (arrivals[key], key))
    end = spec.layers
    stages = []
    while server_id is not None:
        first, came_from = previous[end, server_id]
        stages.append(Stage(servers_by_id[server_id], LayerRange(first, end)))
        server_id, end = came_from, first
    ids = [stage.server.id for stage in stages]
    # An engine may appear only once; the cheapest way hardly ever returns to one.
    if len(set(ids)) < len(ids) or len(ids) > MAX_STAGES:
        return None
    return Pipeline(tuple(reversed(stages)))
