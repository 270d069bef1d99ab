"""Choice of a route for a request."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok, Result

from hibiscustiller.configuration import FleetConfig, ServerConfig
from hibiscustiller.routing._loads import ServerLoads
from hibiscustiller.routing._routes import Route, find_cheapest_route
from hibiscustiller.utils import (
    DomainId,
    ModelName,
    Refusal,
    RefusalReason,
    ServerId,
    Verdict,
)

_RETRY_AFTER_NO_ROUTE = timedelta(seconds=2)


class RoutePlanner:
    """Chooses routes over the backend servers that may take new work.

    :param origin: this router's failure domain.
    :param get_config: returns the configuration in force.
    :param is_usable: tells whether a server may take new work.
    :param has_capacity: tells whether a server's limit leaves room for one more stream.
    :param loads: this router's view of the servers' loads.
    :param random_state: source of tie-breaking.
    """

    def __init__(
        self,
        origin: DomainId,
        get_config: Callable[[], FleetConfig],
        is_usable: Callable[[ServerId], bool],
        has_capacity: Callable[[ServerId], bool],
        loads: ServerLoads,
        random_state: random.Random,
    ) -> None:
        self._origin = origin
        self._get_config = get_config
        self._is_usable = is_usable
        self._has_capacity = has_capacity
        self._loads = loads
        self._random_state = random_state

    def plan_route(
        self,
        model_name: ModelName,
        prompt: str,
        avoided: frozenset[ServerId] = frozenset(),
    ) -> Result[Route, Refusal]:
        """Choose a route.

        :param prompt: the prompt, for prefix affinity.
        :param avoided: servers not to use.
        :returns: a route; a ``NO_ROUTE`` refusal if no usable servers cover the model;
            an ``OVERLOADED`` refusal if those that do have no capacity left.
        """
        config = self._get_config()
        usable = [
            server
            for server in config.servers_by_id.values()
            if server.model == model_name
            and server.name not in avoided
            and self._is_usable(server.name)
        ]
        free = [server for server in usable if self._has_capacity(server.name)]
        route = self._find_route(config, model_name, free)
        if route is not None:
            return Ok(route)
        if self._find_route(config, model_name, usable) is not None:
            return Err(_make_overload_refusal(model_name))
        return Err(_make_no_route_refusal(model_name))

    def _find_route(
        self, config: FleetConfig, model_name: ModelName, servers: list[ServerConfig]
    ) -> Route | None:
        token_times = {
            server.name: self._loads.estimate_token_time(server) for server in servers
        }
        model = config.models_by_name[model_name]
        return find_cheapest_route(config, model, servers, token_times, self._origin)


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
