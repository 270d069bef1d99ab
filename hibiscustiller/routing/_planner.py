"""Selection of a route for a request."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta

from result import Err, Ok, Result

from hibiscustiller.configuration import FleetConfig
from hibiscustiller.routing._cache_view import CacheView, hash_prefixes
from hibiscustiller.routing._loads import ServerLoads
from hibiscustiller.routing._routes import Route, get_link_delay
from hibiscustiller.routing._search import ModelIndex, StageOption
from hibiscustiller.routing._subset import DEFAULT_SUBSET_SIZE, choose_subset
from hibiscustiller.utils import (
    DomainId,
    ModelName,
    Refusal,
    RefusalReason,
    RouterId,
    ServerId,
    Verdict,
    rank_by_rendezvous,
)

_RETRY_AFTER = timedelta(seconds=2)
# Options that cost at most 25% more than the cheapest one count as equally good.
_MAX_COST_RATIO = 1.25
# A cached prefix saves the prefill, so a route with one may cost more.
_MAX_COST_RATIO_WITH_AFFINITY = 2.0
# Prefix affinity skips servers whose load exceeds the mean load by more than this
# factor.
_MAX_LOAD_RATIO = 1.25
_MAX_CACHED_RANKS = 2048


class RoutePlanner:
    """Selects routes over the backend servers that accept new work.

    :param origin: this router's failure domain.
    :param get_config: returns the current configuration.
    :param is_usable: tells whether a server accepts new work.
    :param has_capacity: tells whether a server's limit allows one more stream.
    :param loads: this router's estimates of the servers' loads.
    :param random_state: random generator that samples the two candidates.
    :param router_id: this router; determines its subset of servers.
    :param cache_view: the prefixes that the servers are known to have cached.
    :param subset_size: number of servers that this router uses.
    """

    def __init__(
        self,
        origin: DomainId,
        get_config: Callable[[], FleetConfig],
        is_usable: Callable[[ServerId], bool],
        has_capacity: Callable[[ServerId], bool],
        loads: ServerLoads,
        random_state: random.Random,
        router_id: RouterId = RouterId("router"),
        cache_view: CacheView | None = None,
        subset_size: int = DEFAULT_SUBSET_SIZE,
    ) -> None:
        self._origin = origin
        self._get_config = get_config
        self._is_usable = is_usable
        self._has_capacity = has_capacity
        self._loads = loads
        self._random_state = random_state
        self._router_id = router_id
        self._cache_view = cache_view or CacheView()
        self._subset_size = subset_size
        self._config: FleetConfig | None = None
        self._subset: frozenset[ServerId] = frozenset()
        self._indexes: dict[tuple[ModelName, bool], ModelIndex] = {}
        self._ranks: OrderedDict[tuple[bytes, ModelName, bool], list[int]] = (
            OrderedDict()
        )

    def get_subset(self) -> frozenset[ServerId]:
        """Return the servers that this router uses under the current configuration."""
        self._refresh()
        return self._subset

    def record_answer_delay(self, route: Route, delay: timedelta) -> None:
        """Update the delay of the link to a route's first stage.

        Times between tokens do not include this link. An engine sends the response
        head as soon as it accepts a stream, so the delay is one round trip.

        :param delay: time from the request to the head of the response.
        """
        start, end = self._origin, route.stages[0].failure_domain
        configured = get_link_delay(self._get_config(), start, end)
        self._loads.record_link_delay(start, end, delay / 2 - configured)

    def plan_route(
        self,
        model_name: ModelName,
        prompt: str,
        avoided_servers: frozenset[ServerId] = frozenset(),
    ) -> Result[Route, Refusal]:
        """Select a route.

        Servers outside the subset are used only if those inside do not cover the
        model.

        :param prompt: the prompt, for prefix affinity.
        :param avoided_servers: servers that the route must not use.
        :returns: a route; a ``NO_ROUTE`` refusal if no usable servers cover the model;
            an ``OVERLOADED`` refusal if those that do have no capacity left.
        """
        self._refresh()
        if model_name not in self._get_config().models_by_name:
            # The model was removed from the configuration while the request was queued.
            return Err(_make_no_route_refusal(model_name))
        for is_subset_only in (True, False):
            index = self._get_index(model_name, is_subset_only)
            usable = [
                server not in avoided_servers and self._is_usable(server)
                for server in index.server_ids
            ]
            if not index.is_covered(usable):
                continue
            route = self._find_route(index, usable, prompt, is_subset_only)
            if route is None:
                return Err(_make_overload_refusal(model_name))
            return Ok(route)
        return Err(_make_no_route_refusal(model_name))

    def _refresh(self) -> None:
        """Recompute the state derived from the configuration if it has changed."""
        config = self._get_config()
        if config is self._config:
            return
        self._config = config
        self._subset = choose_subset(self._router_id, config, self._subset_size)
        self._indexes.clear()
        self._ranks.clear()
        self._loads.retain_servers(config.servers_by_id)

    def _get_index(self, model_name: ModelName, is_subset_only: bool) -> ModelIndex:
        index = self._indexes.get((model_name, is_subset_only))
        if index is None:
            config = self._get_config()
            servers = [
                server
                for server in config.servers_by_id.values()
                if server.model == model_name
                and (not is_subset_only or server.name in self._subset)
            ]
            model = config.models_by_name[model_name]
            index = ModelIndex(config, model, servers, self._origin)
            self._indexes[model_name, is_subset_only] = index
        return index

    def _find_route(
        self, index: ModelIndex, usable: list[bool], prompt: str, is_subset_only: bool
    ) -> Route | None:
        estimate = self._loads.estimate_token_seconds
        seconds = [
            estimate(server) if usable[i] and self._has_capacity(server.name) else None
            for i, server in enumerate(index.servers)
        ]
        prefixes = hash_prefixes(prompt)
        if prefixes:
            ranks = self._rank_servers(prefixes[0], index, is_subset_only)
            choose = self._make_affinity_chooser(index, prefixes, ranks)
        else:
            choose = self._choose_of_two_random
        return index.find_route(seconds, self._compute_link_seconds(index), choose)

    def _compute_link_seconds(self, index: ModelIndex) -> Sequence[Sequence[float]]:
        """Return the configured link delays plus the learned corrections."""
        corrections = self._loads.get_link_corrections()
        if not corrections:
            return index.link_seconds
        domains = index.domains
        return [
            [
                delay + corrections.get((min(start, end), max(start, end)), 0.0)
                for end, delay in zip(domains, row, strict=True)
            ]
            for start, row in zip(domains, index.link_seconds, strict=True)
        ]

    def _choose_of_two_random(self, options: Sequence[StageOption]) -> StageOption:
        """Select the cheaper of two random options of nearly the lowest cost.

        Routers that see the same outdated report would all select its least loaded
        server. Comparing two random options keeps most routers away from it.
        """
        candidates = _filter_by_cost(options, _MAX_COST_RATIO)
        pair = self._random_state.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda option: option.total_seconds)

    def _rank_servers(
        self, prefix: bytes, index: ModelIndex, is_subset_only: bool
    ) -> list[int]:
        """Return each server's rank in the rendezvous order of a prefix."""
        key = (prefix, index.model.name, is_subset_only)
        ranks = self._ranks.get(key)
        if ranks is None:
            ranks_by_server = {
                server: rank
                for rank, server in enumerate(
                    rank_by_rendezvous(prefix.hex(), index.server_ids)
                )
            }
            ranks = [ranks_by_server[server] for server in index.server_ids]
            self._ranks[key] = ranks
            if len(self._ranks) > _MAX_CACHED_RANKS:
                self._ranks.popitem(last=False)
        else:
            self._ranks.move_to_end(key)
        return ranks

    def _make_affinity_chooser(
        self, index: ModelIndex, prefixes: list[bytes], ranks: list[int]
    ) -> Callable[[Sequence[StageOption]], StageOption]:
        """Return a function that prefers cached prefixes, then rendezvous ranks."""

        def choose(options: Sequence[StageOption]) -> StageOption:
            candidates = _filter_by_cost(options, _MAX_COST_RATIO_WITH_AFFINITY)
            within_bound = self._filter_by_load(index, candidates)

            def get_sort_key(option: StageOption) -> tuple[int, int]:
                server = index.server_ids[option.server_index]
                cached = self._cache_view.count_cached_blocks(server, prefixes)
                return -cached, ranks[option.server_index]

            return min(within_bound, key=get_sort_key)

        return choose

    def _filter_by_load(
        self, index: ModelIndex, options: list[StageOption]
    ) -> list[StageOption]:
        """Drop options whose server would exceed the load bound with one more stream.

        Loads are relative to the number of streams configured for each server.
        """
        loads = [
            self._loads.estimate_streams(index.server_ids[option.server_index])
            for option in options
        ]
        capacities = [index.servers[option.server_index].streams for option in options]
        mean = (sum(loads) + 1.0) / sum(capacities)
        within_bound = [
            option
            for option, load, capacity in zip(options, loads, capacities, strict=True)
            # The bound is rounded up to whole streams, and to one stream at least.
            if load + 1.0 <= max(1.0, -(-_MAX_LOAD_RATIO * mean * capacity // 1.0))
        ]
        # The least loaded server can exceed the bound only by a rounding error.
        return within_bound or [options[loads.index(min(loads))]]


def _filter_by_cost(
    options: Sequence[StageOption], max_ratio: float
) -> list[StageOption]:
    """Return the options that cost at most ``max_ratio`` times the lowest cost."""
    bound = max_ratio * min(option.total_seconds for option in options)
    return [option for option in options if option.total_seconds <= bound]


def _make_no_route_refusal(model_name: ModelName) -> Refusal:
    return Refusal(
        RefusalReason.NO_ROUTE,
        Verdict.NOT_RUN,
        f"no usable backend servers cover all layers of {model_name}",
        _RETRY_AFTER,
    )


def _make_overload_refusal(model_name: ModelName) -> Refusal:
    return Refusal(
        RefusalReason.OVERLOADED,
        Verdict.NOT_RUN,
        f"the backend servers of {model_name} have no capacity left",
        _RETRY_AFTER,
    )
