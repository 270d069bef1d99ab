"""Routes: which backend servers run which layers of a model."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.configuration import FleetConfig, ModelConfig, ServerConfig
from hibiscustiller.settings import Address
from hibiscustiller.utils import DomainId, ModelName, ServerId, check_invariant

# Cost of a link that the document does not name: between failure domains of one
# region, and inside one failure domain.
_DEFAULT_LINK_DELAY = timedelta(microseconds=500)
_LOCAL_LINK_DELAY = timedelta(microseconds=50)


@dataclass(frozen=True)
class Stage:
    """A half-open range of layers at one backend server."""

    server: ServerId
    address: Address
    first_layer: int
    last_layer: int


@dataclass(frozen=True)
class Route:
    """An ordered cover of a model's layers, each layer once.

    :param cost: expected time a token.
    """

    model: ModelName
    version: str
    stages: tuple[Stage, ...]
    cost: timedelta

    @property
    def servers(self) -> frozenset[ServerId]:
        """The backend servers that the route uses."""
        return frozenset(stage.server for stage in self.stages)


def check_route(route: Route, layers: int) -> None:
    """Check that a route runs each layer exactly once, in order.

    :raises InvariantError: if it does not.
    """
    reached = 0
    for stage in route.stages:
        is_next = stage.first_layer == reached < stage.last_layer
        check_invariant(
            is_next, "route_covers_layers_in_order", route=route, reached=reached
        )
        reached = stage.last_layer
    check_invariant(
        reached == layers, "route_covers_all_layers", route=route, layers=layers
    )


def find_cheapest_route(
    config: FleetConfig,
    model: ModelConfig,
    servers: Sequence[ServerConfig],
    token_times_by_server: dict[ServerId, timedelta],
    origin: DomainId,
) -> Route | None:
    """Find the cheapest route by dynamic programming over layer boundaries.

    :param servers: usable servers of the model.
    :param token_times_by_server: expected time a token at each, for all its layers.
    :param origin: failure domain that the route starts from and returns to.
    :returns: the route, or None if the servers do not cover the model.
    """
    # Best cost and stages by the boundary reached and the last server.
    best: dict[tuple[int, ServerId], tuple[timedelta, tuple[Stage, ...]]] = {}
    ordered = sorted(servers, key=lambda server: (server.last_layer, server.name))
    by_id = {server.name: server for server in servers}
    for server in ordered:
        for reached, cost, stages in _list_predecessors(best, server):
            previous = by_id[stages[-1].server].failure_domain if stages else origin
            held = server.last_layer - server.first_layer
            share = (server.last_layer - reached) / held
            cost = cost + token_times_by_server[server.name] * share
            cost += get_link_delay(config, previous, server.failure_domain)
            stage = Stage(server.name, server.address, reached, server.last_layer)
            key = (server.last_layer, server.name)
            if key not in best or cost < best[key][0]:
                best[key] = (cost, (*stages, stage))
    finished = [
        (cost + get_link_delay(config, by_id[name].failure_domain, origin), stages)
        for (reached, name), (cost, stages) in best.items()
        if reached == model.layers
    ]
    if not finished:
        return None
    cost, stages = min(finished, key=lambda item: item[0])
    route = Route(model.name, model.version, stages, cost)
    check_route(route, model.layers)
    return route


def get_link_delay(config: FleetConfig, start: DomainId, end: DomainId) -> timedelta:
    """Return the documented one-way delay between two failure domains."""
    link = config.links_by_domains.get(frozenset((start, end)))
    if link is not None:
        return link.delay
    return _LOCAL_LINK_DELAY if start == end else _DEFAULT_LINK_DELAY


def _list_predecessors(
    best: dict[tuple[int, ServerId], tuple[timedelta, tuple[Stage, ...]]],
    server: ServerConfig,
) -> list[tuple[int, timedelta, tuple[Stage, ...]]]:
    """List what a server can continue: the start, or a boundary inside its range."""
    found: list[tuple[int, timedelta, tuple[Stage, ...]]] = []
    if server.first_layer == 0:
        found.append((0, timedelta(0), ()))
    for (reached, _), (cost, stages) in best.items():
        if server.first_layer <= reached < server.last_layer:
            found.append((reached, cost, stages))
    return found
