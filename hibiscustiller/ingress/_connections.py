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


def count_idle_connections(service: ServiceSpec, router_count: int) -> int | None:
    """Return how many idle connections one router may keep to each server.

    :returns: None if no bound is known.
    """
    if service.max_connections is None:
        return None
    idle = service.max_connections * (1.0 - _IN_FLIGHT_SHARE)
    return int(idle / max(1, router_count))


def has_free_connection(service: ServiceSpec, use: EngineUse) -> bool:
    """Tell whether a server accepts another request's connection.

    :param use: the requests of all routers at the server.
    """
    in_flight = _count_in_flight(service)
    return in_flight is None or use.entered < in_flight


def limit_entries(service: ServiceSpec) -> EngineSpec:
    """Return how engines run, with no more requests at once than connections.

    :param service: a service that runs a model.
    """
    assert service.engine is not None
    in_flight = _count_in_flight(service)
    if in_flight is None:
        return service.engine
    return replace(service.engine, slots=min(service.engine.slots, in_flight))


def _count_in_flight(service: ServiceSpec) -> int | None:
    """Return how many requests of all routers a server has connections for."""
    if service.max_connections is None:
        return None
    return max(1, int(service.max_connections * _IN_FLIGHT_SHARE))
