"""Search for routes by dynamic programming over layer boundaries.

Layer boundaries are the first and last layers of the servers' ranges. The cost of a
stage is linear in its number of layers, so a cheapest route changes servers only at
boundaries. The exception is a detour over a third failure domain that is cheaper than
the direct link; the search does not consider such routes. Times are seconds as
floats, since planning one route adds up thousands of them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hibiscustiller.configuration import FleetConfig, ModelConfig, ServerConfig
from hibiscustiller.routing._routes import Route, Stage, check_route, get_link_delay
from hibiscustiller.utils import DomainId, ServerId

# Time per token of each server for all its layers. The search ignores servers whose
# time is None.
StageSeconds = Sequence[float | None]
# One-way delays between failure domains.
LinkSeconds = Sequence[Sequence[float]]


@dataclass(frozen=True)
class StageOption:
    """A candidate for the next stage of a route.

    :param server_index: position of the server in its :class:`ModelIndex`.
    :param last_layer: where the stage ends.
    :param seconds: time per token of the stage and of the link to it.
    :param total_seconds: time per token of the whole route: the stages before, this
        one and the cheapest continuation.
    """

    server_index: int
    last_layer: int
    seconds: float
    total_seconds: float


# Selects one of the options for the next stage.
ChooseOption = Callable[[Sequence[StageOption]], StageOption]


class ModelIndex:
    """Precomputed data about a model's servers, shared by all searches.

    :param servers: servers that a route may use.
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
        self.server_ids = [server.name for server in self.servers]
        domains = {server.failure_domain for server in servers} | {origin}
        self.domains = sorted(domains)
        self.origin_index = self.domains.index(origin)
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
        self._candidates_by_layer = {
            layer: self._list_candidates(layer) for layer in self._boundaries
        }

    def find_route(
        self,
        stage_seconds: StageSeconds,
        link_seconds: LinkSeconds,
        choose: ChooseOption,
    ) -> Route | None:
        """Find a route.

        :param stage_seconds: time per token of each server for all its layers, in
            seconds; None for servers not to use.
        :param link_seconds: one-way delays between ``domains``, in seconds.
        :param choose: selects one of the options at each boundary.
        :returns: a route, or None if the servers do not cover the model.
        """
        for is_end_fixed in (False, True):
            costs = self._compute_remaining_costs(
                stage_seconds, link_seconds, is_end_fixed
            )
            if math.isinf(costs[0][self.origin_index]):
                return None
            route = self._build_route(
                stage_seconds, link_seconds, costs, choose, is_end_fixed
            )
            # An engine keeps one cache per stream, so it can serve only one stage of
            # it. If the route uses a server twice, the second search lets each stage
            # end only at the end of its server's range, which rules this out.
            if len(route.servers) == len(route.stages):
                return route
        return route

    def is_covered(self, is_available: Sequence[bool]) -> bool:
        """Tell whether the available servers hold all layers of the model.

        :param is_available: one flag per server, in the order of ``servers``.
        """
        reached = 0
        for layer in self._boundaries:
            if layer < reached or layer >= self.model.layers:
                continue
            ends = [
                self.servers[i].last_layer
                for i, _ in self._candidates_by_layer[layer]
                if is_available[i]
            ]
            if not ends:
                return False
            reached = max(ends)
        return True

    def _list_candidates(self, layer: int) -> list[tuple[int, tuple[int, ...]]]:
        """List the servers that hold a layer, each with the possible stage ends."""
        return [
            (
                index,
                tuple(e for e in self._boundaries if layer < e <= server.last_layer),
            )
            for index, server in enumerate(self.servers)
            if server.first_layer <= layer < server.last_layer
        ]

    def _compute_remaining_costs(
        self, stage_seconds: StageSeconds, link_seconds: LinkSeconds, is_end_fixed: bool
    ) -> dict[int, list[float]]:
        """Compute the lowest cost of the rest of a route.

        :param is_end_fixed: whether each stage ends at the end of its server's range.
        :returns: for each boundary, the seconds per token by the failure domain of the
            stage before it.
        """
        count = len(self.domains)
        return_seconds = [
            link_seconds[domain][self.origin_index] for domain in range(count)
        ]
        costs = {self.model.layers: return_seconds}
        for layer in reversed(self._boundaries):
            if layer == self.model.layers:
                continue
            # Lowest cost by the failure domain of the next stage, without the link.
            next_costs = [math.inf] * count
            for index, ends in self._candidates_by_layer[layer]:
                seconds = stage_seconds[index]
                if seconds is None:
                    continue
                domain = self.domain_by_server[index]
                layer_seconds = seconds / self._count_layers(index)
                for end in ends[-1:] if is_end_fixed else ends:
                    cost = layer_seconds * (end - layer) + costs[end][domain]
                    if cost < next_costs[domain]:
                        next_costs[domain] = cost
            costs[layer] = [
                min(map(float.__add__, link_seconds[domain], next_costs))
                for domain in range(count)
            ]
        return costs

    def _count_layers(self, index: int) -> int:
        return self.servers[index].last_layer - self.servers[index].first_layer

    def _build_route(
        self,
        stage_seconds: StageSeconds,
        link_seconds: LinkSeconds,
        costs: dict[int, list[float]],
        choose: ChooseOption,
        is_end_fixed: bool,
    ) -> Route:
        """Select the stages one by one, from the first layer to the last."""
        layer, domain, seconds_so_far = 0, self.origin_index, 0.0
        stages: list[Stage] = []
        while layer < self.model.layers:
            options = []
            for index, ends in self._candidates_by_layer[layer]:
                seconds = stage_seconds[index]
                if seconds is None:
                    continue
                next_domain = self.domain_by_server[index]
                layer_seconds = seconds / self._count_layers(index)
                link = link_seconds[domain][next_domain]
                allowed_ends = ends[-1:] if is_end_fixed else ends
                remaining, end = min(
                    (layer_seconds * (end - layer) + costs[end][next_domain], end)
                    for end in allowed_ends
                )
                cost = layer_seconds * (end - layer) + link
                if not math.isinf(remaining):
                    options.append(
                        StageOption(index, end, cost, seconds_so_far + link + remaining)
                    )
            chosen = choose(options)
            stages.append(self._make_stage(chosen, layer))
            seconds_so_far += chosen.seconds
            layer = chosen.last_layer
            domain = self.domain_by_server[chosen.server_index]
        seconds_so_far += link_seconds[domain][self.origin_index]
        model = self.model
        cost = timedelta(seconds=seconds_so_far)
        route = Route(model.name, model.version, tuple(stages), cost)
        check_route(route, model.layers)
        return route

    def _make_stage(self, option: StageOption, first_layer: int) -> Stage:
        server = self.servers[option.server_index]
        share = (option.last_layer - first_layer) / self._count_layers(
            option.server_index
        )
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
    :param token_times_by_server: expected time per token of each server, for all its
        layers.
    :param origin: failure domain that the route starts from and returns to.
    :returns: the route, or None if the servers do not cover the model.
    """
    index = ModelIndex(config, model, servers, origin)
    seconds = [token_times_by_server[name].total_seconds() for name in index.server_ids]
    return index.find_route(seconds, index.link_seconds, choose_cheapest)


def choose_cheapest(options: Sequence[StageOption]) -> StageOption:
    """Select the option with the lowest total time."""
    return min(options, key=lambda option: option.total_seconds)


def _list_boundaries(model: ModelConfig, servers: Sequence[ServerConfig]) -> list[int]:
    layers = {0, model.layers}
    for server in servers:
        layers.update((server.first_layer, server.last_layer))
    return sorted(layer for layer in layers if layer <= model.layers)
