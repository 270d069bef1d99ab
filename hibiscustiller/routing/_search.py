"""Search for routes: dynamic programming over layer boundaries.

Layer boundaries are the first and last layers of the servers' ranges. The cost of a
stage is linear in its layers, so a cheapest route changes servers only there, unless
a detour over a third failure domain beats a direct link; such routes are left out.
Times are seconds in floats, since a plan adds up thousands of them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.configuration import FleetConfig, ModelConfig, ServerConfig
from hibiscustiller.routing._routes import Route, Stage, check_route, get_link_delay
from hibiscustiller.utils import DomainId, ServerId

# A server whose stage time is None takes no part in a search.
StageSeconds = Sequence[float | None]
LinkSeconds = Sequence[Sequence[float]]


@dataclass(frozen=True)
class Option:
    """One way to continue a route.

    :param server: position of the server in its :class:`ModelIndex`.
    :param last_layer: where the stage ends.
    :param seconds: time a token of the stage and the link to it.
    :param total_seconds: the same, with the cheapest continuation.
    """

    server: int
    last_layer: int
    seconds: float
    total_seconds: float


# Chooses one of the options; also told the cheapest total of the whole route.
ChooseOption = Callable[[Sequence[Option]], Option]


class ModelIndex:
    """What a search needs of a model's servers and does not change between searches.

    :param servers: servers that may be used.
    :param origin: failure domain that routes start from and return to.
    """

    def __init__(
        self,
        config: FleetConfig,
        model: ModelConfig,
        servers: Sequence[ServerConfig],
        origin: DomainId,
    ) -> None:
        self.model = model
        self.servers = sorted(servers, key=lambda server: server.name)
        self.ids = [server.name for server in self.servers]
        domains = {server.failure_domain for server in servers} | {origin}
        self.domains = sorted(domains)
        self.origin = self.domains.index(origin)
        positions = {domain: index for index, domain in enumerate(self.domains)}
        self.domain_by_server = [positions[s.failure_domain] for s in self.servers]
        self.link_seconds = tuple(
            tuple(
                get_link_delay(config, start, end).total_seconds()
                for end in self.domains
            )
            for start in self.domains
        )
        self._boundaries = _list_boundaries(model, self.servers)
        self._holders_by_layer = {
            layer: self._list_holders(layer) for layer in self._boundaries
        }

    def find_route(
        self,
        stage_seconds: StageSeconds,
        link_seconds: LinkSeconds,
        choose: ChooseOption,
    ) -> Route | None:
        """Find a route.

        :param stage_seconds: time a token of each server for all its layers.
        :param link_seconds: one-way delays between ``domains``.
        :param choose: chooses among the options at each boundary.
        :returns: a route, or None if the servers do not cover the model.
        """
        for is_whole in (False, True):
            costs = self._compute_remaining(stage_seconds, link_seconds, is_whole)
            if math.isinf(costs[0][self.origin]):
                return None
            route = self._walk(stage_seconds, link_seconds, costs, choose, is_whole)
            # An engine keeps one cache for a stream, so it can serve one stage only.
            # Stages that run to the end of their server's range cannot repeat it.
            if len(route.servers) == len(route.stages):
                return route
        return route

    def is_covered(self, is_available: Sequence[bool]) -> bool:
        """Tell whether the available servers hold every layer."""
        reached = 0
        for layer in self._boundaries:
            if layer < reached or layer >= self.model.layers:
                continue
            ends = [
                self.servers[i].last_layer
                for i, _ in self._holders_by_layer[layer]
                if is_available[i]
            ]
            if not ends:
                return False
            reached = max(ends)
        return True

    def _list_holders(self, layer: int) -> list[tuple[int, tuple[int, ...]]]:
        """List the servers that hold a layer, with the ends a stage may have there."""
        return [
            (
                index,
                tuple(e for e in self._boundaries if layer < e <= server.last_layer),
            )
            for index, server in enumerate(self.servers)
            if server.first_layer <= layer < server.last_layer
        ]

    def _compute_remaining(
        self, stage_seconds: StageSeconds, link_seconds: LinkSeconds, is_whole: bool
    ) -> dict[int, list[float]]:
        """Compute the least time from each boundary, by the domain it is reached in."""
        count = len(self.domains)
        home = [link_seconds[domain][self.origin] for domain in range(count)]
        costs = {self.model.layers: home}
        for layer in reversed(self._boundaries):
            if layer == self.model.layers:
                continue
            via = [math.inf] * count
            for index, ends in self._holders_by_layer[layer]:
                seconds = stage_seconds[index]
                if seconds is None:
                    continue
                domain = self.domain_by_server[index]
                pace = seconds / self._count_held(index)
                for end in ends[-1:] if is_whole else ends:
                    cost = pace * (end - layer) + costs[end][domain]
                    if cost < via[domain]:
                        via[domain] = cost
            costs[layer] = [
                min(map(float.__add__, link_seconds[domain], via))
                for domain in range(count)
            ]
        return costs

    def _count_held(self, index: int) -> int:
        return self.servers[index].last_layer - self.servers[index].first_layer

    def _walk(
        self,
        stage_seconds: StageSeconds,
        link_seconds: LinkSeconds,
        costs: dict[int, list[float]],
        choose: ChooseOption,
        is_whole: bool,
    ) -> Route:
        layer, domain, spent = 0, self.origin, 0.0
        stages: list[Stage] = []
        while layer < self.model.layers:
            options = []
            for index, ends in self._holders_by_layer[layer]:
                seconds = stage_seconds[index]
                if seconds is None:
                    continue
                there = self.domain_by_server[index]
                pace = seconds / self._count_held(index)
                link = link_seconds[domain][there]
                candidates = ends[-1:] if is_whole else ends
                total, end = min(
                    (pace * (end - layer) + costs[end][there], end)
                    for end in candidates
                )
                cost = pace * (end - layer) + link
                if not math.isinf(total):
                    options.append(Option(index, end, cost, spent + link + total))
            chosen = choose(options)
            stages.append(self._make_stage(chosen, layer))
            spent += chosen.seconds
            layer = chosen.last_layer
            domain = self.domain_by_server[chosen.server]
        spent += link_seconds[domain][self.origin]
        model = self.model
        cost = timedelta(seconds=spent)
        route = Route(model.name, model.version, tuple(stages), cost)
        check_route(route, model.layers)
        return route

    def _make_stage(self, option: Option, first_layer: int) -> Stage:
        server = self.servers[option.server]
        share = (option.last_layer - first_layer) / self._count_held(option.server)
        return Stage(
            server.name,
            server.address,
            first_layer,
            option.last_layer,
            server.failure_domain,
            share,
        )


def find_cheapest_route(
    config: FleetConfig,
    model: ModelConfig,
    servers: Sequence[ServerConfig],
    token_times_by_server: dict[ServerId, timedelta],
    origin: DomainId,
) -> Route | None:
    """Find the cheapest route.

    :param servers: usable servers of the model.
    :param token_times_by_server: expected time a token at each, for all its layers.
    :param origin: failure domain that the route starts from and returns to.
    :returns: the route, or None if the servers do not cover the model.
    """
    index = ModelIndex(config, model, servers, origin)
    seconds = [token_times_by_server[name].total_seconds() for name in index.ids]
    return index.find_route(seconds, index.link_seconds, choose_cheapest)


def choose_cheapest(options: Sequence[Option]) -> Option:
    """Choose the option with the least total."""
    return min(options, key=lambda option: option.total_seconds)


def _list_boundaries(model: ModelConfig, servers: Sequence[ServerConfig]) -> list[int]:
    layers = {0, model.layers}
    for server in servers:
        layers.update((server.first_layer, server.last_layer))
    return sorted(layer for layer in layers if layer <= model.layers)
