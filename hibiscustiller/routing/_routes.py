"""Assignment of a model's layers to backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from functools import cached_property

from hibiscustiller.configuration import FleetConfig
from hibiscustiller.settings import Address
from hibiscustiller.utils import DomainId, ModelName, ServerId, check_invariant

# Delays of links that the configuration does not list: between two failure domains of
# one region, and inside one failure domain.
_DEFAULT_LINK_DELAY = timedelta(microseconds=500)
_LOCAL_LINK_DELAY = timedelta(microseconds=50)


@dataclass(frozen=True)
class Stage:
    """A half-open range of layers at one backend server.

    :param failure_domain: the server's failure domain; empty if unknown.
    :param share: fraction of the server's layers that this stage runs.
    """

    server: ServerId
    address: Address
    first_layer: int
    last_layer: int
    failure_domain: DomainId = DomainId("")
    share: float = 1.0


@dataclass(frozen=True)
class Route:
    """The stages that run a model's layers in order, each layer once.

    :param cost: expected time per token.
    """

    model: ModelName
    version: str
    stages: tuple[Stage, ...]
    cost: timedelta

    @cached_property
    def servers(self) -> frozenset[ServerId]:
        """The backend servers that the route uses."""
        return frozenset(stage.server for stage in self.stages)


def check_route(route: Route, layers: int) -> None:
    """Check that a route runs all layers exactly once and in order.

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


def get_link_delay(config: FleetConfig, start: DomainId, end: DomainId) -> timedelta:
    """Return the configured one-way delay between two failure domains."""
    link = config.links_by_domains.get(frozenset((start, end)))
    if link is not None:
        return link.delay
    return _LOCAL_LINK_DELAY if start == end else _DEFAULT_LINK_DELAY
