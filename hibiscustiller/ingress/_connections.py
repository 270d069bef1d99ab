"""Limits on the connections of each router to a backend server.

A server accepts a limited number of connections from all routers together and resets
any beyond it. Half of them are for requests in flight, whose number the routers report
to each other. The other half is for idle connections, which they do not report, so each
router has an equal, fixed share of it. This module does no I/O.
"""

from __future__ import annotations

from dataclasses import replace

from hibiscustiller.fleet import EngineSpec, ServiceSpec
from hibiscustiller.layers import EngineUse

_IN_FLIGHT_SHARE = 0.5


def compute_max_idle_connections(service: ServiceSpec, router_count: int) -> int | None:
    """Return how many idle connections one router may keep to each server.

    :param router_count: number of routers that share the connections.
    :returns: None if the service sets no limit.
    """
    if service.max_connections is None:
        return None
    max_idle = service.max_connections * (1.0 - _IN_FLIGHT_SHARE)
    return int(max_idle / max(1, router_count))


def has_free_connection(service: ServiceSpec, use: EngineUse) -> bool:
    """Tell whether a server has a connection left for another request.

    :param use: requests in flight at the server, from all routers.
    """
    max_in_flight = _compute_max_in_flight(service)
    return max_in_flight is None or use.entry_count < max_in_flight


def cap_engine_slots(service: ServiceSpec) -> EngineSpec:
    """Return the engine specification with its slots limited by the connections.

    :param service: a service that runs a model.
    """
    assert service.engine is not None
    max_in_flight = _compute_max_in_flight(service)
    if max_in_flight is None:
        return service.engine
    return replace(service.engine, slots=min(service.engine.slots, max_in_flight))


def _compute_max_in_flight(service: ServiceSpec) -> int | None:
    """Return how many requests of all routers may be in flight at a server.

    :returns: None if the service sets no limit.
    """
    if service.max_connections is None:
        return None
    return max(1, int(service.max_connections * _IN_FLIGHT_SHARE))
