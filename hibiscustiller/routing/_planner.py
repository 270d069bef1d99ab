"""Choice of a route for a request."""

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
from hibiscustiller.routing._search import ModelIndex, Option
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

_RETRY_AFTER_NO_ROUTE = timedelta(seconds=2)
# Routes within a quarter of the cheapest count as equally good.
_GOOD_COST = 1.25
# A cached prefix saves the prefill, which is worth a dearer route.
_GOOD_COST_WITH_AFFINITY = 2.0
# Affinity passes over a server with more than this much of the mean load.
_LOAD_BOUND = 1.25
_RANKS_KEPT = 2048


class RoutePlanner:
    """Chooses routes over the backend servers that may take new work.

    :param origin: this router's failure domain.
    :param get_config: returns the configuration in force.
    :param is_usable: tells whether a server may take new work.
    :param has_capacity: tells whether a server's limit leaves room for one more stream.
    :param loads: this router's view of the servers' loads.
    :param random_state: source of the two random candidates.
    :param router_id: this router, which sets its subset of servers.
    :param cache_view: which prefixes the servers are known to hold.
    :param subset_size: servers that this router uses.
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
        """Return the servers that this router uses under the present configuration."""
        self._refresh()
        return self._subset

    def note_answer_delay(self, route: Route, delay: timedelta) -> None:
        """Learn the link to a first stage from the time to the head of its answer.

        The time between tokens does not show that link. An engine answers as soon as
        it accepts a stream, so the time is a round trip.
        """
        start, end = self._origin, route.stages[0].failure_domain
        documented = get_link_delay(self._get_config(), start, end)
        self._loads.note_link_delay(start, end, delay / 2 - documented)

    def plan_route(
        self,
        model_name: ModelName,
        prompt: str,
        avoided: frozenset[ServerId] = frozenset(),
    ) -> Result[Route, Refusal]:
        """Choose a route.

        Servers outside the subset are used only if those inside do not cover the
        model.

        :param prompt: the prompt, for prefix affinity.
        :param avoided: servers not to use.
        :returns: a route; a ``NO_ROUTE`` refusal if no usable servers cover the model;
            an ``OVERLOADED`` refusal if those that do have no capacity left.
        """
        self._refresh()
        if model_name not in self._get_config().models_by_name:
            # The model left the document while the request was queued.
            return Err(_make_no_route_refusal(model_name))
        for is_subset in (True, False):
            index = self._get_index(model_name, is_subset)
            usable = [
                server not in avoided and self._is_usable(server)
                for server in index.ids
            ]
            if not index.is_covered(usable):
                continue
            route = self._find_route(index, usable, prompt, is_subset)
            if route is None:
                return Err(_make_overload_refusal(model_name))
            return Ok(route)
        return Err(_make_no_route_refusal(model_name))

    def _refresh(self) -> None:
        """Rebuild what depends on the configuration, after a change of it."""
        config = self._get_config()
        if config is self._config:
            return
        self._config = config
        self._subset = choose_subset(self._router_id, config, self._subset_size)
        self._indexes.clear()
        self._ranks.clear()
        self._loads.retain_servers(config.servers_by_id)

    def _get_index(self, model_name: ModelName, is_subset: bool) -> ModelIndex:
        index = self._indexes.get((model_name, is_subset))
        if index is None:
            config = self._get_config()
            servers = [
                server
                for server in config.servers_by_id.values()
                if server.model == model_name
                and (not is_subset or server.name in self._subset)
            ]
            model = config.models_by_name[model_name]
            index = ModelIndex(config, model, servers, self._origin)
            self._indexes[model_name, is_subset] = index
        return index

    def _find_route(
        self, index: ModelIndex, usable: list[bool], prompt: str, is_subset: bool
    ) -> Route | None:
        estimate = self._loads.estimate_token_seconds
        seconds = [
            estimate(server) if usable[i] and self._has_capacity(server.name) else None
            for i, server in enumerate(index.servers)
        ]
        prefixes = hash_prefixes(prompt)
        if prefixes:
            ranks = self._rank_servers(prefixes[0], index, is_subset)
            choose = self._make_affinity_choice(index, prefixes, ranks)
        else:
            choose = self._choose_of_two
        return index.find_route(seconds, self._correct_links(index), choose)

    def _correct_links(self, index: ModelIndex) -> Sequence[Sequence[float]]:
        corrections = self._loads.list_link_corrections()
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

    def _choose_of_two(self, options: Sequence[Option]) -> Option:
        """Choose the cheaper of two random good options.

        Routers that see the same late report would all choose its best server; a
        random pair keeps most of them away from it.
        """
        good = _list_good(options, _GOOD_COST)
        pair = self._random_state.sample(good, min(2, len(good)))
        return min(pair, key=lambda option: option.total_seconds)

    def _rank_servers(
        self, prefix: bytes, index: ModelIndex, is_subset: bool
    ) -> list[int]:
        """Return each server's place in the rendezvous order for a prefix."""
        key = (prefix, index.model.name, is_subset)
        ranks = self._ranks.get(key)
        if ranks is None:
            places = {
                server: place
                for place, server in enumerate(
                    rank_by_rendezvous(prefix.hex(), index.ids)
                )
            }
            ranks = [places[server] for server in index.ids]
            self._ranks[key] = ranks
            if len(self._ranks) > _RANKS_KEPT:
                self._ranks.popitem(last=False)
        else:
            self._ranks.move_to_end(key)
        return ranks

    def _make_affinity_choice(
        self, index: ModelIndex, prefixes: list[bytes], ranks: list[int]
    ) -> Callable[[Sequence[Option]], Option]:
        def choose(options: Sequence[Option]) -> Option:
            good = _list_good(options, _GOOD_COST_WITH_AFFINITY)
            free = self._list_within_load_bound(index, good)

            def rate(option: Option) -> tuple[int, int]:
                server = index.ids[option.server]
                held = self._cache_view.count_cached_blocks(server, prefixes)
                return -held, ranks[option.server]

            return min(free, key=rate)

        return choose

    def _list_within_load_bound(
        self, index: ModelIndex, options: list[Option]
    ) -> list[Option]:
        """Drop options whose server would exceed the load bound with one more stream.

        Loads are relative to the servers' documented streams.
        """
        loads = [
            self._loads.estimate_streams(index.ids[option.server]) for option in options
        ]
        streams = [index.servers[option.server].streams for option in options]
        mean = (sum(loads) + 1.0) / sum(streams)
        free = [
            option
            for option, load, room in zip(options, loads, streams, strict=True)
            # A whole stream is always allowed, as the bound is on whole streams.
            if load + 1.0 <= max(1.0, -(-_LOAD_BOUND * mean * room // 1.0))
        ]
        # The least loaded server is within the bound but for rounding.
        return free or [options[loads.index(min(loads))]]


def _list_good(options: Sequence[Option], factor: float) -> list[Option]:
    bound = factor * min(option.total_seconds for option in options)
    return [option for option in options if option.total_seconds <= bound]


def _make_no_route_refusal(model_name: ModelName) -> Refusal:
    return Refusal(
        RefusalReason.NO_ROUTE,
        Verdict.NOT_RUN,
        f"no usable backend servers cover all layers of {model_name}",
        _RETRY_AFTER_NO_ROUTE,
    )


def _make_overload_refusal(model_name: ModelName) -> Refusal:
    return Refusal(
        RefusalReason.OVERLOADED,
        Verdict.NOT_RUN,
        f"the backend servers of {model_name} have no capacity left",
        _RETRY_AFTER_NO_ROUTE,
    )
