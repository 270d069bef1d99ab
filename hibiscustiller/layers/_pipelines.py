"""Pipelines: sequences of engines that together run every layer of a model in order.

They are searched again whenever the engines or their layers change. The functions here
perform no I/O.
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

_FIRST_LAYER = 0
# Engines refuse pipelines with more stages.
MAX_STAGES = 32
# Delay between two engines of a domain.
_HOP_DELAY = timedelta(milliseconds=0.1)
# Weight of a transfer between domains: all pipelines share that link, so a crossing
# slows the others as well.
_LINK_COST_FACTOR = 5.0
# A pipeline may share engines with others if it runs at least this share of its layers
# at engines that no other pipeline uses.
_MIN_UNSHARED_SHARE = 0.5
_SHARED_ENGINE_FACTOR = 2.0
# Cost factor for an engine that is leaving: preferable to a detour through another
# domain, but worse than any other engine.
_LEAVING_ENGINE_FACTOR = 3.0


@dataclass(frozen=True)
class Stage:
    """A range of layers that one engine runs."""

    server: BackendServer
    layers: LayerRange


@dataclass(frozen=True)
class Pipeline:
    """Stages that together run every layer exactly once, in order."""

    stages: tuple[Stage, ...]

    @property
    def entry(self) -> BackendServer:
        """The engine that receives the request."""
        return self.stages[0].server

    @property
    def servers(self) -> list[BackendServer]:
        """The engines in order of their stages."""
        return [stage.server for stage in self.stages]

    @property
    def server_ids(self) -> tuple[ServerId, ...]:
        """The ids of the engines in order of their stages."""
        return tuple(server.id for server in self.servers)

    def count_memory_tokens(self, spec: EngineSpec) -> float:
        """Return how many tokens fit in the request memory of every engine.

        An engine that runs only part of the layers it holds has room for more tokens.
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
        """Estimate the time per token; see :func:`_capacity.estimate_token_time`."""
        widths = [
            (spec.kinds_by_name[stage.server.kind], stage.layers.width)
            for stage in self.stages
        ]
        return estimate_token_time(spec, widths, sequences, tokens)


