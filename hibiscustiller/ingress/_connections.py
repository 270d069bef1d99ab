"""How many connections to a backend server each router may use.

A server accepts a number of connections from all routers together and resets those
beyond it. Half of them are for requests in flight, whose number the routers tell each
other; the other half is divided into fixed shares for idle connections, which they do
not tell. A decision without I/O.
"""

from __future__ import annotations

from dataclasses import replace

from hibiscustiller.fleet import EngineSpec, ServiceSpec
from hibiscustiller.layers import EngineUse

_IN_FLIGHT_SHARE = 0.5


def compute_max_idle_connections(service: ServiceSpec, router_count: int) -> int | None:
    """Return how many idle connections one router may keep to each server.

    :returns: None if no bound is known.
    """
    if service.max_connections is None:
        return None
    max_idle = service.max_connections * (1.0 - _IN_FLIGHT_SHARE)
    return int(max_idle / max(1, router_count))


def has_free_connection(service: ServiceSpec, use: EngineUse) -> bool:
    """Tell whether a server accepts another request's connection.

    :param use: the requests of all routers at the server.
    """
    max_in_flight = _compute_max_in_flight(service)
    return max_in_flight is None or use.entered < max_in_flight


def cap_engine_slots(service: ServiceSpec) -> EngineSpec:
    """Return how engines run, with no more requests at once than connections.

    :param service: a service that runs a model.
    """
    assert service.engine is not None
    max_in_flight = _compute_max_in_flight(service)
    if max_in_flight is None:
        return service.engine
    return replace(service.engine, slots=min(service.engine.slots, max_in_flight))


def _compute_max_in_flight(service: ServiceSpec) -> int | None:
    """Return how many requests of all routers a server has connections for."""
    if service.max_connections is None:
        return None
    return max(1, int(service.max_connections * _IN_FLIGHT_SHARE))