def check_pipeline(spec: EngineSpec, pipeline: Pipeline) -> None:
    """Check that each layer runs exactly once, in order, at an engine that holds it.

    :raises InvariantError: if the pipeline violates this or has too many stages.
    """
    position = _FIRST_LAYER
    for stage in pipeline.stages:
        is_contiguous = stage.layers.first == position and stage.layers.width > 0
        is_held = stage.server.layers.covers(stage.layers)
        check_invariant(
            is_contiguous and is_held,
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
    """Find disjoint pipelines, and one for unused engines that shares others' engines.

    :param servers: usable engines with the layers that they hold.
    :param leaving: engines to use only if no other engine holds their layers.
    :returns: the disjoint pipelines; the one that shares engines, if any, is last.
    """
    leaving_ids = {server.id for server in leaving}
    servers = [*servers, *leaving]

    def get_cost_factor(server: BackendServer) -> float:
        return _LEAVING_ENGINE_FACTOR if server.id in leaving_ids else 1.0

    unused = {server.id: server for server in servers if server.layers.width}
    found: list[Pipeline] = []

    def extract(candidates: Sequence[BackendServer]) -> None:
        while True:
            left = [server for server in candidates if server.id in unused]
            pipeline = find_fastest_pipeline(spec, left, get_cost_factor)
            if pipeline is None:
                return
            found.append(pipeline)
            for server_id in pipeline.server_ids:
                del unused[server_id]

    # Search within each domain first: a pipeline across two domains that is slightly
    # faster would break up the covers of both.
    for domain in sorted({server.domain for server in servers}):
        extract([server for server in servers if server.domain == domain])
    extract(servers)
    if unused and found:
        sharing = _find_sharing_pipeline(spec, servers, set(unused))
        found += [] if sharing is None else [sharing]
    return tuple(found)


def find_fastest_pipeline(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    get_cost_factor: Callable[[BackendServer], float] = lambda server: 1.0,
) -> Pipeline | None:
    """Find the pipeline with the shortest time per token.

    The search is a dynamic programme over layer positions and the last engine used.

    :param get_cost_factor: returns the factor on the cost of an engine's layers.
    :returns: None if the engines do not hold every layer.
    """
    crossing_s = _estimate_crossing_s(spec)
    hop_s = _HOP_DELAY.total_seconds()
    layer_time_s = spec.step.total_seconds() / spec.layers
    ends = {server.layers.end for server in servers}
    firsts = {server.layers.first for server in servers}
    positions = sorted(p for p in ends | firsts | {_FIRST_LAYER} if p < spec.layers)
    # Lowest cost of running all layers before a position, by the last engine, and the
    # predecessor of each such state for backtracking.
    costs_by_position: dict[int, dict[ServerId, float]] = {}
    previous: dict[tuple[int, ServerId], tuple[int, ServerId | None]] = {}
    for position in positions:
        costs_by_id = costs_by_position.get(position, {})
        if position != _FIRST_LAYER and not costs_by_id:
            continue
        cheapest_by_domain = _find_cheapest_by_domain(costs_by_id, servers)
        for server in servers:
            held = server.layers
            if not held.first <= position < held.end or server.id in costs_by_id:
                continue
            start = _find_cheapest_entry(
                position, server, cheapest_by_domain, hop_s, crossing_s
            )
            if start is None:
                continue
            cost, previous_id = start
            time_factor = spec.kinds_by_name[
                server.kind
            ].token_time_factor * get_cost_factor(server)
            for exit_position in _list_exits(position, held.end, firsts, spec.layers):
                total = cost + time_factor * layer_time_s * (exit_position - position)
                exit_costs_by_id = costs_by_position.setdefault(exit_position, {})
                if total < exit_costs_by_id.get(server.id, float("inf")):
                    exit_costs_by_id[server.id] = total
                    previous[exit_position, server.id] = (position, previous_id)
    return _backtrack(spec, servers, costs_by_position, previous)


def _find_sharing_pipeline(
    spec: EngineSpec, servers: Sequence[BackendServer], unused: set[ServerId]
) -> Pipeline | None:
    def get_cost_factor(server: BackendServer) -> float:
        return 1.0 if server.id in unused else _SHARED_ENGINE_FACTOR

    pipeline = find_fastest_pipeline(spec, servers, get_cost_factor)
    if pipeline is None:
        return None
    unshared = sum(
        stage.layers.width for stage in pipeline.stages if stage.server.id in unused
    )
    return pipeline if unshared >= _MIN_UNSHARED_SHARE * spec.layers else None


def _estimate_crossing_s(spec: EngineSpec) -> float:
    """Return the cost of a hop between failure domains, in seconds per token."""
    share = estimate_transfer_s(spec, spec.mean_prompt_tokens) / max(
        1.0, spec.mean_answer_tokens
    )
    return spec.domain_delay.total_seconds() + share * _LINK_COST_FACTOR


def _find_cheapest_by_domain(
    costs_by_id: dict[ServerId, float], servers: Sequence[BackendServer]
) -> dict[str, tuple[float, ServerId]]:
    """Return the lowest cost and its engine in each domain."""
    domains_by_id = {server.id: server.domain for server in servers}
    cheapest_by_domain: dict[str, tuple[float, ServerId]] = {}
    for server_id, cost in costs_by_id.items():
        domain = domains_by_id[server_id]
        if domain not in cheapest_by_domain or cost < cheapest_by_domain[domain][0]:
            cheapest_by_domain[domain] = (cost, server_id)
    return cheapest_by_domain


def _find_cheapest_entry(
    position: int,
    server: BackendServer,
    cheapest_by_domain: dict[str, tuple[float, ServerId]],
    hop_s: float,
    crossing_s: float,
) -> tuple[float, ServerId | None] | None:
    """Return the lowest cost of continuing at a server, and the previous engine."""
    if position == _FIRST_LAYER:
        return 0.0, None
    options = [
        (cost + hop_s + (0.0 if domain == server.domain else crossing_s), previous_id)
        for domain, (cost, previous_id) in cheapest_by_domain.items()
    ]
    return min(options, default=None)


def _list_exits(position: int, end: int, firsts: set[int], layers: int) -> list[int]:
    last = min(end, layers)
    exits = [first for first in firsts if position < first < last]
    return [*exits, last]


def _backtrack(
    spec: EngineSpec,
    servers: Sequence[BackendServer],
    costs_by_position: dict[int, dict[ServerId, float]],
    previous: dict[tuple[int, ServerId], tuple[int, ServerId | None]],
) -> Pipeline | None:
    costs_by_id = costs_by_position.get(spec.layers)
    if not costs_by_id:
        return None
    servers_by_id = {server.id: server for server in servers}
    server_id: ServerId | None = min(
        costs_by_id, key=lambda key: (costs_by_id[key], key)
    )
    end = spec.layers
    stages = []
    while server_id is not None:
        first, previous_id = previous[end, server_id]
        stages.append(Stage(servers_by_id[server_id], LayerRange(first, end)))
        server_id, end = previous_id, first
    ids = [stage.server.id for stage in stages]
    # An engine may appear only once; the cheapest path hardly ever uses one twice.
    if len(set(ids)) < len(ids) or len(ids) > MAX_STAGES:
        return None
    return Pipeline(tuple(reversed(stages)))
